"""Places at endpoints: the ledger of what is under way, and the choice of an endpoint.

Load patterns answered:

- Bursts of generations, where the KV cache of decode engines fills before anything else: an engine
  is chosen by the memory that its streams will need, not by asking engines one after another.
- Prompts that arrive together: each goes to the prefill engine that is done with it first, in the
  decode engine's zone where that costs little time.
- Plain requests: the endpoint with the least work for its slots, in the own zone first.
"""

from .._forwarding import DECODE, PREFILL, Ask, Endpoint, EndpointLoad
from .._settings import Settings
from .._state import State, state_slice
from . import directory, health, neighbours, routes
from .predict import Mean, Rate

BLOCK_TOKENS = 16  # Engines give memory out in blocks of this size.
GROWTH_SHARE = 0.75  # Share of its output that a stream is counted with: few are at their end.
PRIOR_OUTPUT_SHARE = 0.4  # Expected output as a share of the longest, before any was seen.
PRIOR_READ_RATE = 16_000.0  # Prompt tokens per second of a prefill engine; engines differ.
ZONE_TIME = 0.15  # Seconds of prefill wait that are accepted to keep the KV cache in its zone.
ZONE_LOAD = 1.0  # Work per slot of the own zone's best endpoint at which other zones are used.
FULL_TIME = 0.06  # Seconds for which an engine that refused a hold is not asked again.


@state_slice("places")
class PlacesState:
    """This host's load at endpoints, engines that were full lately, and learned sizes and rates."""

    __slots__ = ("own", "full_until", "outputs", "read_rate")

    def __init__(self, cfg: Settings) -> None:
        self.own: dict[str, EndpointLoad] = {}
        self.full_until: dict[str, float] = {}
        self.outputs: dict[str, Mean] = {}  # Output as a share of the longest, by route.
        self.read_rate = Rate(PRIOR_READ_RATE)


def add(
    state: State, endpoint: str, *, running: int = 0, tokens: int = 0, reading: int = 0
) -> None:
    """Change this host's load at an endpoint."""
    own = state["places"].own
    load = own.setdefault(endpoint, EndpointLoad())
    load.running += running
    load.tokens += tokens
    load.reading += reading
    if not (load.running or load.tokens or load.reading):
        del own[endpoint]


@neighbours.load_source
def loads(state: State) -> tuple[dict[str, EndpointLoad], int]:
    """Return copies of this host's loads."""
    own = state["places"].own
    return {
        name: EndpointLoad(running=one.running, tokens=one.tokens, reading=one.reading)
        for name, one in own.items()
    }, 0


def load(state: State, endpoint: str, at: float) -> EndpointLoad:
    """Return what all hosts have under way at an endpoint, as far as this one knows."""
    total = neighbours.load_at(state, endpoint, at)
    own = state["places"].own.get(endpoint)
    if own:
        total.running += own.running
        total.tokens += own.tokens
        total.reading += own.reading
    return total


def expected_output(state: State, route: str, ask: Ask) -> int:
    """Return how many tokens a generation is expected to put out."""
    if ask.length_hint:
        return min(ask.length_hint, ask.max_tokens or ask.length_hint)
    mean = state["places"].outputs.get(route)
    share = mean.value if mean else PRIOR_OUTPUT_SHARE
    return int(share * ask.max_tokens)


def observe_output(state: State, route: str, ask: Ask, tokens: int) -> None:
    """Learn from a generation that ended."""
    if ask.max_tokens:
        mean = state["places"].outputs.setdefault(route, Mean(PRIOR_OUTPUT_SHARE))
        mean.observe(min(1.0, tokens / ask.max_tokens))


def memory_need(state: State, route: str, ask: Ask) -> int:
    """Return the memory to hold for a generation, in tokens of whole blocks."""
    tokens = ask.prompt_tokens + expected_output(state, route, ask)
    return (tokens // BLOCK_TOKENS + 1) * BLOCK_TOKENS


def counted_need(state: State, route: str, ask: Ask) -> int:
    """Return the memory that a generation counts with in the ledger, in tokens."""
    return ask.prompt_tokens + int(GROWTH_SHARE * expected_output(state, route, ask))


def mark_full(state: State, endpoint: str, at: float) -> None:
    """Note that an engine refused work for lack of room."""
    state["places"].full_until[endpoint] = at + FULL_TIME


def choose_decode(
    state: State, service: str, tokens: int, at: float, avoid: list[str]
) -> Endpoint | None:
    """Return the engine with the most memory left that has a place, in the own zone first."""
    traits = routes.service(state, service)
    if traits is None or traits.engine is None:
        return None
    best: Endpoint | None = None
    best_rank: tuple[bool, bool, float] | None = None
    for one in directory.usable(state, service, DECODE):
        if state["places"].full_until.get(one.name, 0.0) > at or not health.usable(state, one.name):
            continue
        known = load(state, one.name, at)
        free = traits.engine.memory_tokens - known.tokens - tokens
        if known.running >= traits.engine.slots or free < 0:
            continue
        rank = (one.name not in avoid, one.zone == state.zone, free)
        if best_rank is None or rank > best_rank:
            best, best_rank = one, rank
    return best


def choose_prefill(
    state: State, service: str, zone: str, tokens: int, at: float, avoid: list[str]
) -> Endpoint | None:
    """Return the prefill engine that is done with a prompt first, or None if there is none."""
    rate = state["places"].read_rate

    def cost(one: Endpoint) -> tuple[bool, float]:
        wait = rate.seconds(load(state, one.name, at).reading + tokens)
        return one.name in avoid, wait + (0.0 if one.zone == zone else ZONE_TIME)

    able = directory.usable(state, service, PREFILL)
    usable = [one for one in able if health.usable(state, one.name)]
    return min(usable, key=cost, default=None)


def choose_plain(state: State, service: str, at: float, avoid: list[str]) -> Endpoint | None:
    """Return the endpoint of a plain service with the least work for its slots, or None."""
    able = [one for one in directory.usable(state, service) if one.name not in avoid]
    usable = [one for one in able if health.usable(state, one.name)] or able

    def cost(one: Endpoint) -> float:
        work = (load(state, one.name, at).running + 1) / max(1, one.slots)
        return work + (0.0 if one.zone == state.zone else ZONE_LOAD) + 0.01 * state.rng.random()

    return min(usable, key=cost, default=None)
