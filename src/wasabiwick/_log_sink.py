"""Where log lines go: bounded in rate and memory, and never blocking.

A reader that has stopped reading must not stall the process or grow its memory, and a burst of
requests must not spend the processor on lines. Routine steps are dropped first, then all else that
is no error, and a line tells how many were.
"""

import collections
import os
import time
import typing

LINES_PER_SECOND = 400.0  # A host serves some tens of requests a second, at four lines each.
BYTES_PER_SECOND = 160_000.0  # At 400 bytes a line.
BURST_SECONDS = 2.0  # Seconds' worth of lines that may come at once.
BUFFER_BYTES = 256 * 1024  # Lines that wait for the reader.
RESERVE = 0.5  # Share of rate and buffer that only important lines may use.
TELL_SECONDS = 1.0  # Seconds between lines on what was dropped.

ROUTINE = "routine"
IMPORTANT = "important"

# Steps that every request takes, in whatever way it ends.
ROUTINE_EVENTS = frozenset(
    ("answered", "hold_refused", "place_chosen", "prefill_sent", "sent", "served")
)


class LogSink:
    """Writes lines to a file descriptor without waiting for it.

    It has no method ``write``, which would make the logging library take it for a stream.

    Args:
        fd: The descriptor, which is set not to block.
        clock: Returns monotonic time in seconds.

    Attributes:
        dropped: Lines dropped, by class.
    """

    __slots__ = ("dropped", "_fd", "_clock", "_buffer", "_size", "_lines", "_bytes", "_at", "_told")

    def __init__(self, fd: int, clock: typing.Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(fd, False)
        self.dropped: collections.Counter[str] = collections.Counter()
        self._fd = fd
        self._clock = clock
        self._buffer: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._lines = LINES_PER_SECOND * BURST_SECONDS
        self._bytes = BYTES_PER_SECOND * BURST_SECONDS
        self._at = clock()
        self._told = 0

    def __call__(self, message: typing.Any) -> None:
        """Take a line of the logging library."""
        event = message.record["extra"].get("event", "")
        self.put(str(message).encode(), ROUTINE if event in ROUTINE_EVENTS else IMPORTANT)

    def put(self, line: bytes, kind: str) -> None:
        """Write a line, or drop it where it is beyond the bounds.

        Args:
            line: The line with its end.
            kind: ``routine`` or ``important``.
        """
        self._refill()
        if not self._fits(len(line), RESERVE if kind == ROUTINE else 0.0):
            self.dropped[kind] += 1
        else:
            self._lines -= 1
            self._bytes -= len(line)
            self._buffer.append(line)
            self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Hand lines to the reader as far as it takes them."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return  # The reader is slow; the lines wait within the buffer's bound.
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                self.dropped[IMPORTANT] += len(self._buffer)
                self._buffer.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def take_unreported_count(self) -> int:
        """Return how many lines were dropped since this was asked last."""
        total = sum(self.dropped.values())
        untold, self._told = total - self._told, total
        return untold

    def _fits(self, size: int, reserve: float) -> bool:
        return (
            self._size + size <= BUFFER_BYTES * (1.0 - reserve)
            and self._lines - 1 >= LINES_PER_SECOND * BURST_SECONDS * reserve
            and self._bytes - size >= BYTES_PER_SECOND * BURST_SECONDS * reserve
        )

    def _refill(self) -> None:
        now = self._clock()
        passed, self._at = now - self._at, now
        self._lines = min(LINES_PER_SECOND * BURST_SECONDS, self._lines + passed * LINES_PER_SECOND)
        self._bytes = min(BYTES_PER_SECOND * BURST_SECONDS, self._bytes + passed * BYTES_PER_SECOND)
