"""Tests of endpoints that send bytes without end, in the head or the body of an answer."""

import asyncio
import contextlib
import time
import typing
import unittest

import aiohttp

from wasabiwick._adapters import HttpEngine, HttpService
from wasabiwick._errors import Failure
from wasabiwick._event_stream import MAX_EVENT_BYTES, EventSplitter
from wasabiwick._http1 import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    BrokenAnswerError,
    ConnectionPool,
    encode_request,
)
from wasabiwick._settings import Timing
from wasabiwick._verdict import Verdict
from wasabiwick._wire import ResumeAsk

from ._cut_engine import BODY, EVENTS, SEAL
from ._processes import until
from .test_cut_answers import CutAnswerTest

REQUEST = encode_request("GET", "/", [(b"Host", b"h")], b"")
OK = b"HTTP/1.1 200 OK\r\n"
RESUME = ResumeAsk(request_id="r", attempt_id="a", owner="o")
DEADLINE_MS = (
    "700"  # Of requests that are answered without end, so that no other try is waited for.
)
BLOCK = 16_384  # Bytes of each write.
# Bytes that a server's and a client's sockets may hold beside what the client has taken.
SOCKET_BYTES = 16 * 1024 * 1024


class Endpoint:
    """A server that sends a beginning, and then the same bytes until its caller closes."""

    def __init__(self, beginning: bytes, repeated: bytes) -> None:
        self._beginning = beginning
        self._block = repeated * (BLOCK // len(repeated))
        self.sent_bytes = 0
        self.was_closed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def serving(self) -> typing.AsyncIterator[str]:
        """Serve on a free port, and yield its address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f"{host}:{port}"
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._beginning)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(self._block)
                await writer.drain()
                self.sent_bytes += len(self._block)
                await asyncio.sleep(0)
        writer.close()
        self.was_closed.set()


HEADS = {
    "one line": (OK + b"X-Long: ", b"a"),
    "many lines": (OK, b"X-Many: a\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "no answer": (b"", b"\x00\xff"),
    "status line": (b"HTTP/1.1 200 ", b"OK"),
}
BODIES = {
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n"),
    "chunk size": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n4;", b"x"),
    "trailers": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Many: a\r\n"),
    "no length": (OK + b"\r\n", b"abcd"),
    "huge length": (OK + b"Content-Length: 999999999999\r\n\r\n", b"abcd"),
    "behind the answer": (OK + b"Content-Length: 2\r\n\r\nok", b"abcd"),
}


# The same behind a head that is an engine's, of a plain answer or of a stream.
SEALED = OK + b"X-Wasabiwick-Attempt-Id: ATTEMPT\r\nX-Wasabiwick-Response-Seal: %b\r\n" % (
    SEAL.encode()
)
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
SEALED_BODIES = {
    f"{name} of {kind}": (beginning.replace(OK, head), repeated)
    for name, (beginning, repeated) in BODIES.items()
    for kind, head in (("an answer", SEALED), ("a stream", SEALED + EVENT_STREAM))
}


class TestEndlessAnswers(unittest.IsolatedAsyncioTestCase):
    """An answer that does not end is broken off before it fills the memory."""

    async def receive(self, beginning: bytes, repeated: bytes) -> tuple[bytes | None, int]:
        """Return the body that was received, None if the answer was broken, and the bytes sent."""
        endpoint = Endpoint(beginning, repeated)
        pool = ConnectionPool(time.monotonic)
        self.addCleanup(pool.close)
        async with endpoint.serving() as address:
            conn = await pool.acquire("e", address)
            body = None
            with contextlib.suppress(BrokenAnswerError):
                conn.send(REQUEST)
                await conn.head()
                body = await conn.body()
            pool.release("e", address, conn)
            await endpoint.was_closed.wait()
        return body, endpoint.sent_bytes

    async def test_endless_head_is_broken_off(self) -> None:
        for name, (beginning, repeated) in HEADS.items():
            with self.subTest(name):
                body, sent_bytes = await self.receive(beginning, repeated)
                self.assertIsNone(body)
                self.assertLess(sent_bytes, MAX_HEAD_BYTES + SOCKET_BYTES)

    async def test_endless_body_is_broken_off(self) -> None:
        for name, (beginning, repeated) in BODIES.items():
            with self.subTest(name):
                body, sent_bytes = await self.receive(beginning, repeated)
                self.assertIn(body, (None, b"ok"))
                self.assertLess(sent_bytes, MAX_BODY_BYTES + SOCKET_BYTES)


class TestWholeHost(CutAnswerTest):
    """An engine that sends bytes without end costs its own request alone, whatever it was asked."""

    async def check_endless(
        self, path: str, name: str, kind: str, cases: dict[str, tuple[bytes, bytes]]
    ) -> None:
        """Send requests that an engine answers without end, and check that others are served."""
        engine = self.site.engines[name]
        engine.cut_kind = kind
        for case, (beginning, repeated) in cases.items():
            with self.subTest(case, kind=kind):
                self.site.forgive()
                engine.endless, engine.endless_bytes = (beginning, repeated), 0
                status, body, _, is_whole = await self.ask(
                    path, X_Wasabiwick_Deadline_Ms=DEADLINE_MS
                )
                await until(self._has_no_calls)
                self.assertGreater(engine.endless_bytes, 0)
                self.assertLess(engine.endless_bytes, MAX_BODY_BYTES + SOCKET_BYTES)
                if 200 <= status < 300 and is_whole:
                    self.assertIn(body, (BODY, EVENTS, b"ok"))
                engine.endless = None
                self.site.forgive()
                self.assertEqual((await self.ask(path))[0], 200)

    async def _has_no_calls(self) -> bool:
        return not self.host.runner.forwarded_calls

    async def test_plain_answer(self) -> None:
        await self.check_endless("/unsafe/x", "s0", "plain", HEADS | BODIES | SEALED_BODIES)

    async def test_stream(self) -> None:
        await self.remove("d1")
        await self.check_endless("/stream/x", "d0", "stream", HEADS | SEALED_BODIES)

    async def test_prefill(self) -> None:
        await self.check_endless("/stream/x", "p0", "prefill", HEADS | BODIES)

    async def test_hold(self) -> None:
        await self.remove("d1")
        await self.check_endless("/stream/x", "d0", "hold", HEADS | BODIES)


class TestOwnInterface(unittest.IsolatedAsyncioTestCase):
    """Endpoints behind our own interface may send bytes without end, too."""

    async def test_endless_answer_of_a_service_is_broken_off(self) -> None:
        for name, (beginning, repeated) in BODIES.items():
            with self.subTest(name):
                endpoint = Endpoint(beginning, repeated)
                async with endpoint.serving() as address, aiohttp.ClientSession() as session:
                    answer = await HttpService(session=session, timing=Timing()).call(
                        f"http://{address}",
                        method="POST",
                        path="/join",
                        body=b"member",
                        content_type="text/plain",
                        key="k",
                        fence=-1,
                        timeout=1.0,
                    )
                if isinstance(answer, Failure):
                    self.assertIs(answer.verdict, Verdict.MAY_HAVE_RUN)
                else:
                    self.assertEqual(answer.body, "ok")
                # The client library keeps nothing of a chunk's head, which the time-out ends.
                if name not in ("chunk size", "chunk extension"):
                    self.assertLess(endpoint.sent_bytes, MAX_BODY_BYTES + SOCKET_BYTES)

    async def test_endless_line_of_a_stream_is_broken_off(self) -> None:
        endpoint = Endpoint(*BODIES["no length"])
        async with endpoint.serving() as address, aiohttp.ClientSession() as session:
            engine = HttpEngine(session=session, timing=Timing())
            batches = [one async for one in engine.resume(f"http://{address}", RESUME)]
        self.assertIsInstance(batches[-1], Failure)
        self.assertLess(endpoint.sent_bytes, MAX_BODY_BYTES + SOCKET_BYTES)


class TestEndlessEvent(unittest.TestCase):
    """An event that does not end is broken off."""

    def test_event_without_end_is_refused(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(BrokenAnswerError):
            for _ in range(10_000):
                splitter.feed(b"x" * 1_000)
        self.assertLess(len(splitter.rest), 2 * MAX_EVENT_BYTES)

    def test_ends_of_events_are_found_wherever_bytes_are_split(self) -> None:
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\r\n\n"
        whole = EventSplitter()
        expected = whole.feed(data)
        for first in range(len(data)):
            for second in range(first, len(data)):
                splitter = EventSplitter()
                pieces = (data[:first], data[first:second], data[second:])
                found = b"".join(splitter.feed(piece) for piece in pieces)
                self.assertEqual((found, splitter.events), (expected, whole.events))
                self.assertEqual(splitter.last_id, whole.last_id)
