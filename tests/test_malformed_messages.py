"""Tests that no message, however malformed, stops a host or the feeds that it lives on."""

import asyncio
import contextlib
import random
import types
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from wasabiwick import _events, _reducer
from wasabiwick._adapters._datagrams import FeedNews, LoadDatagram, UdpDatagrams
from wasabiwick._hops_codec import decode_request
from wasabiwick._read_turns import ReadTurns
from wasabiwick.platform import _feeds, _records

from ._forward import Host
from .test_on_platform import Site

ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda one: strategies.lists(one, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=4), one, max_size=3),
    max_leaves=12,
)
FIELDS = len(LoadDatagram.__struct_fields__)
SEEDED = hypothesis.settings(max_examples=300, deadline=None, derandomize=True)


class DatagramCase(unittest.TestCase):
    """Base with a host whose reducer gets each datagram that could be decoded."""

    def setUp(self) -> None:
        self.host = Host()
        self.reduced = 0
        self.datagrams = UdpDatagrams("127.0.0.1:0")
        self.datagrams._runner = types.SimpleNamespace(
            now=lambda: self.host.now,
            post=self._reduce,
            ports=types.SimpleNamespace(turns=ReadTurns(1.0)),
        )

    def _reduce(self, event: _events.Event) -> None:
        self.reduced += 1
        list(_reducer.reduce(self.host.state, event))

    def receive(self, data: bytes) -> None:
        """Let the host get a datagram; any error but those that it handles fails the test."""
        self.datagrams.datagram_received(data, ("127.0.0.1", 1))


class TestDatagrams(DatagramCase):
    """Datagrams of any bytes are dropped, or change what a host knows of its sender only."""

    def test_any_bytes(self) -> None:
        @SEEDED
        @hypothesis.given(strategies.binary(max_size=200))
        def check(data: bytes) -> None:
            self.receive(data)

        check()

    def test_any_values(self) -> None:
        @SEEDED
        @hypothesis.given(strategies.lists(ANYTHING, max_size=FIELDS) | ANYTHING)
        def check(value: object) -> None:
            self.receive(msgspec.msgpack.encode(value))

        check()

    def test_absurd_numbers_of_the_right_types(self) -> None:
        """Such datagrams are decoded, so that the handlers have to bear them."""
        number = strategies.integers(-(2**40), 2**40)
        name = strategies.text(max_size=6)
        loads = strategies.dictionaries(
            name,
            strategies.tuples(
                number, number, strategies.lists(strategies.tuples(number, number, number))
            ),
            max_size=3,
        )
        times = strategies.dictionaries(name, number, max_size=3)

        @SEEDED
        @hypothesis.given(number, strategies.booleans(), times, loads)
        def check(sequence: int, stopping: bool, busy: dict, all_loads: dict) -> None:
            fields = ["b", "1", "zone-a", "b:1", sequence, stopping, busy, all_loads]
            self.receive(msgspec.msgpack.encode(fields))
            self.host.ask("stream")

        check()
        self.assertGreater(self.reduced, 0)

    def test_cut_and_changed_datagrams(self) -> None:
        """What a faulty link makes of a sound datagram."""
        rng = random.Random(1)
        fields = ["b", "1", "zone-a", "b:1", 1, False, {"d0": 1}, {"d0": (1, 2, [(3, 4, 5)])}]
        news = FeedNews(feed="routes", era=0, after=1, upto=2, records=[("k", b"v", 1)])
        for sound in (msgspec.msgpack.encode(fields), msgspec.msgpack.encode(news)):
            for _ in range(500):
                data = bytearray(sound)
                data[rng.randrange(len(data))] = rng.randrange(256)
                self.receive(bytes(data[: rng.randrange(1, len(data) + 1)]))


class TestDecoders(unittest.TestCase):
    """Decoders of what others write raise nothing but the error that their callers handle."""

    def test_records_of_the_store(self) -> None:
        decoders = (
            _records.decode_route_table,
            lambda value: _records.decode_endpoint("e", value),
            _records.decode_streams_record,
            lambda value: _records.decode_findings("h", value, 0.0),
            _records.decode_claim,
        )

        @SEEDED
        @hypothesis.given(strategies.binary(max_size=60) | ANYTHING.map(repr).map(str.encode))
        def check(data: bytes) -> None:
            for decode in decoders:
                with contextlib.suppress(msgspec.MsgspecError):  # The feeds log it and go on.
                    decode(data)

        check()

    def test_requests_of_other_hosts(self) -> None:
        @SEEDED
        @hypothesis.given(strategies.binary(max_size=120))
        def check(data: bytes) -> None:
            with contextlib.suppress(msgspec.MsgspecError):  # The sender is answered 400.
                decode_request(data)

        check()

    def test_pages_of_the_list_of_endpoints(self) -> None:
        page = types.SimpleNamespace(
            records=[
                types.SimpleNamespace(key="e", value=value, offset=number)
                for number, value in enumerate((b"", b"{", b"null", b'{"service": 3}', None))
            ],
            next=9,
        )
        event = _feeds.decode_endpoints(0.0, page, True)
        self.assertEqual([one.endpoint for one in event.listings], [None] * 5)


class TestRawCallers(unittest.IsolatedAsyncioTestCase):
    """Bytes that are no request end their own connection, and the host serves on."""

    async def test_host_serves_on(self) -> None:
        site = Site()
        await self.enterAsyncContext(site.run())
        await site.wait_for_feeds()
        rng = random.Random(1)
        host, _, port = site.daemon.callers.rpartition(":")
        bad = [
            b"\x00\xff\x16\x03\x01" * 20,
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: example\r\nContent-Length: -1\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n",
            *(rng.randbytes(200) + b"\r\n\r\n" for _ in range(20)),
        ]
        for data in bad:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            writer.write_eof()
            async with asyncio.timeout(30.0):
                with contextlib.suppress(ConnectionError):  # The host may reset the connection.
                    await reader.read()
            writer.close()
        self.assertEqual(await site.status_of("/safe/x"), 200)
