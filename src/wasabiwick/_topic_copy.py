"""Copy of what a topic holds, which a read brings up to date with what has changed since."""

import asyncio
import typing

from ._topics import HistoryLostError, KeyedRecord, Page, Topics

# Time after a read for which its records are kept; later reads would hardly gain by them.
KEEP_S = 30.0

Value = typing.TypeVar("Value")


class _LongLogError(Exception):
    """More records were appended than there are keys."""


class TopicCopy(typing.Generic[Value]):
    """Newest record of each key of a topic, decoded.

    A read fetches the records that were appended since the last one, or the newest record of each
    key where these are fewer. What a read that fails has fetched is kept for the next.

    Args:
        store: The store.
        topic: Name of the topic.
        decode: Function that decodes a record; it returns None for one that does not count.
    """

    __slots__ = (
        "_store",
        "_topic",
        "_decode",
        "_current_read",
        "_next_read",
        "_kept",
        "_next",
        "_era",
        "_expiry",
    )

    def __init__(
        self,
        *,
        store: Topics,
        topic: str,
        decode: typing.Callable[[KeyedRecord], Value | None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._decode = decode
        self._current_read: asyncio.Task | None = None
        self._next_read: asyncio.Task | None = None
        self._kept: dict[str, tuple[int, Value | None]] = {}  # Offset and value, by key.
        self._next: int | None = None
        self._era = 0
        self._expiry: asyncio.TimerHandle | None = None

    async def read(self) -> tuple[dict[str, Value], int]:
        """Return the value of each key, and the store's era.

        They are at least as new as this call. One read is under way at a time; calls that come
        meanwhile share the next. A read goes on if its callers are cancelled.

        Raises:
            HistoryLostError: If the store was restored meanwhile.
            StoreError: If the store refused a call or gave no usable answer.
        """
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read(self._current_read))
        return await asyncio.shield(self._next_read)

    async def _read(self, current: asyncio.Task | None) -> tuple[dict[str, Value], int]:
        if current is not None:
            await asyncio.wait({current})
        self._current_read, self._next_read = self._next_read, None
        if self._expiry is not None:
            self._expiry.cancel()
        try:
            await self._update()
        finally:
            self._expiry = asyncio.get_running_loop().call_later(KEEP_S, self._expire)
        found = {key: value for key, (_, value) in self._kept.items() if value is not None}
        return found, self._era

    async def _update(self) -> None:
        if self._next is not None and await self._read_appended():
            return
        self._forget()  # Two copies would take twice the memory.
        page = await self._store.newest(self._topic)
        self._next, self._era = page.next, page.era
        self._add(page)

    async def _read_appended(self) -> bool:
        """Add what was appended; return False if all has to be read anew, or is fewer records."""
        end = None
        while end is None or self._next < end:
            start = self._next
            try:
                page = await self._store.read(self._topic, start, 0.0, on_end=self._check_length)
            except (HistoryLostError, _LongLogError):
                return False
            if page.era != self._era or page.next == start < (page.end or 0):
                return False
            end = page.end or 0 if end is None else end
            self._next = page.next
            self._add(page)
        return True

    def _check_length(self, end: int) -> None:
        if end - self._next > len(self._kept):
            raise _LongLogError

    def _add(self, page: Page) -> None:
        """Add records; of a page of newest ones, some are younger than the page's end."""
        for record in page.records:
            if record.key not in self._kept or self._kept[record.key][0] < record.offset:
                value = None if record.value is None else self._decode(record)
                self._kept[record.key] = (record.offset, value)

    def _expire(self) -> None:
        self._current_read = None  # It has ended, and holds its result.
        self._forget()

    def _forget(self) -> None:
        self._kept, self._next = {}, None
