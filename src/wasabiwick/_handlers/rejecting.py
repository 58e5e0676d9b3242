"""Decides which waiting request is served first, when one is refused, and when its caller retries.

Load pattern answered: a burst that exceeds the engines' capacity for seconds. Requests that can
still be on time are served before those that can't. A late one waits only while a place may become
free soon, and is then told when to retry, so that it neither holds a connection for nothing nor
comes back during the same burst.
"""

from .._forwarding import Ask
from .._state import State
from . import estimates
from .forwarding import Forwarded

# Times are in seconds.
TIME_TO_FIRST_EVENT = 0.45  # From a chosen place: hold, prefill, transfer and first decode step.
# Callers give up a stream that brings no event for the longest of these three times.
PATIENCE_LATENCY_TARGETS = 4.0  # In latency targets of the route.
PATIENCE_GAPS = 8.0  # In longest allowed pauses between events of the route.
MIN_PATIENCE = 2.0
WAIT_SHARE = 0.7  # Share of that patience that a request may wait for a place.
RETRY_WAIT_SHARE = 0.85  # The same for a request that was already sent to an engine.
# A caller whose deadline leaves less than this share of the route's time-out was refused before.
RETURNED_TIME_SHARE = 0.84
RETURNED_MIN_WAIT = 1.5  # Wait after which a caller that was refused before precedes new ones.
LONG_OUTPUT_FACTOR = 1.2  # Of the expected output length; outputs are often longer than expected.
SHORT_OUTPUT_FACTOR = 0.8  # Of the expected output length; three in ten outputs are shorter.
MIN_RETRY_AFTER = 2.0  # Delay until a refused caller retries; bursts last a few seconds.
RETRY_AFTER_SPREAD = 2.0  # Largest random addition to that delay.


def has_returned(req: Forwarded) -> bool:
    """Tell whether the caller was refused before, judging by how near its deadline is."""
    return req.ask.deadline - req.arrived < RETURNED_TIME_SHARE * req.route.timeout


def latest_on_time_start(req: Forwarded) -> float:
    """Return the last monotonic time at which a place still brings the first event on time."""
    return req.arrived + req.route.target_latency - TIME_TO_FIRST_EVENT


def rank(state: State, req: Forwarded, at: float) -> tuple[int, int, float]:
    """Return the sort key by which waiting requests get places; the lowest comes first.

    Streams that broke off come first, as their callers wait in the middle of an answer. Next come
    callers that were refused before and have now waited for `RETURNED_MIN_WAIT`, then requests
    that can be on time, and last all others. Within a group, requests are sorted by the route's
    priority and then by arrival, or in the last group by `latest_start`.
    """
    if req.relayed:
        group = 0
    elif has_returned(req):
        group = 1 if at - req.arrived >= RETURNED_MIN_WAIT else 3
    else:
        group = 2 if at <= latest_on_time_start(req) else 3
    order = latest_start(state, req) if group == 3 else req.arrived
    return group, req.route.priority, order


def latest_start(state: State, req: Forwarded) -> float:
    """Return the last monotonic time at which a place still allows the whole answer."""
    return (
        req.ends
        - TIME_TO_FIRST_EVENT
        - stream_duration(state, req.service, req.route.name, req.ask)
    )


def stream_duration(state: State, service: str, route: str, ask: Ask) -> float:
    """Return a cautious estimate of the seconds from a stream's first event to its end."""
    tokens = estimates.expected_output(state, route, ask)
    return LONG_OUTPUT_FACTOR * tokens / estimates.token_rate(state, service)


def should_refuse(state: State, req: Forwarded, at: float, *, has_room: bool) -> bool:
    """Tell whether a request has waited too long, or can't be answered whole any more.

    The length of its output is only an estimate. While engines have room, a request is still tried
    if a shorter output could come whole; in a burst its memory serves others better.

    Args:
        state: The host's state.
        req: The request.
        at: Monotonic time.
        has_room: Whether no other request waits and a decode engine has half of its slots free.
    """
    if req.relayed:
        return False
    time_left = latest_start(state, req) - at
    if has_room:
        whole = stream_duration(state, req.service, req.route.name, req.ask)
        time_left += (1.0 - SHORT_OUTPUT_FACTOR / LONG_OUTPUT_FACTOR) * whole
    return at - req.arrived >= max_wait(req) or time_left < 0.0


def max_wait(req: Forwarded) -> float:
    """Return how many seconds from its arrival a request may wait for a place."""
    route = req.route
    patience = max(
        MIN_PATIENCE,
        PATIENCE_LATENCY_TARGETS * route.target_latency,
        PATIENCE_GAPS * route.target_gap,
    )
    share = RETRY_WAIT_SHARE if req.number else WAIT_SHARE
    return min(share * patience, (req.ends - req.arrived) / 3)


def retry_after(state: State, req: Forwarded, at: float) -> float:
    """Return after how many seconds a refused caller should retry."""
    left = max(0.0, req.ends - at)
    wait = MIN_RETRY_AFTER + RETRY_AFTER_SPREAD * state.rng.random()
    return round(min(wait, left / 3), 2)
