"""Events that one handler raises for others, within one call of the reducer."""

from .._errors import Failure
from ._base import Event


class RequestEvent(Event):
    """Base of internal events that concern one request."""

    __slots__ = ("request_id",)

    def __init__(self, *, at: float, request_id: str) -> None:
        super().__init__(at=at)
        self.request_id = request_id


class AdmissionWanted(RequestEvent):
    """A request waits to be admitted under its customer's plan."""

    __slots__ = ()


class AdmissionGiven(RequestEvent):
    """The request is admitted; it counts against the plan's limits until `RequestClosed`."""

    __slots__ = ()


class RequestDenied(RequestEvent):
    """A request ends with a failure in place of an answer."""

    __slots__ = ("failure",)

    def __init__(self, *, at: float, request_id: str, failure: Failure) -> None:
        super().__init__(at=at, request_id=request_id)
        self.failure = failure


class RequestClosed(RequestEvent):
    """A request ended on this host, for whatever reason; handlers drop their state for it."""

    __slots__ = ()


class ServiceWanted(RequestEvent):
    """An admitted service call needs an endpoint."""

    __slots__ = ()


class SlotWanted(RequestEvent):
    """An admitted generation needs a decode slot, a share of a link and a prefill engine."""

    __slots__ = ("attempt_id", "avoid")

    def __init__(
        self, *, at: float, request_id: str, attempt_id: str, avoid: tuple[str, ...] = ()
    ) -> None:
        super().__init__(at=at, request_id=request_id)
        self.attempt_id = attempt_id
        self.avoid = tuple(avoid)


class SlotHeld(RequestEvent):
    """A decode slot and a share of a link are reserved for the attempt; prefill may begin."""

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
    """This host took over a running attempt, whose slot is now reserved for this host."""

    __slots__ = ("attempt_id", "decode_engine")

    def __init__(self, *, at: float, request_id: str, attempt_id: str, decode_engine: str) -> None:
        super().__init__(at=at, request_id=request_id)
        self.attempt_id = attempt_id
        self.decode_engine = decode_engine


class SlotFreed(RequestEvent):
    """The attempt needs no slot here: it ended, failed, was cancelled or was handed over."""

    __slots__ = ("attempt_id", "handed_over")

    def __init__(
        self, *, at: float, request_id: str, attempt_id: str, handed_over: bool = False
    ) -> None:
        super().__init__(at=at, request_id=request_id)
        self.attempt_id = attempt_id
        self.handed_over = handed_over


class ListsChanged(Event):
    """A newer version of the operators' plans and allowances is in force on this host."""

    __slots__ = ("version",)

    def __init__(self, *, at: float, version: int) -> None:
        super().__init__(at=at)
        self.version = version


class MembersChanged(Event):
    """The set of live hosts, or of usable endpoints, changed."""

    __slots__ = ()


class HostPaused(Event):
    """The process was suspended for ``seconds``; other hosts may have taken over its work."""

    __slots__ = ("seconds",)

    def __init__(self, *, at: float, seconds: float) -> None:
        super().__init__(at=at)
        self.seconds = seconds
