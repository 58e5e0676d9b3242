"""Local site: stand-ins for platform, engines and a service, and hosts in up to 3 zones."""

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
MAX_STARTING = 6  # Most processes that may be starting at the same time.

PLANS = {"lonestar": {"plan": "study", "keys": [hashlib.sha256(API_KEY.encode()).hexdigest()]}}
ALLOWANCES = {
    "plans": {"study": {"models": [MODEL], "services": [SERVICE], "may_wait": True}},
    "services": {
        SERVICE: {"idempotent": ["GET /*"], "can_query": True, "fencing": "honoured"},
    },
    "models": {MODEL: {}},
}


class Site:
    """The processes of a site, by kind.

    Args:
        processes: Starts the site's processes.
        folder: Folder for settings, lists and traces.
        zones: Number of availability zones, up to three.
        hosts: Entry hosts in each availability zone.
        engines: Engines in each availability zone.
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
        """Start all processes, and publish the host list, plans and allowances."""
        self.log, self.host_list, self.service = await asyncio.gather(
            self._processes.start("log", "standin", "log-service"),
            self._processes.start("hosts", "standin", "host-list"),
            self._processes.start(
                "signup-1", "standin", "service", "--can-query", "--honour-fence"
            ),
        )
        start_limit = asyncio.Semaphore(MAX_STARTING)
        self.engines = await asyncio.gather(
            *(
                self._start_engine(start_limit, zone, number)
                for zone in self._zones
                for number in range(self._engines_per_zone)
            )
        )
        await self._publish_lists()
        await self._publish_hosts(session)
        self.hosts = await asyncio.gather(
            *(
                self._start_host(start_limit, zone, number)
                for zone in self._zones
                for number in range(self._hosts_per_zone)
            )
        )
        await self._publish_hosts(session)

    async def _start_engine(
        self, start_limit: asyncio.Semaphore, zone: str, number: int
    ) -> Process:
        name = f"engine-{zone[-1]}{number + 1}"
        async with start_limit:
            return await self._processes.start(name, "standin", "engine", "--name", name)

    async def _start_host(self, start_limit: asyncio.Semaphore, zone: str, number: int) -> Process:
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
        async with start_limit:
            return await self._processes.start(name, "run", "--settings", str(path))

    async def _publish_hosts(self, session: aiohttp.ClientSession) -> None:
        entries = msgspec.to_builtins(self._entries())
        await self.control(session, self.host_list, hosts=entries)

    async def _publish_lists(self) -> None:
        plans, allowances = self.folder / "plans.yaml", self.folder / "allowances.yaml"
        plans.write_text(yaml.safe_dump(PLANS))
        allowances.write_text(yaml.safe_dump(ALLOWANCES))
        args = ("--plans", str(plans), "--allowances", str(allowances), "--author", "demo")
        await self._processes.run_to_end("publish", "publish", "--log", self.log.address, *args)

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
        """Set knobs of a stand-in, if any are given, and return its state."""
        url = f"{one.address}/control"
        async with session.post(url, json=knobs) as resp:
            resp.raise_for_status()
            return await resp.json()

    async def used_slots(self, session: aiohttp.ClientSession) -> int:
        """Return the number of slots in use on all engines."""
        states = await asyncio.gather(*(self.control(session, one) for one in self.engines))
        return sum(state["used"] for state in states)


def _zone(one: Process) -> str:
    letter = one.name.split("-")[1][0]
    return next(zone for zone in ZONES if zone.endswith(letter))
