"""Tests of a host process whose log output is no longer read."""

import asyncio
import contextlib
import ipaddress
import os
import pathlib
import re
import sys
import tempfile
import unittest

import aiohttp

from ._platform import TOPIC_PREFIX, Endpoint, Store, config, serving
from ._processes import until
from .test_on_platform import SETTINGS

WARM_UP = 300  # Requests after which the process has allocated the memory that it keeps.
# Requests. Each logs two lines of at least 300 bytes, which together fill the pipe and the host's
# buffer of log lines many times.
BURST = 2_000
CONCURRENCY = 40  # Requests at the same time.
# KiB by which the process's memory may grow during the burst, whose log lines alone exceed the
# host's buffer.
MAX_GROWTH = 8 * 1024


def _own_address() -> str:
    """Return a loopback address that no other process on this machine uses."""
    return str(ipaddress.IPv4Address("127.64.0.0") + os.getpid() % 2**22)


class TestStoppedReader(unittest.IsolatedAsyncioTestCase):
    """A full log pipe, whose reader has stopped, neither blocks the host nor grows its memory."""

    async def asyncSetUp(self) -> None:
        store = Store()
        endpoints = [Endpoint("s0"), Endpoint("s1")]
        address = await self.enterAsyncContext(serving(store.app()))
        for endpoint in endpoints:
            endpoint.address = await self.enterAsyncContext(serving(endpoint.app()))
            await store.put(TOPIC_PREFIX + "servers", endpoint.name, endpoint.entry())
        await store.put(TOPIC_PREFIX + "op", "config", config())
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "boot.toml"
        # The port of its metrics is fixed, so each process under test has an address of its own.
        settings = SETTINGS.format(name="host-a", store=address)
        settings = settings.replace('ip = "127.0.0.1"', f'ip = "{_own_address()}"')
        path.write_text(settings, encoding="utf-8")
        self.proc = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wasabiwick", "run", "--platform"),
            env={**os.environ, "WASABIWICK_CONFIG": str(path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.callers = await self._callers()
        self.proc.stdout._transport.pause_reading()  # The log is not read from now on.
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        await until(self._serves)

    async def _callers(self) -> str:
        """Return the address for callers, which the process logs at its start."""
        async for line in self.proc.stdout:
            if found := re.search(rb"callers=(\S+)", line):
                return found[1].decode()
        raise AssertionError(f"the process ended with code {await self.proc.wait()}")

    async def asyncTearDown(self) -> None:
        if self.proc.returncode is None:
            self.proc.kill()
        self.proc.stdout._transport.resume_reading()
        await self.proc.wait()

    async def _serves(self) -> bool:
        with contextlib.suppress(aiohttp.ClientError):
            return await self._call(0) == 200
        return False

    async def _call(self, number: int) -> int:
        headers = {
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"id{number}",
            "X-Wasabiwick-Deadline-Ms": "5000",
        }
        url = f"http://{self.callers}/safe/x"
        async with self.session.get(url, headers=headers) as resp:
            await resp.read()
            return resp.status

    async def _burst(self, count: int) -> list[int]:
        limit = asyncio.Semaphore(CONCURRENCY)

        async def limited_call(number: int) -> int:
            async with limit:
                return await self._call(number)

        return await asyncio.gather(*(limited_call(number) for number in range(count)))

    def _memory(self) -> int:
        """Return the memory that the process occupies, in KiB."""
        status = pathlib.Path(f"/proc/{self.proc.pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1])

    async def test_burst_is_served_with_bounded_memory(self) -> None:
        await self._burst(WARM_UP)
        before = self._memory()
        statuses = await self._burst(BURST)
        self.assertEqual(set(statuses), {200})
        self.assertLess(self._memory() - before, MAX_GROWTH)
