"""Tests of feeds that are behind their topic, or read only what counts of it."""

import asyncio
import typing
import unittest
from unittest import mock

from wasabiwick import _feed, _feed_log
from wasabiwick._events import FeedBehind
from wasabiwick._read_turns import ToldPage
from wasabiwick._topics import HistoryLostError, Page, StoreError

from ._feed_case import SILENCE, FeedCase


class TestFeedLog(unittest.TestCase):
    """The log tells why a host stays at an old version, in few lines."""

    def setUp(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []
        patch = mock.patch.object(_feed_log, "log_event", self.write)
        patch.start()
        self.addCleanup(patch.stop)
        self.log = _feed_log.FeedLog("feed")

    def write(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.assertEqual(fields.pop("feed"), "feed")
        self.lines.append((event, fields))

    def test_a_feed_behind_and_its_end_are_told_once(self) -> None:
        self.log.behind(10.0, 1, 2)
        self.log.behind(11.0, 2, 1)
        self.log.behind(12.5, 3, 0)
        self.log.behind(12.6, 3, 0)
        behind = {"position": 1, "end": 3, "missing": 2}
        caught_up = {"position": 3, "after": 2.5}
        self.assertEqual(self.lines, [("feed_behind", behind), ("feed_caught_up", caught_up)])

    def test_lines_of_a_feed_that_is_often_behind_are_bounded(self) -> None:
        for number in range(100):
            self.log.behind(0.1 * number, number, 1)
            self.log.behind(0.1 * number + 0.05, number + 1, 0)
        self.assertEqual(len(self.lines), 4)

    def test_why_reads_go_on_failing_is_told_at_intervals(self) -> None:
        """A host logged the first failure alone, while the cause changed."""
        for number in range(100):
            self.log.failed(0.1 * number, f"cause {number}")
        failed = {"error": "cause 1", "fails": 2, "since": 0.1}
        self.assertEqual(self.lines[0], ("feed_read_fails", failed))
        self.assertEqual([event for event, _ in self.lines], 2 * ["feed_read_fails"])
        self.log.succeeded()
        self.log.failed(20.0, "lost again")
        self.assertEqual(len(self.lines), 2)


class TestNewestOnly(FeedCase):
    """Records that others supersede are not read where only the newest one of a key counts."""

    newest_only = True

    async def begin_long_read(self) -> None:
        """Have the host begin a read that goes on."""
        self.topics.waits = asyncio.Event()
        waiting = self.topics.waiting
        await self.until(lambda: self.topics.waiting > waiting)

    async def test_superseded_records_are_not_read(self) -> None:
        """A host on a slow path read each version in turn, and was later with each."""
        await self.begin_long_read()
        for value in (b"second", b"third", b"fourth"):
            self.topics.add("a", value)
        self.topics.on_end(4)
        await self.until(lambda: self.seen[-1] == b"fourth")
        self.assertEqual(self.seen, [b"first", b"fourth"])

    async def test_one_missing_record_is_read_from_the_log(self) -> None:
        await self.begin_long_read()
        self.topics.add("a", b"second")
        self.topics.on_end(2)
        self.topics.waits.set()
        await self.until(lambda: self.seen[-1] == b"second")
        self.assertEqual(self.topics.newest_reads, 1)

    async def test_log_is_read_through_after_the_newest_could_not_be_read(self) -> None:
        """Each read that was given up for another one that failed would keep a host behind."""
        await self.begin_long_read()
        for value in (b"second", b"third", b"fourth"):
            self.topics.add("a", value)
        self.topics.newest_is_down = True
        waiting = self.topics.waiting
        self.topics.on_end(4)
        await self.until(lambda: self.topics.waiting > waiting)
        self.topics.on_end(4)
        await asyncio.sleep(0.02)
        self.assertEqual(self.topics.newest_reads, 2)
        self.topics.waits.set()
        await self.until(lambda: self.seen[-1] == b"fourth")
        self.assertEqual(self.seen, [b"first", b"second", b"third", b"fourth"])
        self.topics.newest_is_down = False
        await self.begin_long_read()
        for value in (b"fifth", b"sixth"):
            self.topics.add("a", value)
        self.topics.on_end(6)
        await self.until(lambda: self.seen[-1] == b"sixth")
        self.assertNotIn(b"fifth", self.seen)

    async def test_others_read_for_themselves_what_the_newest_records_lack(self) -> None:
        """A key that was dropped is in no page of the newest records."""
        self.topics.add("b", b"dropped later")
        await self.until(lambda: self.seen[-1] == b"dropped later")
        await self.begin_long_read()
        self.turns.set_turn(reads=True, addresses=("b:1",))
        self.topics.add("b", None)
        self.topics.add("a", b"second")
        self.topics.on_end(4)
        await self.until(lambda: self.seen[-1] == b"second")
        told = [(one.upto, one.records) for one in self.sent if one.after < one.upto]
        self.assertEqual(told, [(4, None)])


class TestWhatIsKnown(FeedCase):
    """What a host knows to exist and has not read counts, however it learned of it."""

    def missing(self) -> list[int]:
        """Return the numbers of missing records that were posted."""
        return [one.missing for one in self.posted if isinstance(one, FeedBehind)]

    async def test_end_of_an_answer_that_breaks_at_once_is_kept(self) -> None:
        """A path that cut each answer at once left a host unaware, so it went on answering 404."""

        async def read(topic: str, start: int, wait: float, **options: typing.Any) -> Page:
            await asyncio.sleep(0)
            options["on_end"](start + 1)
            raise StoreError("reset")

        self.turns.set_turn(reads=True, addresses=("b:1",))
        with mock.patch.object(self.topics, "read", read):
            await self.until(self.missing)
        self.assertEqual(self.missing(), [1])
        self.assertIn((2, None), [(one.upto, one.records) for one in self.sent])

    async def test_records_that_were_deleted_unread_count_as_missing(self) -> None:
        """A host answered 404 while it read a list anew whose records it knew to be news."""
        listed = asyncio.Event()

        async def read(*args: object, **options: object) -> Page:
            raise HistoryLostError("deleted", first=6)

        async def newest(topic: str) -> Page:
            await listed.wait()
            return Page(records=self.topics.records, next=6, era=0)

        with (
            mock.patch.object(self.topics, "read", read),
            mock.patch.object(self.topics, "newest", newest),
        ):
            await self.until(self.missing)
            self.assertEqual(self.missing(), [5])
            listed.set()
            self.topics.waits = asyncio.Event()
        await self.until(lambda: self.missing()[-1] == 0)


class TestNothingNew(FeedCase):
    """A reader tells "nothing new" only of what it knows to be all there is."""

    async def told_while_reading(self) -> list[ToldPage]:
        """Return what is told while a read waits."""
        await self.until(lambda: self.topics.waiting)
        told = len(self.sent)
        await asyncio.sleep(3 * SILENCE)
        return self.sent[told:]

    async def test_reader_that_knows_of_missing_records_tells_nothing(self) -> None:
        """After a page that broke off, listeners were told of its end that nothing is new."""
        self.turns.set_turn(reads=True, addresses=("b:1",))
        first = Page(records=(), next=2, era=0, end=3)
        read = self.topics.read

        async def read_page(topic: str, start: int, wait: float, **options: typing.Any) -> Page:
            if start == 1:
                return first
            self.topics.waits = self.topics.waits or asyncio.Event()
            return await read(topic, start, wait, **options)

        with mock.patch.object(self.topics, "read", read_page):
            self.assertEqual(await self.told_while_reading(), [])

    async def test_growth_of_an_era_that_is_gone_is_not_told(self) -> None:
        """Hosts would read again and again for an offset that the restored store does not have."""
        self.turns.set_turn(reads=True, addresses=("b:1",))
        self.topics.waits = asyncio.Event()
        await self.until(lambda: self.topics.waiting)
        self.topics.era = 1
        self.topics.on_end(4)
        self.assertEqual(await self.told_while_reading(), [])

    async def test_reader_does_not_speak_for_an_era_that_is_gone(self) -> None:
        """Listeners were told so of the store before its restore, which another feed knew of."""
        self.turns.set_turn(reads=True, addresses=("b:1",))
        self.topics.waits = asyncio.Event()
        await self.until(lambda: self.topics.waiting)
        self.topics.era = 1
        self.assertEqual(await self.told_while_reading(), [])


class TestPace(FeedCase):
    """A store whose answers bring nothing is not asked without a pause."""

    async def test_reader_pauses_after_an_answer_that_brings_nothing(self) -> None:
        """A host that reads, with a feed without a pause, asked again at once, for ever."""
        self.feed._pause = 0.0
        self.topics.add("a", b"second")
        self.topics.page_size = 0
        sleeps = []
        sleep = asyncio.sleep

        async def note(seconds: float) -> None:
            sleeps.append(seconds)
            await sleep(0.0)

        with mock.patch.object(_feed.asyncio, "sleep", note):
            reads = self.topics.reads
            await self.until(lambda: self.topics.reads > reads + 5)
        self.assertGreaterEqual(sleeps.count(_feed.FIRST_RETRY_S), 4)
