"""A host's path to the store: a proxy that lets a bounded number of bytes a second through."""

import asyncio
import contextlib

from ._partition import Ends, Link

CHUNK_BYTES = 8_192


class _Flow:
    """One connection.

    Attributes:
        is_silent: Whether it carries nothing any more.
        is_asked: Whether a request has gone to the store, and nothing of its answer has come.
        left: Bytes until it breaks.
        pumps: What carries its two directions.
    """

    __slots__ = ("is_silent", "is_asked", "left", "pumps")

    def __init__(self, left: int) -> None:
        self.is_silent = False
        self.is_asked = False
        self.left = left
        self.pumps: tuple[asyncio.Task, ...] = ()


class NarrowPath(Link):
    """The path of one host to the store.

    Args:
        target: Address of the store.
        rate: Bytes a second that it lets through from the store, over all connections; 0 for no
            bound.
        break_after: Bytes of each answer after which its connection is closed; 0 for never.

    Attributes:
        bytes_read: Bytes that came through from the store.
    """

    def __init__(self, target: str, *, rate: float = 0.0, break_after: int = 0) -> None:
        super().__init__(target)
        self.bytes_read = 0
        self._rate, self._break_after = rate, break_after
        self._free_at = 0.0
        self._open: set[_Flow] = set()

    @property
    def address(self) -> str:
        """Where the host connects to."""
        return f"127.0.0.1:{self.port}"

    @property
    def is_asked(self) -> bool:
        """Whether the host waits for the store to begin an answer."""
        return any(flow.is_asked for flow in self._open)

    def silence(self) -> None:
        """Let the connections that are open now carry nothing more, without closing them."""
        for flow in self._open:
            flow.is_silent = True

    async def close(self) -> None:
        """Close the listener and all connections, whatever is on the way."""
        await super().close()
        pumps = [task for flow in self._open for task in flow.pumps]
        for task in pumps:
            task.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)

    async def _carry(self, up: Ends, down: Ends) -> None:
        flow = _Flow(self._break_after)
        flow.pumps = (
            asyncio.create_task(self._pump_up(*up, flow)),
            asyncio.create_task(self._pump_down(*down, flow)),
        )
        self._open.add(flow)
        try:
            await asyncio.wait(flow.pumps)
        finally:
            self._open.discard(flow)

    async def _pump_up(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, flow: _Flow
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                # The host sends one request after the other, so these bytes are of a new one.
                flow.left, flow.is_asked = self._break_after, True
                if not flow.is_silent:
                    writer.write(data)
                    await writer.drain()
        writer.close()

    async def _pump_down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, flow: _Flow
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                flow.is_asked = False
                if self._break_after:
                    data = data[: flow.left]
                    flow.left -= len(data)
                await self._wait_for(len(data))
                if flow.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
                self.bytes_read += len(data)
                if self._break_after and not flow.left:
                    break
        # A reset could take back what was written before it, which a close delivers.
        writer.close()

    async def _wait_for(self, size: int) -> None:
        """Wait until a number of bytes has come through."""
        if not self._rate:
            return
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._rate
        await asyncio.sleep(self._free_at - now)
