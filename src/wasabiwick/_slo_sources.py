"""Sources of observed latencies: recorded traces, and metrics texts scraped from hosts."""

import pathlib
import re
import typing

from ._effects import Count, Observe
from ._record import from_builtins
from ._slo import Objective, Observations
from ._trace import Entry, Trace

METRIC_PREFIX = "wasabiwick"
REFUSED = "refused"
TIME_MARK = "@"  # NAME@UNIXTIME.prom names the host and the time of a scraped text.

_SAMPLE = re.compile(r"(?P<name>\w+)\{(?P<labels>.*)\}\s+(?P<value>\S+)")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')

Point = tuple[float, str, str, float, float]  # Time, metric, customer, good, bad.


class Snapshot:
    """The counters of one host at one time.

    Args:
        host: Name of the host.
        time: Unix time of the scrape.
        text: The metrics in the text format.
    """

    __slots__ = ("host", "time", "buckets", "totals", "refused")

    def __init__(self, *, host: str, time: float, text: str) -> None:
        self.host = host
        self.time = time
        self.buckets: dict[tuple[str, str], dict[float, float]] = {}
        self.totals: dict[tuple[str, str], float] = {}
        self.refused: dict[str, float] = {}
        for found in filter(None, map(_SAMPLE.match, text.splitlines())):
            self._take(found["name"], dict(_LABEL.findall(found["labels"])), float(found["value"]))

    def _take(self, name: str, labels: dict[str, str], value: float) -> None:
        base = name.removeprefix(f"{METRIC_PREFIX}_")
        label = labels.get("label", "")
        if base.endswith("_seconds_bucket"):
            key = (base.removesuffix("_seconds_bucket"), label)
            self.buckets.setdefault(key, {})[float(labels["le"])] = value
        elif base.endswith("_seconds_count"):
            self.totals[base.removesuffix("_seconds_count"), label] = value
        elif base == f"{REFUSED}_total":
            self.refused[label] = value

    def counts(self, objective: Objective, customer: str) -> tuple[float, float, float]:
        """Return good and bad observations, and the bucket's limit that told them apart."""
        key = (objective.metric, customer)
        limits = [limit for limit in self.buckets.get(key, ()) if limit <= objective.target]
        limit = max(limits, default=0.0)
        good = self.buckets[key][limit] if limits else 0.0
        return good, self.totals.get(key, 0.0) - good, limit

    def customers(self, objective: Objective) -> list[str]:
        """Return the customers with observations of an objective."""
        return [customer for metric, customer in self.totals if metric == objective.metric]


def is_trace(path: pathlib.Path) -> bool:
    """Tell whether a file is a recorded trace rather than a metrics text."""
    with path.open("rb") as file:
        return file.read(1) == b"{"


def snapshot_of(path: pathlib.Path) -> Snapshot:
    """Read a scraped metrics text; its time is in its name or that of its last change."""
    host, mark, time = path.stem.partition(TIME_MARK)
    when = float(time) if mark else path.stat().st_mtime
    return Snapshot(host=host, time=when, text=path.read_text(encoding="utf-8"))


def from_traces(
    paths: typing.Iterable[pathlib.Path], objectives: typing.Sequence[Objective]
) -> Observations:
    """Collect the latencies that recorded traces tell of.

    Args:
        paths: Traces of one or several hosts.
        objectives: The objectives of interest.

    Returns:
        The observations, at Unix times of the hosts that recorded them.
    """
    targets = {one.metric: one.target for one in objectives}
    seen = Observations()
    points: list[Point] = []
    spans: list[float] = []
    for path in paths:
        trace = Trace(path)
        offset = 0.0
        for _, line in trace:
            if isinstance(line, Entry):
                offset = _wall_offset(line, offset)
                time = line.event["at"] + offset
                spans.append(time)
                points.extend(_points(line, time, targets, seen))
        if trace.cut:
            seen.notes.append(f"{path}: the trace was cut off")
    _fill(seen, points, spans)
    return seen


def _wall_offset(line: Entry, known: float) -> float:
    event = line.event
    return event["wall"] - event["at"] if event["record"] == "Booted" else known


def _points(
    line: Entry, time: float, targets: dict[str, float], seen: Observations
) -> typing.Iterator[Point]:
    for fields in line.effects:
        if fields["record"] not in (Observe.__name__, Count.__name__):
            continue
        effect = from_builtins(fields)
        if isinstance(effect, Count):
            if effect.metric == REFUSED:
                seen.refuse(effect.label, effect.amount)
        elif effect.metric in targets:
            good = float(effect.value <= targets[effect.metric])
            yield time, effect.metric, effect.label, good, 1.0 - good


def from_snapshots(
    snapshots: typing.Iterable[Snapshot], objectives: typing.Sequence[Objective]
) -> Observations:
    """Collect the latencies between the scrapes of each host.

    Counters that went down belong to a new process of the host, which began at zero. What a host
    counted before its first scrape is taken into account only if there is no second one.

    Args:
        snapshots: Scrapes of one or several hosts.
        objectives: The objectives of interest.

    Returns:
        The observations, each at the time of the scrape that showed it.
    """
    seen = Observations()
    by_host: dict[str, list[Snapshot]] = {}
    for snapshot in sorted(snapshots, key=lambda one: one.time):
        by_host.setdefault(snapshot.host, []).append(snapshot)
    points: list[Point] = []
    for host, series in by_host.items():
        earlier = series[0]
        if len(series) == 1:
            seen.notes.append(
                f"{host}: one scrape, so all windows tell of the time since its start"
            )
            earlier = Snapshot(host=host, time=series[0].time, text="")
            series.insert(0, earlier)
        for before, after in zip(series, series[1:], strict=False):
            points.extend(_steps(before, after, objectives, seen))
    _fill(seen, points, [one.time for series in by_host.values() for one in series])
    return seen


def _steps(
    before: Snapshot, after: Snapshot, objectives: typing.Sequence[Objective], seen: Observations
) -> typing.Iterator[Point]:
    for reason, count in after.refused.items():
        seen.refuse(reason, _increase(before.refused.get(reason, 0.0), count))
    for objective in objectives:
        for customer in after.customers(objective):
            good, bad, limit = after.counts(objective, customer)
            old_good, old_bad, _ = before.counts(objective, customer)
            if good + bad < old_good + old_bad:
                old_good = old_bad = 0.0
            if limit != objective.target:
                _note(seen, f"{objective.metric}: judged by the bucket of {limit:g} s")
            yield after.time, objective.metric, customer, good - old_good, bad - old_bad


def _increase(before: float, after: float) -> float:
    return after - before if after >= before else after


def _note(seen: Observations, text: str) -> None:
    if text not in seen.notes:
        seen.notes.append(text)


def _fill(seen: Observations, points: list[Point], spans: list[float]) -> None:
    for time, metric, customer, good, bad in sorted(points):
        seen.add(metric, customer, time, good, bad)
    seen.start = min(spans, default=0.0)
    seen.end = max(spans, default=0.0)
