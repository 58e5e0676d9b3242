"""Catching up: has a host that others read the store for read the routes that it lacks itself.

A host that listens goes by what the readers of its zone tell, and a reader may be behind itself, as
long as its own read does not end. Hosts also tell in each datagram which version is in force there.
So one that hears of a newer version than its own, and is not told of it soon, reads for itself.

Load pattern handled: all hosts of a large fleet hear of a version within a second. Most are told of
it by then, and the others wait for random times, so that their reads are spread.
"""

import typing

from .._effects import EnsureTimer, LogLine, StartTimer, StopTimer
from .._effects_forwarding import ReadFeed
from .._events import LoadTold, RoutesRead, StepFailed, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import organisations, read_turns, routes

FIRST_DELAY_S = 0.3  # Shortest time until the first read, within which most tellings come.
# Shortest time until the second read, which doubles for each further one, and its bound.
REPEAT_DELAY_S = 1.0
MAX_REPEAT_DELAY_S = 8.0
SPREAD = 0.5  # Longest random part of a delay, as a share of its shortest time.


@state_slice("catching_up")
class CatchingUpState:
    """Whether this host waits for its next read, and how many it has made since it was behind."""

    __slots__ = ("is_waiting", "reads")

    def __init__(self, cfg: Settings) -> None:
        self.is_waiting = False
        self.reads = 0


@handles(LoadTold)
def watch(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Wait to be told of a newer version that another host has in force."""
    catching_up_state = state["catching_up"]
    if not catching_up_state.is_waiting and routes.is_behind_others(state, event.at):
        catching_up_state.is_waiting = True
        catching_up_state.reads = 0
        yield StartTimer(timer="catch_up", delay=_delay(state))


@on_timer("catch_up")
def catch_up(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the routes if this host is still behind and listens to others."""
    catching_up_state = state["catching_up"]
    if not routes.is_behind_others(state, event.at):
        catching_up_state.is_waiting = False
        return
    if not read_turns.has_turn(state):
        catching_up_state.reads += 1
        fields = {
            "reads": catching_up_state.reads,
            "behind_for": routes.behind_for(state, event.at),
            **routes.log_fields(state, event.at),
        }
        yield LogLine(event="routes_read_here", fields=fields)
        yield ReadFeed(feed=organisations.ROUTES)
    yield StartTimer(timer="catch_up", delay=_delay(state))


def _delay(state: State) -> float:
    """Return the time until the next read, in seconds."""
    reads = state["catching_up"].reads
    shortest = FIRST_DELAY_S
    if reads:
        shortest = min(REPEAT_DELAY_S * 2.0 ** min(reads - 1, 10), MAX_REPEAT_DELAY_S)
    return shortest * (1.0 + SPREAD * state.rng.random())


@handles(RoutesRead)
def end_wait(state: State, event: RoutesRead) -> typing.Iterator[Step]:
    """Wait no longer once this host has caught up; `routes` has put the version in force."""
    catching_up_state = state["catching_up"]
    if catching_up_state.is_waiting and not routes.is_behind_others(state, event.at):
        catching_up_state.is_waiting = False
        yield StopTimer(timer="catch_up")


@handles(StepFailed)
def wait_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start the timer of a read that is due, which may not have been started."""
    if state["catching_up"].is_waiting:
        yield EnsureTimer(timer="catch_up", delay=_delay(state))
