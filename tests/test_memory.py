"""Tests of the projection of an engine's memory use over the next seconds."""

import unittest

from wasabiwick._forwarding import StreamLoad
from wasabiwick._handlers.memory import HORIZONS_S, Projection, survival

RATE = 250.0  # Tokens per second of a stream.


def stream(*, prompt: int = 3_000, expected: int = 800, age: float = 0.0) -> StreamLoad:
    """Return a stream whose first token came ``age`` seconds before time 0."""
    return StreamLoad(prompt=prompt, expected=expected, begins=-age)


def projected(*streams: StreamLoad) -> Projection:
    """Return the projection of some streams at time 0."""
    projection = Projection(at=0.0, rate=RATE)
    for one in streams:
        projection.add(one)
    return projection


class TestSurvival(unittest.TestCase):
    """Output lengths are assumed to have the estimate as their median."""

    def test_half_of_streams_exceed_the_estimate(self) -> None:
        self.assertAlmostEqual(survival(800, 800), 0.5)

    def test_survival_falls_with_length(self) -> None:
        probabilities = [survival(tokens, 800) for tokens in (0, 200, 800, 2_000)]
        self.assertEqual(probabilities, sorted(probabilities, reverse=True))
        self.assertEqual(probabilities[0], 1.0)


class TestProjection(unittest.TestCase):
    """The projection neither overfills an engine nor leaves memory unused under steady load."""

    def test_present_memory_is_exact(self) -> None:
        projection = projected(stream(age=1.0), stream(age=2.0))
        self.assertAlmostEqual(projection.means[0], 2 * 3_000 + 250 + 500)
        self.assertAlmostEqual(projection.variances[0], 0.0)

    def test_streams_near_their_end_free_memory_sooner(self) -> None:
        young, old = projected(stream(age=0.1)), projected(stream(age=3.0))
        self.assertLess(old.means[-1], young.means[-1])

    def test_an_overdue_stream_is_still_counted_now(self) -> None:
        projection = projected(stream(expected=50, age=10.0))
        self.assertGreater(projection.means[0], 3_000)
        self.assertLess(projection.means[-1], projection.means[0])

    def test_more_standard_deviations_give_a_higher_peak(self) -> None:
        projection = projected(*(stream(age=age / 3) for age in range(8)))
        self.assertGreater(projection.peak(stream(), 2.0), projection.peak(stream(), 0.5))

    def test_steady_load_fits_more_than_full_lengths_would(self) -> None:
        """Nine streams of different ages fit in memory that their full lengths would exceed."""
        ages = [0.4 * n for n in range(8)]
        projection = projected(*(stream(age=age) for age in ages))
        self.assertLess(projection.peak(stream(), 1.0), 33_860)
        self.assertGreater(9 * (3_000 + 800), 33_860)

    def test_every_horizon_is_projected(self) -> None:
        self.assertEqual(len(projected().means), len(HORIZONS_S))
