"""Stand-ins and helpers of the cases of the third review: hosts, engines, a store and callers.

They follow the users' pages. A host is the project's own program, started as the deploy file says.
"""

import asyncio
import contextlib
import itertools
import logging
import os
import pathlib
import re
import signal
import sys
import tempfile
import time
import typing

import aiohttp
from aiohttp import web

from tests import _platform
from tests._platform import APP, MODEL, TOPIC_PREFIX, Endpoint, Store, serving

SERVERS = TOPIC_PREFIX + "servers"
PATIENCE_S = 4.0  # Four times the objective: a gap after which a caller gives a stream up.
HEARTBEAT_S = 1.2  # `heartbeat-ms` of the small deployments.
REPO = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
_hosts = itertools.count(1)
_ids = itertools.count(1)

# As `fleetbench wire` prints it for lectio-tx, with addresses and ports for this machine.
SETTINGS = """
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "tx-central"
internal-ports = [0, 0]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[listen]
frontend = "{ip}:0"
readiness = "{ip}:0"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 150
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
budget-slack = 52
recover-s = 12
transit-ms = 120
retry-after-s = 5.9
fencing-enforced = false
lease-ms = 3000
thaw-ms = 300
[platform]
address = "{store}"
form = "log"
writes-per-s = 400
reads-per-s = 2000
keep_s = 300
"""


class Record:
    """The record of a run, beside its script, with seconds since its start."""

    def __init__(self, script: str) -> None:
        self._file = (pathlib.Path(script).resolve().parent / "record.txt").open("w")
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()

    def verdict(self, text: str) -> None:
        """Write a line, and print it."""
        self.line(text)
        print(text)


class PartlyDownStore(Store):
    """A store of which some topics may be down."""

    def __init__(self) -> None:
        super().__init__()
        self.down: frozenset[str] = frozenset()

    async def _apply_fault(self, req: web.Request) -> web.Response | None:
        if req.query.get("topic") in self.down:
            return web.Response(status=503)
        return await super()._apply_fault(req)


class VersionedEngine(Endpoint):
    """A model engine whose events name the version of its software."""

    def __init__(self, name: str, stage: str, record: Record) -> None:
        super().__init__(name, stage)
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.record = record

    def entry(self, **fields: object) -> dict[str, object]:
        """Return its entry in the store's list of servers."""
        return super().entry(**{"version": self.version, **fields})

    async def _stream(self, req: web.Request, seal: dict[str, str]) -> web.StreamResponse:
        resp = web.StreamResponse(headers={**seal, "Content-Type": "text/event-stream"})
        await resp.prepare(req)
        request, first = req.headers["X-Wasabiwick-Attempt-Id"], 1
        if "Last-Event-Id" in req.headers:
            first = int(req.headers["Last-Event-Id"]) + 1
        version = self.version
        self.record.line(f"run {request} at {self.name} {version} from event {first}")
        for number in range(first, self.events + 1):
            await resp.write(b"id: %d\ndata: %s\n\n" % (number, version.encode()))
            await asyncio.sleep(self.event_interval)
        return resp


class Server:
    """The process of an endpoint: it listens, writes its entry, crashes, and starts again."""

    def __init__(self, endpoint: Endpoint, store: Store, record: Record) -> None:
        self.endpoint = endpoint
        self.port = 0
        self._store = store
        self._record = record
        self._runner: web.AppRunner | None = None
        self._beats: asyncio.Task | None = None

    async def start(self, *, first_beat: float = 0.0) -> None:
        """Listen, and write the entry about every heartbeat from then on."""
        app = self.endpoint.app()
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.05
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port, reuse_address=True).start()
        self.port = self._runner.addresses[0][1]
        self.endpoint.address = f"127.0.0.1:{self.port}"
        if not first_beat:
            await self._write()
        self._beats = asyncio.create_task(self._beat(first_beat or HEARTBEAT_S))

    async def _beat(self, wait: float) -> None:
        while True:
            await asyncio.sleep(wait)
            await self._write()
            wait = HEARTBEAT_S

    async def _write(self) -> None:
        await self._store.put(SERVERS, self.endpoint.name, self.endpoint.entry())

    async def crash(self) -> None:
        """End as a killed process does: its connections close, and nothing listens."""
        self._record.line(f"{self.endpoint.name} crashes")
        self._beats.cancel()
        for site in list(self._runner.sites):
            await site.stop()
        for conn in list(self._runner.server.connections):
            if conn.transport is not None:
                conn.transport.abort()
        await self._runner.cleanup()

    async def leave(self, linger: float) -> None:
        """Leave without a report: the entry is removed, and it serves on for a while."""
        self._beats.cancel()
        await self._store.put(SERVERS, self.endpoint.name, None)
        self._beats = asyncio.create_task(self._end(linger))

    async def _end(self, linger: float) -> None:
        await asyncio.sleep(linger)
        self._record.line(f"{self.endpoint.name} has left")
        await self._runner.cleanup()

    async def close(self) -> None:
        """End the stand-in."""
        self._beats.cancel()
        await self._runner.cleanup()


class Host:
    """One host as a process of its own."""

    def __init__(self, name: str, *, zone: str, store: str, folder: str, record: Record) -> None:
        self.name = name
        self.callers = ""
        self.lines: list[str] = []
        self.proc: asyncio.subprocess.Process | None = None
        self._record = record
        number = os.getpid() * 64 % 2**20 + next(_hosts)
        ip = f"127.{64 + (number >> 16) % 64}.{(number >> 8) % 256}.{number % 254 + 1}"
        self._path = pathlib.Path(folder) / f"{name}.toml"
        self._path.write_text(SETTINGS.format(name=name, ip=ip, zone=zone, store=store))
        self._reading: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process, and wait until it listens."""
        env = {**os.environ, "WASABIWICK_CONFIG": str(self._path)}
        env["PYTHONPATH"] = str(REPO / "target" / "deps")
        self.proc = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wasabiwick", "run", "--platform"),
            env=env,
            cwd=REPO,
            stdout=asyncio.subprocess.PIPE,
        )
        async for line in self.proc.stdout:
            self._keep(line)
            if found := re.search(r"incarnation=\S+ callers=(\S+) hops=", self.lines[-1]):
                self.callers = found[1]
                self._reading = asyncio.create_task(self._read())
                return
        raise RuntimeError(
            f"{self.name} ended with code {await self.proc.wait()}: {self.lines[-3:]}"
        )

    async def _read(self) -> None:
        async for line in self.proc.stdout:
            self._keep(line)

    def _keep(self, line: bytes) -> None:
        self.lines.append(line.decode().rstrip())

    def logged(self, event: str) -> list[str]:
        """Return the lines of its log about an event."""
        return [line for line in self.lines if f" event={event} " in line]

    async def kill(self) -> None:
        """Kill the process."""
        if self.proc is not None and self.proc.returncode is None:
            self.proc.kill()
        if self.proc is not None:
            await self.proc.wait()


class Stream:
    """What one caller got of one stream."""

    def __init__(self, request: str) -> None:
        self.request = request
        self.status = 0
        self.events: list[tuple[int, str]] = []
        self.is_whole = False

    @property
    def versions(self) -> list[str]:
        """Versions of the engines that wrote its events, in order of the first of each."""
        return list(dict.fromkeys(text for _, text in self.events))

    def take(self, data: bytes) -> None:
        """Read events from the body."""
        found = re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", data)
        self.events = [(int(number), text.decode()) for number, text in found]


STREAM_HEADERS = {
    "X-Wasabiwick-Model": "m",
    "X-Wasabiwick-Token-Count": "1000,240",
    "Content-Type": "application/json",
}


def new_id() -> str:
    """Return the id of a new request."""
    return f"{next(_ids):016x}"


async def call_stream(
    session: aiohttp.ClientSession,
    host: Host,
    record: Record,
    *,
    deadline_s: float = 14.0,
    request: str = "",
    prefix: str = "",
) -> Stream:
    """Send a request for a stream on a new connection, and read it to its end."""
    found = Stream(request or new_id())
    headers = {
        **STREAM_HEADERS,
        "Host": "example",
        "X-Wasabiwick-Attempt-Id": found.request,
        "X-Wasabiwick-Deadline-Ms": str(int(deadline_s * 1000)),
        "X-Wasabiwick-Prefix-Hash": prefix or f"aa{found.request}:200,bb{found.request}:800",
        "Connection": "close",
    }
    body = bytearray()
    record.line(f"send {found.request} to {host.name}")
    try:
        async with asyncio.timeout(deadline_s):
            url = f"http://{host.callers}/stream/x"
            async with session.post(url, data=b"prompt", headers=headers) as resp:
                found.status = resp.status
                async for data in resp.content.iter_any():
                    body += data
                found.is_whole = True
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        record.line(f"end {found.request} {exc!r}")
    found.take(bytes(body))
    record.line(
        f"answer {found.request} status {found.status} whole {found.is_whole} "
        f"events {' '.join(f'{n}:{text}' for n, text in found.events)}"
    )
    return found


class Front:
    """The way of callers to one host. While the host has no power, connections are silent."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.port = 0
        self.started_at = 0.0
        self._is_dark = False
        self._pumps: set[asyncio.Task] = set()
        self._held: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Accept callers."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def power_off(self) -> None:
        """Take the power from the host: nothing tells its callers."""
        self._is_dark = True
        for pump in list(self._pumps):
            pump.cancel()
        await self.host.kill()

    async def power_on(self) -> None:
        """Start the host again."""
        await self.host.start()
        self.started_at = time.monotonic()
        self._is_dark = False

    async def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for writer in self._held:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._held.append(writer)
        if self._is_dark:
            return
        address, _, port = self.host.callers.rpartition(":")
        try:
            upstream, upward = await asyncio.open_connection(address, int(port))
        except OSError:
            writer.transport.abort()
            return
        for pump in (self._pump(reader, upward), self._pump(upstream, writer)):
            task = asyncio.create_task(pump)
            self._pumps.add(task)
            task.add_done_callback(self._pumps.discard)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        if not self._is_dark:
            writer.close()


class Caller:
    """A caller of one stream, which takes it up if it breaks off."""

    def __init__(self, session: aiohttp.ClientSession, record: Record) -> None:
        self._session, self._record = session, record
        self.request = new_id()
        self.events = 0
        self.versions: list[str] = []  # Of the engines that wrote its events, in order.
        self.is_whole = False
        self.taken_up_at: float | None = None
        self.taken_up_by: Front | None = None
        self.goes_on = False
        self.retry_after = 0.0

    async def ask(self, front: Front) -> None:
        """Ask for the stream, and read it until it ends or is silent for too long."""
        await self._read(front, self.request, {})

    async def take_up(self, front: Front) -> None:
        """Take the stream up where it broke off."""
        self.taken_up_at, self.taken_up_by = time.monotonic(), front
        before = self.events
        taken_up = {"Last-Event-Id": str(self.events), "Resumes": self.request}
        await self._read(front, new_id(), taken_up)
        self.goes_on = self.events > before

    async def _read(self, front: Front, request: str, headers: dict[str, str]) -> None:
        sent = {
            **STREAM_HEADERS,
            **headers,
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": request,
            "X-Wasabiwick-Deadline-Ms": "14000",
            "X-Wasabiwick-Prefix-Hash": f"aa000000:200,{self.request}:800",
            "Connection": "close",
        }
        self._record.line(f"send {request} to {front.host.name} {headers or ''}")
        status = 0
        try:
            async with asyncio.timeout(PATIENCE_S) as patience:
                url = f"http://127.0.0.1:{front.port}/stream/x"
                async with self._session.post(url, data=b"prompt", headers=sent) as resp:
                    status = resp.status
                    self.retry_after = float(resp.headers.get("Retry-After", "0.1"))
                    rest = b""
                    async for data in resp.content.iter_any():
                        *events, rest = (rest + data).split(b"\n\n")
                        if status == 200:
                            self._take(events)
                        patience.reschedule(asyncio.get_running_loop().time() + PATIENCE_S)
                    self.is_whole = status == 200
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._record.line(f"end {request} {exc!r}")
        self._record.line(
            f"answer {request} status {status} whole {self.is_whole}, {self.events} events"
        )

    def _take(self, events: list[bytes]) -> None:
        self.events += len(events)
        for event in events:
            version = event.rpartition(b"data: ")[2].decode()
            if version not in self.versions:
                self.versions.append(version)


async def until(condition: typing.Callable[[], typing.Awaitable[bool]], seconds: float) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.05)


async def is_served(session: aiohttp.ClientSession, host: Host, record: Record) -> bool:
    """Return whether a host serves a whole stream."""
    found = await call_stream(session, host, record, deadline_s=3.0)
    return found.status == 200 and found.is_whole


@contextlib.asynccontextmanager
async def site(
    record: Record,
    engines: typing.Sequence[Endpoint],
    *,
    hosts: int = 2,
    config: dict[str, object] | None = None,
    store: Store | None = None,
) -> typing.AsyncIterator[tuple[Store, dict[str, Server], list[Host]]]:
    """Start a store, endpoints and hosts, and end them all."""
    store = store or Store()
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(serving(store.app()))
        servers = {}
        for one in engines:
            server = servers[one.name] = Server(one, store, record)
            await server.start()
            stack.push_async_callback(server.close)
        await store.put(TOPIC_PREFIX + "op", "config", config or _platform.config())
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        started = []
        for number in range(hosts):
            zone = f"tx-central-{'abc'[number % 3]}"
            name = f"edge-{zone}-{number // 3 + 1}"
            host = Host(name, zone=zone, store=address, folder=folder, record=record)
            stack.push_async_callback(host.kill)
            await host.start()
            started.append(host)
        yield store, servers, started


def run(main: typing.Callable[[], typing.Coroutine[None, None, int]]) -> typing.NoReturn:
    """Run a case, and exit with its result; 2 if it could not run."""
    # Stand-ins that are cut off while they answer would fill the terminal.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    # A script that is stopped ends its hosts, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = asyncio.run(main())
    except Exception as exc:  # noqa: BLE001 - reported
        print(f"the case could not run: {exc!r}")
        code = NOT_RUN
    sys.exit(code)


__all__ = ["APP", "MODEL", "SERVERS", "TROUBLE"]
