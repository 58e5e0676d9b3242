"""Cancels: repeated until the engine confirms that it holds nothing for the attempt."""

import typing

from .._effects import CancelAttempt, Count, StartTimer, StopTimer
from .._events import AttemptFailed, CancelAnswered, MembersChanged, SlotFreed, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import members
from .host import busy_check

LONGEST_WAIT = 4  # Doublings of the wait between cancels.
SENDS_AWAITED = 3  # Sends of a cancel for whose confirmation a graceful shutdown waits.


class Cancel:
    """One attempt that an engine has to forget."""

    __slots__ = ("request_id", "endpoint", "sends")

    def __init__(self, *, request_id: str, endpoint: str) -> None:
        self.request_id = request_id
        self.endpoint = endpoint
        self.sends = 0


@state_slice("cancels")
class CancelsState:
    """Cancels that no engine has confirmed yet, by attempt id."""

    __slots__ = ("pending",)

    def __init__(self, cfg: Settings) -> None:
        self.pending: dict[str, Cancel] = {}


def cancel(state: State, request_id: str, attempt_id: str, endpoint: str) -> typing.Iterator[Step]:
    """Cancel an attempt at an engine until the engine confirms it."""
    if attempt_id in state["cancels"].pending:
        return
    state["cancels"].pending[attempt_id] = Cancel(request_id=request_id, endpoint=endpoint)
    yield Count(metric="cancels")
    yield from _send(state, attempt_id)


def is_pending(state: State, attempt_id: str) -> bool:
    """Tell whether an attempt's cancel awaits the engine's word."""
    return attempt_id in state["cancels"].pending


def _send(state: State, attempt_id: str) -> typing.Iterator[Step]:
    one = state["cancels"].pending[attempt_id]
    # A cancel that is sent again ends the earlier call, so that a slow engine needs longer waits.
    delay = state.cfg.timing.cancel_retry * 2 ** min(one.sends, LONGEST_WAIT)
    one.sends += 1
    yield CancelAttempt(request_id=one.request_id, attempt_id=attempt_id, endpoint=one.endpoint)
    yield StartTimer(timer="cancel", key=attempt_id, delay=delay)


def pending_count(state: State) -> int:
    """Count cancels that no engine has confirmed."""
    return len(state["cancels"].pending)


@busy_check
def unconfirmed(state: State) -> int:
    """Count cancels that a graceful shutdown waits for.

    An engine that has not confirmed for long can't be reached; once this host has gone, the pool's
    coordinator cancels what it left.
    """
    return sum(one.sends <= SENDS_AWAITED for one in state["cancels"].pending.values())


@handles(CancelAnswered)
def confirmed(state: State, event: CancelAnswered) -> typing.Iterator[Step]:
    """Stop repeating a cancel once the engine holds nothing."""
    if event.gone and event.attempt_id in state["cancels"].pending:
        yield from _forget(state, event.attempt_id, event.at)


@handles(AttemptFailed)
def not_answered(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Count a cancel that did not reach its engine; the timer repeats it."""
    if event.phase == "cancel":
        yield Count(metric="cancel_failed")


@on_timer("cancel")
def repeat(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Send an unconfirmed cancel again."""
    if event.key in state["cancels"].pending:
        yield from _send(state, event.key)


@handles(MembersChanged)
def engines_lost(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Forget cancels at engines that are gone: their memory is gone too."""
    for attempt_id, one in list(state["cancels"].pending.items()):
        if not members.address_of(state, one.endpoint):
            yield from _forget(state, attempt_id, event.at)


def _forget(state: State, attempt_id: str, at: float) -> typing.Iterator[Step]:
    one = state["cancels"].pending.pop(attempt_id)
    yield StopTimer(timer="cancel", key=attempt_id)
    yield SlotFreed(at=at, request_id=one.request_id, attempt_id=attempt_id)
