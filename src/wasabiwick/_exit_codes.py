"""Exit codes of the commands."""

EXIT_FAILED = 1  # The input was valid, but the command could not do its work.
EXIT_INVALID_INPUT = 2  # A file or an option that the operator gave is invalid.
