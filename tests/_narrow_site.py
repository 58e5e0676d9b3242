"""Hosts as processes, each on a path of its own to the store, while the operator adds routes."""

import asyncio
import collections
import contextlib
import pathlib
import random
import signal
import tempfile
import typing

import aiohttp

from wasabiwick import _rendezvous
from wasabiwick._handlers.read_turns import MIN_ZONE_HOSTS, READERS

from ._narrow_path import NarrowPath
from ._partition import SERVERS
from ._platform import TOPIC_PREFIX, Endpoint, Store, config, serving
from ._processes import until
from ._soak_hosts import Host
from ._soak_record import Record, now

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR = TOPIC_PREFIX + "op"
ASK_INTERVAL_S = 0.15
ASK_TIMEOUT_S = 1.0
END_TIMEOUT_S = 10.0  # Within which a killed process must have ended.
RESTORED_AGE_S = 3.0  # Age of the copy that the store is restored from.
STARTING_AT_ONCE = 8  # Hosts that start at the same moment.
NO_ANSWER = 0  # Status of a request that got no answer.


class Plan(typing.NamedTuple):
    """What a run does.

    Attributes:
        hosts: Number of hosts.
        zones: Number of zones, which hosts are in by turns.
        routes: Routes that the first version adds; each later one adds one more.
        rate: Bytes a second from the store to a host; 0 for no bound.
        readers_rate: The same for hosts that read for their zone; None for ``rate``.
        listeners_rate: The same for hosts that these tell; None for ``rate``.
        versions: Number of versions.
        gap: Seconds between two versions.
        kill: Hosts that are killed once the last version is acknowledged, and started again.
        silent: Seconds after the first version at which open connections fall silent, or None.
        break_after: Bytes of an answer after which its connection is closed; 0 for never.
        restore: Whether the store is restored from a copy before the last version is written.
        builds: Commit that half of the hosts run; empty for none.
        seconds: Seconds after which hosts that do not serve the route are given up.
        seed: Seed of all choices.
    """

    hosts: int = 3
    zones: int = 1
    routes: int = 1_900
    rate: float = 0.0
    readers_rate: float | None = None
    listeners_rate: float | None = None
    versions: int = 1
    gap: float = 1.5
    kill: int = 0
    silent: float | None = None
    break_after: int = 0
    restore: bool = False
    builds: str = ""
    seconds: float = 14.0
    seed: int = 1


class Member:
    """One host of a run, and what was seen of it.

    Attributes:
        host: Its processes.
        path: Its path to the store.
        reads: Whether it reads for its zone.
        build: Commit that it runs; empty for the code of this checkout.
        was_killed: Whether it was killed.
        served_after: Seconds from the last acknowledgement to its first answer by the last route,
            or None.
        statuses: How often it answered with each status before; `NO_ANSWER` for none.
        peak_bytes: Most memory that its process had in use, as the kernel counted it.
    """

    __slots__ = (
        "host",
        "path",
        "reads",
        "build",
        "was_killed",
        "served_after",
        "statuses",
        "peak_bytes",
    )

    def __init__(self, *, host: Host, path: NarrowPath, reads: bool, build: str) -> None:
        self.host, self.path, self.reads, self.build = host, path, reads, build
        self.was_killed = False
        self.served_after: float | None = None
        self.statuses: collections.Counter[int] = collections.Counter()
        self.peak_bytes = 0

    def note_memory(self) -> None:
        """Read the peak of its memory, where the kernel tells it."""
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self.host.pid}/status").read_text(encoding="ascii")
            for line in text.splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_bytes = int(line.split()[1]) * 1_024


def zone_names(zones: int) -> list[str]:
    """Return the names of the zones."""
    return [f"tx-central-{chr(ord('a') + number)}" for number in range(zones)]


def configuration(version: int, added: int) -> dict[str, object]:
    """Return the operator's configuration with some added routes."""
    found = config(version)
    routes = found["routes"]
    pattern = next(one for one in routes if one["type"] == "safe")
    for number in range(added):
        name = _added(number)
        routes.append({**pattern, "name": name, "path-prefix": f"/{name}/"})
    return found


class NarrowSite:
    """One run.

    Args:
        plan: What it does.
        sources: Source tree of each build, by commit; that of this checkout is under "".

    Attributes:
        members: The hosts.
        size: Bytes of the last configuration.
    """

    def __init__(self, plan: Plan, sources: typing.Mapping[str, pathlib.Path]) -> None:
        self.members: list[Member] = []
        self.size = 0
        self._plan, self._sources = plan, sources
        self._store = Store()
        self._record = Record()
        self._session: aiohttp.ClientSession | None = None
        self._asked = 0

    async def run(self) -> None:
        """Run, until each host serves the last route or is given up."""
        async with contextlib.AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            endpoint = Endpoint("s0")
            endpoint.address = await stack.enter_async_context(serving(endpoint.app()))
            await self._store.put(SERVERS, endpoint.name, endpoint.entry())
            await self._store.put(OPERATOR, "config", config())
            store = await stack.enter_async_context(serving(self._store.app()))
            self._session = await stack.enter_async_context(aiohttp.ClientSession())
            await self._add_members(stack, store, folder)
            await self._start_all(stack)
            await self._play()
            for member in self.members:
                member.note_memory()

    async def _add_members(self, stack: contextlib.AsyncExitStack, store: str, folder: str) -> None:
        plan = self._plan
        names = zone_names(plan.zones)
        zones = {f"edge-{number:02}": names[number % plan.zones] for number in range(plan.hosts)}
        for number, (name, zone) in enumerate(zones.items()):
            reads = _is_reader(name, [other for other, one in zones.items() if one == zone], zone)
            own_rate = plan.readers_rate if reads else plan.listeners_rate
            path = NarrowPath(
                store,
                rate=plan.rate if own_rate is None else own_rate,
                break_after=plan.break_after,
            )
            await path.open()
            stack.push_async_callback(path.close)
            build = plan.builds if (number // plan.zones) % 2 else ""
            host = Host(
                name=name,
                zone=zone,
                folder=folder,
                source=self._sources[build],
                store=path.address,
                record=self._record,
                number=number,
            )
            self.members.append(Member(host=host, path=path, reads=reads, build=build))

    async def _start_all(self, stack: contextlib.AsyncExitStack) -> None:
        hosts = [one.host for one in self.members]
        for host in hosts:
            stack.push_async_callback(host.end)
        for first in range(0, len(hosts), STARTING_AT_ONCE):
            group = hosts[first : first + STARTING_AT_ONCE]
            await asyncio.gather(*(host.start() for host in group))
            await asyncio.gather(*(host.wait_until_ready() for host in group))
        await until(self._are_settled)

    async def _are_settled(self) -> bool:
        """Return whether every host has its turn, and those that listen wait for no answer."""
        return all(_has_turn(one) and (one.reads or not one.path.is_asked) for one in self.members)

    async def _play(self) -> None:
        plan = self._plan
        rng = random.Random(plan.seed)
        silencing = None
        self._store.copy()
        for number in range(plan.versions):
            if number:
                await asyncio.sleep(plan.gap)
            if plan.restore and number == plan.versions - 1:
                await asyncio.sleep(RESTORED_AGE_S)
                await self._store.restore()
            await self._write(version=2 + number, added=plan.routes + number)
            if plan.silent is not None and not number:
                silencing = asyncio.create_task(self._silence(plan.silent))
        acked = now()
        killed = rng.sample(self.members, plan.kill)
        await asyncio.gather(
            *(self._ask(one, acked) for one in self.members), *(map(self._kill, killed))
        )
        if silencing is not None:
            await silencing

    async def _write(self, *, version: int, added: int) -> None:
        await self._store.put(OPERATOR, "config", configuration(version, added))
        self.size = len(self._store.topics[OPERATOR][-1][1])

    async def _silence(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        for member in self.members:
            member.path.silence()

    async def _kill(self, member: Member) -> None:
        member.was_killed = True
        member.host.send(signal.SIGKILL)
        if not await member.host.wait_for_end(END_TIMEOUT_S):
            raise RuntimeError(f"{member.host.name} did not end")
        await member.host.start()

    async def _ask(self, member: Member, acked: float) -> None:
        """Ask a host for the last added route until it serves it, or is given up."""
        path = f"/{_added(self._plan.routes + self._plan.versions - 2)}/x"
        while (asked := now()) < acked + self._plan.seconds:
            status = await self._status(member.host, path)
            if status == 200:
                member.served_after = now() - acked
                return
            member.statuses[status] += 1
            await asyncio.sleep(max(0.0, asked + ASK_INTERVAL_S - now()))

    async def _status(self, host: Host, path: str) -> int:
        address, port = host.callers
        self._asked += 1
        headers = {
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"ask{self._asked}",
            "X-Wasabiwick-Deadline-Ms": f"{ASK_TIMEOUT_S * 1000:.0f}",
            "Connection": "close",
        }
        try:
            async with (
                asyncio.timeout(ASK_TIMEOUT_S),
                self._session.get(f"http://{address}:{port}{path}", headers=headers) as resp,
            ):
                await resp.read()
                return resp.status
        except (aiohttp.ClientError, OSError):
            return NO_ANSWER


def _added(number: int) -> str:
    """Return the name of an added route."""
    return f"added-route-{number:05}"


def _is_reader(name: str, zone_hosts: typing.Sequence[str], zone: str) -> bool:
    is_shared = len(zone_hosts) >= MIN_ZONE_HOSTS
    return not is_shared or name in _rendezvous.ranked(zone, zone_hosts)[:READERS]


def _has_turn(member: Member) -> bool:
    lines = member.host.life.logged("read_turn")
    reads = not lines or " reads=true" in lines[-1].lower()
    return reads == member.reads
