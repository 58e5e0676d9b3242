"""Places at endpoints: the ledger of what is under way, and the choice of an endpoint.

Load patterns answered:

- Bursts of generations, where the KV cache of decode engines fills before anything else: an engine
  is chosen by the memory that its streams will need, not by asking engines one after another.
- Prompts that arrive together: each goes to the prefill engine that is done with it first, in the
  decode engine's zone where that costs little time.
- Plain requests: the endpoint with the least work for its slots, in the own zone first.
"""

from .._forwarding import DECODE, PREFILL, Ask, Endpoint, EndpointLoad, ServiceTraits, StreamLoad
from .._settings import Settings
from .._state import State, state_slice
from . import directory, health, neighbours, routes
from .memory import READY_TIME, Projection
from .predict import IntervalLine, Mean, Rate

BLOCK_TOKENS = 16  # Engines give memory out in blocks of this size.
HOLD_OUTPUT = 64  # Output tokens that a hold takes in: what a stream needs to get under way.
CAUTION = 1.5  # Standard deviations of projected memory that are kept free.
PRIOR_OUTPUT_SHARE = 0.4  # Expected output as a share of the longest, before any was seen.
PRIOR_TOKEN_RATE = 250.0  # Tokens per second of a stream, before any was seen.
PRIOR_PROMPT_SHARE = 0.85  # Prompt and output of a stream as shares of an engine's memory
PRIOR_OUTPUT_OF_PLACE = 0.25  # per slot, before any was seen.
PRIOR_READ_RATE = 25_000.0  # Prompt tokens per second of a prefill engine, before any was seen,
PRIOR_READ_BASE = 0.08  # and the seconds that a prefill takes besides.
READ_SPAN = 2_000  # Tokens over which the rate is taken from the line of times.
READ_RANGE = 1.5  # Factor by which the learned rate may differ: few prompts are read alone.
MOST_READ_WAIT = 0.8  # Seconds of prefill wait at which no more prompts are sent to an engine.
REFUSED_TIME = 0.3  # Seconds for which a prefill engine that refused a prompt gets no other.
ZONE_TIME = 0.15  # Seconds of prefill wait that are accepted to keep the KV cache in its zone.
ZONE_LOAD = 1.0  # Work per slot of the own zone's best endpoint at which other zones are used.
SHAKY_TIME = 1.5  # Seconds; such faults last for seconds, and a place is used for three.
SHAKY_LOAD = 1.0  # Work per slot that such an endpoint of a plain service counts with.
FULL_TIME = 0.06  # Seconds for which an engine that refused a hold is not asked again.


class OwnLoad:
    """What this host has under way at one endpoint; streams by call id."""

    __slots__ = ("running", "reading", "streams")

    def __init__(self) -> None:
        self.running = 0
        self.reading = 0
        self.streams: dict[str, StreamLoad] = {}


@state_slice("places")
class PlacesState:
    """This host's load at endpoints, engines that were full lately, and learned sizes and rates."""

    __slots__ = (
        "own",
        "full_until",
        "shaky_until",
        "outputs",
        "prompts",
        "sizes",
        "token_rate",
        "read_line",
    )

    def __init__(self, cfg: Settings) -> None:
        self.own: dict[str, OwnLoad] = {}
        self.full_until: dict[str, float] = {}
        self.shaky_until: dict[str, float] = {}
        self.outputs: dict[str, Mean] = {}  # Output as a share of the longest, by route.
        self.prompts: dict[str, Mean] = {}  # Tokens, by service.
        self.sizes: dict[str, Mean] = {}  # Output tokens, by service.
        self.token_rate = Rate(PRIOR_TOKEN_RATE)
        self.read_line = IntervalLine(base=PRIOR_READ_BASE, slope=1 / PRIOR_READ_RATE)


def take(state: State, endpoint: str, call_id: str, stream: StreamLoad | None) -> None:
    """Count a request at an endpoint, with the stream's length if it is one."""
    own = state["places"].own.setdefault(endpoint, OwnLoad())
    own.running += 1
    if stream is not None:
        own.streams[call_id] = stream


def begin_stream(state: State, endpoint: str, call_id: str, at: float) -> None:
    """Note that a stream's first token has come."""
    own = state["places"].own.get(endpoint)
    if own and call_id in own.streams:
        own.streams[call_id].begins = at


def give_back(state: State, endpoint: str, call_id: str) -> None:
    """Take a request out of an endpoint's ledger."""
    own = state["places"].own[endpoint]
    own.running -= 1
    own.streams.pop(call_id, None)
    _forget_idle(state, endpoint)


def add_reading(state: State, endpoint: str, tokens: int) -> None:
    """Change the prompt tokens that an engine was asked to prefill."""
    state["places"].own.setdefault(endpoint, OwnLoad()).reading += tokens
    _forget_idle(state, endpoint)


def _forget_idle(state: State, endpoint: str) -> None:
    own = state["places"].own[endpoint]
    if not (own.running or own.reading):
        del state["places"].own[endpoint]


@neighbours.load_source
def loads(state: State) -> dict[str, EndpointLoad]:
    """Return copies of this host's loads."""
    return {
        name: EndpointLoad(
            running=one.running, reading=one.reading, streams=tuple(one.streams.values())
        )
        for name, one in state["places"].own.items()
    }


def load(state: State, endpoint: str, at: float) -> EndpointLoad:
    """Return what all hosts have under way at an endpoint, as far as this one knows."""
    total = neighbours.load_at(state, endpoint, at)
    own = state["places"].own.get(endpoint)
    if own:
        total.running += own.running
        total.reading += own.reading
        total.streams += tuple(own.streams.values())
    return total


def expected_output(state: State, route: str, ask: Ask) -> int:
    """Return how many tokens a generation is expected to put out."""
    if ask.length_hint:
        return min(ask.length_hint, ask.max_tokens or ask.length_hint)
    mean = state["places"].outputs.get(route)
    share = mean.value if mean else PRIOR_OUTPUT_SHARE
    return int(share * ask.max_tokens)


def observe_sizes(state: State, service: ServiceTraits, route: str, ask: Ask) -> None:
    """Learn from a request that came in: those that end first would tell of short ones only."""
    mine = state["places"]
    prompt, output = mean_sizes(state, service)
    expected = expected_output(state, route, ask)
    if ask.prompt_tokens and expected:
        mine.prompts.setdefault(service.name, Mean(prompt)).observe(ask.prompt_tokens)
        mine.sizes.setdefault(service.name, Mean(output)).observe(expected)


def observe_read(state: State, tokens: int, seconds: float) -> None:
    """Learn from a prompt that an engine had for itself; a part of its time is the same for all."""
    state["places"].read_line.observe(tokens, seconds)


def read_rate(state: State) -> float:
    """Return the prompt tokens per second that a prefill engine gets through."""
    line = state["places"].read_line
    seconds = line.at(2 * READ_SPAN) - line.at(READ_SPAN)
    usual = READ_SPAN / PRIOR_READ_RATE
    return READ_SPAN / min(READ_RANGE * usual, max(usual / READ_RANGE, seconds))


def mean_sizes(state: State, service: ServiceTraits) -> tuple[float, float]:
    """Return the mean prompt and output of a service's generations, in tokens.

    Before any was seen, streams are taken to be as large as lets an engine use all of its slots.
    """
    mine = state["places"]
    place = service.engine.memory_tokens / service.engine.slots
    prompt = mine.prompts.get(service.name)
    output = mine.sizes.get(service.name)
    return (
        prompt.value if prompt else PRIOR_PROMPT_SHARE * place,
        output.value if output else PRIOR_OUTPUT_OF_PLACE * place,
    )


def observe_output(state: State, route: str, ask: Ask, tokens: int) -> None:
    """Learn from a generation that ended."""
    if ask.max_tokens:
        mean = state["places"].outputs.setdefault(route, Mean(PRIOR_OUTPUT_SHARE))
        mean.observe(min(1.0, tokens / ask.max_tokens))


def stream_load(state: State, route: str, ask: Ask, at: float) -> StreamLoad:
    """Return what is expected of a stream that gets its place now."""
    expected = expected_output(state, route, ask)
    return StreamLoad(prompt=ask.prompt_tokens, expected=expected, begins=at + READY_TIME)


def hold_tokens(ask: Ask) -> int:
    """Return the memory to hold for a generation, in tokens of whole blocks."""
    return ((ask.prompt_tokens + HOLD_OUTPUT) // BLOCK_TOKENS + 1) * BLOCK_TOKENS


def mark_full(state: State, endpoint: str, at: float, seconds: float = FULL_TIME) -> None:
    """Note that an engine refused work for lack of room."""
    state["places"].full_until[endpoint] = at + seconds


def summary(state: State, service: str, at: float) -> dict[str, object]:
    """Return what a refusal for lack of room rests on, for its log line."""
    engines = directory.usable(state, service, DECODE)
    loads_ = [load(state, one.name, at) for one in engines]
    readers = directory.usable(state, service, PREFILL)
    return {
        "engines": len(engines),
        "running": sum(one.running for one in loads_),
        "slots": sum(one.slots for one in engines),
        "unreachable": sum(not health.usable(state, one.name) for one in engines + readers),
        "changing": sum(directory.is_busy(state, one.name, at) for one in engines + readers),
        "readers": len(readers),
        "reading": sum(load(state, one.name, at).reading for one in readers),
        "hosts_heard": len(neighbours.live(state, at)),
    }


class Candidate:
    """A decode engine as it is looked at for some requests in a row."""

    __slots__ = ("endpoint", "running", "slots", "memory", "projection")

    def __init__(
        self, *, endpoint: Endpoint, running: int, slots: int, memory: int, projection: Projection
    ) -> None:
        self.endpoint = endpoint
        self.running = running
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


def survey(state: State, service: str, at: float) -> list[Candidate]:
    """Return the decode engines of a service that may have places, as they are loaded now."""
    traits = routes.service(state, service)
    if traits is None or traits.engine is None:
        return []
    mine = state["places"]
    found = []
    for one in directory.usable(state, service, DECODE):
        if mine.full_until.get(one.name, 0.0) > at or not _takes_work(state, one, at):
            continue
        known = load(state, one.name, at)
        slots = min(one.slots, traits.engine.slots)
        if known.running >= slots:
            continue
        projection = Projection(at=at, rate=mine.token_rate.per_second)
        for stream in known.streams:
            projection.add(stream)
        found.append(
            Candidate(
                endpoint=one,
                running=known.running,
                slots=slots,
                memory=traits.engine.memory_tokens,
                projection=projection,
            )
        )
    return found


def mark_shaky(state: State, endpoint: str, at: float) -> None:
    """Note that an endpoint broke off a request, which may happen again."""
    state["places"].shaky_until[endpoint] = at + SHAKY_TIME


def is_shaky(state: State, endpoint: str, at: float) -> bool:
    """Tell whether an endpoint broke off a request lately."""
    return state["places"].shaky_until.get(endpoint, 0.0) > at


def choose_decode(
    state: State, candidates: list[Candidate], stream: StreamLoad, at: float, avoid: list[str]
) -> Candidate | None:
    """Return the engine with the most memory left that has a place.

    Engines that broke off a request lately come last, as its prompt would be prefilled in vain, and
    the own zone's first.
    """
    best: Candidate | None = None
    best_rank: tuple[bool, bool, bool, float] | None = None
    for one in candidates:
        left = one.left(stream)
        if left is None:
            continue
        name, zone = one.endpoint.name, one.endpoint.zone
        rank = (name not in avoid, not is_shaky(state, name, at), zone == state.zone, left)
        if best_rank is None or rank > best_rank:
            best, best_rank = one, rank
    return best


def choose_prefill(
    state: State, service: str, zone: str, tokens: int, at: float, avoid: list[str]
) -> Endpoint | None:
    """Return the prefill engine that is done with a prompt first, or None if there is none."""
    rate = read_rate(state)

    def cost(one: Endpoint) -> tuple[bool, float]:
        wait = (load(state, one.name, at).reading + tokens) / rate
        return one.name in avoid, wait + (0.0 if one.zone == zone else ZONE_TIME)

    return min(_readers(state, service, at), key=cost, default=None)


def _readers(state: State, service: str, at: float) -> list[Endpoint]:
    full = state["places"].full_until
    able = directory.usable(state, service, PREFILL)
    return [one for one in able if full.get(one.name, 0.0) <= at and _takes_work(state, one, at)]


def can_read(state: State, service: str, at: float, pending: int) -> bool:
    """Tell whether a prompt would be prefilled before long.

    Where no prefill engine is left, decode engines read prompts themselves.

    Args:
        state: The host's state.
        service: Name of the service.
        at: Monotonic time.
        pending: Prompt tokens of calls that are about to be prefilled.
    """
    listed = directory.usable(state, service, PREFILL)
    if not any(health.usable(state, one.name) for one in listed):
        return True
    rate = read_rate(state)
    readers = _readers(state, service, at)
    reading = pending + sum(load(state, one.name, at).reading for one in readers)
    return bool(readers) and reading / (rate * len(readers)) < MOST_READ_WAIT


def _takes_work(state: State, one: Endpoint, at: float) -> bool:
    return health.usable(state, one.name) and not directory.is_busy(state, one.name, at)


def connections(state: State, service: str, at: float) -> int:
    """Return how many connections this host may have to one endpoint of a service."""
    traits = routes.service(state, service)
    most = traits.max_connections if traits else 1
    return max(1, most // neighbours.count(state, at))


def _own_running(state: State, endpoint: str) -> int:
    own = state["places"].own.get(endpoint)
    return own.running if own else 0


def choose_plain(state: State, service: str, at: float, avoid: list[str]) -> Endpoint | None:
    """Return the endpoint of a plain service with the least work for its slots, or None."""
    most = connections(state, service, at)
    able = [
        one
        for one in directory.usable(state, service)
        if one.name not in avoid and _own_running(state, one.name) < most
    ]
    usable = [one for one in able if health.usable(state, one.name)] or able

    def cost(one: Endpoint) -> float:
        work = (load(state, one.name, at).running + 1) / max(1, one.slots)
        work += SHAKY_LOAD if is_shaky(state, one.name, at) else 0.0
        return work + (0.0 if one.zone == state.zone else ZONE_LOAD) + 0.01 * state.rng.random()

    return min(usable, key=cost, default=None)
