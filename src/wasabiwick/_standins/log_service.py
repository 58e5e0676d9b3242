"""Stand-in for the platform's log service: append-only streams with offsets."""

import asyncio
import bisect
import contextlib
import time
import typing

from aiohttp import web

from .._wire import LogAppend, LogAppendAnswer, LogPage, LogRecord
from ._serve import Knobs, StandIn, decode_body, error_response, json_response, knob, stand_in

MAX_PAGE_RECORDS = 1_000
MAX_WAIT_S = 30.0  # Longest time that one read may wait for new records.


class LogKnobs(Knobs):
    """Sizes, rates and faults of the log service."""

    append_rate: knob(float, "Appends per second, over all streams.") = 400.0
    burst: knob(float, "Appends that are accepted in one burst.") = 100.0
    retention: knob(float, "Seconds that records are retained.") = 3600.0
    outage: knob(bool, "Answer every append and read with 503.") = False
    lose_replies: knob(int, "How many of the next appends take effect but lose their reply.") = 0


class Stream:
    """One stream: its records, and the event that wakes reads which wait for new records."""

    __slots__ = ("first", "records", "appended")

    def __init__(self) -> None:
        self.first = 0
        self.records: list[LogRecord] = []
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset that the next record gets."""
        return self.first + len(self.records)

    def append(self, texts: typing.Iterable[str]) -> int:
        """Append records, and return the offset of the first one."""
        offset = self.end
        now = time.time()
        for number, text in enumerate(texts):
            self.records.append(LogRecord(offset=offset + number, time=now, data=text))
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def expire(self, before: float) -> None:
        """Remove the records that are older than a Unix time in seconds."""
        count = bisect.bisect_left(self.records, before, key=lambda one: one.time)
        if count:
            del self.records[:count]
            self.first += count

    def page(self, start: int) -> LogPage:
        """Return the first page of the records from an offset on."""
        index = max(0, start - self.first)
        records = tuple(self.records[index : index + MAX_PAGE_RECORDS])
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
        self._refilled_at = time.monotonic()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of appends and reads."""
        return [
            web.post("/streams/{stream}/append", self._append),
            web.get("/streams/{stream}", self._read),
        ]

    def state(self) -> dict[str, typing.Any]:
        """Return the number of appends and of throttled ones, and the end offset of each stream."""
        ends = {name: one.end for name, one in self.streams.items()}
        return {"appends": self.appends, "throttled": self.throttled, "streams": ends}

    def _stream(self, request: web.Request) -> Stream:
        stream = self.streams.setdefault(request.match_info["stream"], Stream())
        stream.expire(time.time() - self.knobs.retention)
        return stream

    def _take_append_token(self) -> bool:
        now = time.monotonic()
        tokens = self._tokens + (now - self._refilled_at) * self.knobs.append_rate
        self._tokens = min(self.knobs.burst, tokens)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _append(self, request: web.Request) -> web.Response:
        ask = await decode_body(request, LogAppend)
        if self.knobs.outage:
            return error_response(503, "the log service is down")
        if not self._take_append_token():
            self.throttled += 1
            return error_response(429, "the append rate limit is exceeded")
        self.appends += 1
        offset = self._stream(request).append(ask.records)
        if self.knobs.lose_replies:
            self.knobs.lose_replies -= 1
            request.transport.abort()
        return json_response(LogAppendAnswer(offset=offset))

    async def _read(self, request: web.Request) -> web.Response:
        try:
            start = int(request.query.get("from", "0"))
            wait = min(float(request.query.get("wait", "0")), MAX_WAIT_S)
        except ValueError as exc:
            return error_response(400, str(exc))
        stream = self._stream(request)
        if not self.knobs.outage and start >= stream.end and wait > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.appended.wait(), wait)
        if self.knobs.outage:
            return error_response(503, "the log service is down")
        return json_response(self._stream(request).page(start))
