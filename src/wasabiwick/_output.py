"""The output of one generation, kept until its answer is complete."""

import asyncio


class Output:
    """Text of all tokens in order; new text wakes the call that relays it.

    All text is kept, so that a retry on this host, or another attempt, can continue at any
    offset.

    Args:
        limit: Bytes (UTF-8) that may wait for the caller before reading from the engine pauses.

    Attributes:
        texts: Pieces of text in order.
        offset: Number of tokens so far.
        finish: Why the output ended (``stop`` or ``length``), or empty until then.
        attempt_id: Attempt that the output is read from, or empty.
    """

    __slots__ = (
        "texts",
        "offset",
        "finish",
        "attempt_id",
        "_limit",
        "_waiting_bytes",
        "_changed",
        "_has_space",
    )

    def __init__(self, *, limit: int) -> None:
        self.texts: list[str] = []
        self.offset = 0
        self.finish = ""
        self.attempt_id = ""
        self._limit = limit
        self._waiting_bytes = 0
        self._changed = asyncio.Event()
        self._has_space = asyncio.Event()
        self._has_space.set()

    def text(self) -> str:
        """Return all output so far."""
        return "".join(self.texts)

    def add(self, text: str, count: int) -> None:
        """Append the text of the next ``count`` tokens."""
        self.texts.append(text)
        self.offset += count
        self._waiting_bytes += len(text.encode())
        self._changed.set()
        if self._waiting_bytes > self._limit:
            self._has_space.clear()

    def finish_with(self, finish: str) -> None:
        """Mark the output as complete; ``finish`` is ``stop`` or ``length``."""
        self.finish = finish
        self._changed.set()

    @property
    def has_space(self) -> bool:
        """Whether reading from the engine may go on."""
        return self._has_space.is_set()

    def wake(self) -> None:
        """Wake the call that waits for output, even if there is no new output."""
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
        self._waiting_bytes = 0
        self._has_space.set()
        return text, len(self.texts)

    async def wait_for_change(self) -> None:
        """Wait until there is more output, or its end."""
        await self._changed.wait()

    async def wait_for_space(self) -> None:
        """If too much output waits for the caller, wait until the caller has taken all of it."""
        await self._has_space.wait()
