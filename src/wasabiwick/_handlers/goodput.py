"""Goodput: output tokens of the generations that met both latency targets."""

import typing

from .._effects import Count
from .._events import RequestClosed, StreamEnded, StreamProgress
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import calls, generation


class Progress:
    """When a request's first output came, and how many tokens came with it."""

    __slots__ = ("first", "count")

    def __init__(self, *, first: float, count: int) -> None:
        self.first = first
        self.count = count


@state_slice("goodput")
class GoodputState:
    """First outputs by request id."""

    __slots__ = ("progress",)

    def __init__(self, cfg: Settings) -> None:
        self.progress: dict[str, Progress] = {}


@handles(StreamProgress)
def begin(state: State, event: StreamProgress) -> None:
    """Note the first output of a request that this host serves."""
    known = state["goodput"].progress
    if event.request_id in known:
        return
    if generation.runs(state, event.request_id, event.attempt_id):
        known[event.request_id] = Progress(first=event.at, count=event.count)


@handles(StreamEnded)
def end(state: State, event: StreamEnded) -> typing.Iterator[Step]:
    """Count the tokens of an answer, and of one that met both targets once more."""
    req = calls.request_of(state, event.request_id)
    progress = state["goodput"].progress.pop(event.request_id, None)
    if req is None or progress is None or not req.caller_present:
        return
    customer = req.customer.name
    yield Count(metric="output_tokens", label=customer, amount=event.offset)
    if _met_targets(state, req, progress, event):
        yield Count(metric="goodput_tokens", label=customer, amount=event.offset)


def _met_targets(state: State, req: calls.Request, progress: Progress, event: StreamEnded) -> bool:
    targets = state.cfg.targets
    limit = targets.may_wait if req.plan.may_wait else targets.first_output
    later = event.offset - progress.count
    between = (event.at - progress.first) / later if later > 0 else 0.0
    return progress.first - req.arrived <= limit and between <= targets.between_outputs


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Forget a request that is over."""
    state["goodput"].progress.pop(event.request_id, None)
