"""The processes of a demo: each is a ``wasabiwick`` command of its own."""

import asyncio
import pathlib
import signal
import sys

START_TIMEOUT = 30.0  # Seconds.
STOP_TIMEOUT = 10.0  # Seconds.
POLL_INTERVAL = 0.02  # Seconds.
LISTENING = "event=listening"


class Process:
    """One running process, and the addresses that it told."""

    __slots__ = ("name", "proc", "log", "fields")

    def __init__(self, *, name: str, proc: asyncio.subprocess.Process, log: pathlib.Path) -> None:
        self.name = name
        self.proc = proc
        self.log = log
        self.fields: dict[str, str] = {}

    @property
    def address(self) -> str:
        """Return where a stand-in listens."""
        return self.fields["address"]

    async def listens(self) -> None:
        """Wait until the process says where it listens.

        Raises:
            RuntimeError: If the process ends before, or takes too long.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT):
                while not self._read_fields():
                    if self.proc.returncode is not None:
                        raise RuntimeError(f"{self.name} ended: {self.log.read_text()}")
                    await asyncio.sleep(POLL_INTERVAL)
        except TimeoutError:
            raise RuntimeError(f"{self.name} does not listen: {self.log.read_text()}") from None

    def _read_fields(self) -> bool:
        for line in self.log.read_text().splitlines(keepends=True):
            if LISTENING in line and line.endswith("\n"):
                parts = (part.split("=", 1) for part in line.split() if "=" in part)
                self.fields = {key: value.strip('"') for key, value in parts}
                return True
        return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.proc.returncode is None:
            self.proc.send_signal(number)


class Processes:
    """All processes of a demo.

    Args:
        folder: Where their logs go.
    """

    __slots__ = ("_folder", "_started")

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder
        self._started: list[Process] = []

    async def start(self, name: str, *args: str) -> Process:
        """Start a ``wasabiwick`` command that listens, and wait until it does."""
        one = await self._spawn(name, *args)
        self._started.append(one)
        await one.listens()
        return one

    async def finish(self, name: str, *args: str) -> str:
        """Run a ``wasabiwick`` command to its end and return what it printed.

        Raises:
            RuntimeError: If it fails.
        """
        one = await self._spawn(name, *args)
        status = await one.proc.wait()
        text = one.log.read_text()
        if status:
            raise RuntimeError(f"{name} ended with status {status}: {text}")
        return text

    async def _spawn(self, name: str, *args: str) -> Process:
        log = self._folder / f"{name}.log"
        with log.open("w") as out:
            proc = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "wasabiwick", *args, stdout=out, stderr=out
            )
        return Process(name=name, proc=proc, log=log)

    async def close(self) -> None:
        """End all processes that still run."""
        running = [one for one in self._started if one.proc.returncode is None]
        for one in running:
            one.send(signal.SIGTERM)
        await asyncio.gather(*(self._end(one) for one in running))

    async def _end(self, one: Process) -> None:
        try:
            await asyncio.wait_for(one.proc.wait(), STOP_TIMEOUT)
        except TimeoutError:
            one.send(signal.SIGKILL)
            await one.proc.wait()
