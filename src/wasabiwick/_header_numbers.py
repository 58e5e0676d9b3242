"""Numbers in headers of requests and answers, which anyone may have written."""

import math

from ._logging import log_event

MAX_LOGGED_VALUE = 40  # Most characters of a header that are logged.


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
