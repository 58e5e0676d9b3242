"""Forwarded calls: the state of each, and the steps that every kind of route shares.

One verdict goes from the endpoint to the caller: a refusal that promises the request has not run is
given only while nothing was sent, or after the endpoint itself stated so.
"""

import typing

from .._effects import Count, LogLine, Observe, StartTimer, StopTimer
from .._effects_forwarding import CutForward, DropHold, DropTry, FreeHandle, RefuseForward
from .._errors import ENDPOINT_FAILED, ENDPOINT_UNREACHABLE, Failure, Reason
from .._events import ForwardAnswered, LoadChanged, PlacesChanged
from .._forwarding import Ask, Endpoint, Route, StreamLoad
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from .._verdict import Verdict
from . import directory, health, neighbours, places, routes
from .host import busy_check

PROMISES = (408, 421, 429, 503)  # Statuses that promise that a request has not run and never will.

WAITING = "waiting"
HOLDING = "holding"
READING = "reading"
SENT = "sent"
RELAYING = "relaying"


class Forwarded:
    """One call while it is served.

    Attributes:
        phase: What is under way for it.
        service: Service that it goes to.
        number: Tries so far; each send to an endpoint is one.
        ran_at: Endpoint of each send that may have run it.
        rejected: Endpoints that refused it or failed, which are asked again last.
        place: Endpoint whose ledger counts it.
        reader: Engine that prefills it, while that is under way or its handle is not fetched; its
            place where that reads the prompt itself.
        lost: Engines whose answer was lost before it began; they may have the prompt in memory.
        read_alone: Whether that engine had no other prompt to prefill, as far as is known.
        hold: Place held at the engine and not used yet.
        handle: KV cache at the reader that is not fetched yet.
        events: Events that the caller got.
        begun_at: Monotonic time at which the newest try's answer began.
        begun_events: Events that the caller had by then.
    """

    __slots__ = (
        "ask",
        "route",
        "service",
        "arrived",
        "ends",
        "phase",
        "number",
        "ran_at",
        "lost",
        "rejected",
        "place",
        "reader",
        "reading",
        "read_alone",
        "prefills",
        "hold",
        "handle",
        "events",
        "begun_at",
        "begun_events",
        "sent_at",
        "relayed",
    )

    def __init__(self, *, ask: Ask, route: Route, service: str, arrived: float) -> None:
        self.ask = ask
        self.route = route
        self.service = service
        self.arrived = arrived
        self.ends = min(ask.deadline, arrived + route.timeout)
        self.phase = WAITING
        self.number = 0
        self.ran_at: list[str] = []
        self.lost: list[str] = []
        self.rejected: list[str] = []
        self.place: Endpoint | None = None
        self.reader: Endpoint | None = None
        self.reading = 0
        self.read_alone = False
        self.prefills = 0
        self.hold = ""
        self.handle = ""
        self.events = 0
        self.begun_at = 0.0
        self.begun_events = 0
        self.sent_at = 0.0
        self.relayed = False

    @property
    def runs(self) -> int:
        """How many endpoints may have run it."""
        return len(set(self.ran_at))

    @property
    def ran(self) -> bool:
        """Whether an endpoint may have begun to run it."""
        return bool(self.ran_at)

    @property
    def warm(self) -> list[str]:
        """Engines that may have the prompt in memory and have not failed twice."""
        return [name for name in self.lost if name not in self.rejected]

    def note_lost(self, endpoint: str, *, again: bool) -> None:
        """Note that an engine's answer was lost before it began.

        Args:
            endpoint: Name of the engine.
            again: Whether it lost another answer shortly before.
        """
        first = endpoint not in self.lost and not again
        (self.lost if first else self.rejected).append(endpoint)

    def begin_try(self, at: float) -> None:
        """Count a send to its place, which may have the request from now on."""
        self.number += 1
        self.phase = SENT
        self.sent_at = at
        self.ran_at.append(self.place.name)

    def take_back_try(self) -> None:
        """Count the newest send as not run: the endpoint says so, or nothing reached it."""
        self.ran_at.pop()


@state_slice("forwarding")
class ForwardingState:
    """Calls in progress, by call id."""

    __slots__ = ("calls",)

    def __init__(self, cfg: Settings) -> None:
        self.calls: dict[str, Forwarded] = {}


def call(state: State, call_id: str) -> Forwarded | None:
    """Return a call in progress, or None."""
    return state["forwarding"].calls.get(call_id)


@busy_check
def open_calls(state: State) -> int:
    """Count the calls in progress."""
    return len(state["forwarding"].calls)


def log(event: str, req: Forwarded, state: State, at: float, **fields: object) -> LogLine:
    """Return a log line on a decision, with the versions and ages of what it rests on."""
    return LogLine(
        event=event,
        fields={
            "request": req.ask.trace_id,
            "call": req.ask.call_id,
            "route": req.route.name,
            "waited": at - req.arrived,
            **fields,
            "routes_version": routes.version(state),
            "list_age": directory.age(state, at),
            "loads_age": neighbours.age(state, at) or "-",
        },
    )


def open_call(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Note a new call, and set the timer that ends it."""
    state["forwarding"].calls[req.ask.call_id] = req
    yield Count(metric="forwarded", label=req.route.kind)
    yield StartTimer(timer="forward_ends", key=req.ask.call_id, delay=max(0.0, req.ends - at))


def occupy(
    state: State, req: Forwarded, endpoint: Endpoint, stream: StreamLoad | None, at: float
) -> Step:
    """Count a call at an endpoint's ledger."""
    req.place = endpoint
    places.add_request(state, endpoint.name, req.ask.call_id, stream)
    return LoadChanged(at=at, of_stream=stream is not None)


def vacate(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Take a call out of the ledger, with its hold if that was not used."""
    yield from release_reader(state, req, at)
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


def begin_reading(state: State, req: Forwarded, reader: Endpoint) -> None:
    """Count a call's prompt at the engine that is to read it."""
    req.reader, req.reading = reader, req.ask.prompt_tokens
    places.add_prefill_tokens(state, reader.name, req.reading)


def finish_reading(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Take a call's prefill out of the ledger."""
    if req.reader is not None and req.reading:
        places.add_prefill_tokens(state, req.reader.name, -req.reading)
        req.reading = 0
        yield LoadChanged(at=at, of_stream=True)


def release_reader(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """End a call's use of the engine that prefills it; a handle nobody fetched is freed."""
    yield from finish_reading(state, req, at)
    if req.handle and req.reader is not None:
        yield FreeHandle(
            call_id=req.ask.call_id,
            endpoint=req.reader.name,
            address=req.reader.address,
            handle=req.handle,
        )
        yield Count(metric="prefills_in_vain")
        req.handle = ""
    req.reader = None


def note_failure(
    state: State, req: Forwarded, endpoint: str, failure: Failure | None, at: float
) -> typing.Iterator[Step]:
    """Judge an endpoint by a failure; one that takes no connection gets no work for a while.

    Args:
        state: The host's state.
        req: The call that met it.
        endpoint: Name of the endpoint.
        failure: What happened; None for a whole answer that is a failure of the endpoint's own.
        at: Monotonic time.
    """
    if failure is not None and failure.reason is ENDPOINT_UNREACHABLE:
        yield from health.record_unreachable(state, endpoint)
        return
    if failure is not None:
        places.mark_unstable(state, endpoint, at)
    peers = [one.name for one in directory.usable(state, req.service)]
    yield from health.record_failure(state, endpoint, peers=peers)


def close(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Forget a call, stop what it has under way, and free what is held for it."""
    if state["forwarding"].calls.pop(req.ask.call_id, None) is None:
        return
    yield StopTimer(timer="forward_ends", key=req.ask.call_id)
    yield DropTry(call_id=req.ask.call_id, number=req.number)
    yield from vacate(state, req, at)


def refuse(
    state: State,
    req: Forwarded,
    at: float,
    reason: Reason,
    *,
    retry_after: float | None = None,
    detail: str = "",
    **inputs: object,
) -> typing.Iterator[Step]:
    """End a call with a failure of this host; after output has gone out, by breaking off.

    Args:
        state: The host's state.
        req: The call.
        at: Monotonic time.
        reason: Why it fails; one that promises too much for the call is replaced.
        retry_after: Seconds after which the caller should come back.
        detail: Sentence for the caller.
        **inputs: What the decision rests on, for the log.
    """
    verdict = Verdict.MAY_HAVE_RUN if req.ran else Verdict.NOT_RUN
    if req.ran and reason.status in PROMISES:
        reason = ENDPOINT_FAILED
    if req.ran:
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
    yield log("cut" if req.relayed else "refused", req, state, at, **fields)
    if req.relayed:
        yield CutForward(call_id=req.ask.call_id)
    else:
        yield RefuseForward(call_id=req.ask.call_id, failure=failure)
    yield from close(state, req, at)


@handles(ForwardAnswered)
def answered(state: State, event: ForwardAnswered) -> typing.Iterator[Step]:
    """Forget a call whose whole answer was written."""
    req = call(state, event.call_id)
    if req is None:
        return
    yield Count(metric="forward_answered", label=req.route.kind)
    yield Observe(metric="forward_time", label=req.route.kind, value=event.at - req.arrived)
    yield log(
        "served",
        req,
        state,
        event.at,
        endpoint=req.place.name if req.place else "-",
        tries=req.number,
        events=req.events,
    )
    yield from close(state, req, event.at)
