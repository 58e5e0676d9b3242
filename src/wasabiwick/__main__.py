"""Lets ``python -m wasabiwick`` run the command line."""

from ._cli import main

if __name__ == "__main__":
    main()
