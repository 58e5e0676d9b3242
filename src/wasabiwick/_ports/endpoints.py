"""Port to the endpoints that requests are forwarded to."""

import typing

from .._body_memory import Room
from .._effects_forwarding import CheckEnded, Forward, OrderStage, ReadPrompt
from .._errors import Failure
from .._header_numbers import ToldLoad


class Exchange:
    """A request as its caller sent it, and how much of the answer's stream the caller was sent.

    Args:
        method: HTTP method.
        target: Path and query as received.
        headers: Headers as received, in order.
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
    """An answer of an endpoint, available once its status and headers have arrived.

    ``has_length`` is false if only the end of its connection shows where the answer ends.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    not_run: bool
    streams: bool
    has_length: bool

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end; raises `BrokenAnswerError`."""

    async def body(self, room: Room | None = None) -> bytes:
        """Return the whole body; raises `BrokenAnswerError`. ``room`` may let a large one wait."""

    def release(self) -> None:
        """Return the connection to its pool, or close it if the answer is incomplete."""


class EndpointListener(typing.Protocol):
    """What is told of endpoints' answers, whatever they answer."""

    def leaving(self, endpoint: str, sent_at: float) -> None:
        """Note that an endpoint takes no new work; ``sent_at`` is when the request was sent."""

    def paused(self, endpoint: str, seconds: float) -> None:
        """Note that an endpoint turned a request away and wants nothing for some seconds."""

    def limit_named(self, endpoint: str, rate: float | None) -> None:
        """Note the requests a second that an endpoint takes from all hosts together.

        That is None once the endpoint names no limit any more.
        """

    def load_named(self, endpoint: str, load: ToldLoad | None) -> None:
        """Note what an endpoint tells of its load and of how long work takes there, if it does."""


class Endpoints(typing.Protocol):
    """Calls to endpoints; without an answer, a failure says whether the request may have run."""

    def listen(self, listener: EndpointListener) -> None:
        """Tell a listener what endpoints say of themselves in any of their answers."""

    async def take_hold(
        self, endpoint: str, address: str, *, tokens: int, seconds: float
    ) -> str | Failure:
        """Reserve a place at an engine and return the reservation's identifier."""

    async def drop_hold(self, endpoint: str, address: str, hold: str) -> Failure | None:
        """Cancel the reservation of a place."""

    async def order_stage(self, effect: OrderStage) -> Failure | None:
        """Order an engine to change its stage."""

    async def is_busy(self, endpoint: str, address: str) -> bool | Failure:
        """Return whether an engine is changing its stage."""

    async def has_ended(self, effect: CheckEnded) -> bool | Failure:
        """Return whether an endpoint has ended; a failure if it can't be reached."""

    async def accepts(self, endpoint: str, address: str) -> bool:
        """Return whether an endpoint accepts a new connection."""

    async def prefill(
        self, exchange: Exchange, effect: ReadPrompt, *, seconds: float
    ) -> str | Failure:
        """Prefill a prompt and return the handle of its KV cache."""

    async def free_handle(self, endpoint: str, address: str, handle: str) -> Failure | None:
        """Ask an engine to free the KV cache that a handle identifies."""

    async def forward(
        self, exchange: Exchange, effect: Forward, *, seconds: float
    ) -> Answer | Failure:
        """Send a request and return its answer once its status and headers have arrived."""

    def close(self) -> None:
        """Close all connections."""
