"""Tests of callers' keys with real listeners, hosts, and stand-ins for the platform's endpoints."""

import asyncio
import time
import typing
import unittest

import aiohttp
import msgspec
from loguru import logger

from wasabiwick._adapters._hops import HostHops
from wasabiwick._caller_keys import digest
from wasabiwick._effects_hops import PassOn
from wasabiwick._handlers import organisations, reach
from wasabiwick._hops import Hop
from wasabiwick._hops_codec import RequestHead, decode_request, encode_head
from wasabiwick._ports import Exchange
from wasabiwick.platform._endpoints import PlatformDialect
from wasabiwick.platform._records import decode_route_table

from ._platform import APP, TOPIC_PREFIX, config
from ._processes import until
from ._raw_server import RawServer
from ._two_hosts import TwoHostsTest
from .test_on_platform import EVENTS, Site, SiteTest

KEY = "k-first-0123456789"
NAME = "acme"
NAME_HEADER = "X-Wasabiwick-Tenant"
TENANTS = [{"name": NAME, "api-keys": [KEY, "k-second"]}]
LARGE_BODY_BYTES = 3_000_000
OPEN = {
    "name": "open",
    "host": "example",
    "path-prefix": "/open/",
    "type": "safe",
    "timeout-ms": 5_000,
    "target-latency-ms": 1_000,
    "service": APP,
    "max-attempts": 2,
    "public": True,
}


def with_tenants(version: int, tenants: object = TENANTS) -> dict[str, object]:
    """Return a configuration that names organisations, and has a public route."""
    return {**config(version, **OPEN), "tenants": tenants}


async def put_config(site: Site, version: int, tenants: object = TENANTS) -> None:
    """Write a configuration, and wait until the host has put it in force."""
    await site.store.put(TOPIC_PREFIX + "op", "config", with_tenants(version, tenants))

    async def is_in_force() -> bool:
        return site.state["organisations"].version == version

    await until(is_in_force)


def received(site: Site) -> list[typing.Mapping[str, str]]:
    """Return the headers of all requests that endpoints got."""
    return [headers for one in site.endpoints.values() for _, headers in one.requests]


# Requests until one is sent to a given one of two equal endpoints, between which a host draws.
MAX_REQUESTS = 100


class LiveKeyTest(SiteTest):
    """Base of tests with a host whose configuration names an organisation."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.site.wait_for_feeds()
        await put_config(self.site, 2)
        self.logged: list[str] = []
        sink = logger.add(lambda line: self.logged.append(str(line.record["extra"])))
        self.addCleanup(logger.remove, sink)

    def check_received(self, name: str | None = NAME) -> None:
        """Check that all requests that endpoints got name the organisation, and hold no key."""
        found = received(self.site)
        self.assertTrue(found)
        for headers in found:
            self.assertNotIn("Authorization", headers)
            self.assertEqual(headers.getall(NAME_HEADER, []), [name] if name else [])
            self.assertNotIn(KEY, str(headers))
        self.assertNotIn(KEY, "".join(self.logged))


class TestKeysOnTheWay(LiveKeyTest):
    """No endpoint gets a caller's key or the name that it gives itself; all get the holder's."""

    async def test_plain_request_and_its_retry(self) -> None:
        endpoint = self.site.endpoints["s0"]
        endpoint.failures_left = 1
        for number in range(MAX_REQUESTS):
            if number >= 4 and not endpoint.failures_left:
                break
            self.assertEqual(
                await self.site.status_of("/safe/x", Authorization=f"Token {KEY}"), 200
            )
        self.assertEqual(endpoint.failures_left, 0)
        self.check_received()

    async def test_generation_its_prefill_and_its_resumption(self) -> None:
        self.site.endpoints["d0"].cuts_left = 1
        for _ in range(3):
            async with self.site.request("/stream/x", Authorization=f"Token {KEY}") as resp:
                self.assertEqual(await resp.read(), EVENTS)
        self.assertEqual(self.site.endpoints["d0"].cuts_left, 0)
        self.assertTrue(self.requests_to("p0"))
        self.check_received()

    async def test_forged_name_and_odd_spellings(self) -> None:
        """A name that a caller gave itself was passed on."""
        for headers in (
            {"Authorization": f"Token {KEY}", NAME_HEADER: "forged"},
            {"AUTHORIZATION": f"tOKEN \t {KEY} ", "x-wasabiwick-TENANT": "forged"},
            {"authorization": f"token {KEY}", "Connection": "Authorization, X-Wasabiwick-Tenant"},
        ):
            with self.subTest(headers=headers):
                async with self.site.request("/safe/x", "GET", b"", **headers) as resp:
                    self.assertEqual(resp.status, 200)
        self.check_received()

    async def test_public_route_shows_no_key_and_no_forged_name(self) -> None:
        headers = {"Authorization": "Token unknown", NAME_HEADER: NAME}
        self.assertEqual(await self.site.status_of("/open/x", **headers), 200)
        self.assertEqual(await self.site.status_of("/open/x", **{NAME_HEADER: NAME}), 200)
        self.check_received(name=None)

    async def test_public_route_names_the_holder_of_a_known_key(self) -> None:
        self.assertEqual(await self.site.status_of("/open/x", Authorization=f"Token {KEY}"), 200)
        self.check_received()

    async def test_without_organisations_headers_stay_as_they_are(self) -> None:
        await self.site.store.put(TOPIC_PREFIX + "op", "config", config(3))

        async def none_named() -> bool:
            return not organisations.are_named(self.site.state)

        await until(none_named)
        sent = {"Authorization": "Token any", NAME_HEADER: "own"}
        self.assertEqual(await self.site.status_of("/safe/x", **sent), 200)
        (headers,) = received(self.site)
        self.assertEqual({name: headers[name] for name in sent}, sent)


class TestRefusals(LiveKeyTest):
    """A caller without a known key gets a 401 at once, and nothing of its request is run."""

    async def check_refused(self, *lines: str) -> None:
        """Check that a request with these header lines is answered 401."""
        answer = await self.exchange(
            "POST /unsafe/x HTTP/1.1", *lines, "Content-Length: 4", body=b"body"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 401 "), answer)
        self.assertIn(b"X-Wasabiwick-Attempt-Id: id", answer)
        self.assertEqual(received(self.site), [])

    async def exchange(
        self, *lines: str, body: bytes = b"", rest: typing.Iterable[bytes] = ()
    ) -> bytes:
        """Send a request and return the head of its answer; then send the rest of the body."""
        host, _, port = self.site.daemon.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = [*lines, "Host: example", "X-Wasabiwick-Attempt-Id: id"]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)
        answer = await reader.readuntil(b"\r\n\r\n")
        for piece in rest:
            writer.write(piece)
            await writer.drain()
        if "connection: close" in answer.decode().lower():
            answer += await reader.read()
        writer.close()
        return answer

    async def test_no_key_an_unknown_one_or_several(self) -> None:
        await self.check_refused()
        for value in ("", "Token", "Token unknown", KEY, f"Bearer {KEY}", f"Token {KEY} more"):
            with self.subTest(value=value):
                await self.check_refused(f"Authorization: {value}")
        both = f"Authorization: Token {KEY}"
        await self.check_refused(both, both)
        await self.check_refused(both, "authorization: Token unknown")
        await self.check_refused(f"Authorization: Token {'k' * 8_192}")
        self.assertNotIn(KEY, "".join(self.logged))

    async def test_refused_before_a_large_body_has_come(self) -> None:
        """The whole body was read first; what is left of it must not be taken for a request."""
        smuggled = (
            f"POST /unsafe/y HTTP/1.1\r\nHost: example\r\nAuthorization: Token {KEY}\r\n"
            "X-Wasabiwick-Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        piece = smuggled * 100
        count = LARGE_BODY_BYTES // len(piece)
        answer = await self.exchange(
            "POST /unsafe/x HTTP/1.1",
            f"Content-Length: {count * len(piece)}",
            body=smuggled,
            rest=[piece[len(smuggled) :], *[piece] * (count - 1)],
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 401 "), answer)
        self.assertEqual(answer.count(b"HTTP/1.1 "), 1)
        chunk = b"%x\r\n%s\r\n" % (len(piece), piece)
        answer = await self.exchange(
            "POST /unsafe/x HTTP/1.1",
            "Transfer-Encoding: chunked",
            body=chunk,
            rest=[chunk, b"0\r\n\r\n"],
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 401 "), answer)
        self.assertEqual(answer.count(b"HTTP/1.1 "), 1)
        self.assertEqual(received(self.site), [])

    async def test_body_is_read_where_a_key_or_a_route_allows_it(self) -> None:
        body = b"b" * 200_000
        for path, headers, status in (
            ("/unsafe/x", {"Authorization": f"Token {KEY}"}, 200),
            ("/open/x", {}, 200),
            ("/nowhere/x", {}, 404),
        ):
            with self.subTest(path=path):
                async with self.site.request(path, body=body, **headers) as resp:
                    await resp.read()
                    self.assertEqual(resp.status, status)

    async def test_keys_come_and_go_with_versions(self) -> None:
        new = {"Authorization": "Token k-new"}
        old = {"Authorization": f"Token {KEY}"}
        self.assertEqual(await self.site.status_of("/safe/x", **new), 401)
        await put_config(self.site, 3, [{"name": NAME, "api-keys": ["k-new"]}])
        self.assertEqual(await self.site.status_of("/safe/x", **new), 200)
        self.assertEqual(await self.site.status_of("/safe/x", **old), 401)

    async def test_host_that_starts_while_the_store_is_down_refuses_for_now(self) -> None:
        """Only a host that knows the keys may say that one is unknown."""
        self.site.store.fault = "busy"
        late = await self.site.start_daemon("host-late")
        self.addAsyncCleanup(late.stop)
        async with aiohttp.ClientSession() as session:
            url = f"http://{late.callers}/safe/x"
            headers = {"Host": "example", "X-Wasabiwick-Attempt-Id": "late"}
            async with session.get(url, headers=headers) as resp:
                self.assertEqual(resp.status, 503)
                self.assertIn("Retry-After", resp.headers)
        self.site.store.fault = ""


class TestHopsWithKeys(TwoHostsTest):
    """Another host gets no key, and judges what it is passed, also by a host of an older build."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await put_config(self.site, 2)
        first, second = (host.runner.state for host in self.hosts)

        async def are_ready() -> bool:
            return (
                second["organisations"].version == 2
                and first["neighbours"].hosts["host-b"].routes_version == 2
                and "host-b" in first["hops"].targets
            )

        await until(are_ready)

    async def test_request_through_another_host(self) -> None:
        state = self.site.state
        for service in ("app", "model"):
            state["reach"].services.setdefault(service, reach.Reach()).is_unreached = True
        self.assertEqual(await self.site.status_of("/safe/x", Authorization=f"Token {KEY}"), 200)
        async with self.site.request("/stream/x", Authorization=f"Token {KEY}") as resp:
            self.assertEqual(await resp.read(), EVENTS)
        found = received(self.site)
        self.assertGreaterEqual(len(found), 2)
        for headers in found:
            self.assertNotIn("Authorization", headers)
            self.assertEqual(headers.getall(NAME_HEADER), [NAME])

    async def test_request_that_a_host_of_the_build_before_passes_on(self) -> None:
        """Such a host checks no key, and passes it on as it came."""
        for key, status in ((KEY, 200), ("unknown", 0)):
            with self.subTest(key=key):
                head = OldRequestHead(
                    headers=[
                        (b"Host", b"example"),
                        (b"X-Wasabiwick-Attempt-Id", key.encode()),
                        (b"Authorization", f"Token {key}".encode()),
                        (NAME_HEADER.encode(), b"forged"),
                    ]
                )
                data = encode_head(head) + b"body"
                hops = self.hosts[1].runner.ports.hops
                async with self.site.session.post(
                    f"http://{hops.address}/v1/hops", data=data, headers={"X-Host-Key": hops.key}
                ) as resp:
                    answer = await resp.read()
                fields = msgspec.msgpack.decode(answer[4 : 4 + int.from_bytes(answer[:4])])
                self.assertEqual(fields[0], status)
                if not status:
                    self.assertEqual(fields[4][0], "bad_key")
        (headers,) = received(self.site)
        self.assertNotIn("Authorization", headers)
        self.assertEqual(headers.getall(NAME_HEADER), [NAME])


class OldRequestHead(msgspec.Struct, array_like=True):
    """The head of a hop as hosts of the build before write and read it."""

    method: str = "POST"
    target: str = "/unsafe/x"
    headers: list[tuple[bytes, bytes]] = []
    left_ms: float = 1_000.0
    sender: str = "host-old"
    service: str = APP
    routes_version: int = 2
    build: str = ""
    events: int = 0
    last_event_id: bytes = b""
    avoid: list[str] = []


class HopHost(RawServer):
    """Another host, which keeps what it is passed and closes the connection."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read one request."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        self.data = await reader.readexactly(length)
        writer.close()


class TestPassedHead(unittest.IsolatedAsyncioTestCase):
    """What is passed to another host holds no key, and hosts of the build before can read it."""

    async def pass_on(self, headers: list[tuple[bytes, bytes]], hop: Hop) -> bytes:
        """Return the body of the request by which one is passed on."""
        hops = HostHops(time.monotonic, dialect=PlatformDialect())
        self.addCleanup(hops.close)
        async with HopHost() as host:
            exchange = Exchange(method="GET", target="/x", headers=headers, body=b"")
            effect = PassOn(
                call_id="c",
                endpoint="b",
                address=host.address,
                number=1,
                deadline=0.0,
                quiet=0.0,
                hop=hop,
            )
            await hops.pass_on(exchange, effect, seconds=1.0)
            return host.data

    async def test_head_for_hosts_of_both_builds(self) -> None:
        caller = [
            (b"Host", b"example"),
            (b"Authorization", f"Token {KEY}".encode()),
            (b"Connection", b"x-wasabiwick-tenant, host"),
            (NAME_HEADER.encode(), b"forged"),
        ]
        hop = Hop(
            sender="a",
            service=APP,
            routes_version=2,
            key=digest(KEY.encode()),
            organisation=NAME,
            fingerprints=("request:1",),
        )
        data = await self.pass_on(caller, hop)
        self.assertNotIn(KEY.encode(), data)
        head, _ = decode_request(data)
        self.assertEqual(head.hop(), hop)
        old = msgspec.msgpack.decode(data[4:], type=OldRequestHead)
        # That build sends them to endpoints, except those that "Connection" names.
        self.assertEqual(
            old.headers, [(b"Host", b"example"), (NAME_HEADER.lower().encode(), NAME.encode())]
        )

    async def test_without_organisations_headers_are_passed_as_they_came(self) -> None:
        caller = [(b"Host", b"example"), (b"Authorization", b"any"), (b"Connection", b"x")]
        data = await self.pass_on(caller, Hop(sender="a", service=APP, routes_version=2))
        self.assertEqual(decode_request(data)[0].headers, caller)

    def test_head_of_the_build_before_is_read(self) -> None:
        old = OldRequestHead(headers=[(b"Host", b"example")])
        head, _ = decode_request(encode_head(old))
        self.assertEqual((head.key, head.organisation, head.fingerprints), ("", None, []))
        self.assertIsInstance(head, RequestHead)


class TestOrganisationRecords(unittest.TestCase):
    """An organisation that can't be read costs its own callers, not the configuration."""

    def decode(self, tenants: object) -> object:
        """Return the route table of a configuration with these organisations."""
        return decode_route_table(msgspec.json.encode(with_tenants(2, tenants)))

    def test_whole_record(self) -> None:
        table = self.decode(
            [
                {
                    "name": NAME,
                    "api-keys": [KEY],
                    "priority": 1,
                    "unit": "token_stream",
                    "plain-tokens": 200,
                    "rate-per-s": 10,
                    "burst": 20.5,
                }
            ]
        )
        (found,) = table.organisations
        self.assertEqual(
            (found.name, found.keys, found.priority), (NAME, (digest(KEY.encode()),), 1)
        )
        limit = found.limit
        self.assertEqual(
            (limit.rate, limit.burst, limit.counts_tokens, limit.plain_tokens),
            (10, 20.5, True, 200),
        )
        self.assertTrue(table.routes[-1].public)
        self.assertFalse(table.routes[0].public)

    def test_no_rate_is_no_limit(self) -> None:
        for rate in ({}, {"rate-per-s": 0}, {"rate-per-s": None}):
            with self.subTest(rate=rate):
                (found,) = self.decode([{"name": NAME, "api-keys": [KEY], **rate}]).organisations
                self.assertIsNone(found.limit)

    def test_odd_fields_cost_that_organisation_alone(self) -> None:
        odd = (
            {"name": 5},
            {"name": ""},
            {"name": "a\r\nX-Wasabiwick-Stage: prefill"},
            {"priority": "high"},
            {"priority": True},
            {"unit": 3},
            {"plain-tokens": -1},
            {"rate-per-s": -5},
            {"rate-per-s": "many"},
            {"burst": []},
        )
        for fields in odd:
            with self.subTest(fields=fields):
                table = self.decode([{"name": "odd", "api-keys": ["k-odd"], **fields}, *TENANTS])
                self.assertEqual([one.name for one in table.organisations], [NAME])
                self.assertEqual(table.unread_keys, (digest(b"k-odd"),))

    def test_unreadable_keys_leave_it_open_which_keys_are_unknown(self) -> None:
        for record in (7, None, [], {"name": "odd", "api-keys": [1]}, {"api-keys": "k"}):
            with self.subTest(record=record):
                table = self.decode([record, *TENANTS])
                self.assertEqual([one.name for one in table.organisations], [NAME])
                self.assertIsNone(table.unread_keys)

    def test_field_that_is_no_list_of_organisations(self) -> None:
        for tenants in (5, "x", {"name": NAME}, True):
            with self.subTest(tenants=tenants):
                table = self.decode(tenants)
                self.assertEqual((table.organisations, table.unread_keys), ((), None))
        self.assertIsNone(self.decode(None).organisations)
        self.assertEqual(self.decode([]).organisations, ())

    def test_route_is_public_only_if_that_is_clear(self) -> None:
        for public in ("true", 1, None, [], {}):
            with self.subTest(public=public):
                value = {**config(2, **{**OPEN, "public": public}), "tenants": TENANTS}
                self.assertFalse(decode_route_table(msgspec.json.encode(value)).routes[-1].public)

    def test_no_log_line_holds_a_key(self) -> None:
        logged: list[str] = []
        sink = logger.add(lambda line: logged.append(str(line.record["extra"])))
        self.addCleanup(logger.remove, sink)
        for record in ({"name": 5, "api-keys": [KEY]}, {"name": KEY, "api-keys": KEY}, KEY):
            self.decode([record])
        self.assertTrue(logged)
        self.assertNotIn(KEY, "".join(logged))
