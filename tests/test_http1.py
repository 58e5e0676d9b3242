"""Tests of connections to endpoints, against endpoints that misbehave byte by byte."""

import asyncio
import socket
import struct
import time
import unittest

from wasabiwick._event_stream import EventSplitter
from wasabiwick._http1 import (
    BrokenAnswerError,
    Connection,
    ConnectionPool,
    NotSentError,
    encode_request,
)

from ._processes import until

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"
REQUEST = encode_request("POST", "/a%2Fb?c=%20", [(b"Host", b"h")], b"body")


class Endpoint:
    """A server that sends given bytes for each request and then does what the test says."""

    def __init__(self, answer: bytes, then: str = "keep") -> None:
        self.answer = answer
        self.then = then
        self.requests: list[bytes] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> "Endpoint":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()
        for writer in self.writers:
            writer.close()

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        while data := await reader.read(65_536):
            self.requests.append(data)
            writer.write(self.answer)
            await writer.drain()
            if self.then == "close":
                writer.close()
                return
            if self.then == "reset":
                await asyncio.sleep(0.05)  # The answer has to arrive before the reset.
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Helpers for one request over a pool."""

    def setUp(self) -> None:
        self.pool = ConnectionPool(time.monotonic)

    def tearDown(self) -> None:
        self.pool.close()

    async def ask(self, endpoint: Endpoint, name: str = "e") -> tuple[int, bytes]:
        """Send a request and return status and whole body."""
        conn = await self.pool.acquire(name, endpoint.address)
        try:
            conn.send(REQUEST)
            await conn.head()
            return conn.status, await conn.body()
        finally:
            self.pool.release(name, endpoint.address, conn)


class TestRequest(ConnectionTest):
    """A request goes out as it came in."""

    async def test_path_query_and_body_are_untouched(self) -> None:
        async with Endpoint(WHOLE) as endpoint:
            self.assertEqual(await self.ask(endpoint), (200, b"ok"))
        head, _, body = endpoint.requests[0].partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"POST /a%2Fb?c=%20 HTTP/1.1\r\n"))
        self.assertEqual(body, b"body")

    async def test_no_listener_means_nothing_was_sent(self) -> None:
        async with Endpoint(WHOLE) as endpoint:
            address = endpoint.address
        with self.assertRaises(NotSentError):
            await self.pool.acquire("e", address)


class TestKeptConnections(ConnectionTest):
    """A connection is kept after a clean answer only, and for its own endpoint."""

    async def test_a_clean_one_is_used_again(self) -> None:
        async with Endpoint(WHOLE) as endpoint:
            await self.ask(endpoint)
            await self.ask(endpoint)
            self.assertEqual(endpoint.connections, 1)

    async def test_another_endpoint_at_the_address_gets_a_new_one(self) -> None:
        async with Endpoint(WHOLE) as endpoint:
            await self.ask(endpoint, "e")
            await self.ask(endpoint, "other")
            self.assertEqual(endpoint.connections, 2)

    async def test_a_second_answer_ends_the_connection(self) -> None:
        """It would otherwise be taken for the answer of the next request."""
        async with Endpoint(WHOLE + WHOLE.replace(b"ok", b"no")) as endpoint:
            self.assertEqual(await self.ask(endpoint), (200, b"ok"))
            endpoint.answer = WHOLE
            self.assertEqual(await self.ask(endpoint), (200, b"ok"))
            self.assertEqual(endpoint.connections, 2)

    async def test_bytes_that_come_while_idle_end_the_connection(self) -> None:
        async with Endpoint(WHOLE) as endpoint:
            await self.ask(endpoint)
            endpoint.writers[0].write(WHOLE.replace(b"ok", b"no"))
            (kept,) = self.pool._idle[("e", endpoint.address)]
            await until(lambda: self._is_lost(kept))
            self.assertEqual(await self.ask(endpoint), (200, b"ok"))
            self.assertEqual(endpoint.connections, 2)

    async def _is_lost(self, conn: Connection) -> bool:
        return not conn.is_usable(time.monotonic())

    async def test_connection_close_is_kept_to(self) -> None:
        answer = WHOLE.replace(b"Keep-Alive: timeout=9", b"Connection: close")
        async with Endpoint(answer) as endpoint:
            await self.ask(endpoint)
            await self.ask(endpoint)
            self.assertEqual(endpoint.connections, 2)

    async def test_a_stated_time_is_kept_to(self) -> None:
        now = 0.0
        self.pool = ConnectionPool(lambda: now)
        async with Endpoint(WHOLE) as endpoint:
            await self.ask(endpoint)
            now = 9.0
            await self.ask(endpoint)
            self.assertEqual(endpoint.connections, 2)

    async def test_an_answer_before_the_whole_request_was_sent_ends_the_connection(self) -> None:
        async with Endpoint(WHOLE) as endpoint:
            conn = await self.pool.acquire("e", endpoint.address)
            conn.send(REQUEST)
            await conn.head()
            await conn.body()
            conn.transport.pause_reading()
            sock = conn.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            endpoint.writers[0].transport.pause_reading()
            conn.transport.write(b"x" * 8_000_000)  # The rest of a long body, not read yet.
            self.pool.release("e", endpoint.address, conn)
            self.assertTrue(conn.transport.is_closing())


class TestBrokenAnswers(ConnectionTest):
    """What is not whole is never taken for whole."""

    async def test_cut_in_the_body(self) -> None:
        async with Endpoint(WHOLE[:-1], "close") as endpoint:
            with self.assertRaises(BrokenAnswerError):
                await self.ask(endpoint)

    async def test_cut_in_a_chunked_body(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        async with Endpoint(answer, "close") as endpoint:
            with self.assertRaises(BrokenAnswerError):
                await self.ask(endpoint)

    async def test_closed_without_an_answer(self) -> None:
        async with Endpoint(b"", "close") as endpoint:
            with self.assertRaises(BrokenAnswerError):
                await self.ask(endpoint)

    async def test_no_length_and_a_clean_end_is_whole(self) -> None:
        async with Endpoint(UNFRAMED, "close") as endpoint:
            self.assertEqual(await self.ask(endpoint), (200, b"ok"))

    async def test_no_length_and_a_reset_is_not_whole(self) -> None:
        async with Endpoint(UNFRAMED, "reset") as endpoint:
            with self.assertRaises(BrokenAnswerError):
                await self.ask(endpoint)

    async def test_bytes_that_are_no_answer(self) -> None:
        async with Endpoint(b"nonsense\r\n\r\n") as endpoint:
            with self.assertRaises(BrokenAnswerError):
                await self.ask(endpoint)

    async def test_an_interim_answer_is_passed_over(self) -> None:
        async with Endpoint(b"HTTP/1.1 102 Processing\r\n\r\n" + WHOLE) as endpoint:
            self.assertEqual(await self.ask(endpoint), (200, b"ok"))


class TestEventSplitter(unittest.TestCase):
    """Events go on whole, however the bytes are cut."""

    EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

    def test_every_cut(self) -> None:
        for cut in range(len(self.EVENTS) + 1):
            splitter = EventSplitter()
            out = splitter.feed(self.EVENTS[:cut]) + splitter.feed(self.EVENTS[cut:])
            self.assertEqual(out, self.EVENTS)
            self.assertEqual((splitter.events, splitter.last_id), (2, b"2"))

    def test_an_event_that_broke_off_is_kept_back(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n")
        self.assertEqual((splitter.events, splitter.last_id), (1, b"1"))
        self.assertEqual(splitter.rest, b"id: 2\nda")

    def test_an_id_in_data_is_no_id(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: id: 9\n\n")
        self.assertEqual(splitter.last_id, b"1")
