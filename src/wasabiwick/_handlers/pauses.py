"""Pauses: endpoints that turned a request away and said for how long they want nothing.

An endpoint says so to one host, and only that host sends it nothing meanwhile. That holds for
requests, prefills, orders and questions alike; what frees memory is sent still.

Load pattern handled: a whole service is full for a moment, and all its endpoints want nothing for
the same time. Hosts return at slightly different times, and callers that can't be served until then
are refused at once.
"""

import typing

from .._effects import Count, LogLine
from .._events import EndpointPaused, EndpointsRead
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import directory

# Longest pause that is believed, as one wrong value must not take an endpoint out for good.
MAX_PAUSE_S = 300.0
# Largest random addition to a pause, as a share of it, so that hosts do not return together.
PAUSE_SPREAD = 0.1


@state_slice("pauses")
class PausesState:
    """The monotonic time until which each endpoint wants nothing from this host.

    ``born`` holds the Unix milliseconds of the start that was listed then, 0 if unknown.
    """

    __slots__ = ("until", "born")

    def __init__(self, cfg: Settings) -> None:
        self.until: dict[str, float] = {}
        self.born: dict[str, int] = {}


def wait_of(state: State, endpoint: str, at: float) -> float:
    """Return the seconds for which an endpoint still wants nothing; 0 if it takes requests."""
    return max(0.0, state["pauses"].until.get(endpoint, 0.0) - at)


def is_paused(state: State, endpoint: str, at: float) -> bool:
    """Return whether an endpoint wants nothing from this host now."""
    return wait_of(state, endpoint, at) > 0.0


@handles(EndpointPaused)
def endpoint_paused(state: State, event: EndpointPaused) -> typing.Iterator[Step]:
    """Send an endpoint nothing for as long as it says; a shorter time ends no longer one."""
    seconds = min(MAX_PAUSE_S, event.seconds) * (1.0 + PAUSE_SPREAD * state.rng.random())
    until = state["pauses"].until
    is_new = not is_paused(state, event.endpoint, event.at)
    until[event.endpoint] = max(until.get(event.endpoint, 0.0), event.at + seconds)
    listed = directory.endpoint(state, event.endpoint)
    state["pauses"].born[event.endpoint] = listed.born if listed is not None else 0
    if is_new:
        yield Count(metric="endpoint_pauses")
        fields = {"endpoint": event.endpoint, "said": event.seconds, "for": seconds}
        yield LogLine(event="endpoint_paused", fields=fields)


@handles(EndpointsRead)
def forget_past(state: State, event: EndpointsRead) -> None:
    """Forget pauses that have ended, and those of an earlier start of their endpoint.

    An endpoint may drop off the list and be listed again before its pause has ended.
    """
    until, born = state["pauses"].until, state["pauses"].born
    for name, ends_at in list(until.items()):
        listed = directory.endpoint(state, name)
        is_new_start = listed is not None and 0 < born.get(name, 0) < listed.born
        if ends_at <= event.at or is_new_start:
            until.pop(name)
            born.pop(name, None)
