"""Log sink that is limited in rate and memory, and never blocks.

A log reader that stopped reading must not stall the process or grow its memory, and a burst of
requests must not use up the processor with log lines. Lines on routine steps are dropped before
all others, and a line reports how many were dropped.
"""

import collections
import os
import time
import typing

# Limit of log lines; a host serves some tens of requests a second, and logs four lines for each.
LINES_PER_SECOND = 400.0
BYTES_PER_SECOND = 160_000.0  # Limit of log output: the limit of lines, at 400 bytes a line.
BURST_SECONDS = 2.0  # A burst of log lines may use up the limits of this many seconds at once.
BUFFER_BYTES = 256 * 1024  # Most bytes of log lines that may wait for the log's reader.
RESERVED_SHARE = 0.5  # Share of the rate limits and the buffer that only important lines may use.
REPORT_INTERVAL = 1.0  # Seconds between reports of dropped lines.

ROUTINE = "routine"
IMPORTANT = "important"

# Log events of the steps that every request takes, however it ends.
ROUTINE_EVENTS = frozenset(
    ("answered", "hold_refused", "place_chosen", "prefill_sent", "sent", "served")
)


class LogSink:
    """Writes lines to a file descriptor without waiting for it.

    It has no method ``write``, since the logging library would then treat it as a stream.

    Args:
        fd: The descriptor, which is made non-blocking.
        clock: Returns monotonic time in seconds.

    Attributes:
        dropped: Number of dropped lines by kind, ``routine`` or ``important``.
    """

    __slots__ = (
        "dropped",
        "_fd",
        "_clock",
        "_buffer",
        "_size",
        "_lines_left",
        "_bytes_left",
        "_refilled_at",
        "_reported",
    )

    def __init__(self, fd: int, clock: typing.Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(fd, False)
        self.dropped: collections.Counter[str] = collections.Counter()
        self._fd = fd
        self._clock = clock
        self._buffer: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._lines_left = LINES_PER_SECOND * BURST_SECONDS
        self._bytes_left = BYTES_PER_SECOND * BURST_SECONDS
        self._refilled_at = clock()
        self._reported = 0

    def __call__(self, message: typing.Any) -> None:
        """Accept a line from the logging library."""
        event = message.record["extra"].get("event", "")
        self.put(str(message).encode(), ROUTINE if event in ROUTINE_EVENTS else IMPORTANT)

    def put(self, line: bytes, kind: str) -> None:
        """Write a line, or drop it if it exceeds the limits.

        Args:
            line: The line, including its line feed.
            kind: ``routine`` or ``important``.
        """
        self._refill()
        if not self._fits(len(line), RESERVED_SHARE if kind == ROUTINE else 0.0):
            self.dropped[kind] += 1
        else:
            self._lines_left -= 1
            self._bytes_left -= len(line)
            self._buffer.append(line)
            self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write waiting lines as far as the reader accepts them."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return  # The reader is slow; the lines wait in the bounded buffer.
            except OSError:
                # The reader is gone, and there is no other place to report it.
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
        """Return how many lines were dropped since the previous call."""
        total = sum(self.dropped.values())
        unreported, self._reported = total - self._reported, total
        return unreported

    def _fits(self, size: int, reserve: float) -> bool:
        return (
            self._size + size <= BUFFER_BYTES * (1.0 - reserve)
            and self._lines_left - 1 >= LINES_PER_SECOND * BURST_SECONDS * reserve
            and self._bytes_left - size >= BYTES_PER_SECOND * BURST_SECONDS * reserve
        )

    def _refill(self) -> None:
        now = self._clock()
        passed, self._refilled_at = now - self._refilled_at, now
        self._lines_left = min(
            LINES_PER_SECOND * BURST_SECONDS, self._lines_left + passed * LINES_PER_SECOND
        )
        self._bytes_left = min(
            BYTES_PER_SECOND * BURST_SECONDS, self._bytes_left + passed * BYTES_PER_SECOND
        )
