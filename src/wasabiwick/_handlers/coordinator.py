"""Coordinator of a pool: grants decode slots, link shares and prefill work, and queues the rest.

A pool is the engines of one model in one availability zone. Its coordinator is a live entry host
of that zone, by rendezvous hash, so the role moves when hosts come and go. Ledgers are soft state:
a new coordinator starts from the engines' reports less a margin, and from the renewals of routers.
"""

import typing

from .._effects import Count, FetchCacheEvents, FetchReport, SendPeer, StartTimer
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
from .._wire import Advanced, Denied, Granted, PoolLoad, Release, Renew, Reserve
from . import choice, health, members
from .host import role_report
from .ledger import RESTART_MARGIN, EngineLedger, OtherPool, Pool, Reservation
from .queueing import LATE, MAX_RELAXED, RELAXED, URGENT, URGENT_SLACK, Waiting

REDIRECT = "redirect"  # Steps that an ablation leaves out.
ON_TIME = "on_time"
CHEAP_FIRST = "cheap_first"
SWEEP = 0.1  # Seconds between looks for reservations and queued requests that have expired.
LATE_SECONDS = 4.0  # Length of the late band's queue, in seconds of its share of the grants.
LATE_SHARE = 0.02
IDLE_SECONDS = 8.0  # Seconds for which a pool counts as one that has slots to spare.
IDLE_ROOM = 3.0  # Seconds' worth of its grants that may queue late at such a pool.
CACHE_POLLS = 2  # Reports fetched for each fetch of cache events.
SPILL_SECONDS = 0.1  # Time that another pool must save to be sent a request.
LOAD_STALE = 1.0  # Seconds after which another pool's load is not believed any more.
READY_MARGIN = 0.1  # Seconds that a first output may come later than predicted.
IDLE_SLOTS = 0.08  # Share of a pool's slots whose being free makes it one with slots to spare.
PREFILL_BOUND = 0.1  # Share of free slots from which prefill, not memory, limits a pool.
LOOK_AHEAD = 8  # Queued requests compared while prefill is scarce.
FULL_MARGIN = 1  # Slots kept back at an engine that refused a granted decode, until it reports.


@state_slice("coordinator")
class CoordinatorState:
    """Pools that this host coordinates, by model and zone; scorers and optional steps in use."""

    __slots__ = ("pools", "scorers", "steps", "polls")

    def __init__(self, cfg: Settings) -> None:
        self.pools: dict[tuple[str, str], Pool] = {}
        self.scorers: tuple[str, ...] = tuple(choice.SCORERS)
        self.steps = frozenset((REDIRECT, ON_TIME, CHEAP_FIRST))
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
    yield StartTimer(timer="sweep", delay=SWEEP)


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
            yield from _dispatch(state, mine[key], event.at)


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
        yield from _deny(pool, one.asked, unknown=True)


# --- Engines' reports ----------------------------------------------------------------------------


@on_timer("coordinate")
def poll(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Ask the engines of this host's pools for reports and cache events."""
    mine = state["coordinator"]
    mine.polls += 1
    for pool in mine.pools.values():
        for engine in pool.engines.values():
            yield FetchReport(endpoint=engine.name)
            if mine.polls % CACHE_POLLS == 0:
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
        zone = _better_zone(state, pool, one.asked, at)
        if zone:
            pool.queue.remove(one.asked.attempt_id)
            yield from _deny(pool, one.asked, wait=pool.wait(at), elsewhere=zone)


@handles(EngineReported)
def reported(state: State, event: EngineReported) -> typing.Iterator[Step]:
    """Take in an engine's report; memory that it freed may serve queued requests."""
    found = _pool_of_engine(state, event.report.engine)
    if found is None:
        return
    pool, engine = found
    engine.take_report(event.report, event.at)
    if event.at - pool.since > state.cfg.timing.reservation:
        engine.margin = 0
    yield from _dispatch(state, pool, event.at)


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


# --- Reservations --------------------------------------------------------------------------------


@on_message(Reserve)
def reserve(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Queue a request, or refuse it at once if it can't be served in time; then grant."""
    asked = event.message
    pool = state["coordinator"].pools.get((asked.model, asked.zone))
    if pool is None:
        yield from _deny(None, asked, unknown=True)
        return
    if asked.attempt_id in pool.queue.waiting or asked.attempt_id in pool.reservations:
        return
    pool.owners[asked.owner] = event.at
    elsewhere = _better_zone(state, pool, asked, event.at)
    if elsewhere:
        yield from _deny(pool, asked, wait=pool.wait(event.at), elsewhere=elsewhere)
        return
    one = _judge(state, pool, asked, event.at)
    if one is None:
        yield Count(metric="reserve_denied")
        yield from _deny(pool, asked, wait=pool.wait(event.at))
        return
    pool.queue.add(one)
    yield from _dispatch(state, pool, event.at)


def _better_zone(state: State, pool: Pool, asked: Reserve, at: float) -> str:
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


def _judge(state: State, pool: Pool, asked: Reserve, at: float) -> Waiting | None:
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


def _deny(
    pool: Pool | None,
    asked: Reserve,
    *,
    wait: float = 0.0,
    unknown: bool = False,
    elsewhere: str = "",
) -> typing.Iterator[Step]:
    message = Denied(
        request_id=asked.request_id,
        attempt_id=asked.attempt_id,
        engine=asked.engine,
        wait=round(wait, 3),
        unknown=unknown,
        elsewhere=elsewhere,
    )
    yield SendPeer(host=asked.owner.host, message=message)


def _dispatch(state: State, pool: Pool, at: float) -> typing.Iterator[Step]:
    """Grant slots to queued requests for as long as there is a place for the next one."""

    def usable(name: str) -> bool:
        return health.usable(state, name)

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
            yield from _too_late(pool, one, at)
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
    health.chosen(state, placement.decode.name)
    health.chosen(state, placement.prefill.name)
    yield _tell_grant(pool, reservation, placement.cached, at)


def _tell_grant(pool: Pool, one: Reservation, cached: int, at: float) -> SendPeer:
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
        health.succeeded(state, one.prefill_engine)
        pool.advance(one, told.phase, event.at)
    elif told.phase == "decode":
        _learn_transfer(pool, one, told)
        health.succeeded(state, one.engine)
        pool.advance(one, told.phase, event.at)
    yield from _dispatch(state, pool, event.at)


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
        return
    yield from health.failed(state, engine)


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
    yield from _dispatch(state, pool, event.at)


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
                yield _tell_grant(pool, one, one.matched, event.at)
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
            yield from _deny(pool, lost, unknown=True)


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
    pool.engines[engine].foreign = max(0, pool.engines[engine].foreign - 1)


# --- Expiry --------------------------------------------------------------------------------------


@on_timer("sweep")
def sweep(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Drop what was not renewed, and what can't be served in time any more."""
    for pool in state["coordinator"].pools.values():
        _expire_reservations(pool, event.at, state.cfg.timing.reservation)
        yield from _expire_queued(pool, event.at)
        yield from _dispatch(state, pool, event.at)
    yield StartTimer(timer="sweep", delay=SWEEP)


def _expire_reservations(pool: Pool, at: float, life: float) -> None:
    for attempt_id, one in list(pool.reservations.items()):
        if at - one.renewed_at > life:
            pool.release(attempt_id, at)
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
            yield from _too_late(pool, one, at)


def _too_late(pool: Pool, one: Waiting, at: float) -> typing.Iterator[Step]:
    if one.asked.may_wait:
        pool.queue.move(one, LATE)
        return
    pool.queue.remove(one.asked.attempt_id)
    yield Count(metric="reserve_denied")
    yield from _deny(pool, one.asked, wait=pool.wait(at))
