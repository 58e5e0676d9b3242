"""Start and graceful shutdown of the host."""

import typing

from .._effects import EndProcess, StartTimer
from .._events import Booted, StopAsked, TimerFired
from .._reducer import Step, handles, on_timer
from .._state import State

DRAIN_CHECK = 0.05  # Seconds between looks at what is still in flight.

BusyCheck = typing.Callable[[State], int]

_BUSY_CHECKS: list[BusyCheck] = []


def busy_check(check: BusyCheck) -> BusyCheck:
    """Register a function that counts work which a graceful shutdown has to wait for."""
    _BUSY_CHECKS.append(check)
    return check


def in_flight(state: State) -> int:
    """Count the work that a graceful shutdown would wait for."""
    return sum(check(state) for check in _BUSY_CHECKS)


@handles(Booted)
def boot(state: State, event: Booted) -> None:
    """Take over the identity of the new process."""
    state.boot(at=event.at, owner=event.owner, zone=event.zone, wall=event.wall, seed=event.seed)


@handles(StopAsked)
def stop(state: State, event: StopAsked) -> typing.Iterator[Step]:
    """Begin the graceful shutdown: no new work from now on."""
    state.stopping = True
    yield StartTimer(timer="drain", delay=DRAIN_CHECK)


@on_timer("drain")
def check_drained(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """End the process once nothing is in flight."""
    if in_flight(state):
        yield StartTimer(timer="drain", delay=DRAIN_CHECK)
    else:
        yield EndProcess()
