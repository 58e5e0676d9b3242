"""Tests of the stand-in servers, each run as a process of its own."""

import asyncio
import json
import unittest

import aiohttp

from wasabiwick._adapters import HttpService
from wasabiwick._settings import Timing
from wasabiwick._standins._output import expected_output

from ._processes import Processes, control, post, until


class StandInCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that start stand-ins and end them."""

    async def asyncSetUp(self) -> None:
        self.processes = Processes()
        self.addAsyncCleanup(self.processes.close)
        timeout = aiohttp.ClientTimeout(total=20)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.addAsyncCleanup(self.session.close)

    async def state(self, server) -> dict:
        async with self.session.get(f"{server.address}/control") as resp:
            return await resp.json()


class TestEngine(StandInCase):
    """An engine transfers KV caches, streams the text that the prompt determines, and can fail.

    An output token has 7 characters, with the space that follows it.
    """

    async def prefill(self, server, prompt, attempt="a1", **more):
        ask = {"request_id": "r1", "attempt_id": attempt, "owner": "h/1", "model": "lectio-lm"}
        return await post(
            self.session, f"{server.address}/v1/prefill", {**ask, "prompt": prompt, **more}
        )

    def decode(self, server, source, handle, tokens, attempt="a1", offset=0):
        ask = {"request_id": "r1", "attempt_id": attempt, "owner": "h/1", "model": "lectio-lm"}
        ask |= {"source": source.address, "handle": handle, "max_tokens": tokens, "offset": offset}
        return self.session.post(f"{server.address}/v1/decode", json=ask)

    def resume(self, server, offset, takeover=True):
        ask = {"request_id": "r1", "attempt_id": "a1", "owner": "h/2", "offset": offset}
        ask["takeover"] = takeover
        return self.session.post(f"{server.address}/v1/resume", json=ask)

    @staticmethod
    async def text_of(resp) -> str:
        frames = [json.loads(line) async for line in resp.content]
        assert frames[-1]["done"], frames[-1]
        return "".join(frame["text"] for frame in frames)

    async def test_transfers_kv_streams_and_resumes(self) -> None:
        first = await self.processes.standin("engine", "--step", "0.001")
        second = await self.processes.standin("engine", "--step", "0.001")
        _, done = await self.prefill(first, "one two three")
        async with self.decode(second, first, done["handle"], 20) as resp:
            text = await self.text_of(resp)
        self.assertEqual(text, expected_output("one two three", 20))
        async with self.resume(second, 5) as resp:
            self.assertEqual(await self.text_of(resp), expected_output("one two three", 20)[35:])
        self.assertEqual((await self.state(second))["used"], 0)

    async def test_continues_after_a_prefix(self) -> None:
        server = await self.processes.standin("engine", "--step", "0.001")
        whole = expected_output("p", 10)
        _, done = await self.prefill(server, "p", prefix=whole[:28])
        async with self.decode(server, server, done["handle"], 10, offset=4) as resp:
            self.assertEqual(await self.text_of(resp), whole[28:])
        _, done = await self.prefill(server, "p", attempt="a2", prefix="x" * 28)
        async with self.decode(server, server, done["handle"], 10, attempt="a2", offset=4) as resp:
            self.assertNotEqual(await self.text_of(resp), whole[28:])

    async def test_keeps_a_slot_without_a_reader_until_cancelled(self) -> None:
        server = await self.processes.standin("engine", "--slots", "1", "--step", "0.05")
        _, done = await self.prefill(server, "p")
        async with self.decode(server, server, done["handle"], 10_000) as resp:
            await resp.content.readline()
        _, done = await self.prefill(server, "p", attempt="a2")
        async with self.decode(server, server, done["handle"], 5, attempt="a2") as resp:
            self.assertEqual(resp.status, 503)
        cancel = {"request_id": "r1", "attempt_id": "a1"}
        for _ in range(2):
            answer = await post(self.session, f"{server.address}/v1/cancel", cancel)
            self.assertEqual(answer, (200, {"gone": True}))
        self.assertEqual((await self.state(server))["used"], 0)

    async def test_newest_reader_supersedes_the_previous_one(self) -> None:
        server = await self.processes.standin("engine", "--step", "0.02")
        _, done = await self.prefill(server, "p")
        async with self.decode(server, server, done["handle"], 30) as old:
            await old.content.readline()
            async with self.resume(server, 0, takeover=False) as refused:
                self.assertEqual(refused.status, 409)
            async with self.resume(server, 0) as new:
                self.assertEqual(await self.text_of(new), expected_output("p", 30))
            last = [json.loads(line) async for line in old.content][-1]
            self.assertEqual(last["finish"], "superseded")

    async def test_expired_kv_is_not_decoded_and_counts_as_wasted(self) -> None:
        server = await self.processes.standin("engine", "--kv-life", "0.05")
        _, done = await self.prefill(server, "a b c")
        await asyncio.sleep(0.2)
        async with self.decode(server, server, done["handle"], 5) as resp:
            self.assertEqual(resp.status, 410)
        state = await self.state(server)
        self.assertEqual((state["used"], state["prefill_wasted"]), (0, 3))

    async def test_cancels_a_running_prefill(self) -> None:
        server = await self.processes.standin("engine", "--prefill-rate", "1")
        running = asyncio.create_task(self.prefill(server, "a b c d e f g h"))

        async def runs() -> bool:
            return bool((await self.state(server))["streams"])

        await until(runs)
        await post(
            self.session,
            f"{server.address}/v1/cancel",
            {"request_id": "r1", "attempt_id": "a1"},
        )
        self.assertEqual((await running)[0], 409)
        self.assertEqual((await self.state(server))["streams"], [])

    async def test_silenced_connection_does_not_affect_new_ones(self) -> None:
        server = await self.processes.standin("engine", "--step", "0.02", "--heartbeat", "0.05")
        _, done = await self.prefill(server, "p")
        async with self.decode(server, server, done["handle"], 50) as old:
            await old.content.readline()
            async with aiohttp.ClientSession() as fresh:
                await control(fresh, server, silence_open=True)
            with self.assertRaises(TimeoutError):
                while await asyncio.wait_for(old.content.readline(), 0.3):
                    pass
            async with aiohttp.ClientSession() as fresh:
                self.session, kept = fresh, self.session
                async with self.resume(server, 0) as resp:
                    self.assertEqual(await self.text_of(resp), expected_output("p", 50))
                self.session = kept

    async def test_order_with_an_old_fence_is_refused_if_fences_are_honoured(self) -> None:
        server = await self.processes.standin("engine", "--load-seconds", "0")
        url = f"{server.address}/v1/orders"
        order = {"action": "load", "model": "m", "version": "2", "fence": 7}
        self.assertEqual((await post(self.session, url, order))[0], 200)
        self.assertEqual((await post(self.session, url, {**order, "fence": 6}))[0], 409)
        await control(self.session, server, honour_fence=False)
        self.assertEqual((await post(self.session, url, {**order, "fence": 6}))[0], 200)
        state = await self.state(server)
        self.assertEqual([item["accepted"] for item in state["orders"]], [True, False, True])


class TestLogService(StandInCase):
    """The log service orders records by offset, and fails as it is set through ``/control``."""

    async def test_appends_reads_and_fails_as_set(self) -> None:
        server = await self.processes.standin("log-service", "--burst", "4", "--append-rate", "0")
        url = f"{server.address}/streams/s"
        poll = asyncio.create_task(self.read(f"{url}?from=0&wait=10"))
        answer = await post(self.session, f"{url}/append", {"records": ["a", "b"]})
        self.assertEqual(answer, (200, {"offset": 0}))
        self.assertEqual([item["data"] for item in (await poll)["records"]], ["a", "b"])
        await control(self.session, server, lose_replies=1)
        with self.assertRaises(aiohttp.ClientError):
            await post(self.session, f"{url}/append", {"records": ["c"]})
        self.assertEqual((await self.read(f"{url}?from=2"))["records"][0]["data"], "c")
        await control(self.session, server, outage=True)
        self.assertEqual((await post(self.session, f"{url}/append", {"records": ["d"]}))[0], 503)
        await control(self.session, server, outage=False, retention=0)
        self.assertEqual((await self.read(f"{url}?from=0"))["first"], 3)
        for status in (200, 200, 429):
            answer = await post(self.session, f"{url}/append", {"records": ["e"]})
            self.assertEqual(answer[0], status)

    async def read(self, url: str) -> dict:
        async with self.session.get(url) as resp:
            return await resp.json()


class TestHostList(StandInCase):
    """A change of the host list is visible only after its lag."""

    async def test_change_is_visible_after_the_lag(self) -> None:
        server = await self.processes.standin("host-list", "--lag", "0.2")
        entry = {"name": "a", "kind": "engine", "zone": "z", "address": "http://127.0.0.1:1"}
        await control(self.session, server, hosts=[entry])
        state = await control(self.session, server, leaving=["a"])
        self.assertFalse(state["shown"][0]["leaving"])

        async def leaves() -> bool:
            return (await self.state(server))["shown"][0]["leaving"]

        await until(leaves)


class TestService(StandInCase):
    """A plain service counts how often a call with each key took effect, and honours fences."""

    async def test_repeated_key_takes_effect_again_unless_keys_are_accepted(self) -> None:
        server = await self.processes.standin("service", "--can-query")
        headers = {"Idempotency-Key": "k"}
        for accepts in (False, False, True):
            await control(self.session, server, accepts_key=accepts)
            async with self.session.post(f"{server.address}/join", headers=headers) as resp:
                self.assertEqual(resp.status, 200)
        state = await self.state(server)
        self.assertEqual((state["effects"], state["doubled"]), ({"k": 2}, ["k"]))
        async with self.session.get(f"{server.address}/outcomes/other") as resp:
            self.assertEqual(resp.status, 404)

    async def test_refuses_an_old_fence(self) -> None:
        server = await self.processes.standin("service", "--honour-fence", "--can-query")
        async with self.session.get(
            f"{server.address}/outcomes/asked", headers={"X-Fence": "5"}
        ) as resp:
            self.assertEqual(resp.status, 404)
        headers = {"Idempotency-Key": "asked", "X-Fence": "4"}
        async with self.session.post(f"{server.address}/join", headers=headers) as resp:
            self.assertEqual(resp.status, 409)
        for fence, status in ((2, 200), (1, 409), (2, 200)):
            headers = {"Idempotency-Key": "k", "X-Fence": str(fence)}
            async with self.session.post(f"{server.address}/join", headers=headers) as resp:
                self.assertEqual(resp.status, status)


class TestFencedQuery(StandInCase):
    """A call that arrives after a query with a newer fencing number must not run.

    Otherwise a host that is told that its key did not run sends the call again, and the delayed
    call runs as well.
    """

    async def test_call_older_than_a_query_does_not_run(self) -> None:
        server = await self.processes.standin("service", "--honour-fence", "--can-query")
        port = HttpService(session=self.session, timing=Timing())
        found = await port.query(server.address, key="k", fence=5)
        self.assertEqual(found.status, 404)
        late = await port.call(
            server.address,
            method="POST",
            path="/join",
            body=b"",
            content_type="text/plain",
            key="k",
            fence=4,
            timeout=5.0,
        )
        self.assertEqual(late.status, 409)
        self.assertEqual((await self.state(server))["effects"], {})


class TestWeightStore(StandInCase):
    """An engine with a weight store reads a model's weights from there before it has the model."""

    async def test_engine_reads_weights_from_the_store(self) -> None:
        store = await self.processes.standin("weight-store", "--size", "10", "--rate", "1000")
        server = await self.processes.standin("engine", "--weights", store.address)
        order = {"action": "load", "model": "m", "version": "2", "fence": 7}
        self.assertEqual((await post(self.session, f"{server.address}/v1/orders", order))[0], 200)
        self.assertEqual((await self.state(store))["reads"], 1)
        self.assertEqual((await self.state(server))["loaded"]["m"], "2")
