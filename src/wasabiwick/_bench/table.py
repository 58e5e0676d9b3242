"""Makes the table of docs/BENCH.md: each scenario, load and policy, averaged over seeds."""

import concurrent.futures
import typing

from . import policies, scenarios
from .run import Figures, run
from .workload import DEPLOYMENTS

LOADS = (0.7, 1.0, 1.3, 2.0)  # Offered output as a share of the deployment's upper bound.
PROCESSES = 3
HEADER = (
    "scenario",
    "load",
    "policy",
    "seeds",
    "goodput (tokens/s)",
    "of bound",
    "wasted prefill",
    "late",
    "unanswered",
    "refusals per request",
    "first output p50/p95/p99 (s)",
    "between outputs p50/p95/p99 (ms)",
    "fairness",
)


class Cell:
    """One line of the table: a scenario, load and policy, and how many seeds to average over."""

    __slots__ = ("scenario", "load", "policy", "seeds")

    def __init__(self, *, scenario: str, load: float, policy: str, seeds: int) -> None:
        self.scenario = scenario
        self.load = load
        self.policy = policy
        self.seeds = seeds


def cells(*, base_seeds: int, fault_seeds: int) -> list[Cell]:
    """Return the cells, one for each line of the table.

    Args:
        base_seeds: Number of seeds of scenarios without a fault; 0 omits them.
        fault_seeds: Number of seeds of scenarios with a fault; 0 omits them.
    """
    table_cells = []
    for scenario in scenarios.names():
        seeds = base_seeds if scenario in DEPLOYMENTS else fault_seeds
        table_cells += [
            Cell(scenario=scenario, load=load, policy=policy, seeds=seeds)
            for load in LOADS
            for policy in policies.POLICIES
            if seeds
        ]
    return table_cells


def _run(scenario: str, load: float, policy: str, seed: int) -> Figures:
    return run(scenario=scenario, policy=policy, seed=seed, hosts=0, load=load)


def rows(table_cells: list[Cell], *, processes: int = PROCESSES) -> typing.Iterator[str]:
    """Simulate the cells in parallel and yield the table's lines in Markdown."""
    yield "| " + " | ".join(HEADER) + " |"
    yield "|" + " --- |" * len(HEADER)
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        futures = [
            [
                pool.submit(_run, one.scenario, one.load, one.policy, seed)
                for seed in range(1, one.seeds + 1)
            ]
            for one in table_cells
        ]
        for one, cell_futures in zip(table_cells, futures, strict=True):
            yield _row(one, [future.result() for future in cell_futures])


def _row(cell: Cell, runs: list[Figures]) -> str:
    def mean(name: str) -> float:
        return sum(getattr(one, name) for one in runs) / len(runs)

    requests = mean("requests")
    first_output_text = "/".join(f"{mean(f'first_output_p{share}'):.2f}" for share in (50, 95, 99))
    interval_text = "/".join(f"{1000 * mean(f'between_p{share}'):.0f}" for share in (50, 95, 99))
    values = (
        cell.scenario,
        f"{cell.load}",
        cell.policy,
        f"{cell.seeds}",
        f"{mean('goodput'):.0f}",
        f"{sum(one.goodput / one.bound for one in runs) / len(runs):.2f}",
        f"{100 * mean('wasted_prefill'):.2f}%",
        f"{100 * mean('late') / requests:.1f}%",
        f"{mean('unanswered'):.1f}",
        f"{mean('refusals') / requests:.2f}",
        first_output_text,
        interval_text,
        f"{mean('fairness'):.3f}",
    )
    return "| " + " | ".join(values) + " |"
