"""Confirmation: a host whose process was paused asks other hosts before it ends an answer.

During the pause, a retry may have moved the request to another host. The paused host may already
have received all output, and without a confirmation the request would be answered twice.
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
    """Hosts whose confirmation is awaited, by request id."""

    __slots__ = ("asked",)

    def __init__(self, cfg: Settings) -> None:
        self.asked: dict[str, set[str]] = {}


@handles(HostPaused)
def mark_doubtful(state: State, event: HostPaused) -> typing.Iterator[Step]:
    """Mark the requests that a retry may have moved to another host during this host's pause."""
    yield Count(metric="pauses")
    for _, gen in attempts.keyed_generations(state):
        gen.doubtful = True


def request_confirmation(state: State, request_id: str, gen: Generation) -> typing.Iterator[Step]:
    """Ask whether this host still serves a request, before its answer ends.

    Several hosts are asked, because after a pause this host can't tell which hosts the others
    regarded as the key's owners meanwhile, nor which hosts are alive.
    """
    hosts = keys.candidates(state, request_id)
    if not hosts:
        yield from finishing.finish(state, request_id, gen)
        return
    gen.doubtful = True
    state["confirm"].asked[request_id] = set(hosts)
    message = ConfirmKey(request_id=request_id, attempt_id=gen.attempt_id, serving=state.owner)
    for host in hosts:
        yield SendPeer(host=host, message=message)
    yield StartTimer(timer="confirm", key=request_id, delay=state.cfg.timing.peer)


@on_message(ConfirmKey)
def answer_confirmation(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Answer whether, by the records of this host, the asking host still serves the request."""
    asked = event.message
    valid = keys.serving(state, asked.request_id) in (None, asked.serving)
    yield SendPeer(
        host=asked.serving.host,
        message=KeyConfirmed(request_id=asked.request_id, attempt_id=asked.attempt_id, valid=valid),
    )


@on_message(KeyConfirmed)
def confirmed(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """End the answer once all hosts confirm, or give the request up if another host serves it."""
    message = event.message
    gen = _unconfirmed_generation(state, message.request_id, message.attempt_id)
    if gen is None:
        return
    if not message.valid:
        yield from _give_up_request(state, message.request_id, event.at)
        return
    asked = state["confirm"].asked[message.request_id]
    asked.discard(event.sender.host)
    if not asked:
        gen.doubtful = False
        yield from _clear_confirmation(state, message.request_id)
        yield from finishing.finish(state, message.request_id, gen)


@on_timer("confirm")
def unconfirmed(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Give up a request that not all hosts confirmed in time: the caller has to retry."""
    if event.key in state["confirm"].asked:
        yield from _give_up_request(state, event.key, event.at)


@handles(PeerFailed)
def peer_failed(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Give up a request if a host that may know of a claim can't be reached."""
    message = event.message
    if isinstance(message, ConfirmKey) and _unconfirmed_generation(
        state, message.request_id, message.attempt_id
    ):
        yield from _give_up_request(state, message.request_id, event.at)


def _unconfirmed_generation(state: State, request_id: str, attempt_id: str) -> Generation | None:
    gen = attempts.generation_of(state, request_id)
    is_awaited = request_id in state["confirm"].asked and gen and gen.attempt_id == attempt_id
    return gen if is_awaited else None


def _clear_confirmation(state: State, request_id: str) -> typing.Iterator[Step]:
    if state["confirm"].asked.pop(request_id, None) is not None:
        yield StopTimer(timer="confirm", key=request_id)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the pending confirmation of a closed request."""
    yield from _clear_confirmation(state, event.request_id)


def _give_up_request(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    req = requests.request_of(state, request_id)
    if req.caller_present:
        yield CloseCall(call_id=req.call.call_id)
    yield Count(metric="unconfirmed")
    yield RequestClosed(at=at, request_id=request_id)
