"""Removal of closed requests, by the last handler of `RequestClosed`."""

import typing

from .._effects import ForgetRequest
from .._events import RequestClosed
from .._reducer import Step, handles
from .._state import State


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the request after all other handlers have dropped their state for it."""
    state["calls"].requests.pop(event.request_id, None)
    yield ForgetRequest(request_id=event.request_id)
