"""Calls the platform's endpoints over HTTP/1.1, and decodes the headers of its callers."""

import asyncio
import math
import typing

import msgspec

from .._adapters._endpoint_answer import EndpointAnswer
from .._caller_headers import (
    CONNECTION_HEADERS,
    connection_options,
    named_key,
    without,
    without_connection_options,
)
from .._decoding import decode_json
from .._effects_forwarding import CheckEnded, Forward, OrderStage, ReadPrompt
from .._errors import (
    ENDPOINT_CHANGED,
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    ENDPOINT_SILENT,
    ENDPOINT_UNREACHABLE,
    Failure,
)
from .._fingerprints import fingerprints
from .._forwarding import Ask
from .._header_numbers import parse_load, parse_number
from .._http1 import (
    BrokenAnswerError,
    Connection,
    ConnectionPool,
    Header,
    NotSentError,
    encode_request,
)
from .._ports import EndpointListener, Exchange
from .._prompt_parts import joined
from .._verdict import Verdict
from . import _names

# Time-out of a request for a hold, the reservation of a place at an engine. An engine answers at
# once, and an unused hold expires by itself.
HOLD_TIMEOUT_S = 0.5
# Time-out of an order to change an engine's stage. It is shorter than the time for which a claim
# allows its host to send orders.
ORDER_TIMEOUT_S = 0.8
# Time-out of a request for an engine's report. An engine answers it at once, without using a slot.
REPORT_TIMEOUT_S = 0.5
# Time-out of freeing a hold or a KV cache; one that is not freed expires by itself.
DROP_TIMEOUT_S = 0.5
# Connections on which an endpoint is asked for its start; one that is not kept serves no request.
START_QUESTIONS = 2
DEFAULT_DEADLINE_S = 30.0  # Time for a request whose caller states no deadline.
# HTTP status: the address belongs to another endpoint now, or the engine has another stage.
MISDIRECTED = 421
UNAVAILABLE = 503  # HTTP status with which an endpoint turns a request away for now.


class _Hold(msgspec.Struct):
    hold: str


class _Report(msgspec.Struct):
    busy: bool


class _Birth(msgspec.Struct):
    born: int = 0


class _Prompt(msgspec.Struct, rename="kebab"):
    kv_handle: str


class PlatformEndpoints:
    """Calls to endpoints over HTTP/1.1.

    Args:
        clock: Returns monotonic time in seconds.
    """

    __slots__ = ("_pool", "_clock", "_listener", "_limited")

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self._pool = ConnectionPool(clock)
        self._clock = clock
        self._listener: EndpointListener | None = None
        # Monotonic times at which each endpoint last named a limit.
        self._limited: dict[str, float] = {}

    def listen(self, listener: EndpointListener) -> None:
        """Tell a listener what endpoints say of themselves in any of their answers."""
        self._listener = listener

    def _note_signs(self, endpoint: str, conn: Connection, sent_at: float) -> None:
        """Tell what an answer says of its endpoint; ``sent_at`` is when it was asked for."""
        if self._listener is None:
            return
        if conn.header(_names.SERVER_LEAVING).strip() == _names.IS_LEAVING:
            self._listener.leaving(endpoint, sent_at)
        pause = conn.header(_names.RETRY_AFTER) if conn.status == UNAVAILABLE else ""
        seconds = parse_number(pause) if pause else None
        if seconds:
            self._listener.paused(endpoint, seconds)
        self._note_limit(endpoint, conn.header(_names.SERVER_LIMIT), sent_at)
        self._listener.load_named(endpoint, parse_load(conn.header(_names.INSTANCE_LOAD)))

    def _note_limit(self, endpoint: str, text: str, sent_at: float) -> None:
        if text:
            rate = parse_number(text)
            if rate is not None:
                self._limited[endpoint] = self._clock()
                self._listener.limit_named(endpoint, rate)
        # An answer to an older request may have been written before the limit was named.
        elif sent_at > self._limited.get(endpoint, math.inf):
            del self._limited[endpoint]
            self._listener.limit_named(endpoint, None)

    async def take_hold(
        self, endpoint: str, address: str, *, tokens: int, seconds: float
    ) -> str | Failure:
        """Reserve a place for ``tokens`` at an engine, and return the reservation's identifier."""
        body = msgspec.json.encode({"tokens": tokens, "ttl-ms": int(seconds * 1000)})
        answer = await self._call(
            endpoint, address, "POST", _names.HOLD_TAKE, body=body, timeout=HOLD_TIMEOUT_S
        )
        return answer if isinstance(answer, Failure) else _decode(answer, _Hold, "hold")

    async def drop_hold(self, endpoint: str, address: str, hold: str) -> Failure | None:
        """Cancel the reservation of a place."""
        return await self._delete(endpoint, address, _names.HOLD_DROP + hold)

    async def free_handle(self, endpoint: str, address: str, handle: str) -> Failure | None:
        """Ask an engine to free the KV cache that a handle identifies."""
        return await self._delete(endpoint, address, _names.KV_HANDLE + handle)

    async def order_stage(self, effect: OrderStage) -> Failure | None:
        """Order an engine to change its stage."""
        order = {
            "op": "stage",
            "stage": effect.stage,
            "holder": effect.holder,
            "fencing-token": effect.fence,
        }
        answer = await self._call(
            effect.endpoint,
            effect.address,
            "POST",
            _names.ORDER,
            body=msgspec.json.encode(order),
            timeout=ORDER_TIMEOUT_S,
        )
        return answer if isinstance(answer, Failure) else None

    async def is_busy(self, endpoint: str, address: str) -> bool | Failure:
        """Return whether an engine is carrying out an order to change its stage."""
        answer = await self._call(endpoint, address, "GET", _names.REPORT, timeout=REPORT_TIMEOUT_S)
        return answer if isinstance(answer, Failure) else _decode(answer, _Report, "busy")

    async def has_ended(self, effect: CheckEnded) -> bool | Failure:
        """Return whether an endpoint has ended: nothing listens there, or something else does."""
        endpoint, address = effect.endpoint, effect.address
        answer = await self._call(endpoint, address, "GET", _names.REPORT, timeout=REPORT_TIMEOUT_S)
        if not isinstance(answer, Failure):
            try:
                born = decode_json(answer, _Birth).born
            except msgspec.MsgspecError:
                born = 0
            return bool(born and effect.born and born != effect.born)
        if answer.reason is ENDPOINT_CHANGED:
            return True
        if answer.reason is ENDPOINT_REFUSED:
            return False  # It answers, though not this question.
        if answer.reason is ENDPOINT_UNREACHABLE and await self._pool.is_refused(address):
            return True
        return answer

    async def accepts(self, endpoint: str, address: str) -> bool:
        """Return whether an endpoint accepts a new connection."""
        return await self._pool.accepts(endpoint, address)

    async def prefill(
        self, exchange: Exchange, effect: ReadPrompt, *, seconds: float
    ) -> str | Failure:
        """Prefill a prompt and return the handle of its KV cache."""
        headers = _forwarded_headers(exchange, effect, seconds)
        headers.append((_names.STAGE, b"prefill"))
        headers.append((_names.PRIORITY, b"%d" % effect.priority))
        data = encode_request(exchange.method, exchange.target, headers, exchange.body)
        answer = await self._send(
            effect.endpoint,
            effect.address,
            data,
            timeout=min(seconds, effect.quiet),
            expected=_attempt_id(exchange),
        )
        return answer if isinstance(answer, Failure) else _decode(answer, _Prompt, "kv_handle")

    async def forward(
        self, exchange: Exchange, effect: Forward, *, seconds: float
    ) -> EndpointAnswer | Failure:
        """Send a request and return its answer once its status and headers have arrived."""
        headers = _forwarded_headers(exchange, effect, seconds)
        if effect.priority is not None:
            headers.append((_names.PRIORITY, b"%d" % effect.priority))
        if effect.hold:
            headers.append((_names.KV_HOLD, effect.hold.encode()))
        if effect.handle:
            headers.append((_names.KV_SOURCE, f"{effect.source}/{effect.handle}".encode()))
        if effect.resume:
            headers = [one for one in headers if one[0].lower() != _names.LAST_EVENT_ID]
            headers.append((_names.LAST_EVENT_ID, exchange.last_event_id))
        conn = await self._connect(effect)
        if isinstance(conn, Failure):
            return conn
        try:
            sent_at = self._clock()
            # Under no name of its own, or this copy of the body would be kept until the answer.
            conn.send(encode_request(exchange.method, exchange.target, headers, exchange.body))
            await conn.head()
            self._note_signs(effect.endpoint, conn, sent_at)
            _check_attempt_id(conn, _attempt_id(exchange))
            _check_seal(conn)
            return EndpointAnswer(
                pool=self._pool, effect=effect, conn=conn, not_run=_is_refusal(conn)
            )
        except BrokenAnswerError as exc:
            conn.close()
            return _failure(ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, str(exc))
        except BaseException:
            conn.close()
            raise

    async def _connect(self, effect: Forward) -> Connection | Failure:
        """Return a connection to the endpoint, and to the start that alone may get the request.

        No connection outlives its endpoint's process, so what the endpoint said of its start on a
        connection holds for all that is sent on it.
        """
        try:
            for _ in range(START_QUESTIONS):
                conn = await self._pool.acquire(effect.endpoint, effect.address)
                if not effect.born:
                    return conn
                failure = await self._ask_start(effect, conn)
                if failure is not None:
                    conn.close()
                    return failure
                if conn.release(self._clock()):
                    return conn
        except NotSentError as exc:
            return _failure(ENDPOINT_UNREACHABLE, Verdict.NOT_RUN, str(exc))
        return _failure(ENDPOINT_CHANGED, Verdict.NOT_RUN, "no connection is kept for the request")

    async def _ask_start(self, effect: Forward, conn: Connection) -> Failure | None:
        """Ask the process at the other end of a connection whether it is the expected start."""
        headers = [
            (b"Host", effect.address.encode()),
            (_names.EXPECT_INSTANCE, effect.endpoint.encode()),
        ]
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                sent_at = self._clock()
                conn.send(encode_request("GET", _names.REPORT, headers, b""))
                await conn.head()
                self._note_signs(effect.endpoint, conn, sent_at)
                born = decode_json(await conn.body(), _Birth).born
        except (BrokenAnswerError, TimeoutError, msgspec.MsgspecError) as exc:
            detail = f"its start is not known: {exc!r}"
            return _failure(ENDPOINT_CHANGED, Verdict.NOT_RUN, detail)
        except BaseException:
            conn.close()
            raise
        if conn.status == 200 and born == effect.born:
            return None
        detail = f"status {conn.status}, started at {born} and not {effect.born}"
        return _failure(ENDPOINT_CHANGED, Verdict.NOT_RUN, detail)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _delete(self, endpoint: str, address: str, path: str) -> Failure | None:
        answer = await self._call(endpoint, address, "DELETE", path, timeout=DROP_TIMEOUT_S)
        return answer if isinstance(answer, Failure) else None

    async def _call(
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
        return await self._send(endpoint, address, data, timeout=timeout)

    async def _send(
        self, endpoint: str, address: str, data: bytes, *, timeout: float, expected: bytes = b""
    ) -> bytes | Failure:
        """Send a request whose answer goes to no caller, and return a successful answer's body."""
        conn = None
        try:
            async with asyncio.timeout(timeout):
                conn = await self._pool.acquire(endpoint, address)
                sent_at = self._clock()
                conn.send(data)
                await conn.head()
                self._note_signs(endpoint, conn, sent_at)
                if expected:
                    _check_attempt_id(conn, expected)
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
        refused = status not in (200, 202)
        self._pool.release(endpoint, address, conn, refused=refused)
        if refused:
            reason = ENDPOINT_CHANGED if status == MISDIRECTED else ENDPOINT_REFUSED
            return _failure(reason, Verdict.NOT_RUN, f"the endpoint answered status {status}")
        return body


def _decode(body: bytes, form: type, field: str) -> typing.Any:
    """Return one field of an answer's JSON body, or a failure if the body can't be decoded."""
    try:
        return getattr(decode_json(body, form), field)
    except msgspec.MsgspecError as exc:
        return _failure(ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, f"unreadable answer: {exc}")


def _failure(reason: object, verdict: Verdict, detail: str) -> Failure:
    return Failure(reason=reason, verdict=verdict, detail=detail)


def _attempt_id(exchange: Exchange) -> bytes:
    for name, value in exchange.headers:
        if name.lower() == _names.ATTEMPT_ID:
            return value
    return b""


def _check_attempt_id(conn: Connection, expected: bytes) -> None:
    """Check that an answer carries its request's attempt identifier.

    Only an error may lack it, and only if it can't have been written before the request had come.

    Raises:
        BrokenAnswerError: If the answer may be that to another request.
    """
    received = conn.header(_names.ATTEMPT_ID).encode("latin-1")
    is_success = 200 <= conn.status < 300
    may_be_older = conn.is_reused or conn.is_early
    if received != expected and (received or is_success or may_be_older):
        raise BrokenAnswerError("the answer does not carry the attempt identifier of its request")


def _is_refusal(conn: Connection) -> bool:
    """Return whether an answer says that its request was not run."""
    return conn.status == MISDIRECTED or bool(conn.header(_names.NOT_EXECUTED))


def _check_seal(conn: Connection) -> None:
    """Check that a successful answer has the seal, a header that the platform's endpoints add.

    Raises:
        BrokenAnswerError: If a successful answer has no seal.
    """
    if 200 <= conn.status < 300 and not conn.header(_names.SEAL):
        raise BrokenAnswerError("the endpoint answered with a success that has no seal")


def _forwarded_headers(
    exchange: Exchange, effect: Forward | ReadPrompt, seconds: float
) -> list[Header]:
    """Return a caller's headers, except those of its connection and those that the system sets.

    The endpoint's name and the time left, ``seconds``, are added, and the organisation's name where
    the operator names organisations.
    """
    headers = without(
        exchange.headers,
        _names.SYSTEM_HEADERS,
        CONNECTION_HEADERS,
        connection_options(exchange.headers),
    )
    headers = _with_organisation(headers, effect.organisation)
    headers.append((_names.EXPECT_INSTANCE, effect.endpoint.encode()))
    headers.append((_names.DEADLINE_MS, b"%d" % max(1, int(seconds * 1000))))
    return headers


def _with_organisation(headers: list[Header], organisation: str | None) -> list[Header]:
    """Return headers with an organisation's name in place of what the caller says of itself.

    They are left as they are where the operator names no organisations (None).
    """
    if organisation is None:
        return headers
    kept = without(headers, _names.CALLER_HEADERS)
    if organisation:
        kept.append((_names.ORGANISATION, organisation.encode()))
    return kept


class PlatformDialect:
    """Headers in which the platform's callers describe a request and are told of a failure."""

    __slots__ = ()

    ready_path = _names.READY_PATH

    def ask(self, call_id: str, host: str, exchange: Exchange, now: float) -> Ask:
        """Decode a request; a number in its headers that can't be parsed counts as missing."""
        values = {name.lower(): value.decode("latin-1") for name, value in exchange.headers}
        # A list may be sent as several fields of one name.
        prefix = [value for name, value in exchange.headers if name.lower() == _names.PREFIX_HASH]
        host = host.partition(":")[0].lower()
        prompt, _, max_output = values.get(_names.TOKEN_COUNT, "").partition(",")
        seconds = _header_number(values.get(_names.DEADLINE_MS, "")) / 1000 or DEFAULT_DEADLINE_S
        return Ask(
            call_id=call_id,
            trace_id=values.get(_names.ATTEMPT_ID, ""),
            host=host,
            path=exchange.target.partition("?")[0],
            deadline=now + seconds,
            prompt_tokens=int(_header_number(prompt)),
            max_tokens=int(_header_number(max_output)),
            length_hint=int(_header_number(values.get(_names.LENGTH_HINT, ""))),
            resumed=_names.LAST_EVENT_ID in values,
            resumes=values.get(_names.RESUMES, ""),
            events_before=int(_header_number(values.get(_names.LAST_EVENT_ID, ""))),
            joined_parts=_shared_parts(b",".join(prefix).decode("latin-1")),
            fingerprints=fingerprints(
                method=exchange.method,
                host=host,
                target=exchange.target,
                caller=[value for name, value in exchange.headers if _names_caller(name)],
                body=exchange.body,
            ),
            key=self.key(exchange.headers),
        )

    def key(self, headers: list[Header]) -> str:
        """Return the digest of the key that a caller names, or an empty string."""
        return named_key(headers, _names.CALLER_KEY, _names.CALLER_KEY_SCHEME)

    def passed_headers(self, headers: list[Header], organisation: str | None) -> list[Header]:
        """Return a caller's headers as they are passed to another host.

        That host may be of a build that sends them to endpoints as they are. So the key is gone,
        and nothing that the caller says of its connection can drop the organisation's name.
        """
        if organisation is None:
            return headers
        return _with_organisation(without_connection_options(headers), organisation)

    def failure_headers(self, ask: Ask, failure: Failure) -> dict[str, str]:
        """Return the headers of an answer in which this host reports a failure."""
        headers = {"X-Wasabiwick-Attempt-Id": ask.trace_id} if ask.trace_id else {}
        if failure.retry_after is not None:
            headers["Retry-After"] = f"{failure.retry_after:.2f}"
        return headers


def _names_caller(name: bytes) -> bool:
    return name.lower() in _names.CALLER_HEADERS


def _shared_parts(text: str) -> str:
    """Return the identifiers of a prompt's parts, except the last, which no other request has."""
    return joined([entry.partition(":")[0].strip() for entry in text.split(",")[:-1]])


def _header_number(text: str) -> float:
    return (parse_number(text) or 0.0) if text else 0.0
