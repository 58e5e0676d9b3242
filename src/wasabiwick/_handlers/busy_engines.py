"""Busy engines: detects engines that are carrying out an order unknown to this host.

Load pattern handled: all hosts restart while an engine changes its stage, so none remembers the
order. Such an engine still grants holds, and then refuses the requests that use them, each after
its prompt was prefilled. So an engine that refused a request with a hold is asked whether it is
busy.
"""

import typing

from .._effects import LogLine
from .._effects_forwarding import AskWhetherBusy
from .._events import EngineSaidBusy
from .._forwarding import Endpoint
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import directory, pauses, routes

# Least time between two questions to an engine, and so the greatest age of an answer that this host
# relies on instead of asking.
ASK_INTERVAL_S = 0.5
DEFAULT_BUSY_TIME_S = 2.0  # Assumed busy time of engines without a ``switch_time``.


@state_slice("busy_engines")
class BusyEnginesState:
    """Monotonic time of the last question to each engine."""

    __slots__ = ("asked_at",)

    def __init__(self, cfg: Settings) -> None:
        self.asked_at: dict[str, float] = {}


def ask_if_busy(state: State, engine: Endpoint, at: float) -> typing.Iterator[Step]:
    """Ask an engine that refused a request with a hold whether it is carrying out an order.

    An engine that said for how long it wants nothing has said why it refused.
    """
    if pauses.is_paused(state, engine.name, at):
        return
    asked_at = state["busy_engines"].asked_at
    if at - asked_at.get(engine.name, float("-inf")) >= ASK_INTERVAL_S:
        asked_at[engine.name] = at
        yield AskWhetherBusy(endpoint=engine.name, address=engine.address)


@handles(EngineSaidBusy)
def engine_answered(state: State, event: EngineSaidBusy) -> typing.Iterator[Step]:
    """Mark a busy engine, so that it gets no work; the next datagrams inform the other hosts."""
    why = event.failure.detail if event.failure else "-"
    fields = {"endpoint": event.endpoint, "busy": event.is_busy, "why": why}
    yield LogLine(event="engine_asked", fields=fields)
    engine = directory.endpoint(state, event.endpoint)
    if engine is None or not event.is_busy:
        return
    traits = routes.service(state, engine.service)
    seconds = traits.engine.switch_time if traits and traits.engine else 0.0
    directory.set_busy(state, engine.name, event.at + (seconds or DEFAULT_BUSY_TIME_S))
