"""Tests of calls to the store whose answers take long, stall or break off."""

import asyncio
import itertools
import unittest

from wasabiwick._errors import Failure
from wasabiwick._progress_http import CallLimits
from wasabiwick._topics import StoreError
from wasabiwick.platform import _store

from ._processes import until
from ._scripted_store import (
    CLOSE,
    RESET,
    ScriptedStore,
    Step,
    answer,
    head,
    newest,
    offsets,
    record,
)

LONG = 60.0  # Seconds that no test waits for.
SHORT = 0.2  # Seconds of a limit that a test waits for.
TOPIC = "topic"
VALUE = b"v" * 4_000


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Base with a client of a scripted store."""

    async def store(self, *scripts: list[Step] | itertools.cycle, **limits: float) -> _store.Store:
        """Start a store with these scripts, and return its client."""
        self.server = await self.enterAsyncContext(ScriptedStore(*scripts))
        args = (CallLimits(**limits),) if limits else ()
        store = _store.Store(f"http://{self.server.address}", *args)
        self.addAsyncCleanup(store.close)
        return store


class TestProgress(StoreCase):
    """A call lasts for as long as its answer makes progress."""

    async def test_answer_that_flows_for_longer_than_any_time_out_is_read(self) -> None:
        """A whole time-out of 1 s kept a host from ever reading what its path takes longer for."""
        body = offsets(1) + record("k", VALUE * 25)
        pieces = [body[at : at + 2_000] for at in range(0, len(body), 2_000)]
        script: list[Step] = [head(length=len(body))]
        for piece in pieces:
            script += [piece, 0.03]
        page = await (await self.store(script)).read(TOPIC, 0, 0.0)
        self.assertEqual([one.value for one in page.records], [VALUE * 25])
        self.assertEqual((page.next, page.end), (1, 1))

    async def test_silent_store_is_given_up_before_the_first_byte(self) -> None:
        """Otherwise a call that the store drops holds its caller for good."""
        store = await self.store([LONG], first_byte=SHORT)
        with self.assertRaisesRegex(StoreError, r"first byte: silent, 0 bytes in \d+\.\d\d s"):
            await store.read(TOPIC, 0, 0.0)

    async def test_store_may_wait_as_long_as_it_was_asked_to(self) -> None:
        """A long poll without news is no silence, also if its head comes first."""
        script = [head(length=16), 3 * SHORT, offsets(0)]
        store = await self.store(script, first_byte=SHORT, silence=SHORT)
        page = await store.read(TOPIC, 0, 10 * SHORT)
        self.assertEqual((page.next, page.end), (0, 0))

    async def test_answer_that_stalls_is_given_up(self) -> None:
        """Otherwise a path that goes dead in an answer holds its caller for good."""
        store = await self.store([head(length=1_000) + offsets(1), LONG], silence=SHORT)
        with self.assertRaisesRegex(StoreError, r"body: silent, 16 bytes in"):
            await store.read(TOPIC, 0, 0.0)

    async def test_answer_that_trickles_is_given_up(self) -> None:
        """A byte now and then is no silence, and would hold its caller for hours."""
        script = itertools.chain([head(length=10**9)], itertools.cycle([b" ", 0.01]))
        store = await self.store(script, speed=1e6, slow_start=SHORT, silence=LONG)
        with self.assertRaisesRegex(StoreError, r"body: too slow, \d+ bytes in"):
            await store.newest(TOPIC)

    async def test_answer_without_end_is_given_up(self) -> None:
        """It would fill the memory, and is never silent or slow."""
        script = itertools.chain([head()], itertools.cycle([b" " * 10_000]))
        store = await self.store(script, max_bytes=100_000)
        with self.assertRaisesRegex(StoreError, r"body: longer than 100000 bytes, \d+ bytes in"):
            await store.newest(TOPIC)

    async def test_refused_connection_is_told_as_such(self) -> None:
        """A log line has to tell a store that can't be reached from one that does not answer."""
        store = await self.store()
        self.server._server.close()
        with self.assertRaisesRegex(StoreError, r"connect: .*, 0 bytes in"):
            await store.newest(TOPIC)

    async def test_large_upload_gets_its_time(self) -> None:
        """A record too long for its path within 1 s could never be saved."""
        script = [3 * SHORT, *answer(b'{"offset":7}')]
        store = await self.store(script, first_byte=SHORT, speed=10_000)
        self.assertEqual(await store.append(TOPIC, "k", b"v" * 50_000), (1 << 40) + 7)

    async def test_small_upload_gets_no_more_time(self) -> None:
        """Otherwise a silent store is noticed late."""
        store = await self.store([LONG], first_byte=SHORT, speed=10_000)
        self.assertIsInstance(await store.append(TOPIC, "k", b"v"), Failure)

    async def test_connection_is_used_again(self) -> None:
        """Each call would connect anew, as long as whole answers closed their connections."""
        script = answer(newest("a", end=1))
        store = await self.store(script, answer(b"", status=503), script)
        await store.newest(TOPIC)
        with self.assertRaises(StoreError):
            await store.newest(TOPIC)
        await store.newest(TOPIC)
        self.assertEqual(self.server.connections, 1)


class TestPassedOn(StoreCase):
    """What an answer says is passed on as soon as it is known to count."""

    def setUp(self) -> None:
        self.ends: list[int] = []

    async def test_end_is_told_before_the_records_come(self) -> None:
        """A host would not know that it is behind until it no longer is."""
        told = asyncio.Event()
        store = await self.store([head(length=26) + offsets(1), told, record("k", b"abcd")])

        def on_end(end: int) -> None:
            self.ends.append(end)
            told.set()

        page = await store.read(TOPIC, 0, 0.0, on_end=on_end)
        self.assertEqual(self.ends, [1])
        self.assertEqual(page.records[0].value, b"abcd")

    async def test_end_is_told_once_however_its_bytes_come(self) -> None:
        """A path may cut an answer anywhere."""
        body = offsets(2) + record("a", b"1") + record("b", b"2")
        script: list[Step] = [head(length=len(body))]
        for at in range(len(body)):
            script += [body[at : at + 1], 0.001]
        store = await self.store(script)
        page = await store.read(TOPIC, 0, 0.0, on_end=self.ends.append)
        self.assertEqual(self.ends, [2])
        self.assertEqual([(one.key, one.value) for one in page.records], [("a", b"1"), ("b", b"2")])

    async def test_answer_in_progress_counts_as_the_store_answering(self) -> None:
        """Otherwise a host whose read takes long takes the store for gone."""
        store = await self.store([head(length=1_000) + offsets(1), LONG])
        before = store.answered_at
        reading = asyncio.ensure_future(store.read(TOPIC, 0, 0.0))

        async def has_answered() -> bool:
            return store.answered_at > before

        await until(has_answered)
        self.assertFalse(reading.done())
        reading.cancel()

    async def test_answer_of_an_older_era_passes_nothing_on(self) -> None:
        """What a copy of before a restore says must not be taken for news."""
        old = answer(offsets(5) + record("k", b"v") * 5, era=1)
        store = await self.store(answer(newest("a", end=1), era=2), old)
        await store.newest(TOPIC)
        answered_at = store.answered_at
        with self.assertRaisesRegex(StoreError, "older than the restored store"):
            await store.read(TOPIC, 0, 0.0, on_end=self.ends.append)
        self.assertEqual((self.ends, store.answered_at), ([], answered_at))

    async def test_answer_in_progress_while_the_store_is_restored_is_refused(self) -> None:
        """Its records would count as those of the era that another answer named meanwhile."""
        begun, restored = asyncio.Event(), asyncio.Event()
        body = offsets(1) + record("k", b"v")
        slow = [head(length=len(body), era=1) + body[:-1], restored, body[-1:]]
        store = await self.store(slow, answer(newest("a", end=1), era=2))
        reading = asyncio.ensure_future(store.read(TOPIC, 0, 0.0, on_end=lambda _: begun.set()))
        await begun.wait()
        await store.newest(TOPIC)
        restored.set()
        with self.assertRaisesRegex(StoreError, "older than the restored store"):
            await reading

    async def test_answer_without_a_length_that_is_reset_is_not_whole(self) -> None:
        """What came before the reset was taken for all that there is."""
        store = await self.store([head() + offsets(3), SHORT, RESET])
        with self.assertRaisesRegex(StoreError, "body: reset"):
            await store.read(TOPIC, 0, 0.0)

    async def test_answer_without_a_length_that_is_closed_is_whole(self) -> None:
        """That is how such an answer ends."""
        store = await self.store([head() + offsets(1) + record("k", b"v"), SHORT, CLOSE])
        page = await store.read(TOPIC, 0, 0.0)
        self.assertEqual((page.next, page.records[0].value), (1, b"v"))
