"""Tests of endpoints that write a refusal or an answer once more on a connection that is kept.

The copy must never be taken for the answer to the next request: its caller would be told that it
has not run, or it would run at a second endpoint.
"""

import asyncio
import contextlib
import time
import unittest

from wasabiwick._effects_forwarding import Forward
from wasabiwick._errors import Failure
from wasabiwick._ports import Exchange
from wasabiwick._verdict import Verdict
from wasabiwick.platform._endpoints import PlatformEndpoints

from ._raw_server import RawServer

PAUSE = 0.02  # Seconds between writes that have to arrive apart.
ENDPOINT = "e"


class RepeatingEndpoint(RawServer):
    """Refuses the first request and runs all others; writes the refusal twice.

    Attributes:
        runs: Attempt identifiers of the requests that it ran.

    Args:
        when: When the copy is written: ``glued`` to the refusal, ``soon`` after it, while the
            connection ``rests``, ``instead`` of the next answer, which follows it, ``split`` into
            one part that comes at rest and one with the next request, or ``never``.
        names_attempt: Whether refusals bear the identifier of their request.
    """

    def __init__(self, when: str, *, names_attempt: bool = True) -> None:
        super().__init__()
        self.when = when
        self.names_attempt = names_attempt
        self.runs: list[str] = []
        self.refusal = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Refuse or run each request."""
        copy = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                attempt = _header(head, "X-Wasabiwick-Attempt-Id")
                await reader.readexactly(int(_header(head, "Content-Length")))
                if self.refusal:
                    writer.write(copy)
                    await writer.drain()
                    await asyncio.sleep(PAUSE)
                    copy = b""
                    self.runs.append(attempt)
                    writer.write(_answer("200 OK", attempt, "X-Wasabiwick-Response-Seal: s"))
                    continue
                named = attempt if self.names_attempt else ""
                self.refusal = _answer(
                    "503 Service Unavailable", named, "X-Wasabiwick-Not-Executed: 1"
                )
                copy = await self._refuse(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The router may close the connection at any time.

    async def _refuse(self, writer: asyncio.StreamWriter) -> bytes:
        """Write the refusal, and return what is to be written before the next answer."""
        half = len(self.refusal) // 2
        at_once = self.refusal if self.when == "glued" else b""
        later = {"soon": self.refusal, "rests": self.refusal, "split": self.refusal[:half]}
        writer.write(self.refusal + at_once)
        await writer.drain()
        if self.when in later:
            await asyncio.sleep(0 if self.when == "soon" else PAUSE)
            writer.write(later[self.when])
        return {"instead": self.refusal, "split": self.refusal[half:]}.get(self.when, b"")


def _header(head: bytes, name: str) -> str:
    for line in head.decode().split("\r\n"):
        key, _, value = line.partition(": ")
        if key.lower() == name.lower():
            return value
    return ""


def _answer(status: str, attempt: str, header: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", header, "Content-Length: 2"]
    if attempt:
        lines.append(f"X-Wasabiwick-Attempt-Id: {attempt}")
    return "\r\n".join([*lines, "", "ok"]).encode()


class RepeatingAnswers(RepeatingEndpoint):
    """Answers each request, and writes the answer once more before the answer to the next one."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request; the copy comes in the place of the next answer."""
        before = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                attempt = _header(head, "X-Wasabiwick-Attempt-Id")
                await reader.readexactly(int(_header(head, "Content-Length")))
                self.runs.append(attempt)
                answer = _answer(self.when, attempt, "X-Wasabiwick-Response-Seal: s")
                writer.write(before or answer)
                await writer.drain()
                before = answer


class RepeatedCase(unittest.IsolatedAsyncioTestCase):
    """Base with endpoints' calls, and a helper that sends one request."""

    def setUp(self) -> None:
        self.endpoints = PlatformEndpoints(time.monotonic)
        self.addCleanup(self.endpoints.close)

    async def send(self, endpoint: RepeatingEndpoint, attempt: str) -> str:
        """Send a request; return ``answered``, or else its verdict."""
        exchange = Exchange(
            method="POST",
            target="/a",
            headers=[(b"X-Wasabiwick-Attempt-Id", attempt.encode())],
            body=b"body",
        )
        effect = Forward(
            call_id="c",
            endpoint=ENDPOINT,
            address=endpoint.address,
            number=1,
            deadline=0.0,
            connections=8,
        )
        answer = await self.endpoints.forward(exchange, effect, seconds=5.0)
        if isinstance(answer, Failure):
            return answer.verdict.value
        try:
            await answer.body()
        finally:
            answer.release()
        return Verdict.NOT_RUN.value if answer.not_run else "answered"


class TestRepeatedAnswers(RepeatedCase):
    """An answer that is written twice never reaches the next caller."""

    async def test_next_caller_never_gets_the_copy(self) -> None:
        for status in ("200 OK", "500 Internal Server Error"):
            with self.subTest(status=status):
                async with RepeatingAnswers(status) as endpoint:
                    self.assertEqual(await self.send(endpoint, "first"), "answered")
                    verdict = await self.send(endpoint, "second")
                    self.assertEqual(verdict, Verdict.MAY_HAVE_RUN.value)
                    self.assertEqual(endpoint.runs, ["first", "second"])


class TestRepeatedRefusals(RepeatedCase):
    """A refusal that is written twice never makes a request that runs look refused."""

    async def test_next_request_is_never_told_not_run(self) -> None:
        for when in ("glued", "soon", "rests", "instead", "split", "never"):
            for second in ("second", "first"):  # The same attempt may come to the endpoint again.
                for names_attempt in (True, False):
                    with self.subTest(when=when, second=second, names_attempt=names_attempt):
                        await self.play(when, second, names_attempt=names_attempt)

    async def play(self, when: str, second: str, *, names_attempt: bool) -> None:
        async with RepeatingEndpoint(when, names_attempt=names_attempt) as endpoint:
            self.assertEqual(await self.send(endpoint, "first"), Verdict.NOT_RUN.value)
            await asyncio.sleep(0 if when in ("glued", "soon") else 2 * PAUSE)
            self.assertEqual(await self.send(endpoint, second), "answered")
            self.assertEqual(endpoint.runs, [second])
            self.assertEqual(endpoint.connections, 2)

    async def test_refusal_without_a_name_on_a_used_connection_proves_nothing(self) -> None:
        async with RepeatingEndpoint("never", names_attempt=False) as endpoint:
            endpoint.refusal = b"none yet"
            self.assertEqual(await self.send(endpoint, "first"), "answered")
            endpoint.refusal = b""
            self.assertEqual(await self.send(endpoint, "second"), Verdict.MAY_HAVE_RUN.value)
            self.assertEqual(endpoint.connections, 1)
