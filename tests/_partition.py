"""Hosts as processes of their own, with links to endpoints that can be cut for each host."""

import asyncio
import contextlib
import ipaddress
import itertools
import os
import pathlib
import re
import socket
import sys
import tempfile
import typing

import aiohttp
import msgspec

from ._platform import TOPIC_PREFIX, Endpoint, Store, config, serving
from ._processes import STOP_TIMEOUT, until
from .test_on_platform import SETTINGS, TOKEN_HEADERS

SERVERS = TOPIC_PREFIX + "servers"
# Ways in which a host is cut off: nothing comes through; open connections are reset and new ones
# refused; new ones are refused while open ones live on.
HANGS, RESETS, REFUSES = "hangs", "resets", "refuses"
FORMS = (HANGS, RESETS, REFUSES)
QUEUED = 4  # Connections that fill the queue of a listener that accepts none.
# Where one direction of a connection comes from and goes to.
Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]
_numbers = itertools.count(1)


class Link:
    """The path of one host to one endpoint, a proxy on a port of its own."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.port = 0
        self._form = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._blocking: list[socket.socket] = []
        self._flows = asyncio.Event()
        self._flows.set()

    async def open(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def cut(self, form: str) -> None:
        """Cut the path in one of `FORMS`."""
        self._form = form
        self._server.close()
        if form == HANGS:
            self._flows.clear()
            self._block()
        elif form == RESETS:
            self._abort()

    async def heal(self) -> None:
        """Let the path work again; connections that hung are reset."""
        for sock in self._blocking:
            sock.close()
        self._blocking.clear()
        if self._form == HANGS:
            self._abort()
        self._flows.set()
        self._form = ""
        await self.open()

    async def close(self) -> None:
        """Close the listener and all connections."""
        self._flows.set()
        for sock in self._blocking:
            sock.close()
        self._server.close()
        self._abort()

    def _block(self) -> None:
        """Listen without accepting, with a full queue, so that new connections hang."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self._blocking.append(listener)
        for _ in range(QUEUED):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
            self._blocking.append(sock)

    def _abort(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            upstream, upward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upward}
        try:
            await self._carry((reader, upward), (upstream, writer))
        finally:
            self._writers -= {writer, upward}
            writer.transport.abort()
            upward.transport.abort()

    async def _carry(self, up: Ends, down: Ends) -> None:
        """Carry bytes of one connection to the target and back until both directions end."""
        await asyncio.gather(self._pump(*up), self._pump(*down))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._flows.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


class _Topics(dict):
    """Topics of a store as one host reads them, with its own addresses of endpoints."""

    def __init__(self, topics: dict, addresses: dict[str, str]) -> None:
        super().__init__()
        self._topics = topics
        self._addresses = addresses

    def get(self, topic: str, default: typing.Any = None) -> typing.Any:
        records = self._topics.get(topic, default)
        if topic != SERVERS or not records:
            return records
        return [(key, self._rewritten(key, value)) for key, value in records]

    def setdefault(self, topic: str, default: typing.Any = None) -> typing.Any:
        return self._topics.setdefault(topic, default)

    def _rewritten(self, key: str, value: bytes) -> bytes:
        if not value:
            return value
        return msgspec.json.encode(msgspec.json.decode(value) | {"address": self._addresses[key]})


class HostProcess:
    """One host as a process, its links to endpoints, and its view of the store.

    Attributes:
        name: Its name, which a restart keeps.
        links: Its links, by endpoint.
        callers: Its address for callers.
        incarnation: Run of its process.
        hops: Its address for requests of other hosts.
        lines: Lines of its log, of all its starts.
    """

    def __init__(self, name: str, zone: str, endpoints: typing.Iterable[Endpoint]) -> None:
        self.name = name
        self.zone = zone
        self.links = {one.name: Link(one.address) for one in endpoints}
        self.callers = ""
        self.incarnation = ""
        self.hops = ""
        self.lines: list[str] = []
        self.proc: asyncio.subprocess.Process | None = None
        self._path: pathlib.Path | None = None
        self._reading: asyncio.Task | None = None

    async def prepare(self, store: str, folder: str) -> None:
        """Write the settings; each start uses a loopback address that nothing else uses."""
        self._path = pathlib.Path(folder) / f"{self.name}.toml"
        number = os.getpid() * 64 % 2**21 + 2**21 + next(_numbers)
        address = ipaddress.IPv4Address("127.64.0.0") + number
        text = SETTINGS.format(name=self.name, store=store).replace("zone-a", self.zone)
        self._path.write_text(
            text.replace("127.0.0.1", str(address)).replace(
                f'address = "{address}', 'address = "127.0.0.1'
            )
        )

    async def start(self) -> None:
        """Start the process, and wait until it listens."""
        self.proc = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wasabiwick", "run", "--platform"),
            env={**os.environ, "WASABIWICK_CONFIG": str(self._path)},
            stdout=asyncio.subprocess.PIPE,
        )
        async for line in self.proc.stdout:
            self.lines.append(line.decode().rstrip())
            if found := re.search(r"incarnation=(\S+) callers=(\S+) hops=(\S+)", self.lines[-1]):
                self.incarnation, self.callers, self.hops = found.groups()
                self._reading = asyncio.create_task(self._read())
                return
        raise AssertionError(f"{self.name} ended with code {await self.proc.wait()}")

    async def _read(self) -> None:
        async for line in self.proc.stdout:
            self.lines.append(line.decode().rstrip())

    async def kill(self) -> None:
        """Kill the process."""
        if self.proc.returncode is None:
            self.proc.kill()
        await self.proc.wait()
        await self._reading

    async def stop(self) -> None:
        """Terminate the process, and wait until it has ended."""
        self.proc.terminate()
        async with asyncio.timeout(STOP_TIMEOUT):
            await self.proc.wait()
        await self._reading

    async def cut(self, form: str) -> None:
        """Cut the host off from all endpoints."""
        for link in self.links.values():
            await link.cut(form)

    async def heal(self) -> None:
        """Let the host reach all endpoints again."""
        for link in self.links.values():
            await link.heal()

    def logged(self, event: str) -> list[str]:
        """Return the lines of the log about an event."""
        return [line for line in self.lines if f" event={event} " in line]


class PartitionSite:
    """A store, endpoints, and hosts that are processes of their own.

    Attributes:
        store: The store.
        endpoints: Endpoints by name.
        hosts: Hosts by name.
        session: Client session of all callers.
    """

    def __init__(self, zones: dict[str, str]) -> None:
        self.store = Store()
        self.endpoints = {
            name: Endpoint(name, stage)
            for name, stage in (("p0", "prefill"), ("d0", "decode"), ("d1", "decode"))
        }
        self.endpoints |= {name: Endpoint(name) for name in ("s0", "s1", "s2")}
        self.hosts: dict[str, HostProcess] = {}
        self.session: aiohttp.ClientSession | None = None
        self._zones = zones
        self._request_count = 0

    @contextlib.asynccontextmanager
    async def run(self, **route: object) -> typing.AsyncIterator["PartitionSite"]:
        """Start all, and wait until each host serves callers."""
        async with contextlib.AsyncExitStack() as stack:
            for endpoint in self.endpoints.values():
                endpoint.address = await stack.enter_async_context(
                    serving(endpoint.app(), endpoint)
                )
                await self.store.put(SERVERS, endpoint.name, endpoint.entry())
            await self.store.put(TOPIC_PREFIX + "op", "config", config())
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.session = await stack.enter_async_context(aiohttp.ClientSession())
            for name, zone in self._zones.items():
                host = self.hosts[name] = HostProcess(name, zone, self.endpoints.values())
                for link in host.links.values():
                    await link.open()
                    stack.push_async_callback(link.close)
                view = await stack.enter_async_context(serving(self._view(host).app()))
                await host.prepare(view, folder)
            for host in self.hosts.values():
                await host.start()
                stack.push_async_callback(host.kill)
            for host in self.hosts.values():
                await self.wait_until_served(host)
            await self.wait_until_known(self.hosts.values())
            yield self

    async def wait_until_known(self, hosts: typing.Iterable[HostProcess]) -> None:
        """Wait until each of some hosts knows where the newest run of each other one takes hops."""

        async def is_known() -> bool:
            return all(
                any(f"host={other.name} incarnation={other.incarnation}" in line for line in found)
                for host in hosts
                for found in [host.logged("host_takes_requests")]
                for other in self.hosts.values()
                if other is not host
            )

        await until(is_known)

    def _view(self, host: HostProcess) -> Store:
        addresses = {name: f"127.0.0.1:{link.port}" for name, link in host.links.items()}
        view = Store()
        view.topics = _Topics(self.store.topics, addresses)
        view._changed = self.store._changed
        return view

    async def wait_until_served(self, host: HostProcess) -> None:
        """Wait until a host serves requests of each kind."""
        for path in ("/safe/x", "/unsafe/x", "/stream/x"):

            async def is_served(path: str = path) -> bool:
                return await self.status_of(host, path) == 200

            await until(is_served)

    async def status_of(
        self, host: HostProcess, path: str, body: bytes = b"body", **headers: str
    ) -> int:
        """Send a request on a new connection; return the status of its whole answer, or 0."""
        try:
            async with self.request(host, path, body, Connection="close", **headers) as resp:
                await resp.read()
                return resp.status
        except (aiohttp.ClientError, OSError):
            return 0

    def request(
        self, host: HostProcess, path: str, body: bytes = b"body", **headers: str
    ) -> typing.Any:
        """Send a request as a caller does."""
        self._request_count += 1
        sent = {
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"id{self._request_count}",
            "X-Wasabiwick-Deadline-Ms": "5000",
            **(TOKEN_HEADERS if path.startswith("/stream/") else {}),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        return self.session.post(f"http://{host.callers}{path}", data=body, headers=sent)
