"""Turning away: when a request is refused for lack of room, and when its caller should come back.

Load pattern answered: a burst above what the engines hold, for seconds. Requests that can still be
on time are served before those that can't; a late one waits only while a place may come free soon,
and is then told when to come back, so that it neither holds a connection in vain nor returns into
the same burst.
"""

from .._forwarding import Ask
from .._state import State
from . import estimates
from .forwarding import Forwarded

FIRST_OUTPUT = 0.45  # Seconds from a place to the first event: hold, prefill, transfer, first step.
PATIENCE_TARGETS = 4.0  # Callers leave a stream that brings nothing for so many latency targets,
PATIENCE_GAPS = 8.0  # or so many of its longest pauses,
PATIENCE_LEAST = 2.0  # or so many seconds, whichever is longest.
WAIT_SHARE = 0.7  # Share of that patience that a wait for a place may take up,
REPEAT_SHARE = 0.85  # and the wait of a request whose first place came to nothing.
RETURNED_SHARE = 0.84  # A caller with less than this share of the route's time has waited before.
RETURNED_WAIT = 1.5  # Seconds after which a caller that came back goes before new ones.
LENGTH_MARGIN = 1.2  # Outputs are often longer than expected,
SHORT_MARGIN = 0.8  # and three in ten are shorter than this share of it.
SOONEST = 2.0  # Seconds until a refused caller comes back: bursts last a few seconds.
SPREAD = 2.0  # Seconds over which returning callers are spread.


def has_returned(req: Forwarded) -> bool:
    """Tell whether the caller was refused before, as far as its deadline shows."""
    return req.ask.deadline - req.arrived < RETURNED_SHARE * req.route.timeout


def due(req: Forwarded) -> float:
    """Return the monotonic time until which a place still gives an answer on time."""
    return req.arrived + req.route.target_latency - FIRST_OUTPUT


def rank(state: State, req: Forwarded, at: float) -> tuple[int, int, float]:
    """Return the order in which waiting requests get places; the least comes first.

    A stream that broke off comes first, as its caller waits in the middle of an answer. Next come
    callers that came back and have waited long enough, then those that can be on time, and last
    the late ones, each by priority; the late ones by the time at which they must begin.
    """
    if req.relayed:
        group = 0
    elif has_returned(req):
        group = 1 if at - req.arrived >= RETURNED_WAIT else 3
    else:
        group = 2 if at <= due(req) else 3
    order = latest_begin(state, req) if group == 3 else req.arrived
    return group, req.route.priority, order


def latest_begin(state: State, req: Forwarded) -> float:
    """Return the monotonic time at which a place must be had for the answer to come whole."""
    return req.ends - FIRST_OUTPUT - stream_duration(state, req.service, req.route.name, req.ask)


def stream_duration(state: State, service: str, route: str, ask: Ask) -> float:
    """Return the seconds to reckon with from a stream's first event to its end."""
    tokens = estimates.expected_output(state, route, ask)
    return LENGTH_MARGIN * tokens / estimates.token_rate(state, service)


def is_over(state: State, req: Forwarded, at: float, *, has_room: bool) -> bool:
    """Tell whether a request has waited enough, or can't be answered whole any more.

    How long its output will be is an estimate. While engines have room, a request is tried that
    comes whole if it is somewhat shorter; in a burst its memory serves others better.

    Args:
        state: The host's state.
        req: The request.
        at: Monotonic time.
        has_room: Whether it could have a place that nobody else waits for.
    """
    if req.relayed:
        return False
    time_left = latest_begin(state, req) - at
    if has_room:
        whole = stream_duration(state, req.service, req.route.name, req.ask)
        time_left += (1.0 - SHORT_MARGIN / LENGTH_MARGIN) * whole
    return at - req.arrived >= longest_wait(req) or time_left < 0.0


def longest_wait(req: Forwarded) -> float:
    """Return how long a request may wait for a place, in seconds from its arrival."""
    route = req.route
    patience = max(
        PATIENCE_LEAST, PATIENCE_TARGETS * route.target_latency, PATIENCE_GAPS * route.target_gap
    )
    share = REPEAT_SHARE if req.number else WAIT_SHARE
    return min(share * patience, (req.ends - req.arrived) / 3)


def retry_after(state: State, req: Forwarded, at: float) -> float:
    """Return after how many seconds a refused caller should come back."""
    left = max(0.0, req.ends - at)
    wait = SOONEST + SPREAD * state.rng.random()
    return round(min(wait, left / 3), 2)
