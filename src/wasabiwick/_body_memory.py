"""Bound on the bytes of bodies that a host holds together."""

import asyncio
import collections
import typing

Room = typing.Callable[[int], typing.Awaitable[None]]  # Waits until there is room for some bytes.
# Bodies up to this size may use all of the memory; larger ones leave `SMALL_SHARE` of it to them.
SMALL_BODY_BYTES = 64 * 1024
SMALL_SHARE = 0.125
# Multiple of the free memory that the bodies of one organisation may take together. So each leaves
# a third of what the others left: alone one gets two thirds of all, two that go on get two fifths.
OWNER_RATIO = 2.0


class BodyMemory:
    """Bytes that bodies of one kind may take together.

    A body that is alone is always let in, so that one larger than the whole memory is not refused
    for ever. Where bodies belong to organisations, each may take `OWNER_RATIO` times what is free.

    Args:
        limit_bytes: Bytes that all bodies may take together.

    Attributes:
        held_bytes: Bytes that they take now.
    """

    __slots__ = ("held_bytes", "_limit_bytes", "_held_by_owner", "_waiting")

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._held_by_owner: collections.Counter[str] = collections.Counter()
        self._waiting: collections.deque[tuple[asyncio.Future, BodyShare, int]] = (
            collections.deque()
        )

    def share(self) -> "BodyShare":
        """Return a share for one body, of no bytes yet."""
        return BodyShare(self)

    def fits(self, others: int, size: int) -> bool:
        """Return whether a body of some bytes has room beside the bytes of others."""
        is_small = size <= SMALL_BODY_BYTES
        usable = self._limit_bytes * (1.0 if is_small else 1.0 - SMALL_SHARE)
        return not others or others + size <= usable

    def owner_fits(self, owner: str, others: int, size: int) -> bool:
        """Return whether an organisation may have a body of some bytes beside its other ones.

        Args:
            owner: Name of the organisation; empty if the body belongs to none.
            others: Bytes of all other bodies.
            size: Bytes of the body.
        """
        if not owner or not others:
            return True
        free = self._limit_bytes - others - size
        return self._held_by_owner[owner] + size <= OWNER_RATIO * free

    def count(self, owner: str, change: int) -> None:
        """Count bytes that a body takes, or gives back."""
        self.held_bytes += change
        if owner:
            self._held_by_owner[owner] += change
            if not self._held_by_owner[owner]:
                del self._held_by_owner[owner]

    async def wait_for(self, share: "BodyShare", size: int) -> None:
        """Wait until a share can have some bytes; those who wait get them in turn.

        One whose organisation has its share keeps no other organisation waiting.
        """
        if not self._is_awaited(share.owner) and share.resize(size):
            return
        turn = asyncio.get_running_loop().create_future()
        entry = (turn, share, size)
        self._waiting.append(entry)
        try:
            await turn
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
                self.let_in()

    def let_in(self) -> None:
        """Let those in who wait, in turn, as far as there is room."""
        held_back = set()
        for entry in list(self._waiting):
            turn, share, size = entry
            if not turn.done():
                if share.owner in held_back:
                    continue
                if not share.resize(size):
                    if self.owner_fits(share.owner, self.held_bytes, size):
                        return
                    held_back.add(share.owner)
                    continue
                turn.set_result(None)
            self._waiting.remove(entry)

    def _is_awaited(self, owner: str) -> bool:
        """Return whether anyone waits before a new body of an organisation."""
        return any(
            share.owner == owner or self.owner_fits(share.owner, self.held_bytes, size)
            for _, share, size in self._waiting
        )


class BodyShare:
    """Bytes of one body in the memory of all; the end of its ``with`` block gives them back.

    Attributes:
        size: Bytes that it has.
        owner: Name of the organisation that it belongs to, set while it has none; empty for none.
    """

    __slots__ = ("size", "owner", "_memory")

    def __init__(self, memory: BodyMemory) -> None:
        self.size = 0
        self.owner = ""
        self._memory = memory

    def __enter__(self) -> "BodyShare":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()

    def resize(self, size: int) -> bool:
        """Take as many bytes in all, and return True, or leave all as it is if there is no room."""
        memory = self._memory
        others = memory.held_bytes - self.size
        if size > self.size:
            change = size - self.size
            if not memory.fits(others, size):
                return False
            if not memory.owner_fits(self.owner, memory.held_bytes, change):
                return False
        memory.count(self.owner, size - self.size)
        self.size = size
        return True

    async def wait_for(self, size: int) -> None:
        """Give back what it has, and wait until it can have some bytes."""
        self.release()
        await self._memory.wait_for(self, size)

    def release(self) -> None:
        """Give all bytes back."""
        if self.size:
            self._memory.count(self.owner, -self.size)
            self.size = 0
            self._memory.let_in()
