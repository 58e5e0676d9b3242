"""The ``wasabiwick`` command line."""

import click

from . import _cli_check


@click.group()
def main() -> None:
    """Run and operate wasabiwick, a router for separate prefill and decode pools."""


main.add_command(_cli_check.check)
