"""Sources of observed latencies: recorded traces, and snapshots that hosts give of their counts."""

import pathlib
import typing

import msgspec

from ._effects import Count, Observe
from ._metrics import REFUSED
from ._record import from_builtins
from ._slo import Objective, Observations
from ._telemetry import Snapshot
from ._trace import Entry, Header, Trace

Point = tuple[float, str, str, float, float]  # Time, metric, customer, good, bad.

_FIRST_LINE = msgspec.json.Decoder(Header | Snapshot)
_SNAPSHOT = msgspec.json.Decoder(Snapshot)


def is_trace(path: pathlib.Path) -> bool:
    """Tell whether a file is a recorded trace rather than a file of snapshots.

    Raises:
        ValueError: If it is neither.
    """
    with path.open("rb") as file:
        return isinstance(_FIRST_LINE.decode(file.readline()), Header)


def snapshots_of(path: pathlib.Path) -> list[Snapshot]:
    """Read a file of snapshots, one a line.

    Raises:
        ValueError: If a line is not a snapshot.
    """
    return [_SNAPSHOT.decode(line) for line in path.read_bytes().splitlines() if line]


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
    times: list[float] = []
    for path in paths:
        trace = Trace(path)
        offset = 0.0
        for _, line in trace:
            if isinstance(line, Entry):
                offset = _wall_offset(line, offset)
                time = line.event["at"] + offset
                times.append(time)
                points.extend(_points(line, time, targets, seen))
        if trace.cut:
            seen.notes.append(f"{path}: the trace was cut off")
    _fill(seen, points, times)
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
    """Collect the latencies between the snapshots of each host.

    A new incarnation of a host began at zero. What the first snapshot of a host holds is taken into
    account only if there is no second one, since nobody knows when it was counted.

    Args:
        snapshots: Snapshots of one or several hosts.
        objectives: The objectives of interest.

    Returns:
        The observations, each at the time of the snapshot that showed it.
    """
    seen = Observations()
    by_host: dict[str, list[Snapshot]] = {}
    for snapshot in sorted(snapshots, key=lambda one: one.time):
        by_host.setdefault(snapshot.owner.host, []).append(snapshot)
    points: list[Point] = []
    for host, series in by_host.items():
        if len(series) == 1:
            seen.notes.append(f"{host}: one snapshot, so windows tell of the time since its start")
            series.insert(0, _empty(series[0]))
        for before, after in zip(series, series[1:], strict=False):
            if before.owner != after.owner:
                before = _empty(after)
            points.extend(_steps(before, after, objectives, seen))
    _fill(seen, points, [one.time for series in by_host.values() for one in series])
    return seen


def _empty(like: Snapshot) -> Snapshot:
    return msgspec.structs.replace(like, latencies={}, counts={}, refused={})


def _steps(
    before: Snapshot, after: Snapshot, objectives: typing.Sequence[Objective], seen: Observations
) -> typing.Iterator[Point]:
    for reason, count in after.refused.items():
        seen.refuse(reason, count - before.refused.get(reason, 0))
    for objective in objectives:
        kept = _buckets_within(after, objective, seen)
        old = before.latencies.get(objective.metric, {})
        for customer, buckets in after.latencies.get(objective.metric, {}).items():
            earlier = old.get(customer) or [0] * len(buckets)
            good = sum(buckets[:kept]) - sum(earlier[:kept])
            bad = sum(buckets[kept:]) - sum(earlier[kept:])
            yield after.time, objective.metric, customer, good, bad


def _buckets_within(snapshot: Snapshot, objective: Objective, seen: Observations) -> int:
    """Return how many buckets hold good observations only."""
    kept = sum(limit <= objective.target for limit in snapshot.limits)
    if objective.target not in snapshot.limits:
        judged = snapshot.limits[kept - 1] if kept else 0.0
        note = f"{objective.metric}: judged by the bucket of {judged:g} s"
        if note not in seen.notes:
            seen.notes.append(note)
    return kept


def _fill(seen: Observations, points: list[Point], times: list[float]) -> None:
    for time, metric, customer, good, bad in sorted(points):
        seen.add(metric, customer, time, good, bad)
    seen.start = min(times, default=0.0)
    seen.end = max(times, default=0.0)
