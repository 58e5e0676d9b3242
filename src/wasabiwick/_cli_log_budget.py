"""``wasabiwick log-budget``: measures the log's load from calls executed at most once."""

import click

ZONES_BY_HOSTS = {1: 1, 8: 3, 350: 8}  # Number of availability zones for each number of hosts.
EFFECTS_PER_S = (1, 10, 100, 500)


@click.command("log-budget")
@click.option("--hosts", type=int, multiple=True, default=tuple(ZONES_BY_HOSTS), show_default=True)
def log_budget(hosts: tuple[int, ...]) -> None:
    """Measure log appends, bytes read from the log and call latency at several rates of calls."""
    from ._fuzz import _budget

    click.echo(f"{'hosts':>5} {'effects/s':>9} {'appends/s':>9} {'records/s':>9}", nl=False)
    click.echo(f" {'read B/s':>9} {'median s':>8} {'p95 s':>8} {'unanswered':>10}")
    for count in hosts:
        for effects in EFFECTS_PER_S:
            run = _budget.Run(hosts=count, zones=ZONES_BY_HOSTS.get(count, 3), effects=effects)
            result = run.measure()
            click.echo(f"{result.hosts:>5} {result.effects:>9} {result.appends:>9.1f} ", nl=False)
            click.echo(f"{result.records:>9.1f} {result.bytes_read:>9.0f} ", nl=False)
            click.echo(f"{result.median:>8.3f} {result.p95:>8.3f} {result.unanswered:>10}")
    seconds = _budget.rebuild_seconds()
    click.echo(f"records={_budget.REBUILD_RECORDS} rebuild_seconds={seconds:.2f}")
