"""Prefix cache of a stand-in engine; its change events become visible late, and some are lost."""

import collections
import random
import time
import typing

from .._pieces import PIECE_TOKENS
from .._wire import CacheEvent
from ._serve import StandIn

MAX_EVENTS = 10_000  # Most cache events that are kept; the oldest are dropped first.
LOSS_SEED = 7


class PrefixCache:
    """Least recently used cache of prompt pieces."""

    __slots__ = ("_engine", "_pieces", "_events", "_sequence", "_rng")

    def __init__(self, engine: StandIn) -> None:
        self._engine = engine
        self._pieces: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, CacheEvent]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._sequence = 0
        self._rng = random.Random(LOSS_SEED)
        self._publish(cleared=True)

    def match(self, chain: tuple[int, ...]) -> int:
        """Return how many tokens of a prompt's start are cached."""
        count = 0
        for piece in chain:
            if piece not in self._pieces:
                break
            self._pieces.move_to_end(piece)
            count += 1
        return count * PIECE_TOKENS

    def store(self, chain: tuple[int, ...]) -> None:
        """Store a prompt's pieces, and evict the least recently used ones beyond the limit."""
        stored = tuple(one for one in chain if one not in self._pieces)
        self._pieces.update(dict.fromkeys(stored))
        evicted = []
        while len(self._pieces) > self._engine.knobs.cache_pieces:
            evicted.append(self._pieces.popitem(last=False)[0])
        if stored or evicted:
            self._publish(stored=stored, evicted=tuple(evicted))

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the events after a sequence number, without those newer than the cache lag."""
        latest = time.monotonic() - self._engine.knobs.cache_lag
        return [one for at, one in self._events if one.sequence > sequence and at <= latest]

    def _publish(self, **change: typing.Any) -> None:
        self._sequence += 1
        if self._rng.random() >= self._engine.knobs.cache_loss:
            event = CacheEvent(sequence=self._sequence, **change)
            self._events.append((time.monotonic(), event))
