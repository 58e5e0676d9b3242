"""Lets ``python -m wasabiwick`` run the command line."""

import sys

from . import _signals


def main() -> None:
    """Run the command line; a host's process keeps its signals from here on."""
    if sys.argv[1:2] == ["run"]:
        _signals.hold()
    # Imported only now: a signal that came during this import would end the process.
    from ._cli import main as run_command

    run_command()


if __name__ == "__main__":
    main()
