"""Scenarios: a base workload, alone or with a fault."""

import typing

from .callers import Callers
from .workload import DEPLOYMENTS, WARM_UP, WINDOW, Deployment
from .world import World

FAULT_AT = 14.0  # Seconds after the first call.
FAULT_ENDS = 24.0
SLOW_FACTOR = 3.0
STALE_LAG = 2.0  # Seconds.

LOST_FOR = {
    "engine_loss": WINDOW - FAULT_AT,
    "slow_engine": FAULT_ENDS - FAULT_AT,
    "two_faults": WINDOW - FAULT_AT,
}  # Seconds of the measured time in which one decode engine can't meet the target.

Fault = typing.Callable[[World, Callers], None]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> typing.Callable[[Fault], Fault]:
    """Register a fault, which schedules what goes wrong."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def names() -> list[str]:
    """Return the names of all scenarios."""
    faulty = [f"{base}.{name}" for base in DEPLOYMENTS for name in FAULTS]
    return [*DEPLOYMENTS, *faulty]


def split(scenario: str) -> tuple[Deployment, Fault | None]:
    """Return a scenario's deployment and fault.

    Raises:
        ValueError: If the scenario does not exist.
    """
    base, _, name = scenario.partition(".")
    if base not in DEPLOYMENTS or (name and name not in FAULTS):
        raise ValueError(f"scenario {scenario!r} does not exist")
    return DEPLOYMENTS[base], FAULTS.get(name)


def lost_share(scenario: str) -> float:
    """Return the part of the measured time in which one decode engine is lost, 0 to 1."""
    return LOST_FOR.get(scenario.partition(".")[2], 0.0) / (WINDOW - WARM_UP)


def decode_engines(world: World) -> list[str]:
    """Return the names of the engines that decode."""
    return [one.name for one in world.engines.values() if "decode" in one.traits.roles]


@fault("retry_storm")
def retry_storm(world: World, callers: Callers) -> None:
    """Callers ignore Retry-After and call again at once."""
    callers.impatient = True


@fault("engine_loss")
def engine_loss(world: World, callers: Callers) -> None:
    """A decode engine's process dies."""
    name = decode_engines(world)[0]
    world.after(FAULT_AT, lambda: world.lose_engine(name))


@fault("slow_engine")
def slow_engine(world: World, callers: Callers) -> None:
    """A decode engine runs slowly for some time."""
    engine = world.engines[decode_engines(world)[1]]
    world.after(FAULT_AT, lambda: engine.set_slow(SLOW_FACTOR))
    world.after(FAULT_ENDS, lambda: engine.set_slow(1.0))


@fault("stalled_link")
def stalled_link(world: World, callers: Callers) -> None:
    """Transfers into a decode engine stall for some time."""
    engine = world.engines[decode_engines(world)[2]]
    world.after(FAULT_AT, lambda: setattr(engine, "link_stalled", True))
    world.after(FAULT_ENDS, lambda: setattr(engine, "link_stalled", False))


@fault("zone_cut")
def zone_cut(world: World, callers: Callers) -> None:
    """A zone can't reach the others for some time."""
    zone = world.deployment.zones[-1]
    world.after(FAULT_AT, lambda: setattr(world, "cut_zone", zone))
    world.after(FAULT_ENDS, lambda: setattr(world, "cut_zone", ""))


@fault("stale_reports")
def stale_reports(world: World, callers: Callers) -> None:
    """Engines' reports are two seconds old."""
    world.report_lag = STALE_LAG


@fault("host_restart")
def host_restart(world: World, callers: Callers) -> None:
    """An entry host's process dies and starts again a second later."""
    host = next(iter(world.hosts.values()))

    def lose() -> None:
        world.lose_host(host.name)
        callers.host_lost(host.name)

    world.after(FAULT_AT, lose)
    world.after(FAULT_AT + 1.0, lambda: world.boot(host.name, host.zone, 2))


@fault("two_faults")
def two_faults(world: World, callers: Callers) -> None:
    """An engine dies and, while work moves away from it, a host does."""
    engine_loss(world, callers)
    host_restart(world, callers)
