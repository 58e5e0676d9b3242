"""Tests of two hosts whose endpoints end whenever they begin to run one request."""

import aiohttp

from wasabiwick._forward_daemon import ForwardDaemon

from ._platform import Endpoint
from ._two_hosts import TwoHostsTest
from .test_on_platform import TOKEN_HEADERS, Site

CRASHING_BODY = b"crashes"
SAFE, STREAM = "/safe/x", "/stream/x"
ENDPOINTS = 12  # Of each kind.
# The users' rule: once a request has ended this many endpoints, hosts have learned of it.
MAX_ENDED = 3
MAX_MORE = 3  # The users' rule: repeats of it that may still reach endpoints then.


class TestCrashingRequest(TwoHostsTest):
    """Hosts together learn which request ends endpoints, and send it no more."""

    def prepare(self, site: Site) -> None:
        """Add endpoints, which all end over one body."""
        for number in range(2, ENDPOINTS):
            site.endpoints[f"d{number}"] = Endpoint(f"d{number}", "decode")
            site.endpoints[f"s{number}"] = Endpoint(f"s{number}")
        for endpoint in site.endpoints.values():
            endpoint.crashing_body = CRASHING_BODY

    async def send(
        self, host: ForwardDaemon, path: str, body: bytes = CRASHING_BODY, **headers: str
    ) -> int:
        """Send a request, and return the status of its answer; 0 if that is cut off."""
        self.sent += 1
        sent_headers = {
            **(TOKEN_HEADERS if path == STREAM else {}),
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"t{self.sent}",
            "X-Wasabiwick-Deadline-Ms": "5000",
            **headers,
        }
        url = f"http://{host.callers}{path}"
        try:
            async with self.site.session.post(url, data=body, headers=sent_headers) as resp:
                await resp.read()
                return resp.status
        except aiohttp.ClientError:
            return 0

    def ended(self) -> int:
        """Return how many endpoints have ended."""
        return sum(one.has_ended for one in self.site.endpoints.values())

    async def end_some(self, path: str) -> int:
        """Send the request until it has ended enough endpoints, and return how many ended."""
        while self.ended() < MAX_ENDED:
            await self.send(self.hosts[self.sent % 2], path)
            await self.settle()
        return self.ended()

    async def test_plain_request_that_ended_endpoints_reaches_no_more_of_them(self) -> None:
        ended = await self.end_some(SAFE)
        for number in range(6):
            await self.send(self.hosts[number % 2], SAFE)
            await self.settle()
        self.assertLessEqual(self.ended() - ended, MAX_MORE)

    async def test_stream_that_ended_engines_reaches_no_more_of_them(self) -> None:
        ended = await self.end_some(STREAM)
        for number in range(6):
            await self.send(self.hosts[number % 2], STREAM)
            await self.settle()
        self.assertLessEqual(self.ended() - ended, MAX_MORE)

    async def test_other_requests_are_served(self) -> None:
        await self.end_some(SAFE)
        for host in self.hosts:
            self.assertEqual(await self.send(host, SAFE, b"sound"), 200)
            self.assertEqual(await self.send(host, SAFE + "y", b"sound"), 200)
            self.assertEqual(await self.send(host, STREAM, b"sound"), 200)
