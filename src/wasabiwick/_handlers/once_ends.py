"""Steps of at-most-once calls: ask for the key's state, then answer, refuse, give up or close."""

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

ASK_INTERVAL_S = 1.0  # Time between two questions to a coordinator about the same key.
MAX_UNANSWERED_ASKS = 2  # After this many unanswered questions, a host reads the log itself.
# An attempt that is still waiting for the log is given up before its deadline, so that time is left
# to prove that it did not run. This share of the time until the deadline is kept for that.
VOID_MARGIN_SHARE = 0.1
MAX_VOID_MARGIN_S = 1.0  # At most this much time is kept for giving an attempt up.
RETRY_AFTER_S = 0.5  # Callers are told to retry after this time.
MIN_SERVER_ERROR = 500  # Lowest HTTP status of errors that are not the caller's fault.


def ask(state: State, work: Work) -> typing.Iterator[Step]:
    """Ask the shard's coordinator for the key's state, and pass it the work's record to append."""
    host = once_shard.coordinator_of(state, work.shard)
    if work.unanswered >= MAX_UNANSWERED_ASKS:
        host = state.owner.host
    work.unanswered += 1
    message = KeyAsk(shard=work.shard, key=work.key, owner=state.owner, record=work.record)
    yield StartTimer(timer="once_ask", key=work.key, delay=ASK_INTERVAL_S)
    yield SendPeer(host=host, message=message)


def intent_of(state: State, work: Work, over: str = "") -> Intent:
    """Return the attempt's intent record; ``over`` names the winner to replace, if any."""
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
    """Start the deadline timer; before the call, it leaves time to prove that nothing ran."""
    time_left = max(0.0, work.deadline - at)
    margin = (
        min(MAX_VOID_MARGIN_S, time_left * VOID_MARGIN_SHARE) if work.phase == "asking" else 0.0
    )
    yield StartTimer(timer="once_deadline", key=work.key, delay=time_left - margin)


def give_up(
    state: State, work: Work, reason: Reason, at: float, detail: str = ""
) -> typing.Iterator[Step]:
    """Append a void record, which proves that the attempt did not run and never will.

    Where a void record could not prove that, the caller is refused with ``MAY_HAVE_RUN``.
    """
    other_won = work.found and work.found.winner not in ("", work.attempt_id)
    if other_won or work.record is None or work.resolution.takes_over:
        yield from refuse(state, work, reason, at, detail)
        return
    work.phase = "voiding"
    work.failure = Failure(
        reason=reason, verdict=Verdict.NOT_RUN, detail=detail, retry_after=RETRY_AFTER_S
    )
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
    """Refuse the waiting caller, and end the work without a further record."""
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
    # A retry with the same key would be refused again, unless the fault is on the server's side.
    retry_after = RETRY_AFTER_S if reason.status >= MIN_SERVER_ERROR else None
    failure = Failure(reason=reason, verdict=verdict, detail=detail, retry_after=retry_after)
    return RequestDenied(at=at, request_id=request_id, failure=failure)


def answer(work: Work, status: int, body: str, content_type: str) -> typing.Iterator[Step]:
    """Answer the caller, if one waits."""
    if work.waiting:
        yield AnswerCall(
            call_id=work.req.call.call_id, status=status, body=body, content_type=content_type
        )


def close(state: State, work: Work) -> typing.Iterator[Step]:
    """Drop the work: its record is in the log, or this host can do nothing more for the key."""
    once_state = state["once"]
    once_state.works.pop(work.key, None)
    once_state.keys.pop(work.attempt_id, None)
    yield StopTimer(timer="once_ask", key=work.key)
    yield StopTimer(timer="once_deadline", key=work.key)
