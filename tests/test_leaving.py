"""Tests of endpoints that say in their answers that they leave."""

import unittest

from wasabiwick import _events
from wasabiwick._effects_forwarding import TellLoad
from wasabiwick._handlers import departures, directory

from ._forward import BROKEN, DECODE, PREFILL, Forward, Host, ReadPrompt, TakeHold, engine, plain
from ._processes import until
from .test_on_platform import Site


def say_leaving(host: Host, endpoint: str) -> None:
    """Let an endpoint say to a host that it leaves, in answer to a request sent just now."""
    host.feed(_events.EndpointLeaving, endpoint=endpoint, sent_at=host.now)


def leaving(*endpoints: tuple[str, int]) -> TellLoad:
    """Return a datagram that tells which endpoints leave, each with its start."""
    return TellLoad(addresses=(), sequence=1, loads={}, stopping=False, busy={}, leaving=endpoints)


class TestOwnWord(unittest.TestCase):
    """An endpoint's own word that it leaves goes before the list, until it starts again."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(plain("s0", born=1), plain("s1", born=1)))

    def usable(self) -> list[str]:
        """Return the names of the plain endpoints that get new work."""
        found = directory.usable_endpoints(self.host.state, "sign-up")
        return sorted(one.name for one in found)

    def test_endpoint_gets_no_new_work_at_once(self) -> None:
        say_leaving(self.host, "s0")
        for _ in range(10):
            call = self.host.ask("safe")
            self.assertEqual(self.host.last_effect(Forward, call).endpoint, "s1")

    def test_older_entry_that_says_ready_changes_nothing(self) -> None:
        say_leaving(self.host, "s0")
        self.host.read_list(plain("s0", born=1))
        self.host.read_list(plain("s0", born=1), plain("s1", born=1), whole=True)
        self.assertEqual(self.usable(), ["s1"])

    def test_entry_that_vanished_and_came_back_changes_nothing(self) -> None:
        say_leaving(self.host, "s0")
        self.host.drop("s0")
        self.host.read_list(plain("s0", born=1))
        self.assertEqual(self.usable(), ["s1"])

    def test_endpoint_that_started_again_gets_work(self) -> None:
        say_leaving(self.host, "s0")
        self.host.read_list(plain("s0", born=2))
        self.assertEqual(self.usable(), ["s0", "s1"])

    def test_word_that_comes_after_the_lists_is_no_change(self) -> None:
        self.host.read_list(plain("s0", born=1, leaving=True))
        say_leaving(self.host, "s0")
        self.assertEqual(self.usable(), ["s1"])

    def test_endpoint_that_is_not_listed_is_ignored(self) -> None:
        say_leaving(self.host, "unknown")
        self.assertEqual(self.usable(), ["s0", "s1"])

    def test_endpoint_that_was_not_listed_when_it_said_so_gets_no_work_once_it_is(self) -> None:
        self.host.drop("s0")
        say_leaving(self.host, "s0")
        self.host.read_list(plain("s0", born=1))
        self.assertEqual(self.usable(), ["s1"])

    def test_older_start_told_by_another_host_frees_no_newer_one(self) -> None:
        self.host.read_list(plain("s0", born=2))
        say_leaving(self.host, "s0")
        self.host.hear("b", leaving(("s0", 1)))
        self.host.read_list(plain("s0", born=2, cold=1.0))
        self.assertEqual(self.usable(), ["s1"])

    def test_answer_to_a_request_from_before_the_restart_takes_out_no_new_start(self) -> None:
        sent_at = self.host.now
        self.host.run(1.0)
        self.host.read_list(plain("s0", born=2))
        self.host.feed(_events.EndpointLeaving, endpoint="s0", sent_at=sent_at)
        self.assertEqual(self.usable(), ["s0", "s1"])

    def test_start_that_was_not_seen_while_the_list_was_away_gets_no_work(self) -> None:
        self.host.feed(_events.FeedChanged, feed=directory.ENDPOINTS, up=False, why="cut")
        self.host.run(5.0)
        say_leaving(self.host, "s0")
        self.host.feed(_events.FeedChanged, feed=directory.ENDPOINTS, up=True, why="")
        restarted_at = int(self.host.state.wall(self.host.now - 2.0) * 1000)
        self.host.read_list(plain("s0", born=restarted_at))
        self.assertEqual(self.usable(), ["s1"])
        self.host.run(3.0)
        self.host.read_list(plain("s0", born=int(self.host.state.wall(self.host.now) * 1000)))
        self.assertEqual(self.usable(), ["s0", "s1"])

    def test_start_that_is_newer_than_a_restored_list_gets_no_work(self) -> None:
        restarted_at = int(self.host.state.wall(self.host.now) * 1000)
        self.host.run(1.0)
        self.host.restore_list(plain("s0", born=1), plain("s1", born=1))
        self.host.run(1.0)
        say_leaving(self.host, "s0")
        self.host.read_list(plain("s0", born=restarted_at))
        self.assertEqual(self.usable(), ["s1"])

    def test_entry_without_a_start_frees_no_leaving_endpoint(self) -> None:
        say_leaving(self.host, "s0")
        self.host.read_list(plain("s0"))
        self.assertEqual(self.usable(), ["s1"])

    def test_answer_under_way_is_still_relayed(self) -> None:
        call = self.host.ask("safe")
        say_leaving(self.host, self.host.last_effect(Forward, call).endpoint)
        self.host.answer(call)
        self.assertTrue(self.host.is_open(call))

    def test_memory_stays_bounded(self) -> None:
        for number in range(departures.MAX_STARTS + 10):
            self.host.read_list(plain(f"x{number}", born=1))
            say_leaving(self.host, f"x{number}")
            self.host.drop(f"x{number}")
        state = self.host.state["departures"]
        self.assertEqual(len(state.said), departures.MAX_SAID)
        self.assertLessEqual(len(state.said_at), departures.MAX_SAID)
        self.assertEqual(len(state.starts), departures.MAX_STARTS)


class TestGenerations(unittest.TestCase):
    """Places, prefills and repeats go to engines that stay."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(engine("p0", PREFILL, born=1), engine("d0", DECODE, born=1)))

    def test_held_place_is_given_up(self) -> None:
        call = self.host.ask("stream")
        self.host.answer_hold(call)
        say_leaving(self.host, "d0")
        self.host.read_list(engine("d1", DECODE, born=1))
        self.host.answer_prefill(call)
        self.assertEqual(self.host.effects_of(Forward, call), [])
        self.host.run(0.1)
        self.assertEqual(self.host.last_effect(TakeHold, call).endpoint, "d1")

    def test_waiting_request_waits_for_another_engine(self) -> None:
        say_leaving(self.host, "d0")
        call = self.host.ask("stream")
        self.host.read_list(engine("d1", DECODE, born=1))
        self.assertEqual(self.host.last_effect(TakeHold, call).endpoint, "d1")

    def test_prefill_goes_elsewhere(self) -> None:
        say_leaving(self.host, "p0")
        self.host.read_list(engine("p1", PREFILL, born=1))
        call = self.host.ask("stream")
        self.host.answer_hold(call)
        self.assertEqual(self.host.last_effect(ReadPrompt, call).endpoint, "p1")

    def test_stream_that_broke_off_goes_on_elsewhere(self) -> None:
        call = self.host.start_stream()
        say_leaving(self.host, "d0")
        self.assertTrue(self.host.is_open(call))
        self.host.read_list(engine("d1", DECODE, born=1))
        self.host.fail(call, BROKEN, events=2)
        self.assertEqual(self.host.last_effect(TakeHold, call).endpoint, "d1")


class TestTelling(unittest.TestCase):
    """Other hosts hear of it in the datagrams that tell loads."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(plain("s0", born=7), plain("s1", born=7)))
        self.host.hear("b")
        self.host.run(0.1)

    def told(self) -> list[TellLoad]:
        """Return the datagrams that the host has sent."""
        return [one for one in self.host.effects if isinstance(one, TellLoad)]

    def test_it_is_told_soon_and_for_a_while(self) -> None:
        before = len(self.told())
        say_leaving(self.host, "s0")
        self.host.run(0.05)
        self.assertEqual(self.told()[before].leaving, (("s0", 7),))
        say_leaving(self.host, "s0")
        self.host.run(departures.TELL_TIME_S + 1.1)
        self.assertEqual(self.told()[-1].leaving, ())

    def test_told_endpoint_gets_no_new_work(self) -> None:
        other = Host(name="b", endpoints=(plain("s0", born=7), plain("s1", born=7)))
        say_leaving(self.host, "s0")
        self.host.run(0.05)
        other.hear("a", self.told()[-1])
        self.assertFalse(directory.is_usable(other.state, "s0"))

    def test_what_is_told_before_the_endpoint_is_listed_holds(self) -> None:
        other = Host(name="b", endpoints=(plain("s1", born=7),))
        say_leaving(self.host, "s0")
        self.host.run(0.05)
        other.hear("a", self.told()[-1])
        other.read_list(plain("s0", born=7))
        self.assertFalse(directory.is_usable(other.state, "s0"))


class TestAnswers(unittest.IsolatedAsyncioTestCase):
    """Any answer may say that its endpoint leaves, also while the store is down."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        await self.enterAsyncContext(self.site.run())
        await self.site.wait_for_feeds()

    async def is_usable(self, name: str) -> bool:
        """Return whether an endpoint gets new work."""
        return directory.is_usable(self.site.state, name)

    async def test_endpoint_whose_answer_says_so_gets_no_more(self) -> None:
        self.site.store.fault = "busy"
        leaving = self.site.endpoints["s0"]
        leaving.says_leaving = True
        for _ in range(20):
            self.assertEqual(await self.site.status_of("/safe/x"), 200)
        self.assertLessEqual(len(leaving.requests), 1)

    async def test_rejection_and_answers_to_the_host_count_too(self) -> None:
        for name in ("d0", "p0"):
            self.site.endpoints[name].says_leaving = True
        self.site.endpoints["d0"].refusals_left = 1

        async def both_are_out() -> bool:
            await self.site.status_of("/stream/x")
            return not (await self.is_usable("d0") or await self.is_usable("p0"))

        await until(both_are_out)
        received = len(self.site.endpoints["d0"].requests)
        self.assertEqual(await self.site.status_of("/stream/x"), 200)
        self.assertEqual(len(self.site.endpoints["d0"].requests), received)
