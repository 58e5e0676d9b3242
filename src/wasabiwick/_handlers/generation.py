"""Life cycle of generation requests, from the slot through prefill and decode to the answer's end.

Also resumes interrupted streams, starts new attempts after failures, and ends requests whose
callers are gone.
"""

import typing

from .._effects import (
    AttachCall,
    Count,
    DropStream,
    Observe,
    ResumeStream,
    StartDecode,
    StartPrefill,
    StartTimer,
    StopTimer,
)
from .._errors import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    ENDPOINT_SILENT,
    SUPERSEDED,
    Failure,
)
from .._events import (
    AdmissionGiven,
    AttemptFailed,
    CallerGone,
    PrefillDone,
    RequestClosed,
    RequestDenied,
    SlotFreed,
    SlotHeld,
    SlotWanted,
    StreamEnded,
    StreamProgress,
    TimerFired,
)
from .._reducer import Step, handles, on_timer
from .._state import State
from .._verdict import Verdict
from . import attempts, cancels, confirm, finishing, keys, requests, takeover
from .attempts import Generation
from .host import was_paused

MAX_ATTEMPTS = 6
MAX_RESUMES = 3  # Times that an attempt's stream is reopened without new output in between.
RESUME_DELAY = 0.1  # Seconds before the first reopening of a stream; grows by this much each time.
TIMER_TOLERANCE = 0.001  # Seconds by which a timer may fire early.
FAILED_RETRY_AFTER = 1.0  # Seconds after which callers of failed requests should retry.


# --- Start ---------------------------------------------------------------------------------------


@handles(AdmissionGiven)
def start(state: State, event: AdmissionGiven) -> typing.Iterator[Step]:
    """Request a slot for the first attempt."""
    req = requests.request_of(state, event.request_id)
    if req is None or req.call.kind != "generate":
        return
    gen = Generation(phase="slot", attempt_id=attempts.new_attempt_id(state))
    state["generation"].running[event.request_id] = gen
    yield AttachCall(call_id=req.call.call_id, request_id=event.request_id)
    yield StartTimer(
        timer="deadline", key=event.request_id, delay=max(0.0, req.call.deadline - event.at)
    )
    yield SlotWanted(at=event.at, request_id=event.request_id, attempt_id=gen.attempt_id)


@handles(SlotHeld)
def prefill(state: State, event: SlotHeld) -> typing.Iterator[Step]:
    """Start the prefill once this host holds a decode slot for the attempt."""
    gen = attempts.current_generation(state, event.request_id, event.attempt_id)
    req = requests.request_of(state, event.request_id)
    if gen is None or req is None:
        yield SlotFreed(at=event.at, request_id=event.request_id, attempt_id=event.attempt_id)
        return
    gen.phase = "prefill"
    gen.prefill_engine = event.prefill_engine
    gen.decode_engine = event.decode_engine
    requests.mark_may_have_run(state, event.request_id)
    yield Observe(metric="slot_wait", value=event.at - req.arrived, label=req.customer.name)
    yield StartPrefill(
        request_id=event.request_id,
        attempt_id=event.attempt_id,
        endpoint=event.prefill_engine,
        model=req.call.target,
        priority=req.plan.priority,
    )


@handles(PrefillDone)
def start_decode(state: State, event: PrefillDone) -> typing.Iterator[Step]:
    """Start the decode at the engine where this host holds a slot for the attempt."""
    gen = attempts.current_generation(state, event.request_id, event.attempt_id)
    if gen is None or gen.phase != "prefill":
        yield Count(metric="prefill_wasted", amount=event.prompt_tokens - event.cached_tokens)
        return
    req = requests.request_of(state, event.request_id)
    gen.phase = "decode"
    gen.last_output = event.at
    yield StartTimer(timer="stall", key=event.request_id, delay=state.cfg.timing.stall)
    yield Count(metric="prefill_tokens", amount=event.prompt_tokens - event.cached_tokens)
    yield StartDecode(
        request_id=event.request_id,
        attempt_id=event.attempt_id,
        endpoint=gen.decode_engine,
        model=req.call.target,
        source=event.endpoint,
        handle=event.handle,
        max_tokens=req.call.max_tokens,
        priority=req.plan.priority,
    )
    if req.call.has_key:
        yield from keys.report(state, event.request_id, event.attempt_id, engine=gen.decode_engine)


# --- Output --------------------------------------------------------------------------------------


@handles(StreamProgress)
def record_progress(state: State, event: StreamProgress) -> typing.Iterator[Step]:
    """Record the output latencies, and hand the stream over to a host that waits for it."""
    gen = attempts.current_generation(state, event.request_id, event.attempt_id)
    if gen is None:
        yield Count(metric="frames_dropped", amount=event.count)
        return
    req = requests.request_of(state, event.request_id)
    if gen.offset == 0:
        yield StopTimer(timer="deadline", key=event.request_id)
        yield Observe(metric="first_output", value=event.at - req.arrived, label=req.customer.name)
    else:
        gap = (event.at - gen.last_output) / event.count
        yield Observe(metric="between_outputs", value=gap, label=req.customer.name)
    gen.offset = event.offset
    gen.last_output = event.at
    gen.resumes = 0
    if gen.successor:
        yield from takeover.transfer(state, event.request_id, gen, gen.successor, event.at)


@handles(StreamEnded)
def ended(state: State, event: StreamEnded) -> typing.Iterator[Step]:
    """Finish the answer of an ended stream, and release its slot, which the engine has freed."""
    gen = attempts.current_generation(state, event.request_id, event.attempt_id)
    if gen is None:
        return
    req = requests.request_of(state, event.request_id)
    gen.phase = "ended"
    gen.offset = event.offset
    yield SlotFreed(at=event.at, request_id=event.request_id, attempt_id=event.attempt_id)
    yield StopTimer(timer="deadline", key=event.request_id)
    gen.finish = event.finish
    if req.call.has_key and (gen.doubtful or was_paused(state, event.at)):
        yield from confirm.request_confirmation(state, event.request_id, gen)
    else:
        yield from finishing.finish(state, event.request_id, gen)


# --- Failure -------------------------------------------------------------------------------------


@handles(AttemptFailed)
def resume_or_retry(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Resume an interrupted stream, or start a new attempt at another engine."""
    if event.phase not in ("prefill", "decode", "resume", "stall"):
        return
    gen = attempts.current_generation(state, event.request_id, event.attempt_id)
    if gen is None or gen.phase == "ended":
        return
    if event.failure.reason is SUPERSEDED:
        yield from takeover.adopted_elsewhere(state, event)
        return
    yield Count(metric="attempt_failed", label=event.phase)
    may_run = event.failure.verdict is not Verdict.NOT_RUN
    if event.phase in ("decode", "resume") and may_run and gen.resumes < MAX_RESUMES:
        gen.resumes += 1
        yield StartTimer(timer="resume", key=event.request_id, delay=RESUME_DELAY * gen.resumes)
        return
    yield from _retry_elsewhere(state, event, gen, may_run)


@on_timer("resume")
def resume(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Reopen the stream of a running attempt."""
    gen = state["generation"].running.get(event.key)
    if gen is None or gen.phase != "decode":
        return
    yield Count(metric="resumed")
    yield ResumeStream(request_id=event.key, attempt_id=gen.attempt_id, endpoint=gen.decode_engine)


def _retry_elsewhere(
    state: State, event: AttemptFailed, gen: Generation, may_run: bool
) -> typing.Iterator[Step]:
    """Give up the attempt, and start another that continues the output sent so far."""
    yield DropStream(
        request_id=event.request_id, attempt_id=event.attempt_id, endpoint=event.endpoint
    )
    if may_run:
        yield from cancels.cancel(state, event.request_id, event.attempt_id, event.endpoint)
    if not may_run or event.endpoint != gen.decode_engine:
        yield SlotFreed(at=event.at, request_id=event.request_id, attempt_id=event.attempt_id)
    if gen.attempts >= MAX_ATTEMPTS:
        failure = Failure(
            reason=ENDPOINT_FAILED,
            verdict=Verdict.MAY_HAVE_RUN,
            detail=f'endpoint "{event.endpoint}" failed: {event.failure.detail}',
            retry_after=FAILED_RETRY_AFTER,
        )
        yield RequestDenied(at=event.at, request_id=event.request_id, failure=failure)
        return
    gen.attempts += 1
    gen.attempt_id = attempts.new_attempt_id(state)
    gen.phase = "slot"
    gen.resumes = 0
    gen.avoid = (*gen.avoid, event.endpoint)
    yield SlotWanted(
        at=event.at,
        request_id=event.request_id,
        attempt_id=gen.attempt_id,
        avoid=gen.avoid,
    )


@on_timer("deadline")
def refuse_overdue(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Refuse a request that has no output when its deadline passes."""
    gen = state["generation"].running.get(event.key)
    req = requests.request_of(state, event.key)
    if gen is None or req is None or gen.offset:
        return
    failure = Failure(
        reason=DEADLINE_PASSED,
        verdict=requests.verdict_of(state, req.call),
        retry_after=FAILED_RETRY_AFTER,
    )
    yield from _release_attempt(state, event.key, gen, event.at)
    yield RequestDenied(at=event.at, request_id=event.key, failure=failure)


@on_timer("stall")
def check_stall(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Give up on an engine whose stream is open but makes no progress."""
    gen = attempts.generation_of(state, event.key)
    if gen is None or gen.phase != "decode":
        return
    remaining = gen.last_output + state.cfg.timing.stall - event.at
    if remaining > TIMER_TOLERANCE:
        yield StartTimer(timer="stall", key=event.key, delay=remaining)
        return
    yield Count(metric="stalled", label=gen.decode_engine)
    failure = Failure(
        reason=ENDPOINT_SILENT,
        verdict=Verdict.MAY_HAVE_RUN,
        detail=f'endpoint "{gen.decode_engine}" makes no progress',
    )
    yield AttemptFailed(
        at=event.at,
        request_id=event.key,
        attempt_id=gen.attempt_id,
        endpoint=gen.decode_engine,
        phase="stall",
        failure=failure,
    )


# --- Disconnected callers ------------------------------------------------------------------------


@handles(CallerGone)
def caller_gone(state: State, event: CallerGone) -> typing.Iterator[Step]:
    """Keep a request with a key for a grace period, in which a retry may take over its stream."""
    req = requests.request_of(state, event.request_id)
    if req is None or req.call.call_id != event.call_id or req.call.kind != "generate":
        return
    grace = state.cfg.timing.caller_grace if req.call.has_key else 0.0
    yield StartTimer(timer="caller", key=event.request_id, delay=grace)


@on_timer("caller")
def release_abandoned(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Release the resources of a request whose caller did not return within the grace period."""
    req = requests.request_of(state, event.key)
    if req is None or req.caller_present:
        return
    gen = state["generation"].running.get(event.key)
    yield Count(metric="abandoned")
    if gen:
        yield from _release_attempt(state, event.key, gen, event.at)
        if req.call.has_key:
            yield from keys.report(state, event.key, gen.attempt_id, ended=True)
    yield RequestClosed(at=event.at, request_id=event.key)


def _release_attempt(
    state: State, request_id: str, gen: Generation, at: float
) -> typing.Iterator[Step]:
    if gen.phase == "slot":
        yield SlotFreed(at=at, request_id=request_id, attempt_id=gen.attempt_id)
        return
    if gen.phase == "ended":
        return
    engine = gen.decode_engine
    if gen.phase == "prefill":
        engine = gen.prefill_engine
        yield SlotFreed(at=at, request_id=request_id, attempt_id=gen.attempt_id)
    yield DropStream(request_id=request_id, attempt_id=gen.attempt_id, endpoint=engine)
    yield from cancels.cancel(state, request_id, gen.attempt_id, engine)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the generation state of a closed request."""
    if state["generation"].running.pop(event.request_id, None):
        yield StopTimer(timer="deadline", key=event.request_id)
        yield StopTimer(timer="caller", key=event.request_id)
        yield StopTimer(timer="resume", key=event.request_id)
        yield StopTimer(timer="stall", key=event.request_id)
