"""The output of one generation, kept until its answer is complete."""

import asyncio


class Output:
    """Tokens in order, with a wake-up for the call that relays them.

    Text is kept whole, so that a retry on this host, or another attempt, can go on from any offset.

    Args:
        limit: Bytes that may wait for the caller before reading from the engine pauses.
    """

    __slots__ = (
        "texts",
        "offset",
        "finish",
        "attempt_id",
        "_limit",
        "_waiting",
        "_changed",
        "_room",
    )

    def __init__(self, *, limit: int) -> None:
        self.texts: list[str] = []
        self.offset = 0
        self.finish = ""
        self.attempt_id = ""
        self._limit = limit
        self._waiting = 0
        self._changed = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()

    def text(self) -> str:
        """Return all output so far."""
        return "".join(self.texts)

    def add(self, text: str, count: int) -> None:
        """Append the text of the next ``count`` tokens."""
        self.texts.append(text)
        self.offset += count
        self._waiting += len(text)
        self._changed.set()
        if self._waiting > self._limit:
            self._room.clear()

    def finish_with(self, finish: str) -> None:
        """Mark the output as complete; ``finish`` is ``stop`` or ``length``."""
        self.finish = finish
        self._changed.set()

    def wake(self) -> None:
        """Wake the call that waits for more output."""
        self._changed.set()

    def take(self, position: int) -> tuple[str, int]:
        """Return the text after a position, and the position that follows it.

        Args:
            position: Number of pieces of text that the caller already has.

        Returns:
            The text, empty if there is none, and the new position.
        """
        text = "".join(self.texts[position:]) if position < len(self.texts) else ""
        self._changed.clear()
        self._waiting = 0
        self._room.set()
        return text, len(self.texts)

    async def wait_for_change(self) -> None:
        """Wait until there is more output, or its end."""
        await self._changed.wait()

    async def wait_for_space(self) -> None:
        """Wait until the caller has taken what was buffered for it."""
        await self._room.wait()
