"""Tests, with real processes, of orders to engines that honour or ignore fencing numbers."""

import pathlib
import tempfile
import unittest

import aiohttp
import msgspec
import yaml

from wasabiwick import _configuration, _publish, _wire
from wasabiwick._adapters import HttpLogService
from wasabiwick._settings import Timing

from ._processes import Process, Processes, control, post, until

# Whether the engines of each model honour fencing numbers.
MODELS = {"strict": "honoured", "lax": "ignored"}
ORDERS = {"lease": 3.0, "longest": 1.0}  # Settings of the host, in seconds.


class TestOrdersLive(unittest.IsolatedAsyncioTestCase):
    """Engines get to run the published version; a stale order is refused, or corrected later."""

    async def asyncSetUp(self) -> None:  # noqa: N802 - named by unittest
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.session = aiohttp.ClientSession()
        self.processes = Processes()
        self.engines: dict[str, list[Process]] = {}

    async def asyncTearDown(self) -> None:  # noqa: N802 - named by unittest
        await self.processes.close()
        await self.session.close()

    async def start(self) -> None:
        self.log = await self.processes.standin("log-service")
        self.hosts = await self.processes.standin("host-list")
        for model, fencing in MODELS.items():
            flag = "--honour-fence" if fencing == "honoured" else "--no-honour-fence"
            self.engines[model] = [
                await self.processes.standin(
                    *("engine", "--name", f"{model}-{number}", "--models", model, flag),
                    *("--load-seconds", "0.1"),
                )
                for number in range(2)
            ]
        await self.publish("1")
        settings = {
            "host": "entry-1",
            "zone": "z",
            "region": "r",
            "platform": {"log": self.log.address, "hosts": self.hosts.address},
            "orders": ORDERS,
        }
        path = self.folder / "settings.yaml"
        path.write_text(yaml.safe_dump(settings))
        host = await self.processes.start("run", "--settings", str(path))
        await self.list_hosts(host)

    async def list_hosts(self, host: Process) -> None:
        entries = [
            _wire.HostEntry(
                name=f"{model}-{number}",
                kind="engine",
                zone="z",
                address=engine.address,
                service=model,
            )
            for model, engines in self.engines.items()
            for number, engine in enumerate(engines)
        ]
        entries.append(
            _wire.HostEntry(
                name="entry-1", kind="entry", zone="z", address=host.fields["peers"].strip('"')
            )
        )
        await control(self.session, self.hosts, hosts=msgspec.to_builtins(entries))

    async def publish(self, version: str) -> None:
        log = HttpLogService(session=self.session, address=self.log.address, timing=Timing())
        history = await _publish.read_history(log, {})
        models = {name: {"version": version, "fencing": how} for name, how in MODELS.items()}
        entries = {"customers": {}, "plans": {}, "services": {}, "models": models}
        content = _configuration.content_of(entries)
        publication = _publish.Publication(log=log, history=history, content=content, author="op")
        self.assertEqual((await publication.run()).outcome, _publish.IN_FORCE)

    async def loaded_versions(self, engine: Process) -> dict[str, str]:
        return (await control(self.session, engine))["loaded"]

    async def all_have_loaded(self, version: str) -> bool:
        for model, engines in self.engines.items():
            for engine in engines:
                if (await self.loaded_versions(engine)).get(model) != version:
                    return False
        return True

    async def test_stale_orders_are_refused_or_corrected(self) -> None:
        await self.start()
        await self.publish("2")
        await until(lambda: self.all_have_loaded("2"))
        for model in MODELS:
            engine = self.engines[model][0]
            stale = {"action": "load", "model": model, "version": "1", "fence": -1}
            status, _ = await post(self.session, f"{engine.address}/v1/orders", stale)
            self.assertEqual(status, 409 if model == "strict" else 200)
        strict = await self.loaded_versions(self.engines["strict"][0])
        self.assertEqual(strict["strict"], "2")
        await until(lambda: self.all_have_loaded("2"))
        state = await control(self.session, self.engines["strict"][0])
        refused = [one for one in state["orders"] if not one["accepted"]]
        self.assertEqual([one["ask"]["version"] for one in refused], ["1"])
