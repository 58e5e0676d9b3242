"""The two lists: every host takes them from the configuration stream of the log."""

import typing

import msgspec

from .. import _lists
from .._effects import TailLog
from .._events import Booted, ListsChanged, LogRead
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from .._wire import Configuration, LogRecord

STREAM = "configuration"


@state_slice("lists")
class ListsState:
    """The lists in force and the offset up to which the stream was read."""

    __slots__ = ("lists", "offset")

    def __init__(self, cfg: Settings) -> None:
        self.lists: _lists.Lists | None = None
        self.offset = -1


def current(state: State) -> _lists.Lists | None:
    """Return the lists in force, or None before the first ones were read."""
    return state["lists"].lists


def version(state: State) -> int:
    """Return the version in force, or 0 before the first one was read."""
    lists = state["lists"].lists
    return lists.version if lists else 0


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Follow the configuration stream."""
    yield TailLog(stream=STREAM, offset=0)


@handles(LogRead)
def read(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Take over each record that replaces the version in force."""
    if event.stream != STREAM:
        return
    before = version(state)
    for record in event.records:
        _apply(state, record)
    if version(state) != before:
        yield ListsChanged(at=event.at, version=version(state))


def _apply(state: State, record: LogRecord) -> None:
    mine = state["lists"]
    mine.offset = record.offset
    try:
        config = msgspec.json.decode(record.data, type=Configuration)
        if config.version <= version(state):
            return
        mine.lists = _lists.lists_from_json(config.version, config.plans, config.allowances)
    except (msgspec.MsgspecError, ValueError):
        return
