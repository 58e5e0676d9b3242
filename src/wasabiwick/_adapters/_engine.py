"""Calls engines over HTTP."""

import asyncio
import typing

import aiohttp
import msgspec

from .._decoding import decode
from .._errors import Failure
from .._http1 import MAX_BODY_BYTES
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
from ._http import (
    HTTP_CONFLICT,
    JSON_TYPE,
    check_status,
    failure_from_error,
    failure_from_status,
    request_json,
)

Batch = list[Frame] | Failure


class HttpEngine:
    """Client of all engines over HTTP.

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
        """Prefill a prompt; the engine keeps its KV cache for export."""
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
        """Stream a running request again from a token offset on; a failure is the last item."""
        return self._stream(address, "/v1/resume", ask)

    async def cancel(self, address: str, ask: CancelAsk) -> CancelAnswer | Failure:
        """Cancel an attempt, so that the engine frees its memory."""
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
        """Order the engine to change its state; returns False if it refused the fencing token."""
        data = msgspec.json.encode(ask)
        try:
            async with (
                asyncio.timeout(self._timing.service),
                self._session.post(f"{address}/v1/orders", data=data, headers=JSON_TYPE) as resp,
            ):
                check_status(resp)
                if resp.status == HTTP_CONFLICT:
                    return False
                return True if resp.ok else failure_from_status(resp.status, address)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return failure_from_error(exc, address)

    async def _stream(
        self, address: str, path: str, ask: msgspec.Struct
    ) -> typing.AsyncIterator[Batch]:
        data = msgspec.json.encode(ask)
        try:
            async with self._session.post(address + path, data=data, headers=JSON_TYPE) as resp:
                check_status(resp)
                if resp.status >= 400:
                    yield failure_from_status(resp.status, address)
                    return
                async for frames in self._batches(resp.content):
                    yield frames
                    if frames and frames[-1].done:
                        return
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as exc:
            yield failure_from_error(exc, address)
            return
        yield failure_from_error(ConnectionResetError(), address)

    async def _batches(self, content: aiohttp.StreamReader) -> typing.AsyncIterator[list[Frame]]:
        """Decode all complete lines of a network read as one batch, to wake the consumer once."""
        rest = b""
        watchdog = Watchdog(content=content, limit=self._timing.stream_silence)
        try:
            while chunk := await watchdog.read():
                lines = (rest + chunk).split(b"\n")
                rest = lines.pop()
                if len(rest) > MAX_BODY_BYTES:
                    raise aiohttp.ClientPayloadError("a line of the stream does not end")
                if lines:
                    yield [decode(self._decoder, line) for line in lines if line]
        finally:
            watchdog.stop()


class Watchdog:
    """Times out a read of a stream that receives nothing for too long.

    Engines send heartbeats even while there are no tokens, so silence means a lost connection. A
    timer for each read would cost more than the read itself, so each stream has one timer.

    Args:
        content: The stream to read.
        limit: Time-out in seconds; only time spent in a read counts.
    """

    __slots__ = ("_content", "_limit", "_loop", "_reading_since", "_handle")

    def __init__(self, *, content: aiohttp.StreamReader, limit: float) -> None:
        self._content = content
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._reading_since: float | None = None
        self._handle = self._loop.call_later(limit, self._check)

    async def read(self) -> bytes:
        """Return what has arrived, or empty bytes at the end.

        Raises:
            TimeoutError: If nothing arrives within the limit.
        """
        self._reading_since = self._loop.time()
        try:
            return await self._content.readany()
        finally:
            self._reading_since = None

    def stop(self) -> None:
        """Cancel the timer."""
        self._handle.cancel()

    def _check(self) -> None:
        silent = 0.0 if self._reading_since is None else self._loop.time() - self._reading_since
        if silent >= self._limit:
            self._content.set_exception(TimeoutError())
            return
        self._handle = self._loop.call_later(self._limit - silent, self._check)
