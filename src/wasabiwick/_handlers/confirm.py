"""Confirmation: a host that was paused asks before it ends an answer.

While a process stands still, a retry may have moved its requests to another host. The output that
it had received before would still make a whole answer, and the request would be answered twice.
"""

import typing

from .._effects import CloseCall, Count, SendPeer, StartTimer, StopTimer
from .._events import HostPaused, PeerFailed, PeerMessage, RequestClosed, TimerFired
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import ConfirmKey, KeyConfirmed
from . import attempts, finishing, keys, requests
from .attempts import Generation


@state_slice("confirm")
class ConfirmState:
    """Hosts whose word is missing, by request id."""

    __slots__ = ("asked",)

    def __init__(self, cfg: Settings) -> None:
        self.asked: dict[str, set[str]] = {}


@handles(HostPaused)
def doubt(state: State, event: HostPaused) -> typing.Iterator[Step]:
    """Mark the requests that a retry may have moved meanwhile."""
    yield Count(metric="pauses")
    for _, gen in attempts.keyed(state):
        gen.doubtful = True


def ask(state: State, request_id: str, gen: Generation) -> typing.Iterator[Step]:
    """Ask whether this host still serves a request, before its answer ends.

    Several hosts are asked: after a pause this host can't tell which of them the others took for
    the key's owners, nor which are alive.
    """
    others = keys.candidates(state, request_id)
    if not others:
        yield from finishing.finish(state, request_id, gen)
        return
    gen.doubtful = True
    state["confirm"].asked[request_id] = set(others)
    message = ConfirmKey(request_id=request_id, attempt_id=gen.attempt_id, serving=state.owner)
    for host in others:
        yield SendPeer(host=host, message=message)
    yield StartTimer(timer="confirm", key=request_id, delay=state.cfg.timing.peer)


@on_message(ConfirmKey)
def answer(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Tell a host whether another one has claimed the key."""
    asked = event.message
    valid = keys.serving(state, asked.request_id) in (None, asked.serving)
    yield SendPeer(
        host=asked.serving.host,
        message=KeyConfirmed(request_id=asked.request_id, attempt_id=asked.attempt_id, valid=valid),
    )


@on_message(KeyConfirmed)
def confirmed(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """End the answer once nobody serves the request instead, or leave it to the one who does."""
    told = event.message
    gen = _waiting(state, told.request_id, told.attempt_id)
    if gen is None:
        return
    if not told.valid:
        yield from _leave(state, told.request_id, event.at)
        return
    asked = state["confirm"].asked[told.request_id]
    asked.discard(event.sender.host)
    if not asked:
        gen.doubtful = False
        yield from _forget(state, told.request_id)
        yield from finishing.finish(state, told.request_id, gen)


@on_timer("confirm")
def unconfirmed(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Leave a request that not all hosts have confirmed: the caller asks again."""
    if event.key in state["confirm"].asked:
        yield from _leave(state, event.key, event.at)


@handles(PeerFailed)
def unreachable(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Leave a request where a host that may serve it can't be reached."""
    message = event.message
    if isinstance(message, ConfirmKey) and _waiting(state, message.request_id, message.attempt_id):
        yield from _leave(state, message.request_id, event.at)


def _waiting(state: State, request_id: str, attempt_id: str) -> Generation | None:
    gen = attempts.generation_of(state, request_id)
    waits = request_id in state["confirm"].asked and gen and gen.attempt_id == attempt_id
    return gen if waits else None


def _forget(state: State, request_id: str) -> typing.Iterator[Step]:
    if state["confirm"].asked.pop(request_id, None) is not None:
        yield StopTimer(timer="confirm", key=request_id)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the questions about a request that is over."""
    yield from _forget(state, event.request_id)


def _leave(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    req = requests.request_of(state, request_id)
    if req.caller_present:
        yield CloseCall(call_id=req.call.call_id)
    yield Count(metric="unconfirmed")
    yield RequestClosed(at=at, request_id=request_id)
