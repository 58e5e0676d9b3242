"""Decides what a stopping host still accepts, and answers what it can't finish before its end.

A caller that is refused is served by another host at once, while an answer that the end of the
process cuts off is lost unless its caller can resume it.
"""

import typing

from .._effects import StartTimer
from .._errors import STOPPING
from .._events import StopAsked, TimerFired
from .._forwarding import STREAM, Ask, Route
from .._reducer import Step, handles, on_timer
from .._state import State
from . import forwarding, rejecting
from .forwarding import ForwardedCall
from .host import notice_ends, stop_by

# Seconds after which callers are told to retry where another host can answer at once.
OTHER_HOST_RETRY_AFTER = 0.1
# Time before the end of a stopping host at which it answers what it can't finish, so that these
# answers are written and read.
LAST_ANSWERS_TIME_S = 0.2


def last_answers_at(state: State) -> float:
    """Return the monotonic time at which a stopping host answers what it can't finish."""
    return stop_by(state) - LAST_ANSWERS_TIME_S


def may_accept(state: State, route: Route, service: str, ask: Ask, at: float) -> bool:
    """Return whether a new request may be accepted, as it will be answered before the host ends.

    A request counts for as long as its caller and its route wait. While load balancers still send
    callers to a stopping host it counts shorter, as otherwise no stream would be accepted.
    """
    if not state.stopping:
        return True
    ends_at = min(ask.deadline, at + route.timeout)
    if at < notice_ends(state):
        seconds = _stream_seconds(state, route, service, ask)
        ends_at = min(ends_at, at + route.target_latency + seconds)
    return ends_at < last_answers_at(state)


def may_begin(state: State, req: ForwardedCall, at: float) -> bool:
    """Return whether a request may be sent to an endpoint, as it can end before the host ends.

    Plain requests were accepted only if they can. A stream of which the caller has a part from this
    host goes on in any case: it would be cut off otherwise.
    """
    if not state.stopping or req.relay_begun or req.route.kind != STREAM:
        return True
    seconds = _stream_seconds(state, req.route, req.service, req.ask)
    ends_at = at + rejecting.TIME_TO_FIRST_EVENT + seconds
    return min(req.ends_at, ends_at) < stop_by(state)


def _stream_seconds(state: State, route: Route, service: str, ask: Ask) -> float:
    """Return for how long a stream may run; its longest output counts if it can't be resumed."""
    if route.kind != STREAM:
        return 0.0
    if route.resumable:
        return rejecting.stream_duration(state, service, route.name, ask)
    return rejecting.longest_stream(state, service, ask)


def refuse_unfinished(
    state: State, req: ForwardedCall, at: float, **inputs: object
) -> typing.Iterator[Step]:
    """Refuse a call that this host can't finish before it ends; another host serves it at once."""
    yield from forwarding.refuse_call(
        state,
        req,
        at,
        STOPPING,
        retry_after=OTHER_HOST_RETRY_AFTER,
        phase=req.phase,
        stops_in=stop_by(state) - at,
        **inputs,
    )


@handles(StopAsked)
def plan_last_answers(state: State, event: StopAsked) -> typing.Iterator[Step]:
    """Start the timer of the last answers."""
    yield StartTimer(timer="last_answers", delay=max(0.0, last_answers_at(state) - event.at))


@on_timer("last_answers")
def answer_before_end(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Refuse what would otherwise end without an answer; streams that have begun go on."""
    for req in list(state["forwarding"].calls.values()):
        if not req.relay_begun:
            steps = refuse_unfinished(state, req, event.at)
            yield from forwarding.guarded(req, event.at, steps)
