"""Calls services for at-most-once requests, answers callers and records outcomes for retries."""

import typing

from .._effects import CallService, Count, QueryService, StopTimer
from .._errors import ENDPOINT_FAILED, NO_ENDPOINT, OUTCOME_UNKNOWN, Reason
from .._events import AttemptFailed, ServiceAnswered
from .._fold import UNKNOWN
from .._reducer import Step, handles
from .._state import State
from .._verdict import Verdict
from .._wire import Outcome
from . import once_ends, requests, services
from .once_resolution import HONOURED
from .once_work import Work, traits_of, work_of_attempt

# A call is sent to its service at most this many times. It is sent again only with proof that it
# did not run, or if the service itself runs each key at most once.
MAX_SENDS = 3
FENCE_REFUSED = 409  # HTTP status with which a service refuses an old fencing number.
NOT_FOUND = 404  # HTTP status with which a service answers a query for a key that it doesn't know.
CALL_PHASES = ("service", "query")


def dispatch(state: State, work: Work, at: float) -> typing.Iterator[Step]:
    """Call the service, if an endpoint is left; from now on the call may have run."""
    endpoint = services.pick_endpoint(state, work.call.target, work.avoid)
    if not endpoint or work.req is None:
        detail = f'service "{work.call.target}" has no endpoint'
        yield from _give_up(state, work, NO_ENDPOINT, at, detail)
        return
    work.phase = "running"
    work.sends += 1
    requests.mark_may_have_run(state, work.call.request_id)
    yield StopTimer(timer="once_ask", key=work.key)
    yield Count(metric="once_dispatched")
    yield CallService(
        request_id=work.call.request_id,
        attempt_id=work.attempt_id,
        endpoint=endpoint,
        service=work.call.target,
        method=work.call.method,
        path=work.call.path,
        fence=work.fence,
    )


def query(state: State, work: Work, at: float) -> typing.Iterator[Step]:
    """Ask the service for the outcome of the call by its key."""
    endpoint = services.pick_endpoint(state, work.call.target, work.avoid)
    if not endpoint:
        yield from once_ends.refuse(state, work, OUTCOME_UNKNOWN, at)
        return
    work.phase = "querying"
    yield StopTimer(timer="once_ask", key=work.key)
    yield QueryService(
        request_id=work.call.request_id,
        attempt_id=work.attempt_id,
        endpoint=endpoint,
        service=work.call.target,
        fence=work.fence,
    )


@handles(ServiceAnswered)
def answered(state: State, event: ServiceAnswered) -> typing.Iterator[Step]:
    """Answer the caller without waiting for the log, and record the outcome for later retries."""
    work = work_of_attempt(state, event.attempt_id)
    if work is None or work.phase not in ("running", "querying"):
        return
    if work.phase == "querying" and not 200 <= event.status < 300:
        yield from _not_found(state, work, event)
        return
    traits = traits_of(state, work)
    if event.status == FENCE_REFUSED and traits and traits.fencing == HONOURED:
        yield from unknown(state, work, event.at, "a newer attempt took the call over")
        return
    yield from once_ends.answer(work, event.status, event.body, event.content_type)
    # A query returns the outcome of the winner's call; this attempt sent no call itself.
    run_attempt_id = work.attempt_id if work.phase == "running" else work.found.winner
    work.record = Outcome(
        key=work.key,
        attempt_id=run_attempt_id,
        status=event.status,
        body=event.body,
        content_type=event.content_type,
    )
    work.phase = "recording"
    yield from once_ends.ask(state, work)


def _not_found(state: State, work: Work, event: ServiceAnswered) -> typing.Iterator[Step]:
    if event.status == NOT_FOUND and work.resolution.repeats and work.req:
        yield from dispatch(state, work, event.at)
    else:
        yield from unknown(state, work, event.at)


@handles(AttemptFailed)
def handle_failure(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Resend a call only if it provably did not run, or if the service runs a key at most once."""
    work = work_of_attempt(state, event.attempt_id)
    if work is None or event.phase not in CALL_PHASES or work.phase not in ("running", "querying"):
        return
    work.avoid = (*work.avoid, event.endpoint)
    has_not_run = work.phase == "running" and event.failure.verdict is Verdict.NOT_RUN
    work.may_have_run = work.may_have_run or not has_not_run
    traits = traits_of(state, work)
    may_repeat = has_not_run or (work.phase == "running" and traits and traits.accepts_key)
    if may_repeat and work.sends < MAX_SENDS and work.waiting:
        yield Count(metric="service_retries")
        yield from dispatch(state, work, event.at)
    elif has_not_run:
        yield from _give_up(state, work, ENDPOINT_FAILED, event.at, event.failure.detail)
    else:
        yield from unknown(state, work, event.at, event.failure.detail)


def _give_up(
    state: State, work: Work, reason: Reason, at: float, detail: str
) -> typing.Iterator[Step]:
    """End a call that can't be sent; only one that was never sent, or never ran, is given up."""
    if work.may_have_run:
        yield from unknown(state, work, at, detail)
    else:
        yield from once_ends.give_up(state, work, reason, at, detail)


def unknown(state: State, work: Work, at: float, detail: str = "") -> typing.Iterator[Step]:
    """Tell the caller that the outcome is unknown, and record that for other hosts."""
    yield Count(metric="once_unknown")
    if work.req:
        yield once_ends.denial(state, work.call.request_id, OUTCOME_UNKNOWN, at, detail)
    if work.phase != "running" or work.found.winner != work.attempt_id:
        yield from once_ends.close(state, work)
        return
    work.record = Outcome(key=work.key, attempt_id=work.attempt_id, status=UNKNOWN, body="")
    work.phase = "recording"
    yield from once_ends.ask(state, work)
