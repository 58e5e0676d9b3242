"""The ``wasabiwick`` command line."""

import click

from ._cli_standin import standin


@click.group()
def main() -> None:
    """Run and operate wasabiwick, a router for separate prefill and decode pools."""


main.add_command(standin)
