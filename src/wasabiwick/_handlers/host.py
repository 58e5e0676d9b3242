"""Start and graceful shutdown of the host."""

import typing

from .._effects import EndProcess, StartTimer
from .._events import Booted, StopAsked, TimerFired
from .._reducer import Step, handles, on_timer
from .._state import State

DRAIN_CHECK = 0.05  # Seconds between looks at what is still in flight.

BusyCheck = typing.Callable[[State], int]

RoleReport = typing.Callable[[State], typing.Iterable[str]]

_BUSY_CHECKS: list[BusyCheck] = []
_ROLE_REPORTS: list[RoleReport] = []


def busy_check(check: BusyCheck) -> BusyCheck:
    """Register a function that counts work which a graceful shutdown has to wait for."""
    _BUSY_CHECKS.append(check)
    return check


def in_flight(state: State) -> int:
    """Count the work that a graceful shutdown would wait for."""
    return sum(check(state) for check in _BUSY_CHECKS)


def role_report(report: RoleReport) -> RoleReport:
    """Register a function that names the soft roles which this host holds."""
    _ROLE_REPORTS.append(report)
    return report


def roles_held(state: State) -> list[str]:
    """Return the soft roles that this host holds."""
    return sorted(role for report in _ROLE_REPORTS for role in report(state))


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
