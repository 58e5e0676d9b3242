"""A store that answers each call with scripted bytes, pauses and ends of the connection."""

import asyncio
import contextlib
import json
import socket
import struct
import typing

from ._raw_server import RawServer

RESET = "reset"
CLOSE = "close"
# Bytes to send, seconds to pause, an event to wait for, or one of the words above.
Step = bytes | float | asyncio.Event | str


def head(*, length: int | None = None, era: int | None = 1, status: int = 200) -> bytes:
    """Return the head of an answer; without a length, its body ends with the connection."""
    lines = [f"HTTP/1.1 {status} Scripted"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if era is not None:
        lines.append(f"Store-Era: {era}")
    return "\r\n".join((*lines, "", "")).encode()


def offsets(end: int, first: int = 0) -> bytes:
    """Return the beginning of the log's answer."""
    return struct.pack(">QQ", end, first)


def record(key: str, value: bytes) -> bytes:
    """Return a record of the log."""
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


def answer(body: bytes, era: int | None = 1, status: int = 200) -> list[Step]:
    """Return the steps of a whole answer that comes at once."""
    return [head(length=len(body), era=era, status=status) + body]


def newest(*keys: str, end: int, more: bool = False) -> bytes:
    """Return the body of one page of the newest records, which have no values."""
    items = [{"key": key, "offset": number} for number, key in enumerate(keys)]
    return json.dumps({"items": items, "end-offset": end, "more": more}).encode()


class ScriptedStore(RawServer):
    """A store that answers the first call with the first script, and so on.

    A script may be without end; it is played until the caller closes the connection.

    Attributes:
        calls: First line of each call.
    """

    def __init__(self, *scripts: typing.Iterable[Step]) -> None:
        super().__init__()
        self.calls: list[str] = []
        self._scripts = iter(scripts)
        self._closing = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def __aexit__(self, *exc: object) -> None:
        await super().__aexit__(*exc)
        self._closing.set()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of a connection until it is closed, or no script is left."""
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                await self._take_call(reader)
                for step in next(self._scripts, (CLOSE,)):
                    await self._play(step, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _take_call(self, reader: asyncio.StreamReader) -> None:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        self.calls.append(lines[0])
        for line in lines:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                await reader.readexactly(int(value))

    async def _play(self, step: Step, writer: asyncio.StreamWriter) -> None:
        if isinstance(step, bytes):
            writer.write(step)
            await writer.drain()
        elif isinstance(step, asyncio.Event):
            await step.wait()
        elif isinstance(step, float):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._closing.wait(), step)
        else:
            if step == RESET:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            raise ConnectionError(step)
