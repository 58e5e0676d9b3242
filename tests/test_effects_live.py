"""Tests of work that may run only once with real processes, sockets and faults.

Each test starts a log, a host list, a service and two entry hosts, and checks the service's own
count of effects against what the callers were told.
"""

import asyncio
import pathlib
import random
import signal
import tempfile
import unittest

import aiohttp

from wasabiwick._demo._processes import Process, Processes
from wasabiwick._demo._site import API_KEY, SERVICE, Site
from wasabiwick._load._caller import new_key

KEYS = 8
SEED = 5
ATTEMPTS = 40
SILENCE = 3.0  # Seconds after which a caller gives a connection up.
RETRY = 0.3  # Seconds.


class Caller:
    """Retries one key on any host until it has an answer that will not change."""

    def __init__(self, site: Site, session: aiohttp.ClientSession, rng: random.Random) -> None:
        self.site = site
        self.session = session
        self.rng = rng
        self.key = new_key(rng)
        self.answers: list[str] = []
        self.told_not_run = 0

    async def run(self) -> None:
        """Call until answered, or until both hosts say alike that the outcome is unknown."""
        for _ in range(ATTEMPTS):
            told = await self.attempt(self.rng.choice(self.site.hosts))
            self.answers.append(told)
            if told == "answered" or self.answers[-6:].count("outcome_unknown") == 6:
                return
            await asyncio.sleep(RETRY)

    async def attempt(self, host: Process) -> str:
        headers = {"Authorization": f"Bearer {API_KEY}", "Idempotency-Key": self.key}
        url = f"{host.fields['callers']}/v1/services/{SERVICE}/sign-ups"
        try:
            async with self.session.post(
                url,
                json={"member": self.key},
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=SILENCE),
            ) as resp:
                body = await resp.json()
        except (aiohttp.ClientError, TimeoutError):
            return "broken"
        if resp.status == 200:
            return "answered"
        if body["error"]["verdict"] == "NOT_RUN":
            await self.check_not_run()
        return body["error"]["code"]

    async def check_not_run(self) -> None:
        """Check a proof against the service's own count, at the time that it is told."""
        self.told_not_run += 1
        state = await self.site.control(self.session, self.site.service)
        ran = [key for key in state["effects"] if self.key in key]
        if ran:
            raise AssertionError(f"NOT_RUN was told of {ran}")


class LiveCase(unittest.IsolatedAsyncioTestCase):
    """A site of two entry hosts in two zones, and callers of its service."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        self.processes = Processes(folder=path)
        self.addAsyncCleanup(self.processes.close)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        self.addAsyncCleanup(self.session.close)
        self.site = Site(processes=self.processes, folder=path, zones=2, hosts=1, engines=0)
        await self.site.start(self.session)
        self.rng = random.Random(SEED)
        self.callers = [Caller(self.site, self.session, self.rng) for _ in range(KEYS)]

    async def call_all(self, fault: object = None) -> None:
        """Run all callers, with a fault after the first ones began."""
        tasks = [asyncio.create_task(caller.run()) for caller in self.callers]
        if fault:
            await fault
        await asyncio.gather(*tasks)

    async def effects(self) -> dict[str, int]:
        state = await self.site.control(self.session, self.site.service)
        return state["effects"]

    async def check(self) -> None:
        effects = await self.effects()
        self.assertEqual([key for key, count in effects.items() if count > 1], [])
        for caller in self.callers:
            ran = any(caller.key in key for key in effects)
            if caller.answers[-1] == "answered":
                self.assertTrue(ran, caller.answers)

    def answered(self) -> int:
        return sum(caller.answers[-1] == "answered" for caller in self.callers)


class TestFaults(LiveCase):
    """The service's count per key never exceeds one, and every proof holds."""

    async def test_log_faults(self) -> None:
        async def faults() -> None:
            await asyncio.sleep(0.2)
            await self.site.control(self.session, self.site.log, outage=True)
            await asyncio.sleep(1.5)
            await self.site.control(self.session, self.site.log, outage=False)

        await self.site.control(self.session, self.site.log, lose_replies=6)
        await self.call_all(faults())
        await self.check()
        self.assertEqual(self.answered(), KEYS)

    async def test_cut_answers_and_host_killed(self) -> None:
        async def kill() -> None:
            await asyncio.sleep(0.15)
            self.site.hosts[0].send(signal.SIGKILL)

        await self.site.control(self.session, self.site.service, lose_replies=4)
        await self.call_all(kill())
        await self.check()
        self.assertGreater(self.answered(), 0)

    async def test_host_paused(self) -> None:
        async def pause() -> None:
            await asyncio.sleep(0.1)
            self.site.hosts[0].send(signal.SIGSTOP)
            await asyncio.sleep(4.0)
            self.site.hosts[0].send(signal.SIGCONT)

        await self.call_all(pause())
        await self.check()
        self.assertGreater(self.answered(), 0)
