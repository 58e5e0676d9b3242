"""The history of one request from log lines: decisions, the data behind them, and the outcome."""

import datetime
import json
import re
import typing

_PAIR = re.compile(r'([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|[^\s"]\S*|)(?=\s|$)')
_START = re.compile(r"\bts=\S+ level=\S+ event=")

Describer = typing.Callable[["Line"], str]

_DESCRIBERS: dict[str, Describer] = {}

# Events that end a request on a host; the last one logged states what the caller got.
FINAL_EVENTS = ("served", "refused", "cut", "caller_left", "host_ended")

# Fields of a log line that hold the version or age of the data behind a decision.
AGE_FIELDS = (
    "routes_version",
    "list_age",
    "loads_age",
)


class Line:
    """One log line.

    Args:
        at: Unix time.
        event: Name of the event.
        fields: The remaining key-value pairs, in order.
    """

    __slots__ = ("at", "event", "fields")

    def __init__(self, *, at: float, event: str, fields: dict[str, str]) -> None:
        self.at = at
        self.event = event
        self.fields = fields

    def get(self, name: str, default: str = "?") -> str:
        """Return a field, or ``default`` if the line does not have it."""
        return self.fields.get(name, default)

    @property
    def host(self) -> str:
        """Host that wrote the line, taken from the call's identifier."""
        return self.get("call").partition(".")[0]

    @property
    def is_for_another_host(self) -> bool:
        """Whether the line is about a call that another host passed to this one."""
        return self.get("call").rpartition(".")[2].startswith("h")


class History:
    """The log lines of one request.

    Args:
        request: Identifier of the request.
        lines: Lines of the request in order of time.
    """

    __slots__ = ("request", "lines")

    def __init__(self, *, request: str, lines: list[Line]) -> None:
        self.request = request
        self.lines = lines

    @property
    def final_line(self) -> Line | None:
        """The line that decided what the caller got, or None if no line ends the request."""
        final_lines = [
            line
            for line in self.lines
            if line.event in FINAL_EVENTS and not line.is_for_another_host
        ]
        return final_lines[-1] if final_lines else None

    @property
    def cause(self) -> Line | None:
        """The line that explains the outcome.

        It is the final line unless that is `served`; otherwise the last relayed failure, or the
        final line if no failure was relayed.
        """
        final = self.final_line
        if final is not None and final.event != "served":
            return final
        failures = [line for line in self.lines if line.event == "relayed_failure"]
        return failures[-1] if failures else final


def describes(event: str) -> typing.Callable[[Describer], Describer]:
    """Register the function that turns the lines of an event into sentences."""

    def register(describer: Describer) -> Describer:
        if event in _DESCRIBERS:
            raise ValueError(f"two functions describe event {event!r}")
        _DESCRIBERS[event] = describer
        return describer

    return register


def parse(text: str) -> Line | None:
    """Parse one log line, ignoring any text before its timestamp.

    Args:
        text: A line with a timestamp, a level and an event.

    Returns:
        The line, or None if it can't be parsed.
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
    """The lines of one or several logs by request, and the starts of each host's processes.

    Args:
        texts: Lines of text; those without a timestamp and an event are skipped.

    Attributes:
        requests: Lines by request, in order of time.
        unreadable: Number of log lines that can't be parsed.
    """

    __slots__ = ("requests", "unreadable", "_calls", "_starts")

    def __init__(self, texts: typing.Iterable[str]) -> None:
        self.requests: dict[str, list[Line]] = {}
        self.unreadable = 0
        self._calls: dict[str, str] = {}
        self._starts: list[Line] = []
        for text in texts:
            if "ts=" in text and "event=" in text:
                self._add(parse(text))
        self._starts.sort(key=lambda line: line.at)
        for lines in self.requests.values():
            lines.sort(key=lambda line: line.at)

    def _add(self, line: Line | None) -> None:
        if line is None:
            self.unreadable += 1
        elif line.event == "listening":
            self._starts.append(line)
        elif "request" in line.fields:
            self.requests.setdefault(line.get("request"), []).append(line)
            self._calls[line.get("call")] = line.get("request")

    def history(self, request: str) -> History:
        """Return the history of a request, given its identifier or that of one of its calls."""
        request = self._calls.get(request, request)
        history = History(request=request, lines=list(self.requests.get(request, ())))
        ended = self._host_ended(history)
        if ended is not None:
            history.lines.append(ended)
        return history

    def _host_ended(self, history: History) -> Line | None:
        """Return a line that says that the host's process ended during the request, or None."""
        if not history.lines or history.final_line is not None:
            return None
        last = history.lines[-1]
        for start in self._starts:
            if start.at > last.at and start.get("host") == last.host:
                fields = {"call": last.get("call"), "began_anew": f"{start.at - last.at:.3g}"}
                ages = {name: last.get(name) for name in AGE_FIELDS if name in last.fields}
                return Line(at=start.at, event="host_ended", fields={**fields, **ages})
        return None


def sentence(line: Line) -> str:
    """Return a line as a sentence."""
    describer = _DESCRIBERS.get(line.event)
    if describer is not None:
        return describer(line)
    pairs = ", ".join(f"{name} {value}" for name, value in line.fields.items())
    return f"{line.event.replace('_', ' ')}: {pairs}."


def basis(line: Line) -> str:
    """Return the versions and ages of the data behind a line's decision, or an empty text."""
    parts = []
    if "routes_version" in line.fields:
        parts.append(f"routes version {line.get('routes_version')}")
    if "list_age" in line.fields:
        parts.append(f"an endpoint list read {line.get('list_age')} s before")
    if line.get("loads_age", "-") != "-":
        parts.append(f"other hosts' loads up to {line.get('loads_age')} s old")
    return " and ".join(parts)


@describes("place_chosen")
def _place_chosen(line: Line) -> str:
    return (
        f"Engine {line.get('endpoint')} (zone {line.get('zone')}) was chosen after"
        f" {line.get('waited')} s, for a prompt of {line.get('prompt')} tokens and"
        f" {line.get('expected')} expected output tokens."
    )


@describes("stream_bound")
def _stream_bound(line: Line) -> str:
    if line.get("build", "-") == "-":
        return (
            f"The call resumes the stream of {line.get('resumes')}, whose build is not known;"
            f" builds seen: {line.get('builds')}."
        )
    known = "told" if line.get("began_ago", "-") != "-" else "the only one seen"
    return (
        f"The call resumes the stream of {line.get('resumes')}, which may go on only at build"
        f" {line.get('build')} ({known})."
    )


@describes("hold_refused")
def _hold_refused(line: Line) -> str:
    return f"Engine {line.get('endpoint')} refused the reservation ({line.get('cause')})."


@describes("place_leaving")
def _place_leaving(line: Line) -> str:
    return (
        f"Engine {line.get('endpoint')} takes no new work any more, so the host looked for another"
        " engine."
    )


@describes("prefill_sent")
def _prefill_sent(line: Line) -> str:
    return f"Engine {line.get('endpoint')} was asked to prefill {line.get('tokens')} tokens."


@describes("prefill_failed")
def _prefill_failed(line: Line) -> str:
    return f"The prefill at engine {line.get('endpoint')} failed: {line.get('cause')}."


@describes("sent")
def _sent(line: Line) -> str:
    return (
        f"Attempt {line.get('tries')} was sent to {line.get('endpoint')} (zone {line.get('zone')})."
    )


@describes("passed_on")
def _passed_on(line: Line) -> str:
    return (
        f"Attempt {line.get('tries')} went through host {line.get('host')}, heard"
        f" {line.get('heard_ago')} s before, as no endpoint of the service could be reached."
    )


@describes("try_failed")
def _try_failed(line: Line) -> str:
    return (
        f"The attempt at {line.get('endpoint')} failed after {line.get('events')} events:"
        f" {line.get('cause')}."
    )


@describes("relayed_failure")
def _relayed_failure(line: Line) -> str:
    return (
        f"Endpoint {line.get('endpoint')} itself answered {line.get('status')}, which was passed on"
        " to the caller because no further attempt was allowed."
    )


@describes("served")
def _served(line: Line) -> str:
    return (
        f"The whole answer was written after {line.get('waited')} s and {line.get('tries')}"
        " attempts."
    )


@describes("caller_left")
def _caller_left(line: Line) -> str:
    return (
        f"The caller disconnected after {line.get('waited')} s, while the request was"
        f" {line.get('phase')} and {line.get('events')} events had been written."
    )


@describes("host_ended")
def _host_ended(line: Line) -> str:
    return (
        f"The process on {line.host} ended without a shutdown while it served the request; another"
        f" started {line.get('began_anew')} s after the request's last line."
    )


@describes("refused")
def _refused(line: Line) -> str:
    return f"The request was refused: {_why(line)}."


@describes("cut")
def _cut(line: Line) -> str:
    return f"The answer was cut off midway: {_why(line)}."


def _why(line: Line) -> str:
    shown_elsewhere = (
        "reason",
        "verdict",
        "retry_after",
        "request",
        "call",
        "route",
        "routes_version",
    )
    inputs = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in (*shown_elsewhere, *AGE_FIELDS) and value != "-"
    )
    retry_after = line.get("retry_after", "-")
    return f"{line.get('reason')}, {line.get('verdict')} ({inputs})" + (
        f"; the caller was told to retry after {retry_after} s" if retry_after != "-" else ""
    )
