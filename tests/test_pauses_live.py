"""Tests of a host whose endpoints turn requests away and ask for rest, by what reaches them."""

import asyncio
import time

from wasabiwick._events import EndpointPaused

from ._processes import until
from .test_on_platform import SiteTest

REST = 2.0  # Seconds that an endpoint asks for.
GRACE = 0.5  # The users' rule: seconds after the answer from which arrivals count.
MAX_ARRIVALS = 2  # The users' rule: requests that may reach the endpoint in the rest of the time.
REQUESTS = 60
PAUSE = 0.04  # Seconds between two of them.


class TestRest(SiteTest):
    """An endpoint that asked for rest gets no requests from that host meanwhile."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.site.wait_for_feeds()

    async def check_rest(self, name: str, path: str) -> None:
        """Let an endpoint turn all requests away, and count those that reach it meanwhile."""
        endpoint = self.site.endpoints[name]
        endpoint.refusals_left, endpoint.retry_after = 10_000, str(REST)
        tasks = []
        for _ in range(REQUESTS):
            tasks.append(asyncio.create_task(self.site.status_of(path)))
            await asyncio.sleep(PAUSE)
        await asyncio.gather(*tasks)
        times = endpoint.refused_at
        self.assertTrue(times)
        begin = times[0]
        counted = [at for at in times if begin + GRACE <= at < begin + REST]
        self.assertLessEqual(len(counted), MAX_ARRIVALS)

    async def test_plain_endpoint_gets_no_requests(self) -> None:
        await self.check_rest("s0", "/unsafe/x")

    async def test_prefill_engine_gets_no_requests(self) -> None:
        await self.check_rest("p0", "/stream/x")

    async def test_decode_engine_gets_no_requests(self) -> None:
        await self.check_rest("d0", "/stream/x")

    async def test_engine_gets_nothing_for_places_that_it_had_reserved(self) -> None:
        """Prompts that were read meanwhile are not sent to the engine that asked for rest."""
        prefilling, resting = self.site.endpoints["p0"], self.site.endpoints["d0"]
        prefilling.prefill_delay = 0.35
        tasks = [asyncio.create_task(self.site.status_of("/stream/x")) for _ in range(12)]

        async def has_reserved() -> bool:
            return len(resting.open_holds) >= 4

        await until(has_reserved)
        said_at = time.monotonic()
        runner = self.site.daemon.runner
        runner.post(EndpointPaused(at=runner.now(), endpoint="d0", seconds=20.0))
        await asyncio.gather(*tasks)
        self.assertEqual([at for at in resting.arrivals if at > said_at], [])
        self.assertEqual(resting.open_holds, set())
