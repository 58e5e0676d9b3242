"""Grants: matches queued requests with engines, and denies or redirects the others."""

import typing

from .._effects import Count, SendPeer
from .._reducer import Step
from .._state import State
from .._wire import Denied, Granted, Reserve
from . import choice, health
from .engine_ledger import Reservation
from .ledger import Pool
from .queueing import LATE, MAX_RELAXED_REQUESTS, RELAXED, URGENT, URGENT_SLACK_S, QueuedRequest

REDIRECT = "redirect"
ON_TIME = "on_time"
CHEAP_FIRST = "cheap_first"
# Steps of the decision that can be left out, to measure what each of them contributes (ablation).
OPTIONAL_STEPS = frozenset((REDIRECT, ON_TIME, CHEAP_FIRST))
LATE_QUEUE_S = 4.0  # Limits the late queue to what is granted in this time at LATE_GRANT_SHARE.
LATE_GRANT_SHARE = 0.02  # Share of the grants that is assumed to go to late requests.
IDLE_PERIOD_S = 8.0  # A pool counts as idle for this long after it last had slots to spare.
# Limits the late queue of an idle pool to what it grants in this time at its full rate.
IDLE_POOL_LATE_QUEUE_S = 3.0
MIN_REDIRECT_GAIN_S = 0.1  # Requests are redirected only to pools that save more time than this.
LOAD_EXPIRY_S = 1.0  # Age at which another pool's load message is ignored.
READY_MARGIN_S = 0.1  # Margin for a first output that comes later than predicted.
IDLE_SLOT_SHARE = 0.08  # A pool with a larger share of its slots free has slots to spare.
# If a larger share of its slots is free, a pool is limited by prefill and not by memory.
PREFILL_BOUND_SLOT_SHARE = 0.1
LOOK_AHEAD_REQUESTS = 8  # Queued requests that are compared while prefill limits a pool.


def better_zone(state: State, pool: Pool, asked: Reserve, at: float) -> str:
    """Return a zone whose pool serves the request at a clearly lower cost, or an empty string.

    The cost is the wait plus the prefill of the tokens that the zone's caches lack, weighted
    because a repeated prefill delays other requests too. For late requests only the prefill counts.
    """
    if asked.redirected or REDIRECT not in state["coordinator"].steps:
        return ""
    wait_weight = 0.0 if state.monotonic(asked.target) < at else 1.0
    known_zone = pool.directory.zone_of(asked.pieces)
    local_cost = choice.prefill_cost(pool, asked) + wait_weight * pool.wait(at)
    lowest_cost, chosen_zone = local_cost - MIN_REDIRECT_GAIN_S, ""
    for zone, other_pool in sorted(pool.others.items()):
        if at - other_pool.told_at >= LOAD_EXPIRY_S:
            continue
        remote_cost = (
            choice.prefill_cost(pool, asked, known=zone == known_zone)
            + wait_weight * other_pool.wait
        )
        if remote_cost < lowest_cost:
            lowest_cost, chosen_zone = remote_cost, zone
    if chosen_zone:
        pool.others[chosen_zone].wait += 1.0 / pool.grants_per_second()
        pool.directory.record(asked.pieces, chosen_zone)
    return chosen_zone


def queue_entry(state: State, pool: Pool, asked: Reserve, at: float) -> QueuedRequest | None:
    """Return the request's entry for the queue, or None if it should be denied now."""
    due = state.monotonic(asked.target)
    deadline = state.monotonic(asked.deadline)
    rate = pool.grants_per_second()
    urgent = pool.queue.bands[URGENT].size
    ready = at + urgent / rate + pool.service_seconds(asked.prompt_tokens)
    if asked.may_wait and due - at > URGENT_SLACK_S:
        has_room, band = pool.queue.bands[RELAXED].size < MAX_RELAXED_REQUESTS, RELAXED
    elif ready <= due:
        has_room, band = True, URGENT
    else:
        limit = MAX_RELAXED_REQUESTS if asked.may_wait else _max_late_requests(pool, rate, at)
        has_room, band = pool.queue.bands[LATE].size < limit, LATE
    if not has_room:
        return None
    return QueuedRequest(asked=asked, since=at, due=due, deadline=deadline, band=band)


def _max_late_requests(pool: Pool, rate: float, at: float) -> float:
    """Return how many late requests may queue: few, unless the pool was idle a short time ago."""
    if at - pool.last_idle_at < IDLE_PERIOD_S:
        return 1 + rate * IDLE_POOL_LATE_QUEUE_S
    return 1 + rate * LATE_QUEUE_S * LATE_GRANT_SHARE


def deny(
    pool: Pool | None,
    asked: Reserve,
    *,
    wait: float = 0.0,
    unknown: bool = False,
    elsewhere: str = "",
) -> typing.Iterator[Step]:
    """Deny a request, redirect it to another zone, or answer that its attempt is unknown."""
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
    """Grant slots to queued requests until there is no placement for the next one."""

    def usable(name: str) -> bool:
        return health.is_usable(state, name)

    if not pool.queue.waiting and pool.free() > IDLE_SLOT_SHARE * pool.slots():
        pool.last_idle_at = at
    steps = state["coordinator"].steps
    while pool.queue.waiting:
        request = _next_request(pool) if CHEAP_FIRST in steps else pool.queue.first()
        placement = choice.place(
            pool,
            request.asked,
            scorers=state["coordinator"].scorers,
            usable=usable,
            rng=state.rng,
            at=at,
        )
        if placement is None:
            return
        on_time = at + placement.ready + READY_MARGIN_S <= request.due
        if request.band == URGENT and not on_time and ON_TIME in steps:
            yield from defer_or_deny(pool, request, at)
            continue
        pool.queue.mark_granted(request)
        yield from _grant(state, pool, request.asked, placement, at)


def _next_request(pool: Pool) -> QueuedRequest:
    """Return the request whose turn it is, or one cheaper to prefill if prefill limits the pool."""
    request = pool.queue.first()
    if request.band != URGENT or pool.free() <= PREFILL_BOUND_SLOT_SHARE * pool.slots():
        return request
    heads = pool.queue.heads(URGENT, LOOK_AHEAD_REQUESTS)
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
        matched_tokens=placement.prefill.prefixes.longest_match(asked.pieces)[0],
    )
    pool.hold_slot(reservation, asked.pieces)
    health.record_chosen(state, placement.decode.name)
    health.record_chosen(state, placement.prefill.name)
    yield grant_message(pool, reservation, placement.cached, at)


def grant_message(pool: Pool, reservation: Reservation, cached: int, at: float) -> SendPeer:
    message = Granted(
        request_id=reservation.asked.request_id,
        attempt_id=reservation.asked.attempt_id,
        engine=reservation.engine,
        prefill_engine=reservation.prefill_engine,
        cached_tokens=cached,
        free=max(0, pool.free() - len(pool.queue)),
        wait=round(pool.wait(at), 3),
    )
    return SendPeer(host=reservation.asked.owner.host, message=message)


def defer_or_deny(pool: Pool, request: QueuedRequest, at: float) -> typing.Iterator[Step]:
    """Move a request that missed its target to the late band, or deny it if it may not wait."""
    if request.asked.may_wait:
        pool.queue.move(request, LATE)
        return
    pool.queue.remove(request.asked.attempt_id)
    yield Count(metric="reserve_denied")
    yield from deny(pool, request.asked, wait=pool.wait(at))
