"""Engines over HTTP."""

import asyncio
import typing

import aiohttp
import msgspec

from .._errors import Failure
from .._settings import Timing
from .._wire import (
    CacheEvent,
    CancelAnswer,
    CancelAsk,
    DecodeAsk,
    EngineReport,
    Frame,
    OrderAsk,
    PrefillAnswer,
    PrefillAsk,
    ResumeAsk,
)
from ._http import HTTP_CONFLICT, JSON_TYPE, failure_of, failure_of_status, request_json

Batch = list[Frame] | Failure


class HttpEngine:
    """Engines over HTTP.

    Args:
        session: Client session for all engines.
        timing: Timeouts.
    """

    __slots__ = ("_session", "_timing", "_decoder")

    def __init__(self, *, session: aiohttp.ClientSession, timing: Timing) -> None:
        self._session = session
        self._timing = timing
        self._decoder = msgspec.json.Decoder(Frame)

    async def prefill(self, address: str, ask: PrefillAsk) -> PrefillAnswer | Failure:
        """Prefill a prompt and keep the result for export."""
        return await request_json(
            self._session,
            "POST",
            address,
            "/v1/prefill",
            body=ask,
            answer=PrefillAnswer,
            timeout=self._timing.prefill,
        )

    def decode(self, address: str, ask: DecodeAsk) -> typing.AsyncIterator[Batch]:
        """Stream a request's output in batches; a failure is the last item."""
        return self._stream(address, "/v1/decode", ask)

    def resume(self, address: str, ask: ResumeAsk) -> typing.AsyncIterator[Batch]:
        """Stream a running request again from an offset; a failure is the last item."""
        return self._stream(address, "/v1/resume", ask)

    async def cancel(self, address: str, ask: CancelAsk) -> CancelAnswer | Failure:
        """Forget an attempt."""
        return await request_json(
            self._session,
            "POST",
            address,
            "/v1/cancel",
            body=ask,
            answer=CancelAnswer,
            timeout=self._timing.peer,
        )

    async def report(self, address: str) -> EngineReport | Failure:
        """Return the engine's load."""
        return await request_json(
            self._session,
            "GET",
            address,
            "/v1/report",
            answer=EngineReport,
            timeout=self._timing.peer,
        )

    async def cache_events(self, address: str, after: int) -> tuple[CacheEvent, ...] | Failure:
        """Return prefix cache events after a sequence number."""
        return await request_json(
            self._session,
            "GET",
            address,
            f"/v1/cache_events?after={after}",
            answer=tuple[CacheEvent, ...],
            timeout=self._timing.peer,
        )

    async def order(self, address: str, ask: OrderAsk) -> bool | Failure:
        """Order the engine to a state; False if it refused the fencing number."""
        data = msgspec.json.encode(ask)
        try:
            async with (
                asyncio.timeout(self._timing.service),
                self._session.post(f"{address}/v1/orders", data=data, headers=JSON_TYPE) as resp,
            ):
                if resp.status == HTTP_CONFLICT:
                    return False
                return True if resp.ok else failure_of_status(resp.status, address)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return failure_of(exc, address)

    async def _stream(
        self, address: str, path: str, ask: msgspec.Struct
    ) -> typing.AsyncIterator[Batch]:
        data = msgspec.json.encode(ask)
        try:
            async with self._session.post(address + path, data=data, headers=JSON_TYPE) as resp:
                if resp.status >= 400:
                    yield failure_of_status(resp.status, address)
                    return
                async for frames in self._batches(resp.content):
                    yield frames
                    if frames and frames[-1].done:
                        return
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as exc:
            yield failure_of(exc, address)
            return
        yield failure_of(ConnectionResetError(), address)

    async def _batches(self, content: aiohttp.StreamReader) -> typing.AsyncIterator[list[Frame]]:
        """Decode all whole lines of each network read together; one wake-up serves them all."""
        rest = b""
        watchdog = Watchdog(content=content, limit=self._timing.stream_silence)
        try:
            while chunk := await watchdog.read():
                lines = (rest + chunk).split(b"\n")
                rest = lines.pop()
                if lines:
                    yield [self._decoder.decode(line) for line in lines if line]
        finally:
            watchdog.stop()


class Watchdog:
    """Ends a stream's read that hears nothing for too long.

    Heartbeats arrive even while no token does, so that silence means a lost connection. A timer for
    each read would cost more than the read does; one for each stream looks now and then.

    Args:
        content: The stream.
        limit: Seconds of silence, of which only those spent reading count.
    """

    __slots__ = ("_content", "_limit", "_loop", "_since", "_handle")

    def __init__(self, *, content: aiohttp.StreamReader, limit: float) -> None:
        self._content = content
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._since: float | None = None
        self._handle = self._loop.call_later(limit, self._look)

    async def read(self) -> bytes:
        """Return what has arrived, or empty bytes at the end.

        Raises:
            TimeoutError: If nothing arrives for the limit.
        """
        self._since = self._loop.time()
        try:
            return await self._content.readany()
        finally:
            self._since = None

    def stop(self) -> None:
        """Stop looking."""
        self._handle.cancel()

    def _look(self) -> None:
        silent = 0.0 if self._since is None else self._loop.time() - self._since
        if silent >= self._limit:
            self._content.set_exception(TimeoutError())
            return
        self._handle = self._loop.call_later(self._limit - silent, self._look)
