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

    def __init__(self, deployment: Deployment, asks: list[Ask], targets: Targets) -> None:
        traits = [one for _, _, one in deployment.engines()]
        self.decode = sum(
            one.max_output_rate(targets.between_outputs) for one in traits if "decode" in one.roles
        )
        self.engine_decode = max(one.max_output_rate(targets.between_outputs) for one in traits)
        output = sum(one.output for one in asks)
        self.mean_output = output / len(asks)
        rate = sum(one.prefill_rate for one in traits)
        self.prefill = rate * output / max(1, _first_time_tokens(asks))

    def bound(self, lost_share: float = 0.0) -> float:
        """Return the smaller of the bounds by decode and by prefill, in tokens/s.

        Args:
            lost_share: Share of the measured time in which one decode engine is lost, 0 to 1.
        """
        return min(self.decode - lost_share * self.engine_decode, self.prefill)


def _first_time_tokens(asks: list[Ask]) -> int:
    seen: set[int] = set()
    tokens = 0
    for ask in asks:
        for one in ask.segments:
            if one.prefix not in seen:
                seen.add(one.prefix)
                tokens += one.tokens
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
    asks, capacity = _workload(deployment, seed, load)
    callers = Callers(asks=asks, seed=seed, ignore_retry_after=False)

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
    asks = deployment.requests(deployment, random.Random(f"asks {seed}"), rate)
    return asks, capacity


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


def _figures(one: FinishedRun) -> Figures:
    outcomes = list(one.callers.outcomes.values())
    begin, end = BOOT_S + WARM_UP_S, BOOT_S + ARRIVAL_WINDOW_S
    done = [out for out in outcomes if out.done]
    on_time = [out for out in done if out.met_targets(one.targets)]
    good = sum(out.ask.output for out in on_time if begin <= out.done < end)
    offered = sum(out.ask.output for out in outcomes) / ARRIVAL_WINDOW_S
    first = sorted(out.time_to_first_output() for out in done if not out.ask.may_wait)
    between = sorted(out.mean_output_interval() for out in done)
    wasted = one.callers.wasted_tokens() / max(1, one.callers.prefilled_tokens)
    return Figures(
        scenario=one.scenario,
        policy=one.policy,
        seed=one.seed,
        load=one.load,
        hosts=len(one.world.hosts),
        goodput=round(good / (end - begin), 1),
        wasted_prefill=round(wasted, 5),
        bound=round(min(offered, one.capacity.bound(scenarios.lost_share(one.scenario))), 1),
        offered=round(offered, 1),
        requests=len(outcomes),
        answered=len(done),
        late=len(done) - len(on_time),
        unanswered=len(outcomes) - len(done),
        refusals=one.callers.refusals,
        first_output_p50=_quantile(first, 0.50),
        first_output_p95=_quantile(first, 0.95),
        first_output_p99=_quantile(first, 0.99),
        between_p50=_quantile(between, 0.50),
        between_p95=_quantile(between, 0.95),
        between_p99=_quantile(between, 0.99),
        fairness=_fairness(outcomes, on_time),
        events=one.world.events,
        messages=one.world.messages,
    )


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return round(values[min(len(values) - 1, int(share * len(values)))], 4)


def _fairness(outcomes: list[Outcome], on_time: list[Outcome]) -> float:
    asked: dict[str, int] = {}
    got: dict[str, int] = {}
    for out in outcomes:
        asked[out.ask.customer] = asked.get(out.ask.customer, 0) + out.ask.output
    for out in on_time:
        got[out.ask.customer] = got.get(out.ask.customer, 0) + out.ask.output
    shares = [got.get(name, 0) / tokens for name, tokens in asked.items()]
    squares = sum(share * share for share in shares)
    return round(sum(shares) ** 2 / (len(shares) * squares), 4) if squares else 0.0


def _without_scorer(name: str) -> typing.Callable[[State], None]:
    def configure(state: State) -> None:
        mine = state["coordinator"]
        mine.scorers = tuple(one for one in mine.scorers if one != name)

    return configure


def _without_step(name: str) -> typing.Callable[[State], None]:
    def configure(state: State) -> None:
        state["coordinator"].steps -= {name}

    return configure


def _without_home_zone(state: State) -> None:
    state["pools"].by_affinity = False


ABLATIONS = {
    **{name: _without_scorer(name) for name in choice.SCORERS},
    **{name: _without_step(name) for name in sorted(grants.OPTIONAL_STEPS)},
    "home_zone": _without_home_zone,
}
