"""Counts and latencies of a load run."""

import collections
import typing

import msgspec
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_MICROSECOND = 1e-3
MAX_LATENCY_US = 600_000_000  # Longer latencies are recorded as this value.
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)


class Quantiles(msgspec.Struct):
    """Distribution of a latency, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


class Totals(msgspec.Struct):
    """Results of a load run; times are in milliseconds unless their name says seconds."""

    calls: int
    answered: int
    lost: int
    wrong: int
    attempts: int
    dropped: int
    tokens: int
    seconds: float
    tokens_per_second: float
    first_output: Quantiles
    between_outputs: Quantiles
    refusals: dict[str, int]


class Latency:
    """Histogram of a latency; samples are in seconds, kept in microseconds."""

    __slots__ = ("_histogram",)

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, seconds: float, count: int = 1) -> None:
        """Add ``count`` samples of the same value."""
        value = min(MAX_LATENCY_US, max(1, round(seconds * MICROSECONDS_PER_SECOND)))
        self._histogram.record_value(value, count)

    def quantiles(self) -> Quantiles:
        """Return the quantiles in milliseconds."""
        percentile = self._histogram.get_value_at_percentile
        return Quantiles(
            count=self._histogram.get_total_count(),
            p50=percentile(50) * MILLISECONDS_PER_MICROSECOND,
            p95=percentile(95) * MILLISECONDS_PER_MICROSECOND,
            p99=percentile(99) * MILLISECONDS_PER_MICROSECOND,
            max=self._histogram.get_max_value() * MILLISECONDS_PER_MICROSECOND,
        )


class Tally:
    """Running counts and latencies of a load run.

    ``first`` is the time to a request's first output, ``between`` the time between two outputs.
    """

    __slots__ = (
        "calls",
        "answered",
        "wrong",
        "attempts",
        "dropped",
        "tokens",
        "first",
        "between",
        "refusals",
    )

    def __init__(self) -> None:
        self.calls = 0
        self.answered = 0
        self.wrong = 0
        self.attempts = 0
        self.dropped = 0
        self.tokens = 0
        self.first = Latency()
        self.between = Latency()
        self.refusals: typing.Counter[str] = collections.Counter()

    def totals(self, seconds: float) -> Totals:
        """Return the results of a run that took ``seconds``."""
        return Totals(
            calls=self.calls,
            answered=self.answered,
            lost=self.calls - self.answered,
            wrong=self.wrong,
            attempts=self.attempts,
            dropped=self.dropped,
            tokens=self.tokens,
            seconds=round(seconds, 3),
            tokens_per_second=round(self.tokens / seconds, 1) if seconds else 0.0,
            first_output=self.first.quantiles(),
            between_outputs=self.between.quantiles(),
            refusals=dict(self.refusals),
        )
