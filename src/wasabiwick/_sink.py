"""Receiver of one call's answer, for which the call's handler waits."""

import asyncio

from ._errors import Failure
from ._output import Output


class CompleteAnswer:
    """A complete answer of a service."""

    __slots__ = ("status", "body", "content_type")

    def __init__(self, *, status: int, body: str, content_type: str) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type


class Closed:
    """Outcome of a call that a newer call replaced: its connection closes without an answer."""

    __slots__ = ()


CLOSED = Closed()


class CallSink:
    """Receives the outcome of a call while its handler waits.

    Attributes:
        output: Output to relay, once attached.
        end: How the call ended, or None while it has not.
    """

    __slots__ = ("output", "end", "_changed")

    def __init__(self) -> None:
        self.output: Output | None = None
        self.end: Failure | CompleteAnswer | Closed | None = None
        self._changed = asyncio.Event()

    def attach(self, output: Output) -> None:
        """Relay this output from its first token on."""
        self.output = output
        self._changed.set()

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure."""
        self._finish(failure)

    def answer(self, status: int, body: str, content_type: str) -> None:
        """Answer with a complete body."""
        self._finish(CompleteAnswer(status=status, body=body, content_type=content_type))

    def close(self) -> None:
        """Close the connection without an answer."""
        self._finish(CLOSED)

    def _finish(self, end: Failure | CompleteAnswer | Closed) -> None:
        # Only a call's first outcome counts, so that no call is answered twice.
        if self.end is None:
            self.end = end
            self._changed.set()
            if self.output:
                self.output.wake()

    async def wait_for_outcome(self) -> None:
        """Wait until the call has ended or has an output to relay."""
        while self.end is None and self.output is None:
            await self._changed.wait()
            self._changed.clear()
