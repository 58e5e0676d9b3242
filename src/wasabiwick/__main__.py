"""Lets ``python -m wasabiwick`` run the command line."""

from ._cli import main

main()
