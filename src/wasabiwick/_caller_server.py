"""HTTP connections of callers: malformed and slow requests get JSON errors like all others."""

import asyncio
import typing

from aiohttp import web

from ._answers import error_body, error_headers
from ._errors import BAD_REQUEST, INTERNAL, REQUEST_TIMEOUT, Failure
from ._settings import Limits
from ._verdict import Verdict

JSON = "application/json"
LINGERING_TIME = 1.0  # Seconds for which the rest of a refused request is still read.
TIMED_OUT = Failure(reason=REQUEST_TIMEOUT, verdict=Verdict.NOT_RUN)


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    Args:
        manager: The server that the connection belongs to.
        limits: Limits for callers.
        **options: Options of the library's handler.
    """

    __slots__ = ("_header_timeout", "_timer", "_has_received")

    def __init__(self, manager: web.Server, *, limits: Limits, **options: typing.Any) -> None:
        super().__init__(manager, **options)
        self._header_timeout = limits.header_timeout
        self._timer: asyncio.TimerHandle | None = None
        self._has_received = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer for the headers of the first request."""
        super().connection_made(transport)
        self._start_timer()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; a request's headers have to be complete within the header timeout."""
        before = self._request_count
        super().data_received(data)
        self._has_received = True
        if self._request_count > before:
            self._stop_timer()
        elif self._timer is None and self._current_request is None:
            self._start_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be parsed, or whose handling failed."""
        if status < 500 and request.writer.output_size == 0:
            text = str(message or exc).strip().partition("\n")[0]
            detail = f"the request is not valid HTTP: {text}"
            return _failure_response(
                Failure(reason=BAD_REQUEST, verdict=Verdict.NOT_RUN, detail=detail)
            )
        super().handle_error(request, status, exc, message)
        return _failure_response(Failure(reason=INTERNAL, verdict=Verdict.MAY_HAVE_RUN))

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._header_timeout, self._expire)

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self.transport is None or self._current_request is not None:
            return
        if self._has_received:
            self.transport.write(_timeout_response())
        self.force_close()


class CallerRunner(web.AppRunner):
    """Serves an application to callers.

    Args:
        app: The application.
        limits: Limits for callers.
    """

    __slots__ = ("_limits",)

    def __init__(self, app: web.Application, *, limits: Limits) -> None:
        super().__init__(app, handler_cancellation=True, access_log=None)
        self._limits = limits

    @property
    def server(self) -> typing.Callable[[], CallerConnection] | None:
        """Return the factory of connections."""
        manager = super().server
        return self._make_connection if manager else None

    def _make_connection(self) -> CallerConnection:
        limits = self._limits
        return CallerConnection(
            super().server,
            limits=limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            lingering_time=LINGERING_TIME,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
        )


def _failure_response(failure: Failure) -> web.Response:
    resp = web.Response(
        status=failure.reason.status,
        body=error_body(failure),
        content_type=JSON,
        headers=error_headers(failure),
    )
    resp.force_close()
    return resp


def _timeout_response() -> bytes:
    body = error_body(TIMED_OUT)
    headers = {
        **error_headers(TIMED_OUT),
        "Content-Type": JSON,
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines = [f"HTTP/1.1 {TIMED_OUT.reason.status} Request Timeout"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body
