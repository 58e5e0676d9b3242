"""Placement: selects the endpoint that gets a request.

All times are in seconds.

Load patterns handled:

- Bursts of generations, where the KV cache of decode engines fills before anything else: an engine
  is selected by the memory that its streams are projected to need, not by asking engines in turn.
- Prefill engines that are lost or full while decode engines have free capacity: decode engines
  then prefill prompts themselves. Each engine does so for one prompt at a time, since two would
  delay its other streams for too long.
- Prompts that arrive together: each goes to the prefill engine that is expected to finish it first,
  within the decode engine's zone where that costs little time.
- Plain requests: the endpoint with the least work per slot, in the local zone first.
"""

import math
import typing

from .._forwarding import DECODE, PREFILL, Ask, Endpoint, ServiceTraits, StreamLoad
from .._state import State
from . import (
    builds,
    directory,
    engine_signs,
    estimates,
    health,
    neighbours,
    pauses,
    permits,
    places,
    routes,
)
from .memory import Projection

ENGINES_DRAWN = 2  # Engines drawn for a stream, the better of which gets it.
# Part that an engine's speed has in its weight. A fast engine's streams end sooner, which shows in
# its memory already; with 1.0 fast engines got the most work, and with 0.0 slow ones.
DRAW_SPEED_EXPONENT = 0.5
LOCAL_WEIGHT = 2.0  # How many times as likely an engine of the local zone is to be drawn.
BLOCK_TOKENS = 16  # Engines allocate KV cache in blocks of this many tokens.
# A prefill is sent again if it takes longer than PREFILL_GRACE seconds plus PREFILL_TIME_FACTOR
# times what the engine is expected to need for all prompts that it was sent.
PREFILL_GRACE = 0.4  # Fixed seconds of a prefill's time-out; four times what one prefill takes.
PREFILL_TIME_FACTOR = 2.0  # Above 1, as prompts prefilled together slow each other down.
# Output tokens for which a hold reserves memory, besides the prompt; enough for a stream to begin.
HOLD_OUTPUT_TOKENS = 64
# Margin that is kept free in an engine's memory, in standard deviations of the projected use.
MEMORY_MARGIN_DEVIATIONS = 1.5
# The same for a stream that broke off. It gets places that no host gives to new requests, as its
# caller waits in the middle of an answer.
BROKEN_OFF_MARGIN_DEVIATIONS = -0.7
# Once prompts wait this many seconds on average, prefill engines get no more of them.
MAX_PREFILL_WAIT = 0.8
# Seconds that a request waits for a prefill engine before a decode engine may prefill its prompt;
# as long as one prefill takes.
SELF_PREFILL_WAIT = 0.2
# A decode engine with at most this share of its slots in use counts as idle: it may prefill
# prompts, although that slows its streams.
IDLE_SLOT_SHARE = 0.5
PREFILL_REFUSED_TIME = 0.3  # Seconds for which an engine that refused a prompt gets no other.
# Extra seconds of prefill wait accepted to prefill a prompt in its decode engine's zone.
CROSS_ZONE_PREFILL_COST = 0.15
# The same where each engine's speed is known, so that the wait is that of the engine itself.
KNOWN_CROSS_ZONE_PREFILL_COST = 0.03
# Requests per slot that are added to the load of a plain endpoint in another zone.
CROSS_ZONE_LOAD_COST = 1.0
# Requests per slot that are added to the load of a plain endpoint that failed recently.
UNSTABLE_LOAD_COST = 1.0


class Candidate:
    """A decode engine's load, updated while several requests are placed in a row.

    ``reading`` counts the prompt tokens that the engine itself has yet to prefill. ``factor`` says
    how long work takes there, as a multiple of the mean of the service's engines; None if they
    don't say.
    """

    __slots__ = ("endpoint", "running", "reading", "slots", "memory", "projection", "factor")

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        running: int,
        reading: int,
        slots: int,
        memory: int,
        projection: Projection,
        factor: float | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.running = running
        self.reading = reading
        self.slots = slots
        self.memory = memory
        self.projection = projection
        self.factor = factor

    def memory_left(self, stream: StreamLoad, deviations: float, kept: float = 0.0) -> float | None:
        """Return the tokens of memory left with a stream added; None if the stream does not fit.

        Args:
            stream: The stream.
            deviations: Margin that is kept free, in standard deviations of the projected use.
            kept: Tokens that are to be left for others, besides a slot.
        """
        if self.running + (kept > 0.0) >= self.slots:
            return None
        tokens_left = self.memory - kept - self.projection.peak(stream, deviations)
        if kept > 0.0:
            return tokens_left if tokens_left >= 0.0 else None
        # An idle engine is tried even if the projected output would not fit.
        return tokens_left if tokens_left >= 0.0 or not self.running else None

    def add(self, stream: StreamLoad) -> None:
        """Count a stream that was placed here."""
        self.running += 1
        self.projection.add(stream)


def decode_candidates(state: State, service: str, at: float) -> list[Candidate]:
    """Return the decode engines of a service that may have free capacity, with their load."""
    traits = routes.service(state, service)
    if traits is None or traits.engine is None:
        return []
    rate = estimates.token_rate(state, service)
    engines = directory.usable_endpoints(state, service, DECODE)
    factors = engine_signs.factors(state, engines, at)
    candidates = []
    for one in engines:
        if places.is_full(state, one.name, at) or not _takes_work(state, one, at):
            continue
        if not builds.may_begin(state, service, one.build, at):
            continue
        engine_load = places.load(state, one.name, at)
        slots = min(one.slots, traits.engine.slots)
        unseen = engine_signs.unseen_requests(state, one.name, engine_load.running, at)
        if engine_load.running + unseen >= slots:
            continue
        factor = factors.get(one.name, 1.0)
        projection = Projection(at=at, rate=rate / factor)
        for stream in engine_load.streams:
            projection.add(stream)
        if unseen:
            prompt, output = estimates.mean_sizes(state, traits)
            stream = StreamLoad(prompt=int(prompt), expected=int(output), begins=at)
            for _ in range(unseen):
                projection.add(stream)
        candidates.append(
            Candidate(
                endpoint=one,
                running=engine_load.running + unseen,
                reading=engine_load.reading,
                slots=slots,
                memory=traits.engine.memory_tokens,
                projection=projection,
                factor=factor if factors else None,
            )
        )
    return candidates


def choose_decode(
    state: State,
    candidates: list[Candidate],
    stream: StreamLoad,
    at: float,
    avoid: list[str],
    warm_engines: list[str],
    *,
    broke_off: bool = False,
    rooms: dict[str, float] | None = None,
) -> Candidate | None:
    """Return the engine that fits a stream best, or None if none does.

    In order of preference: engines that may have the prompt in their cache, engines not in
    ``avoid``, engines that did not abort a request recently (another abort would waste the
    prefill), engines that keep no room for others, engines of the local zone, and those with the
    most memory left. Where engines say how slow they are and hosts are many, the last two are left
    to `_draw`.

    Args:
        state: The host's state.
        candidates: Engines that may have free capacity.
        stream: What the request is expected to need.
        at: Monotonic time.
        avoid: Names of engines that are used only if there is no other.
        warm_engines: Names of engines that may have the prompt cached.
        broke_off: Whether the caller has a part of the stream.
        rooms: Engines that come last, with the tokens of memory to be left free for others there.
    """
    rooms = rooms or {}
    deviations = BROKEN_OFF_MARGIN_DEVIATIONS if broke_off else MEMORY_MARGIN_DEVIATIONS
    best: list[tuple[Candidate, float]] = []
    best_rank: tuple[bool, bool, bool, bool] | None = None
    for one in candidates:
        tokens_left = one.memory_left(stream, deviations, rooms.get(one.endpoint.name, 0.0))
        if tokens_left is None:
            continue
        name = one.endpoint.name
        rank = (
            name in warm_engines,
            name not in avoid,
            not places.is_unstable(state, name, at),
            name not in rooms,
        )
        if best_rank is None or rank > best_rank:
            best, best_rank = [], rank
        if rank == best_rank:
            best.append((one, tokens_left))
    if not best:
        return None
    if neighbours.is_large_fleet(state) and any(one.factor is not None for one, _ in best):
        return _draw(state, best)
    return max(best, key=lambda pair: (pair[0].endpoint.zone == state.zone, pair[1]))[0]


def _draw(state: State, fitting: list[tuple[Candidate, float]]) -> Candidate:
    """Return the better of some engines drawn at random, by their memory left for their speed.

    Hosts that choose within the age of each other's news would all take the engine with the most
    memory left, and overrun it.

    Args:
        state: The host's state.
        fitting: Engines, each with the tokens of memory that it has left with the stream.
    """
    weights = [
        max(1.0, tokens_left)
        / (one.factor or 1.0) ** DRAW_SPEED_EXPONENT
        * (LOCAL_WEIGHT if one.endpoint.zone == state.zone else 1.0)
        for one, tokens_left in fitting
    ]
    drawn = state.rng.choices(range(len(fitting)), weights=weights, k=ENGINES_DRAWN)
    return fitting[max(drawn, key=weights.__getitem__)][0]


def choose_prefill(
    state: State,
    service: str,
    zone: str,
    tokens: int,
    at: float,
    avoid: list[str],
    warm_engines: list[str],
) -> Endpoint | None:
    """Return the prefill engine expected to finish a prompt first, or None if none takes work.

    Engines in ``warm_engines`` come before others, and those in ``avoid`` last.

    Args:
        state: The host's state.
        service: Name of the service.
        zone: Availability zone of the decode engine.
        tokens: Length of the prompt, in tokens.
        at: Monotonic time.
        avoid: Names of engines that are used only if there is no other.
        warm_engines: Names of engines that may have the prompt cached.
    """
    rate = estimates.prefill_rate(state, service)
    engines = _prefill_engines(state, service, at)
    factors = engine_signs.factors(state, engines, at)

    zone_cost = KNOWN_CROSS_ZONE_PREFILL_COST if factors else CROSS_ZONE_PREFILL_COST

    def cost(one: Endpoint) -> tuple[bool, bool, float]:
        backlog = places.load(state, one.name, at).reading + tokens
        wait = backlog / rate * factors.get(one.name, 1.0)
        return (
            one.name not in warm_engines,
            one.name in avoid,
            wait + (0.0 if one.zone == zone else zone_cost),
        )

    return min(engines, key=cost, default=None)


def _prefill_engines(state: State, service: str, at: float) -> list[Endpoint]:
    listed_engines = directory.usable_endpoints(state, service, PREFILL)
    return [
        one
        for one in listed_engines
        if not places.is_full(state, one.name, at)
        and _takes_work(state, one, at)
        and builds.may_begin(state, service, one.build, at)
    ]


def prefill_backlog_seconds(state: State, service: str, endpoint: str, at: float) -> float:
    """Return the expected time until an engine has prefilled all prompts sent to it."""
    queued_tokens = places.load(state, endpoint, at).reading
    engines = directory.usable_endpoints(state, service, PREFILL)
    factor = engine_signs.factors(state, engines, at).get(endpoint, 1.0)
    return queued_tokens / estimates.prefill_rate(state, service) * factor


def prefill_timeout(state: State, service: str, endpoint: str, at: float) -> float:
    """Return the seconds after which a prefill is sent again, also if its engine slows down."""
    backlog = prefill_backlog_seconds(state, service, endpoint, at)
    slowest = engine_signs.slowest_moment(state, service, at)
    return PREFILL_GRACE + PREFILL_TIME_FACTOR * slowest * backlog


def prefill_wait(state: State, service: str, at: float, pending_tokens: int) -> float:
    """Return the seconds until prefill engines begin another prompt; infinity if there are none.

    Args:
        state: The host's state.
        service: Name of the service.
        at: Monotonic time.
        pending_tokens: Prompt tokens of calls that are about to be prefilled.
    """
    rate = estimates.prefill_rate(state, service)
    engines = _prefill_engines(state, service, at)
    queued_tokens = pending_tokens + sum(
        places.load(state, one.name, at).reading for one in engines
    )
    factors = engine_signs.factors(state, engines, at)
    speeds = sum(1.0 / factors.get(one.name, 1.0) for one in engines)
    return queued_tokens / (rate * speeds) if engines else math.inf


def has_idle_engine(candidates: list[Candidate]) -> bool:
    """Return whether a decode engine has at least half of its slots free."""
    return any(one.running <= IDLE_SLOT_SHARE * one.slots for one in candidates)


def self_prefill_candidates(
    state: State, service: str, candidates: list[Candidate], waiting_time: float
) -> list[Candidate]:
    """Return the decode engines that may prefill a prompt themselves, between decode steps.

    That takes twice as long as on a prefill engine and slows the engine's streams. So while any
    prefill engine is usable, a request first waits `SELF_PREFILL_WAIT` for one. After that, only
    decode engines with half of their slots free are returned.

    Args:
        state: The host's state.
        service: Name of the service.
        candidates: Decode engines that may have free capacity.
        waiting_time: Time for which the request has waited.
    """
    non_prefilling_engines = [one for one in candidates if not one.reading]
    prefill_engines = directory.usable_endpoints(state, service, PREFILL)
    if not any(health.is_usable(state, one.name) for one in prefill_engines):
        return non_prefilling_engines
    if waiting_time < SELF_PREFILL_WAIT:
        return []
    return [one for one in non_prefilling_engines if one.running <= IDLE_SLOT_SHARE * one.slots]


def _takes_work(state: State, one: Endpoint, at: float) -> bool:
    return (
        health.is_usable(state, one.name)
        and not directory.is_busy(state, one.name, at)
        and wait_of(state, one.name, at) == 0.0
    )


def may_get_work(state: State, endpoint: str, at: float) -> bool:
    """Return whether an endpoint chosen a while ago is still listed and wants requests."""
    return directory.is_usable(state, endpoint) and not pauses.is_paused(state, endpoint, at)


def wait_of(state: State, endpoint: str, at: float) -> float:
    """Return the seconds for which an endpoint takes nothing, by its limit or by its own word."""
    return max(permits.wait_of(state, endpoint, at), pauses.wait_of(state, endpoint, at))


def shortest_wait(state: State, endpoints: typing.Iterable[str], at: float) -> float:
    """Return the seconds until one of some endpoints takes requests; 0 if there are none."""
    return min((wait_of(state, name, at) for name in endpoints), default=0.0)


def connection_limit(state: State, service: str, at: float) -> int:
    """Return how many connections this host may have to one endpoint of a service.

    The service's limit for an endpoint is divided equally among the hosts.
    """
    traits = routes.service(state, service)
    max_connections = traits.max_connections if traits else 1
    return max(1, max_connections // neighbours.host_count(state, at))


def _own_running(state: State, endpoint: str) -> int:
    own_load = state["places"].own_loads.get(endpoint)
    return own_load.running if own_load else 0


def choose_plain(
    state: State,
    service: str,
    at: float,
    avoid: list[str],
    build: str = "",
    *,
    stream: str | None = None,
) -> Endpoint | None:
    """Return the endpoint of a plain service with the least work per slot, or None.

    Endpoints of other zones and endpoints that failed recently count as having more work. If a
    build is given, only endpoints of that build are chosen. If a stream's name is given, only
    endpoints are chosen at whose build it may begin.
    """
    max_connections = connection_limit(state, service, at)
    connectable_endpoints = [
        one
        for one in directory.usable_endpoints(state, service)
        if one.name not in avoid
        and build in ("", one.build)
        and (stream is None or _may_begin_at(state, one, stream, at))
        and wait_of(state, one.name, at) == 0.0
        and _own_running(state, one.name) < max_connections
    ]
    usable_endpoints = [
        one for one in connectable_endpoints if health.is_usable(state, one.name)
    ] or connectable_endpoints
    factors = engine_signs.factors(state, usable_endpoints, at)

    def cost(one: Endpoint) -> float:
        running = places.load(state, one.name, at).running
        running += engine_signs.unseen_requests(state, one.name, running, at)
        load_per_slot = (running + 1) / max(1, one.slots) * factors.get(one.name, 1.0)
        load_per_slot += UNSTABLE_LOAD_COST if places.is_unstable(state, one.name, at) else 0.0
        return (
            load_per_slot
            + (0.0 if one.zone == state.zone else CROSS_ZONE_LOAD_COST)
            + 0.01 * state.rng.random()
        )

    return min(usable_endpoints, key=cost, default=None)


def _may_begin_at(state: State, one: Endpoint, stream: str, at: float) -> bool:
    """Return whether a stream may begin at an endpoint's build."""
    return builds.may_begin(state, one.service, one.build, at) and (
        one.build in builds.safe_builds(state, one.service)
        or builds.may_begin_anywhere(state, one.service, stream)
    )


def open_to(
    state: State, service: str, candidates: list[Candidate], stream: str
) -> list[Candidate]:
    """Return the decode engines at whose build a new stream may begin, by the stream's name."""
    safe = _at_safe_builds(state, service, candidates)
    if len(safe) == len(candidates) or builds.may_begin_anywhere(state, service, stream):
        return candidates
    return safe


def kept_for_others(state: State, service: str, candidates: list[Candidate]) -> list[str]:
    """Return the names of engines that a stream leaves to those that may begin only there."""
    safe = _at_safe_builds(state, service, candidates)
    return [one.endpoint.name for one in safe] if len(safe) < len(candidates) else []


def _at_safe_builds(state: State, service: str, candidates: list[Candidate]) -> list[Candidate]:
    safe = builds.safe_builds(state, service)
    return [one for one in candidates if one.endpoint.build in safe]


def hold_tokens(service: ServiceTraits, ask: Ask, events: int = 0) -> int:
    """Return the memory to reserve for a generation, as the number of tokens in whole blocks.

    Args:
        service: The service that the request is sent to.
        ask: The request.
        events: Number of events that this call has brought.
    """
    tokens = estimates.tokens_to_read(service, ask, events)
    return ((tokens + HOLD_OUTPUT_TOKENS) // BLOCK_TOKENS + 1) * BLOCK_TOKENS


def load_summary(state: State, service: str, at: float) -> dict[str, object]:
    """Return the load of a service's engines, for logging a refusal for lack of capacity."""
    decode_engines = directory.usable_endpoints(state, service, DECODE)
    loads = [places.load(state, one.name, at) for one in decode_engines]
    prefill_engines = directory.usable_endpoints(state, service, PREFILL)
    return {
        "engines": len(decode_engines),
        "running": sum(one.running for one in loads),
        "slots": sum(one.slots for one in decode_engines),
        "unreachable": sum(
            not health.is_usable(state, one.name) for one in decode_engines + prefill_engines
        ),
        "changing": sum(
            directory.is_busy(state, one.name, at) for one in decode_engines + prefill_engines
        ),
        "readers": len(prefill_engines),
        "reading": sum(places.load(state, one.name, at).reading for one in prefill_engines),
        "hosts_heard": len(neighbours.live_hosts(state, at)),
    }
