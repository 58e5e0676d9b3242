"""Port to the clocks."""

import typing


class Clock(typing.Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that is never set forward or back."""

    def wall(self) -> float:
        """Return Unix time in seconds."""
