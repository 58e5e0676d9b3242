"""Forwarding to model engines: a place at a decode engine first, then the prefill, then the stream.

Load pattern answered: decode memory that is nearly full, where a prompt that was prefilled without
a place would be prefilled in vain. A stream that breaks off goes on at another engine behind the
last event that its caller got, where the route is resumable.
"""

import typing

from .._effects import Count, Observe, StartTimer
from .._effects_forwarding import DropTry, Forward, ReadPrompt, Relay
from .._errors import (
    ENDPOINT_CHANGED,
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    ENDPOINT_UNREACHABLE,
    OVERLOADED,
)
from .._events import (
    AnswerCame,
    HoldAnswered,
    LoadChanged,
    PlacesChanged,
    PromptAnswered,
    StreamDone,
    StreamMoved,
    TimerFired,
    TryFailed,
)
from .._reducer import Step, handles, on_timer
from .._state import State
from .._verdict import Verdict
from . import (
    busy_engines,
    directory,
    estimates,
    forward_waiting,
    forwarding,
    health,
    places,
    placing,
    rejecting,
    retry_budget,
    routes,
)
from .forwarding import Forwarded

BASE_PRIORITY = 4  # Rank at engines of the most urgent route; 5 is theirs where none is told.
LOWEST_PRIORITY = 9
CHANGED_TIME = 2.0  # Seconds in which the list should tell what an endpoint has become.
MISDIRECTED = 421
SILENCE = 1.2  # Seconds without a head after which a resumable stream is begun once more; longer
# than an engine takes that reads a whole prompt between the tokens of a full batch.
READ_SILENCE = 0.4  # Seconds over the time reckoned with after which a prefill is asked for again:
READ_SLACK = 2.0  # four times a prefill's own; and a factor for prompts that slow each other.


def start(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Let a generation wait for a place, unless no engine could ever hold it."""
    service = routes.service(state, req.service)
    traits = service.engine
    estimates.observe_sizes(state, service, req.route.name, req.ask)
    if req.ask.prompt_tokens + 1 > traits.memory_tokens:
        yield from forwarding.refuse(
            state, req, at, OVERLOADED, detail="the prompt is larger than an engine's memory"
        )
        return
    yield from forward_waiting.enqueue(state, req, at)


@handles(HoldAnswered)
def hold_answered(state: State, event: HoldAnswered) -> typing.Iterator[Step]:
    """Prefill once the place is held; otherwise wait for another place."""
    req = forwarding.call(state, event.call_id)
    if req is None or req.phase != forwarding.HOLDING or req.place.name != event.endpoint:
        return
    if event.failure is not None:
        places.mark_full(state, event.endpoint, event.at)
        yield Count(metric="holds", label=event.failure.reason.code)
        yield forwarding.log(
            "hold_refused",
            req,
            state,
            event.at,
            endpoint=event.endpoint,
            reason=event.failure.reason.code,
            cause=event.failure.detail,
        )
        yield from forwarding.vacate(state, req, event.at)
        if event.failure.reason is not ENDPOINT_REFUSED:
            yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
        yield from forward_waiting.enqueue(state, req, event.at)
        return
    health.record_answer(state, event.endpoint)
    yield Count(metric="holds", label="held")
    req.hold = event.hold
    yield from _read_prompt(state, req, event.at)


def _read_prompt(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Prefill at another engine; where that can't be, the decode engine does it itself."""
    if req.place.name in req.warm or req.reader is not None:
        yield from _send(state, req, at)
        return
    tokens = req.ask.prompt_tokens
    reader = placing.choose_prefill(
        state, req.service, req.place.zone, tokens, at, req.rejected, req.warm
    )
    free = req.prefills == 0 and retry_budget.remaining(state, req.service, at) >= 1.0
    if reader is None or not (free or retry_budget.try_spend(state, req.service, at)):
        yield from _send(state, req, at)
        return
    req.prefills += 1
    req.phase = forwarding.READING
    req.read_alone = places.load(state, reader.name, at).reading == 0
    req.sent_at = at
    forwarding.begin_reading(state, req, reader)
    health.record_chosen(state, reader.name)
    yield forwarding.log("prefill_sent", req, state, at, endpoint=reader.name, tokens=tokens)
    yield ReadPrompt(
        call_id=req.ask.call_id,
        endpoint=reader.name,
        address=reader.address,
        deadline=req.ends,
        priority=_priority(req),
        quiet=READ_SILENCE
        + READ_SLACK * placing.prefill_backlog_seconds(state, req.service, reader.name, at),
    )


def _priority(req: Forwarded) -> int:
    return min(LOWEST_PRIORITY, BASE_PRIORITY + req.route.priority)


@handles(PromptAnswered)
def prompt_answered(state: State, event: PromptAnswered) -> typing.Iterator[Step]:
    """Send the request to its place once the prompt is prefilled."""
    req = forwarding.call(state, event.call_id)
    if req is None or req.phase != forwarding.READING or req.reader.name != event.endpoint:
        return
    yield from forwarding.finish_reading(state, req, event.at)
    if event.failure is not None:
        unreached = event.failure.reason is ENDPOINT_UNREACHABLE
        yield Count(metric="prefills", label=event.failure.reason.code)
        yield forwarding.log(
            "prefill_failed",
            req,
            state,
            event.at,
            endpoint=event.endpoint,
            reason=event.failure.reason.code,
            cause=event.failure.detail,
        )
        was_shaky = places.is_unstable(state, event.endpoint, event.at)
        if event.failure.verdict is Verdict.NOT_RUN and not unreached:
            # A prefill that was refused counts as a repeat; the first that is taken does not.
            retry_budget.charge(state, req.service, event.at)
            req.prefills -= 1
            places.mark_full(state, event.endpoint, event.at, placing.PREFILL_REFUSED_TIME)
            if event.failure.reason is ENDPOINT_CHANGED:
                directory.set_busy(state, event.endpoint, event.at + CHANGED_TIME)
        else:
            yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
        if event.failure.verdict is Verdict.MAY_HAVE_RUN:
            req.note_lost(event.endpoint, again=was_shaky)
        else:
            req.rejected.append(event.endpoint)
        req.reader = None
        yield from _read_prompt(state, req, event.at)
        return
    health.record_success(state, event.endpoint)
    yield Count(metric="prefills", label="done")
    yield Observe(metric="prefill_time", value=event.at - req.sent_at)
    if req.read_alone:
        estimates.observe_prefill(state, req.service, req.ask.prompt_tokens, event.at - req.sent_at)
    req.handle = event.handle
    yield from _send(state, req, event.at)


def _send(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Send the request to the engine that holds its place, if that still takes new work."""
    endpoint = req.place
    if not directory.is_usable(state, endpoint.name):
        yield forwarding.log("place_leaving", req, state, at, endpoint=endpoint.name)
        yield from _wait_again(state, req, at)
        return
    req.begin_try(at)
    yield forwarding.log(
        "sent",
        req,
        state,
        at,
        endpoint=endpoint.name,
        zone=endpoint.zone,
        tries=req.number,
        source=req.reader.name if req.handle else "-",
    )
    yield Forward(
        call_id=req.ask.call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        number=req.number,
        deadline=req.ends,
        hold=req.hold,
        source=req.reader.address if req.handle else "",
        handle=req.handle,
        priority=_priority(req),
        connections=placing.connection_limit(state, req.service, at),
        resume=req.events > 0,
        quiet=SILENCE if _may_run_again(req) else 0.0,
    )
    req.hold = ""


def _may_run_again(req: Forwarded) -> bool:
    return req.route.repeatable and req.runs < req.route.max_attempts


def _wait_again(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    yield from forwarding.vacate(state, req, at)
    yield from forward_waiting.enqueue(state, req, at)


def came(state: State, req: Forwarded, event: AnswerCame) -> typing.Iterator[Step]:
    """Relay a stream; after a refusal or a failure, look for another place."""
    at = event.at
    if event.streams and event.status == 200:
        yield from forwarding.finish_reading(state, req, at)
        req.handle = ""  # The engine has fetched it.
        req.reader = None
        req.phase = forwarding.RELAYING
        req.relayed = True
        req.begun_at, req.begun_events = at, req.events
        places.begin_stream(state, event.endpoint, req.ask.call_id, at)
        health.record_success(state, event.endpoint)
        yield Observe(metric="stream_started", label=req.route.kind, value=at - req.arrived)
        yield Relay(call_id=req.ask.call_id, number=req.number)
        return
    if event.not_run:
        req.take_back_try()
        req.handle = ""  # A handle can be used once, also by a request that was refused.
        yield Count(metric="endpoint_refusals", label=req.service)
        places.mark_full(state, event.endpoint, at)
        if event.status == MISDIRECTED:
            directory.set_busy(state, event.endpoint, at + CHANGED_TIME)
        else:
            yield from busy_engines.ask_if_busy(state, req.place, at)
        req.rejected.append(event.endpoint)
        yield from _repeat(state, req, at, event.endpoint, f"status {event.status}", refused=True)
        return
    req.handle = ""
    yield from forwarding.note_failure(state, req, event.endpoint, None, event.at)
    if _may_run_again(req) and retry_budget.remaining(state, req.service, at) >= 1.0:
        req.rejected.append(event.endpoint)
        yield from _repeat(state, req, at, event.endpoint, f"status {event.status}", refused=False)
        return
    if req.relayed:
        yield from forwarding.refuse(
            state, req, at, ENDPOINT_FAILED, endpoint=event.endpoint, status=event.status
        )
        return
    yield forwarding.log(
        "relayed_failure", req, state, at, endpoint=event.endpoint, status=event.status
    )
    yield Relay(call_id=req.ask.call_id, number=req.number)


def failed(state: State, req: Forwarded, event: TryFailed) -> typing.Iterator[Step]:
    """Go on elsewhere after a stream broke off or never came, where that is allowed."""
    req.events = event.events
    not_run = event.failure.verdict is Verdict.NOT_RUN
    was_shaky = places.is_unstable(state, event.endpoint, event.at)
    if not_run:
        req.take_back_try()
    yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
    yield DropTry(call_id=req.ask.call_id, number=req.number)
    if event.failure.reason is ENDPOINT_FAILED:
        yield from _count_lost(state, req, event)
    if not_run or _may_run_again(req):
        cause = event.failure.detail
        unsent = event.failure.reason is ENDPOINT_UNREACHABLE
        if not not_run and not req.relayed:
            req.note_lost(event.endpoint, again=was_shaky)
        else:
            req.rejected.append(event.endpoint)
        yield from _repeat(
            state, req, event.at, event.endpoint, cause, refused=not_run, unsent=unsent
        )
        return
    yield from forwarding.refuse(
        state, req, event.at, ENDPOINT_FAILED, endpoint=event.endpoint, cause=event.failure.detail
    )


def _count_lost(state: State, req: Forwarded, event: TryFailed) -> typing.Iterator[Step]:
    """Go on counting a run whose connection ended: many engines work on to its end."""
    stream = places.keep_lost_stream(state, event.endpoint, req.ask.call_id, req.number)
    if stream is not None:
        key = places.lost_stream_key(req.ask.call_id, req.number)
        ends = stream.begins + stream.expected / estimates.token_rate(state, req.service)
        delay = max(0.0, ends - event.at)
        yield StartTimer(timer="lost_run", key=f"{event.endpoint} {key}", delay=delay)


@on_timer("lost_run")
def lost_run_ended(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Give the place of a lost run back."""
    endpoint, _, key = event.key.partition(" ")
    places.remove_request(state, endpoint, key)
    yield LoadChanged(at=event.at, of_stream=True)
    yield PlacesChanged(at=event.at)


def _repeat(
    state: State,
    req: Forwarded,
    at: float,
    endpoint: str,
    cause: str,
    *,
    refused: bool,
    unsent: bool = False,
) -> typing.Iterator[Step]:
    """Let the call wait for another place, if the budget of repeats has room."""
    yield forwarding.log(
        "try_failed", req, state, at, endpoint=endpoint, cause=cause, events=req.events
    )
    # Nothing reached an endpoint that takes no connection, so nothing is repeated.
    if not unsent and not retry_budget.try_spend(state, req.service, at):
        yield Count(metric="budget_empty", label=req.service)
        yield from forwarding.refuse(
            state,
            req,
            at,
            ENDPOINT_REFUSED if refused else ENDPOINT_FAILED,
            retry_after=rejecting.retry_after(state, req, at),
            endpoint=endpoint,
            budget=0,
            cause=cause,
        )
        return
    yield Count(metric="forward_repeats", label=req.service)
    yield from _wait_again(state, req, at)


@handles(StreamMoved)
def moved(state: State, event: StreamMoved) -> None:
    """Note how far a stream has come."""
    req = forwarding.call(state, event.call_id)
    if req is not None and req.number == event.number:
        req.events = event.events


@handles(StreamDone)
def done(state: State, event: StreamDone) -> None:
    """Learn from a stream that came to its end: how long it was, and how fast."""
    req = forwarding.call(state, event.call_id)
    if req is None or req.number != event.number:
        return
    req.events = event.events
    traits = routes.service(state, req.service)
    if traits is None or traits.engine is None:
        return
    stride = traits.engine.stride
    tokens = (req.events - req.begun_events) * stride
    estimates.observe_token_rate(state, req.service, tokens, event.at - req.begun_at)
    if not req.ask.resumed:
        estimates.observe_output(state, req.route.name, req.ask, req.events * stride)
