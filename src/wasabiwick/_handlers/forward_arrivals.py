"""Starts forwarded calls, dispatches answers, and ends calls on time-out or disconnect."""

import typing

from .._effects import Count, LogLine
from .._effects_forwarding import RefuseForward
from .._errors import (
    BAD_KEY,
    BUILD_UNKNOWN,
    DEADLINE_PASSED,
    ENDPOINT_SILENT,
    HOST_FULL,
    NO_CONFIGURATION,
    NO_ROUTE,
    NOT_REACHED,
    ORGANISATION_LIMIT,
    OTHER_VERSION,
    OVERLOADED,
    ROUTES_BEHIND,
    STOPPING,
    Failure,
    Reason,
)
from .._events import (
    AnswerCame,
    BuildRead,
    CallPassedOn,
    ForwardArrived,
    ForwardLeft,
    HeadRefused,
    PlaceWanted,
    TimerFired,
    TryFailed,
)
from .._forwarding import STREAM, Ask, Organisation, Route
from .._reducer import Step, handles, on_timer
from .._state import State
from .._verdict import Verdict
from . import (
    builds,
    builds_saving,
    caller_keys,
    crash_watch,
    forward_plain,
    forward_streams,
    forward_waiting,
    forwarding,
    hops,
    organisation_limits,
    organisations,
    reach,
    retry_budget,
    routes,
    stopping,
)
from .forwarding import ForwardedCall
from .stopping import OTHER_HOST_RETRY_AFTER

# Seconds after which callers are told to retry while this host has read no routes.
NO_ROUTES_RETRY_AFTER = 0.5
# Seconds after which callers are told to retry whose route may be one of a version not read here.
ROUTES_BEHIND_RETRY_AFTER = 0.5
# Seconds after which callers are told to retry whose stream this host does not know; by then other
# hosts should have told it.
BUILD_RETRY_AFTER = 0.5


@handles(ForwardArrived)
def start_call(state: State, event: ForwardArrived) -> typing.Iterator[Step]:
    """Match a call to its route and start to serve it, or refuse the call."""
    ask, at = event.ask, event.at
    if not routes.is_known(state):
        yield from _refuse_arrival(state, event, NO_CONFIGURATION, NO_ROUTES_RETRY_AFTER)
        return
    route = routes.match_route(state, ask.host, ask.path)
    if route is None and routes.may_be_behind(state, at):
        yield from _refuse_arrival(state, event, ROUTES_BEHIND, ROUTES_BEHIND_RETRY_AFTER)
        return
    if route is None:
        yield from _refuse_arrival(state, event, NO_ROUTE, None)
        return
    key_failure = caller_keys.refusal(state, route, ask.key, at)
    if key_failure is not None:
        yield from _refuse_arrival(state, event, key_failure.reason, key_failure.retry_after)
        return
    service = routes.pick_service(state, route)
    if not stopping.may_accept(state, route, service, ask, at):
        yield from _refuse_arrival(state, event, STOPPING, OTHER_HOST_RETRY_AFTER)
        return
    req = ForwardedCall(ask=ask, route=route, service=service, arrived_at=at)
    req.organisation = organisations.of_key(state, ask.key)
    is_resumed = ask.resumed and route.kind == STREAM
    is_known = is_resumed and _bind_to_stream(state, req)
    yield from forwarding.open_call(state, req, at)
    retry_budget.count_request(state, req.service, at)
    if is_resumed and not is_known:
        yield from builds_saving.look_up(state, ask.call_id, req.service, ask.resumes, at)
        return
    if is_known:
        yield _binding_line(state, req, at)
    yield from _start(state, req, at)


@handles(BuildRead)
def build_read(state: State, event: BuildRead) -> typing.Iterator[Step]:
    """Serve a call at the build that began its stream; refuse it if that can't be known."""
    req = forwarding.call(state, event.call_id)
    if req is None or req.phase != forwarding.WAITING:
        return
    # The stream may have been told, or read from the store, meanwhile.
    is_bound = _bind_to_stream(state, req) or event.build is not None
    req.build = req.build or event.build or ""
    yield _binding_line(state, req, event.at, possible=event.possible)
    if is_bound:
        yield from _start(state, req, event.at)
        return
    yield from forwarding.refuse_call(
        state,
        req,
        event.at,
        BUILD_UNKNOWN,
        retry_after=BUILD_RETRY_AFTER,
        resumes=req.ask.resumes or "-",
    )


def _start(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    yield from crash_watch.refuse_blocked(state, req, at)
    if forwarding.call(state, req.ask.call_id) is None:
        return
    if wait := organisation_limits.wait_for(state, req, at):
        yield Count(metric="beyond_limit", label=req.organisation.name)
        yield from forwarding.refuse_call(
            state,
            req,
            at,
            ORGANISATION_LIMIT,
            retry_after=round(wait, 2),
            **organisation_limits.log_fields(state, req.organisation, at),
        )
    else:
        yield from _handler_module(state, req).start(state, req, at)


def _bind_to_stream(state: State, req: ForwardedCall) -> bool:
    """Bind a resumed call to the service and build of its stream; returns whether it is known."""
    stream = builds.begun_stream(state, req.ask.resumes)
    if stream is None:
        return False
    if any(name == stream.service for name, _ in req.route.services):
        req.service = stream.service
    req.build = stream.build
    return True


def _binding_line(
    state: State, req: ForwardedCall, at: float, *, possible: tuple[str, ...] = ()
) -> LogLine:
    stream = builds.begun_stream(state, req.ask.resumes)
    return forwarding.log(
        "stream_bound",
        req,
        state,
        at,
        resumes=req.ask.resumes or "-",
        build=req.build or "-",
        events_before=req.ask.events_before,
        time_left=req.ends_at - at,
        began_ago=at - stream.began if stream is not None else "-",
        builds=",".join(builds.recent_builds(state, req.service, at)) or "-",
        possible=",".join(possible) or "-",
        read_age=builds_saving.read_age(state, at),
    )


def _refuse_arrival(
    state: State, event: ForwardArrived | CallPassedOn, reason: Reason, retry_after: float | None
) -> typing.Iterator[Step]:
    failure = Failure(reason=reason, verdict=Verdict.NOT_RUN, retry_after=retry_after)
    yield from _note_refusal(state, event.ask, failure, event.at)
    yield RefuseForward(call_id=event.ask.call_id, failure=failure)


@handles(HeadRefused)
def head_refused(state: State, event: HeadRefused) -> typing.Iterator[Step]:
    """Count a request that was answered before its body was read."""
    yield from _note_refusal(state, event.ask, event.failure, event.at)


def _note_refusal(state: State, ask: Ask, failure: Failure, at: float) -> typing.Iterator[Step]:
    fields = {
        "request": ask.trace_id,
        "call": ask.call_id,
        "host": ask.host,
        "path": ask.path,
        "reason": failure.reason.code,
        "verdict": failure.verdict.value,
        **routes.log_fields(state, at),
    }
    yield Count(metric="forward_refused", label=failure.reason.code)
    yield LogLine(event="refused", fields=fields)


def _handler_module(state: State, req: ForwardedCall) -> typing.Any:
    """Return the module that serves a call: `hops`, `forward_streams` or `forward_plain`."""
    if req.host:
        return hops
    is_generation = routes.is_generation(state, req.route, req.service)
    return forward_streams if is_generation else forward_plain


@handles(CallPassedOn)
def start_passed_call(state: State, event: CallPassedOn) -> typing.Iterator[Step]:
    """Serve a call that another host passed on, under its version of the routes, or turn it down.

    It is sent to one endpoint at most; the other host counts it and may pass it on again.
    """
    ask, hop, at = event.ask, event.hop, event.at
    route = routes.match_route(state, ask.host, ask.path)
    reason = _turn_down_reason(state, event, route) or _key_reason(state, event, route)
    if reason is not None:
        yield from _refuse_arrival(state, event, reason, OTHER_HOST_RETRY_AFTER)
        return
    req = ForwardedCall(ask=ask, route=route, service=hop.service, arrived_at=at)
    req.organisation = organisations.of_key(state, ask.key)
    if req.organisation is None and hop.organisation:
        req.organisation = Organisation(name=hop.organisation, keys=())
    req.passed_by = hop.sender
    req.max_attempts = 1
    req.build, req.events = hop.build, hop.events
    req.avoid.extend(hop.avoid)
    yield Count(metric="passed_in", label=hop.service)
    yield from forwarding.open_call(state, req, at)
    yield from _start(state, req, at)


def _turn_down_reason(state: State, event: CallPassedOn, route: Route | None) -> Reason | None:
    hop = event.hop
    if hop.routes_version != routes.version(state) or route is None:
        return OTHER_VERSION
    if hop.service not in [name for name, _ in route.services]:
        return OTHER_VERSION
    if not stopping.may_accept(state, route, hop.service, event.ask, event.at):
        return STOPPING
    if reach.is_in_doubt(state, hop.service):
        return NOT_REACHED
    return HOST_FULL if hops.passed_calls(state) >= hops.MAX_PASSED else None


def _key_reason(state: State, event: CallPassedOn, route: Route) -> Reason | None:
    """Return why the caller's key does not allow a call that was passed on, or None if it does.

    A stream that began at the sender goes on under the name that the sender tells. What is not
    decided here is turned down as hosts of all builds do.
    """
    if event.hop.events and event.hop.organisation:
        return None
    failure = caller_keys.refusal(state, route, event.ask.key, event.at)
    if failure is None:
        return None
    return BAD_KEY if failure.reason is BAD_KEY else OTHER_VERSION


@handles(PlaceWanted)
def place_wanted(state: State, event: PlaceWanted) -> typing.Iterator[Step]:
    """Serve a call anew, here or through another host."""
    req = forwarding.call(state, event.call_id)
    if req is not None and req.phase == forwarding.WAITING:
        is_generation = routes.is_generation(state, req.route, req.service)
        again = forward_waiting.enqueue if is_generation else forward_plain.start
        yield from again(state, req, event.at)


@handles(AnswerCame)
def answer_came(state: State, event: AnswerCame) -> typing.Iterator[Step]:
    """Pass an answer to the call's newest try on to the module that serves the call."""
    req = forwarding.call(state, event.call_id)
    if req is not None and req.number == event.number:
        req.has_length = event.has_length
        yield from _handler_module(state, req).on_answer(state, req, event)


@handles(TryFailed)
def try_failed(state: State, event: TryFailed) -> typing.Iterator[Step]:
    """Pass a failure of the call's newest try on to the module that serves the call."""
    req = forwarding.call(state, event.call_id)
    if req is not None and req.number == event.number:
        yield from _handler_module(state, req).on_failure(state, req, event)


@handles(ForwardLeft)
def caller_left(state: State, event: ForwardLeft) -> typing.Iterator[Step]:
    """Stop all work for a caller that disconnected."""
    req = forwarding.call(state, event.call_id)
    if req is None:
        return
    yield Count(metric="forward_left", label=req.phase)
    yield forwarding.log("caller_left", req, state, event.at, phase=req.phase, events=req.events)
    yield from forwarding.close_call(state, req, event.at)


@on_timer("forward_ends")
def call_timed_out(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Refuse a call once the route's time-out or the caller's deadline has passed."""
    req = forwarding.call(state, event.key)
    if req is None:
        return
    if req.phase == forwarding.SENT and req.place is not None:
        # A connection that was already open shows no error when its endpoint becomes unreachable:
        # the endpoint just stays silent.
        failure = Failure(reason=ENDPOINT_SILENT, verdict=Verdict.MAY_HAVE_RUN)
        yield from forwarding.note_failure(state, req, req.place.name, failure, event.at)
    reason = DEADLINE_PASSED if req.may_have_run else OVERLOADED
    yield from forwarding.refuse_call(
        state, req, event.at, reason, retry_after=OTHER_HOST_RETRY_AFTER, phase=req.phase
    )
