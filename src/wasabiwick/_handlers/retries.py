"""Times told to refused callers, so that their retries come spread out."""

from .._settings import Settings
from .._state import State, state_slice

SOONEST = 1.0  # Seconds.
LATEST = 20.0  # Seconds.
RETRIES_PER_SECOND = 20.0  # Refused callers that one host calls back per second.


@state_slice("retries")
class RetriesState:
    """The time of the next retry that was not promised to any caller yet."""

    __slots__ = ("next_at",)

    def __init__(self, cfg: Settings) -> None:
        self.next_at = 0.0


def next_retry_delay(state: State, at: float, *, soonest: float = SOONEST) -> float:
    """Return after how many seconds a refused caller may try again.

    Each refusal takes the next free place in a calendar of retries, so the calendar grows with
    the storm and its callers don't come back together.

    Args:
        state: The host's state.
        at: Monotonic time of the refusal.
        soonest: Least number of seconds.

    Returns:
        Seconds.
    """
    mine = state["retries"]
    mine.next_at = max(at + soonest, mine.next_at + 1.0 / RETRIES_PER_SECOND)
    wait = min(mine.next_at - at, LATEST)
    if wait >= LATEST:  # The calendar is full: spread the rest over its second half.
        mine.next_at = at + LATEST
        wait = LATEST * (0.5 + 0.5 * state.rng.random())
    return round(max(soonest, wait), 2)
