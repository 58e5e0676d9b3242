"""Tests of streams while engines of several builds serve side by side."""

import unittest

from wasabiwick import _events
from wasabiwick._effects_forwarding import (
    CutForward,
    Forward,
    ReadSavedStreams,
    SaveStreams,
    TakeHold,
    TellLoad,
)
from wasabiwick._errors import LOG_UNAVAILABLE, Failure
from wasabiwick._forwarding import Endpoint, SavedBuilds
from wasabiwick._handlers import builds, builds_saving, neighbours, rejecting, unsaved_builds
from wasabiwick._handlers.forwarding import call as open_call
from wasabiwick._verdict import Verdict

from ._forward import BROKEN, DECODE, EPOCH, MODEL, PREFILL, Host, engine, plain
from ._unsaved_release import BEFORE, COME, STREAMS, UnsavedRelease

OLD, NEW = "v1", "v1.1"
STRIDE = 12  # Tokens in an event.
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

    def test_resumed_call_is_not_refused_for_output_that_its_caller_has(self) -> None:
        """Counting the whole output again refused nearly all callers after all hosts were lost."""
        host, call = begin_before_release()
        host.feed(_events.ForwardLeft, call_id=call)
        again = host.ask(
            "stream",
            resumed=True,
            resumes=f"t-{call}",
            events_before=100,
            length_hint=1_600,
            seconds=5.0,
        )
        self.assertIsNone(host.refusal(again))
        self.assertEqual(serve(host, again), OLD)

    def test_reserved_memory_covers_the_output_that_is_read_again(self) -> None:
        host, call = begin_before_release()
        host.feed(_events.ForwardLeft, call_id=call)
        again = host.ask("stream", resumed=True, resumes=f"t-{call}", events_before=100)
        self.assertGreaterEqual(host.last_effect(TakeHold, again).tokens, 3_000 + 100 * STRIDE)

    def test_identifier_that_counts_no_events_is_bounded_by_the_longest_output(self) -> None:
        host, call = begin_before_release()
        host.feed(_events.ForwardLeft, call_id=call)
        again = host.ask("stream", resumed=True, resumes=f"t-{call}", events_before=10**9)
        self.assertLess(host.last_effect(TakeHold, again).tokens, 3_000 + 2_040 + 100)

    def test_log_tells_what_bound_a_resumed_call(self) -> None:
        host, call = begin_before_release()
        host.run(2.0)
        host.ask("stream", resumed=True, resumes=f"t-{call}")
        host.ask("stream", resumed=True, resumes="t-elsewhere")
        lines = [one.fields for one in host.effects if getattr(one, "event", "") == "stream_bound"]
        self.assertEqual([one["build"] for one in lines], [OLD, "-"])
        self.assertEqual([one["builds"] for one in lines], [f"{OLD},{NEW}"] * 2)
        self.assertGreaterEqual(lines[0]["began_ago"], 2.0)

    def test_unknown_stream_is_refused_while_several_builds_serve(self) -> None:
        host = Host(endpoints=MIXED)
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertEqual(host.effects_of(TakeHold, call), [])
        self.assertIs(host.refusal(call).verdict, Verdict.NOT_RUN)
        self.assertEqual(host.refusal(call).reason.status, 503)
        self.assertGreater(host.refusal(call).retry_after, 0)

    def test_unknown_stream_is_refused_in_a_long_outage_of_the_list(self) -> None:
        """Builds that are still listed counted as gone once the list had not been read for long."""
        host = Host(endpoints=MIXED)
        host.run(3 * builds.MIN_KEEP_TIME_S)
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertIsNotNone(host.refusal(call))

    def test_streams_are_forgotten_in_a_long_outage_of_the_list(self) -> None:
        host = Host(endpoints=MIXED)
        for _ in range(5):
            serve(host, host.ask("stream"))
        host.run(builds.MIN_KEEP_TIME_S + 1.0)
        self.assertEqual(host.state["builds"].streams, {})

    def test_unknown_stream_goes_on_while_one_build_serves(self) -> None:
        host = Host(endpoints=MIXED[:3])
        host.run(builds.MIN_KEEP_TIME_S)
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertEqual(serve(host, call), OLD)

    def test_unknown_stream_is_refused_while_a_build_that_left_may_have_begun_it(self) -> None:
        host = Host(endpoints=MIXED)
        for name in ("d2", "d3"):
            host.drop(name)
        host.run(10.0)
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertIsNotNone(host.refusal(call))
        host.run(builds.MIN_KEEP_TIME_S)
        host.read_list(*MIXED[:3])
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertEqual(serve(host, call), OLD)

    def test_stream_of_a_build_that_left_is_refused_at_once(self) -> None:
        host, call = begin_before_release()
        host.feed(_events.ForwardLeft, call_id=call)
        for name in ("p0", "d0", "d1"):
            host.drop(name)
        again = host.ask("stream", resumed=True, resumes=f"t-{call}")
        self.assertIs(host.refusal(again).verdict, Verdict.NOT_RUN)
        self.assertGreater(host.refusal(again).retry_after, 0)

    def test_resumed_call_precedes_new_ones(self) -> None:
        host, call = begin_before_release()
        new = host.ask("stream")
        again = host.ask("stream", resumed=True, resumes=f"t-{call}", seconds=5.0)
        ranks = [
            rejecting.rank(host.state, open_call(host.state, one), host.now) for one in (again, new)
        ]
        self.assertLess(ranks[0], ranks[1])

    def test_resumed_plain_stream_goes_on_at_its_build(self) -> None:
        host = Host(endpoints=(plain("s0", build=OLD),))
        call = host.ask("feed")
        host.answer(call, streams=True)
        host.feed(_events.ForwardLeft, call_id=call)
        host.read_list(plain("s1", build=NEW), plain("s2", build=NEW))
        host.ask("safe")
        again = host.ask("feed", resumed=True, resumes=f"t-{call}")
        self.assertEqual(host.last_effect(Forward, again).endpoint, "s0")


def told_by(host: Host) -> list[TellLoad]:
    """Return the datagrams that a host has sent."""
    return [one for one in host.effects if isinstance(one, TellLoad)]


class TestOtherHosts(unittest.TestCase):
    """A caller whose host was lost resumes its stream at another one."""

    def setUp(self) -> None:
        self.sender, self.receiver = Host(endpoints=MIXED), Host(endpoints=MIXED)
        self.sender.hear("c")

    def resume(self, call: str) -> str:
        """Resume a stream of the sending host at the receiving one; return its build there."""
        again = self.receiver.ask("stream", resumed=True, resumes=f"t-{call}")
        return serve(self.receiver, again)

    def test_stream_goes_on_at_its_build_at_another_host(self) -> None:
        first = {}
        for _ in range(6):
            call = self.sender.ask("stream")
            first[call] = serve(self.sender, call)
        self.sender.run(0.05)
        for told in told_by(self.sender):
            self.receiver.hear("b", told)
        self.assertEqual(len(set(first.values())), 2)
        self.assertEqual({call: self.resume(call) for call in first}, first)

    def test_stream_is_told_again_after_a_lost_datagram(self) -> None:
        call = self.sender.ask("stream")
        first = serve(self.sender, call)
        self.sender.run(2.0)
        naming = [one for one in told_by(self.sender) if one.begun]
        self.assertEqual(len(naming), builds.TELLS)
        self.receiver.hear("b", naming[-1])
        self.assertEqual(self.resume(call), first)

    def test_host_that_starts_is_told_all_streams(self) -> None:
        calls = [self.sender.ask("stream") for _ in range(6)]
        first = {call: serve(self.sender, call) for call in calls}
        self.sender.run(5.0)
        self.sender.effects = [one for one in self.sender.effects if not isinstance(one, TellLoad)]
        self.sender.hear("c", incarnation="2")
        self.sender.run(0.05)
        for told in told_by(self.sender):
            self.receiver.hear("b", told)
        self.assertEqual({call: self.resume(call) for call in calls}, first)

    def test_datagram_stays_small_and_the_rest_follows(self) -> None:
        names = set()
        for number in range(3 * builds.MAX_TOLD):
            stream = builds.BegunStream(name=f"t-{number}", service="m", build=OLD, began=100.0)
            builds.begin_stream(self.sender.state, stream)
        self.sender.run(3.0)
        for told in told_by(self.sender):
            self.assertLessEqual(len(told.begun), builds.MAX_TOLD)
            names |= {one.name for one in told.begun}
        self.assertEqual(len(names), 3 * builds.MAX_TOLD)

    def test_host_without_others_keeps_quiet(self) -> None:
        host = Host(endpoints=MIXED)
        for number in range(3 * builds.MAX_TOLD):
            stream = builds.BegunStream(name=f"t-{number}", service="m", build=OLD, began=100.0)
            builds.begin_stream(host.state, stream)
        host.run(3.0)
        self.assertEqual(told_by(host), [])

    def test_host_that_starts_learns_of_a_build_that_left(self) -> None:
        for name in ("d2", "d3"):
            self.sender.drop(name)
        self.sender.run(3.0)
        started = Host(endpoints=MIXED[:3])
        started.hear("b", told_by(self.sender)[-1])
        call = started.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertIsNotNone(started.refusal(call))

    def test_news_of_a_build_grow_old_among_hosts(self) -> None:
        for name in ("d2", "d3"):
            self.sender.drop(name)
        started = Host(endpoints=MIXED[:3])
        started.hear("c")
        hosts = (self.sender, started)
        for _ in range(50):
            for one, other in (hosts, hosts[::-1]):
                one.run(1.0)
                other.hear("b", told_by(one)[-1])
        for host in hosts:
            host.read_list(*MIXED[:3])
            self.assertEqual(builds.possible_builds(host.state, "writer", {}, host.now), {OLD})


class TestSaved(unittest.TestCase):
    """What hosts saved is known after all of them were lost at once."""

    def saves(self, host: Host) -> list[SaveStreams]:
        """Return the saves of a host."""
        return [one for one in host.effects if isinstance(one, SaveStreams)]

    def restored(self, saved: SaveStreams, *endpoints: Endpoint) -> Host:
        """Return a host that starts after another one, which has saved its streams, was lost."""
        return Host(
            endpoints=endpoints,
            stored={"a": saved.saved},
            begun=saved.begun,
            builds=(saved.builds,),
            own=frozenset(one.name for one in saved.begun),
        )

    def test_only_the_build_is_saved_while_one_build_serves(self) -> None:
        host = Host(endpoints=MIXED[:3])
        for _ in range(4):
            serve(host, host.ask("stream"))
            host.run(1.0)
        (saved,) = self.saves(host)
        self.assertEqual((saved.begun, saved.builds), ((), {}))
        self.assertEqual(saved.saved.begun, {MODEL: (OLD,)})
        host.run(builds_saving.SOLE_REFRESH_INTERVAL_S)
        self.assertEqual(len(self.saves(host)), 2)

    def test_streams_go_on_after_all_hosts_were_lost(self) -> None:
        host, call = begin_before_release()
        host.run(1.0)
        started = self.restored(self.saves(host)[-1], *MIXED)
        again = started.ask("stream", resumed=True, resumes=f"t-{call}")
        self.assertEqual(serve(started, again), OLD)

    def test_build_that_left_meanwhile_is_remembered(self) -> None:
        host, _ = begin_before_release()
        host.run(1.0)
        started = self.restored(self.saves(host)[-1], MIXED[0], *MIXED[3:])
        call = started.ask("stream", resumed=True, resumes="t-not-saved")
        self.assertIsNotNone(started.refusal(call))

    def test_restored_streams_are_saved_again(self) -> None:
        host, call = begin_before_release()
        host.run(1.0)
        started = self.restored(self.saves(host)[-1], *MIXED)
        started.run(1.0)
        self.assertIn(f"t-{call}", [one.name for one in self.saves(started)[-1].begun])

    def test_unknown_stream_waits_for_what_was_saved(self) -> None:
        host = Host(endpoints=MIXED[:3])
        host.state["builds"].is_restored = False
        call = host.ask("stream", resumed=True, resumes="t-elsewhere")
        self.assertIsNotNone(host.refusal(call))

    def test_one_save_at_a_time_and_only_after_changes(self) -> None:
        host, _ = begin_before_release()
        host.store_answers = False
        serve(host, host.ask("stream"))
        host.effects.clear()
        host.run(3.0)
        self.assertEqual(len(self.saves(host)), 1)
        host.feed(_events.StreamsSaved, failure=None)
        host.run(3.0)
        self.assertEqual(len(self.saves(host)), 1)
        serve(host, host.ask("stream"))
        host.run(1.0)
        self.assertEqual(len(self.saves(host)), 2)
        host.feed(_events.StreamsSaved, failure=None)
        host.run(builds_saving.REFRESH_INTERVAL_S)
        self.assertEqual(len(self.saves(host)), 3)

    def test_failed_save_is_repeated(self) -> None:
        host, _ = begin_before_release()
        host.store_answers = False
        serve(host, host.ask("stream"))
        host.effects.clear()
        host.run(1.0)
        failure = Failure(reason=LOG_UNAVAILABLE, verdict=Verdict.MAY_HAVE_RUN)
        host.feed(_events.StreamsSaved, failure=failure)
        host.run(1.0)
        self.assertEqual(len(self.saves(host)), 2)


def using(
    *names: str,
    lost: tuple[str, ...] = (),
    age: float = 1.0,
    era: int | None = None,
    era_age: float = 0.0,
) -> SavedBuilds:
    """Return what a host saved that uses some builds, and forgot streams of others."""
    return SavedBuilds(
        age=age,
        begun={MODEL: names},
        lost={MODEL: dict.fromkeys(lost, age)} if lost else {},
        era=era,
        era_age=era_age,
    )


class TestBuildsSavedFirst(unittest.TestCase):
    """What hosts saved names each build at which a stream may have begun."""

    def resume(self, host: Host) -> str:
        """Resume a stream that the host was not told of, and return the call."""
        return host.ask("stream", resumed=True, resumes="t-elsewhere")

    def test_stream_begins_at_no_build_that_is_not_saved(self) -> None:
        host = Host(endpoints=MIXED[:3])
        host.store_answers = False
        host.read_list(*MIXED[3:])
        for name in ("d0", "d1"):
            host.drop(name)
        call = host.ask("stream")
        self.assertEqual(host.effects_of(TakeHold, call), [])
        host.feed(_events.StreamsSaved, failure=None)
        self.assertEqual(serve(host, call), NEW)

    def test_build_is_used_if_it_cannot_be_saved_for_long(self) -> None:
        """Without the store a service whose old engines have left would serve nothing."""
        host = Host(endpoints=MIXED[:3])
        host.store_answers = False
        host.read_list(*MIXED[3:])
        for name in ("d0", "d1"):
            host.drop(name)
        host.run(builds.SAVE_PATIENCE_S)
        self.assertEqual(serve(host, host.ask("stream")), NEW)

    def test_build_is_saved_elsewhere_if_it_cannot_be_saved_where_it_should(self) -> None:
        """A release that began while a part of the store was down was in no record."""
        host = Host(endpoints=MIXED[:3])
        host.usual_part_is_up = False
        host.read_list(*MIXED[3:])
        for name in ("d0", "d1"):
            host.drop(name)
        self.assertEqual(serve(host, host.ask("stream")), NEW)
        self.assertEqual(host.stored["a"].begun[MODEL], (OLD, NEW))
        again = Host(endpoints=MIXED[:3], stored=host.stored)
        self.assertIsNotNone(again.refusal(self.resume(again)))

    def test_streams_are_saved_elsewhere_while_a_part_of_the_store_is_down(self) -> None:
        host, call = begin_before_release()
        host.run(1.0)
        host.usual_part_is_up = False
        host.effects.clear()
        late = host.ask("stream")
        serve(host, late)
        host.run(1.0)
        failed, saved = [one for one in host.effects if isinstance(one, SaveStreams)]
        self.assertEqual((failed.spare, saved.spare), (False, True))
        self.assertLess({f"t-{call}", f"t-{late}"}, {one.name for one in saved.begun})

    def test_saves_go_where_they_should_again_after_a_while(self) -> None:
        host, _ = begin_before_release()
        host.usual_part_is_up = False
        serve(host, host.ask("stream"))
        host.run(1.0)
        host.usual_part_is_up = True
        host.run(builds_saving.SPARE_TIME_S)
        host.effects.clear()
        serve(host, host.ask("stream"))
        host.run(1.0)
        saves = [one.spare for one in host.effects if isinstance(one, SaveStreams)]
        self.assertEqual(saves, [False])

    def test_save_that_fails_in_both_parts_waits_for_the_next_one(self) -> None:
        host = Host(endpoints=MIXED[:3])
        host.store_answers = False
        host.effects.clear()
        host.read_list(*MIXED[3:])
        host.fail_save()
        host.fail_save()
        saves = [one.spare for one in host.effects if isinstance(one, SaveStreams)]
        self.assertEqual(saves, [False, True])

    def test_stream_of_the_only_build_is_never_joined_after_a_loss_of_all_hosts(self) -> None:
        """A host that had just started took the only build that it had seen for the only one."""
        host = Host(endpoints=MIXED[3:], stored={"a": using(OLD), "b": using(OLD)})
        call = self.resume(host)
        self.assertEqual(host.effects_of(TakeHold, call), [])
        self.assertIs(host.refusal(call).verdict, Verdict.NOT_RUN)

    def test_stream_of_the_only_build_goes_on_after_a_loss_of_all_hosts(self) -> None:
        host = Host(endpoints=MIXED, stored={"a": using(OLD), "b": using(NEW, OLD, lost=(OLD,))})
        host.hear("b")
        host.run(neighbours.CATCH_UP_TIME)
        self.assertEqual(serve(host, self.resume(host)), OLD)

    def test_build_used_by_a_host_that_is_not_heard_is_never_left_out(self) -> None:
        """Builds that hosts had lost hid the newer build at which a host that was cut off began."""
        stored = {"a": using(OLD), "b": using(NEW, OLD, lost=(OLD,))}
        host = Host(endpoints=MIXED[:3], stored=stored)
        self.assertIsNotNone(host.refusal(self.resume(host)))
        host.hear("b")
        host.run(neighbours.CATCH_UP_TIME)
        host.run(neighbours.TELLS_STREAMS_WITHIN)
        self.assertIsNotNone(host.refusal(self.resume(host)))

    def test_host_heard_again_may_have_begun_streams_that_it_could_not_tell(self) -> None:
        stored = {"a": using(OLD), "b": using(NEW, OLD, lost=(OLD,))}
        host = Host(endpoints=MIXED[:3], stored=stored)
        host.hear("b")
        host.run(neighbours.CATCH_UP_TIME)
        empty = {"addresses": (), "loads": {}, "stopping": False, "busy": {}}
        host.hear("b", TellLoad(sequence=2 + builds.TELLS, **empty))
        self.assertIsNotNone(host.refusal(self.resume(host)))

    def test_host_that_has_read_no_list_binds_no_stream(self) -> None:
        """Without a list, no build is known; that is no proof that engines state none."""
        host = Host(endpoints=())
        self.assertIsNotNone(host.refusal(self.resume(host)))

    def test_host_keeps_what_it_lost_through_a_second_loss(self) -> None:
        host = Host(endpoints=MIXED[3:], stored={"a": using(OLD)})
        host.run(2.0)
        again = Host(endpoints=MIXED[3:], stored=host.stored, at=host.now)
        self.assertIsNotNone(again.refusal(self.resume(again)))

    def test_host_that_may_have_used_a_build_without_saving_it_binds_no_stream(self) -> None:
        """Nothing told the host that started of the build that could not be saved."""
        stored = {"a": using(OLD, age=builds.SAVE_PATIENCE_S)}
        host = Host(endpoints=MIXED, stored=stored)
        self.assertIsNotNone(host.refusal(self.resume(host)))
        again = Host(endpoints=MIXED[:3], stored=host.stored)
        self.assertIsNotNone(again.refusal(self.resume(again)))

    def test_build_that_came_after_the_loss_was_not_used_before_it(self) -> None:
        born = int((EPOCH + 100.0 - builds.SAVE_PATIENCE_S / 2) * 1000)
        new = [engine(name, DECODE, build=NEW, born=born) for name in ("d2", "d3")]
        stored = {"a": using(OLD, age=builds.SAVE_PATIENCE_S)}
        host = Host(endpoints=(*MIXED[:3], *new), stored=stored)
        self.assertEqual(serve(host, self.resume(host)), OLD)

    def test_loss_is_forgotten_once_no_stream_of_before_can_last(self) -> None:
        host = Host(endpoints=MIXED[3:], stored={"a": using(OLD)})
        host.run(builds.MIN_KEEP_TIME_S + 1.0)
        host.read_list(*MIXED[3:])
        call = self.resume(host)
        host.answer_hold(call)
        self.assertEqual(build_of(host, call), NEW)

    def test_host_that_left_long_ago_does_not_count(self) -> None:
        stored = {"b": using(OLD), "c": using("v0", age=builds.MAX_SAVED_AGE_S + 1.0)}
        host = Host(endpoints=MIXED[:3], stored=stored)
        self.assertEqual(serve(host, self.resume(host)), OLD)

    def test_host_out_of_step_asks_which_builds_others_use(self) -> None:
        """A host that was cut off or stood still did not know of a build that others used."""
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD)})
        host.run(builds.MIN_KEEP_TIME_S + 1.0)
        host.stored["b"] = using(OLD, NEW)
        call = self.resume(host)
        self.assertEqual(host.effects_of(TakeHold, call), [])
        self.assertIsNotNone(host.refusal(call))

    def test_caller_is_refused_if_the_store_does_not_answer(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD)})
        host.run(1.0)
        host.store_answers = False
        call = self.resume(host)
        self.assertIsNone(host.refusal(call))
        host.run(builds_saving.READ_TIMEOUT_S)
        self.assertIs(host.refusal(call).verdict, Verdict.NOT_RUN)
        self.assertEqual(host.effects_of(TakeHold, call), [])

    def test_answer_that_is_older_than_the_caller_does_not_count(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD)})
        host.run(1.0)
        host.store_answers = False
        self.resume(host)
        asked_at = host.now
        host.run(builds_saving.SHARED_READ_S + 0.1)
        late = self.resume(host)
        read = {"begun": (), "builds": (), "own": frozenset(), "saved": host.stored}
        host.feed(_events.SavedStreamsRead, asked_at=asked_at, **read)
        self.assertEqual(host.effects_of(TakeHold, late), [])
        host.feed(_events.SavedStreamsRead, asked_at=host.now, **read)
        self.assertEqual(serve(host, late), OLD)

    def test_callers_that_come_together_share_a_read(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD)})
        host.run(1.0)
        host.effects.clear()
        for _ in range(20):
            self.resume(host)
        self.assertEqual(sum(isinstance(one, ReadSavedStreams) for one in host.effects), 1)

    def test_caller_that_left_while_the_store_was_read_gets_no_place(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD)})
        host.run(1.0)
        host.store_answers = False
        call = self.resume(host)
        host.feed(_events.ForwardLeft, call_id=call)
        host.store_answers = True
        host.feed(_events.SavedStreamsRead, begun=(), builds=(), own=frozenset(), saved=host.stored)
        self.assertEqual(host.effects_of(TakeHold, call), [])
        self.assertFalse(host.is_open(call))


class TestUnsavedRelease(unittest.TestCase):
    """Hosts can save nowhere while a release comes and is taken back, and all lose power."""

    def setUp(self) -> None:
        self.release = UnsavedRelease()

    def test_no_stream_is_joined(self) -> None:
        """Hosts that started took the older record for all builds, and bound all streams to it."""
        host = self.release.restart()
        self.assertEqual(self.release.joined(host), [])

    def test_streams_of_the_saved_build_go_on(self) -> None:
        """Refusing all streams whose build isn't known would refuse these, too."""
        host = self.release.restart()
        old = [name for name, build in self.release.began.items() if build == OLD]
        gone_on = [name for name in old if self.release.resumes(host, name) == OLD]
        self.assertGreaterEqual(2 * len(gone_on), len(old))

    def test_release_is_served_while_nothing_can_be_saved(self) -> None:
        found = list(self.release.began.values())
        self.assertEqual(len(found), STREAMS)
        self.assertGreater(found.count(NEW), STREAMS // 4)

    def test_host_that_was_not_restarted_joins_no_stream(self) -> None:
        """A record of before the release stands in the store for hosts that are down."""
        self.assertEqual(self.release.joined(self.release.restart(name="b")), [])
        self.assertEqual(self.release.joined(self.release.restart(name="new")), [])

    def test_what_was_used_unsaved_is_kept_through_a_second_loss(self) -> None:
        first = self.release.restart()
        again = self.release.restart(stored=first.stored, history=())
        self.assertEqual(self.release.joined(again), [])
        self.assertTrue(any(self.release.resumes(again, name) for name in self.release.began))

    def test_host_started_while_nothing_can_be_saved_keeps_to_the_share(self) -> None:
        """It knows no record, so that it may not take the new build for the safe one."""
        self.release.began.clear()
        started = self.release.restart(can_save=False)
        started.read_list(*COME)
        started.run(builds.SAVE_PATIENCE_S)
        self.release.begin(started)
        self.assertIn(NEW, self.release.began.values())
        self.assertEqual(self.release.joined(self.release.restart()), [])

    def test_streams_go_on_at_a_host_that_waits_for_the_store(self) -> None:
        """Records were dated by the host's start, so that all engines seemed younger than them."""
        host = self.release.restart(can_save=False)
        host.run(2.0)
        for saved in host.stored.values():
            saved.age += 2.0
        host.usual_part_returns()
        self.assertEqual(self.release.joined(host), [])
        self.assertIn(OLD, [self.release.resumes(host, name) for name in self.release.began])

    def test_routes_that_are_read_last_change_nothing(self) -> None:
        """Which services stream is not known before, so that no build was compared."""
        host = self.release.restart(can_save=False)
        routes_read = host.state["routes"].table
        host.state["routes"].__init__(host.state.cfg)
        host.usual_part_returns()
        host.feed(_events.RoutesRead, table=routes_read)
        self.assertEqual(self.release.joined(host), [])

    def test_stream_of_an_unsaved_build_goes_on_there_whatever_its_name(self) -> None:
        host = Host(endpoints=(plain("s0", build=OLD), plain("s1", build=OLD)))
        host.store_answers = False
        host.read_list(plain("s2", build=NEW), plain("s3", build=NEW), plain("s4", build=NEW))
        host.run(builds.SAVE_PATIENCE_S)
        calls = [host.ask("feed", trace_id=f"n{number}") for number in range(12)]
        for call in calls:
            first = host.last_effect(Forward, call).endpoint
            host.answer(call, streams=True)
            if first in ("s2", "s3"):
                break
        host.drop("s4")
        host.drop("s2" if first == "s3" else "s3")
        host.read_list(*(plain(f"o{number}", build=OLD) for number in range(30)))
        host.read_list(plain("s9", build=NEW))
        host.fail(call, BROKEN, events=3)
        self.assertEqual(host.last_effect(Forward, call).endpoint, "s9")

    def test_every_stream_is_refused_if_the_saved_build_was_not_there_throughout(self) -> None:
        """Any stream begins at a new build once no engine of a saved one takes streams."""
        late = engine("d9", DECODE, build=OLD, born=COME[0].born)
        host = self.release.restart(listed=(BEFORE[0], late))
        self.assertFalse(any(self.release.resumes(host, name) for name in self.release.began))

    def test_every_stream_is_refused_if_a_host_of_an_earlier_version_saved(self) -> None:
        """Such a host begins any stream at a build that it could not save."""
        for saved in self.release.stored.values():
            saved.listed_upto = None
        host = self.release.restart()
        self.assertFalse(any(self.release.resumes(host, name) for name in self.release.began))

    def test_build_that_left_before_the_save_is_not_counted(self) -> None:
        for saved in self.release.stored.values():
            saved.listed_upto = self.release.history[-1].offset + 1
        host = self.release.restart()
        self.assertEqual(self.release.resumes(host, "t-elsewhere"), OLD)

    def test_plain_streams_keep_to_the_share(self) -> None:
        host = Host(endpoints=(plain("s0", build=OLD),))
        host.store_answers = False
        host.read_list(plain("s1", build=NEW))
        host.run(builds.SAVE_PATIENCE_S)
        used = {"s0": [], "s1": []}
        for number in range(60):
            call = host.ask("feed", trace_id=f"n{number}")
            used[host.last_effect(Forward, call).endpoint].append(f"n{number}")
            host.feed(_events.ForwardLeft, call_id=call)
        self.assertTrue(used["s0"] and used["s1"])
        self.assertLess(max(map(unsaved_builds.position, used["s1"])), 0.5)


class TestRestoredStore(unittest.TestCase):
    """What was read from a copy may lack the builds that hosts saved last."""

    def resume(self, host: Host) -> str:
        """Resume a stream that the host was not told of, and return the call."""
        return host.ask("stream", resumed=True, resumes="t-elsewhere")

    def test_stream_is_never_joined_if_the_last_save_may_be_missing(self) -> None:
        """A host that started after a restore took a record of before it for complete."""
        host = Host(endpoints=MIXED, stored={"a": using(OLD, era=0)}, era=1)
        call = self.resume(host)
        self.assertEqual(host.effects_of(TakeHold, call), [])
        self.assertIs(host.refusal(call).verdict, Verdict.NOT_RUN)

    def test_stream_is_never_joined_if_the_only_save_may_be_missing(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD, era=1)}, era=1)
        self.assertIsNotNone(host.refusal(self.resume(host)))

    def test_stream_is_never_joined_if_another_host_does_not_know_what_it_lost(self) -> None:
        stored = {"a": using(OLD, era=0)}
        self.fresh(Host(endpoints=MIXED, stored=stored, era=1))
        host = Host(name="b", endpoints=MIXED, stored={**stored, "b": using(OLD, era=1)}, era=1)
        host.hear("a")
        host.run(neighbours.CATCH_UP_TIME)
        self.assertIsNotNone(host.refusal(self.resume(host)))

    def fresh(self, host: Host) -> None:
        """Check that a host has saved that it does not know what it lost."""
        lost = host.stored["a"].lost[MODEL]
        self.assertEqual(set(lost), {OLD, builds.UNKNOWN_BUILD})

    def test_stream_is_never_joined_before_another_host_has_saved_again(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD)})
        host.run(builds.MIN_KEEP_TIME_S)
        host.note_era(1)
        host.stored["b"] = using(OLD, era=0)
        self.assertIsNotNone(host.refusal(self.resume(host)))
        host.run(builds_saving.SHARED_READ_S + 0.1)
        host.stored["b"] = using(OLD, era=1)
        self.assertEqual(serve(host, self.resume(host)), OLD)

    def test_host_that_does_not_know_what_it_lost_keeps_that_through_a_second_loss(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"a": using(OLD, era=0)}, era=1)
        host.run(2.0)
        again = Host(endpoints=MIXED[:3], stored=host.stored, era=1, at=host.now)
        self.assertIsNotNone(again.refusal(self.resume(again)))

    def test_stream_goes_on_if_the_last_save_came_after_the_restore(self) -> None:
        host = Host(endpoints=MIXED, stored={"a": using(OLD, era=1)}, era=1)
        self.assertEqual(serve(host, self.resume(host)), OLD)

    def test_stream_goes_on_if_the_restore_was_before_any_stream_that_can_be_resumed(self) -> None:
        """Hosts that are new would refuse resumed calls for good after one restore."""
        ago = builds.MIN_KEEP_TIME_S + builds.MAX_CLOCK_SKEW_S + 1.0
        host = Host(endpoints=MIXED[:3], stored={"b": using(OLD, era=1, era_age=ago)}, era=1)
        self.assertEqual(serve(host, self.resume(host)), OLD)

    def test_stream_goes_on_once_no_stream_of_before_can_last(self) -> None:
        host = Host(endpoints=MIXED[:3], stored={"a": using(OLD, era=0)}, era=1)
        host.run(builds.MIN_KEEP_TIME_S + 1.0)
        self.assertEqual(serve(host, self.resume(host)), OLD)

    def test_save_of_a_version_that_names_no_era_counts_as_before(self) -> None:
        host = Host(endpoints=MIXED, stored={"a": using(OLD)}, era=1)
        self.assertEqual(serve(host, self.resume(host)), OLD)
