"""Coordinator of a pool: the role, and what engines and other pools tell.

A pool is the engines of one model in one availability zone. Its coordinator is a live entry host
of that zone, by rendezvous hash, so the role moves when hosts come and go. Ledgers are soft state:
a new coordinator starts from the engines' reports less a margin, and from the renewals of routers.
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
from .ledger import RESTART_MARGIN, OtherPool, Pool

SWEEP_INTERVAL_S = 0.1  # Between checks for expired reservations and queued requests.
POLLS_PER_CACHE_FETCH = 2  # Reports fetched for each fetch of cache events.


@state_slice("coordinator")
class CoordinatorState:
    """Pools that this host coordinates, by model and zone; scorers and optional steps in use."""

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
    """Name the pools that this host coordinates."""
    return (f"pool/{model}/{zone}" for model, zone in state["coordinator"].pools)


def coordinates(state: State, engine: str) -> bool:
    """Tell whether this host coordinates the pool that an engine belongs to."""
    entry = members.entry_of(state, engine)
    return entry is not None and (entry.service, entry.zone) in state["coordinator"].pools


def is_reserved(state: State, engine: str, attempt_id: str, at: float) -> bool:
    """Tell whether some host keeps renewing a reservation for an attempt in the engine's pool."""
    found = _pool_of_engine(state, engine)
    one = found[0].reservations.get(attempt_id) if found else None
    return one is not None and at - one.renewed_at <= 2.0 * state.cfg.timing.renew


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
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the role's timers."""
    yield StartTimer(timer="coordinate", delay=state.cfg.timing.report)
    yield StartTimer(timer="sweep", delay=SWEEP_INTERVAL_S)


@handles(MembersChanged)
def take_roles(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Take over the pools that fall to this host now, and give up others."""
    engines = _engines_here(state)
    mine = state["coordinator"].pools
    for key in list(mine):
        if key not in engines or coordinator_of(state, *key) != state.owner.host:
            yield from _give_up(state, mine.pop(key))
    for key, names in engines.items():
        if coordinator_of(state, *key) == state.owner.host:
            _open(state, key, event.at).set_engines(names, margin=RESTART_MARGIN)
            yield from grants.dispatch(state, mine[key], event.at)


def _engines_here(state: State) -> dict[tuple[str, str], list[str]]:
    pools: dict[tuple[str, str], list[str]] = {}
    for entry in members.engines_of_zone(state, state.zone):
        pools.setdefault((entry.service, entry.zone), []).append(entry.name)
    return pools


def _open(state: State, key: tuple[str, str], at: float) -> Pool:
    mine = state["coordinator"].pools
    if key not in mine:
        target = state.cfg.targets.between_outputs
        mine[key] = Pool(model=key[0], zone=key[1], at=at, target=target)
    return mine[key]


def _give_up(state: State, pool: Pool) -> typing.Iterator[Step]:
    # Routers notice the change of membership themselves, or learn it here at once.
    for one in list(pool.queue.waiting.values()):
        yield from grants.deny(pool, one.asked, unknown=True)


# --- Engines' reports ----------------------------------------------------------------------------


@on_timer("coordinate")
def poll(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Ask the engines of this host's pools for reports and cache events."""
    mine = state["coordinator"]
    mine.polls += 1
    for pool in mine.pools.values():
        for engine in pool.engines.values():
            yield FetchReport(endpoint=engine.name)
            if mine.polls % POLLS_PER_CACHE_FETCH == 0:
                yield FetchCacheEvents(endpoint=engine.name, sequence=engine.prefixes.sequence)
        yield from _tell_others(state, pool, event.at)
    yield StartTimer(timer="coordinate", delay=state.cfg.timing.report)


def _tell_others(state: State, pool: Pool, at: float) -> typing.Iterator[Step]:
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
def other_load(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Note another pool's load, and send queued requests there if it has slots free."""
    told = event.message
    for pool in state["coordinator"].pools.values():
        if pool.model != told.model or pool.zone == told.zone:
            continue
        pool.others[told.zone] = OtherPool(free=told.free, wait=told.wait, told_at=event.at)
        yield from _send_away(state, pool, event.at)


def _send_away(state: State, pool: Pool, at: float) -> typing.Iterator[Step]:
    for one in list(pool.queue.waiting.values()):
        zone = grants.better_zone(state, pool, one.asked, at)
        if zone:
            pool.queue.remove(one.asked.attempt_id)
            yield from grants.deny(pool, one.asked, wait=pool.wait(at), elsewhere=zone)


@handles(EngineReported)
def reported(state: State, event: EngineReported) -> typing.Iterator[Step]:
    """Take in an engine's report; memory that it freed may serve queued requests."""
    found = _pool_of_engine(state, event.report.engine)
    if found is None:
        return
    pool, engine = found
    engine.apply_report(event.report, event.at)
    if event.at - pool.since > state.cfg.timing.reservation:
        engine.margin = 0
    pool.changed(engine)
    yield from grants.dispatch(state, pool, event.at)


@handles(EngineSilent)
def silent(state: State, event: EngineSilent) -> None:
    """Count the reports that an engine owes."""
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
