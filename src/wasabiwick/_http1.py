"""HTTP/1.1 client that never sends a request to an endpoint twice by itself.

A general-purpose client may send a request again by itself when a kept connection turns out to be
closed, takes unsolicited bytes for the next answer, and can't tell whether an answer without a
length was reset or ended. Here a connection carries one request at a time, is kept only after an
answer that ended cleanly, and reports how each answer ended.
"""

import asyncio
import collections
import fcntl
import re
import socket
import struct
import termios
import typing

import httptools

from ._body_memory import Room
from ._keepalive import detect_dead_peer

CONNECT_TIMEOUT = 0.4  # Seconds to connect; a TCP handshake between zones takes some 10 ms.
# Seconds for which an idle connection is kept if its endpoint sends no ``Keep-Alive`` time-out.
DEFAULT_KEEP_TIME = 4.0
# Seconds before the end of the time-out in its endpoint's ``Keep-Alive`` header from which an idle
# connection is no longer reused.
KEEP_MARGIN = 0.75
MAX_IDLE_CONNECTIONS = 8  # Most idle connections that are kept to one endpoint.
# Reading from an endpoint pauses while more bytes than this of its answer wait for the caller.
MAX_BUFFERED_BYTES = 64 * 1024
READ_BYTES = 32 * 1024  # Most bytes of an answer that are read at once.
MAX_HEAD_BYTES = 64 * 1024  # Most bytes before the end of an answer's head; callers send 16 KiB.
# Most bytes of a body that is kept as a whole, as many as a caller may send by default.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Bytes that frame a body, such as the sizes of its chunks, may be this multiple of the body itself,
# beside `MAX_HEAD_BYTES`. A chunk of one byte needs five to frame it.
MAX_FRAMING_RATIO = 8
# Statuses that HTTP knows; an interim answer has one below `FIRST_FINAL_STATUS`.
FIRST_STATUS, LAST_STATUS = 100, 599
FIRST_FINAL_STATUS = 200
# Seconds between checks whether the rest of a request has arrived, once its answer has ended.
UNSENT_CHECK_S = 0.005
_TCP_CLOSE = 7  # State of a TCP connection that was reset, as in the first byte of `TCP_INFO`.
# Start of a status line, which no line of a sound head holds. An endpoint that stopped in the
# middle of a line went on with another answer there.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")

Header = tuple[bytes, bytes]


class NotSentError(Exception):
    """No connection was established, so no byte of the request was sent."""


class NotListeningError(NotSentError):
    """Nothing listens at the address."""


class BrokenAnswerError(Exception):
    """The connection ended before the answer was complete, or the answer is not valid."""


class Connection(asyncio.Protocol):
    """One connection to an endpoint.

    Attributes:
        status: Status of the answer, once its head has arrived.
        headers: Headers of the answer, names in lower case.
        ended: Whether the answer is complete.
        has_length: Whether the answer states its length or comes in chunks; otherwise it ends with
            the connection.
        kept_until: Monotonic time until which the connection may be used again.
        is_reused: Whether the connection has carried another request before.
        is_early: Whether the answer began before the whole request was handed to the network.
    """

    __slots__ = (
        "transport",
        "status",
        "headers",
        "ended",
        "has_length",
        "kept_until",
        "is_reused",
        "is_early",
        "_has_sent",
        "_parser",
        "_chunks",
        "_buffered_bytes",
        "_received_bytes",
        "_body_bytes",
        "_is_paused",
        "_waiter",
        "_is_busy",
        "_has_head",
        "_reason",
        "_error",
        "_is_lost",
        "_on_lost",
    )

    def __init__(self, on_lost: typing.Callable[[], None]) -> None:
        self._on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.kept_until = 0.0
        self.is_reused = False
        self._has_sent = False
        self._is_busy = False
        self._is_lost = False
        self._waiter: asyncio.Future | None = None
        self._reset()

    def _reset(self) -> None:
        self.status = 0
        self.headers: list[Header] = []
        self.ended = False
        self.has_length = False
        self.is_early = False
        self._parser = httptools.HttpResponseParser(self)
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._is_paused = False
        self._has_head = False
        self._reason = b""
        self._error = ""

    # --- Public interface ------------------------------------------------------------------------

    def is_usable(self, now: float) -> bool:
        """Return whether a kept connection may carry another request."""
        open_ = not self._is_lost and not self._is_busy and not self._error
        return open_ and now < self.kept_until and not self.transport.is_closing()

    def send(self, data: bytes) -> None:
        """Write a whole request."""
        self._reset()
        self._is_busy = True
        self.is_reused, self._has_sent = self._has_sent, True
        self.transport.write(data)

    async def head(self) -> None:
        """Wait for the head of the answer: its status and headers.

        Raises:
            BrokenAnswerError: If the connection ended before the head was complete.
        """
        while not self._has_head:
            self._raise_if_broken()
            await self._wait()

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        Raises:
            BrokenAnswerError: If the body is incomplete.
        """
        while not self._chunks:
            if self.ended:
                return b""
            self._raise_if_broken()
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._is_paused and not self._is_lost:
            self._is_paused = False
            self.transport.resume_reading()
        return data

    async def body(self, room: Room | None = None) -> bytes:
        """Return the whole body.

        Args:
            room: Waits until there is room for a number of bytes. Asked once, as a body that holds
                some and waits for more could wait for ever; bodies that fit into the buffer don't
                ask. Meanwhile nothing more is read.

        Raises:
            BrokenAnswerError: If the body is incomplete, or has more than `MAX_BODY_BYTES`.
        """
        parts = []
        size = 0
        while data := await self.chunk():
            size += len(data)
            if size > MAX_BODY_BYTES:
                raise BrokenAnswerError(f"the body has more than {MAX_BODY_BYTES} bytes")
            parts.append(data)
            if room is not None and size > MAX_BUFFERED_BYTES:
                await room(self._stated_length() or MAX_BODY_BYTES)
                room = None
        return b"".join(parts)

    def release(self, now: float) -> bool:
        """End the request; return whether the connection can be kept for another request."""
        self._is_busy = False
        clean = self.ended and not self._error and not self._is_lost and not self._chunks
        # After an early answer, the rest of the request's body may still wait to be sent.
        if not clean or not self._may_be_kept() or self.transport.get_write_buffer_size():
            self.close()
            return False
        self.kept_until = now + self._keep_time()
        return True

    def close(self) -> None:
        """Abort the connection, so that the endpoint stops working on the request."""
        if self.transport is not None and not self._is_lost:
            self.transport.abort()

    def header(self, name: bytes) -> str:
        """Return a header of the answer, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    def _stated_length(self) -> int:
        """Return the length that the answer states, at most `MAX_BODY_BYTES`; 0 if none."""
        text = self.header(b"content-length")
        return min(int(text), MAX_BODY_BYTES) if text.isdecimal() and text.isascii() else 0

    def _may_be_kept(self) -> bool:
        return self.has_length and "close" not in self.header(b"connection").lower()

    def _keep_time(self) -> float:
        for part in self.header(b"keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                return max(0.0, int(value) - KEEP_MARGIN)
        return DEFAULT_KEEP_TIME

    def _holds_status_line(self) -> bool:
        lines = (self._reason, *(value for _, value in self.headers))
        return any(_STATUS_LINE.search(line) for line in lines)

    def _raise_if_broken(self) -> None:
        if self._error:
            raise BrokenAnswerError(self._error)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _most_bytes(self) -> int:
        """Return how many bytes of an answer may have come, by what is known of its body."""
        return MAX_HEAD_BYTES + (1 + MAX_FRAMING_RATIO) * self._body_bytes

    def _unsent_bytes(self) -> int:
        """Return how many bytes of the request have not arrived at the endpoint."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return 0
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(struct.calcsize("i")))
        return self.transport.get_write_buffer_size() + struct.unpack("i", queued)[0]

    def _was_reset(self) -> bool:
        sock = self.transport.get_extra_info("socket")
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == _TCP_CLOSE

    def _end_if_sent(self) -> None:
        """End an answer without a length once its request has arrived, unless a reset comes first.

        An endpoint that fails while it is sent a long request may close the connection before it
        resets it, and its answer is then not complete.
        """
        if self._is_lost or self._error or not self._is_busy:
            return
        if not self._unsent_bytes():
            self.ended = True
            self._fail("closed by the endpoint")
        elif self._was_reset():
            self._fail("reset behind its end")
            self.close()
        else:
            asyncio.get_running_loop().call_later(UNSENT_CHECK_S, self._end_if_sent)

    def _fail(self, error: str) -> None:
        self._error = self._error or error
        self._wake()

    # --- asyncio.Protocol ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set the options of its socket."""
        self.transport = transport
        # asyncio reads up to 256 KiB at once, which is much for each of many slow callers.
        transport.max_size = READ_BYTES
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # An engine may send nothing for seconds while it works, so a dead one is detected by
            # TCP probes, which it does not answer.
            detect_dead_peer(sock)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; unsolicited bytes close the connection."""
        if not self._is_busy or self.ended:
            self._fail("bytes came unasked")
            self.close()
            return
        if not self._received_bytes:
            self.is_early = self.transport.get_write_buffer_size() > 0
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self.ended:
                self._fail(f"not an answer: {exc!r}")
            self._error = self._error or "bytes behind the answer"
            self.close()
        if not self.ended and self._received_bytes > self._most_bytes():
            self._fail("the head or the framing of the answer does not end")
            self.close()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._is_paused and not self._is_lost:
            self._is_paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool | None:
        """Treat the end of input as the end of an answer that has no length.

        Returns:
            Whether the rest of the request is still to be written.
        """
        if self._is_busy and self._has_head and not self.ended and not self.has_length:
            self._end_if_sent()
            if not self._error:
                return True
        self._fail("closed by the endpoint")
        return None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record that the connection is closed."""
        self._is_lost = True
        self._on_lost()
        self._fail(f"reset: {exc}" if exc else "closed")

    # --- Callbacks of the parser -----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Close the connection at a second answer, which belongs to no request."""
        if self.ended:
            self._error = self._error or "a second answer came"
            self.close()

    def on_status(self, reason: bytes) -> None:
        """Keep the text behind the status, which may come in parts."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the answer."""
        if not self.ended:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Record the answer's head; that of an interim answer (status 1xx) is dropped.

        A head behind one that was no answer's counts for nothing, also if both came at once.
        """
        if self.ended or self._error:
            return
        if self._holds_status_line():
            self._fail("another answer begins within the head")
            self.close()
            return
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._fail(f"the answer has the status {status:03}")
            self.close()
            return
        if status < FIRST_FINAL_STATUS:
            self.headers.clear()
            self._reason = b""
            return
        self.status = status
        codings = [
            value.strip().lower() for name, value in self.headers if name == b"transfer-encoding"
        ]
        if codings not in ([], [b"chunked"]):
            self._fail("the answer has a transfer coding that is not known")
            self.close()
            return
        names = {name for name, _ in self.headers}
        self.has_length = bool(codings) or b"content-length" in names or status in (204, 304)
        self._has_head = True

    def on_body(self, body: bytes) -> None:
        """Keep bytes of the body; an interim answer has none."""
        if not self._has_head:
            self._fail("an answer without a final status has a body")
            self.close()
        elif not self.ended:
            self._chunks.append(body)
            self._buffered_bytes += len(body)
            self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Record the end of the answer."""
        if self._has_head:
            self.ended = True


class ConnectionPool:
    """Idle connections by endpoint, kept for further requests.

    Args:
        clock: Returns monotonic time in seconds.
    """

    __slots__ = ("_clock", "_idle", "_open_counts")

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[tuple[str, str], list[Connection]] = {}
        self._open_counts: collections.Counter[tuple[str, str]] = collections.Counter()

    async def acquire(self, endpoint: str, address: str) -> Connection:
        """Return a connection to an endpoint: an idle one that was kept, or else a new one.

        Args:
            endpoint: Name of the endpoint; a kept connection never serves another endpoint.
            address: The endpoint's address as ``host:port``.

        Raises:
            NotSentError: If no connection could be established.
        """
        key = (endpoint, address)
        idle = self._idle.get(key, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable(self._clock()):
                return conn
            conn.close()
        conn = await self._connect(address, lambda: self._on_connection_lost(key))
        self._open_counts[key] += 1
        return conn

    async def _connect(self, address: str, on_lost: typing.Callable[[], None]) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, conn = await loop.create_connection(lambda: Connection(on_lost), host, int(port))
        except TimeoutError:
            raise NotSentError("no connection in time") from None
        except ConnectionRefusedError as exc:
            raise NotListeningError(f"no connection: {exc}") from exc
        except (OSError, ValueError) as exc:
            raise NotSentError(f"no connection: {exc}") from exc
        return conn

    async def accepts(self, endpoint: str, address: str) -> bool:
        """Return whether an endpoint accepts a new connection, which is kept for requests."""
        key = (endpoint, address)
        try:
            conn = await self._connect(address, lambda: self._on_connection_lost(key))
        except NotSentError:
            return False
        self._open_counts[key] += 1
        conn.kept_until = self._clock() + DEFAULT_KEEP_TIME
        self._keep(key, conn, MAX_IDLE_CONNECTIONS)
        return True

    async def is_refused(self, address: str) -> bool:
        """Return whether nothing listens at an address, as far as it can be reached."""
        try:
            conn = await self._connect(address, lambda: None)
        except NotListeningError:
            return True
        except NotSentError:
            return False
        conn.close()
        return False

    def _on_connection_lost(self, key: tuple[str, str]) -> None:
        self._open_counts[key] -= 1
        if not self._open_counts[key]:
            del self._open_counts[key]
            self._idle.pop(key, None)

    def release(
        self,
        endpoint: str,
        address: str,
        conn: Connection,
        *,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        refused: bool = False,
    ) -> None:
        """Keep a connection after its answer for further requests, or close it.

        It is closed after a refusal. A faulty endpoint may write the refusal once more, and the
        next request would then seem to be refused although it runs.

        Args:
            endpoint: Name of the endpoint.
            address: The endpoint's address.
            conn: The connection.
            max_idle: Number of connections to the endpoint that may be kept.
            refused: Whether the answer said that the request was not run.
        """
        if refused:
            conn.close()
            return
        now = self._clock()
        if not conn.release(now):
            return
        self._keep((endpoint, address), conn, min(MAX_IDLE_CONNECTIONS, max_idle))

    def _keep(self, key: tuple[str, str], conn: Connection, max_idle: int) -> None:
        now = self._clock()
        idle = self._idle.setdefault(key, [])
        for old in [one for one in idle if not one.is_usable(now)]:
            idle.remove(old)
            old.close()
        idle.append(conn)
        while len(idle) > max_idle:
            idle.pop(0).close()

    def close(self) -> None:
        """Close all kept connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()


def encode_request(
    method: str, target: str, headers: typing.Iterable[Header], body: bytes
) -> bytes:
    """Return the bytes of a request.

    Args:
        method: HTTP method.
        target: Path and query as they are sent.
        headers: All headers except Content-Length.
        body: The body.
    """
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines.extend(name + b": " + value for name, value in headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
