"""``wasabiwick bench``: benchmarks that run the host's own reducers on a virtual clock."""

import click
import msgspec

from ._bench import cost, limits, plot, policies, run, scenarios, table


@click.command()
@click.option("--scenario", type=click.Choice(scenarios.names()), default="sunday")
@click.option("--policy", type=click.Choice(policies.POLICIES), default=policies.OURS)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--hosts", type=int, default=0, help="Number of entry hosts; 0 takes the scenario's number."
)
@click.option(
    "--load",
    type=float,
    default=1.0,
    help="Offered output tokens as a share of the upper bound with perfect decisions.",
)
@click.option(
    "--without",
    type=click.Choice(sorted(run.ABLATIONS)),
    multiple=True,
    help="Step of the routing decision to leave out; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--plot", "plot_file", type=click.Path(), help="File for a plot of goodput over load."
)
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
    """Run a scenario under a policy and print its results."""
    results = run.run(
        scenario=scenario, policy=policy, seed=seed, hosts=hosts, load=load, without=without
    )
    if plot_file:
        plot.plot(scenario=scenario, seed=seed, hosts=hosts, path=plot_file)
    if as_json:
        click.echo(msgspec.json.encode(results).decode())
        return
    for name, value in msgspec.structs.asdict(results).items():
        click.echo(f"{name:18} {value}")


@click.command("bench-table")
@click.option("--base-seeds", type=int, default=10, show_default=True)
@click.option("--fault-seeds", type=int, default=1, show_default=True)
@click.option("--processes", type=int, default=table.PROCESSES, show_default=True)
def bench_table(base_seeds: int, fault_seeds: int, processes: int) -> None:
    """Print a Markdown table of the results for every scenario, load and policy."""
    cells = table.cells(base_seeds=base_seeds, fault_seeds=fault_seeds)
    for line in table.rows(cells, processes=processes):
        click.echo(line)


@click.command("bench-limits")
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--hosts", type=int, default=6, show_default=True)
def bench_limits(seeds: int, hosts: int) -> None:
    """Measure how exactly plans' limits hold across hosts, and print one JSON object per run."""
    for kind in ("rate", "concurrency"):
        for dead in (False, True):
            for seed in range(1, seeds + 1):
                result = limits.measure(kind=kind, seed=seed, hosts=hosts, dead=dead)
                click.echo(msgspec.json.encode(result).decode())


@click.command("bench-cost")
def bench_cost() -> None:
    """Time routing decisions at several sizes, and print one JSON object per size."""
    for engines, in_flight, prefixes in cost.grid():
        result = cost.measure(engines=engines, in_flight=in_flight, prefixes=prefixes)
        click.echo(msgspec.json.encode(result).decode())
