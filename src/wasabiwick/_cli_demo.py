"""``wasabiwick demo``: runs a whole site locally, with calls and failures."""

import asyncio
import sys

import click

from . import _demo

EXIT_FAILED = 1


@click.command()
@click.option("--calls", default=300, show_default=True, help="Calls to send.")
def demo(calls: int) -> None:
    """Start a site of 6 entry hosts and 9 engines, send mixed calls, and print a table.

    One host is killed and one drained while calls are in flight. The exit code is 0 only if every
    call got exactly one complete and correct answer, no service executed a call twice, and no
    engine slot is still reserved.
    """
    if not asyncio.run(_demo.run(calls)):
        sys.exit(EXIT_FAILED)
