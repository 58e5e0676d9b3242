"""What is known of an exception of a handler: whose handling failed, and where."""

import os
import traceback

from ._effects import ReportFault
from ._events import EffectFailed, Event, StepFailed, TimerFired

MAX_FRAMES = 12  # Frames of a traceback that are reported, the innermost ones.


def subject_of(event: Event) -> tuple[str, ...]:
    """Return the ids of the call and the request that an event may be about.

    A timer's key may be such an id, and may be anything else.
    """
    if isinstance(event, TimerFired):
        return (event.key,) if event.key else ()
    if isinstance(event, EffectFailed):
        return (event.subject,) if event.subject else ()
    found: dict[str, None] = {}
    for name in ("ask", "call", "message"):
        _add_ids(found, getattr(event, name, None))
    _add_ids(found, event)
    return tuple(found)


def _add_ids(found: dict[str, None], record: object) -> None:
    for name in ("trace_id", "call_id", "request_id"):
        value = getattr(record, name, "")
        if isinstance(value, str) and value:
            found[value] = None


def report(failed: StepFailed) -> ReportFault:
    """Return the effect that reports a failure."""
    frames = traceback.extract_tb(failed.error.__traceback__)[-MAX_FRAMES:]
    return ReportFault(
        handler=failed.handler,
        cause=failed.cause,
        request=",".join(failed.subject),
        error=repr(failed.error),
        trace=" > ".join(
            f"{os.path.basename(one.filename)}:{one.lineno} {one.name}" for one in frames
        ),
    )
