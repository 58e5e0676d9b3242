"""Takeover of a running stream by the host that received the newest call of its request."""

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
    """Relay the stream of an attempt that another host started, from its first token."""
    req = requests.request_of(state, request_id)
    if req is None:
        yield from cancels.cancel(state, request_id, attempt_id, engine)
        return
    attempts.add_adopted(state, request_id, attempt_id, engine, at)
    requests.mark_may_have_run(state, request_id)
    yield AttachCall(call_id=req.call.call_id, request_id=request_id)
    yield StartTimer(timer="stall", key=request_id, delay=state.cfg.timing.stall)
    yield SlotAdopted(at=at, request_id=request_id, attempt_id=attempt_id, decode_engine=engine)
    yield ResumeStream(request_id=request_id, attempt_id=attempt_id, endpoint=engine, takeover=True)
    yield from keys.report(state, request_id, attempt_id, engine=engine)


def hand_over(state: State, supersede: Supersede, at: float) -> typing.Iterator[Step]:
    """Close this host's older call unanswered, and hand the stream to the host that asks for it."""
    gen = attempts.generation_of(state, supersede.request_id)
    req = requests.request_of(state, supersede.request_id)
    if req is None or supersede.by == state.owner:
        yield from _send_superseded(supersede, supersede.by)
        return
    if req.caller_present:
        req.caller_present = False
        yield CloseCall(call_id=req.call.call_id)
    if gen is None:
        yield from _send_superseded(supersede, supersede.by)
        yield RequestClosed(at=at, request_id=supersede.request_id)
        return
    if gen.phase in ("slot", "prefill") or (gen.phase == "decode" and gen.offset == 0):
        # The successor asks again until the stream has output, so that no prefill is repeated.
        gen.successor = supersede
        yield StopTimer(timer="caller", key=supersede.request_id)
        return
    yield from transfer(state, supersede.request_id, gen, supersede, at)


def transfer(
    state: State, request_id: str, gen: Generation, supersede: Supersede, at: float
) -> typing.Iterator[Step]:
    """Stop relaying a stream, and send the name of its engine to the host that takes it over."""
    engine = gen.decode_engine if gen.phase == "decode" else ""
    yield DropStream(request_id=request_id, attempt_id=gen.attempt_id, endpoint=engine)
    yield SlotFreed(at=at, request_id=request_id, attempt_id=gen.attempt_id, handed_over=True)
    yield Count(metric="handed_over")
    yield from _send_superseded(supersede, supersede.by, attempt_id=gen.attempt_id, engine=engine)
    yield RequestClosed(at=at, request_id=request_id)


def _send_superseded(
    supersede: Supersede, to: Owner, *, attempt_id: str = "", engine: str = ""
) -> typing.Iterator[Step]:
    message = Superseded(
        request_id=supersede.request_id,
        attempt_id=supersede.attempt_id,
        running_attempt=attempt_id,
        engine=engine,
    )
    yield SendPeer(host=to.host, message=message)


def adopted_elsewhere(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Close the call of a stream that another host adopted while this host was cut off."""
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
    """Relay the running stream to a newer call on this host, from its first token."""
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
        yield FinishStream(call_id=req.call.call_id, request_id=request_id, finish=gen.finish)
