"""Tests of generations with real processes that are killed, suspended, cut off and shut down."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import unittest

import aiohttp

from wasabiwick._standins._output import expected_output

from ._processes import control, until
from ._site import Host, Site

TOKENS = 80
PROMPT = "draft a study guide for the group from these notes " * 8


async def text_of(resp: aiohttp.ClientResponse) -> str:
    """Return the text of a non-streamed answer."""
    return (await resp.json())["choices"][0]["text"]


async def streamed(resp: aiohttp.ClientResponse) -> tuple[str, bool]:
    """Return the text of a streamed answer, and whether it was complete."""
    parts: list[str] = []
    try:
        async for line in resp.content:
            if line.startswith(b"data: [DONE]"):
                return "".join(parts), True
            if line.startswith(b"data: "):
                parts.append(json.loads(line[6:])["choices"][0]["text"])
    except aiohttp.ClientError:
        pass
    return "".join(parts), False


class LiveCase(unittest.IsolatedAsyncioTestCase):
    """Helpers for tests that start one site each."""

    async def wait_for_first_output(self, resp: aiohttp.ClientResponse) -> None:
        """Wait for the first output of a streamed answer."""
        self.assertEqual(resp.status, 200)
        await resp.content.readline()

    async def retry_until_answered(self, site: Site, hosts: list[Host], key: str) -> str:
        """Retry at the hosts in turn with the same key, as callers do, until one answers."""
        for host in itertools.islice(itertools.cycle(hosts), 100):
            with contextlib.suppress(aiohttp.ClientError):
                resp = await site.generate(host, PROMPT, TOKENS, key=key)
                if resp.status == 200:
                    return await text_of(resp)
            await asyncio.sleep(0.1)
        raise AssertionError("no answer in 100 attempts")

    async def assert_nothing_held(self, site: Site) -> None:
        """Wait until no engine holds memory for a request."""

        async def free() -> bool:
            return await site.slots_held() == 0

        await until(free)

    async def prefilled(self, site: Site) -> int:
        """Return the number of tokens that all engines have prefilled."""
        return sum(one["prefill_tokens"] for one in (await site.engine_states()).values())


class TestHostLost(LiveCase):
    """A host is killed or suspended while it answers; a retry elsewhere needs no new prefill."""

    async def test_retry_after_kill_adopts_the_stream(self) -> None:
        async with Site.running(hosts=("a", "b", "c")) as site:
            first = await site.generate(site.hosts["a"], PROMPT, TOKENS, key="k", stream=True)
            await self.wait_for_first_output(first)
            before = await self.prefilled(site)
            site.hosts["a"].process.proc.kill()
            await site.hosts["a"].process.proc.wait()
            others = [site.hosts["b"], site.hosts["c"]]
            text = await self.retry_until_answered(site, others, "k")
            self.assertEqual(text, expected_output(PROMPT, TOKENS))
            self.assertEqual(await self.prefilled(site), before)
            await self.assert_nothing_held(site)

    async def test_killed_host_without_retry_leaves_no_memory_held(self) -> None:
        async with Site.running(hosts=("a", "b")) as site:
            resp = await site.generate(site.hosts["a"], PROMPT, 2_000, key="k", stream=True)
            await self.wait_for_first_output(resp)
            site.hosts["a"].process.proc.kill()
            await site.hosts["a"].process.proc.wait()
            self.assertEqual(await site.slots_held(), 1)
            await self.assert_nothing_held(site)

    async def test_suspended_host_does_not_answer_after_the_retry(self) -> None:
        async with Site.running(hosts=("a", "b", "c")) as site:
            proc = site.hosts["a"].process.proc
            first = await site.generate(site.hosts["a"], PROMPT, TOKENS, key="k", stream=True)
            await self.wait_for_first_output(first)
            os.kill(proc.pid, signal.SIGSTOP)
            try:
                others = [site.hosts["b"], site.hosts["c"]]
                text = await self.retry_until_answered(site, others, "k")
            finally:
                os.kill(proc.pid, signal.SIGCONT)
            self.assertEqual(text, expected_output(PROMPT, TOKENS))
            older, complete = await streamed(first)
            self.assertFalse(complete, "the older call was answered too")
            self.assertIn(older, expected_output(PROMPT, TOKENS))
            await self.assert_nothing_held(site)


class TestCallerMoves(LiveCase):
    """A caller that retries on another host gets one answer from one prefill."""

    async def test_older_connection_is_closed_without_an_answer(self) -> None:
        async with Site.running() as site:
            first = await site.generate(site.hosts["a"], PROMPT, TOKENS, key="k", stream=True)
            await self.wait_for_first_output(first)
            before = await self.prefilled(site)
            second = await site.generate(site.hosts["b"], PROMPT, TOKENS, key="k")
            self.assertEqual(await text_of(second), expected_output(PROMPT, TOKENS))
            _, complete = await streamed(first)
            self.assertFalse(complete, "the older call was answered too")
            self.assertEqual(await self.prefilled(site), before)
            await self.assert_nothing_held(site)

    async def test_disconnected_callers_hold_nothing(self) -> None:
        async with Site.running() as site:
            answers = [
                await site.generate(site.hosts["ab"[i % 2]], f"{PROMPT}{i}", 2_000, stream=True)
                for i in range(6)
            ]
            for resp in answers:
                await self.wait_for_first_output(resp)
            self.assertEqual(await site.slots_held(), 6)
            for resp in answers:
                resp.close()
            await self.assert_nothing_held(site)


class TestEngineLost(LiveCase):
    """Callers get complete answers although an engine is killed, cut off or silent."""

    async def answers(self, site: Site) -> list[str]:
        calls = [
            site.generate(site.hosts["ab"[i % 2]], f"{PROMPT}{i}", TOKENS, key=f"k{i}")
            for i in range(8)
        ]
        return [await text_of(resp) for resp in await asyncio.gather(*calls)]

    def assert_all_complete(self, texts: list[str]) -> None:
        self.assertEqual(texts, [expected_output(f"{PROMPT}{i}", TOKENS) for i in range(8)])

    async def answers_during(self, site: Site, fault: object) -> list[str]:
        task = asyncio.create_task(self.answers(site))

        async def serving() -> bool:
            return all(one["used"] for one in (await site.engine_states()).values())

        await until(serving)
        await fault
        return await asyncio.wait_for(task, 60)

    async def test_killed_engine(self) -> None:
        async with Site.running(engines=3) as site:
            victim = site.engines["e0"].proc

            async def kill() -> None:
                victim.kill()
                await victim.wait()

            self.assert_all_complete(await self.answers_during(site, kill()))

    async def test_interrupted_streams(self) -> None:
        async with Site.running() as site:
            cut = control(site.session, site.engines["e0"], cut_streams=True)
            one_prefill_each = len(PROMPT.split()) * 8
            self.assert_all_complete(await self.answers_during(site, cut))
            self.assertLessEqual(await self.prefilled(site), one_prefill_each)

    async def test_permanently_silent_connections(self) -> None:
        timing = {"stream_silence": 0.8}
        async with Site.running(timing=timing) as site:
            silence = control(site.session, site.engines["e0"], silence_open=True)
            self.assert_all_complete(await self.answers_during(site, silence))
            await self.assert_nothing_held(site)


class TestPlannedStop(LiveCase):
    """A graceful shutdown completes the answers in flight, and refuses new calls."""

    async def test_answers_in_flight_are_completed(self) -> None:
        async with Site.running() as site:
            answers = [
                await site.generate(site.hosts["a"], f"{PROMPT}{i}", TOKENS, stream=True)
                for i in range(12)
            ]
            for resp in answers:
                await self.wait_for_first_output(resp)
            site.hosts["a"].process.proc.terminate()
            texts = await asyncio.gather(*(streamed(resp) for resp in answers))
            self.assertTrue(all(complete for _, complete in texts))
            self.assertEqual(await site.hosts["a"].process.stop(), 0)
            await self.assert_nothing_held(site)

    async def test_new_calls_are_refused_while_stopping(self) -> None:
        async with Site.running() as site:
            held = await site.generate(site.hosts["a"], PROMPT, 400, stream=True)
            await self.wait_for_first_output(held)
            site.hosts["a"].process.proc.terminate()

            async def refuses() -> bool:
                resp = await site.generate(site.hosts["a"], PROMPT, TOKENS)
                return resp.status == 503

            await until(refuses)
            resp = await site.generate(site.hosts["a"], PROMPT, TOKENS)
            body = await resp.json()
            self.assertEqual(body["error"]["code"], "stopping")
            self.assertEqual(body["error"]["verdict"], "NOT_RUN")
            self.assertIn("Retry-After", resp.headers)
            _, complete = await streamed(held)
            self.assertTrue(complete)
