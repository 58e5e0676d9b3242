"""Tests of the estimates that a host learns from generations."""

import unittest

from wasabiwick import _events
from wasabiwick._handlers import estimates, rejecting

from ._forward import MODEL, Host, table


def play_stream(host: Host, *, events: int, seconds: float) -> str:
    """Run a stream that ends after a number of events and seconds, and return its call id."""
    call = host.start_stream()
    sent = host.state["forwarding"].calls[call].number
    host.run(seconds)
    host.feed(
        _events.StreamDone,
        call_id=call,
        endpoint=host.state["forwarding"].calls[call].place.name,
        number=sent,
        events=events,
    )
    return call


class TestTokenRate(unittest.TestCase):
    """The token rate is learned from streams, but not from those too short to measure it."""

    def test_slow_engines_are_learned(self) -> None:
        host = Host()
        for _ in range(20):
            host.feed(
                _events.ForwardAnswered, call_id=play_stream(host, events=60, seconds=6 * 1.2)
            )
        # 60 events of 12 tokens each in 7.2 s.
        self.assertAlmostEqual(estimates.token_rate(host.state, MODEL), 100.0, delta=10.0)

    def test_streams_of_hosts_that_served_none_are_expected_at_the_rate_of_their_events(
        self,
    ) -> None:
        """At a fixed rate of tokens, hosts of a large fleet refused all callers at first."""
        host = Host()
        host.feed(_events.RoutesRead, table=table(2, stride=74))
        call = host.ask("stream", max_tokens=9_620, length_hint=5_000)
        self.assertIsNone(host.refusal(call))
        self.assertGreater(estimates.token_rate(host.state, MODEL), 1_000.0)

    def test_rate_determines_expected_stream_duration(self) -> None:
        host = Host()
        ask = host.state["forwarding"].calls[host.ask("stream")].ask
        before = rejecting.stream_duration(host.state, MODEL, "stream", ask)
        for _ in range(20):
            host.feed(_events.ForwardAnswered, call_id=play_stream(host, events=60, seconds=7.2))
        after = rejecting.stream_duration(host.state, MODEL, "stream", ask)
        self.assertGreater(after, 2.0 * before)

    def test_short_streams_are_ignored(self) -> None:
        host = Host()
        before = estimates.token_rate(host.state, MODEL)
        play_stream(host, events=2, seconds=0.001)
        self.assertEqual(estimates.token_rate(host.state, MODEL), before)

    def test_rates_of_services_are_separate(self) -> None:
        host = Host()
        before = estimates.token_rate(host.state, "another")
        play_stream(host, events=60, seconds=7.2)
        self.assertEqual(estimates.token_rate(host.state, "another"), before)

    def test_only_the_latest_attempt_is_timed(self) -> None:
        host = Host()
        call = host.start_stream()
        req = host.state["forwarding"].calls[call]
        req.begun_events = 50  # Delivered by an earlier attempt, whose engine aborted the stream.
        before = estimates.token_rate(host.state, MODEL)
        host.run(0.5)
        host.feed(
            _events.StreamDone,
            call_id=call,
            endpoint=req.place.name,
            number=req.number,
            events=60,
        )
        self.assertAlmostEqual(estimates.token_rate(host.state, MODEL), before, delta=12.0)
