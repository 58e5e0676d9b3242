"""Requests that this host serves: their customer and plan, and whether they may have run.

The modules that handle requests share this state; this module imports none of them.
"""

import typing

from .._effects import Count, RefuseCall
from .._errors import Failure
from .._events import Call
from .._lists import Customer, Plan
from .._reducer import Step
from .._settings import Settings
from .._state import State, state_slice
from .._verdict import Verdict
from .host import busy_check


class Request:
    """One request that this host serves, with all the calls that repeat it.

    Args:
        call: The newest call of the request.
        customer: The customer that made the call.
        plan: The customer's plan when the request arrived.
        version: Version of the operators' lists when the request arrived.
        arrived: Monotonic time of the first call on this host.
    """

    __slots__ = ("call", "customer", "plan", "version", "arrived", "caller_present", "may_have_run")

    def __init__(
        self, *, call: Call, customer: Customer, plan: Plan, version: int, arrived: float
    ) -> None:
        self.call = call
        self.customer = customer
        self.plan = plan
        self.version = version
        self.arrived = arrived
        self.caller_present = True
        self.may_have_run = False


@state_slice("calls")
class CallsState:
    """Requests that this host serves, by request id."""

    __slots__ = ("requests",)

    def __init__(self, cfg: Settings) -> None:
        self.requests: dict[str, Request] = {}


def request_of(state: State, request_id: str) -> Request | None:
    """Return a request that this host serves, or None."""
    return state["calls"].requests.get(request_id)


def mark_may_have_run(state: State, request_id: str) -> None:
    """Record that an endpoint may have begun to run the request."""
    req = request_of(state, request_id)
    if req:
        req.may_have_run = True


def verdict_of(state: State, call: Call) -> Verdict:
    """Return the strongest verdict that this host alone can prove for a refused call.

    An earlier call with the same key may have reached another host. So this host alone can't prove
    that a call with a key has not run; the handlers that keep the key's records can.
    """
    req = request_of(state, call.request_id)
    if call.has_key or (req and req.may_have_run):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def refuse(call_id: str, failure: Failure) -> typing.Iterator[Step]:
    """Answer a call with a failure and count it by reason and by whether it may have run."""
    yield RefuseCall(call_id=call_id, failure=failure)
    yield Count(metric="refused", label=failure.reason.code)
    yield Count(metric="refused_verdict", label=failure.verdict.value)


@busy_check
def open_requests(state: State) -> int:
    """Return the number of requests that are not closed."""
    return len(state["calls"].requests)
