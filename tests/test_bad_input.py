"""Tests that malformed requests are refused clearly and disturb no other caller."""

import asyncio
import json
import random
import unittest
import urllib.parse

import aiohttp

from wasabiwick._load._caller import Ask, Caller, OutputTimer
from wasabiwick._load._measure import Tally

from ._processes import Processes
from ._small_site import API_KEY, MODEL, SmallSite

MAX_BODY_BYTES = 10_000
HEADER_TIMEOUT = 0.5  # Seconds that a caller may take for the headers, and again for the body.
READ_TIMEOUT = 10.0  # Seconds in which the host must close the connection.
BODY = json.dumps({"model": MODEL, "prompt": "p", "max_tokens": 3})


class TestBadInput(unittest.IsolatedAsyncioTestCase):
    """A malformed request gets a 4xx with ``NOT_RUN``, and another caller's stream continues.

    A request that is half-closed before it is complete gets at least no 200.
    """

    async def asyncSetUp(self) -> None:
        processes = Processes()
        self.addAsyncCleanup(processes.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.site = SmallSite(processes=processes, session=self.session)
        self.addCleanup(self.site.close)
        limits = {"max_body_bytes": MAX_BODY_BYTES, "header_timeout": HEADER_TIMEOUT}
        await self.site.start("--step", "0.05", engines=1, limits=limits)

    def caller(self) -> Caller:
        return Caller(
            session=self.session,
            addresses=[self.site.url],
            key=API_KEY,
            tally=Tally(),
            rng=random.Random(1),
            deadline=float("inf"),
        )

    async def post(self, body: str, **headers: str) -> tuple[int, dict]:
        headers = {"Authorization": f"Bearer {API_KEY}", **headers}
        url = f"{self.site.url}/v1/completions"
        async with self.session.post(url, data=body, headers=headers) as resp:
            return resp.status, await resp.json()

    async def send_raw(self, data: bytes, *, eof: bool = False) -> bytes:
        """Send bytes on a new connection, and return all bytes until it is closed."""
        address = urllib.parse.urlsplit(self.site.url)
        reader, writer = await asyncio.open_connection(address.hostname, address.port)
        writer.write(data)
        if eof:
            writer.write_eof()
        try:
            return await asyncio.wait_for(reader.read(), READ_TIMEOUT)
        finally:
            writer.close()

    def request(self, *headers: bytes, body: bytes = b"") -> bytes:
        lines = [b"POST /v1/completions HTTP/1.1", b"Host: h", *headers, b"", body]
        return b"\r\n".join(lines)

    def assert_refused(self, answer: tuple[int, dict], status: int) -> None:
        self.assertEqual(answer[0], status)
        self.assertEqual(answer[1]["error"]["verdict"], "NOT_RUN")

    def assert_raw_refused(self, answer: bytes, status: int) -> None:
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertRegex(head, rb"^HTTP/1\.[01] %d " % status)
        self.assertIn(b"X-Verdict: NOT_RUN", head)
        self.assertEqual(json.loads(body)["error"]["verdict"], "NOT_RUN")

    async def test_malformed_requests_are_refused_while_a_stream_continues(self) -> None:
        caller = self.caller()
        ask = Ask(content="other caller", max_tokens=100, model=MODEL)
        other = asyncio.create_task(caller.attempt(ask, OutputTimer(caller.tally)))
        with self.subTest("malformed JSON"):
            self.assert_refused(await self.post('{"model": '), 400)
        with self.subTest("not UTF-8"):
            self.assert_refused(await self.post(b'{"model": "\xff"}'), 400)
        with self.subTest("wrong types"):
            self.assert_refused(await self.post('{"model": 3, "prompt": []}'), 400)
        with self.subTest("oversized body"):
            self.assert_refused(await self.post(json.dumps({"prompt": "x" * MAX_BODY_BYTES})), 413)
        with self.subTest("unknown model"):
            self.assert_refused(await self.post(BODY.replace(MODEL, "nothing")), 404)
        with self.subTest("wrong key"):
            self.assert_refused(await self.post(BODY, Authorization="Bearer wrong"), 401)
        with self.subTest("bad timeout"):
            self.assert_refused(await self.post(BODY, **{"X-Request-Timeout": "soon"}), 400)
        with self.subTest("bad header bytes"):
            answer = await self.send_raw(self.request(b"X-Bad: \x00\x01", b"Content-Length: 0"))
            self.assert_raw_refused(answer, 400)
        with self.subTest("oversized header"):
            answer = await self.send_raw(self.request(b"X-Long: " + b"x" * 20_000))
            self.assert_raw_refused(answer, 400)
        with self.subTest("bad length"):
            self.assert_raw_refused(await self.send_raw(self.request(b"Content-Length: many")), 400)
        with self.subTest("slow headers"):
            self.assert_raw_refused(
                await self.send_raw(b"POST /v1/completions HTTP/1.1\r\nHost:"), 408
            )
        with self.subTest("slow body"):
            length = b"Content-Length: 100"
            self.assert_raw_refused(await self.send_raw(self.request(length, body=b"{")), 408)
        with self.subTest("half-closed in the headers"):
            answer = await self.send_raw(b"POST /v1/completions HTTP/1.1\r\nHost:", eof=True)
            self.assertNotIn(b"200", answer)
        with self.subTest("half-closed in the body"):
            length = b"Content-Length: 100"
            answer = await self.send_raw(self.request(length, body=b"{"), eof=True)
            self.assertNotIn(b"200", answer)
        reply = await other
        self.assertEqual(reply.text, ask.expected())
        self.assertIsNone(self.site.host.proc.returncode)
