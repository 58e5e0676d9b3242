"""Tests of the bench: the real reducers on a virtual clock."""

import unittest

import msgspec

from wasabiwick._bench import limits, policies, run, scenarios


def figures(**fields: object) -> run.Figures:
    """Return the figures of a short run."""
    return run.run(
        **{"scenario": "sunday", "policy": "ours", "seed": 5, "hosts": 0, "load": 0.5, **fields}
    )


class TestRuns(unittest.TestCase):
    """A run is repeatable, answers everybody, and wastes no prefill without a fault."""

    def test_same_seed_same_bytes(self) -> None:
        first, second = (msgspec.json.encode(figures()) for _ in range(2))
        self.assertEqual(first, second)
        self.assertNotEqual(first, msgspec.json.encode(figures(seed=6)))

    def test_overload_wastes_nothing(self) -> None:
        one = figures(load=1.3)
        self.assertEqual(one.unanswered, 0)
        self.assertLessEqual(one.wasted_prefill, 0.01)
        self.assertGreater(one.goodput, 0.8 * one.bound)
        self.assertLess(one.goodput, 1.02 * one.bound)

    def test_lost_engine_and_host(self) -> None:
        one = figures(scenario="sunday.two_faults", load=0.7)
        self.assertEqual(one.unanswered, 0)
        self.assertLessEqual(one.wasted_prefill, 0.03)

    def test_baseline_pays_for_prefills_without_slot(self) -> None:
        one = figures(policy="least_load", load=1.3)
        self.assertGreater(one.wasted_prefill, 0.1)

    def test_names(self) -> None:
        self.assertEqual(len(scenarios.names()), 18)
        self.assertEqual(len(policies.POLICIES), 4)
        with self.assertRaisesRegex(ValueError, "monday"):
            scenarios.split("monday")


class TestLimits(unittest.TestCase):
    """Six hosts behind an uneven balancer admit what the plan says, also when one dies."""

    def test_rate(self) -> None:
        for dead, off in ((False, 0.05), (True, 0.10)):
            one = limits.measure(kind="rate", seed=1, hosts=6, dead=dead)
            self.assertAlmostEqual(one.admitted, 1.0, delta=off)
