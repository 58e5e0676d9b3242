"""The system's clocks."""

import time


class SystemClock:
    """Clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()
