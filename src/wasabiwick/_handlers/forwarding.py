"""State of each forwarded call, and the steps shared by plain and streaming routes.

A caller is told that its request has not run only if nothing was sent to an endpoint, or if the
endpoint itself said so.
"""

import typing

from .._effects import Count, LogLine, Observe, StartTimer, StopTimer
from .._effects_forwarding import (
    CutForward,
    DropHold,
    DropTry,
    FreeHandle,
    RefuseForward,
    Relay,
)
from .._errors import ENDPOINT_FAILED, ENDPOINT_UNREACHABLE, UNREAD, Failure, Reason
from .._events import (
    AnswerCame,
    ForwardAnswered,
    LoadChanged,
    PermitSettled,
    PlacesChanged,
    StepFailed,
)
from .._forwarding import (
    Ask,
    BegunStream,
    Endpoint,
    Organisation,
    Route,
    StreamLoad,
)
from .._prompt_parts import listed
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from .._verdict import Verdict
from . import (
    builds,
    directory,
    health,
    neighbours,
    organisation_limits,
    places,
    reach,
    retry_budget,
    routes,
)
from .host import busy_check

T = typing.TypeVar("T")

# HTTP statuses by which a caller knows that its request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
SERVER_ERROR = 500  # Lowest HTTP status of an endpoint's own failures.

# Phases of a call: waiting for a place at an endpoint, asking whether an endpoint's limit has room,
# reserving the place, having the prompt prefilled, sent to the endpoint, and relaying the answer.
# The values are written to logs and metrics.
WAITING = "waiting"
ASKING = "asking"
HOLDING = "holding"
PREFILLING = "reading"
SENT = "sent"
RELAYING = "relaying"


class ForwardedCall:
    """A caller's request while this host forwards it.

    Attributes:
        phase: Current phase, such as `WAITING`.
        service: Name of the service that the request is sent to.
        arrived_at: Monotonic time at which the request arrived.
        ends_at: Monotonic time by which the caller gets a final answer.
        number: Number of tries so far. A try sends the request to an endpoint; a prefill is no try.
        may_have_run_at: Names of the endpoints that may have run the request, one entry for
            each such try.
        lost: Names of engines that may have received the request but did not begin to answer; they
            may have the prompt in memory.
        avoid: Names of endpoints that refused the request or failed. A plain request is not sent
            to them again, a generation only if no other endpoint has room.
        asked: Endpoint whose limit has to have room, while the phase is `ASKING`; otherwise None.
        place: Endpoint whose load counts the request, or None.
        prefill_engine: Engine that prefills the prompt; None before that, and again once the decode
            engine has fetched the KV cache. It is the decode engine if that prefills the prompt
            itself.
        reading: Prompt tokens counted in the load of `prefill_engine` until they are prefilled.
        prefilled_after: Tokens of other prompts that `prefill_engine` had to prefill when it was
            sent this one, as far as this host knows.
        prefills: Number of prefills sent that were not refused.
        hold: Identifier of the reservation at `place` while it is unused, or empty.
        handle: Identifier of a KV cache that was not fetched yet from the prefill engine, or empty.
        events: Number of stream events that the caller got.
        begun_at: Monotonic time at which the newest try's answer began.
        begun_events: Number of events that the caller had at `begun_at`.
        sent_at: Monotonic time at which the newest prefill or try was sent.
        relay_begun: Whether this host has begun to relay a stream to the caller.
        has_length: Whether the newest answer states its length or comes in chunks.
        is_trial: Whether the call shows if a blocked part is sound; it is sent once only.
        max_attempts: Largest number of endpoints that may run the request for this host.
        passed_by: Host that passed the call to this one, or empty.
        host: Host that this one has passed the call to, or empty.
        hosts_tried: Names of the hosts that it was passed to.
        unreachable: Names of the endpoints that accepted no connection for it.
        build: Build that began the caller's stream, at which alone it may go on; empty if the
            stream has not begun, or engines state no build.
        yields: Whether it goes behind the calls of other organisations, as its own has used more
            than its share.
        organisation: The caller's organisation by the newest version of the routes under which the
            call was judged; None if it needs none.
        charge: What the call was counted as against its organisation's limit, or None.
    """

    __slots__ = (
        "ask",
        "route",
        "service",
        "arrived_at",
        "ends_at",
        "phase",
        "number",
        "may_have_run_at",
        "lost",
        "avoid",
        "asked",
        "place",
        "prefill_engine",
        "reading",
        "prefilled_after",
        "prefills",
        "hold",
        "handle",
        "events",
        "begun_at",
        "begun_events",
        "sent_at",
        "relay_begun",
        "has_length",
        "is_trial",
        "max_attempts",
        "passed_by",
        "host",
        "hosts_tried",
        "unreachable",
        "build",
        "yields",
        "organisation",
        "charge",
    )

    def __init__(self, *, ask: Ask, route: Route, service: str, arrived_at: float) -> None:
        self.ask = ask
        self.route = route
        self.service = service
        self.arrived_at = arrived_at
        self.ends_at = min(ask.deadline, arrived_at + route.timeout)
        self.phase = WAITING
        self.number = 0
        self.may_have_run_at: list[str] = []
        self.lost: list[str] = []
        self.avoid: list[str] = []
        self.asked: Endpoint | None = None
        self.place: Endpoint | None = None
        self.prefill_engine: Endpoint | None = None
        self.reading = 0
        self.prefilled_after = 0
        self.prefills = 0
        self.hold = ""
        self.handle = ""
        self.events = 0
        self.begun_at = 0.0
        self.begun_events = 0
        self.sent_at = 0.0
        self.relay_begun = False
        self.has_length = True
        self.is_trial = False
        self.max_attempts = route.max_attempts
        self.passed_by = ""
        self.host = ""
        self.hosts_tried: list[str] = []
        self.unreachable: set[str] = set()
        self.build = ""
        self.yields = False
        self.organisation: Organisation | None = None
        self.charge: organisation_limits.Charge | None = None

    @property
    def priority(self) -> int:
        """Priority of the caller's organisation, or else of the route; 0 is the most urgent."""
        own = self.organisation.priority if self.organisation is not None else None
        return self.route.priority if own is None else own

    @property
    def stream_name(self) -> str:
        """Identifier of the caller's attempt that brought the stream's first event, or will."""
        return self.ask.resumes or self.ask.trace_id

    @property
    def possible_runs(self) -> int:
        """Number of endpoints that may have run the request."""
        return len(set(self.may_have_run_at))

    @property
    def may_have_run(self) -> bool:
        """Whether any endpoint may have begun to run the request."""
        return bool(self.may_have_run_at)

    @property
    def has_attempt_left(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        may_repeat = self.route.repeatable and self.possible_runs < self.max_attempts
        return may_repeat and not self.is_trial

    @property
    def broke_off(self) -> bool:
        """Whether the caller has a part of the stream, from this call or an earlier one."""
        return self.relay_begun or self.ask.resumed

    @property
    def warm_engines(self) -> list[str]:
        """Names of engines that may have the prompt in memory and are not in `avoid`."""
        return [name for name in self.lost if name not in self.avoid]

    def begin_asking(self, endpoint: Endpoint) -> None:
        """Record that another host was asked whether an endpoint's limit has room."""
        self.phase = ASKING
        self.asked = endpoint

    def end_asking(self) -> Endpoint:
        """Return the endpoint that was asked for, now that the answer is known."""
        endpoint, self.asked = self.asked, None
        self.phase = WAITING
        return endpoint

    def note_lost_answer(self, endpoint: str, *, repeated: bool) -> None:
        """Record that an engine did not begin to answer although it may have got the request.

        After the first such failure the engine is preferred for the next try, as it may have the
        prompt in memory. After another one it is avoided.

        Args:
            endpoint: Name of the engine.
            repeated: Whether the engine aborted a request of any call shortly before.
        """
        is_first = endpoint not in self.lost and not repeated
        (self.lost if is_first else self.avoid).append(endpoint)

    def note_broken_off(self, events: int) -> None:
        """Record how many events the caller has; once it has any, they bind it to their build."""
        self.events = events
        if events and not self.build and self.place is not None:
            self.build = self.place.build

    def begin_hop(self, host: str, at: float) -> None:
        """Count a try through another host; from now on an endpoint may run the request."""
        self.host = host
        self.hosts_tried.append(host)
        self.number += 1
        self.phase = SENT
        self.sent_at = at
        self.may_have_run_at.append(f"{host}#{self.number}")

    def begin_try(self, at: float) -> None:
        """Count a try at the call's place; from now on the endpoint there may run the request."""
        self.host = ""
        self.number += 1
        self.phase = SENT
        self.sent_at = at
        self.may_have_run_at.append(self.place.name)

    def mark_not_run(self) -> None:
        """Record that the newest try did not run: the endpoint said so, or nothing reached it."""
        self.may_have_run_at.pop()


@state_slice("forwarding")
class ForwardingState:
    """Calls in progress, by call id."""

    __slots__ = ("calls",)

    def __init__(self, cfg: Settings) -> None:
        self.calls: dict[str, ForwardedCall] = {}


def call(state: State, call_id: str) -> ForwardedCall | None:
    """Return a call in progress, or None."""
    return state["forwarding"].calls.get(call_id)


def asking_call(state: State, event: PermitSettled) -> ForwardedCall | None:
    """Return the call that waits for the room in an endpoint's limit that an event tells of."""
    req = call(state, event.call_id)
    if req is None or req.phase != ASKING or req.asked.name != event.endpoint:
        return None
    return req


@busy_check
def open_calls(state: State) -> int:
    """Count the calls in progress."""
    return len(state["forwarding"].calls)


def log(event: str, req: ForwardedCall, state: State, at: float, **fields: object) -> LogLine:
    """Return a log line about a decision, with the version or age of the data behind it."""
    return LogLine(
        event=event,
        fields={
            "request": req.ask.trace_id,
            "call": req.ask.call_id,
            "route": req.route.name,
            "waited": at - req.arrived_at,
            **fields,
            "routes_version": routes.version(state),
            "list_age": directory.list_age(state, at),
            "loads_age": neighbours.load_age(state, at) or "-",
        },
    )


def failed_try_line(
    state: State, req: ForwardedCall, endpoint: str, cause: str, at: float
) -> LogLine:
    """Return a log line about a try that failed, before another one is looked for."""
    return log(
        "try_failed",
        req,
        state,
        at,
        endpoint=endpoint,
        cause=cause,
        events=req.events,
        begun_ago=at - req.begun_at if req.phase == RELAYING else "-",
        parts=listed(req.ask.blockable),
    )


def guarded(
    req: ForwardedCall, at: float, steps: typing.Generator[Step, None, T]
) -> typing.Generator[Step, None, T | None]:
    """Yield the steps for one of several calls; an exception ends that call alone.

    Args:
        req: The call.
        at: Monotonic time.
        steps: The steps, whose result is returned; None after an exception.
    """
    try:
        return (yield from steps)
    except Exception as exc:  # noqa: BLE001 - reported with its traceback
        yield failed(req, at, exc)
        return None


def failed(req: ForwardedCall, at: float, error: Exception) -> StepFailed:
    """Return the event by which a call ends whose part of a handler's work raised an exception."""
    return StepFailed(at=at, subject=(req.ask.trace_id, req.ask.call_id), error=error)


def open_call(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Register a new call, and start the timer that ends it."""
    state["forwarding"].calls[req.ask.call_id] = req
    yield Count(metric="forwarded", label=req.route.kind)
    yield StartTimer(timer="forward_ends", key=req.ask.call_id, delay=max(0.0, req.ends_at - at))


def take_place(
    state: State, req: ForwardedCall, endpoint: Endpoint, stream: StreamLoad | None, at: float
) -> Step:
    """Count a call in the load of an endpoint, which becomes the call's place."""
    organisation_limits.note_try(state, req, at)
    req.place = endpoint
    reach.note_sent(state, req.service, at)
    places.add_request(state, endpoint.name, req.ask.call_id, stream)
    return LoadChanged(at=at, of_stream=stream is not None)


def begin_relay(state: State, req: ForwardedCall, at: float, build: str) -> Step:
    """Record that a stream has begun at an endpoint of a build and is relayed to the caller."""
    req.phase = RELAYING
    req.relay_begun = True
    req.begun_at, req.begun_events = at, req.events
    stream = BegunStream(
        name=req.stream_name,
        service=req.service,
        build=build,
        began=at,
    )
    builds.begin_stream(state, stream)
    return LoadChanged(at=at, of_stream=True)


def release_place(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Release a call's place and prefill engine, and cancel a hold that was not used."""
    yield from release_prefill_engine(state, req, at)
    if req.place is None:
        return
    if req.hold:
        yield DropHold(
            call_id=req.ask.call_id,
            endpoint=req.place.name,
            address=req.place.address,
            hold=req.hold,
        )
        req.hold = ""
    was_stream = places.remove_request(state, req.place.name, req.ask.call_id)
    req.place = None
    yield LoadChanged(at=at, of_stream=was_stream)
    yield PlacesChanged(at=at)


def may_be_sent_again(state: State, req: ForwardedCall, at: float) -> bool:
    """Return whether a call could go to another endpoint if its newest try stayed silent.

    Without a retry left, a silent endpoint is the only one that can still answer.
    """
    return req.has_attempt_left and retry_budget.has_retry_left(state, req.service, at)


def begin_prefill(state: State, req: ForwardedCall, engine: Endpoint) -> None:
    """Count a call's prompt in the load of the engine that is to prefill it."""
    req.prefill_engine, req.reading = engine, req.ask.prompt_tokens
    places.add_prefill_tokens(state, engine.name, req.reading)


def finish_prefill(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Stop counting a call's prompt in the load of its prefill engine."""
    if req.prefill_engine is not None and req.reading:
        places.add_prefill_tokens(state, req.prefill_engine.name, -req.reading)
        req.reading = 0
        yield LoadChanged(at=at, of_stream=True)


def release_prefill_engine(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """End a call's use of its prefill engine, and free a KV cache that was not fetched."""
    yield from finish_prefill(state, req, at)
    if req.handle and req.prefill_engine is not None:
        yield FreeHandle(
            call_id=req.ask.call_id,
            endpoint=req.prefill_engine.name,
            address=req.prefill_engine.address,
            handle=req.handle,
        )
        yield Count(metric="prefills_in_vain")
        req.handle = ""
    req.prefill_engine = None


def note_failure(
    state: State, req: ForwardedCall, endpoint: str, failure: Failure | None, at: float
) -> typing.Iterator[Step]:
    """Record a failure in an endpoint's health; an unreachable endpoint gets no work for a while.

    Args:
        state: The host's state.
        req: The call that failed.
        endpoint: Name of the endpoint.
        failure: What happened; None if the endpoint answered in full with a server error. That a
            caller left an answer unread tells nothing of the endpoint.
        at: Monotonic time.
    """
    if failure is not None and failure.reason is UNREAD:
        return
    if failure is not None and failure.reason is ENDPOINT_UNREACHABLE:
        req.unreachable.add(endpoint)
        yield from health.record_unreachable(state, endpoint)
        return
    if failure is not None:
        places.mark_unstable(state, endpoint, at)
    peers = [one.name for one in directory.usable_endpoints(state, req.service)]
    yield from health.record_failure(state, endpoint, peers=peers)


def close_call(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Remove a call, abort its requests to endpoints, and free what is reserved for it."""
    if state["forwarding"].calls.pop(req.ask.call_id, None) is None:
        return
    organisation_limits.settle(state, req, at)
    yield StopTimer(timer="forward_ends", key=req.ask.call_id)
    yield DropTry(call_id=req.ask.call_id, number=req.number)
    yield from release_place(state, req, at)


def refuse_call(
    state: State,
    req: ForwardedCall,
    at: float,
    reason: Reason,
    *,
    retry_after: float | None = None,
    detail: str = "",
    **inputs: object,
) -> typing.Iterator[Step]:
    """End a call with an error from this host, or cut off an answer that has begun.

    Args:
        state: The host's state.
        req: The call.
        at: Monotonic time.
        reason: Why the call fails; replaced by `ENDPOINT_FAILED` if the reason's status says that
            the request has not run although it may have.
        retry_after: Seconds after which the caller should retry; left out of the answer if the
            request may have run.
        detail: Explanation for the caller.
        **inputs: Data behind the decision, for the log.
    """
    verdict = Verdict.MAY_HAVE_RUN if req.may_have_run else Verdict.NOT_RUN
    if req.may_have_run and reason.status in NOT_RUN_STATUSES:
        reason = ENDPOINT_FAILED
    if req.may_have_run:
        retry_after = None
    failure = Failure(reason=reason, verdict=verdict, detail=detail, retry_after=retry_after)
    fields = {
        "reason": reason.code,
        "verdict": verdict.value,
        "tries": req.number,
        "retry_after": retry_after if retry_after is not None else "-",
        **inputs,
    }
    yield Count(metric="forward_refused", label=reason.code)
    yield log("cut" if req.relay_begun else "refused", req, state, at, **fields)
    if req.relay_begun:
        yield CutForward(call_id=req.ask.call_id)
    else:
        yield RefuseForward(call_id=req.ask.call_id, failure=failure)
    yield from close_call(state, req, at)


def relay_answer(
    state: State, req: ForwardedCall, event: AnswerCame, **inputs: object
) -> typing.Iterator[Step]:
    """Relay an endpoint's answer that is no stream, unless its status would break a promise.

    Some statuses promise that the request has not run. An endpoint that has not run a request says
    so in another way (`AnswerCame.not_run`), and such an answer is never relayed. Without that, the
    request may have run, and the caller gets an error of this host that promises nothing. Neither
    can the answer stand in a stream that has begun.

    Args:
        state: The host's state.
        req: The call.
        event: The answer.
        **inputs: Who gave it, for the log.
    """
    if req.relay_begun or event.status in NOT_RUN_STATUSES:
        detail = f"the endpoint answered status {event.status}"
        yield from refuse_call(
            state, req, event.at, ENDPOINT_FAILED, detail=detail, status=event.status, **inputs
        )
        return
    if event.status >= SERVER_ERROR:
        yield log("relayed_failure", req, state, event.at, status=event.status, **inputs)
    yield Relay(call_id=req.ask.call_id, number=req.number)


def is_failure(status: int) -> bool:
    """Return whether an answer that does not say `not_run` shows that an endpoint failed."""
    return status >= SERVER_ERROR or status in NOT_RUN_STATUSES


@handles(ForwardAnswered)
def call_answered(state: State, event: ForwardAnswered) -> typing.Iterator[Step]:
    """Count and remove a call whose answer was written to its end."""
    req = call(state, event.call_id)
    if req is None:
        return
    yield Count(metric="forward_answered", label=req.route.kind)
    yield Observe(metric="forward_time", label=req.route.kind, value=event.at - req.arrived_at)
    yield log(
        "served",
        req,
        state,
        event.at,
        endpoint=req.place.name if req.place else "-",
        host=req.host or "-",
        passed_by=req.passed_by or "-",
        tries=req.number,
        events=req.events,
        has_length=req.has_length,
    )
    yield from close_call(state, req, event.at)
