"""Splits a stream of server-sent events into complete events."""

import re

from ._http1 import BrokenAnswerError

_EVENT_END = re.compile(rb"\r?\n\r?\n")
MAX_END_BYTES = 4  # Longest end of an event.
_FIELD_LINE = re.compile(rb"^[^:\r\n]", re.MULTILINE)
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
MAX_EVENT_BYTES = 1024 * 1024  # Most bytes of one event; engines send some hundred.


class EventSplitter:
    """Cuts a stream's bytes at the ends of events.

    Attributes:
        events: Number of complete events so far.
        last_id: Identifier of the newest event that has one.
        rest: Bytes of an event that is not complete yet.
    """

    __slots__ = ("events", "last_id", "rest")

    def __init__(self) -> None:
        self.events = 0
        self.last_id = b""
        self.rest = b""

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete; blank lines and comments are no event."""
        return _FIELD_LINE.search(self.rest) is not None

    def feed(self, data: bytes) -> bytes:
        """Add bytes, and return the bytes of all events that are complete now.

        Raises:
            BrokenAnswerError: If an event has more than `MAX_EVENT_BYTES`.
        """
        # What is left over holds no whole end of an event, so a long event is not searched again.
        start = max(0, len(self.rest) - MAX_END_BYTES + 1)
        data = self.rest + data
        end = 0
        for found in _EVENT_END.finditer(data, start):
            end = found.end()
            self.events += 1
        self.rest = data[end:]
        complete = data[:end]
        for found in _ID_FIELD.finditer(complete):
            self.last_id = found.group(1)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise BrokenAnswerError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return complete
