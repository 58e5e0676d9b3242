"""How work that may run only once asks the log, and ends: answered, refused, or voided."""

import typing

from .._effects import AnswerCall, Count, SendPeer, StartTimer, StopTimer
from .._errors import Failure, Reason
from .._events import RequestDenied
from .._reducer import Step
from .._state import State
from .._verdict import Verdict
from .._wire import Intent, KeyAsk, Void
from . import once_shard
from .once_work import Work

ASK_RETRY = 1.0  # Seconds between questions about a key that is not settled.
ASK_MISSES = 2  # Unanswered questions after which this host reads the shard itself.
GIVE_UP_SHARE = 0.1  # Of the time left, kept for the proof that an attempt did not run.
GIVE_UP_LONGEST = 1.0  # Seconds.
RETRY = 0.5  # Seconds told to callers.
SERVER_ERRORS = 500  # First HTTP status of faults that are not the caller's.


def ask(state: State, work: Work) -> typing.Iterator[Step]:
    """Ask the shard's coordinator for the key's state, and hand it the work's record."""
    host = once_shard.coordinator_of(state, work.shard)
    if work.misses >= ASK_MISSES:
        host = state.owner.host
    work.misses += 1
    message = KeyAsk(shard=work.shard, key=work.key, owner=state.owner, record=work.record)
    yield StartTimer(timer="once_ask", key=work.key, delay=ASK_RETRY)
    yield SendPeer(host=host, message=message)


def intent_of(state: State, work: Work, over: str = "") -> Intent:
    """Return the intent of the attempt, or its takeover of the winner ``over``."""
    return Intent(
        key=work.key,
        attempt_id=work.attempt_id,
        owner=state.owner,
        after=work.epoch,
        service=work.call.target,
        digest=work.digest,
        born=work.call.born,
        over=over,
    )


def arm_deadline(state: State, work: Work, at: float) -> typing.Iterator[Step]:
    """Arm the deadline, early enough for a proof while nothing was dispatched."""
    left = max(0.0, work.deadline - at)
    margin = min(GIVE_UP_LONGEST, left * GIVE_UP_SHARE) if work.phase == "asking" else 0.0
    yield StartTimer(timer="once_deadline", key=work.key, delay=left - margin)


def give_up(
    state: State, work: Work, reason: Reason, at: float, detail: str = ""
) -> typing.Iterator[Step]:
    """Void the attempt, which may never dispatch from now on, to prove that it did not run."""
    foreign = work.found and work.found.winner not in ("", work.attempt_id)
    if foreign or work.record is None or work.resolution.takes_over:
        yield from refuse(state, work, reason, at, detail)
        return
    work.phase = "voiding"
    work.failure = Failure(reason=reason, verdict=Verdict.NOT_RUN, detail=detail, retry_after=RETRY)
    work.record = Void(key=work.key, attempt_id=work.attempt_id, born=work.call.born)
    yield Count(metric="once_given_up", label=reason.code)
    yield from ask(state, work)
    if work.key in state["once"].works and work.req:
        yield from arm_deadline(state, work, at)


def refuse(
    state: State,
    work: Work,
    reason: Reason,
    at: float,
    detail: str = "",
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
) -> typing.Iterator[Step]:
    """Refuse the waiting caller, and end the work without a record of its own."""
    if work.req:
        yield denial(state, work.call.request_id, reason, at, detail, verdict)
    yield from close(state, work)


def denial(
    state: State,
    request_id: str,
    reason: Reason,
    at: float,
    detail: str = "",
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
) -> RequestDenied:
    """Return the event that refuses a request."""
    # The same call with the same key is refused again, unless the fault is on this side.
    retry_after = RETRY if reason.status >= SERVER_ERRORS else None
    failure = Failure(reason=reason, verdict=verdict, detail=detail, retry_after=retry_after)
    return RequestDenied(at=at, request_id=request_id, failure=failure)


def answer(work: Work, status: int, body: str, content_type: str) -> typing.Iterator[Step]:
    """Answer the caller, if one waits."""
    if work.waiting:
        yield AnswerCall(
            call_id=work.req.call.call_id, status=status, body=body, content_type=content_type
        )


def close(state: State, work: Work) -> typing.Iterator[Step]:
    """Forget the work: its key is settled, or nothing more can be done here."""
    mine = state["once"]
    mine.works.pop(work.key, None)
    mine.keys.pop(work.attempt_id, None)
    yield StopTimer(timer="once_ask", key=work.key)
    yield StopTimer(timer="once_deadline", key=work.key)
