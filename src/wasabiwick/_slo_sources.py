"""Reads observed latencies from recorded traces and from hosts' snapshots of their counters."""

import pathlib
import typing

import msgspec

from ._effects import Count, Observe
from ._metrics import REFUSED
from ._record import from_builtins
from ._slo import Objective, Observations
from ._telemetry import Snapshot
from ._trace import Entry, Header, Trace

Point = tuple[float, str, str, float, float]  # Time, metric, customer, good and bad observations.

_FIRST_LINE = msgspec.json.Decoder(Header | Snapshot)
_SNAPSHOT = msgspec.json.Decoder(Snapshot)


def is_trace(path: pathlib.Path) -> bool:
    """Return whether a file is a recorded trace rather than a file of snapshots.

    Raises:
        ValueError: If the file is neither.
    """
    with path.open("rb") as file:
        return isinstance(_FIRST_LINE.decode(file.readline()), Header)


def snapshots_of(path: pathlib.Path) -> list[Snapshot]:
    """Read a file of snapshots, one per line.

    Raises:
        ValueError: If a line is not a snapshot.
    """
    return [_SNAPSHOT.decode(line) for line in path.read_bytes().splitlines() if line]


def from_traces(
    paths: typing.Iterable[pathlib.Path], objectives: typing.Sequence[Objective]
) -> Observations:
    """Collect the latencies in recorded traces.

    Args:
        paths: Traces of one or several hosts.
        objectives: The objectives whose metrics are collected.

    Returns:
        The observations, with the Unix time of the host that recorded them.
    """
    targets = {one.metric: one.target for one in objectives}
    observations = Observations()
    points: list[Point] = []
    times: list[float] = []
    for path in paths:
        trace = Trace(path)
        offset = 0.0
        for _, line in trace:
            if isinstance(line, Entry):
                offset = _wall_offset(line, offset)
                time = line.event["at"] + offset
                times.append(time)
                points.extend(_points(line, time, targets, observations))
        if trace.cut:
            observations.notes.append(f"{path}: the trace was cut off")
    _add_points(observations, points, times)
    return observations


def _wall_offset(line: Entry, known: float) -> float:
    event = line.event
    return event["wall"] - event["at"] if event["record"] == "Booted" else known


def _points(
    line: Entry, time: float, targets: dict[str, float], observations: Observations
) -> typing.Iterator[Point]:
    for fields in line.effects:
        if fields["record"] not in (Observe.__name__, Count.__name__):
            continue
        effect = from_builtins(fields)
        if isinstance(effect, Count):
            if effect.metric == REFUSED:
                observations.add_refusals(effect.label, effect.amount)
        elif effect.metric in targets:
            good = float(effect.value <= targets[effect.metric])
            yield time, effect.metric, effect.label, good, 1.0 - good


def from_snapshots(
    snapshots: typing.Iterable[Snapshot], objectives: typing.Sequence[Objective]
) -> Observations:
    """Collect the latencies between the snapshots of each host.

    The counters of a new incarnation of a host, after a restart, begin at zero. The counts in a
    host's first snapshot are used only if there is no second one, since the times of their
    observations are not known.

    Args:
        snapshots: Snapshots of one or several hosts.
        objectives: The objectives whose metrics are collected.

    Returns:
        The observations, each at the time of the snapshot that showed it.
    """
    observations = Observations()
    by_host: dict[str, list[Snapshot]] = {}
    for snapshot in sorted(snapshots, key=lambda one: one.time):
        by_host.setdefault(snapshot.owner.host, []).append(snapshot)
    points: list[Point] = []
    for host, series in by_host.items():
        if len(series) == 1:
            observations.notes.append(
                f"{host}: only one snapshot, so windows cover the time since the host's start"
            )
            series.insert(0, _empty(series[0]))
        for before, after in zip(series, series[1:], strict=False):
            if before.owner != after.owner:
                before = _empty(after)
            points.extend(_increases(before, after, objectives, observations))
    _add_points(observations, points, [one.time for series in by_host.values() for one in series])
    return observations


def _empty(snapshot: Snapshot) -> Snapshot:
    return msgspec.structs.replace(snapshot, latencies={}, counts={}, refused={})


def _increases(
    before: Snapshot,
    after: Snapshot,
    objectives: typing.Sequence[Objective],
    observations: Observations,
) -> typing.Iterator[Point]:
    for reason, count in after.refused.items():
        observations.add_refusals(reason, count - before.refused.get(reason, 0))
    for objective in objectives:
        good_buckets = _buckets_within(after, objective, observations)
        old = before.latencies.get(objective.metric, {})
        for customer, buckets in after.latencies.get(objective.metric, {}).items():
            earlier = old.get(customer) or [0] * len(buckets)
            good = sum(buckets[:good_buckets]) - sum(earlier[:good_buckets])
            bad = sum(buckets[good_buckets:]) - sum(earlier[good_buckets:])
            yield after.time, objective.metric, customer, good, bad


def _buckets_within(snapshot: Snapshot, objective: Objective, observations: Observations) -> int:
    """Return how many buckets hold only good observations."""
    good_buckets = sum(limit <= objective.target for limit in snapshot.limits)
    if objective.target not in snapshot.limits:
        judged = snapshot.limits[good_buckets - 1] if good_buckets else 0.0
        note = f"{objective.metric}: latencies are judged by the bucket limit of {judged:g} s"
        if note not in observations.notes:
            observations.notes.append(note)
    return good_buckets


def _add_points(observations: Observations, points: list[Point], times: list[float]) -> None:
    for time, metric, customer, good, bad in sorted(points):
        observations.add(metric, customer, time, good, bad)
    observations.start = min(times, default=0.0)
    observations.end = max(times, default=0.0)
