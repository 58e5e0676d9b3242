"""Simulation scenarios: the workload of a deployment, alone or with a fault."""

import typing

from .callers import Callers
from .workload import ARRIVAL_WINDOW_S, DEPLOYMENTS, WARM_UP_S, Deployment
from .world import World

FAULT_START_S = 14.0  # Time from the callers' start to the start of each fault.
FAULT_END_S = 24.0  # Time from the callers' start to the end of each temporary fault.
SLOW_FACTOR = 3.0
STALE_REPORT_DELAY_S = 2.0

# For each fault, how long one decode engine can't meet latency targets during the measured time.
ENGINE_LOST_S = {
    "engine_loss": ARRIVAL_WINDOW_S - FAULT_START_S,
    "slow_engine": FAULT_END_S - FAULT_START_S,
    "two_faults": ARRIVAL_WINDOW_S - FAULT_START_S,
}

Fault = typing.Callable[[World, Callers], None]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> typing.Callable[[Fault], Fault]:
    """Register the function that schedules a fault."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def names() -> list[str]:
    """Return the names of all scenarios."""
    fault_scenarios = [f"{base}.{name}" for base in DEPLOYMENTS for name in FAULTS]
    return [*DEPLOYMENTS, *fault_scenarios]


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
    """Return the share of the measured time in which one decode engine is lost, 0 to 1."""
    return ENGINE_LOST_S.get(scenario.partition(".")[2], 0.0) / (ARRIVAL_WINDOW_S - WARM_UP_S)


def decode_engines(world: World) -> list[str]:
    """Return the names of the engines with the role ``decode``."""
    return [one.name for one in world.engines.values() if "decode" in one.traits.roles]


@fault("retry_storm")
def retry_storm(world: World, callers: Callers) -> None:
    """Callers ignore Retry-After and retry within half a second."""
    callers.ignore_retry_after = True


@fault("engine_loss")
def engine_loss(world: World, callers: Callers) -> None:
    """A decode engine's process dies."""
    name = decode_engines(world)[0]
    world.after(FAULT_START_S, lambda: world.crash_engine(name))


@fault("slow_engine")
def slow_engine(world: World, callers: Callers) -> None:
    """A decode engine takes `SLOW_FACTOR` times as long for all work until the fault's end."""
    engine = world.engines[decode_engines(world)[1]]
    world.after(FAULT_START_S, lambda: engine.set_slowdown(SLOW_FACTOR))
    world.after(FAULT_END_S, lambda: engine.set_slowdown(1.0))


@fault("stalled_link")
def stalled_link(world: World, callers: Callers) -> None:
    """KV transfers into a decode engine stall until the fault's end."""
    engine = world.engines[decode_engines(world)[2]]
    world.after(FAULT_START_S, lambda: setattr(engine, "link_stalled", True))
    world.after(FAULT_END_S, lambda: setattr(engine, "link_stalled", False))


@fault("zone_cut")
def zone_cut(world: World, callers: Callers) -> None:
    """An availability zone can't reach the others until the fault's end."""
    zone = world.deployment.zones[-1]
    world.after(FAULT_START_S, lambda: setattr(world, "cut_zone", zone))
    world.after(FAULT_END_S, lambda: setattr(world, "cut_zone", ""))


@fault("stale_reports")
def stale_reports(world: World, callers: Callers) -> None:
    """Engines' reports are two seconds old on arrival."""
    world.report_lag = STALE_REPORT_DELAY_S


@fault("host_restart")
def host_restart(world: World, callers: Callers) -> None:
    """An entry host's process dies and starts again a second later."""
    host = next(iter(world.hosts.values()))

    def crash() -> None:
        world.crash_host(host.name)
        callers.host_lost(host.name)

    world.after(FAULT_START_S, crash)
    world.after(FAULT_START_S + 1.0, lambda: world.boot(host.name, host.zone, 2))


@fault("two_faults")
def two_faults(world: World, callers: Callers) -> None:
    """A decode engine dies and, while its work moves to others, a host dies and restarts."""
    engine_loss(world, callers)
    host_restart(world, callers)
