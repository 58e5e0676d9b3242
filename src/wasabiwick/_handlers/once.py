"""At-most-once service calls: an attempt calls the service only after it won its key in the log.

An attempt is one try of one host to make the call. It appends an intent record and reads the log
back to see that it is the key's winner. Then it calls the service once, answers the caller and
appends the outcome. An attempt that gives up before the call appends a void record, which proves
that it did not run. A call whose outcome cannot be proved is answered with ``MAY_HAVE_RUN``.
"""

import typing

from .._effects import Count
from .._errors import (
    DEADLINE_PASSED,
    KEY_EXPIRED,
    KEY_REUSED,
    KEY_UNTIMED,
    OUTCOME_UNKNOWN,
)
from .._events import (
    CallArrived,
    CallerGone,
    MembersChanged,
    PeerFailed,
    PeerMessage,
    RequestClosed,
    RequestDenied,
    ServiceWanted,
    TimerFired,
)
from .._fold import UNKNOWN, can_change_state
from .._reducer import Step, handles, on_message, on_timer
from .._state import State
from .._verdict import Verdict
from .._wire import Intent, KeyAsk, KeyState, KeyTold
from . import attempts, members, once_calls, once_ends, once_shard, requests
from .once_resolution import UNRESOLVED, resolution_of
from .once_work import Work, traits_of

TIMER_TOLERANCE_S = 0.001  # A deadline timer that fires early by this much still counts as due.
MAX_CLOCK_SKEW_S = 60.0  # A caller's clock may be ahead of this host's clock by this much.


# --- Start ---------------------------------------------------------------------------------------


@handles(CallArrived)
def call_arrived(state: State, event: CallArrived) -> typing.Iterator[Step]:
    """Record up to which position this host knew the shard's log when the call arrived.

    If another attempt of the key was given up after that position, this call must not run: a caller
    may have been told that nothing ran.
    """
    request_id = event.call.request_id
    req = requests.request_of(state, request_id)
    if req is None or req.call is not event.call or req.call.kind != "service":
        return
    once_state = state["once"]
    if request_id in once_state.admitted:
        yield from _join(state, req, event.at)
    elif req.call.has_key:
        shard = once_shard.shard_of(state, _key(req))
        once_state.base_positions.setdefault(request_id, once_state.known_positions.get(shard, 0))


def _join(state: State, req: "requests.Request", at: float) -> typing.Iterator[Step]:
    """Let a request's newest call wait for the answer; the older call may already have one."""
    work = state["once"].works.get(_key(req))
    if work:
        state["once"].admitted[req.call.request_id] = req.call.call_id
        yield from _attach(state, work, req, at)
    else:
        yield ServiceWanted(at=at, request_id=req.call.request_id)


@handles(ServiceWanted)
def ask_for_key_state(state: State, event: ServiceWanted) -> typing.Iterator[Step]:
    """Ask the shard's coordinator for the key's state; the message also carries the intent."""
    req = requests.request_of(state, event.request_id)
    admitted = state["once"].admitted
    if req is None or admitted.get(event.request_id) == req.call.call_id:
        return  # The request has ended, or its newest call was admitted already.
    admitted[event.request_id] = req.call.call_id
    key = _key(req)
    running = state["once"].works.get(key)
    if running:
        yield from _attach(state, running, req, event.at)
        return
    created_at = req.call.born
    if created_at <= 0.0:
        yield once_ends.denial(state, event.request_id, KEY_UNTIMED, event.at)
        return
    if created_at > state.wall(event.at) + MAX_CLOCK_SKEW_S:
        detail = "the time in the Idempotency-Key is ahead of this host's clock"
        yield once_ends.denial(state, event.request_id, KEY_EXPIRED, event.at, detail)
        return
    work = _create_work(state, key, req)
    if state.wall(event.at) - created_at <= state.cfg.once.horizon:
        work.record = once_ends.intent_of(state, work)
    yield from once_ends.ask(state, work)
    yield from once_ends.arm_deadline(state, work, event.at)


def _key(req: "requests.Request") -> str:
    return f"{req.customer.name}/{req.call.request_id}"


def _digest(req: "requests.Request") -> str:
    call = req.call
    return f"{call.target} {call.method} {call.path} {call.digest}"


def _create_work(state: State, key: str, req: "requests.Request") -> Work:
    once_state = state["once"]
    shard = once_shard.shard_of(state, key)
    base = once_state.base_positions.get(req.call.request_id, 0)
    known = once_shard.known_key(state, key)
    work = Work(
        key=key,
        shard=shard,
        attempt_id=attempts.new_attempt_id(state),
        req=req,
        base=base,
        epoch=known.epoch if known and known.epoch < base else -1,
        digest=_digest(req),
    )
    once_state.works[key] = work
    once_state.keys[work.attempt_id] = key
    return work


def _attach(state: State, work: Work, req: "requests.Request", at: float) -> typing.Iterator[Step]:
    """Make a newer request wait for the work in progress on its key."""
    if work.digest != _digest(req):
        yield once_ends.denial(state, req.call.request_id, KEY_REUSED, at)
        return
    work.req = req
    yield Count(metric="once_joined")
    if work.phase != "recording":
        yield from once_ends.arm_deadline(state, work, at)
    elif work.record.status == UNKNOWN:
        yield once_ends.denial(state, req.call.request_id, OUTCOME_UNKNOWN, at)
    else:
        yield from once_ends.answer(
            work, work.record.status, work.record.body, work.record.content_type
        )


# --- Questions to the shard's coordinator --------------------------------------------------------


@on_timer("once_ask")
def ask_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Ask the coordinator again while the work on a key is not finished."""
    work = state["once"].works.get(event.key)
    if work is None:
        return
    if work.phase == "asking" and work.found:
        yield from _evaluate(state, work, work.found, event.at)
    if work.key in state["once"].works and work.phase not in ("running", "querying"):
        yield from once_ends.ask(state, work)


@handles(PeerFailed)
def coordinator_unreachable(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Read the shard on this host if its coordinator cannot be reached."""
    if not isinstance(event.message, KeyAsk):
        return
    work = state["once"].works.get(event.message.key)
    if work and work.phase not in ("running", "querying"):
        work.unanswered = once_ends.MAX_UNANSWERED_ASKS
        yield from once_ends.ask(state, work)


@on_message(KeyTold)
def key_state_received(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Continue the work on a key with the state that the coordinator reported."""
    message = event.message
    once_state = state["once"]
    once_state.known_positions[message.shard] = max(
        once_state.known_positions.get(message.shard, 0), message.position
    )
    work = once_state.works.get(message.key)
    if work is None:
        return
    work.unanswered = 0
    work.position = message.position
    yield from _evaluate(state, work, message.found, event.at)


@handles(MembersChanged)
def hosts_changed(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Re-evaluate work that waits for another host's outcome: that host may have failed."""
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
        yield from once_ends.close(state, work)


def _is_settled(work: Work, found: KeyState) -> bool:
    if found.status > UNKNOWN or found.status == work.record.status:
        return True
    # A coordinator that has not read the winner's intent cannot know what was recorded after it.
    return work.position > work.fence and not can_change_state(found, work.record)


def _decide(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    if found.status > UNKNOWN:
        yield from _replay(state, work, found, at)
    elif found.winner == work.attempt_id:
        yield from _handle_win(state, work, found, at)
    elif found.winner:
        yield from _handle_other_winner(state, work, found, at)
    elif work.record is None:
        yield from once_ends.refuse(state, work, KEY_EXPIRED, at)
    elif found.epoch == work.epoch:
        return  # This attempt's intent has not been read back from the log yet.
    elif found.epoch < work.base:
        work.epoch = found.epoch
        work.resolution = UNRESOLVED
        work.record = once_ends.intent_of(state, work)
        yield from once_ends.ask(state, work)
    else:
        # The void record may be newer than this call: a caller may have been told that nothing ran.
        detail = "an attempt of the key was given up while this one waited"
        yield from once_ends.refuse(state, work, OUTCOME_UNKNOWN, at, detail)


def _replay(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    """Answer with the recorded outcome."""
    if found.digest != work.digest:
        # The outcome is final, so this different request can never run under the key.
        yield from once_ends.refuse(state, work, KEY_REUSED, at, verdict=Verdict.NOT_RUN)
        return
    yield Count(metric="once_replayed")
    yield from once_ends.answer(work, found.status, found.body, found.content_type)
    yield from once_ends.close(state, work)


def _handle_other_winner(
    state: State, work: Work, found: KeyState, at: float
) -> typing.Iterator[Step]:
    """Wait while the winner's outcome may still be recorded; then recover as its service allows."""
    if found.digest != work.digest:
        yield from once_ends.refuse(state, work, KEY_REUSED, at)
        return
    if _outcome_may_come(state, found, at):
        return
    traits = traits_of(state, work)
    resolution = resolution_of(traits)
    work.resolution = resolution
    yield Count(metric="once_resolutions", label=resolution.name)
    if resolution.takes_over:
        yield from _take_over(state, work, found, at)
    elif resolution.queries:
        yield from once_calls.query(state, work, at)
    else:
        yield from once_ends.refuse(state, work, OUTCOME_UNKNOWN, at)


def _take_over(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    """Propose to replace the winner, once only: two attempts could replace each other forever."""
    over = work.record.over if isinstance(work.record, Intent) else ""
    if not over:
        work.record = once_ends.intent_of(state, work, over=found.winner)
        yield from once_ends.ask(state, work)
    elif over != found.winner:
        yield from once_ends.refuse(state, work, OUTCOME_UNKNOWN, at)


def _outcome_may_come(state: State, found: KeyState, at: float) -> bool:
    # No outcome comes from an attempt of this host that has no `Work` here any more: either the
    # run of the host that made it has ended, or the present run has finished with it.
    if found.status == UNKNOWN or found.owner.host == state.owner.host:
        return False
    longest_run = state.cfg.timing.service + state.cfg.timing.log
    return members.is_live(state, found.owner) and state.wall(at) < found.since + longest_run


def _handle_win(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    work.fence = found.fence
    if work.resolution.queries and found.earlier:
        yield from once_calls.query(state, work, at)
    else:
        yield from once_calls.dispatch(state, work, at)


# --- Giving up -----------------------------------------------------------------------------------


@on_timer("once_deadline")
def give_up_overdue(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Give the attempt up in the log shortly before the deadline; refuse the caller at it."""
    work = state["once"].works.get(event.key)
    if work is None or work.req is None or work.phase == "recording":
        return  # No caller waits, or the answer has been sent.
    time_left = work.deadline - event.at
    if work.phase == "asking" and time_left <= once_ends.MAX_VOID_MARGIN_S:
        yield from once_ends.give_up(state, work, DEADLINE_PASSED, event.at)
    elif time_left <= TIMER_TOLERANCE_S:
        yield once_ends.denial(state, work.call.request_id, DEADLINE_PASSED, event.at)
    else:
        yield from once_ends.arm_deadline(state, work, event.at)


def _check_void(state: State, work: Work, found: KeyState, at: float) -> typing.Iterator[Step]:
    if work.attempt_id in found.voided and not found.winner:
        if work.req:
            yield RequestDenied(at=at, request_id=work.call.request_id, failure=work.failure)
        yield from once_ends.close(state, work)
    elif found.winner and found.winner != work.attempt_id:
        # Another attempt won. While it is the winner, this attempt's void record has no effect.
        if found.status > UNKNOWN:
            yield from _replay(state, work, found, at)
        else:
            yield from once_ends.refuse(state, work, OUTCOME_UNKNOWN, at)


# --- Callers that disconnect ---------------------------------------------------------------------


@handles(CallerGone)
def caller_gone(state: State, event: CallerGone) -> typing.Iterator[Step]:
    """Give up an attempt that no caller waits for, unless the service was called already."""
    req = requests.request_of(state, event.request_id)
    if req is None or req.call.call_id != event.call_id or req.call.kind != "service":
        return
    work = state["once"].works.get(_key(req))
    if work and work.req is req and work.phase == "asking":
        yield from once_ends.give_up(state, work, DEADLINE_PASSED, event.at)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Detach an ended request from its work, which continues until its record is in the log."""
    once_state = state["once"]
    once_state.base_positions.pop(event.request_id, None)
    once_state.admitted.pop(event.request_id, None)
    req = requests.request_of(state, event.request_id)
    work = once_state.works.get(_key(req)) if req else None
    if work and work.req is req:
        work.req = None
