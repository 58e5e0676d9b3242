"""Tests of reading what hosts saved, against a store whose answers are counted."""

import asyncio
import random
import time
import typing
import unittest
from unittest import mock

import msgspec

from wasabiwick._errors import Failure
from wasabiwick._ports import SavedStreams
from wasabiwick._topics import HistoryLostError, KeyedRecord, Page, StoreError
from wasabiwick.platform._feeds import StoreHostRegister

from ._platform import MODEL, TOPIC_PREFIX

TOPIC, SPARE = TOPIC_PREFIX + "streams", TOPIC_PREFIX + "streams-spare"
SERVERS, HOSTS_TOPIC = TOPIC_PREFIX + "servers", TOPIC_PREFIX + "hosts"
HOSTS = 20
PAGE_RECORDS = 4  # Most records in one page of a log.


class CountedTopics:
    """Topics in memory.

    Attributes:
        read_count: Number of records that answers held.
        lists: Number of reads begun of the newest record of each key, by topic.
        failing_in: Reads of a log after which one fails; None for no failure.
        held: Answers wait for it, if it is not None.
        open_calls: Number of calls that wait for their answer, by topic.
        most_open: Largest number of calls that waited at once for one topic.
    """

    def __init__(self) -> None:
        self.era = 0
        self.answered_at = 0.0
        topics = (TOPIC, SPARE, SERVERS, HOSTS_TOPIC)
        self.logs: dict[str, list[tuple[str, bytes | None]]] = {topic: [] for topic in topics}
        self.first = dict.fromkeys(topics, 0)
        self.read_count = 0
        self.lists = dict.fromkeys(topics, 0)
        self.failing_in: int | None = None
        self.held: asyncio.Event | None = None
        self.open_calls = dict.fromkeys(topics, 0)
        self.most_open = 0

    def save(self, host: str, stream: str, *, topic: str = TOPIC, **fields: int) -> None:
        """Save one stream of a host."""
        record = {"saved_ms": 0, "streams": [[stream, MODEL, "v1", 5]], "builds": {}}
        self.logs[topic].append((host, msgspec.json.encode(record | fields)))

    async def newest(self, topic: str) -> Page:
        self.lists[topic] += 1
        await self._wait(topic)
        records = [
            KeyedRecord(key=key, value=value, offset=offset)
            for key, (offset, value) in self.newest_of(topic).items()
            if value is not None
        ]
        self.read_count += len(records)
        return Page(records=records, next=len(self.logs[topic]), era=self.era)

    def newest_of(self, topic: str) -> dict[str, tuple[int, bytes | None]]:
        """Return the offset and the value of each key's newest record."""
        return {key: (offset, value) for offset, (key, value) in enumerate(self.logs[topic])}

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        *,
        on_end: typing.Callable[[int], None] | None = None,
    ) -> Page:
        await self._wait(topic)
        log = self.logs[topic]
        if start > len(log) or start < self.first[topic]:
            raise HistoryLostError("deleted", self.first[topic])
        if on_end is not None:
            on_end(len(log))
        if topic == TOPIC and self.failing_in is not None:
            self.failing_in -= 1
            if self.failing_in < 0:
                self.failing_in = None
                raise StoreError("broken off")
        records = [
            KeyedRecord(key=key, value=value, offset=offset)
            for offset, (key, value) in enumerate(log[start : start + PAGE_RECORDS], start)
        ]
        self.read_count += len(records)
        return Page(records=records, next=start + len(records), era=self.era, end=len(log))

    async def _wait(self, topic: str) -> None:
        self.open_calls[topic] += 1
        self.most_open = max(self.most_open, self.open_calls[topic])
        try:
            await asyncio.sleep(0)
            if self.held is not None:
                await self.held.wait()
        finally:
            self.open_calls[topic] -= 1


def streams_of(saved: SavedStreams | Failure) -> dict[str, set[str]]:
    """Return the names of each host's streams."""
    assert isinstance(saved, SavedStreams), saved
    return {host: {one.name for one in streams} for host, streams in saved.streams.items()}


class SavedStreamsTest(unittest.IsolatedAsyncioTestCase):
    """Twenty hosts have saved a stream each."""

    async def asyncSetUp(self) -> None:
        self.topics = CountedTopics()
        self.register = StoreHostRegister(self.topics)
        self.truth = {f"h-{number}": {f"t-{number}"} for number in range(HOSTS)}
        for number in range(HOSTS):
            self.topics.save(f"h-{number}", f"t-{number}")

    async def read(self, now: float) -> dict[str, set[str]]:
        """Read what hosts saved."""
        return streams_of(await self.register.saved_streams(now))


class TestIncrements(SavedStreamsTest):
    """A read costs what has changed since the last one."""

    async def test_second_read_fetches_what_was_saved_since(self) -> None:
        """Each take-up read all streams of all hosts, which takes seconds on a narrow path."""
        self.assertEqual(await self.read(0.0), self.truth)
        self.topics.read_count = 0
        self.topics.save("h-3", "new")
        self.truth["h-3"] = {"new"}
        self.assertEqual(await self.read(0.1), self.truth)
        self.assertEqual(self.topics.read_count, 1)

    async def test_read_that_broke_off_goes_on_where_it_ended(self) -> None:
        """A read that began again at its first record never ended."""
        await self.read(0.0)
        for number in range(10):
            self.topics.save(f"h-{number}", "new")
            self.truth[f"h-{number}"] = {"new"}
        self.topics.read_count = 0
        self.topics.failing_in = 2
        self.assertIsInstance(await self.register.saved_streams(0.1), Failure)
        self.assertEqual(self.topics.read_count, 2 * PAGE_RECORDS)
        self.assertEqual(await self.read(0.15), self.truth)
        self.assertEqual(self.topics.read_count, 10)

    async def test_reads_of_a_host_do_not_overlap(self) -> None:
        """A read begun beside one that is under way makes both slower."""
        await asyncio.gather(*(self.read(0.0) for _ in range(3)))
        self.assertEqual(self.topics.most_open, 1)
        self.assertEqual(self.topics.lists[TOPIC], 1)

    async def test_read_goes_on_though_it_is_asked_for_again(self) -> None:
        """A read that was repeated while it took long began again, and never ended."""
        self.topics.held = asyncio.Event()
        reads = [asyncio.create_task(self.read(0.0))]
        for _ in range(3):
            await asyncio.sleep(0.001)
            reads[-1].cancel()
            reads.append(asyncio.create_task(self.read(0.0)))
        self.topics.held.set()
        self.assertEqual(await reads[-1], self.truth)
        self.assertEqual(self.topics.lists[TOPIC], 1)

    async def test_list_of_hosts_is_read_though_hosts_go_on_starting(self) -> None:
        """Each host that starts is a reason to read the list again, which ended the read before."""
        record = {"address": "127.0.0.1:1", "zone": "zone-a"}
        self.topics.logs[HOSTS_TOPIC].append(("h-0", msgspec.json.encode(record)))
        self.topics.held = asyncio.Event()
        reads = [asyncio.create_task(self.register.hosts())]
        for number in range(1, 4):
            await asyncio.sleep(0.001)
            reads[-1].cancel()
            self.topics.logs[HOSTS_TOPIC].append((f"h-{number}", msgspec.json.encode(record)))
            reads.append(asyncio.create_task(self.register.hosts()))
        self.topics.held.set()
        self.assertEqual(set(await reads[-1]), {f"h-{number}" for number in range(4)})
        self.assertEqual(self.topics.lists[HOSTS_TOPIC], 1)

    async def test_list_is_read_only_where_the_log_since_then_is_longer(self) -> None:
        """The list was read again where many saves could have come, though few had."""
        await self.read(0.0)
        for number in range(10 * HOSTS):
            self.topics.save(f"h-{number % HOSTS}", f"t-{number}")
        self.topics.read_count = 0
        self.assertEqual((await self.read(2.0))["h-3"], {f"t-{9 * HOSTS + 3}"})
        self.assertEqual((self.topics.read_count, self.topics.lists[TOPIC]), (HOSTS, 2))
        for number in range(HOSTS):
            self.topics.save(f"h-{number}", "new")
        self.assertEqual((await self.read(9.0))["h-3"], {"new"})
        self.assertEqual(self.topics.lists[TOPIC], 2)

    async def test_streams_are_not_kept_for_good(self) -> None:
        with mock.patch("wasabiwick._topic_copy.KEEP_S", 0.0):
            await self.read(0.0)
        await asyncio.sleep(0.01)
        self.assertEqual(await self.read(0.1), self.truth)
        self.assertEqual(self.topics.lists[TOPIC], 2)


class TestHistory(SavedStreamsTest):
    """The list's history is read as far back as a host's save is believed."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.topics.logs[SERVERS] += [("left", None) for _ in range(40)]

    async def test_history_is_not_read_from_the_save_of_a_host_that_left(self) -> None:
        """What a host that is gone for good saved last made each start read all the history."""
        self.topics.save("recent", "t", saved_ms=int(time.time() * 1000), listed_upto=30, era=0)
        self.topics.read_count = 0
        saved = await self.register.saved_streams(0.0, history=True)
        self.assertEqual([one.offset for one in saved.history], list(range(30, 40)))
        self.assertEqual(self.topics.read_count, HOSTS + 1 + 10)

    async def test_no_history_is_read_where_no_save_is_believed(self) -> None:
        self.topics.read_count = 0
        saved = await self.register.saved_streams(0.0, history=True)
        self.assertEqual((saved.history, self.topics.read_count), ((), HOSTS))


class TestTruth(SavedStreamsTest):
    """What is read is what the store held when the read began, or newer."""

    async def test_save_before_a_call_is_seen_though_a_read_is_under_way(self) -> None:
        await self.read(0.0)
        self.topics.held = asyncio.Event()
        first = asyncio.create_task(self.read(0.1))
        await asyncio.sleep(0)
        self.topics.save("h-3", "new", topic=SPARE)
        second = asyncio.create_task(self.read(0.2))
        await asyncio.sleep(0)
        self.topics.held.set()
        await first
        self.assertEqual((await second)["h-3"], {"t-3", "new"})

    async def test_streams_that_a_restored_copy_lacks_are_gone(self) -> None:
        self.topics.save("late", "late")
        self.assertIn("late", await self.read(0.0))
        self.topics.logs[TOPIC].pop()
        self.topics.era = 1
        self.topics.save("other", "other")
        saved = await self.register.saved_streams(0.1)
        self.assertEqual(streams_of(saved), self.truth | {"other": {"other"}})
        self.assertEqual(saved.era, 1)

    async def test_host_whose_record_is_deleted_or_unreadable_is_dropped(self) -> None:
        await self.read(0.0)
        self.topics.logs[TOPIC] += [("h-3", None), ("h-4", b"unreadable")]
        del self.truth["h-3"], self.truth["h-4"]
        self.assertEqual(await self.read(0.1), self.truth)

    async def test_any_order_of_saves_and_faults_gives_the_newest(self) -> None:
        """Also after deleted history, restores and calls that failed."""
        for seed in range(40):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def play(self, rng: random.Random) -> None:
        """Play random changes, and compare what is read after each."""
        self.topics = topics = CountedTopics()
        self.register = StoreHostRegister(topics)
        now = 0.0
        for number in range(60):
            now += rng.choice((0.01, 0.3, 2.0))
            for _ in range(rng.choice((0, 1, 2, 12))):
                topic, host = rng.choice((TOPIC, SPARE)), f"h-{rng.randrange(8)}"
                if rng.random() < 0.2:
                    topics.logs[topic].append((host, rng.choice((None, b"unreadable"))))
                else:
                    topics.save(host, f"t-{number}-{rng.random()}", topic=topic)
            fault = rng.random()
            if fault < 0.1:
                topics.first[TOPIC] = len(topics.logs[TOPIC])
            elif fault < 0.2:
                topics.era += 1
                for topic, log in topics.logs.items():
                    del log[rng.randrange(len(log) + 1) :]
                    topics.first[topic] = min(topics.first[topic], len(log))
            topics.failing_in = rng.choice((None, None, 0, 1))
            saved = await self.register.saved_streams(now)
            if isinstance(saved, Failure):
                continue
            topics.failing_in = None
            self.assertEqual(saved.era, topics.era)
            truth: dict[str, set[str]] = {}
            for topic in (TOPIC, SPARE):
                for host, (_, value) in topics.newest_of(topic).items():
                    if value not in (None, b"unreadable"):
                        rows = msgspec.json.decode(value)["streams"]
                        truth.setdefault(host, set()).update(row[0] for row in rows)
            self.assertEqual(streams_of(saved), truth)


if __name__ == "__main__":
    unittest.main()
