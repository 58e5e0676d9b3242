"""Replays, on a virtual clock, of the loads that waiting, rejecting and placing answer."""

import heapq
import itertools
import random
import unittest
import unittest.mock

from wasabiwick import _events
from wasabiwick._effects_forwarding import Forward, ReadPrompt, RefuseForward, TakeHold

from ._forward import DECODE, PREFILL, REFUSED, Host, engine

MEMORY = 33_860
SLOTS = 12
RATE = 250.0  # Tokens per second of a stream.
READ_TIME = 0.15  # Seconds of a prefill.
STEP = 0.01


class Engines:
    """Engines that a host works with: places are given while memory lasts, streams end in time.

    Attributes:
        arrived: Arrival by call.
        begun: Time of the first event by call.
        refused: Time and failure of refusals by call.
        most: Most streams at one engine at once.
    """

    def __init__(self, host: Host, seed: int = 1) -> None:
        self.host = host
        self.rng = random.Random(seed)
        self.arrived: dict[str, float] = {}
        self.begun: dict[str, float] = {}
        self.refused: dict[str, tuple[float, object]] = {}
        self.free_at_refusal: list[int] = []
        self.most = 0
        self._length: dict[str, int] = {}
        self._running: dict[str, dict[str, tuple[int, float]]] = {}
        self._due: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self._seen = len(host.effects)

    def arrive(self, path: str = "stream", **fields: object) -> str:
        """Let a caller ask for a stream whose length spreads around its hint."""
        hint = int(700 * self.rng.lognormvariate(0.0, 0.6))
        call = self.host.ask(path, length_hint=hint, **fields)
        self._length[call] = min(2_040, max(12, int(hint * self.rng.lognormvariate(0.0, 0.5))))
        self.arrived[call] = self.host.now
        return call

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.host.now + seconds
        while self.host.now < end:
            self._answer()
            self.host.run(STEP)
            while self._due and self._due[0][0] <= self.host.now:
                heapq.heappop(self._due)[2]()
        self._answer()

    def _later(self, seconds: float, act: object) -> None:
        heapq.heappush(self._due, (self.host.now + seconds, next(self._order), act))

    def _answer(self) -> None:
        while self._seen < len(self.host.effects):
            effect = self.host.effects[self._seen]
            self._seen += 1
            if isinstance(effect, TakeHold):
                self.host.hold(effect.call_id, None if self._fits(effect) else REFUSED)
            elif isinstance(effect, ReadPrompt):
                self._later(READ_TIME, lambda call=effect.call_id: self.host.prefill(call))
            elif isinstance(effect, Forward):
                self._begin(effect)
            elif isinstance(effect, RefuseForward):
                self.refused[effect.call_id] = (self.host.now, effect.failure)
                self.free_at_refusal.append(self._free())

    def _fits(self, effect: TakeHold) -> bool:
        running = self._running.setdefault(effect.endpoint, {})
        used = sum(
            prompt + int((self.host.now - since) * RATE) for prompt, since in running.values()
        )
        return len(running) < SLOTS and used + effect.tokens <= MEMORY

    def _begin(self, effect: Forward) -> None:
        call = effect.call_id
        prompt = self.host.state["forwarding"].calls[call].ask.prompt_tokens
        self._running.setdefault(effect.endpoint, {})[call] = (prompt, self.host.now)
        self.most = max(self.most, len(self._running[effect.endpoint]))
        self.begun[call] = self.host.now
        self.host.answer(call, streams=True)
        self._later(self._length[call] / RATE, lambda: self._end(effect))

    def _end(self, effect: Forward) -> None:
        del self._running[effect.endpoint][effect.call_id]
        self.host.feed(_events.ForwardAnswered, call_id=effect.call_id)

    def _free(self) -> int:
        return min((SLOTS - len(running) for running in self._running.values()), default=SLOTS)

    def wait(self, call: str) -> float:
        """Return how long a call waited for its first event."""
        return self.begun[call] - self.arrived[call]


def site(decode: int = 2) -> Host:
    """Return a host with some decode engines and enough prefill engines."""
    prefill = [engine(f"p{n}", PREFILL) for n in range(3)]
    return Host(endpoints=(*prefill, *(engine(f"d{n}", DECODE) for n in range(decode))))


def burst(engines: Engines, *, rate: float, seconds: float, **fields: object) -> list[str]:
    """Let streams arrive at a rate, and return their calls."""
    calls = []
    end = engines.host.now + seconds
    while engines.host.now < end:
        calls.append(engines.arrive(**fields))
        engines.run(engines.rng.expovariate(rate))
    return calls


class TestCalm(unittest.TestCase):
    """A load that the engines hold: everything is served on time, nothing is refused."""

    def test_all_on_time(self) -> None:
        engines = Engines(site())
        calls = burst(engines, rate=3.0, seconds=20.0)
        engines.run(10.0)
        self.assertEqual(engines.refused, {})
        self.assertTrue(all(engines.wait(call) < 0.5 for call in calls))


class TestBurst(unittest.TestCase):
    """Twice the load that the engines hold, for some seconds."""

    def setUp(self) -> None:
        self.engines = Engines(site())
        self.calls = burst(self.engines, rate=14.0, seconds=6.0)
        self.engines.run(16.0)

    def test_every_call_is_settled(self) -> None:
        self.assertEqual(self.engines.host.state["forwarding"].calls, {})
        self.assertEqual(self.engines.host.state["places"].own, {})

    def test_engines_are_filled_beyond_what_whole_outputs_would_allow(self) -> None:
        """Prompts of 3,000 tokens and outputs of 2,040 at most: six would fit for sure."""
        self.assertGreaterEqual(self.engines.most, 9)

    def test_refusals_say_when_to_come_back_and_come_well_before_the_deadline(self) -> None:
        self.assertTrue(self.engines.refused)
        for call, (at, failure) in self.engines.refused.items():
            self.assertGreater(failure.retry_after, 0.5)
            self.assertLess(at - self.engines.arrived[call], 14.0 / 3)

    def test_nothing_is_refused_while_half_of_an_engine_is_free(self) -> None:
        self.assertTrue(self.engines.free_at_refusal)
        self.assertLess(max(self.engines.free_at_refusal), SLOTS / 2)

    def test_more_are_on_time_than_by_order_of_arrival(self) -> None:
        """In order of arrival every call of a long queue is late by the time it is served."""
        on_time = sum(self.engines.wait(call) < 1.0 for call in self.engines.begun)
        first_come = Engines(site())
        with unittest.mock.patch(
            "wasabiwick._handlers.rejecting.rank",
            lambda state, req, at: (0, 0, req.arrived),
        ):
            burst(first_come, rate=14.0, seconds=6.0)
            first_come.run(16.0)
        others = sum(first_come.wait(call) < 1.0 for call in first_come.begun)
        self.assertGreater(on_time, others)


class TestComingBack(unittest.TestCase):
    """Callers that were refused come back with less time left."""

    def test_one_that_has_waited_goes_before_new_ones(self) -> None:
        engines = Engines(site(decode=1))
        burst(engines, rate=14.0, seconds=2.0)
        back = engines.arrive(seconds=9.0)
        burst(engines, rate=14.0, seconds=3.0)
        engines.run(12.0)
        self.assertIn(back, engines.begun)

    def test_what_can_no_longer_come_whole_is_refused_at_once(self) -> None:
        host = site()
        call = host.ask("stream", seconds=3.0, length_hint=1_500)
        self.assertEqual(host.refusal(call).reason.code, "overloaded")
        self.assertEqual(host.of(TakeHold, call), [])

    def test_one_that_may_come_whole_is_not_refused_while_there_is_room(self) -> None:
        """Found in incident inc-8a34: 19 callers that had come back were refused at once."""
        host = site()
        call = host.ask("stream", seconds=3.5, length_hint=900)  # 3.6 s at the usual rate.
        self.assertIsNone(host.refusal(call))
        self.assertEqual(len(host.of(TakeHold, call)), 1)

    def test_in_a_burst_it_leaves_the_memory_to_others(self) -> None:
        engines = Engines(site(decode=1))
        burst(engines, rate=14.0, seconds=2.0)
        call = engines.host.ask("stream", seconds=3.5, length_hint=900)
        self.assertEqual(engines.host.refusal(call).reason.code, "overloaded")


class TestPriority(unittest.TestCase):
    """A more urgent route goes first among those that wait alike."""

    def test_lower_numbers_first(self) -> None:
        host = site(decode=1)
        host.state["routes"].by_host["example"][0].priority = 2  # The longest prefix: /stream/.
        slow = [host.ask("stream") for _ in range(40)]
        urgent = host.ask("draft")
        host.state["places"].full_until.clear()
        self.assertTrue(any(not host.of(TakeHold, call) for call in slow))
        for call in slow:
            if host.of(TakeHold, call):
                host.feed(_events.ForwardLeft, call_id=call)
                break
        self.assertTrue(host.of(TakeHold, urgent))
