"""Arrivals of forwarded calls, and what ends them from outside: callers that leave, and time."""

import typing

from .._effects import Count, LogLine
from .._effects_forwarding import RefuseForward
from .._errors import (
    DEADLINE_PASSED,
    ENDPOINT_SILENT,
    NO_CONFIGURATION,
    NO_ROUTE,
    OVERLOADED,
    STOPPING,
    Failure,
    Reason,
)
from .._events import AnswerCame, ForwardArrived, ForwardLeft, TimerFired, TryFailed
from .._forwarding import STREAM, Ask, Route
from .._reducer import Step, handles, on_timer
from .._state import State
from .._verdict import Verdict
from . import forward_plain, forward_streams, forwarding, rejecting, retry_budget, routes
from .forwarding import Forwarded
from .host import stop_by

CONFIGURATION_RETRY = 0.5  # Seconds told to callers of a host that has read no routes yet.
STOPPING_RETRY = 0.1  # Seconds; another host answers at once.


@handles(ForwardArrived)
def arrive(state: State, event: ForwardArrived) -> typing.Iterator[Step]:
    """Match a call to its route and start it."""
    ask, at = event.ask, event.at
    if not routes.is_known(state):
        yield from _turn_down(state, event, NO_CONFIGURATION, CONFIGURATION_RETRY)
        return
    route = routes.match(state, ask.host, ask.path)
    if route is None:
        yield from _turn_down(state, event, NO_ROUTE, None)
        return
    if state.stopping and not _ends_before_stop(state, route, ask, at):
        yield from _turn_down(state, event, STOPPING, STOPPING_RETRY)
        return
    service = routes.pick_service(state, route)
    req = Forwarded(ask=ask, route=route, service=service, arrived=at)
    yield from forwarding.open_call(state, req, at)
    retry_budget.count_request(state, service, at)
    yield from _concern(state, req).start(state, req, at)


def _ends_before_stop(state: State, route: Route, ask: Ask, at: float) -> bool:
    """Tell whether an answer can be expected to come whole before a stopping host ends."""
    seconds = route.target_latency
    if route.kind == STREAM:
        seconds += rejecting.stream_duration(state, route.services[0][0], route.name, ask)
    return at + seconds < stop_by(state)


def _turn_down(
    state: State, event: ForwardArrived, reason: Reason, retry_after: float | None
) -> typing.Iterator[Step]:
    ask = event.ask
    fields = {
        "request": ask.trace_id,
        "call": ask.call_id,
        "host": ask.host,
        "path": ask.path,
        "reason": reason.code,
        "verdict": Verdict.NOT_RUN.value,
        "routes_version": routes.version(state),
    }
    failure = Failure(reason=reason, verdict=Verdict.NOT_RUN, retry_after=retry_after)
    yield Count(metric="forward_refused", label=reason.code)
    yield LogLine(event="refused", fields=fields)
    yield RefuseForward(call_id=ask.call_id, failure=failure)


def _concern(state: State, req: Forwarded) -> typing.Any:
    """Return the module that serves a call: that of model engines, or of plain services."""
    traits = routes.service(state, req.service)
    is_engine = traits is not None and traits.engine is not None
    return forward_streams if is_engine and req.route.kind == STREAM else forward_plain


@handles(AnswerCame)
def answer_came(state: State, event: AnswerCame) -> typing.Iterator[Step]:
    """Let the call's concern judge an answer of its newest try."""
    req = forwarding.call(state, event.call_id)
    if req is not None and req.number == event.number:
        yield from _concern(state, req).came(state, req, event)


@handles(TryFailed)
def try_failed(state: State, event: TryFailed) -> typing.Iterator[Step]:
    """Let the call's concern judge a failure of its newest try."""
    req = forwarding.call(state, event.call_id)
    if req is not None and req.number == event.number:
        yield from _concern(state, req).failed(state, req, event)


@handles(ForwardLeft)
def left(state: State, event: ForwardLeft) -> typing.Iterator[Step]:
    """Stop everything for a caller that went away."""
    req = forwarding.call(state, event.call_id)
    if req is None:
        return
    yield Count(metric="forward_left", label=req.phase)
    yield forwarding.log("caller_left", req, state, event.at, phase=req.phase, events=req.events)
    yield from forwarding.close(state, req, event.at)


@on_timer("forward_ends")
def out_of_time(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Give the final answer once the route's time, or the caller's, is over."""
    req = forwarding.call(state, event.key)
    if req is None:
        return
    if req.phase == forwarding.SENT and req.place is not None:
        # An endpoint that can't be reached over a kept connection shows by nothing else.
        silent = Failure(reason=ENDPOINT_SILENT, verdict=Verdict.MAY_HAVE_RUN)
        yield from forwarding.note_failure(state, req, req.place.name, silent, event.at)
    reason = DEADLINE_PASSED if req.ran else OVERLOADED
    yield from forwarding.refuse(
        state, req, event.at, reason, retry_after=STOPPING_RETRY, phase=req.phase
    )
