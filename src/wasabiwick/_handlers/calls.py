"""Arrival and end of calls: authentication, target checks, and joining calls to requests."""

import typing

from .._effects import CloseCall, Count
from .._errors import (
    BAD_KEY,
    KEY_REUSED,
    NO_CONFIGURATION,
    NOT_ALLOWED,
    STOPPING,
    UNKNOWN_MODEL,
    UNKNOWN_SERVICE,
    Failure,
    Reason,
)
from .._events import (
    AdmissionWanted,
    Call,
    CallAnswered,
    CallArrived,
    CallerGone,
    RequestClosed,
    RequestDenied,
)
from .._lists import Lists, Plan
from .._reducer import Step, handles
from .._state import State
from .._verdict import Verdict
from . import claims, lists, requests, takeover
from .requests import Request

# Seconds after which a caller that a stopping host refused should retry. The time is short, because
# another host can serve the call.
STOPPING_RETRY_AFTER = 0.2
# Seconds after which a caller that was refused for lack of a configuration should retry.
CONFIGURATION_RETRY_AFTER = 1.0


@handles(CallArrived)
def join_or_open(state: State, event: CallArrived) -> typing.Iterator[Step]:
    """Join a call to its running request, or check it and open a new request."""
    call = event.call
    yield Count(metric="calls", label=call.kind)
    running = requests.request_of(state, call.request_id)
    if running:
        yield from _join_request(state, running, event)
        return
    failure = _check_call(state, call)
    if failure:
        yield from requests.refuse(call.call_id, failure)
        return
    yield from _open_request(state, event)


def _open_request(state: State, event: CallArrived) -> typing.Iterator[Step]:
    call = event.call
    current_lists = lists.current(state)
    customer = current_lists.customer_of(call.key_hash)
    state["calls"].requests[call.request_id] = Request(
        call=call,
        customer=customer,
        plan=current_lists.plan_of(customer),
        version=current_lists.version,
        arrived=event.at,
    )
    if call.kind == "generate" and call.has_key:
        yield from claims.claim_key(state, call, event.at)
    else:
        yield AdmissionWanted(at=event.at, request_id=call.request_id)


def _join_request(state: State, req: Request, event: CallArrived) -> typing.Iterator[Step]:
    call = event.call
    if call.digest != req.call.digest or call.key_hash != req.call.key_hash:
        # Another host may already have run a service call with this key and body.
        verdict = Verdict.NOT_RUN if call.kind == "generate" else Verdict.MAY_HAVE_RUN
        failure = Failure(
            reason=KEY_REUSED,
            verdict=verdict,
            detail="the Idempotency-Key is in use for a request with another body",
        )
        yield from requests.refuse(call.call_id, failure)
        return
    # A caller that sends the request again has given up on its earlier connection.
    if req.caller_present:
        yield CloseCall(call_id=req.call.call_id)
    yield Count(metric="superseded")
    req.call = call
    req.caller_present = True
    yield from takeover.rejoin(state, req, event.at)


def _check_call(state: State, call: Call) -> Failure | None:
    if state.stopping:
        return _failure(state, call, STOPPING, "", STOPPING_RETRY_AFTER)
    current_lists = lists.current(state)
    if current_lists is None:
        return _failure(state, call, NO_CONFIGURATION, "", CONFIGURATION_RETRY_AFTER)
    customer = current_lists.customer_of(call.key_hash)
    if customer is None:
        return Failure(reason=BAD_KEY, verdict=Verdict.NOT_RUN)
    plan = current_lists.plan_of(customer)
    if plan is None:
        detail = f'customer "{customer.name}" has no plan'
        return _failure(state, call, NOT_ALLOWED, detail)
    return _check_target(state, call, current_lists, plan)


def _check_target(state: State, call: Call, current_lists: Lists, plan: Plan) -> Failure | None:
    if call.kind == "generate":
        is_listed, is_allowed = call.target in current_lists.models, call.target in plan.models
        unknown, noun = UNKNOWN_MODEL, "model"
    else:
        is_listed, is_allowed = call.target in current_lists.services, call.target in plan.services
        unknown, noun = UNKNOWN_SERVICE, "service"
    if not is_listed:
        return _failure(state, call, unknown, f'{noun} "{call.target}" does not exist')
    if not is_allowed:
        detail = f'plan "{plan.name}" does not include {noun} "{call.target}"'
        return _failure(state, call, NOT_ALLOWED, detail)
    return None


def _failure(
    state: State, call: Call, reason: Reason, detail: str, retry_after: float | None = None
) -> Failure:
    return Failure(
        reason=reason,
        verdict=requests.verdict_of(state, call),
        detail=detail,
        retry_after=retry_after,
    )


@handles(RequestDenied)
def deny(state: State, event: RequestDenied) -> typing.Iterator[Step]:
    """Answer the waiting call with the failure and close the request."""
    req = requests.request_of(state, event.request_id)
    if req is None:
        return
    if req.caller_present:
        # Another handler may deny the request in the same step; the caller is answered only once.
        req.caller_present = False
        yield from requests.refuse(req.call.call_id, event.failure)
    yield RequestClosed(at=event.at, request_id=event.request_id)


@handles(CallerGone)
def caller_gone(state: State, event: CallerGone) -> None:
    """Record that no caller waits for the request."""
    req = requests.request_of(state, event.request_id)
    if req and req.call.call_id == event.call_id:
        req.caller_present = False


@handles(CallAnswered)
def answered(state: State, event: CallAnswered) -> typing.Iterator[Step]:
    """Close a request whose answer was written completely."""
    req = requests.request_of(state, event.request_id)
    if req and req.call.call_id == event.call_id:
        yield Count(metric="answered", label=req.call.kind)
        yield RequestClosed(at=event.at, request_id=event.request_id)
