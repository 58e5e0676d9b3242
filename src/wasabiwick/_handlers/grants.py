"""Grants: which queued request gets which engines, and which are refused or sent elsewhere."""

import typing

from .._effects import Count, SendPeer
from .._reducer import Step
from .._state import State
from .._wire import Denied, Granted, Reserve
from . import choice, health
from .engine_ledger import Reservation
from .ledger import Pool
from .queueing import LATE, MAX_RELAXED, RELAXED, URGENT, URGENT_SLACK, Waiting

REDIRECT = "redirect"  # Steps that an ablation leaves out.
ON_TIME = "on_time"
CHEAP_FIRST = "cheap_first"
OPTIONAL_STEPS = frozenset((REDIRECT, ON_TIME, CHEAP_FIRST))
LATE_SECONDS = 4.0  # Length of the late band's queue, in seconds of its share of the grants.
LATE_SHARE = 0.02
IDLE_SECONDS = 8.0  # Seconds for which a pool counts as one that has slots to spare.
IDLE_ROOM = 3.0  # Seconds' worth of its grants that may queue late at such a pool.
SPILL_SECONDS = 0.1  # Time that another pool must save to be sent a request.
LOAD_STALE = 1.0  # Seconds after which another pool's load is not believed any more.
READY_MARGIN = 0.1  # Seconds that a first output may come later than predicted.
IDLE_SLOTS = 0.08  # Share of a pool's slots whose being free makes it one with slots to spare.
PREFILL_BOUND = 0.1  # Share of free slots from which prefill, not memory, limits a pool.
LOOK_AHEAD = 8  # Queued requests compared while prefill is scarce.


def better_zone(state: State, pool: Pool, asked: Reserve, at: float) -> str:
    """Return a zone whose pool serves the request at a clearly lower cost, or an empty string.

    The cost is the wait, and the prefill of what the zone's caches lack: a prefill paid twice
    delays others too. Late requests look at the prefill alone.
    """
    if asked.redirected or REDIRECT not in state["coordinator"].steps:
        return ""
    weight = 0.0 if state.monotonic(asked.target) < at else 1.0
    placed = pool.directory.zone_of(asked.pieces)
    here = choice.prefill_cost(pool, asked) + weight * pool.wait(at)
    best, chosen = here - SPILL_SECONDS, ""
    for zone, other in sorted(pool.others.items()):
        if at - other.told_at >= LOAD_STALE:
            continue
        away = choice.prefill_cost(pool, asked, known=zone == placed) + weight * other.wait
        if away < best:
            best, chosen = away, zone
    if chosen:
        pool.others[chosen].wait += 1.0 / pool.grants_per_second()
        pool.directory.note(asked.pieces, chosen)
    return chosen


def judge(state: State, pool: Pool, asked: Reserve, at: float) -> Waiting | None:
    """Return the request's place in the queue, or None where it is better refused now."""
    due = state.monotonic(asked.target)
    deadline = state.monotonic(asked.deadline)
    rate = pool.grants_per_second()
    urgent = pool.queue.bands[URGENT].size
    ready = at + urgent / rate + pool.service_seconds(asked.prompt_tokens)
    if asked.may_wait and due - at > URGENT_SLACK:
        fits, band = pool.queue.bands[RELAXED].size < MAX_RELAXED, RELAXED
    elif ready <= due:
        fits, band = True, URGENT
    else:
        room = MAX_RELAXED if asked.may_wait else _late_room(pool, rate, at)
        fits, band = pool.queue.bands[LATE].size < room, LATE
    if not fits:
        return None
    return Waiting(asked=asked, since=at, due=due, deadline=deadline, band=band)


def _late_room(pool: Pool, rate: float, at: float) -> float:
    """Return how many late requests may queue: few, unless the pool had slots to spare lately."""
    if at - pool.idle_at < IDLE_SECONDS:
        return 1 + rate * IDLE_ROOM
    return 1 + rate * LATE_SECONDS * LATE_SHARE


def deny(
    pool: Pool | None,
    asked: Reserve,
    *,
    wait: float = 0.0,
    unknown: bool = False,
    elsewhere: str = "",
) -> typing.Iterator[Step]:
    """Refuse a request, point it elsewhere, or say that its attempt is not known."""
    message = Denied(
        request_id=asked.request_id,
        attempt_id=asked.attempt_id,
        engine=asked.engine,
        wait=round(wait, 3),
        unknown=unknown,
        elsewhere=elsewhere,
    )
    yield SendPeer(host=asked.owner.host, message=message)


def dispatch(state: State, pool: Pool, at: float) -> typing.Iterator[Step]:
    """Grant slots to queued requests for as long as there is a place for the next one."""

    def usable(name: str) -> bool:
        return health.is_usable(state, name)

    if not pool.queue.waiting and pool.free() > IDLE_SLOTS * pool.slots():
        pool.idle_at = at
    steps = state["coordinator"].steps
    while pool.queue.waiting:
        one = _next(pool) if CHEAP_FIRST in steps else pool.queue.first()
        placement = choice.place(
            pool,
            one.asked,
            scorers=state["coordinator"].scorers,
            usable=usable,
            rng=state.rng,
            at=at,
        )
        if placement is None:
            return
        on_time = at + placement.ready + READY_MARGIN <= one.due
        if one.band == URGENT and not on_time and ON_TIME in steps:
            yield from too_late(pool, one, at)
            continue
        pool.queue.granted(one)
        yield from _grant(state, pool, one.asked, placement, at)


def _next(pool: Pool) -> Waiting:
    """Return the request whose turn it is, or a cheaper one while prefill is what is scarce."""
    one = pool.queue.first()
    if one.band != URGENT or pool.free() <= PREFILL_BOUND * pool.slots():
        return one
    heads = pool.queue.heads(URGENT, LOOK_AHEAD)
    return min(heads, key=lambda head: choice.prefill_cost(pool, head.asked))


def _grant(
    state: State, pool: Pool, asked: Reserve, placement: choice.Placement, at: float
) -> typing.Iterator[Step]:
    reservation = Reservation(
        asked=asked,
        engine=placement.decode.name,
        prefill_engine=placement.prefill.name,
        at=at,
        prefill_tokens=placement.uncached,
        matched=placement.prefill.prefixes.matched(asked.pieces)[0],
    )
    pool.hold_slot(reservation, asked.pieces)
    health.record_chosen(state, placement.decode.name)
    health.record_chosen(state, placement.prefill.name)
    yield tell_grant(pool, reservation, placement.cached, at)


def tell_grant(pool: Pool, one: Reservation, cached: int, at: float) -> SendPeer:
    message = Granted(
        request_id=one.asked.request_id,
        attempt_id=one.asked.attempt_id,
        engine=one.engine,
        prefill_engine=one.prefill_engine,
        cached_tokens=cached,
        free=max(0, pool.free() - len(pool.queue)),
        wait=round(pool.wait(at), 3),
    )
    return SendPeer(host=one.asked.owner.host, message=message)


def too_late(pool: Pool, one: Waiting, at: float) -> typing.Iterator[Step]:
    """Put a request that missed its target behind, or refuse it if it may not wait."""
    if one.asked.may_wait:
        pool.queue.move(one, LATE)
        return
    pool.queue.remove(one.asked.attempt_id)
    yield Count(metric="reserve_denied")
    yield from deny(pool, one.asked, wait=pool.wait(at))
