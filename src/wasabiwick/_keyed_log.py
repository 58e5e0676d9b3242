"""Encodes keyed records for a topic's log, and decodes what a read returns while it comes."""

import struct
import typing

from ._logging import log_event
from ._topics import HistoryLostError, KeyedRecord, Page, StoreError

_LENGTH = struct.Struct(">I")  # Length of the record that follows, in bytes.
_OFFSETS = struct.Struct(">QQ")  # Offsets of the topic's end and of its first kept record.


class LogAnswer:
    """Records of the log from an offset on.

    Only the bytes of a record that is still incomplete are kept beside the records.

    Args:
        topic: Name of the topic.
        start: Offset of the first record that was asked for.
        on_end: Function to call with the topic's end offset, before the records have come.

    Attributes:
        records: Records that are whole, and have a key.
        next: Offset behind the last whole record.
        end: Offset of the topic's end, once it has come.
    """

    __slots__ = ("records", "next", "end", "_topic", "_start", "_on_end", "_data")

    def __init__(
        self, topic: str, start: int, on_end: typing.Callable[[int], None] | None = None
    ) -> None:
        self.records: list[KeyedRecord] = []
        self.next = start
        self.end: int | None = None
        self._topic = topic
        self._start = start
        self._on_end = on_end
        self._data = bytearray()

    def receive(self, part: bytes) -> None:
        """Decode the next part of the answer.

        Raises:
            HistoryLostError: If the records that were asked for are not kept.
        """
        self._data += part
        if self.end is None:
            if len(self._data) < _OFFSETS.size:
                return
            end, first = _OFFSETS.unpack_from(self._data)
            if first > self._start or end < self._start:
                detail = f"offset {self._start} requested, but {first} to {end} are kept"
                raise HistoryLostError(detail, first)
            del self._data[: _OFFSETS.size]
            self.end = end
            if self._on_end is not None:
                self._on_end(end)
        self._take_records()

    def page(self, era: int, why: str = "") -> Page:
        """Return the whole records.

        Args:
            era: Era of the answer.
            why: Why the answer broke off; empty if it did not.

        Raises:
            StoreError: If the answer broke off without a whole record.
        """
        if not why and (self.end is None or self._data):
            why = "unreadable answer: a record is cut short"
        if why and self.next == self._start:
            raise StoreError(why)
        if why:
            log_event(
                "read_broken_off",
                topic=self._topic,
                start=self._start,
                next=self.next,
                end=self.end,
                why=why,
            )
        return Page(records=self.records, next=self.next, era=era, end=self.end)

    def _take_records(self) -> None:
        position = 0
        with memoryview(self._data) as data:
            while len(data) - position >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(data, position)
                begin = position + _LENGTH.size
                if len(data) - begin < length:
                    break
                position = begin + length
                record = _decode_keyed(data, begin, position, self.next)
                if record is not None:
                    self.records.append(record)
                self.next += 1
        del self._data[:position]


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return a keyed record as the log takes it."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def _decode_keyed(data: memoryview, begin: int, end: int, offset: int) -> KeyedRecord | None:
    """Decode a record's key and value from its bytes; return None if it has no key."""
    if begin == end or end - begin < 1 + data[begin]:
        return None
    value_at = begin + 1 + data[begin]
    key = bytes(data[begin + 1 : value_at]).decode("utf-8", "replace")
    return KeyedRecord(key=key, value=bytes(data[value_at:end]) or None, offset=offset)
