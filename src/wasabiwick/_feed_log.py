"""Log lines of one feed that is behind its topic, or whose reads fail; bounded in number."""

from ._logging import log_event

INTERVAL_S = 5.0  # Shortest time between two lines of one kind.


class FeedLog:
    """Writes when a feed fell behind and caught up, and why its reads go on failing.

    Args:
        feed: Name of the feed.
    """

    __slots__ = ("_feed", "_behind_at", "_behind_since", "_fails", "_fails_at", "_fails_since")

    def __init__(self, feed: str) -> None:
        self._feed = feed
        self._behind_at = float("-inf")
        self._behind_since: float | None = None
        self._fails = 0
        self._fails_at = float("-inf")
        self._fails_since = 0.0

    def behind(self, now: float, position: int, missing: int) -> None:
        """Write that records are known and not read, or that none are any more.

        The end of a time that was too short for its own line has none either.

        Args:
            now: Monotonic time in seconds.
            position: Offset at which the next read starts.
            missing: Number of records that are known to be there and have not been read.
        """
        if missing:
            if now - self._behind_at < INTERVAL_S:
                return
            self._behind_at = now
            if self._behind_since is None:
                self._behind_since = now
            log_event(
                "feed_behind",
                feed=self._feed,
                position=position,
                end=position + missing,
                missing=missing,
            )
        elif self._behind_since is not None:
            after = round(now - self._behind_since, 3)
            self._behind_since = None
            log_event("feed_caught_up", feed=self._feed, position=position, after=after)

    def failed(self, now: float, error: str) -> None:
        """Write why a read failed; the first failure after a success shows as a lost feed.

        Args:
            now: Monotonic time in seconds.
            error: Why it failed.
        """
        self._fails += 1
        if self._fails == 1:
            self._fails_since = now
        elif now - self._fails_at >= INTERVAL_S:
            self._fails_at = now
            since = round(now - self._fails_since, 3)
            log_event(
                "feed_read_fails", feed=self._feed, error=error, fails=self._fails, since=since
            )

    def succeeded(self) -> None:
        """Note that a read has succeeded."""
        self._fails = 0
