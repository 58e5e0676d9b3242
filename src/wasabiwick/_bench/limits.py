"""Measures how closely several hosts behind an uneven balancer keep the limits of plans."""

import random

import msgspec

from .._handlers.limits import coordinator_of
from .callers import Callers
from .run import BOOT_S
from .workload import DEPLOYMENTS, Ask, Deployment, Segment
from .world import World

PLAN_RATE = 8.0  # Requests/s that each customer's plan allows.
PLAN_BURST = 8.0  # Requests that a plan allows in one burst.
PLAN_CONCURRENCY = 12  # Requests that a plan allows in flight at once.
OFFERED_MULTIPLE = 3.0  # Each customer's offered rate as a multiple of the plan's rate.
ARRIVAL_PERIOD_S = 40.0  # Time from the callers' start in which requests arrive.
COUNT_FROM_S, COUNT_UNTIL_S = 5.0, 35.0  # Start and end of the measured time, after callers start.
# Time after a crash that is not measured, because other hosts may not have detected the crash.
DETECTION_S = 3.0
CRASH_AT_S = 15.0  # Time from the callers' start to the crash.
# Length of answers if rate limits are measured; too short for engines' capacity to limit requests.
SHORT_OUTPUT_TOKENS = 16
LONG_OUTPUT_TOKENS = 400  # Length of answers if concurrency limits are measured.


class LimitFigures(msgspec.Struct, frozen=True):
    """Admitted requests of both customers as a share of what their plan allows.

    If ``kind`` is ``concurrency``, ``admitted`` is the mean and ``most`` the largest number of
    requests in flight, divided by the number that the plans allow. If it is ``rate``, both are the
    number of requests served, divided by the number that the plans allow. ``dead`` tells whether a
    coordinator of limits was killed.
    """

    kind: str
    seed: int
    hosts: int
    dead: bool
    admitted: float
    most: float


def _short_requests(deployment: Deployment, rng: random.Random, rate: float) -> list[Ask]:
    return _requests(deployment, rng, rate, SHORT_OUTPUT_TOKENS)


def _long_requests(deployment: Deployment, rng: random.Random, rate: float) -> list[Ask]:
    return _requests(deployment, rng, rate, LONG_OUTPUT_TOKENS)


def _requests(deployment: Deployment, rng: random.Random, rate: float, output: int) -> list[Ask]:
    simulated_requests = []
    for customer in deployment.customers:
        at = 0.0
        while at < ARRIVAL_PERIOD_S:
            at += rng.expovariate(rate)
            number = len(simulated_requests)
            segments = (Segment(prefix=number + 1, tokens=200, start=0),)
            simulated_requests.append(
                Ask(
                    request_id=f"r{number}",
                    at=at,
                    customer=customer,
                    segments=segments,
                    output=output,
                    may_wait=False,
                )
            )
    return simulated_requests


def measure(*, kind: str, seed: int, hosts: int, dead: bool) -> LimitFigures:
    """Simulate two customers that offer three times the rate of their plan.

    Args:
        kind: ``rate`` or ``concurrency``.
        seed: Seed of arrivals, balancer and hosts.
        hosts: Number of entry hosts.
        dead: Whether the host that coordinates one customer's limits dies; the first
            `DETECTION_S` seconds after its death are not counted.

    Returns:
        The admitted requests as a share of what the plans allow.
    """
    base = DEPLOYMENTS["sunday"]
    is_rate = kind == "rate"
    deployment = Deployment(
        model=base.model,
        zones=base.zones,
        decode=base.decode,
        prefill=base.prefill,
        customers=2,
        may_wait=0.0,
        requests=_short_requests if is_rate else _long_requests,
        limits={
            "rate": PLAN_RATE if is_rate else 1e4,
            "burst": PLAN_BURST if is_rate else 1e4,
            "concurrency": 100_000 if is_rate else PLAN_CONCURRENCY,
            "tokens_per_minute": 1e9,
        },
    )
    simulated_requests = deployment.requests(
        deployment, random.Random(f"limits {seed}"), OFFERED_MULTIPLE * PLAN_RATE
    )
    callers = Callers(asks=simulated_requests, seed=seed, ignore_retry_after=False)
    world = World(
        deployment=deployment,
        hosts=hosts,
        seed=seed,
        configure=lambda state: None,
        callers=callers,
    )
    world.run(BOOT_S)
    callers.start(world)
    if dead:
        _kill_coordinator(world, callers)
    samples = _sample_in_flight(world)
    world.run(BOOT_S + ARRIVAL_PERIOD_S)
    return _figures(kind, seed, hosts, dead, callers, samples)


def _kill_coordinator(world: World, callers: Callers) -> None:
    def crash() -> None:
        state = next(iter(world.hosts.values())).state
        name = coordinator_of(state, world.deployment.customers[0])
        world.crash_host(name)
        callers.host_lost(name)

    world.after(CRASH_AT_S, crash)


def _sample_in_flight(world: World) -> list[tuple[float, int]]:
    samples: list[tuple[float, int]] = []

    def sample() -> None:
        in_flight = sum(
            customer.in_flight
            for host in world.hosts.values()
            if host.alive
            for customer in host.state["admission"].customers.values()
        )
        samples.append((world.now - BOOT_S, in_flight))
        world.after(0.05, sample)

    sample()
    return samples


def _is_counted(at: float, dead: bool) -> bool:
    in_detection = dead and CRASH_AT_S <= at < CRASH_AT_S + DETECTION_S
    return COUNT_FROM_S <= at < COUNT_UNTIL_S and not in_detection


def _figures(
    kind: str,
    seed: int,
    hosts: int,
    dead: bool,
    callers: Callers,
    samples: list[tuple[float, int]],
) -> LimitFigures:
    customers = 2
    if kind == "rate":
        seconds = COUNT_UNTIL_S - COUNT_FROM_S - (DETECTION_S if dead else 0.0)
        started_outcomes = [outcome for outcome in callers.outcomes.values() if outcome.first]
        served_count = sum(
            1 for outcome in started_outcomes if _is_counted(outcome.first - BOOT_S, dead)
        )
        share = served_count / (seconds * PLAN_RATE * customers)
        return LimitFigures(kind, seed, hosts, dead, round(share, 4), round(share, 4))
    in_flight_counts = [number for at, number in samples if _is_counted(at, dead)]
    limit = PLAN_CONCURRENCY * customers
    mean = sum(in_flight_counts) / len(in_flight_counts) / limit
    return LimitFigures(
        kind, seed, hosts, dead, round(mean, 4), round(max(in_flight_counts) / limit, 4)
    )
