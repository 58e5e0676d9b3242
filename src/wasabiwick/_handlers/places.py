"""Places: counts the capacity that requests use at endpoints, and remembers recent refusals.

A place is a request's share of an endpoint: a slot, and for a stream the memory that it will need.
"""

import typing

from .._forwarding import Ask, EndpointLoad, ServiceTraits, StreamLoad
from .._settings import Settings
from .._state import State, state_slice
from . import estimates, neighbours
from .memory import FIRST_TOKEN_TIME_S

# Time for which an endpoint that aborted a request is avoided. Faults that abort requests last for
# seconds, and a request uses its place for 3 s.
UNSTABLE_TIME_S = 1.5
LOST_MARK = "/"  # Part of the keys of lost streams; call ids don't have it.
HOLD_REFUSED_TIME_S = 0.06  # Time for which an engine that refused a hold is asked for no other.


class OwnLoad:
    """This host's load at one endpoint: requests, prompt tokens to prefill, streams by call id."""

    __slots__ = ("running", "reading", "streams")

    def __init__(self) -> None:
        self.running = 0
        self.reading = 0
        self.streams: dict[str, StreamLoad] = {}


@state_slice("places")
class PlacesState:
    """This host's load by endpoint.

    ``full_until`` and ``unstable_until`` hold the monotonic time until which an endpoint counts as
    full, or as likely to abort requests.
    """

    __slots__ = ("own_loads", "full_until", "unstable_until")

    def __init__(self, cfg: Settings) -> None:
        self.own_loads: dict[str, OwnLoad] = {}
        self.full_until: dict[str, float] = {}
        self.unstable_until: dict[str, float] = {}


def add_request(state: State, endpoint: str, call_id: str, stream: StreamLoad | None) -> None:
    """Add a request to an endpoint's load, with its expected length if it is a stream."""
    own_load = state["places"].own_loads.setdefault(endpoint, OwnLoad())
    own_load.running += 1
    if stream is not None:
        own_load.streams[call_id] = stream


def begin_stream(state: State, endpoint: str, call_id: str, at: float) -> None:
    """Record the arrival of a stream's first token."""
    own_load = state["places"].own_loads.get(endpoint)
    if own_load and call_id in own_load.streams:
        own_load.streams[call_id].begins = at


def remove_request(state: State, endpoint: str, call_id: str) -> bool:
    """Remove a request from an endpoint's load; returns whether it was a stream."""
    own_load = state["places"].own_loads[endpoint]
    own_load.running -= 1
    stream = own_load.streams.pop(call_id, None)
    _remove_if_idle(state, endpoint)
    return stream is not None


def keep_lost_stream(state: State, endpoint: str, call_id: str, number: int) -> StreamLoad | None:
    """Keep counting a stream whose response was lost, since the engine may still generate it.

    Args:
        state: The host's state.
        endpoint: Name of the engine.
        call_id: The call, whose own entry is about to be removed.
        number: Number of the attempt.

    Returns:
        The stream, which stays counted under its `lost_stream_key`; None if the call had no stream
            counted at the engine.
    """
    own_load = state["places"].own_loads.get(endpoint)
    stream = own_load.streams.get(call_id) if own_load else None
    if stream is not None:
        add_request(state, endpoint, lost_stream_key(call_id, number), stream)
    return stream


def lost_stream_key(call_id: str, number: int) -> str:
    """Return the key under which a lost attempt of a call is counted."""
    return f"{call_id}{LOST_MARK}{number}"


def add_prefill_tokens(state: State, endpoint: str, tokens: int) -> None:
    """Add to the prompt tokens that an engine has yet to prefill; negative ``tokens`` subtract."""
    state["places"].own_loads.setdefault(endpoint, OwnLoad()).reading += tokens
    _remove_if_idle(state, endpoint)


def _remove_if_idle(state: State, endpoint: str) -> None:
    own_load = state["places"].own_loads[endpoint]
    if not (own_load.running or own_load.reading):
        del state["places"].own_loads[endpoint]


def is_counted(state: State, endpoint: str, key: str) -> bool:
    """Return whether a stream counts at an endpoint under a call id or a `lost_stream_key`."""
    own_load = state["places"].own_loads.get(endpoint)
    return own_load is not None and key in own_load.streams


def lost_streams(state: State) -> list[tuple[str, str, StreamLoad]]:
    """Return the endpoint and the key of each lost stream that still counts."""
    return [
        (name, key, stream)
        for name, one in state["places"].own_loads.items()
        for key, stream in one.streams.items()
        if LOST_MARK in key
    ]


def count_again(
    state: State,
    running: typing.Iterable[tuple[str, str]],
    reading: typing.Iterable[tuple[str, int]],
) -> bool:
    """Count the load anew by the calls and the lost streams; returns whether it changed.

    Args:
        state: The host's state.
        running: Endpoint and call id of each call that has a place.
        reading: Engine and prompt tokens of each prompt that is yet to be prefilled.
    """
    places_state = state["places"]
    old_loads, places_state.own_loads = places_state.own_loads, {}
    for name, old_load in old_loads.items():
        for key, stream in old_load.streams.items():
            if LOST_MARK in key:
                add_request(state, name, key, stream)
    for name, call_id in running:
        old_load = old_loads.get(name)
        add_request(state, name, call_id, old_load.streams.get(call_id) if old_load else None)
    for name, tokens in reading:
        add_prefill_tokens(state, name, tokens)
    return _counts(old_loads) != _counts(places_state.own_loads)


def _counts(own_loads: dict[str, OwnLoad]) -> dict[str, tuple[int, int, set[str]]]:
    return {name: (one.running, one.reading, set(one.streams)) for name, one in own_loads.items()}


@neighbours.load_source
def loads(state: State) -> dict[str, EndpointLoad]:
    """Return a copy of this host's load at each endpoint."""
    return {
        name: EndpointLoad(
            running=one.running, reading=one.reading, streams=tuple(one.streams.values())
        )
        for name, one in state["places"].own_loads.items()
    }


def load(state: State, endpoint: str, at: float) -> EndpointLoad:
    """Return the load of all hosts together at an endpoint, as far as this host knows."""
    total_load = neighbours.load_at(state, endpoint, at)
    own_load = state["places"].own_loads.get(endpoint)
    if own_load:
        total_load.running += own_load.running
        total_load.reading += own_load.reading
        total_load.streams += tuple(own_load.streams.values())
    return total_load


def stream_load(
    state: State, service: ServiceTraits, route: str, ask: Ask, at: float, events: int
) -> StreamLoad:
    """Return the expected load of a stream that is placed now.

    What the caller has of its output is read again with the prompt.

    Args:
        state: The host's state.
        service: The service that the request is sent to.
        route: Name of the route.
        ask: The request.
        at: Monotonic time.
        events: Number of events that this call has brought.
    """
    return StreamLoad(
        prompt=estimates.tokens_to_read(service, ask, events),
        expected=estimates.remaining_output(state, service, route, ask, events),
        begins=at + FIRST_TOKEN_TIME_S,
    )


def mark_full(state: State, endpoint: str, at: float, seconds: float = HOLD_REFUSED_TIME_S) -> None:
    """Record that an engine refused work for lack of capacity."""
    state["places"].full_until[endpoint] = at + seconds


def is_full(state: State, endpoint: str, at: float) -> bool:
    """Return whether an engine refused work recently for lack of capacity."""
    return state["places"].full_until.get(endpoint, 0.0) > at


def mark_unstable(state: State, endpoint: str, at: float) -> None:
    """Record that an endpoint aborted a request, which may happen again."""
    state["places"].unstable_until[endpoint] = at + UNSTABLE_TIME_S


def is_unstable(state: State, endpoint: str, at: float) -> bool:
    """Return whether an endpoint aborted a request recently."""
    return state["places"].unstable_until.get(endpoint, 0.0) > at
