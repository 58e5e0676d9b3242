"""HTTP connections of callers whose requests are forwarded: bounds on the heads of requests.

The operator's bound may change while a connection is open, and the HTTP library's parser takes its
own when the connection is made. So the parser is given bounds that lie above, and `ForwardEntry`
checks each request by the operator's.
"""

import asyncio

from aiohttp import StreamReader, web
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong

from ._forwarding import DEFAULT_MAX_HEADER_BYTES

HEADERS_TOO_LARGE = 431  # HTTP status of an answer to a request whose head is too long.
MAX_FIELD_BYTES = 64 * 1024  # Longest request line or header field that any bound allows.
# Most bytes of a head. Operators bound the fields; a head of several long ones is proper.
MAX_HEAD_BYTES = 128 * 1024
MIN_FIELD_BYTES = 4  # Shortest header field: a name, a colon and the end of its line.
# Most fields of a head, as many as fit into the usual bound.
MAX_FIELDS = DEFAULT_MAX_HEADER_BYTES // MIN_FIELD_BYTES
_TOO_MANY_FIELDS = "Too many headers"  # Beginning of the library's message.
_REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class ForwardConnection(web.RequestHandler):
    """One connection of a caller."""

    __slots__ = ("_head_bytes", "_body")

    def __init__(self, manager: web.Server, **options: object) -> None:
        super().__init__(
            manager,
            **options,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
        )
        self._head_bytes = 0
        self._body: StreamReader | None = None

    def data_received(self, data: bytes) -> None:
        """Parse bytes; a head that does not end is refused."""
        is_in_body = self._body is not None and not self._body.is_eof()
        before = self._request_count
        super().data_received(data)
        if self._request_count > before:
            self._head_bytes = 0
            self._body = self._messages[-1][1] if self._messages else None
        elif not is_in_body:
            self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse_head()

    def _refuse_head(self) -> None:
        if self._current_request is not None or self._messages:
            self.close()  # Requests before this one are still to be answered.
            return
        if self.transport is not None:
            self.transport.write(_REFUSAL)
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be parsed, or whose handling failed."""
        if _is_too_long(exc):
            resp = web.Response(status=HEADERS_TOO_LARGE)
            resp.force_close()
            return resp
        return super().handle_error(request, status, exc, message)


class ForwardServer(web.Server):
    """Serves callers, each on a `ForwardConnection`."""

    def __call__(self) -> ForwardConnection:
        """Return the protocol of a new connection."""
        return ForwardConnection(self, loop=asyncio.get_running_loop(), **self._kwargs)


def _is_too_long(exc: BaseException | None) -> bool:
    if isinstance(exc, LineTooLong):
        return True
    return isinstance(exc, HttpProcessingError) and exc.message.startswith(_TOO_MANY_FIELDS)
