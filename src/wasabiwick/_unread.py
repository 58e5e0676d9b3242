"""Counts the bytes of answers that callers have not read, and reports when they are too many."""

import asyncio
import typing

from ._forwarding import UnreadAnswer

# Answers up to this size are not counted while nothing else waits for their caller: the network
# takes them at once.
UNCOUNTED_BYTES = 4 * 1024
# Bytes that wait for a caller from which the host stops reading the answer (the HTTP library's).
PAUSE_BYTES = 64 * 1024
REPORT_INTERVAL = 0.5  # Seconds between two reports while too much is unread.

Report = typing.Callable[[tuple[UnreadAnswer, ...]], None]


class UnreadAnswers:
    """Bytes of all answers that wait in this process for their callers.

    Args:
        limit_bytes: Bytes from which on the answers are reported.
        clock: Returns monotonic time in seconds.
        report: Gets all answers that are not read, at most every `REPORT_INTERVAL`.
    """

    __slots__ = ("_limit_bytes", "_clock", "_report", "_meters", "_total", "_timer")

    def __init__(
        self, *, limit_bytes: int, clock: typing.Callable[[], float], report: Report
    ) -> None:
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._report = report
        self._meters: dict[str, AnswerMeter] = {}
        self._total = 0
        self._timer: asyncio.Handle | None = None

    def meter(self, call_id: str, transport: asyncio.Transport | None) -> "AnswerMeter":
        """Return a meter for the answer to a call."""
        return AnswerMeter(self, call_id, transport)

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self._clock()

    def count(self, meter: "AnswerMeter", change: int) -> None:
        """Count bytes that have come to an answer, or gone from it."""
        self._total += change
        if meter.size:
            self._meters[meter.call_id] = meter
        else:
            self._meters.pop(meter.call_id, None)

    def check(self) -> None:
        """Have the answers reported if they are too many bytes.

        That is left to the event loop: this is called while an answer is written, which a report
        may have cut off.
        """
        if self._total > self._limit_bytes and self._timer is None:
            self._timer = asyncio.get_running_loop().call_soon(self._review)

    def _review(self) -> None:
        """Measure all answers, and report them until they are within the limit."""
        self._timer = None
        for meter in list(self._meters.values()):
            meter.measure()
        if self._total <= self._limit_bytes:
            return
        self._timer = asyncio.get_running_loop().call_later(REPORT_INTERVAL, self._review)
        self._report(tuple(meter.unread() for meter in self._meters.values()))


class AnswerMeter:
    """Measures how much of one answer waits for its caller.

    Attributes:
        call_id: The call.
        size: Bytes that wait, by the last measurement.
    """

    __slots__ = (
        "call_id",
        "size",
        "_all",
        "_transport",
        "_behind",
        "_whole",
        "_coming",
        "_moved_at",
    )

    def __init__(
        self, unread: UnreadAnswers, call_id: str, transport: asyncio.Transport | None
    ) -> None:
        self.call_id = call_id
        self.size = 0
        self._all = unread
        self._transport = transport
        self._behind = 0
        self._whole = 0
        self._coming = 0
        self._moved_at = unread.now()

    def close(self) -> None:
        """Stop counting, as the answer has ended."""
        self._set(0)

    def add(self, size: int, *, behind: int = 0, whole: int = 0) -> None:
        """Count bytes that are about to be written.

        Args:
            size: The bytes.
            behind: Bytes that may wait behind them, in the connection to the endpoint, once the
                host stops reading from there.
            whole: Bytes of the answer if it is kept until its caller has read its end.
        """
        waiting = self._waiting()
        if not waiting and not self.size and size <= UNCOUNTED_BYTES:
            return
        self._behind, self._whole = behind, whole
        if waiting < self._coming:
            self._moved_at = self._all.now()
        self._coming = waiting + size
        self._set(self._held(self._coming))
        self._all.check()

    def measure(self) -> None:
        """Measure how much waits now."""
        waiting = self._waiting()
        if waiting < self._coming:
            self._moved_at = self._all.now()
        self._coming = waiting
        self._set(self._held(waiting))

    def unread(self) -> UnreadAnswer:
        """Return what the last measurement showed."""
        stalled = self._all.now() - self._moved_at
        return UnreadAnswer(call_id=self.call_id, size=self.size, stalled=stalled)

    def _waiting(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def _held(self, waiting: int) -> int:
        if not waiting:
            return 0
        return max(self._whole, waiting + (self._behind if waiting > PAUSE_BYTES else 0))

    def _set(self, size: int) -> None:
        change, self.size = size - self.size, size
        self._all.count(self, change)
