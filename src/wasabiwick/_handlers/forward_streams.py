"""Forwards generations to model engines: reserves a decode place, prefills, then streams.

Load pattern handled: decode memory is nearly full. If a prompt were prefilled before its place is
reserved, there might be no place for it, and the prefill would be wasted. Where the route is
resumable, a stream that breaks off continues after the last event that its caller got, at another
engine of the same build: engines don't check it, but what two builds write does not fit together.
"""

import typing

from .._effects import Count, EnsureTimer, Observe, StartTimer
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
    PermitSettled,
    PlacesChanged,
    PromptAnswered,
    StepFailed,
    StreamDone,
    StreamMoved,
    TimerFired,
    TryFailed,
)
from .._forwarding import Endpoint, StreamLoad
from .._prompt_parts import listed
from .._reducer import Step, handles, on_timer
from .._state import State
from .._verdict import Verdict
from . import (
    busy_engines,
    caller_keys,
    directory,
    engine_signs,
    estimates,
    forward_waiting,
    forwarding,
    health,
    hops,
    pauses,
    permits,
    places,
    placing,
    rejecting,
    reserves,
    retry_budget,
    routes,
    shares,
    stopping,
)
from .forwarding import ForwardedCall

BASE_PRIORITY = 4  # Priority sent to engines for the most urgent route; engines default to 5.
BROKEN_OFF_PRIORITY = 3  # The same for streams of which the caller has a part.
LOWEST_PRIORITY = 9  # Highest, least urgent priority number sent to engines.
# Seconds for which an engine that has changed its stage gets no work; by then the list of endpoints
# should show the new stage.
STAGE_CHANGE_PAUSE = 2.0
# Seconds for which an engine gets no work that has started again since it was listed, unless its
# new start is listed before. The list is about a second behind.
UNLISTED_START_PAUSE_S = 1.0
MISDIRECTED = 421  # HTTP status with which an engine refuses work for another endpoint or stage.
# Seconds without a response head after which a resumable stream is sent again. This is longer than
# an engine takes to prefill a whole prompt between the decode steps of a full batch.
HEAD_TIMEOUT = 1.2


def start(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Queue a generation for a place; refuse it if its prompt exceeds an engine's memory."""
    service = routes.service(state, req.service)
    traits = service.engine
    estimates.observe_sizes(state, service, req.route.name, req.ask, at)
    if req.ask.prompt_tokens + 1 > traits.memory_tokens:
        yield from forwarding.refuse_call(
            state, req, at, OVERLOADED, detail="the prompt is larger than an engine's memory"
        )
        return
    reserves.observe_arrival(state, service, req, at)
    yield from shares.decide(state, req, at)
    yield from forward_waiting.enqueue(state, req, at)


@handles(HoldAnswered)
def hold_answered(state: State, event: HoldAnswered) -> typing.Iterator[Step]:
    """Prefill the prompt once a place is reserved; after a refusal, wait for another place."""
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
        yield from forwarding.release_place(state, req, event.at)
        if event.failure.reason is not ENDPOINT_REFUSED:
            yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
        yield from forward_waiting.enqueue(state, req, event.at)
        return
    health.record_answer(state, event.endpoint)
    yield Count(metric="holds", label="held")
    shares.charge(state, routes.service(state, req.service), req, event.at)
    req.hold = event.hold
    yield from _prefill(state, req, event.at)


def _prefill(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Have a prefill engine prefill the prompt; without one, leave that to the decode engine.

    The first prefill of a call does not count as a retry, but is sent only while the retry budget
    has room.
    """
    if not stopping.may_begin(state, req, at):
        yield from stopping.refuse_unfinished(state, req, at)
        return
    if hops.is_needed(state, req, at):
        yield from _requeue(state, req, at)
        return
    if req.place.name in req.warm_engines or req.prefill_engine is not None or req.is_trial:
        yield from _send(state, req, at)
        return

    def choose() -> Endpoint | None:
        return placing.choose_prefill(
            state,
            req.service,
            req.place.zone,
            req.ask.prompt_tokens,
            at,
            req.avoid,
            req.warm_engines,
        )

    engine = yield from permits.first_permitted(state, req, choose, at)
    if engine is not None:
        yield from _prefill_at(state, req, engine, at)
    elif req.phase != forwarding.ASKING:
        yield from _send(state, req, at)


@handles(PermitSettled)
def permit_settled(state: State, event: PermitSettled) -> typing.Iterator[Step]:
    """Have a prompt prefilled once its engine's limit has room; otherwise choose another engine."""
    req = forwarding.asking_call(state, event)
    if req is None or req.place is None or req.asked is req.place:
        return
    engine = req.end_asking()
    if event.is_granted and placing.may_get_work(state, engine.name, event.at):
        yield from _prefill_at(state, req, engine, event.at)
    else:
        yield from _prefill(state, req, event.at)


def _prefill_at(
    state: State, req: ForwardedCall, engine: Endpoint, at: float
) -> typing.Iterator[Step]:
    """Have an engine prefill the prompt, if the retry budget has room."""
    tokens = req.ask.prompt_tokens
    is_uncharged = req.prefills == 0 and retry_budget.has_retry_left(state, req.service, at)
    if not (is_uncharged or retry_budget.try_spend_retry(state, req.service, at)):
        yield from _send(state, req, at)
        return
    req.prefills += 1
    req.phase = forwarding.PREFILLING
    req.prefilled_after = places.load(state, engine.name, at).reading
    req.sent_at = at
    forwarding.begin_prefill(state, req, engine)
    health.record_chosen(state, engine.name)
    yield forwarding.log(
        "prefill_sent",
        req,
        state,
        at,
        endpoint=engine.name,
        tokens=tokens,
        **engine_signs.basis(state, engine.name, at),
    )
    yield ReadPrompt(
        call_id=req.ask.call_id,
        endpoint=engine.name,
        address=engine.address,
        deadline=req.ends_at,
        priority=_priority(req),
        quiet=placing.prefill_timeout(state, req.service, engine.name, at),
        organisation=caller_keys.told_name(state, req),
    )


def _priority(req: ForwardedCall) -> int:
    """Return the priority for engines, which preempt new streams before those that broke off."""
    base = BROKEN_OFF_PRIORITY if req.broke_off else BASE_PRIORITY
    return min(LOWEST_PRIORITY, base + req.priority)


@handles(PromptAnswered)
def prompt_answered(state: State, event: PromptAnswered) -> typing.Iterator[Step]:
    """Send the request to its decode engine after the prefill; retry a failed prefill."""
    req = forwarding.call(state, event.call_id)
    if (
        req is None
        or req.phase != forwarding.PREFILLING
        or req.prefill_engine.name != event.endpoint
    ):
        return
    yield from forwarding.finish_prefill(state, req, event.at)
    if event.failure is not None:
        was_unreachable = event.failure.reason is ENDPOINT_UNREACHABLE
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
        was_unstable = places.is_unstable(state, event.endpoint, event.at)
        if event.failure.verdict is Verdict.NOT_RUN and not was_unreachable:
            # A refused prefill counts as a retry; the first one that an engine accepts does not.
            retry_budget.charge_retry(state, req.service, event.at)
            req.prefills -= 1
            places.mark_full(state, event.endpoint, event.at, placing.PREFILL_REFUSED_TIME)
            if event.failure.reason is ENDPOINT_CHANGED:
                directory.set_busy(state, event.endpoint, event.at + STAGE_CHANGE_PAUSE)
        else:
            yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
        if event.failure.verdict is Verdict.MAY_HAVE_RUN:
            req.note_lost_answer(event.endpoint, repeated=was_unstable)
        else:
            req.avoid.append(event.endpoint)
        req.prefill_engine = None
        yield from _prefill(state, req, event.at)
        return
    health.record_success(state, event.endpoint)
    yield Count(metric="prefills", label="done")
    yield Observe(metric="prefill_time", value=event.at - req.sent_at)
    tokens = req.prefilled_after + req.ask.prompt_tokens
    usual = estimates.prefill_seconds(state, req.service, tokens)
    engine_signs.observe(state, event.endpoint, event.at - req.sent_at, usual, event.at)
    # Prompts that other hosts sent meanwhile slow a prefill down as well.
    if not req.prefilled_after and not places.load(state, event.endpoint, event.at).reading:
        estimates.observe_prefill(
            state, req.service, req.ask.prompt_tokens, event.at - req.sent_at, event.at
        )
    req.handle = event.handle
    yield from _send(state, req, event.at)


def _send(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Send the request to its decode engine, or requeue it if the engine takes no new work."""
    if not stopping.may_begin(state, req, at):
        yield from stopping.refuse_unfinished(state, req, at)
        return
    endpoint = req.place
    listed = directory.endpoint(state, endpoint.name)
    is_paused = pauses.is_paused(state, endpoint.name, at)
    if listed is None or listed.leaving or listed.build != endpoint.build or is_paused:
        yield forwarding.log(
            "place_leaving", req, state, at, endpoint=endpoint.name, paused=is_paused
        )
        yield from _requeue(state, req, at)
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
        build=endpoint.build or "-",
        resumes=req.ask.resumes or "-",
        fingerprint=req.ask.fingerprint or "-",
        events=req.events,
        source=req.prefill_engine.name if req.handle else "-",
    )
    yield Forward(
        call_id=req.ask.call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        number=req.number,
        deadline=req.ends_at,
        hold=req.hold,
        source=req.prefill_engine.address if req.handle else "",
        handle=req.handle,
        priority=_priority(req),
        connections=placing.connection_limit(state, req.service, at),
        resume=req.events > 0,
        quiet=HEAD_TIMEOUT if forwarding.may_be_sent_again(state, req, at) else 0.0,
        # The list may still name the build of an engine's last start.
        born=listed.born if req.events or req.ask.resumed else 0,
        organisation=caller_keys.told_name(state, req),
    )
    req.hold = ""


def _requeue(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    yield from forwarding.release_place(state, req, at)
    yield from forward_waiting.enqueue(state, req, at)


def on_answer(state: State, req: ForwardedCall, event: AnswerCame) -> typing.Iterator[Step]:
    """Relay a stream; after a refusal or an error, retry if that is allowed."""
    at = event.at
    if event.streams and event.status == 200:
        yield from forwarding.finish_prefill(state, req, at)
        req.handle = ""  # The decode engine has fetched the KV cache.
        req.prefill_engine = None
        yield forwarding.begin_relay(state, req, at, req.place.build)
        places.begin_stream(state, event.endpoint, req.ask.call_id, at)
        health.record_success(state, event.endpoint)
        yield Observe(metric="stream_started", label=req.route.kind, value=at - req.arrived_at)
        yield Relay(call_id=req.ask.call_id, number=req.number)
        return
    if event.not_run:
        req.mark_not_run()
        req.handle = ""  # A handle can be used only once, even if the request is refused.
        yield Count(metric="endpoint_refusals", label=req.service)
        places.mark_full(state, event.endpoint, at)
        if event.status == MISDIRECTED:
            directory.set_busy(state, event.endpoint, at + STAGE_CHANGE_PAUSE)
        else:
            yield from busy_engines.ask_if_busy(state, req.place, at)
        req.avoid.append(event.endpoint)
        yield from _retry(state, req, at, event.endpoint, f"status {event.status}", refused=True)
        return
    req.handle = ""
    yield from forwarding.note_failure(state, req, event.endpoint, None, event.at)
    if req.has_attempt_left and retry_budget.has_retry_left(state, req.service, at):
        req.avoid.append(event.endpoint)
        yield from _retry(state, req, at, event.endpoint, f"status {event.status}", refused=False)
        return
    yield from forwarding.relay_answer(state, req, event, endpoint=event.endpoint)


def on_failure(state: State, req: ForwardedCall, event: TryFailed) -> typing.Iterator[Step]:
    """Retry after a stream broke off or never began, where that is allowed; otherwise refuse."""
    req.note_broken_off(event.events)
    not_run = event.failure.verdict is Verdict.NOT_RUN
    was_unstable = places.is_unstable(state, event.endpoint, event.at)
    if not_run:
        req.mark_not_run()
    yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
    yield DropTry(call_id=req.ask.call_id, number=req.number)
    if event.failure.reason is ENDPOINT_CHANGED:
        directory.set_busy(state, event.endpoint, event.at + UNLISTED_START_PAUSE_S)
    if event.failure.reason is ENDPOINT_FAILED:
        yield from _keep_lost_run(state, req, event)
    if not_run or req.has_attempt_left:
        cause = event.failure.detail
        nothing_sent = event.failure.reason in (ENDPOINT_UNREACHABLE, ENDPOINT_CHANGED)
        if not not_run and not req.relay_begun:
            req.note_lost_answer(event.endpoint, repeated=was_unstable)
        else:
            req.avoid.append(event.endpoint)
        yield from _retry(
            state, req, event.at, event.endpoint, cause, refused=not_run, nothing_sent=nothing_sent
        )
        return
    yield from forwarding.refuse_call(
        state,
        req,
        event.at,
        ENDPOINT_FAILED,
        endpoint=event.endpoint,
        cause=event.failure.detail,
        begun_ago=event.at - req.begun_at if req.phase == forwarding.RELAYING else "-",
        parts=listed(req.ask.blockable),
    )


def _keep_lost_run(state: State, req: ForwardedCall, event: TryFailed) -> typing.Iterator[Step]:
    """Keep counting a run after its connection was lost, as many engines run it to its end."""
    stream = places.keep_lost_stream(state, event.endpoint, req.ask.call_id, req.number)
    if stream is not None:
        key = places.lost_stream_key(req.ask.call_id, req.number)
        yield _lost_run_timer(state, event.endpoint, key, stream, req.service, event.at)


def _lost_run_timer(
    state: State, endpoint: str, key: str, stream: StreamLoad, service: str, at: float
) -> StartTimer:
    ends_at = stream.begins + stream.expected / estimates.token_rate(state, service)
    return StartTimer(timer="lost_run", key=f"{endpoint} {key}", delay=max(0.0, ends_at - at))


@on_timer("lost_run")
def lost_run_ended(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Stop counting a run whose connection was lost, once it should have ended."""
    endpoint, _, key = event.key.partition(" ")
    if not places.is_counted(state, endpoint, key):
        return
    places.remove_request(state, endpoint, key)
    yield LoadChanged(at=event.at, of_stream=True)
    yield PlacesChanged(at=event.at)


def _retry(
    state: State,
    req: ForwardedCall,
    at: float,
    endpoint: str,
    cause: str,
    *,
    refused: bool,
    nothing_sent: bool = False,
) -> typing.Iterator[Step]:
    """Queue the call for a place again; refuse it if the retry budget is used up."""
    yield forwarding.failed_try_line(state, req, endpoint, cause, at)
    # Without a connection nothing reached the endpoint, so the retry budget is not charged.
    if not nothing_sent and not retry_budget.try_spend_retry(state, req.service, at):
        yield Count(metric="budget_empty", label=req.service)
        yield from forwarding.refuse_call(
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
    yield from _requeue(state, req, at)


@handles(StreamMoved)
def note_stream_progress(state: State, event: StreamMoved) -> None:
    """Record how many events of a stream the caller got."""
    req = forwarding.call(state, event.call_id)
    if req is not None and req.number == event.number:
        req.events = event.events


@handles(StreamDone)
def stream_done(state: State, event: StreamDone) -> None:
    """Update the estimates of output length and token rate from a finished stream."""
    req = forwarding.call(state, event.call_id)
    if req is None or req.number != event.number:
        return
    req.events = event.events
    traits = routes.service(state, req.service)
    if traits is None or traits.engine is None:
        return
    new_events = req.events - req.begun_events
    seconds = event.at - req.begun_at
    if new_events >= estimates.MIN_TIMED_EVENTS and req.place is not None:
        usual = new_events * traits.engine.stride / estimates.token_rate(state, req.service)
        engine_signs.observe(state, req.place.name, seconds, usual, event.at)
    estimates.observe_token_rate(state, traits, new_events, seconds, event.at)
    if not req.ask.resumed:
        tokens = req.events * traits.engine.stride
        estimates.observe_output(state, req.route.name, req.ask, tokens)


@handles(StepFailed)
def end_lost_runs(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start the timers of lost runs again, one of which may not have been started."""
    for endpoint, key, stream in places.lost_streams(state):
        listed = directory.endpoint(state, endpoint)
        service = listed.service if listed is not None else ""
        timer = _lost_run_timer(state, endpoint, key, stream, service, event.at)
        yield EnsureTimer(timer=timer.timer, key=timer.key, delay=timer.delay)
