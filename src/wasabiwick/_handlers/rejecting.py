"""Decides which waiting request is served first, when one is refused, and when its caller retries.

Load pattern handled: a burst that exceeds the engines' capacity for seconds. Requests that can
still meet their route's latency target are served before late ones. A late request waits only while
a place may become free soon. Then its caller is told when to retry, so that the caller neither
keeps a connection open without getting an answer nor returns during the same burst.
"""

from .._forwarding import Ask
from .._state import State
from . import estimates, routes
from .forwarding import ForwardedCall

# Seconds from the choice of a place to a stream's first event: hold, prefill, transfer and first
# decode step.
TIME_TO_FIRST_EVENT = 0.45
# A caller gives up its stream after the longest of three times without an event: `MIN_PATIENCE`,
# `PATIENCE_LATENCY_TARGETS` times the route's latency target, and `PATIENCE_GAPS` times the longest
# pause between two events that the route allows.
PATIENCE_LATENCY_TARGETS = 4.0  # Caller's patience as a multiple of the route's latency target.
PATIENCE_GAPS = 8.0  # Caller's patience as a multiple of the route's longest allowed pause.
MIN_PATIENCE = 2.0  # Shortest patience of a caller, in seconds.
# A request may wait for a place for this share of the time after which its caller gives up.
WAIT_SHARE = 0.7
RETRY_WAIT_SHARE = 0.85  # Like `WAIT_SHARE`, but for a request already sent to an engine.
# A caller whose deadline leaves less than this share of the route's time-out is taken to have been
# refused before.
RETURNED_TIME_SHARE = 0.84
RETURNED_MIN_WAIT = 1.5  # Seconds that a returned caller waits until it precedes new ones.
# Cautious output length as a multiple of the expected one; outputs are often longer than expected.
LONG_OUTPUT_FACTOR = 1.2
# Slow engines take this multiple of the mean time for a stream.
SLOW_STREAM_FACTOR = 1.5
# Optimistic output length as a multiple of the expected one; three in ten outputs are shorter.
SHORT_OUTPUT_FACTOR = 0.8
# The same for a stream that its caller resumes. One in twelve outputs is so short, and a refused
# caller has less time left when it comes back.
RESUMED_OUTPUT_FACTOR = 0.5
# Shortest delay told to refused callers, in seconds; bursts last a few seconds.
MIN_RETRY_AFTER = 2.0
# Largest random addition to the time until an endpoint takes requests again, as a share of it.
WAIT_SPREAD = 1.0
RETRY_AFTER_SPREAD = 2.0  # Largest random addition to `MIN_RETRY_AFTER`, in seconds.


def has_returned(req: ForwardedCall) -> bool:
    """Return whether the caller was refused before, judging by how near its deadline is."""
    return req.ask.deadline - req.arrived_at < RETURNED_TIME_SHARE * req.route.timeout


def latest_on_time_start(req: ForwardedCall) -> float:
    """Return the last monotonic time to get a place and still meet the route's latency target."""
    return req.arrived_at + req.route.target_latency - TIME_TO_FIRST_EVENT


def rank(state: State, req: ForwardedCall, at: float) -> tuple[int, int, int, bool, float]:
    """Return the sort key by which waiting requests get places; the lowest comes first.

    Streams that broke off come first, whether this host or their caller resumes them, as their
    callers wait in the middle of an answer. Next come
    callers that were refused before and have now waited for `RETURNED_MIN_WAIT`, then requests
    that can meet their latency target, and last all others. Within a group, requests are sorted by
    the priority of the caller's organisation, if it has one, then by the route's, then by whether
    the organisation is above its share, and then by arrival, or in the last group by
    `latest_start`.
    """
    if req.broke_off:
        group = 0
    elif has_returned(req):
        group = 1 if at - req.arrived_at >= RETURNED_MIN_WAIT else 3
    else:
        group = 2 if at <= latest_on_time_start(req) else 3
    sort_time = latest_start(state, req) if group == 3 else req.arrived_at
    return group, req.priority, req.route.priority, req.yields, sort_time


def latest_start(state: State, req: ForwardedCall) -> float:
    """Return the last monotonic time to get a place and still finish before the call ends."""
    return (
        req.ends_at
        - TIME_TO_FIRST_EVENT
        - stream_duration(state, req.service, req.route.name, req.ask, req.events)
    )


def stream_duration(state: State, service: str, route: str, ask: Ask, events: int = 0) -> float:
    """Return a cautious estimate of the seconds for the rest of a stream.

    Args:
        state: The host's state.
        service: Name of the service.
        route: Name of the route.
        ask: The request.
        events: Number of events that this call has brought.
    """
    traits = routes.service(state, service)
    if traits is None or traits.engine is None:
        tokens = estimates.expected_output(state, route, ask)
    else:
        tokens = estimates.remaining_output(state, traits, route, ask, events)
    return LONG_OUTPUT_FACTOR * tokens / estimates.token_rate(state, service)


def longest_stream(state: State, service: str, ask: Ask) -> float:
    """Return the seconds that a stream of the longest output that its caller allows may take."""
    tokens = max(ask.max_tokens, ask.length_hint)
    return SLOW_STREAM_FACTOR * tokens / estimates.token_rate(state, service)


def should_refuse(state: State, req: ForwardedCall, at: float, *, has_room: bool) -> bool:
    """Return whether a request has waited too long, or can no longer finish before its call ends.

    The length of its output is only an estimate. So while engines have room, a request is still
    tried if an output shorter than expected could finish in time. In a burst it is refused, since
    other requests make better use of the memory. A stream that its caller resumes is always tried
    so: its caller has the beginning, which is lost if it is refused.

    Args:
        state: The host's state.
        req: The request.
        at: Monotonic time.
        has_room: Whether no other request waits and a decode engine has half of its slots free.
    """
    if req.relay_begun:
        return False
    time_left = latest_start(state, req) - at
    if has_room or req.ask.resumed:
        factor = RESUMED_OUTPUT_FACTOR if req.ask.resumed else SHORT_OUTPUT_FACTOR
        full_duration = stream_duration(state, req.service, req.route.name, req.ask, req.events)
        time_left += (1.0 - factor / LONG_OUTPUT_FACTOR) * full_duration
    return at - req.arrived_at >= max_wait(req) or time_left < 0.0


def max_wait(req: ForwardedCall) -> float:
    """Return how many seconds from its arrival a request may wait for a place.

    A stream that its caller resumes may wait as long as the caller is patient: if it is refused, it
    has less time left for the same rest.
    """
    route = req.route
    patience = max(
        MIN_PATIENCE,
        PATIENCE_LATENCY_TARGETS * route.target_latency,
        PATIENCE_GAPS * route.target_gap,
    )
    if req.ask.resumed:
        return RETRY_WAIT_SHARE * patience
    share = RETRY_WAIT_SHARE if req.number else WAIT_SHARE
    return min(share * patience, (req.ends_at - req.arrived_at) / 3)


def spread_wait(state: State, wait: float) -> float:
    """Return when to come back after a wait, so that callers do not come back together."""
    return round(wait * (1.0 + WAIT_SPREAD * state.rng.random()), 2)


def can_wait(req: ForwardedCall, at: float, seconds: float) -> bool:
    """Return whether a request may wait for some seconds more; a stream that broke off always."""
    return req.relay_begun or at + seconds - req.arrived_at < max_wait(req)


def retry_after(state: State, req: ForwardedCall, at: float) -> float:
    """Return after how many seconds a refused caller should retry."""
    time_left = max(0.0, req.ends_at - at)
    wait = MIN_RETRY_AFTER + RETRY_AFTER_SPREAD * state.rng.random()
    return round(min(wait, time_left / 3), 2)
