"""Forwards requests to plain services, and retries at another endpoint where that is allowed.

Load pattern handled: some endpoints fail a part of their requests. A safe request that failed is
retried at another endpoint, within the route's ``max_attempts`` and the retry budget. An unsafe
request is sent again only if the endpoint says that it has not run the request, or accepted no
connection. A stream that broke off continues at another endpoint after the last event that its
caller got, where the route is resumable, and only at one of the same build; otherwise it is cut
off.
"""

import typing

from .._effects import Count
from .._effects_forwarding import Forward, Relay
from .._errors import (
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    ENDPOINT_SILENT,
    NO_ENDPOINT,
    OVERLOADED,
    Failure,
    Reason,
)
from .._events import AnswerCame, PermitSettled, TryFailed
from .._forwarding import STREAM, Endpoint
from .._reducer import Step, handles
from .._state import State
from .._verdict import Verdict
from . import (
    caller_keys,
    directory,
    forwarding,
    health,
    hops,
    pauses,
    permits,
    placing,
    rejecting,
    retry_budget,
    routes,
    stopping,
)
from .forwarding import ForwardedCall

# Seconds after which refused callers are told to retry. By then other endpoints or hosts may be
# able to answer.
RETRY_AFTER = 0.5
# Time-out of a try that may be retried, as a share of the route's latency target.
TRY_TIMEOUT_SHARE = 1.0
MIN_RETRY_TIME = 0.02  # Seconds that must be left before a call's end for a retry.


def start(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Send a request to the endpoint with the least work; refuse it if no endpoint is free.

    It goes through another host if this one reaches no endpoint.
    """
    if (yield from caller_keys.refuse_barred(state, req, at)):
        return
    if not stopping.may_begin(state, req, at):
        yield from stopping.refuse_unfinished(state, req, at)
        return
    if hops.is_needed(state, req, at):
        yield from hops.start(state, req, at)
        return

    def choose() -> Endpoint | None:
        return placing.choose_plain(
            state,
            req.service,
            at,
            req.avoid,
            req.build,
            stream=_beginning_stream(req),
        )

    endpoint = yield from permits.first_permitted(state, req, choose, at)
    if endpoint is not None:
        yield from _send(state, req, endpoint, at)
    elif req.phase != forwarding.ASKING:
        yield from _refuse_unplaced(state, req, at)


def _beginning_stream(req: ForwardedCall) -> str | None:
    """Return a stream's name, empty if its build is decided; None if the call is no stream."""
    if req.route.kind != STREAM:
        return None
    return "" if req.build else req.stream_name


@handles(PermitSettled)
def permit_settled(state: State, event: PermitSettled) -> typing.Iterator[Step]:
    """Send a request once its endpoint's limit has room; otherwise choose another endpoint."""
    req = forwarding.asking_call(state, event)
    if req is None or routes.is_generation(state, req.route, req.service):
        return
    endpoint = req.end_asking()
    if event.is_granted and placing.may_get_work(state, endpoint.name, event.at):
        yield from _send(state, req, endpoint, event.at)
    else:
        yield from start(state, req, event.at)


def _refuse_unplaced(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    listed_names = [one.name for one in directory.usable_endpoints(state, req.service)]
    wait = placing.shortest_wait(state, listed_names, at)
    yield from forwarding.refuse_call(
        state,
        req,
        at,
        _no_endpoint_reason(listed_names, req.avoid),
        retry_after=max(RETRY_AFTER, rejecting.spread_wait(state, wait)),
        service=req.service,
        endpoints=len(listed_names),
        connections=placing.connection_limit(state, req.service, at),
        limited=sum(permits.has_limit(state, name) for name in listed_names),
        paused=sum(pauses.is_paused(state, name, at) for name in listed_names),
        wait=wait,
    )


def _send(state: State, req: ForwardedCall, endpoint: Endpoint, at: float) -> typing.Iterator[Step]:
    health.record_chosen(state, endpoint.name)
    yield forwarding.take_place(state, req, endpoint, None, at)
    req.begin_try(at)
    yield forwarding.log(
        "sent",
        req,
        state,
        at,
        endpoint=endpoint.name,
        zone=endpoint.zone,
        tries=req.number,
        fingerprint=req.ask.fingerprint or "-",
    )
    yield Forward(
        call_id=req.ask.call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        number=req.number,
        deadline=req.ends_at,
        connections=placing.connection_limit(state, req.service, at),
        resume=req.events > 0,
        organisation=caller_keys.told_name(state, req),
        quiet=(
            TRY_TIMEOUT_SHARE * req.route.target_latency
            if forwarding.may_be_sent_again(state, req, at)
            else 0.0
        ),
    )


def _no_endpoint_reason(listed_names: list[str], avoid: list[str]) -> Reason:
    """Return why no endpoint is left: none listed, all tried already, or all connections used."""
    if not listed_names:
        return NO_ENDPOINT
    return ENDPOINT_REFUSED if set(listed_names) <= set(avoid) else OVERLOADED


def on_answer(state: State, req: ForwardedCall, event: AnswerCame) -> typing.Iterator[Step]:
    """Relay an answer to the caller, or retry at another endpoint."""
    if event.not_run:
        req.mark_not_run()
        yield Count(metric="endpoint_refusals", label=req.service)
        yield from _retry(state, req, event.at, ENDPOINT_REFUSED, answer=event)
        return
    if not forwarding.is_failure(event.status):
        health.record_success(state, event.endpoint)
        yield from _relay(state, req, event)
        return
    yield from forwarding.note_failure(state, req, event.endpoint, None, event.at)
    if _may_retry(state, req, event.at):
        yield from _retry(state, req, event.at, ENDPOINT_FAILED, answer=event)
        return
    yield from _relay(state, req, event)


def _relay(state: State, req: ForwardedCall, event: AnswerCame) -> typing.Iterator[Step]:
    """Relay an answer; a stream that has begun takes only the rest of that stream."""
    if event.streams and event.status == 200:
        yield forwarding.begin_relay(state, req, event.at, req.place.build)
        yield Relay(call_id=req.ask.call_id, number=req.number)
        return
    yield from forwarding.relay_answer(state, req, event, endpoint=event.endpoint)


def on_failure(state: State, req: ForwardedCall, event: TryFailed) -> typing.Iterator[Step]:
    """Retry at another endpoint after a try without a whole answer, where that is allowed."""
    req.note_broken_off(event.events)
    not_run = event.failure.verdict is Verdict.NOT_RUN
    if not_run:
        req.mark_not_run()
    yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
    if not_run or _may_retry(state, req, event.at):
        yield from _retry(state, req, event.at, ENDPOINT_FAILED, failure=event.failure)
        return
    yield from forwarding.refuse_call(
        state,
        req,
        event.at,
        ENDPOINT_SILENT if event.failure.reason is ENDPOINT_SILENT else ENDPOINT_FAILED,
        endpoint=event.endpoint,
        cause=event.failure.detail,
    )


def _may_retry(state: State, req: ForwardedCall, at: float) -> bool:
    if req.events and not req.route.resumable:
        return False
    return req.has_attempt_left and at + MIN_RETRY_TIME < req.ends_at


def _retry(
    state: State,
    req: ForwardedCall,
    at: float,
    reason: object,
    *,
    answer: AnswerCame | None = None,
    failure: Failure | None = None,
) -> typing.Iterator[Step]:
    """Send the request to another endpoint, if the retry budget allows it.

    If the budget does not allow it, relays the endpoint's answer if there is one and the request
    may have run. Without such an answer, refuses the call.
    """
    endpoint = req.place.name if req.place else "-"
    cause = failure.detail if failure is not None else f"status {answer.status}"
    yield forwarding.failed_try_line(state, req, endpoint, cause, at)
    req.avoid.append(endpoint)
    yield from forwarding.release_place(state, req, at)
    # Without a connection nothing reached the endpoint, so the retry budget is not charged.
    nothing_sent = failure is not None and failure.verdict is Verdict.NOT_RUN
    if nothing_sent or retry_budget.try_spend_retry(state, req.service, at):
        yield Count(metric="forward_repeats", label=req.service)
        yield from start(state, req, at)
        return
    if answer is not None and not req.may_have_run:
        reason = ENDPOINT_REFUSED
    yield Count(metric="budget_empty", label=req.service)
    if answer is not None and req.may_have_run:
        yield from _relay(state, req, answer)
        return
    yield from forwarding.refuse_call(
        state,
        req,
        at,
        reason,
        retry_after=RETRY_AFTER,
        endpoint=endpoint,
        budget=0,
        status=answer.status if answer is not None else "-",
    )
