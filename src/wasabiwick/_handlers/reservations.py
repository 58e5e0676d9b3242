"""Reservations at a coordinator: requested, granted, renewed, released or expired."""

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
from .queueing import RELAXED, URGENT, URGENT_SLACK_S

# Slots kept free at an engine that refused a granted request, until the engine reports.
REFUSED_MARGIN_SLOTS = 1


@on_message(Reserve)
def reserve(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Queue a request, or deny or redirect it if it can't be served in time; then grant slots."""
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
    queued = grants.queue_entry(state, pool, asked, event.at)
    if queued is None:
        yield Count(metric="reserve_denied")
        yield from grants.deny(pool, asked, wait=pool.wait(event.at))
        return
    pool.queue.add(queued)
    yield from grants.dispatch(state, pool, event.at)


@on_message(Advanced)
def phase_ended(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Observe how long a phase took, and release what the attempt no longer needs."""
    message = event.message
    pool = state["coordinator"].pools.get((message.model, message.zone))
    reservation = pool.reservations.get(message.attempt_id) if pool else None
    if reservation is None:
        return
    if message.phase in ("failed", "refused"):
        yield from _attempt_failed(state, pool, reservation, message, event.at)
    elif message.phase == "transfer":
        _observe_prefill(pool, reservation, message)
        health.record_success(state, reservation.prefill_engine)
        pool.advance(reservation, message.phase, event.at)
    elif message.phase == "decode":
        _observe_transfer(pool, reservation, message)
        health.record_success(state, reservation.engine)
        pool.advance(reservation, message.phase, event.at)
    yield from grants.dispatch(state, pool, event.at)


def _observe_prefill(pool: Pool, reservation: Reservation, message: Advanced) -> None:
    engine = pool.engines.get(reservation.prefill_engine)
    if engine is None:
        return
    uncached = message.tokens - message.cached
    engine.prefill_rate.observe(uncached, message.seconds)
    pool.uncached.observe(uncached)
    if message.cached < reservation.matched_tokens // 2:
        engine.prefixes.lower_trust()
    elif (
        reservation.matched_tokens >= choice.hashed_tokens(reservation.asked) > 0
        and message.tokens > reservation.matched_tokens
    ):
        pool.cached_beyond.observe(
            (message.cached - reservation.matched_tokens)
            / (message.tokens - reservation.matched_tokens)
        )


def _observe_transfer(pool: Pool, reservation: Reservation, message: Advanced) -> None:
    engine = pool.engines.get(reservation.engine)
    if engine and reservation.prefill_engine != reservation.engine:
        size = engine.kv_bytes(reservation.asked.prompt_tokens)
        engine.link_rate.observe(size * max(1, engine.transfers), message.seconds)


def _attempt_failed(
    state: State, pool: Pool, reservation: Reservation, message: Advanced, at: float
) -> typing.Iterator[Step]:
    engine = reservation.prefill_engine if reservation.phase == "prefill" else reservation.engine
    if message.phase == "refused":  # The engine has less free memory than the ledger shows.
        ledger = pool.engines.get(engine)
        if ledger:
            ledger.margin = max(ledger.margin, REFUSED_MARGIN_SLOTS)
            pool.update_totals(ledger)
        return
    yield from health.record_failure(state, engine)


@on_message(Release)
def release(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Release a reservation, or remove a queued request."""
    message = event.message
    pool = state["coordinator"].pools.get((message.model, message.zone))
    if pool is None:
        return
    pool.queue.remove(message.attempt_id)
    reservation = pool.release(message.attempt_id, event.at)
    if reservation and reservation.phase == "decode":
        pool.hold.observe(event.at - reservation.granted_at)
    yield from grants.dispatch(state, pool, event.at)


@on_message(Renew)
def renew(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Renew an owner's reservations, and enter those that an earlier coordinator granted."""
    message = event.message
    pool = state["coordinator"].pools.get((message.model, message.zone))
    if pool is None:
        return
    pool.owners[message.owner] = event.at
    for engine, request_id, attempt_id, _ in message.attempts:
        reservation = pool.reservations.get(attempt_id)
        if reservation:
            reservation.renewed_at = event.at
            if not engine:  # The router still waits, so the grant message was lost.
                yield grants.grant_message(pool, reservation, reservation.matched_tokens, event.at)
        elif engine in pool.engines:
            _enter_reservation(pool, message, engine, request_id, attempt_id, event.at)
        elif not engine and attempt_id not in pool.queue.waiting:
            lost = Reserve(
                request_id=request_id,
                attempt_id=attempt_id,
                owner=message.owner,
                engine="",
                config_version=0,
                deadline=0.0,
            )
            yield from grants.deny(pool, lost, unknown=True)


def _enter_reservation(
    pool: Pool, message: Renew, engine: str, request_id: str, attempt_id: str, at: float
) -> None:
    asked = Reserve(
        request_id=request_id,
        attempt_id=attempt_id,
        owner=message.owner,
        engine=engine,
        config_version=0,
        deadline=0.0,
        model=message.model,
        zone=message.zone,
    )
    reservation = Reservation(
        asked=asked, engine=engine, prefill_engine=engine, at=at, prefill_tokens=0
    )
    reservation.phase = "decode"
    pool.hold_slot(reservation, ())
    # The latest report may have counted this attempt's memory as that of an unknown attempt.
    pool.engines[engine].unknown_attempts = max(0, pool.engines[engine].unknown_attempts - 1)
    pool.update_totals(pool.engines[engine])


# --- Expiry --------------------------------------------------------------------------------------


@on_timer("sweep")
def sweep(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Expire reservations that were not renewed and requests that can't be served in time."""
    for pool in state["coordinator"].pools.values():
        _expire_reservations(pool, event.at, state.cfg.timing.reservation)
        yield from _expire_queued(pool, event.at)
        yield from grants.dispatch(state, pool, event.at)
    yield StartTimer(timer="sweep", delay=SWEEP_INTERVAL_S)


def _expire_reservations(pool: Pool, at: float, lifetime: float) -> None:
    for attempt_id, reservation in list(pool.reservations.items()):
        if at - reservation.renewed_at > lifetime:
            pool.release(attempt_id, at, freed=False)
    for owner, renewed_at in list(pool.owners.items()):
        if at - renewed_at > lifetime:
            del pool.owners[owner]


def _expire_queued(pool: Pool, at: float) -> typing.Iterator[Step]:
    for queued in list(pool.queue.waiting.values()):
        if queued.asked.owner not in pool.owners or at > queued.deadline:
            pool.queue.remove(queued.asked.attempt_id)
        elif queued.band == RELAXED and queued.due - at < URGENT_SLACK_S:
            pool.queue.move(queued, URGENT)
        elif queued.band == URGENT and at > queued.due:
            yield from grants.defer_or_deny(pool, queued, at)
