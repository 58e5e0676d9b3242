"""Tests of at-most-once calls on several hosts, whose reducers a fake network connects."""

import unittest
from unittest import mock

from wasabiwick._effects import AppendLog, CallService
from wasabiwick._errors import KEY_UNTIMED
from wasabiwick._fuzz._network import Fate
from wasabiwick._fuzz._world import World
from wasabiwick._handlers import services
from wasabiwick._verdict import Verdict

ZONES = ["a", "a", "b"]  # Of the hosts host-0, host-1 and host-2.
STEP = 0.05  # Seconds by which virtual time advances at once.


class OnceCase(unittest.TestCase):
    """Base of tests with three hosts in two zones."""

    service = "plain"  # Name of the fuzz run's service that the calls go to.

    def setUp(self) -> None:
        self.world = World(ZONES, [self.service])
        self.caller = self.world.callers[0]

    def step(self, seconds: float = 0.1) -> None:
        """Let time pass without further faults, and check the invariants."""
        for _ in range(max(4, int(seconds / STEP))):
            self.world.fleet.advance(STEP)
            self.world.network.settle()
        self.world.check()

    def until_sent(self, kind: type) -> int:
        """Deliver effects until one of class ``kind`` is in flight; return its index."""
        fleet = self.world.fleet
        for _ in range(500):
            for index, item in enumerate(fleet.in_flight):
                if isinstance(item.effect, kind):
                    return index
            if fleet.in_flight:
                self.world.network.complete_effect(0, Fate.DELIVERED)
            elif not self.world.network.read_tails():
                fleet.advance(0.05)
        raise AssertionError(f"no {kind.__name__} was sent")

    def verdicts(self) -> list[Verdict]:
        return [refusal.failure.verdict for refusal in self.caller.refusals]


class TestAnswer(OnceCase):
    """A call runs once, and every retry gets the recorded answer."""

    def test_first_call_runs(self) -> None:
        self.world.call(self.caller, "host-0")
        self.step()
        self.assertEqual(self.caller.answer.status, 200)
        self.assertEqual(len(self.world.effects(self.caller)), 1)

    def test_retry_on_other_host_gets_the_recorded_answer(self) -> None:
        self.world.call(self.caller, "host-0")
        self.step()
        first = self.caller.answer
        self.caller.answer = None
        self.world.call(self.caller, "host-2")
        self.step()
        self.assertEqual(self.caller.answer.body, first.body)

    def test_concurrent_calls_on_two_hosts_run_once(self) -> None:
        self.world.call(self.caller, "host-0", tell=False)
        self.world.call(self.caller, "host-2", tell=False)
        self.step()
        self.assertEqual(len(self.world.effects(self.caller)), 1)


class TestKeys(OnceCase):
    """A call whose key has no creation time never runs, and is refused without a retry time."""

    def test_key_without_a_creation_time_is_refused(self) -> None:
        self.caller.born = 0.0
        self.world.call(self.caller, "host-0")
        self.step()
        failure = self.caller.refusals[0].failure
        self.assertIs(failure.reason, KEY_UNTIMED)
        self.assertIsNone(failure.retry_after)
        self.assertEqual(self.world.effects(self.caller), [])


class TestFaults(OnceCase):
    """Lost messages, outages, crashes and pauses make no call run twice.

    Where the outcome is unknown, every host answers ``MAY_HAVE_RUN``.
    """

    def test_lost_append_reply_is_resolved_by_reading_the_log(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.complete_effect(self.until_sent(AppendLog), Fate.CUT)
        self.step(1.0)
        self.assertEqual(self.caller.answer.status, 200)

    def test_cut_connection_gives_may_have_run_on_every_host(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.complete_effect(self.until_sent(CallService), Fate.CUT)
        self.step()
        for name in ("host-0", "host-1", "host-2"):
            self.world.call(self.caller, name)
            self.step()
        self.assertEqual(self.verdicts(), [Verdict.MAY_HAVE_RUN] * 4)
        self.assertEqual(len(self.world.effects(self.caller)), 1)

    def test_refused_connection_is_retried_then_proved_not_run(self) -> None:
        self.world.call(self.caller, "host-0")
        for _ in range(3):
            self.world.network.complete_effect(self.until_sent(CallService), Fate.REFUSED)
        self.step(1.0)
        self.assertEqual(self.verdicts(), [Verdict.NOT_RUN])

    def test_voided_key_runs_in_a_new_epoch(self) -> None:
        self.test_refused_connection_is_retried_then_proved_not_run()
        self.world.heal()
        self.assertEqual(len(self.world.effects(self.caller)), 1)

    def test_log_outage_past_the_deadline_gives_may_have_run(self) -> None:
        self.world.fleet.log.up = False
        self.world.call(self.caller, "host-0")
        self.step(10.0)
        self.assertEqual(self.verdicts(), [Verdict.MAY_HAVE_RUN])
        self.world.fleet.log.up = True
        self.step(5.0)
        self.assertEqual(self.world.effects(self.caller), [])
        self.world.heal()
        self.assertEqual(len(self.world.effects(self.caller)), 1)

    def test_call_is_answered_after_a_log_outage_that_ends_before_its_deadline(self) -> None:
        self.world.fleet.log.up = False
        self.world.call(self.caller, "host-0")
        self.step(3.0)
        self.world.fleet.log.up = True
        self.step(3.0)
        self.assertEqual(self.caller.answer.status, 200)

    def test_outcome_is_recorded_after_the_caller_left(self) -> None:
        self.world.call(self.caller, "host-0")
        self.until_sent(CallService)
        self.world.leave(self.caller)
        self.step(1.0)
        self.world.call(self.caller, "host-1")
        self.step(1.0)
        self.assertEqual(self.caller.answer.status, 200)

    def test_crash_after_dispatch_gives_may_have_run(self) -> None:
        self.world.call(self.caller, "host-0")
        self.until_sent(CallService)
        self.world.fleet.crash("host-0")
        self.caller.open.clear()
        self.world.fleet.list_hosts()
        self.world.heal()
        self.assertIsNone(self.caller.answer)
        self.assertEqual(set(self.verdicts()), {Verdict.MAY_HAVE_RUN})

    def test_host_paused_before_its_append_runs_nothing_twice(self) -> None:
        self.world.call(self.caller, "host-0")
        self.until_sent(AppendLog)
        self.world.fleet.pause("host-0")
        self.step(200.0)
        self.world.call(self.caller, "host-1", tell=False)
        self.step(5.0)
        self.world.fleet.resume("host-0")
        self.step(5.0)
        self.assertLessEqual(len(self.world.effects(self.caller)), 1)


class TestKeyedService(OnceCase):
    """A service that runs each key once by itself gets the call again after a cut connection."""

    service = "keyed"

    def test_call_that_ran_is_not_told_as_not_run_once_no_endpoint_is_left(self) -> None:
        self.world.call(self.caller, "host-0")
        sent = self.until_sent(CallService)
        with mock.patch.object(services, "pick_endpoint", return_value=""):
            self.world.network.complete_effect(sent, Fate.CUT)
            self.step()
        self.assertEqual(len(self.world.effects(self.caller)), 1)
        self.assertEqual(self.verdicts(), [Verdict.MAY_HAVE_RUN])
        self.world.heal()
        self.assertEqual(self.caller.answer.status, 200)

    def test_cut_call_is_sent_again(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.complete_effect(self.until_sent(CallService), Fate.CUT)
        self.step(1.0)
        self.assertEqual(self.caller.answer.status, 200)


class TestQueriedService(OnceCase):
    """A query by key settles a call whose connection was cut."""

    service = "asked"

    def test_cut_call_is_settled_by_a_query(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.complete_effect(self.until_sent(CallService), Fate.CUT)
        self.step(1.0)
        self.world.call(self.caller, "host-2")
        self.step(2.0)
        self.assertEqual(self.caller.answer.status, 200)


class TestFencedService(OnceCase):
    """A service with fencing and queries lets another host take over a call that was lost.

    If the original call still arrives late, it must not run.
    """

    service = "fenced_asked"

    def test_lost_call_is_taken_over_and_the_late_original_refused(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.complete_effect(self.until_sent(CallService), Fate.LATE)
        late = self.world.fleet.in_flight.pop()
        self.step(1.0)
        self.world.call(self.caller, "host-2")
        self.step(2.0)
        self.assertEqual(self.caller.answer.status, 200)
        self.world.fleet.in_flight.append(late)
        self.step(1.0)
        self.assertEqual(len(self.world.effects(self.caller)), 1)
