"""Port to model engines."""

import typing

from .._errors import Failure
from .._wire import (
    CacheEvent,
    CancelAnswer,
    CancelAsk,
    DecodeAsk,
    EngineReport,
    Frame,
    OrderAsk,
    PrefillAnswer,
    PrefillAsk,
    ResumeAsk,
)


class Engine(typing.Protocol):
    """Calls that an engine answers; ``address`` is its base URL."""

    async def prefill(self, address: str, ask: PrefillAsk) -> PrefillAnswer | Failure:
        """Prefill a prompt; the engine keeps the KV cache for export."""

    def decode(self, address: str, ask: DecodeAsk) -> typing.AsyncIterator[list[Frame] | Failure]:
        """Stream a request's output in batches; a failure is the last item."""

    def resume(self, address: str, ask: ResumeAsk) -> typing.AsyncIterator[list[Frame] | Failure]:
        """Stream a running request again from a token offset on; a failure is the last item."""

    async def cancel(self, address: str, ask: CancelAsk) -> CancelAnswer | Failure:
        """Cancel an attempt."""

    async def report(self, address: str) -> EngineReport | Failure:
        """Return the engine's load report."""

    async def cache_events(self, address: str, after: int) -> tuple[CacheEvent, ...] | Failure:
        """Return prefix cache events after a sequence number."""

    async def order(self, address: str, ask: OrderAsk) -> bool | Failure:
        """Order the engine to change its state; returns False if it refused the fencing token."""
