"""The operators' two lists, plans and allowances, read from the log's configuration stream.

A host that hears of a later version than its own requests it from the host that has it. If it
cannot get the later version, it refuses new work after a grace period, rather than continue under
an older version.
"""

import typing

from .. import _lists
from .._configuration import History, InvalidRecordError, SkippedRecord
from .._effects import Count, LogLine, Observe, SendPeer, StartTimer, StopTimer, TailLog
from .._events import Booted, Event, ListsChanged, LogRead, PeerFailed, PeerMessage, TimerFired
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import AskConfiguration, ConfigurationCopy

STREAM = "configuration"
# A host that knows of a later version of the lists, but does not have it, still accepts new work
# for this long.
BEHIND_GRACE_S = 5.0
LOGGED_DIGEST_LENGTH = 12  # Log lines show this many hexadecimal digits of the lists' digest.
MIN_ASK_INTERVAL_S = 1.0  # Shortest time between two requests for a later version of the lists.


@state_slice("lists")
class ListsState:
    """The configuration stream so far, and the latest version that another host is known to have.

    ``heard`` is that version and ``heard_from`` the host. ``behind`` is set while it is later than
    the version in force here, and ``refusing`` while this host refuses new work for that reason.
    """

    __slots__ = ("history", "heard", "heard_from", "behind", "refusing", "asked_at", "rejected")

    def __init__(self, cfg: Settings) -> None:
        self.history = History(cfg.publishers)
        self.heard = 0
        self.heard_from = ""
        self.behind = False
        self.refusing = False
        self.asked_at = -MIN_ASK_INTERVAL_S
        self.rejected: dict[str, int] = {}  # By host, the latest invalid version that it sent.


def current(state: State) -> _lists.Lists | None:
    """Return the lists for new work, or None if none was read or the grace period has passed."""
    mine = state["lists"]
    return None if mine.refusing else mine.history.lists


def version(state: State) -> int:
    """Return the version of the lists in force, or 0 before the first one was read."""
    return state["lists"].history.version


def offset(state: State) -> int:
    """Return the log offset of the record in force, or -1 if another host supplied it."""
    return state["lists"].history.offset


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Follow the configuration stream."""
    if not state.cfg.publishers:
        yield LogLine(event="configuration_unsigned", fields={"publishers": 0})
    yield TailLog(stream=STREAM, offset=0)


@handles(LogRead)
def read(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Apply each record that replaces the version in force."""
    if event.stream != STREAM or event.tag:
        return
    mine = state["lists"]
    before = mine.history.version
    skipped = mine.history.read(event.records, first=event.first)
    at_end = event.next >= event.end
    if at_end and not mine.heard:
        skipped += mine.history.apply_held_records()
    yield from _report_skipped(skipped)
    yield from _measure_lag(state, event, before)
    yield from _report_change(state, event, before)


def _measure_lag(state: State, event: LogRead, before: int) -> typing.Iterator[Step]:
    """Report how long after its append to the log a new version took effect on this host."""
    history = state["lists"].history
    if not before or history.version == before:
        return  # A version published before this host started does not count as late.
    for record in event.records:
        if record.offset == history.offset:
            lag = max(0.0, state.wall(event.at) - record.time)
            yield Observe(metric="configuration_lag", value=lag)


def _report_skipped(skipped: list[SkippedRecord]) -> typing.Iterator[Step]:
    for one in skipped:
        yield Count(metric="configuration_skipped")
        yield LogLine(
            event="configuration_skipped", fields={"offset": one.offset, "cause": one.cause}
        )


def _report_change(state: State, event: Event, before: int) -> typing.Iterator[Step]:
    mine = state["lists"]
    after = mine.history.version
    if after == before:
        return
    fields = {
        "version": after,
        "offset": mine.history.offset,
        "digest": mine.history.content.digest[:LOGGED_DIGEST_LENGTH],
    }
    yield LogLine(event="configuration_in_force", fields=fields)
    if after >= mine.heard:
        yield from _clear_behind(state)
    yield ListsChanged(at=event.at, version=after)


def _clear_behind(state: State) -> typing.Iterator[Step]:
    mine = state["lists"]
    if mine.behind:
        mine.behind = False
        mine.refusing = False
        yield StopTimer(timer="lists_behind")


def record_peer_version(state: State, host: str, reported: int, at: float) -> typing.Iterator[Step]:
    """Record the version that another host has in force, and request it if it is later.

    Args:
        state: The host's state.
        host: Host that reported the version.
        reported: Version that it has in force.
        at: Monotonic time, seconds.
    """
    mine = state["lists"]
    if reported <= max(mine.history.version, mine.rejected.get(host, 0)):
        return
    if reported > mine.heard:
        mine.heard = reported
        mine.heard_from = host
    if not mine.behind:
        mine.behind = True
        if mine.history.version:
            yield StartTimer(timer="lists_behind", delay=BEHIND_GRACE_S)
        else:
            mine.refusing = True
    if at - mine.asked_at >= MIN_ASK_INTERVAL_S:
        mine.asked_at = at
        yield SendPeer(host=host, message=AskConfiguration(after=mine.history.version))


@on_timer("lists_behind")
def refuse(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Refuse new work: the grace period for getting the later version has passed."""
    mine = state["lists"]
    if mine.behind:
        mine.refusing = True
        yield LogLine(
            event="configuration_behind",
            fields={"version": mine.history.version, "heard": mine.heard, "host": mine.heard_from},
        )


@on_message(AskConfiguration)
def answer(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Send another host the signed records of the version in force."""
    history = state["lists"].history
    if history.version > event.message.after:
        copy = history.copy(event.message.after)
        yield SendPeer(host=event.sender.host, message=copy)


@on_message(ConfigurationCopy)
def adopt(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Apply the version that another host has in force."""
    history = state["lists"].history
    before = history.version
    try:
        history.adopt(event.message)
    except InvalidRecordError as exc:
        yield Count(metric="configuration_copy_invalid")
        yield LogLine(
            event="configuration_copy_invalid",
            fields={"host": event.sender.host, "cause": str(exc)},
        )
        yield from _reject(state, event.sender.host, event.message.version)
        return
    yield from _report_change(state, event, before)


def _reject(state: State, host: str, reported: int) -> typing.Iterator[Step]:
    """Ignore a host's version whose records this host found to be invalid."""
    mine = state["lists"]
    mine.rejected[host] = max(reported, mine.rejected.get(host, 0))
    if mine.heard_from == host:
        mine.heard = mine.history.version
        yield from _clear_behind(state)


@handles(PeerFailed)
def not_answered(state: State, event: PeerFailed) -> None:
    """Allow a new request as soon as a heartbeat of any host shows a later version."""
    if isinstance(event.message, AskConfiguration):
        state["lists"].asked_at = -MIN_ASK_INTERVAL_S
