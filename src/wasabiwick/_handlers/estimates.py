"""Estimates, by service, the length of generations and the speed of prefill and decode.

All hosts estimate from what they measured together (`observations`). The priors (``PRIOR_*``) apply
before any request was seen. They assume streams of some seconds, and prompts of a size at which an
engine can use most of its slots.
"""

from .._forwarding import Ask, ServiceTraits
from .._observed import Observed
from .._settings import Settings
from .._state import State, state_slice
from . import observations, routes
from .memory import OVERDUE_TIME_S
from .predict import MovingAverage

PRIOR_OUTPUT_SHARE = 0.4  # Expected output as a share of the longest allowed.
# Seconds between two events of a stream; engines send one for every `EngineTraits.stride` tokens.
PRIOR_EVENT_INTERVAL_S = 0.048
PRIOR_STREAM_S = 3.0  # Seconds from a stream's first event to its last.
PRIOR_PROMPT_SLOT_SHARE = 0.85  # Mean prompt as a share of an engine's memory per slot.
PRIOR_PREFILL_RATE = 25_000.0  # Prompt tokens per second of a prefill engine.
PRIOR_PREFILL_BASE_S = 0.08  # Part of a prefill's time that does not depend on prompt length.
PRIOR_REQUESTS = 10.0  # Requests that weigh as much as the priors of sizes.
PRIOR_STREAMED_S = 1.0  # Seconds of a stream that weigh as much as the prior of its rate.
PRIOR_PREFILL_TOKENS = (0, 500)  # Prompts of the prefills that stand for the prior.
# Streams with fewer events than this do not count in the token rate. They look too fast, as their
# first events arrive together.
MIN_TIMED_EVENTS = 10
# Factor by which the prefill rate may differ from its prior. Prompts that seem to run alone may
# share their engine with those of a host not heard yet.
PREFILL_RATE_RANGE = 2.5


def _prefill(service: str, tokens: int, seconds: float) -> Observed:
    return Observed(
        service=service,
        prefills=1.0,
        prefill_tokens=tokens,
        prefill_seconds=seconds,
        prefill_tokens_squared=tokens**2,
        prefill_products=tokens * seconds,
    )


def _prior_prefills() -> Observed:
    sums = Observed(service="")
    for tokens in PRIOR_PREFILL_TOKENS:
        sums.add(_prefill("", tokens, PRIOR_PREFILL_BASE_S + tokens / PRIOR_PREFILL_RATE))
    return sums


PRIOR_PREFILL = _prior_prefills()


@state_slice("estimates")
class EstimatesState:
    """By route, the mean output as a share of the longest allowed."""

    __slots__ = ("outputs",)

    def __init__(self, cfg: Settings) -> None:
        self.outputs: dict[str, MovingAverage] = {}


def expected_output(state: State, route: str, ask: Ask) -> int:
    """Return the expected output of a generation, in tokens."""
    if ask.length_hint:
        return min(ask.length_hint, ask.max_tokens or ask.length_hint)
    mean_share = state["estimates"].outputs.get(route)
    output_share = mean_share.value if mean_share else PRIOR_OUTPUT_SHARE
    return int(output_share * ask.max_tokens)


def tokens_before(service: ServiceTraits, ask: Ask, events: int = 0) -> int:
    """Return the output that a caller has: from earlier calls, and ``events`` from this one.

    An identifier of an event that is no count of events is bounded by the longest output.
    """
    tokens = (ask.events_before + events) * service.engine.stride
    return min(tokens, ask.max_tokens) if ask.max_tokens else tokens


def tokens_to_read(service: ServiceTraits, ask: Ask, events: int = 0) -> int:
    """Return the tokens that an engine reads first: the prompt, and what the caller has."""
    return ask.prompt_tokens + tokens_before(service, ask, events)


def remaining_output(
    state: State, service: ServiceTraits, route: str, ask: Ask, events: int = 0
) -> int:
    """Return the expected output that a caller does not have yet, in tokens.

    Args:
        state: The host's state.
        service: The service that the request is sent to.
        route: Name of the route.
        ask: The request.
        events: Number of events that this call has brought.
    """
    expected = expected_output(state, route, ask)
    had = tokens_before(service, ask, events)
    if not had:
        return expected
    overdue_tokens = int(OVERDUE_TIME_S * token_rate(state, service.name))
    return max(expected - had, min(overdue_tokens, expected))


def mean_sizes(state: State, service: ServiceTraits) -> tuple[float, float]:
    """Return the mean prompt and output of a service's generations, in tokens."""
    slot_memory = service.engine.memory_tokens / service.engine.slots
    own, others = observations.pooled(state, service.name)
    requests = PRIOR_REQUESTS + own.requests + others.requests
    prompt = PRIOR_REQUESTS * PRIOR_PROMPT_SLOT_SHARE * slot_memory
    output = PRIOR_REQUESTS * PRIOR_STREAM_S * _prior_token_rate(service)
    return (
        (prompt + own.prompt_tokens + others.prompt_tokens) / requests,
        (output + own.output_tokens + others.output_tokens) / requests,
    )


def _prior_token_rate(service: ServiceTraits) -> float:
    return service.engine.stride / PRIOR_EVENT_INTERVAL_S


def token_rate(state: State, name: str) -> float:
    """Return the output tokens per second of a stream."""
    service = routes.service(state, name)
    known = service is not None and service.engine is not None
    prior = _prior_token_rate(service) if known else 1 / PRIOR_EVENT_INTERVAL_S
    own, others = observations.pooled(state, name)
    tokens = PRIOR_STREAMED_S * prior + own.streamed_tokens + others.streamed_tokens
    return tokens / (PRIOR_STREAMED_S + own.streamed_seconds + others.streamed_seconds)


def prefill_rate(state: State, service: str) -> float:
    """Return the prompt tokens per second of a prefill engine.

    It is the slope of a line through prefills, as each also takes a time that its prompt does not
    change.
    """
    return 1.0 / _prefill_line(state, service)[2]


def prefill_seconds(state: State, service: str, tokens: int) -> float:
    """Return the seconds that a prefill engine takes for a prompt that is its only one."""
    mean_tokens, mean_seconds, slope = _prefill_line(state, service)
    return max(tokens * slope, mean_seconds + (tokens - mean_tokens) * slope)


def _prefill_line(state: State, service: str) -> tuple[float, float, float]:
    """Return the mean tokens and seconds of prefills, and the seconds that a token adds."""
    own, others = observations.pooled(state, service)
    sources = (own, others, PRIOR_PREFILL)
    count = sum(one.prefills for one in sources)
    mean_tokens = sum(one.prefill_tokens for one in sources) / count
    variance = sum(one.prefill_tokens_squared for one in sources) / count - mean_tokens**2
    mean_seconds = sum(one.prefill_seconds for one in sources) / count
    products = sum(one.prefill_products for one in sources) / count
    covariance = products - mean_tokens * mean_seconds
    most = PREFILL_RATE_RANGE * PRIOR_PREFILL_RATE
    least = PRIOR_PREFILL_RATE / PREFILL_RATE_RANGE
    rate = max(least, variance / max(variance / most, covariance))
    return mean_tokens, mean_seconds, 1.0 / rate


def observe_sizes(state: State, service: ServiceTraits, route: str, ask: Ask, at: float) -> None:
    """Learn sizes when a request arrives; learning at its end would favour short streams."""
    expected = expected_output(state, route, ask)
    if ask.prompt_tokens and expected:
        measured = Observed(
            service=service.name,
            requests=1.0,
            prompt_tokens=ask.prompt_tokens,
            output_tokens=expected,
        )
        observations.observe(state, measured, at)


def observe_output(state: State, route: str, ask: Ask, tokens: int) -> None:
    """Learn a route's output share from a generation that ended."""
    if ask.max_tokens:
        mean_share = state["estimates"].outputs.setdefault(route, MovingAverage(PRIOR_OUTPUT_SHARE))
        mean_share.observe(min(1.0, tokens / ask.max_tokens))


def observe_token_rate(
    state: State, service: ServiceTraits, events: int, seconds: float, at: float
) -> None:
    """Learn the token rate from a stream that ended.

    Args:
        state: The host's state.
        service: The service that generated it.
        events: Events that the engine generated.
        seconds: Time from the stream's first event to its last.
        at: Monotonic time.
    """
    if events >= MIN_TIMED_EVENTS and seconds > 0.0:
        measured = Observed(
            service=service.name,
            streamed_tokens=events * service.engine.stride,
            streamed_seconds=seconds,
        )
        observations.observe(state, measured, at)


def observe_prefill(state: State, service: str, tokens: int, seconds: float, at: float) -> None:
    """Learn the prefill rate from a prompt that was the only one at its engine.

    Args:
        state: The host's state.
        service: Name of the service.
        tokens: Tokens of the prompt.
        seconds: Time from sending the prompt to the answer.
        at: Monotonic time.
    """
    if tokens > 0 and seconds > 0.0:
        observations.observe(state, _prefill(service, tokens, seconds), at)
