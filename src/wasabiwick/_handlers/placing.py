"""Placing: which endpoint gets a request.

Load patterns answered:

- Bursts of generations, where the KV cache of decode engines fills before anything else: an engine
  is chosen by the memory that its streams will need, not by asking engines one after another.
- Prefill engines that are lost or full while decode engines have places: those read prompts
  themselves, one at a time each, as two would hold up the streams of all others for too long.
- Prompts that arrive together: each goes to the prefill engine that is done with it first, in the
  decode engine's zone where that costs little time.
- Plain requests: the endpoint with the least work for its slots, in the own zone first.
"""

from .._forwarding import DECODE, PREFILL, Ask, Endpoint, StreamLoad
from .._state import State
from . import directory, estimates, health, neighbours, places, routes
from .memory import Projection

BLOCK_TOKENS = 16  # Engines give memory out in blocks of this size.
HOLD_OUTPUT = 64  # Output tokens that a hold takes in: what a stream needs to get under way.
CAUTION = 1.5  # Standard deviations of projected memory that are kept free.
MOST_READ_WAIT = 0.8  # Seconds of prefill wait at which no more prompts are sent to an engine.
OWN_READ_WAIT = 0.2  # Seconds, a prefill's own time, after which decode engines read prompts too.
IDLE_LOAD = 0.5  # Share of its slots up to which an engine has room for what slows others.
PREFILL_REFUSED_TIME = 0.3  # Seconds for which an engine that refused a prompt gets no other.
ZONE_TIME = 0.15  # Seconds of prefill wait that are accepted to keep the KV cache in its zone.
ZONE_LOAD = 1.0  # Work per slot of the own zone's best endpoint at which other zones are used.
SHAKY_LOAD = 1.0  # Work per slot that a plain service's endpoint counts with that failed lately.


class Candidate:
    """A decode engine as it is looked at for some requests in a row.

    ``reading`` counts the prompt tokens that it reads itself.
    """

    __slots__ = ("endpoint", "running", "reading", "slots", "memory", "projection")

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        running: int,
        reading: int,
        slots: int,
        memory: int,
        projection: Projection,
    ) -> None:
        self.endpoint = endpoint
        self.running = running
        self.reading = reading
        self.slots = slots
        self.memory = memory
        self.projection = projection

    def left(self, stream: StreamLoad) -> float | None:
        """Return the memory left with a stream added, in tokens; None if it has no place."""
        if self.running >= self.slots:
            return None
        left = self.memory - self.projection.worst(stream, CAUTION)
        # An idle engine takes any prompt that fits, however long its output may become.
        return left if left >= 0.0 or not self.running else None

    def add(self, stream: StreamLoad) -> None:
        """Count a stream that got its place here."""
        self.running += 1
        self.projection.add(stream)


def decode_candidates(state: State, service: str, at: float) -> list[Candidate]:
    """Return the decode engines of a service that may have places, as they are loaded now."""
    traits = routes.service(state, service)
    if traits is None or traits.engine is None:
        return []
    rate = estimates.token_rate(state, service)
    found = []
    for one in directory.usable(state, service, DECODE):
        if places.is_full(state, one.name, at) or not _takes_work(state, one, at):
            continue
        known = places.load(state, one.name, at)
        slots = min(one.slots, traits.engine.slots)
        if known.running >= slots:
            continue
        projection = Projection(at=at, rate=rate)
        for stream in known.streams:
            projection.add(stream)
        found.append(
            Candidate(
                endpoint=one,
                running=known.running,
                reading=known.reading,
                slots=slots,
                memory=traits.engine.memory_tokens,
                projection=projection,
            )
        )
    return found


def choose_decode(
    state: State,
    candidates: list[Candidate],
    stream: StreamLoad,
    at: float,
    avoid: list[str],
    warm: list[str],
) -> Candidate | None:
    """Return the engine with the most memory left that has a place.

    One that may have the prompt in its memory comes first. Engines that broke off a request lately
    come last, as its prompt would be prefilled in vain, and the own zone's first.

    Args:
        state: The host's state.
        candidates: Engines that may have places.
        stream: What the request will need.
        at: Monotonic time.
        avoid: Names of engines that are taken only where there is no other.
        warm: Names of engines that may have the prompt.
    """
    best: Candidate | None = None
    best_rank: tuple[bool, bool, bool, bool, float] | None = None
    for one in candidates:
        left = one.left(stream)
        if left is None:
            continue
        name, zone = one.endpoint.name, one.endpoint.zone
        rank = (
            name in warm,
            name not in avoid,
            not places.is_unstable(state, name, at),
            zone == state.zone,
            left,
        )
        if best_rank is None or rank > best_rank:
            best, best_rank = one, rank
    return best


def choose_prefill(
    state: State, service: str, zone: str, tokens: int, at: float, avoid: list[str], warm: list[str]
) -> Endpoint | None:
    """Return the prefill engine that is done with a prompt first, or None if there is none.

    Args:
        state: The host's state.
        service: Name of the service.
        zone: Availability zone of the decode engine.
        tokens: Length of the prompt.
        at: Monotonic time.
        avoid: Names of engines that are taken only where there is no other.
        warm: Names of engines that may have the prompt.
    """
    rate = estimates.prefill_rate(state, service)

    def cost(one: Endpoint) -> tuple[bool, bool, float]:
        wait = (places.load(state, one.name, at).reading + tokens) / rate
        return (
            one.name not in warm,
            one.name in avoid,
            wait + (0.0 if one.zone == zone else ZONE_TIME),
        )

    return min(_readers(state, service, at), key=cost, default=None)


def _readers(state: State, service: str, at: float) -> list[Endpoint]:
    able = directory.usable(state, service, PREFILL)
    return [
        one
        for one in able
        if not places.is_full(state, one.name, at) and _takes_work(state, one, at)
    ]


def prefill_backlog_seconds(state: State, service: str, endpoint: str, at: float) -> float:
    """Return the seconds that an engine should take for all prompts that it was sent."""
    reading = places.load(state, endpoint, at).reading
    return reading / estimates.prefill_rate(state, service)


def can_prefill(state: State, service: str, at: float, pending: int) -> bool:
    """Tell whether a prompt would be prefilled before long.

    Args:
        state: The host's state.
        service: Name of the service.
        at: Monotonic time.
        pending: Prompt tokens of calls that are about to be prefilled.
    """
    rate = estimates.prefill_rate(state, service)
    readers = _readers(state, service, at)
    reading = pending + sum(places.load(state, one.name, at).reading for one in readers)
    return bool(readers) and reading / (rate * len(readers)) < MOST_READ_WAIT


def has_idle_engine(candidates: list[Candidate]) -> bool:
    """Tell whether a decode engine has half of its slots free."""
    return any(one.running <= IDLE_LOAD * one.slots for one in candidates)


def self_prefill_candidates(
    state: State, service: str, candidates: list[Candidate], waited: float
) -> list[Candidate]:
    """Return the decode engines that may read a prompt themselves, between their streams' tokens.

    That takes twice as long and slows those streams. So where a prefill engine is left, a request
    waits for it first, and then only engines with half of their slots free read prompts.

    Args:
        state: The host's state.
        service: Name of the service.
        candidates: Decode engines that may have places.
        waited: Seconds for which the request has waited.
    """
    idle = [one for one in candidates if not one.reading]
    listed = directory.usable(state, service, PREFILL)
    if not any(health.is_usable(state, one.name) for one in listed):
        return idle
    if waited < OWN_READ_WAIT:
        return []
    return [one for one in idle if one.running <= IDLE_LOAD * one.slots]


def _takes_work(state: State, one: Endpoint, at: float) -> bool:
    return health.is_usable(state, one.name) and not directory.is_busy(state, one.name, at)


def connection_limit(state: State, service: str, at: float) -> int:
    """Return how many connections this host may have to one endpoint of a service."""
    traits = routes.service(state, service)
    most = traits.max_connections if traits else 1
    return max(1, most // neighbours.host_count(state, at))


def _own_running(state: State, endpoint: str) -> int:
    own = state["places"].own.get(endpoint)
    return own.running if own else 0


def choose_plain(state: State, service: str, at: float, avoid: list[str]) -> Endpoint | None:
    """Return the endpoint of a plain service with the least work for its slots, or None."""
    most = connection_limit(state, service, at)
    able = [
        one
        for one in directory.usable(state, service)
        if one.name not in avoid and _own_running(state, one.name) < most
    ]
    usable = [one for one in able if health.is_usable(state, one.name)] or able

    def cost(one: Endpoint) -> float:
        work = (places.load(state, one.name, at).running + 1) / max(1, one.slots)
        work += SHAKY_LOAD if places.is_unstable(state, one.name, at) else 0.0
        return work + (0.0 if one.zone == state.zone else ZONE_LOAD) + 0.01 * state.rng.random()

    return min(usable, key=cost, default=None)


def hold_tokens(ask: Ask) -> int:
    """Return the memory to hold for a generation, in tokens of whole blocks."""
    return ((ask.prompt_tokens + HOLD_OUTPUT) // BLOCK_TOKENS + 1) * BLOCK_TOKENS


def load_summary(state: State, service: str, at: float) -> dict[str, object]:
    """Return what a refusal for lack of room rests on, for its log line."""
    engines = directory.usable(state, service, DECODE)
    loads = [places.load(state, one.name, at) for one in engines]
    readers = directory.usable(state, service, PREFILL)
    return {
        "engines": len(engines),
        "running": sum(one.running for one in loads),
        "slots": sum(one.slots for one in engines),
        "unreachable": sum(not health.is_usable(state, one.name) for one in engines + readers),
        "changing": sum(directory.is_busy(state, one.name, at) for one in engines + readers),
        "readers": len(readers),
        "reading": sum(places.load(state, one.name, at).reading for one in readers),
        "hosts_heard": len(neighbours.live(state, at)),
    }
