"""Endpoint limits: how many requests a second an endpoint takes from all hosts together.

An endpoint names its limit in each of its answers for as long as it holds. Hosts tell each other
what they were told last, so that a limit binds a host that has had no answer since.
"""

from .._events import EndpointsRead
from .._forwarding import EndpointLimit
from .._reducer import handles
from .._settings import Settings
from .._state import State, state_slice
from . import directory

MAX_TOLD = 32  # Most limits in one datagram, which has to stay small; the newest are told.
# Seconds for which a limit is told to other hosts, and for which the end of one is remembered. An
# endpoint with a limit is sent requests, and names it anew in each answer.
TELL_TIME_S = 10.0


@state_slice("endpoint_limits")
class EndpointLimitsState:
    """What each endpoint named last, by its name.

    ``own`` holds what this host was told by the endpoints themselves, the last named at the end.
    Only that is told to other hosts: hosts that passed on what they heard would make it younger
    each time, as datagrams take time.
    """

    __slots__ = ("limits", "own")

    def __init__(self, cfg: Settings) -> None:
        self.limits: dict[str, EndpointLimit] = {}
        self.own: dict[str, EndpointLimit] = {}


def limit_of(state: State, endpoint: str) -> EndpointLimit | None:
    """Return the limit that an endpoint named last, or None if it named none."""
    limit = state["endpoint_limits"].limits.get(endpoint)
    return limit if limit is not None and limit.rate is not None else None


def learn(state: State, limit: EndpointLimit) -> bool:
    """Remember a limit unless a newer one is known; returns whether the rate has changed."""
    limits = state["endpoint_limits"].limits
    known = limits.get(limit.endpoint)
    if known is not None and known.named_at >= limit.named_at:
        return False
    limits[limit.endpoint] = limit
    return limit.rate != (known.rate if known is not None else None)


def learn_own(state: State, limit: EndpointLimit) -> bool:
    """Remember a limit that an endpoint named to this host; returns whether the rate changed."""
    own = state["endpoint_limits"].own
    own.pop(limit.endpoint, None)
    own[limit.endpoint] = limit
    return learn(state, limit)


def told_limits(state: State, at: float) -> tuple[EndpointLimit, ...]:
    """Return the limits, also those that have ended, that other hosts are told."""
    newest = list(state["endpoint_limits"].own.values())[-MAX_TOLD:]
    return tuple(one for one in newest if at - one.named_at < TELL_TIME_S)


@handles(EndpointsRead)
def forget_gone(state: State, event: EndpointsRead) -> None:
    """Forget the limits of endpoints that are no longer listed, and those that ended long ago."""
    limits_state = state["endpoint_limits"]
    for limits in (limits_state.limits, limits_state.own):
        for name, one in list(limits.items()):
            has_ended = one.rate is None and event.at - one.named_at >= TELL_TIME_S
            if has_ended or directory.endpoint(state, name) is None:
                del limits[name]
