"""Tests of reading the log service."""

import asyncio
import unittest

from wasabiwick import _effects, _events, _wire
from wasabiwick._performers import platform


class FakeLog:
    """A log with an empty stream: reads that wait never return."""

    def __init__(self) -> None:
        self.waits: list[float] = []

    async def read(self, stream: str, offset: int, wait: float) -> _wire.LogPage:
        self.waits.append(wait)
        if wait:
            await asyncio.Event().wait()
        return _wire.LogPage(first=0, end=0)


class FakeRunner:
    """The parts of a runner that tailing a stream of the log uses."""

    def __init__(self) -> None:
        self.ports = self
        self.log = FakeLog()
        self.cfg = self
        self.timing = self
        self.log_poll = 10.0
        self.posted: list[_events.Event] = []
        self.tasks: list[asyncio.Task] = []

    def now(self) -> float:
        return 0.0

    def post(self, event: _events.Event) -> None:
        self.posted.append(event)

    def spawn(self, name: str, work: object) -> None:
        self.tasks.append(asyncio.ensure_future(work))


class TestTail(unittest.IsolatedAsyncioTestCase):
    """A tail's first read must not wait, or the host would learn late that a stream is empty."""

    async def test_first_read_of_an_empty_stream_does_not_wait(self) -> None:
        runner = FakeRunner()
        platform.tail(runner, _effects.TailLog(stream="effects-1", offset=0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual([event.end for event in runner.posted], [0])
        self.assertEqual(runner.log.waits, [0.0, runner.log_poll])
        runner.tasks[0].cancel()
