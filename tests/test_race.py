"""Test of operators who publish concurrently while real host processes are killed: a small race."""

import asyncio
import pathlib
import tempfile
import unittest

from wasabiwick._capacity import race


class TestRace(unittest.TestCase):
    """Killed and restarted hosts apply all versions in one order, and lose no accepted version."""

    def test_small_race(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            small_race = race.Race(
                hosts=3,
                publications=12,
                seed=2,
                folder=pathlib.Path(folder),
                outages=(),
                settle=1.0,
            )
            outcome = asyncio.run(small_race.run())
        self.assertEqual(outcome.publications, 12)
        self.assertEqual(outcome.final_versions, [outcome.versions])
        self.assertEqual((outcome.steps_back, outcome.digests_that_differ), (0, 0))
        self.assertEqual(outcome.told_but_not_in_force, [])
        self.assertEqual(outcome.accepted + outcome.lost + outcome.unknown, 12)
