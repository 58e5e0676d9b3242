"""Queues the generations of each service, and decides which one gets the next place at an engine.

Load pattern handled: more generations than the decode engines have room for. Requests that can
still meet their route's latency target go before late ones, more urgent routes before others, and
then the request that has waited longest. A request that can no longer be served is refused at once,
and its caller is told when to retry. So is one whose stream was begun by a build of which no decode
engine is left, or that could not be whole before a stopping host ends.
"""

import typing

from .._effects import EnsureTimer, StartTimer
from .._effects_forwarding import TakeHold
from .._errors import NO_ENDPOINT, OVERLOADED, SERVICE_GONE
from .._events import (
    HoldAnswered,
    PermitSettled,
    PlacesChanged,
    StepFailed,
    TimerFired,
)
from .._forwarding import DECODE
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import (
    caller_keys,
    directory,
    engine_signs,
    estimates,
    forwarding,
    health,
    hops,
    permits,
    places,
    placing,
    reach,
    rejecting,
    reserves,
    routes,
    shares,
    stopping,
)
from .forwarding import ForwardedCall

QUEUE_CHECK_INTERVAL = 0.03  # Seconds between checks of queues that are not empty.
MAX_MISSES = 3  # A check of a queue assigns no more places after this many requests found none.
# Seconds for which a place is reserved; covers the wait for the prefill and the prefill itself.
HOLD_TIME = 1.5
# Once prompts wait this many seconds on average, prefill engines get no more of requests that go
# behind others: these would miss their target if they found a longer queue there.
SHORT_PREFILL_WAIT = 0.2
# Seconds after which a caller is told to come back whose service was dropped while it waited. The
# routes in force then lead it elsewhere.
GONE_RETRY_AFTER_S = 0.1


@state_slice("forward_waiting")
class WaitingState:
    """Ids of queued calls by service, in order of arrival.

    ``timer_runs`` is true while the timer of the next check is running.
    """

    __slots__ = ("queues", "timer_runs")

    def __init__(self, cfg: Settings) -> None:
        self.queues: dict[str, list[str]] = {}
        self.timer_runs = False


def enqueue(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Queue a call for a place, and assign it one at once if there is room.

    It goes through another host if this one reaches no engine.
    """
    if (yield from caller_keys.refuse_barred(state, req, at)):
        return
    if hops.is_needed(state, req, at):
        yield from hops.start(state, req, at)
        return
    req.phase = forwarding.WAITING
    queue = state["forward_waiting"].queues.setdefault(req.service, [])
    if req.ask.call_id not in queue:
        queue.append(req.ask.call_id)
    yield from assign_places(state, req.service, at)


@handles(PlacesChanged)
def places_changed(state: State, event: PlacesChanged) -> typing.Iterator[Step]:
    """Assign places that may have become free to waiting calls."""
    for service in list(state["forward_waiting"].queues):
        yield from assign_places(state, service, event.at)


@on_timer("forward_waiting")
def check_queues(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Check the queues again: full engines may have room now, and calls may have become late."""
    state["forward_waiting"].timer_runs = False
    for service in list(state["forward_waiting"].queues):
        yield from assign_places(state, service, event.at)


def assign_places(state: State, service: str, at: float) -> typing.Iterator[Step]:
    """Assign places to waiting calls in order of rank, and refuse those that waited too long."""
    waiting_state = state["forward_waiting"]
    waiting_calls = [
        req
        for req in (forwarding.call(state, name) for name in waiting_state.queues.get(service, ()))
        if req is not None and req.phase == forwarding.WAITING
    ]
    candidates = placing.decode_candidates(state, service, at) if waiting_calls else []
    has_room = len(waiting_calls) == 1 and placing.has_idle_engine(
        placing.open_to(state, service, candidates, waiting_calls[0].stream_name)
    )
    decoding = directory.usable_endpoints(state, service, DECODE) if waiting_calls else []
    wait = placing.shortest_wait(state, (one.name for one in decoding), at)
    is_in_doubt = reach.is_in_doubt(state, service)
    is_retired = routes.is_retired(state, service)
    still_waiting_calls = []
    misses = 0
    for req in sorted(waiting_calls, key=lambda one: rejecting.rank(state, one, at)):
        try:
            if is_retired and not req.relay_begun:
                yield from forwarding.refuse_call(
                    state, req, at, SERVICE_GONE, retry_after=GONE_RETRY_AFTER_S, service=service
                )
            elif not stopping.may_begin(state, req, at):
                yield from stopping.refuse_unfinished(state, req, at, service=service)
            elif (is_in_doubt or req.unreachable) and hops.is_needed(state, req, at):
                yield from hops.start(state, req, at)
            elif (
                rejecting.should_refuse(state, req, at, has_room=has_room)
                or not _has_build(state, req)
                or not rejecting.can_wait(req, at, wait)
            ):
                yield from _refuse_waiting(state, req, at, len(waiting_calls), wait)
            else:
                places_open = _open_to(state, req, candidates)
                if misses < MAX_MISSES and (yield from _assign_place(state, req, places_open, at)):
                    continue
                # Other engines may have room for calls that any build can serve.
                misses += not req.build and len(places_open) == len(candidates)
                still_waiting_calls.append(req)
        except Exception as exc:  # noqa: BLE001 - reported with its traceback
            yield forwarding.failed(req, at, exc)
    if still_waiting_calls:
        still_waiting_calls.sort(key=lambda one: one.arrived_at)
        waiting_state.queues[service] = [req.ask.call_id for req in still_waiting_calls]
    else:
        waiting_state.queues.pop(service, None)
    if waiting_state.queues and not waiting_state.timer_runs:
        waiting_state.timer_runs = True
        yield StartTimer(timer="forward_waiting", delay=QUEUE_CHECK_INTERVAL)


def _has_build(state: State, req: ForwardedCall) -> bool:
    """Return whether any engine may serve a call, now or once it has room."""
    return not req.build or directory.decodes_build(state, req.service, req.build)


def _open_to(
    state: State, req: ForwardedCall, candidates: list[placing.Candidate]
) -> list[placing.Candidate]:
    """Return the engines whose build may serve a call."""
    if req.build:
        return [one for one in candidates if one.endpoint.build == req.build]
    return placing.open_to(state, req.service, candidates, req.stream_name)


def _assign_place(
    state: State, req: ForwardedCall, candidates: list[placing.Candidate], at: float
) -> typing.Generator[Step, None, bool]:
    """Choose and reserve a place for a call; returns whether one was found."""
    pending_tokens = _pending_prompt_tokens(state, req.service)
    wait = placing.prefill_wait(state, req.service, at, pending_tokens)
    prefills_itself = wait >= placing.MAX_PREFILL_WAIT
    if SHORT_PREFILL_WAIT <= wait < placing.MAX_PREFILL_WAIT and (
        shares.leaves_room(state, req) or reserves.goes_behind(state, req)
    ):
        return False
    if prefills_itself:
        candidates = placing.self_prefill_candidates(
            state, req.service, candidates, at - req.arrived_at
        )
    service = routes.service(state, req.service)
    stream = places.stream_load(state, service, req.route.name, req.ask, at, req.events)
    rooms = reserves.rooms(state, req, at)
    if (room := shares.room_for_others(state, req)) > 0.0:
        names = (one.endpoint.name for one in candidates)
        rooms = {name: max(room, rooms.get(name, 0.0)) for name in names}
    avoid = [*req.avoid, *placing.kept_for_others(state, req.service, candidates)]
    while candidate := placing.choose_decode(
        state,
        candidates,
        stream,
        at,
        avoid,
        req.warm_engines,
        broke_off=req.broke_off,
        rooms=rooms,
    ):
        endpoint = candidate.endpoint
        answer = yield from permits.acquire(state, req.ask.call_id, endpoint.name, at)
        if answer is not permits.Answer.DENIED:
            break
        candidates = [one for one in candidates if one is not candidate]
    else:
        return False
    candidate.add(stream)
    if prefills_itself:
        candidate.reading += stream.prompt
        forwarding.begin_prefill(state, req, endpoint)
    yield forwarding.take_place(state, req, endpoint, stream, at)
    yield forwarding.log(
        "place_chosen",
        req,
        state,
        at,
        endpoint=endpoint.name,
        zone=endpoint.zone,
        prompt=stream.prompt,
        expected=stream.expected,
        held=placing.hold_tokens(service, req.ask, req.events),
        reads_itself=prefills_itself,
        **engine_signs.basis(state, endpoint.name, at),
        rooms=len(rooms),
        room=max(rooms.values(), default=0.0),
    )
    if answer is permits.Answer.PENDING:
        req.begin_asking(endpoint)
    else:
        yield _reserve(state, req, at)
    return True


def _reserve(state: State, req: ForwardedCall, at: float) -> Step:
    """Reserve the place that was chosen for a call."""
    endpoint = req.place
    req.phase = forwarding.HOLDING
    health.record_chosen(state, endpoint.name)
    service = routes.service(state, req.service)
    if not service.engine.hold_time:
        # These engines can't reserve places, so the call is only counted in the engine's load.
        return HoldAnswered(
            at=at, call_id=req.ask.call_id, endpoint=endpoint.name, hold="", failure=None
        )
    return TakeHold(
        call_id=req.ask.call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        tokens=placing.hold_tokens(service, req.ask, req.events),
        seconds=min(HOLD_TIME, service.engine.hold_time),
    )


@handles(PermitSettled)
def permit_settled(state: State, event: PermitSettled) -> typing.Iterator[Step]:
    """Reserve a place once its engine's limit has room; otherwise wait for another place."""
    req = forwarding.asking_call(state, event)
    if req is None or req.place is None or req.asked is not req.place:
        return
    endpoint = req.end_asking()
    if event.is_granted and placing.may_get_work(state, endpoint.name, event.at):
        yield _reserve(state, req, event.at)
    else:
        yield from forwarding.release_place(state, req, event.at)
        yield from enqueue(state, req, event.at)


def _pending_prompt_tokens(state: State, service: str) -> int:
    """Return the prompt tokens of calls that are reserving a place and will be prefilled next."""
    calls = state["forwarding"].calls.values()
    return sum(
        req.ask.prompt_tokens
        for req in calls
        if req.phase == forwarding.HOLDING and req.service == service and req.prefill_engine is None
    )


def _refuse_waiting(
    state: State, req: ForwardedCall, at: float, waiting_count: int, wait: float
) -> typing.Iterator[Step]:
    load_summary = placing.load_summary(state, req.service, at)
    yield from forwarding.refuse_call(
        state,
        req,
        at,
        OVERLOADED if load_summary["engines"] and _has_build(state, req) else NO_ENDPOINT,
        retry_after=max(rejecting.retry_after(state, req, at), rejecting.spread_wait(state, wait)),
        waiting=waiting_count,
        wait=wait,
        build=req.build or "-",
        prompt=req.ask.prompt_tokens,
        priority=req.priority,
        time_left=req.ends_at - at,
        stream_time=rejecting.stream_duration(
            state, req.service, req.route.name, req.ask, req.events
        ),
        token_rate=estimates.token_rate(state, req.service),
        **load_summary,
    )


@handles(StepFailed)
def check_soon(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start the timer of the next check, which may not have been started."""
    waiting_state = state["forward_waiting"]
    if waiting_state.queues:
        waiting_state.timer_runs = True
        yield EnsureTimer(timer="forward_waiting", delay=QUEUE_CHECK_INTERVAL)
