"""Coordinator of a pool: assignment of the role, and reports from engines and other pools.

A pool is the engines of one model in one availability zone. Its coordinator is a live entry host
of that zone, chosen by rendezvous hash, so the role moves when hosts join or leave. Ledgers are
soft state: a new coordinator rebuilds them from the engines' reports and from the renewals that
routers send, and keeps a margin of slots free meanwhile.
"""

import typing

from .._effects import FetchCacheEvents, FetchReport, SendPeer, StartTimer
from .._events import (
    Booted,
    CacheChanged,
    EngineReported,
    EngineSilent,
    MembersChanged,
    PeerMessage,
    TimerFired,
)
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import PoolLoad
from . import choice, grants, members
from .engine_ledger import EngineLedger
from .host import role_report
from .ledger import RESTART_MARGIN_SLOTS, OtherPool, Pool

SWEEP_INTERVAL_S = 0.1  # Time between checks for expired reservations and queued requests.
POLLS_PER_CACHE_FETCH = 2


@state_slice("coordinator")
class CoordinatorState:
    """Pools that this host coordinates, by model and zone; enabled scorers and optional steps."""

    __slots__ = ("pools", "scorers", "steps", "polls")

    def __init__(self, cfg: Settings) -> None:
        self.pools: dict[tuple[str, str], Pool] = {}
        self.scorers: tuple[str, ...] = tuple(choice.SCORERS)
        self.steps = grants.OPTIONAL_STEPS
        self.polls = 0


def coordinator_of(state: State, model: str, zone: str) -> str:
    """Return the host that coordinates the pool of a model in an availability zone."""
    return members.role_owner(state, f"pool/{model}", zone)


@role_report
def roles(state: State) -> typing.Iterator[str]:
    """Yield a name for each pool that this host coordinates."""
    return (f"pool/{model}/{zone}" for model, zone in state["coordinator"].pools)


def coordinates(state: State, engine: str) -> bool:
    """Return whether this host coordinates the pool that an engine belongs to."""
    entry = members.entry_of(state, engine)
    return entry is not None and (entry.service, entry.zone) in state["coordinator"].pools


def is_reserved(state: State, engine: str, attempt_id: str, at: float) -> bool:
    """Return whether the engine's pool has a recently renewed reservation for an attempt."""
    found = _pool_of_engine(state, engine)
    reservation = found[0].reservations.get(attempt_id) if found else None
    return reservation is not None and at - reservation.renewed_at <= 2.0 * state.cfg.timing.renew


def engines_of(state: State, model: str) -> list[str]:
    """Return the engines of this zone's pool of a model, if this host coordinates it."""
    pool = state["coordinator"].pools.get((model, state.zone))
    return list(pool.engines) if pool else []


def _pool_of_engine(state: State, engine: str) -> tuple[Pool, EngineLedger] | None:
    entry = members.entry_of(state, engine)
    pool = state["coordinator"].pools.get((entry.service, entry.zone)) if entry else None
    ledger = pool.engines.get(engine) if pool else None
    return (pool, ledger) if ledger else None


# --- The role ------------------------------------------------------------------------------------


@handles(Booted)
def start_timers(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the timers of polling and of expiry checks."""
    yield StartTimer(timer="coordinate", delay=state.cfg.timing.report)
    yield StartTimer(timer="sweep", delay=SWEEP_INTERVAL_S)


@handles(MembersChanged)
def reassign_pools(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Take over the pools now assigned to this host, and give up those assigned elsewhere."""
    engines = _engines_by_pool(state)
    pools_by_key = state["coordinator"].pools
    for key in list(pools_by_key):
        if key not in engines or coordinator_of(state, *key) != state.owner.host:
            yield from _deny_queued(state, pools_by_key.pop(key))
    for key, names in engines.items():
        if coordinator_of(state, *key) == state.owner.host:
            _ensure_pool(state, key, event.at).set_engines(names, margin=RESTART_MARGIN_SLOTS)
            yield from grants.dispatch(state, pools_by_key[key], event.at)


def _engines_by_pool(state: State) -> dict[tuple[str, str], list[str]]:
    pools: dict[tuple[str, str], list[str]] = {}
    for entry in members.engines_of_zone(state, state.zone):
        pools.setdefault((entry.service, entry.zone), []).append(entry.name)
    return pools


def _ensure_pool(state: State, key: tuple[str, str], at: float) -> Pool:
    pools_by_key = state["coordinator"].pools
    if key not in pools_by_key:
        target = state.cfg.targets.between_outputs
        pools_by_key[key] = Pool(model=key[0], zone=key[1], at=at, target=target)
    return pools_by_key[key]


def _deny_queued(state: State, pool: Pool) -> typing.Iterator[Step]:
    # Routers that have not yet seen the change of membership learn of it from the denial.
    for queued in list(pool.queue.waiting.values()):
        yield from grants.deny(pool, queued.asked, unknown=True)


# --- Engines' reports ----------------------------------------------------------------------------


@on_timer("coordinate")
def poll_engines(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Poll the engines of this host's pools for reports and cache events."""
    coordinator_state = state["coordinator"]
    coordinator_state.polls += 1
    for pool in coordinator_state.pools.values():
        for engine in pool.engines.values():
            yield FetchReport(endpoint=engine.name)
            if coordinator_state.polls % POLLS_PER_CACHE_FETCH == 0:
                yield FetchCacheEvents(endpoint=engine.name, sequence=engine.prefixes.sequence)
        yield from _send_pool_load(state, pool, event.at)
    yield StartTimer(timer="coordinate", delay=state.cfg.timing.report)


def _send_pool_load(state: State, pool: Pool, at: float) -> typing.Iterator[Step]:
    message = PoolLoad(
        model=pool.model,
        zone=pool.zone,
        free=max(0, pool.free() - len(pool.queue)),
        wait=round(pool.wait(at), 3),
    )
    for zone in members.zones_of_service(state, pool.model):
        if zone != pool.zone:
            yield SendPeer(host=coordinator_of(state, pool.model, zone), message=message)


@on_message(PoolLoad)
def pool_load_received(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Record another pool's load, and redirect the queued requests that it would serve sooner."""
    load = event.message
    for pool in state["coordinator"].pools.values():
        if pool.model != load.model or pool.zone == load.zone:
            continue
        pool.others[load.zone] = OtherPool(free=load.free, wait=load.wait, told_at=event.at)
        yield from _redirect_queued(state, pool, event.at)


def _redirect_queued(state: State, pool: Pool, at: float) -> typing.Iterator[Step]:
    for queued in list(pool.queue.waiting.values()):
        zone = grants.better_zone(state, pool, queued.asked, at)
        if zone:
            pool.queue.remove(queued.asked.attempt_id)
            yield from grants.deny(pool, queued.asked, wait=pool.wait(at), elsewhere=zone)


@handles(EngineReported)
def report_received(state: State, event: EngineReported) -> typing.Iterator[Step]:
    """Update an engine's ledger from its report, and grant slots that the engine freed."""
    found = _pool_of_engine(state, event.report.engine)
    if found is None:
        return
    pool, engine = found
    engine.apply_report(event.report, event.at)
    if event.at - pool.since > state.cfg.timing.reservation:
        engine.margin = 0
    pool.update_totals(engine)
    yield from grants.dispatch(state, pool, event.at)


@handles(EngineSilent)
def report_missed(state: State, event: EngineSilent) -> None:
    """Count an engine's consecutive missed reports."""
    found = _pool_of_engine(state, event.endpoint)
    if found:
        found[1].silent += 1


@handles(CacheChanged)
def cache_changed(state: State, event: CacheChanged) -> None:
    """Update the engine's prefix index."""
    found = _pool_of_engine(state, event.endpoint)
    if found:
        for change in event.changes:
            found[1].prefixes.apply(change)
