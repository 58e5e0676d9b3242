"""Tests of reaping: engine memory that nobody serves is freed, and no other."""

import unittest

from wasabiwick._handlers import attempts, coordinator

from . import support

LONGEST_WAIT = 8.5  # Seconds; the wait between two cancels doubles up to 8.


class ReapingCase(unittest.TestCase):
    """Two hosts, one of which coordinates the engines."""

    def setUp(self) -> None:
        self.cluster = support.SimulatedCluster("a", "b")
        state = self.cluster.states["a"]
        self.reaper = coordinator.coordinator_of(state, support.MODEL, support.ZONE)
        self.other = "b" if self.reaper == "a" else "a"
        self.engine = self.cluster.engines["e0"]

    def hold(self, owner: str, attempt: str = "x1") -> None:
        self.engine.held[attempt] = owner


class TestDeadOwner(ReapingCase):
    """Memory of a dead host, or of an earlier run, is freed after the grace."""

    def test_earlier_run_of_the_reaper(self) -> None:
        self.hold(f"{self.reaper}/0")
        self.cluster.run(3.0)
        self.assertEqual(self.engine.held, {})

    def test_dead_host(self) -> None:
        self.hold(f"{self.other}/1")
        self.cluster.kill(self.other)
        self.cluster.run(15.0)
        self.assertEqual(self.engine.held, {})

    def test_not_before_the_grace(self) -> None:
        self.hold(f"{self.reaper}/0")
        self.cluster.run(0.9)
        self.assertEqual(self.engine.cancels, [])

    def test_cancel_is_repeated_until_confirmed(self) -> None:
        self.engine.confirms_cancels = False
        self.hold(f"{self.reaper}/0")
        self.cluster.run(5.0)
        self.assertGreater(len(self.engine.cancels), 2)
        self.engine.confirms_cancels = True
        self.cluster.run(LONGEST_WAIT)
        self.assertEqual(self.engine.held, {})

    def test_adopted_in_time(self) -> None:
        self.hold(f"{self.reaper}/0")
        self.cluster.run(0.6)
        self.hold(f"{self.other}/1")
        served = self.cluster.states[self.other]["generation"].running
        served["r"] = attempts.Generation(phase="decode", attempt_id="x1")
        self.cluster.run(10.0)
        self.assertEqual(self.engine.cancels, [])


class TestLiveOwner(ReapingCase):
    """A live owner is asked: only what it does not serve is freed."""

    def test_owner_that_serves_keeps_its_memory(self) -> None:
        self.hold(f"{self.other}/1")
        served = self.cluster.states[self.other]["generation"].running
        served["r"] = attempts.Generation(phase="decode", attempt_id="x1")
        self.cluster.run(10.0)
        self.assertEqual(self.engine.cancels, [])

    def test_owner_that_forgot_loses_it(self) -> None:
        self.hold(f"{self.other}/1")
        self.cluster.run(10.0)
        self.assertEqual(self.engine.held, {})

    def test_owner_that_does_not_answer_keeps_it(self) -> None:
        self.hold(f"{self.other}/1")
        send = self.cluster._send
        self.cluster._send = lambda name, effect: (
            None if type(effect.message).__name__ == "Unserved" else send(name, effect)
        )
        self.cluster.run(10.0)
        self.assertEqual(self.engine.cancels, [])
