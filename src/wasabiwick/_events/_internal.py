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


class EffectFailed(Event):
    """Carrying out an effect, or a task that it started, raised an exception.

    ``effect`` names the effect or the task, and ``subject`` the call, request or timer that it was
    about. ``timer`` is the name of a timer that was not started. ``depth`` counts the failures that
    led to one another.
    """

    __slots__ = ("effect", "subject", "timer", "depth")

    def __init__(
        self, *, at: float, effect: str, subject: str = "", timer: str = "", depth: int = 1
    ) -> None:
        super().__init__(at=at)
        self.effect = effect
        self.subject = subject
        self.timer = timer
        self.depth = depth


class StepFailed(Event):
    """Internal: a handler raised an exception, or carrying out an effect did.

    Its steps up to the exception are carried out, so the handlers of this event only have to end or
    repair what was left undone. They must not rely on what the failed handler was to do.

    Args:
        at: Monotonic time.
        handler: Module and name of the handler; empty where it is the one that raises this event.
        event: The event that was handled; None if a handler met the exception in a part of its
            work, and went on with the rest.
        subject: Ids of the call or request whose handling failed, of which some may name nothing.
        error: The exception.
        cause: Name of the event's class.
    """

    __slots__ = ("handler", "event", "subject", "error", "cause")

    def __init__(
        self,
        *,
        at: float,
        subject: tuple[str, ...],
        error: Exception | None,
        handler: str = "",
        event: Event | None = None,
        cause: str = "",
    ) -> None:
        super().__init__(at=at)
        self.handler = handler
        self.event = event
        self.subject = subject
        self.error = error
        self.cause = cause
