"""Settings of an entry host, passed whole to whatever is built from them.

The constructors' annotations and defaults are also the schema of the settings file.
"""

from ._fields import (
    Address,
    File,
    Hex64,
    Name,
    NotNegative,
    PositiveInt,
    PositiveNumber,
    Seconds,
    Url,
    UrlOrEmpty,
)


class Listen:
    """Addresses that the host listens on; port 0 lets the system pick one.

    Args:
        callers: Address for callers, health and metrics, as ``host:port``.
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
        hosts: The host list.
        weights: The weight store, or empty where engines are not ordered to load.
    """

    __slots__ = ("log", "hosts", "weights")

    def __init__(self, *, log: Url, hosts: Url, weights: UrlOrEmpty = "") -> None:
        self.log = log
        self.hosts = hosts
        self.weights = weights


class Tls:
    """Certificate files in PEM form, which are read again when they change.

    Args:
        certificate: The host's certificate, followed by its chain.
        key: The certificate's private key.
        authority: Certificates that verify the other hosts.
    """

    __slots__ = ("certificate", "key", "authority")

    def __init__(self, *, certificate: File, key: File, authority: File) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority


class Limits:
    """Bounds on what callers may send and on what the host keeps.

    Args:
        max_body_bytes: Longest body of a call.
        max_header_bytes: Longest header line or field of a call.
        max_calls: Calls served at once.
        stream_buffer_bytes: Output buffered for one slow caller before reading pauses.
        header_timeout: Seconds a caller may take to send a whole request.
        default_deadline: Seconds a call waits if the caller names no deadline.
    """

    __slots__ = (
        "max_body_bytes",
        "max_header_bytes",
        "max_calls",
        "stream_buffer_bytes",
        "header_timeout",
        "default_deadline",
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
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes
        self.max_calls = max_calls
        self.stream_buffer_bytes = stream_buffer_bytes
        self.header_timeout = header_timeout
        self.default_deadline = default_deadline


class Timing:
    """Intervals and timeouts, all in seconds.

    Args:
        heartbeat: Between heartbeats to hosts of the zone.
        peer_suspect: Silence after which a host gets no new roles.
        peer_dead: Silence after which a host's work is taken over.
        host_list: Between readings of the host list.
        report: Between readings of an engine's report by its coordinator.
        reservation: Life of a reservation that is not renewed.
        renew: Between renewals of reservations.
        reap_grace: Time in which a retry may adopt a dead host's stream.
        caller_grace: Time in which a retry may adopt the stream of a caller that went away.
        cancel_retry: Between repeated cancels.
        stream_silence: Silence on a stream after which it is opened again.
        stall: Time without a token, though not silent, after which an engine is left.
        connect: To establish a connection.
        prefill: Longest prefill call.
        service: Longest service call.
        peer: Longest call to another host.
        log: Longest append or read of the log.
        log_poll: Longest wait of a tail for new records.
        drain: Longest graceful shutdown.
        stop_notice: Shortest graceful shutdown, in which a balancer notices it.
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
        stop_notice: NotNegative = 0.0,
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


class Targets:
    """Latency targets, in seconds.

    Args:
        first_output: From a request's first call to its first output.
        between_outputs: Between two outputs of one stream.
        may_wait: From a request's first call to its first output, where its plan may wait.
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
    """Settings of work that may run only once.

    Args:
        shards: Log streams that the keys are spread over; equal on all hosts.
        commit_interval: Seconds between group commits to one stream.
        horizon: Age in seconds at which a key without a record is refused.
        keep: Seconds for which the log keeps a record.
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
    """Settings of orders to engines; equal on all hosts.

    Args:
        lease: Seconds for which a lease holds unless it is renewed.
        longest: Seconds after which an order that an engine took has ended.
        weight_bytes: Size of the largest model version in the weight store.
        weight_rate: Bytes per second that all hosts together may let engines read from it.
    """

    __slots__ = ("lease", "longest", "weight_bytes", "weight_rate")

    def __init__(
        self,
        *,
        lease: Seconds = 30.0,
        longest: Seconds = 60.0,
        weight_bytes: NotNegative = 0.0,
        weight_rate: PositiveNumber = 1e9,
    ) -> None:
        self.lease = lease
        self.longest = longest
        self.weight_bytes = weight_bytes
        self.weight_rate = weight_rate


class Forwarding:
    """Settings of a host that forwards by routes.

    Args:
        ready: Address that answers whether the host is ready, as ``host:port``.
        datagrams: Address for datagrams of other hosts, as ``host:port``.
        retry_ratio: Repeats that all hosts may send, as a share of a service's requests.
        retry_slack: Repeats that all hosts may send besides in each window.
        retry_window: Seconds of that window.
    """

    __slots__ = ("ready", "datagrams", "retry_ratio", "retry_slack", "retry_window")

    def __init__(
        self,
        *,
        ready: Address = "127.0.0.1:0",
        datagrams: Address = "127.0.0.1:0",
        retry_ratio: NotNegative = 0.2,
        retry_slack: NotNegative = 50.0,
        retry_window: Seconds = 10.0,
    ) -> None:
        self.ready = ready
        self.datagrams = datagrams
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window = retry_window


class Settings:
    """All settings of one entry host.

    Args:
        host: Name of the host, as in the host list.
        zone: Availability zone.
        region: Region of the availability zone.
        platform: Where the platform's services are.
        listen: Where the host listens.
        tls: Certificates, or None for plain HTTP.
        limits: Bounds on callers.
        timing: Intervals and timeouts.
        once: Settings of work that may run only once.
        targets: Latency targets.
        orders: Settings of orders to engines.
        forwarding: Settings of forwarding by routes, or None where the host does none.
        publishers: Public keys of publishers by key id, hexadecimal Ed25519.
        trace: File that events are recorded to, or empty. It holds answers of plain services and
            what the log holds, so that it wants the same care as these.
        trace_bytes: Longest trace; recording stops there.
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
