"""Answers and closes a request of a caller whose handling failed, with all that is held for it."""

import typing

from .._effects import RefuseCall
from .._errors import HOST_FAILED, INTERNAL, Failure
from .._events import CallAnswered, CallArrived, CallerGone, RequestClosed, StepFailed, TimerFired
from .._reducer import Step, handles
from .._state import State
from .._verdict import Verdict
from . import requests
from .requests import Request

# Modules that only note what they see of a request, which goes on without them.
OBSERVERS = ("measures", "health")


@handles(StepFailed)
def end_failed_request(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Answer the call, and end the request as if its caller had left."""
    failed = event.event
    if isinstance(failed, CallArrived):
        req = requests.request_of(state, failed.call.request_id)
        if req is None or req.call is not failed.call:
            verdict = requests.verdict_of(state, failed.call)
            yield RefuseCall(call_id=failed.call.call_id, failure=_failure(verdict))
            return
    if isinstance(failed, RequestClosed):
        # The handlers of this event drop what there is, so that they may run again.
        yield RequestClosed(at=event.at, request_id=failed.request_id)
        return
    req = _request_of(state, event)
    if req is None or event.handler.partition(".")[0] in OBSERVERS:
        return
    req.caller_present = False
    if not isinstance(failed, CallAnswered | CallerGone):
        # Whether the failed handler got to its own answer isn't known; a caller gets the first.
        failure = _failure(requests.verdict_of(state, req.call))
        yield from requests.refuse(req.call.call_id, failure)
    call = req.call
    if call.kind == "generate":
        yield TimerFired(at=event.at, timer="caller", key=call.request_id)
    else:
        yield CallerGone(at=event.at, call_id=call.call_id, request_id=call.request_id)


def _request_of(state: State, event: StepFailed) -> Request | None:
    found = (requests.request_of(state, name) for name in event.subject)
    return next((req for req in found if req is not None), None)


def _failure(verdict: Verdict) -> Failure:
    reason = HOST_FAILED if verdict is Verdict.NOT_RUN else INTERNAL
    return Failure(reason=reason, verdict=verdict)
