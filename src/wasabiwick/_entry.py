"""HTTP server for callers of an entry host, in the format that OpenAI-style clients expect."""

import asyncio
import time

import msgspec
from aiohttp import web

from . import _asks
from ._abort import abort_answer
from ._answers import (
    DONE,
    HEARTBEAT,
    REQUEST_HEADER,
    AnswerFormat,
    ModelEntry,
    ModelList,
    error_body,
    error_headers,
)
from ._errors import NOT_FOUND, REQUEST_TIMEOUT, TOO_LARGE, Failure
from ._events import CallAnswered, CallArrived, CallerGone
from ._handlers import lists, members, requests
from ._logging import log_event
from ._output import Output
from ._runner import Body, Runner
from ._sink import CallSink, Closed, CompleteAnswer
from ._verdict import Verdict

JSON = "application/json"
MAX_INLINE_COMPRESSION_BYTES = 16 * 1024  # Longer answer bodies are compressed in a thread.
HEARTBEAT_INTERVAL = 10.0  # Seconds between the comment lines of a silent stream.


class Entry:
    """HTTP handlers for callers of an entry host.

    Args:
        runner: The host's runner.
    """

    __slots__ = ("_runner", "_sequence", "_was_listed")

    def __init__(self, *, runner: Runner) -> None:
        self._runner = runner
        self._sequence = 0
        self._was_listed = False

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(
            client_max_size=self._runner.cfg.limits.max_body_bytes,
            middlewares=[self._error_middleware],
        )
        app.router.add_post("/v1/completions", self._completions)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/v1/models", self._models)
        app.router.add_route("*", "/v1/services/{service}/{path:.*}", self._service)
        app.router.add_get("/healthz", self._healthy)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/metrics/customers", self._customers)
        return app

    # --- Calls -----------------------------------------------------------------------------------

    async def _completions(self, req: web.Request) -> web.StreamResponse:
        return await self._generate(req, _asks.CompletionAsk)

    async def _chat(self, req: web.Request) -> web.StreamResponse:
        return await self._generate(req, _asks.ChatAsk)

    async def _generate(self, req: web.Request, form: type) -> web.StreamResponse:
        envelope = self._envelope(req)
        if isinstance(envelope, Failure):
            return _failure_response(req, envelope)
        parsed = _asks.parse_generation(envelope, await req.read(), form)
        if isinstance(parsed, Failure):
            return _failure_response(req, parsed)
        call, body, decoded = parsed
        answer_format = AnswerFormat(
            chat=form is _asks.ChatAsk,
            answer_id=call.call_id,
            model=call.target,
            created=int(time.time()),
        )
        pending = PendingCall(runner=self._runner, req=req, call=call, body=body)
        return await pending.serve(lambda: pending.relay(answer_format, streamed=decoded.stream))

    async def _service(self, req: web.Request) -> web.StreamResponse:
        envelope = self._envelope(req)
        if isinstance(envelope, Failure):
            return _failure_response(req, envelope)
        call, body = _asks.service_call(envelope, req, await req.read())
        pending = PendingCall(runner=self._runner, req=req, call=call, body=body)
        return await pending.serve(pending.answer_service)

    def _envelope(self, req: web.Request) -> "_asks.Envelope | Failure":
        config = lists.current(self._runner.state)
        customer = config.customer_of(_asks.key_hash(req)) if config else None
        name = customer.name if customer else ""
        return _asks.read_headers(self._runner, req, req["call_id"], name)

    def _next_call_id(self) -> str:
        self._sequence += 1
        return f"{self._runner.owner.host}.{self._runner.owner.incarnation}.c{self._sequence}"

    @web.middleware
    async def _error_middleware(self, req: web.Request, handler: object) -> web.StreamResponse:
        """Give every call an identifier, and every error the same JSON form."""
        req["call_id"] = self._next_call_id()
        failure = await self._read_body(req)
        if failure:
            resp = _failure_response(req, failure)
            resp.force_close()
            _log_answer(req, resp)
            return resp
        try:
            resp = await handler(req)
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as exc:
            detail = f"{req.method} {req.path} does not exist"
            failure = Failure(reason=NOT_FOUND, verdict=Verdict.NOT_RUN, detail=detail)
            resp = _failure_response(req, failure, status=exc.status)
        _log_answer(req, resp)
        return resp

    async def _read_body(self, req: web.Request) -> Failure | None:
        """Read the whole body, which the request caches for its handler.

        Returns:
            A failure if the body is too long or does not arrive in time.
        """
        limits = self._runner.cfg.limits
        try:
            async with asyncio.timeout(limits.header_timeout):
                await req.read()
        except TimeoutError:
            return Failure(reason=REQUEST_TIMEOUT, verdict=Verdict.NOT_RUN)
        except web.HTTPRequestEntityTooLarge:
            detail = f"the body is over {limits.max_body_bytes} bytes"
            return Failure(reason=TOO_LARGE, verdict=Verdict.NOT_RUN, detail=detail)
        return None

    # --- Health and metrics ----------------------------------------------------------------------

    async def _models(self, req: web.Request) -> web.Response:
        config = lists.current(self._runner.state)
        names = sorted(config.models) if config else ()
        body = ModelList(data=tuple(ModelEntry(id=name) for name in names))
        return web.Response(body=msgspec.json.encode(body), content_type=JSON)

    async def _healthy(self, req: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, req: web.Request) -> web.Response:
        state = self._runner.state
        if state.stopping:
            return web.Response(status=503, text="stopping\n")
        if lists.current(state) is None:
            return web.Response(status=503, text="no configuration\n")
        # Once listed, a host stays ready: a faulty list must not take all hosts out of service.
        self._was_listed = (
            self._was_listed or members.entry_of(state, self._runner.owner.host) is not None
        )
        if not self._was_listed:
            return web.Response(status=503, text="not in the host list\n")
        return web.Response(text="ready\n")

    async def _metrics(self, req: web.Request) -> web.Response:
        runner = self._runner
        content, headers = runner.telemetry.text(req.headers.getall("Accept", []), runner.state)
        return web.Response(body=content, headers=headers)

    async def _customers(self, req: web.Request) -> web.Response:
        runner = self._runner
        snapshot = runner.telemetry.snapshot(runner.owner, runner.ports.clock.wall())
        resp = web.Response(
            body=msgspec.json.encode(snapshot),
            content_type=JSON,
            # Longer bodies are compressed in a thread, so that streams don't wait for that.
            zlib_executor_size=MAX_INLINE_COMPRESSION_BYTES,
        )
        resp.enable_compression()
        return resp


class PendingCall:
    """One call from its arrival to the end of its answer.

    Args:
        runner: The host's runner.
        req: The HTTP request.
        call: The call that the request was parsed into.
        body: The request's body, which the runner keeps for endpoints.
    """

    __slots__ = ("_runner", "_req", "_call", "_body", "_sink", "_answered")

    def __init__(self, *, runner: Runner, req: web.Request, call: object, body: Body) -> None:
        self._runner = runner
        self._req = req
        self._call = call
        self._body = body
        self._sink = CallSink()
        self._answered = False

    async def serve(self, answer: object) -> web.StreamResponse:
        """Register the call, wait for its answer, and report to the reducer how it ended.

        Args:
            answer: Coroutine function that makes the answer from the sink's content.

        Returns:
            The answer.
        """
        runner, call = self._runner, self._call
        runner.sinks[call.call_id] = self._sink
        runner.bodies.setdefault(call.request_id, self._body)
        try:
            runner.post(CallArrived(at=runner.now(), call=call))
            await self._sink.wait_for_outcome()
            return await answer()
        finally:
            runner.sinks.pop(call.call_id, None)
            if requests.request_of(runner.state, call.request_id) is None:
                runner.bodies.pop(call.request_id, None)
            self._report_end()

    def _report_end(self) -> None:
        runner, call = self._runner, self._call
        event = CallAnswered if self._answered else CallerGone
        runner.post(event(at=runner.now(), call_id=call.call_id, request_id=call.request_id))

    async def answer_service(self) -> web.StreamResponse:
        """Answer with what the service answered."""
        return self._answer_with(self._sink.end)

    async def relay(self, answer_format: AnswerFormat, *, streamed: bool) -> web.StreamResponse:
        """Answer with a generation's output, streamed or as one body."""
        if self._sink.end is not None:
            return self._answer_with(self._sink.end)
        if streamed:
            return await self._stream(answer_format)
        return await self._collect(answer_format)

    async def _collect(self, answer_format: AnswerFormat) -> web.StreamResponse:
        output = self._sink.output
        position = 0
        while not output.finish and self._sink.end is None:
            await output.wait_for_change()
            _, position = output.take(position)
        if self._sink.end is not None:
            return self._answer_with(self._sink.end)
        body = answer_format.encode_answer(
            output.text(), output.finish, self._call.prompt_tokens, output.offset
        )
        self._answered = True
        return web.Response(body=body, content_type=JSON, headers=self._headers())

    async def _stream(self, answer_format: AnswerFormat) -> web.StreamResponse:
        heartbeat = Heartbeat(self._sink.output)
        try:
            return await self._relay_output(answer_format, heartbeat)
        finally:
            heartbeat.stop()

    async def _relay_output(
        self, answer_format: AnswerFormat, heartbeat: "Heartbeat"
    ) -> web.StreamResponse:
        output = self._sink.output
        resp: web.StreamResponse | None = None
        position = 0
        while True:
            text, position = output.take(position)
            if self._sink.end is not None:
                return await self._end_incomplete(resp)
            if text or output.finish:
                resp = resp or await self._open()
            if text:
                await resp.write(answer_format.encode_chunk(text))
            elif output.finish:
                await resp.write(answer_format.encode_chunk("", output.finish) + DONE)
                await resp.write_eof()
                self._answered = True
                return resp
            elif heartbeat.is_due() and resp is not None:
                await resp.write(HEARTBEAT)
            else:
                await output.wait_for_change()

    async def _open(self) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
        resp = web.StreamResponse(headers={**headers, **self._headers()})
        await resp.prepare(self._req)
        return resp

    async def _end_incomplete(self, resp: web.StreamResponse | None) -> web.StreamResponse:
        """End a call whose output can't be completed."""
        end = self._sink.end
        if resp is None:
            return self._answer_with(end)
        if isinstance(end, Failure):
            await resp.write(b"event: error\ndata: " + error_body(end) + b"\n\n")
            await resp.write_eof()
            self._answered = True
            return resp
        abort_answer(self._req)
        return resp

    def _answer_with(self, end: Failure | CompleteAnswer | Closed | None) -> web.StreamResponse:
        if isinstance(end, Failure):
            self._answered = True
            return _failure_response(self._req, end)
        if isinstance(end, CompleteAnswer):
            self._answered = True
            return web.Response(
                status=end.status,
                body=end.body.encode(),
                headers={"Content-Type": end.content_type, **self._headers()},
            )
        abort_answer(self._req)
        return web.Response(status=499)

    def _headers(self) -> dict[str, str]:
        return {REQUEST_HEADER: self._call.call_id}


class Heartbeat:
    """Timer that wakes a stream at intervals, so that a silent stream is sent a comment line.

    One timer per stream costs less than a timeout on every wait.

    Args:
        output: Output that the stream waits for.
    """

    __slots__ = ("_output", "_handle", "_due")

    def __init__(self, output: Output) -> None:
        self._output = output
        self._due = False
        self._schedule()

    def is_due(self) -> bool:
        """Return whether a comment line is due, and mark it as sent."""
        due, self._due = self._due, False
        return due

    def stop(self) -> None:
        """Stop the timer."""
        self._handle.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(HEARTBEAT_INTERVAL, self._mark_due)

    def _mark_due(self) -> None:
        self._due = True
        self._output.wake()
        self._schedule()


def _failure_response(req: web.Request, failure: Failure, *, status: int = 0) -> web.Response:
    headers = error_headers(failure)
    headers[REQUEST_HEADER] = req["call_id"]
    req["reason"] = failure.reason.code
    return web.Response(
        status=status or failure.reason.status,
        body=error_body(failure),
        content_type=JSON,
        headers=headers,
    )


def _log_answer(req: web.Request, resp: web.StreamResponse) -> None:
    log_event(
        "answered",
        level="DEBUG",
        call=req["call_id"],
        method=req.method,
        path=req.path,
        status=resp.status,
        reason=req.get("reason", "-"),
    )
