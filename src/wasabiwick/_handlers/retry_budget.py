"""Retry budget: how often this host may send a service's requests to another endpoint.

Load pattern handled: endpoints fail or refuse many requests at once, and retries would multiply
the load. The budget is a share of the requests in a sliding window plus a fixed slack. Each host
keeps to its own part of the slack, so that the sum of all hosts stays within the budget without
coordination, even while hosts can't reach each other.
"""

import collections

from .._settings import Settings
from .._state import State, state_slice
from . import neighbours

# Share of the budget that is used. The rest makes up for requests that leave the sliding window
# before their retries do, and for hosts that do not know yet that another host has joined.
SAFETY_FACTOR = 0.8


class Window:
    """Monotonic times of the requests and retries of one service in the sliding window."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def remove_older_than(self, min_time: float) -> None:
        """Remove requests and retries that are older than a monotonic time."""
        for times in (self.requests, self.retries):
            while times and times[0] < min_time:
                times.popleft()


@state_slice("retry_budget")
class RetryBudgetState:
    """Windows by service."""

    __slots__ = ("windows",)

    def __init__(self, cfg: Settings) -> None:
        self.windows: dict[str, Window] = {}


def _window(state: State, service: str, at: float) -> Window:
    window = state["retry_budget"].windows.setdefault(service, Window())
    window.remove_older_than(at - state.cfg.forwarding.retry_window)
    return window


def count_request(state: State, service: str, at: float) -> None:
    """Count a caller's request to a service, which adds to its budget."""
    _window(state, service, at).requests.append(at)


def remaining_retries(state: State, service: str, at: float) -> float:
    """Return the retries left for a service now, which may be fractional or negative."""
    cfg = state.cfg.forwarding
    window = _window(state, service, at)
    budget = cfg.retry_ratio * len(window.requests)
    budget += cfg.retry_slack / neighbours.host_count(state, at)
    return SAFETY_FACTOR * budget - len(window.retries)


def has_retry_left(state: State, service: str, at: float) -> bool:
    """Return whether a service's budget allows a retry now."""
    return remaining_retries(state, service, at) >= 1.0


def charge_retry(state: State, service: str, at: float) -> None:
    """Count a retry that turned out to be one only afterwards, such as a refused prefill."""
    _window(state, service, at).retries.append(at)


def try_spend_retry(state: State, service: str, at: float) -> bool:
    """Spend one retry of the budget; returns False if there is none left."""
    if not has_retry_left(state, service, at):
        return False
    _window(state, service, at).retries.append(at)
    return True
