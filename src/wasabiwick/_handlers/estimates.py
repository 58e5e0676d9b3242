"""Estimates, by service, the length of generations and the speed of prefill and decode.

Each host learns from the requests that it serves itself. The priors (``PRIOR_*``) apply before
any request was seen. They assume streams of a size at which an engine can use all of its slots.
"""

from .._forwarding import Ask, ServiceTraits
from .._settings import Settings
from .._state import State, state_slice
from . import routes
from .memory import OVERDUE_TIME_S
from .predict import IntervalModel, MovingAverage, Rate

PRIOR_OUTPUT_SHARE = 0.4  # Expected output as a share of the longest allowed.
# Seconds between two events of a stream; engines send one for every `EngineTraits.stride` tokens.
PRIOR_EVENT_INTERVAL_S = 0.048
PRIOR_PROMPT_SLOT_SHARE = 0.85  # Mean prompt as a share of an engine's memory per slot.
PRIOR_OUTPUT_SLOT_SHARE = 0.25  # Mean output as a share of an engine's memory per slot.
PRIOR_PREFILL_RATE = 25_000.0  # Prompt tokens per second of a prefill engine.
PRIOR_PREFILL_BASE_S = 0.08  # Part of a prefill's time that does not depend on prompt length.
# Streams with fewer events than this do not count in the token rate. They look too fast, as their
# first events arrive together.
MIN_TIMED_EVENTS = 10
RATE_SPAN_TOKENS = 2_000  # Difference in prompt length over which the prefill rate is computed.
# Factor by which the prefill rate may differ from its prior. The rate is learned from few prefills,
# as only those that run alone are timed.
PREFILL_RATE_RANGE = 1.5


class ServiceEstimates:
    """Estimates for one service; ``prompt`` and ``output`` are None before any request was seen."""

    __slots__ = ("prompt", "output", "token_rate", "prefill_model")

    def __init__(self, *, stride: int) -> None:
        self.prompt: MovingAverage | None = None
        self.output: MovingAverage | None = None
        self.token_rate = Rate(stride / PRIOR_EVENT_INTERVAL_S)
        self.prefill_model = IntervalModel(base=PRIOR_PREFILL_BASE_S, slope=1 / PRIOR_PREFILL_RATE)


@state_slice("estimates")
class EstimatesState:
    """Estimates by service, and by route the mean output as a share of the longest allowed."""

    __slots__ = ("services", "outputs")

    def __init__(self, cfg: Settings) -> None:
        self.services: dict[str, ServiceEstimates] = {}
        self.outputs: dict[str, MovingAverage] = {}


def _estimates_of(state: State, service: str) -> ServiceEstimates:
    services = state["estimates"].services
    if service not in services:
        traits = routes.service(state, service)
        known = traits is not None and traits.engine is not None
        services[service] = ServiceEstimates(stride=traits.engine.stride if known else 1)
    return services[service]


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
    service_estimates = _estimates_of(state, service.name)
    slot_memory = service.engine.memory_tokens / service.engine.slots
    return (
        (
            service_estimates.prompt.value
            if service_estimates.prompt
            else PRIOR_PROMPT_SLOT_SHARE * slot_memory
        ),
        (
            service_estimates.output.value
            if service_estimates.output
            else PRIOR_OUTPUT_SLOT_SHARE * slot_memory
        ),
    )


def token_rate(state: State, service: str) -> float:
    """Return the output tokens per second of a stream."""
    return _estimates_of(state, service).token_rate.per_second


def prefill_rate(state: State, service: str) -> float:
    """Return the prompt tokens per second of a prefill engine."""
    model = _estimates_of(state, service).prefill_model
    span_seconds = model.at(2 * RATE_SPAN_TOKENS) - model.at(RATE_SPAN_TOKENS)
    prior_seconds = RATE_SPAN_TOKENS / PRIOR_PREFILL_RATE
    return RATE_SPAN_TOKENS / min(
        PREFILL_RATE_RANGE * prior_seconds, max(prior_seconds / PREFILL_RATE_RANGE, span_seconds)
    )


def observe_sizes(state: State, service: ServiceTraits, route: str, ask: Ask) -> None:
    """Learn sizes when a request arrives; learning at its end would favour short streams."""
    service_estimates = _estimates_of(state, service.name)
    prompt, output = mean_sizes(state, service)
    expected = expected_output(state, route, ask)
    if ask.prompt_tokens and expected:
        service_estimates.prompt = service_estimates.prompt or MovingAverage(prompt)
        service_estimates.output = service_estimates.output or MovingAverage(output)
        service_estimates.prompt.observe(ask.prompt_tokens)
        service_estimates.output.observe(expected)


def observe_output(state: State, route: str, ask: Ask, tokens: int) -> None:
    """Learn a route's output share from a generation that ended."""
    if ask.max_tokens:
        mean_share = state["estimates"].outputs.setdefault(route, MovingAverage(PRIOR_OUTPUT_SHARE))
        mean_share.observe(min(1.0, tokens / ask.max_tokens))


def observe_token_rate(state: State, service: ServiceTraits, events: int, seconds: float) -> None:
    """Learn the token rate from a stream that ended.

    Args:
        state: The host's state.
        service: The service that generated it.
        events: Events that the engine generated.
        seconds: Time from the stream's first event to its last.
    """
    if events >= MIN_TIMED_EVENTS:
        rate = _estimates_of(state, service.name).token_rate
        rate.observe(events * service.engine.stride, seconds)


def observe_prefill(state: State, service: str, tokens: int, seconds: float) -> None:
    """Learn the prefill rate from a prompt that was the only one at its engine.

    Args:
        state: The host's state.
        service: Name of the service.
        tokens: Tokens of the prompt.
        seconds: Time from sending the prompt to the answer.
    """
    _estimates_of(state, service).prefill_model.observe(tokens, seconds)
