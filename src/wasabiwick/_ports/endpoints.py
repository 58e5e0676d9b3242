"""Port to the endpoints that requests are forwarded to."""

import typing

from .._effects_forwarding import Forward, OrderStage, ReadPrompt
from .._errors import Failure


class Exchange:
    """A request as it came from its caller, and what the caller got of a stream so far.

    Args:
        method: HTTP method.
        target: Path and query as they came.
        headers: Headers as they came, in order.
        body: The whole body.

    Attributes:
        last_event_id: Identifier of the last event that was written to the caller.
        events: Number of events that were written to the caller.
    """

    __slots__ = ("method", "target", "headers", "body", "last_event_id", "events")

    def __init__(
        self, *, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.last_event_id = b""
        self.events = 0


class Answer(typing.Protocol):
    """An answer of an endpoint, from its head on."""

    status: int
    headers: list[tuple[bytes, bytes]]
    not_run: bool
    streams: bool

    async def chunk(self) -> bytes:
        """Return the next bytes, or nothing at the end; raises `BrokenAnswerError`."""

    async def body(self) -> bytes:
        """Return the whole body; raises `BrokenAnswerError`."""

    def release(self) -> None:
        """Give the connection back, or close it where the answer is not whole."""


class Endpoints(typing.Protocol):
    """Calls to endpoints; each returns a failure with its verdict where it brings no answer."""

    async def take_hold(
        self, endpoint: str, address: str, *, tokens: int, seconds: float
    ) -> str | Failure:
        """Reserve a place at an engine and return its name."""

    async def drop_hold(self, endpoint: str, address: str, hold: str) -> Failure | None:
        """Give a reserved place back."""

    async def order_stage(self, effect: OrderStage) -> Failure | None:
        """Order an engine to change its stage."""

    async def is_busy(self, endpoint: str, address: str) -> bool | Failure:
        """Return whether an engine carries an order out."""

    async def prefill(
        self, exchange: Exchange, effect: ReadPrompt, *, seconds: float
    ) -> str | Failure:
        """Prefill a prompt and return the handle of its KV cache."""

    async def free_handle(self, endpoint: str, address: str, handle: str) -> Failure | None:
        """Let an engine drop a KV cache."""

    async def forward(
        self, exchange: Exchange, effect: Forward, *, seconds: float
    ) -> Answer | Failure:
        """Send a request and return its answer once the head has come."""

    def close(self) -> None:
        """Close all connections."""
