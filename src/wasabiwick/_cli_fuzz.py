"""``wasabiwick fuzz``: drives the reducer with random sequences of events and faults."""

import click

DEFAULT_SEQUENCES = 20_000


@click.command()
@click.option(
    "--seeds", default=DEFAULT_SEQUENCES, show_default=True, help="Number of sequences to run."
)
@click.option("--seed", default=1, show_default=True, help="Seed of the random sequences.")
def fuzz(seeds: int, seed: int) -> None:
    """Run random sequences of events and faults, and check all invariants after each step."""
    from ._fuzz import _run  # Needs hypothesis, which only developers install.

    report = _run.run(seeds, seed)
    click.echo(f"seed={seed} sequences={report.sequences} steps={sum(report.steps.values())}")
    for kind, count in sorted(report.told.items()):
        click.echo(f"told={kind!r} count={count}")
    click.echo(f"effects={report.effects} broken_promises=0")
