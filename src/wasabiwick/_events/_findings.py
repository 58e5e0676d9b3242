"""Events of what endpoints say of themselves, and of what hosts find out and tell each other."""

from .._errors import Failure
from .._forwarding import EndpointLimit, EngineSign, Findings
from ._base import Event
from ._forwarding import ForwardEvent


class EndpointLeaving(Event):
    """An endpoint said in an answer that it takes no new work.

    ``sent_at`` is the monotonic time at which the request was sent that it answered.
    """

    __slots__ = ("endpoint", "sent_at")

    def __init__(self, *, at: float, endpoint: str, sent_at: float) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.sent_at = sent_at


class EndpointPaused(Event):
    """An endpoint turned a request away and wants nothing from this host for some seconds."""

    __slots__ = ("endpoint", "seconds")

    def __init__(self, *, at: float, endpoint: str, seconds: float) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.seconds = seconds


class LimitNamed(Event):
    """An endpoint named the requests a second that it takes from all hosts together.

    ``rate`` is None if it names no limit any more.
    """

    __slots__ = ("endpoint", "rate")

    def __init__(self, *, at: float, endpoint: str, rate: float | None) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.rate = rate


class LoadNamed(Event):
    """An endpoint said in an answer how much it runs and how long work takes there."""

    __slots__ = ("sign",)

    def __init__(self, *, at: float, sign: EngineSign) -> None:
        super().__init__(at=at)
        self.sign = sign


class PermitAsked(Event):
    """Another host asked whether it may send a request to an endpoint that has a limit.

    ``address`` is where the host receives datagrams. ``call_id`` and ``number`` name the question.
    """

    __slots__ = ("host", "address", "call_id", "number", "limit")

    def __init__(
        self,
        *,
        at: float,
        host: str,
        address: str,
        call_id: str,
        number: int,
        limit: EndpointLimit,
    ) -> None:
        super().__init__(at=at)
        self.host = host
        self.address = address
        self.call_id = call_id
        self.number = number
        self.limit = limit


class PermitAnswered(ForwardEvent):
    """An endpoint's owner let a request through, or told how many seconds to wait (``wait``)."""

    __slots__ = ("number", "wait")

    def __init__(self, *, at: float, call_id: str, number: int, wait: float) -> None:
        super().__init__(at=at, call_id=call_id)
        self.number = number
        self.wait = wait


class PermitSettled(ForwardEvent):
    """Internal: it is known whether a call may be sent to an endpoint that has a limit."""

    __slots__ = ("endpoint", "is_granted")

    def __init__(self, *, at: float, call_id: str, endpoint: str, is_granted: bool) -> None:
        super().__init__(at=at, call_id=call_id)
        self.endpoint = endpoint
        self.is_granted = is_granted


class EndChecked(Event):
    """It was checked whether an endpoint has ended; ``failure`` says why if that is not known."""

    __slots__ = ("endpoint", "has_ended", "failure")

    def __init__(
        self, *, at: float, endpoint: str, has_ended: bool, failure: Failure | None = None
    ) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.has_ended = has_ended
        self.failure = failure


class FindingsRead(Event):
    """Findings that hosts had saved were read; ``whole`` if these are the last of every host."""

    __slots__ = ("findings", "whole")

    def __init__(self, *, at: float, findings: tuple[Findings, ...], whole: bool = False) -> None:
        super().__init__(at=at)
        self.findings = tuple(findings)
        self.whole = whole


class FindingsSaved(Event):
    """This host's findings were saved, unless there was a failure."""

    __slots__ = ("failure",)

    def __init__(self, *, at: float, failure: Failure | None) -> None:
        super().__init__(at=at)
        self.failure = failure
