"""Tests that no message, however malformed, stops a host or the feeds that it lives on."""

import asyncio
import contextlib
import random
import types
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from wasabiwick import _decoding, _events, _reducer, _saved_codec
from wasabiwick._adapters._datagrams import FeedNews, LoadDatagram, UdpDatagrams
from wasabiwick._hops_codec import decode_request
from wasabiwick._hosts_codec import decode_host
from wasabiwick._read_turns import ReadTurns
from wasabiwick._topics import KeyedRecord
from wasabiwick.platform import _feeds, _records

from ._forward import Host
from ._platform import ENTRY, ODD_ENTRIES, entry
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
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from((10**400, -(10**400), 2**63, 2**53 + 1, 65_536))
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
    | strategies.sampled_from(("10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:²", "name:80", ":80")),
    lambda one: strategies.lists(one, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=4), one, max_size=3),
    max_leaves=6,
)
FIELDS = len(LoadDatagram.__struct_fields__)
SEEDED = hypothesis.settings(max_examples=300, deadline=None, derandomize=True)


def load_fields(address: str = "10.0.0.2:1") -> list[object]:
    """Return the first fields of a sound datagram; the others may be left out."""
    return ["b", "1", "zone-a", address, 1, False, {"d0": 1}, {"d0": (1, 2, [(3, 4, 5)])}]


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

    def test_wrong_address_is_refused_each_time(self) -> None:
        """Right addresses are remembered as checked; a wrong one never counts as such."""
        for address in ("10.0.0.2:1", "nowhere:1", "nowhere:1", "10.0.0.2:0", "10.0.0.2:0"):
            self.receive(msgspec.msgpack.encode(load_fields(address)))
        self.assertEqual(self.reduced, 1)

    def test_nested_too_deeply(self) -> None:
        """An error that the receiver did not expect reached the event loop."""
        fields = load_fields()
        nested = b"\x91" * 50_000 + b"\x01"
        # A field that is not known to this version follows those that are.
        array_head = bytes([0x90 + FIELDS + 1]) if FIELDS < 15 else bytes([0xDC, 0, FIELDS + 1])
        rest = [[], {}, [], [], [], [], [], 0, [], {}, {}, []]
        known = b"".join(map(msgspec.msgpack.encode, fields + rest))
        self.assertEqual(len(fields + rest), FIELDS)
        self.receive(array_head + known + nested)
        self.receive(b"\x82\xa4type\xa4feed\xa1x" + nested)
        self.assertEqual(self.reduced, 0)

    def test_address_that_cannot_be_sent_to_is_not_learned(self) -> None:
        """An address without a valid port failed the sending to all other hosts."""
        for address in ("10.0.0.1:70000", "10.0.0.1:", "somewhere:80", ""):
            self.receive(msgspec.msgpack.encode(load_fields(address)))
        self.assertEqual(self.reduced, 0)
        self.receive(msgspec.msgpack.encode(load_fields()))
        self.assertEqual(self.reduced, 1)

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
            fields = load_fields()[:4] + [sequence, stopping, busy, all_loads]
            self.receive(msgspec.msgpack.encode(fields))
            self.host.ask("stream")

        check()
        self.assertGreater(self.reduced, 0)

    def test_cut_and_changed_datagrams(self) -> None:
        """What a faulty link makes of a sound datagram."""
        rng = random.Random(1)
        fields = load_fields()
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
            lambda value: _saved_codec.decode_streams_record(value, 0.0),
            lambda value: _saved_codec.decode_findings("h", value, 0.0),
            _saved_codec.decode_claim,
        )

        @SEEDED
        @hypothesis.given(strategies.binary(max_size=60) | ANYTHING.map(repr).map(str.encode))
        def check(data: bytes) -> None:
            for decode in decoders:
                with contextlib.suppress(msgspec.MsgspecError):  # The feeds log it and go on.
                    decode(data)

        check()

    def test_odd_entries_name_no_endpoint_and_the_others_hold(self) -> None:
        """One entry nested too deeply ended the feed again and again, at every host."""
        records = [KeyedRecord(key="good", value=entry(), offset=0)]
        for number, value in enumerate(ODD_ENTRIES, 1):
            records.append(KeyedRecord(key=f"odd{number}", value=value, offset=number))
        page = types.SimpleNamespace(records=records, next=len(records))
        event = _feeds.decode_endpoints(0.0, page, True)
        self.assertEqual([one.name for one in event.listings if one.endpoint], ["good"])
        for record in records:
            _feeds.listed_content(record)

    def test_any_value_in_a_field_of_an_entry(self) -> None:
        """What is taken as an endpoint can be placed at, connected to and told to other hosts."""

        @SEEDED
        @hypothesis.given(strategies.sampled_from(sorted(ENTRY)), JSON)
        def check(field: str, value: object) -> None:
            record = KeyedRecord(key="e", value=entry(**{field: value}), offset=1)
            page = types.SimpleNamespace(records=[record], next=2)
            found = _feeds.decode_endpoints(0.0, page, False).listings[0].endpoint
            if found is None:
                return
            host = Host(endpoints=(found,))
            host.ask("safe")
            host.ask("stream")
            host.feed(_events.EndpointLeaving, endpoint=found.name, sent_at=host.now)
            msgspec.msgpack.encode((found.born, found.slots, found.cold))
            _decoding.check_address(found.address)

        check()

    def test_odd_records_of_hosts(self) -> None:
        nested = b'{"x":' + b"[" * 2_000
        huge = b"9" * 400

        def decode_streams(value: bytes) -> object:
            return _saved_codec.decode_streams_record(value, 0.0)

        for decode, value in (
            (_records.decode_route_table, nested),
            (decode_streams, nested),
            (
                decode_streams,
                b'{"saved_ms": 1, "builds": {}, "streams": [["t", "m", "v", %s]]}' % huge,
            ),
            (
                decode_streams,
                b'{"saved_ms": %s, "builds": {}, "streams": []}' % huge,
            ),
            (lambda data: _saved_codec.decode_findings("h", data, 0.0), b'{"saved_ms": %s}' % huge),
            (_saved_codec.decode_claim, nested),
            (decode_host, nested),
            (decode_host, b'{"address": "10.0.0.1:70000", "zone": "z"}'),
        ):
            with self.subTest(value=value[:40]), self.assertRaises(msgspec.MsgspecError):
                decode(value)

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
