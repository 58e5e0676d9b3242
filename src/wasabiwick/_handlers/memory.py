"""Memory that the streams of an engine will need: a projection over the next seconds.

A stream grows by each token until it ends, and nobody knows when that is: its length spreads around
the estimate. The projection adds up, for some moments ahead, the memory of each stream times the
chance that it still runs then, with the variance of that sum. It is additive over streams, so that
it takes in those of all hosts.
"""

import math

from .._forwarding import StreamLoad

HORIZONS = (0.0, 0.3, 0.7, 1.3, 2.0, 3.0)  # Seconds ahead; places turn over in 3 to 4 seconds.
SPREAD = 0.5  # Standard deviation of the logarithm of length over estimate, as callers' hints show.
LEAST_CHANCE = 0.01  # Chance to have lived so far below which the estimate says nothing more.
OVERDUE_TIME = 0.7  # Seconds for which such a stream is expected to go on.
READY_TIME = 0.35  # Seconds from a place to the first token: the hold, prefill and transfer.


class Projection:
    """Mean and variance of an engine's memory, in tokens, at each horizon.

    Args:
        at: Monotonic time of the projection.
        rate: Tokens that a stream puts out in a second.
    """

    __slots__ = ("_at", "_rate", "means", "variances", "streams")

    def __init__(self, *, at: float, rate: float) -> None:
        self._at = at
        self._rate = rate
        self.means = [0.0] * len(HORIZONS)
        self.variances = [0.0] * len(HORIZONS)
        self.streams = 0

    def add(self, stream: StreamLoad) -> None:
        """Add a stream."""
        self.streams += 1
        for index, (chance, tokens) in enumerate(self._course(stream)):
            self.means[index] += chance * tokens
            self.variances[index] += chance * (1.0 - chance) * tokens * tokens

    def worst(self, stream: StreamLoad, caution: float) -> float:
        """Return the largest memory to reckon with, in tokens, if a stream is added.

        Args:
            stream: The stream.
            caution: Standard deviations that are added to the mean.
        """
        worst = 0.0
        for index, (chance, tokens) in enumerate(self._course(stream)):
            mean = self.means[index] + chance * tokens
            variance = self.variances[index] + chance * (1.0 - chance) * tokens * tokens
            worst = max(worst, mean + caution * math.sqrt(variance))
        return worst

    def _course(self, stream: StreamLoad) -> list[tuple[float, float]]:
        """Return a stream's chance to run and its memory at each horizon."""
        made = max(0.0, self._at - stream.begins) * self._rate
        lived = survival(made, stream.expected)
        course = []
        for ahead in HORIZONS:
            then = max(0.0, self._at + ahead - stream.begins) * self._rate
            if lived > LEAST_CHANCE:
                chance = survival(then, stream.expected) / lived
            else:
                chance = math.exp(-ahead / OVERDUE_TIME)
            course.append((chance, stream.prompt + then))
        return course


def survival(tokens: float, expected: float) -> float:
    """Return the chance that a stream puts out more than some tokens."""
    if tokens <= 0.0:
        return 1.0
    return 0.5 * math.erfc(math.log(tokens / expected) / (SPREAD * math.sqrt(2.0)))
