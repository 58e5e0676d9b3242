"""Stand-in for the platform's log service: append-only streams with offsets."""

import asyncio
import bisect
import contextlib
import time
import typing

from aiohttp import web

from .._wire import LogAppend, LogAppendAnswer, LogPage, LogRecord
from ._serve import Knobs, StandIn, answer, body_of, knob, problem, stand_in

PAGE_RECORDS = 1_000
MAX_WAIT = 30.0  # Seconds.


class LogKnobs(Knobs):
    """Sizes, rates and faults of the log service."""

    append_rate: knob(float, "Appends per second, over all streams.") = 400.0
    burst: knob(float, "Appends that may come at once.") = 100.0
    retention: knob(float, "Seconds that records are kept.") = 3600.0
    outage: knob(bool, "Answer every append and read with 503.") = False
    lose_replies: knob(int, "Appends yet to come whose answer is lost after they took effect.") = 0


class Stream:
    """One stream: its records, and the event that ends long polls."""

    __slots__ = ("first", "records", "grown")

    def __init__(self) -> None:
        self.first = 0
        self.records: list[LogRecord] = []
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset that the next record gets."""
        return self.first + len(self.records)

    def append(self, texts: typing.Iterable[str]) -> int:
        """Append records and return the first one's offset."""
        offset = self.end
        now = time.time()
        for number, text in enumerate(texts):
            self.records.append(LogRecord(offset=offset + number, time=now, data=text))
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def expire(self, before: float) -> None:
        """Drop the records that are older than a Unix time."""
        count = bisect.bisect_left(self.records, before, key=lambda one: one.time)
        if count:
            del self.records[:count]
            self.first += count

    def page(self, start: int) -> LogPage:
        """Return the records from an offset on, at most a page."""
        index = max(0, start - self.first)
        records = tuple(self.records[index : index + PAGE_RECORDS])
        return LogPage(first=self.first, end=self.end, records=records)


@stand_in("log_service")
class LogService(StandIn):
    """Named streams in memory, with an append rate, retention and outages."""

    knobs_type = LogKnobs

    def __init__(self, *, name: str, knobs: LogKnobs) -> None:
        super().__init__(name=name, knobs=knobs)
        self.streams: dict[str, Stream] = {}
        self.appends = 0
        self.throttled = 0
        self._tokens = knobs.burst
        self._filled = time.monotonic()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of appends and reads."""
        return [
            web.post("/streams/{stream}/append", self._append),
            web.get("/streams/{stream}", self._read),
        ]

    def state(self) -> dict[str, typing.Any]:
        """Return counts, and the end of each stream."""
        ends = {name: one.end for name, one in self.streams.items()}
        return {"appends": self.appends, "throttled": self.throttled, "streams": ends}

    def _stream(self, request: web.Request) -> Stream:
        stream = self.streams.setdefault(request.match_info["stream"], Stream())
        stream.expire(time.time() - self.knobs.retention)
        return stream

    def _take(self) -> bool:
        now = time.monotonic()
        filled = self._tokens + (now - self._filled) * self.knobs.append_rate
        self._tokens = min(self.knobs.burst, filled)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _append(self, request: web.Request) -> web.Response:
        ask = await body_of(request, LogAppend)
        if self.knobs.outage:
            return problem(503, "the log is down")
        if not self._take():
            self.throttled += 1
            return problem(429, "the append rate is reached")
        self.appends += 1
        offset = self._stream(request).append(ask.records)
        if self.knobs.lose_replies:
            self.knobs.lose_replies -= 1
            request.transport.abort()
        return answer(LogAppendAnswer(offset=offset))

    async def _read(self, request: web.Request) -> web.Response:
        try:
            start = int(request.query.get("from", "0"))
            wait = min(float(request.query.get("wait", "0")), MAX_WAIT)
        except ValueError as exc:
            return problem(400, str(exc))
        stream = self._stream(request)
        if not self.knobs.outage and start >= stream.end and wait > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.grown.wait(), wait)
        if self.knobs.outage:
            return problem(503, "the log is down")
        return answer(self._stream(request).page(start))
