"""Least-squares lines through measured points."""

import gc
import time
import tracemalloc
import typing

REPEATS = 5


class Line:
    """Measured points and the line through them.

    Args:
        name: What was measured.
        x_unit: Unit of the sizes.
        y_unit: Unit of the measured values.
        points: Sizes with their values, at least four.
    """

    __slots__ = ("name", "x_unit", "y_unit", "points", "slope", "base", "fit")

    def __init__(
        self, *, name: str, x_unit: str, y_unit: str, points: list[tuple[float, float]]
    ) -> None:
        if len(points) < 4:
            raise ValueError(f'line "{name}" has {len(points)} points')
        self.name = name
        self.x_unit = x_unit
        self.y_unit = y_unit
        self.points = points
        self.slope, self.base = _least_squares(points)
        self.fit = _share_explained(points, self.slope, self.base)

    def at(self, x: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * x


def _least_squares(points: list[tuple[float, float]]) -> tuple[float, float]:
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def _share_explained(points: list[tuple[float, float]], slope: float, base: float) -> float:
    """Return R squared, or 1 where the values do not vary at all."""
    mean = sum(y for _, y in points) / len(points)
    total = sum((y - mean) ** 2 for _, y in points)
    left = sum((y - base - slope * x) ** 2 for x, y in points)
    return 1.0 - left / total if total else 1.0


def cpu_seconds(prepare: typing.Callable[[], typing.Callable[[], object]]) -> float:
    """Return the least processor time of some runs of prepared work.

    Args:
        prepare: Returns the work; what it does itself is not counted.
    """
    best = float("inf")
    for _ in range(REPEATS):
        work = prepare()
        gc.collect()
        gc.disable()
        begin = time.process_time()
        work()
        best = min(best, time.process_time() - begin)
        gc.enable()
    return best


def kept_bytes(build: typing.Callable[[], object]) -> int:
    """Return the bytes of memory that what a function builds keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before
