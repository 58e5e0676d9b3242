"""Test that a graceful shutdown under full load completes every stream."""

import asyncio
import random
import signal
import unittest

import aiohttp

from wasabiwick._load._caller import Ask, Caller, OutputTimer
from wasabiwick._load._measure import Tally

from ._processes import Processes, control, until
from ._small_site import API_KEY, MODEL, SmallSite

SLOTS = 8  # Slots per engine.
ENGINES = 2
TOKENS = 100  # Output tokens of each call.


class TestDrain(unittest.IsolatedAsyncioTestCase):
    """SIGTERM must not cut off calls that hold slots or wait in the queue, and must exit with 0."""

    async def asyncSetUp(self) -> None:
        processes = Processes()
        self.addAsyncCleanup(processes.close)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(self.session.close)
        self.site = SmallSite(processes=processes, session=self.session)
        self.addCleanup(self.site.close)
        # The engines start stalled, so that all slots are in use when the host gets SIGTERM.
        options = ("--slots", str(SLOTS), "--step", "0.01", "--stall")
        await self.site.start(*options, engines=ENGINES, timing={"stall": 60.0})

    async def test_every_stream_is_completed(self) -> None:
        caller = Caller(
            session=self.session,
            addresses=[self.site.url],
            key=API_KEY,
            tally=Tally(),
            rng=random.Random(1),
            deadline=float("inf"),
        )
        asks = [
            Ask(content=f"call {number}", max_tokens=TOKENS, model=MODEL, stream=number % 4 > 0)
            for number in range(SLOTS * ENGINES + 4)
        ]
        calls = [
            asyncio.create_task(caller.attempt(ask, OutputTimer(caller.tally))) for ask in asks
        ]

        async def all_slots_in_use() -> bool:
            return await self.site.used() >= SLOTS * ENGINES

        await until(all_slots_in_use)
        self.site.host.proc.send_signal(signal.SIGTERM)
        for engine in self.site.engines:
            await control(self.session, engine, stall=False)
        replies = await asyncio.gather(*calls)
        wrong = [
            (ask.content, reply.reason())
            for ask, reply in zip(asks, replies, strict=True)
            if not reply.whole or reply.text != ask.expected()
        ]
        self.assertEqual(wrong, [])
        self.assertEqual(await asyncio.wait_for(self.site.host.proc.wait(), 10), 0)
        self.assertEqual(await self.site.used(), 0)
