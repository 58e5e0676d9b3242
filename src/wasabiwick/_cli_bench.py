"""``wasabiwick bench``: the real reducers on a virtual clock."""

import click
import msgspec

from ._bench import policies, run, scenarios


@click.command()
@click.option("--scenario", type=click.Choice(scenarios.names()), default="sunday")
@click.option("--policy", type=click.Choice(policies.POLICIES), default=policies.OURS)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--hosts", type=int, default=0, help="Entry hosts; 0 for the scenario's own number.")
@click.option("--load", type=float, default=1.0, help="Offered output as a share of the bound.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def bench(scenario: str, policy: str, seed: int, hosts: int, load: float, as_json: bool) -> None:
    """Run a scenario under a policy and print what it measured."""
    figures = run.run(scenario=scenario, policy=policy, seed=seed, hosts=hosts, load=load)
    if as_json:
        click.echo(msgspec.json.encode(figures).decode())
        return
    for name, value in msgspec.structs.asdict(figures).items():
        click.echo(f"{name:18} {value}")
