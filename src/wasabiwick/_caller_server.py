"""HTTP connections of callers: broken requests and slow ones get the one JSON form of errors."""

import asyncio
import typing

from aiohttp import web

from ._answers import error_body, error_headers
from ._errors import BAD_REQUEST, INTERNAL, REQUEST_TIMEOUT, Failure
from ._settings import Limits
from ._verdict import Verdict

JSON = "application/json"
LINGERING_TIME = 1.0  # Seconds in which the rest of a refused request is still read.
LATE = Failure(reason=REQUEST_TIMEOUT, verdict=Verdict.NOT_RUN)


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    Args:
        manager: The server that the connection belongs to.
        limits: Bounds on callers.
        **options: Options of the library's handler.
    """

    __slots__ = ("_limit", "_timer", "_heard")

    def __init__(self, manager: web.Server, *, limits: Limits, **options: typing.Any) -> None:
        super().__init__(manager, **options)
        self._limit = limits.header_timeout
        self._timer: asyncio.TimerHandle | None = None
        self._heard = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first request."""
        super().connection_made(transport)
        self._arm()

    def data_received(self, data: bytes) -> None:
        """Take bytes in; a request's headers have to come whole before long."""
        before = self._request_count
        super().data_received(data)
        self._heard = True
        if self._request_count > before:
            self._disarm()
        elif self._timer is None and self._current_request is None:
            self._arm()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._disarm()
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
            return _answer(Failure(reason=BAD_REQUEST, verdict=Verdict.NOT_RUN, detail=detail))
        super().handle_error(request, status, exc, message)
        return _answer(Failure(reason=INTERNAL, verdict=Verdict.MAY_HAVE_RUN))

    def _arm(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._limit, self._expire)

    def _disarm(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self.transport is None or self._current_request is not None:
            return
        if self._heard:
            self.transport.write(_late_answer())
        self.force_close()


class CallerRunner(web.AppRunner):
    """Serves an application to callers.

    Args:
        app: The application.
        limits: Bounds on callers.
    """

    __slots__ = ("_limits",)

    def __init__(self, app: web.Application, *, limits: Limits) -> None:
        super().__init__(app, handler_cancellation=True, access_log=None)
        self._limits = limits

    @property
    def server(self) -> typing.Callable[[], CallerConnection] | None:
        """Return what makes the protocol of each new connection."""
        manager = super().server
        return self._connect if manager else None

    def _connect(self) -> CallerConnection:
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


def _answer(failure: Failure) -> web.Response:
    resp = web.Response(
        status=failure.reason.status,
        body=error_body(failure),
        content_type=JSON,
        headers=error_headers(failure),
    )
    resp.force_close()
    return resp


def _late_answer() -> bytes:
    body = error_body(LATE)
    headers = {
        **error_headers(LATE),
        "Content-Type": JSON,
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines = [f"HTTP/1.1 {LATE.reason.status} Request Timeout"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body
