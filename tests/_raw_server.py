"""Base of servers that read and write raw bytes, for tests of what no sound endpoint sends."""

import asyncio


class RawServer:
    """A server on a free port; a subclass serves each connection.

    Attributes:
        connections: Number of connections that it accepted.
        writers: Writers of these connections.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> "RawServer":
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()
        for writer in self.writers:
            writer.close()

    @property
    def address(self) -> str:
        """Address that it listens at."""
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        await self.serve(reader, writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection."""
        raise NotImplementedError
