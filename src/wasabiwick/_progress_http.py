"""Sends an HTTP request and reads its answer for as long as the answer makes progress.

The length of an answer and the speed of its path are not known beforehand. So no time-out bounds
the whole call; it is bounded by its phases, by the silence within the answer and by its speed.
"""

import asyncio
import contextlib
import typing

import aiohttp

from ._keepalive import keepalive_socket

CONNECT_TIMEOUT_S = 0.5  # Time to connect; short, as TCP repeats a lost SYN only after 1 s.
FIRST_BYTE_TIMEOUT_S = 1.0  # Time until an answer begins; a slow store answers within 0.25 s.
SILENCE_TIMEOUT_S = 1.0  # Time between two parts of a body.
MIN_BYTES_PER_S = 32_000  # Average speed below which a body or an upload is given up.
SLOW_START_S = 1.0  # Time at the start of a body that this average leaves out.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class CallLimits:
    """What bounds a call.

    Args:
        connect: Longest time to connect, in seconds.
        first_byte: Longest time until the answer begins, in seconds, beside what the server was
            asked to wait and what the upload may take.
        silence: Longest time between two parts of the body, in seconds.
        speed: Average speed that the body must have, in bytes a second.
        slow_start: Time at the start of the body that this average leaves out, in seconds.
        max_bytes: Most bytes of a body.
    """

    __slots__ = ("connect", "first_byte", "silence", "speed", "slow_start", "max_bytes")

    def __init__(
        self,
        *,
        connect: float = CONNECT_TIMEOUT_S,
        first_byte: float = FIRST_BYTE_TIMEOUT_S,
        silence: float = SILENCE_TIMEOUT_S,
        speed: float = MIN_BYTES_PER_S,
        slow_start: float = SLOW_START_S,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.connect = connect
        self.first_byte = first_byte
        self.silence = silence
        self.speed = speed
        self.slow_start = slow_start
        self.max_bytes = max_bytes


class BrokenCallError(Exception):
    """A call failed or made no progress; the text names its phase, bytes received and seconds."""


class _SilentCallError(BrokenCallError):
    """Nothing came on the call's connection for too long."""


class Answer:
    """An answer whose head has come, and whose body is read part by part.

    Args:
        resp: Answer of the client library.
        limits: What bounds the call.
        began: When the call began, in seconds of the event loop's clock.
        due: Until when the body has to begin, in seconds of that clock.

    Attributes:
        status: Its status.
        received: Number of bytes of the body so far.
    """

    __slots__ = (
        "status",
        "received",
        "_resp",
        "_limits",
        "_began",
        "_silent_at",
        "_slow_at",
        "_check_end",
    )

    def __init__(
        self, resp: aiohttp.ClientResponse, limits: CallLimits, *, began: float, due: float
    ) -> None:
        self.status = resp.status
        self.received = 0
        self._resp = resp
        self._limits = limits
        self._began = began
        self._silent_at = max(due, asyncio.get_running_loop().time() + limits.silence)
        self._slow_at = float("inf")  # Until the body has begun.
        self._check_end = reset_check(resp)

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return self._resp.headers.get(name, "")

    async def read_part(self) -> bytes:
        """Return the next part of the body once it has come; empty at the end.

        Raises:
            BrokenCallError: If the body stalls, is slow, too long or cut off; the parts returned
                before are right.
        """
        limits = self._limits
        try:
            part = await self._next_part()
            if not part:
                self._check_end()
        except TimeoutError as exc:
            if self._slow_at < self._silent_at:
                raise self._broken("too slow") from exc
            raise self._broken("silent", _SilentCallError) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise self._broken(_text(exc)) from exc
        now = asyncio.get_running_loop().time()
        if not self.received:
            self._slow_at = now + limits.slow_start
        self.received += len(part)
        if self.received > limits.max_bytes:
            raise self._broken(f"longer than {limits.max_bytes} bytes")
        self._slow_at += len(part) / limits.speed
        self._silent_at = now + limits.silence
        return part

    async def _next_part(self) -> bytes:
        content = self._resp.content
        try:
            async with asyncio.timeout_at(min(self._silent_at, self._slow_at)):
                return await content.readany()
        except TimeoutError:
            # A process that was held up is woken by its time-out beside the bytes that have come.
            part = content.read_nowait()
            if not part and not content.at_eof():
                raise
            return part

    def _broken(self, why: str, kind: type[BrokenCallError] = BrokenCallError) -> BrokenCallError:
        return _broken("body", why, self.received, self._began, kind)


class _Pool:
    """Connections that calls share, and the number of calls in progress on them."""

    __slots__ = ("session", "calls")

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(limit=0, socket_factory=keepalive_socket)
        self.session = aiohttp.ClientSession(connector=connector)
        self.calls = 0


class ProgressClient:
    """Client of one server.

    A path that goes silent takes all its connections with it. So once a call has met with silence,
    no later one uses a connection from before.

    Args:
        url: Base URL.
        limits: What bounds a call.
    """

    __slots__ = ("_url", "_limits", "_pool", "_pools")

    def __init__(self, url: str, limits: CallLimits) -> None:
        self._url = url
        self._limits = limits
        self._pool: _Pool | None = None  # For new calls.
        self._pools: set[_Pool] = set()

    @contextlib.asynccontextmanager
    async def open(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        body: bytes | None = None,
        wait: float = 0.0,
    ) -> typing.AsyncIterator[Answer]:
        """Send a request; returns its answer once the head has come.

        An answer that is not read to its end closes its connection.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            query: Query.
            body: Body, or None.
            wait: How long the server was asked to wait before it answers, in seconds.

        Raises:
            BrokenCallError: If no connection was established, or no head came.
        """
        began = asyncio.get_running_loop().time()
        due = began + wait + self._limits.first_byte + len(body or b"") / self._limits.speed
        async with self._pooled() as session:
            resp = await self._send(session, method, path, query, body, began=began, due=due)
            try:
                yield Answer(resp, self._limits, began=began, due=due)
            finally:
                # One that was read to its end has given its connection back, which stays open.
                resp.close()

    async def close(self) -> None:
        """Close all connections."""
        for pool in tuple(self._pools):  # Calls that end meanwhile discard theirs.
            await pool.session.close()

    @contextlib.asynccontextmanager
    async def _pooled(self) -> typing.AsyncIterator[aiohttp.ClientSession]:
        """Lend the pool of connections to a call, and replace it if the call meets with silence."""
        if self._pool is None:
            self._pool = _Pool()
            self._pools.add(self._pool)
        pool = self._pool
        pool.calls += 1
        try:
            yield pool.session
        except _SilentCallError:
            if self._pool is pool:
                self._pool = None
            raise
        finally:
            pool.calls -= 1
            if pool is not self._pool and not pool.calls:
                self._pools.discard(pool)
                await pool.session.close()

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        *,
        began: float,
        due: float,
    ) -> aiohttp.ClientResponse:
        timeout = aiohttp.ClientTimeout(sock_connect=self._limits.connect)
        try:
            async with asyncio.timeout_at(due):
                return await session.request(
                    method, self._url + path, params=query, data=body, timeout=timeout
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise _broken("connect", _text(exc), 0, began) from exc
        except TimeoutError as exc:
            raise _broken("first byte", "silent", 0, began, _SilentCallError) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken("first byte", _text(exc), 0, began) from exc


def reset_check(resp: aiohttp.ClientResponse) -> typing.Callable[[], None]:
    """Return a function to call once a body has come to its end; it raises if it is incomplete.

    The client library takes any end of the connection for the end of an answer that has neither a
    length nor chunks. Such an answer is complete only if the connection was closed, not reset.
    """
    protocol = None if resp.connection is None else resp.connection.protocol
    has_length = "Content-Length" in resp.headers or "Transfer-Encoding" in resp.headers

    def check() -> None:
        if has_length or protocol is None:
            return
        if isinstance(protocol.exception(), OSError):
            raise aiohttp.ClientPayloadError("reset within an answer without a length")

    return check


def _text(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def _broken(
    phase: str,
    why: str,
    received: int,
    began: float,
    kind: type[BrokenCallError] = BrokenCallError,
) -> BrokenCallError:
    seconds = asyncio.get_running_loop().time() - began
    return kind(f"{phase}: {why}, {received} bytes in {seconds:.2f} s")
