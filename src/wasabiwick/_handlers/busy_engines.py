"""Engines that carry an order out: how a host learns of an order that it was not told of.

Load pattern answered: all hosts end and start again while an engine changes its stage. Such an
engine still grants places, and then refuses the requests that come with them, each after its prompt
was prefilled. So an engine that refused a request with a place is asked whether it is busy.
"""

import typing

from .._effects import LogLine
from .._effects_forwarding import AskWhetherBusy
from .._events import EngineSaidBusy
from .._forwarding import Endpoint
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import directory, routes

ASK_PAUSE = 0.5  # Seconds between questions to one engine; its answer may be as old as that.
BUSY_TIME = 2.0  # Seconds for which an engine counts as busy where its service tells no time.


@state_slice("busy_engines")
class BusyEnginesState:
    """Monotonic time of the last question to each engine."""

    __slots__ = ("asked_at",)

    def __init__(self, cfg: Settings) -> None:
        self.asked_at: dict[str, float] = {}


def ask_if_busy(state: State, engine: Endpoint, at: float) -> typing.Iterator[Step]:
    """Ask an engine that refused a request for which it held a place."""
    asked = state["busy_engines"].asked_at
    if at - asked.get(engine.name, float("-inf")) >= ASK_PAUSE:
        asked[engine.name] = at
        yield AskWhetherBusy(endpoint=engine.name, address=engine.address)


@handles(EngineSaidBusy)
def told(state: State, event: EngineSaidBusy) -> typing.Iterator[Step]:
    """Leave a busy engine alone, and let the other hosts know."""
    why = event.failure.detail if event.failure else "-"
    fields = {"endpoint": event.endpoint, "busy": event.is_busy, "why": why}
    yield LogLine(event="engine_asked", fields=fields)
    engine = directory.endpoint(state, event.endpoint)
    if engine is None or not event.is_busy:
        return
    traits = routes.service(state, engine.service)
    seconds = traits.engine.switch_time if traits and traits.engine else 0.0
    directory.set_busy(state, engine.name, event.at + (seconds or BUSY_TIME))
