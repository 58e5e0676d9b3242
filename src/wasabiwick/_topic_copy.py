"""Copy of what a topic holds, which a read brings up to date with what has changed since."""

import asyncio
import typing

from ._topics import HistoryLostError, KeyedRecord, Page, Topics

# Time after a read for which its records are kept; later reads would hardly gain by them.
KEEP_S = 30.0
MIN_GAP_S = 1.0  # Least time between two reads over which the rate of new records is measured.

Value = typing.TypeVar("Value")


class TopicCopy(typing.Generic[Value]):
    """Newest record of each key of a topic, decoded.

    A read fetches the records that were appended since the last one, or the newest record of each
    key where these are likely fewer. What a read that fails has fetched is kept for the next.

    Args:
        store: The store.
        topic: Name of the topic.
        decode: Function that decodes a record; it returns None for one that does not count.
        rate: Records a second that are appended, until that is measured.
    """

    __slots__ = (
        "_store",
        "_topic",
        "_decode",
        "_rate",
        "_current_read",
        "_next_read",
        "_kept",
        "_next",
        "_era",
        "_read_at",
        "_expiry",
    )

    def __init__(
        self,
        *,
        store: Topics,
        topic: str,
        decode: typing.Callable[[KeyedRecord], Value | None],
        rate: float,
    ) -> None:
        self._store = store
        self._topic = topic
        self._decode = decode
        self._rate = rate
        self._current_read: asyncio.Task | None = None
        self._next_read: asyncio.Task | None = None
        self._kept: dict[str, tuple[int, Value | None]] = {}  # Offset and value, by key.
        self._next: int | None = None
        self._era = 0
        self._read_at = float("-inf")
        self._expiry: asyncio.TimerHandle | None = None

    async def read(self, now: float) -> tuple[dict[str, Value], int]:
        """Return the value of each key, and the store's era.

        They are at least as new as this call. One read is under way at a time; calls that come
        meanwhile share the next. A read goes on if its callers are cancelled.

        Args:
            now: Monotonic time.

        Raises:
            HistoryLostError: If the store was restored meanwhile.
            StoreError: If the store refused a call or gave no usable answer.
        """
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read(self._current_read, now))
        return await asyncio.shield(self._next_read)

    async def _read(self, current: asyncio.Task | None, now: float) -> tuple[dict[str, Value], int]:
        if current is not None:
            await asyncio.wait({current})
        self._current_read, self._next_read = self._next_read, None
        if self._expiry is not None:
            self._expiry.cancel()
        try:
            await self._update(now)
        finally:
            self._expiry = asyncio.get_running_loop().call_later(KEEP_S, self._expire)
        found = {key: value for key, (_, value) in self._kept.items() if value is not None}
        return found, self._era

    async def _update(self, now: float) -> None:
        start, era, gap = self._next, self._era, now - self._read_at
        is_short = start is not None and self._rate * gap <= len(self._kept)
        if not is_short or not await self._read_appended():
            self._forget()  # Two copies would take twice the memory.
            page = await self._store.newest(self._topic)
            self._next, self._era = page.next, page.era
            self._add(page)
        self._read_at = now
        if start is not None and era == self._era and gap >= MIN_GAP_S:
            self._rate = (self._next - start) / gap

    async def _read_appended(self) -> bool:
        """Add what was appended; return False if all has to be read anew, or is sooner."""
        end = None
        while end is None or self._next < end:
            start = self._next
            try:
                page = await self._store.read(self._topic, start, 0.0)
            except HistoryLostError:
                return False
            if page.era != self._era or (page.end or 0) - page.next > len(self._kept):
                return False
            end = page.end or 0 if end is None else end
            if page.next == start < end:
                return False
            self._next = page.next
            self._add(page)
        return True

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
