"""Port to the clocks."""

import typing


class Clock(typing.Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""

    def wall(self) -> float:
        """Return Unix time in seconds."""
