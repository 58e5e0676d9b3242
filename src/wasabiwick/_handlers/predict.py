"""Online predictors of the time that an engine takes for a prefill, a transfer or a decode step."""

RATE_DECAY = 0.9  # Factor by which each observation reduces the weight of the earlier ones.
INTERVAL_DECAY = 0.95  # Factor by which each observed interval reduces the weight of earlier ones.
MIN_MEASURED_S = 1e-4  # Shorter measurements are not used to estimate a rate.
# With a lower variance of the batch size, in requests squared, no slope can be fitted.
MIN_BATCH_VARIANCE = 0.5


class Rate:
    """Rate estimated from amounts and the times they took, with exponentially decaying weights.

    Args:
        prior: Rate assumed before the first observation, in units per second.
    """

    __slots__ = ("_amount", "_seconds")

    def __init__(self, prior: float) -> None:
        self._seconds = 0.1
        self._amount = prior * self._seconds

    def observe(self, amount: float, seconds: float) -> None:
        """Record that ``amount`` units took ``seconds``."""
        if seconds < MIN_MEASURED_S or amount <= 0:
            return
        self._amount = RATE_DECAY * self._amount + amount
        self._seconds = RATE_DECAY * self._seconds + seconds

    @property
    def per_second(self) -> float:
        """Estimated rate, in units per second."""
        return self._amount / self._seconds

    def seconds(self, amount: float) -> float:
        """Return the predicted time for an amount, in seconds."""
        return amount * self._seconds / self._amount


class MovingAverage:
    """Exponential moving average that starts at a prior.

    Args:
        prior: Value assumed before the first observation.
        share: Weight of each new observation, from 0 to 1.
    """

    __slots__ = ("value", "_new_weight")

    def __init__(self, prior: float, *, share: float = 0.05) -> None:
        self.value = prior
        self._new_weight = share

    def observe(self, value: float) -> None:
        """Record a value."""
        self.value += self._new_weight * (value - self.value)


class IntervalModel:
    """Linear fit of the time between outputs to the batch size, by decaying least squares.

    Args:
        base: Prior interval of an empty batch, in seconds.
        slope: Prior growth of the interval per request in the batch, in seconds.
    """

    __slots__ = ("_weight", "_x", "_y", "_xx", "_xy", "_slope")

    def __init__(self, *, base: float = 0.02, slope: float = 0.001) -> None:
        self._weight = self._x = self._y = self._xx = self._xy = 0.0
        self._slope = slope
        for batch in (1, 24):
            self._add_sample(batch, base + slope * batch, 0.5)

    def observe(self, batch: int, interval: float) -> None:
        """Record the interval measured at a batch size, in seconds."""
        if batch <= 0 or interval <= 0:
            return
        for name in ("_weight", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, INTERVAL_DECAY * getattr(self, name))
        self._add_sample(batch, interval, 1.0)

    def _add_sample(self, batch: float, interval: float, weight: float) -> None:
        self._weight += weight
        self._x += weight * batch
        self._y += weight * interval
        self._xx += weight * batch * batch
        self._xy += weight * batch * interval

    def _fit(self) -> tuple[float, float]:
        mean_x, mean_y = self._x / self._weight, self._y / self._weight
        variance = self._xx / self._weight - mean_x * mean_x
        if variance > MIN_BATCH_VARIANCE:
            covariance = self._xy / self._weight - mean_x * mean_y
            self._slope = max(0.0, covariance / variance)
        return mean_y - self._slope * mean_x, self._slope

    def at(self, batch: float) -> float:
        """Return the predicted interval at a batch size, in seconds."""
        base, slope = self._fit()
        return max(0.0, base + slope * batch)

    def largest_batch(self, interval: float, limit: int) -> int:
        """Return the largest batch size, up to ``limit``, predicted to keep within an interval."""
        base, slope = self._fit()
        if slope <= 0.0:
            return limit if base <= interval else 0
        return max(0, min(limit, int((interval - base) / slope)))
