"""Tests of endpoints that turn requests away and say for how long they want nothing."""

import unittest

from wasabiwick import _events
from wasabiwick._effects_forwarding import AskPermit, AskWhetherBusy
from wasabiwick._errors import OVERLOADED
from wasabiwick._handlers import pauses, permits
from wasabiwick._verdict import Verdict

from ._forward import DECODE, PREFILL, REFUSED, Forward, Host, ReadPrompt, TakeHold, engine, plain
from ._processes import until
from .test_on_platform import Site

PAUSE = 1.0  # Seconds.
# Longest time after which a host sends again.
LONGEST = PAUSE * (1.0 + pauses.PAUSE_SPREAD)


def pause(host: Host, endpoint: str, seconds: float = PAUSE) -> None:
    """Let an endpoint say to a host for how long it wants nothing."""
    host.feed(_events.EndpointPaused, endpoint=endpoint, seconds=seconds)


class TestPlain(unittest.TestCase):
    """A paused endpoint gets no requests; without another one they are refused at once."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(plain("s0"), plain("s1")))

    def targets(self, count: int = 10) -> set[str]:
        """Send requests, and return the endpoints that got them."""
        calls = [self.host.ask("safe") for _ in range(count)]
        return {one.endpoint for call in calls for one in self.host.effects_of(Forward, call)}

    def test_other_endpoints_get_the_requests(self) -> None:
        pause(self.host, "s0")
        self.assertEqual(self.targets(), {"s1"})

    def test_endpoint_gets_requests_again_afterwards(self) -> None:
        pause(self.host, "s0")
        self.host.run(PAUSE - 0.01)
        self.assertEqual(self.targets(), {"s1"})
        self.host.run(LONGEST - PAUSE + 0.02)
        self.assertIn("s0", self.targets())

    def test_request_is_refused_at_once_with_when_to_come_back(self) -> None:
        pause(self.host, "s0", 5.0)
        pause(self.host, "s1", 3.0)
        refusal = self.host.refusal(self.host.ask("unsafe"))
        self.assertEqual((refusal.reason, refusal.verdict), (OVERLOADED, Verdict.NOT_RUN))
        self.assertGreaterEqual(refusal.retry_after, 3.0)
        self.assertLess(refusal.retry_after, 2 * 5.0)

    def test_pause_outlasts_a_missing_entry_of_the_list(self) -> None:
        pause(self.host, "s0", 5.0)
        self.host.drop("s0")
        self.host.read_list(plain("s0"))
        self.assertEqual(self.targets(), {"s1"})

    def test_endpoint_that_started_again_under_its_name_is_used(self) -> None:
        self.host.read_list(plain("s0", born=1), plain("s1", born=1))
        pause(self.host, "s0", 5.0)
        self.host.read_list(plain("s0", born=1, slots=7))
        self.assertEqual(self.targets(), {"s1"})
        self.host.read_list(plain("s0", born=2))
        self.assertIn("s0", self.targets())

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        pause(self.host, "s0", 5.0)
        pause(self.host, "s0", 0.1)
        self.host.run(1.0)
        self.assertEqual(self.targets(), {"s1"})

    def test_absurd_pause_is_bounded(self) -> None:
        pause(self.host, "s0", 86_400.0)
        self.host.run(pauses.MAX_PAUSE_S * (1.0 + pauses.PAUSE_SPREAD) + 0.1)
        self.assertEqual(self.targets(), {"s0", "s1"})

    def test_hosts_do_not_return_together(self) -> None:
        ends = set()
        for number in range(10):
            host = Host(name=f"h{number}", endpoints=(plain("s0"),))
            host.state.rng.seed(number)
            pause(host, "s0")
            ends.add(pauses.wait_of(host.state, "s0", host.now))
        self.assertEqual(len(ends), 10)
        self.assertTrue(all(PAUSE <= one <= LONGEST for one in ends))

    def test_memory_stays_bounded(self) -> None:
        for number in range(50):
            pause(self.host, f"x{number}", 5.0)
        pause(self.host, "s0", 2 * pauses.MAX_PAUSE_S)
        self.host.run(pauses.MAX_PAUSE_S * (1.0 + pauses.PAUSE_SPREAD))
        self.host.read_list(plain("s1"))
        self.assertEqual(self.host.state["pauses"].until, {})


class TestFullService(unittest.TestCase):
    """Load pattern: all endpoints of a service turn requests away for a second."""

    def test_no_request_reaches_an_endpoint_meanwhile(self) -> None:
        host = Host(endpoints=tuple(plain(f"s{number}") for number in range(3)))
        arrivals: dict[str, list[float]] = {}
        served = refused = 0
        full_until = host.now + 0.5
        for _ in range(300):
            call = host.ask("safe")
            while sent := host.effects_of(Forward, call)[len(arrivals.get(call, ())) :]:
                arrivals.setdefault(call, []).append(host.now)
                arrivals.setdefault(sent[0].endpoint, []).append(host.now)
                if host.now >= full_until:
                    host.answer(call)
                    served += 1
                    break
                pause(host, sent[0].endpoint)
                host.answer(call, 503, not_run=True)
            refused += host.refusal(call) is not None
            host.feed(_events.ForwardAnswered, call_id=call)
            host.run(0.01)
        for number in range(3):
            first, *others = arrivals[f"s{number}"]
            self.assertFalse([at for at in others if at < first + PAUSE])
        # Only those are refused that come before the endpoints take requests again.
        self.assertLessEqual(refused, LONGEST / 0.01 + 2)
        self.assertEqual(served + refused, 300)


class TestGenerations(unittest.TestCase):
    """Places, prefills and questions of model engines pause alike."""

    def setUp(self) -> None:
        self.host = Host(
            endpoints=(engine("p0", PREFILL), engine("d0", DECODE), engine("d1", DECODE))
        )

    def test_another_engine_gets_the_place(self) -> None:
        pause(self.host, "d0")
        for _ in range(3):
            call = self.host.ask("stream")
            self.assertEqual(self.host.last_effect(TakeHold, call).endpoint, "d1")

    def test_request_waits_for_a_short_pause(self) -> None:
        pause(self.host, "d0", 0.5)
        pause(self.host, "d1", 0.5)
        call = self.host.ask("stream")
        self.assertEqual(self.host.effects_of(TakeHold, call), [])
        self.host.run(0.6)
        self.assertEqual(len(self.host.effects_of(TakeHold, call)), 1)

    def test_request_does_not_wait_for_a_long_pause(self) -> None:
        pause(self.host, "d0", 20.0)
        pause(self.host, "d1", 15.0)
        refusal = self.host.refusal(self.host.ask("stream"))
        self.assertEqual(refusal.verdict, Verdict.NOT_RUN)
        self.assertGreaterEqual(refusal.retry_after, 15.0)

    def test_stream_that_broke_off_waits(self) -> None:
        call = self.host.start_stream()
        pause(self.host, "d0", 20.0)
        pause(self.host, "d1", 20.0)
        self.host.fail(call, REFUSED, events=2)
        self.assertTrue(self.host.is_open(call))

    def test_prompt_is_not_prefilled_there(self) -> None:
        pause(self.host, "p0")
        call = self.host.ask("stream")
        self.host.run(0.3)
        if self.host.effects_of(TakeHold, call):
            self.host.answer_hold(call)
        self.assertEqual(self.host.effects_of(ReadPrompt, call), [])

    def test_engine_is_not_asked_why_it_refused(self) -> None:
        call = self.host.ask("stream")
        self.host.answer_hold(call)
        self.host.answer_prefill(call)
        pause(self.host, self.host.last_effect(Forward, call).endpoint)
        self.host.answer(call, 503, not_run=True)
        self.assertFalse([one for one in self.host.effects if isinstance(one, AskWhetherBusy)])


class TestAnswers(unittest.IsolatedAsyncioTestCase):
    """A refusal's Retry-After pauses its endpoint, whatever was refused."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        await self.enterAsyncContext(self.site.run())
        await self.site.wait_for_feeds()

    def paused(self) -> set[str]:
        """Return the names of paused endpoints."""
        return set(self.site.state["pauses"].until)

    async def test_refusal_pauses_the_endpoint(self) -> None:
        refusing = self.site.endpoints["s0"]
        refusing.refusals_left, refusing.retry_after = 1_000, "20"
        for _ in range(20):
            self.assertEqual(await self.site.status_of("/safe/x"), 200)
        self.assertEqual(self.paused(), {"s0"})
        self.assertGreaterEqual(refusing.refusals_left, 999)

    async def test_refused_prefill_pauses_the_engine(self) -> None:
        prefilling = self.site.endpoints["p0"]
        prefilling.refusals_left, prefilling.retry_after = 1, "20"

        async def is_paused() -> bool:
            await self.site.status_of("/stream/x")
            return "p0" in self.paused()

        await until(is_paused)

    async def test_unusable_values_are_ignored(self) -> None:
        for text in ("0", "-1", "soon", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT"):
            refusing = self.site.endpoints["s0"], self.site.endpoints["s1"]
            for one in refusing:
                one.refusals_left, one.retry_after = 1, text
            self.assertEqual(await self.site.status_of("/safe/x"), 503)
        self.assertEqual(self.paused(), set())

    async def test_other_statuses_pause_nothing(self) -> None:
        failing = self.site.endpoints["s0"], self.site.endpoints["s1"]
        for one in failing:
            one.failures_left, one.retry_after = 1, "20"
        await self.site.status_of("/unsafe/x")
        self.assertEqual(self.paused(), set())


class TestPending(unittest.TestCase):
    """A call that waited for a permit is not sent to an endpoint that asked for rest meanwhile."""

    def test_granted_permit_is_not_used(self) -> None:
        host = Host(endpoints=(plain("s0"),))
        host.hear("b")
        owner = next(
            name
            for name in (f"s{number}" for number in range(50))
            if permits._owner(host.state, name, host.now) == "b"
        )
        host.drop("s0")
        host.read_list(plain(owner))
        host.feed(_events.LimitNamed, endpoint=owner, rate=5.0)
        call = host.ask("unsafe")
        asked = host.last_effect(AskPermit, call)
        pause(host, owner)
        host.feed(_events.PermitAnswered, call_id=call, number=asked.number, wait=0.0)
        self.assertEqual(host.effects_of(Forward, call), [])
        self.assertIs(host.refusal(call).verdict, Verdict.NOT_RUN)


class TestLongRest(unittest.TestCase):
    """An endpoint that asks for more than half a minute gets nothing for all of it."""

    def test_no_request_comes_in_the_second_half_minute(self) -> None:
        host = Host(endpoints=(plain("s0"), plain("s1")))
        pause(host, "s0", 60.0)
        host.run(59.0)
        calls = [host.ask("safe") for _ in range(10)]
        targets = {one.endpoint for call in calls for one in host.effects_of(Forward, call)}
        self.assertEqual(targets, {"s1"})
