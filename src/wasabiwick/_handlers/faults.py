"""Repeats what nobody else would do again after an exception: timers, the start and the stop.

An event that comes from a caller, an endpoint or a host concerns one request, or comes again. A
timer that is not started anew has stopped for good, and a process starts and stops once.
"""

import typing

from .._effects import StartTimer
from .._events import Booted, EffectFailed, Event, StepFailed, StopAsked, TimerFired
from .._reducer import Step, handler_name, handlers_of, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice

# Seconds until something is repeated. This has to be well below the time that is kept for the last
# answers of a stopping host, and an error that lasts may write as many log lines a second.
REPEAT_DELAY_S = 0.1
REPEATED_EVENTS = (Booted, StopAsked)


@state_slice("faults")
class FaultsState:
    """Events that are repeated, by class name: the event, and its first handler that failed."""

    __slots__ = ("repeats",)

    def __init__(self, cfg: Settings) -> None:
        self.repeats: dict[str, tuple[Event, int]] = {}


@handles(EffectFailed)
def effect_failed(state: State, event: EffectFailed) -> typing.Iterator[Step]:
    """Let the call be answered, and what else the effect was to do be repaired."""
    yield StepFailed(
        at=event.at,
        handler=event.effect,
        event=event,
        subject=(event.subject,) if event.subject else (),
        error=None,
    )


@handles(StepFailed)
def repeat(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start a timer again whose handler failed; repeat the failed handlers of a start or stop."""
    failed = event.event
    if isinstance(failed, TimerFired) or (isinstance(failed, EffectFailed) and failed.timer):
        key = failed.key if isinstance(failed, TimerFired) else failed.subject
        yield StartTimer(timer=failed.timer, key=key, delay=REPEAT_DELAY_S)
    elif isinstance(failed, REPEATED_EVENTS):
        repeats, name = state["faults"].repeats, event.cause
        names = [handler_name(one) for one in handlers_of(type(failed))]
        index = names.index(event.handler)
        if name in repeats:
            index = min(index, repeats[name][1])
        repeats[name] = (failed, index)
        yield StartTimer(timer="repeat", key=name, delay=REPEAT_DELAY_S)


@on_timer("repeat")
def repeat_handlers(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Run the handlers of a start or stop again from the first one that failed.

    Later ones may have gone by what that one was to do.
    """
    repeats = state["faults"].repeats
    if event.key not in repeats:
        return
    failed, index = repeats[event.key]
    for handler in handlers_of(type(failed))[index:]:
        yield from handler(state, failed) or ()
    del repeats[event.key]
