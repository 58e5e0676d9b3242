"""Log lines and metrics."""

from aioprometheus import Counter, Histogram
from aioprometheus.collectors import REGISTRY

from .._effects import Count, LogLine, Observe
from .._logging import log_event
from .._runner import Runner, performs

PREFIX = "wasabiwick"

# Seconds; dense around both latency targets.
BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.07, 0.1, 0.2, 0.35, 0.55, 0.8, 1.5, 3.0, 10.0)

_COUNTERS: dict[str, Counter] = {}
_HISTOGRAMS: dict[str, Histogram] = {}


@performs(Count)
def count(runner: Runner, effect: Count) -> None:
    """Add to a counter."""
    counter = _COUNTERS.get(effect.metric)
    if counter is None:
        counter = Counter(f"{PREFIX}_{effect.metric}_total", effect.metric.replace("_", " "))
        _COUNTERS[effect.metric] = counter
    counter.add({"label": effect.label}, effect.amount)


@performs(Observe)
def observe(runner: Runner, effect: Observe) -> None:
    """Add a latency to a histogram."""
    histogram = _HISTOGRAMS.get(effect.metric)
    if histogram is None:
        name = f"{PREFIX}_{effect.metric}_seconds"
        histogram = Histogram(name, effect.metric.replace("_", " "), buckets=list(BUCKETS))
        _HISTOGRAMS[effect.metric] = histogram
    histogram.observe({"label": effect.label}, effect.value)


@performs(LogLine)
def log_line(runner: Runner, effect: LogLine) -> None:
    """Write one line of key=value pairs."""
    log_event(effect.event, **effect.fields)


__all__ = ["REGISTRY", "count", "log_line", "observe"]
