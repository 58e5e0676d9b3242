"""Reservations at a coordinator: asked for, renewed, given back, or expired."""

import typing

from .._effects import Count, StartTimer
from .._events import PeerMessage, TimerFired
from .._reducer import Step, on_message, on_timer
from .._state import State
from .._wire import Advanced, Release, Renew, Reserve
from . import choice, grants, health
from .coordinator import SWEEP_INTERVAL_S
from .engine_ledger import Reservation
from .ledger import Pool
from .queueing import RELAXED, URGENT, URGENT_SLACK

FULL_MARGIN = 1  # Slots kept back at an engine that refused a granted decode, until it reports.


@on_message(Reserve)
def reserve(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Queue a request, or refuse it at once if it can't be served in time; then grant."""
    asked = event.message
    pool = state["coordinator"].pools.get((asked.model, asked.zone))
    if pool is None:
        yield from grants.deny(None, asked, unknown=True)
        return
    if asked.attempt_id in pool.queue.waiting or asked.attempt_id in pool.reservations:
        return
    pool.owners[asked.owner] = event.at
    elsewhere = grants.better_zone(state, pool, asked, event.at)
    if elsewhere:
        yield from grants.deny(pool, asked, wait=pool.wait(event.at), elsewhere=elsewhere)
        return
    one = grants.judge(state, pool, asked, event.at)
    if one is None:
        yield Count(metric="reserve_denied")
        yield from grants.deny(pool, asked, wait=pool.wait(event.at))
        return
    pool.queue.add(one)
    yield from grants.dispatch(state, pool, event.at)


@on_message(Advanced)
def advanced(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Learn from a phase that ended, and give back what the attempt no longer needs."""
    told = event.message
    pool = state["coordinator"].pools.get((told.model, told.zone))
    one = pool.reservations.get(told.attempt_id) if pool else None
    if one is None:
        return
    if told.phase in ("failed", "refused"):
        yield from _failed(state, pool, one, told, event.at)
    elif told.phase == "transfer":
        _learn_prefill(pool, one, told)
        health.record_success(state, one.prefill_engine)
        pool.advance(one, told.phase, event.at)
    elif told.phase == "decode":
        _learn_transfer(pool, one, told)
        health.record_success(state, one.engine)
        pool.advance(one, told.phase, event.at)
    yield from grants.dispatch(state, pool, event.at)


def _learn_prefill(pool: Pool, one: Reservation, told: Advanced) -> None:
    engine = pool.engines.get(one.prefill_engine)
    if engine is None:
        return
    uncached = told.tokens - told.cached
    engine.prefill_rate.observe(uncached, told.seconds)
    pool.uncached.observe(uncached)
    if told.cached < one.matched // 2:
        engine.prefixes.disprove()
    elif one.matched >= choice.ladder_tokens(one.asked) > 0 and told.tokens > one.matched:
        pool.beyond.observe((told.cached - one.matched) / (told.tokens - one.matched))


def _learn_transfer(pool: Pool, one: Reservation, told: Advanced) -> None:
    engine = pool.engines.get(one.engine)
    if engine and one.prefill_engine != one.engine:
        size = engine.kv_bytes(one.asked.prompt_tokens)
        engine.link_rate.observe(size * max(1, engine.transfers), told.seconds)


def _failed(
    state: State, pool: Pool, one: Reservation, told: Advanced, at: float
) -> typing.Iterator[Step]:
    engine = one.prefill_engine if one.phase == "prefill" else one.engine
    if told.phase == "refused":  # The ledger knows too little of the engine's memory.
        ledger = pool.engines.get(engine)
        if ledger:
            ledger.margin = max(ledger.margin, FULL_MARGIN)
            pool.changed(ledger)
        return
    yield from health.record_failure(state, engine)


@on_message(Release)
def release(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Give back a reservation, or drop a queued request."""
    told = event.message
    pool = state["coordinator"].pools.get((told.model, told.zone))
    if pool is None:
        return
    pool.queue.remove(told.attempt_id)
    one = pool.release(told.attempt_id, event.at)
    if one and one.phase == "decode":
        pool.hold.observe(event.at - one.granted_at)
    yield from grants.dispatch(state, pool, event.at)


@on_message(Renew)
def renew(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Keep an owner's reservations, and enter those that an earlier coordinator granted."""
    told = event.message
    pool = state["coordinator"].pools.get((told.model, told.zone))
    if pool is None:
        return
    pool.owners[told.owner] = event.at
    for engine, request_id, attempt_id, _ in told.attempts:
        one = pool.reservations.get(attempt_id)
        if one:
            one.renewed_at = event.at
            if not engine:  # The router still waits, so the grant was lost on its way.
                yield grants.tell_grant(pool, one, one.matched, event.at)
        elif engine in pool.engines:
            _register(pool, told, engine, request_id, attempt_id, event.at)
        elif not engine and attempt_id not in pool.queue.waiting:
            lost = Reserve(
                request_id=request_id,
                attempt_id=attempt_id,
                owner=told.owner,
                engine="",
                config_version=0,
                deadline=0.0,
            )
            yield from grants.deny(pool, lost, unknown=True)


def _register(
    pool: Pool, told: Renew, engine: str, request_id: str, attempt_id: str, at: float
) -> None:
    asked = Reserve(
        request_id=request_id,
        attempt_id=attempt_id,
        owner=told.owner,
        engine=engine,
        config_version=0,
        deadline=0.0,
        model=told.model,
        zone=told.zone,
    )
    one = Reservation(asked=asked, engine=engine, prefill_engine=engine, at=at, prefill_tokens=0)
    one.phase = "decode"
    pool.hold_slot(one, ())
    # The latest report may have counted this attempt as memory of nobody known.
    pool.engines[engine].unknown_attempts = max(0, pool.engines[engine].unknown_attempts - 1)
    pool.changed(pool.engines[engine])


# --- Expiry --------------------------------------------------------------------------------------


@on_timer("sweep")
def sweep(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Drop what was not renewed, and what can't be served in time any more."""
    for pool in state["coordinator"].pools.values():
        _expire_reservations(pool, event.at, state.cfg.timing.reservation)
        yield from _expire_queued(pool, event.at)
        yield from grants.dispatch(state, pool, event.at)
    yield StartTimer(timer="sweep", delay=SWEEP_INTERVAL_S)


def _expire_reservations(pool: Pool, at: float, life: float) -> None:
    for attempt_id, one in list(pool.reservations.items()):
        if at - one.renewed_at > life:
            pool.release(attempt_id, at, freed=False)
    for owner, when in list(pool.owners.items()):
        if at - when > life:
            del pool.owners[owner]


def _expire_queued(pool: Pool, at: float) -> typing.Iterator[Step]:
    for one in list(pool.queue.waiting.values()):
        if one.asked.owner not in pool.owners or at > one.deadline:
            pool.queue.remove(one.asked.attempt_id)
        elif one.band == RELAXED and one.due - at < URGENT_SLACK:
            pool.queue.move(one, URGENT)
        elif one.band == URGENT and at > one.due:
            yield from grants.too_late(pool, one, at)
