"""Slots: reserves a decode slot, a link share and a prefill engine before any prefill begins.

This is the router's side. It asks the coordinator of one pool and, where that refuses, of the next
best; a coordinator that can't be reached is replaced by this host's own share of the engines.
"""

import typing

from .._effects import Count, SendPeer, StartTimer
from .._errors import NO_ENDPOINT, OVERLOADED, Failure
from .._events import (
    Booted,
    MembersChanged,
    PeerFailed,
    PeerMessage,
    RequestDenied,
    SlotHeld,
    SlotWanted,
    TimerFired,
)
from .._pieces import prefix_hashes
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import Denied, Granted, Release, Renew, Reserve
from . import coordinator, members, pools, requests, retries

MAX_ASKED = 3  # Pools asked for one attempt.
LONGEST_CROSSING = 0.05  # Seconds; an answer that took longer was waited for.
LATE_COOLDOWN = 0.5  # Seconds for which a pool that refused late work is not asked for more.
ASK_AGAIN = 0.05  # Seconds before an attempt that its coordinator lost is reserved again.
MAX_LOST = 40  # Times that an attempt is reserved again before it is refused.
OWN_SHARE = 4  # Requests of this host at one engine while its coordinator can't be reached.


class Held:
    """A slot that this host holds for an attempt."""

    __slots__ = ("request_id", "model", "zone", "engine", "phase", "since")

    def __init__(
        self, *, request_id: str, model: str, zone: str, engine: str, phase: str, since: float
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.zone = zone
        self.engine = engine
        self.phase = phase
        self.since = since


class Pending:
    """An attempt that waits for a slot."""

    __slots__ = ("request_id", "model", "zone", "avoid", "asked", "asked_at", "lost", "redirected")

    def __init__(self, *, request_id: str, model: str, avoid: tuple[str, ...]) -> None:
        self.request_id = request_id
        self.model = model
        self.avoid = avoid
        self.zone = ""
        self.asked: list[str] = []
        self.asked_at = 0.0
        self.lost = 0
        self.redirected = False


Policy = typing.Callable[[State, SlotWanted], typing.Iterable[Step]]

POLICIES: dict[str, Policy] = {}


def policy(name: str) -> typing.Callable[[Policy], Policy]:
    """Register a policy: what is done when an attempt wants a slot."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


@state_slice("slots")
class SlotsState:
    """Slots held and waited for, by attempt id, and the name of the policy in force."""

    __slots__ = ("held", "waiting", "policy")

    def __init__(self, cfg: Settings) -> None:
        self.held: dict[str, Held] = {}
        self.waiting: dict[str, Pending] = {}
        self.policy = "reserve"


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the timer of renewals."""
    yield StartTimer(timer="renew", delay=state.cfg.timing.renew)


@handles(SlotWanted)
def choose(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Let the policy in force find a slot."""
    if requests.request_of(state, event.request_id):
        yield from POLICIES[state["slots"].policy](state, event)


@policy("reserve")
def reserve(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Ask the coordinator of the pool that promises the first output soonest."""
    req = requests.request_of(state, event.request_id)
    pending = Pending(request_id=event.request_id, model=req.call.target, avoid=tuple(event.avoid))
    state["slots"].waiting[event.attempt_id] = pending
    yield from _ask_next(state, event.attempt_id, pending, event.at)


def hold_without_coordinator(
    state: State, event: SlotWanted, *, prefill: str, decode: str
) -> typing.Iterator[Step]:
    """Go ahead with two engines without any coordinator's word."""
    entry = members.entry_of(state, decode)
    req = requests.request_of(state, event.request_id)
    state["slots"].held[event.attempt_id] = Held(
        request_id=event.request_id,
        model=req.call.target,
        zone=entry.zone,
        engine=decode,
        phase="prefill",
        since=event.at,
    )
    yield SlotHeld(
        at=event.at,
        request_id=event.request_id,
        attempt_id=event.attempt_id,
        prefill_engine=prefill,
        decode_engine=decode,
    )


# --- Asking --------------------------------------------------------------------------------------


def target_of(state: State, req: "requests.Request") -> float:
    """Return the Unix time by which a request's first output is due."""
    arrived = state.wall(req.arrived)
    born = min(req.call.born, arrived) if req.call.born else arrived
    targets = state.cfg.targets
    return born + (targets.may_wait if req.plan.may_wait else targets.first_output)


def _ask_next(state: State, attempt_id: str, pending: Pending, at: float) -> typing.Iterator[Step]:
    req = requests.request_of(state, pending.request_id)
    zones = pools.ranked(state, pending.model, req.call.pieces, req.call.prompt_tokens, at)
    late = target_of(state, req) < state.wall(at)
    for zone in zones:
        cooling = (
            late and at - pools.view_of(state, pending.model, zone).late_denied_at < LATE_COOLDOWN
        )
        if cooling or len(pending.asked) >= MAX_ASKED:
            break
        if zone not in pending.asked:
            yield from _ask(state, attempt_id, pending, zone, at)
            return
    yield from _refuse(state, attempt_id, pending, bool(zones), at)


def _ask(
    state: State, attempt_id: str, pending: Pending, zone: str, at: float
) -> typing.Iterator[Step]:
    pending.zone = zone
    pending.asked.append(zone)
    pending.asked_at = at
    view = pools.view_of(state, pending.model, zone)
    if at < view.cut_until:
        yield from _go_alone(state, attempt_id, pending, at)
        return
    if view.suspect:
        view.cut_until = at + pools.CUT_OFF
    host = coordinator.coordinator_of(state, pending.model, zone)
    yield SendPeer(host=host, message=_reserve(state, attempt_id, pending))


def _reserve(state: State, attempt_id: str, pending: Pending) -> Reserve:
    req = requests.request_of(state, pending.request_id)
    return Reserve(
        request_id=pending.request_id,
        attempt_id=attempt_id,
        owner=state.owner,
        engine="",
        config_version=req.version,
        deadline=state.wall(req.call.deadline),
        priority=req.plan.priority,
        customer=req.customer.name,
        prompt_tokens=req.call.prompt_tokens,
        max_tokens=req.call.max_tokens,
        pieces=prefix_hashes(req.call.pieces),
        model=pending.model,
        zone=pending.zone,
        target=target_of(state, req),
        may_wait=req.plan.may_wait,
        avoid=pending.avoid,
        redirected=pending.redirected,
    )


def _refuse(
    state: State, attempt_id: str, pending: Pending, has_engines: bool, at: float
) -> typing.Iterator[Step]:
    state["slots"].waiting.pop(attempt_id, None)
    req = requests.request_of(state, pending.request_id)
    failure = Failure(
        reason=OVERLOADED if has_engines else NO_ENDPOINT,
        verdict=requests.verdict_of(state, req.call),
        detail="" if has_engines else f'model "{pending.model}" has no engine',
        retry_after=retries.next_retry_delay(state, at),
    )
    yield RequestDenied(at=at, request_id=pending.request_id, failure=failure)


# --- Answers of coordinators ---------------------------------------------------------------------


@on_message(Granted)
def granted(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Begin the attempt, or give the slot back if nobody wants it any more."""
    told = event.message
    pending = state["slots"].waiting.pop(told.attempt_id, None)
    if pending is None:
        yield from _give_back(state, told, event)
        return
    _note(state, pending, told.wait, event.at)
    _note_affinity(state, pending, told)
    state["slots"].held[told.attempt_id] = Held(
        request_id=told.request_id,
        model=pending.model,
        zone=pending.zone,
        engine=told.engine,
        phase="prefill",
        since=event.at,
    )
    yield SlotHeld(
        at=event.at,
        request_id=told.request_id,
        attempt_id=told.attempt_id,
        prefill_engine=told.prefill_engine,
        decode_engine=told.engine,
    )


def _give_back(state: State, told: Granted, event: PeerMessage) -> typing.Iterator[Step]:
    entry = members.entry_of(state, told.engine)
    if told.attempt_id in state["slots"].held or entry is None:
        return
    message = Release(
        request_id=told.request_id,
        attempt_id=told.attempt_id,
        owner=state.owner,
        engine=told.engine,
        model=entry.service,
        zone=entry.zone,
    )
    yield SendPeer(host=event.sender.host, message=message)


def _note(state: State, pending: Pending, wait: float, at: float) -> None:
    view = pools.view_of(state, pending.model, pending.zone)
    view.wait = wait
    view.cut_until = 0.0
    view.suspect = False
    elapsed = at - pending.asked_at
    if pending.zone != state.zone and elapsed < LONGEST_CROSSING:  # Else it was queued there.
        view.crossing.observe(elapsed / 2)
    view.cut_until = 0.0


def _note_affinity(state: State, pending: Pending, told: Granted) -> None:
    req = requests.request_of(state, pending.request_id)
    affinity = pools.affinity_of(state, pending.model)
    home = pools.home_zone(state, pending.model, req.call.pieces)
    share = told.cached_tokens / max(1, req.call.prompt_tokens)
    # A home zone that sends a prompt on to where its prefix is has done its work.
    (affinity.home if pending.asked[0] == home else affinity.away).observe(share)


@on_message(Denied)
def denied(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Go where the coordinator points, or refuse; reserve again where it lost the attempt."""
    told = event.message
    pending = state["slots"].waiting.get(told.attempt_id)
    if pending is None:
        return
    if told.unknown:
        yield from _lost(state, told.attempt_id, pending, event.at)
        return
    view = pools.view_of(state, pending.model, pending.zone)
    _note(state, pending, told.wait, event.at)
    if told.elsewhere and not pending.redirected:
        pending.redirected = True
        yield Count(metric="reserve_redirected")
        yield from _ask(state, told.attempt_id, pending, told.elsewhere, event.at)
        return
    req = requests.request_of(state, pending.request_id)
    if target_of(state, req) <= state.wall(event.at):
        view.late_denied_at = event.at
    # The coordinator has weighed the other pools: none would serve the request in time.
    yield from _refuse(state, told.attempt_id, pending, True, event.at)


def _lost(state: State, attempt_id: str, pending: Pending, at: float) -> typing.Iterator[Step]:
    pending.lost += 1
    if pending.lost > MAX_LOST:
        yield from _refuse(state, attempt_id, pending, True, at)
    else:
        yield StartTimer(timer="reserve_again", key=attempt_id, delay=ASK_AGAIN)


@on_timer("reserve_again")
def reserve_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Reserve an attempt again that its coordinator did not know."""
    pending = state["slots"].waiting.get(event.key)
    if pending:
        host = coordinator.coordinator_of(state, pending.model, pending.zone)
        yield SendPeer(host=host, message=_reserve(state, event.key, pending))


# --- Coordinators out of reach -------------------------------------------------------------------


@handles(PeerFailed)
def unreachable(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Take a pool whose coordinator does not answer for cut off, and ask elsewhere."""
    message = event.message
    if not isinstance(message, Reserve | Renew):
        return
    view = pools.view_of(state, message.model, message.zone)
    view.cut_until = event.at + pools.CUT_OFF
    view.suspect = True
    yield Count(metric="coordinator_unreachable", label=message.zone)
    for attempt_id, pending in list(state["slots"].waiting.items()):
        if (pending.model, pending.zone) == (message.model, message.zone):
            pending.asked = []
            yield from _ask_next(state, attempt_id, pending, event.at)


def _go_alone(state: State, attempt_id: str, pending: Pending, at: float) -> typing.Iterator[Step]:
    """Use this host's own share of the zone's engines; an engine that is full refuses."""
    engines = [
        entry.name
        for entry in members.usable_endpoints(state, pending.model)
        if entry.zone == pending.zone
    ]
    own = [one.engine for one in state["slots"].held.values()]
    free = [name for name in engines if own.count(name) < OWN_SHARE]
    fresh = [name for name in free if name not in pending.avoid]
    if not fresh:
        yield from _ask_next(state, attempt_id, pending, at)
        return
    decode = min(sorted(fresh), key=own.count)
    del state["slots"].waiting[attempt_id]
    yield Count(metric="coordinator_bypassed")
    event = SlotWanted(at=at, request_id=pending.request_id, attempt_id=attempt_id)
    yield from hold_without_coordinator(state, event, prefill=decode, decode=decode)


@handles(MembersChanged)
def members_changed(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Tell coordinators, which may be new, what this host holds and waits for."""
    yield from _renew_all(state)


@on_timer("renew")
def renew(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Renew all reservations."""
    yield from _renew_all(state)
    yield StartTimer(timer="renew", delay=state.cfg.timing.renew)


def _renew_all(state: State) -> typing.Iterator[Step]:
    by_pool: dict[tuple[str, str], list[tuple[str, str, str, bool]]] = {}
    for attempt_id, held in state["slots"].held.items():
        line = (held.engine, held.request_id, attempt_id, held.phase == "decode")
        by_pool.setdefault((held.model, held.zone), []).append(line)
    for attempt_id, pending in state["slots"].waiting.items():
        line = ("", pending.request_id, attempt_id, False)
        by_pool.setdefault((pending.model, pending.zone), []).append(line)
    for (model, zone), lines in by_pool.items():
        message = Renew(owner=state.owner, attempts=tuple(lines), model=model, zone=zone)
        yield SendPeer(host=coordinator.coordinator_of(state, model, zone), message=message)
