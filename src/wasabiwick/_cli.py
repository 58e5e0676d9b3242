"""The ``wasabiwick`` command line."""

import click


@click.group()
def main() -> None:
    """Run and operate wasabiwick, a router for separate prefill and decode pools."""
