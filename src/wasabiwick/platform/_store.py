"""HTTP client of the platform's store, which keeps topics: logs of records with a key each."""

import base64
import binascii
import struct
import time
import typing

import aiohttp
import msgspec

from .._decoding import decode_json
from .._errors import LOG_UNAVAILABLE, Failure
from .._keepalive import keepalive_socket
from .._topics import HistoryLostError, KeyedRecord, Page, StoreError
from .._verdict import Verdict
from . import _names

# Time-out of a call, added to the wait of a long poll; a slow store answers within 0.25 s.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5  # Time to connect; short, as TCP repeats a lost SYN only after 1 s.
ERA_SHIFT = 40  # Bits of an offset; an era counts above them.
_LENGTH = struct.Struct(">I")  # Length of the record that follows, in bytes.
_OFFSETS = struct.Struct(">QQ")  # Offsets of the topic's end and of its first kept record.


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str | None = None  # Base64.


class _Newest(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    end_offset: int
    more: bool = False


class _Appended(msgspec.Struct):
    offset: int


class _Deleted(msgspec.Struct):
    first: int


class Store:
    """Client of the store.

    Args:
        url: Its base URL.

    Attributes:
        era: Highest era that an answer named; None before the first answer with one. Offsets are
            comparable within one era only.
        answered_at: Monotonic time of the last call that succeeded.
    """

    __slots__ = ("era", "answered_at", "_url", "_session", "_report_restored")

    def __init__(self, url: str) -> None:
        self.era: int | None = None
        self.answered_at = float("-inf")
        self._url = url
        self._session: aiohttp.ClientSession | None = None
        self._report_restored: typing.Callable[[int], None] | None = None

    def on_restored(self, report: typing.Callable[[int], None]) -> None:
        """Call a function with the new era once the store has been restored from a copy."""
        self._report_restored = report

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key of a topic.

        Raises:
            StoreError: If the store refused the call or gave no usable answer.
        """
        records: list[KeyedRecord] = []
        first_end = -1
        era = 0
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            body = await self._call("GET", _names.LOG_NEWEST, query)
            try:
                page = decode_json(body, _Newest)
                records.extend(map(_decode_item, page.items))
            except (msgspec.MsgspecError, binascii.Error) as exc:
                raise StoreError(f"unreadable answer: {exc}") from exc
            if first_end >= 0 and self._known_era() != era:
                raise HistoryLostError("the store was restored between two pages")
            era = self._known_era()
            # The topic may change between two pages. So the next read starts where the topic ended
            # at the first page, and returns all changes since then, some for the second time.
            first_end = page.end_offset if first_end < 0 else first_end
            if not page.more or not page.items:
                return Page(records=records, next=first_end, era=era)
            after = page.items[-1].key

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """Return the records from an offset on; waits for the first if there are none.

        Args:
            topic: Name of the topic.
            start: Offset of the first record.
            wait: Longest wait for records, in seconds.

        Raises:
            HistoryLostError: If some of these records have been deleted.
            StoreError: If the store refused the call or gave no usable answer.
        """
        query = {"topic": topic, "part": "0", "from": str(start), "wait-ms": str(int(wait * 1000))}
        body = await self._call("GET", _names.LOG_READ, query, timeout=wait + CALL_TIMEOUT_S)
        try:
            end, first = _OFFSETS.unpack_from(body)
            contents = list(_split_contents(body[_OFFSETS.size :]))
        except (struct.error, ValueError) as exc:
            raise StoreError(f"unreadable answer: {exc}") from exc
        if first > start or end < start:
            detail = f"offset {start} requested, but {first} to {end} are kept"
            raise HistoryLostError(detail, first)
        records = []
        for position, content in enumerate(contents, start):
            record = _decode_keyed(content, position)
            if record is not None:
                records.append(record)
        return Page(records=records, next=start + len(contents), era=self._known_era(), end=end)

    async def append(
        self, topic: str, key: str, value: bytes, *, after: int | None = None
    ) -> int | Failure:
        """Append one keyed record and return its offset once the store has acknowledged it.

        Args:
            topic: Name of the topic.
            key: The record's key.
            value: The record's value.
            after: Offset at which the topic must end for the record to be accepted; None for any.

        Returns:
            The offset, which rises over all eras, or the failure.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _LENGTH.pack(len(content)) + content
        query = {"topic": topic, "part": "0"}
        if after is not None:
            query["at"] = str(after)
        try:
            answer = await self._call("POST", _names.LOG_APPEND, query, body=body)
            offset = decode_json(answer, _Appended).offset
            return (self._known_era() << ERA_SHIFT) + offset
        except (StoreError, HistoryLostError, msgspec.MsgspecError) as exc:
            return store_failure(exc)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> bytes:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, socket_factory=keepalive_socket)
            self._session = aiohttp.ClientSession(connector=connector)
        limit = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._url + path, params=query, data=body, timeout=limit
            ) as resp:
                answer = await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise StoreError(f"no answer from the store: {exc or type(exc).__name__}") from exc
        self._check_era(resp.headers.get(_names.STORE_ERA, ""))
        if resp.status == 410:
            raise HistoryLostError("the store answered status 410", _first_kept(answer))
        if resp.status != 200:
            raise StoreError(f"the store answered status {resp.status}")
        self.answered_at = time.monotonic()
        return answer

    def _known_era(self) -> int:
        return self.era or 0

    def _check_era(self, text: str) -> None:
        """Note the era that an answer names.

        Raises:
            StoreError: If the answer is older than the last restore.
        """
        era = int(text) if text.isdecimal() else None
        if self.era is not None and (era is None or era < self.era):
            raise StoreError("the answer is older than the restored store")
        was_restored = self.era is not None and era > self.era
        self.era = era
        if was_restored and self._report_restored is not None:
            self._report_restored(era)


def store_failure(exc: Exception) -> Failure:
    """Return the failure for a call to the store that may have been executed."""
    return Failure(reason=LOG_UNAVAILABLE, verdict=Verdict.MAY_HAVE_RUN, detail=str(exc))


def _first_kept(answer: bytes) -> int | None:
    """Return the first offset that is kept, if an answer about deleted records names it."""
    try:
        return decode_json(answer, _Deleted).first
    except msgspec.MsgspecError:
        return None


def _decode_item(item: _Item) -> KeyedRecord:
    value = base64.b64decode(item.value) if item.value is not None else None
    return KeyedRecord(key=item.key, value=value, offset=item.offset)


def _split_contents(data: bytes) -> typing.Iterator[bytes]:
    position = 0
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise ValueError("a record is cut short")
        yield data[position : position + length]
        position += length


def _decode_keyed(content: bytes, offset: int) -> KeyedRecord | None:
    """Decode a record's key and value from its bytes; return None if it has no key."""
    if not content or len(content) < 1 + content[0]:
        return None
    value_start = 1 + content[0]
    value = content[value_start:] or None
    return KeyedRecord(
        key=content[1:value_start].decode("utf-8", "replace"), value=value, offset=offset
    )
