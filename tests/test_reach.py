"""Tests of finding out whether any endpoint of a service is reached."""

import unittest

from wasabiwick._effects_hops import CheckReach
from wasabiwick._errors import NOT_REACHED
from wasabiwick._handlers import reach
from wasabiwick._verdict import Verdict

from ._forward import APP, MODEL, UNREACHABLE, Forward, Host, RefuseForward

CONTACT_TIME = 3.0  # The users' rule: from then on after a cut began, callers have to be served.


class ReachTest(unittest.TestCase):
    """Base of tests with one host."""

    def setUp(self) -> None:
        self.host = Host()

    def checks(self) -> list[CheckReach]:
        """Return all checks that were asked for."""
        return [one for one in self.host.effects if isinstance(one, CheckReach)]

    def is_unreached(self, service: str = APP) -> bool:
        """Return whether a service counts as unreached."""
        return reach.is_unreached(self.host.state, service)


class TestCut(ReachTest):
    """A cut is noticed well before the users' bound, whatever its form."""

    def test_silence_on_open_connections_is_noticed(self) -> None:
        self.host.ask("unsafe", seconds=10.0)
        self.host.cut_off(APP, seconds=0.75 * CONTACT_TIME)
        self.assertTrue(self.is_unreached())

    def test_refused_connections_are_noticed(self) -> None:
        call_id = self.host.ask("unsafe")
        self.host.fail(call_id, UNREACHABLE)
        self.host.cut_off(APP, seconds=CONTACT_TIME / 2)
        self.assertTrue(self.is_unreached())

    def test_other_services_are_checked_with_the_first(self) -> None:
        call_id = self.host.start_stream()
        self.assertTrue(self.host.is_open(call_id))
        self.host.run(1.0)
        self.host.ask("unsafe", seconds=10.0)
        self.host.cut_off(APP, seconds=1.0)
        self.assertIn(MODEL, [one.service for one in self.checks()])

    def test_healed_cut_is_noticed(self) -> None:
        self.host.ask("unsafe")
        self.host.cut_off(APP)
        self.assertTrue(self.is_unreached())
        self.host.run(reach.RECHECK_INTERVAL_S)
        self.host.check_reach("s0")
        self.assertFalse(self.is_unreached())
        call_id = self.host.ask("unsafe")
        self.assertTrue(self.host.effects_of(Forward, call_id))


class TestStart(ReachTest):
    """A host that starts while it is cut off notices that with its first requests."""

    def test_first_failed_check_counts(self) -> None:
        self.host.ask("unsafe", seconds=10.0)
        self.host.run(0.8)
        self.host.check_reach()
        self.assertTrue(self.is_unreached())


class TestSilence(ReachTest):
    """Endpoints that are silent for a second are not cut off."""

    def setUp(self) -> None:
        super().setUp()
        self.host.answer(self.host.ask("unsafe"))

    def test_one_second_of_silence_of_all_endpoints_is_no_cut(self) -> None:
        self.host.ask("unsafe", seconds=10.0)
        self.host.cut_off(APP, seconds=1.0)
        self.assertFalse(self.is_unreached())
        self.host.run(reach.CHECK_PAUSE_S)
        self.host.check_reach("s1")
        self.host.ask("unsafe", seconds=10.0)
        self.host.cut_off(APP, seconds=1.0)
        self.assertFalse(self.is_unreached())

    def test_one_silent_endpoint_is_no_cut(self) -> None:
        self.host.ask("unsafe", seconds=10.0)
        for _ in range(8):
            self.host.run(0.5)
            if self.checks():
                self.host.check_reach("s1")
        self.assertFalse(self.is_unreached())

    def test_answer_during_a_check_that_fails_counts(self) -> None:
        first, second = self.host.ask("safe", seconds=10.0), self.host.ask("safe", seconds=10.0)
        self.host.run(0.75)
        self.assertTrue(self.checks())
        self.host.answer(first)
        self.host.check_reach()
        self.assertIsNone(self.host.state["reach"].services[APP].failing_since)
        self.assertTrue(self.host.is_open(second))


class TestLoadOfChecks(ReachTest):
    """Checks are few: load pattern of a cut, and of a service that is slow by nature."""

    def test_checks_during_a_cut_are_bounded_whatever_callers_send(self) -> None:
        self.host.ask("unsafe")
        self.host.cut_off(APP)
        before = len(self.checks())
        for _ in range(100):
            self.host.ask("unsafe")
        self.host.cut_off(APP, seconds=10.0)
        self.assertLessEqual(len(self.checks()) - before, 10.0 / reach.RECHECK_INTERVAL_S + 1)
        for one in self.checks():
            self.assertLessEqual(len(one.endpoints), reach.MAX_CHECKED)

    def test_idle_service_is_not_checked(self) -> None:
        call_id = self.host.ask("unsafe")
        self.host.answer(call_id)
        self.host.run(60.0)
        self.assertEqual(self.checks(), [])

    def test_answered_service_is_not_checked(self) -> None:
        for _ in range(40):
            call_id = self.host.ask("unsafe")
            self.host.run(0.25)
            self.host.answer(call_id)
        self.assertEqual(self.checks(), [])

    def test_unlisted_service_is_forgotten(self) -> None:
        self.host.ask("unsafe")
        self.host.cut_off(APP)
        for name in ("s0", "s1"):
            self.host.drop(name)
        self.assertFalse(self.is_unreached())
        self.assertNotIn(APP, self.host.state["reach"].services)


class TestRejection(ReachTest):
    """What no host reaches is rejected at once, with when to come back."""

    def test_request_is_rejected_at_once(self) -> None:
        self.host.ask("unsafe")
        self.host.cut_off(APP)
        call_id = self.host.ask("unsafe")
        (refused,) = self.host.effects_of(RefuseForward, call_id)
        self.assertIs(refused.failure.reason, NOT_REACHED)
        self.assertIs(refused.failure.verdict, Verdict.NOT_RUN)
        self.assertGreater(refused.failure.retry_after, 0.0)
