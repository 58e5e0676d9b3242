"""How far a feed is behind the end of its topic, as far as this host knows."""

import asyncio
import random

# Longest delay, in seconds, until a host that heard of records reads them for itself. It spreads
# the reads of hosts that are told at the same moment.
SPREAD_S = 0.1


class FeedLag:
    """What one feed has read of a topic, and the furthest end of it that the host has heard of.

    Attributes:
        position: Offset at which the next read starts.
        due: Time of the event loop at which a host reads what it lacks, whether or not others read
            for it; None while it lacks nothing.
    """

    __slots__ = ("position", "due", "_end", "_asked")

    def __init__(self) -> None:
        self.forget()

    @property
    def missing(self) -> int:
        """Number of records that the topic is known to have beyond the position."""
        return max(0, self._end - self.position)

    def hear(self, end: int, spread: float = 0.0) -> None:
        """Note where the topic ends; what lacks is due after a random time up to ``spread``."""
        self._end = max(self._end, end)
        if self.missing and self.due is None:
            self.due = asyncio.get_running_loop().time() + random.uniform(0.0, spread)

    def ask(self) -> None:
        """Note that a read begins, whose answer supersedes what was heard before."""
        self._asked = self._end

    def read(self, position: int, end: int | None) -> None:
        """Note what a read brought.

        Args:
            position: Offset at which the next read starts.
            end: Where the topic ended at that read; None if it ended at the position.
        """
        if self._end <= self._asked:
            self._end = 0
        self.reach(position)
        self.hear(position if end is None else end)

    def reach(self, position: int) -> None:
        """Note the offset at which the next read starts."""
        self.position = position
        if not self.missing:
            self.due = None

    def forget(self) -> None:
        """Forget all, as the offsets begin anew or the position is lost."""
        self.position = 0
        self.due: float | None = None
        self._end = 0
        self._asked = 0
