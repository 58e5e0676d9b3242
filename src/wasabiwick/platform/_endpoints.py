"""Calls to the platform's endpoints, and the way in which its callers speak."""

import asyncio
import typing

import msgspec

from .._effects_forwarding import Forward, OrderStage, ReadPrompt
from .._errors import (
    ENDPOINT_CHANGED,
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    ENDPOINT_SILENT,
    ENDPOINT_UNREACHABLE,
    Failure,
)
from .._forwarding import Ask
from .._http1 import (
    BrokenAnswerError,
    Connection,
    ConnectionPool,
    Header,
    NotSentError,
    encode_request,
)
from .._logging import log_event
from .._ports import Exchange
from .._verdict import Verdict
from . import _names

HOLD_TIMEOUT = 0.5  # Seconds; an engine answers a hold at once, and lets it lapse by itself.
ORDER_TIMEOUT = 0.8  # Seconds; shorter than the term of the claim under which it is sent.
REPORT_TIMEOUT = 0.5  # Seconds; an engine answers at once, without a slot.
DROP_TIMEOUT = 0.5  # Seconds; what is not dropped lapses by itself.
DEFAULT_DEADLINE = 30.0  # Seconds for a caller that names none.
MISDIRECTED = 421  # Another endpoint has the address, or the engine has another stage.
EVENT_STREAM = "text/event-stream"


class _Hold(msgspec.Struct):
    hold: str


class _Report(msgspec.Struct):
    busy: bool


class _Prompt(msgspec.Struct, rename="kebab"):
    kv_handle: str


class EngineAnswer:
    """An answer of an endpoint, from its head on.

    Args:
        pool: Where the connection goes back to.
        effect: What was sent where.
        conn: The connection.
    """

    __slots__ = ("status", "headers", "not_run", "streams", "_conn", "_give_back")

    def __init__(self, *, pool: ConnectionPool, effect: Forward, conn: Connection) -> None:
        self.status = conn.status
        self.headers: list[Header] = conn.headers
        self.not_run = conn.status == MISDIRECTED or bool(conn.header(_names.NOT_EXECUTED))
        self.streams = conn.header(b"content-type").startswith(EVENT_STREAM)
        self._conn: Connection | None = conn
        self._give_back = lambda: pool.release(
            effect.endpoint, effect.address, conn, max_idle=effect.connections
        )

    async def chunk(self) -> bytes:
        """Return the next bytes, or nothing at the end."""
        return await self._conn.chunk()

    async def body(self) -> bytes:
        """Return the whole body."""
        return await self._conn.body()

    def release(self) -> None:
        """Give the connection back, or close it where the answer is not whole."""
        if self._conn is not None:
            self._conn = None
            self._give_back()


class PlatformEndpoints:
    """Calls to endpoints over HTTP/1.1.

    Args:
        clock: Returns monotonic time in seconds.
    """

    __slots__ = ("_pool",)

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self._pool = ConnectionPool(clock)

    async def take_hold(
        self, endpoint: str, address: str, *, tokens: int, seconds: float
    ) -> str | Failure:
        """Reserve a place at an engine and return its name."""
        body = msgspec.json.encode({"tokens": tokens, "ttl-ms": int(seconds * 1000)})
        answer = await self._ask(
            endpoint, address, "POST", _names.HOLD_TAKE, body=body, timeout=HOLD_TIMEOUT
        )
        return answer if isinstance(answer, Failure) else _decoded(answer, _Hold, "hold")

    async def drop_hold(self, endpoint: str, address: str, hold: str) -> Failure | None:
        """Give a reserved place back."""
        return await self._drop(endpoint, address, _names.HOLD_DROP + hold)

    async def free_handle(self, endpoint: str, address: str, handle: str) -> Failure | None:
        """Let an engine drop a KV cache."""
        return await self._drop(endpoint, address, _names.KV_HANDLE + handle)

    async def order_stage(self, effect: OrderStage) -> Failure | None:
        """Order an engine to change its stage."""
        order = {
            "op": "stage",
            "stage": effect.stage,
            "holder": effect.holder,
            "fencing-token": effect.fence,
        }
        answer = await self._ask(
            effect.endpoint,
            effect.address,
            "POST",
            _names.ORDER,
            body=msgspec.json.encode(order),
            timeout=ORDER_TIMEOUT,
        )
        return answer if isinstance(answer, Failure) else None

    async def is_busy(self, endpoint: str, address: str) -> bool | Failure:
        """Return whether an engine carries an order out."""
        answer = await self._ask(endpoint, address, "GET", _names.REPORT, timeout=REPORT_TIMEOUT)
        return answer if isinstance(answer, Failure) else _decoded(answer, _Report, "busy")

    async def prefill(
        self, exchange: Exchange, effect: ReadPrompt, *, seconds: float
    ) -> str | Failure:
        """Prefill a prompt and return the handle of its KV cache."""
        headers = _forwarded(exchange, effect.endpoint, seconds)
        headers.append((_names.STAGE, b"prefill"))
        headers.append((_names.PRIORITY, b"%d" % effect.priority))
        data = encode_request(exchange.method, exchange.target, headers, exchange.body)
        answer = await self._ask_raw(
            effect.endpoint,
            effect.address,
            data,
            timeout=min(seconds, effect.quiet),
            expected=_id_of(exchange),
        )
        return answer if isinstance(answer, Failure) else _decoded(answer, _Prompt, "kv_handle")

    async def forward(
        self, exchange: Exchange, effect: Forward, *, seconds: float
    ) -> EngineAnswer | Failure:
        """Send a request and return its answer once the head has come."""
        headers = _forwarded(exchange, effect.endpoint, seconds)
        if effect.priority is not None:
            headers.append((_names.PRIORITY, b"%d" % effect.priority))
        if effect.hold:
            headers.append((_names.KV_HOLD, effect.hold.encode()))
        if effect.handle:
            headers.append((_names.KV_SOURCE, f"{effect.source}/{effect.handle}".encode()))
        if effect.resume:
            headers = [one for one in headers if one[0].lower() != _names.LAST_EVENT_ID]
            headers.append((_names.LAST_EVENT_ID, exchange.last_event_id))
        data = encode_request(exchange.method, exchange.target, headers, exchange.body)
        try:
            conn = await self._pool.acquire(effect.endpoint, effect.address)
        except NotSentError as exc:
            return _failure(ENDPOINT_UNREACHABLE, Verdict.NOT_RUN, str(exc))
        try:
            conn.send(data)
            await conn.head()
            _check_id(conn, _id_of(exchange))
            _check_seal(conn)
            return EngineAnswer(pool=self._pool, effect=effect, conn=conn)
        except BrokenAnswerError as exc:
            conn.close()
            return _failure(ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, str(exc))
        except BaseException:
            conn.close()
            raise

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _drop(self, endpoint: str, address: str, path: str) -> Failure | None:
        answer = await self._ask(endpoint, address, "DELETE", path, timeout=DROP_TIMEOUT)
        return answer if isinstance(answer, Failure) else None

    async def _ask(
        self,
        endpoint: str,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        timeout: float,
    ) -> bytes | Failure:
        headers = [(b"Host", address.encode()), (_names.EXPECT_INSTANCE, endpoint.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request(method, path, headers, body)
        return await self._ask_raw(endpoint, address, data, timeout=timeout)

    async def _ask_raw(
        self, endpoint: str, address: str, data: bytes, *, timeout: float, expected: bytes = b""
    ) -> bytes | Failure:
        """Send a call that gives the caller nothing, and return the body of a success."""
        conn = None
        try:
            async with asyncio.timeout(timeout):
                conn = await self._pool.acquire(endpoint, address)
                conn.send(data)
                await conn.head()
                if expected:
                    _check_id(conn, expected)
                body = await conn.body()
        except NotSentError as exc:
            return _failure(ENDPOINT_UNREACHABLE, Verdict.NOT_RUN, str(exc))
        except BrokenAnswerError as exc:
            conn.close()
            return _failure(ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, str(exc))
        except TimeoutError:
            if conn is not None:
                conn.close()
            detail = f"no answer within {timeout:.3g} s"
            return _failure(ENDPOINT_SILENT, Verdict.MAY_HAVE_RUN, detail)
        except BaseException:
            if conn is not None:
                conn.close()
            raise
        status = conn.status
        self._pool.release(endpoint, address, conn)
        if status not in (200, 202):
            reason = ENDPOINT_CHANGED if status == MISDIRECTED else ENDPOINT_REFUSED
            return _failure(reason, Verdict.NOT_RUN, f"status {status}")
        return body


def _decoded(body: bytes, form: type, field: str) -> typing.Any:
    """Return a field of an answer, or a failure where it can't be read."""
    try:
        return getattr(msgspec.json.decode(body, type=form), field)
    except msgspec.MsgspecError as exc:
        return _failure(ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, f"unreadable answer: {exc}")


def _failure(reason: object, verdict: Verdict, detail: str) -> Failure:
    return Failure(reason=reason, verdict=verdict, detail=detail)


def _id_of(exchange: Exchange) -> bytes:
    for name, value in exchange.headers:
        if name.lower() == _names.ATTEMPT_ID:
            return value
    return b""


def _check_id(conn: Connection, expected: bytes) -> None:
    """Make sure that an answer belongs to its request.

    Raises:
        BrokenAnswerError: If it does not.
    """
    told = conn.header(_names.ATTEMPT_ID).encode("latin-1")
    success = 200 <= conn.status < 300
    if told != expected and (told or success):
        raise BrokenAnswerError("the answer belongs to another request")


def _check_seal(conn: Connection) -> None:
    """Make sure that a success for a caller is the endpoint's own.

    Raises:
        BrokenAnswerError: If it is not.
    """
    if 200 <= conn.status < 300 and not conn.header(_names.SEAL):
        raise BrokenAnswerError("a success without a seal")


def _forwarded(exchange: Exchange, endpoint: str, seconds: float) -> list[Header]:
    """Return a request's headers for an endpoint, without those of one connection."""
    named: set[bytes] = set()
    for name, value in exchange.headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = _names.SYSTEM_HEADERS | _names.CONNECTION_HEADERS | named
    headers = [(name, value) for name, value in exchange.headers if name.lower() not in dropped]
    headers.append((_names.EXPECT_INSTANCE, endpoint.encode()))
    headers.append((_names.DEADLINE_MS, b"%d" % max(1, int(seconds * 1000))))
    return headers


class Callers:
    """How callers on the platform state a request and learn of a failure."""

    __slots__ = ()

    ready_path = _names.READY_PATH

    def ask(self, call_id: str, host: str, path: str, headers: list[Header], now: float) -> Ask:
        """Read what a caller asks for; a header that can't be read counts as not sent."""
        known = {name.lower(): value.decode("latin-1") for name, value in headers}
        prompt, _, longest = known.get(_names.TOKEN_COUNT, "").partition(",")
        seconds = _number(known.get(_names.DEADLINE_MS, "")) / 1000 or DEFAULT_DEADLINE
        return Ask(
            call_id=call_id,
            trace_id=known.get(_names.ATTEMPT_ID, ""),
            host=host.partition(":")[0].lower(),
            path=path,
            deadline=now + seconds,
            prompt_tokens=int(_number(prompt)),
            max_tokens=int(_number(longest)),
            length_hint=int(_number(known.get(_names.LENGTH_HINT, ""))),
            resumed=_names.LAST_EVENT_ID in known,
        )

    def failure_headers(self, ask: Ask, failure: Failure) -> dict[str, str]:
        """Return the headers that go with a failure of this host."""
        headers = {"X-Wasabiwick-Attempt-Id": ask.trace_id} if ask.trace_id else {}
        if failure.retry_after is not None:
            headers["Retry-After"] = f"{failure.retry_after:.2f}"
        return headers


def _number(text: str) -> float:
    if not text:
        return 0.0
    try:
        return max(0.0, float(text))
    except ValueError:
        log_event("header_unreadable", level="WARNING", value=text)
        return 0.0
