"""The end of a request: the last handler of `RequestClosed` drops its record."""

import typing

from .._effects import ForgetRequest
from .._events import RequestClosed
from .._reducer import Step, handles
from .._state import State


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the request after every other concern has dropped what it held for it."""
    state["calls"].requests.pop(event.request_id, None)
    yield ForgetRequest(request_id=event.request_id)
