"""Hosts of a soak: real processes, with the settings file of the platform's form."""

import asyncio
import contextlib
import ipaddress
import os
import pathlib
import signal
import socket
import sys
import typing

from ._soak_http import Wire, message
from ._soak_record import Life, Processor, Record, now

START_LIMIT_S = 30.0
READY_INTERVAL_S = 1.0
READY_TIMEOUT_S = 1.0
MISSES = 2  # Readiness checks that fail before a host gets no new connections.
GRACE_S = 8.0
ROTATION_SHARE = 0.5  # With a smaller share of a zone's hosts in rotation, all of them are used.
FIRST_ADDRESS = ipaddress.IPv4Address("127.64.0.0")
ADDRESSES = 2**21

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
retry-budget-ratio = {ratio}
retry-window-s = 10
budget-slack = 52
lease-ms = 3000
thaw-ms = 300
{bounds}[platform]
address = "{store}"
form = "log"
"""


class Host:
    """One host, which runs one process after the other.

    Args:
        name: Its name.
        zone: Its zone.
        folder: Gets its settings file.
        source: The source tree that it runs.
        store: Address of the store.
        record: Gets what happens.
        number: Tells its addresses from those of the other hosts.
        bounds: More lines on bounds for its settings file.

    Attributes:
        life: Its newest process.
        in_rotation: Whether it gets new connections.
        callers: Host and port for callers.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        folder: str,
        source: pathlib.Path,
        store: str,
        record: Record,
        number: int,
        bounds: str = "",
    ) -> None:
        self.name = name
        self.zone = zone
        self.life: Life | None = None
        self.in_rotation = False
        self._path = pathlib.Path(folder) / f"{name}.toml"
        self._source, self._store, self._record = source, store, record
        self._ip = str(FIRST_ADDRESS + (os.getpid() * 61 + number) % ADDRESSES)
        self._ports = sorted(_free_ports(self._ip, 4))
        self._bounds = bounds
        self._misses = 0
        self._proc: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task | None = None
        self.callers = (self._ip, self._ports[2])
        self.write_settings()

    def write_settings(self, *, ratio: float = 0.2) -> None:
        """Write the settings file, with a share of requests that may be sent again."""
        text = SETTINGS.format(
            name=self.name,
            ip=self._ip,
            zone=self.zone,
            port=self._ports[0],
            last_port=self._ports[1],
            frontend=self._ports[2],
            readiness=self._ports[3],
            store=self._store,
            ratio=ratio,
            bounds=self._bounds,
        )
        partial = self._path.with_suffix(".new")
        partial.write_text(text, encoding="utf-8")
        partial.replace(self._path)

    async def start(self) -> None:
        """Start a process."""
        life = Life(self.name, sum(one.host == self.name for one in self._record.lives) + 1)
        self._proc = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "wasabiwick", "run", "--platform"),
            cwd=self._source,
            env={
                **{key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ},
                "PYTHONPATH": str(self._source / "src"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "WASABIWICK_CONFIG": str(self._path),
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        life.processor = Processor(self._proc.pid)
        self.life = life
        self._record.lives.append(life)
        self._reading = asyncio.create_task(self._read(self._proc.stdout, life))

    async def _read(self, stream: asyncio.StreamReader, life: Life) -> None:
        async for line in stream:
            life.note_line(line.decode("utf-8", "replace").rstrip())

    def send(self, number: int) -> None:
        """Send the process a signal."""
        life = self.life
        times = {signal.SIGTERM: life.terms, signal.SIGHUP: life.hups}.get(number)
        if times is not None:
            times.append(now())
        elif number == signal.SIGKILL:
            life.killed = now()
        with contextlib.suppress(ProcessLookupError):
            self._proc.send_signal(number)
        self._record.note(f"{self.name} #{life.number} gets {signal.Signals(number).name}")

    async def wait_for_end(self, seconds: float) -> bool:
        """Wait until the process has ended; returns whether it did in time."""
        try:
            async with asyncio.timeout(seconds):
                status = await self._proc.wait()
        except TimeoutError:
            return False
        if self.life.ended is None:
            self.life.ended = now()
            self._record.note(f"{self.name} #{self.life.number} has ended, status {status}")
        return True

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self._proc is not None:
            with contextlib.suppress(ProcessLookupError):
                self._proc.kill()
            await self._proc.wait()
            await self._reading

    @property
    def pid(self) -> int:
        """Its process."""
        return self._proc.pid

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._proc is not None and self._proc.returncode is None

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        writer = None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self._ip, self._ports[3])
                writer.write(message("GET /v1/readyz HTTP/1.1", {"Host": "x"}))
                first, _ = await Wire(reader).head()
            return " 200 " in first
        except (OSError, EOFError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()

    async def wait_until_ready(self) -> None:
        """Wait until the process says that it is ready, and take it into rotation."""
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.is_ready():
                if not self.is_running:
                    raise RuntimeError(f"{self.name} ended: {self.life.warnings()[-3:]}")
                await asyncio.sleep(0.1)
        self._note_check(is_ready=True)

    async def watch(self) -> None:
        """Ask each second whether it is ready, as the platform does."""
        while True:
            started = now()
            self._note_check(is_ready=await self.is_ready())
            await asyncio.sleep(max(0.0, started + READY_INTERVAL_S - now()))

    def _note_check(self, *, is_ready: bool) -> None:
        self._misses = 0 if is_ready else self._misses + 1
        if is_ready and self.life.ready is None:
            self.life.ready = now()
        self.in_rotation = is_ready or (self.in_rotation and self._misses < MISSES)


def pick(hosts: typing.Sequence[Host], zone: str, number: int) -> Host:
    """Return the host that gets a new connection of a caller in a zone.

    Args:
        hosts: All hosts.
        zone: The caller's zone.
        number: Hash of the caller.
    """
    own = [host for host in hosts if host.zone == zone]
    ready = [host for host in own if host.in_rotation]
    if not ready:
        ready = [host for host in hosts if host.in_rotation] or own
    elif len(ready) < ROTATION_SHARE * len(own):
        ready = own
    return ready[number % len(ready)]


def _free_ports(address: str, count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((address, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
