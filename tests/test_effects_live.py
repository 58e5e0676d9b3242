"""Tests of run-once calls with real processes, sockets and faults.

Each test starts a log, a host list, a service and two entry hosts. It compares the effects that the
service counted per key with the answers that the callers got.
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
MAX_ATTEMPTS = 40
CALL_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.3


class Caller:
    """Retries one key on random hosts until the answer is final."""

    def __init__(self, site: Site, session: aiohttp.ClientSession, rng: random.Random) -> None:
        self.site = site
        self.session = session
        self.rng = rng
        self.key = new_key(rng)
        self.answers: list[str] = []
        self.not_run_count = 0

    async def run(self) -> None:
        """Call until answered, or until six answers in a row say that the outcome is unknown."""
        for _ in range(MAX_ATTEMPTS):
            outcome = await self.attempt(self.rng.choice(self.site.hosts))
            self.answers.append(outcome)
            if outcome == "answered" or self.answers[-6:].count("outcome_unknown") == 6:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def attempt(self, host: Process) -> str:
        headers = {"Authorization": f"Bearer {API_KEY}", "Idempotency-Key": self.key}
        url = f"{host.fields['callers']}/v1/services/{SERVICE}/sign-ups"
        try:
            async with self.session.post(
                url,
                json={"member": self.key},
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
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
        """Check, at the time of the answer, that the service ran nothing for a NOT_RUN key."""
        self.not_run_count += 1
        state = await self.site.control(self.session, self.site.service)
        executed = [key for key in state["effects"] if self.key in key]
        if executed:
            raise AssertionError(f"NOT_RUN answered for executed keys {executed}")


class LiveCase(unittest.IsolatedAsyncioTestCase):
    """Starts a site of two entry hosts in two zones, and callers of its service."""

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
        """Run all callers, and once they have started, the fault."""
        tasks = [asyncio.create_task(caller.run()) for caller in self.callers]
        if fault:
            await fault
        await asyncio.gather(*tasks)

    async def effects(self) -> dict[str, int]:
        state = await self.site.control(self.session, self.site.service)
        return state["effects"]

    async def check_effects(self) -> None:
        """Check that no key ran twice, and that each key that was answered with success ran."""
        effects = await self.effects()
        self.assertEqual([key for key, count in effects.items() if count > 1], [])
        for caller in self.callers:
            executed = any(caller.key in key for key in effects)
            if caller.answers[-1] == "answered":
                self.assertTrue(executed, caller.answers)

    def answered(self) -> int:
        return sum(caller.answers[-1] == "answered" for caller in self.callers)


class TestFaults(LiveCase):
    """During a fault, the service runs no key twice, and callers get no wrong answers."""

    async def test_log_outage_and_lost_replies(self) -> None:
        async def faults() -> None:
            await asyncio.sleep(0.2)
            await self.site.control(self.session, self.site.log, outage=True)
            await asyncio.sleep(1.5)
            await self.site.control(self.session, self.site.log, outage=False)

        await self.site.control(self.session, self.site.log, lose_replies=6)
        await self.call_all(faults())
        await self.check_effects()
        self.assertEqual(self.answered(), KEYS)

    async def test_service_replies_lost_and_host_killed(self) -> None:
        async def kill() -> None:
            await asyncio.sleep(0.15)
            self.site.hosts[0].send(signal.SIGKILL)

        await self.site.control(self.session, self.site.service, lose_replies=4)
        await self.call_all(kill())
        await self.check_effects()
        self.assertGreater(self.answered(), 0)

    async def test_host_paused_and_resumed(self) -> None:
        async def pause() -> None:
            await asyncio.sleep(0.1)
            self.site.hosts[0].send(signal.SIGSTOP)
            await asyncio.sleep(4.0)
            self.site.hosts[0].send(signal.SIGCONT)

        await self.call_all(pause())
        await self.check_effects()
        self.assertGreater(self.answered(), 0)
