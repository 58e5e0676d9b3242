"""Runs one simulation and computes its goodput, waste, latencies and fairness."""

import random
import typing

import msgspec

from .._effects import FetchReport
from .._handlers import choice, grants
from .._settings import Targets
from .._state import State
from . import policies, scenarios
from .callers import Callers, Outcome
from .workload import ARRIVAL_WINDOW_S, WARM_UP_S, Ask, Deployment
from .world import World

DRAIN_S = 90.0  # Time simulated after the last arrival, so that late answers can complete.
BASELINE_POLL_S = 0.25  # Time between a host's polls of an engine, if the policy is a baseline.
DEFAULT_HOSTS = {"sunday": 6, "counter_day": 8}


class Figures(msgspec.Struct, frozen=True):
    """Figures of one simulation; times in seconds, rates in tokens/s, shares from 0 to 1.

    ``fairness`` is Jain's index over the share of each customer's output tokens that met the
    latency targets. ``load`` is the offered output as a share of the upper bound
    (`Capacity.bound`) without a fault.
    ``late`` counts complete answers that missed a latency target.
    """

    scenario: str
    policy: str
    seed: int
    load: float
    hosts: int
    goodput: float
    wasted_prefill: float
    bound: float
    offered: float
    requests: int
    answered: int
    late: int
    unanswered: int
    refusals: int
    first_output_p50: float
    first_output_p95: float
    first_output_p99: float
    between_p50: float
    between_p95: float
    between_p99: float
    fairness: float
    events: int
    messages: int


class Capacity:
    """Upper bounds of a deployment's output rate, in tokens/s, with perfect decisions.

    ``decode`` is the sum over all decode engines, each at the batch size with the highest rate that
    meets the target interval, and ``engine_decode`` the rate of the fastest engine. ``prefill`` is
    the rate of output whose prompts all engines together can prefill, if each shared prefix is
    prefilled only once.
    """

    __slots__ = ("decode", "prefill", "mean_output", "engine_decode")

    def __init__(
        self, deployment: Deployment, simulated_requests: list[Ask], targets: Targets
    ) -> None:
        traits = [one for _, _, one in deployment.engines()]
        self.decode = sum(
            one.max_output_rate(targets.between_outputs) for one in traits if "decode" in one.roles
        )
        self.engine_decode = max(one.max_output_rate(targets.between_outputs) for one in traits)
        output = sum(one.output for one in simulated_requests)
        self.mean_output = output / len(simulated_requests)
        rate = sum(one.prefill_rate for one in traits)
        self.prefill = rate * output / max(1, _distinct_prefix_tokens(simulated_requests))

    def bound(self, lost_share: float = 0.0) -> float:
        """Return the smaller of the bounds by decode and by prefill, in tokens/s.

        Args:
            lost_share: Share of the measured time in which one decode engine is lost, 0 to 1.
        """
        return min(self.decode - lost_share * self.engine_decode, self.prefill)


def _distinct_prefix_tokens(simulated_requests: list[Ask]) -> int:
    """Return the number of prompt tokens of all requests, with each shared prefix counted once."""
    counted_prefixes: set[int] = set()
    tokens = 0
    for ask in simulated_requests:
        for segment in ask.segments:
            if segment.prefix not in counted_prefixes:
                counted_prefixes.add(segment.prefix)
                tokens += segment.tokens
    return tokens


def run(
    *,
    scenario: str,
    policy: str,
    seed: int,
    hosts: int,
    load: float,
    without: tuple[str, ...] = (),
) -> Figures:
    """Simulate one scenario under one policy.

    Args:
        scenario: Name of the scenario.
        policy: Name of the policy.
        seed: Seed of workload, network and hosts.
        hosts: Number of entry hosts, or 0 for the scenario's default.
        load: Offered output tokens as a share of the upper bound without a fault.
        without: Names of the `ABLATIONS` to apply, each of which disables one decision.

    Returns:
        The figures of the measured time.
    """
    deployment, fault = scenarios.split(scenario)
    simulated_requests, capacity = _workload(deployment, seed, load)
    callers = Callers(asks=simulated_requests, seed=seed, ignore_retry_after=False)

    def configure(state: State) -> None:
        state["slots"].policy = "reserve" if policy == policies.OURS else policy
        for name in without:
            ABLATIONS[name](state)

    world = World(
        deployment=deployment,
        hosts=hosts or DEFAULT_HOSTS[scenario.partition(".")[0]],
        seed=seed,
        configure=configure,
        callers=callers,
    )
    world.run(BOOT_S)
    callers.start(world)
    if policy != policies.OURS:
        _send_reports_to_all(world)
    if fault:
        fault(world, callers)
    world.run(BOOT_S + ARRIVAL_WINDOW_S + DRAIN_S)
    return _figures(FinishedRun(scenario, policy, seed, load, world, callers, capacity, Targets()))


BOOT_S = 2.5  # Time before callers start, in which hosts boot and read engines' reports.


def _workload(deployment: Deployment, seed: int, load: float) -> tuple[list[Ask], Capacity]:
    sample = deployment.requests(deployment, random.Random("probe"), 100.0)
    capacity = Capacity(deployment, sample, Targets())
    rate = load * capacity.bound() / capacity.mean_output
    simulated_requests = deployment.requests(deployment, random.Random(f"asks {seed}"), rate)
    return simulated_requests, capacity


def _send_reports_to_all(world: World) -> None:
    for host in world.hosts.values():
        for name in world.engines:
            world.fetch_report(host, FetchReport(endpoint=name))
    if world.now < BOOT_S + ARRIVAL_WINDOW_S + DRAIN_S:
        world.after(BASELINE_POLL_S, lambda: _send_reports_to_all(world))


class FinishedRun:
    """A finished simulation and its inputs, from which the figures are computed."""

    __slots__ = (
        "scenario",
        "policy",
        "seed",
        "load",
        "world",
        "callers",
        "capacity",
        "targets",
    )

    def __init__(
        self,
        scenario: str,
        policy: str,
        seed: int,
        load: float,
        world: World,
        callers: Callers,
        capacity: Capacity,
        targets: Targets,
    ) -> None:
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.load = load
        self.world = world
        self.callers = callers
        self.capacity = capacity
        self.targets = targets


def _figures(finished_run: FinishedRun) -> Figures:
    outcomes = list(finished_run.callers.outcomes.values())
    window_start, window_end = BOOT_S + WARM_UP_S, BOOT_S + ARRIVAL_WINDOW_S
    answered_outcomes = [outcome for outcome in outcomes if outcome.done]
    timely_outcomes = [
        outcome for outcome in answered_outcomes if outcome.met_targets(finished_run.targets)
    ]
    good_tokens = sum(
        outcome.ask.output
        for outcome in timely_outcomes
        if window_start <= outcome.done < window_end
    )
    offered_rate = sum(outcome.ask.output for outcome in outcomes) / ARRIVAL_WINDOW_S
    first_output_times = sorted(
        outcome.time_to_first_output() for outcome in answered_outcomes if not outcome.ask.may_wait
    )
    output_intervals = sorted(outcome.mean_output_interval() for outcome in answered_outcomes)
    wasted_share = finished_run.callers.wasted_tokens() / max(
        1, finished_run.callers.prefilled_tokens
    )
    return Figures(
        scenario=finished_run.scenario,
        policy=finished_run.policy,
        seed=finished_run.seed,
        load=finished_run.load,
        hosts=len(finished_run.world.hosts),
        goodput=round(good_tokens / (window_end - window_start), 1),
        wasted_prefill=round(wasted_share, 5),
        bound=round(
            min(
                offered_rate,
                finished_run.capacity.bound(scenarios.lost_share(finished_run.scenario)),
            ),
            1,
        ),
        offered=round(offered_rate, 1),
        requests=len(outcomes),
        answered=len(answered_outcomes),
        late=len(answered_outcomes) - len(timely_outcomes),
        unanswered=len(outcomes) - len(answered_outcomes),
        refusals=finished_run.callers.refusals,
        first_output_p50=_quantile(first_output_times, 0.50),
        first_output_p95=_quantile(first_output_times, 0.95),
        first_output_p99=_quantile(first_output_times, 0.99),
        between_p50=_quantile(output_intervals, 0.50),
        between_p95=_quantile(output_intervals, 0.95),
        between_p99=_quantile(output_intervals, 0.99),
        fairness=_fairness(outcomes, timely_outcomes),
        events=finished_run.world.events,
        messages=finished_run.world.messages,
    )


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return round(values[min(len(values) - 1, int(share * len(values)))], 4)


def _fairness(outcomes: list[Outcome], timely_outcomes: list[Outcome]) -> float:
    offered_tokens: dict[str, int] = {}
    timely_tokens: dict[str, int] = {}
    for outcome in outcomes:
        offered_tokens[outcome.ask.customer] = (
            offered_tokens.get(outcome.ask.customer, 0) + outcome.ask.output
        )
    for outcome in timely_outcomes:
        timely_tokens[outcome.ask.customer] = (
            timely_tokens.get(outcome.ask.customer, 0) + outcome.ask.output
        )
    shares = [timely_tokens.get(name, 0) / tokens for name, tokens in offered_tokens.items()]
    squares = sum(share * share for share in shares)
    return round(sum(shares) ** 2 / (len(shares) * squares), 4) if squares else 0.0


def _scorer_ablation(name: str) -> typing.Callable[[State], None]:
    def configure(state: State) -> None:
        coordinator = state["coordinator"]
        coordinator.scorers = tuple(one for one in coordinator.scorers if one != name)

    return configure


def _grant_step_ablation(name: str) -> typing.Callable[[State], None]:
    def configure(state: State) -> None:
        state["coordinator"].steps -= {name}

    return configure


def _disable_home_zone(state: State) -> None:
    state["pools"].by_affinity = False


ABLATIONS = {
    **{name: _scorer_ablation(name) for name in choice.SCORERS},
    **{name: _grant_step_ablation(name) for name in sorted(grants.OPTIONAL_STEPS)},
    "home_zone": _disable_home_zone,
}
