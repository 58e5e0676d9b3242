"""Fake log service: streams in memory, with outages."""

import msgspec

from .._wire import LogRecord, Message


class FakeLog:
    """Append-only streams in memory."""

    def __init__(self) -> None:
        self.streams: dict[str, list[LogRecord]] = {}
        self.up = True
        self.appends: dict[str, int] = {}

    def append(self, stream: str, records: tuple[Message, ...], time: float) -> int:
        """Append records together and return the offset of the first one."""
        kept = self.streams.setdefault(stream, [])
        first = len(kept)
        for record in records:
            data = msgspec.json.encode(record).decode()
            kept.append(LogRecord(offset=len(kept), time=time, data=data))
        self.appends[stream] = self.appends.get(stream, 0) + 1
        return first

    def read(self, stream: str, offset: int) -> tuple[LogRecord, ...]:
        """Return the records of a stream from an offset on."""
        return tuple(self.streams.get(stream, [])[offset:])

    def end(self, stream: str) -> int:
        """Return the offset that the next record of a stream gets."""
        return len(self.streams.get(stream, []))
