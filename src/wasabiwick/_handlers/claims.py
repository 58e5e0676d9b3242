"""Claims of request keys: a host asks who serves a request, then runs it or takes it over."""

import typing

from .._effects import Count, SendPeer, StartTimer, StopTimer
from .._events import AdmissionWanted, Call, PeerFailed, PeerMessage, RequestClosed, TimerFired
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import ClaimKey, KeyClaimed, Supersede, Superseded
from . import attempts, keys, members, takeover

MAX_SUPERSEDES = 30  # Supersede messages sent to a live host before going on without its answer.
MAX_CLAIMS = 3  # Unanswered claims of a request, after which it is run without an answer.


class Claim:
    """A claim of this host whose request it has neither started nor taken over yet.

    ``message`` was sent to ``owner``, after ``claims`` earlier messages got no answer.
    ``supersedes`` is the number of Supersede messages sent to the serving host.
    """

    __slots__ = ("message", "owner", "claims", "answer", "supersedes")

    def __init__(self, *, message: ClaimKey) -> None:
        self.message = message
        self.owner = ""
        self.claims = 0
        self.answer: KeyClaimed | None = None
        self.supersedes = 0


@state_slice("claims")
class ClaimsState:
    """Unsettled claims of this host, by request id."""

    __slots__ = ("pending_claims",)

    def __init__(self, cfg: Settings) -> None:
        self.pending_claims: dict[str, Claim] = {}


def claim_key(state: State, call: Call, at: float) -> typing.Iterator[Step]:
    """Ask the key's owner whether the request is being served already."""
    message = ClaimKey(
        request_id=call.request_id,
        attempt_id=attempts.new_attempt_id(state),
        claimant=state.owner,
        deadline=state.wall(call.deadline),
    )
    state["claims"].pending_claims[call.request_id] = Claim(message=message)
    yield from _send_claim(state, call.request_id)


def _send_claim(state: State, request_id: str) -> typing.Iterator[Step]:
    claim = state["claims"].pending_claims[request_id]
    claim.owner = keys.owners(state, request_id)[0]
    yield SendPeer(host=claim.owner, message=claim.message)
    yield StartTimer(timer="claim", key=request_id, delay=state.cfg.timing.peer)


@on_message(KeyClaimed)
def claim_answered(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Run the request, or take it over from the host that serves it."""
    answer = event.message
    claim = state["claims"].pending_claims.get(answer.request_id)
    if claim is None or claim.message.attempt_id != answer.attempt_id or claim.answer:
        return
    claim.answer = answer
    if answer.serving is None:
        yield from _run_from_start(state, answer.request_id, event.at)
    elif members.is_live(state, answer.serving):
        yield from _send_supersede(state, answer.request_id, claim)
    else:
        yield from _adopt_or_run(state, answer.request_id, event.at)


def _send_supersede(state: State, request_id: str, claim: Claim) -> typing.Iterator[Step]:
    claim.supersedes += 1
    message = Supersede(request_id=request_id, attempt_id=claim.message.attempt_id, by=state.owner)
    yield SendPeer(host=claim.answer.serving.host, message=message)
    yield StartTimer(timer="claim", key=request_id, delay=state.cfg.timing.peer)


def _run_from_start(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    state["claims"].pending_claims.pop(request_id, None)
    yield StopTimer(timer="claim", key=request_id)
    yield AdmissionWanted(at=at, request_id=request_id)


def _adopt_or_run(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    """Adopt the stream of a lost host if its engine is known, or run the request from the start."""
    claim = state["claims"].pending_claims[request_id]
    answer = claim.answer
    if answer is None or not answer.engine:
        yield from _run_from_start(state, request_id, at)
        return
    state["claims"].pending_claims.pop(request_id)
    yield StopTimer(timer="claim", key=request_id)
    yield from takeover.adopt(state, request_id, answer.running_attempt, answer.engine, at)


@on_message(Superseded)
def superseded(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Adopt the stream that the previous host released, or run the request from the start."""
    message = event.message
    claim = state["claims"].pending_claims.get(message.request_id)
    if claim is None or claim.message.attempt_id != message.attempt_id:
        return
    if not message.engine:
        yield from _run_from_start(state, message.request_id, event.at)
        return
    state["claims"].pending_claims.pop(message.request_id)
    yield StopTimer(timer="claim", key=message.request_id)
    yield Count(metric="adopted")
    yield from takeover.adopt(
        state, message.request_id, message.running_attempt, message.engine, event.at
    )


@on_message(Supersede)
def hand_over(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Hand a request over to the host that received a newer call."""
    message = event.message
    yield from takeover.hand_over(state, message, event.at)


@on_timer("claim")
def claim_expired(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Ask a live serving host again, or another owner, or go on without an answer."""
    claim = state["claims"].pending_claims.get(event.key)
    if claim is None:
        return
    answer = claim.answer
    is_served = answer and answer.serving and members.is_live(state, answer.serving)
    if is_served and claim.supersedes < MAX_SUPERSEDES:
        yield from _send_supersede(state, event.key, claim)
    elif answer is None:
        yield from keys.skip_owner(state, claim.owner)
        yield from _retry_claim(state, event.key, event.at)
    else:
        yield from _adopt_or_run(state, event.key, event.at)


@handles(PeerFailed)
def peer_failed(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Go on without an owner, or a serving host, that can't be reached."""
    message = event.message
    if not isinstance(message, ClaimKey | Supersede):
        return
    claim = state["claims"].pending_claims.get(message.request_id)
    if claim is None or claim.message.attempt_id != message.attempt_id:
        return
    if isinstance(message, Supersede):
        yield from _adopt_or_run(state, message.request_id, event.at)
    elif claim.owner == event.host and claim.answer is None:
        yield from _retry_claim(state, message.request_id, event.at)


def _retry_claim(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    claim = state["claims"].pending_claims[request_id]
    claim.claims += 1
    if claim.claims < MAX_CLAIMS:
        yield from _send_claim(state, request_id)
    else:
        yield from _adopt_or_run(state, request_id, at)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the claim of a closed request."""
    if state["claims"].pending_claims.pop(event.request_id, None):
        yield StopTimer(timer="claim", key=event.request_id)
