"""Tests of what endpoints say of their load: decoding, telling, speeds, and choices by them."""

import types
import unittest

import msgspec

from wasabiwick import _events
from wasabiwick._adapters._datagrams import LoadDatagram
from wasabiwick._effects import LogLine
from wasabiwick._effects_forwarding import TellLoad
from wasabiwick._forwarding import EngineSign
from wasabiwick._handlers import directory, engine_signs, placing
from wasabiwick._header_numbers import ToldLoad
from wasabiwick._signs_codec import decode_signs, encode_signs
from wasabiwick.platform._endpoints import PlatformEndpoints

from ._forward import APP, DECODE, MODEL, PREFILL, Forward, Host, ReadPrompt, engine, plain

USUAL = 100  # Per cent.


class Heard:
    """Listener that keeps what endpoints said of their load."""

    def __init__(self) -> None:
        self.loads: list[tuple[str, ToldLoad]] = []

    def load_named(self, endpoint: str, load: ToldLoad | None) -> None:
        """Keep what an endpoint said."""
        if load is not None:
            self.loads.append((endpoint, load))

    def limit_named(self, endpoint: str, rate: float | None) -> None:
        """Ignore a limit."""


def said(text: str) -> list[tuple[str, ToldLoad]]:
    """Return what a listener is told of an answer with a load."""
    heard, endpoints = Heard(), PlatformEndpoints(lambda: 0.0)
    endpoints.listen(heard)
    headers = {b"x-wasabiwick-instance-load": text}
    conn = types.SimpleNamespace(status=200, header=lambda name: headers.get(name, ""))
    endpoints._note_signs("d0", conn, 0.0)
    return heard.loads


def sign(host: Host, endpoint: str, slowness: float | None = 1.0, **fields: object) -> EngineSign:
    """Return what an endpoint says to a host now."""
    fields = {"running": 0, "waiting": 0, "slots": 12, "at": host.now, **fields}
    return EngineSign(endpoint=endpoint, slowness=slowness, **fields)


def say(host: Host, endpoint: str, slowness: float | None = 1.0, **fields: object) -> None:
    """Let an endpoint say its load to a host."""
    host.feed(_events.LoadNamed, sign=sign(host, endpoint, slowness, **fields))


def say_often(host: Host, slowness: dict[str, float], times: int = 12) -> None:
    """Let endpoints say how slow they are, again and again."""
    for _ in range(times):
        for name, value in slowness.items():
            say(host, name, value)
        host.run(0.3)


def factors(host: Host, service: str = MODEL, stage: str = DECODE) -> dict[str, float]:
    """Return how long a host takes work to last at each endpoint."""
    endpoints = directory.usable_endpoints(host.state, service, stage)
    return engine_signs.factors(host.state, endpoints, host.now)


class TestDecoding(unittest.TestCase):
    """A load that can't be read costs that value alone; without a slowness it is not heard."""

    def test_four_figures_are_heard(self) -> None:
        load = ToldLoad(running=3, waiting=1, slots=12, slowness=2.5)
        self.assertEqual(said("3,1,12,250"), [("d0", load)])
        self.assertEqual(said(" 3, 1 ,12, 250,9"), [("d0", load)])

    def test_three_figures_and_bad_values_are_not(self) -> None:
        for text in ("", "3,0,8", ",,,", "a,0,8,100", "3,0,8,", "3,0,8,-1", "3,0,8,0", "3,0,8,nan"):
            self.assertEqual(said(text), [], text)
        for text in ("3,0,8,1e400", "3,0,8,inf", "9" * 400 + ",0,8,100", "3,0,8,100000000"):
            self.assertEqual(said(text), [], text)

    def test_absurd_figures_of_the_right_types_are_not_used(self) -> None:
        host = Host()
        for fields in ({"slowness": 0.001}, {"slowness": 900.0}, {"running": 10**6}):
            say(host, "d0", **fields)
        told = [sign(host, "d0", -1.0), sign(host, "d0", waiting=-1), sign(host, "none", 1.0)]
        told.append(sign(host, "d1", None, taken=1e9, expected=1e9))
        host.know("b", signs=tuple(told))
        self.assertEqual(factors(host), {})


class TestTelling(unittest.TestCase):
    """Hosts tell each other what endpoints said, in the datagrams that they send anyway."""

    def tell(self, host: Host) -> tuple[EngineSign, ...]:
        """Return what the next datagram of a host tells."""
        host.run(1.0)
        return [one for one in host.effects if isinstance(one, TellLoad)][-1].signs

    def setUp(self) -> None:
        self.host = Host()
        self.host.know("b")
        self.host.run(1.1)

    def test_a_sign_is_told_once_and_only_by_the_host_that_saw_it(self) -> None:
        say(self.host, "d0", 2.0)
        self.host.know("b", signs=(sign(self.host, "d1"),))
        self.assertEqual([one.endpoint for one in self.tell(self.host)], ["d0"])
        self.assertEqual(self.tell(self.host), ())

    def test_no_datagram_is_sent_for_a_sign(self) -> None:
        sent = sum(isinstance(one, TellLoad) for one in self.host.effects)
        for _ in range(50):
            say(self.host, "d0")
        self.host.run(0.2)
        self.assertEqual(sum(isinstance(one, TellLoad) for one in self.host.effects), sent)

    def test_signs_survive_the_datagram(self) -> None:
        one = sign(self.host, "d0", 1.37, running=3, at=self.host.now - 0.25)
        one = one.with_times(3.5, 2.0)
        self.assertEqual(decode_signs(encode_signs([one], self.host.now), self.host.now), (one,))

    def test_a_datagram_stays_small(self) -> None:
        names = [f"e{number}" for number in range(100)]
        self.host.read_list(*(engine(name, DECODE) for name in names))
        for name in names:
            say(self.host, name)
        told = self.tell(self.host)
        self.assertEqual([one.endpoint for one in told], names[-engine_signs.MAX_TOLD :])

    def test_a_datagram_of_the_build_before_is_read(self) -> None:
        """It ends before the signs."""
        fields = ["b", "1", "z", "b:1", 1, False, {}, {}]
        told = msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=LoadDatagram)
        self.assertEqual(told.signs, [])
        self.host.know("b")
        self.assertEqual(factors(self.host), {})

    def test_the_newest_sign_counts_whoever_told_it(self) -> None:
        say(self.host, "d0", 1.0)
        old = sign(self.host, "d0", 3.0, at=self.host.now - 0.5)
        self.host.know("b", signs=(old,))
        self.assertEqual(engine_signs.newest(self.host.state, "d0", self.host.now).slowness, 1.0)
        self.host.run(0.1)
        self.host.know("b", signs=(sign(self.host, "d0", 2.0),))
        self.assertEqual(engine_signs.newest(self.host.state, "d0", self.host.now).slowness, 2.0)

    def test_a_sign_from_the_future_or_of_long_ago_is_not_used(self) -> None:
        for seconds in (5.0, -5.0):
            self.host.know("b", signs=(sign(self.host, "d0", at=self.host.now + seconds),))
        self.assertIsNone(engine_signs.newest(self.host.state, "d0", self.host.now))

    def test_a_stale_sign_is_not_taken_for_the_present(self) -> None:
        say_often(self.host, {"d0": 1.0, "d1": 1.0})
        say(self.host, "d0", 3.0, running=12)
        self.assertGreater(factors(self.host)["d0"], 2.0)
        self.assertEqual(engine_signs.unseen_requests(self.host.state, "d0", 2, self.host.now), 10)
        self.host.run(engine_signs.USE_TIME_S)
        self.assertLess(factors(self.host)["d0"], 1.5)
        self.assertEqual(engine_signs.unseen_requests(self.host.state, "d0", 2, self.host.now), 0)


class TestSpeeds(unittest.TestCase):
    """Each engine's speed is known by its word, and by how long work took there."""

    ENDPOINTS = (engine("p0", PREFILL), engine("p1", PREFILL)) + tuple(
        engine(f"d{number}", DECODE) for number in range(4)
    )

    def setUp(self) -> None:
        self.host = Host(endpoints=self.ENDPOINTS + (plain("s0"), plain("s1")))
        self.slowness = {"d0": 0.55, "d1": 1.2, "d2": 1.2, "d3": 1.2}

    def test_engines_that_say_nothing_are_served_as_before(self) -> None:
        self.assertEqual(factors(self.host), {})
        self.host.ask("stream")
        lines = [one for one in self.host.effects if isinstance(one, LogLine)]
        chosen = [one for one in lines if one.event == "place_chosen"]
        self.assertNotIn("slowness", chosen[0].fields)

    def test_a_service_does_not_learn_from_another(self) -> None:
        say_often(self.host, {"s0": 1.0, "s1": 2.0})
        self.assertEqual(factors(self.host), {})
        self.assertNotEqual(factors(self.host, APP, ""), {})

    def test_a_fast_engine_is_known_as_such(self) -> None:
        say_often(self.host, self.slowness)
        found = factors(self.host)
        self.assertAlmostEqual(found["d1"] / found["d0"], 1.2 / 0.55, delta=0.3)

    def test_little_is_made_of_a_single_sign(self) -> None:
        say(self.host, "d0", 3.0)
        say(self.host, "d1", 1.0)
        self.host.run(engine_signs.USE_TIME_S)
        found = factors(self.host)
        self.assertLess(found["d0"] / found["d1"], 1.7)

    def test_a_service_that_stops_saying_it_is_served_as_before(self) -> None:
        say_often(self.host, self.slowness)
        self.host.run(engine_signs.SERVICE_SILENT_S)
        self.assertEqual(factors(self.host), {})

    def test_the_speed_of_an_engine_that_falls_silent_is_forgotten_slowly(self) -> None:
        say_often(self.host, self.slowness)
        self.host.run(10.0)
        self.assertLess(factors(self.host)["d0"], 0.8)
        for _ in range(100):
            self.host.run(4.0)
            say(self.host, "d1", 1.2)
        self.assertGreater(factors(self.host)["d0"], 0.9)

    def test_a_lying_engine_is_found_out_and_still_gets_work(self) -> None:
        """It says that it is fast, and work takes five times as long there."""
        for _ in range(10):
            say_often(self.host, {**self.slowness, "d0": 0.2}, times=1)
            for name in self.slowness:
                taken = 5.0 if name == "d0" else 1.0
                engine_signs.observe(self.host.state, name, taken, 1.0, self.host.now)
        found = factors(self.host)
        self.assertGreater(found["d0"], 0.6 * found["d1"])
        self.assertLess(found["d0"], 2 * engine_signs.MAX_CORRECTION)

    def test_an_engine_that_says_that_it_is_slow_and_is_not_gets_its_share_back(self) -> None:
        for _ in range(10):
            say_often(self.host, {**self.slowness, "d1": 3.0}, times=1)
            for name in self.slowness:
                taken = 0.45 if name == "d0" else 1.0
                engine_signs.observe(self.host.state, name, taken, 1.0, self.host.now)
        found = factors(self.host)
        self.assertLess(found["d1"], 1.6 * found["d2"])

    def test_times_of_engines_that_say_nothing_are_told_to_others(self) -> None:
        """Answers of prefill engines carry no load."""
        say_often(self.host, self.slowness)
        other = Host(name="b", endpoints=self.ENDPOINTS)
        say_often(other, self.slowness)
        for _ in range(20):
            engine_signs.observe(self.host.state, "p0", 0.1, 0.2, self.host.now)
            engine_signs.observe(self.host.state, "p1", 0.4, 0.2, self.host.now)
        other.know("a", signs=engine_signs.take_told(self.host.state, self.host.now))
        for host in (self.host, other):
            found = factors(host, stage=PREFILL)
            self.assertGreater(found["p1"] / found["p0"], 2.0)

    def test_prompts_go_to_the_prefill_engine_that_ends_first(self) -> None:
        """By the service's mean, both would get the same number of prompts."""
        say_often(self.host, self.slowness)
        for _ in range(40):
            engine_signs.observe(self.host.state, "p0", 0.1, 0.2, self.host.now)
            engine_signs.observe(self.host.state, "p1", 0.3, 0.2, self.host.now)
        calls = [self.host.ask("stream") for _ in range(8)]
        for call in calls:
            self.host.answer_hold(call)
        read = [self.host.effects_of(ReadPrompt, call) for call in calls]
        by_engine = [one[0].endpoint for one in read if one]
        self.assertGreater(by_engine.count("p0"), 1.5 * by_engine.count("p1"))
        self.assertIn("p1", by_engine)

    def test_a_prefill_may_last_longer_where_engines_have_slow_moments(self) -> None:
        """Time-outs by the mean ended prefills that were under way, and had them done again."""
        self.host.state["places"].own_loads.clear()
        call = self.host.ask("stream")
        self.host.answer_hold(call)
        before = self.host.last_effect(ReadPrompt, call).quiet
        say_often(self.host, dict.fromkeys(self.slowness, 1.0), times=10)
        say(self.host, "d1", 2.5)
        call = self.host.ask("stream")
        self.host.answer_hold(call)
        self.assertGreater(self.host.last_effect(ReadPrompt, call).quiet, 1.3 * before)

    def test_plain_requests_go_to_endpoints_by_their_speed(self) -> None:
        say_often(self.host, {"s0": 1.0, "s1": 3.0})
        calls = [self.host.ask("safe") for _ in range(8)]
        got = [self.host.last_effect(Forward, call).endpoint for call in calls]
        self.assertGreaterEqual(got.count("s0"), 2 * got.count("s1"))
        self.assertIn("s1", got)

    def test_requests_of_hosts_that_are_not_heard_count_if_an_endpoint_says_so(self) -> None:
        """A host that is cut off from this one fills an endpoint that this one takes for idle."""
        say_often(self.host, {"s0": 1.0, "s1": 1.0})
        say(self.host, "s0", running=6, waiting=4)
        chosen = placing.choose_plain(self.host.state, APP, self.host.now, [])
        self.assertEqual(chosen.name, "s1")

    def test_the_spread_of_work_is_shown_by_stage(self) -> None:
        say_often(self.host, self.slowness)
        for name, taken in {"d0": 3.0, "d1": 1.0, "p0": 0.2, "p1": 0.2}.items():
            engine_signs.observe(self.host.state, name, taken, taken, self.host.now)
        found = engine_signs.spread(self.host.state)
        self.assertAlmostEqual(found[f"{MODEL}/{DECODE}"], 1.5, delta=0.3)
        self.assertAlmostEqual(found[f"{MODEL}/{PREFILL}"], 1.0, delta=0.1)

    def test_what_is_known_of_a_dropped_endpoint_is_forgotten(self) -> None:
        say_often(self.host, self.slowness)
        engine_signs.observe(self.host.state, "d0", 1.0, 1.0, self.host.now)
        self.host.drop("d0")
        signs_state = self.host.state["engine_signs"]
        for known in (signs_state.newest, signs_state.speeds, signs_state.untold):
            self.assertNotIn("d0", known)


if __name__ == "__main__":
    unittest.main()
