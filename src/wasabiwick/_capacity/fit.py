"""Measures processor time and memory, and fits least-squares lines to the results."""

import gc
import time
import tracemalloc
import typing

REPEATS = 5  # Number of runs of each timed function; only the fastest run counts.


class Line:
    """Measured points and the least-squares line through them.

    Args:
        name: What was measured.
        x_unit: Unit of the sizes (x values), or the name of the things that they count.
        y_unit: Unit of the measured values.
        points: Pairs of size and value, at least four.

    Raises:
        ValueError: If there are fewer than four points.
    """

    __slots__ = ("name", "x_unit", "y_unit", "points", "slope", "intercept", "r_squared")

    def __init__(
        self, *, name: str, x_unit: str, y_unit: str, points: list[tuple[float, float]]
    ) -> None:
        if len(points) < 4:
            raise ValueError(f'line "{name}" has {len(points)} points, but needs at least 4')
        self.name = name
        self.x_unit = x_unit
        self.y_unit = y_unit
        self.points = points
        self.slope, self.intercept = _least_squares(points)
        self.r_squared = _r_squared(points, self.slope, self.intercept)

    def at(self, x: float) -> float:
        """Return the value that the line gives for a size."""
        return self.intercept + self.slope * x


def _least_squares(points: list[tuple[float, float]]) -> tuple[float, float]:
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    x_variation = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    return slope, mean_y - slope * mean_x


def _r_squared(points: list[tuple[float, float]], slope: float, intercept: float) -> float:
    """Return R squared of a line, or 1 if the values do not vary."""
    mean = sum(y for _, y in points) / len(points)
    y_variation = sum((y - mean) ** 2 for _, y in points)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return 1.0 - residual / y_variation if y_variation else 1.0


def cpu_seconds(prepare: typing.Callable[[], typing.Callable[[], object]]) -> float:
    """Return the least processor time of `REPEATS` runs, in seconds.

    Args:
        prepare: Called before each run, untimed; returns the function to time.
    """
    least_seconds = float("inf")
    for _ in range(REPEATS):
        work = prepare()
        gc.collect()
        gc.disable()
        start_time = time.process_time()
        work()
        least_seconds = min(least_seconds, time.process_time() - start_time)
        gc.enable()
    return least_seconds


def kept_bytes(build: typing.Callable[[], object]) -> int:
    """Return the bytes of memory that a function allocates and does not free."""
    gc.collect()
    tracemalloc.start()
    bytes_before, _ = tracemalloc.get_traced_memory()
    result = build()
    gc.collect()
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return bytes_after - bytes_before
