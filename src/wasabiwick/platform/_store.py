"""The platform's store: one client, for the newest records of a topic and what follows them."""

import base64
import binascii
import socket
import struct
import typing

import aiohttp
import msgspec

from .._errors import LOG_UNAVAILABLE, Failure
from .._verdict import Verdict
from . import _names

CALL_TIMEOUT = 1.0  # Seconds beyond the wait: a slow store answers in a quarter of one.
CONNECT_TIMEOUT = 0.5  # Seconds; a lost opening packet is sent again only after one.
KEEP_IDLE = 1  # Seconds of silence after which a connection is probed.
KEEP_INTERVAL = 1  # Seconds between probes.
KEEP_PROBES = 2
USER_TIMEOUT_MS = 2_500  # Milliseconds without an acknowledgement after which a link is dead.
_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")


class Record:
    """One keyed record; ``value`` is None where its key was dropped."""

    __slots__ = ("key", "value", "offset")

    def __init__(self, *, key: str, value: bytes | None, offset: int) -> None:
        self.key = key
        self.value = value
        self.offset = offset


class Page:
    """Records, and the offset from which to read on."""

    __slots__ = ("records", "next")

    def __init__(self, *, records: list[Record], next: int) -> None:  # noqa: A002
        self.records = records
        self.next = next


class HistoryLostError(Exception):
    """The records asked for have been deleted."""


class StoreError(Exception):
    """The store refused a call, or did not answer it."""


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


class Store:
    """Client of the store.

    Args:
        url: Its base URL.
    """

    __slots__ = ("_url", "_session")

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key.

        Raises:
            StoreError: If the store gave no answer that can be used.
        """
        records: list[Record] = []
        first_end = -1
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            body = await self._call("GET", _names.LOG_NEWEST, query)
            try:
                page = msgspec.json.decode(body, type=_Newest)
                records.extend(map(_record, page.items))
            except (msgspec.MsgspecError, binascii.Error) as exc:
                raise StoreError(f"unreadable answer: {exc}") from exc
            # Pages are no snapshot: what changed since the first one is read again.
            first_end = page.end_offset if first_end < 0 else first_end
            if not page.more or not page.items:
                return Page(records=records, next=first_end)
            after = page.items[-1].key

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """Return the records from an offset on, as soon as there are any.

        Args:
            topic: Name of the topic.
            start: The offset.
            wait: Longest wait for records, in seconds.

        Raises:
            HistoryLostError: If they have been deleted.
            StoreError: If the store gave no answer that can be used.
        """
        query = {"topic": topic, "part": "0", "from": str(start), "wait-ms": str(int(wait * 1000))}
        body = await self._call("GET", _names.LOG_READ, query, timeout=wait + CALL_TIMEOUT)
        try:
            end, first = _ENDS.unpack_from(body)
            contents = list(_contents(body[_ENDS.size :]))
        except (struct.error, ValueError) as exc:
            raise StoreError(f"unreadable answer: {exc}") from exc
        if first > start or end < start:
            raise HistoryLostError(f"from {start}, kept are {first} to {end}")
        records = []
        for position, content in enumerate(contents, start):
            record = _keyed(content, position)
            if record is not None:
                records.append(record)
        return Page(records=records, next=start + len(contents))

    async def append(
        self, topic: str, key: str, value: bytes, *, after: int | None = None
    ) -> int | Failure:
        """Append one keyed record and return its offset once the store has acknowledged it.

        Args:
            topic: Name of the topic.
            key: The record's key.
            value: Its value.
            after: Where the topic has to end for the record to be taken, or None.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _LENGTH.pack(len(content)) + content
        query = {"topic": topic, "part": "0"}
        if after is not None:
            query["at"] = str(after)
        try:
            answer = await self._call("POST", _names.LOG_APPEND, query, body=body)
            return msgspec.json.decode(answer, type=_Appended).offset
        except (StoreError, HistoryLostError, msgspec.MsgspecError) as exc:
            return failure(exc)

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
        timeout: float = CALL_TIMEOUT,
    ) -> bytes:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, socket_factory=_socket)
            self._session = aiohttp.ClientSession(connector=connector)
        limit = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT)
        try:
            async with self._session.request(
                method, self._url + path, params=query, data=body, timeout=limit
            ) as resp:
                answer = await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise StoreError(f"no answer: {exc or type(exc).__name__}") from exc
        if resp.status == 410:
            raise HistoryLostError("the store says so")
        if resp.status != 200:
            raise StoreError(f"status {resp.status}")
        return answer


def failure(exc: Exception) -> Failure:
    """Return the failure value for a call that brought no answer."""
    return Failure(reason=LOG_UNAVAILABLE, verdict=Verdict.MAY_HAVE_RUN, detail=str(exc))


def _socket(address: tuple) -> socket.socket:
    """Return a socket that notices connections which went silent."""
    sock = socket.socket(address[0], address[1], address[2])
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_IDLE),
        (socket.TCP_KEEPINTVL, KEEP_INTERVAL),
        (socket.TCP_KEEPCNT, KEEP_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


def _record(item: _Item) -> Record:
    value = base64.b64decode(item.value) if item.value is not None else None
    return Record(key=item.key, value=value, offset=item.offset)


def _contents(data: bytes) -> typing.Iterator[bytes]:
    position = 0
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise ValueError("a record is cut short")
        yield data[position : position + length]
        position += length


def _keyed(content: bytes, offset: int) -> Record | None:
    """Return a keyed record, or None for content that has no key."""
    if not content or len(content) < 1 + content[0]:
        return None
    size = 1 + content[0]
    value = content[size:] or None
    return Record(key=content[1:size].decode("utf-8", "replace"), value=value, offset=offset)
