"""Reports the progress of attempts that hold a slot to the coordinator, and releases the slot."""

import typing

from .._effects import SendPeer
from .._events import (
    AttemptFailed,
    PrefillDone,
    SlotAdopted,
    SlotFreed,
    StreamProgress,
)
from .._reducer import Step, handles
from .._state import State
from .._verdict import Verdict
from .._wire import Advanced, Release, Renew
from . import coordinator, members, pools
from .slots import HeldSlot


@handles(PrefillDone)
def prefill_done(state: State, event: PrefillDone) -> typing.Iterator[Step]:
    """Report to the coordinator that the prefill is done, and how long it took."""
    held = state["slots"].held.get(event.attempt_id)
    if held is None or held.phase != "prefill":
        return
    held.phase = "transfer"
    held.since = event.at
    uncached = event.prompt_tokens - event.cached_tokens
    pools.affinity_of(state, held.model).prefill_rate.observe(uncached, event.seconds)
    yield from _report_phase(
        state,
        event.attempt_id,
        held,
        seconds=event.seconds,
        tokens=event.prompt_tokens,
        cached=event.cached_tokens,
    )


@handles(StreamProgress)
def transfer_done(state: State, event: StreamProgress) -> typing.Iterator[Step]:
    """Report to the coordinator that the transfer is done, and how long it took."""
    held = state["slots"].held.get(event.attempt_id)
    if held and held.phase == "transfer":
        held.phase = "decode"
        yield from _report_phase(state, event.attempt_id, held, seconds=event.at - held.since)


@handles(AttemptFailed)
def attempt_failed(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Report to the coordinator that a phase failed or was refused, before the slot is released."""
    held = state["slots"].held.get(event.attempt_id)
    if held is None or event.phase not in ("prefill", "decode", "resume"):
        return
    refused = event.failure.verdict is Verdict.NOT_RUN and event.failure.reason.status == 503
    phase = "refused" if refused else "failed"
    yield from _report_phase(state, event.attempt_id, held, phase=phase)


def _report_phase(
    state: State,
    attempt_id: str,
    held: HeldSlot,
    *,
    phase: str = "",
    seconds: float = 0.0,
    tokens: int = 0,
    cached: int = 0,
) -> typing.Iterator[Step]:
    message = Advanced(
        attempt_id=attempt_id,
        model=held.model,
        zone=held.zone,
        phase=phase or held.phase,
        seconds=round(seconds, 6),
        tokens=tokens,
        cached=cached,
    )
    host = coordinator.coordinator_of(state, held.model, held.zone)
    yield SendPeer(host=host, message=message)


@handles(SlotAdopted)
def adopt_slot(state: State, event: SlotAdopted) -> typing.Iterator[Step]:
    """Take over the slot of an attempt that another host started, and renew it at once."""
    entry = members.entry_of(state, event.decode_engine)
    if entry is None:
        return
    state["slots"].held[event.attempt_id] = HeldSlot(
        request_id=event.request_id,
        model=entry.service,
        zone=entry.zone,
        engine=event.decode_engine,
        phase="decode",
        since=event.at,
    )
    renewal = (event.decode_engine, event.request_id, event.attempt_id, True)
    message = Renew(owner=state.owner, attempts=(renewal,), model=entry.service, zone=entry.zone)
    host = coordinator.coordinator_of(state, entry.service, entry.zone)
    yield SendPeer(host=host, message=message)


@handles(SlotFreed)
def release(state: State, event: SlotFreed) -> typing.Iterator[Step]:
    """Release a slot, or withdraw a queued request, at its coordinator."""
    slots_state = state["slots"]
    found = slots_state.held.pop(event.attempt_id, None) or slots_state.waiting.pop(
        event.attempt_id, None
    )
    if found is None or event.handed_over:
        return
    message = Release(
        request_id=event.request_id,
        attempt_id=event.attempt_id,
        owner=state.owner,
        engine=getattr(found, "engine", ""),
        model=found.model,
        zone=found.zone,
    )
    host = coordinator.coordinator_of(state, found.model, found.zone)
    yield SendPeer(host=host, message=message)
