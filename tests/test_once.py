"""Tests of work that may run only once, on several reducers joined by fakes."""

import unittest

from wasabiwick._effects import AppendLog, CallService
from wasabiwick._errors import KEY_UNTIMED
from wasabiwick._fuzz._network import Fate
from wasabiwick._fuzz._world import World
from wasabiwick._verdict import Verdict

ZONES = ["a", "a", "b"]
STEP = 0.05  # Seconds.


class OnceCase(unittest.TestCase):
    """Base of tests with three hosts in two zones."""

    service = "plain"

    def setUp(self) -> None:
        self.world = World(ZONES, [self.service])
        self.caller = self.world.callers[0]

    def step(self, seconds: float = 0.1) -> None:
        for _ in range(max(4, int(seconds / STEP))):
            self.world.fleet.advance(STEP)
            self.world.network.settle()
        self.world.check()

    def until_sent(self, kind: type) -> int:
        """Deliver everything until an effect of a kind is on its way; return its index."""
        fleet = self.world.fleet
        for _ in range(500):
            for index, item in enumerate(fleet.items):
                if isinstance(item.effect, kind):
                    return index
            if fleet.items:
                self.world.network.meet(0, Fate.DELIVERED)
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

    def test_retry_on_other_host_is_replayed(self) -> None:
        self.world.call(self.caller, "host-0")
        self.step()
        first = self.caller.answer
        self.caller.answer = None
        self.world.call(self.caller, "host-2")
        self.step()
        self.assertEqual(self.caller.answer.body, first.body)

    def test_two_hosts_at_once_run_it_once(self) -> None:
        self.world.call(self.caller, "host-0", tell=False)
        self.world.call(self.caller, "host-2", tell=False)
        self.step()
        self.assertEqual(len(self.world.effects(self.caller)), 1)


class TestKeys(OnceCase):
    """A key whose age can't be told never runs, and the caller is not told to come back."""

    def test_key_without_a_time(self) -> None:
        self.caller.born = 0.0
        self.world.call(self.caller, "host-0")
        self.step()
        failure = self.caller.refusals[0].failure
        self.assertIs(failure.reason, KEY_UNTIMED)
        self.assertIsNone(failure.retry_after)
        self.assertEqual(self.world.effects(self.caller), [])


class TestFaults(OnceCase):
    """Nothing runs twice, and what is not known is said so by every host."""

    def test_lost_append_reply_is_resolved_by_reading(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.meet(self.until_sent(AppendLog), Fate.CUT)
        self.step(1.0)
        self.assertEqual(self.caller.answer.status, 200)

    def test_cut_answer_may_have_run_on_every_host(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.meet(self.until_sent(CallService), Fate.CUT)
        self.step()
        for name in ("host-0", "host-1", "host-2"):
            self.world.call(self.caller, name)
            self.step()
        self.assertEqual(self.verdicts(), [Verdict.MAY_HAVE_RUN] * 4)
        self.assertEqual(len(self.world.effects(self.caller)), 1)

    def test_refused_connection_is_tried_again_then_proved(self) -> None:
        self.world.call(self.caller, "host-0")
        for _ in range(3):
            self.world.network.meet(self.until_sent(CallService), Fate.REFUSED)
        self.step(1.0)
        self.assertEqual(self.verdicts(), [Verdict.NOT_RUN])

    def test_voided_key_runs_in_a_new_epoch(self) -> None:
        self.test_refused_connection_is_tried_again_then_proved()
        self.world.heal()
        self.assertEqual(len(self.world.effects(self.caller)), 1)

    def test_log_outage_outlasts_the_caller(self) -> None:
        self.world.fleet.log.up = False
        self.world.call(self.caller, "host-0")
        self.step(10.0)
        self.assertEqual(self.verdicts(), [Verdict.MAY_HAVE_RUN])
        self.world.fleet.log.up = True
        self.step(5.0)
        self.assertEqual(self.world.effects(self.caller), [])
        self.world.heal()
        self.assertEqual(len(self.world.effects(self.caller)), 1)

    def test_log_back_in_time(self) -> None:
        self.world.fleet.log.up = False
        self.world.call(self.caller, "host-0")
        self.step(3.0)
        self.world.fleet.log.up = True
        self.step(3.0)
        self.assertEqual(self.caller.answer.status, 200)

    def test_caller_gone_after_dispatch_is_recorded(self) -> None:
        self.world.call(self.caller, "host-0")
        self.until_sent(CallService)
        self.world.leave(self.caller)
        self.step(1.0)
        self.world.call(self.caller, "host-1")
        self.step(1.0)
        self.assertEqual(self.caller.answer.status, 200)

    def test_crash_after_dispatch(self) -> None:
        self.world.call(self.caller, "host-0")
        self.until_sent(CallService)
        self.world.fleet.crash("host-0")
        self.caller.open.clear()
        self.world.fleet.list_hosts()
        self.world.heal()
        self.assertIsNone(self.caller.answer)
        self.assertEqual(set(self.verdicts()), {Verdict.MAY_HAVE_RUN})

    def test_paused_holder_resumes_after_give_up(self) -> None:
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
    """A service that runs a key once gets the call again after a cut."""

    service = "keyed"

    def test_cut_call_is_sent_again(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.meet(self.until_sent(CallService), Fate.CUT)
        self.step(1.0)
        self.assertEqual(self.caller.answer.status, 200)


class TestAskedService(OnceCase):
    """A service that can be asked by key settles what was cut."""

    service = "asked"

    def test_cut_call_is_asked(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.meet(self.until_sent(CallService), Fate.CUT)
        self.step(1.0)
        self.world.call(self.caller, "host-2")
        self.step(2.0)
        self.assertEqual(self.caller.answer.status, 200)


class TestFencedService(OnceCase):
    """A service that honours fencing and can be asked runs a call that was lost."""

    service = "fenced_asked"

    def test_lost_call_is_taken_over_and_late_one_refused(self) -> None:
        self.world.call(self.caller, "host-0")
        self.world.network.meet(self.until_sent(CallService), Fate.LATE)
        late = self.world.fleet.items.pop()
        self.step(1.0)
        self.world.call(self.caller, "host-2")
        self.step(2.0)
        self.assertEqual(self.caller.answer.status, 200)
        self.world.fleet.items.append(late)
        self.step(1.0)
        self.assertEqual(len(self.world.effects(self.caller)), 1)
