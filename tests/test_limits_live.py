"""Tests of two hosts whose endpoints name limits for all hosts together."""

import asyncio

from wasabiwick._forward_daemon import ForwardDaemon

from ._processes import until
from ._two_hosts import TwoHostsTest

LIMIT = 2.0  # Requests a second.
REQUESTS = 120
PAUSE = 0.02  # Seconds between two requests.
WINDOW = 4.0  # The users' rule: seconds over which requests are counted.


def allowed(limit: float, seconds: float) -> float:
    """Return how many requests the users' rule allows in some seconds."""
    return 1.5 * limit * seconds + 5


class LimitTest(TwoHostsTest):
    """Base of tests that each have a site with two hosts."""

    async def send(self, host: ForwardDaemon) -> tuple[int, str]:
        """Send a request, and return the status of its answer and when to come back."""
        self.sent += 1
        headers = {
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"t{self.sent}",
            "X-Wasabiwick-Deadline-Ms": "1500",
        }
        url = f"http://{host.callers}/safe/x"
        async with self.site.session.get(url, headers=headers) as resp:
            await resp.read()
            return resp.status, resp.headers.get("Retry-After", "")

    async def send_all(self) -> list[tuple[int, str]]:
        """Send many requests, to the hosts in turn."""
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(self.send(self.hosts[number % 2])))
            await asyncio.sleep(PAUSE)
        return await asyncio.gather(*tasks)


class TestReading(LimitTest):
    """Hosts learn a limit from any answer, and that it has ended."""

    def limits(self, number: int = 0) -> dict[str, float]:
        """Return the limits that a host knows."""
        known = self.hosts[number].runner.state["endpoint_limits"].limits
        return {name: one.rate for name, one in known.items() if one.rate is not None}

    async def test_limit_is_known_while_answers_name_it(self) -> None:
        for name in ("s0", "s1"):
            self.site.endpoints[name].limit = LIMIT
        await self.send(self.hosts[0])
        self.assertIn(LIMIT, self.limits().values())
        for name in ("s0", "s1"):
            self.site.endpoints[name].limit = None

        async def has_ended() -> bool:
            await self.send(self.hosts[0])
            return not self.limits()

        await until(has_ended)

    async def test_unusable_limits_are_ignored(self) -> None:
        for text in ("many", "-1", "nan", "inf", ""):
            for name in ("s0", "s1"):
                self.site.endpoints[name].limit = text
            status, _ = await self.send(self.hosts[0])
            self.assertEqual(status, 200)
        self.assertEqual(self.limits(), {})


class TestSummedLimit(LimitTest):
    """All hosts together keep to the limit that an endpoint names."""

    async def test_all_hosts_together_keep_to_the_limit(self) -> None:
        endpoints = [self.site.endpoints[name] for name in ("s0", "s1")]
        for endpoint in endpoints:
            endpoint.limit = LIMIT
        for host in self.hosts:
            await self.send(host)
        for endpoint in endpoints:
            endpoint.arrivals.clear()
        answers = await self.send_all()
        for endpoint in endpoints:
            for at in endpoint.arrivals:
                count = sum(at <= one < at + WINDOW for one in endpoint.arrivals)
                self.assertLessEqual(count, allowed(LIMIT, WINDOW))
            self.assertTrue(endpoint.arrivals)
        refusals = [retry_after for status, retry_after in answers if status == 503]
        self.assertTrue(refusals and all(refusals))
