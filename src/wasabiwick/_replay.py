"""Replays recorded traces through the reducer and finds the first difference."""

import pathlib
import typing

from . import _handlers  # noqa: F401 - registers the handlers
from ._effects import Count, Effect, LogLine, Observe
from ._events import Event
from ._outcomes import Outcomes
from ._record import from_builtins, to_builtins
from ._reducer import reduce_contained
from ._state import State
from ._trace import Entry, Stated, Trace, event_of

TELEMETRY_EFFECTS = (Count, Observe, LogLine)


class Difference:
    """The first difference between a replay and its trace.

    Args:
        line: Number of the trace's line, from 1.
        text: What differs.
        event: The replayed event, if its effects differ.
        recorded: The recorded effect, or None if only the replay has it.
        replayed: The replayed effect, or None if only the trace has it.
    """

    __slots__ = ("line", "text", "event", "recorded", "replayed")

    def __init__(
        self,
        *,
        line: int,
        text: str,
        event: Event | None = None,
        recorded: Effect | None = None,
        replayed: Effect | None = None,
    ) -> None:
        self.line = line
        self.text = text
        self.event = event
        self.recorded = recorded
        self.replayed = replayed

    def __str__(self) -> str:
        parts = [f"line {self.line}: {self.text}"]
        if self.event is not None:
            parts.append(f"  event:    {self.event!r}")
            parts.append(f"  recorded: {self.recorded!r}")
            parts.append(f"  replayed: {self.replayed!r}")
        return "\n".join(parts)


class Replay:
    """The counts, outcomes and first difference of a replay.

    ``confirmed`` counts the outcomes stated in the trace that the replay confirmed. ``cut`` is
    true if the trace ends early, at its size limit or within a line.
    """

    __slots__ = ("events", "effects", "outcomes", "confirmed", "difference", "cut")

    def __init__(self) -> None:
        self.events = 0
        self.effects = 0
        self.outcomes = Outcomes()
        self.confirmed = 0
        self.difference: Difference | None = None
        self.cut = False


def replay(path: str | pathlib.Path, *, metrics: bool = True) -> Replay:
    """Drive the reducer with a trace's events until the first difference.

    Args:
        path: The trace file.
        metrics: Whether to compare the effects for counters, latencies and log lines too.

    Returns:
        Counts, outcomes and the first difference, if there is one.

    Raises:
        TraceError: If the file is not a trace.
    """
    trace = Trace(path)
    state = State(trace.settings)
    result = Replay()
    for number, line in trace:
        if isinstance(line, Stated):
            result.difference = _check_outcome(result, number, line)
        else:
            result.difference = _check_entry(result, state, number, line, metrics)
        if result.difference:
            break
    result.cut = trace.cut
    return result


def _check_outcome(result: Replay, number: int, expected: Stated) -> Difference | None:
    text = result.outcomes.difference(expected)
    if text:
        return Difference(line=number, text=text)
    result.confirmed += 1
    return None


def _check_entry(
    result: Replay, state: State, number: int, entry: Entry, metrics: bool
) -> Difference | None:
    try:
        event = event_of(entry)
        recorded = [from_builtins(one) for one in entry.effects]
    except (ValueError, TypeError) as exc:
        return Difference(line=number, text=str(exc))
    replayed = reduce_contained(state, event)
    result.outcomes.add(event)
    for effect in replayed:
        result.outcomes.add(effect)
    result.events += 1
    result.effects += len(replayed)
    return _compare(number, event, _compared(recorded, metrics), _compared(replayed, metrics))


def _compared(effects: list[Effect], metrics: bool) -> list[Effect]:
    return (
        effects if metrics else [one for one in effects if not isinstance(one, TELEMETRY_EFFECTS)]
    )


def _compare(
    number: int, event: Event, recorded: list[Effect], replayed: list[Effect]
) -> Difference | None:
    for index in range(max(len(recorded), len(replayed))):
        old = _effect_at(recorded, index)
        new = _effect_at(replayed, index)
        # Compared in recorded form, because a trace does not distinguish lists from tuples.
        if to_builtins(old) != to_builtins(new):
            text = f"effect {index + 1} of event {type(event).__name__} differs"
            return Difference(line=number, text=text, event=event, recorded=old, replayed=new)
    return None


def _effect_at(effects: typing.Sequence[Effect], index: int) -> Effect | None:
    return effects[index] if index < len(effects) else None
