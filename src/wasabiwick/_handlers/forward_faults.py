"""Answers and closes a forwarded call whose handling failed, and counts the loads anew.

The handler that failed may have stopped anywhere. So nothing here goes by what it was to do: the
answer comes first, then all that the call may hold is dropped, and what hosts count is counted
again from the calls that are left.
"""

import typing

from .._effects import Count, StopTimer
from .._effects_forwarding import CutForward, DropHold, DropTry, FreeHandle, RefuseForward
from .._errors import HOST_FAILED, INTERNAL, Failure, Reason
from .._events import (
    CallPassedOn,
    EffectFailed,
    ForwardAnswered,
    ForwardArrived,
    ForwardLeft,
    LoadChanged,
    PlacesChanged,
    StepFailed,
    StreamDone,
    StreamMoved,
)
from .._reducer import Step, handles
from .._state import State
from .._verdict import Verdict
from . import forwarding, places
from .forwarding import ForwardedCall

# Modules that only note what they see of a call, which goes on without them.
OBSERVERS = ("reach", "crash_watch")
# Events that tell how far an answer has come. The call ends by another event.
PROGRESS = (StreamMoved, StreamDone)
# Seconds after which a caller is told to retry whose request was not sent.
RETRY_AFTER_S = 0.5


@handles(StepFailed)
def end_failed_call(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Answer and close the call whose handling failed."""
    failed = event.event
    req = _call_of(state, event)
    if req is None:
        yield from _end_unknown(event)
        return
    if isinstance(failed, PROGRESS) or event.handler.partition(".")[0] in OBSERVERS:
        return
    yield from _end(
        state, req, event, is_answered=isinstance(failed, ForwardAnswered | ForwardLeft)
    )


def _call_of(state: State, event: StepFailed) -> ForwardedCall | None:
    found = (forwarding.call(state, name) for name in event.subject)
    return next((req for req in found if req is not None), None)


def _end_unknown(event: StepFailed) -> typing.Iterator[Step]:
    """Answer a call that was not opened, or drop what is left of one that was answered before."""
    failed = event.event
    for call_id in event.subject:
        yield DropTry(call_id=call_id, number=0)
    if isinstance(failed, ForwardArrived | CallPassedOn):
        failure = Failure(reason=HOST_FAILED, verdict=Verdict.NOT_RUN, retry_after=RETRY_AFTER_S)
        yield Count(metric="forward_refused", label=HOST_FAILED.code)
        yield RefuseForward(call_id=failed.ask.call_id, failure=failure)
    elif isinstance(failed, EffectFailed) and failed.effect == RefuseForward.__name__:
        yield CutForward(call_id=failed.subject)


def _end(
    state: State, req: ForwardedCall, event: StepFailed, *, is_answered: bool
) -> typing.Iterator[Step]:
    call_id = req.ask.call_id
    del state["forwarding"].calls[call_id]
    if not is_answered:
        yield _answer(req)
    yield StopTimer(timer="forward_ends", key=call_id)
    yield DropTry(call_id=call_id, number=req.number)
    if req.hold and req.place is not None:
        yield DropHold(
            call_id=call_id,
            endpoint=req.place.name,
            address=req.place.address,
            hold=req.hold,
        )
    if req.handle and req.prefill_engine is not None:
        yield FreeHandle(
            call_id=call_id,
            endpoint=req.prefill_engine.name,
            address=req.prefill_engine.address,
            handle=req.handle,
        )
    if not is_answered:
        yield Count(metric="forward_refused", label=_reason(req).code)
        yield forwarding.log(
            "cut" if req.relay_begun else "refused",
            req,
            state,
            event.at,
            reason=_reason(req).code,
            verdict=_verdict(req).value,
            tries=req.number,
            handler=event.handler,
            cause=event.cause,
        )


def _answer(req: ForwardedCall) -> CutForward | RefuseForward:
    # Without events the caller may have no head yet, and if it has one, the listener cuts it off.
    if req.relay_begun and req.events:
        return CutForward(call_id=req.ask.call_id)
    failure = Failure(
        reason=_reason(req),
        verdict=_verdict(req),
        retry_after=None if req.may_have_run else RETRY_AFTER_S,
    )
    return RefuseForward(call_id=req.ask.call_id, failure=failure)


def _verdict(req: ForwardedCall) -> Verdict:
    return Verdict.MAY_HAVE_RUN if req.may_have_run else Verdict.NOT_RUN


def _reason(req: ForwardedCall) -> Reason:
    """Return a reason whose status says that the request has not run only if that is so."""
    return INTERNAL if req.may_have_run else HOST_FAILED


@handles(StepFailed)
def count_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Count the load of endpoints by the calls in progress; places may have become free."""
    calls = state["forwarding"].calls.values()
    running = [(req.place.name, req.ask.call_id) for req in calls if req.place is not None]
    reading = [
        (req.prefill_engine.name, req.reading)
        for req in calls
        if req.prefill_engine is not None and req.reading
    ]
    if places.count_again(state, running, reading):
        yield LoadChanged(at=event.at, of_stream=True)
        yield PlacesChanged(at=event.at)
