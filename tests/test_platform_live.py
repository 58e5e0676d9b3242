"""Tests of serving, with real processes, while the platform changes or is away."""

import asyncio
import contextlib
import typing
import unittest

from wasabiwick._standins._output import expected_output

from ._processes import control, until
from ._site import Site

PROMPT = "a polite reminder of the quote for the sign above the shop " * 6
TOKENS = 20
LEAVING_LIMIT = 3.0  # Seconds in which a leaving endpoint may still get new work.
WATCHED = 1.5  # Seconds of load after that.


class Load:
    """Callers that ask one after the other until they are stopped."""

    def __init__(self, site: Site, callers: int) -> None:
        self.answered = 0
        self.wrong: list[str] = []
        self._site = site
        self._tasks = [asyncio.create_task(self._ask(number)) for number in range(callers)]

    async def _ask(self, caller: int) -> None:
        hosts = list(self._site.hosts.values())
        turn = 0
        while True:
            turn += 1
            prompt = f"{PROMPT}{caller} {turn}"
            resp = await self._site.generate(hosts[turn % len(hosts)], prompt, TOKENS)
            if resp.status != 200:
                self.wrong.append(await resp.text())
                continue
            text = (await resp.json())["choices"][0]["text"]
            if text != expected_output(prompt, TOKENS):
                self.wrong.append(text)
            self.answered += 1

    async def stop(self) -> None:
        """Stop all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def load(site: Site, callers: int = 6) -> typing.AsyncIterator[Load]:
    """Keep callers asking for the length of a block."""
    running = Load(site, callers)
    try:
        yield running
    finally:
        await running.stop()


class TestLeavingEngine(unittest.IsolatedAsyncioTestCase):
    """An engine that is leaving gets no new work, and what it runs ends whole."""

    async def tokens_prefilled(self, site: Site, engine: str) -> int:
        return (await site.engine_states())[engine]["prefill_tokens"]

    async def test_said_by_the_host_list(self) -> None:
        async with Site.running(engines=3) as site, load(site) as callers:

            async def has_worked() -> bool:
                return await self.tokens_prefilled(site, "e0") > 0

            await until(has_worked)
            await control(site.session, site.host_list, leaving=["e0"])
            await asyncio.sleep(LEAVING_LIMIT)
            before = await self.tokens_prefilled(site, "e0")
            answered = callers.answered
            await asyncio.sleep(WATCHED)
            self.assertEqual(await self.tokens_prefilled(site, "e0"), before)
            self.assertGreater(callers.answered, answered)
            self.assertEqual(callers.wrong, [])


class TestPlatformAway(unittest.IsolatedAsyncioTestCase):
    """Serving goes on with the last configuration while log and host list are away."""

    async def outage(self, site: Site) -> None:
        await control(site.session, site.log, outage=True)
        await control(site.session, site.host_list, refuse=True)

    async def test_generations_go_on(self) -> None:
        async with Site.running() as site, load(site) as callers:
            await self.outage(site)
            await asyncio.sleep(WATCHED)
            answered = callers.answered
            await asyncio.sleep(WATCHED)
            self.assertGreater(callers.answered, answered)
            self.assertEqual(callers.wrong, [])

    async def test_new_host_gets_the_configuration_from_a_neighbour(self) -> None:
        async with Site.running() as site:
            await control(site.session, site.log, outage=True)
            born = await site.start_host("c")

            async def serves() -> bool:
                return await site.is_ready(born)

            await until(serves)
            resp = await site.generate(born, PROMPT, TOKENS)
            self.assertEqual(resp.status, 200)

    async def test_call_that_needs_the_log_is_refused_truthfully(self) -> None:
        async with Site.running() as site:
            await control(site.session, site.log, outage=True)
            path = "/v1/services/signup-app/groups/7/members"
            key = "01981a3e-0000-7000-8000-000000000001"
            host = site.hosts["a"]
            resp = await site.call(host, "POST", path, key=key, timeout=1.0, data=b"{}")
            body = await resp.json()
            self.assertGreaterEqual(resp.status, 400)
            self.assertEqual(body["error"]["verdict"], resp.headers["X-Verdict"])
            async with site.session.get(f"{site.service.address}/control") as state:
                counts = (await state.json())["effects"]
            self.assertEqual(counts, {})
