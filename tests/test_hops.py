"""Tests of requests that go through another host, by one host's reducer."""

import unittest

from wasabiwick import _events
from wasabiwick._effects_forwarding import CutForward, DropTry
from wasabiwick._effects_hops import ReadHosts
from wasabiwick._errors import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    HOST_FULL,
    HOST_LOST,
    NOT_REACHED,
    OTHER_VERSION,
    OVERLOADED,
    REQUEST_BLOCKED,
    STOPPING,
    Failure,
    Reason,
)
from wasabiwick._forwarding import Crash
from wasabiwick._handlers import builds, crashing_parts, hops, retry_budget
from wasabiwick._verdict import Verdict

from ._forward import (
    APP,
    BROKEN,
    MODEL,
    UNREACHABLE,
    Forward,
    Host,
    PassOn,
    Relay,
    TellLoad,
    table,
)


def not_run(reason: Reason, retry_after: float | None = None) -> Failure:
    """Return a failure of another host that has not run a request."""
    return Failure(reason=reason, verdict=Verdict.NOT_RUN, retry_after=retry_after)


LOST = Failure(reason=HOST_LOST, verdict=Verdict.MAY_HAVE_RUN)


class HopTest(unittest.TestCase):
    """Base of tests with a host that reaches no endpoint, and knows two others."""

    service = APP

    def setUp(self) -> None:
        self.host = Host()
        self.host.know("b")
        self.host.know("c", zone="zone-b")
        if self.service == APP:
            self.host.ask("unsafe")
        else:
            self.host.ask("stream")
        self.host.cut_off(self.service)
        self.know_all()

    def know_all(self, **told: object) -> None:
        """Let the host hear the others."""
        self.host.know("b", **told)
        self.host.know("c", zone="zone-b", **told)

    def hosts_of(self, call_id: str) -> list[str]:
        """Return the hosts that a call was passed to, in order."""
        return [one.endpoint for one in self.host.effects_of(PassOn, call_id)]


class TestPassing(HopTest):
    """Requests go through a host that reaches their service."""

    def test_answer_is_relayed(self) -> None:
        call_id = self.host.ask("unsafe")
        self.assertEqual(self.host.effects_of(Forward, call_id), [])
        self.host.answer_hop(call_id)
        self.assertTrue(self.host.effects_of(Relay, call_id))
        self.host.feed(_events.ForwardAnswered, call_id=call_id)
        self.assertFalse(self.host.is_open(call_id))

    def test_host_that_reaches_the_service_no_more_is_passed_none(self) -> None:
        self.host.know("b", unreached=(APP,))
        for _ in range(5):
            self.assertEqual(self.hosts_of(self.host.ask("unsafe")), ["c"])

    def test_what_no_host_reaches_is_passed_to_none(self) -> None:
        self.know_all(unreached=(APP,))
        call_id = self.host.ask("unsafe")
        self.assertEqual(self.hosts_of(call_id), [])
        self.assertIs(self.host.refusal(call_id).reason, NOT_REACHED)

    def test_hosts_are_told_what_is_not_reached(self) -> None:
        self.host.run(1.0)
        told = [one for one in self.host.effects if isinstance(one, TellLoad)]
        self.assertEqual(told[-1].unreached, (APP,))
        self.host.check_reach("s0")
        self.host.run(1.0)
        told = [one for one in self.host.effects if isinstance(one, TellLoad)]
        self.assertEqual(told[-1].unreached, ())

    def test_stopping_host_is_passed_none(self) -> None:
        self.host.know("b", stopping=True)
        self.assertEqual(self.hosts_of(self.host.ask("unsafe")), ["c"])

    def test_silent_host_is_passed_none(self) -> None:
        for _ in range(8):
            self.host.cut_off(APP, 0.5)
            self.host.know("c")
        self.assertEqual(self.hosts_of(self.host.ask("unsafe")), ["c"])

    def test_host_that_started_again_is_passed_none_until_its_entry_is_read(self) -> None:
        told = TellLoad(
            addresses=(), sequence=1, loads={}, stopping=False, busy={}, routes_version=1
        )
        self.host.hear("b", told, incarnation="2")
        self.assertEqual(self.hosts_of(self.host.ask("unsafe")), ["c"])
        self.host.cut_off(APP, 1.5)
        self.assertTrue([one for one in self.host.effects if isinstance(one, ReadHosts)])
        self.host.know("b", incarnation="2")
        self.assertIn("b", [self.hosts_of(self.host.ask("unsafe"))[0] for _ in range(6)])

    def test_host_with_the_same_version_goes_first(self) -> None:
        self.host.know("b", routes_version=2)
        for _ in range(5):
            self.assertEqual(self.hosts_of(self.host.ask("unsafe")), ["c"])

    def test_calls_at_one_host_are_bounded(self) -> None:
        self.host.know("c", unreached=(APP,))
        calls = [self.host.ask("unsafe", seconds=10.0) for _ in range(hops.MAX_IN_FLIGHT + 5)]
        passed = [call_id for call_id in calls if self.hosts_of(call_id)]
        self.assertEqual(len(passed), hops.MAX_IN_FLIGHT)
        self.assertIs(self.host.refusal(calls[-1]).verdict, Verdict.NOT_RUN)

    def test_load_is_spread_over_hosts(self) -> None:
        calls = [self.host.ask("unsafe", seconds=10.0) for _ in range(40)]
        at_b = sum(self.hosts_of(call_id) == ["b"] for call_id in calls)
        self.assertGreaterEqual(at_b, 16)
        self.assertLessEqual(at_b, 24)

    def test_own_zone_goes_first(self) -> None:
        calls = [self.host.ask("unsafe", seconds=10.0) for _ in range(hops.CALLS_PER_STEP)]
        self.assertEqual({self.hosts_of(call_id)[0] for call_id in calls}, {"b"})

    def test_endpoints_are_tried_first_while_reach_is_in_doubt_and_no_host_is_left(self) -> None:
        host = Host()
        call_id = host.ask("safe")
        host.fail(call_id, UNREACHABLE)
        host.fail(call_id, UNREACHABLE)
        self.assertEqual(len(host.effects_of(Forward, call_id)), 2)
        next_id = host.ask("safe")
        self.assertTrue(host.effects_of(Forward, next_id))

    def test_call_that_finds_no_open_endpoint_is_passed_on_at_once(self) -> None:
        host = Host()
        host.know("b")
        call_id = host.ask("unsafe")
        host.fail(call_id, UNREACHABLE)
        host.fail(call_id, UNREACHABLE)
        self.assertEqual([one.endpoint for one in host.effects_of(PassOn, call_id)], ["b"])


class TestAtMostOnce(HopTest):
    """What may run once is passed on once, unless it has not run."""

    def test_lost_host_ends_an_unsafe_request(self) -> None:
        call_id = self.host.ask("unsafe")
        self.host.fail_hop(call_id, LOST)
        self.assertEqual(len(self.hosts_of(call_id)), 1)
        self.assertIs(self.host.refusal(call_id).verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.host.refusal(call_id).reason.status, 502)

    def test_hosts_that_turn_a_request_down_are_followed_by_others(self) -> None:
        for reason in hops.TURNED_DOWN:
            with self.subTest(reason=reason.code):
                self.host.state["hops"].avoid_until.clear()
                call_id = self.host.ask("unsafe")
                self.host.fail_hop(call_id, not_run(reason))
                self.assertEqual(sorted(self.hosts_of(call_id)), ["b", "c"])
                self.host.fail_hop(call_id, not_run(reason))
                self.assertIs(self.host.refusal(call_id).verdict, Verdict.NOT_RUN)
                self.assertGreater(self.host.refusal(call_id).retry_after, 0.0)

    def test_host_that_failed_a_call_comes_after_others(self) -> None:
        failed = self.host.ask("unsafe")
        self.host.fail_hop(failed, LOST)
        (name,) = self.hosts_of(failed)
        for _ in range(4):
            self.assertNotEqual(self.hosts_of(self.host.ask("unsafe")), [name])
        other = "c" if name == "b" else "b"
        self.host.know(other, unreached=(APP,))
        self.assertEqual(self.hosts_of(self.host.ask("unsafe")), [name])

    def test_rejection_is_passed_on_with_when_to_come_back(self) -> None:
        call_id = self.host.ask("unsafe")
        self.host.fail_hop(call_id, not_run(OVERLOADED, retry_after=2.5))
        self.assertEqual(len(self.hosts_of(call_id)), 1)
        self.assertEqual(self.host.refusal(call_id).retry_after, 2.5)

    def test_status_that_says_not_run_is_not_relayed(self) -> None:
        """A host of an earlier version passes such a status of an endpoint back as it is."""
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                call_id = self.host.ask("unsafe")
                self.host.answer_hop(call_id, status)
                self.assertEqual(self.host.effects_of(Relay, call_id), [])
                self.assertEqual(len(self.hosts_of(call_id)), 1)
                self.assertEqual(self.host.refusal(call_id).reason.status, 502)
                self.assertIs(self.host.refusal(call_id).verdict, Verdict.MAY_HAVE_RUN)

    def test_time_out_says_that_it_may_have_run(self) -> None:
        call_id = self.host.ask("unsafe", seconds=0.5)
        self.host.cut_off(APP, 0.6)
        self.assertIs(self.host.refusal(call_id).reason, DEADLINE_PASSED)
        self.assertIs(self.host.refusal(call_id).verdict, Verdict.MAY_HAVE_RUN)

    def test_late_answer_is_not_relayed(self) -> None:
        call_id = self.host.ask("unsafe", seconds=0.5)
        self.host.cut_off(APP, 0.6)
        self.host.answer_hop(call_id)
        self.assertEqual(self.host.effects_of(Relay, call_id), [])

    def test_gone_caller_drops_the_request(self) -> None:
        call_id = self.host.ask("unsafe")
        self.host.feed(_events.ForwardLeft, call_id=call_id)
        self.assertTrue(self.host.effects_of(DropTry, call_id))
        self.assertFalse(self.host.is_open(call_id))

    def test_attempts_are_counted_over_hops(self) -> None:
        call_id = self.host.ask("safe", seconds=10.0)
        self.host.fail_hop(call_id, LOST)
        self.host.fail_hop(call_id, LOST)
        self.assertEqual(len(self.hosts_of(call_id)), 2)
        self.assertFalse(self.host.is_open(call_id))

    def test_attempt_at_an_endpoint_counts_with_those_of_hops(self) -> None:
        host = Host()
        host.know("b")
        call_id = host.ask("safe", seconds=10.0)
        host.fail(call_id, BROKEN)
        host.fail(call_id, UNREACHABLE)
        host.cut_off(APP, 0.2)
        self.assertLessEqual(len(host.effects_of(PassOn, call_id)), 1)

    def test_repeats_draw_on_the_retry_budget(self) -> None:
        host = Host(slack=0.0)
        host.know("b")
        host.ask("unsafe")
        host.cut_off(APP)
        host.know("b")
        call_id = host.ask("safe")
        host.fail_hop(call_id, LOST)
        self.assertEqual(len(host.effects_of(PassOn, call_id)), 1)
        self.assertIsNotNone(host.refusal(call_id))

    def test_deadline_is_handed_on(self) -> None:
        call_id = self.host.ask("unsafe", seconds=0.5)
        passed = self.host.last_effect(PassOn, call_id)
        self.assertAlmostEqual(passed.deadline, self.host.now + 0.5)


class TestStreamsOverHops(HopTest):
    """Generations go through another host, and go on after it is lost."""

    service = MODEL

    def test_stream_is_relayed_and_bound_to_its_build(self) -> None:
        call_id = self.host.ask("stream")
        self.host.answer_hop(call_id, streams=True, build="v2")
        self.assertTrue(self.host.effects_of(Relay, call_id))
        self.assertEqual(builds.begun_stream(self.host.state, f"t-{call_id}").build, "v2")

    def test_no_other_answer_follows_a_stream_that_has_begun(self) -> None:
        for status, streams in (
            (200, False),
            (206, True),
            (302, False),
            (404, False),
            (500, False),
        ):
            with self.subTest(status=status, streams=streams):
                self.setUp()
                call_id = self.host.ask("stream")
                self.host.answer_hop(call_id, streams=True)
                self.host.fail_hop(call_id, BROKEN, events=3)
                while self.host.is_open(call_id):
                    self.host.answer_hop(call_id, status, streams=streams)
                self.assertEqual(len(self.host.effects_of(Relay, call_id)), 1)
                self.assertTrue(self.host.effects_of(CutForward, call_id))

    def test_broken_stream_goes_on_at_the_same_build(self) -> None:
        call_id = self.host.ask("stream")
        self.host.answer_hop(call_id, streams=True, build="v2")
        self.host.fail_hop(call_id, LOST, events=3)
        hop = self.host.last_effect(PassOn, call_id).hop
        self.assertEqual((hop.events, hop.build), (3, "v2"))
        self.assertEqual(len(self.hosts_of(call_id)), 2)

    def test_stream_that_may_not_be_resumed_is_cut_off(self) -> None:
        call_id = self.host.ask("draft")
        self.host.answer_hop(call_id, streams=True)
        self.host.fail_hop(call_id, LOST, events=3)
        self.assertTrue(self.host.effects_of(CutForward, call_id))
        self.assertEqual(len(self.hosts_of(call_id)), 1)

    def test_waiting_generations_are_passed_on_once_the_service_is_unreached(self) -> None:
        host = Host()
        host.know("b")
        call_id = host.ask("stream")
        host.answer_hold(call_id, UNREACHABLE)
        host.answer_hold(call_id, UNREACHABLE)
        host.run(0.1)
        self.assertEqual([one.endpoint for one in host.effects_of(PassOn, call_id)], ["b"])


class TestServingForOthers(unittest.TestCase):
    """A host serves what others pass to it at one endpoint at most, and never passes it on."""

    def setUp(self) -> None:
        self.host = Host()
        self.host.know("b")

    def reason(self, call_id: str) -> Reason | None:
        """Return why a call was refused."""
        refusal = self.host.refusal(call_id)
        return refusal.reason if refusal else None

    def test_request_is_sent_and_answered(self) -> None:
        call_id = self.host.pass_in("unsafe")
        self.host.answer(call_id)
        self.assertTrue(self.host.effects_of(Relay, call_id))

    def test_failed_request_is_not_sent_again(self) -> None:
        for path in ("safe", "unsafe"):
            call_id = self.host.pass_in(path)
            self.host.fail(call_id, BROKEN)
            self.assertEqual(len(self.host.effects_of(Forward, call_id)), 1)
            self.assertIs(self.host.refusal(call_id).verdict, Verdict.MAY_HAVE_RUN)
            self.assertIs(self.reason(call_id), ENDPOINT_FAILED)

    def test_refused_request_is_sent_to_another_endpoint(self) -> None:
        call_id = self.host.pass_in("unsafe")
        self.host.answer(call_id, 503, not_run=True)
        self.assertEqual(len(self.host.effects_of(Forward, call_id)), 2)

    def test_it_is_never_passed_on(self) -> None:
        call_id = self.host.pass_in("unsafe")
        self.host.fail(call_id, UNREACHABLE)
        self.host.fail(call_id, UNREACHABLE)
        self.host.cut_off(APP)
        self.assertEqual(self.host.effects_of(PassOn, call_id), [])
        self.assertIs(self.reason(self.host.pass_in("unsafe")), NOT_REACHED)

    def test_other_versions_are_turned_down(self) -> None:
        self.host.feed(_events.RoutesRead, table=table(5))
        for version in (4, 6):
            call_id = self.host.pass_in("unsafe", routes_version=version)
            self.assertIs(self.reason(call_id), OTHER_VERSION)
        call_id = self.host.pass_in("unsafe", routes_version=5)
        self.assertTrue(self.host.effects_of(Forward, call_id))

    def test_service_that_the_route_does_not_name_is_turned_down(self) -> None:
        self.assertIs(self.reason(self.host.pass_in("unsafe", service=MODEL)), OTHER_VERSION)

    def test_stopping_host_turns_down_what_it_can_not_finish(self) -> None:
        self.host.feed(_events.StopAsked)
        self.host.run(7.4)
        self.assertIs(self.reason(self.host.pass_in("unsafe")), STOPPING)

    def test_stopping_host_finishes_what_it_has(self) -> None:
        call_id = self.host.pass_in("unsafe")
        self.host.feed(_events.StopAsked)
        self.assertTrue(self.host.is_open(call_id))

    def test_calls_for_others_are_bounded(self) -> None:
        self.host.feed(_events.RoutesRead, table=table(2))
        calls = [self.host.pass_in("stream", service=MODEL, routes_version=2) for _ in range(300)]
        kept = [call_id for call_id in calls if self.host.is_open(call_id)]
        self.assertLessEqual(len(kept), hops.MAX_PASSED)
        self.assertIs(self.reason(calls[-1]), HOST_FULL)

    def test_requests_of_others_add_nothing_to_the_retry_budget(self) -> None:
        before = retry_budget.remaining_retries(self.host.state, APP, self.host.now)
        for _ in range(20):
            self.host.pass_in("unsafe")
        after = retry_budget.remaining_retries(self.host.state, APP, self.host.now)
        self.assertEqual(before, after)

    def test_stream_goes_on_after_the_events_that_its_caller_has(self) -> None:
        call_id = self.host.pass_in("stream", service=MODEL, events=4)
        self.host.answer_hold(call_id)
        self.host.answer_prefill(call_id)
        self.assertTrue(self.host.last_effect(Forward, call_id).resume)

    def test_gone_host_drops_the_request(self) -> None:
        call_id = self.host.pass_in("unsafe")
        self.host.feed(_events.ForwardLeft, call_id=call_id)
        self.assertTrue(self.host.effects_of(DropTry, call_id))

    def test_endpoint_that_failed_at_the_sender_is_avoided(self) -> None:
        for _ in range(5):
            call_id = self.host.pass_in("unsafe", avoid=("s0",))
            self.assertEqual(self.host.last_effect(Forward, call_id).endpoint, "s1")


class TestCrashingRequestBehindAHop(unittest.TestCase):
    """A request that ends endpoints is refused also where another host passes it on."""

    def test_request_that_ended_endpoints_is_turned_down(self) -> None:
        host = Host()
        for number in range(crashing_parts.MIN_CRASHES):
            crash = Crash(
                endpoint=f"x{number}", born=1, service=APP, parts=("request:f",), at=host.now
            )
            crashing_parts.add_own_crash(host.state, crash)
        call_id = host.pass_in("safe", fingerprints=("request:f",))
        self.assertEqual(host.effects_of(Forward, call_id), [])
        self.assertIs(host.refusal(call_id).reason, REQUEST_BLOCKED)
        self.assertTrue(host.effects_of(Forward, host.pass_in("safe", fingerprints=("request:g",))))
