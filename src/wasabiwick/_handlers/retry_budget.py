"""Budget of repeats: how often this host may send requests of a service to a second endpoint.

Load pattern answered: endpoints that fail or refuse many requests at once, where repeats would
multiply the load. The budget is a share of the requests in a sliding window plus a fixed slack.
Each host keeps to its own part of the slack, so that the sum holds without asking anybody, also
while hosts can't reach each other.
"""

import collections

from .._settings import Settings
from .._state import State, state_slice
from . import neighbours

SAFETY = 0.8  # Share of the budget that is used: windows slide, and hosts join unheard.


class Window:
    """Requests and repeats of one service in the last window, as monotonic times."""

    __slots__ = ("requests", "repeats")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def expire(self, before: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


@state_slice("retry_budget")
class RetryBudgetState:
    """Windows by service."""

    __slots__ = ("windows",)

    def __init__(self, cfg: Settings) -> None:
        self.windows: dict[str, Window] = {}


def _window(state: State, service: str, at: float) -> Window:
    window = state["retry_budget"].windows.setdefault(service, Window())
    window.expire(at - state.cfg.forwarding.retry_window)
    return window


def count_request(state: State, service: str, at: float) -> None:
    """Count a request that a caller sent for a service."""
    _window(state, service, at).requests.append(at)


def remaining(state: State, service: str, at: float) -> float:
    """Return how many repeats this host may still send for a service now."""
    cfg = state.cfg.forwarding
    window = _window(state, service, at)
    allowed = cfg.retry_ratio * len(window.requests)
    allowed += cfg.retry_slack / neighbours.host_count(state, at)
    return SAFETY * allowed - len(window.repeats)


def charge(state: State, service: str, at: float) -> None:
    """Count a repeat that could not be foreseen, such as a prefill that an engine refused."""
    _window(state, service, at).repeats.append(at)


def try_spend(state: State, service: str, at: float) -> bool:
    """Take one repeat out of the budget; returns whether there was one."""
    if remaining(state, service, at) < 1.0:
        return False
    _window(state, service, at).repeats.append(at)
    return True
