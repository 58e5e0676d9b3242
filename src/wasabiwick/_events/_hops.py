"""Events of hops: requests that another host passes to this one, and which services are reached."""

from .._forwarding import Ask
from .._hops import Hop
from ._base import Event
from ._forwarding import ForwardEvent


class CallPassedOn(Event):
    """Another host passed a caller's request to this one."""

    __slots__ = ("ask", "hop")

    def __init__(self, *, at: float, ask: Ask, hop: Hop) -> None:
        super().__init__(at=at)
        self.ask = ask
        self.hop = hop


class ReachChecked(Event):
    """Some endpoints of a service were asked for a connection; ``accepted`` names who did so."""

    __slots__ = ("service", "accepted")

    def __init__(self, *, at: float, service: str, accepted: tuple[str, ...]) -> None:
        super().__init__(at=at)
        self.service = service
        self.accepted = tuple(accepted)


class ReachChanged(Event):
    """Internal: this host no longer reaches any endpoint of a service, or reaches one again."""

    __slots__ = ("service", "is_reached")

    def __init__(self, *, at: float, service: str, is_reached: bool) -> None:
        super().__init__(at=at)
        self.service = service
        self.is_reached = is_reached


class PlaceWanted(ForwardEvent):
    """Internal: a call is to be served anew, here or by another host."""

    __slots__ = ()
