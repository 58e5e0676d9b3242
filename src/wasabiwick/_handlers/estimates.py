"""Estimates of generations: how long they are, and how fast engines read and write, by service.

Each host learns from the requests that it serves itself. Before any was seen, streams are taken to
be as large as lets an engine use all of its slots.
"""

from .._forwarding import Ask, ServiceTraits
from .._settings import Settings
from .._state import State, state_slice
from .predict import IntervalModel, MovingAverage, Rate

PRIOR_OUTPUT_SHARE = 0.4  # Expected output as a share of the longest, before any was seen.
PRIOR_TOKEN_RATE = 250.0  # Tokens per second of a stream, before any was seen.
PRIOR_PROMPT_SHARE = 0.85  # Prompt and output of a stream as shares of an engine's memory
PRIOR_OUTPUT_OF_PLACE = 0.25  # per slot, before any was seen.
PRIOR_READ_RATE = 25_000.0  # Prompt tokens per second of a prefill engine, before any was seen,
PRIOR_READ_BASE = 0.08  # and the seconds that a prefill takes besides.
LEAST_TIMED = 120  # Tokens; the first ones come at once, so that short streams look too fast.
READ_SPAN = 2_000  # Tokens over which the rate is taken from the line of times.
READ_RANGE = 1.5  # Factor by which the learned rate may differ: few prompts are read alone.


class ServiceEstimates:
    """What was learned of one service; ``prompt`` and ``output`` are None before any was seen."""

    __slots__ = ("prompt", "output", "token_rate", "read_line")

    def __init__(self) -> None:
        self.prompt: MovingAverage | None = None
        self.output: MovingAverage | None = None
        self.token_rate = Rate(PRIOR_TOKEN_RATE)
        self.read_line = IntervalModel(base=PRIOR_READ_BASE, slope=1 / PRIOR_READ_RATE)


@state_slice("estimates")
class EstimatesState:
    """Estimates by service, and output as a share of the longest by route."""

    __slots__ = ("services", "outputs")

    def __init__(self, cfg: Settings) -> None:
        self.services: dict[str, ServiceEstimates] = {}
        self.outputs: dict[str, MovingAverage] = {}


def _of(state: State, service: str) -> ServiceEstimates:
    services = state["estimates"].services
    if service not in services:
        services[service] = ServiceEstimates()
    return services[service]


def expected_output(state: State, route: str, ask: Ask) -> int:
    """Return how many tokens a generation is expected to put out."""
    if ask.length_hint:
        return min(ask.length_hint, ask.max_tokens or ask.length_hint)
    mean = state["estimates"].outputs.get(route)
    share = mean.value if mean else PRIOR_OUTPUT_SHARE
    return int(share * ask.max_tokens)


def mean_sizes(state: State, service: ServiceTraits) -> tuple[float, float]:
    """Return the mean prompt and output of a service's generations, in tokens."""
    mine = _of(state, service.name)
    place = service.engine.memory_tokens / service.engine.slots
    return (
        mine.prompt.value if mine.prompt else PRIOR_PROMPT_SHARE * place,
        mine.output.value if mine.output else PRIOR_OUTPUT_OF_PLACE * place,
    )


def token_rate(state: State, service: str) -> float:
    """Return the tokens per second that a stream puts out."""
    return _of(state, service).token_rate.per_second


def prefill_rate(state: State, service: str) -> float:
    """Return the prompt tokens per second that a prefill engine gets through."""
    line = _of(state, service).read_line
    seconds = line.at(2 * READ_SPAN) - line.at(READ_SPAN)
    usual = READ_SPAN / PRIOR_READ_RATE
    return READ_SPAN / min(READ_RANGE * usual, max(usual / READ_RANGE, seconds))


def observe_sizes(state: State, service: ServiceTraits, route: str, ask: Ask) -> None:
    """Learn from a request that came in: those that end first would tell of short ones only."""
    mine = _of(state, service.name)
    prompt, output = mean_sizes(state, service)
    expected = expected_output(state, route, ask)
    if ask.prompt_tokens and expected:
        mine.prompt = mine.prompt or MovingAverage(prompt)
        mine.output = mine.output or MovingAverage(output)
        mine.prompt.observe(ask.prompt_tokens)
        mine.output.observe(expected)


def observe_output(state: State, route: str, ask: Ask, tokens: int) -> None:
    """Learn from a generation that ended."""
    if ask.max_tokens:
        mean = state["estimates"].outputs.setdefault(route, MovingAverage(PRIOR_OUTPUT_SHARE))
        mean.observe(min(1.0, tokens / ask.max_tokens))


def observe_token_rate(state: State, service: str, tokens: int, seconds: float) -> None:
    """Learn from a stream that ended how fast engines put tokens out.

    Args:
        state: The host's state.
        service: Name of the service.
        tokens: Tokens that an engine put out.
        seconds: Time from its first event to its last.
    """
    if tokens >= LEAST_TIMED:
        _of(state, service).token_rate.observe(tokens, seconds)


def observe_prefill(state: State, service: str, tokens: int, seconds: float) -> None:
    """Learn from a prompt that an engine had for itself; a part of its time is the same for all.

    Args:
        state: The host's state.
        service: Name of the service.
        tokens: Tokens of the prompt.
        seconds: Time from sending it to the answer.
    """
    _of(state, service).read_line.observe(tokens, seconds)
