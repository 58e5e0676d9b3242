"""Load tests, on a virtual clock, of how many hosts share uneven engines by old news."""

import statistics
import unittest

from ._even_fleet import EvenFleet

SEEDS = range(1, 7)
SECONDS = 30.0
LONG_SECONDS = 60.0  # In half of it an engine gets so few streams that their sizes decide.
CALM_RATE = 16.0  # Streams a second, two fifths of what the engines can run.
BUSY_RATE = 24.0  # The same, three fifths.
# The operators' bounds.
MAX_SPREAD = 1.25  # Work of the busiest engine for its speed, as a multiple of the mean.
MAX_REFUSED = 0.01  # Share of the places asked for that engines refuse.


def play(rate: float, seconds: float = SECONDS, **fields: object) -> list[EvenFleet]:
    """Return a fleet of each seed, after some time."""
    return [EvenFleet(seed, engines=24, **fields).run(seconds, rate) for seed in SEEDS]


def mean_spread(fleets: list[EvenFleet]) -> float:
    """Return the mean of the fleets' spreads."""
    return statistics.mean(one.spread() for one in fleets)


def mean_refused(fleets: list[EvenFleet]) -> float:
    """Return the mean share of places refused."""
    return statistics.mean(one.refused_share() for one in fleets)


class TestUnevenEngines(unittest.TestCase):
    """A quarter of the engines is twice as fast, and hosts hear of each other 0.3 s late."""

    def test_load_is_even_for_each_engines_speed(self) -> None:
        """By the most memory left, hosts of a zone overran one engine while others idled."""
        before = play(BUSY_RATE, LONG_SECONDS, says=False)
        after = play(BUSY_RATE, LONG_SECONDS)
        self.assertLess(mean_spread(after), MAX_SPREAD)
        self.assertLess(mean_spread(after), mean_spread(before))
        self.assertLess(mean_refused(after), MAX_REFUSED)
        self.assertLess(mean_refused(after), 0.3 * mean_refused(before))

    def test_fewer_streams_meet_at_one_engine_at_one_moment(self) -> None:
        """Forty of 62 hosts choose within the age of their news."""
        most = {
            says: [
                EvenFleet(seed, engines=24, says=says).run(8.0, CALM_RATE).choose_together(40)
                for seed in SEEDS
            ]
            for says in (False, True)
        }
        self.assertLess(sum(most[True]), sum(most[False]))

    def test_news_of_a_second_and_a_cut_off_host_leave_it_even(self) -> None:
        before = play(CALM_RATE, says=False, news_time=1.0, cut=3)
        after = play(CALM_RATE, news_time=1.0, cut=3)
        self.assertLess(mean_spread(after), mean_spread(before))
        self.assertLess(mean_refused(after), mean_refused(before))

    def test_hosts_that_are_not_heard_count_by_what_engines_say(self) -> None:
        """A third of the hosts hears nobody, so that the others know nothing of its streams."""
        before = play(BUSY_RATE, says=False, cut=20)
        after = play(BUSY_RATE, cut=20)
        self.assertLess(mean_spread(after), mean_spread(before))

    def test_small_fleets_choose_as_before(self) -> None:
        """Six hosts hear each other soon enough to take the engine with the most memory left."""
        fleets = play(4.0, hosts=6, news_time=0.02, seconds=10.0)
        self.assertEqual(mean_refused(fleets), 0.0)


class TestLyingEngines(unittest.TestCase):
    """An engine's word is checked against the time that work takes there."""

    FAST, SLOW, SILENT = 1, 0, 2  # Engines that say that they are fast or slow, or say nothing.

    @classmethod
    def setUpClass(cls) -> None:
        lies = {cls.FAST: 0.2, cls.SLOW: 3.0, cls.SILENT: None}
        cls.fleets = play(BUSY_RATE, lies=lies)

    def work(self, number: int) -> float:
        """Return the placements of an engine, as a multiple of the mean of others like it."""
        shares = []
        for one in self.fleets:
            name = one.names[number]
            like = [
                other
                for other in one.names[3:]
                if one.slowness[other] == one.slowness[name] and other != name
            ]
            shares.append(one.placed[name] / statistics.mean(one.placed[n] for n in like))
        return statistics.mean(shares)

    def test_slow_one_that_says_that_it_is_fast_is_not_overrun(self) -> None:
        self.assertLess(self.work(self.FAST), 1.5)

    def test_fast_one_that_says_that_it_is_slow_keeps_work(self) -> None:
        self.assertGreater(self.work(self.SLOW), 0.4)

    def test_one_that_says_nothing_keeps_its_share(self) -> None:
        self.assertGreater(self.work(self.SILENT), 0.7)
        self.assertLess(self.work(self.SILENT), 1.4)


if __name__ == "__main__":
    unittest.main()
