"""Ownership of request keys: a retry on another host finds the stream that runs already.

The owner of a key is a live host of the zone, by rendezvous hash. It keeps which host serves the
key, and at which engine the attempt runs. This is soft state: losing it costs time only.
"""

import typing

from .._effects import Count, SendPeer, StartTimer, StopTimer
from .._events import (
    AdmissionWanted,
    Booted,
    Call,
    MembersChanged,
    PeerFailed,
    PeerMessage,
    RequestClosed,
    TimerFired,
)
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import ClaimKey, KeyClaimed, KeyServed, Owner, Supersede, Superseded
from . import generation, members, takeover

MAX_ASKS = 30  # Supersede messages sent before a request is run anew.
SWEEP_INTERVAL = 30.0  # Seconds between looks for records whose serving host is lost.
KEEP_LOST = 60.0  # Seconds for which the stream of a lost host can be adopted.


class Claim:
    """A claim of this host that has not been settled yet."""

    __slots__ = ("attempt_id", "answer", "asks")

    def __init__(self, *, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.answer: KeyClaimed | None = None
        self.asks = 0


class Served:
    """What the owner of a key knows of its request, as of monotonic time ``at``."""

    __slots__ = ("serving", "attempt_id", "engine", "at")

    def __init__(self, *, serving: Owner, attempt_id: str, at: float, engine: str = "") -> None:
        self.serving = serving
        self.attempt_id = attempt_id
        self.at = at
        self.engine = engine


@state_slice("keys")
class KeysState:
    """Claims of this host, the keys it owns, and the owners it has told, by request id."""

    __slots__ = ("claims", "served", "told")

    def __init__(self, cfg: Settings) -> None:
        self.claims: dict[str, Claim] = {}
        self.served: dict[str, Served] = {}
        self.told: dict[str, str] = {}


def claim(state: State, call: Call, at: float) -> typing.Iterator[Step]:
    """Ask the key's owner whether the request is being served already."""
    attempt_id = generation.next_attempt(state)
    state["keys"].claims[call.request_id] = Claim(attempt_id=attempt_id)
    message = ClaimKey(
        request_id=call.request_id,
        attempt_id=attempt_id,
        claimant=state.owner,
        deadline=state.wall(call.deadline),
    )
    yield SendPeer(host=_owner(state, call.request_id), message=message)
    yield StartTimer(timer="claim", key=call.request_id, delay=state.cfg.timing.peer)


def report(
    state: State, request_id: str, attempt_id: str, *, engine: str = "", ended: bool = False
) -> typing.Iterator[Step]:
    """Tell the key's owner where the attempt runs, or that the request has ended."""
    message = KeyServed(
        request_id=request_id,
        attempt_id=attempt_id,
        serving=state.owner,
        engine=engine,
        ended=ended,
    )
    owner = _owner(state, request_id)
    state["keys"].told[request_id] = owner
    yield SendPeer(host=owner, message=message)


def _owner(state: State, request_id: str) -> str:
    return members.role_owner(state, f"key/{request_id}", state.zone)


@on_message(ClaimKey)
def own(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Answer a claim with the earlier serving host, and record the new one."""
    asked = event.message
    served = state["keys"].served
    earlier = served.get(asked.request_id)
    if earlier and earlier.serving != asked.claimant:
        answer = KeyClaimed(
            request_id=asked.request_id,
            attempt_id=asked.attempt_id,
            serving=earlier.serving,
            running_attempt=earlier.attempt_id,
            engine=earlier.engine,
        )
    else:
        answer = KeyClaimed(request_id=asked.request_id, attempt_id=asked.attempt_id)
    served[asked.request_id] = Served(
        serving=asked.claimant,
        attempt_id=answer.running_attempt,
        at=event.at,
        engine=answer.engine,
    )
    yield SendPeer(host=asked.claimant.host, message=answer)


@on_message(KeyServed)
def note(state: State, event: PeerMessage) -> None:
    """Record where the attempt of a key runs; an older serving host changes nothing."""
    told = event.message
    served = state["keys"].served
    known = served.get(told.request_id)
    if told.ended:
        if known and known.serving == told.serving:
            del served[told.request_id]
    elif known is None or known.serving == told.serving:
        served[told.request_id] = Served(
            serving=told.serving, attempt_id=told.attempt_id, at=event.at, engine=told.engine
        )


@on_message(KeyClaimed)
def claimed(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Run the request, or take it over from the host that serves it."""
    answer = event.message
    waiting = state["keys"].claims.get(answer.request_id)
    if waiting is None or waiting.attempt_id != answer.attempt_id or waiting.answer:
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
    message = Supersede(request_id=request_id, attempt_id=waiting.attempt_id, by=state.owner)
    yield SendPeer(host=waiting.answer.serving.host, message=message)
    yield StartTimer(timer="claim", key=request_id, delay=state.cfg.timing.peer)


def _run_anew(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    state["keys"].claims.pop(request_id, None)
    yield StopTimer(timer="claim", key=request_id)
    yield AdmissionWanted(at=at, request_id=request_id)


def _settle(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    """The serving host is lost: go on with its stream where the engine is known."""
    waiting = state["keys"].claims[request_id]
    answer = waiting.answer
    if answer is None or not answer.engine:
        yield from _run_anew(state, request_id, at)
        return
    state["keys"].claims.pop(request_id)
    yield StopTimer(timer="claim", key=request_id)
    yield from takeover.adopt(state, request_id, answer.running_attempt, answer.engine, at)


@handles(MembersChanged)
def report_again(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Tell new owners of the keys that this host serves."""
    mine = state["keys"]
    for request_id, gen in generation.keyed(state):
        owner = _owner(state, request_id)
        if mine.told.get(request_id) != owner:
            yield from report(state, request_id, gen.attempt_id, engine=gen.decode_engine)


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start to sweep records of lost hosts."""
    yield StartTimer(timer="keys_sweep", delay=SWEEP_INTERVAL)


@on_timer("keys_sweep")
def sweep(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Drop records whose serving host is lost, or that another host owns by now."""
    served = state["keys"].served
    for request_id, known in list(served.items()):
        lost = not members.is_live(state, known.serving)
        moved = _owner(state, request_id) != state.owner.host
        if (lost or moved) and event.at - known.at > KEEP_LOST:
            del served[request_id]
    yield StartTimer(timer="keys_sweep", delay=SWEEP_INTERVAL)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the claim of a request that is over."""
    state["keys"].told.pop(event.request_id, None)
    if state["keys"].claims.pop(event.request_id, None):
        yield StopTimer(timer="claim", key=event.request_id)


@on_message(Superseded)
def superseded(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """The older host let go: adopt its stream, or run the request anew."""
    told = event.message
    waiting = state["keys"].claims.get(told.request_id)
    if waiting is None or waiting.attempt_id != told.attempt_id:
        return
    if not told.engine:
        yield from _run_anew(state, told.request_id, event.at)
        return
    state["keys"].claims.pop(told.request_id)
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
    waiting = state["keys"].claims.get(event.key)
    if waiting is None:
        return
    answer = waiting.answer
    alive = answer and answer.serving and members.is_live(state, answer.serving)
    if alive and waiting.asks < MAX_ASKS:
        yield from _ask(state, event.key, waiting)
    else:
        yield from _settle(state, event.key, event.at)


@handles(PeerFailed)
def unanswered(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Go on without the owner, or the older host, that can't be reached."""
    message = event.message
    if not isinstance(message, ClaimKey | Supersede):
        return
    waiting = state["keys"].claims.get(message.request_id)
    if waiting and waiting.attempt_id == message.attempt_id:
        yield from _settle(state, message.request_id, event.at)
