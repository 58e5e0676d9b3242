"""Recorded traces: every event of a host with the effects that it caused.

A trace is a file of JSON lines: a header with the settings, one line per event, and at the end any
number of stated outcomes, which a replay has to confirm. Since the reducer is pure, replaying the
events of a trace causes the same effects.
"""

import pathlib
import typing

import msgspec

from . import _settings_file
from ._effects import Effect
from ._events import Event
from ._logging import log_event
from ._record import from_builtins, to_builtins
from ._settings import Settings
from ._version import VERSION

FORMAT = 1  # Version of the format of traces.


class Header(msgspec.Struct, tag="header", tag_field="line"):
    """First line of a trace."""

    format: int
    version: str
    settings: dict[str, typing.Any]


class Entry(msgspec.Struct, tag="event", tag_field="line"):
    """One event and its effects, as built-in types."""

    event: typing.Any
    effects: list[typing.Any]


class Stated(msgspec.Struct, tag="outcome", tag_field="line", omit_defaults=True):
    """The outcome that a replay must find for a call; fields left out are not compared.

    ``result`` is ``answered``, ``refused``, ``cancelled``, ``superseded`` or ``open``. ``resumed``
    counts how often the request's stream was resumed, ``dispatched`` how often its body was sent to
    a plain service.
    """

    call_id: str
    result: str
    reason: str | None = None
    verdict: str | None = None
    resumed: int | None = None
    dispatched: int | None = None


class Cut(msgspec.Struct, tag="cut", tag_field="line"):
    """Last line of a trace that reached its size limit; later events were not recorded."""

    limit_bytes: int


Line = Header | Entry | Stated | Cut

_DECODER = msgspec.json.Decoder(Line)
_ENCODER = msgspec.json.Encoder()


class TraceError(ValueError):
    """The trace can't be read."""


class TraceWriter:
    """Records a host's events to a file until its size limit is reached.

    Recording stops at the limit instead of dropping old events, because a replay has to begin with
    the first event.

    Args:
        path: The file; an existing one is replaced.
        cfg: The host's settings.
        limit_bytes: Largest size of the file in bytes; 0 means no limit.
    """

    __slots__ = ("_file", "_remaining_bytes", "_limit_bytes")

    def __init__(self, path: str | pathlib.Path, cfg: Settings, *, limit_bytes: int = 0) -> None:
        # The file stays open as long as the host runs.
        self._file: typing.BinaryIO | None = open(path, "wb")  # noqa: SIM115
        self._limit_bytes = limit_bytes
        self._remaining_bytes = limit_bytes
        header = Header(
            format=FORMAT, version=VERSION, settings=_settings_file.settings_to_builtins(cfg)
        )
        self._write(header)

    def record(self, event: Event, effects: typing.Sequence[Effect]) -> None:
        """Record an event and the effects that the reducer returned for it."""
        if self._file is None:
            return
        entry = Entry(event=to_builtins(event), effects=[to_builtins(one) for one in effects])
        self._write(entry)

    def record_outcome(self, outcome: Stated) -> None:
        """Record an outcome that a replay has to confirm."""
        if self._file is not None:
            self._write(outcome)

    def close(self) -> None:
        """Flush the buffer and close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _write(self, line: Line) -> None:
        data = _ENCODER.encode(line) + b"\n"
        full = self._limit_bytes and len(data) > self._remaining_bytes
        if full:
            data = _ENCODER.encode(Cut(limit_bytes=self._limit_bytes)) + b"\n"
        self._remaining_bytes -= len(data)
        try:
            self._file.write(data)
            if full:
                self.close()
        except OSError as exc:
            # A full disk ends the recording, not the host.
            log_event("trace_failed", level="WARNING", error=exc.strerror)
            self._file = None


class Trace:
    """Reads a trace line by line.

    Args:
        path: The file.

    Raises:
        TraceError: If the file can't be read or does not begin with a header.
    """

    __slots__ = ("settings", "version", "cut", "_path")

    def __init__(self, path: str | pathlib.Path) -> None:
        self._path = pathlib.Path(path)
        self.cut = False
        first = next(self._lines(), None)
        if first is None or not isinstance(first[1], Header):
            raise TraceError(f"{path} is not a trace: it has no header")
        header = first[1]
        if header.format != FORMAT:
            raise TraceError(f"{path} has format {header.format}; this version reads {FORMAT}")
        self.version = header.version
        self.settings = _settings_file.settings_from_builtins(header.settings)

    def __iter__(self) -> typing.Iterator[tuple[int, Entry | Stated]]:
        """Yield the entries and stated outcomes with their line numbers."""
        for number, line in self._lines():
            if isinstance(line, Entry | Stated):
                yield number, line
            elif isinstance(line, Cut):
                self.cut = True

    def _lines(self) -> typing.Iterator[tuple[int, Line]]:
        try:
            with self._path.open("rb") as file:
                yield from self._decoded(file)
        except OSError as exc:
            raise TraceError(f"{self._path} cannot be read: {exc.strerror}") from None

    def _decoded(self, file: typing.BinaryIO) -> typing.Iterator[tuple[int, Line]]:
        for number, data in enumerate(file, start=1):
            if not data.endswith(b"\n"):
                # The recording process ended in the middle of a line.
                self.cut = True
                return
            try:
                yield number, _DECODER.decode(data)
            except msgspec.MsgspecError as exc:
                raise TraceError(f"{self._path}:{number}: not a line of a trace: {exc}") from None


def event_of(entry: Entry) -> Event:
    """Return the event that a line of a trace holds.

    Raises:
        ValueError: If the event is of a kind that this version does not know.
    """
    try:
        event = from_builtins(entry.event)
    except TypeError as exc:
        raise ValueError(f"event has other fields in this version: {exc}") from None
    if not isinstance(event, Event):
        raise ValueError(f"line holds {type(event).__name__!r} instead of an event")
    return event
