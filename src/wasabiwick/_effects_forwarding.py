"""Effects of forwarding: calls to endpoints, answers to callers, and what other hosts are told."""

from ._effects import Effect
from ._errors import Failure
from ._forwarding import EndpointLoad


class ForwardEffect(Effect):
    """Base of effects on one forwarded call."""

    __slots__ = ("call_id",)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class EndpointEffect(ForwardEffect):
    """Base of effects on one forwarded call at one endpoint."""

    __slots__ = ("endpoint", "address")

    def __init__(self, *, call_id: str, endpoint: str, address: str) -> None:
        super().__init__(call_id=call_id)
        self.endpoint = endpoint
        self.address = address


class TakeHold(EndpointEffect):
    """Reserve a slot and memory at an engine for ``seconds``."""

    __slots__ = ("tokens", "seconds")

    def __init__(
        self, *, call_id: str, endpoint: str, address: str, tokens: int, seconds: float
    ) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.tokens = tokens
        self.seconds = seconds


class DropHold(EndpointEffect):
    """Give a reserved place back."""

    __slots__ = ("hold",)

    def __init__(self, *, call_id: str, endpoint: str, address: str, hold: str) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.hold = hold


class ReadPrompt(EndpointEffect):
    """Prefill the request's prompt at an engine, which keeps the KV cache for another.

    Args:
        call_id: The call.
        endpoint: Name of the engine.
        address: Its address.
        deadline: Monotonic time until which the engine may work.
        priority: Rank at the engine.
        quiet: Seconds without an answer after which it counts as lost.
    """

    __slots__ = ("deadline", "priority", "quiet")

    def __init__(
        self,
        *,
        call_id: str,
        endpoint: str,
        address: str,
        deadline: float,
        priority: int,
        quiet: float,
    ) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.deadline = deadline
        self.priority = priority
        self.quiet = quiet


class FreeHandle(EndpointEffect):
    """Let an engine drop a KV cache that nobody will fetch."""

    __slots__ = ("handle",)

    def __init__(self, *, call_id: str, endpoint: str, address: str, handle: str) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.handle = handle


class Forward(EndpointEffect):
    """Send the request to an endpoint.

    Args:
        call_id: The call.
        endpoint: Name of the endpoint, which refuses requests meant for another.
        address: Its address.
        number: Number of this try, from 1.
        deadline: Monotonic time until which the endpoint may work.
        hold: Place that is held there, or empty.
        source: Address of the engine that keeps the prompt's KV cache, or empty.
        handle: Its name there.
        priority: Rank among the requests of an engine, or None for plain services.
        connections: Most connections to the endpoint that this host may keep.
        resume: Whether the stream goes on behind the last event that the caller got.
        quiet: Seconds without the head of an answer after which the try has failed, or 0.
    """

    __slots__ = (
        "number",
        "deadline",
        "hold",
        "source",
        "handle",
        "priority",
        "connections",
        "resume",
        "quiet",
    )

    def __init__(
        self,
        *,
        call_id: str,
        endpoint: str,
        address: str,
        number: int,
        deadline: float,
        hold: str = "",
        source: str = "",
        handle: str = "",
        priority: int | None = None,
        connections: int = 0,
        resume: bool = False,
        quiet: float = 0.0,
    ) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.number = number
        self.deadline = deadline
        self.hold = hold
        self.source = source
        self.handle = handle
        self.priority = priority
        self.connections = connections
        self.resume = resume
        self.quiet = quiet


class Relay(ForwardEffect):
    """Pass the answer that a try brought to the caller."""

    __slots__ = ("number",)

    def __init__(self, *, call_id: str, number: int) -> None:
        super().__init__(call_id=call_id)
        self.number = number


class DropTry(ForwardEffect):
    """Stop what a call has under way at an endpoint, and close its connection."""

    __slots__ = ("number",)

    def __init__(self, *, call_id: str, number: int) -> None:
        super().__init__(call_id=call_id)
        self.number = number


class RefuseForward(ForwardEffect):
    """Answer a forwarded call with a failure of this host."""

    __slots__ = ("failure",)

    def __init__(self, *, call_id: str, failure: Failure) -> None:
        super().__init__(call_id=call_id)
        self.failure = failure


class CutForward(ForwardEffect):
    """Break off an answer that can't be finished, so that the caller sees it is not whole."""

    __slots__ = ()


class TellLoad(Effect):
    """Tell other hosts what this one has under way at endpoints.

    ``busy`` holds the endpoints that carry an order out, with the seconds that this may take.
    """

    __slots__ = ("addresses", "sequence", "loads", "stopping", "busy")

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        sequence: int,
        loads: dict[str, EndpointLoad],
        stopping: bool,
        busy: dict[str, float],
    ) -> None:
        self.addresses = tuple(addresses)
        self.sequence = sequence
        self.loads = loads
        self.stopping = stopping
        self.busy = busy


class AskWhetherBusy(Effect):
    """Ask an engine whether it carries an order out."""

    __slots__ = ("endpoint", "address")

    def __init__(self, *, endpoint: str, address: str) -> None:
        self.endpoint = endpoint
        self.address = address


class ReadClaims(Effect):
    """Read the last claim to give orders."""

    __slots__ = ()


class ClaimOrders(Effect):
    """Claim the right to give orders, if no claim came since the log ended at ``after``."""

    __slots__ = ("after", "holder")

    def __init__(self, *, after: int, holder: str) -> None:
        self.after = after
        self.holder = holder


class OrderStage(Effect):
    """Order an engine to change its stage; ``fence`` is higher than that of any earlier holder."""

    __slots__ = ("endpoint", "address", "stage", "holder", "fence")

    def __init__(self, *, endpoint: str, address: str, stage: str, holder: str, fence: int) -> None:
        self.endpoint = endpoint
        self.address = address
        self.stage = stage
        self.holder = holder
        self.fence = fence


class AnnounceHost(Effect):
    """Enter this host in the list of hosts, and read the others."""

    __slots__ = ()
