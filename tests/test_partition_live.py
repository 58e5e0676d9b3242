"""Tests, with real processes, of hosts that are cut off from all endpoints."""

import asyncio
import collections
import unittest

from wasabiwick._hops_codec import RequestHead, encode_head

from ._partition import HANGS, REFUSES, RESETS, HostProcess, PartitionSite
from ._processes import until
from .test_on_platform import EVENTS

KINDS = ("/safe/x", "/unsafe/x", "/stream/x")
REQUESTS = 10  # Of each kind, at each host.
TRIES = 40  # Requests until a host has to serve callers again.
PAUSE = 0.1  # Seconds between two of them.


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests with hosts in two zones."""

    zones = {"a-1": "zone-a", "a-2": "zone-a", "b-1": "zone-b"}

    async def asyncSetUp(self) -> None:
        self.site = PartitionSite(self.zones)
        await self.enterAsyncContext(self.site.run())
        self.hosts = self.site.hosts

    async def wait_until_served(self, host: HostProcess) -> None:
        """Wait until a host serves each kind of request."""
        await asyncio.gather(*(self._wait_until_served(host, path) for path in KINDS))

    async def _wait_until_served(self, host: HostProcess, path: str) -> None:
        for _ in range(TRIES):
            if await self.site.status_of(host, path, X_Wasabiwick_Deadline_Ms="2500") == 200:
                break
            await asyncio.sleep(PAUSE)
        else:
            self.fail(f"{host.name} serves no {path}")

    async def served(self, host: HostProcess) -> int:
        """Return how many of `REQUESTS` of each kind a host serves at the first attempt."""
        statuses = await asyncio.gather(
            *(self.site.status_of(host, path) for path in KINDS for _ in range(REQUESTS))
        )
        return statuses.count(200)

    async def check_cut_off(self, hosts: list[HostProcess], form: str) -> None:
        """Cut hosts off, and check that each serves its callers, also once it is healed."""
        await asyncio.gather(*(host.cut(form) for host in hosts))
        await asyncio.gather(*map(self.wait_until_served, hosts))
        for _ in range(2):
            for host in hosts:
                # The users' rule: at least two thirds as often as at the other hosts.
                self.assertGreaterEqual(await self.served(host), 2 / 3 * len(KINDS) * REQUESTS)
        await asyncio.gather(*(host.heal() for host in hosts))
        await asyncio.gather(*map(self.wait_until_served, hosts))


class TestHostCutOffFromAllEndpoints(PartitionTest):
    """Callers of a host that reaches no endpoint are served, whatever the form of the cut."""

    async def test_callers_are_served_while_connections_hang(self) -> None:
        await self.check_cut_off([self.hosts["a-1"]], HANGS)

    async def test_callers_are_served_while_connections_are_reset(self) -> None:
        await self.check_cut_off([self.hosts["a-1"]], RESETS)

    async def test_callers_are_served_while_only_new_connections_are_refused(self) -> None:
        await self.check_cut_off([self.hosts["a-1"]], REFUSES)

    async def test_callers_are_served_while_a_whole_zone_is_cut_off(self) -> None:
        await self.check_cut_off([self.hosts["a-1"], self.hosts["a-2"]], HANGS)


class TestEndpointsOutOfReach(PartitionTest):
    """A host that is cut off takes no endpoint for one that has ended."""

    zones = {"a-1": "zone-a", "b-1": "zone-b"}

    async def test_reset_streams_blame_no_request(self) -> None:
        for endpoint in self.site.endpoints.values():
            endpoint.event_interval = 0.05
        host = self.hosts["a-1"]
        streams = [
            asyncio.create_task(self.site.status_of(host, "/stream/x", b"body %d" % number))
            for number in range(REQUESTS)
        ]

        async def have_begun() -> bool:
            return sum(one.running_streams for one in self.site.endpoints.values()) == REQUESTS

        await until(have_begun)
        await host.cut(RESETS)
        await asyncio.gather(*streams)
        await until(lambda: self.has_checked(host))
        self.assertEqual([line for line in host.logged("endpoint_checked") if "True" in line], [])

    async def has_checked(self, host: HostProcess) -> bool:
        """Return whether a host has examined the endpoints whose streams broke off."""
        return bool(host.logged("endpoint_checked"))


class TestPromisesAcrossHops(PartitionTest):
    """What holds for a request also holds while it goes through another host."""

    zones = {"a-1": "zone-a", "b-1": "zone-b"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.host, self.other = self.hosts["a-1"], self.hosts["b-1"]
        await self.host.cut(HANGS)
        await self.wait_until_served(self.host)
        for endpoint in self.site.endpoints.values():
            endpoint.requests.clear()

    def received(self, path: str) -> list[str]:
        """Return the identifiers of the requests for a path that endpoints received."""
        return [
            headers["X-Wasabiwick-Attempt-Id"]
            for endpoint in self.site.endpoints.values()
            for target, headers in endpoint.requests
            if target == path and "X-Wasabiwick-Stage" not in headers
        ]

    def running(self) -> int:
        """Return how many streams endpoints are writing."""
        return sum(one.running_streams for one in self.site.endpoints.values())

    async def test_large_body_and_headers_come_through_unchanged(self) -> None:
        body = bytes(range(256)) * 3_000
        async with self.site.request(
            self.host, "/unsafe/a%2Fb?c=d", body, X_Own="caf\u00e9 1, 2"
        ) as resp:
            self.assertEqual(resp.status, 200)
            self.assertEqual(await resp.read(), b"/unsafe/a%2Fb?c=d " + body)
            self.assertTrue(resp.headers["X-Wasabiwick-Response-Seal"])
        (headers,) = [
            headers
            for endpoint in self.site.endpoints.values()
            for target, headers in endpoint.requests
        ]
        self.assertLessEqual(int(headers["X-Wasabiwick-Deadline-Ms"]), 5_000)
        self.assertNotIn("X-Host-Key", headers)

    async def test_stream_comes_through_whole(self) -> None:
        async with self.site.request(self.host, "/stream/x") as resp:
            self.assertEqual(await resp.read(), EVENTS)

    async def test_stream_that_breaks_off_goes_on(self) -> None:
        for endpoint in self.site.endpoints.values():
            endpoint.cuts_left = 1 if endpoint.name == "d0" else 0
        for _ in range(4):
            async with self.site.request(self.host, "/stream/x") as resp:
                self.assertEqual(await resp.read(), EVENTS)

    async def test_gone_caller_ends_the_work_behind_the_hop(self) -> None:
        for endpoint in self.site.endpoints.values():
            endpoint.event_interval = 0.2
        async with self.site.request(self.host, "/stream/x", Connection="close") as resp:
            await resp.content.readline()
            self.assertEqual(self.running(), 1)
            resp.close()

        async def has_ended() -> bool:
            return self.running() == 0

        for endpoint in self.site.endpoints.values():
            endpoint.events = 10_000
        await until(has_ended)

    async def test_lost_host_breaks_streams_off_and_repeats_nothing_unsafe(self) -> None:
        for endpoint in self.site.endpoints.values():
            endpoint.answer_delay = 0.3
        calls = [
            asyncio.create_task(self.site.status_of(self.host, "/unsafe/x")) for _ in range(10)
        ]

        async def has_received() -> bool:
            return len(self.received("/unsafe/x")) == 10

        await until(has_received)
        await self.other.kill()
        self.assertNotIn(200, await asyncio.gather(*calls))
        self.assertNotIn(503, [call.result() for call in calls])
        received = self.received("/unsafe/x")
        self.assertEqual(len(set(received)), len(received))

    async def test_planned_stop_of_either_host_cuts_nothing(self) -> None:
        for endpoint in self.site.endpoints.values():
            endpoint.event_interval = 0.2
        for stopped in (self.other, self.host):
            with self.subTest(stopped=stopped.name):
                calls = [
                    asyncio.create_task(self.site.status_of(self.host, "/stream/x"))
                    for _ in range(5)
                ]

                async def have_begun() -> bool:
                    return self.running() == 5

                await until(have_begun)
                await asyncio.gather(stopped.stop(), *calls)
                self.assertEqual([call.result() for call in calls], [200] * 5)
                await stopped.start()
                await self.site.wait_until_known([self.host, self.other])
                if stopped is self.other:
                    await self.wait_until_served(self.host)

    async def test_caller_can_not_pose_as_a_host(self) -> None:
        hops = self.other.hops
        head = encode_head(
            RequestHead(
                method="POST",
                target="/unsafe/posed",
                headers=[(b"host", b"example"), (b"x-wasabiwick-attempt-id", b"posed")],
                left_ms=1000.0,
                sender="a-1",
                service="app",
                routes_version=1,
                build="",
                events=0,
                last_event_id=b"",
                avoid=[],
            )
        )
        for key in ("", "0" * 32, "\u00e9"):
            async with self.site.session.post(
                f"http://{hops}/v1/hops", data=head, headers={"X-Host-Key": key}
            ) as resp:
                self.assertEqual(resp.status, 403)
        async with self.site.request(self.other, "/v1/hops", head) as resp:
            self.assertEqual(resp.status, 404)
        self.assertEqual(self.received("/unsafe/posed"), [])


class TestRestartsDuringACut(PartitionTest):
    """Callers are served while hosts restart, one after another and at the same time."""

    async def test_overlapping_restarts(self) -> None:
        cut, near, far = (self.hosts[name] for name in ("a-1", "a-2", "b-1"))
        await cut.cut(HANGS)
        await self.wait_until_served(cut)
        for restarted in ((near,), (far,), (near, cut), (far, cut)):
            with self.subTest(restarted=[one.name for one in restarted]):
                await asyncio.gather(*(host.kill() for host in restarted))
                await asyncio.gather(*(host.start() for host in restarted))
                await self.wait_until_served(cut)
                self.assertGreaterEqual(await self.served(cut), 2 / 3 * len(KINDS) * REQUESTS)
        counts = collections.Counter(
            headers["X-Wasabiwick-Attempt-Id"]
            for endpoint in self.site.endpoints.values()
            for target, headers in endpoint.requests
            if target == "/unsafe/x"
        )
        self.assertEqual([name for name, count in counts.items() if count > 1], [])
