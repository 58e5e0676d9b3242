"""Facts and requests of forwarding: routes, services, endpoints, and what a caller asks for.

Routes send requests to the endpoints of a service unchanged. The kind of a route says what may be
repeated: ``safe`` requests at any endpoint, ``unsafe`` ones nowhere, and streams only where their
route is resumable.
"""

from ._record import Record

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"
KINDS = (SAFE, UNSAFE, STREAM)

PREFILL = "prefill"
DECODE = "decode"


class Route(Record):
    """One rule that sends requests of a host and path to services.

    Args:
        name: Name of the route.
        host: Host of the requests.
        path_prefix: Beginning of the paths; begins and ends with a slash.
        kind: ``safe``, ``unsafe`` or ``stream``.
        resumable: Whether a stream may go on at another endpoint.
        max_attempts: Most endpoints that may run one request.
        timeout: Seconds after which the caller gets a final answer.
        target_latency: Seconds to the answer, or to a stream's first event.
        target_gap: Longest pause between events, in seconds; 0 where there is none.
        priority: Rank, where 0 is the most urgent.
        services: Names of services, each with its weight.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "resumable",
        "max_attempts",
        "timeout",
        "target_latency",
        "target_gap",
        "priority",
        "services",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        kind: str,
        max_attempts: int,
        timeout: float,
        target_latency: float,
        services: tuple[tuple[str, float], ...],
        resumable: bool = False,
        target_gap: float = 0.0,
        priority: int = 0,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.resumable = resumable
        self.max_attempts = max_attempts
        self.timeout = timeout
        self.target_latency = target_latency
        self.target_gap = target_gap
        self.priority = priority
        self.services = tuple((name, weight) for name, weight in services)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run at a second endpoint after it may have run at a first."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


class EngineTraits(Record):
    """What the engines of a service have in common.

    Args:
        slots: Requests in one batch.
        memory_tokens: Tokens of KV cache that an engine holds.
        hold_time: Longest time for which a place can be held, in seconds; 0 where none can.
        handle_time: Seconds for which an engine keeps a prefilled prompt for others.
        switch_time: Seconds for which an engine serves nobody while it changes its stage.
        stride: Most tokens in one event of a stream.
    """

    __slots__ = ("slots", "memory_tokens", "hold_time", "handle_time", "switch_time", "stride")

    def __init__(
        self,
        *,
        slots: int,
        memory_tokens: int,
        hold_time: float,
        handle_time: float,
        switch_time: float = 0.0,
        stride: int = 1,
    ) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.hold_time = hold_time
        self.handle_time = handle_time
        self.switch_time = switch_time
        self.stride = stride


class ServiceTraits(Record):
    """What is configured of a service; ``engine`` is None where it is no model engine."""

    __slots__ = ("name", "max_connections", "engine")

    def __init__(
        self, *, name: str, max_connections: int, engine: EngineTraits | None = None
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.engine = engine


class RouteTable(Record):
    """One version of all routes and services."""

    __slots__ = ("version", "routes", "services")

    def __init__(
        self, *, version: int, routes: tuple[Route, ...], services: tuple[ServiceTraits, ...]
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = tuple(services)


class Endpoint(Record):
    """One running endpoint of a service.

    Args:
        name: Its identifier, under which it is listed.
        born: Unix time of its start in milliseconds; 0 where unknown.
        service: Name of its service.
        address: ``host:port``.
        zone: Availability zone.
        leaving: Whether it takes no new work.
        slots: Requests that it processes at once.
        stage: ``prefill`` or ``decode`` for a model engine, otherwise empty.
        cold: Seconds for which it is still slow after its start.
    """

    __slots__ = ("name", "born", "service", "address", "zone", "leaving", "slots", "stage", "cold")

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        born: int = 0,
        leaving: bool = False,
        stage: str = "",
        cold: float = 0.0,
    ) -> None:
        self.name = name
        self.born = born
        self.service = service
        self.address = address
        self.zone = zone
        self.leaving = leaving
        self.slots = slots
        self.stage = stage
        self.cold = cold


class Listing(Record):
    """One entry of the list of endpoints: what stands under a name since an offset.

    Args:
        name: Identifier of the endpoint.
        offset: Position of the entry in the list's history; a later entry has a higher one.
        endpoint: The endpoint, or None where the name stands for none that can be used.
    """

    __slots__ = ("name", "offset", "endpoint")

    def __init__(self, *, name: str, offset: int, endpoint: Endpoint | None) -> None:
        self.name = name
        self.offset = offset
        self.endpoint = endpoint


class Ask(Record):
    """What a caller asked for, without headers and body, which the runner keeps.

    Args:
        call_id: Identifies the call on this host.
        trace_id: The caller's identifier of this attempt, which logs carry.
        host: Host that the caller named.
        path: Path, without its query.
        deadline: Monotonic time until which the caller waits.
        prompt_tokens: Length of the prompt.
        max_tokens: Longest output.
        length_hint: The caller's estimate of the output's length; 0 where it gave none.
        resumed: Whether the caller resumes a stream.
    """

    __slots__ = (
        "call_id",
        "trace_id",
        "host",
        "path",
        "deadline",
        "prompt_tokens",
        "max_tokens",
        "length_hint",
        "resumed",
    )

    def __init__(
        self,
        *,
        call_id: str,
        trace_id: str,
        host: str,
        path: str,
        deadline: float,
        prompt_tokens: int = 0,
        max_tokens: int = 0,
        length_hint: int = 0,
        resumed: bool = False,
    ) -> None:
        self.call_id = call_id
        self.trace_id = trace_id
        self.host = host
        self.path = path
        self.deadline = deadline
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.length_hint = length_hint
        self.resumed = resumed


class StreamLoad(Record):
    """What is known of the length of one stream at an engine.

    Args:
        prompt: Tokens of its prompt.
        expected: Tokens that it is expected to put out.
        begins: Monotonic time at which its first token comes, or is expected.
    """

    __slots__ = ("prompt", "expected", "begins")

    def __init__(self, *, prompt: int, expected: int, begins: float) -> None:
        self.prompt = prompt
        self.expected = max(1, expected)
        self.begins = begins


class EndpointLoad(Record):
    """What one host has under way at one endpoint.

    Args:
        running: Requests sent to it, or holding a place there.
        reading: Prompt tokens that it was asked to prefill and has not finished.
        streams: Streams among the running requests.
    """

    __slots__ = ("running", "reading", "streams")

    def __init__(
        self, *, running: int = 0, reading: int = 0, streams: tuple[StreamLoad, ...] = ()
    ) -> None:
        self.running = running
        self.reading = reading
        self.streams = tuple(streams)
