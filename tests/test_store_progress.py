"""Tests of calls to the store whose answers take long, stall or break off."""

import asyncio
import itertools
import os
import time
import unittest

from wasabiwick._errors import Failure
from wasabiwick._progress_http import CallLimits
from wasabiwick._topics import StoreError, kept_records
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

    async def test_answer_that_came_while_the_process_was_held_up_is_read(self) -> None:
        """A host with little of a processor gave up answers that were there, and began again."""
        body = offsets(1) + record("k", VALUE)
        store = await self.store([head(length=len(body)) + body[:20], LONG], silence=SHORT)

        def hold_up() -> None:
            time.sleep(2 * SHORT)
            # By then the time-out is due, so that the event loop finds both at once.
            os.write(self.server.writers[0].get_extra_info("socket").fileno(), body[20:])

        def on_end(end: int) -> None:
            asyncio.get_running_loop().call_soon(hold_up)

        page = await store.read(TOPIC, 0, 0.0, on_end=on_end)
        self.assertEqual(page.records[0].value, VALUE)

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

    async def test_silent_read_names_its_phase_once_an_era_is_known(self) -> None:
        """Log lines took a store that does not answer for one that is older than a restore."""
        store = await self.store(answer(newest("a", end=1)), [LONG], first_byte=SHORT)
        await store.newest(TOPIC)
        with self.assertRaisesRegex(StoreError, "first byte: silent"):
            await store.read(TOPIC, 1, 0.0)

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


class TestSilentPath(StoreCase):
    """A path that goes silent costs each caller one call."""

    async def store_with_idle_connections(self) -> _store.Store:
        """Return the client of a store with three idle connections that have gone silent."""
        waiting, ready = asyncio.Event(), answer(newest("a", end=1))
        store = await self.store(*([waiting, *ready],) * 3, [LONG], ready, ready, ready)
        calls = [asyncio.ensure_future(store.newest(TOPIC)) for _ in range(3)]
        await self.until_called(3)
        waiting.set()
        await asyncio.gather(*calls)
        return store

    async def test_no_later_call_uses_a_connection_from_before_the_silence(self) -> None:
        """Each of the connections that were kept open cost another call, one after the other."""
        store = await self.store_with_idle_connections()
        self.limit_first_byte(store)
        with self.assertRaisesRegex(StoreError, "silent"):
            await store.newest(TOPIC)
        await store.newest(TOPIC)
        self.assertEqual(self.server.connections, 4)

    async def test_calls_in_progress_on_a_connection_from_before_end_as_they_are(self) -> None:
        """Closing what is in use would cut answers that still come."""
        begun, ended = asyncio.Event(), asyncio.Event()
        body = offsets(1) + record("k", b"v")
        slow = [head(length=len(body)) + body[:-1], ended, body[-1:]]
        store = await self.store(slow, [LONG], answer(newest("a", end=1)))
        reading = asyncio.ensure_future(store.read(TOPIC, 0, 0.0, on_end=lambda _: begun.set()))
        await begun.wait()
        self.limit_first_byte(store)
        with self.assertRaisesRegex(StoreError, "silent"):
            await store.newest(TOPIC)
        await store.newest(TOPIC)
        ended.set()
        self.assertEqual((await reading).records[0].value, b"v")
        self.assertEqual(len(store._client._pools), 1)

    async def test_client_with_calls_on_several_pools_closes(self) -> None:
        """Closing failed once a call that ended with it discarded its pool."""
        store = await self.store(*([LONG] for _ in range(6)))
        self.limit_first_byte(store)
        calls = []
        for number in range(3):
            calls.append(asyncio.ensure_future(store.read(TOPIC, 0, LONG)))
            await self.until_called(2 * number + 1)
            with self.assertRaisesRegex(StoreError, "silent"):
                await store.newest(TOPIC)
        await store.close()
        for call in calls:
            with self.assertRaises(StoreError):
                await call

    async def until_called(self, count: int) -> None:
        """Wait until the store has been called so often."""

        async def is_called() -> bool:
            return len(self.server.calls) == count

        await until(is_called)

    def limit_first_byte(self, store: _store.Store) -> None:
        """Let later calls give up soon."""
        store._client._limits.first_byte = SHORT


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


class TestBrokenOff(StoreCase):
    """A read that breaks off returns the records that came whole, and the next one goes on."""

    async def first_two(self, *rest: Step, **limits: float) -> None:
        """Check that two whole records are returned, of three, if the answer goes on like this."""
        body = offsets(3) + record("a", b"1") + record("b", b"2") + record("c", VALUE)[:9]
        store = await self.store([head(length=10_000) + body, *rest], **limits)
        page = await store.read(TOPIC, 0, 0.0)
        self.assertEqual([(one.key, one.offset) for one in page.records], [("a", 0), ("b", 1)])
        self.assertEqual((page.next, page.end, page.era), (2, 3, 1))

    async def test_records_before_a_stall_are_returned(self) -> None:
        """Several versions that don't come within one call were read again from the first on."""
        await self.first_two(LONG, silence=SHORT)

    async def test_records_before_a_reset_are_returned(self) -> None:
        """A path that breaks connections now and then let no long answer come to its end."""
        await self.first_two(SHORT, RESET)

    async def test_records_before_a_close_are_returned(self) -> None:
        """A proxy that ends closes its connections, and does not reset them."""
        await self.first_two(CLOSE)

    async def test_records_before_the_bound_are_returned(self) -> None:
        """More records than one answer may bring could never be read."""
        await self.first_two(SHORT, VALUE, max_bytes=1_000)

    async def test_records_before_a_slow_end_are_returned(self) -> None:
        """A path that becomes too slow keeps none of what came before."""
        trickle = [b"v", 0.02] * 1_000
        await self.first_two(*trickle, speed=1e5, slow_start=SHORT, silence=LONG)

    async def test_read_without_a_whole_record_fails(self) -> None:
        """An empty page would be taken for no news."""
        for rest in ((SHORT, RESET), (CLOSE,)):
            body = offsets(1) + record("a", VALUE)[:-1]
            for length in (len(body) + 1, None):
                store = await self.store([head(length=length) + body, *rest])
                with self.assertRaises(StoreError):
                    await store.read(TOPIC, 0, 0.0)

    async def test_records_of_an_older_era_are_not_returned(self) -> None:
        """They would count as those of the era that another answer named meanwhile."""
        begun, restored = asyncio.Event(), asyncio.Event()
        slow = [head(length=99) + offsets(2) + record("a", b"1"), restored, CLOSE]
        store = await self.store(slow, answer(newest("a", end=1), era=2))
        reading = asyncio.ensure_future(store.read(TOPIC, 0, 0.0, on_end=lambda _: begun.set()))
        await begun.wait()
        await store.newest(TOPIC)
        restored.set()
        with self.assertRaisesRegex(StoreError, "older than the restored store"):
            await reading

    async def test_history_is_read_whole_over_answers_that_break_off(self) -> None:
        """What hosts resume streams by must not lack the entries behind a break."""
        cut = [head(length=99) + offsets(3) + record("a", b"1"), CLOSE]
        rest = answer(offsets(3) + record("b", b"2") + record("c", b"3"))
        store = await self.store(cut, rest)
        records = await kept_records(store, TOPIC, 0)
        self.assertEqual([one.offset for one in records], [0, 1, 2])

    async def test_history_is_read_on_behind_a_record_without_a_key(self) -> None:
        """A page of such records only was taken for the last."""
        cut = [head(length=99) + offsets(2) + bytes(4), CLOSE]
        store = await self.store(cut, answer(offsets(2) + record("b", b"2")))
        records = await kept_records(store, TOPIC, 0)
        self.assertEqual([one.offset for one in records], [1])


class TestPages(StoreCase):
    """A page of the newest records that does not come is asked for again, and not those before."""

    first = answer(newest("a", end=2, more=True))
    last = answer(newest("b", end=2))
    cut: list[Step] = [head(length=99) + b"{", CLOSE]

    async def test_page_that_breaks_off_is_read_again(self) -> None:
        """A list of many pages began again with each connection that broke."""
        store = await self.store(self.first, self.cut, self.cut, self.last)
        page = await store.newest(TOPIC)
        self.assertEqual([one.key for one in page.records], ["a", "b"])
        self.assertEqual(["after=a" in call for call in self.server.calls], [False] + 3 * [True])

    async def test_page_is_not_read_again_without_end(self) -> None:
        """The caller would never learn that the store is lost, and each call has its price."""
        store = await self.store(self.first, self.cut, self.cut, self.cut, self.last)
        with self.assertRaises(StoreError):
            await store.newest(TOPIC)
        self.assertEqual(len(self.server.calls), 4)

    async def test_first_page_is_not_read_again(self) -> None:
        """Nothing is lost with it, and its caller waits before it tries again."""
        store = await self.store(self.cut, self.first, self.last)
        with self.assertRaises(StoreError):
            await store.newest(TOPIC)
        self.assertEqual(len(self.server.calls), 1)

    async def test_page_that_the_store_refuses_is_not_read_again(self) -> None:
        """A store that turns calls away must not get more of them."""
        store = await self.store(self.first, answer(b"", status=429), self.last)
        with self.assertRaises(StoreError):
            await store.newest(TOPIC)
        self.assertEqual(len(self.server.calls), 2)

    async def test_page_is_not_read_again_from_a_restored_store(self) -> None:
        """The pages before are of another era."""
        cut = [head(length=99, era=2) + b"{", CLOSE]
        store = await self.store(self.first, cut, answer(newest("b", end=2), era=2))
        with self.assertRaises(StoreError):
            await store.newest(TOPIC)
        self.assertEqual(len(self.server.calls), 2)
