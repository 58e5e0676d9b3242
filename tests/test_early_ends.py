"""Tests of answers without a length whose connection ends while the request is still sent."""

import asyncio
import contextlib
import socket
import struct
import time
import typing
import unittest

import aiohttp

from wasabiwick._adapters import HttpService
from wasabiwick._errors import Failure
from wasabiwick._http1 import BrokenAnswerError, ConnectionPool, encode_request
from wasabiwick._settings import Timing
from wasabiwick._verdict import Verdict

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part"
PART = b"a part"
UPLOAD = b"x" * 20_000_000  # More than the sockets of both sides hold.
SMALL = b"x" * 1_000
READ_BYTES = 65_536
# The end of the answer has to arrive before the reset, which would discard it.
RESET_DELAY_S = 0.05

Ending = typing.Callable[[socket.socket], typing.Awaitable[None]]


async def reset(sock: socket.socket) -> None:
    """Reset the connection."""
    await asyncio.sleep(RESET_DELAY_S)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def end_and_reset(sock: socket.socket) -> None:
    """End the answer, and reset the connection later."""
    sock.shutdown(socket.SHUT_WR)
    await reset(sock)


async def end_and_read(sock: socket.socket) -> None:
    """End the answer, and read the rest of the request."""
    sock.shutdown(socket.SHUT_WR)
    while await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
        pass


@contextlib.asynccontextmanager
async def answering(ending: Ending) -> typing.AsyncIterator[str]:
    """Serve one request: answer its first bytes, and end the connection in some way."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)

        async def serve() -> None:
            sock, _ = await loop.sock_accept(listener)
            with sock:
                await loop.sock_recv(sock, READ_BYTES)
                await loop.sock_sendall(sock, ANSWER)
                await ending(sock)

        task = asyncio.create_task(serve())
        host, port = listener.getsockname()
        yield f"{host}:{port}"
        await task


class TestEndsWithinTheRequest(unittest.IsolatedAsyncioTestCase):
    """The answer is complete only if the connection was not reset."""

    async def ask(self, ending: Ending, upload: bytes) -> bytes | None:
        """Return the body, or None if the answer is not complete."""
        pool = ConnectionPool(time.monotonic)
        self.addCleanup(pool.close)
        async with answering(ending) as address:
            conn = await pool.acquire("e", address)
            conn.send(encode_request("POST", "/", [(b"Host", b"h")], upload))
            try:
                await conn.head()
                return await conn.body()
            except BrokenAnswerError:
                return None
            finally:
                pool.release("e", address, conn)

    async def test_reset_answer_is_not_complete(self) -> None:
        for upload in (SMALL, UPLOAD):
            with self.subTest(len(upload)):
                self.assertIsNone(await self.ask(reset, upload))

    async def test_answer_reset_behind_its_end_is_not_complete(self) -> None:
        """A part of an answer came as a whole one, as its end arrived before the reset."""
        self.assertIsNone(await self.ask(end_and_reset, UPLOAD))

    async def test_answer_that_ends_before_the_request_is_complete(self) -> None:
        for upload in (SMALL, UPLOAD):
            with self.subTest(len(upload)):
                self.assertEqual(await self.ask(end_and_read, upload), PART)


class TestOwnInterface(unittest.IsolatedAsyncioTestCase):
    """The same holds for services behind our own interface."""

    async def call(self, ending: Ending, upload: bytes) -> object:
        """Return a service's answer, or the failure."""
        async with answering(ending) as address, aiohttp.ClientSession() as session:
            return await HttpService(session=session, timing=Timing()).call(
                f"http://{address}",
                method="POST",
                path="/join",
                body=upload,
                content_type="text/plain",
                key="k",
                fence=-1,
                timeout=5.0,
            )

    async def test_reset_answer_is_not_complete(self) -> None:
        for ending in (reset, end_and_reset):
            with self.subTest(ending.__name__):
                answer = await self.call(ending, UPLOAD)
                self.assertIsInstance(answer, Failure)
                self.assertIs(answer.verdict, Verdict.MAY_HAVE_RUN)

    async def test_answer_that_ends_behind_a_short_request_is_complete(self) -> None:
        answer = await self.call(end_and_read, SMALL)
        self.assertEqual((answer.status, answer.body), (200, PART.decode()))
