"""Runs one entry host with engines and platform stand-ins, as real processes."""

import hashlib
import pathlib
import tempfile
import typing

import aiohttp
import yaml

from ._processes import Process, Processes, control, until

API_KEY = "site-key"
MODEL = "lectio-lm"
ZONE = "tx-central-a"


class SmallSite:
    """One entry host with its engines and the platform's stand-ins.

    Args:
        processes: The processes of the test.
        session: Client session for the stand-ins and the host.
    """

    def __init__(self, *, processes: Processes, session: aiohttp.ClientSession) -> None:
        self.processes = processes
        self.session = session
        self.engines: list[Process] = []
        self.host: Process | None = None
        self._folder = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self.host.fields["callers"]

    async def start(self, *engine_options: str, engines: int = 2, **settings: typing.Any) -> None:
        """Start all processes, and wait until the host is ready."""
        log = await self.processes.standin("log-service")
        host_list = await self.processes.standin("host-list")
        for number in range(engines):
            options = ("--name", f"engine-{number}", *engine_options)
            self.engines.append(await self.processes.standin("engine", *options))
        folder = pathlib.Path(self._folder.name)
        await self._publish(folder, log)
        platform = {"log": log.address, "hosts": host_list.address}
        settings |= {"host": "entry-1", "zone": ZONE, "region": "tx", "platform": platform}
        path = folder / "host.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.host = await self.processes.start("run", "--settings", str(path))
        await control(self.session, host_list, hosts=self._entries())
        await until(self._is_ready)

    async def _publish(self, folder: pathlib.Path, log: Process) -> None:
        keys = [hashlib.sha256(API_KEY.encode()).hexdigest()]
        plans = {"lonestar": {"plan": "study", "keys": keys}}
        allowances = {
            "plans": {"study": {"models": [MODEL], "may_wait": True}},
            "models": {MODEL: {}},
        }
        names = {"plans": plans, "allowances": allowances}
        for name, value in names.items():
            (folder / f"{name}.yaml").write_text(yaml.safe_dump(value))
        args = [part for name in names for part in (f"--{name}", str(folder / f"{name}.yaml"))]
        await self.processes.run_to_end("publish", "--log", log.address, "--author", "test", *args)

    def _entries(self) -> list[dict[str, str]]:
        peers = self.host.fields["peers"]
        entries = [{"name": "entry-1", "kind": "entry", "zone": ZONE, "address": peers}]
        for number, engine in enumerate(self.engines):
            entry = {"name": f"engine-{number}", "kind": "engine", "zone": ZONE}
            entries.append({**entry, "address": engine.address, "service": MODEL})
        return entries

    async def _is_ready(self) -> bool:
        async with self.session.get(f"{self.url}/readyz") as resp:
            return resp.ok

    def close(self) -> None:
        """Remove the settings and lists that were written."""
        self._folder.cleanup()

    async def used(self) -> int:
        """Return the number of slots that are in use at the engines."""
        states = [await control(self.session, engine) for engine in self.engines]
        return sum(state["used"] for state in states)
