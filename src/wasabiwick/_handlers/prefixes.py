"""Index of the prompt prefixes that engines hold, from late and gappy cache events.

An entry says that an engine stored the prefix that a piece hash stands for. It is never more than
a hint: a wrong entry costs a longer prefill. A gap in an engine's events may hide evictions, so
each gap lowers the trust in all older entries of the engine at once, by an epoch counter.
"""

import collections

from .._pieces import PIECE_TOKENS, PREFIX_LENGTHS
from .._wire import CacheEvent

MAX_ENTRIES = 8_192  # Pieces kept for one engine; the least recently used goes first.
GAP_TRUST = 0.6  # Trust that an entry keeps at each gap.
GUESS_TRUST = 0.8  # Trust in a prefix that a granted prefill is about to store.
MAX_DIRECTORY = 8_192  # Prefixes whose zone is remembered.
DIRECTORY_LENGTH = 6  # Steps of the ladder, below which a prefix is not worth remembering.
FORGET_TRUST = 0.1  # Entries below this trust are dropped when met.


class Entry:
    """One stored prefix of one engine: its trust, as of a number of gaps."""

    __slots__ = ("trust", "gaps")

    def __init__(self, *, trust: float, gaps: int) -> None:
        self.trust = trust
        self.gaps = gaps


class PrefixIndex:
    """The prefixes that one engine holds, as far as known."""

    __slots__ = ("sequence", "gaps", "_entries")

    def __init__(self) -> None:
        self.sequence = 0
        self.gaps = 0
        self._entries: collections.OrderedDict[int, Entry] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, change: CacheEvent) -> None:
        """Take in one cache event; events that were seen before are ignored."""
        if change.sequence <= self.sequence:
            return
        if self.sequence and change.sequence > self.sequence + 1:
            self.gaps += 1
        self.sequence = change.sequence
        if change.cleared:
            self._entries.clear()
        for piece in change.evicted:
            self._entries.pop(piece, None)
        for piece in change.stored:
            self._store(piece, 1.0)

    def expect(self, ladder: tuple[int, ...]) -> None:
        """Note that a granted prefill is about to store a prompt's prefixes."""
        for piece in ladder:
            if piece not in self._entries:
                self._store(piece, GUESS_TRUST)

    def disprove(self) -> None:
        """Lower the trust in all entries: a prefill did not find what the index promised."""
        self.gaps += 1

    def _store(self, piece: int, trust: float) -> None:
        self._entries[piece] = Entry(trust=trust, gaps=self.gaps)
        self._entries.move_to_end(piece)
        if len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def trust(self, piece: int) -> float:
        """Return the trust that the engine holds the prefix of a piece, 0 to 1."""
        entry = self._entries.get(piece)
        if entry is None:
            return 0.0
        trust = entry.trust * GAP_TRUST ** (self.gaps - entry.gaps)
        if trust < FORGET_TRUST:
            del self._entries[piece]
            return 0.0
        self._entries.move_to_end(piece)
        return trust

    def matched(self, ladder: tuple[int, ...]) -> tuple[int, float]:
        """Return the longest known prefix of a prompt.

        Args:
            ladder: The prompt's hashes at the ladder's lengths.

        Returns:
            Its length in tokens, and the trust in it.
        """
        for place in range(len(ladder) - 1, -1, -1):
            trust = self.trust(ladder[place])
            if trust > 0.0:
                return PREFIX_LENGTHS[place] * PIECE_TOKENS, trust
        return 0, 0.0


class Directory:
    """Which zone's pool was last sent the prompts of a prefix, as kept by its home coordinator."""

    __slots__ = ("_zones",)

    def __init__(self) -> None:
        self._zones: collections.OrderedDict[int, str] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._zones)

    def note(self, ladder: tuple[int, ...], zone: str) -> None:
        """Note that a prompt was sent to a zone."""
        if len(ladder) < DIRECTORY_LENGTH:
            return
        self._zones[ladder[-1]] = zone
        self._zones.move_to_end(ladder[-1])
        if len(self._zones) > MAX_DIRECTORY:
            self._zones.popitem(last=False)

    def forget(self, ladder: tuple[int, ...]) -> None:
        """Note that a prompt is served here."""
        if ladder:
            self._zones.pop(ladder[-1], None)

    def zone_of(self, ladder: tuple[int, ...]) -> str:
        """Return the zone that a prompt's prefix was sent to, or an empty string."""
        return self._zones.get(ladder[-1], "") if ladder else ""
