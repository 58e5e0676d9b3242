"""Calls: who called, what for, and which request the call belongs to."""

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

STOPPING_RETRY = 0.2  # Seconds; another host answers at once.
CONFIGURATION_RETRY = 1.0


@handles(CallArrived)
def arrive(state: State, event: CallArrived) -> typing.Iterator[Step]:
    """Check a call, then join it to its running request or open a new one."""
    call = event.call
    yield Count(metric="calls", label=call.kind)
    running = requests.request_of(state, call.request_id)
    if running:
        yield from _join(state, running, event)
        return
    refused = _check(state, call)
    if refused:
        yield from requests.refuse(call.call_id, refused)
        return
    yield from _open(state, event)


def _open(state: State, event: CallArrived) -> typing.Iterator[Step]:
    call = event.call
    known = lists.current(state)
    customer = known.customer_of(call.key_hash)
    state["calls"].requests[call.request_id] = Request(
        call=call,
        customer=customer,
        plan=known.plan_of(customer),
        version=known.version,
        arrived=event.at,
    )
    if call.kind == "generate" and call.has_key:
        yield from claims.claim(state, call, event.at)
    else:
        yield AdmissionWanted(at=event.at, request_id=call.request_id)


def _join(state: State, req: Request, event: CallArrived) -> typing.Iterator[Step]:
    call = event.call
    if call.digest != req.call.digest or call.key_hash != req.call.key_hash:
        # Another host may have run this body under the key before.
        verdict = Verdict.NOT_RUN if call.kind == "generate" else Verdict.MAY_HAVE_RUN
        failure = Failure(
            reason=KEY_REUSED,
            verdict=verdict,
            detail="the Idempotency-Key is in use for a request with another body",
        )
        yield from requests.refuse(call.call_id, failure)
        return
    # A caller that asks again has given up on its earlier connection.
    if req.caller_present:
        yield CloseCall(call_id=req.call.call_id)
    yield Count(metric="superseded")
    req.call = call
    req.caller_present = True
    yield from takeover.rejoin(state, req, event.at)


def _check(state: State, call: Call) -> Failure | None:
    if state.stopping:
        return _failure(state, call, STOPPING, "", STOPPING_RETRY)
    known = lists.current(state)
    if known is None:
        return _failure(state, call, NO_CONFIGURATION, "", CONFIGURATION_RETRY)
    customer = known.customer_of(call.key_hash)
    if customer is None:
        return Failure(reason=BAD_KEY, verdict=Verdict.NOT_RUN)
    plan = known.plan_of(customer)
    if plan is None:
        detail = f'customer "{customer.name}" has no plan'
        return _failure(state, call, NOT_ALLOWED, detail)
    return _check_target(state, call, known, plan)


def _check_target(state: State, call: Call, known: Lists, plan: Plan) -> Failure | None:
    if call.kind == "generate":
        exists, allowed = call.target in known.models, call.target in plan.models
        missing, noun = UNKNOWN_MODEL, "model"
    else:
        exists, allowed = call.target in known.services, call.target in plan.services
        missing, noun = UNKNOWN_SERVICE, "service"
    if not exists:
        return _failure(state, call, missing, f'{noun} "{call.target}" does not exist')
    if not allowed:
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
    """Answer the waiting call with the failure and forget the request."""
    req = requests.request_of(state, event.request_id)
    if req is None:
        return
    if req.caller_present:
        # Another concern may deny the request in the same step; the caller has its answer now.
        req.caller_present = False
        yield from requests.refuse(req.call.call_id, event.failure)
    yield RequestClosed(at=event.at, request_id=event.request_id)


@handles(CallerGone)
def leave(state: State, event: CallerGone) -> None:
    """Note that nobody waits for the request now."""
    req = requests.request_of(state, event.request_id)
    if req and req.call.call_id == event.call_id:
        req.caller_present = False


@handles(CallAnswered)
def answered(state: State, event: CallAnswered) -> typing.Iterator[Step]:
    """Forget a request whose whole answer was written."""
    req = requests.request_of(state, event.request_id)
    if req and req.call.call_id == event.call_id:
        yield Count(metric="answered", label=req.call.kind)
        yield RequestClosed(at=event.at, request_id=event.request_id)
