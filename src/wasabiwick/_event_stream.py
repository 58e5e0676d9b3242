"""Server-sent events: whole events out of the bytes of a stream."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Cuts a stream's bytes at the ends of events.

    Attributes:
        events: Whole events so far.
        last_id: Identifier of the newest event that has one.
        rest: Bytes of an event that is not whole yet.
    """

    __slots__ = ("events", "last_id", "rest")

    def __init__(self) -> None:
        self.events = 0
        self.last_id = b""
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes in and return those of whole events."""
        data = self.rest + data
        end = 0
        for found in _END.finditer(data):
            end = found.end()
            self.events += 1
        self.rest = data[end:]
        whole = data[:end]
        for found in _ID.finditer(whole):
            self.last_id = found.group(1)
        return whole
