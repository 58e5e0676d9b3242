"""``wasabiwick key``: generates idempotency keys."""

import random

import click

from ._load import new_key


@click.command()
@click.option("--count", default=1, show_default=True, type=click.IntRange(1))
def key(count: int) -> None:
    """Generate an Idempotency-Key, a UUID of version 7.

    The key's timestamp shows hosts how old a request can be at most. Use one key for a request and
    all its retries.
    """
    rng = random.SystemRandom()
    for _ in range(count):
        click.echo(new_key(rng))
