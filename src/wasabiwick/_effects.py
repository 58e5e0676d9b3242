"""Effects: the actions that the reducer asks the runner to carry out."""

from ._errors import Failure
from ._record import Record
from ._wire import Message, OrderAsk


class Effect(Record):
    """Base of all effects."""

    __slots__ = ()


class StartTimer(Effect):
    """Raise `TimerFired` after ``delay`` seconds; replaces a timer of the same name and key."""

    __slots__ = ("timer", "key", "delay")

    def __init__(self, *, timer: str, delay: float, key: str = "") -> None:
        self.timer = timer
        self.key = key
        self.delay = delay


class EnsureTimer(StartTimer):
    """The same, unless a timer of this name and key is running, which is left as it is."""

    __slots__ = ()


class StopTimer(Effect):
    """Cancel a timer, if it is running."""

    __slots__ = ("timer", "key")

    def __init__(self, *, timer: str, key: str = "") -> None:
        self.timer = timer
        self.key = key


# --- Callers -------------------------------------------------------------------------------------


class RefuseCall(Effect):
    """Answer a call with a failure."""

    __slots__ = ("call_id", "failure")

    def __init__(self, *, call_id: str, failure: Failure) -> None:
        self.call_id = call_id
        self.failure = failure


class AttachCall(Effect):
    """Relay the request's stream to this call, starting with the first token."""

    __slots__ = ("call_id", "request_id")

    def __init__(self, *, call_id: str, request_id: str) -> None:
        self.call_id = call_id
        self.request_id = request_id


class CloseCall(Effect):
    """Close a call's connection without any answer, because a newer call replaced it."""

    __slots__ = ("call_id",)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class AnswerCall(Effect):
    """Answer a service call with the endpoint's whole answer."""

    __slots__ = ("call_id", "status", "body", "content_type")

    def __init__(self, *, call_id: str, status: int, body: str, content_type: str) -> None:
        self.call_id = call_id
        self.status = status
        self.body = body
        self.content_type = content_type


class FinishStream(Effect):
    """End the answer of the call attached to a request; all its tokens have arrived."""

    __slots__ = ("call_id", "request_id", "finish")

    def __init__(self, *, call_id: str, request_id: str, finish: str) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.finish = finish


class ForgetRequest(Effect):
    """Drop the body and buffered output that the runner keeps for a request."""

    __slots__ = ("request_id",)

    def __init__(self, *, request_id: str) -> None:
        self.request_id = request_id


# --- Engines and services ------------------------------------------------------------------------


class AttemptEffect(Effect):
    """Base of effects on one attempt at one endpoint."""

    __slots__ = ("request_id", "attempt_id", "endpoint")

    def __init__(self, *, request_id: str, attempt_id: str, endpoint: str) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.endpoint = endpoint


class StartPrefill(AttemptEffect):
    """Prefill the request's prompt, and the output it has so far, at an engine."""

    __slots__ = ("model", "priority")

    def __init__(
        self, *, request_id: str, attempt_id: str, endpoint: str, model: str, priority: int
    ) -> None:
        super().__init__(request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.model = model
        self.priority = priority


class StartDecode(AttemptEffect):
    """Import the KV cache from the engine ``source`` and stream the request's output."""

    __slots__ = ("model", "source", "handle", "max_tokens", "priority")

    def __init__(
        self,
        *,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        model: str,
        source: str,
        handle: str,
        max_tokens: int,
        priority: int,
    ) -> None:
        super().__init__(request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.model = model
        self.source = source
        self.handle = handle
        self.max_tokens = max_tokens
        self.priority = priority


class ResumeStream(AttemptEffect):
    """Reopen a running attempt's stream at the first offset that this host has not received.

    With ``takeover``, the engine makes this host the attempt's owner. Without it, the engine
    refuses if another host has become the owner.
    """

    __slots__ = ("takeover",)

    def __init__(
        self, *, request_id: str, attempt_id: str, endpoint: str, takeover: bool = False
    ) -> None:
        super().__init__(request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.takeover = takeover


class DropStream(AttemptEffect):
    """Stop reading an attempt's stream and drop late frames, without notifying the engine."""

    __slots__ = ()


class CancelAttempt(AttemptEffect):
    """Cancel an attempt at an engine; raises `CancelAnswered` or `AttemptFailed`."""

    __slots__ = ()


class CallService(AttemptEffect):
    """Send the request's body to a plain service, once, on a new connection."""

    __slots__ = ("service", "method", "path", "fence")

    def __init__(
        self,
        *,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        service: str,
        method: str,
        path: str,
        fence: int = -1,
    ) -> None:
        super().__init__(request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.service = service
        self.method = method
        self.path = path
        self.fence = fence


class QueryService(AttemptEffect):
    """Ask a service for the outcome of a call by its key; answers arrive as `ServiceAnswered`.

    A service that honours fencing then refuses calls with a fencing token below ``fence``.
    """

    __slots__ = ("service", "fence")

    def __init__(
        self, *, request_id: str, attempt_id: str, endpoint: str, service: str, fence: int = -1
    ) -> None:
        super().__init__(request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.service = service
        self.fence = fence


class FetchReport(Effect):
    """Ask an engine for its load report; raises `EngineReported` or `EngineSilent`."""

    __slots__ = ("endpoint",)

    def __init__(self, *, endpoint: str) -> None:
        self.endpoint = endpoint


class FetchCacheEvents(Effect):
    """Ask an engine for its prefix cache events after ``sequence``; raises `CacheChanged`."""

    __slots__ = ("endpoint", "sequence")

    def __init__(self, *, endpoint: str, sequence: int) -> None:
        self.endpoint = endpoint
        self.sequence = sequence


class OrderEngine(AttemptEffect):
    """Send an engine an order on its models or roles; raises `OrderAnswered` or `AttemptFailed`."""

    __slots__ = ("order",)

    def __init__(self, *, request_id: str, attempt_id: str, endpoint: str, order: OrderAsk) -> None:
        super().__init__(request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.order = order


# --- Peers and platform --------------------------------------------------------------------------


class SendPeer(Effect):
    """Send a message to a host; a message to this host itself is delivered as an event."""

    __slots__ = ("host", "message")

    def __init__(self, *, host: str, message: Message) -> None:
        self.host = host
        self.message = message


class AppendLog(Effect):
    """Append records to a stream in one request; raises `LogAppended` or `LogAppendFailed`."""

    __slots__ = ("stream", "tag", "records")

    def __init__(self, *, stream: str, tag: str, records: tuple[Message, ...]) -> None:
        self.stream = stream
        self.tag = tag
        self.records = tuple(records)


class TailLog(Effect):
    """Follow a stream from an offset; raises `LogRead` with an empty tag as records arrive."""

    __slots__ = ("stream", "offset")

    def __init__(self, *, stream: str, offset: int) -> None:
        self.stream = stream
        self.offset = offset


class StopTail(Effect):
    """Stop following a stream."""

    __slots__ = ("stream",)

    def __init__(self, *, stream: str) -> None:
        self.stream = stream


class ReadLog(Effect):
    """Read a stream from an offset to its current end; raises `LogRead` or `LogReadFailed`."""

    __slots__ = ("stream", "tag", "offset")

    def __init__(self, *, stream: str, tag: str, offset: int) -> None:
        self.stream = stream
        self.tag = tag
        self.offset = offset


class FetchHostList(Effect):
    """Read the host list; raises `HostsListed` or `HostListFailed`."""

    __slots__ = ()


class EndProcess(Effect):
    """Exit the process with status 0 at the end of a graceful shutdown."""

    __slots__ = ()


class LogLine(Effect):
    """Write one structured log line."""

    __slots__ = ("event", "fields")

    def __init__(self, *, event: str, fields: dict[str, object]) -> None:
        self.event = event
        self.fields = fields


class ReportFault(Effect):
    """Log and count an exception of a handler, which must not affect other requests.

    Args:
        handler: Module and name of the handler.
        cause: Name of the class of the event that it handled.
        request: Ids of the call and the request that the event was about, or empty.
        error: The exception.
        trace: Files, lines and functions that led to it, innermost last.
    """

    __slots__ = ("handler", "cause", "request", "error", "trace")

    def __init__(self, *, handler: str, cause: str, request: str, error: str, trace: str) -> None:
        self.handler = handler
        self.cause = cause
        self.request = request
        self.error = error
        self.trace = trace


class Count(Effect):
    """Add to a counter metric."""

    __slots__ = ("metric", "label", "amount")

    def __init__(self, *, metric: str, label: str = "", amount: float = 1) -> None:
        self.metric = metric
        self.label = label
        self.amount = amount


class Observe(Effect):
    """Add a value in seconds to a latency metric."""

    __slots__ = ("metric", "label", "value")

    def __init__(self, *, metric: str, value: float, label: str = "") -> None:
        self.metric = metric
        self.label = label
        self.value = value
