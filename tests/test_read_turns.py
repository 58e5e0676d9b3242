"""Tests of hosts that read the platform's store for the others of their zone."""

import asyncio
import unittest

from wasabiwick._effects_forwarding import ReadFeed, SetReadTurn
from wasabiwick._events import FeedBehind, FeedChanged
from wasabiwick._feed_lag import SPREAD_S, FeedLag
from wasabiwick._handlers import neighbours, read_turns
from wasabiwick._performers import forwarding
from wasabiwick._read_turns import MAX_KEPT_PAGES, MAX_TOLD_BYTES, ReadTurns, ToldPage
from wasabiwick._topics import KeyedRecord

from ._feed_case import LONG, SILENCE, FeedCase
from ._forward import ZONE, Host

NAMES = tuple(f"h{number:02}" for number in range(read_turns.MIN_ZONE_HOSTS + 4))


def hosts_that_hear(names: tuple[str, ...], silent: tuple[str, ...] = ()) -> dict[str, Host]:
    """Return hosts of one zone, each of which hears all others but the silent ones."""
    hosts = {name: Host(name=name) for name in names if name not in silent}
    for own, host in hosts.items():
        for _ in range(3):
            for name in names:
                if name not in (own, *silent):
                    host.know(name)
            host.run(1.0)
    return hosts


def readers(hosts: dict[str, Host]) -> list[str]:
    """Return the names of the hosts that read."""
    return [name for name, host in hosts.items() if host.state["read_turns"].reads]


class TestWhoReads(unittest.TestCase):
    """Two hosts of a large zone read, and others take their place once they fall silent."""

    def test_two_hosts_of_a_large_zone_read_and_tell_all_others(self) -> None:
        hosts = hosts_that_hear(NAMES)
        chosen = readers(hosts)
        self.assertEqual(len(chosen), read_turns.READERS)
        for name in chosen:
            turn = [one for one in hosts[name].effects if isinstance(one, SetReadTurn)][-1]
            self.assertEqual(len(turn.addresses), len(NAMES) - 1)

    def test_another_host_reads_in_the_place_of_a_silent_one(self) -> None:
        first = readers(hosts_that_hear(NAMES))
        left = readers(hosts_that_hear(NAMES, silent=(first[0],)))
        self.assertEqual(len(left), read_turns.READERS)
        self.assertIn(first[1], left)

    def test_a_host_alone_reads(self) -> None:
        hosts = hosts_that_hear(NAMES)
        listener = next(host for name, host in hosts.items() if name not in readers(hosts))
        listener.run(neighbours.SILENT_AFTER + 1.0)
        self.assertTrue(listener.state["read_turns"].reads)

    def test_all_hosts_of_a_small_zone_read_and_tell_nobody(self) -> None:
        hosts = hosts_that_hear(NAMES[: read_turns.MIN_ZONE_HOSTS - 1])
        self.assertEqual(len(readers(hosts)), len(hosts))
        for host in hosts.values():
            self.assertEqual([one for one in host.effects if isinstance(one, SetReadTurn)], [])

    def test_hosts_of_other_zones_do_not_count(self) -> None:
        host = Host(name=NAMES[0])
        for name in NAMES[1:]:
            host.know(name, zone=f"not-{ZONE}")
        host.run(1.0)
        self.assertTrue(host.state["read_turns"].reads)


class TestListening(FeedCase):
    """A host that listens applies what it is told, and reads only what it would miss."""

    silence = LONG

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.turns.set_turn(reads=False, addresses=())
        reads = -1
        while reads != self.topics.reads:  # A read that had begun may still end.
            reads = self.topics.reads
            await asyncio.sleep(0.02)
        self.reads = reads

    async def test_told_records_apply_without_a_read(self) -> None:
        self.tell(1, b"second", b"third")
        await self.until(lambda: self.seen[-1] == b"third")
        self.assertEqual(self.topics.reads, self.reads)

    async def test_records_told_twice_apply_once(self) -> None:
        for _ in range(3):
            self.tell(1, b"second")
        self.tell(2, b"third")
        await self.until(lambda: self.seen[-1] == b"third")
        self.assertEqual(self.seen, [b"first", b"second", b"third"])

    async def test_gap_is_read(self) -> None:
        for value in (b"second", b"third"):
            self.topics.add("a", value)
        self.tell(2, b"third")
        await self.until(lambda: self.seen[-1] == b"third")
        self.assertEqual(self.seen, [b"first", b"second", b"third"])

    async def test_records_too_large_to_be_told_are_read(self) -> None:
        large = b"x" * (MAX_TOLD_BYTES + 1)
        self.topics.add("a", large)
        record = KeyedRecord(key="a", value=large, offset=1)
        page = ToldPage(feed="feed", era=0, after=1, upto=2, records=(record,))
        self.turns.deliver(page.fitting())
        await self.until(lambda: self.seen[-1] == large)

    async def test_host_that_is_behind_reads_although_others_tell_nothing_new(self) -> None:
        """One failed read kept a host at an old version while a reader told nothing new."""
        self.topics.is_down = True
        self.turns.deliver(ToldPage(feed="feed", era=0, after=1, upto=3, records=None))
        await self.until(lambda: self.topics.reads > self.reads)
        for value in (b"second", b"third"):
            self.topics.add("a", value)
        self.topics.is_down = False

        def has_read() -> bool:
            self.tell(1)
            return self.seen[-1] == b"third"

        await self.until(has_read)
        self.assertEqual(self.seen, [b"first", b"second", b"third"])
        self.assertIsNone(self.feed._lag.due)

    async def test_connection_counts_as_lost_until_what_was_told_is_read(self) -> None:
        """A host that was behind and could not read said in turn that it could and could not."""
        self.topics.is_down = True
        self.turns.deliver(ToldPage(feed="feed", era=0, after=1, upto=2, records=None))
        await self.until(lambda: self.topics.reads > self.reads)
        reads = self.topics.reads

        def has_tried_again() -> bool:
            self.tell(1)
            return self.topics.reads > reads + 1

        await self.until(has_tried_again)
        self.assertIn("feed_read_fails", self.logged)
        self.assertEqual(self.logged.count("feed_behind"), 1)
        changes = [one.up for one in self.posted if isinstance(one, FeedChanged)]
        self.assertEqual(changes, [False])

    async def test_end_that_the_store_does_not_confirm_is_read_for_once(self) -> None:
        self.tell(5, b"of no such topic")
        await self.until(lambda: self.topics.reads > self.reads)
        await asyncio.sleep(0.05)
        self.assertEqual(self.topics.reads, self.reads + 1)

    async def test_reads_of_hosts_told_at_one_moment_are_spread(self) -> None:
        """All hosts of a zone read a large record at one moment."""
        now = asyncio.get_running_loop().time()
        dues = []
        for _ in range(20):
            lag = FeedLag()
            lag.hear(1, SPREAD_S)
            dues.append(lag.due - now)
        self.assertGreater(max(dues) - min(dues), SPREAD_S / 4)

    async def test_the_rest_of_a_page_that_broke_off_is_read_at_once(self) -> None:
        """A host that listens would go on only after a silence."""
        self.topics.page_size = 1
        for value in (b"second", b"third", b"fourth"):
            self.topics.add("a", value)
        self.tell(4)
        await self.until(lambda: self.seen[-1] == b"fourth")
        self.assertEqual(self.topics.reads, self.reads + 3)
        self.assertEqual([one for one in self.posted if isinstance(one, FeedChanged)], [])

    async def test_pages_that_bring_nothing_are_not_read_without_a_pause(self) -> None:
        self.topics.page_size = 0
        self.topics.add("a", b"second")
        self.tell(2)
        await self.until(lambda: self.topics.reads > self.reads)
        reads = self.topics.reads
        await asyncio.sleep(SPREAD_S / 2)
        self.assertLessEqual(self.topics.reads, reads + 1)

    async def test_host_reads_a_feed_now_once_it_is_to(self) -> None:
        """A host that knew better than its readers could only wait for them."""
        self.topics.add("a", b"second")
        forwarding.read_feed(self.runner, ReadFeed(feed="feed"))
        await self.until(lambda: self.seen[-1] == b"second")
        self.assertEqual(self.topics.reads, self.reads + 1)

    async def test_missing_records_are_reported_until_they_are_read(self) -> None:
        self.topics.is_down = True
        for upto in (3, 3, 4):
            page = ToldPage(feed="feed", era=0, after=1, upto=upto, records=None)
            self.turns.deliver(page)
        await self.until(lambda: self.topics.reads > self.reads)
        for value in (b"second", b"third", b"fourth"):
            self.topics.add("a", value)
        self.topics.is_down = False
        await self.until(lambda: self.seen[-1] == b"fourth")
        await self.until(lambda: "feed_caught_up" in self.logged)
        missing = [one.missing for one in self.posted if isinstance(one, FeedBehind)]
        self.assertEqual(missing, [2, 3, 0])

    async def test_page_of_another_era_is_not_applied(self) -> None:
        self.topics.era = 1
        self.topics.add("a", b"of the copy")
        self.tell(1, b"from before", era=2)
        await self.until(lambda: self.seen[-1] == b"of the copy")
        self.assertNotIn(b"from before", self.seen)

    async def test_host_turned_away_by_the_store_learns_from_others(self) -> None:
        self.topics.is_down = True
        self.tell(5, b"makes it read")
        await self.until(lambda: self.topics.reads > self.reads)
        self.tell(1, b"second")
        await self.until(lambda: b"second" in self.seen)

    async def test_unknown_feeds_and_floods_are_bounded(self) -> None:
        for number in range(3 * MAX_KEPT_PAGES):
            page = ToldPage(feed=f"f{number}", era=0, after=0, upto=1, records=())
            self.turns.deliver(page)
            self.tell(1_000 + number, b"far ahead")
        self.assertEqual(list(self.turns._told), ["feed"])
        self.assertLessEqual(len(self.turns._told["feed"]), MAX_KEPT_PAGES)


class TestReadNow(unittest.IsolatedAsyncioTestCase):
    """A read that is wanted at once is not made twice, nor later."""

    async def test_a_host_that_reads_keeps_its_pace(self) -> None:
        turns = ReadTurns(SILENCE)
        turns.read_now("feed")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(turns.next_page("feed", LONG), SILENCE)
        turns.set_turn(reads=False, addresses=())
        turns.read_now("feed")
        turns.set_turn(reads=True, addresses=())
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(turns.next_page("feed", LONG), SILENCE)


class TestSilence(FeedCase):
    """A host that is told nothing reads for itself."""

    async def test_change_is_read_after_a_silence(self) -> None:
        self.turns.set_turn(reads=False, addresses=())
        self.topics.add("a", b"second")
        await self.until(lambda: self.seen[-1] == b"second")


class TestErrors(FeedCase):
    """An error in the program ends no feed, without which a host would never learn anything new."""

    async def test_feed_goes_on_after_an_unexpected_error(self) -> None:
        self.topics.fault = KeyError("unexpected")
        self.topics.add("a", b"second")
        await self.until(lambda: self.topics.fault is None)
        await self.until(lambda: self.seen[-1] == b"second")


class TestTelling(FeedCase):
    """A host that reads tells what changed, and that nothing did."""

    async def test_only_what_changed_is_told(self) -> None:
        self.turns.set_turn(reads=True, addresses=("b:1",))
        self.topics.add("a", b"first renewed")
        self.topics.add("a", b"second")
        await self.until(lambda: self.sent and self.sent[-1].upto == 3)
        told = [one.value for page in self.sent for one in page.records]
        self.assertEqual(told, [b"second"])

    async def test_record_that_a_copy_lacked_is_told_once_it_is_back(self) -> None:
        """Hosts that listen lost endpoints for good whose entries came back as they had been."""
        self.turns.set_turn(reads=True, addresses=("b:1",))
        self.topics.records.clear()
        self.topics.add("b", b"of the copy")
        self.topics.era = 1
        await self.until(lambda: b"of the copy" in self.seen)
        self.topics.add("a", b"first")
        await self.until(lambda: self.sent and self.sent[-1].upto == 2 and self.sent[-1].era == 1)
        told = [one.value for page in self.sent for one in page.records]
        self.assertEqual(told, [b"first"])

    async def test_others_hear_while_a_read_waits_and_the_store_answers_others(self) -> None:
        """A long poll returns when something is new, which may be seconds later."""
        self.turns.set_turn(reads=True, addresses=("b:1",))
        await self.until(lambda: self.sent)  # The next read begins with its turn.
        self.topics.waits = asyncio.Event()
        await self.until(lambda: self.topics.waiting)
        told = len(self.sent)
        await self.until(lambda: len(self.sent) >= told + 3)
        self.assertEqual({(one.after, one.upto, one.records) for one in self.sent}, {(1, 1, ())})
        self.topics.add("a", b"second")
        self.topics.waits.set()
        await self.until(lambda: self.sent[-1].upto == 2)

    async def test_nothing_is_told_while_the_store_does_not_answer(self) -> None:
        """Two readers that were cut off the store kept all hosts of their zone from reading it."""
        self.turns.set_turn(reads=True, addresses=("b:1",))
        await self.until(lambda: self.sent)
        self.topics.waits = asyncio.Event()
        self.topics.answered_at = -2 * self.turns.answered_within
        await self.until(lambda: self.topics.waiting)
        told = len(self.sent)
        await asyncio.sleep(3 * self.silence)
        self.assertLessEqual(len(self.sent), told + 1)  # One read may have been answered before.
        self.topics.waits.set()
        await self.until(lambda: len(self.sent) > told + 1)

    async def begin_long_read(self) -> None:
        """Have a host that tells others begin a read that goes on."""
        self.turns.set_turn(reads=True, addresses=("b:1",))
        self.topics.is_down = False
        self.topics.waits = asyncio.Event()
        await self.until(lambda: self.topics.waiting)

    async def test_nothing_is_told_of_a_read_that_should_have_ended(self) -> None:
        """A reader whose own read did not end kept others at an old version."""
        await self.begin_long_read()
        self.now = self.topics.answered_at = 1.0
        told = len(self.sent)
        await asyncio.sleep(3 * self.silence)
        self.assertEqual(len(self.sent), told)

    async def test_nothing_is_told_after_a_read_that_failed(self) -> None:
        """A reader that had failed to read a change told that nothing was new."""
        self.topics.is_down = True
        await self.until(lambda: self.posted)
        await self.begin_long_read()
        told = len(self.sent)
        await asyncio.sleep(3 * self.silence)
        self.assertEqual(len(self.sent), told)

    async def test_an_answer_without_the_records_that_exist_is_not_told_as_nothing_new(
        self,
    ) -> None:
        """Others would not read what this host could not."""
        self.topics.page_size = 0
        self.topics.add("a", b"second")
        self.turns.set_turn(reads=True, addresses=("b:1",))
        # A read that was answered before the record came may still be told.
        reads = self.topics.reads
        await self.until(lambda: self.topics.reads > reads + 1)
        told = len(self.sent)
        await self.until(lambda: self.topics.reads > reads + 4)
        self.assertEqual(self.sent[told:], [])

    async def test_growth_is_told_before_the_records_have_come(self) -> None:
        """Hosts on fast paths learned of a large record only once a reader on a slow one had it."""
        await self.begin_long_read()
        told = len(self.sent)
        self.topics.on_end(4)
        await self.until(lambda: self.sent[told:])
        self.assertEqual(self.posted, [FeedBehind(at=0.0, feed="feed", missing=3)])
        await asyncio.sleep(3 * self.silence)
        pages = [(one.after, one.upto, one.records) for one in self.sent[told:]]
        self.assertEqual(pages, [(1, 4, None)])
        for value in (b"second", b"third", b"fourth"):
            self.topics.add("a", value)
        self.topics.waits.set()
        await self.until(lambda: any(one.records for one in self.sent[told:]))

    async def test_growth_is_not_told_apart_from_records_that_come_at_once(self) -> None:
        await self.begin_long_read()
        told = len(self.sent)
        self.topics.add("a", b"second")
        self.topics.on_end(2)
        self.topics.waits.set()
        await self.until(lambda: any(one.upto == 2 for one in self.sent[told:]))
        self.assertNotIn(None, [one.records for one in self.sent[told:]])

    def test_short_reads_show_in_time_that_the_store_is_reached(self) -> None:
        """Otherwise those who listen would read for themselves whenever nothing is new."""
        turns = ReadTurns(0.8)
        self.assertEqual(turns.short_wait(2.0, 0.7), 2.0)
        turns.set_turn(reads=True, addresses=("b:1",))
        for pause in (0.0, 0.1, 0.7, 5.0):
            wait = turns.short_wait(10.0, pause)
            self.assertGreater(wait, 0.0)
            cycle = min(pause, 0.6 * turns.silence) + wait
            self.assertLess(cycle, 0.8 * turns.silence)
            # Between two answers there is a telling, and none long after the last one.
            self.assertLess(turns.tell_interval, turns.answered_within)
            self.assertLess(cycle - turns.answered_within + turns.tell_interval, turns.silence)

    async def test_host_with_nobody_to_tell_sends_nothing(self) -> None:
        self.topics.add("a", b"second")
        await self.until(lambda: self.seen[-1] == b"second")
        self.assertEqual(self.sent, [])
