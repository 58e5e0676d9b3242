"""An endpoint's answer over HTTP/1.1, as it is read and its connection returned."""

from .._body_memory import Room
from .._effects_forwarding import Forward
from .._http1 import Connection, ConnectionPool, Header

EVENT_STREAM = "text/event-stream"


class EndpointAnswer:
    """An endpoint's answer whose head (status and headers) has arrived.

    Args:
        pool: Pool that the connection is returned to.
        effect: The effect that sent the request.
        conn: The connection.
        not_run: Whether the answer says that the request was not run.
    """

    __slots__ = (
        "status",
        "headers",
        "not_run",
        "streams",
        "has_length",
        "_conn",
        "_return_connection",
    )

    def __init__(
        self, *, pool: ConnectionPool, effect: Forward, conn: Connection, not_run: bool
    ) -> None:
        self.status = conn.status
        self.headers: list[Header] = conn.headers
        self.not_run = not_run
        self.streams = conn.header(b"content-type").startswith(EVENT_STREAM)
        self.has_length = conn.has_length
        self._conn: Connection | None = conn
        self._return_connection = lambda: pool.release(
            effect.endpoint,
            effect.address,
            conn,
            max_idle=effect.connections,
            refused=self.not_run,
        )

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        return await self._conn.chunk()

    async def body(self, room: Room | None = None) -> bytes:
        """Return the whole body; ``room`` may let a large one wait."""
        return await self._conn.body(room)

    def release(self) -> None:
        """Return the connection to its pool, or close it if the answer is incomplete."""
        if self._conn is not None:
            self._conn = None
            self._return_connection()
