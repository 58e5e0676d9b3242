"""Keeps the configuration in the log by appending a copy before its records expire.

Each host draws a random delay until its copy is due, and draws again when it reads a copy that
another host appended. So a copy is appended once, not once per host.
"""

import typing

from .._effects import AppendLog, Count, StartTimer
from .._events import LogAppendFailed, LogRead, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import lists

EARLIEST_SHARE = 0.5  # Share of a record's lifetime after which the first host may append a copy.
LATEST_SHARE = 0.75  # Share of a record's lifetime after which the last host appends a copy.
LOST_SPREAD_S = 60.0  # If the log lost the lists, hosts spread their copies over this time.
RETRY_SPREAD_S = 10.0  # A host repeats a failed append after a random time of up to this.
TAG = "keep"


@state_slice("lists_keeping")
class KeepingState:
    """Append time of the record whose copy the timer is set for, in Unix seconds, or -1."""

    __slots__ = ("anchor",)

    def __init__(self, cfg: Settings) -> None:
        self.anchor = -1.0


@handles(LogRead)
def schedule_copy(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Restart the timer when a newer full record or copy was read."""
    history = state["lists"].history
    keeping_state = state["lists_keeping"]
    at_end = event.next >= event.end
    if event.stream != lists.STREAM or event.tag or not (at_end and history.version):
        return
    if history.last_full_record_time == keeping_state.anchor:
        return
    keeping_state.anchor = history.last_full_record_time
    yield StartTimer(timer="lists_keep", delay=_delay(state, event.at))


def _delay(state: State, at: float) -> float:
    anchor = state["lists_keeping"].anchor
    if not anchor:
        return state.rng.uniform(0, LOST_SPREAD_S)
    due_at = anchor + state.cfg.once.keep * state.rng.uniform(EARLIEST_SHARE, LATEST_SHARE)
    return max(state.rng.uniform(0, LOST_SPREAD_S), due_at - state.wall(at))


@on_timer("lists_keep")
def append_copy(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Append a copy of the records that lead to the version in force."""
    history = state["lists"].history
    if not history.complete or lists.current(state) is None:
        yield StartTimer(timer="lists_keep", delay=LOST_SPREAD_S)
        return
    yield Count(metric="configuration_kept")
    yield AppendLog(stream=lists.STREAM, tag=TAG, records=(history.copy(),))


@handles(LogAppendFailed)
def reschedule_append(state: State, event: LogAppendFailed) -> typing.Iterator[Step]:
    """Append again later, unless another host's copy is read first."""
    if event.stream == lists.STREAM and event.tag == TAG:
        yield StartTimer(timer="lists_keep", delay=state.rng.uniform(0, RETRY_SPREAD_S))
