"""Endpoint limits: how many requests a second an endpoint takes from all hosts together."""

import typing

from .._effects import LogLine
from .._events import LimitNamed
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice


class Limit:
    """A limit that an endpoint named, in requests a second, and the monotonic time of that."""

    __slots__ = ("rate", "named_at")

    def __init__(self, *, rate: float, named_at: float) -> None:
        self.rate = rate
        self.named_at = named_at


@state_slice("endpoint_limits")
class EndpointLimitsState:
    """Limits in force, by endpoint."""

    __slots__ = ("limits",)

    def __init__(self, cfg: Settings) -> None:
        self.limits: dict[str, Limit] = {}


@handles(LimitNamed)
def limit_named(state: State, event: LimitNamed) -> typing.Iterator[Step]:
    """Remember an endpoint's limit, or that it has none any more."""
    limits = state["endpoint_limits"].limits
    known = limits.pop(event.endpoint, None)
    if event.rate is not None:
        limits[event.endpoint] = Limit(rate=event.rate, named_at=event.at)
    if (known.rate if known else None) != event.rate:
        rate = event.rate if event.rate is not None else "-"
        yield LogLine(event="endpoint_limited", fields={"endpoint": event.endpoint, "rate": rate})
