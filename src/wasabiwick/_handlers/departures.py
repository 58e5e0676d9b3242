"""Departures: which endpoints said themselves that they leave, and at which of their starts.

An endpoint's own word holds for one start of it, whatever the list says of the endpoint, and also
while it is not listed. So the starts that were listed last are remembered apart from the list: an
answer belongs to the start that was listed when its request was sent.
"""

import collections

from .._forwarding import Endpoint
from .._settings import Settings
from .._state import State, state_slice

TELL_TIME_S = 5.0  # Time for which other hosts are told that an endpoint leaves.
MAX_SAID = 512  # Most endpoints that are remembered to have said that they leave.
MAX_TOLD = 16  # Most of these in one datagram, which has to stay small; the newest are told.
MAX_STARTS = 4096  # Most endpoints whose starts are remembered; the last ones listed are kept.
MS_PER_S = 1000.0


class Start:
    """A start of an endpoint, in Unix milliseconds, and when this host first saw it listed."""

    __slots__ = ("born", "listed_at")

    def __init__(self, *, born: int, listed_at: float) -> None:
        self.born = born
        self.listed_at = listed_at


@state_slice("departures")
class DeparturesState:
    """Starts of endpoints by name, and which of them said that they leave.

    ``starts`` holds the last two starts of each endpoint, the newer one last. ``said`` holds the
    latest start of each endpoint that said that it leaves, and ``said_at`` the monotonic time at
    which it said so to this host; both have the newest at the end.
    """

    __slots__ = ("starts", "said", "said_at")

    def __init__(self, cfg: Settings) -> None:
        self.starts: collections.OrderedDict[str, tuple[Start, ...]] = collections.OrderedDict()
        self.said: dict[str, int] = {}
        self.said_at: dict[str, float] = {}


def note_start(state: State, endpoint: Endpoint, at: float) -> None:
    """Remember the start of an endpoint that is listed."""
    starts = state["departures"].starts
    known = starts.get(endpoint.name, ())
    if not known or known[-1].born != endpoint.born:
        starts[endpoint.name] = (*known[-1:], Start(born=endpoint.born, listed_at=at))
    starts.move_to_end(endpoint.name)
    if len(starts) > MAX_STARTS:
        starts.popitem(last=False)


def start_at(state: State, name: str, at: float, *, is_list_old: bool) -> int | None:
    """Return the latest start of an endpoint that a request sent at a time may have reached.

    Args:
        state: The host's state.
        name: Name of the endpoint.
        at: Monotonic time at which the request was sent.
        is_list_old: Whether the endpoint may have started again unseen before that.

    Returns:
        The start in Unix milliseconds, or None if the endpoint was never listed.
    """
    known = state["departures"].starts.get(name)
    if not known:
        return None
    listed = [one for one in known if one.listed_at <= at] or known[:1]
    born = listed[-1].born
    return max(born, int(state.wall(at) * MS_PER_S)) if is_list_old else born


def record_own(state: State, name: str, born: int, at: float) -> bool:
    """Record that a start said to this host that it leaves; returns whether that is news."""
    departures_state = state["departures"]
    is_news = record(state, name, born)
    if is_news:
        departures_state.said_at.pop(name, None)
        departures_state.said_at[name] = at
    return is_news


def record(state: State, name: str, born: int) -> bool:
    """Record that a start of an endpoint said that it leaves; returns whether that is news."""
    departures_state = state["departures"]
    said = departures_state.said
    if name in said and born <= said[name]:
        return False
    said.pop(name, None)
    said[name] = born
    if len(said) > MAX_SAID:
        oldest = next(iter(said))
        del said[oldest]
        departures_state.said_at.pop(oldest, None)
    return True


def has_said(state: State, endpoint: Endpoint) -> bool:
    """Return whether an endpoint said at this start or a later one that it leaves."""
    return endpoint.born <= state["departures"].said.get(endpoint.name, -1)


def told(state: State, at: float) -> tuple[tuple[str, int], ...]:
    """Return the endpoints that said to this host lately that they leave, with their start."""
    departures_state = state["departures"]
    names = [name for name, said in departures_state.said_at.items() if at - said < TELL_TIME_S]
    return tuple((name, departures_state.said[name]) for name in names[-MAX_TOLD:])


def is_news(state: State, name: str, at: float) -> bool:
    """Return whether an endpoint has said right now, for the first time, that it leaves."""
    return state["departures"].said_at.get(name) == at
