"""Tests of reaping: engine memory is freed only if no host serves its attempt any more."""

import unittest

from wasabiwick._handlers import attempts, coordinator

from . import support

MAX_CANCEL_DELAY = 8.5  # Seconds; the delay between two cancels doubles up to 8 s.


class ReapingCase(unittest.TestCase):
    """Two simulated hosts, one of which (`reaper`) coordinates the engines."""

    def setUp(self) -> None:
        self.cluster = support.SimulatedCluster("a", "b")
        state = self.cluster.states["a"]
        self.reaper = coordinator.coordinator_of(state, support.MODEL, support.ZONE)
        self.other = "b" if self.reaper == "a" else "a"
        self.engine = self.cluster.engines["e0"]

    def hold_memory(self, owner: str, attempt: str = "x1") -> None:
        """Let the engine hold memory for an attempt of an owner, given as host/incarnation."""
        self.engine.held[attempt] = owner


class TestDeadOwner(ReapingCase):
    """Attempts of a dead host, or of an earlier run, are cancelled after a grace period."""

    def test_attempt_of_an_earlier_run_is_cancelled(self) -> None:
        self.hold_memory(f"{self.reaper}/0")
        self.cluster.run(3.0)
        self.assertEqual(self.engine.held, {})

    def test_attempt_of_a_dead_host_is_cancelled(self) -> None:
        self.hold_memory(f"{self.other}/1")
        self.cluster.kill(self.other)
        self.cluster.run(15.0)
        self.assertEqual(self.engine.held, {})

    def test_nothing_is_cancelled_during_the_grace(self) -> None:
        self.hold_memory(f"{self.reaper}/0")
        self.cluster.run(0.9)
        self.assertEqual(self.engine.cancels, [])

    def test_cancel_is_repeated_until_confirmed(self) -> None:
        self.engine.confirms_cancels = False
        self.hold_memory(f"{self.reaper}/0")
        self.cluster.run(5.0)
        self.assertGreater(len(self.engine.cancels), 2)
        self.engine.confirms_cancels = True
        self.cluster.run(MAX_CANCEL_DELAY)
        self.assertEqual(self.engine.held, {})

    def test_attempt_adopted_during_the_grace_is_kept(self) -> None:
        self.hold_memory(f"{self.reaper}/0")
        self.cluster.run(0.6)
        self.hold_memory(f"{self.other}/1")
        served = self.cluster.states[self.other]["generation"].running
        served["r"] = attempts.Generation(phase="decode", attempt_id="x1")
        self.cluster.run(10.0)
        self.assertEqual(self.engine.cancels, [])


class TestLiveOwner(ReapingCase):
    """A live owner is asked first, and only attempts that it does not serve are cancelled."""

    def test_served_attempt_is_kept(self) -> None:
        self.hold_memory(f"{self.other}/1")
        served = self.cluster.states[self.other]["generation"].running
        served["r"] = attempts.Generation(phase="decode", attempt_id="x1")
        self.cluster.run(10.0)
        self.assertEqual(self.engine.cancels, [])

    def test_attempt_that_its_owner_denies_is_cancelled(self) -> None:
        self.hold_memory(f"{self.other}/1")
        self.cluster.run(10.0)
        self.assertEqual(self.engine.held, {})

    def test_attempt_is_kept_if_its_owner_does_not_answer(self) -> None:
        self.hold_memory(f"{self.other}/1")
        send = self.cluster._send
        self.cluster._send = lambda name, effect: (
            None if type(effect.message).__name__ == "Unserved" else send(name, effect)
        )
        self.cluster.run(10.0)
        self.assertEqual(self.engine.cancels, [])
