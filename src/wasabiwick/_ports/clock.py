"""Port to the clocks and to randomness."""

import typing


class Clock(typing.Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""

    def wall(self) -> float:
        """Return Unix time in seconds."""
