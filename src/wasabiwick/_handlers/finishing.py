"""The last step of a generation's answer, after which no output may follow."""

import typing

from .._effects import FinishStream
from .._reducer import Step
from .._state import State
from . import keys, requests
from .attempts import Generation


def finish(state: State, request_id: str, gen: Generation) -> typing.Iterator[Step]:
    """End the answer of the current call, and notify the key's owners that the request ended."""
    req = requests.request_of(state, request_id)
    if req.caller_present:
        yield FinishStream(call_id=req.call.call_id, request_id=request_id, finish=gen.finish)
    if req.call.has_key:
        yield from keys.report(state, request_id, gen.attempt_id, ended=True)
