"""``wasabiwick demo``: a whole site on this machine, with calls and failures."""

import asyncio
import sys

import click

from . import _demo

EXIT_FAILED = 1


@click.command()
@click.option("--calls", default=300, show_default=True, help="Calls to send.")
def demo(calls: int) -> None:
    """Start a site of 6 entry hosts and 9 engines, send mixed calls, and print a table.

    One host is killed and one drained while calls are in flight. The status is 0 only if every
    call was answered once, wholly and rightly, no effect was doubled, and no engine slot is held.
    """
    if not asyncio.run(_demo.run(calls)):
        sys.exit(EXIT_FAILED)
