"""Start, pause detection and graceful shutdown of the host process."""

import typing

from .._effects import EndProcess, LogLine, StartTimer
from .._events import Booted, ForwarderBooted, HostPaused, SettingsRead, StopAsked, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice

WATCHDOG_INTERVAL_S = 0.2  # Time between two checks of whether the process was paused.
DRAIN_CHECK_INTERVAL_S = 0.05  # Time between two checks, during shutdown, of work in flight.
# A watchdog check that comes later than this many seconds after it was due was held up.
LATE_CHECK_S = 0.05

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
    """Register a function that names roles which this host holds, such as a pool's coordinator."""
    _ROLE_REPORTS.append(report)
    return report


def roles_held(state: State) -> list[str]:
    """Return the names of all roles that this host holds."""
    return sorted(role for report in _ROLE_REPORTS for role in report(state))


@state_slice("host")
class HostState:
    """Monotonic times of watchdog checks, of the request to stop and of the forced end.

    Attributes:
        watched_at: Time of the last watchdog check.
        watched_before: Time of the check before it.
        stop_asked: Earliest time at which the platform may have asked the process to stop.
        stop_noticed: Time at which the process learned that.
        stop_by: Time at which the process ends, even with work in flight.
    """

    __slots__ = ("watched_at", "watched_before", "stop_asked", "stop_noticed", "stop_by")

    def __init__(self, cfg: Settings) -> None:
        self.watched_at = 0.0
        self.watched_before = 0.0
        self.stop_asked = 0.0
        self.stop_noticed = 0.0
        self.stop_by = float("inf")


def was_paused(state: State, at: float) -> bool:
    """Return whether the process was paused for so long that others may have taken over its work.

    No host takes work over from another that answers within ``timing.peer``.
    """
    return at - state["host"].watched_at > WATCHDOG_INTERVAL_S + state.cfg.timing.peer / 2


def stop_by(state: State) -> float:
    """Return the monotonic time at which a stopping host ends, even with work in flight."""
    return state["host"].stop_by


def notice_ends(state: State) -> float:
    """Return the monotonic time until which a stopping host accepts streams that may be cut off.

    It counts from the earliest time at which the platform may have asked the process to stop.
    """
    return state["host"].stop_asked + state.cfg.timing.stop_notice


@handles(Booted, ForwarderBooted)
def start_process(state: State, event: Booted) -> typing.Iterator[Step]:
    """Set the identity of the new process, and start the watchdog."""
    state.boot(at=event.at, owner=event.owner, zone=event.zone, wall=event.wall, seed=event.seed)
    state["host"].watched_at = state["host"].watched_before = event.at
    yield StartTimer(timer="watchdog", delay=WATCHDOG_INTERVAL_S)


@on_timer("watchdog")
def check_for_pause(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Record that the process runs now, and report a pause if the last check is too old."""
    if was_paused(state, event.at):
        yield HostPaused(at=event.at, seconds=event.at - state["host"].watched_at)
    state["host"].watched_before = state["host"].watched_at
    state["host"].watched_at = event.at
    yield StartTimer(timer="watchdog", delay=WATCHDOG_INTERVAL_S)


@handles(SettingsRead)
def settings_read(state: State, event: SettingsRead) -> typing.Iterator[Step]:
    """Apply the settings that may change while the host runs."""
    timing, forwarding = state.cfg.timing, state.cfg.forwarding
    timing.drain, timing.stop_notice = event.drain, event.stop_notice
    forwarding.retry_ratio = event.retry_ratio
    forwarding.retry_slack = event.retry_slack
    forwarding.retry_window = event.retry_window
    forwarding.limit_window = event.limit_window
    forwarding.limit_overshoot = event.limit_overshoot
    forwarding.limit_slack = event.limit_slack
    yield LogLine(event="settings_in_force", fields={"drain": event.drain})


def _earliest_signal(host: HostState) -> float:
    """Return the earliest time at which a signal may have been sent that is handled now.

    A busy process handles a signal late, but the platform counts from its sending. A signal sent
    before the watchdog's last check would have been handled by then, unless that check was late for
    the same reason as the signal.
    """
    was_late = host.watched_at - host.watched_before > WATCHDOG_INTERVAL_S + LATE_CHECK_S
    return host.watched_before if was_late else host.watched_at


@handles(StopAsked)
def begin_shutdown(state: State, event: StopAsked) -> typing.Iterator[Step]:
    """Begin the graceful shutdown: from now on only work that can end in time is accepted."""
    if state.stopping:
        return
    host = state["host"]
    host.stop_asked = _earliest_signal(host)
    host.stop_noticed = event.at
    timing = state.cfg.timing
    host.stop_by = max(host.stop_asked, event.at - timing.signal_delay) + timing.drain
    fields = {
        "noticed_after": event.at - host.stop_asked,
        "in_flight": in_flight(state),
        "ends_in": host.stop_by - event.at,
    }
    yield LogLine(event="stop_asked", fields=fields)
    yield StartTimer(timer="drain", delay=DRAIN_CHECK_INTERVAL_S)
    # Comes last, as this handler is repeated if it fails before.
    state.stopping = True


@on_timer("drain")
def check_drained(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """End the process once nothing is in flight or the platform's shutdown window has passed."""
    work_in_flight = in_flight(state)
    # A load balancer may still send calls for a while after the host stopped being ready.
    may_end_at = state["host"].stop_noticed + state.cfg.timing.stop_notice
    if event.at < may_end_at or (work_in_flight and event.at < state["host"].stop_by):
        yield StartTimer(timer="drain", delay=DRAIN_CHECK_INTERVAL_S)
        return
    if work_in_flight:
        yield LogLine(event="stopped_early", fields={"in_flight": work_in_flight})
    yield EndProcess()
