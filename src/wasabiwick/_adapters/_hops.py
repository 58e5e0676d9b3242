"""Passes requests to other hosts over HTTP/1.1, and reads the answers that come back."""

import secrets
import typing

import msgspec

from .._body_memory import Room
from .._effects_hops import PassOn
from .._errors import HOST_LOST, HOST_REFUSED, HOST_UNREACHABLE, Failure, Reason
from .._hops_codec import (
    AnswerHead,
    RequestHead,
    decode_answer_head,
    encode_head,
    head_end,
)
from .._http1 import (
    BrokenAnswerError,
    Connection,
    ConnectionPool,
    Header,
    NotSentError,
    encode_request,
)
from .._ports import Dialect, Exchange
from .._verdict import Verdict

PATH = "/v1/hops"
KEY_HEADER = "X-Host-Key"
KEY_BYTES = 16
FORBIDDEN = 403  # HTTP status with which a host turns down a request that names a wrong key.


class PassedAnswer:
    """An endpoint's answer that another host relays, once its status and headers have arrived."""

    __slots__ = (
        "status",
        "headers",
        "not_run",
        "streams",
        "has_length",
        "build",
        "_rest",
        "_conn",
        "_return_connection",
    )

    def __init__(
        self,
        *,
        head: AnswerHead,
        rest: bytes,
        conn: Connection,
        return_connection: typing.Callable[[], None],
    ) -> None:
        self.status = head.status
        self.headers: list[Header] = head.headers
        self.not_run = False
        self.streams = head.streams
        # The other host sends chunks, and breaks them off where the endpoint broke off.
        self.has_length = True
        self.build = head.build
        self._rest = rest
        self._conn: Connection | None = conn
        self._return_connection = return_connection

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        if self._rest:
            data, self._rest = self._rest, b""
            return data
        return await self._conn.chunk()

    async def body(self, room: Room | None = None) -> bytes:
        """Return the whole body; ``room`` may let a large one wait."""
        data, self._rest = self._rest, b""
        return data + await self._conn.body(room)

    def release(self) -> None:
        """Return the connection to its pool, or close it if the answer is incomplete."""
        if self._conn is not None:
            self._conn = None
            self._return_connection()


class HostHops:
    """Requests passed to other hosts.

    Args:
        clock: Returns monotonic time in seconds.
        dialect: Takes callers' keys out of what is passed on.

    Attributes:
        address: Where this host takes requests of others, as ``host:port``; empty if nowhere.
        key: What others have to name in their requests.
    """

    __slots__ = ("address", "key", "_pool", "_keys", "_dialect")

    def __init__(self, clock: typing.Callable[[], float], *, dialect: Dialect) -> None:
        self.address = ""
        self.key = secrets.token_hex(KEY_BYTES)
        self._pool = ConnectionPool(clock)
        self._keys: dict[str, str] = {}
        self._dialect = dialect

    def learn(self, host: str, key: str) -> None:
        """Keep the key that another host wants to be named."""
        self._keys[host] = key

    async def pass_on(
        self, exchange: Exchange, effect: PassOn, *, seconds: float
    ) -> PassedAnswer | Failure:
        """Pass a request to another host, and return the answer once its head has arrived."""
        try:
            conn = await self._pool.acquire(effect.endpoint, effect.address)
        except NotSentError as exc:
            return _failure(HOST_UNREACHABLE, Verdict.NOT_RUN, str(exc))
        try:
            # Under no name of its own, or this copy of the body would be kept until the answer.
            conn.send(self._encode(exchange, effect, seconds))
            await conn.head()
            if conn.status == FORBIDDEN:
                conn.close()
                return _failure(HOST_REFUSED, Verdict.NOT_RUN, "the key is not its own")
            return await self._read_answer(effect, conn)
        except (BrokenAnswerError, msgspec.MsgspecError, ValueError) as exc:
            conn.close()
            return _failure(HOST_LOST, Verdict.MAY_HAVE_RUN, str(exc))
        except BaseException:
            conn.close()
            raise

    def _encode(self, exchange: Exchange, effect: PassOn, seconds: float) -> bytes:
        hop = effect.hop
        head = RequestHead(
            method=exchange.method,
            target=exchange.target,
            headers=self._dialect.passed_headers(exchange.headers, hop.organisation),
            left_ms=max(1.0, seconds * 1000),
            sender=hop.sender,
            service=hop.service,
            routes_version=hop.routes_version,
            build=hop.build,
            events=hop.events,
            last_event_id=exchange.last_event_id,
            avoid=list(hop.avoid),
            key=hop.key,
            organisation=hop.organisation,
            fingerprints=list(hop.fingerprints),
        )
        headers = [
            (b"Host", effect.address.encode()),
            (KEY_HEADER.encode(), self._keys.get(effect.endpoint, "").encode()),
        ]
        return encode_request("POST", PATH, headers, encode_head(head) + exchange.body)

    async def _read_answer(self, effect: PassOn, conn: Connection) -> PassedAnswer | Failure:
        if conn.status != 200:
            raise BrokenAnswerError(f"the other host answered status {conn.status}")
        data = b""
        while (end := head_end(data)) is None:
            more = await conn.chunk()
            if not more:
                raise BrokenAnswerError("the answer ended within its head")
            data += more
        head = decode_answer_head(data[:end])

        def return_connection() -> None:
            self._pool.release(effect.endpoint, effect.address, conn)

        if head.failure is None:
            return PassedAnswer(
                head=head, rest=data[end:], conn=conn, return_connection=return_connection
            )
        failure = head.failure.failure()
        await conn.body()
        return_connection()
        return failure

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


def _failure(reason: Reason, verdict: Verdict, detail: str) -> Failure:
    return Failure(reason=reason, verdict=verdict, detail=detail)
