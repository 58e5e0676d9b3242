"""Tests of serving, with real processes, while the platform changes or has an outage."""

import asyncio
import contextlib
import typing
import unittest

from wasabiwick._standins._output import expected_output

from ._processes import control, until
from ._site import Site

PROMPT = "a polite reminder of the quote for the sign above the shop " * 6
TOKENS = 20
LEAVING_LIMIT_S = 3.0  # Time within which a leaving endpoint may still get new work.
WATCH_TIME_S = 1.5  # Time under load between two readings of the counters.


class Load:
    """Callers that each send one request after another until they are stopped.

    Attributes:
        answered: Number of answers with status 200.
        wrong_answers: Bodies of failures, and texts that are not the expected output.
    """

    def __init__(self, site: Site, callers: int) -> None:
        self.answered = 0
        self.wrong_answers: list[str] = []
        self._site = site
        self._tasks = [
            asyncio.create_task(self._send_requests(number)) for number in range(callers)
        ]

    async def _send_requests(self, caller: int) -> None:
        hosts = list(self._site.hosts.values())
        number_sent = 0
        while True:
            number_sent += 1
            prompt = f"{PROMPT}{caller} {number_sent}"
            resp = await self._site.generate(hosts[number_sent % len(hosts)], prompt, TOKENS)
            if resp.status != 200:
                self.wrong_answers.append(await resp.text())
                continue
            text = (await resp.json())["choices"][0]["text"]
            if text != expected_output(prompt, TOKENS):
                self.wrong_answers.append(text)
            self.answered += 1

    async def stop(self) -> None:
        """Stop all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def load(site: Site, callers: int = 6) -> typing.AsyncIterator[Load]:
    """Keep callers sending requests while the block runs."""
    running = Load(site, callers)
    try:
        yield running
    finally:
        await running.stop()


class TestLeavingEngine(unittest.IsolatedAsyncioTestCase):
    """An engine that is leaving gets no new work, and its running requests are completed."""

    async def tokens_prefilled(self, site: Site, engine: str) -> int:
        return (await site.engine_states())[engine]["prefill_tokens"]

    async def test_leaving_by_the_host_list(self) -> None:
        async with Site.running(engines=3) as site, load(site) as callers:

            async def has_worked() -> bool:
                return await self.tokens_prefilled(site, "e0") > 0

            await until(has_worked)
            await control(site.session, site.host_list, leaving=["e0"])
            await asyncio.sleep(LEAVING_LIMIT_S)
            before = await self.tokens_prefilled(site, "e0")
            answered = callers.answered
            await asyncio.sleep(WATCH_TIME_S)
            self.assertEqual(await self.tokens_prefilled(site, "e0"), before)
            self.assertGreater(callers.answered, answered)
            self.assertEqual(callers.wrong_answers, [])


class TestPlatformOutage(unittest.IsolatedAsyncioTestCase):
    """During an outage of log and host list, hosts keep serving with the last configuration."""

    async def start_outage(self, site: Site) -> None:
        await control(site.session, site.log, outage=True)
        await control(site.session, site.host_list, refuse=True)

    async def test_generations_continue(self) -> None:
        async with Site.running() as site, load(site) as callers:
            await self.start_outage(site)
            await asyncio.sleep(WATCH_TIME_S)
            answered = callers.answered
            await asyncio.sleep(WATCH_TIME_S)
            self.assertGreater(callers.answered, answered)
            self.assertEqual(callers.wrong_answers, [])

    async def test_new_host_gets_the_configuration_from_another_host(self) -> None:
        async with Site.running() as site:
            await control(site.session, site.log, outage=True)
            new_host = await site.start_host("c")

            async def serves() -> bool:
                return await site.is_ready(new_host)

            await until(serves)
            resp = await site.generate(new_host, PROMPT, TOKENS)
            self.assertEqual(resp.status, 200)

    async def test_call_that_needs_the_log_is_refused_without_running(self) -> None:
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
