"""Turning away: when a request is refused for lack of room, and when its caller should come back.

Load pattern answered: a burst above what the engines hold, for seconds. Requests that can still be
on time are served before those that can't; a late one waits only while a place may come free soon,
and is then told when to come back, so that it neither holds a connection in vain nor returns into
the same burst.
"""

from .._state import State
from .forwarding import Forwarded

FIRST_OUTPUT = 0.45  # Seconds from a place to the first event: prefill, transfer, first step.
LONGEST_WAIT = 2.2  # Seconds; callers leave streams that bring nothing for four objectives.
PATIENCE_LEFT = 0.35  # Share of the time left that a wait may take up.
SOONEST = 1.0  # Seconds.
SPREAD = 2.0  # Seconds over which returning callers are spread.


def due(req: Forwarded) -> float:
    """Return the monotonic time until which a place still gives an answer on time."""
    return req.arrived + req.route.target_latency - FIRST_OUTPUT


def longest_wait(req: Forwarded) -> float:
    """Return how long a request may wait for a place, in seconds from its arrival."""
    return min(LONGEST_WAIT, PATIENCE_LEFT * (req.ends - req.arrived))


def retry_after(state: State, req: Forwarded, at: float) -> float:
    """Return after how many seconds a refused caller should come back."""
    left = max(0.0, req.ends - at)
    wait = SOONEST + SPREAD * state.rng.random()
    return round(min(wait, left / 3), 2)
