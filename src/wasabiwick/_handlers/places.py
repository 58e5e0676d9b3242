"""Places at endpoints: the ledger of what this host has under way, and of what endpoints showed.

A place is a request's share of an endpoint: a slot, and for a stream the memory that it will need.
"""

from .._forwarding import Ask, EndpointLoad, StreamLoad
from .._settings import Settings
from .._state import State, state_slice
from . import estimates, neighbours
from .memory import READY_TIME

SHAKY_TIME = 1.5  # Seconds; such faults last for seconds, and a place is used for three.
FULL_TIME = 0.06  # Seconds for which an engine that refused a hold is not asked again.


class OwnLoad:
    """What this host has under way at one endpoint; streams by call id."""

    __slots__ = ("running", "reading", "streams")

    def __init__(self) -> None:
        self.running = 0
        self.reading = 0
        self.streams: dict[str, StreamLoad] = {}


@state_slice("places")
class PlacesState:
    """This host's load at endpoints, and those that were full or broke a request off lately."""

    __slots__ = ("own", "full_until", "unstable_until")

    def __init__(self, cfg: Settings) -> None:
        self.own: dict[str, OwnLoad] = {}
        self.full_until: dict[str, float] = {}
        self.unstable_until: dict[str, float] = {}


def add_request(state: State, endpoint: str, call_id: str, stream: StreamLoad | None) -> None:
    """Count a request at an endpoint, with the stream's length if it is one."""
    own = state["places"].own.setdefault(endpoint, OwnLoad())
    own.running += 1
    if stream is not None:
        own.streams[call_id] = stream


def begin_stream(state: State, endpoint: str, call_id: str, at: float) -> None:
    """Note that a stream's first token has come."""
    own = state["places"].own.get(endpoint)
    if own and call_id in own.streams:
        own.streams[call_id].begins = at


def remove_request(state: State, endpoint: str, call_id: str) -> bool:
    """Take a request out of an endpoint's ledger; returns whether it was a stream."""
    own = state["places"].own[endpoint]
    own.running -= 1
    stream = own.streams.pop(call_id, None)
    _forget_idle(state, endpoint)
    return stream is not None


def keep_lost_stream(state: State, endpoint: str, call_id: str, number: int) -> StreamLoad | None:
    """Go on counting a stream that an engine may work on though its answer was lost.

    Args:
        state: The host's state.
        endpoint: Name of the engine.
        call_id: The call, whose own place is about to be given back.
        number: Number of the try.

    Returns:
        The stream, which stays counted under its `lost_stream_key`; None where none was counted.
    """
    own = state["places"].own.get(endpoint)
    stream = own.streams.get(call_id) if own else None
    if stream is not None:
        add_request(state, endpoint, lost_stream_key(call_id, number), stream)
    return stream


def lost_stream_key(call_id: str, number: int) -> str:
    """Return the key under which a lost try of a call is counted."""
    return f"{call_id}/{number}"


def add_prefill_tokens(state: State, endpoint: str, tokens: int) -> None:
    """Change the prompt tokens that an engine was asked to prefill."""
    state["places"].own.setdefault(endpoint, OwnLoad()).reading += tokens
    _forget_idle(state, endpoint)


def _forget_idle(state: State, endpoint: str) -> None:
    own = state["places"].own[endpoint]
    if not (own.running or own.reading):
        del state["places"].own[endpoint]


@neighbours.load_source
def loads(state: State) -> dict[str, EndpointLoad]:
    """Return copies of this host's loads."""
    return {
        name: EndpointLoad(
            running=one.running, reading=one.reading, streams=tuple(one.streams.values())
        )
        for name, one in state["places"].own.items()
    }


def load(state: State, endpoint: str, at: float) -> EndpointLoad:
    """Return what all hosts have under way at an endpoint, as far as this one knows."""
    total = neighbours.load_at(state, endpoint, at)
    own = state["places"].own.get(endpoint)
    if own:
        total.running += own.running
        total.reading += own.reading
        total.streams += tuple(own.streams.values())
    return total


def stream_load(state: State, route: str, ask: Ask, at: float) -> StreamLoad:
    """Return what is expected of a stream that gets its place now."""
    expected = estimates.expected_output(state, route, ask)
    return StreamLoad(prompt=ask.prompt_tokens, expected=expected, begins=at + READY_TIME)


def mark_full(state: State, endpoint: str, at: float, seconds: float = FULL_TIME) -> None:
    """Note that an engine refused work for lack of room."""
    state["places"].full_until[endpoint] = at + seconds


def is_full(state: State, endpoint: str, at: float) -> bool:
    """Tell whether an engine refused work lately."""
    return state["places"].full_until.get(endpoint, 0.0) > at


def mark_unstable(state: State, endpoint: str, at: float) -> None:
    """Note that an endpoint broke off a request, which may happen again."""
    state["places"].unstable_until[endpoint] = at + SHAKY_TIME


def is_unstable(state: State, endpoint: str, at: float) -> bool:
    """Tell whether an endpoint broke off a request lately."""
    return state["places"].unstable_until.get(endpoint, 0.0) > at
