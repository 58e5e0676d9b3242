"""Engine stages: balances a service's engines between prefill and decode, by orders to engines.

Load pattern handled: traffic whose prompts and outputs don't match the stages that engines started
with, so that one kind of engine is full while the other idles. The target is the split that serves
the highest rate of streams; it is approached one engine at a time, and only for a clear gain, since
an engine serves no requests while it changes its stage.

One host at a time sends orders. A host claims that right in a log, which accepts a claim only from
a host that has read the last one. The holder of the claim sends its order at once, and other hosts
wait until the claim has long expired. The claim's offset plus one is the order's fencing number.
"""

import typing

from .._effects import Count, LogLine, StartTimer
from .._effects_forwarding import ClaimOrders, OrderStage, ReadClaims
from .._events import ClaimAnswered, ClaimsRead, ForwarderBooted, StageAnswered, TimerFired
from .._forwarding import DECODE, PREFILL, Endpoint, ServiceTraits
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import directory, estimates, neighbours, places, routes

REVIEW_INTERVAL_S = 1.0  # Time between reviews of how many engines each stage has.
# No engine of a service changes its stage until the service's list of engines has been unchanged
# this long, since engines enter the list one at a time.
SETTLE_TIME_S = 2.5
# Another split of the engines must raise the rate of streams served by at least this share.
MIN_GAIN = 0.15
# Time between a host's orders, as a delayed order may be carried out 12 s after it was sent.
ORDER_PAUSE_S = 12.0
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

    ``seen`` is the end of the log of claims when it was last read, the holder of the last claim,
    and the monotonic time at which this host first saw that claim. ``names`` holds the names
    and stages of each service's engines, unchanged since ``names_since``.
    """

    __slots__ = ("seen", "claimed_at", "ordered_at", "names", "names_since")

    def __init__(self, cfg: Settings) -> None:
        self.seen: tuple[int, str, float] = (-1, "", 0.0)
        self.claimed_at = 0.0
        self.ordered_at = float("-inf")
        self.names: dict[str, frozenset[tuple[str, str]]] = {}
        self.names_since: dict[str, float] = {}


def stream_rate(state: State, service: ServiceTraits, prefill: int, decode: int) -> float:
    """Return the streams per second that a number of engines of each stage can serve."""
    prompt, output = estimates.mean_sizes(state, service)
    held = min(service.engine.slots, service.engine.memory_tokens / (prompt + output / 2))
    decoded = decode * held * estimates.token_rate(state, service.name) / output
    return min(decoded, prefill * estimates.prefill_rate(state, service.name) / prompt)


def next_change(state: State, service: ServiceTraits, at: float) -> StageChange | None:
    """Return the stage change that brings a service closer to its best split, or None."""
    engines = directory.usable(state, service.name)
    if any(directory.is_busy(state, one.name, at) for one in engines):
        return None
    prefill = [one for one in engines if one.stage == PREFILL]
    decode = [one for one in engines if one.stage == DECODE]
    total = len(prefill) + len(decode)
    if not prefill or not decode or total < 3:
        return None
    current = stream_rate(state, service, len(prefill), len(decode))
    minimum = MIN_PER_STAGE if total >= 2 * MIN_PER_STAGE + 1 else 1
    best = max(
        range(minimum, total - minimum + 1), key=lambda n: stream_rate(state, service, n, total - n)
    )
    if stream_rate(state, service, best, total - best) < (1.0 + MIN_GAIN) * current:
        return None
    donors, stage = (prefill, DECODE) if best < len(prefill) else (decode, PREFILL)
    in_zone = {one.zone: sum(other.zone == one.zone for other in donors) for one in donors}
    chosen = min(
        donors,
        key=lambda one: (
            -in_zone[one.zone],
            places.load(state, one.name, at).running,
            places.load(state, one.name, at).reading,
            one.name,
        ),
    )
    return StageChange(endpoint=chosen, stage=stage, service=service.name)


def _next_order(state: State, at: float) -> StageChange | None:
    for service in state["routes"].services.values():
        if service.engine is not None and _is_settled(state, service.name, at):
            found = next_change(state, service, at)
            if found:
                return found
    return None


def _is_settled(state: State, service: str, at: float) -> bool:
    mine = state["stages"]
    names = frozenset((one.name, one.stage) for one in directory.usable(state, service))
    if mine.names.get(service) != names:
        mine.names[service] = names
        mine.names_since[service] = at
    return at - mine.names_since[service] >= SETTLE_TIME_S


def _is_first_host(state: State, at: float) -> bool:
    """Return whether this host's name sorts first among the live hosts that are not stopping.

    Only such a host claims, so that few hosts compete for a claim.
    """
    hosts = state["neighbours"].hosts.items()
    others = [
        name for name, one in hosts if at - one.heard < neighbours.SILENT_AFTER and not one.stopping
    ]
    return not state.stopping and state.owner.host <= min(others, default=state.owner.host)


@handles(ForwarderBooted)
def begin(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Start the periodic review."""
    yield StartTimer(timer="stages", delay=REVIEW_INTERVAL_S)


@on_timer("stages")
def review(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the claims if an engine should change its stage and this host may order that."""
    yield StartTimer(timer="stages", delay=REVIEW_INTERVAL_S)
    found = _next_order(state, event.at)
    paused = event.at - state["stages"].ordered_at < ORDER_PAUSE_S
    if found and not paused and directory.is_source_up(state) and _is_first_host(state, event.at):
        yield ReadClaims()


@handles(ClaimsRead)
def claims_read(state: State, event: ClaimsRead) -> typing.Iterator[Step]:
    """Claim the right to send an order, unless another host's claim may still be valid."""
    mine = state["stages"]
    if mine.seen[:2] != (event.end, event.holder):
        mine.seen = (event.end, event.holder, event.at)
    other = event.holder not in ("", state.owner.host)
    if other and event.at - mine.seen[2] < CLAIM_WAIT_S:
        yield LogLine(event="orders_claimed", fields={"holder": event.holder, "end": event.end})
        return
    mine.claimed_at = event.at
    yield ClaimOrders(after=event.end, holder=state.owner.host)


@handles(ClaimAnswered)
def claim_answered(state: State, event: ClaimAnswered) -> typing.Iterator[Step]:
    """Send the order at once if the claim was accepted and did not take too long."""
    mine = state["stages"]
    found = _next_order(state, event.at)
    if event.offset < 0 or event.at - mine.claimed_at > CLAIM_TERM_S or found is None:
        yield LogLine(event="claim_unused", fields={"offset": event.offset})
        return
    mine.ordered_at = event.at
    service = routes.service(state, found.service)
    until = event.at + service.engine.switch_time + SWITCH_SLACK_S
    directory.set_busy(state, found.endpoint.name, until)
    prompt, output = estimates.mean_sizes(state, service)
    fields = {
        "endpoint": found.endpoint.name,
        "stage": found.stage,
        "fence": event.offset + 1,
        "prompt": prompt,
        "output": output,
        "read_rate": estimates.prefill_rate(state, service.name),
        "token_rate": estimates.token_rate(state, service.name),
    }
    yield Count(metric="stage_orders", label=found.stage)
    yield LogLine(event="stage_ordered", fields=fields)
    yield OrderStage(
        endpoint=found.endpoint.name,
        address=found.endpoint.address,
        stage=found.stage,
        holder=state.owner.host,
        fence=event.offset + 1,
    )
    yield from neighbours.send_now(state, event.at)


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
