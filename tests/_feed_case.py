"""A feed on a fake store, and the hosts that it tells, for tests without a network."""

import asyncio
import types
import typing
import unittest
from unittest import mock

from wasabiwick import _feed_log
from wasabiwick._events import Event
from wasabiwick._feed import Feed
from wasabiwick._read_turns import ReadTurns, ToldPage
from wasabiwick._topics import KeyedRecord, Page, StoreError

from ._processes import until

SILENCE = 0.05  # Seconds after which a host that listens reads for itself.
LONG = 30.0  # Seconds that no test waits for.


class FakeTopics:
    """A store with one topic; counts reads, and fails them while it is down."""

    def __init__(self) -> None:
        self.era: int | None = None
        self.records: list[KeyedRecord] = []
        self.reads = 0
        self.is_down = False
        self.waits: asyncio.Event | None = None
        self.waiting = 0  # Reads that wait for this event.
        self.fault: Exception | None = None
        self.answered_at = 0.0
        self.page_size: int | None = None  # Most records of one answer.
        self.newest_reads = 0
        self.newest_is_down = False
        self.on_end: typing.Callable[[int], None] | None = None

    def add(self, key: str, value: bytes | None) -> None:
        """Append a record."""
        self.records.append(KeyedRecord(key=key, value=value, offset=len(self.records)))

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key that has a value; never waits."""
        self.newest_reads += 1
        self.reads += 1
        await self._fail()
        if self.newest_is_down:
            raise StoreError("down")
        newest = {record.key: record for record in self.records}
        kept = [record for record in newest.values() if record.value is not None]
        return Page(records=kept, next=len(self.records), era=self.era or 0)

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        *,
        on_end: typing.Callable[[int], None] | None = None,
    ) -> Page:
        """Return the records from an offset on; ``on_end`` is left for the test to call."""
        self.reads += 1
        self.on_end = on_end
        await self._fail()
        if self.waits is not None:
            self.waiting += 1
            await self.waits.wait()
            self.waiting -= 1
        records = self.records[start:][: self.page_size]
        end = len(self.records)
        return Page(records=records, next=start + len(records), era=self.era or 0, end=end)

    async def _fail(self) -> None:
        if self.fault is not None:
            fault, self.fault = self.fault, None
            raise fault
        if self.is_down:
            raise StoreError("down")
        await asyncio.sleep(0)


class FeedCase(unittest.IsolatedAsyncioTestCase):
    """Base with a feed on a fake store; ``seen`` holds the records that came from it, by value."""

    silence = SILENCE
    newest_only = False

    async def asyncSetUp(self) -> None:
        self.topics = FakeTopics()
        self.turns = ReadTurns(self.silence)
        self.seen: list[bytes | None] = []
        self.sent: list[ToldPage] = []
        self.posted: list[Event] = []
        self.now = 0.0
        self.logged: list[str] = []
        patch = mock.patch.object(
            _feed_log, "log_event", lambda event, **fields: self.logged.append(event)
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.topics.add("a", b"first")
        datagrams = types.SimpleNamespace(send_page=lambda addresses, page: self.sent.append(page))
        self.runner = types.SimpleNamespace(
            ports=types.SimpleNamespace(turns=self.turns, datagrams=datagrams),
            now=lambda: self.now,
            post=self.posted.append,
        )
        self.feed = Feed(
            store=self.topics,
            name="feed",
            topic="t",
            decode=lambda at, page, whole: self.seen.extend(one.value for one in page.records),
            wait=0.0,
            pause=0.005,
            content=lambda record: record.value and record.value.partition(b" ")[0],
            newest_only=self.newest_only,
        )
        task = asyncio.create_task(self.feed.run(self.runner))
        self.addCleanup(task.cancel)
        await self.until(lambda: self.seen)

    async def until(self, holds: object) -> None:
        """Wait until a condition holds."""

        async def condition() -> bool:
            return bool(holds())

        await until(condition)

    def tell(self, after: int, *values: bytes | None, era: int = 0, upto: int = 0) -> None:
        """Tell the host a page whose records follow ``after``."""
        records = tuple(
            KeyedRecord(key="a", value=value, offset=after + number)
            for number, value in enumerate(values)
        )
        upto = upto or after + len(values)
        self.turns.deliver(ToldPage(feed="feed", era=era, after=after, upto=upto, records=records))
