"""Takeover: a running stream moves to the host that the newest call reached."""

import typing

from .._effects import (
    AttachCall,
    CloseCall,
    Count,
    DropStream,
    FinishStream,
    ResumeStream,
    SendPeer,
    StartTimer,
    StopTimer,
)
from .._events import AttemptFailed, RequestClosed, SlotAdopted, SlotFreed
from .._reducer import Step
from .._state import State
from .._wire import Owner, Supersede, Superseded
from . import attempts, cancels, keys, requests
from .attempts import Generation
from .requests import Request


def adopt(
    state: State, request_id: str, attempt_id: str, engine: str, at: float
) -> typing.Iterator[Step]:
    """Go on with an attempt that another host started, from the first token on."""
    req = requests.request_of(state, request_id)
    if req is None:
        yield from cancels.cancel(state, request_id, attempt_id, engine)
        return
    attempts.go_on(state, request_id, attempt_id, engine, at)
    requests.mark_may_have_run(state, request_id)
    yield AttachCall(call_id=req.call.call_id, request_id=request_id)
    yield StartTimer(timer="stall", key=request_id, delay=state.cfg.timing.stall)
    yield SlotAdopted(at=at, request_id=request_id, attempt_id=attempt_id, decode_engine=engine)
    yield ResumeStream(request_id=request_id, attempt_id=attempt_id, endpoint=engine, takeover=True)
    yield from keys.report(state, request_id, attempt_id, engine=engine)


def hand_over(state: State, asked: Supersede, at: float) -> typing.Iterator[Step]:
    """Close the older call unanswered and let the asking host go on with the stream."""
    gen = attempts.generation_of(state, asked.request_id)
    req = requests.request_of(state, asked.request_id)
    if req is None or asked.by == state.owner:
        yield from _tell(asked, asked.by)
        return
    if req.caller_present:
        req.caller_present = False
        yield CloseCall(call_id=req.call.call_id)
    if gen is None:
        yield from _tell(asked, asked.by)
        yield RequestClosed(at=at, request_id=asked.request_id)
        return
    if gen.phase in ("slot", "prefill") or (gen.phase == "decode" and gen.offset == 0):
        # The successor asks again until the stream runs, so that no prefill is paid twice.
        gen.successor = asked
        yield StopTimer(timer="caller", key=asked.request_id)
        return
    yield from let_go(state, asked.request_id, gen, asked, at)


def let_go(
    state: State, request_id: str, gen: Generation, asked: Supersede, at: float
) -> typing.Iterator[Step]:
    engine = gen.decode_engine if gen.phase == "decode" else ""
    yield DropStream(request_id=request_id, attempt_id=gen.attempt_id, endpoint=engine)
    yield SlotFreed(at=at, request_id=request_id, attempt_id=gen.attempt_id, handed_over=True)
    yield Count(metric="handed_over")
    yield from _tell(asked, asked.by, attempt_id=gen.attempt_id, engine=engine)
    yield RequestClosed(at=at, request_id=request_id)


def _tell(
    asked: Supersede, to: Owner, *, attempt_id: str = "", engine: str = ""
) -> typing.Iterator[Step]:
    message = Superseded(
        request_id=asked.request_id,
        attempt_id=asked.attempt_id,
        running_attempt=attempt_id,
        engine=engine,
    )
    yield SendPeer(host=to.host, message=message)


def taken_over(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Another host adopted the stream while this one was cut off: leave the answer to it."""
    req = requests.request_of(state, event.request_id)
    if req.caller_present:
        yield CloseCall(call_id=req.call.call_id)
    yield Count(metric="taken_over")
    yield SlotFreed(
        at=event.at,
        request_id=event.request_id,
        attempt_id=event.attempt_id,
        handed_over=True,
    )
    yield RequestClosed(at=event.at, request_id=event.request_id)


def rejoin(state: State, req: Request, at: float) -> typing.Iterator[Step]:
    """Relay the running stream to a newer call on this host, from the first token on."""
    request_id = req.call.request_id
    gen = attempts.generation_of(state, request_id)
    yield StopTimer(timer="caller", key=request_id)
    if gen is None:
        return
    yield AttachCall(call_id=req.call.call_id, request_id=request_id)
    if gen.successor:
        gen.successor = None
        yield from keys.report(state, request_id, gen.attempt_id, engine=gen.decode_engine)
    if gen.phase == "ended":
        yield FinishStream(call_id=req.call.call_id, request_id=request_id, finish="stop")
