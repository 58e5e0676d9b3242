"""Projects the KV cache memory that an engine's streams will need over the next seconds.

A stream's memory grows with each token until it ends, at a length that varies around the estimate.
For several points in time ahead, the projection sums each stream's memory, weighted with the
probability that it is still running, and the variance of that sum. Streams are taken as
independent of each other, so the streams of all hosts can simply be added to both sums.

Load pattern handled: large prompts beside small ones. One large stream makes the variance so large
that mean and margin exceed what all streams together could ever use, and large ones are turned
away although there is room. So no more is projected than the memory of all streams if none ends.
"""

import math

from .._forwarding import StreamLoad

# Horizons: times ahead for which memory is projected; a stream keeps its place for 3 to 4 s.
HORIZONS_S = (0.0, 0.3, 0.7, 1.3, 2.0, 3.0)
# Standard deviation of ln(output length / estimated length), for estimates from callers' hints.
LOG_LENGTH_DEVIATION = 0.5
# The estimate of a stream's length is ignored if, by that estimate, the probability that the stream
# becomes as long as it is now was less than this.
MIN_SURVIVAL = 0.01
OVERDUE_TIME_S = 0.7  # Mean remaining time of a stream whose length estimate is ignored.
# Time from a stream's placement to its first token: hold, prefill and transfer.
FIRST_TOKEN_TIME_S = 0.35


class Projection:
    """Mean, variance and upper bound of an engine's memory, in tokens, at each horizon.

    Args:
        at: Monotonic time of the projection.
        rate: Output tokens per second of a stream.
    """

    __slots__ = ("_at", "_rate", "means", "variances", "bounds", "streams")

    def __init__(self, *, at: float, rate: float) -> None:
        self._at = at
        self._rate = rate
        self.means = [0.0] * len(HORIZONS_S)
        self.variances = [0.0] * len(HORIZONS_S)
        self.bounds = [0.0] * len(HORIZONS_S)
        self.streams = 0

    def add(self, stream: StreamLoad) -> None:
        """Add a stream."""
        self.streams += 1
        for index, (probability, tokens) in enumerate(self._trajectory(stream)):
            self.means[index] += probability * tokens
            self.variances[index] += probability * (1.0 - probability) * tokens * tokens
            self.bounds[index] += tokens

    def peak(self, stream: StreamLoad, deviations: float) -> float:
        """Return the largest memory to plan for at any horizon, in tokens, if a stream is added.

        Args:
            stream: The stream.
            deviations: Standard deviations that are added to the mean.
        """
        peak = 0.0
        for index, (probability, tokens) in enumerate(self._trajectory(stream)):
            mean = self.means[index] + probability * tokens
            variance = self.variances[index] + probability * (1.0 - probability) * tokens * tokens
            planned = min(mean + deviations * math.sqrt(variance), self.bounds[index] + tokens)
            peak = max(peak, planned)
        return peak

    def _trajectory(self, stream: StreamLoad) -> list[tuple[float, float]]:
        """Return the probability that a stream still runs, and its tokens, at each horizon."""
        generated_tokens = max(0.0, self._at - stream.begins) * self._rate
        current_survival = survival(generated_tokens, stream.expected)
        trajectory = []
        for horizon in HORIZONS_S:
            tokens = max(0.0, self._at + horizon - stream.begins) * self._rate
            if current_survival > MIN_SURVIVAL:
                probability = survival(tokens, stream.expected) / current_survival
            else:
                probability = math.exp(-horizon / OVERDUE_TIME_S)
            trajectory.append((probability, stream.prompt + tokens))
        return trajectory


def survival(tokens: float, expected: float) -> float:
    """Return the probability that a stream's output is longer than ``tokens``.

    Lengths are log-normally distributed around the median ``expected``.
    """
    if tokens <= 0.0:
        return 1.0
    return 0.5 * math.erfc(math.log(tokens / expected) / (LOG_LENGTH_DEVIATION * math.sqrt(2.0)))
