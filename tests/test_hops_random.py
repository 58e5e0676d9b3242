"""Random cuts, restarts and silences, while requests go through other hosts."""

import unittest

from ._hop_fleet import HopFleet

# The last three find a host that sends what others pass to it again, or that reads no new keys.
SEEDS = (*range(18), 21, 31, 37)
SERVED_SHARE = 2 / 3  # The users' rule: of the share served at the other hosts.
RETRY_RATIO, RETRY_SLACK = 0.2, 50  # The users' rule for repeats.


class TestRandomCuts(unittest.TestCase):
    """Callers of cut off hosts are served, and nothing runs more often than its kind allows."""

    def check(self, fleet: HopFleet) -> None:
        """Check what has to hold at all times."""
        self.assertEqual(fleet.run_too_often(), [])
        self.assertEqual(fleet.falsely_not_run(), [])
        self.assertEqual(fleet.passed_further, 0)
        self.assertEqual(fleet.false_cuts, 0)
        self.assertEqual(fleet.open_calls(), 0)
        self.assertLessEqual(fleet.repeats(), RETRY_RATIO * len(fleet.callers) + RETRY_SLACK)

    def test_promises_hold_while_hosts_are_cut_off_and_restart(self) -> None:
        hops = 0
        shares = []
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = HopFleet(seed).run()
                self.check(fleet)
                cut, other, asked = fleet.shares_served()
                self.assertGreaterEqual(cut, SERVED_SHARE * other)
                shares.append(cut)
                hops += fleet.hops
                self.assertGreater(asked, 0)
        self.assertGreater(hops, 20 * len(SEEDS))
        self.assertGreater(sum(shares) / len(SEEDS), 0.8)

    def test_a_whole_zone_is_served_by_the_others(self) -> None:
        for hosts in (6, 12):
            with self.subTest(hosts=hosts):
                fleet = HopFleet(hosts, hosts, cut_zone=True, is_calm=True).run()
                self.check(fleet)
                cut, other, _ = fleet.shares_served()
                self.assertGreaterEqual(cut, SERVED_SHARE * other)
