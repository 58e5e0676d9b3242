"""Claims of keys: a host asks who serves a request already, and runs it or takes it over."""

import typing

from .._effects import Count, SendPeer, StartTimer, StopTimer
from .._events import AdmissionWanted, Call, PeerFailed, PeerMessage, RequestClosed, TimerFired
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import ClaimKey, KeyClaimed, Supersede, Superseded
from . import attempts, keys, members, takeover

MAX_ASKS = 30  # Supersede messages sent before a request is run anew.
MAX_CLAIMS = 3  # Owners asked before a request is run without an answer.


class Claim:
    """A claim of this host that has not been settled yet.

    ``message`` went to ``owner``, after ``claims`` others that did not answer.
    """

    __slots__ = ("message", "owner", "claims", "answer", "asks")

    def __init__(self, *, message: ClaimKey) -> None:
        self.message = message
        self.owner = ""
        self.claims = 0
        self.answer: KeyClaimed | None = None
        self.asks = 0


@state_slice("claims")
class ClaimsState:
    """Claims of this host that are not settled, by request id."""

    __slots__ = ("open",)

    def __init__(self, cfg: Settings) -> None:
        self.open: dict[str, Claim] = {}


def claim(state: State, call: Call, at: float) -> typing.Iterator[Step]:
    """Ask the key's owner whether the request is being served already."""
    message = ClaimKey(
        request_id=call.request_id,
        attempt_id=attempts.new_attempt_id(state),
        claimant=state.owner,
        deadline=state.wall(call.deadline),
    )
    state["claims"].open[call.request_id] = Claim(message=message)
    yield from _send_claim(state, call.request_id)


def _send_claim(state: State, request_id: str) -> typing.Iterator[Step]:
    waiting = state["claims"].open[request_id]
    waiting.owner = keys.owners(state, request_id)[0]
    yield SendPeer(host=waiting.owner, message=waiting.message)
    yield StartTimer(timer="claim", key=request_id, delay=state.cfg.timing.peer)


@on_message(KeyClaimed)
def claimed(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Run the request, or take it over from the host that serves it."""
    answer = event.message
    waiting = state["claims"].open.get(answer.request_id)
    if waiting is None or waiting.message.attempt_id != answer.attempt_id or waiting.answer:
        return
    waiting.answer = answer
    if answer.serving is None:
        yield from _run_anew(state, answer.request_id, event.at)
    elif members.is_live(state, answer.serving):
        yield from _ask(state, answer.request_id, waiting)
    else:
        yield from _settle(state, answer.request_id, event.at)


def _ask(state: State, request_id: str, waiting: Claim) -> typing.Iterator[Step]:
    waiting.asks += 1
    message = Supersede(
        request_id=request_id, attempt_id=waiting.message.attempt_id, by=state.owner
    )
    yield SendPeer(host=waiting.answer.serving.host, message=message)
    yield StartTimer(timer="claim", key=request_id, delay=state.cfg.timing.peer)


def _run_anew(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    state["claims"].open.pop(request_id, None)
    yield StopTimer(timer="claim", key=request_id)
    yield AdmissionWanted(at=at, request_id=request_id)


def _settle(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    """The serving host is lost: go on with its stream where the engine is known."""
    waiting = state["claims"].open[request_id]
    answer = waiting.answer
    if answer is None or not answer.engine:
        yield from _run_anew(state, request_id, at)
        return
    state["claims"].open.pop(request_id)
    yield StopTimer(timer="claim", key=request_id)
    yield from takeover.adopt(state, request_id, answer.running_attempt, answer.engine, at)


@on_message(Superseded)
def superseded(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """The older host let go: adopt its stream, or run the request anew."""
    told = event.message
    waiting = state["claims"].open.get(told.request_id)
    if waiting is None or waiting.message.attempt_id != told.attempt_id:
        return
    if not told.engine:
        yield from _run_anew(state, told.request_id, event.at)
        return
    state["claims"].open.pop(told.request_id)
    yield StopTimer(timer="claim", key=told.request_id)
    yield Count(metric="adopted")
    yield from takeover.adopt(state, told.request_id, told.running_attempt, told.engine, event.at)


@on_message(Supersede)
def yield_up(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Hand a request over to the host that a newer call reached."""
    asked = event.message
    yield from takeover.hand_over(state, asked, event.at)


@on_timer("claim")
def claim_expired(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Ask again while the serving host lives; otherwise go on without an answer."""
    waiting = state["claims"].open.get(event.key)
    if waiting is None:
        return
    answer = waiting.answer
    alive = answer and answer.serving and members.is_live(state, answer.serving)
    if alive and waiting.asks < MAX_ASKS:
        yield from _ask(state, event.key, waiting)
    elif answer is None:
        yield from keys.leave_out(state, waiting.owner)
        yield from _claim_again(state, event.key, event.at)
    else:
        yield from _settle(state, event.key, event.at)


@handles(PeerFailed)
def unanswered(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Go on without the owner, or the older host, that can't be reached."""
    message = event.message
    if not isinstance(message, ClaimKey | Supersede):
        return
    waiting = state["claims"].open.get(message.request_id)
    if waiting is None or waiting.message.attempt_id != message.attempt_id:
        return
    if isinstance(message, Supersede):
        yield from _settle(state, message.request_id, event.at)
    elif waiting.owner == event.host and waiting.answer is None:
        yield from _claim_again(state, message.request_id, event.at)


def _claim_again(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    waiting = state["claims"].open[request_id]
    waiting.claims += 1
    if waiting.claims < MAX_CLAIMS:
        yield from _send_claim(state, request_id)
    else:
        yield from _settle(state, request_id, at)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the claim of a request that is over."""
    if state["claims"].open.pop(event.request_id, None):
        yield StopTimer(timer="claim", key=event.request_id)
