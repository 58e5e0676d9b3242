"""Log lines and metrics."""

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.collectors import REGISTRY

from .._effects import Count, LogLine, Observe
from .._logging import log_event
from .._metrics import METRICS, PREFIX, Metric, help_of
from .._runner import Runner, performs
from .._state import State

# Seconds; dense around both latency targets.
BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.07, 0.1, 0.2, 0.35, 0.55, 0.8, 1.5, 3.0, 10.0)

_COUNTERS: dict[str, Counter] = {}
_HISTOGRAMS: dict[str, Histogram] = {}
_GAUGES: dict[str, Gauge] = {}


@performs(Count)
def count(runner: Runner, effect: Count) -> None:
    """Add to a counter."""
    counter = _COUNTERS.get(effect.metric)
    if counter is None:
        counter = Counter(f"{PREFIX}_{effect.metric}_total", help_of(effect.metric))
        _COUNTERS[effect.metric] = counter
    counter.add({"label": effect.label}, effect.amount)


@performs(Observe)
def observe(runner: Runner, effect: Observe) -> None:
    """Add a latency to a histogram."""
    histogram = _HISTOGRAMS.get(effect.metric)
    if histogram is None:
        name = f"{PREFIX}_{effect.metric}_seconds"
        histogram = Histogram(name, help_of(effect.metric), buckets=list(BUCKETS))
        _HISTOGRAMS[effect.metric] = histogram
    histogram.observe({"label": effect.label}, effect.value)


@performs(LogLine)
def log_line(runner: Runner, effect: LogLine) -> None:
    """Write one line of key=value pairs."""
    log_event(effect.event, **effect.fields)


def read_gauges(state: State) -> None:
    """Set all gauges to what the state says now."""
    for metric in METRICS.values():
        if metric.read:
            _set_gauge(metric, metric.read(state))


def _set_gauge(metric: Metric, values: dict[str, float]) -> None:
    known = _GAUGES.get(metric.name)
    if known is None:
        known = _GAUGES[metric.name] = Gauge(metric.exported, metric.text)
    # Labels that are gone, as of services that were removed, are not shown for ever.
    known.values.clear()
    for label, value in values.items():
        known.set({"label": label}, value)


__all__ = ["REGISTRY", "count", "log_line", "observe", "read_gauges"]
