"""Probes of HTTP between hosts and to the log service, with the real clients and peer server."""

import asyncio
import time

import aiohttp
import msgspec
from aiohttp import web

from .._adapters import HttpLogService, HttpPeer
from .._events import Event
from .._peer_server import PeerServer
from .._settings import Timing
from .._wire import Envelope, Heartbeat, LogPage, LogRecord, Owner
from . import fleet
from .fit import REPEATS, Line
from .probe import probe

MESSAGE_COUNTS = (1, 2, 4, 8, 16)
EXCHANGE_COUNT = 300
RECORD_COUNTS = (1, 2, 4, 8, 16)
READ_BYTES = 65_536
OWNER = Owner(host=fleet.host_name(1), incarnation="0123456789ab")


class CountingProxy:
    """TCP proxy that counts the bytes that it forwards in both directions."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.bytes = 0

    async def start(self) -> str:
        """Listen on a free loopback port, and return the proxy's URL for clients to connect to."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self._port)
        for source, target in ((reader, server_writer), (server_reader, writer)):
            self._tasks.add(asyncio.create_task(self._forward(source, target)))

    async def _forward(self, source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
        while data := await source.read(READ_BYTES):
            self.bytes += len(data)
            target.write(data)
        target.close()


class _EventSink:
    """Replacement for the runner that counts events and drops them."""

    def __init__(self) -> None:
        self.received = 0

    def now(self) -> float:
        return 0.0

    def post(self, event: Event) -> None:
        self.received += 1


class LoopbackServer:
    """Context manager that serves a web application on a free loopback port."""

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(app, access_log=None)
        self.port = 0

    async def __aenter__(self) -> "LoopbackServer":
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.port = self._runner.addresses[0][1]
        return self

    async def __aexit__(self, *failure: object) -> None:
        await self._runner.cleanup()


def _envelope(count: int) -> Envelope:
    beats = tuple(
        Heartbeat(owner=OWNER, zone=fleet.ZONE, sequence=number, version=4_400, offset=9_000)
        for number in range(count)
    )
    return Envelope(sender=OWNER, zone=fleet.ZONE, messages=beats)


async def _measure_peers() -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    sizes, seconds = [], []
    async with (
        LoopbackServer(PeerServer(runner=_EventSink()).app()) as server,
        aiohttp.ClientSession() as http,
    ):
        proxy = CountingProxy(server.port)
        proxy_address = await proxy.start()
        peer = HttpPeer(session=http, timing=Timing())
        direct_url = f"http://127.0.0.1:{server.port}"
        for count in MESSAGE_COUNTS:
            envelope = _envelope(count)
            await peer.send(proxy_address, envelope)
            bytes_before = proxy.bytes
            await peer.send(proxy_address, envelope)
            payload = len(msgspec.json.encode(envelope))
            sizes.append((count, float(proxy.bytes - bytes_before - payload)))
            seconds.append((count, await _exchange_seconds(peer, direct_url, envelope) * 1e6))
        await proxy.stop()
    return sizes, seconds


async def _exchange_seconds(peer: HttpPeer, address: str, envelope: Envelope) -> float:
    least_seconds = float("inf")
    for _ in range(REPEATS):
        start_time = time.process_time()
        for _ in range(EXCHANGE_COUNT):
            await peer.send(address, envelope)
        least_seconds = min(least_seconds, time.process_time() - start_time)
    return least_seconds / EXCHANGE_COUNT


@probe("transport")
def transport() -> list[Line]:
    """Measure an HTTP exchange between hosts: both hosts' processor time, and HTTP overhead."""
    sizes, seconds = asyncio.run(_measure_peers())
    unit = "messages per exchange"
    return [
        Line(name="HTTP overhead", x_unit=unit, y_unit="B", points=sizes),
        Line(name="HTTP exchange, both hosts", x_unit=unit, y_unit="us", points=seconds),
    ]


async def _measure_log() -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    pages: dict[int, LogPage] = {}

    async def read(request: web.Request) -> web.Response:
        page = pages[int(request.query["from"])]
        return web.Response(body=msgspec.json.encode(page), content_type="application/json")

    app = web.Application()
    app.router.add_get("/streams/{stream}", read)
    sizes, seconds = [], []
    async with LoopbackServer(app) as server, aiohttp.ClientSession() as http:
        proxy = CountingProxy(server.port)
        proxy_address = await proxy.start()
        for count in RECORD_COUNTS:
            records = tuple(
                LogRecord(offset=number, time=fleet.START_UNIX_S, data="x" * 500)
                for number in range(count)
            )
            pages[count] = LogPage(first=0, end=count, records=records)
            log = HttpLogService(session=http, address=proxy_address, timing=Timing())
            await log.read("configuration", count, 10.0)
            bytes_before = proxy.bytes
            await log.read("configuration", count, 10.0)
            sizes.append((count, float(proxy.bytes - bytes_before)))
            direct_url = f"http://127.0.0.1:{server.port}"
            direct_log = HttpLogService(session=http, address=direct_url, timing=Timing())
            seconds.append((count, await _read_seconds(direct_log, count) * 1e6))
        await proxy.stop()
    return sizes, seconds


async def _read_seconds(log: HttpLogService, count: int) -> float:
    least_seconds = float("inf")
    for _ in range(REPEATS):
        start_time = time.process_time()
        for _ in range(EXCHANGE_COUNT):
            await log.read("configuration", count, 10.0)
        least_seconds = min(least_seconds, time.process_time() - start_time)
    return least_seconds / EXCHANGE_COUNT


@probe("log")
def log_reads() -> list[Line]:
    """Measure a long poll that returns log records of 500 bytes, at client and server together."""
    sizes, seconds = asyncio.run(_measure_log())
    return [
        Line(name="log page with HTTP overhead", x_unit="records", y_unit="B", points=sizes),
        Line(
            name="long poll of the log, client and server",
            x_unit="records",
            y_unit="us",
            points=seconds,
        ),
    ]
