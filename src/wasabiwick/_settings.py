"""Settings of an entry host; the constructors are also the schema of the settings file.

A constructor's arguments are the keys of a section, with their types, rules and defaults. Code that
depends on settings takes whole settings objects, not single values.
"""

from ._fields import (
    Address,
    File,
    Hex64,
    Name,
    NonNegative,
    PositiveInt,
    PositiveNumber,
    Seconds,
    Url,
    UrlOrEmpty,
)


class Listen:
    """Addresses that the host listens on; with port 0 the operating system picks a free port.

    Args:
        callers: Address for callers, health checks and metrics, as ``host:port``.
        peers: Address for other entry hosts, as ``host:port``.
    """

    __slots__ = ("callers", "peers")

    def __init__(self, *, callers: Address = "127.0.0.1:0", peers: Address = "127.0.0.1:0") -> None:
        self.callers = callers
        self.peers = peers


class Platform:
    """Base URLs of the platform's services.

    Args:
        log: The append-only log service.
        hosts: The host list service.
        weights: The model weight store; empty if the hosts do not order engines to load models.
    """

    __slots__ = ("log", "hosts", "weights")

    def __init__(self, *, log: Url, hosts: Url, weights: UrlOrEmpty = "") -> None:
        self.log = log
        self.hosts = hosts
        self.weights = weights


class Tls:
    """TLS certificate files in PEM format, which are reloaded when they change.

    Args:
        certificate: The host's certificate, followed by its chain.
        key: The certificate's private key.
        authority: CA certificates that verify the other hosts' certificates.
    """

    __slots__ = ("certificate", "key", "authority")

    def __init__(self, *, certificate: File, key: File, authority: File) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority


class Limits:
    """Limits on what callers may send and on what the host keeps for them.

    Args:
        max_body_bytes: Maximum size of a call's body.
        max_header_bytes: Maximum length of a call's request line and of each header field.
        max_calls: Maximum number of calls that the host serves at the same time.
        stream_buffer_bytes: Bytes of output that the host buffers for one slow caller before it
            stops reading from the engine.
        header_timeout: Seconds that a caller may take to send the headers, and again for the body.
        default_deadline: Seconds that a call may wait if its caller sets no deadline.
        request_bodies_bytes: Bytes of callers' bodies that a forwarding host holds together.
        answer_bodies_bytes: Bytes of endpoints' answers that it holds together, of those that it
            holds as a whole.
        unread_answers_bytes: Bytes of answers that may wait in a forwarding host for callers that
            have not read them.
    """

    __slots__ = (
        "max_body_bytes",
        "max_header_bytes",
        "max_calls",
        "stream_buffer_bytes",
        "header_timeout",
        "default_deadline",
        "request_bodies_bytes",
        "answer_bodies_bytes",
        "unread_answers_bytes",
    )

    def __init__(
        self,
        *,
        max_body_bytes: PositiveInt = 4 * 1024 * 1024,
        max_header_bytes: PositiveInt = 8 * 1024,
        max_calls: PositiveInt = 4_000,
        stream_buffer_bytes: PositiveInt = 64 * 1024,
        header_timeout: Seconds = 5.0,
        default_deadline: Seconds = 60.0,
        request_bodies_bytes: PositiveInt = 64 * 1024 * 1024,
        answer_bodies_bytes: PositiveInt = 32 * 1024 * 1024,
        unread_answers_bytes: PositiveInt = 32 * 1024 * 1024,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes
        self.max_calls = max_calls
        self.stream_buffer_bytes = stream_buffer_bytes
        self.header_timeout = header_timeout
        self.default_deadline = default_deadline
        self.request_bodies_bytes = request_bodies_bytes
        self.answer_bodies_bytes = answer_bodies_bytes
        self.unread_answers_bytes = unread_answers_bytes


class Timing:
    """Intervals and timeouts, all in seconds.

    Args:
        heartbeat: Interval between a host's heartbeats to the other hosts of its zone.
        peer_suspect: Time without a heartbeat from a host after which it gets no new coordinator
            roles.
        peer_dead: Time without a heartbeat from a host after which other hosts take over its work.
        host_list: Interval between reads of the host list.
        report: Interval at which a coordinator reads the report of each of its engines.
        reservation: Time after which an engine slot's reservation expires unless it is renewed.
        renew: Interval at which a host renews its reservations.
        reap_grace: Time that a retry has to take over the stream of a dead host before the stream
            is cancelled.
        caller_grace: Time that a disconnected caller has to retry and take over its stream.
        cancel_retry: Wait before an unconfirmed cancel request is first repeated; later waits are
            longer.
        stream_silence: Time without any data on a stream after which the stream is reopened.
        stall: Time without a new token on an open stream after which the stream is given up.
        connect: Timeout for establishing a connection.
        prefill: Timeout of a prefill call to an engine.
        service: Timeout of a call to a plain service.
        peer: Timeout of a call to another host.
        log: Timeout of an append to the log or a read of it.
        log_poll: Longest time that a read at the end of the log waits for new records.
        drain: Longest duration of a graceful shutdown.
        stop_notice: Shortest duration of a graceful shutdown, which gives load balancers the time
            to notice that the host is no longer ready. Only during that time are streams accepted
            that may be cut off at the end.
        signal_delay: Longest time by which a graceful shutdown ends earlier as its signal may have
            been sent before the process noticed it.
    """

    __slots__ = (
        "heartbeat",
        "peer_suspect",
        "peer_dead",
        "host_list",
        "report",
        "reservation",
        "renew",
        "reap_grace",
        "caller_grace",
        "cancel_retry",
        "stream_silence",
        "stall",
        "connect",
        "prefill",
        "service",
        "peer",
        "log",
        "log_poll",
        "drain",
        "stop_notice",
        "signal_delay",
    )

    def __init__(
        self,
        *,
        heartbeat: Seconds = 0.5,
        peer_suspect: Seconds = 1.5,
        peer_dead: Seconds = 3.0,
        host_list: Seconds = 1.0,
        report: Seconds = 0.25,
        reservation: Seconds = 3.0,
        renew: Seconds = 1.0,
        reap_grace: Seconds = 1.0,
        caller_grace: Seconds = 0.25,
        cancel_retry: Seconds = 0.5,
        stream_silence: Seconds = 2.0,
        stall: Seconds = 5.0,
        connect: Seconds = 1.0,
        prefill: Seconds = 30.0,
        service: Seconds = 30.0,
        peer: Seconds = 1.0,
        log: Seconds = 2.0,
        log_poll: Seconds = 10.0,
        drain: Seconds = 120.0,
        stop_notice: NonNegative = 0.0,
        signal_delay: NonNegative = 0.0,
    ) -> None:
        self.heartbeat = heartbeat
        self.peer_suspect = peer_suspect
        self.peer_dead = peer_dead
        self.host_list = host_list
        self.report = report
        self.reservation = reservation
        self.renew = renew
        self.reap_grace = reap_grace
        self.caller_grace = caller_grace
        self.cancel_retry = cancel_retry
        self.stream_silence = stream_silence
        self.stall = stall
        self.connect = connect
        self.prefill = prefill
        self.service = service
        self.peer = peer
        self.log = log
        self.log_poll = log_poll
        self.drain = drain
        self.stop_notice = stop_notice
        self.signal_delay = signal_delay


class Targets:
    """Latency targets, in seconds.

    Args:
        first_output: Time from a request's first call to its first output.
        between_outputs: Time between two consecutive output tokens of one stream.
        may_wait: Time from a request's first call to its first output if the request's plan has
            ``may_wait`` set.
    """

    __slots__ = ("first_output", "between_outputs", "may_wait")

    def __init__(
        self,
        *,
        first_output: Seconds = 2.0,
        between_outputs: Seconds = 0.054,
        may_wait: Seconds = 60.0,
    ) -> None:
        self.first_output = first_output
        self.between_outputs = between_outputs
        self.may_wait = may_wait


class Once:
    """Settings of calls that are executed at most once.

    Args:
        shards: Number of log streams that the idempotency keys are spread over; must be equal on
            all hosts.
        commit_interval: Seconds between group commits to one log stream.
        horizon: Age in seconds above which a key without a record in the log is refused.
        keep: Seconds for which the log service keeps a key's records.
    """

    __slots__ = ("shards", "commit_interval", "horizon", "keep")

    def __init__(
        self,
        *,
        shards: PositiveInt = 16,
        commit_interval: Seconds = 0.02,
        horizon: Seconds = 86_400.0,
        keep: Seconds = 172_800.0,
    ) -> None:
        self.shards = shards
        self.commit_interval = commit_interval
        self.horizon = horizon
        self.keep = keep


class Orders:
    """Settings of the orders that hosts give to engines; must be equal on all hosts.

    Args:
        lease: Seconds after which a lease, a host's right to give orders, expires unless renewed.
        longest: Seconds after which an engine has certainly finished an order that it accepted.
        weight_bytes: Size in bytes of the largest model version in the weight store.
        weight_rate: Bytes per second that all engines together may read from the weight store.
    """

    __slots__ = ("lease", "longest", "weight_bytes", "weight_rate")

    def __init__(
        self,
        *,
        lease: Seconds = 30.0,
        longest: Seconds = 60.0,
        weight_bytes: NonNegative = 0.0,
        weight_rate: PositiveNumber = 1e9,
    ) -> None:
        self.lease = lease
        self.longest = longest
        self.weight_bytes = weight_bytes
        self.weight_rate = weight_rate


class Forwarding:
    """Settings of a host that forwards calls to endpoints by its table of routes.

    Args:
        ready: Address of the readiness check, as ``host:port``.
        datagrams: Address for datagrams from other hosts, as ``host:port``.
        hops: Address for requests that other hosts pass to this one, as ``host:port``.
        retry_ratio: Retries that all hosts together may send in a window, as a share of the
            requests to the same service.
        retry_slack: Retries to one service that all hosts together may send in a window in addition
            to the share in ``retry_ratio``.
        retry_window: Length in seconds of the window in which requests and retries are counted.
        list_pause: Seconds between two reads of the list of endpoints.
        read_silence: Seconds without news of the store from other hosts after which a host that
            relies on them reads the store itself.
        limit_window: Length in seconds of the window in which organisations' use is counted.
        limit_overshoot: Share of what an organisation's limit allows in a window by which it may be
            exceeded at most.
        limit_slack: Tokens, or requests, by which it may be exceeded in addition.
        keep_rooms: Whether engines keep room for more urgent and for larger generations.
    """

    __slots__ = (
        "ready",
        "datagrams",
        "hops",
        "retry_ratio",
        "retry_slack",
        "retry_window",
        "list_pause",
        "read_silence",
        "limit_window",
        "limit_overshoot",
        "limit_slack",
        "keep_rooms",
    )

    def __init__(
        self,
        *,
        ready: Address = "127.0.0.1:0",
        datagrams: Address = "127.0.0.1:0",
        hops: Address = "127.0.0.1:0",
        retry_ratio: NonNegative = 0.2,
        retry_slack: NonNegative = 50.0,
        retry_window: Seconds = 10.0,
        list_pause: Seconds = 0.7,
        read_silence: Seconds = 0.8,
        limit_window: Seconds = 8.0,
        limit_overshoot: NonNegative = 0.1,
        limit_slack: NonNegative = 0.0,
        keep_rooms: bool = False,
    ) -> None:
        self.ready = ready
        self.datagrams = datagrams
        self.hops = hops
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window = retry_window
        self.list_pause = list_pause
        self.read_silence = read_silence
        self.limit_window = limit_window
        self.limit_overshoot = limit_overshoot
        self.limit_slack = limit_slack
        self.keep_rooms = keep_rooms


class Settings:
    """All settings of one entry host.

    Args:
        host: Name of the host, as in the host list.
        zone: Availability zone.
        region: Region of the availability zone.
        platform: Base URLs of the platform's services.
        listen: Addresses that the host listens on.
        tls: TLS certificates, or None for plain HTTP.
        limits: Limits on what callers may send and on what the host keeps for them.
        timing: Intervals and timeouts.
        once: Settings of calls that are executed at most once.
        targets: Latency targets.
        orders: Settings of orders to engines.
        forwarding: Settings of forwarding by routes, or None if the host does not forward.
        publishers: Ed25519 public keys of publishers in hexadecimal, by key id.
        trace: File that events are recorded to, or empty to record none. It contains answers of
            plain services and records of the log, so protect it as carefully as these.
        trace_bytes: Maximum size of the trace; recording stops when it is reached.
    """

    __slots__ = (
        "host",
        "zone",
        "region",
        "platform",
        "listen",
        "tls",
        "limits",
        "timing",
        "once",
        "targets",
        "orders",
        "forwarding",
        "publishers",
        "trace",
        "trace_bytes",
    )

    def __init__(
        self,
        *,
        host: Name,
        zone: Name,
        region: Name,
        platform: Platform,
        listen: Listen | None = None,
        tls: Tls | None = None,
        limits: Limits | None = None,
        timing: Timing | None = None,
        once: Once | None = None,
        targets: Targets | None = None,
        orders: Orders | None = None,
        forwarding: Forwarding | None = None,
        publishers: dict[str, Hex64] | None = None,
        trace: str = "",
        trace_bytes: PositiveInt = 64 * 1024 * 1024,
    ) -> None:
        self.host = host
        self.zone = zone
        self.region = region
        self.platform = platform
        self.listen = listen or Listen()
        self.tls = tls
        self.limits = limits or Limits()
        self.timing = timing or Timing()
        self.once = once or Once()
        self.targets = targets or Targets()
        self.orders = orders or Orders()
        self.forwarding = forwarding
        self.publishers = publishers or {}
        self.trace = trace
        self.trace_bytes = trace_bytes
