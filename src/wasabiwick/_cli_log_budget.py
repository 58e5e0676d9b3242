"""Command that measures what work that may run only once costs the log."""

import click

DEPLOYMENTS = {1: 1, 8: 3, 350: 8}  # Availability zones by number of hosts.
EFFECTS = (1, 10, 100, 500)  # Per second.


@click.command("log-budget")
@click.option("--hosts", type=int, multiple=True, default=tuple(DEPLOYMENTS), show_default=True)
def log_budget(hosts: tuple[int, ...]) -> None:
    """Measure appends, bytes read and latency against effects per second."""
    from ._fuzz import _budget

    click.echo(f"{'hosts':>5} {'effects/s':>9} {'appends/s':>9} {'records/s':>9}", nl=False)
    click.echo(f" {'read B/s':>9} {'median s':>8} {'p95 s':>8} {'unanswered':>10}")
    for count in hosts:
        for effects in EFFECTS:
            run = _budget.Run(hosts=count, zones=DEPLOYMENTS.get(count, 3), effects=effects)
            one = run.measure()
            click.echo(f"{one.hosts:>5} {one.effects:>9} {one.appends:>9.1f} ", nl=False)
            click.echo(f"{one.records:>9.1f} {one.bytes_read:>9.0f} ", nl=False)
            click.echo(f"{one.median:>8.3f} {one.p95:>8.3f} {one.unanswered:>10}")
    seconds = _budget.rebuild_seconds()
    click.echo(f"records={_budget.REBUILD_RECORDS} rebuild_seconds={seconds:.2f}")
