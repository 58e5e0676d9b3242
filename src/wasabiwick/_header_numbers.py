"""Numbers in headers of requests and answers, which anyone may have written."""

import math
import typing

from ._logging import log_event

# Figures of an endpoint's load: requests running, requests waiting, slots, and the time that work
# takes there, in per cent of the usual. Endpoints that leave out the last are not heard.
LOAD_FIGURES = 4
MAX_LOAD_FIGURE = 100_000  # Largest figure that is believed; real ones are below 1,000.
PER_CENT = 100.0
MAX_LOGGED_VALUE = 40  # Most characters of a header that are logged.


class ToldLoad(typing.NamedTuple):
    """Requests that an endpoint runs and lets wait, its slots, and how long work takes there.

    ``slowness`` is a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


def parse_number(text: str) -> float | None:
    """Return the number in a header, or None if it is negative, not finite or no number."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0.0:
        return number
    log_event("header_unreadable", level="WARNING", value=text[:MAX_LOGGED_VALUE])
    return None


def parse_load(text: str) -> ToldLoad | None:
    """Return the load that an endpoint tells in a header, or None if it can't be read."""
    figures = text.split(",", LOAD_FIGURES)
    if len(figures) < LOAD_FIGURES:
        return None
    numbers = [parse_number(one) for one in figures[:LOAD_FIGURES]]
    if None in numbers or max(numbers) > MAX_LOAD_FIGURE or not numbers[-1]:
        return None
    running, waiting, slots = map(int, numbers[:-1])
    return ToldLoad(running, waiting, slots, slowness=numbers[-1] / PER_CENT)
