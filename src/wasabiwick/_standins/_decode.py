"""Decode of a stand-in engine: continuous batching of streams that outlive their connections."""

import asyncio
import typing

import msgspec
from aiohttp import web

from .._wire import DecodeAsk, Frame, StreamReport
from ._output import output, output_seed
from ._prefill import KvEntry
from ._serve import StandIn


class Stream:
    """One request in decode memory; ``phase`` is ``import``, ``decode`` or ``ended``."""

    __slots__ = ("ask", "owner", "phase", "seed", "offset", "finish", "reader", "changed")

    def __init__(self, ask: DecodeAsk) -> None:
        self.ask = ask
        self.owner = ask.owner
        self.phase = "import"
        self.seed = 0
        self.offset = ask.offset
        self.finish = ""
        self.reader: web.Request | None = None
        self.changed = asyncio.Event()

    def wake(self) -> None:
        """Wake the connection that reads the stream."""
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, finish: str) -> None:
        """End the stream, which frees its slot."""
        self.phase = "ended"
        self.finish = finish
        self.wake()


class Batch:
    """All streams of an engine, decoded together in steps."""

    __slots__ = ("streams", "peak", "outputs", "_engine", "_work_added")

    def __init__(self, engine: StandIn) -> None:
        self.streams: dict[str, Stream] = {}
        self.peak = 0
        self.outputs = 0
        self._engine = engine
        self._work_added = asyncio.Event()

    @property
    def used(self) -> int:
        """Return the number of decode slots in use."""
        return sum(one.phase != "ended" for one in self.streams.values())

    def interval(self) -> float:
        """Return the seconds between outputs at the current batch size."""
        knobs = self._engine.knobs
        return knobs.step + knobs.step_per_stream * max(0, self.used - 1)

    def add(self, ask: DecodeAsk) -> Stream:
        """Reserve a slot for a request whose KV cache is still to be imported."""
        stream = Stream(ask)
        self.streams[ask.attempt_id] = stream
        self.peak = max(self.peak, self.used)
        return stream

    def begin(self, stream: Stream, entry: KvEntry) -> None:
        """Add a request to the batch once its KV cache is imported."""
        if stream.phase != "import":
            return
        stream.seed = output_seed(entry.prompt, entry.prefix)
        stream.phase = "decode"
        self._work_added.set()

    def drop(self, stream: Stream) -> None:
        """Remove a stream and its output."""
        if self.streams.get(stream.ask.attempt_id) is stream:
            del self.streams[stream.ask.attempt_id]

    def cancel(self, attempt_id: str) -> None:
        """End a stream and remove it."""
        stream = self.streams.pop(attempt_id, None)
        if stream:
            stream.end("cancelled")

    def abort_readers(self) -> None:
        """Abort the connections of all readers."""
        for stream in self.streams.values():
            if stream.reader is not None and stream.reader.transport is not None:
                stream.reader.transport.abort()

    async def run(self) -> None:
        """Decode the batch, one step after another, until cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            running = [one for one in self.streams.values() if one.phase == "decode"]
            if not running:
                self._work_added.clear()
                await self._work_added.wait()
                due = loop.time()
                continue
            due = max(due + self.interval(), loop.time())
            await asyncio.sleep(due - loop.time())
            if not self._engine.knobs.stall:
                self._step(running)

    def _step(self, running: list[Stream]) -> None:
        for stream in running:
            if stream.phase != "decode":
                continue
            produced = min(self._engine.knobs.step_tokens, stream.ask.max_tokens - stream.offset)
            stream.offset += produced
            self.outputs += produced
            if stream.offset < stream.ask.max_tokens:
                stream.wake()
                continue
            stream.end("length")
            keep = self._engine.knobs.keep
            asyncio.get_running_loop().call_later(keep, self.drop, stream)

    def stream_reports(self) -> typing.Iterator[StreamReport]:
        """Return reports of the streams that hold a slot."""
        for stream in self.streams.values():
            if stream.phase != "ended":
                yield StreamReport(
                    request_id=stream.ask.request_id,
                    attempt_id=stream.ask.attempt_id,
                    owner=stream.owner,
                    phase="decode",
                    offset=stream.offset,
                )


async def relay(
    engine: StandIn, request: web.Request, stream: Stream, offset: int
) -> web.StreamResponse:
    """Write a stream to a new reader.

    The previous reader gets a last frame whose ``finish`` is ``superseded``.
    """
    resp = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    stream.reader = request
    stream.wake()
    try:
        await resp.prepare(request)
        while stream.reader is request:
            await engine.wait_while_silenced(request)
            changed = stream.changed
            frame = _next_frame(stream, offset)
            if frame is not None:
                await resp.write(msgspec.json.encode(frame) + b"\n")
                offset = frame.offset + frame.count
                if frame.done:
                    return resp
            elif not await _wait_for_change(changed, engine.knobs.heartbeat):
                await resp.write(_empty_frame(stream, offset))
        await resp.write(_empty_frame(stream, offset, done=True, finish="superseded"))
    except ConnectionError:
        pass  # The reader has disconnected; the stream continues without it.
    return resp


def _next_frame(stream: Stream, offset: int) -> Frame | None:
    ended = stream.phase == "ended"
    if offset >= stream.offset and not ended:
        return None
    return Frame(
        request_id=stream.ask.request_id,
        attempt_id=stream.ask.attempt_id,
        offset=offset,
        count=max(0, stream.offset - offset),
        text=output(stream.seed, offset, stream.offset),
        done=ended,
        finish=stream.finish,
    )


def _empty_frame(stream: Stream, offset: int, *, done: bool = False, finish: str = "") -> bytes:
    frame = Frame(
        request_id=stream.ask.request_id,
        attempt_id=stream.ask.attempt_id,
        offset=offset,
        done=done,
        finish=finish,
    )
    return msgspec.json.encode(frame) + b"\n"


async def _wait_for_change(changed: asyncio.Event, seconds: float) -> bool:
    try:
        await asyncio.wait_for(changed.wait(), seconds)
    except TimeoutError:
        return False
    return True
