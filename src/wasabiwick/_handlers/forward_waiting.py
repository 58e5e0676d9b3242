"""Waiting for places: the queue of each service's generations, and who gets the next place.

Load pattern answered: more generations than the decode engines hold. Requests that can still be on
time go before late ones, more urgent routes before others, and the one that waits longest first. A
request that could no longer be served leaves the queue at once, with the time to come back.
"""

import typing

from .._effects import StartTimer
from .._effects_forwarding import TakeHold
from .._errors import NO_ENDPOINT, OVERLOADED
from .._events import HoldAnswered, PlacesChanged, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import forwarding, health, places, placing, rejecting, routes
from .forwarding import Forwarded

TICK = 0.03  # Seconds between looks at a queue that is not empty.
MISSES = 3  # Requests in a row without a place after which a look at the queue ends.
HOLD_TIME = 1.5  # Seconds for which a place is held: the prefill, and its wait.


@state_slice("forward_waiting")
class WaitingState:
    """Queued calls by service, in order of arrival, and whether the timer runs."""

    __slots__ = ("queues", "ticking")

    def __init__(self, cfg: Settings) -> None:
        self.queues: dict[str, list[str]] = {}
        self.ticking = False


def enqueue(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Let a call wait for a place, and give it one at once if there is room."""
    req.phase = forwarding.WAITING
    state["forward_waiting"].queues.setdefault(req.service, []).append(req.ask.call_id)
    yield from dispatch(state, req.service, at)


@handles(PlacesChanged)
def places_changed(state: State, event: PlacesChanged) -> typing.Iterator[Step]:
    """Give places that may have come free to those who wait."""
    for service in list(state["forward_waiting"].queues):
        yield from dispatch(state, service, event.at)


@on_timer("forward_waiting")
def tick(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Look at the queues again: engines that were full may have room, and waits may be over."""
    state["forward_waiting"].ticking = False
    for service in list(state["forward_waiting"].queues):
        yield from dispatch(state, service, event.at)


def dispatch(state: State, service: str, at: float) -> typing.Iterator[Step]:
    """Give places to waiting calls, the most useful first, and refuse those that waited enough."""
    mine = state["forward_waiting"]
    waiting = [
        req
        for req in (forwarding.call(state, name) for name in mine.queues.get(service, ()))
        if req is not None and req.phase == forwarding.WAITING
    ]
    candidates = placing.decode_candidates(state, service, at) if waiting else []
    has_room = len(waiting) == 1 and placing.has_idle_engine(candidates)
    kept = []
    misses = 0
    for req in sorted(waiting, key=lambda one: rejecting.rank(state, one, at)):
        if rejecting.is_over(state, req, at, has_room=has_room):
            yield from _turn_away(state, req, at, len(waiting))
        elif misses >= MISSES or not (yield from _place(state, req, candidates, at)):
            misses += 1
            kept.append(req)
    if kept:
        kept.sort(key=lambda one: one.arrived)
        mine.queues[service] = [req.ask.call_id for req in kept]
    else:
        mine.queues.pop(service, None)
    if mine.queues and not mine.ticking:
        mine.ticking = True
        yield StartTimer(timer="forward_waiting", delay=TICK)


def _place(
    state: State, req: Forwarded, candidates: list[placing.Candidate], at: float
) -> typing.Generator[Step, None, bool]:
    """Take a place for a call; returns whether one was found."""
    reads_itself = not placing.can_prefill(state, req.service, at, _pending(state, req.service))
    if reads_itself:
        candidates = placing.self_prefill_candidates(
            state, req.service, candidates, at - req.arrived
        )
    stream = places.stream_load(state, req.route.name, req.ask, at)
    chosen = placing.choose_decode(state, candidates, stream, at, req.rejected, req.warm)
    if chosen is None:
        return False
    chosen.add(stream)
    endpoint = chosen.endpoint
    traits = routes.service(state, req.service).engine
    held = placing.hold_tokens(req.ask)
    req.phase = forwarding.HOLDING
    health.record_chosen(state, endpoint.name)
    if reads_itself:
        chosen.reading += stream.prompt
        forwarding.begin_reading(state, req, endpoint)
    yield forwarding.occupy(state, req, endpoint, stream, at)
    yield forwarding.log(
        "place_chosen",
        req,
        state,
        at,
        endpoint=endpoint.name,
        zone=endpoint.zone,
        prompt=stream.prompt,
        expected=stream.expected,
        held=held,
        reads_itself=reads_itself,
    )
    if not traits.hold_time:
        # These engines hold no places: the ledger alone stands for one.
        yield HoldAnswered(
            at=at, call_id=req.ask.call_id, endpoint=endpoint.name, hold="", failure=None
        )
        return True
    yield TakeHold(
        call_id=req.ask.call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        tokens=held,
        seconds=min(HOLD_TIME, traits.hold_time),
    )
    return True


def _pending(state: State, service: str) -> int:
    """Return the prompt tokens of calls whose holds are under way; their prefills come next."""
    calls = state["forwarding"].calls.values()
    return sum(
        req.ask.prompt_tokens
        for req in calls
        if req.phase == forwarding.HOLDING and req.service == service and req.reader is None
    )


def _turn_away(state: State, req: Forwarded, at: float, waiting: int) -> typing.Iterator[Step]:
    found = placing.load_summary(state, req.service, at)
    yield from forwarding.refuse(
        state,
        req,
        at,
        OVERLOADED if found["engines"] else NO_ENDPOINT,
        retry_after=rejecting.retry_after(state, req, at),
        waiting=waiting,
        **found,
    )
