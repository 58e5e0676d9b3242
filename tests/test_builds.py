"""Tests of streams while engines of several builds serve side by side."""

import unittest

from wasabiwick import _events
from wasabiwick._effects_forwarding import CutForward, Forward, TakeHold
from wasabiwick._verdict import Verdict

from ._forward import BROKEN, DECODE, PREFILL, Host, engine, plain

OLD, NEW = "v1", "v1.1"
MIXED = (
    engine("p0", PREFILL, build=OLD),
    engine("d0", DECODE, build=OLD),
    engine("d1", DECODE, build=OLD),
    engine("d2", DECODE, build=NEW),
    engine("d3", DECODE, build=NEW),
)
BUILDS = {one.name: one.build for one in MIXED}


def serve(host: Host, call: str) -> str:
    """Answer a call up to its first event, and return the build of the engine that streams."""
    host.answer_hold(call)
    host.answer_prefill(call)
    host.answer(call, streams=True)
    return build_of(host, call)


def build_of(host: Host, call: str) -> str:
    """Return the build of the engine that a call was last sent to."""
    return BUILDS[host.last_effect(Forward, call).endpoint]


def begin_before_release() -> tuple[Host, str]:
    """Return a host with a stream of the old build, after engines of a new one have come.

    The new engines are idle, so any choice by load prefers them.
    """
    host = Host(endpoints=MIXED[:3])
    for _ in range(6):
        call = host.ask("stream")
        serve(host, call)
    host.read_list(*MIXED[3:])
    return host, call


class TestWithinOneAnswer(unittest.TestCase):
    """A stream that broke off goes on at the build that began it."""

    def test_stream_never_goes_on_at_another_build(self) -> None:
        host, call = begin_before_release()
        host.fail(call, BROKEN, events=3)
        self.assertEqual(serve(host, call), OLD)

    def test_stream_without_a_build_left_is_cut_off_at_once(self) -> None:
        host = Host(endpoints=(MIXED[0], MIXED[1], MIXED[3]))
        call = host.ask("stream")
        first = serve(host, call)
        for one in MIXED[1:]:
            if one.build == first:
                host.drop(one.name)
        host.fail(call, BROKEN, events=3)
        self.assertTrue(host.effects_of(CutForward, call))

    def test_stream_without_events_may_begin_at_any_build(self) -> None:
        host = Host(endpoints=(MIXED[0], MIXED[1], MIXED[3]))
        call = host.ask("stream")
        first = serve(host, call)
        host.drop(host.last_effect(Forward, call).endpoint)
        host.fail(call, BROKEN, events=0)
        host.answer_hold(call)
        host.answer_prefill(call)
        self.assertNotEqual(build_of(host, call), first)


class TestPlainService(unittest.TestCase):
    """Streams of plain services are bound to their build too."""

    def test_stream_never_goes_on_at_another_build(self) -> None:
        host = Host(endpoints=(plain("s0", build=OLD), plain("s1", build=OLD)))
        call = host.ask("feed")
        host.answer(call, streams=True)
        host.read_list(plain("s2", build=NEW), plain("s3", build=NEW))
        for _ in range(6):
            host.ask("safe")
        host.fail(call, BROKEN, events=3)
        first, second = host.effects_of(Forward, call)
        self.assertEqual({first.endpoint, second.endpoint}, {"s0", "s1"})

    def test_stream_without_a_build_left_is_cut_off(self) -> None:
        host = Host(endpoints=(plain("s0", build=OLD), plain("s1", build=NEW)))
        call = host.ask("feed")
        host.answer(call, streams=True)
        host.fail(call, BROKEN, events=3)
        self.assertEqual(len(host.effects_of(Forward, call)), 1)
        self.assertTrue(host.effects_of(CutForward, call))


class TestResumedCall(unittest.TestCase):
    """A caller's later try goes on at the build that began the stream, or is refused."""

    def test_resumed_call_never_goes_on_at_another_build(self) -> None:
        host, call = begin_before_release()
        host.feed(_events.ForwardLeft, call_id=call)
        again = host.ask("stream", resumed=True, resumes=f"t-{call}")
        self.assertEqual(serve(host, again), OLD)

    def test_unknown_stream_is_refused_while_several_builds_serve(self) -> None:
        host = Host(endpoints=MIXED)
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertEqual(host.effects_of(TakeHold, call), [])
        self.assertIs(host.refusal(call).verdict, Verdict.NOT_RUN)
        self.assertEqual(host.refusal(call).reason.status, 503)
        self.assertGreater(host.refusal(call).retry_after, 0)

    def test_unknown_stream_goes_on_while_one_build_serves(self) -> None:
        host = Host(endpoints=MIXED[:3])
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertEqual(serve(host, call), OLD)
