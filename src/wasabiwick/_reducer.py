"""The reducer: runs the registered handlers of an event and collects their effects."""

import collections
import typing

from ._effects import Effect, SendPeer
from ._events import Event, PeerMessage, TimerFired
from ._state import State

Step = Effect | Event
Handler = typing.Callable[[State, typing.Any], typing.Iterable[Step] | None]

_BY_EVENT: dict[type[Event], list[Handler]] = {}
_BY_TIMER: dict[str, Handler] = {}
_BY_MESSAGE: dict[type, Handler] = {}

MAX_STEPS = 10_000  # Bounds the internal events of one call, so that a cycle is found at once.


def handles(*events: type[Event]) -> typing.Callable[[Handler], Handler]:
    """Register a handler for events. Handlers of one event run in order of registration."""

    def register(handler: Handler) -> Handler:
        for event in events:
            _BY_EVENT.setdefault(event, []).append(handler)
        return handler

    return register


def on_timer(timer: str) -> typing.Callable[[Handler], Handler]:
    """Register the only handler of a timer; it receives the `TimerFired` event."""

    def register(handler: Handler) -> Handler:
        if timer in _BY_TIMER:
            raise ValueError(f"timer {timer!r} has two handlers")
        _BY_TIMER[timer] = handler
        return handler

    return register


def on_message(message: type) -> typing.Callable[[Handler], Handler]:
    """Register the only handler of a peer message; it receives the `PeerMessage` event."""

    def register(handler: Handler) -> Handler:
        if message in _BY_MESSAGE:
            raise ValueError(f"message {message.__name__!r} has two handlers")
        _BY_MESSAGE[message] = handler
        return handler

    return register


def handlers_of(event: type[Event]) -> tuple[Handler, ...]:
    """Return the handlers of a type of event, in the order in which they see it."""
    return tuple(_BY_EVENT.get(event, ()))


def reduce(state: State, event: Event) -> list[Effect]:
    """Apply one event to the state.

    Internal events that handlers raise, and messages to this host itself, are handled within the
    same call, in the order raised.

    Args:
        state: The host's state; changed in place.
        event: What happened.

    Returns:
        The effects to carry out, in order.

    Raises:
        RuntimeError: If handlers raise events without end.
    """
    effects: list[Effect] = []
    pending = collections.deque((event,))
    steps = 0
    while pending:
        steps += 1
        if steps > MAX_STEPS:
            raise RuntimeError(f"event {type(event).__name__!r} caused over {MAX_STEPS} events")
        for step in _run(state, pending.popleft()):
            if isinstance(step, Event):
                pending.append(step)
            elif isinstance(step, SendPeer) and step.host == state.owner.host:
                pending.append(
                    PeerMessage(
                        at=event.at, sender=state.owner, zone=state.zone, message=step.message
                    )
                )
            else:
                effects.append(step)
    return effects


def _run(state: State, event: Event) -> typing.Iterator[Step]:
    for handler in _handlers_of(event):
        # A handler that yields is run to its end before the next one starts.
        yield from tuple(handler(state, event) or ())


def _handlers_of(event: Event) -> typing.Sequence[Handler]:
    if isinstance(event, TimerFired):
        handler = _BY_TIMER.get(event.timer)
        return (handler,) if handler else ()
    if isinstance(event, PeerMessage):
        handler = _BY_MESSAGE.get(type(event.message))
        return (handler,) if handler else ()
    return _BY_EVENT.get(type(event), ())
