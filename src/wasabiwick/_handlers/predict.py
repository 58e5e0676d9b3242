"""Online predictors of what an engine will take for a prefill, a transfer and a decode step."""

FORGETTING = 0.9  # Share of its weight that an older observation keeps at each new one.
LINE_FORGETTING = 0.95
MIN_SECONDS = 1e-4  # Shorter measurements say nothing about a rate.
MIN_SPREAD = 0.5  # Variance of the batch size below which no slope can be told.


class Rate:
    """A rate learned from pairs of amount and time, newer ones weighing more.

    Args:
        prior: Rate assumed before the first observation, in units per second.
    """

    __slots__ = ("_amount", "_seconds")

    def __init__(self, prior: float) -> None:
        self._seconds = 0.1
        self._amount = prior * self._seconds

    def observe(self, amount: float, seconds: float) -> None:
        """Take in that ``amount`` units took ``seconds``."""
        if seconds < MIN_SECONDS or amount <= 0:
            return
        self._amount = FORGETTING * self._amount + amount
        self._seconds = FORGETTING * self._seconds + seconds

    @property
    def per_second(self) -> float:
        """Units per second."""
        return self._amount / self._seconds

    def seconds(self, amount: float) -> float:
        """Return the predicted time for an amount, in seconds."""
        return amount * self._seconds / self._amount


class MovingAverage:
    """A mean that forgets, with a prior."""

    __slots__ = ("value", "_share")

    def __init__(self, prior: float, *, share: float = 0.05) -> None:
        self.value = prior
        self._share = share

    def observe(self, value: float) -> None:
        """Take in a value."""
        self.value += self._share * (value - self.value)


class IntervalModel:
    """The time between outputs as a line over the batch size, by least squares that forget.

    Args:
        base: Prior interval of an empty batch, in seconds.
        slope: Prior growth per request in the batch, in seconds.
    """

    __slots__ = ("_weight", "_x", "_y", "_xx", "_xy", "_slope")

    def __init__(self, *, base: float = 0.02, slope: float = 0.001) -> None:
        self._weight = self._x = self._y = self._xx = self._xy = 0.0
        self._slope = slope
        for batch in (1, 24):
            self._add(batch, base + slope * batch, 0.5)

    def observe(self, batch: int, interval: float) -> None:
        """Take in the interval measured at a batch size."""
        if batch <= 0 or interval <= 0:
            return
        for name in ("_weight", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, LINE_FORGETTING * getattr(self, name))
        self._add(batch, interval, 1.0)

    def _add(self, batch: float, interval: float, weight: float) -> None:
        self._weight += weight
        self._x += weight * batch
        self._y += weight * interval
        self._xx += weight * batch * batch
        self._xy += weight * batch * interval

    def _fit(self) -> tuple[float, float]:
        mean_x, mean_y = self._x / self._weight, self._y / self._weight
        spread = self._xx / self._weight - mean_x * mean_x
        if spread > MIN_SPREAD:
            covariance = self._xy / self._weight - mean_x * mean_y
            self._slope = max(0.0, covariance / spread)
        return mean_y - self._slope * mean_x, self._slope

    def at(self, batch: float) -> float:
        """Return the predicted interval at a batch size, in seconds."""
        base, slope = self._fit()
        return max(0.0, base + slope * batch)

    def largest_batch(self, interval: float, most: int) -> int:
        """Return the largest batch size, up to ``most``, that keeps to an interval."""
        base, slope = self._fit()
        if slope <= 0.0:
            return most if base <= interval else 0
        return max(0, min(most, int((interval - base) / slope)))
