"""Reserves a decode slot, a link share and a prefill engine before any prefill begins.

This is the router's side. It asks the coordinator of one pool, which may redirect it to another
pool. While a coordinator can't be reached, the host uses its own share of the zone's engines.
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

MAX_POOLS_ASKED = 3  # Largest number of pools that are asked for a slot for one attempt.
MAX_CROSSING_S = 0.05  # Slower answers include time in a queue, and do not show the network delay.
LATE_COOLDOWN_S = 0.5  # A pool that denied a late request gets no more late ones for this long.
# Delay before a slot is requested again from a coordinator that did not know the attempt.
RESERVE_AGAIN_DELAY_S = 0.05
# A request is refused if coordinators answer more often than this that they don't know its attempt.
MAX_UNKNOWN_ANSWERS = 40
# Requests that this host may have at one engine at a time while it can't reach the coordinator.
MAX_OWN_PER_ENGINE = 4


class HeldSlot:
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


class PendingAttempt:
    """An attempt that waits for a slot.

    ``zone`` is that of the pool asked last, ``asked`` are all zones asked so far, and ``lost``
    is the number of times that a coordinator answered that it does not know the attempt.
    """

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
    """Register a policy, a function that chooses the engines for an attempt, under a name."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


@state_slice("slots")
class SlotsState:
    """Held slots and waiting attempts, by attempt id, and the name of the active policy."""

    __slots__ = ("held", "waiting", "policy")

    def __init__(self, cfg: Settings) -> None:
        self.held: dict[str, HeldSlot] = {}
        self.waiting: dict[str, PendingAttempt] = {}
        self.policy = "reserve"


@handles(Booted)
def start_renewals(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the renewal timer."""
    yield StartTimer(timer="renew", delay=state.cfg.timing.renew)


@handles(SlotWanted)
def apply_policy(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Let the active policy choose the engines for an attempt."""
    if requests.request_of(state, event.request_id):
        yield from POLICIES[state["slots"].policy](state, event)


@policy("reserve")
def reserve(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Ask the coordinator of the pool with the lowest expected delay for a slot."""
    req = requests.request_of(state, event.request_id)
    pending = PendingAttempt(
        request_id=event.request_id, model=req.call.target, avoid=tuple(event.avoid)
    )
    state["slots"].waiting[event.attempt_id] = pending
    yield from _ask_next_pool(state, event.attempt_id, pending, event.at)


def hold_without_coordinator(
    state: State, event: SlotWanted, *, prefill: str, decode: str
) -> typing.Iterator[Step]:
    """Hold a slot at two given engines without a coordinator's grant."""
    entry = members.entry_of(state, decode)
    req = requests.request_of(state, event.request_id)
    state["slots"].held[event.attempt_id] = HeldSlot(
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


# --- Requests to coordinators --------------------------------------------------------------------


def target_of(state: State, req: "requests.Request") -> float:
    """Return the Unix time at which a request's first output is due."""
    arrived = state.wall(req.arrived)
    created_at = min(req.call.born, arrived) if req.call.born else arrived
    targets = state.cfg.targets
    return created_at + (targets.may_wait if req.plan.may_wait else targets.first_output)


def _ask_next_pool(
    state: State, attempt_id: str, pending: PendingAttempt, at: float
) -> typing.Iterator[Step]:
    req = requests.request_of(state, pending.request_id)
    zones = pools.zones_by_cost(state, pending.model, req.call.pieces, req.call.prompt_tokens, at)
    is_late = target_of(state, req) < state.wall(at)
    for zone in zones:
        is_cooling_down = (
            is_late
            and at - pools.view_of(state, pending.model, zone).late_denied_at < LATE_COOLDOWN_S
        )
        if is_cooling_down or len(pending.asked) >= MAX_POOLS_ASKED:
            break
        if zone not in pending.asked:
            yield from _ask_coordinator(state, attempt_id, pending, zone, at)
            return
    yield from _refuse_attempt(state, attempt_id, pending, bool(zones), at)


def _ask_coordinator(
    state: State, attempt_id: str, pending: PendingAttempt, zone: str, at: float
) -> typing.Iterator[Step]:
    pending.zone = zone
    pending.asked.append(zone)
    pending.asked_at = at
    view = pools.view_of(state, pending.model, zone)
    if at < view.cut_until:
        yield from _bypass_coordinator(state, attempt_id, pending, at)
        return
    if view.is_suspect:
        view.cut_until = at + pools.CUT_OFF_S
    host = coordinator.coordinator_of(state, pending.model, zone)
    yield SendPeer(host=host, message=_reserve_message(state, attempt_id, pending))


def _reserve_message(state: State, attempt_id: str, pending: PendingAttempt) -> Reserve:
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


def _refuse_attempt(
    state: State, attempt_id: str, pending: PendingAttempt, has_engines: bool, at: float
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
    """Start the attempt, or release the slot if no attempt waits for it any more."""
    message = event.message
    pending = state["slots"].waiting.pop(message.attempt_id, None)
    if pending is None:
        yield from _release_unwanted(state, message, event)
        return
    _record_answer(state, pending, message.wait, event.at)
    _record_affinity(state, pending, message)
    state["slots"].held[message.attempt_id] = HeldSlot(
        request_id=message.request_id,
        model=pending.model,
        zone=pending.zone,
        engine=message.engine,
        phase="prefill",
        since=event.at,
    )
    yield SlotHeld(
        at=event.at,
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        prefill_engine=message.prefill_engine,
        decode_engine=message.engine,
    )


def _release_unwanted(state: State, grant: Granted, event: PeerMessage) -> typing.Iterator[Step]:
    entry = members.entry_of(state, grant.engine)
    if grant.attempt_id in state["slots"].held or entry is None:
        return
    message = Release(
        request_id=grant.request_id,
        attempt_id=grant.attempt_id,
        owner=state.owner,
        engine=grant.engine,
        model=entry.service,
        zone=entry.zone,
    )
    yield SendPeer(host=event.sender.host, message=message)


def _record_answer(state: State, pending: PendingAttempt, wait: float, at: float) -> None:
    view = pools.view_of(state, pending.model, pending.zone)
    view.wait = wait
    view.cut_until = 0.0
    view.is_suspect = False
    elapsed = at - pending.asked_at
    # A slower answer includes time in the coordinator's queue.
    if pending.zone != state.zone and elapsed < MAX_CROSSING_S:
        view.crossing.observe(elapsed / 2)
    view.cut_until = 0.0


def _record_affinity(state: State, pending: PendingAttempt, message: Granted) -> None:
    req = requests.request_of(state, pending.request_id)
    affinity = pools.affinity_of(state, pending.model)
    home = pools.home_zone(state, pending.model, req.call.pieces)
    share = message.cached_tokens / max(1, req.call.prompt_tokens)
    # A prompt that the home zone redirected to the zone with its cached prefix is still recorded as
    # a prompt of the home zone, with the share of its tokens that was cached.
    (affinity.home if pending.asked[0] == home else affinity.elsewhere).observe(share)


@on_message(Denied)
def handle_denial(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Follow a redirect, reserve again for an unknown attempt, or deny the request."""
    message = event.message
    pending = state["slots"].waiting.get(message.attempt_id)
    if pending is None:
        return
    if message.unknown:
        yield from _retry_unknown_attempt(state, message.attempt_id, pending, event.at)
        return
    view = pools.view_of(state, pending.model, pending.zone)
    _record_answer(state, pending, message.wait, event.at)
    if message.elsewhere and not pending.redirected:
        pending.redirected = True
        yield Count(metric="reserve_redirected")
        yield from _ask_coordinator(state, message.attempt_id, pending, message.elsewhere, event.at)
        return
    req = requests.request_of(state, pending.request_id)
    if target_of(state, req) <= state.wall(event.at):
        view.late_denied_at = event.at
    # The coordinator has compared the other pools: none would serve the request in time.
    yield from _refuse_attempt(state, message.attempt_id, pending, True, event.at)


def _retry_unknown_attempt(
    state: State, attempt_id: str, pending: PendingAttempt, at: float
) -> typing.Iterator[Step]:
    pending.lost += 1
    if pending.lost > MAX_UNKNOWN_ANSWERS:
        yield from _refuse_attempt(state, attempt_id, pending, True, at)
    else:
        yield StartTimer(timer="reserve_again", key=attempt_id, delay=RESERVE_AGAIN_DELAY_S)


@on_timer("reserve_again")
def reserve_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Reserve again for an attempt that its coordinator did not know."""
    pending = state["slots"].waiting.get(event.key)
    if pending:
        host = coordinator.coordinator_of(state, pending.model, pending.zone)
        yield SendPeer(host=host, message=_reserve_message(state, event.key, pending))


# --- Coordinators out of reach -------------------------------------------------------------------


@handles(PeerFailed)
def coordinator_unreachable(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """For a while, stop asking a coordinator that can't be reached, and ask other pools."""
    message = event.message
    if not isinstance(message, Reserve | Renew):
        return
    view = pools.view_of(state, message.model, message.zone)
    view.cut_until = event.at + pools.CUT_OFF_S
    view.is_suspect = True
    yield Count(metric="coordinator_unreachable", label=message.zone)
    for attempt_id, pending in list(state["slots"].waiting.items()):
        if (pending.model, pending.zone) == (message.model, message.zone):
            pending.asked = []
            yield from _ask_next_pool(state, attempt_id, pending, event.at)


def _bypass_coordinator(
    state: State, attempt_id: str, pending: PendingAttempt, at: float
) -> typing.Iterator[Step]:
    """Use this host's own share of the zone's engines; full engines refuse the request."""
    engines = [
        entry.name
        for entry in members.usable_endpoints(state, pending.model)
        if entry.zone == pending.zone
    ]
    own_engines = [slot.engine for slot in state["slots"].held.values()]
    free = [name for name in engines if own_engines.count(name) < MAX_OWN_PER_ENGINE]
    candidates = [name for name in free if name not in pending.avoid]
    if not candidates:
        yield from _ask_next_pool(state, attempt_id, pending, at)
        return
    decode = min(sorted(candidates), key=own_engines.count)
    del state["slots"].waiting[attempt_id]
    yield Count(metric="coordinator_bypassed")
    event = SlotWanted(at=at, request_id=pending.request_id, attempt_id=attempt_id)
    yield from hold_without_coordinator(state, event, prefill=decode, decode=decode)


@handles(MembersChanged)
def members_changed(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Renew all held slots and waiting requests, because the coordinators may be new."""
    yield from _renew_all(state)


@on_timer("renew")
def renew(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Renew all reservations and waiting requests at regular intervals."""
    yield from _renew_all(state)
    yield StartTimer(timer="renew", delay=state.cfg.timing.renew)


def _renew_all(state: State) -> typing.Iterator[Step]:
    by_pool: dict[tuple[str, str], list[tuple[str, str, str, bool]]] = {}
    for attempt_id, held in state["slots"].held.items():
        renewal = (held.engine, held.request_id, attempt_id, held.phase == "decode")
        by_pool.setdefault((held.model, held.zone), []).append(renewal)
    for attempt_id, pending in state["slots"].waiting.items():
        renewal = ("", pending.request_id, attempt_id, False)
        by_pool.setdefault((pending.model, pending.zone), []).append(renewal)
    for (model, zone), renewals in by_pool.items():
        message = Renew(owner=state.owner, attempts=tuple(renewals), model=model, zone=zone)
        yield SendPeer(host=coordinator.coordinator_of(state, model, zone), message=message)
