"""Metrics of goodput, which is output within both latency targets, and of wasted prefill.

A prefill is wasted if it led to no output, because its engine, the transfer or the decode failed
first, or the caller left. A prefill that ends after its attempt is counted by the `generation`
module.
"""

import typing

from .._effects import Count
from .._events import PrefillDone, RequestClosed, StreamEnded, StreamProgress
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import attempts, requests


class Progress:
    """Time of a request's first output, and the number of tokens in that output."""

    __slots__ = ("first", "count")

    def __init__(self, *, first: float, count: int) -> None:
        self.first = first
        self.count = count


@state_slice("measures")
class MeasuresState:
    """First outputs, and numbers of prefilled tokens without output so far, by request id."""

    __slots__ = ("progress", "prefilled")

    def __init__(self, cfg: Settings) -> None:
        self.progress: dict[str, Progress] = {}
        self.prefilled: dict[str, int] = {}


@handles(PrefillDone)
def record_prefill(state: State, event: PrefillDone) -> typing.Iterator[Step]:
    """Record a prefill without output yet; an earlier such prefill of the request was wasted."""
    if not attempts.is_current(state, event.request_id, event.attempt_id):
        return
    yield from _count_wasted(state, event.request_id)
    state["measures"].prefilled[event.request_id] = event.prompt_tokens - event.cached_tokens


@handles(StreamProgress)
def record_first_output(state: State, event: StreamProgress) -> None:
    """Record the first output of a request that this host serves."""
    measures = state["measures"]
    if event.request_id in measures.progress and event.request_id not in measures.prefilled:
        return
    if attempts.is_current(state, event.request_id, event.attempt_id):
        measures.prefilled.pop(event.request_id, None)
        first = Progress(first=event.at, count=event.count)
        measures.progress.setdefault(event.request_id, first)


@handles(StreamEnded)
def end(state: State, event: StreamEnded) -> typing.Iterator[Step]:
    """Count the answer's tokens as output, and as goodput if it met both latency targets."""
    req = requests.request_of(state, event.request_id)
    progress = state["measures"].progress.pop(event.request_id, None)
    if req is None or progress is None or not req.caller_present:
        return
    customer = req.customer.name
    yield Count(metric="output_tokens", label=customer, amount=event.offset)
    if _met_targets(state, req, progress, event):
        yield Count(metric="goodput_tokens", label=customer, amount=event.offset)


def _met_targets(
    state: State, req: requests.Request, progress: Progress, event: StreamEnded
) -> bool:
    targets = state.cfg.targets
    first_output_limit = targets.may_wait if req.plan.may_wait else targets.first_output
    later_tokens = event.offset - progress.count
    output_interval = (event.at - progress.first) / later_tokens if later_tokens > 0 else 0.0
    return (
        progress.first - req.arrived <= first_output_limit
        and output_interval <= targets.between_outputs
    )


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop a closed request, and count its prefill as wasted if it led to no output."""
    state["measures"].progress.pop(event.request_id, None)
    yield from _count_wasted(state, event.request_id)


def _count_wasted(state: State, request_id: str) -> typing.Iterator[Step]:
    tokens = state["measures"].prefilled.pop(request_id, 0)
    if tokens:
        yield Count(metric="prefill_wasted", amount=tokens)
