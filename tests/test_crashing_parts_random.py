"""Random cuts, restarts and lost engines, while one part of prompts or one request ends engines."""

import unittest

from ._crash_fleet import Fleet, RequestFleet

SEEDS = 20
FIRST_PART_SEEDS = range(128, 136)
MAX_LATE_SENDS = 3  # The users' rule: requests that may reach engines after hosts had to know.
MIN_SERVED_SHARE = 0.5  # The users' rule: share of sound requests that must still begin.


class TestRandomCrashes(unittest.TestCase):
    """Hosts learn in time what ends engines, and refuse only requests that have it."""

    def test_new_first_part_is_not_blocked_for_long(self) -> None:
        """In seed 128, two engines were lost for other reasons while the first part was new."""
        total = 0
        for seed in FIRST_PART_SEEDS:
            with self.subTest(seed=seed):
                count, refused = Fleet(seed).run().late_sound()
                self.assertEqual(refused, 0)
                total += count
        self.assertGreater(total, 100 * len(FIRST_PART_SEEDS))

    def test_only_requests_with_the_crashing_part_are_refused(self) -> None:
        self.check(Fleet)

    def test_only_the_crashing_request_is_refused(self) -> None:
        self.check(RequestFleet)

    def check(self, kind: type[Fleet]) -> None:
        """Play runs of a kind, and compare them with the users' rules."""
        crashes = sound = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                fleet = kind(seed).run()
                self.assertLessEqual(fleet.late_bad_sends(), MAX_LATE_SENDS)
                count, refused = fleet.late_sound()
                self.assertLessEqual(refused, (1.0 - MIN_SERVED_SHARE) * count)
                crashes += len(fleet.crashes)
                sound += count
        self.assertGreater(crashes, SEEDS)
        self.assertGreater(sound, 20 * SEEDS)
