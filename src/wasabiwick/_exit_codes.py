"""Exit codes of the commands."""

EXIT_FAILED = 1  # The command could not do what it was asked to.
EXIT_INVALID_INPUT = 2  # A file or an option that the operator gave is invalid.
