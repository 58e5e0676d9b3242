"""Implements the clock port with the operating system's clocks."""

import time


class SystemClock:
    """The operating system's clocks."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()
