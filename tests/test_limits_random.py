"""Random cuts, restarts and changes, while endpoints name limits for all hosts together."""

import unittest

from ._limit_fleet import LimitFleet

SEEDS = 25
MIN_USED_SHARE = 0.8  # Of the limits, while callers want more and no host is cut off.


class TestRandomLimits(unittest.TestCase):
    """All hosts together keep to a limit, and let callers use it."""

    def test_hosts_that_are_cut_off_or_start_again_keep_to_limits(self) -> None:
        bound = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                fleet = LimitFleet(seed).run()
                self.assertLessEqual(fleet.excess(), 0.0)
                bound += sum(one.is_bound for found in fleet.arrivals.values() for one in found)
                # Every call has ended, whether hosts heard each other or not.
                self.assertGreater(fleet.served + fleet.refused, 0.95 * fleet.sent)
        self.assertGreater(bound, 20 * SEEDS)

    def test_limits_are_used_by_any_number_of_hosts(self) -> None:
        for hosts in (1, 6, 24):
            with self.subTest(hosts=hosts):
                fleet = LimitFleet(hosts, hosts, is_calm=True, demand=60.0).run()
                self.assertLessEqual(fleet.excess(), 0.0)
                self.assertGreater(fleet.used_share(), MIN_USED_SHARE)

    def test_hosts_with_less_than_a_request_each_are_served(self) -> None:
        fleet = LimitFleet(3, 24, is_calm=True, demand=4.0, rate=3.0).run()
        self.assertLessEqual(fleet.excess(), 0.0)
        self.assertGreater(fleet.served, 0.95 * fleet.sent)
