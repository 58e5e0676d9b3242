"""The site of a demo: platform, engines, a plain service, and entry hosts in three zones."""

import asyncio
import hashlib
import pathlib
import typing

import aiohttp
import msgspec
import yaml

from .._wire import HostEntry
from ._processes import Process, Processes

REGION = "tx-central"
ZONES = ("tx-central-a", "tx-central-b", "tx-central-c")
HOSTS_PER_ZONE = 2
ENGINES_PER_ZONE = 3
MODEL = "lectio-lm"
SERVICE = "signup-app"
API_KEY = "demo-key"
TRACE_SUFFIX = ".trace.jsonl"
STARTING = 6  # Processes that start at once.

PLANS = {"lonestar": {"plan": "study", "keys": [hashlib.sha256(API_KEY.encode()).hexdigest()]}}
ALLOWANCES = {
    "plans": {"study": {"models": [MODEL], "services": [SERVICE], "may_wait": True}},
    "services": {
        SERVICE: {"idempotent": ["GET /*"], "can_query": True, "fencing": "honoured"},
    },
    "models": {MODEL: {}},
}


class Site:
    """The processes of a site, by what they are.

    Args:
        processes: Starts the site's processes.
        folder: Where settings and lists are written.
        zones: Number of availability zones, up to three.
        hosts: Entry hosts of each availability zone.
        engines: Engines of each availability zone.
    """

    __slots__ = (
        "log",
        "host_list",
        "engines",
        "service",
        "hosts",
        "_processes",
        "folder",
        "_zones",
        "_hosts_per_zone",
        "_engines_per_zone",
    )

    def __init__(
        self,
        *,
        processes: Processes,
        folder: pathlib.Path,
        zones: int = len(ZONES),
        hosts: int = HOSTS_PER_ZONE,
        engines: int = ENGINES_PER_ZONE,
    ) -> None:
        self.log: Process | None = None
        self.host_list: Process | None = None
        self.service: Process | None = None
        self.engines: list[Process] = []
        self.hosts: list[Process] = []
        self._processes = processes
        self.folder = folder
        self._zones = ZONES[:zones]
        self._hosts_per_zone = hosts
        self._engines_per_zone = engines

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start everything, and publish the two lists."""
        self.log, self.host_list, self.service = await asyncio.gather(
            self._processes.start("log", "standin", "log-service"),
            self._processes.start("hosts", "standin", "host-list"),
            self._processes.start(
                "signup-1", "standin", "service", "--can-query", "--honour-fence"
            ),
        )
        gate = asyncio.Semaphore(STARTING)
        self.engines = await asyncio.gather(
            *(
                self._engine(gate, zone, number)
                for zone in self._zones
                for number in range(self._engines_per_zone)
            )
        )
        await self._publish()
        await self._list(session)
        self.hosts = await asyncio.gather(
            *(
                self._host(gate, zone, number)
                for zone in self._zones
                for number in range(self._hosts_per_zone)
            )
        )
        await self._list(session)

    async def _engine(self, gate: asyncio.Semaphore, zone: str, number: int) -> Process:
        name = f"engine-{zone[-1]}{number + 1}"
        async with gate:
            return await self._processes.start(name, "standin", "engine", "--name", name)

    async def _host(self, gate: asyncio.Semaphore, zone: str, number: int) -> Process:
        name = f"entry-{zone[-1]}{number + 1}"
        settings = {
            "host": name,
            "zone": zone,
            "region": REGION,
            "trace": str(self.folder / f"{name}{TRACE_SUFFIX}"),
            "platform": {"log": self.log.address, "hosts": self.host_list.address},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        async with gate:
            return await self._processes.start(name, "run", "--settings", str(path))

    async def _list(self, session: aiohttp.ClientSession) -> None:
        entries = msgspec.to_builtins(self._entries())
        await self.control(session, self.host_list, hosts=entries)

    async def _publish(self) -> None:
        plans, allowances = self.folder / "plans.yaml", self.folder / "allowances.yaml"
        plans.write_text(yaml.safe_dump(PLANS))
        allowances.write_text(yaml.safe_dump(ALLOWANCES))
        args = ("--plans", str(plans), "--allowances", str(allowances), "--author", "demo")
        await self._processes.finish("publish", "publish", "--log", self.log.address, *args)

    def _entries(self) -> list[HostEntry]:
        entries = [
            HostEntry(name=one.name, kind="entry", zone=_zone(one), address=one.fields["peers"])
            for one in self.hosts
        ]
        entries += [
            HostEntry(
                name=one.name, kind="engine", zone=_zone(one), address=one.address, service=MODEL
            )
            for one in self.engines
        ]
        service = self.service
        entries.append(
            HostEntry(
                name=service.name,
                kind="service",
                zone=ZONES[0],
                address=service.address,
                service=SERVICE,
            )
        )
        return entries

    async def control(
        self, session: aiohttp.ClientSession, one: Process, **knobs: typing.Any
    ) -> dict[str, typing.Any]:
        """Set a stand-in's knobs, if any, and return its state."""
        url = f"{one.address}/control"
        async with session.post(url, json=knobs) as resp:
            resp.raise_for_status()
            return await resp.json()

    async def used_slots(self, session: aiohttp.ClientSession) -> int:
        """Return the slots that all engines hold."""
        states = await asyncio.gather(*(self.control(session, one) for one in self.engines))
        return sum(state["used"] for state in states)


def _zone(one: Process) -> str:
    letter = one.name.split("-")[1][0]
    return next(zone for zone in ZONES if zone.endswith(letter))
