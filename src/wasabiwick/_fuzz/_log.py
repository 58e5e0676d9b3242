"""Fake log service for the fuzzer: streams in memory, with outages."""

import msgspec

from .._wire import LogRecord, Message


class FakeLog:
    """Append-only streams in memory.

    ``appends`` counts the appends to each stream; ``up`` is false during an outage.
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[LogRecord]] = {}
        self.up = True
        self.appends: dict[str, int] = {}

    def append(self, stream: str, records: tuple[Message, ...], time: float) -> int:
        """Append records in one operation, and return the offset of the first one."""
        stored = self.streams.setdefault(stream, [])
        first = len(stored)
        for record in records:
            data = msgspec.json.encode(record).decode()
            stored.append(LogRecord(offset=len(stored), time=time, data=data))
        self.appends[stream] = self.appends.get(stream, 0) + 1
        return first

    def read(self, stream: str, offset: int) -> tuple[LogRecord, ...]:
        """Return the records of a stream from an offset on."""
        return tuple(self.streams.get(stream, [])[offset:])

    def end(self, stream: str) -> int:
        """Return the offset that the next record of a stream gets."""
        return len(self.streams.get(stream, []))
