"""Starts processes of the project for tests, and stops those that it started."""

import asyncio
import sys
import typing

import aiohttp

START_TIMEOUT = 20.0  # Seconds in which a process must log its addresses, or a command end.
STOP_TIMEOUT = 20.0  # Seconds in which a terminated process must end.
POLL_INTERVAL = 0.02  # Seconds between two checks of a condition.
MAX_POLLS = 1_000  # Checks after which a condition that does not hold fails the test.


class Process:
    """One process of the project.

    ``fields`` holds the fields of the log line in which the process announced its addresses.
    """

    def __init__(self, proc: asyncio.subprocess.Process, fields: dict[str, str]) -> None:
        self.proc = proc
        self.fields = fields
        self.lines: list[str] = []
        self.reading: asyncio.Task | None = None
        self.address = fields.get("address", fields.get("callers", ""))

    async def read(self) -> None:
        """Read the process's log lines until it ends."""
        async for line in self.proc.stdout:
            self.lines.append(line.decode().rstrip())

    async def stop(self) -> int:
        """Terminate the process, and return its exit status."""
        if self.proc.returncode is None:
            self.proc.terminate()
        try:
            await asyncio.wait_for(self.proc.wait(), STOP_TIMEOUT)
        except TimeoutError:
            # The test fails with this error, and must not leave the process behind.
            self.proc.kill()
            raise
        if self.reading:
            await self.reading
        return self.proc.returncode


async def _read_line_with(proc: asyncio.subprocess.Process, text: str) -> str:
    while True:
        line = (await proc.stdout.readline()).decode()
        if text in line:
            return line
        if not line:
            raise AssertionError(f"the process ended before it printed {text!r}")


class Processes:
    """The processes of one test."""

    def __init__(self) -> None:
        self.started: list[Process] = []

    async def start(self, *args: str) -> Process:
        """Start ``wasabiwick`` with arguments, and wait until it logs its addresses."""
        proc = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "wasabiwick", *args, stdout=asyncio.subprocess.PIPE
        )
        process = Process(proc, {})
        self.started.append(process)
        async with asyncio.timeout(START_TIMEOUT):
            line = await _read_line_with(proc, "event=listening")
        process.fields.update(part.split("=", 1) for part in line.split() if "=" in part)
        process.address = process.fields.get("address", process.fields.get("callers", ""))
        # If nothing read its output, the process would block at a log line once the pipe is full.
        process.reading = asyncio.create_task(process.read())
        return process

    async def standin(self, kind: str, *options: str) -> Process:
        """Start a stand-in for an outside system or an endpoint."""
        return await self.start("standin", kind, *options)

    async def run_to_end(self, *args: str) -> None:
        """Run ``wasabiwick`` with arguments until it exits, and check that it succeeded."""
        proc = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "wasabiwick", *args, stdout=asyncio.subprocess.DEVNULL
        )
        status = await asyncio.wait_for(proc.wait(), START_TIMEOUT)
        assert status == 0, args

    async def close(self) -> None:
        """Stop all processes that still run."""
        await asyncio.gather(*(process.stop() for process in self.started))


async def post(session: aiohttp.ClientSession, url: str, body: typing.Any) -> typing.Any:
    """Post JSON and return the status and the decoded answer."""
    async with session.post(url, json=body) as resp:
        text = await resp.read()
        return resp.status, await resp.json(content_type=None) if text else None


async def control(session: aiohttp.ClientSession, process: Process, **knobs: typing.Any) -> dict:
    """Set knobs of a stand-in through its ``/control``, and return its state."""
    status, state = await post(session, f"{process.address}/control", knobs)
    assert status == 200, state
    return state


async def until(condition: typing.Callable[[], typing.Awaitable[bool]]) -> None:
    """Wait until a condition holds.

    Raises:
        AssertionError: If it does not hold in time.
    """
    for _ in range(MAX_POLLS):
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL)
    raise AssertionError("the condition did not hold in time")
