"""Counters and latency histograms of one host, kept as plain numbers until they are read.

The reducer's effects add to these numbers for every batch of output, so adding must be cheap.
The metrics hold only sums over customers, so that their text does not grow with the number of
customers; the values of each customer are returned as one compact `Snapshot`.
"""

import bisect
import typing

import msgspec
from aioprometheus import Counter, Gauge, Histogram, Registry, histogram
from aioprometheus.renderer import render

from ._metrics import CUSTOMER, METRICS, REFUSED, Metric, exported_name, help_of
from ._state import State
from ._wire import Owner

# Upper limits of the histograms' buckets, in seconds. They are dense around both latency targets,
# and reach up to the target for applying a configuration.
BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.07, 0.1, 0.2, 0.35, 0.55, 0.8, 1.5, 4.0, 12.0)

ByLabel = dict[str, float]


class Snapshot(msgspec.Struct, tag="snapshot", tag_field="line"):
    """Answer of ``GET /metrics/customers``: what the host counted since it started.

    ``time`` is Unix time. ``latencies`` holds, by metric and customer, the number of observations
    in each bucket. ``limits`` are the buckets' upper limits in seconds; one more bucket, the last,
    has the observations above them. ``counts`` holds counters by metric and customer, and
    ``refused`` the number of refusals by reason.
    """

    owner: Owner
    time: float
    limits: tuple[float, ...]
    latencies: dict[str, dict[str, list[int]]]
    counts: dict[str, ByLabel]
    refused: ByLabel


class Latencies:
    """Histogram of one metric for one value of its label."""

    __slots__ = ("buckets", "sum")

    def __init__(self) -> None:
        self.buckets = [0] * (len(BUCKETS) + 1)
        self.sum = 0.0

    def add(self, value: float) -> None:
        """Add one observation in seconds."""
        self.buckets[bisect.bisect_left(BUCKETS, value)] += 1
        self.sum += value


class Telemetry:
    """The counters and latencies of one host."""

    __slots__ = ("_counts", "_latencies")

    def __init__(self) -> None:
        self._counts: dict[str, ByLabel] = {}
        self._latencies: dict[str, dict[str, Latencies]] = {}

    def count(self, metric: str, label: str, amount: float) -> None:
        """Add to a counter."""
        by_label = self._counts.get(metric)
        if by_label is None:
            by_label = self._counts[metric] = {}
        by_label[label] = by_label.get(label, 0) + amount

    def observe(self, metric: str, label: str, value: float) -> None:
        """Add an observation in seconds to a latency metric."""
        by_label = self._latencies.get(metric)
        if by_label is None:
            by_label = self._latencies[metric] = {}
        one = by_label.get(label)
        if one is None:
            one = by_label[label] = Latencies()
        one.add(value)

    def snapshot(self, owner: Owner, time: float) -> Snapshot:
        """Return the values of all metrics that are kept by customer, and the refusals.

        Args:
            owner: The host and its incarnation.
            time: Unix time.
        """
        return Snapshot(
            owner=owner,
            time=time,
            limits=BUCKETS,
            latencies={
                metric: {label: one.buckets for label, one in by_label.items()}
                for metric, by_label in self._latencies.items()
                if _is_by_customer(metric)
            },
            counts={
                metric: by_label
                for metric, by_label in self._counts.items()
                if _is_by_customer(metric)
            },
            refused=self._counts.get(REFUSED, {}),
        )

    def text(self, accept: typing.Sequence[str], state: State) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a text format, with the headers of the answer.

        Args:
            accept: Values of the request's ``Accept`` header.
            state: The state that gauges are read from.
        """
        registry = Registry()
        for metric, by_label in self._counts.items():
            counter = Counter(exported_name(metric, "counter"), help_of(metric), registry=registry)
            for label, value in _exported_values(metric, by_label).items():
                counter.set({"label": label}, value)
        for metric, latencies in self._latencies.items():
            _add_histogram(registry, metric, latencies)
        for metric in METRICS.values():
            if metric.read:
                _add_gauge(registry, metric, metric.read(state))
        return render(registry, accept)


def _is_by_customer(metric: str) -> bool:
    known = METRICS.get(metric)
    return known is not None and known.label == CUSTOMER


def _exported_values(metric: str, by_label: ByLabel) -> ByLabel:
    return {"": sum(by_label.values())} if _is_by_customer(metric) else by_label


def _add_histogram(registry: Registry, metric: str, latencies: dict[str, Latencies]) -> None:
    shown = Histogram(
        exported_name(metric, "latency"),
        help_of(metric),
        registry=registry,
        buckets=list(BUCKETS),
    )
    groups: dict[str, list[Latencies]] = {}
    for label, one in latencies.items():
        groups.setdefault("" if _is_by_customer(metric) else label, []).append(one)
    for label, group in groups.items():
        shown.set_value({"label": label}, _merged(group))


def _merged(group: list[Latencies]) -> histogram.Histogram:
    merged = histogram.Histogram(*BUCKETS)
    total = 0
    sums = map(sum, zip(*(one.buckets for one in group), strict=True))
    for limit, found in zip(merged.buckets, sums, strict=True):
        total += found
        merged.buckets[limit] = total
    merged.observations = total
    merged.sum = sum(one.sum for one in group)
    return merged


def _add_gauge(registry: Registry, metric: Metric, values: ByLabel) -> None:
    gauge = Gauge(metric.exported, metric.text, registry=registry)
    for label, value in values.items():
        gauge.set({"label": label}, value)
