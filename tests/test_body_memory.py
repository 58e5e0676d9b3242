"""Tests that the bodies that a host holds are bounded together."""

import asyncio
import tempfile
import unittest
from unittest import mock

from wasabiwick import platform
from wasabiwick._adapters._hops import KEY_HEADER, PATH
from wasabiwick._body_memory import SMALL_BODY_BYTES, BodyMemory, BodyShare
from wasabiwick._errors import HOST_FULL
from wasabiwick._hops_codec import decode_answer_head, head_end
from wasabiwick._settings import Limits
from wasabiwick._verdict import Verdict

from ._body_load import LARGE, MEMORY_MB, BodyLoad
from ._processes import STOP_TIMEOUT, until
from .test_on_platform import SETTINGS, Site

MANY = 64
LIMIT = 16 * SMALL_BODY_BYTES
HALF = LIMIT // 2
MIDDLE = 256 * 1024  # Bytes of a body that is more than a host with 1 MB may hold.


class TestBodyMemory(unittest.IsolatedAsyncioTestCase):
    """Bodies together take no more than the limit, and those that wait for room get it in turn."""

    def setUp(self) -> None:
        self.memory = BodyMemory(LIMIT)

    def test_bodies_take_no_more_than_the_limit_together(self) -> None:
        first, second = self.memory.share(), self.memory.share()
        self.assertTrue(first.resize(HALF))
        self.assertFalse(second.resize(HALF + 1))
        self.assertEqual((second.size, self.memory.held_bytes), (0, HALF))
        first.release()
        self.assertTrue(second.resize(HALF + 1))

    def test_large_bodies_leave_room_for_small_ones(self) -> None:
        first, second, small = (self.memory.share() for _ in range(3))
        self.assertTrue(first.resize(HALF))
        self.assertFalse(second.resize(HALF))
        self.assertTrue(second.resize(HALF - 2 * SMALL_BODY_BYTES))
        self.assertTrue(small.resize(SMALL_BODY_BYTES))

    def test_a_body_that_is_alone_is_let_in_whatever_its_size(self) -> None:
        share = self.memory.share()
        self.assertTrue(share.resize(2 * LIMIT))
        self.assertFalse(self.memory.share().resize(1))

    def test_a_share_gives_its_bytes_back_once(self) -> None:
        with self.memory.share() as share:
            share.resize(HALF)
            share.release()
        self.assertEqual(self.memory.held_bytes, 0)

    async def test_who_waits_gets_room_in_turn(self) -> None:
        first = self.memory.share()
        first.resize(HALF)
        shares = [self.memory.share() for _ in range(3)]
        sizes = (HALF, 1, HALF)
        waits = [
            asyncio.create_task(share.wait_for(size))
            for share, size in zip(shares, sizes, strict=True)
        ]
        await asyncio.sleep(0)
        self.assertEqual([share.size for share in shares], [0, 0, 0])
        first.release()
        await asyncio.gather(*waits[:2])
        self.assertEqual([share.size for share in shares], [HALF, 1, 0])
        shares[0].release()
        await waits[2]
        shares[1].release()
        shares[2].release()
        self.assertEqual(self.memory.held_bytes, 0)

    async def test_who_stops_waiting_holds_up_nobody(self) -> None:
        first = self.memory.share()
        first.resize(HALF)
        large, small = self.memory.share(), self.memory.share()
        waits = [asyncio.create_task(large.wait_for(HALF)), asyncio.create_task(small.wait_for(1))]
        await asyncio.sleep(0)
        waits[0].cancel()
        await waits[1]
        self.assertEqual(small.size, 1)
        with self.assertRaises(asyncio.CancelledError):
            await waits[0]
        self.assertEqual(self.memory.held_bytes, HALF + 1)


class TestShareOfAnOrganisation(unittest.IsolatedAsyncioTestCase):
    """One organisation's bodies leave room for those of others, and keep none of them waiting.

    Load: an organisation sends many large bodies, or leaves many large answers unread.
    """

    def setUp(self) -> None:
        self.memory = BodyMemory(LIMIT)

    def share(self, owner: str) -> BodyShare:
        """Return a share for a body of an organisation."""
        share = self.memory.share()
        share.owner = owner
        return share

    def fill(self, owner: str, *, size: int = SMALL_BODY_BYTES) -> int:
        """Take bodies of an organisation until one is refused, and return their bytes."""
        held = 0
        while self.share(owner).resize(size):
            held += size
        return held

    def test_alone_an_organisation_takes_two_thirds_at_most(self) -> None:
        """Without a bound of its own it took all, and others were refused."""
        self.assertLessEqual(self.fill("large"), LIMIT * 2 / 3)
        self.assertTrue(self.share("small").resize(SMALL_BODY_BYTES))

    def test_each_organisation_leaves_a_third_of_what_it_found(self) -> None:
        for number in range(5):
            free = LIMIT - self.memory.held_bytes
            held = self.fill(f"o{number}", size=512)
            self.assertGreater(held, 0)
            self.assertLessEqual(held, free * 2 / 3)

    def test_organisations_that_go_on_come_to_equal_shares(self) -> None:
        """What the first gives back with its answers, the other may take."""
        shares: dict[str, list[BodyShare]] = {"first": [], "second": []}
        for turn in range(2_000):
            for owner, held in shares.items():
                if held and turn % 2:
                    held.pop(0).release()
                new = self.share(owner)
                while new.resize(1024):
                    held.append(new)
                    new = self.share(owner)
        first, second = (1024 * len(held) for held in shares.values())
        self.assertLess(abs(first - second), LIMIT / 20)
        self.assertGreater(first, LIMIT / 3)

    def test_what_an_organisation_gives_back_it_may_take_again(self) -> None:
        first, second = self.share("large"), self.share("large")
        self.assertTrue(first.resize(HALF))
        self.assertFalse(second.resize(HALF // 2))
        first.release()
        self.assertTrue(second.resize(HALF // 2))
        second.release()
        self.assertEqual(self.memory.held_bytes, 0)

    def test_bodies_of_no_organisation_may_take_all(self) -> None:
        self.assertEqual(self.fill(""), LIMIT)

    async def test_one_that_waits_for_its_own_keeps_no_other_waiting(self) -> None:
        """All waited behind the one whose organisation had its share."""
        first, second = self.share("large"), self.share("large")
        first.resize(HALF)
        large = asyncio.create_task(second.wait_for(HALF // 2))
        await asyncio.sleep(0)
        async with asyncio.timeout(STOP_TIMEOUT):
            small = self.share("small")
            await small.wait_for(SMALL_BODY_BYTES)
            self.assertFalse(large.done())
            own = asyncio.create_task(self.share("large").wait_for(1))
            await asyncio.sleep(0)
            self.assertFalse(own.done())  # It came later than one of its own organisation.
            first.release()
            await asyncio.gather(large, own)


class TestMemorySetting(unittest.TestCase):
    """Room for bodies follows the memory that the platform gives a process."""

    def load(self, more: str) -> Limits:
        """Return the limits of a settings file with some lines more."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = f"{folder}/boot.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name="host-a", store="127.0.0.1:1") + more)
        return platform.load(path).limits

    def test_bodies_get_a_share_of_the_memory(self) -> None:
        small, large = (
            self.load(f"[limits]\nmemory-mb = {size}\nmax-fds = 9\n") for size in (150, 300)
        )
        self.assertEqual(large.request_bodies_bytes, 2 * small.request_bodies_bytes)
        self.assertEqual(large.answer_bodies_bytes, 2 * small.answer_bodies_bytes)
        self.assertLess(2 * (small.request_bodies_bytes + small.answer_bodies_bytes), 75_000_000)

    def test_without_a_limit_of_memory_the_default_holds(self) -> None:
        self.assertEqual(self.load("").request_bodies_bytes, Limits().request_bodies_bytes)


class TestBodiesAtOnce(unittest.IsolatedAsyncioTestCase):
    """Many large bodies at once keep a host within its memory, and each caller gets an answer.

    A refused request has not run, and the room of the others comes back with their answers.
    """

    async def asyncSetUp(self) -> None:
        self.load = BodyLoad()
        await self.enterAsyncContext(self.load.running())
        for endpoint in self.load.endpoints:
            endpoint.requests.clear()
            endpoint.answer_delay = 0.5

    def assert_within_memory(self) -> None:
        """Check the most memory that the host ever had."""
        self.assertLess(self.load.memory_mb(), MEMORY_MB)

    def runs(self) -> int:
        """Return how many requests ran."""
        return sum(len(endpoint.requests) for endpoint in self.load.endpoints)

    async def send_many(self, *, chunked: bool) -> None:
        """Send many large bodies at once, and then one more."""
        body = bytes(LARGE)
        sent = (self.load.send(body, chunked=chunked) for _ in range(MANY))
        statuses = await asyncio.gather(*sent)
        self.assertEqual(set(statuses), {200, 503})
        self.assertEqual(statuses.count(200), self.runs())
        self.assertEqual(await self.load.send(body, chunked=chunked), 200)
        self.assert_within_memory()

    async def test_bodies_with_a_length(self) -> None:
        await self.send_many(chunked=False)

    async def test_bodies_in_chunks(self) -> None:
        await self.send_many(chunked=True)

    async def test_small_requests_beside_large_ones_are_served(self) -> None:
        large = [asyncio.create_task(self.load.send(bytes(LARGE))) for _ in range(16)]
        small = [self.load.send(b"small", chunked=number % 2 > 0) for number in range(16)]
        self.assertEqual(await asyncio.gather(*small), [200] * 16)
        self.assertEqual(set(await asyncio.gather(*large)), {200, 503})

    async def test_large_answers_wait_for_room(self) -> None:
        for endpoint in self.load.endpoints:
            endpoint.padding = LARGE
        statuses = await asyncio.gather(*(self.load.send(b"") for _ in range(MANY // 2)))
        self.assertEqual(statuses, [200] * (MANY // 2))
        self.assert_within_memory()


class TestRefusalForWantOfRoom(unittest.IsolatedAsyncioTestCase):
    """A large body without room is refused at its head, before it has come, and has not run."""

    async def asyncSetUp(self) -> None:
        settings = f"{SETTINGS}[limits]\nmemory-mb = 1\n"
        self.enterContext(mock.patch("tests.test_on_platform.SETTINGS", settings))
        self.site = Site()
        await self.enterAsyncContext(self.site.run())
        await self.site.wait_for_feeds()
        for name in ("s0", "s1"):
            self.site.endpoints[name].answer_delay = 1.0
        self.first = asyncio.create_task(self.fill())
        await until(self.has_begun)

    async def fill(self) -> int:
        """Send a request whose body takes more than all the room."""
        async with self.site.request("/unsafe/x", body=bytes(MIDDLE)) as resp:
            await resp.read()
            return resp.status

    async def has_begun(self) -> bool:
        """Return whether that request runs."""
        return any(self.site.endpoints[name].requests for name in ("s0", "s1"))

    async def assert_first_is_served(self) -> None:
        """Check that the request with the room is served, and no other ran."""
        self.assertEqual(await self.first, 200)
        runs = [self.site.endpoints[name].requests for name in ("s0", "s1")]
        self.assertEqual(sum(map(len, runs)), 1)

    async def test_a_callers_body(self) -> None:
        host, _, port = self.site.daemon.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /unsafe/y HTTP/1.1\r\nHost: example\r\nX-Wasabiwick-Attempt-Id: other\r\n"
            b"Content-Length: %d\r\n\r\n" % MIDDLE
        )
        async with asyncio.timeout(STOP_TIMEOUT):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
        self.assertTrue(head.startswith(b"http/1.1 503 "), head)
        self.assertIn(b"\r\nretry-after: ", head)
        self.assertIn(b"\r\nx-wasabiwick-attempt-id: other\r\n", head)
        writer.close()
        await self.assert_first_is_served()

    async def test_a_body_that_another_host_passes(self) -> None:
        hops = self.site.daemon.runner.ports.hops
        async with self.site.session.post(
            f"http://{hops.address}{PATH}", data=bytes(MIDDLE), headers={KEY_HEADER: hops.key}
        ) as resp:
            data = await resp.read()
        failure = decode_answer_head(data[: head_end(data)]).failure.failure()
        self.assertEqual((failure.reason, failure.verdict), (HOST_FULL, Verdict.NOT_RUN))
        await self.assert_first_is_served()
