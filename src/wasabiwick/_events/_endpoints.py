"""Events from engines and plain services."""

import typing

from .._errors import Failure
from .._wire import CacheEvent, EngineReport
from ._base import Event

if typing.TYPE_CHECKING:
    from .._effects import AttemptEffect


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
        """Return an event about the same attempt as an effect or another event."""
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
    """A batch of ``count`` tokens arrived; the output received so far ends at ``offset``."""

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
    """The engine reported the output complete; ``finish`` is ``stop`` or ``length``."""

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
    """An engine answered a cancel; ``gone`` is true once no memory is held for the attempt."""

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
    """An engine did not answer a request for its load report."""

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
    """An engine accepted or refused an order on its models or roles; ``accepted`` says which."""

    __slots__ = ("accepted",)

    def __init__(
        self, *, at: float, request_id: str, attempt_id: str, endpoint: str, accepted: bool
    ) -> None:
        super().__init__(at=at, request_id=request_id, attempt_id=attempt_id, endpoint=endpoint)
        self.accepted = accepted


class ServiceAnswered(AttemptEvent):
    """A plain service answered a call with a complete body."""

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
