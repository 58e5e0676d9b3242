"""Data types of forwarding: routes, services, endpoints, their load, and what a caller asks for.

Routes send requests unchanged to the endpoints of a service. The kind of a route says which
requests may be retried at another endpoint: ``safe`` ones always, ``unsafe`` ones never, and
streams only if their route is resumable.
"""

from ._record import Record

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"
KINDS = (SAFE, UNSAFE, STREAM)

PREFILL = "prefill"
DECODE = "decode"
# Longest request line or header field of a caller, in bytes, where the operator names no bound.
DEFAULT_MAX_HEADER_BYTES = 16 * 1024


class Route(Record):
    """One rule that sends the requests for a host and path to services.

    Args:
        name: Name of the route.
        host: Host that the requests name.
        path_prefix: Prefix of the paths; begins and ends with a slash.
        kind: ``safe``, ``unsafe`` or ``stream``.
        resumable: Whether a stream that breaks off may continue at another endpoint.
        max_attempts: Largest number of endpoints that may run one request.
        timeout: Seconds after which the caller gets a final answer.
        target_latency: Target for the time to the answer, or to a stream's first event, in seconds.
        target_gap: Target for the longest pause between a stream's events, in seconds; 0 if
            there is no target.
        priority: Priority, where 0 is the most urgent.
        services: Names of services, each with its weight.
        public: Whether callers need no key of an organisation.
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
        "public",
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
        public: bool = False,
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
        self.public = public

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent to another endpoint after one may have run it."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


class EngineTraits(Record):
    """What the engines of a service have in common.

    Args:
        slots: Largest number of requests in one batch.
        memory_tokens: Tokens of KV cache that an engine can store.
        hold_time: Longest time for which a place can be reserved, in seconds; 0 if engines
            reserve none.
        handle_time: Seconds for which an engine keeps a prefilled prompt for others to fetch.
        switch_time: Seconds for which an engine serves no requests while it changes its stage.
        stride: Largest number of tokens in one event of a stream.
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
    """Configuration of a service; ``engine`` is None unless its endpoints are model engines."""

    __slots__ = ("name", "max_connections", "engine")

    def __init__(
        self, *, name: str, max_connections: int, engine: EngineTraits | None = None
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.engine = engine


class UnreadAnswer(Record):
    """An answer of which a part waits in this process for its caller.

    Args:
        call_id: The call.
        size: Bytes that wait.
        stalled: Seconds for which the caller has taken nothing.
    """

    __slots__ = ("call_id", "size", "stalled")

    def __init__(self, *, call_id: str, size: int, stalled: float) -> None:
        self.call_id = call_id
        self.size = size
        self.stalled = stalled


class OrganisationLimit(Record):
    """How much an organisation may send to all hosts together.

    Args:
        rate: Tokens or requests a second, as ``counts_tokens`` says.
        burst: How many of them it may send at once beyond the rate.
        counts_tokens: Whether tokens are counted, those of the prompt and the longest output;
            otherwise requests are.
        plain_tokens: Tokens that a request without a stated length counts as.
    """

    __slots__ = ("rate", "burst", "counts_tokens", "plain_tokens")

    def __init__(
        self, *, rate: float, burst: float, counts_tokens: bool, plain_tokens: int = 0
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.counts_tokens = counts_tokens
        self.plain_tokens = plain_tokens

    def cost(self, ask: "Ask") -> int:
        """Return how much of the limit a request takes."""
        if not self.counts_tokens:
            return 1
        return ask.prompt_tokens + ask.max_tokens or self.plain_tokens


class Organisation(Record):
    """A customer of the operator, whose callers name one of its keys.

    Args:
        name: Name that endpoints are told.
        keys: Digests of its keys (`_caller_keys.digest`); the keys themselves are kept nowhere.
        priority: Priority that goes before that of the route, where 0 is the most urgent; None if
            the route's holds.
        limit: How much it may send, or None.
    """

    __slots__ = ("name", "keys", "priority", "limit")

    def __init__(
        self,
        *,
        name: str,
        keys: tuple[str, ...],
        priority: int | None = None,
        limit: OrganisationLimit | None = None,
    ) -> None:
        self.name = name
        self.keys = tuple(keys)
        self.priority = priority
        self.limit = limit


class RouteTable(Record):
    """One version of all routes, services and organisations.

    ``max_header_bytes`` is the longest request line or header field that a caller may send.
    ``organisations`` is None if the operator names none, so that callers need no key.
    ``unread_keys`` holds the digests of keys whose organisation can't be read; None if not all of
    them are known.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "max_header_bytes",
        "organisations",
        "unread_keys",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceTraits, ...],
        max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES,
        organisations: tuple[Organisation, ...] | None = None,
        unread_keys: tuple[str, ...] | None = (),
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = tuple(services)
        self.max_header_bytes = max_header_bytes
        self.organisations = None if organisations is None else tuple(organisations)
        self.unread_keys = None if unread_keys is None else tuple(unread_keys)


class Endpoint(Record):
    """One running endpoint of a service.

    Args:
        name: Identifier in the list of endpoints.
        born: Unix time at which it started, in milliseconds; 0 if unknown.
        service: Name of the service that it belongs to.
        address: ``host:port``.
        zone: Availability zone.
        leaving: Whether it takes no new work.
        slots: Largest number of requests that it processes at once.
        stage: ``prefill`` or ``decode`` for a model engine, otherwise empty.
        cold: Seconds after its start for which it is still slow.
        build: Version of its software, or empty if unknown.
    """

    __slots__ = (
        "name",
        "born",
        "service",
        "address",
        "zone",
        "leaving",
        "slots",
        "stage",
        "cold",
        "build",
    )

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
        build: str = "",
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
        self.build = build

    def as_leaving(self) -> "Endpoint":
        """Return a copy that takes no new work."""
        fields = {name: getattr(self, name) for name in self._fields}
        return Endpoint(**{**fields, "leaving": True})


class Listing(Record):
    """One entry of the list of endpoints: what a name stands for from an offset on.

    Args:
        name: Identifier of the endpoint.
        offset: Position of the entry in the list's history; a later entry has a higher
            offset.
        endpoint: The endpoint, or None if it was removed or can't be used.
    """

    __slots__ = ("name", "offset", "endpoint")

    def __init__(self, *, name: str, offset: int, endpoint: Endpoint | None) -> None:
        self.name = name
        self.offset = offset
        self.endpoint = endpoint


class Ask(Record):
    """A caller's request without its headers and body, which the runner keeps.

    Args:
        call_id: Identifies the call on this host.
        trace_id: The caller's identifier of this attempt, which is written to logs.
        host: Host that the request names.
        path: Path, without its query.
        deadline: Monotonic time until which the caller waits.
        prompt_tokens: Length of the prompt.
        max_tokens: Limit of the output, in tokens.
        length_hint: The caller's estimate of the output's length in tokens; 0 if it gave none.
        resumed: Whether the caller resumes a stream.
        resumes: Trace id of the call that brought the first event of a resumed stream, or empty.
        events_before: Number of events of a resumed stream that the caller has, as far as known.
        parts: Identifiers of the parts of the prompt that other requests may share, in order; none
            has a comma. They are kept joined in ``joined_parts``, as a prompt may have thousands.
        joined_parts: The same, if they are joined by commas already.
        fingerprints: Identifiers of the whole request, the same if it comes again; the widest one
            first.
        key: Digest of the key that the caller named (`_caller_keys.digest`), or empty.
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
        "resumes",
        "events_before",
        "joined_parts",
        "fingerprints",
        "key",
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
        resumes: str = "",
        events_before: int = 0,
        parts: tuple[str, ...] = (),
        joined_parts: str = "",
        fingerprints: tuple[str, ...] = (),
        key: str = "",
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
        self.resumes = resumes
        self.events_before = events_before
        self.joined_parts = joined_parts or ",".join(parts)
        self.fingerprints = tuple(fingerprints)
        self.key = key

    @property
    def parts(self) -> tuple[str, ...]:
        """Identifiers of the parts of the prompt that other requests may share, in order."""
        return tuple(self.joined_parts.split(",")) if self.joined_parts else ()

    @property
    def is_blockable(self) -> bool:
        """Whether anything identifies what may make an endpoint end."""
        return bool(self.joined_parts or self.fingerprints)

    @property
    def fingerprint(self) -> str:
        """The narrowest fingerprint, or an empty string if there is none."""
        return self.fingerprints[-1] if self.fingerprints else ""

    @property
    def blockable(self) -> tuple[str, ...]:
        """Identifiers of what may make an endpoint end: shared parts, and the whole request."""
        return self.parts + self.fingerprints


class StreamLoad(Record):
    """Size of one stream at an engine.

    Args:
        prompt: Tokens of its prompt.
        expected: Expected output, in tokens.
        begins: Monotonic time of its first token, or when that is expected.
    """

    __slots__ = ("prompt", "expected", "begins")

    def __init__(self, *, prompt: int, expected: int, begins: float) -> None:
        self.prompt = prompt
        self.expected = max(1, expected)
        self.begins = begins


class BegunStream(Record):
    """A stream that has begun at an endpoint.

    Args:
        name: Trace id of the call that brought its first event.
        service: Name of the service.
        build: Build of the endpoint, at which alone the stream may go on.
        began: Monotonic time at which it began, or went on last.
    """

    __slots__ = ("name", "service", "build", "began")

    def __init__(self, *, name: str, service: str, build: str, began: float) -> None:
        self.name = name
        self.service = service
        self.build = build
        self.began = began


# What a host saved is believed for this long; a running host saves more often.
MAX_SAVED_AGE_S = 150.0


class SavedBuilds(Record):
    """The builds at which a host's streams may have begun, as the host saved them.

    Args:
        age: Seconds since the host saved them.
        begun: Builds by service at which its streams may have begun since it started.
        lost: Builds by service at which streams may have begun that it forgot when it started,
            each with the seconds since that start.
        era: Era of the store in which they were saved; None if the host's version doesn't tell.
        era_age: Seconds for which that era is known to have been in force.
        shares: Those of ``lost`` at which only a share of the streams may have begun, by service.
        listed_upto: Position in the history of the list of endpoints up to which the host had read
            it; None if the host's version doesn't tell.
    """

    __slots__ = ("age", "begun", "lost", "era", "era_age", "shares", "listed_upto")

    def __init__(
        self,
        *,
        age: float,
        begun: dict[str, tuple[str, ...]],
        lost: dict[str, dict[str, float]],
        era: int | None = None,
        era_age: float = 0.0,
        shares: dict[str, dict[str, float]] | None = None,
        listed_upto: int | None = None,
    ) -> None:
        self.shares = shares or {}
        self.listed_upto = listed_upto
        self.age = age
        self.begun = begun
        self.lost = lost
        self.era = era
        self.era_age = era_age


class Crash(Record):
    """An endpoint that ended by itself, with what may have caused it.

    Args:
        endpoint: Name of the endpoint.
        born: Unix time at which the endpoint had started, in milliseconds; 0 if unknown.
        service: Name of its service.
        parts: Shared parts and fingerprints of the requests that it was beginning to answer.
        at: Monotonic time at which it ended.
    """

    __slots__ = ("endpoint", "born", "service", "parts", "at")

    def __init__(
        self, *, endpoint: str, born: int, service: str, parts: tuple[str, ...], at: float
    ) -> None:
        self.endpoint = endpoint
        self.born = born
        self.service = service
        self.parts = tuple(parts)
        self.at = at


class SoundPart(Record):
    """A part of prompts, or a request, with which an endpoint wrote an answer without ending.

    Args:
        service: Name of the service.
        part: Identifier of the part, or fingerprint of the request.
        at: Monotonic time at which that was seen last.
    """

    __slots__ = ("service", "part", "at")

    def __init__(self, *, service: str, part: str, at: float) -> None:
        self.service = service
        self.part = part
        self.at = at


class EndpointLimit(Record):
    """The requests a second that an endpoint takes from all hosts together.

    Args:
        endpoint: Name of the endpoint.
        rate: Requests a second; None once the endpoint names no limit any more.
        named_at: Monotonic time of the answer that showed this.
    """

    __slots__ = ("endpoint", "rate", "named_at")

    def __init__(self, *, endpoint: str, rate: float | None, named_at: float) -> None:
        self.endpoint = endpoint
        self.rate = rate
        self.named_at = named_at


class Findings(Record):
    """What one host has found out and saved: crashes, and suspected parts that are sound."""

    __slots__ = ("host", "crashes", "sound")

    def __init__(
        self, *, host: str, crashes: tuple[Crash, ...] = (), sound: tuple[SoundPart, ...] = ()
    ) -> None:
        self.host = host
        self.crashes = tuple(crashes)
        self.sound = tuple(sound)


class EndpointLoad(Record):
    """Load of one endpoint, caused by one host or by several together.

    Args:
        running: Requests sent to it, or with a place reserved there.
        reading: Prompt tokens that it was asked to prefill and has not prefilled yet.
        streams: Streams among the running requests.
    """

    __slots__ = ("running", "reading", "streams")

    def __init__(
        self, *, running: int = 0, reading: int = 0, streams: tuple[StreamLoad, ...] = ()
    ) -> None:
        self.running = running
        self.reading = reading
        self.streams = tuple(streams)


class EngineSign(Record):
    """What an endpoint said of its own load in an answer.

    Args:
        endpoint: Name of the endpoint.
        running: Requests that it was running.
        waiting: Requests that waited there.
        slots: Requests that it runs at once.
        slowness: How long work takes there, as a multiple of the usual; None if it did not say.
        at: Monotonic time of the answer.
        taken: Seconds of work that the teller measured there since it told last.
        expected: Seconds that this work should have taken by the endpoint's word.
    """

    __slots__ = (
        "endpoint",
        "running",
        "waiting",
        "slots",
        "slowness",
        "at",
        "taken",
        "expected",
    )

    def __init__(
        self,
        *,
        endpoint: str,
        running: int,
        waiting: int,
        slots: int,
        slowness: float | None,
        at: float,
        taken: float = 0.0,
        expected: float = 0.0,
    ) -> None:
        self.endpoint = endpoint
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowness = slowness
        self.at = at
        self.taken = taken
        self.expected = expected

    def with_times(self, taken: float, expected: float) -> "EngineSign":
        """Return the same sign with seconds of work."""
        return EngineSign(
            endpoint=self.endpoint,
            running=self.running,
            waiting=self.waiting,
            slots=self.slots,
            slowness=self.slowness,
            at=self.at,
            taken=taken,
            expected=expected,
        )
