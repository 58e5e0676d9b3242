"""The two lists: every host takes them from the configuration stream of the log.

A host that hears of a later version than its own asks the host that has it. One that cannot get it
refuses new work after a grace, rather than go on under an older version.
"""

import typing

from .. import _lists
from .._configuration import History, InvalidRecordError, Skipped
from .._effects import Count, LogLine, Observe, SendPeer, StartTimer, StopTimer, TailLog
from .._events import Booted, Event, ListsChanged, LogRead, PeerFailed, PeerMessage, TimerFired
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import AskConfiguration, ConfigurationCopy

STREAM = "configuration"
BEHIND_GRACE = 5.0  # Seconds in which a host known to be behind still goes on.
DIGEST_SHOWN = 12  # Hexadecimal digits in log lines.
ASK_AGAIN = 1.0  # Seconds between two questions to one host.


@state_slice("lists")
class ListsState:
    """The stream as read so far, and what other hosts are heard to have in force."""

    __slots__ = ("history", "heard", "heard_from", "behind", "refusing", "asked_at", "rejected")

    def __init__(self, cfg: Settings) -> None:
        self.history = History(cfg.publishers)
        self.heard = 0
        self.heard_from = ""
        self.behind = False
        self.refusing = False
        self.asked_at = -ASK_AGAIN
        self.rejected: dict[str, int] = {}  # Versions of hosts whose records were invalid here.


def current(state: State) -> _lists.Lists | None:
    """Return the lists for new work; None before the first were read or while too far behind."""
    mine = state["lists"]
    return None if mine.refusing else mine.history.lists


def version(state: State) -> int:
    """Return the version in force, or 0 before the first one was read."""
    return state["lists"].history.version


def offset(state: State) -> int:
    """Return the log offset of the record in force, or -1 where a peer gave it."""
    return state["lists"].history.offset


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Follow the configuration stream."""
    if not state.cfg.publishers:
        yield LogLine(event="configuration_unsigned", fields={"publishers": 0})
    yield TailLog(stream=STREAM, offset=0)


@handles(LogRead)
def read(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Take over each record that replaces the version in force."""
    if event.stream != STREAM or event.tag:
        return
    mine = state["lists"]
    before = mine.history.version
    skipped = mine.history.read(event.records, first=event.first)
    at_end = event.next >= event.end
    if at_end and not mine.heard:
        skipped += mine.history.begin_anew()
    yield from _report(skipped)
    yield from _measure_lag(state, event, before)
    yield from _changed(state, event, before)


def _measure_lag(state: State, event: LogRead, before: int) -> typing.Iterator[Step]:
    """Measure how long a new version took from the log to being in force here."""
    history = state["lists"].history
    if not before or history.version == before:
        return  # What was published before this host started did not lag.
    for record in event.records:
        if record.offset == history.offset:
            lag = max(0.0, state.wall(event.at) - record.time)
            yield Observe(metric="configuration_lag", value=lag)


def _report(skipped: list[Skipped]) -> typing.Iterator[Step]:
    for one in skipped:
        yield Count(metric="configuration_skipped")
        yield LogLine(
            event="configuration_skipped", fields={"offset": one.offset, "cause": one.cause}
        )


def _changed(state: State, event: Event, before: int) -> typing.Iterator[Step]:
    mine = state["lists"]
    after = mine.history.version
    if after == before:
        return
    fields = {
        "version": after,
        "offset": mine.history.offset,
        "digest": mine.history.content.digest[:DIGEST_SHOWN],
    }
    yield LogLine(event="configuration_in_force", fields=fields)
    if after >= mine.heard:
        yield from _caught_up(state)
    yield ListsChanged(at=event.at, version=after)


def _caught_up(state: State) -> typing.Iterator[Step]:
    mine = state["lists"]
    if mine.behind:
        mine.behind = False
        mine.refusing = False
        yield StopTimer(timer="lists_behind")


def hear(state: State, host: str, told: int, at: float) -> typing.Iterator[Step]:
    """Note the version that another host has in force, and ask for it if it is later.

    Args:
        state: The host's state.
        host: Host that told it.
        told: Version that it has in force.
        at: Monotonic time, seconds.
    """
    mine = state["lists"]
    if told <= max(mine.history.version, mine.rejected.get(host, 0)):
        return
    if told > mine.heard:
        mine.heard = told
        mine.heard_from = host
    if not mine.behind:
        mine.behind = True
        if mine.history.version:
            yield StartTimer(timer="lists_behind", delay=BEHIND_GRACE)
        else:
            mine.refusing = True
    if at - mine.asked_at >= ASK_AGAIN:
        mine.asked_at = at
        yield SendPeer(host=host, message=AskConfiguration(after=mine.history.version))


@on_timer("lists_behind")
def refuse(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Refuse new work: the grace to get the later version has passed."""
    mine = state["lists"]
    if mine.behind:
        mine.refusing = True
        yield LogLine(
            event="configuration_behind",
            fields={"version": mine.history.version, "heard": mine.heard, "host": mine.heard_from},
        )


@on_message(AskConfiguration)
def answer(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Give another host the signed records of the version in force."""
    history = state["lists"].history
    if history.version > event.message.after:
        copy = history.copy(event.message.after)
        yield SendPeer(host=event.sender.host, message=copy)


@on_message(ConfigurationCopy)
def adopt(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Take over the version in force at another host."""
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
    yield from _changed(state, event, before)


def _reject(state: State, host: str, told: int) -> typing.Iterator[Step]:
    """Take no notice of a version that this host holds to be invalid."""
    mine = state["lists"]
    mine.rejected[host] = max(told, mine.rejected.get(host, 0))
    if mine.heard_from == host:
        mine.heard = mine.history.version
        yield from _caught_up(state)


@handles(PeerFailed)
def not_answered(state: State, event: PeerFailed) -> None:
    """Let the next heartbeat of any host ask again at once."""
    if isinstance(event.message, AskConfiguration):
        state["lists"].asked_at = -ASK_AGAIN
