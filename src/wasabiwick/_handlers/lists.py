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
    the version in force here, and ``is_refusing`` while this host refuses new work for that reason.
    """

    __slots__ = (
        "history",
        "heard",
        "heard_from",
        "behind",
        "is_refusing",
        "asked_at",
        "rejected_versions",
    )

    def __init__(self, cfg: Settings) -> None:
        self.history = History(cfg.publishers)
        self.heard = 0
        self.heard_from = ""
        self.behind = False
        self.is_refusing = False
        self.asked_at = -MIN_ASK_INTERVAL_S
        # By host, the latest invalid version that it sent.
        self.rejected_versions: dict[str, int] = {}


def current(state: State) -> _lists.Lists | None:
    """Return the lists for new work, or None if none was read or the grace period has passed."""
    lists_state = state["lists"]
    return None if lists_state.is_refusing else lists_state.history.lists


def version(state: State) -> int:
    """Return the version of the lists in force, or 0 before the first one was read."""
    return state["lists"].history.version


def offset(state: State) -> int:
    """Return the log offset of the record in force, or -1 if another host supplied it."""
    return state["lists"].history.offset


@handles(Booted)
def follow_stream(state: State, event: Booted) -> typing.Iterator[Step]:
    """Follow the configuration stream."""
    if not state.cfg.publishers:
        yield LogLine(event="configuration_unsigned", fields={"publishers": 0})
    yield TailLog(stream=STREAM, offset=0)


@handles(LogRead)
def apply_records(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Apply each record that replaces the version in force."""
    if event.stream != STREAM or event.tag:
        return
    lists_state = state["lists"]
    old_version = lists_state.history.version
    skipped_records = lists_state.history.read(event.records, first=event.first)
    at_end = event.next >= event.end
    if at_end and not lists_state.heard:
        skipped_records += lists_state.history.apply_held_records()
    yield from _report_skipped(skipped_records)
    yield from _measure_lag(state, event, old_version)
    yield from _report_change(state, event, old_version)


def _measure_lag(state: State, event: LogRead, old_version: int) -> typing.Iterator[Step]:
    """Report how long after its append to the log a new version took effect on this host."""
    history = state["lists"].history
    if not old_version or history.version == old_version:
        return  # A version published before this host started does not count as late.
    for record in event.records:
        if record.offset == history.offset:
            lag = max(0.0, state.wall(event.at) - record.time)
            yield Observe(metric="configuration_lag", value=lag)


def _report_skipped(skipped_records: list[SkippedRecord]) -> typing.Iterator[Step]:
    for one in skipped_records:
        yield Count(metric="configuration_skipped")
        yield LogLine(
            event="configuration_skipped", fields={"offset": one.offset, "cause": one.cause}
        )


def _report_change(state: State, event: Event, old_version: int) -> typing.Iterator[Step]:
    lists_state = state["lists"]
    new_version = lists_state.history.version
    if new_version == old_version:
        return
    fields = {
        "version": new_version,
        "offset": lists_state.history.offset,
        "digest": lists_state.history.content.digest[:LOGGED_DIGEST_LENGTH],
    }
    yield LogLine(event="configuration_in_force", fields=fields)
    if new_version >= lists_state.heard:
        yield from _clear_behind(state)
    yield ListsChanged(at=event.at, version=new_version)


def _clear_behind(state: State) -> typing.Iterator[Step]:
    lists_state = state["lists"]
    if lists_state.behind:
        lists_state.behind = False
        lists_state.is_refusing = False
        yield StopTimer(timer="lists_behind")


def record_peer_version(
    state: State, host: str, peer_version: int, at: float
) -> typing.Iterator[Step]:
    """Record the version that another host has in force, and request it if it is later.

    Args:
        state: The host's state.
        host: Host that reported the version.
        peer_version: Version that it has in force.
        at: Monotonic time, seconds.
    """
    lists_state = state["lists"]
    if peer_version <= max(lists_state.history.version, lists_state.rejected_versions.get(host, 0)):
        return
    if peer_version > lists_state.heard:
        lists_state.heard = peer_version
        lists_state.heard_from = host
    if not lists_state.behind:
        lists_state.behind = True
        if lists_state.history.version:
            yield StartTimer(timer="lists_behind", delay=BEHIND_GRACE_S)
        else:
            lists_state.is_refusing = True
    if at - lists_state.asked_at >= MIN_ASK_INTERVAL_S:
        lists_state.asked_at = at
        yield SendPeer(host=host, message=AskConfiguration(after=lists_state.history.version))


@on_timer("lists_behind")
def refuse(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Refuse new work: the grace period for getting the later version has passed."""
    lists_state = state["lists"]
    if lists_state.behind:
        lists_state.is_refusing = True
        yield LogLine(
            event="configuration_behind",
            fields={
                "version": lists_state.history.version,
                "heard": lists_state.heard,
                "host": lists_state.heard_from,
            },
        )


@on_message(AskConfiguration)
def answer(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Send another host the signed records of the version in force."""
    history = state["lists"].history
    if history.version > event.message.after:
        copy = history.copy(event.message.after)
        yield SendPeer(host=event.sender.host, message=copy)


@on_message(ConfigurationCopy)
def adopt_copy(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Apply the version that another host has in force."""
    history = state["lists"].history
    old_version = history.version
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
    yield from _report_change(state, event, old_version)


def _reject(state: State, host: str, peer_version: int) -> typing.Iterator[Step]:
    """Ignore a host's version whose records this host found to be invalid."""
    lists_state = state["lists"]
    lists_state.rejected_versions[host] = max(
        peer_version, lists_state.rejected_versions.get(host, 0)
    )
    if lists_state.heard_from == host:
        lists_state.heard = lists_state.history.version
        yield from _clear_behind(state)


@handles(PeerFailed)
def not_answered(state: State, event: PeerFailed) -> None:
    """Allow a new request as soon as a heartbeat of any host shows a later version."""
    if isinstance(event.message, AskConfiguration):
        state["lists"].asked_at = -MIN_ASK_INTERVAL_S
