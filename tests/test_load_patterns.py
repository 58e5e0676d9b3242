"""Load tests, on a virtual clock, of how generations are queued, refused and placed."""

import heapq
import itertools
import random
import unittest
import unittest.mock

from wasabiwick import _events
from wasabiwick._effects_forwarding import Forward, ReadPrompt, RefuseForward, TakeHold

from ._forward import DECODE, PREFILL, REFUSED, Host, engine

MEMORY = 33_860  # KV cache of an engine, in tokens.
SLOTS = 12  # Most streams that an engine runs at the same time.
TOKEN_RATE = 250.0  # Tokens per second of a stream.
PREFILL_TIME = 0.15  # Seconds in which an engine prefills a prompt.
STEP = 0.01  # Seconds by which the virtual clock advances.


class SimulatedEngines:
    """Engines of a host that reserve places while memory lasts and stream at `TOKEN_RATE`.

    Attributes:
        arrived: Time of arrival by call.
        begun: Time of the first event by call.
        refused: Time and failure of the refusal by call.
        min_free_slots_at_refusal: Free slots of the fullest engine at each refusal.
        peak_streams: Most streams that ran at one engine at the same time.
    """

    def __init__(self, host: Host, seed: int = 1) -> None:
        self.host = host
        self.rng = random.Random(seed)
        self.arrived: dict[str, float] = {}
        self.begun: dict[str, float] = {}
        self.refused: dict[str, tuple[float, object]] = {}
        self.min_free_slots_at_refusal: list[int] = []
        self.peak_streams = 0
        self._length: dict[str, int] = {}
        self._running: dict[str, dict[str, tuple[int, float]]] = {}
        self._due: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self._seen = len(host.effects)

    def arrive(self, path: str = "stream", **fields: object) -> str:
        """Let a caller ask for a stream of random length around its hint, and return the call."""
        hint = int(700 * self.rng.lognormvariate(0.0, 0.6))
        call = self.host.ask(path, length_hint=hint, **fields)
        self._length[call] = min(2_040, max(12, int(hint * self.rng.lognormvariate(0.0, 0.5))))
        self.arrived[call] = self.host.now
        return call

    def run(self, seconds: float) -> None:
        """Let time pass, and answer the host's effects."""
        end = self.host.now + seconds
        while self.host.now < end:
            self._handle_effects()
            self.host.run(STEP)
            while self._due and self._due[0][0] <= self.host.now:
                heapq.heappop(self._due)[2]()
        self._handle_effects()

    def _schedule(self, seconds: float, act: object) -> None:
        heapq.heappush(self._due, (self.host.now + seconds, next(self._order), act))

    def _handle_effects(self) -> None:
        while self._seen < len(self.host.effects):
            effect = self.host.effects[self._seen]
            self._seen += 1
            if isinstance(effect, TakeHold):
                self.host.answer_hold(effect.call_id, None if self._fits(effect) else REFUSED)
            elif isinstance(effect, ReadPrompt):
                self._schedule(
                    PREFILL_TIME, lambda call=effect.call_id: self.host.answer_prefill(call)
                )
            elif isinstance(effect, Forward):
                self._begin(effect)
            elif isinstance(effect, RefuseForward):
                self.refused[effect.call_id] = (self.host.now, effect.failure)
                self.min_free_slots_at_refusal.append(self._min_free_slots())

    def _fits(self, effect: TakeHold) -> bool:
        running = self._running.setdefault(effect.endpoint, {})
        used = sum(
            prompt + int((self.host.now - since) * TOKEN_RATE) for prompt, since in running.values()
        )
        return len(running) < SLOTS and used + effect.tokens <= MEMORY

    def _begin(self, effect: Forward) -> None:
        call = effect.call_id
        prompt = self.host.state["forwarding"].calls[call].ask.prompt_tokens
        self._running.setdefault(effect.endpoint, {})[call] = (prompt, self.host.now)
        self.peak_streams = max(self.peak_streams, len(self._running[effect.endpoint]))
        self.begun[call] = self.host.now
        self.host.answer(call, streams=True)
        self._schedule(self._length[call] / TOKEN_RATE, lambda: self._end(effect))

    def _end(self, effect: Forward) -> None:
        del self._running[effect.endpoint][effect.call_id]
        self.host.feed(_events.ForwardAnswered, call_id=effect.call_id)

    def _min_free_slots(self) -> int:
        return min((SLOTS - len(running) for running in self._running.values()), default=SLOTS)

    def wait(self, call: str) -> float:
        """Return how many seconds a call waited for its first event."""
        return self.begun[call] - self.arrived[call]


def host_with_engines(decode: int = 2) -> Host:
    """Return a host with the given number of decode engines, and enough prefill engines."""
    prefill = [engine(f"p{n}", PREFILL) for n in range(3)]
    return Host(endpoints=(*prefill, *(engine(f"d{n}", DECODE) for n in range(decode))))


def burst(engines: SimulatedEngines, *, rate: float, seconds: float, **fields: object) -> list[str]:
    """Let streams arrive at a rate per second, and return their calls."""
    calls = []
    end = engines.host.now + seconds
    while engines.host.now < end:
        calls.append(engines.arrive(**fields))
        engines.run(engines.rng.expovariate(rate))
    return calls


class TestLightLoad(unittest.TestCase):
    """A load within the engines' capacity: every call is served on time, none is refused."""

    def test_all_on_time(self) -> None:
        engines = SimulatedEngines(host_with_engines())
        calls = burst(engines, rate=3.0, seconds=20.0)
        engines.run(10.0)
        self.assertEqual(engines.refused, {})
        self.assertTrue(all(engines.wait(call) < 0.5 for call in calls))


class TestBurst(unittest.TestCase):
    """In a burst of twice the engines' capacity, excess calls are refused early."""

    def setUp(self) -> None:
        self.engines = SimulatedEngines(host_with_engines())
        self.calls = burst(self.engines, rate=14.0, seconds=6.0)
        self.engines.run(16.0)

    def test_every_call_ends_and_frees_its_place(self) -> None:
        self.assertEqual(self.engines.host.state["forwarding"].calls, {})
        self.assertEqual(self.engines.host.state["places"].own_loads, {})

    def test_engines_take_more_streams_than_longest_outputs_would_allow(self) -> None:
        """With prompts of 3,000 tokens and outputs of up to 2,040, only six are sure to fit."""
        self.assertGreaterEqual(self.engines.peak_streams, 9)

    def test_refusals_come_early_and_say_when_to_retry(self) -> None:
        self.assertTrue(self.engines.refused)
        for call, (at, failure) in self.engines.refused.items():
            self.assertGreater(failure.retry_after, 0.5)
            self.assertLess(at - self.engines.arrived[call], 14.0 / 3)  # Callers wait for 14 s.

    def test_at_each_refusal_some_engine_is_more_than_half_full(self) -> None:
        self.assertTrue(self.engines.min_free_slots_at_refusal)
        self.assertLess(max(self.engines.min_free_slots_at_refusal), SLOTS / 2)

    def test_more_are_on_time_than_by_order_of_arrival(self) -> None:
        """In order of arrival, every call in a long queue is late by the time it is served."""
        on_time = sum(self.engines.wait(call) < 1.0 for call in self.engines.begun)
        by_arrival = SimulatedEngines(host_with_engines())
        with unittest.mock.patch(
            "wasabiwick._handlers.rejecting.rank",
            lambda state, req, at: (0, 0, req.arrived_at),
        ):
            burst(by_arrival, rate=14.0, seconds=6.0)
            by_arrival.run(16.0)
        on_time_by_arrival = sum(by_arrival.wait(call) < 1.0 for call in by_arrival.begun)
        self.assertGreater(on_time, on_time_by_arrival)


class TestReturningCallers(unittest.TestCase):
    """A caller that was refused comes back with less time left, and must not wait behind others."""

    def test_a_returning_call_is_served_before_new_ones(self) -> None:
        engines = SimulatedEngines(host_with_engines(decode=1))
        burst(engines, rate=14.0, seconds=2.0)
        returned = engines.arrive(seconds=9.0)
        burst(engines, rate=14.0, seconds=3.0)
        engines.run(12.0)
        self.assertIn(returned, engines.begun)

    def test_a_request_that_cannot_finish_in_time_is_refused_at_once(self) -> None:
        host = host_with_engines()
        call = host.ask("stream", seconds=3.0, length_hint=1_500)
        self.assertEqual(host.refusal(call).reason.code, "overloaded")
        self.assertEqual(host.effects_of(TakeHold, call), [])

    def test_a_request_that_may_finish_in_time_is_tried_while_there_is_room(self) -> None:
        """In incident inc-8a34, 19 callers that had come back were refused at once."""
        host = host_with_engines()
        # 900 tokens take 3.6 s at 250 tokens/s; a shorter output may end within 3.5 s.
        call = host.ask("stream", seconds=3.5, length_hint=900)
        self.assertIsNone(host.refusal(call))
        self.assertEqual(len(host.effects_of(TakeHold, call)), 1)

    def test_a_request_that_may_finish_in_time_is_refused_in_a_burst(self) -> None:
        engines = SimulatedEngines(host_with_engines(decode=1))
        burst(engines, rate=14.0, seconds=2.0)
        call = engines.host.ask("stream", seconds=3.5, length_hint=900)
        self.assertEqual(engines.host.refusal(call).reason.code, "overloaded")


class TestPriority(unittest.TestCase):
    """Of waiting calls alike in all else, the one of the most urgent route gets a place first."""

    def test_a_lower_priority_number_goes_first(self) -> None:
        host = host_with_engines(decode=1)
        # Routes are sorted by the length of their prefix; /stream/ is the longest.
        host.state["routes"].by_host["example"][0].priority = 2
        less_urgent = [host.ask("stream") for _ in range(40)]
        urgent = host.ask("draft")
        host.state["places"].full_until.clear()
        self.assertTrue(any(not host.effects_of(TakeHold, call) for call in less_urgent))
        for call in less_urgent:
            if host.effects_of(TakeHold, call):
                host.feed(_events.ForwardLeft, call_id=call)
                break
        self.assertTrue(host.effects_of(TakeHold, urgent))


class TestLargePrompts(unittest.TestCase):
    """Large prompts get the room that an engine has."""

    def test_two_large_prompts_share_an_engine_that_has_room_for_both(self) -> None:
        """The margin for many small streams exceeded what the two could ever use together."""
        host = host_with_engines(decode=1)
        calls = [host.ask("stream", prompt_tokens=15_000, length_hint=300) for _ in range(2)]
        for call in calls:
            self.assertEqual(len(host.effects_of(TakeHold, call)), 1)
