"""HTTP server for callers of a forwarding host: any method and path, forwarded unchanged."""

import asyncio

from aiohttp import web
from multidict import CIMultiDict

from ._abort import abort_answer
from ._answers import error_body
from ._body_memory import SMALL_BODY_BYTES, BodyMemory, BodyShare
from ._errors import BODIES_FULL, STOPPING, Failure, Reason
from ._events import CallPassedOn, ForwardAnswered, ForwardArrived, ForwardLeft, HeadRefused
from ._forward_connection import HEADERS_TOO_LARGE, ForwardServer
from ._forwarding import Ask
from ._handlers import caller_keys, organisations, routes
from ._handlers.host import in_flight
from ._http1 import MAX_BUFFERED_BYTES
from ._idle_connections import has_request_waiting
from ._logging import log_event
from ._ports import Dialect, Exchange
from ._runner import Runner
from ._unread import UnreadAnswers
from ._verdict import Verdict

JSON = "application/json"
# Seconds for which an idle connection of a caller is kept; longer than any caller keeps one.
KEEP_ALIVE_TIMEOUT = 75.0
# Seconds after which a caller is told to retry whose upload a stopping host did not wait for.
UPLOAD_RETRY_AFTER_S = 0.1
# Seconds after which a caller is told to retry for whose body there is no room: most requests with
# large bodies are answered by then.
FULL_RETRY_AFTER_S = 1.0
# A large body that does not state its length takes this multiple of what has come, so that many of
# them fill the memory with few whole ones rather than with parts, all of which are then refused.
UNKNOWN_LENGTH_RATIO = 4
_HOP_BY_HOP_HEADERS = (
    b"connection",
    b"keep-alive",
    b"transfer-encoding",
    b"content-length",
    b"upgrade",
)


class NoRoomError(Exception):
    """There is no room for a body beside those that the host holds."""


class ForwardCall:
    """One forwarded call, while its caller waits for the answer.

    Args:
        req: The HTTP request.
        ask: What the request asks for.
        exchange: The request, kept for sending it to endpoints.
        dialect: Writes the headers of failures.
        answers: Memory for answers that are held as a whole.
        unread: Counts what of the answer its caller has not read.
    """

    __slots__ = (
        "exchange",
        "decision",
        "answer_share",
        "meter",
        "_req",
        "_ask",
        "_dialect",
        "_resp",
        "_ended",
    )

    def __init__(
        self,
        *,
        req: web.BaseRequest,
        ask: Ask,
        exchange: Exchange,
        dialect: Dialect,
        answers: BodyMemory,
        unread: UnreadAnswers,
    ) -> None:
        self.exchange = exchange
        self.decision: asyncio.Future | None = None
        self.answer_share = answers.share()
        self.meter = unread.meter(ask.call_id, req.transport)
        self._req = req
        self._ask = ask
        self._dialect = dialect
        self._resp: web.StreamResponse | None = None
        self._ended: asyncio.Future = asyncio.get_running_loop().create_future()

    @property
    def may_be_empty(self) -> bool:
        """Whether a stream that brings no event may be whole: its caller may have had them all.

        A stream that broke off in this call ended before its last event in all likelihood. Its
        caller, told that it is incomplete, can take it up.
        """
        return self._ask.resumed and not self.exchange.events

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure that this host reports itself."""
        if self._abort_stream(failure.reason.status):
            return
        self._end(_failure_response(self._dialect, self._ask, failure))

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Answer with an endpoint's complete answer."""
        if self._abort_stream(status):
            return
        self._end(web.Response(status=status, headers=_end_to_end_headers(headers), body=body))

    async def room_for_answer(self, size: int, owner: str = "") -> None:
        """Wait until there is room for an endpoint's answer, in place of that of an earlier try.

        Args:
            size: Bytes of the answer.
            owner: Name of the organisation whose answer it is, or empty.
        """
        self.answer_share.release()
        self.answer_share.owner = owner
        await self.answer_share.wait_for(size)

    async def start_stream(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Open the caller's stream, unless an earlier try has opened it."""
        if self._resp is None:
            self._resp = web.StreamResponse(status=status, headers=_end_to_end_headers(headers))
            await self._resp.prepare(self._req)

    async def write(self, data: bytes) -> None:
        """Write bytes of the stream, and wait while its caller has many of them unread."""
        self.meter.add(len(data), behind=MAX_BUFFERED_BYTES)
        await self._resp.write(data)

    def end_stream(self) -> None:
        """End the stream as complete."""
        self._end(self._resp)

    def _abort_stream(self, status: int) -> bool:
        """Abort a stream that has begun, into which no other answer may be written."""
        if self._resp is None:
            return False
        log_event("answer_into_stream", level="ERROR", call=self._ask.call_id, status=status)
        self.abort()
        return True

    def abort(self) -> None:
        """Abort the connection, so that the answer looks incomplete."""
        try:
            abort_answer(self._req)
        finally:
            self._end(None)

    def _end(self, resp: web.StreamResponse | None) -> None:
        if not self._ended.done():
            self._ended.set_result(resp)

    async def wait_for_answer(self) -> web.StreamResponse | None:
        """Wait for the answer; returns None if the call was aborted."""
        return await self._ended


async def answer_call(
    runner: Runner, req: web.BaseRequest, call: ForwardCall, arrived: ForwardArrived | CallPassedOn
) -> web.StreamResponse:
    """Post the arrival of a call, and write its answer.

    Args:
        runner: The host's runner.
        req: The HTTP request.
        call: The call.
        arrived: The event of its arrival.
    """
    call_id = arrived.ask.call_id
    runner.forwarded_calls[call_id] = call
    answered = False
    try:
        runner.post(arrived)
        resp = await call.wait_for_answer()
        if resp is None:
            return web.Response(status=502)
        if runner.state.stopping and not has_request_waiting(req):
            resp.force_close()
        if not resp.prepared:
            await resp.prepare(req)
            if isinstance(resp, web.Response):
                size = len(resp.body or b"")
                call.meter.add(size, whole=size)
        await resp.write_eof()
        answered = True
        return resp
    finally:
        runner.forwarded_calls.pop(call_id, None)
        call.answer_share.release()
        call.meter.close()
        event = ForwardAnswered if answered else ForwardLeft
        runner.post(event(at=runner.now(), call_id=call_id))


class ForwardEntry:
    """HTTP handlers for callers whose requests are forwarded to endpoints.

    Args:
        runner: The host's runner.
        dialect: Reads callers' requests and writes the headers of failures.
        max_body_bytes: Maximum size of a request's body.
        requests: Memory for requests' bodies, each held until its request is answered.
        answers: Memory for answers that are held as a whole.
        unread: Counts what of answers their callers have not read.

    Attributes:
        open_requests: Number of requests whose head has been read and whose answer is not complete.
    """

    __slots__ = (
        "_runner",
        "_dialect",
        "_max_body_bytes",
        "_requests",
        "_answers",
        "_unread",
        "_sequence",
        "_uploads",
        "open_requests",
    )

    def __init__(
        self,
        *,
        runner: Runner,
        dialect: Dialect,
        max_body_bytes: int,
        requests: BodyMemory,
        answers: BodyMemory,
        unread: UnreadAnswers,
    ) -> None:
        self._runner = runner
        self._dialect = dialect
        self._max_body_bytes = max_body_bytes
        self._requests = requests
        self._answers = answers
        self._unread = unread
        self._sequence = 0
        self._uploads: set[asyncio.Future] = set()
        self.open_requests = 0

    def server(self) -> web.Server:
        """Build the server for callers."""
        return ForwardServer(
            self._serve,
            request_factory=self._request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT,
            auto_decompress=False,  # Endpoints get each body as its caller encoded it.
        )

    def ready_server(self) -> web.Server:
        """Build the server that reports whether this host accepts callers."""
        return web.Server(self._ready, access_log=None)

    def metrics_server(self) -> web.Server:
        """Build the server for metrics."""
        return web.Server(self._metrics, access_log=None)

    def _request(
        self,
        message: object,
        payload: object,
        protocol: object,
        writer: object,
        task: asyncio.Task,
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=self._max_body_bytes
        )

    async def _serve(self, req: web.BaseRequest) -> web.StreamResponse:
        self.open_requests += 1
        try:
            with self._requests.share() as share:
                return await self._forward(req, share)
        finally:
            self.open_requests -= 1

    async def _forward(self, req: web.BaseRequest, share: BodyShare) -> web.StreamResponse:
        if _longest_field(req) > routes.max_header_bytes(self._runner.state):
            return web.Response(status=HEADERS_TOO_LARGE)
        runner = self._runner
        self._sequence += 1
        call_id = f"{runner.owner.host}.{runner.owner.incarnation}.f{self._sequence}"
        if not req.content.is_eof():
            refused = self._refuse_head(req, call_id, share)
            if refused is not None:
                return refused
        try:
            body = await self._read_body(req, share)
        except web.HTTPRequestEntityTooLarge:
            return web.Response(status=413)
        except NoRoomError:
            held = {"held": self._requests.held_bytes, "organisation": share.owner or "-"}
            return self._refuse_upload(req, call_id, BODIES_FULL, FULL_RETRY_AFTER_S, **held)
        if body is None:
            return self._refuse_upload(req, call_id, STOPPING, UPLOAD_RETRY_AFTER_S)
        exchange = Exchange(
            method=req.method, target=req.raw_path, headers=list(req.raw_headers), body=body
        )
        ask = self._dialect.ask(call_id, req.headers.get("Host", ""), exchange, runner.now())
        call = ForwardCall(
            req=req,
            ask=ask,
            exchange=exchange,
            dialect=self._dialect,
            answers=self._answers,
            unread=self._unread,
        )
        return await answer_call(runner, req, call, ForwardArrived(at=runner.now(), ask=ask))

    def _refuse_head(
        self, req: web.BaseRequest, call_id: str, share: BodyShare
    ) -> web.StreamResponse | None:
        """Return the refusal of a request whose body need not be read, or None if it need be.

        Then the body counts for the organisation that its head names.

        The HTTP library throws away what still comes of the body, so that the caller gets the
        answer, and then closes the connection.
        """
        runner = self._runner
        if not organisations.are_named(runner.state):
            return None
        ask = self._ask_of_head(req, call_id)
        failure = caller_keys.refusal_of_head(runner.state, ask, runner.now())
        if failure is None:
            owner = organisations.of_key(runner.state, ask.key)
            share.owner = owner.name if owner is not None else ""
            return None
        runner.post(HeadRefused(at=runner.now(), ask=ask, failure=failure))
        resp = _failure_response(self._dialect, ask, failure)
        resp.force_close()
        return resp

    def _ask_of_head(self, req: web.BaseRequest, call_id: str) -> Ask:
        exchange = Exchange(
            method=req.method, target=req.raw_path, headers=list(req.raw_headers), body=b""
        )
        return self._dialect.ask(call_id, req.headers.get("Host", ""), exchange, self._runner.now())

    async def _read_body(self, req: web.BaseRequest, share: BodyShare) -> bytes | None:
        """Read a request's body; returns None if `refuse_uploads` ended that.

        Raises:
            HTTPRequestEntityTooLarge: If the body is larger than it may be.
            NoRoomError: If there is no room for it; that shows at its head if it states its length.
        """
        if not share.resize(min(req.content_length or 0, self._max_body_bytes)):
            raise NoRoomError
        if req.content.is_eof():
            return await self._read_pieces(req, share)
        reading = asyncio.ensure_future(self._read_pieces(req, share))
        self._uploads.add(reading)
        try:
            await asyncio.wait({reading})
            return None if reading.cancelled() else reading.result()
        finally:
            self._uploads.discard(reading)
            reading.cancel()

    async def _read_pieces(self, req: web.BaseRequest, share: BodyShare) -> bytes:
        pieces = []
        size = 0
        while piece := await req.content.readany():
            size += len(piece)
            if size > self._max_body_bytes:
                raise web.HTTPRequestEntityTooLarge(self._max_body_bytes)
            if size > share.size and not share.resize(self._next_share(size)):
                raise NoRoomError
            pieces.append(piece)
        share.resize(size)
        return b"".join(pieces)

    def _next_share(self, size: int) -> int:
        """Return the share for a body that does not state its length, and has some bytes by now."""
        if size <= SMALL_BODY_BYTES:
            return size
        return min(self._max_body_bytes, UNKNOWN_LENGTH_RATIO * size)

    def refuse_uploads(self) -> int:
        """Refuse the requests whose bodies have not been read, and return how many there were."""
        for reading in self._uploads:
            reading.cancel()
        return len(self._uploads)

    def _refuse_upload(
        self,
        req: web.BaseRequest,
        call_id: str,
        reason: Reason,
        retry_after: float,
        **inputs: object,
    ) -> web.StreamResponse:
        ask = self._ask_of_head(req, call_id)
        fields = {"request": ask.trace_id, "call": call_id, "reason": reason.code, **inputs}
        log_event("upload_refused", **fields)
        failure = Failure(reason=reason, verdict=Verdict.NOT_RUN, retry_after=retry_after)
        resp = _failure_response(self._dialect, ask, failure)
        resp.force_close()
        return resp

    async def _ready(self, req: web.BaseRequest) -> web.Response:
        state = self._runner.state
        if req.path != self._dialect.ready_path:
            return web.Response(status=404)
        if state.stopping:
            return web.Response(status=503, text=f"stopping, {in_flight(state)} in flight\n")
        if not routes.is_known(state):
            return web.Response(status=503, text="no routes\n")
        return web.Response(text="ready\n")

    async def _metrics(self, req: web.BaseRequest) -> web.Response:
        runner = self._runner
        content, headers = runner.telemetry.text(req.headers.getall("Accept", []), runner.state)
        log_event("metrics_read", level="DEBUG")
        return web.Response(body=content, headers=headers)


def _longest_field(req: web.BaseRequest) -> int:
    """Return the length of a request's target, or of its longest header field."""
    fields = (len(name) + len(value) for name, value in req.raw_headers)
    return max(len(req.raw_path), *fields, 0)


def _failure_response(dialect: Dialect, ask: Ask, failure: Failure) -> web.Response:
    """Return the answer with a failure that this host reports itself."""
    return web.Response(
        status=failure.reason.status,
        body=error_body(failure),
        content_type=JSON,
        headers=dialect.failure_headers(ask, failure),
    )


def _end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> CIMultiDict[str]:
    """Return the headers of an answer without the hop-by-hop ones."""
    named = b",".join(value for name, value in headers if name == b"connection").lower()
    dropped = {part.strip() for part in named.split(b",")} | set(_HOP_BY_HOP_HEADERS)
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers:
        if name not in dropped:
            kept.add(name.decode("latin-1"), value.decode("latin-1"))
    return kept
