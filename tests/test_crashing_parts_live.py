"""Tests of two hosts whose engines end whenever they begin to answer prompts with one part."""

import time
import unittest

import aiohttp

from wasabiwick import platform
from wasabiwick._effects_forwarding import CheckEnded
from wasabiwick._errors import Failure
from wasabiwick._events import FindingsRead
from wasabiwick._forward_daemon import ForwardDaemon
from wasabiwick._forwarding import Crash, Findings, SoundPart
from wasabiwick.platform._endpoints import PlatformEndpoints

from ._platform import Endpoint, Store, serving
from ._two_hosts import TwoHostsTest
from .test_on_platform import TOKEN_HEADERS, Site

CRASHING_PART = "bad"
FIRST_PART = "a1"  # Part that the prompts of sound requests share with those that end engines.
DECODE_ENGINES = 12
# The users' rule: once a part has ended this many engines, hosts have learned of it.
MAX_ENDED = 5
MAX_MORE = 3  # The users' rule: requests that may still reach engines then.


class TestCrashingPart(TwoHostsTest):
    """Hosts together learn which part ends engines, and send no more requests with it."""

    def prepare(self, site: Site) -> None:
        """Add engines, which all end over one part."""
        for number in range(2, DECODE_ENGINES):
            site.endpoints[f"d{number}"] = Endpoint(f"d{number}", "decode")
        for endpoint in site.endpoints.values():
            endpoint.crashing_part = CRASHING_PART

    async def send(self, host: ForwardDaemon, *parts: str) -> int:
        """Send a request like no other whose prompt has these parts; return the answer's status."""
        self.sent += 1
        headers = {
            **TOKEN_HEADERS,
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"t{self.sent}",
            "X-Wasabiwick-Deadline-Ms": "5000",
            "X-Wasabiwick-Prefix-Hash": ",".join(f"{one}:50" for one in (*parts, "last")),
        }
        url = f"http://{host.callers}/stream/x"
        try:
            async with self.site.session.post(
                url, data=f"body {self.sent}", headers=headers
            ) as resp:
                await resp.read()
                return resp.status
        except aiohttp.ClientError:
            return 0

    def ended(self) -> int:
        """Return how many engines have ended."""
        return sum(one.has_ended for one in self.site.endpoints.values())

    def received(self, part: str) -> int:
        """Return how many requests whose prompts have a part have reached decode engines."""
        requests = [
            headers.get("X-Wasabiwick-Prefix-Hash", "")
            for one in self.site.endpoints.values()
            if one.stage == "decode"
            for _, headers in one.requests
        ]
        return sum(f"{part}:" in parts for parts in requests)

    async def test_part_that_ended_engines_reaches_no_more_of_them(self) -> None:
        for number in range(5):
            await self.send(self.hosts[number % 2], FIRST_PART, CRASHING_PART)
            await self.settle()
        self.assertLessEqual(self.ended(), MAX_ENDED)
        received = self.received(CRASHING_PART)
        for host in self.hosts:
            self.assertEqual(await self.send(host, FIRST_PART, CRASHING_PART), 503)
        self.assertEqual(self.received(CRASHING_PART), received)
        # Only now does a request show that the first part is not the cause.
        for number in range(4):
            await self.send(self.hosts[number % 2], f"b{number}", CRASHING_PART)
            await self.settle()
        self.assertLessEqual(self.received(CRASHING_PART), received + MAX_MORE)

    async def test_part_behind_hundreds_of_others_reaches_no_more_engines(self) -> None:
        """Hosts read the first 16 parts of a prompt, so that one behind them was never blocked."""
        before = tuple(f"5c{number:06x}" for number in range(400))
        for number in range(5):
            await self.send(self.hosts[number % 2], *before, CRASHING_PART)
            await self.settle()
        self.assertLessEqual(self.ended(), MAX_ENDED)
        received = self.received(CRASHING_PART)
        for host in self.hosts:
            self.assertEqual(await self.send(host, *before, CRASHING_PART), 503)
            self.assertEqual(await self.send(host, *before), 200)
        self.assertLessEqual(self.received(CRASHING_PART), received)

    async def test_sound_requests_with_the_same_first_part_are_served(self) -> None:
        for number in range(5):
            await self.send(self.hosts[number % 2], FIRST_PART, CRASHING_PART)
            await self.settle()
        for host in self.hosts:
            self.assertEqual(await self.send(host, FIRST_PART), 200)


class TestExamination(unittest.IsolatedAsyncioTestCase):
    """An endpoint has ended if nothing listens at its address, or something else does."""

    async def asyncSetUp(self) -> None:
        self.endpoint = Endpoint("d0", "decode")
        self.endpoint.address = await self.enterAsyncContext(
            serving(self.endpoint.app(), self.endpoint)
        )
        self.port = PlatformEndpoints(time.monotonic)
        self.addCleanup(self.port.close)

    async def has_ended(self, name: str = "d0", born: int = 1) -> bool | Failure:
        """Examine the endpoint's address."""
        effect = CheckEnded(endpoint=name, address=self.endpoint.address, born=born)
        return await self.port.has_ended(effect)

    async def test_endpoint_that_answers_has_not_ended(self) -> None:
        self.assertIs(await self.has_ended(), False)

    async def test_endpoint_whose_address_refuses_connections_has_ended(self) -> None:
        await self.endpoint.end()
        self.assertIs(await self.has_ended(), True)

    async def test_endpoint_whose_address_belongs_to_another_has_ended(self) -> None:
        self.assertIs(await self.has_ended(name="d9"), True)

    async def test_endpoint_that_started_again_under_its_name_has_ended(self) -> None:
        self.endpoint.born = 2
        self.assertIs(await self.has_ended(born=1), True)

    async def test_silent_endpoint_is_unknown(self) -> None:
        self.endpoint.is_silent = True
        self.assertIsInstance(await self.has_ended(), Failure)


class TestSavedFindings(unittest.IsolatedAsyncioTestCase):
    """Hosts read back what they saved in the store."""

    async def asyncSetUp(self) -> None:
        self.store = Store()
        address = await self.enterAsyncContext(serving(self.store.app()))
        client = platform._store.Store(f"http://{address}")
        self.addAsyncCleanup(client.close)
        self.client = client
        self.register = platform._feeds.StoreHostRegister(client)

    async def read(self, now: float) -> FindingsRead:
        """Read what all hosts saved."""
        page = await self.client.newest("keyed.findings")
        return platform._feeds.decode_findings(now, page, True)

    async def test_findings_come_back_with_their_age(self) -> None:
        crash = Crash(endpoint="d0", born=7, service="m", parts=("a", "b"), at=90.0)
        sound = SoundPart(service="m", part="c", at=80.0)
        saved = Findings(host="host-b", crashes=(crash,), sound=(sound,))
        self.assertIsNone(await self.register.save_findings(saved, 100.0))
        (found,) = (await self.read(500.0)).findings
        self.assertEqual(found.host, "host-b")
        self.assertEqual((found.crashes[0].parts, found.crashes[0].born), (("a", "b"), 7))
        self.assertAlmostEqual(found.crashes[0].at, 490.0, delta=5.0)
        self.assertAlmostEqual(found.crashes[0].at - found.sound[0].at, 10.0, places=2)

    async def test_unreadable_record_is_left_out(self) -> None:
        await self.store.put("keyed.findings", "host-c", b"not a record")
        self.assertEqual((await self.read(0.0)).findings, ())

    async def test_failed_save_is_reported(self) -> None:
        self.store.fault = "busy"
        failure = await self.register.save_findings(Findings(host="host-b"), 0.0)
        self.assertIsInstance(failure, Failure)
