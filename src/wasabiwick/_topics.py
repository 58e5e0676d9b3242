"""Topics: logs of keyed records that a store keeps, and what reading them returns."""

import typing

from ._record import Record


class KeyedRecord(Record):
    """A keyed record; ``value`` is None if the key was deleted."""

    __slots__ = ("key", "value", "offset")

    def __init__(self, *, key: str, value: bytes | None, offset: int) -> None:
        self.key = key
        self.value = value
        self.offset = offset


class Page:
    """Records that one read returned, the offset at which the next read starts, and their era.

    ``end`` is where the topic ended at that read, if the store said so.
    """

    __slots__ = ("records", "next", "era", "end")

    def __init__(
        self,
        *,
        records: typing.Sequence[KeyedRecord],
        next: int,  # noqa: A002
        era: int,
        end: int | None = None,
    ) -> None:
        self.end = end
        self.records = records
        self.next = next
        self.era = era


class HistoryLostError(Exception):
    """The store has deleted records that a read asked for; ``first`` is kept, if that is known."""

    def __init__(self, message: str, first: int | None = None) -> None:
        super().__init__(message)
        self.first = first


class StoreError(Exception):
    """The store refused a call, did not answer it, or gave an unreadable answer."""


class BrokenOffError(StoreError):
    """No answer came, or none to its end; ``era`` is that of its head, if one came with it."""

    def __init__(self, message: str, era: int | None) -> None:
        super().__init__(message)
        self.era = era


class Topics(typing.Protocol):
    """A store of topics.

    Attributes:
        era: Highest era that an answer named, or None; offsets are comparable within one era only.
        answered_at: Monotonic time when bytes of a usable answer came last.
    """

    era: int | None
    answered_at: float

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key of a topic; raises `StoreError`."""

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        *,
        on_end: typing.Callable[[int], None] | None = None,
    ) -> Page:
        """Return the records from an offset on; waits for the first if there are none.

        If the answer breaks off, the whole records before are returned; then ``next`` is below
        ``end``, and a next read goes on from there.

        Args:
            topic: Name of the topic.
            start: Offset of the first record.
            wait: Longest wait for records, in seconds.
            on_end: Function to call once with the topic's end offset when the answer has named
                it, which is before its records have come. If it raises an exception, that ends
                the read.

        Raises:
            HistoryLostError: If some of these records have been deleted.
            StoreError: If the store refused the call or gave no usable answer.
        """


async def kept_records(store: Topics, topic: str, start: int) -> list[KeyedRecord]:
    """Return the records from an offset on that are kept, up to where the topic ends now.

    Raises:
        HistoryLostError: If records are deleted while they are read.
        StoreError: If the store refused a call or gave no usable answer.
    """
    try:
        page = await store.read(topic, start, 0.0)
    except HistoryLostError as exc:
        if exc.first is None:
            raise
        page = await store.read(topic, exc.first, 0.0)
    end = page.end or 0
    records = list(page.records)
    era = page.era
    read_upto = -1
    while read_upto < page.next < end:
        read_upto = page.next
        page = await store.read(topic, read_upto, 0.0)
        records += page.records
    if page.era != era:
        raise HistoryLostError("the store was restored between two reads")
    return records
