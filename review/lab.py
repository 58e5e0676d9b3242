"""A small deployment for the review's scripts: hosts as processes, and stand-ins around them.

The store is the project's stand-in (`tests._platform.Store`). Engines and clients are those of
this file: they speak HTTP/1.1 over plain sockets, so that each byte and its time is known.
"""

import asyncio
import contextlib
import ipaddress
import itertools
import json
import os
import pathlib
import random
import re
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import typing

from tests._platform import Store, serving

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVERS, OPERATOR = "keyed.servers", "keyed.op"
MODEL, APP = "huvo11a", "wuno96b"
HOST_NAME = "ficu95.example"
TIME_LIMIT = 110.0  # Seconds for a whole script.
START_LIMIT = 30.0  # Seconds for a host to start and serve.
GRACE_S = 8.0  # Between SIGTERM and SIGKILL, as in the settings below.
HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit codes.

# The fields and bounds that `fleetbench wire` prints for lectio-tx.
SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "tx-central"
internal-ports = [{port}, {last_port}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
retry-budget-ratio = 0.2
retry-window-s = 10
budget-slack = 52
lease-ms = 3000
thaw-ms = 300
[platform]
address = "{store}"
form = "log"
"""

ENGINE = {
    "slots": 12,
    "kv-capacity-tokens": 33860,
    "kv-bytes": 131072,
    "link-mbps": 840000.0,
    "stride": 12,
    "kv-hold-s": 0.5,
    "switch-s": 6.0,
    "hold-ms": 2000.0,
    "models": [{"name": "m"}],
}


def route(name: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route with the figures of the site's sheet for its kind."""
    is_stream = kind == "stream"
    return {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "type": kind,
        "timeout-ms": 14000 if is_stream else 800,
        "target-latency-ms": 1000 if is_stream else 300,
        "priority": 1 if is_stream else 2,
        "service": MODEL if is_stream else APP,
        "max-attempts": 1,
        "sticky": is_stream,
        "resumable": False,
        "target-itl-ms": 300 if is_stream else 0,
        **more,
    }


def configuration() -> dict[str, object]:
    """Return the operator's configuration: the four kinds of request of lectio-tx."""
    return {
        "version": 7,
        "routes": [
            route("guide-draft", "stream"),
            route("passage-summary", "stream", **{"max-attempts": 2, "resumable": True}),
            route("group-join", "unsafe"),
            route("roster-read", "safe", **{"max-attempts": 2}),
        ],
        "services": [
            {"name": MODEL, "health-path": "/healthz", "max-connections": 150, "engine": ENGINE},
            {"name": APP, "health-path": "/healthz", "max-connections": 96},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class Path:
    """A host's path to the store: a proxy that can fall silent, as a partition leaves it.

    Attributes:
        reads: Number of reads of a topic that the host has sent through it.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.reads = 0
        self._flows = asyncio.Event()
        self._flows.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Let nothing through any more, on open and on new connections."""
        self._flows.clear()

    def heal(self) -> None:
        """Let new connections work again; those of before are reset."""
        for writer in list(self._writers):
            writer.transport.abort()
        self._flows.set()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        self.heal()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        upward = None
        try:
            await self._flows.wait()
            host, _, port = self.target.rpartition(":")
            upstream, upward = await asyncio.open_connection(host, int(port))
            self._writers.add(upward)
            await asyncio.gather(
                self._pump(reader, upward, is_up=True), self._pump(upstream, writer)
            )
        except OSError:
            pass
        finally:
            for one in (writer, upward):
                if one is not None:
                    self._writers.discard(one)
                    one.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_up: bool = False
    ) -> None:
        while data := await reader.read(65_536):
            await self._flows.wait()
            self.reads += is_up and data.count(b"GET /v1/log-read")
            writer.write(data)
            await writer.drain()
        writer.transport.abort()


class Record:
    """What was sent, answered and run, with the seconds since the script began."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


class Request:
    """A request as an engine received it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The client's identifier of its attempt."""
        return self.headers.get("x-wasabiwick-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its headers with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class Engine:
    """An engine, or a server of the plain application if ``stage`` is empty.

    Attributes:
        runs: Every request that it began to work on.
        pieces: Number of events of each stream.
        piece_s: Seconds between two events.
        work: Returns the seconds that a plain request takes.
        is_full: Returns whether a plain request finds all slots in use, and so is refused.
    """

    def __init__(
        self, lab: "Lab", name: str, stage: str = "", version: str = "v1", service: str = ""
    ) -> None:
        self.lab = lab
        self.name = name
        self.stage = stage
        self.service = service or (MODEL if stage else APP)
        self.version = version
        self.address = ""
        self.zone = "tx-central-a"
        self.state = "ready"
        self.runs: list[Request] = []
        self.pieces: typing.Callable[[Request], int] = lambda req: 30
        self.piece_s = 0.1
        self.work: typing.Callable[[Request], float] = lambda req: 0.03
        self.is_full: typing.Callable[[Request], bool] = lambda req: False
        self._numbers = itertools.count(1)
        self._beats = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and enter the list of servers."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        await self.enter("ready")

    async def enter(self, state: str, *, note: bool = True) -> None:
        """Write the entry in the list of servers, as engines do at each heartbeat."""
        self.state = state
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 12 if self.stage else 6,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": next(self._beats),
            "born": self._born,
            **(
                {"stage": self.stage, "models": [{"name": "m", "version": 1}]} if self.stage else {}
            ),
        }
        await self.lab.store.put(SERVERS, self.name, entry)
        if note:
            self.lab.record.note(f"{self.name} ({self.version}) is listed: {state}")

    async def leave(self) -> None:
        """Leave as planned: draining for a little longer than ``drain-ms``, then gone."""
        await self.enter("draining")
        await asyncio.sleep(2.2)
        await self.lab.store.put(SERVERS, self.name, None)
        await self.end()
        self.lab.record.note(f"{self.name} ({self.version}) has left")

    async def end(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        req = Request(method, target, headers, body)
        echo = {"X-Wasabiwick-Attempt-Id": req.id} if req.id else {}
        if headers.get("x-wasabiwick-expect-instance", self.name) != self.name:
            return await self._write(writer, 421, echo, b"")
        number = next(self._numbers)
        if target == "/v1/hold-take":
            return await self._write(writer, 200, echo, b'{"hold":"h%d"}' % number)
        if target == "/v1/report":
            busy = {"stage": self.stage, "busy": False, "sequence": 0, "born": self._born}
            return await self._write(writer, 200, echo, json.dumps(busy).encode())
        if target.startswith("/v1/"):
            return await self._write(writer, 200, echo, b"")
        if headers.get("x-wasabiwick-stage") == "prefill":
            handle = {"kv-handle": f"{self.name}-{number}", "tokens": 10, "version": 1}
            return await self._write(writer, 200, echo, json.dumps(handle).encode())
        if self.is_full(req):
            self.lab.record.note(f"{self.name} is full and refuses {req.id}")
            echo["X-Wasabiwick-Not-Executed"] = "1"
            return await self._write(writer, 503, echo, b"")
        self.runs.append(req)
        self.lab.record.note(f"{self.name} ({self.version}) runs {req.id} {method} {target}")
        echo["X-Wasabiwick-Response-Seal"] = f"seal.{self.name}.{number}"
        if self.stage:
            return await self._stream(req, writer, echo)
        # Work ends when the connection closes, as at most engines; the run stays a run.
        await asyncio.sleep(self.work(req))
        return await self._write(writer, 200, echo, b"done " + req.id.encode())

    async def _write(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
    ) -> bool:
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True

    async def _stream(
        self, req: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        begun = int(req.headers.get("last-event-id", 0))
        for number in range(begun + 1, self.pieces(req) + 1):
            event = f"id: {number}\ndata: {self.version} {self.name} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.piece_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    """What a client got: a status (0 for none), the body, and whether the answer is complete."""

    def __init__(self, name: str = "") -> None:
        self.name = name
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False

    @property
    def events(self) -> list[tuple[int, str]]:
        """Identifier and data of each whole event."""
        found = re.findall(rb"id: (\d+)\ndata: ([^\n]*)\n\n", self.body)
        return [(int(number), data.decode()) for number, data in found]


class Client:
    """One connection of a client to a host."""

    def __init__(self, lab: "Lab", address: str) -> None:
        self.lab = lab
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect within the second that clients allow."""
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    def send(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        length: int | None = None,
        deadline_ms: int = 14000,
        **headers: str,
    ) -> str:
        """Send a request, or its head and the first bytes of its body; returns its identifier."""
        name = self.lab.new_id()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Wasabiwick-Attempt-Id: {name}",
            f"X-Wasabiwick-Deadline-Ms: {deadline_ms}",
            *(f"{key.replace('_', '-')}: {value}" for key, value in headers.items()),
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body) if length is None else length}")
        self._writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        self.lab.record.note(f"client sends {name} {method} {path} to {self.address}")
        return name

    def send_rest(self, data: bytes) -> None:
        """Send more bytes of a body."""
        self._writer.write(data)

    async def answer(self, name: str, *, seconds: float = 14.0) -> Answer:
        """Return the answer, as far as it came within some seconds."""
        answer = Answer(name)
        why = "complete"
        try:
            async with asyncio.timeout(seconds):
                await self._read(answer)
        except TimeoutError:
            why = "given up"
        except (asyncio.IncompleteReadError, ConnectionError):
            why = "the connection ended"
        text = answer.status if answer.status else "no answer"
        self.lab.record.note(f"client got for {name}: {text}, {len(answer.body)} bytes; {why}")
        return answer

    async def _read(self, answer: Answer) -> None:
        first, answer.headers = await read_head(self._reader)
        answer.status = int(first.split(" ")[1])
        if "content-length" in answer.headers:
            answer.body = await self._reader.readexactly(int(answer.headers["content-length"]))
        else:
            while True:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                data = await self._reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += data[:-2]
        answer.is_complete = True


STREAM_HEADERS = {
    "X_Wasabiwick_Model": "m",
    "X_Wasabiwick_Token_Count": "1460,2040",
    "X_Wasabiwick_Prefix_Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}


class Host:
    """One `edge` machine's process, started as the deploy file says."""

    def __init__(self, lab: "Lab", name: str, zone: str, folder: str) -> None:
        self.lab = lab
        self.name = name
        self.zone = zone
        self.callers = ""
        self.ready = ""
        self.log: list[str] = []
        self.path: Path | None = None
        self.proc: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task | None = None
        self._path = pathlib.Path(folder) / f"{name}.toml"
        number = (os.getpid() * 61 + random.randrange(2**10) * 2**9) % 2**21
        self._ip = str(ipaddress.IPv4Address("127.64.0.0") + number * 2 + lab.next_number())

    def prepare(self, store: str) -> None:
        """Write the settings."""
        ports = sorted(free_ports(self._ip, 4))
        text = SETTINGS.format(
            name=self.name,
            ip=self._ip,
            zone=self.zone,
            port=ports[0],
            last_port=ports[0] + 1,
            frontend=ports[2],
            readiness=ports[3],
            store=store,
        )
        self._path.write_text(text, encoding="utf-8")
        self.callers, self.ready = f"{self._ip}:{ports[2]}", f"{self._ip}:{ports[3]}"

    async def start(self) -> None:
        """Start the process; `wait_until_ready` waits for it."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        program, *args = deploy["roles"]["entry"]["run"].split()
        self.proc = await asyncio.create_subprocess_exec(
            sys.executable if program == "python3" else program,
            *args,
            cwd=ROOT,
            env={
                **{key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ},
                "PYTHONPATH": "target/deps",
                "PYTHONDONTWRITEBYTECODE": "1",
                "WASABIWICK_CONFIG": str(self._path),
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reading = asyncio.create_task(self._read(self.proc.stdout))

    async def _read(self, stream: asyncio.StreamReader) -> None:
        async for line in stream:
            self.log.append(line.decode("utf-8", "replace").rstrip())

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        try:
            client = Client(self.lab, self.ready)
            await client.connect()
            client._writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1.0):
                first, _ = await read_head(client._reader)
            client.close()
            return " 200 " in first
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self) -> None:
        """Wait until the host says that it is ready."""
        async with asyncio.timeout(START_LIMIT):
            while not await self.is_ready():
                if self.proc.returncode is not None:
                    raise RuntimeError(f"{self.name} ended: {self.log[-3:]}")
                await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.lab.record.note(f"{self.name} gets signal {number}")
        self.proc.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.proc is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.proc.kill()
        await self.proc.wait()
        await self._reading


def free_ports(address: str, count: int) -> list[int]:
    """Return free ports of an address."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((address, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Lab:
    """The store, engines and hosts of one script."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.engines: dict[str, Engine] = {}
        self.hosts: list[Host] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._numbers = itertools.count(1)
        self._ids = itertools.count(1)
        self._salt = f"{random.randrange(2**32):08x}"
        self._stack = contextlib.AsyncExitStack()
        self._folder = ""
        self._store_address = ""

    def another(self) -> "Lab":
        """Return a deployment of its own that writes to the same record."""
        return Lab(self.record)

    def next_number(self) -> int:
        """Return a number that nothing else has."""
        return next(self._numbers)

    def new_id(self) -> str:
        """Return a new identifier of a client attempt."""
        return f"{self._salt}{next(self._ids):08x}"

    async def __aenter__(self) -> "Lab":
        self._folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._store_address = await self._stack.enter_async_context(serving(self.store.app()))
        await self.configure(configuration())
        return self

    async def __aexit__(self, *exc: object) -> None:
        for host in self.hosts:
            await host.end()
            host.path.close()
        for engine in self.engines.values():
            await engine.end()
        await self._stack.aclose()

    async def configure(self, config: dict[str, object]) -> None:
        """Write the operator's configuration; the store has acknowledged it once this returns."""
        await self.store.put(OPERATOR, "config", config)

    async def engine(self, name: str, stage: str = "", version: str = "v1") -> Engine:
        """Start an engine."""
        one = self.engines[name] = Engine(self, name, stage, version)
        await one.start()
        return one

    async def host(self, name: str, zone: str) -> Host:
        """Start a host."""
        one = Host(self, name, zone, self._folder)
        self.hosts.append(one)
        one.path = Path(self._store_address)
        await one.path.open()
        one.prepare(one.path.address)
        await one.start()
        return one

    async def usual(self, hosts: int = 1, *, zones: str = "abc", decoders: int = 2) -> None:
        """Start engines, two servers of the application, and hosts in these zones by turns."""
        await self.engine("i-p1", "prefill")
        for number in range(1, decoders + 1):
            await self.engine(f"i-d{number}", "decode")
        await self.engine("i-s1")
        await self.engine("i-s2")
        for number in range(hosts):
            zone = "tx-central-" + zones[number % len(zones)]
            await self.host(f"edge-{zone}-{number + 1}", zone)
        for host in self.hosts:
            await host.wait_until_ready()
        await self.warm()

    async def warm(self) -> None:
        """Wait until each host has served a request of each service."""
        for host in self.hosts:
            for path, headers in (("/roster-read/x", {}), ("/passage-summary/x", STREAM_HEADERS)):
                async with asyncio.timeout(START_LIMIT):
                    while (await self.call(host, path, **headers)).status != 200:
                        await asyncio.sleep(0.1)

    async def call(
        self, host: Host, path: str, *, seconds: float = 14.0, **fields: object
    ) -> Answer:
        """Send a request on a new connection, and return its answer."""
        client = Client(self, host.callers)
        try:
            await client.connect()
            return await client.answer(client.send(path, **fields), seconds=seconds)
        except (OSError, TimeoutError):
            self.record.note(f"client finds no connection to {host.callers}")
            return Answer()
        finally:
            client.close()


def main(file: str, case: typing.Callable[[Lab], typing.Awaitable[bool]]) -> typing.NoReturn:
    """Run a case, which returns whether the rule was broken, and exit with the script's code."""
    folder = pathlib.Path(file).resolve().parent

    async def run() -> bool:
        async with asyncio.timeout(TIME_LIMIT):
            async with Lab(Record(folder / "record.txt")) as lab:
                lab.record.note(f"trouble: {lab.trouble}")
                is_broken = await case(lab)
                lab.record.note("the rule was broken" if is_broken else "the rule held")
                return is_broken

    try:
        is_broken = asyncio.run(run())
    except BaseException:  # noqa: BLE001 - whatever ended the case, it did not run
        traceback.print_exc()
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if is_broken else HELD)
