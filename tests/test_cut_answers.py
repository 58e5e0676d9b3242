"""Tests of engines that stop at any byte of an answer's head or of what frames its body.

An answer that was cut off never reaches its caller as a whole one, and a request whose answer was
cut off is never called not run.
"""

import asyncio
import contextlib
import time
import typing
import unittest

from wasabiwick._adapters._hops import HostHops
from wasabiwick._effects_hops import PassOn
from wasabiwick._errors import Failure
from wasabiwick._handlers import builds, reach
from wasabiwick._hops import Hop
from wasabiwick._hops_codec import AnswerHead, encode_head
from wasabiwick._http1 import BrokenAnswerError
from wasabiwick._ports import Exchange
from wasabiwick._verdict import Verdict
from wasabiwick.platform._endpoints import PlatformDialect

from ._cut_engine import (
    BODY,
    EVENTS,
    FRAMINGS,
    RESET_DELAY_S,
    SEAL,
    CutEngine,
    encode_answer,
    head_fields,
    reset,
)
from ._platform import APP, MODEL, TOPIC_PREFIX, Endpoint
from ._processes import until
from ._raw_server import RawServer
from .test_on_platform import Site

# Statuses that promise that a request was not run.
PROMISES = (408, 421, 429, 503)
# Bytes of a body that does not fit into the buffers of a connection.
LONG_BODY = b"x" * 3_000_000


class CutSite(Site):
    """A site whose only engines are raw ones: ``s0`` plain, ``d0`` decode, and ``p0`` prefill."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoints: dict[str, Endpoint] = {}
        self.engines = {
            name: CutEngine(name, stage)
            for name, stage in (("s0", ""), ("d0", "decode"), ("d1", "decode"), ("p0", "prefill"))
        }

    def rewrite_settings(self, change: typing.Callable[[str], str]) -> None:
        """Change the settings; the budget for retries is one that these tests can't use up."""
        super().rewrite_settings(
            lambda text: change(text).replace("budget-slack = 52", "budget-slack = 1000000")
        )

    async def list_engines(self) -> None:
        """Start the engines, and list them in the store."""
        for name, engine in self.engines.items():
            entry = engine.entry(MODEL if engine.stage else APP)
            await self.store.put(TOPIC_PREFIX + "servers", name, entry)

    def forgive(self) -> None:
        """Forget that engines failed, so that the next request goes there."""
        self.state["health"].endpoints.clear()
        self.state["places"].unstable_until.clear()


class CutAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a site of engines that cut answers off."""

    async def asyncSetUp(self) -> None:
        # The debug mode of the tests' loop takes most of the time of thousands of requests.
        asyncio.get_running_loop().set_debug(False)
        self.site = CutSite()
        await self.enterAsyncContext(self.site.run())
        for engine in self.site.engines.values():
            await self.enterAsyncContext(engine)
        await self.site.list_engines()
        await until(self._has_read_all)
        self.host = self.site.daemon
        self.sent = 0

    async def _has_read_all(self) -> bool:
        return len(self.site.state["directory"].endpoints) == len(self.site.engines)

    async def remove(self, *names: str) -> None:
        """Remove engines from the list."""
        for name in names:
            await self.site.store.put(TOPIC_PREFIX + "servers", name, None)
            del self.site.engines[name]
        await until(self._has_read_all)

    async def ask(
        self, path: str, body: bytes = b"body", **headers: str
    ) -> tuple[int, bytes, dict[str, str], bool]:
        """Send a request; returns status, body, headers, and whether the answer is whole.

        The status is 0 if there was no whole head.
        """
        self.sent += 1
        fields = {
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"id{self.sent}",
            "X-Wasabiwick-Deadline-Ms": "5000",
            "Content-Length": str(len(body)),
            "Connection": "close",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if path.startswith("/stream/"):
            fields |= {"X-Wasabiwick-Token-Count": "100,60", "X-Wasabiwick-Model": "m"}
        host, _, port = self.host.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields), "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        data = bytearray()
        was_reset = False
        try:
            while piece := await reader.read(65_536):
                data += piece
        except ConnectionError:
            was_reset = True
        writer.close()
        return self._read(bytes(data), was_reset)

    def _read(self, data: bytes, was_reset: bool) -> tuple[int, bytes, dict[str, str], bool]:
        head, blank, rest = data.partition(b"\r\n\r\n")
        if not blank:
            return 0, b"", {}, False
        lines = head.decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        status = int(lines[0].split(" ")[1])
        if "content-length" in fields:
            return status, rest, fields, len(rest) == int(fields["content-length"])
        if fields.get("transfer-encoding") != "chunked":
            return status, rest, fields, not was_reset
        body = b""
        while True:
            size, _, rest = rest.partition(b"\r\n")
            if not size:
                return status, body, fields, False
            count = int(size, 16)
            if not count:
                return status, body, fields, rest == b"\r\n"
            body, rest = body + rest[:count], rest[count + 2 :]

    def check(
        self, found: tuple[int, bytes, dict[str, str], bool], *, expected: bytes, ran: bool
    ) -> None:
        """Check that an answer is the engine's whole one, or looks like none."""
        status, body, fields, is_whole = found
        if 200 <= status < 300 and is_whole:
            self.assertEqual(body, expected)
            self.assertEqual(fields["x-wasabiwick-response-seal"], SEAL)
        elif 200 <= status < 300:
            self.assertTrue(expected.startswith(body), body)
        if ran:
            self.assertNotIn(status, PROMISES)


class TestPlainAnswers(CutAnswerTest):
    """A plain answer that was cut off never looks whole."""

    async def sweep(
        self,
        *,
        framing: str,
        resets: typing.Callable[[int], bool],
        kept: bool = False,
        early: bool = False,
    ) -> None:
        """Cut an answer off at each of its bytes, except where it may end by a close."""
        engine = self.site.engines["s0"]
        engine.framing, engine.is_early, engine.cut_kind = framing, early, "plain"
        self.assertEqual((await self.ask("/unsafe/x"))[0], 200)
        head_bytes = engine.uncut_bytes - (len(BODY) if framing == "close" else 0)
        for cut in range(engine.uncut_bytes):
            engine.resets = resets(cut)
            if cut >= head_bytes and not engine.resets:
                continue  # A body without a length may end anywhere.
            with self.subTest(framing=framing, resets=engine.resets, cut=cut):
                if kept:
                    self.assertEqual((await self.ask("/unsafe/x"))[:2], (200, BODY))
                self.site.forgive()
                engine.cuts = [cut]
                found = await self.ask("/unsafe/x", LONG_BODY if early else b"body")
                self.assertFalse(200 <= found[0] < 300, found)
                self.check(found, expected=BODY, ran=True)
                self.assertEqual(engine.cuts, [])
                # The first cut comes behind a whole answer in any case.
                self.assertTrue(engine.was_kept == kept or not cut)
        self.assertEqual(len({attempt for attempt, _ in engine.runs}), len(engine.runs))

    async def test_cut_by_a_close(self) -> None:
        for framing in FRAMINGS:
            await self.sweep(framing=framing, resets=lambda cut: False)

    async def test_cut_by_a_reset(self) -> None:
        for framing in FRAMINGS:
            await self.sweep(framing=framing, resets=lambda cut: True)

    async def test_cut_on_a_kept_connection(self) -> None:
        for framing in ("length", "chunks"):
            await self.sweep(framing=framing, resets=lambda cut: cut % 2 == 0, kept=True)

    async def test_cut_before_the_request_was_sent_whole(self) -> None:
        await self.sweep(framing="length", resets=lambda cut: cut % 2 == 0, early=True)

    async def test_reset_before_the_request_was_sent_whole(self) -> None:
        """A part of an answer without a length, reset within an upload, came as a whole answer."""
        for framing in ("close", "chunks"):
            await self.sweep(framing=framing, resets=lambda cut: True, early=True)

    async def test_safe_request_gets_the_whole_answer_of_the_next_try(self) -> None:
        other = CutEngine("s1")
        await self.enterAsyncContext(other)
        await self.site.store.put(TOPIC_PREFIX + "servers", "s1", other.entry(APP))
        await until(self._has_read_s1)
        engines = (self.site.engines["s0"], other)
        for one in engines:
            one.cut_kind = "plain"
        self.assertEqual((await self.ask("/safe/x"))[0], 200)
        cut = 0
        while cut < max(one.uncut_bytes for one in engines):
            with self.subTest(cut=cut):
                self.site.forgive()
                for one in engines:
                    one.cuts, one.resets = [cut], cut % 2 == 0
                for _ in engines:
                    found = await self.ask("/safe/x")
                    self.check(found, expected=BODY, ran=False)
                engines[0].cuts = engines[1].cuts = []
                self.assertEqual((await self.ask("/safe/x"))[:2], (200, BODY))
            cut += 1
        self.assertGreater(cut, len(BODY))

    async def _has_read_s1(self) -> bool:
        return "s1" in self.site.state["directory"].endpoints


# Heads and what follows them, none of which is an answer.
NO_ANSWERS = {
    "status 000": b"HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\npart",
    "status 000 without a length": b"HTTP/1.1 000 \r\n\r\n",
    "status below the first one": b"HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n\r\npart",
    "status above the last one": b"HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\npart",
    "interim answer with a body": b"HTTP/1.1 199 Odd\r\nContent-Length: 4\r\n\r\npart",
}


class TestStatusesThatAreNone(CutAnswerTest):
    """What has no status of HTTP is no answer, and nothing of it gets into another one."""

    async def test_alone(self) -> None:
        """A status 000 was waited on until the connection ended; one of 600 came as an answer."""
        engine = self.site.engines["s0"]
        engine.cut_kind, engine.framing = "plain", "close"
        for name, stray in NO_ANSWERS.items():
            with self.subTest(name):
                self.site.forgive()
                engine.strays, engine.cuts = [stray], [stray]
                found = await self.ask("/unsafe/x")
                self.assertEqual(found[0], 502)
                self.assertNotIn("x-wasabiwick-response-seal", found[2])
                self.assertNotIn(b"part", found[1])

    async def test_before_an_answer(self) -> None:
        """The body behind a status 000 came as the beginning of the next answer's body."""
        engine = self.site.engines["s0"]
        engine.cut_kind = "plain"
        for name, stray in NO_ANSWERS.items():
            with self.subTest(name):
                self.site.forgive()
                engine.strays = [stray]
                found = await self.ask("/unsafe/x")
                self.assertEqual(found[0], 502)
                self.assertNotIn("x-wasabiwick-response-seal", found[2])

    async def test_before_a_stream(self) -> None:
        engine = self.site.engines["d0"]
        engine.cut_kind = "stream"
        await self.remove("d1")
        for name, stray in NO_ANSWERS.items():
            with self.subTest(name):
                self.site.forgive()
                engine.strays = [stray]
                status, body, _, is_whole = await self.ask("/stream/x")
                if is_whole and status == 200:
                    self.assertEqual(body, EVENTS)
                self.assertNotIn(b"HTTP/1.1", body)


class TestHeadsBehindCutHeads(CutAnswerTest):
    """A head that was cut off is not read on into the head of the answer that follows it.

    A faulty engine may write a part of an earlier answer once more on a kept connection. The rest
    of the line in which it stops would then be the status line of the next answer.
    """

    FIELDS = (
        b"Date: Sat, 05 Dec 2026 09:00:00 GMT\r\nServer: engine\r\n"
        b"X-Wasabiwick-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"
    )

    async def sweep(self, head: bytes) -> None:
        """Write each part of a head before the whole answer to a request."""
        engine = self.site.engines["s0"]
        engine.cut_kind = "plain"
        for cut in range(1, len(head) + 1):
            engine.fails = False
            self.site.forgive()
            self.assertEqual((await self.ask("/unsafe/x"))[0], 200)
            for fails in (False, True):
                engine.fails = fails
                engine.strays = [head[:cut]]
                with self.subTest(written=head[:cut], fails=fails):
                    self.site.forgive()
                    found = await self.ask("/unsafe/x")
                    self.check(found, expected=BODY, ran=True)
                    if fails:
                        self.assertFalse(200 <= found[0] < 300, found)
                    self.assertEqual(engine.strays, [])

    async def test_refusal(self) -> None:
        """A request that had run was called not run."""
        await self.sweep(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Wasabiwick-Not-Executed: 1\r\n" + self.FIELDS
        )

    async def test_success(self) -> None:
        """A failure of the engine came as a success, or a success with another answer's seal."""
        await self.sweep(b"HTTP/1.1 200 OK\r\nX-Wasabiwick-Response-Seal: old\r\n" + self.FIELDS)


class TestStreams(CutAnswerTest):
    """A stream, and what is done before it, survives an answer that was cut off, or breaks off."""

    async def sweep(
        self,
        names: tuple[str, ...],
        kind: str,
        *,
        framing: str = "length",
        **headers: str,
    ) -> int:
        """Cut an answer of one kind off at each byte; returns how many streams came whole.

        Args:
            names: The engines that cut answers off.
            kind: Which answers are cut off.
            framing: How the end of answers is told.
            **headers: Headers of the requests.
        """
        engines = [self.site.engines[name] for name in names]
        for engine in self.site.engines.values():
            engine.framing, engine.cut_kind = framing, kind
        self.assertEqual((await self.ask("/stream/x", **headers))[0], 200)
        last = max(engine.uncut_bytes for engine in self.site.engines.values())
        expected = EVENTS[EVENTS.index(b"id: 2") :] if headers else EVENTS
        whole = 0
        for cut in range(last):
            resets = cut % 2 == 0
            for engine in engines:
                engine.resets, engine.cuts = resets, [cut]
            with self.subTest(kind=kind, framing=framing, cut=cut):
                self.site.forgive()
                status, body, fields, is_whole = await self.ask("/stream/x", **headers)
                if status == 200:
                    self.assertTrue(expected.startswith(body), body)
                    self.assertEqual(fields["x-wasabiwick-response-seal"], SEAL)
                # By the pages, a stream without a length that is closed behind an event is whole.
                ends_by_close = framing == "close" and not resets and body.endswith(b"\n\n")
                if status == 200 and is_whole and not ends_by_close:
                    self.assertEqual(body, expected)
                whole += status == 200 and is_whole and body == expected
        return whole

    async def test_hold_and_prefill(self) -> None:
        for names, kind in ((("d0", "d1"), "hold"), (("p0",), "prefill")):
            self.assertGreater(await self.sweep(names, kind), 0)

    async def test_stream(self) -> None:
        for framing in FRAMINGS:
            self.assertGreater(await self.sweep(("d0",), "stream", framing=framing), 0)

    async def test_stream_that_its_caller_takes_up(self) -> None:
        # A host that has watched the builds for that long knows by which a stream was begun.
        self.site.state["builds"].watched_since -= builds.MIN_KEEP_TIME_S
        for framing in FRAMINGS:
            found = await self.sweep(("d0",), "stream", framing=framing, Last_Event_Id="1")
            self.assertGreater(found, 0)


class TestResumedTries(CutAnswerTest):
    """A stream that goes on in its answer is whole only if its last try was."""

    async def resume(self, framing: str, cut: int | bytes, *, resets: bool) -> None:
        """Cut a stream off in its second event, and then its resumption."""
        cuts: list[int | bytes] = [b"id: 2\nda", cut]
        for name in ("d0", "d1"):
            engine = self.site.engines[name]
            engine.framing, engine.cut_kind, engine.resets = framing, "stream", resets
            engine.cuts = cuts
        with self.subTest(framing=framing, cut=cut, resets=resets):
            self.site.forgive()
            status, body, _, is_whole = await self.ask("/stream/x")
            self.assertEqual(status, 200)
            self.assertTrue(EVENTS.startswith(body), body)
            if is_whole:
                self.assertEqual(body, EVENTS)
            self.assertEqual(cuts, [])

    async def test_cut_within_the_head_of_the_resumed_try(self) -> None:
        head = encode_answer(
            ["X-Wasabiwick-Attempt-Id: id1", f"X-Wasabiwick-Response-Seal: {SEAL}"], b"", "length"
        )
        for framing in FRAMINGS:
            for cut in range(len(head)):
                await self.resume(framing, cut, resets=cut % 2 == 0)

    async def test_closed_behind_the_head_of_the_resumed_try(self) -> None:
        """Without a length, the stream was taken for whole though its rest had not come."""
        for framing in FRAMINGS:
            for resets in (False, True):
                await self.resume(framing, b"\r\n\r\n", resets=resets)


class TestThroughAnotherHost(CutAnswerTest):
    """An answer that was cut off looks no more whole through another host."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.other = await self.site.start_daemon("host-b")
        self.addAsyncCleanup(self.other.stop)
        await until(self._know_each_other)

    async def _know_each_other(self) -> bool:
        state = self.site.state
        return (
            len(self.other.runner.state["directory"].endpoints) == len(self.site.engines)
            and "host-b" in state["neighbours"].hosts
            and "host-b" in state["hops"].targets
        )

    def forgive(self, service: str) -> None:
        """Forget failures, and that the first host reaches the service."""
        self.site.forgive()
        self.other.runner.state["health"].endpoints.clear()
        self.other.runner.state["places"].unstable_until.clear()
        state = self.site.state
        state["hops"].avoid_until.clear()
        state["reach"].services.setdefault(service, reach.Reach()).is_unreached = True

    async def test_plain_answer(self) -> None:
        engine = self.site.engines["s0"]
        engine.cut_kind = "plain"
        for framing in ("length", "chunks"):
            engine.framing = framing
            self.forgive(APP)
            self.assertEqual((await self.ask("/unsafe/x"))[:2], (200, BODY))
            for cut in range(engine.uncut_bytes):
                with self.subTest(framing=framing, cut=cut):
                    self.forgive(APP)
                    engine.cuts, engine.resets = [cut], cut % 2 == 0
                    found = await self.ask("/unsafe/x")
                    self.assertFalse(200 <= found[0] < 300, found)
                    self.check(found, expected=BODY, ran=True)

    async def test_stream_and_its_resumption(self) -> None:
        engines = [self.site.engines[name] for name in ("d0", "d1")]
        for engine in engines:
            engine.cut_kind = "stream"
        self.forgive(MODEL)
        self.assertEqual((await self.ask("/stream/x"))[:2], (200, EVENTS))
        last = max(engine.uncut_bytes for engine in engines)
        for cut in range(last):
            cuts: list[int | bytes] = [b"id: 2\nda", cut] if cut % 2 else [cut]
            for engine in engines:
                engine.cuts, engine.resets = cuts, cut % 4 < 2
            with self.subTest(cut=cut):
                self.forgive(MODEL)
                status, body, _, is_whole = await self.ask("/stream/x")
                if status == 200:
                    self.assertTrue(EVENTS.startswith(body), body)
                if status == 200 and is_whole:
                    self.assertEqual(body, EVENTS)


class TestAnswersOfHosts(unittest.IsolatedAsyncioTestCase):
    """What another host answers is cut off with it, wherever it stops."""

    async def test_cut_at_each_byte(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        hops = HostHops(time.monotonic, dialect=PlatformDialect())
        self.addCleanup(hops.close)
        head = AnswerHead(status=200, headers=[(b"a", b"b")], streams=False, build="v1")
        for framing in ("length", "chunks"):
            whole = encode_answer([], encode_head(head) + BODY, framing)
            self.assertEqual(await self._pass_on(hops, whole, resets=False), BODY)
            for cut in range(len(whole)):
                with self.subTest(framing=framing, cut=cut):
                    found = await self._pass_on(hops, whole[:cut], resets=cut % 2 == 0)
                    self.assertIs(found, Verdict.MAY_HAVE_RUN)

    async def _pass_on(self, hops: HostHops, answer: bytes, *, resets: bool) -> bytes | Verdict:
        """Return the body that came whole, or else the verdict on the request."""
        exchange = Exchange(method="POST", target="/x", headers=[], body=b"body")
        async with CutHost(answer, resets=resets) as host:
            effect = PassOn(
                call_id="c",
                endpoint=host.address,
                address=host.address,
                number=1,
                deadline=0.0,
                quiet=0.0,
                hop=Hop(sender="a", service=APP, routes_version=1),
            )
            found = await hops.pass_on(exchange, effect, seconds=5.0)
            if isinstance(found, Failure):
                return found.verdict
            try:
                return await found.body()
            except BrokenAnswerError:
                return Verdict.MAY_HAVE_RUN
            finally:
                found.release()


class CutHost(RawServer):
    """A host that sends given bytes and closes or resets the connection."""

    def __init__(self, answer: bytes, *, resets: bool) -> None:
        super().__init__()
        self._answer = answer
        self._resets = resets

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head_fields(head)["content-length"]))
            writer.write(self._answer)
            await writer.drain()
            if self._resets:
                await asyncio.sleep(RESET_DELAY_S)
                reset(writer)
            else:
                writer.close()
