"""Tests that the commands in the README work against a site of real processes."""

import asyncio
import pathlib
import re
import shlex
import signal
import sys
import tempfile
import unittest

import aiohttp
import click.testing

from wasabiwick import _cli, _replay
from wasabiwick._demo._site import TRACE_SUFFIX

README = pathlib.Path(__file__).parent.parent / "README.md"
START_TIMEOUT_S = 60.0


class Curl:
    """A ``curl`` command line with the options that the README uses."""

    def __init__(self, command: str, env: dict[str, str]) -> None:
        for name, value in env.items():
            command = command.replace(f"${name}", value)
        key = click.testing.CliRunner().invoke(_cli.main, ["key"]).output.strip()
        command = command.replace("$(.venv/bin/wasabiwick key)", key)
        words = shlex.split(command.replace("\\\n", " "))
        assert words[:2] == ["curl", "-sS"], words
        self.url = words[2]
        pairs = list(zip(words[3::2], words[4::2], strict=True))
        self.headers = dict(value.split(": ", 1) for flag, value in pairs if flag == "-H")
        self.data = next(value for flag, value in pairs if flag == "-d")
        assert {flag for flag, _ in pairs} <= {"-H", "-d"}, pairs


class TestReadme(unittest.IsolatedAsyncioTestCase):
    """The README's commands work on a new site, and the host's trace replays."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        sizes = ("--zones", "1", "--hosts", "1", "--engines", "2")
        self.site = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wasabiwick", "site", "--folder", folder.name, *sizes),
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.stop)
        self.env: dict[str, str] = {}
        async with asyncio.timeout(START_TIMEOUT_S):
            while "WASABIWICK_KEY" not in self.env:
                line = (await self.site.stdout.readline()).decode()
                found = re.match(r"  export (\w+)=(\S+)", line)
                if found:
                    self.env[found[1]] = found[2]
                self.assertTrue(line, "the site ended")
        # Longer names are replaced first, since one name is a prefix of the others.
        self.env = dict(sorted(self.env.items(), reverse=True))

    async def stop(self) -> None:
        if self.site.returncode is None:
            self.site.send_signal(signal.SIGINT)
            await self.site.communicate()

    async def test_commands_work_and_the_trace_replays(self) -> None:
        blocks = re.findall(r"```sh\n(.*?)```", README.read_text("utf-8"), re.DOTALL)
        curls = [Curl(block, self.env) for block in blocks]
        self.assertEqual(len(curls), 2)
        answers = [await self.send(curl) for curl in curls]
        self.assertEqual(answers[0]["usage"]["completion_tokens"], 16)
        again = await self.send(curls[1])
        self.assertEqual(again, answers[1])
        args = ["status", "--hosts", self.env["WASABIWICK_HOSTS"]]
        status = await asyncio.to_thread(click.testing.CliRunner().invoke, _cli.main, args)
        self.assertIn("serving", status.output)
        await self.stop()
        self.assertEqual(self.site.returncode, 0)
        self.check_trace()

    async def send(self, curl: Curl) -> dict:
        async with (
            aiohttp.ClientSession() as session,
            session.post(curl.url, data=curl.data, headers=curl.headers) as resp,
        ):
            self.assertEqual(resp.status, 200, await resp.text())
            return await resp.json()

    def check_trace(self) -> None:
        (path,) = self.folder.glob(f"*{TRACE_SUFFIX}")
        result = _replay.replay(path)
        self.assertIsNone(result.difference)
        found = [one.result for one in result.outcomes.calls.values()]
        self.assertEqual(found, ["answered"] * 3)
