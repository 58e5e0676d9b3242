"""Spreads the retries of refused callers over time, by the delay that each of them is told."""

from .._settings import Settings
from .._state import State, state_slice

MIN_DELAY = 1.0  # Shortest delay told to a refused caller by default, in seconds.
MAX_DELAY = 20.0  # Longest delay told to a refused caller, in seconds.
RETRIES_PER_SECOND = 20.0  # Most retries that one host schedules per second.


@state_slice("retries")
class RetriesState:
    """The monotonic time of the latest retry scheduled so far."""

    __slots__ = ("latest_at",)

    def __init__(self, cfg: Settings) -> None:
        self.latest_at = 0.0


def next_retry_delay(state: State, at: float, *, min_delay: float = MIN_DELAY) -> float:
    """Schedule a refused caller's retry, and return its delay in seconds.

    Each retry is scheduled at least 1 / `RETRIES_PER_SECOND` seconds after the one before, so that
    callers refused together don't retry together, and delays grow with the number of refusals.

    Args:
        state: The host's state.
        at: Monotonic time of the refusal.
        min_delay: Shortest delay in seconds.

    Returns:
        Delay in seconds, from `min_delay` to `MAX_DELAY`.
    """
    retries_state = state["retries"]
    retries_state.latest_at = max(
        at + min_delay, retries_state.latest_at + 1.0 / RETRIES_PER_SECOND
    )
    wait = min(retries_state.latest_at - at, MAX_DELAY)
    if wait >= MAX_DELAY:
        # No free time is left within `MAX_DELAY`: spread further retries over its second half.
        retries_state.latest_at = at + MAX_DELAY
        wait = MAX_DELAY * (0.5 + 0.5 * state.rng.random())
    return round(max(min_delay, wait), 2)
