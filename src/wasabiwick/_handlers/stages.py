"""Engine stages: balances a service's engines between prefill and decode, by orders to engines.

Load pattern handled: traffic whose prompts and outputs don't match the stages that engines started
with, so that one kind of engine is full while the other idles. The target is the split that serves
the highest rate of streams; it is approached by few engines at a time, and only for a clear gain,
since an engine serves no requests while it changes its stage.

One host at a time sends orders. A host claims that right in a log, which accepts a claim only from
a host that has read the last one. The holder of the claim sends its order at once, and other hosts
wait until the claim has long expired. The claim's offset plus one is the order's fencing number.
"""

import collections
import typing

from .._effects import Count, LogLine, StartTimer
from .._effects_forwarding import ClaimOrders, OrderStage, ReadClaims
from .._events import (
    ClaimAnswered,
    ClaimsRead,
    ForwarderBooted,
    StageAnswered,
    TimerFired,
)
from .._forwarding import DECODE, PREFILL, Endpoint, ServiceTraits
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import builds, directory, estimates, neighbours, pauses, places, reach, routes

REVIEW_INTERVAL_S = 1.0  # Time between reviews of how many engines each stage has.
# No engine of a service changes its stage until the service's list of engines has been unchanged
# this long, since engines enter the list one at a time.
SETTLE_TIME_S = 2.5
# Another split of the engines must raise the rate of streams served by at least this share.
MIN_GAIN = 0.15
# Time between a host's orders, as a delayed order may be carried out 12 s after it was sent.
ORDER_PAUSE_S = 12.0
# One engine of so many may change its stage at once; each serves nothing for seconds meanwhile.
ENGINES_PER_CHANGE = 6
# Engines kept in each stage if a service has enough of them, as one may be lost.
MIN_PER_STAGE = 2
CLAIM_TERM_S = 2.0  # Time after sending a claim in which a host may send an order under it.
CLAIM_WAIT_S = 5.0  # Time after reading another host's claim in which this host makes none.
SWITCH_SLACK_S = 1.0  # Time allowed for a stage change beyond ``switch_time``.


class StageChange:
    """A change of one engine's stage."""

    __slots__ = ("endpoint", "stage", "service")

    def __init__(self, *, endpoint: Endpoint, stage: str, service: str) -> None:
        self.endpoint = endpoint
        self.stage = stage
        self.service = service


@state_slice("stages")
class StagesState:
    """What this host knows of claims and of its own orders.

    ``last_claim`` is the end of the log of claims when it was last read, the holder of the last
    claim, and the monotonic time at which this host first saw that claim. ``engine_stages`` holds
    the names and stages of each service's engines, unchanged since ``engine_stages_since``.
    """

    __slots__ = (
        "last_claim",
        "claimed_at",
        "ordered_at",
        "engine_stages",
        "engine_stages_since",
    )

    def __init__(self, cfg: Settings) -> None:
        self.last_claim: tuple[int, str, float] = (-1, "", 0.0)
        self.claimed_at = 0.0
        self.ordered_at = float("-inf")
        self.engine_stages: dict[str, frozenset[tuple[str, str]]] = {}
        self.engine_stages_since: dict[str, float] = {}


def stream_rate(state: State, service: ServiceTraits, prefill: int, decode: int) -> float:
    """Return the streams per second that a number of engines of each stage can serve."""
    prompt, output = estimates.mean_sizes(state, service)
    streams_per_engine = min(
        service.engine.slots, service.engine.memory_tokens / (prompt + output / 2)
    )
    decode_stream_rate = (
        decode * streams_per_engine * estimates.token_rate(state, service.name) / output
    )
    return min(decode_stream_rate, prefill * estimates.prefill_rate(state, service.name) / prompt)


def next_changes(state: State, service: ServiceTraits, at: float) -> list[StageChange]:
    """Return the stage changes that bring a service closer to its best split.

    In a large service several engines change at once, as orders are rare.
    """
    engines = directory.usable_endpoints(state, service.name)
    if any(directory.is_busy(state, one.name, at) for one in engines):
        return []
    prefill = [one for one in engines if one.stage == PREFILL]
    decode = [one for one in engines if one.stage == DECODE]
    engine_count = len(prefill) + len(decode)
    if not prefill or not decode or engine_count < 3:
        return []
    current_rate = stream_rate(state, service, len(prefill), len(decode))
    min_per_stage = MIN_PER_STAGE if engine_count >= 2 * MIN_PER_STAGE + 1 else 1
    best_prefill_count = max(
        range(min_per_stage, engine_count - min_per_stage + 1),
        key=lambda n: stream_rate(state, service, n, engine_count - n),
    )
    if (
        stream_rate(state, service, best_prefill_count, engine_count - best_prefill_count)
        < (1.0 + MIN_GAIN) * current_rate
    ):
        return []
    wanted = abs(best_prefill_count - len(prefill))
    most = max(1, engine_count // ENGINES_PER_CHANGE)
    stage = DECODE if best_prefill_count < len(prefill) else PREFILL
    staying = prefill if stage == DECODE else decode
    changes: list[StageChange] = []
    while len(changes) < min(wanted, most):
        donor = _choose_donor(state, staying, stage, at)
        if donor is None:
            break
        staying.remove(donor)
        changes.append(StageChange(endpoint=donor, stage=stage, service=service.name))
    return changes


def _choose_donor(state: State, engines: list[Endpoint], stage: str, at: float) -> Endpoint | None:
    """Return the engine that is to change its stage, or None if none may.

    Args:
        state: The host's state.
        engines: Engines of the other stage.
        stage: The stage that it is to get.
        at: Monotonic time.
    """
    donors = engines if stage == DECODE else _spare_decode_engines(engines)
    donors = [one for one in donors if not pauses.is_paused(state, one.name, at)]
    donors_in_zone = collections.Counter(one.zone for one in donors)
    return min(
        donors,
        key=lambda one: (
            -donors_in_zone[one.zone],
            places.load(state, one.name, at).running,
            places.load(state, one.name, at).reading,
            one.name,
        ),
        default=None,
    )


def _spare_decode_engines(engines: list[Endpoint]) -> list[Endpoint]:
    """Return the decode engines without which each build still has one to resume its streams."""
    counts = collections.Counter(one.build for one in engines)
    return [one for one in engines if counts[one.build] > 1]


def _next_orders(state: State, at: float) -> list[StageChange]:
    for service in state["routes"].services.values():
        if service.engine is not None and _is_settled(state, service.name, at):
            stage_changes = next_changes(state, service, at)
            if stage_changes:
                return stage_changes
    return []


def _is_settled(state: State, service: str, at: float) -> bool:
    stages_state = state["stages"]
    engine_stages = frozenset(
        (one.name, one.stage) for one in directory.usable_endpoints(state, service)
    )
    if stages_state.engine_stages.get(service) != engine_stages:
        stages_state.engine_stages[service] = engine_stages
        stages_state.engine_stages_since[service] = at
    return at - stages_state.engine_stages_since[service] >= SETTLE_TIME_S


def _is_first_host(state: State, service: str, at: float) -> bool:
    """Return whether this host's name sorts first among the hosts that may order a service.

    These are the live hosts that are not stopping and reach the service's engines. Only the first
    one claims, so that few hosts compete for a claim.
    """
    if state.stopping or reach.is_in_doubt(state, service):
        return False
    other_hosts = [
        name
        for name in neighbours.live_names(state, at)
        if neighbours.reaches(state, name, service)
    ]
    return state.owner.host <= min(other_hosts, default=state.owner.host)


@handles(ForwarderBooted)
def start_reviews(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Start the periodic review."""
    yield StartTimer(timer="stages", delay=REVIEW_INTERVAL_S)


@on_timer("stages")
def review_stages(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the claims if an engine should change its stage and this host may order that."""
    yield StartTimer(timer="stages", delay=REVIEW_INTERVAL_S)
    stage_changes = _next_orders(state, event.at)
    is_paused = event.at - state["stages"].ordered_at < ORDER_PAUSE_S
    if (
        stage_changes
        and not is_paused
        and directory.is_source_up(state)
        and _is_first_host(state, stage_changes[0].service, event.at)
    ):
        yield ReadClaims()


@handles(ClaimsRead)
def claims_read(state: State, event: ClaimsRead) -> typing.Iterator[Step]:
    """Claim the right to send an order, unless another host's claim may still be valid."""
    stages_state = state["stages"]
    if stages_state.last_claim[:2] != (event.end, event.holder):
        stages_state.last_claim = (event.end, event.holder, event.at)
    # A copy may lack a claim that still holds.
    if event.at - builds.restored_at(state) < CLAIM_WAIT_S:
        return
    is_other_host = event.holder not in ("", state.owner.host)
    if is_other_host and event.at - stages_state.last_claim[2] < CLAIM_WAIT_S:
        yield LogLine(event="orders_claimed", fields={"holder": event.holder, "end": event.end})
        return
    stages_state.claimed_at = event.at
    yield ClaimOrders(after=event.end, holder=state.owner.host)


@handles(ClaimAnswered)
def claim_answered(state: State, event: ClaimAnswered) -> typing.Iterator[Step]:
    """Send the orders at once if the claim was accepted and did not take too long.

    Each is to another engine, so that all may bear the claim's fencing number.
    """
    stages_state = state["stages"]
    stage_changes = _next_orders(state, event.at)
    if event.offset < 0 or event.at - stages_state.claimed_at > CLAIM_TERM_S or not stage_changes:
        yield LogLine(event="claim_unused", fields={"offset": event.offset})
        return
    stages_state.ordered_at = event.at
    for stage_change in stage_changes:
        yield from _order(state, stage_change, event.offset + 1, event.at)
    yield from neighbours.send_now(state, event.at)


def _order(state: State, stage_change: StageChange, fence: int, at: float) -> typing.Iterator[Step]:
    service = routes.service(state, stage_change.service)
    busy_until = at + service.engine.switch_time + SWITCH_SLACK_S
    directory.set_busy(state, stage_change.endpoint.name, busy_until)
    prompt, output = estimates.mean_sizes(state, service)
    fields = {
        "endpoint": stage_change.endpoint.name,
        "stage": stage_change.stage,
        "fence": fence,
        "prompt": prompt,
        "output": output,
        "read_rate": estimates.prefill_rate(state, service.name),
        "token_rate": estimates.token_rate(state, service.name),
    }
    yield Count(metric="stage_orders", label=stage_change.stage)
    yield LogLine(event="stage_ordered", fields=fields)
    yield OrderStage(
        endpoint=stage_change.endpoint.name,
        address=stage_change.endpoint.address,
        stage=stage_change.stage,
        holder=state.owner.host,
        fence=fence,
    )


@handles(StageAnswered)
def stage_answered(state: State, event: StageAnswered) -> typing.Iterator[Step]:
    """Log the result of an order, and end the busy time of an engine that refused it.

    An engine that did not answer may still carry the order out, so it stays busy.
    """
    why = event.failure.detail if event.failure else "-"
    yield LogLine(
        event="stage_answered",
        fields={"endpoint": event.endpoint, "taken": event.failure is None, "why": why},
    )
    if event.failure is not None and event.failure.reason.code == "endpoint_refused":
        directory.set_busy(state, event.endpoint, event.at)
