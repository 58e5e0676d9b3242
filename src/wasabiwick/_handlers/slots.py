"""Slots: which engines serve a request, with a decode slot held before the prefill."""

import typing

from .._errors import OVERLOADED, Failure
from .._events import (
    RequestDenied,
    SlotAdopted,
    SlotFreed,
    SlotHeld,
    SlotWanted,
)
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import calls, members

RETRY = 0.05  # Seconds.


@state_slice("slots")
class SlotsState:
    """Engines held, by attempt id."""

    __slots__ = ("held", "waiting")

    def __init__(self, cfg: Settings) -> None:
        self.held: dict[str, str] = {}
        self.waiting: dict[str, SlotWanted] = {}


@handles(SlotWanted)
def choose(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Take the engine with the fewest of this host's own requests, for prefill and decode."""
    req = calls.request_of(state, event.request_id)
    if req is None:
        return
    usable = [entry.name for entry in members.usable_endpoints(state, req.call.target)]
    fresh = [name for name in usable if name not in event.avoid] or usable
    if not fresh:
        failure = Failure(
            reason=OVERLOADED,
            verdict=calls.verdict_of(state, req.call),
            detail=f'model "{req.call.target}" has no engine',
            retry_after=1.0,
        )
        yield RequestDenied(at=event.at, request_id=event.request_id, failure=failure)
        return
    held = list(state["slots"].held.values())
    ordered = sorted(fresh, key=lambda name: (held.count(name), state.rng.random()))
    state["slots"].held[event.attempt_id] = ordered[0]
    yield SlotHeld(
        at=event.at,
        request_id=event.request_id,
        attempt_id=event.attempt_id,
        prefill_engine=ordered[-1],
        decode_engine=ordered[0],
    )


@handles(SlotAdopted)
def adopt(state: State, event: SlotAdopted) -> None:
    """Hold the slot of an attempt that another host started."""
    state["slots"].held[event.attempt_id] = event.decode_engine


@handles(SlotFreed)
def free(state: State, event: SlotFreed) -> None:
    """Forget the slot of an attempt."""
    state["slots"].held.pop(event.attempt_id, None)
