"""Tests of the load tool's direct calls to engines."""

import unittest

import aiohttp

from wasabiwick._load._caller import Ask
from wasabiwick._load._direct import DirectCaller
from wasabiwick._load._measure import Tally

from ._processes import Processes


class TestDirectCaller(unittest.IsolatedAsyncioTestCase):
    """An engine remembers an earlier run's attempts, so each run needs its own attempt ids."""

    async def test_second_run_against_the_same_engine_is_answered_too(self) -> None:
        processes = Processes()
        self.addAsyncCleanup(processes.close)
        engine = await processes.standin("engine", "--step", "0.001")
        async with aiohttp.ClientSession() as session:
            for _ in range(2):
                tally = Tally()
                direct = DirectCaller(session=session, engines=(engine.address,), tally=tally)
                await direct.generate(Ask(content="a b c", max_tokens=3, model="lectio-lm"))
                self.assertEqual((tally.answered, tally.wrong), (1, 0))
