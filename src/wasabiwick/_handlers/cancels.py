"""Cancellation of attempts, repeated until the engine confirms that it holds nothing for them."""

import typing

from .._effects import CancelAttempt, Count, StartTimer, StopTimer
from .._events import AttemptFailed, CancelAnswered, MembersChanged, SlotFreed, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import members
from .host import busy_check

MAX_DOUBLINGS = 4  # Times that the delay between repeated cancels doubles.
MAX_AWAITED_SENDS = 3  # Sends of a cancel after which a graceful shutdown stops waiting for it.


class Cancel:
    """A cancel for one attempt that the engine has not confirmed."""

    __slots__ = ("request_id", "endpoint", "sends")

    def __init__(self, *, request_id: str, endpoint: str) -> None:
        self.request_id = request_id
        self.endpoint = endpoint
        self.sends = 0


@state_slice("cancels")
class CancelsState:
    """Unconfirmed cancels by attempt id."""

    __slots__ = ("pending",)

    def __init__(self, cfg: Settings) -> None:
        self.pending: dict[str, Cancel] = {}


def cancel(state: State, request_id: str, attempt_id: str, endpoint: str) -> typing.Iterator[Step]:
    """Cancel an attempt at an engine, and repeat the cancel until the engine confirms it."""
    if attempt_id in state["cancels"].pending:
        return
    state["cancels"].pending[attempt_id] = Cancel(request_id=request_id, endpoint=endpoint)
    yield Count(metric="cancels")
    yield from _send_cancel(state, attempt_id)


def is_pending(state: State, attempt_id: str) -> bool:
    """Return whether an attempt has a cancel that the engine has not confirmed."""
    return attempt_id in state["cancels"].pending


def _send_cancel(state: State, attempt_id: str) -> typing.Iterator[Step]:
    entry = state["cancels"].pending[attempt_id]
    # A repeated cancel aborts the earlier call, so a slow engine needs increasing delays.
    delay = state.cfg.timing.cancel_retry * 2 ** min(entry.sends, MAX_DOUBLINGS)
    entry.sends += 1
    yield CancelAttempt(request_id=entry.request_id, attempt_id=attempt_id, endpoint=entry.endpoint)
    yield StartTimer(timer="cancel", key=attempt_id, delay=delay)


def pending_count(state: State) -> int:
    """Return the number of cancels that no engine has confirmed."""
    return len(state["cancels"].pending)


@busy_check
def unconfirmed(state: State) -> int:
    """Return the number of cancels that a graceful shutdown waits for.

    An engine that has not confirmed after several cancels is regarded as unreachable. After this
    host has stopped, the pool's coordinator cancels the attempts that are left.
    """
    return sum(entry.sends <= MAX_AWAITED_SENDS for entry in state["cancels"].pending.values())


@handles(CancelAnswered)
def confirmed(state: State, event: CancelAnswered) -> typing.Iterator[Step]:
    """Stop repeating a cancel once the engine holds nothing for the attempt."""
    if event.gone and event.attempt_id in state["cancels"].pending:
        yield from _remove_cancel(state, event.attempt_id, event.at)


@handles(AttemptFailed)
def cancel_failed(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Count a failed cancel; the timer repeats it."""
    if event.phase == "cancel":
        yield Count(metric="cancel_failed")


@on_timer("cancel")
def repeat_cancel(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Send an unconfirmed cancel again."""
    if event.key in state["cancels"].pending:
        yield from _send_cancel(state, event.key)


@handles(MembersChanged)
def drop_at_lost_engines(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Drop cancels at engines that are no longer members: the attempts' memory is gone too."""
    for attempt_id, entry in list(state["cancels"].pending.items()):
        if not members.address_of(state, entry.endpoint):
            yield from _remove_cancel(state, attempt_id, event.at)


def _remove_cancel(state: State, attempt_id: str, at: float) -> typing.Iterator[Step]:
    entry = state["cancels"].pending.pop(attempt_id)
    yield StopTimer(timer="cancel", key=attempt_id)
    yield SlotFreed(at=at, request_id=entry.request_id, attempt_id=attempt_id)
