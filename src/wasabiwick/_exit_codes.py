"""Exit codes of the commands."""

EXIT_FAILED = 1  # The command could not do its work.
EXIT_INVALID_INPUT = 2  # What the operator gave it can't be used.
