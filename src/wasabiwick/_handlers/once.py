"""Work that may run only once: one attempt per call, dispatched only as the winner in the log.

An attempt writes its intent, reads it back as the winner, sends the call once, answers the caller
and writes the outcome. What can't be proved is answered with ``MAY_HAVE_RUN``.
"""

import typing

from .._effects import AnswerCall, CallService, Count, QueryService, SendPeer, StartTimer, StopTimer
from .._errors import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    KEY_EXPIRED,
    KEY_REUSED,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    Failure,
    Reason,
)
from .._events import (
    AttemptFailed,
    CallArrived,
    CallerGone,
    MembersChanged,
    PeerFailed,
    PeerMessage,
    RequestClosed,
    RequestDenied,
    ServiceAnswered,
    ServiceWanted,
    TimerFired,
)
from .._fold import UNKNOWN, can_count
from .._reducer import Step, handles, on_message, on_timer
from .._state import State
from .._verdict import Verdict
from .._wire import Intent, KeyAsk, KeyState, KeyTold, Outcome, Void
from . import calls, generation, lists, members, once_shard, services
from .once_resolution import HONOURED, UNRESOLVED, resolution_of
from .once_work import Work, work_of_attempt

ASK_RETRY = 1.0  # Seconds between questions about a key that is not settled.
ASK_MISSES = 2  # Unanswered questions after which this host reads the shard itself.
MAX_SENDS = 3  # Sends of a call that provably did not leave the host, or of one the service keys.
GIVE_UP_SHARE = 0.1  # Of the time left, kept for the proof that an attempt did not run.
GIVE_UP_LONGEST = 1.0  # Seconds.
CLOCK_STEP = 0.001  # Seconds by which a timer may fire early.
CLOCK_SKEW = 60.0  # Seconds by which a caller's clock may be ahead.
RETRY = 0.5  # Seconds told to callers.
FENCE_REFUSED = 409  # Answer of a service that honours fencing to an old number.
NOT_FOUND = 404
PHASES_OF_CALLS = ("service", "query")


# --- Start ---------------------------------------------------------------------------------------


@handles(CallArrived)
def arrive(state: State, event: CallArrived) -> typing.Iterator[Step]:
    """Note how far the log was known before the call: no later void may let its attempt run."""
    request_id = event.call.request_id
    req = calls.request_of(state, request_id)
    if req is None or req.call is not event.call or req.call.kind != "service":
        return
    mine = state["once"]
    if request_id in mine.wanted:
        yield from _join(state, req, event.at)
    elif req.call.has_key:
        shard = once_shard.shard_of(state, _key(req))
        mine.bases.setdefault(request_id, mine.positions.get(shard, 0))


def _join(state: State, req: "calls.Request", at: float) -> typing.Iterator[Step]:
    """Let a newer call of a request wait in place of the older one, which may be answered."""
    work = state["once"].works.get(_key(req))
    if work:
        state["once"].wanted[req.call.request_id] = req.call.call_id
        yield from _attach(state, work, req, at)
    else:
        yield ServiceWanted(at=at, request_id=req.call.request_id)


@handles(ServiceWanted)
def begin(state: State, event: ServiceWanted) -> typing.Iterator[Step]:
    """Ask for the key's state, and propose an attempt in the same message."""
    req = calls.request_of(state, event.request_id)
    wanted = state["once"].wanted
    if req is None or wanted.get(event.request_id) == req.call.call_id:
        return  # A late admission of an earlier request with this key.
    wanted[event.request_id] = req.call.call_id
    key = _key(req)
    running = state["once"].works.get(key)
    if running:
        yield from _attach(state, running, req, event.at)
        return
    born = req.call.born
    if born <= 0.0 or born > state.wall(event.at) + CLOCK_SKEW:
        detail = "the Idempotency-Key must be a UUIDv7 whose time is not ahead"
        yield _deny(state, event.request_id, KEY_EXPIRED, event.at, detail)
        return
    work = _open(state, key, req)
    if state.wall(event.at) - born <= state.cfg.once.horizon:
        work.record = _intent(state, work)
    yield from _ask(state, work)
    yield from _arm_deadline(state, work, event.at)


def _key(req: "calls.Request") -> str:
    return f"{req.customer.name}/{req.call.request_id}"


def _digest(req: "calls.Request") -> str:
    call = req.call
    return f"{call.target} {call.method} {call.path} {call.digest}"


def _open(state: State, key: str, req: "calls.Request") -> Work:
    mine = state["once"]
    shard = once_shard.shard_of(state, key)
    base = mine.bases.get(req.call.request_id, 0)
    known = once_shard.known_key(state, key)
    work = Work(
        key=key,
        shard=shard,
        attempt_id=generation.next_attempt(state),
        req=req,
        base=base,
        epoch=known.epoch if known and known.epoch < base else -1,
        digest=_digest(req),
    )
    mine.works[key] = work
    mine.keys[work.attempt_id] = key
    return work


def _attach(state: State, work: Work, req: "calls.Request", at: float) -> typing.Iterator[Step]:
    """Let a newer request wait for the work that runs already."""
    if work.digest != _digest(req):
        yield _deny(state, req.call.request_id, KEY_REUSED, at)
        return
    work.req = req
    yield Count(metric="once_joined")
    if work.phase != "recording":
        yield from _arm_deadline(state, work, at)
    elif work.record.status == UNKNOWN:
        yield _deny(state, req.call.request_id, OUTCOME_UNKNOWN, at)
    else:
        yield from _answer(work, work.record.status, work.record.body, work.record.content_type)


def _intent(state: State, work: Work, over: str = "") -> Intent:
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


# --- Questions to the shard's coordinator --------------------------------------------------------


def _ask(state: State, work: Work) -> typing.Iterator[Step]:
    host = once_shard.coordinator_of(state, work.shard)
    if work.misses >= ASK_MISSES:
        host = state.owner.host
    work.misses += 1
    message = KeyAsk(shard=work.shard, key=work.key, owner=state.owner, record=work.record)
    yield StartTimer(timer="once_ask", key=work.key, delay=ASK_RETRY)
    yield SendPeer(host=host, message=message)


@on_timer("once_ask")
def ask_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Ask again about a key that is not settled."""
    work = state["once"].works.get(event.key)
    if work is None:
        return
    if work.phase == "asking" and work.found:
        yield from _evaluate(state, work, work.found, event.at)
    if work.key in state["once"].works and work.phase not in ("running", "querying"):
        yield from _ask(state, work)


@handles(PeerFailed)
def unreachable(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Read the shard on this host where its coordinator can't be reached."""
    if not isinstance(event.message, KeyAsk):
        return
    work = state["once"].works.get(event.message.key)
    if work and work.phase not in ("running", "querying"):
        work.misses = ASK_MISSES
        yield from _ask(state, work)


@on_message(KeyTold)
def told(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Go on with the work as far as the key's state lets it."""
    message = event.message
    mine = state["once"]
    mine.positions[message.shard] = max(mine.positions.get(message.shard, 0), message.position)
    work = mine.works.get(message.key)
    if work is None:
        return
    work.misses = 0
    work.position = message.position
    yield from _evaluate(state, work, message.found, event.at)


@handles(MembersChanged)
def hosts_changed(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Look again at work that waits for another host's outcome: that host may be lost."""
    for work in list(state["once"].works.values()):
        if work.phase == "asking" and work.found:
            yield from _evaluate(state, work, work.found, event.at)


# --- Decisions -----------------------------------------------------------------------------------


def _evaluate(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    work.found = found
    if work.phase == "asking":
        yield from _decide(state, work, found, at)
    elif work.phase == "voiding":
        yield from _check_void(state, work, found, at)
    elif work.phase == "recording" and _is_settled(work, found):
        yield from _close(state, work)


def _is_settled(work: Work, found: KeyState) -> bool:
    if found.status > UNKNOWN or found.status == work.record.status:
        return True
    # A coordinator that has not read the winner's intent yet can't tell.
    return work.position > work.fence and not can_count(found, work.record)


def _decide(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    if found.status > UNKNOWN:
        yield from _replay(state, work, found, at)
    elif found.winner == work.attempt_id:
        yield from _won(state, work, found, at)
    elif found.winner:
        yield from _meet_winner(state, work, found, at)
    elif work.record is None:
        yield from _give_answer(state, work, KEY_EXPIRED, at)
    elif found.epoch == work.epoch:
        return  # The intent is still on its way.
    elif found.epoch < work.base:
        work.epoch = found.epoch
        work.resolution = UNRESOLVED
        work.record = _intent(state, work)
        yield from _ask(state, work)
    else:
        # The void may be younger than this call: the caller may have been told that it did not run.
        detail = "an attempt of the key was given up while this one waited"
        yield from _give_answer(state, work, OUTCOME_UNKNOWN, at, detail)


def _replay(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    """Answer with the recorded outcome."""
    if found.digest != work.digest:
        # The outcome is final, so that this other request can never run under the key.
        yield from _give_answer(state, work, KEY_REUSED, at, verdict=Verdict.NOT_RUN)
        return
    yield Count(metric="once_replayed")
    yield from _answer(work, found.status, found.body, found.content_type)
    yield from _close(state, work)


def _meet_winner(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    """Wait for the winner's outcome while there may be one, otherwise resolve it."""
    if found.digest != work.digest:
        yield from _give_answer(state, work, KEY_REUSED, at)
        return
    if _may_settle(state, found, at):
        return
    traits = _traits(state, work)
    resolution = resolution_of(traits)
    work.resolution = resolution
    yield Count(metric="once_resolutions", label=resolution.name)
    if resolution.takes_over:
        yield from _take_over(state, work, found, at)
    elif resolution.queries:
        yield from _query(state, work, at)
    else:
        yield from _give_answer(state, work, OUTCOME_UNKNOWN, at)


def _take_over(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    """Propose to replace the winner, once; two hosts would replace each other without end."""
    over = work.record.over if isinstance(work.record, Intent) else ""
    if not over:
        work.record = _intent(state, work, over=found.winner)
        yield from _ask(state, work)
    elif over != found.winner:
        yield from _give_answer(state, work, OUTCOME_UNKNOWN, at)


def _may_settle(state: State, found: KeyState, at: float) -> bool:
    # An earlier run of this host is over; an attempt of this run would still be at work here.
    if found.status == UNKNOWN or found.owner.host == state.owner.host:
        return False
    longest = state.cfg.timing.service + state.cfg.timing.log
    return members.is_live(state, found.owner) and state.wall(at) < found.since + longest


def _traits(state: State, work: Work) -> typing.Any:
    known = lists.current(state)
    return known.services.get(work.call.target) if known else None


def _won(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    work.fence = found.fence
    if work.resolution.queries and found.earlier:
        yield from _query(state, work, at)
    else:
        yield from _dispatch(state, work, at)


# --- The call ------------------------------------------------------------------------------------


def _dispatch(state: State, work: Work, at: float) -> typing.Iterator[Step]:
    """Send the call; from now on the attempt is never given up."""
    endpoint = services.pick_endpoint(state, work.call.target, work.avoid)
    if not endpoint or work.req is None:
        detail = f'service "{work.call.target}" has no endpoint'
        yield from _give_up(state, work, NO_ENDPOINT, at, detail)
        return
    work.phase = "running"
    work.sends += 1
    calls.mark_ran(state, work.call.request_id)
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


def _query(state: State, work: Work, at: float) -> typing.Iterator[Step]:
    endpoint = services.pick_endpoint(state, work.call.target, work.avoid)
    if not endpoint:
        yield from _give_answer(state, work, OUTCOME_UNKNOWN, at)
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
    """Answer the caller at once, and record the outcome for every later retry."""
    work = work_of_attempt(state, event.attempt_id)
    if work is None or work.phase not in ("running", "querying"):
        return
    if work.phase == "querying" and not 200 <= event.status < 300:
        yield from _not_found(state, work, event)
        return
    traits = _traits(state, work)
    if event.status == FENCE_REFUSED and traits and traits.fencing == HONOURED:
        yield from _unknown(state, work, event.at, "a newer attempt took the call over")
        return
    yield from _answer(work, event.status, event.body, event.content_type)
    # An attempt that only asked settles the call of the winner.
    ran = work.attempt_id if work.phase == "running" else work.found.winner
    work.record = Outcome(
        key=work.key,
        attempt_id=ran,
        status=event.status,
        body=event.body,
        content_type=event.content_type,
    )
    work.phase = "recording"
    yield from _ask(state, work)


def _not_found(state: State, work: Work, event: ServiceAnswered) -> typing.Iterator[Step]:
    if event.status == NOT_FOUND and work.resolution.repeats and work.req:
        yield from _dispatch(state, work, event.at)
    else:
        yield from _unknown(state, work, event.at)


@handles(AttemptFailed)
def failed(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Send again only what provably never left, or what the service itself runs once."""
    work = work_of_attempt(state, event.attempt_id)
    if (
        work is None
        or event.phase not in PHASES_OF_CALLS
        or work.phase not in ("running", "querying")
    ):
        return
    work.avoid = (*work.avoid, event.endpoint)
    not_run = work.phase == "running" and event.failure.verdict is Verdict.NOT_RUN
    work.may_have_run = work.may_have_run or not not_run
    traits = _traits(state, work)
    repeatable = not_run or (work.phase == "running" and traits and traits.accepts_key)
    if repeatable and work.sends < MAX_SENDS and work.waiting:
        yield Count(metric="service_retries")
        yield from _dispatch(state, work, event.at)
    elif not_run and not work.may_have_run:
        yield from _give_up(state, work, ENDPOINT_FAILED, event.at, event.failure.detail)
    else:
        yield from _unknown(state, work, event.at, event.failure.detail)


def _unknown(state: State, work: Work, at: float, detail: str = "") -> typing.Iterator[Step]:
    """Tell the caller that the outcome is unknown, and record that for every other host."""
    yield Count(metric="once_unknown")
    if work.req:
        yield _deny(state, work.call.request_id, OUTCOME_UNKNOWN, at, detail)
    if work.phase != "running" or work.found.winner != work.attempt_id:
        yield from _close(state, work)
        return
    work.record = Outcome(key=work.key, attempt_id=work.attempt_id, status=UNKNOWN, body="")
    work.phase = "recording"
    yield from _ask(state, work)


# --- Giving up -----------------------------------------------------------------------------------


def _arm_deadline(state: State, work: Work, at: float) -> typing.Iterator[Step]:
    left = max(0.0, work.deadline - at)
    margin = min(GIVE_UP_LONGEST, left * GIVE_UP_SHARE) if work.phase == "asking" else 0.0
    yield StartTimer(timer="once_deadline", key=work.key, delay=left - margin)


@on_timer("once_deadline")
def expire(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Give the attempt up, first in the log and then, at the deadline, to the caller."""
    work = state["once"].works.get(event.key)
    if work is None or work.req is None or work.phase == "recording":
        return  # Nobody waits, or the answer is on its way.
    left = work.deadline - event.at
    if work.phase == "asking" and left <= GIVE_UP_LONGEST:
        yield from _give_up(state, work, DEADLINE_PASSED, event.at)
    elif left <= CLOCK_STEP:
        yield _deny(state, work.call.request_id, DEADLINE_PASSED, event.at)
    else:
        yield from _arm_deadline(state, work, event.at)


def _give_up(
    state: State, work: Work, reason: Reason, at: float, detail: str = ""
) -> typing.Iterator[Step]:
    """Void the attempt, which may never dispatch from now on, to prove that it did not run."""
    foreign = work.found and work.found.winner not in ("", work.attempt_id)
    if foreign or work.record is None or work.resolution.takes_over:
        yield from _give_answer(state, work, reason, at, detail)
        return
    work.phase = "voiding"
    work.failure = Failure(reason=reason, verdict=Verdict.NOT_RUN, detail=detail, retry_after=RETRY)
    work.record = Void(key=work.key, attempt_id=work.attempt_id, born=work.call.born)
    yield Count(metric="once_given_up", label=reason.code)
    yield from _ask(state, work)
    if work.key in state["once"].works and work.req:
        yield from _arm_deadline(state, work, at)


def _check_void(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    if work.attempt_id in found.voided and not found.winner:
        if work.req:
            yield RequestDenied(at=at, request_id=work.call.request_id, failure=work.failure)
        yield from _close(state, work)
    elif found.winner and found.winner != work.attempt_id:
        # Another attempt won: this void never counts while that one stands.
        if found.status > UNKNOWN:
            yield from _replay(state, work, found, at)
        else:
            yield from _give_answer(state, work, OUTCOME_UNKNOWN, at)


def _give_answer(
    state: State,
    work: Work,
    reason: Reason,
    at: float,
    detail: str = "",
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
) -> typing.Iterator[Step]:
    """Refuse the waiting caller, and end the work without a record of its own."""
    if work.req:
        yield _deny(state, work.call.request_id, reason, at, detail, verdict)
    yield from _close(state, work)


def _deny(
    state: State,
    request_id: str,
    reason: Reason,
    at: float,
    detail: str = "",
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
) -> RequestDenied:
    failure = Failure(reason=reason, verdict=verdict, detail=detail, retry_after=RETRY)
    return RequestDenied(at=at, request_id=request_id, failure=failure)


def _answer(work: Work, status: int, body: str, content_type: str) -> typing.Iterator[Step]:
    if work.waiting:
        yield AnswerCall(
            call_id=work.req.call.call_id, status=status, body=body, content_type=content_type
        )


def _close(state: State, work: Work) -> typing.Iterator[Step]:
    mine = state["once"]
    mine.works.pop(work.key, None)
    mine.keys.pop(work.attempt_id, None)
    yield StopTimer(timer="once_ask", key=work.key)
    yield StopTimer(timer="once_deadline", key=work.key)


# --- Callers that leave --------------------------------------------------------------------------


@handles(CallerGone)
def caller_gone(state: State, event: CallerGone) -> typing.Iterator[Step]:
    """Give up an attempt that nobody waits for; one that was dispatched goes on."""
    req = calls.request_of(state, event.request_id)
    if req is None or req.call.call_id != event.call_id or req.call.kind != "service":
        return
    work = state["once"].works.get(_key(req))
    if work and work.req is req and work.phase == "asking":
        yield from _give_up(state, work, DEADLINE_PASSED, event.at)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Let go of a request that is over; what the log still needs goes on."""
    mine = state["once"]
    mine.bases.pop(event.request_id, None)
    mine.wanted.pop(event.request_id, None)
    req = calls.request_of(state, event.request_id)
    work = mine.works.get(_key(req)) if req else None
    if work and work.req is req:
        work.req = None
