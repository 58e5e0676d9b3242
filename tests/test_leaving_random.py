"""Random lists, cuts and restarts, while endpoints leave and say so in their answers."""

import unittest

from ._leaving_fleet import LeavingFleet

# The last four find a host that ignores endpoints which are not listed, or believes older starts.
SEEDS = (*range(30), 75, 87, 93, 105)
MIN_RETURNED_SHARE = 0.8  # Share of the restarted endpoints that must get requests again.


class TestRandomDepartures(unittest.TestCase):
    """A host sends nothing to an endpoint that told it that it leaves, until that starts again."""

    def test_endpoint_that_said_it_leaves_gets_no_later_request(self) -> None:
        signs = returns = served = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = LeavingFleet(seed).run()
                self.assertEqual(fleet.late_sends, [])
                signs += fleet.signs
                returns += len(fleet.returns)
                served += len(fleet.served_returns)
        self.assertGreater(signs, 10 * len(SEEDS))
        self.assertGreater(served, MIN_RETURNED_SHARE * returns)
