"""The reducer: runs the registered handlers of an event and collects their effects."""

import collections
import typing

from ._effects import Effect, SendPeer
from ._events import Event, PeerMessage, StepFailed, TimerFired
from ._faults import report, subject_of
from ._state import State

Step = Effect | Event
Handler = typing.Callable[[State, typing.Any], typing.Iterable[Step] | None]

_EVENT_HANDLERS: dict[type[Event], list[Handler]] = {}
_TIMER_HANDLERS: dict[str, Handler] = {}
_MESSAGE_HANDLERS: dict[type, Handler] = {}

# `reduce` fails if one event leads to more events than this: handlers then raise them in a cycle.
MAX_EVENTS_PER_CALL = 10_000


def handles(*events: type[Event]) -> typing.Callable[[Handler], Handler]:
    """Register a handler for events; the handlers of one event run in order of registration."""

    def register(handler: Handler) -> Handler:
        for event in events:
            _EVENT_HANDLERS.setdefault(event, []).append(handler)
        return handler

    return register


def on_timer(timer: str) -> typing.Callable[[Handler], Handler]:
    """Register the only handler of a timer; it receives the `TimerFired` event."""

    def register(handler: Handler) -> Handler:
        if timer in _TIMER_HANDLERS:
            raise ValueError(f"timer {timer!r} has two handlers")
        _TIMER_HANDLERS[timer] = handler
        return handler

    return register


def on_message(message: type) -> typing.Callable[[Handler], Handler]:
    """Register the only handler of a peer message; it receives the `PeerMessage` event."""

    def register(handler: Handler) -> Handler:
        if message in _MESSAGE_HANDLERS:
            raise ValueError(f"message {message.__name__!r} has two handlers")
        _MESSAGE_HANDLERS[message] = handler
        return handler

    return register


def handlers_of(event: type[Event]) -> tuple[Handler, ...]:
    """Return the handlers of an event class, in the order in which they run."""
    return tuple(_EVENT_HANDLERS.get(event, ()))


def handler_name(handler: Handler) -> str:
    """Return the module and the name of a handler, as logs name it."""
    return f"{handler.__module__.rpartition('.')[2]}.{handler.__name__}"


def reduce(state: State, event: Event) -> list[Effect]:
    """Apply one event to the state.

    Internal events that handlers raise, and messages to this host itself, are handled within the
    same call, in the order in which they were raised.

    Args:
        state: The host's state; changed in place.
        event: The event to apply.

    Returns:
        The effects to carry out, in order.

    Raises:
        RuntimeError: If handlers keep raising events beyond `MAX_EVENTS_PER_CALL`.
        Exception: What a handler raised.
    """
    return _run(state, event, is_contained=False)


def reduce_contained(state: State, event: Event) -> list[Effect]:
    """Apply one event to the state as `reduce` does; an exception costs what it concerns alone.

    The steps that a handler yielded before its exception are carried out, as the state has changed
    with them, and the other handlers run. `StepFailed` follows, by which the request whose handling
    failed is answered and closed. A `ReportFault` among the effects tells of each exception.

    Args:
        state: The host's state; changed in place.
        event: The event to apply.

    Returns:
        The effects to carry out, in order.
    """
    return _run(state, event, is_contained=True)


def _run(state: State, event: Event, *, is_contained: bool) -> list[Effect]:
    effects: list[Effect] = []
    pending = collections.deque((event,))
    repaired: set[tuple[str, tuple[str, ...]]] = set()
    event_count = 0
    while pending:
        event_count += 1
        current = pending.popleft()
        if event_count > MAX_EVENTS_PER_CALL:
            error = RuntimeError(
                f"event {type(event).__name__!r} caused over {MAX_EVENTS_PER_CALL} events"
            )
            if not is_contained:
                raise error
            pending.clear()
            _contain(_failed("reduce", event, error), effects, pending, repaired)
            event_count = 0
            continue
        for handler in _handlers_for(current):
            try:
                for step in handler(state, current) or ():
                    if isinstance(step, Event):
                        if isinstance(step, StepFailed):
                            if not is_contained:
                                raise step.error
                            step.handler = step.handler or handler_name(handler)
                            step.cause = step.cause or type(current).__name__
                            _contain(step, effects, pending, repaired)
                        else:
                            pending.append(step)
                    elif isinstance(step, SendPeer) and step.host == state.owner.host:
                        pending.append(
                            PeerMessage(
                                at=event.at,
                                sender=state.owner,
                                zone=state.zone,
                                message=step.message,
                            )
                        )
                    else:
                        effects.append(step)
            except Exception as exc:  # noqa: BLE001 - reported with its traceback
                if not is_contained:
                    raise
                failed = _failed(handler_name(handler), current, exc)
                _contain(failed, effects, pending, repaired)
    return effects


def _failed(handler: str, event: Event, error: Exception) -> StepFailed:
    return StepFailed(
        at=event.at,
        handler=handler,
        event=event,
        subject=subject_of(event),
        error=error,
        cause=type(event).__name__,
    )


def _contain(
    failed: StepFailed,
    effects: list[Effect],
    pending: collections.deque[Event],
    repaired: set[tuple[str, tuple[str, ...]]],
) -> None:
    """Report a failure, and let it be handled before other events, once."""
    if failed.error is not None:
        effects.append(report(failed))
    key = (failed.handler, failed.subject)
    # What fails while a failure is handled is only reported, or it would go on for ever.
    if not isinstance(failed.event, StepFailed) and key not in repaired:
        repaired.add(key)
        pending.appendleft(failed)


def _handlers_for(event: Event) -> typing.Sequence[Handler]:
    if isinstance(event, TimerFired):
        handler = _TIMER_HANDLERS.get(event.timer)
        return (handler,) if handler else ()
    if isinstance(event, PeerMessage):
        handler = _MESSAGE_HANDLERS.get(type(event.message))
        return (handler,) if handler else ()
    return _EVENT_HANDLERS.get(type(event), ())
