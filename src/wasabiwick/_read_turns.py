"""Turns at the platform's store: a few hosts of a zone read it, and tell the others what is new.

`_handlers.read_turns` decides whether this host reads. What is here carries that out: it gives the
feeds of a host that listens the pages that others tell, and their own turn once all is silent.
"""

import asyncio

from ._record import Record
from ._topics import KeyedRecord

MAX_TOLD_BYTES = 1_200  # Most bytes of records in one telling, so that it fits into a packet.
MAX_KEPT_PAGES = 100  # Most pages of a feed that are kept until it asks.
# Longest pause between two reads of a host that tells others, and longest time from the start of a
# pause to the end of a short read, as shares of the time of silence.
PAUSE_SHARE, READ_SHARE = 0.6, 0.75
# While a long read waits, others are told at this interval that nothing is new, if the store has
# answered any call for so long at most. Without an answer a host can't know whether it reaches the
# store. Both are shares of the time of silence; short reads bring an answer in time.
TELL_SHARE, ANSWERED_SHARE = 0.4, 0.5


class ToldPage(Record):
    """What a host read of a topic.

    Args:
        feed: Name of the feed that follows the topic.
        era: Era of the store that the offsets belong to.
        after: Offset from which it read.
        upto: Offset at which its next read starts.
        records: The records that say something new; None if they are too large to be told.
    """

    __slots__ = ("feed", "era", "after", "upto", "records")

    def __init__(
        self,
        *,
        feed: str,
        era: int,
        after: int,
        upto: int,
        records: tuple[KeyedRecord, ...] | None,
    ) -> None:
        self.feed = feed
        self.era = era
        self.after = after
        self.upto = upto
        self.records = records

    def follows(self, position: int, era: int) -> bool:
        """Return whether a host that has read up to a position needs no read of its own."""
        is_complete = self.upto <= position or self.records is not None
        return self.era == era and self.after <= position and is_complete

    def fitting(self) -> "ToldPage":
        """Return the page, without records that do not fit into a datagram."""
        sizes = (len(one.key) + len(one.value or b"") for one in self.records or ())
        if sum(sizes) > MAX_TOLD_BYTES:
            self.records = None
        return self


class ReadTurns:
    """Whether this host reads the store, and what other hosts tell of it.

    Args:
        silence: Seconds without a telling after which a host that listens reads for itself.

    Attributes:
        reads: Whether this host reads at its own pace.
        addresses: Hosts that it tells what it reads.
        silence: As given.
    """

    __slots__ = ("reads", "addresses", "silence", "_told", "_wanted", "_changed")

    def __init__(self, silence: float) -> None:
        self.reads = True
        self.addresses: tuple[str, ...] = ()
        self.silence = silence
        self._told: dict[str, list[ToldPage]] = {}
        self._wanted: set[str] = set()
        self._changed = asyncio.Event()

    @property
    def tell_interval(self) -> float | None:
        """Seconds after which others are told that a read still waits; None if nobody is told."""
        return TELL_SHARE * self.silence if self.addresses else None

    @property
    def answered_within(self) -> float:
        """Seconds for which an answer of the store shows that this host reaches it."""
        return ANSWERED_SHARE * self.silence

    def short_wait(self, wait: float, pause: float) -> float:
        """Return how long a short read may wait for news, so that others hear of it in time.

        Args:
            wait: Seconds for which the feed's reads wait where nobody relies on them.
            pause: Seconds between two of its reads.
        """
        if not self.addresses:
            return wait
        return min(wait, READ_SHARE * self.silence - min(pause, PAUSE_SHARE * self.silence))

    def set_turn(self, *, reads: bool, addresses: tuple[str, ...]) -> None:
        """Take or leave a turn."""
        self.reads = reads
        self.addresses = addresses
        for pages in self._told.values():
            pages.clear()
        self._wanted.clear()
        self._changed.set()

    def read_now(self, feed: str) -> None:
        """Have a host that listens read a feed for itself; a host that reads does so anyway."""
        if not self.reads:
            self._wanted.add(feed)
            self._changed.set()

    def deliver(self, page: ToldPage) -> None:
        """Keep what another host told, until the feed asks; a host that reads needs none."""
        pages = self._told.get(page.feed)
        if pages is not None and not self.reads:
            pages.append(page)
            del pages[:-MAX_KEPT_PAGES]
            self._changed.set()

    async def next_page(self, feed: str, pause: float, due: float | None = None) -> ToldPage | None:
        """Return a page that was told, or None once it is this host's turn to read.

        Args:
            feed: Name of the feed.
            pause: Seconds between two reads of a host that reads.
            due: Time of the event loop at which it is this host's turn in any case.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        pages = self._told.setdefault(feed, [])
        while True:
            if feed in self._wanted:
                self._wanted.remove(feed)
                return None
            if pages:
                return pages.pop(0)
            turn = began + self._pause(pause)
            left = (turn if due is None else min(turn, due)) - loop.time()
            if left <= 0.0:
                return None
            self._changed.clear()
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass  # The turn has come, or a page was told just now.

    def _pause(self, pause: float) -> float:
        if not self.reads:
            return self.silence
        return min(pause, PAUSE_SHARE * self.silence) if self.addresses else pause
