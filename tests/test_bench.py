"""Tests of the simulation benchmark: real reducers on a virtual clock."""

import unittest

import msgspec

from wasabiwick._bench import limits, policies, run, scenarios


def run_briefly(**fields: object) -> run.Figures:
    """Simulate the scenario 'sunday' at half load, or with other arguments."""
    return run.run(
        **{"scenario": "sunday", "policy": "ours", "seed": 5, "hosts": 0, "load": 0.5, **fields}
    )


class TestRuns(unittest.TestCase):
    """A simulation must be repeatable and answer every request, also after crashes.

    At most 1% of the prefilled tokens may be wasted under overload, and 3% after crashes. Without a
    coordinator, an engine without a free slot refuses a decode whose prefill is already done; the
    baseline must show this waste, or a comparison with it says nothing.
    """

    def test_same_seed_gives_same_figures(self) -> None:
        first, second = (msgspec.json.encode(run_briefly()) for _ in range(2))
        self.assertEqual(first, second)
        self.assertNotEqual(first, msgspec.json.encode(run_briefly(seed=6)))

    def test_overload_wastes_hardly_any_prefill(self) -> None:
        one = run_briefly(load=1.3)
        self.assertEqual(one.unanswered, 0)
        self.assertLessEqual(one.wasted_prefill, 0.01)
        self.assertGreater(one.goodput, 0.8 * one.bound)
        self.assertLess(one.goodput, 1.02 * one.bound)

    def test_crashes_of_engine_and_host_leave_no_request_unanswered(self) -> None:
        one = run_briefly(scenario="sunday.two_faults", load=0.7)
        self.assertEqual(one.unanswered, 0)
        self.assertLessEqual(one.wasted_prefill, 0.03)

    def test_baseline_wastes_prefills_under_overload(self) -> None:
        one = run_briefly(policy="least_load", load=1.3)
        self.assertGreater(one.wasted_prefill, 0.1)

    def test_all_scenarios_and_policies_exist(self) -> None:
        self.assertEqual(len(scenarios.names()), 18)
        self.assertEqual(len(policies.POLICIES), 4)
        with self.assertRaisesRegex(ValueError, "monday"):
            scenarios.split("monday")


class TestLimits(unittest.TestCase):
    """Six hosts behind an uneven balancer must together admit a plan's rate.

    The rate may deviate by 5%, or by 10% if the coordinator of one customer's limits dies.
    """

    def test_admitted_rate_matches_the_plan(self) -> None:
        for dead, tolerance in ((False, 0.05), (True, 0.10)):
            one = limits.measure(kind="rate", seed=1, hosts=6, dead=dead)
            self.assertAlmostEqual(one.admitted, 1.0, delta=tolerance)
