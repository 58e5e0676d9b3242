"""Tests of what hosts learn of generations from each other."""

import math
import unittest

from wasabiwick import _events
from wasabiwick._effects_forwarding import OrderStage, TellLoad
from wasabiwick._forwarding import STREAM
from wasabiwick._handlers import estimates, observations
from wasabiwick._observed import Observed, decode_observed, encode_observed

from ._forward import DECODE, MODEL, PREFILL, Host, engine, table

LONG_PROMPT, LONG_OUTPUT = 9_000, 1_900


def measured(requests: float = 100.0) -> Observed:
    """Return the sums of long requests, streams at 100 tokens a second."""
    return Observed(
        service=MODEL,
        requests=requests,
        prompt_tokens=requests * LONG_PROMPT,
        output_tokens=requests * LONG_OUTPUT,
        streamed_tokens=requests * 1_000.0,
        streamed_seconds=requests * 10.0,
    )


def requests_seen(host: Host) -> float:
    """Return the weight of the requests that a host knows of."""
    return sum(one.requests for one in observations.pooled(host.state, MODEL))


def tell(host: Host, name: str, *sums: Observed) -> None:
    """Let a host hear another one, which tells its sums."""
    host.know(name, observed=sums)


class TestPooled(unittest.TestCase):
    """A host estimates from what all hosts measured."""

    def test_host_that_served_nothing_knows_sizes_and_rates(self) -> None:
        host = Host()
        tell(host, "b", measured())
        service = host.state["routes"].services[MODEL]
        prompt, output = estimates.mean_sizes(host.state, service)
        self.assertAlmostEqual(prompt, LONG_PROMPT, delta=0.1 * LONG_PROMPT)
        self.assertAlmostEqual(output, LONG_OUTPUT, delta=0.1 * LONG_OUTPUT)
        self.assertAlmostEqual(estimates.token_rate(host.state, MODEL), 100.0, delta=5.0)

    def test_sums_told_again_do_not_count_twice(self) -> None:
        host = Host()
        for _ in range(3):
            tell(host, "b", measured())
        tell(host, "c", measured())
        self.assertAlmostEqual(requests_seen(host), 200.0)

    def test_datagram_without_sums_leaves_those_told_before(self) -> None:
        host = Host()
        tell(host, "b", measured())
        tell(host, "b")
        self.assertAlmostEqual(requests_seen(host), 100.0)

    def test_sums_of_a_silent_host_are_dropped(self) -> None:
        host = Host()
        tell(host, "b", measured())
        host.run(observations.FORGET_AFTER_S - 2.0)
        tell(host, "c", measured(5.0))
        host.run(4.0)
        self.assertAlmostEqual(requests_seen(host), 5.0)

    def test_old_measurements_weigh_less(self) -> None:
        host = Host()
        host.know("b")
        for _ in range(8):
            host.ask("stream")
        host.run(2 * observations.HALF_TIME_S)
        told = [one for one in host.effects if isinstance(one, TellLoad) and one.observed]
        self.assertAlmostEqual(told[-1].observed[0].requests, 2.0, delta=0.2)

    def test_sums_are_told_once_a_second_at_most(self) -> None:
        host = Host()
        host.know("b")
        for _ in range(40):
            host.ask("stream")
            host.run(0.05)
        told = [one for one in host.effects if isinstance(one, TellLoad)]
        self.assertGreater(len(told), 5)
        self.assertLessEqual(sum(bool(one.observed) for one in told), 3)


class TestTellings(unittest.TestCase):
    """What hosts hear of each other's sums stays bounded, whatever the size of the fleet."""

    def test_sums_are_told_more_seldom_in_a_large_fleet(self) -> None:
        host = Host()
        others = int(4 * observations.MAX_TELLINGS_PER_S)
        told = 0
        for _ in range(12):
            for number in range(others):
                tell(host, f"h{number}", measured(1.0))
            host.ask("stream")
            before = len(host.effects)
            host.run(1.0)
            sent = [one for one in host.effects[before:] if isinstance(one, TellLoad)]
            told += sum(bool(one.observed) for one in sent)
        self.assertLessEqual(told, 4)
        self.assertGreaterEqual(told, 2)


class TestLargeFleet(unittest.TestCase):
    """In a large fleet each host serves a request every few seconds, and yet knows what comes."""

    def test_all_hosts_know_the_mean_sizes_after_a_few_seconds(self) -> None:
        hosts = [Host(name=f"h{number:02}") for number in range(40)]
        # Each host gets one request; with a weight of its own of one, it would know nothing.
        for one in hosts:
            one.ask(
                STREAM,
                prompt_tokens=LONG_PROMPT,
                max_tokens=2 * LONG_OUTPUT,
                length_hint=LONG_OUTPUT,
                seconds=30.0,
            )
            one.know("z")
            one.run(2.0)
        told = {one.state.owner.host: _last_told(one) for one in hosts}
        for one in hosts:
            for name, sums in told.items():
                if name != one.state.owner.host:
                    tell(one, name, *sums)
        service = hosts[0].state["routes"].services[MODEL]
        for one in hosts:
            prompt, _ = estimates.mean_sizes(one.state, service)
            self.assertGreater(prompt, 0.75 * LONG_PROMPT)

    def test_several_engines_of_a_large_service_change_their_stage_at_once(self) -> None:
        """One at a time, a service of 22 engines takes a minute to fit the load."""
        prefill = tuple(engine(f"p{number:02}", PREFILL) for number in range(14))
        decode = tuple(engine(f"d{number:02}", DECODE) for number in range(8))
        host = Host(endpoints=prefill + decode)
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="")
        effects = host.feed(_events.ClaimAnswered, offset=7)
        orders = [one for one in effects if isinstance(one, OrderStage)]
        self.assertEqual(len(orders), 3)  # One in six of 22.
        self.assertEqual(len({one.endpoint for one in orders}), 3)
        self.assertEqual({one.stage for one in orders}, {DECODE})
        self.assertEqual({one.fence for one in orders}, {8})

    def test_long_outputs_at_a_fast_engine_call_for_decode_engines(self) -> None:
        """With outputs taken as short, engines were ordered away from decode, which was full."""
        engines = tuple(engine(f"p{number}", PREFILL) for number in range(4)) + tuple(
            engine(f"d{number}", DECODE) for number in range(7)
        )
        host = Host(endpoints=engines)
        host.feed(
            _events.RoutesRead,
            table=table(2, memory=71_165, slots=24, stride=74),
        )
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="")
        effects = host.feed(_events.ClaimAnswered, offset=7)
        stages = {one.stage for one in effects if isinstance(one, OrderStage)}
        self.assertNotIn(PREFILL, stages)


def _last_told(host: Host) -> tuple[Observed, ...]:
    told = [one for one in host.effects if isinstance(one, TellLoad) and one.observed]
    return told[-1].observed


class TestRows(unittest.TestCase):
    """Sums keep their values in a datagram, and sums that can't be are left out."""

    def test_sums_come_back_unchanged(self) -> None:
        self.assertEqual(decode_observed(encode_observed([measured()])), (measured(),))

    def test_rows_with_impossible_numbers_are_left_out(self) -> None:
        for number in (math.nan, math.inf, -1.0):
            self.assertEqual(decode_observed([(MODEL, [number, 1.0])]), ())

    def test_rows_of_other_lengths_are_read(self) -> None:
        (short,) = decode_observed([(MODEL, [3.0])])
        (long,) = decode_observed([(MODEL, [3.0] * 30)])
        self.assertEqual((short.requests, short.prefills), (3.0, 0.0))
        self.assertEqual(long.requests, 3.0)
