"""Events of the host's process and of its callers."""

from .._wire import Owner
from ._base import Call, Event


class Booted(Event):
    """The process started; ``wall`` is Unix time at ``at``, and ``seed`` seeds random jitter."""

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
    """A timer that `StartTimer` started has expired."""

    __slots__ = ("timer", "key")

    def __init__(self, *, at: float, timer: str, key: str = "") -> None:
        super().__init__(at=at)
        self.timer = timer
        self.key = key


class CallArrived(Event):
    """A caller's request arrived in full and is well-formed."""

    __slots__ = ("call",)

    def __init__(self, *, at: float, call: Call) -> None:
        super().__init__(at=at)
        self.call = call


class CallerGone(Event):
    """A caller's connection closed before its answer was complete."""

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
