"""Plots goodput over load, one curve for each policy."""

from . import policies
from .run import run
from .table import LOADS


def plot(*, scenario: str, seed: int, hosts: int, path: str) -> None:
    """Simulate a scenario at the table's loads under every policy and plot the goodput.

    Args:
        scenario: Name of the scenario.
        seed: Seed of the runs.
        hosts: Number of entry hosts, or 0 for the scenario's default.
        path: File to write; its suffix selects the image format.
    """
    import matplotlib  # Slow to import, and only needed here.

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    bounds = []
    for policy in policies.POLICIES:
        runs = [
            run(scenario=scenario, policy=policy, seed=seed, hosts=hosts, load=load)
            for load in LOADS
        ]
        bounds = [one.bound for one in runs]
        axes.plot(LOADS, [one.goodput for one in runs], marker="o", label=policy)
    axes.plot(LOADS, bounds, linestyle="--", color="black", label="bound")
    axes.set(xlabel="load", ylabel="goodput (tokens/s)", title=f"{scenario}, seed {seed}")
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
