"""``wasabiwick bench``: the real reducers on a virtual clock."""

import click
import msgspec

from ._bench import cost, limits, plot, policies, run, scenarios, table


@click.command()
@click.option("--scenario", type=click.Choice(scenarios.names()), default="sunday")
@click.option("--policy", type=click.Choice(policies.POLICIES), default=policies.OURS)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--hosts", type=int, default=0, help="Entry hosts; 0 for the scenario's own number.")
@click.option("--load", type=float, default=1.0, help="Offered output as a share of the bound.")
@click.option(
    "--without",
    type=click.Choice(sorted(run.ABLATIONS)),
    multiple=True,
    help="Leave a decision out.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--plot", "plot_file", type=click.Path(), help="Draw goodput over load to a file.")
def bench(
    scenario: str,
    policy: str,
    seed: int,
    hosts: int,
    load: float,
    without: tuple[str, ...],
    as_json: bool,
    plot_file: str | None,
) -> None:
    """Run a scenario under a policy and print what it measured."""
    figures = run.run(
        scenario=scenario, policy=policy, seed=seed, hosts=hosts, load=load, without=without
    )
    if plot_file:
        plot.plot(scenario=scenario, seed=seed, hosts=hosts, path=plot_file)
    if as_json:
        click.echo(msgspec.json.encode(figures).decode())
        return
    for name, value in msgspec.structs.asdict(figures).items():
        click.echo(f"{name:18} {value}")


@click.command("bench-table")
@click.option("--base-seeds", type=int, default=10, show_default=True)
@click.option("--fault-seeds", type=int, default=1, show_default=True)
@click.option("--processes", type=int, default=table.PROCESSES, show_default=True)
def bench_table(base_seeds: int, fault_seeds: int, processes: int) -> None:
    """Print the table of every scenario, load and policy in Markdown."""
    wanted = table.cells(base_seeds=base_seeds, fault_seeds=fault_seeds)
    for line in table.rows(wanted, processes=processes):
        click.echo(line)


@click.command("bench-limits")
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--hosts", type=int, default=6, show_default=True)
def bench_limits(seeds: int, hosts: int) -> None:
    """Measure how exactly plans' limits hold over several hosts, one JSON object a line."""
    for kind in ("rate", "concurrency"):
        for dead in (False, True):
            for seed in range(1, seeds + 1):
                one = limits.measure(kind=kind, seed=seed, hosts=hosts, dead=dead)
                click.echo(msgspec.json.encode(one).decode())


@click.command("bench-cost")
def bench_cost() -> None:
    """Time decisions at several sizes, one JSON object a line."""
    for engines, in_flight, prefixes in cost.grid():
        one = cost.measure(engines=engines, in_flight=in_flight, prefixes=prefixes)
        click.echo(msgspec.json.encode(one).decode())
