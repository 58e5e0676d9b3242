"""Events: everything that can reach the reducer.

Every event carries ``at``, the host's monotonic clock in seconds. Internal events are raised by one
handler for others and are handled within the same call of the reducer.
"""

import typing

from ._effects import AttemptEffect
from ._errors import Failure
from ._record import Record
from ._wire import CacheEvent, EngineReport, HostEntry, LogRecord, Message, Owner


class Event(Record):
    """Base of all events."""

    __slots__ = ("at",)

    def __init__(self, *, at: float) -> None:
        self.at = at


class Call(Record):
    """What a caller asked for, without its body.

    Args:
        call_id: Identifies the caller's connection on this host.
        request_id: The Idempotency-Key, or a generated identifier.
        has_key: Whether the caller gave the Idempotency-Key.
        key_hash: Hash of the caller's API key, hexadecimal.
        kind: ``generate`` or ``service``.
        target: Model of a generation, or name of a service.
        method: HTTP method of a service call.
        path: Path of a service call below the service's root.
        digest: Hash of the body, hexadecimal.
        prompt_tokens: Estimated length of the prompt in tokens.
        max_tokens: Longest output in tokens.
        pieces: Hash chain over the prompt's fixed-size pieces.
        born: Unix time at which the key was made, or 0 where unknown.
        deadline: Monotonic time until which the caller waits.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "has_key",
        "key_hash",
        "kind",
        "target",
        "method",
        "path",
        "digest",
        "prompt_tokens",
        "max_tokens",
        "pieces",
        "born",
        "deadline",
    )

    def __init__(
        self,
        *,
        call_id: str,
        request_id: str,
        has_key: bool,
        key_hash: str,
        kind: str,
        target: str,
        deadline: float,
        method: str = "POST",
        path: str = "",
        digest: str = "",
        prompt_tokens: int = 0,
        max_tokens: int = 0,
        pieces: tuple[int, ...] = (),
        born: float = 0.0,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.has_key = has_key
        self.key_hash = key_hash
        self.kind = kind
        self.target = target
        self.deadline = deadline
        self.method = method
        self.path = path
        self.digest = digest
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.pieces = tuple(pieces)
        self.born = born


# --- Life of the host ----------------------------------------------------------------------------


class Booted(Event):
    """The process started; ``wall`` is Unix time at ``at`` and ``seed`` feeds the host's jitter."""

    __slots__ = ("owner", "zone", "wall", "seed")

    def __init__(self, *, at: float, owner: Owner, zone: str, wall: float, seed: int) -> None:
        super().__init__(at=at)
        self.owner = owner
        self.zone = zone
        self.wall = wall
        self.seed = seed


class StopAsked(Event):
    """The operator or the platform asked for a graceful shutdown."""

    __slots__ = ()


class TimerFired(Event):
    """A timer that `StartTimer` set has run out."""

    __slots__ = ("timer", "key")

    def __init__(self, *, at: float, timer: str, key: str = "") -> None:
        super().__init__(at=at)
        self.timer = timer
        self.key = key


# --- Callers -------------------------------------------------------------------------------------


class CallArrived(Event):
    """A caller sent a whole, well-formed request."""

    __slots__ = ("call",)

    def __init__(self, *, at: float, call: Call) -> None:
        super().__init__(at=at)
        self.call = call


class CallerGone(Event):
    """A caller's connection ended before its answer did."""

    __slots__ = ("call_id", "request_id")

    def __init__(self, *, at: float, call_id: str, request_id: str) -> None:
        super().__init__(at=at)
        self.call_id = call_id
        self.request_id = request_id


class CallAnswered(Event):
    """The whole answer was written to the caller's connection."""

    __slots__ = ("call_id", "request_id")

    def __init__(self, *, at: float, call_id: str, request_id: str) -> None:
        super().__init__(at=at)
        self.call_id = call_id
        self.request_id = request_id


# --- Engines -------------------------------------------------------------------------------------


class AttemptEvent(Event):
    """Base of events that concern one attempt at one endpoint."""

    __slots__ = ("request_id", "attempt_id", "endpoint")

    def __init__(self, *, at: float, request_id: str, attempt_id: str, endpoint: str) -> None:
        super().__init__(at=at)
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.endpoint = endpoint

    @classmethod
    def about(
        cls, attempt: "AttemptEvent | AttemptEffect", *, at: float, **fields: object
    ) -> typing.Self:
        """Make an event that concerns the attempt of an effect, or of another event."""
        return cls(
            at=at,
            request_id=attempt.request_id,
            attempt_id=attempt.attempt_id,
            endpoint=attempt.endpoint,
            **fields,
        )


class PrefillDone(AttemptEvent):
    """A prefill ended; its KV cache can be fetched for ``expires_in`` seconds."""

    __slots__ = ("handle", "expires_in", "prompt_tokens", "cached_tokens", "seconds")

    def __init__(
        self,
        *,
        at: float,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        handle: str,
        expires_in: float,
        prompt_tokens: int,
        cached_tokens: int,
        seconds: float,
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.handle = handle
        self.expires_in = expires_in
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = cached_tokens
        self.seconds = seconds


class AttemptFailed(AttemptEvent):
    """A call to an endpoint failed.

    ``phase`` is ``prefill``, ``decode``, ``resume``, ``cancel``, ``service`` or ``order``.
    """

    __slots__ = ("phase", "failure")

    def __init__(
        self,
        *,
        at: float,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        phase: str,
        failure: Failure,
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.phase = phase
        self.failure = failure


class StreamProgress(AttemptEvent):
    """A batch of ``count`` tokens arrived, the last at ``offset``."""

    __slots__ = ("count", "offset")

    def __init__(
        self,
        *,
        at: float,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        count: int,
        offset: int,
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.count = count
        self.offset = offset


class StreamEnded(AttemptEvent):
    """The engine said that the output is complete; ``finish`` is ``stop`` or ``length``."""

    __slots__ = ("offset", "finish")

    def __init__(
        self,
        *,
        at: float,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        offset: int,
        finish: str,
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.offset = offset
        self.finish = finish


class CancelAnswered(AttemptEvent):
    """An engine answered a cancel; ``gone`` is true once it holds no memory for the attempt."""

    __slots__ = ("gone",)

    def __init__(
        self, *, at: float, request_id: str, attempt_id: str, endpoint: str, gone: bool
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.gone = gone


class EngineReported(Event):
    """An engine's load report arrived."""

    __slots__ = ("report",)

    def __init__(self, *, at: float, report: EngineReport) -> None:
        super().__init__(at=at)
        self.report = report


class EngineSilent(Event):
    """An engine did not answer the request for its report."""

    __slots__ = ("endpoint",)

    def __init__(self, *, at: float, endpoint: str) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint


class CacheChanged(Event):
    """Prefix cache events of an engine arrived."""

    __slots__ = ("endpoint", "changes")

    def __init__(self, *, at: float, endpoint: str, changes: tuple[CacheEvent, ...]) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.changes = tuple(changes)


class OrderAnswered(AttemptEvent):
    """An engine accepted or refused an order; ``accepted`` says which."""

    __slots__ = ("accepted",)

    def __init__(
        self, *, at: float, request_id: str, attempt_id: str, endpoint: str, accepted: bool
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.accepted = accepted


# --- Plain services ------------------------------------------------------------------------------


class ServiceAnswered(AttemptEvent):
    """A plain service answered a call with a whole body."""

    __slots__ = ("status", "body", "content_type")

    def __init__(
        self,
        *,
        at: float,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        status: int,
        body: str,
        content_type: str = "application/json",
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.status = status
        self.body = body
        self.content_type = content_type


# --- Peers and platform --------------------------------------------------------------------------


class PeerMessage(Event):
    """A message from another host, or from this one to itself, arrived."""

    __slots__ = ("sender", "zone", "message")

    def __init__(self, *, at: float, sender: Owner, zone: str, message: Message) -> None:
        super().__init__(at=at)
        self.sender = sender
        self.zone = zone
        self.message = message


class PeerFailed(Event):
    """A message to another host was not acknowledged; it may have arrived."""

    __slots__ = ("host", "message", "verdict")

    def __init__(self, *, at: float, host: str, message: Message, verdict: object) -> None:
        super().__init__(at=at)
        self.host = host
        self.message = message
        self.verdict = verdict


class LogAppended(Event):
    """The log service confirmed an append; ``offset`` is that of its first record."""

    __slots__ = ("stream", "tag", "offset")

    def __init__(self, *, at: float, stream: str, tag: str, offset: int) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag
        self.offset = offset


class LogAppendFailed(Event):
    """An append was not confirmed; the failure's verdict says whether it may have happened."""

    __slots__ = ("stream", "tag", "failure")

    def __init__(self, *, at: float, stream: str, tag: str, failure: Failure) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag
        self.failure = failure


class LogRead(Event):
    """Records of a stream arrived in order, by a tail (empty ``tag``) or by a single read.

    ``first`` is the oldest offset that the log keeps and ``end`` the offset after the last record
    that existed when the log answered; a read reached the end if ``next`` equals ``end``.
    """

    __slots__ = ("stream", "tag", "records", "next", "first", "end")

    def __init__(
        self,
        *,
        at: float,
        stream: str,
        tag: str,
        records: tuple[LogRecord, ...],
        next: int,
        first: int,
        end: int,
    ) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag
        self.records = tuple(records)
        self.next = next
        self.first = first
        self.end = end


class LogReadFailed(Event):
    """The log service did not answer a read."""

    __slots__ = ("stream", "tag")

    def __init__(self, *, at: float, stream: str, tag: str) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag


class HostsListed(Event):
    """The host list was read."""

    __slots__ = ("entries",)

    def __init__(self, *, at: float, entries: tuple[HostEntry, ...]) -> None:
        super().__init__(at=at)
        self.entries = tuple(entries)


class HostListFailed(Event):
    """The host list could not be read."""

    __slots__ = ()


# --- Internal events -----------------------------------------------------------------------------


class RequestEvent(Event):
    """Base of internal events that concern one request."""

    __slots__ = ("request_id",)

    def __init__(self, *, at: float, request_id: str) -> None:
        super().__init__(at=at)
        self.request_id = request_id


class AdmissionWanted(RequestEvent):
    """A request awaits the decision whether its customer's plan lets it in."""

    __slots__ = ()


class AdmissionGiven(RequestEvent):
    """The plan lets the request in; its share is held until `RequestClosed`."""

    __slots__ = ()


class RequestDenied(RequestEvent):
    """A request ends with a failure before any endpoint saw it."""

    __slots__ = ("failure",)

    def __init__(self, *, at: float, request_id: str, failure: Failure) -> None:
        super().__init__(at=at, request_id=request_id)
        self.failure = failure


class RequestClosed(RequestEvent):
    """A request is over on this host, whichever way; every concern drops what it holds for it."""

    __slots__ = ()


class ServiceWanted(RequestEvent):
    """An admitted service call awaits its endpoint."""

    __slots__ = ()


class SlotWanted(RequestEvent):
    """An admitted generation awaits a decode slot, a link share and a prefill engine."""

    __slots__ = ("attempt_id", "avoid")

    def __init__(
        self, *, at: float, request_id: str, attempt_id: str, avoid: tuple[str, ...] = ()
    ) -> None:
        super().__init__(at=at, request_id=request_id)
        self.attempt_id = attempt_id
        self.avoid = tuple(avoid)


class SlotHeld(RequestEvent):
    """A decode slot and a link share are held for the attempt; prefill may begin."""

    __slots__ = ("attempt_id", "prefill_engine", "decode_engine")

    def __init__(
        self,
        *,
        at: float,
        request_id: str,
        attempt_id: str,
        prefill_engine: str,
        decode_engine: str,
    ) -> None:
        super().__init__(at=at, request_id=request_id)
        self.attempt_id = attempt_id
        self.prefill_engine = prefill_engine
        self.decode_engine = decode_engine


class SlotAdopted(RequestEvent):
    """This host took over a running attempt: its slot is now held in this host's name."""

    __slots__ = ("attempt_id", "decode_engine")

    def __init__(self, *, at: float, request_id: str, attempt_id: str, decode_engine: str) -> None:
        super().__init__(at=at, request_id=request_id)
        self.attempt_id = attempt_id
        self.decode_engine = decode_engine


class SlotFreed(RequestEvent):
    """The attempt no longer needs its slot here: it ended, failed, was cancelled or handed over."""

    __slots__ = ("attempt_id", "handed_over")

    def __init__(
        self, *, at: float, request_id: str, attempt_id: str, handed_over: bool = False
    ) -> None:
        super().__init__(at=at, request_id=request_id)
        self.attempt_id = attempt_id
        self.handed_over = handed_over


class ListsChanged(Event):
    """A newer version of the two lists is in force on this host."""

    __slots__ = ("version",)

    def __init__(self, *, at: float, version: int) -> None:
        super().__init__(at=at)
        self.version = version


class MembersChanged(Event):
    """The set of live hosts, or of usable endpoints, changed."""

    __slots__ = ()


class HostPaused(Event):
    """The process stood still for ``seconds``: other hosts may have taken its work over."""

    __slots__ = ("seconds",)

    def __init__(self, *, at: float, seconds: float) -> None:
        super().__init__(at=at)
        self.seconds = seconds
