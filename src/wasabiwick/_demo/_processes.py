"""Starts and ends the processes of a local site, each a ``wasabiwick`` command."""

import asyncio
import pathlib
import signal
import sys

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
LISTENING = "event=listening"


class Process:
    """One process, its log file, and the fields of its ``listening`` event."""

    __slots__ = ("name", "proc", "log", "fields")

    def __init__(self, *, name: str, proc: asyncio.subprocess.Process, log: pathlib.Path) -> None:
        self.name = name
        self.proc = proc
        self.log = log
        self.fields: dict[str, str] = {}

    @property
    def address(self) -> str:
        """Return the base URL of a stand-in."""
        return self.fields["address"]

    async def wait_until_listening(self) -> None:
        """Wait until the process has logged its addresses.

        Raises:
            RuntimeError: If the process exits first, or does not listen in time.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not self._read_fields():
                    if self.proc.returncode is not None:
                        raise RuntimeError(
                            f"{self.name} exited before it listened: {self.log.read_text()}"
                        )
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise RuntimeError(
                f"{self.name} did not listen in time: {self.log.read_text()}"
            ) from None

    def _read_fields(self) -> bool:
        for line in self.log.read_text().splitlines(keepends=True):
            if LISTENING in line and line.endswith("\n"):
                parts = (part.split("=", 1) for part in line.split() if "=" in part)
                self.fields = {key: value.strip('"') for key, value in parts}
                return True
        return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.proc.returncode is None:
            self.proc.send_signal(number)


class Processes:
    """All processes of a local site.

    Args:
        folder: Folder of their log files.
    """

    __slots__ = ("_folder", "_started")

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder
        self._started: list[Process] = []

    async def start(self, name: str, *args: str) -> Process:
        """Start a ``wasabiwick`` server, and wait until it listens."""
        process = await self._spawn(name, *args)
        self._started.append(process)
        await process.wait_until_listening()
        return process

    async def run_to_end(self, name: str, *args: str) -> str:
        """Run a ``wasabiwick`` command until it exits, and return its output.

        Raises:
            RuntimeError: If it fails.
        """
        process = await self._spawn(name, *args)
        status = await process.proc.wait()
        text = process.log.read_text()
        if status:
            raise RuntimeError(f"{name} exited with status {status}: {text}")
        return text

    async def _spawn(self, name: str, *args: str) -> Process:
        log = self._folder / f"{name}.log"
        with log.open("w") as out:
            proc = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "wasabiwick", *args, stdout=out, stderr=out
            )
        return Process(name=name, proc=proc, log=log)

    async def close(self) -> None:
        """End all processes that are still running."""
        running = [process for process in self._started if process.proc.returncode is None]
        for process in running:
            process.send(signal.SIGTERM)
        await asyncio.gather(*(self._end(process) for process in running))

    async def _end(self, process: Process) -> None:
        try:
            await asyncio.wait_for(process.proc.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            process.send(signal.SIGKILL)
            await process.proc.wait()
