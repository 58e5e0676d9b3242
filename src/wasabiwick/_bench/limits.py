"""Measures how exactly plans' limits hold over several hosts behind an uneven balancer."""

import random

import msgspec

from .._handlers.limits import coordinator_of
from .callers import Callers
from .run import START
from .workload import DEPLOYMENTS, Ask, Deployment, Segment
from .world import World

RATE = 8.0  # Requests/s of the plan.
BURST = 8.0
CONCURRENCY = 12
OFFERED = 3.0  # Requests asked for, as a multiple of the plan.
ARRIVALS = 40.0  # Seconds.
FROM, UNTIL = 5.0, 35.0  # Seconds that are counted.
DETECTION = 3.0  # Seconds after a host's death that are not counted.
DEATH = 15.0
OUTPUT = 16  # Tokens, so short that capacity is never the limit.
LONG_OUTPUT = 400


class LimitFigures(msgspec.Struct, frozen=True):
    """Admitted requests of the two customers as a share of what their plan allows.

    For concurrency, the mean and the most requests in flight at once, by the plan's number.
    """

    kind: str
    seed: int
    hosts: int
    dead: bool
    admitted: float
    most: float


def _short(deployment: Deployment, rng: random.Random, rate: float) -> list[Ask]:
    return _asks(deployment, rng, rate, OUTPUT)


def _long(deployment: Deployment, rng: random.Random, rate: float) -> list[Ask]:
    return _asks(deployment, rng, rate, LONG_OUTPUT)


def _asks(deployment: Deployment, rng: random.Random, rate: float, output: int) -> list[Ask]:
    asks = []
    for customer in deployment.customers:
        at = 0.0
        while at < ARRIVALS:
            at += rng.expovariate(rate)
            number = len(asks)
            segments = (Segment(prefix=number + 1, tokens=200, start=0),)
            asks.append(
                Ask(
                    request_id=f"r{number}",
                    at=at,
                    customer=customer,
                    segments=segments,
                    output=output,
                    may_wait=False,
                )
            )
    return asks


def measure(*, kind: str, seed: int, hosts: int, dead: bool) -> LimitFigures:
    """Run two customers that ask for three times their plan.

    Args:
        kind: ``rate`` or ``concurrency``.
        seed: Seed of arrivals, balancer and hosts.
        hosts: Number of entry hosts.
        dead: Whether the coordinator of one customer's budget dies; the time until its death is
            detected is not counted.

    Returns:
        What was admitted.
    """
    base = DEPLOYMENTS["sunday"]
    by_rate = kind == "rate"
    deployment = Deployment(
        model=base.model,
        zones=base.zones,
        decode=base.decode,
        prefill=base.prefill,
        customers=2,
        may_wait=0.0,
        requests=_short if by_rate else _long,
        limits={
            "rate": RATE if by_rate else 1e4,
            "burst": BURST if by_rate else 1e4,
            "concurrency": 100_000 if by_rate else CONCURRENCY,
            "tokens_per_minute": 1e9,
        },
    )
    asks = deployment.requests(deployment, random.Random(f"limits {seed}"), OFFERED * RATE)
    callers = Callers(asks=asks, seed=seed, impatient=False)
    world = World(
        deployment=deployment,
        hosts=hosts,
        seed=seed,
        configure=lambda state: None,
        answers=callers,
    )
    world.run(START)
    callers.begin(world)
    if dead:
        _kill_coordinator(world, callers)
    samples = _sample_in_flight(world)
    world.run(START + ARRIVALS)
    return _figures(kind, seed, hosts, dead, callers, samples)


def _kill_coordinator(world: World, callers: Callers) -> None:
    def lose() -> None:
        state = next(iter(world.hosts.values())).state
        name = coordinator_of(state, world.deployment.customers[0])
        world.lose_host(name)
        callers.host_lost(name)

    world.after(DEATH, lose)


def _sample_in_flight(world: World) -> list[tuple[float, int]]:
    samples: list[tuple[float, int]] = []

    def sample() -> None:
        in_flight = sum(
            account.in_flight
            for host in world.hosts.values()
            if host.alive
            for account in host.state["admission"].customers.values()
        )
        samples.append((world.now - START, in_flight))
        world.after(0.05, sample)

    sample()
    return samples


def _counts(at: float, dead: bool) -> bool:
    in_detection = dead and DEATH <= at < DEATH + DETECTION
    return FROM <= at < UNTIL and not in_detection


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
        seconds = UNTIL - FROM - (DETECTION if dead else 0.0)
        done = [out for out in callers.outcomes.values() if out.first]
        served = sum(1 for out in done if _counts(out.first - START, dead))
        share = served / (seconds * RATE * customers)
        return LimitFigures(kind, seed, hosts, dead, round(share, 4), round(share, 4))
    counted = [number for at, number in samples if _counts(at, dead)]
    limit = CONCURRENCY * customers
    mean = sum(counted) / len(counted) / limit
    return LimitFigures(kind, seed, hosts, dead, round(mean, 4), round(max(counted) / limit, 4))
