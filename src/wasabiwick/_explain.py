"""The story of one request out of log lines: what each host decided, on what, and the outcome."""

import datetime
import json
import re
import typing

_PAIR = re.compile(r'([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|[^\s"]\S*|)(?=\s|$)')
_START = re.compile(r"\bts=\S+ level=\S+ event=")

Teller = typing.Callable[["Line"], str]

_TELLERS: dict[str, Teller] = {}

# Events that settle a request on a host; the last one is the cause of what the caller got.
SETTLING = ("served", "refused", "cut", "caller_left", "host_ended")

AGES = (
    "routes_version",
    "list_age",
    "loads_age",
)  # Fields that tell how old the facts of a decision were.


class Line:
    """One log line.

    Args:
        at: Unix time.
        event: Name of the event.
        fields: The other pairs, in order.
    """

    __slots__ = ("at", "event", "fields")

    def __init__(self, *, at: float, event: str, fields: dict[str, str]) -> None:
        self.at = at
        self.event = event
        self.fields = fields

    def get(self, name: str, other: str = "?") -> str:
        """Return a field, or ``other`` where the line has none."""
        return self.fields.get(name, other)

    @property
    def host(self) -> str:
        """Host that wrote the line, as far as the line's call tells."""
        return self.get("call").partition(".")[0]


class Story:
    """What is told of one request.

    Args:
        request: Its identifier.
        lines: Its lines in order of time.
    """

    __slots__ = ("request", "lines")

    def __init__(self, *, request: str, lines: list[Line]) -> None:
        self.request = request
        self.lines = lines

    @property
    def settled(self) -> Line | None:
        """The decision that settled the request, or None where the lines hold none."""
        found = [line for line in self.lines if line.event in SETTLING]
        return found[-1] if found else None

    @property
    def cause(self) -> Line | None:
        """The line that says why: a failure that was the answer, or else what settled it."""
        settled = self.settled
        if settled is not None and settled.event != "served":
            return settled
        failures = [line for line in self.lines if line.event == "relayed_failure"]
        return failures[-1] if failures else settled


def tells(event: str) -> typing.Callable[[Teller], Teller]:
    """Register the function that puts one kind of line into a sentence."""

    def register(teller: Teller) -> Teller:
        if event in _TELLERS:
            raise ValueError(f"event {event!r} has two tellers")
        _TELLERS[event] = teller
        return teller

    return register


def parse(text: str) -> Line | None:
    """Read one line, whatever stands before it; None if it can't be read.

    Args:
        text: A line that has a time, a level and an event.
    """
    start = _START.search(text)
    if start is None:
        return None
    rest = text[start.start() :].strip()
    fields: dict[str, str] = {}
    end = 0
    for found in _PAIR.finditer(rest):
        if rest[end : found.start()].strip():
            return None
        value = found.group(2)
        fields[found.group(1)] = json.loads(value) if value.startswith('"') else value
        end = found.end()
    if rest[end:].strip():
        return None
    try:
        at = datetime.datetime.fromisoformat(fields.pop("ts")).timestamp()
    except ValueError:
        return None
    fields.pop("level")
    return Line(at=at, event=fields.pop("event"), fields=fields)


class Log:
    """All lines of some logs, by request, and when each host's processes started.

    Args:
        texts: Lines of text; those that are no log lines are passed over.

    Attributes:
        requests: Lines by request, in order of time.
        broken: Lines that looked like log lines and can't be read.
    """

    __slots__ = ("requests", "broken", "_calls", "_starts")

    def __init__(self, texts: typing.Iterable[str]) -> None:
        self.requests: dict[str, list[Line]] = {}
        self.broken = 0
        self._calls: dict[str, str] = {}
        self._starts: list[Line] = []
        for text in texts:
            if "ts=" in text and "event=" in text:
                self._take(parse(text))
        self._starts.sort(key=lambda line: line.at)
        for lines in self.requests.values():
            lines.sort(key=lambda line: line.at)

    def _take(self, line: Line | None) -> None:
        if line is None:
            self.broken += 1
        elif line.event == "listening":
            self._starts.append(line)
        elif "request" in line.fields:
            self.requests.setdefault(line.get("request"), []).append(line)
            self._calls[line.get("call")] = line.get("request")

    def story(self, request: str) -> Story:
        """Return the story of a request, by its identifier or its call's."""
        request = self._calls.get(request, request)
        told = Story(request=request, lines=list(self.requests.get(request, ())))
        ended = self._host_ended(told)
        if ended is not None:
            told.lines.append(ended)
        return told

    def _host_ended(self, told: Story) -> Line | None:
        """Return a line for the end of the process that still served a request, if it ended."""
        if not told.lines or told.settled is not None:
            return None
        last = told.lines[-1]
        for start in self._starts:
            if start.at > last.at and start.get("host") == last.host:
                fields = {"call": last.get("call"), "began_anew": f"{start.at - last.at:.3g}"}
                ages = {name: last.get(name) for name in AGES if name in last.fields}
                return Line(at=start.at, event="host_ended", fields={**fields, **ages})
        return None


def sentence(line: Line) -> str:
    """Return what a line says, as a sentence."""
    teller = _TELLERS.get(line.event)
    if teller is not None:
        return teller(line)
    told = ", ".join(f"{name} {value}" for name, value in line.fields.items())
    return f"{line.event.replace('_', ' ')}: {told}."


def basis(line: Line) -> str:
    """Return the versions and ages that a line's decision rests on, or an empty text."""
    parts = []
    if "routes_version" in line.fields:
        parts.append(f"routes of version {line.get('routes_version')}")
    if "list_age" in line.fields:
        parts.append(f"endpoints as read {line.get('list_age')} s before")
    if line.get("loads_age", "-") != "-":
        parts.append(f"other hosts' loads up to {line.get('loads_age')} s old")
    return " and ".join(parts)


@tells("place_chosen")
def _place_chosen(line: Line) -> str:
    return (
        f"A place was sought at engine {line.get('endpoint')} (zone {line.get('zone')}) after"
        f" {line.get('waited')} s, for a prompt of {line.get('prompt')} tokens and"
        f" {line.get('expected')} expected ones."
    )


@tells("hold_refused")
def _hold_refused(line: Line) -> str:
    return f"Engine {line.get('endpoint')} gave no place ({line.get('cause')})."


@tells("place_leaving")
def _place_leaving(line: Line) -> str:
    return f"Engine {line.get('endpoint')} began to leave, so another place was sought."


@tells("prefill_sent")
def _prefill_sent(line: Line) -> str:
    return f"Engine {line.get('endpoint')} was asked to prefill {line.get('tokens')} tokens."


@tells("prefill_failed")
def _prefill_failed(line: Line) -> str:
    return f"The prefill at engine {line.get('endpoint')} failed: {line.get('cause')}."


@tells("sent")
def _sent(line: Line) -> str:
    return f"Try {line.get('tries')} was sent to {line.get('endpoint')} (zone {line.get('zone')})."


@tells("try_failed")
def _try_failed(line: Line) -> str:
    return (
        f"The try at {line.get('endpoint')} failed after {line.get('events')} events:"
        f" {line.get('cause')}."
    )


@tells("relayed_failure")
def _relayed_failure(line: Line) -> str:
    return (
        f"Endpoint {line.get('endpoint')} itself answered {line.get('status')}, which was passed on"
        " because no other try was allowed."
    )


@tells("served")
def _served(line: Line) -> str:
    return (
        f"The whole answer was written after {line.get('waited')} s and {line.get('tries')} tries."
    )


@tells("caller_left")
def _caller_left(line: Line) -> str:
    return (
        f"The caller went away after {line.get('waited')} s, while the request was"
        f" {line.get('phase')} and {line.get('events')} events had been written."
    )


@tells("host_ended")
def _host_ended(line: Line) -> str:
    return (
        f"The process on {line.host} ended without a stop while it served the request; another"
        f" began {line.get('began_anew')} s after the last line."
    )


@tells("refused")
def _refused(line: Line) -> str:
    return f"The request was refused: {_why(line)}."


@tells("cut")
def _cut(line: Line) -> str:
    return f"The answer was broken off midway: {_why(line)}."


def _why(line: Line) -> str:
    known = ("reason", "verdict", "retry_after", "request", "call", "route", "routes_version")
    inputs = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in (*known, *AGES) and value != "-"
    )
    back = line.get("retry_after", "-")
    return f"{line.get('reason')}, {line.get('verdict')} ({inputs})" + (
        f"; the caller was told to come back in {back} s" if back != "-" else ""
    )
