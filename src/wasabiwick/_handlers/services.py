"""Calls of plain services: idempotent calls are balanced over endpoints, and retried at others."""

import typing

from .._effects import AnswerCall, CallService, Count
from .._errors import ENDPOINT_FAILED, KEY_REQUIRED, NO_ENDPOINT, Failure
from .._events import (
    AdmissionGiven,
    AttemptFailed,
    CallArrived,
    CallerGone,
    RequestClosed,
    RequestDenied,
    ServiceAnswered,
    ServiceWanted,
)
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from .._verdict import Verdict
from . import attempts, health, lists, members, requests

MAX_ATTEMPTS = 3
RETRY_AFTER = 0.5  # Seconds after which callers of failed service calls should retry.


class ServiceCall:
    """The current attempt of one idempotent service call."""

    __slots__ = ("attempt_id", "attempts", "avoid", "answered")

    def __init__(self, *, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.attempts = 1
        self.avoid: tuple[str, ...] = ()
        self.answered = False


@state_slice("services")
class ServicesState:
    """Idempotent calls in flight, by request id."""

    __slots__ = ("running",)

    def __init__(self, cfg: Settings) -> None:
        self.running: dict[str, ServiceCall] = {}


def is_idempotent(state: State, service: str, method: str, path: str) -> bool:
    """Return whether the operators declared a call as idempotent."""
    current_lists = lists.current(state)
    traits = current_lists.services.get(service) if current_lists else None
    if traits is None:
        return False
    for pattern in traits.idempotent:
        allowed_method, _, prefix = pattern.partition(" ")
        is_exact = not prefix.endswith("*")
        path_start = prefix.rstrip("*")
        if allowed_method == method and (
            path == path_start if is_exact else path.startswith(path_start)
        ):
            return True
    return False


@handles(AdmissionGiven)
def start(state: State, event: AdmissionGiven) -> typing.Iterator[Step]:
    """Send an idempotent call; pass any other call, which needs a key, to the effect protocol."""
    req = requests.request_of(state, event.request_id)
    if req is None or req.call.kind != "service":
        return
    call = req.call
    if not is_idempotent(state, call.target, call.method, call.path):
        if not call.has_key:
            failure = Failure(reason=KEY_REQUIRED, verdict=Verdict.NOT_RUN)
            yield RequestDenied(at=event.at, request_id=event.request_id, failure=failure)
            return
        yield ServiceWanted(at=event.at, request_id=event.request_id)
        return
    running = ServiceCall(attempt_id=attempts.new_attempt_id(state))
    state["services"].running[event.request_id] = running
    yield from _send_call(state, event.request_id, running, event.at)


def pick_endpoint(state: State, service: str, avoid: tuple[str, ...] = ()) -> str:
    """Return a usable endpoint of a plain service, or an empty string if there is none."""
    usable = [entry.name for entry in members.usable_endpoints(state, service)]
    preferred = [name for name in usable if name not in avoid] or usable
    return health.pick_endpoint(state, preferred)


def _send_call(
    state: State, request_id: str, running: ServiceCall, at: float
) -> typing.Iterator[Step]:
    call = requests.request_of(state, request_id).call
    endpoint = pick_endpoint(state, call.target, running.avoid)
    if not endpoint:
        failure = Failure(
            reason=NO_ENDPOINT,
            verdict=requests.verdict_of(state, call),
            detail=f'service "{call.target}" has no endpoint',
            retry_after=RETRY_AFTER,
        )
        yield RequestDenied(at=at, request_id=request_id, failure=failure)
        return
    requests.mark_may_have_run(state, request_id)
    yield CallService(
        request_id=request_id,
        attempt_id=running.attempt_id,
        endpoint=endpoint,
        service=call.target,
        method=call.method,
        path=call.path,
    )


@handles(ServiceAnswered)
def answered(state: State, event: ServiceAnswered) -> typing.Iterator[Step]:
    """Answer the caller of an idempotent call."""
    running = state["services"].running.get(event.request_id)
    req = requests.request_of(state, event.request_id)
    if running is None or running.attempt_id != event.attempt_id or not req.caller_present:
        return
    running.answered = True
    yield AnswerCall(
        call_id=req.call.call_id,
        status=event.status,
        body=event.body,
        content_type=event.content_type,
    )


@handles(CallArrived)
def rejoin(state: State, event: CallArrived) -> typing.Iterator[Step]:
    """Repeat the attempt for a newer call if the answer was already sent to an older call."""
    running = state["services"].running.get(event.call.request_id)
    req = requests.request_of(state, event.call.request_id)
    if running and running.answered and req.call is event.call:
        running.answered = False
        running.attempt_id = attempts.new_attempt_id(state)
        yield from _send_call(state, event.call.request_id, running, event.at)


@handles(AttemptFailed)
def retry_elsewhere(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Retry an idempotent call at another endpoint."""
    running = state["services"].running.get(event.request_id)
    if running is None or event.phase != "service" or running.attempt_id != event.attempt_id:
        return
    if running.attempts >= MAX_ATTEMPTS:
        failure = Failure(
            reason=ENDPOINT_FAILED,
            verdict=Verdict.MAY_HAVE_RUN,
            detail=event.failure.detail,
            retry_after=RETRY_AFTER,
        )
        yield RequestDenied(at=event.at, request_id=event.request_id, failure=failure)
        return
    running.attempts += 1
    running.attempt_id = attempts.new_attempt_id(state)
    running.avoid = (*running.avoid, event.endpoint)
    yield Count(metric="service_retries")
    yield from _send_call(state, event.request_id, running, event.at)


@handles(CallerGone)
def caller_gone(state: State, event: CallerGone) -> typing.Iterator[Step]:
    """Close a service call that no caller waits for; the effect protocol ends its own work."""
    req = requests.request_of(state, event.request_id)
    if req and req.call.call_id == event.call_id and req.call.kind == "service":
        yield RequestClosed(at=event.at, request_id=event.request_id)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Drop the attempt of a closed call."""
    state["services"].running.pop(event.request_id, None)
