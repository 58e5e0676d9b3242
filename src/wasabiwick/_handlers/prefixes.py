"""Index of the prompt prefixes that engines have cached, from delayed and incomplete cache events.

An entry says that an engine stored the prefix that a piece hash stands for. It is only a hint: a
wrong entry costs a longer prefill. A gap in an engine's events may hide evictions, so each gap
lowers the trust in all older entries of the engine at once: the index counts the gaps, and each
entry stores the count at which it was made. Trust is the estimated probability, from 0 to 1, that
the engine still has the prefix.
"""

import collections

from .._pieces import PIECE_TOKENS, PREFIX_LENGTHS
from .._wire import CacheEvent

MAX_ENTRIES = 8_192  # Prefixes indexed per engine; the least recently used is evicted first.
# The trust in an entry is multiplied by this for each gap in the engine's cache events since the
# entry was made.
TRUST_PER_GAP = 0.6
# Trust, from 0 to 1, in an entry for a prefix that a granted prefill is expected to store.
EXPECTED_TRUST = 0.8
MAX_DIRECTORY_PREFIXES = 8_192
MIN_DIRECTORY_HASHES = 6  # Prefixes with fewer hashes are not worth recording.
MIN_TRUST = 0.1  # An entry with less trust, from 0 to 1, is dropped when it is looked up.


class Entry:
    """Prefix that an engine may have cached; ``trust`` was set when ``gaps`` gaps were known."""

    __slots__ = ("trust", "gaps")

    def __init__(self, *, trust: float, gaps: int) -> None:
        self.trust = trust
        self.gaps = gaps


class PrefixIndex:
    """Prefixes that one engine is believed to have cached."""

    __slots__ = ("sequence", "gaps", "_entries")

    def __init__(self) -> None:
        self.sequence = 0
        self.gaps = 0
        self._entries: collections.OrderedDict[int, Entry] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, event: CacheEvent) -> None:
        """Apply a cache event, unless it was seen before."""
        if event.sequence <= self.sequence:
            return
        if self.sequence and event.sequence > self.sequence + 1:
            self.gaps += 1
        self.sequence = event.sequence
        if event.cleared:
            self._entries.clear()
        for piece in event.evicted:
            self._entries.pop(piece, None)
        for piece in event.stored:
            self._store(piece, 1.0)

    def expect_stored(self, hashes: tuple[int, ...]) -> None:
        """Record that a granted prefill is about to store a prompt's prefixes."""
        for piece in hashes:
            if piece not in self._entries:
                self._store(piece, EXPECTED_TRUST)

    def lower_trust(self) -> None:
        """Lower the trust in all entries after a prefill found less cached than predicted."""
        self.gaps += 1

    def _store(self, piece: int, trust: float) -> None:
        self._entries[piece] = Entry(trust=trust, gaps=self.gaps)
        self._entries.move_to_end(piece)
        if len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def trust(self, piece: int) -> float:
        """Return the trust that the engine has cached the prefix of a piece, from 0 to 1."""
        entry = self._entries.get(piece)
        if entry is None:
            return 0.0
        trust = entry.trust * TRUST_PER_GAP ** (self.gaps - entry.gaps)
        if trust < MIN_TRUST:
            del self._entries[piece]
            return 0.0
        self._entries.move_to_end(piece)
        return trust

    def longest_match(self, hashes: tuple[int, ...]) -> tuple[int, float]:
        """Return the longest known prefix of a prompt.

        Args:
            hashes: The prompt's `prefix_hashes`.

        Returns:
            Its length in tokens, and the trust in it.
        """
        for index in range(len(hashes) - 1, -1, -1):
            trust = self.trust(hashes[index])
            if trust > 0.0:
                return PREFIX_LENGTHS[index] * PIECE_TOKENS, trust
        return 0, 0.0


class Directory:
    """Zones to which a pool's coordinator last redirected prompts, by the prompts' prefixes."""

    __slots__ = ("_zones",)

    def __init__(self) -> None:
        self._zones: collections.OrderedDict[int, str] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._zones)

    def record(self, hashes: tuple[int, ...], zone: str) -> None:
        """Record that a prompt was redirected to a zone."""
        if len(hashes) < MIN_DIRECTORY_HASHES:
            return
        self._zones[hashes[-1]] = zone
        self._zones.move_to_end(hashes[-1])
        if len(self._zones) > MAX_DIRECTORY_PREFIXES:
            self._zones.popitem(last=False)

    def remove(self, hashes: tuple[int, ...]) -> None:
        """Remove the zone of a prompt's prefix, because this pool serves the prompt now."""
        if hashes:
            self._zones.pop(hashes[-1], None)

    def zone_of(self, hashes: tuple[int, ...]) -> str:
        """Return the zone that a prompt's prefix was redirected to, or an empty string."""
        return self._zones.get(hashes[-1], "") if hashes else ""
