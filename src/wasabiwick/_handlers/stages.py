"""Stages of engines: how many of a service prefill and how many decode, and orders to change it.

Load pattern answered: traffic whose prompts and outputs don't match the stages that engines started
with, so that one kind of engine is full while the other idles. The split with the highest rate of
streams is wanted; it is approached one engine at a time, and only for a clear gain, since an engine
serves nobody while it changes.

Orders come from one host at a time. It claims the right in a log that takes a claim only where the
last one was read, and gives its order at once; another host waits until that claim is long over.
The claim's offset is the order's fencing number.
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

REVIEW = 1.0  # Seconds between looks at the split.
SETTLED = (
    2.5  # Seconds without a change of a service's list before an order: engines come one by one.
)
CLEAR_GAIN = 0.15  # Share by which another split has to be better.
ORDER_PAUSE = 12.0  # Seconds between orders: a late one is carried out up to 12 s after its send.
LEAST = 2  # Engines of each stage that are left where there are enough: one may be lost.
CLAIM_TERM = 2.0  # Seconds after the send of a claim in which its holder may order.
CLAIM_WAIT = 5.0  # Seconds for which another host's claim is left alone.
SLACK_TIME = 1.0  # Seconds by which a change may take longer than the engines' own time.


class Wanted:
    """A change of one engine's stage."""

    __slots__ = ("endpoint", "stage", "service")

    def __init__(self, *, endpoint: Endpoint, stage: str, service: str) -> None:
        self.endpoint = endpoint
        self.stage = stage
        self.service = service


@state_slice("stages")
class StagesState:
    """What this host knows of claims and of its own orders.

    ``seen`` is the end of the log of claims at the last look, with the holder of the last claim and
    the monotonic time at which this host first saw it.
    """

    __slots__ = ("seen", "claimed_at", "ordered_at", "names", "names_since")

    def __init__(self, cfg: Settings) -> None:
        self.seen: tuple[int, str, float] = (-1, "", 0.0)
        self.claimed_at = 0.0
        self.ordered_at = float("-inf")
        self.names: dict[str, frozenset[tuple[str, str]]] = {}
        self.names_since: dict[str, float] = {}


def stream_rate(state: State, service: ServiceTraits, prefill: int, decode: int) -> float:
    """Return the streams per second that some engines of each stage can serve."""
    prompt, output = estimates.mean_sizes(state, service)
    held = min(service.engine.slots, service.engine.memory_tokens / (prompt + output / 2))
    decoded = decode * held * estimates.token_rate(state, service.name) / output
    return min(decoded, prefill * estimates.prefill_rate(state, service.name) / prompt)


def wanted(state: State, service: ServiceTraits, at: float) -> Wanted | None:
    """Return the change that a service's engines need most, or None."""
    engines = directory.usable(state, service.name)
    if any(directory.is_busy(state, one.name, at) for one in engines):
        return None
    prefill = [one for one in engines if one.stage == PREFILL]
    decode = [one for one in engines if one.stage == DECODE]
    total = len(prefill) + len(decode)
    if not prefill or not decode or total < 3:
        return None
    present = stream_rate(state, service, len(prefill), len(decode))
    least = LEAST if total >= 2 * LEAST + 1 else 1
    best = max(
        range(least, total - least + 1), key=lambda n: stream_rate(state, service, n, total - n)
    )
    if stream_rate(state, service, best, total - best) < (1.0 + CLEAR_GAIN) * present:
        return None
    giving, stage = (prefill, DECODE) if best < len(prefill) else (decode, PREFILL)
    in_zone = {one.zone: sum(other.zone == one.zone for other in giving) for one in giving}
    chosen = min(
        giving,
        key=lambda one: (
            -in_zone[one.zone],
            places.load(state, one.name, at).running,
            places.load(state, one.name, at).reading,
            one.name,
        ),
    )
    return Wanted(endpoint=chosen, stage=stage, service=service.name)


def _next(state: State, at: float) -> Wanted | None:
    for service in state["routes"].services.values():
        if service.engine is not None and _is_settled(state, service.name, at):
            found = wanted(state, service, at)
            if found:
                return found
    return None


def _is_settled(state: State, service: str, at: float) -> bool:
    mine = state["stages"]
    names = frozenset((one.name, one.stage) for one in directory.usable(state, service))
    if mine.names.get(service) != names:
        mine.names[service] = names
        mine.names_since[service] = at
    return at - mine.names_since[service] >= SETTLED


def _leads(state: State, at: float) -> bool:
    """Tell whether this host is the first of those it hears, so that few compete for a claim."""
    hosts = state["neighbours"].hosts.items()
    others = [
        name for name, one in hosts if at - one.heard < neighbours.SILENT_AFTER and not one.stopping
    ]
    return not state.stopping and state.owner.host <= min(others, default=state.owner.host)


@handles(ForwarderBooted)
def begin(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Begin to look at the split."""
    yield StartTimer(timer="stages", delay=REVIEW)


@on_timer("stages")
def review(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Look whether an engine should change, and at the claims before anything is ordered."""
    yield StartTimer(timer="stages", delay=REVIEW)
    found = _next(state, event.at)
    paused = event.at - state["stages"].ordered_at < ORDER_PAUSE
    if found and not paused and directory.is_fresh(state) and _leads(state, event.at):
        yield ReadClaims()


@handles(ClaimsRead)
def claims_read(state: State, event: ClaimsRead) -> typing.Iterator[Step]:
    """Claim the right to order, unless another host's claim may not be over yet."""
    mine = state["stages"]
    if mine.seen[:2] != (event.end, event.holder):
        mine.seen = (event.end, event.holder, event.at)
    other = event.holder not in ("", state.owner.host)
    if other and event.at - mine.seen[2] < CLAIM_WAIT:
        yield LogLine(event="orders_claimed", fields={"holder": event.holder, "end": event.end})
        return
    mine.claimed_at = event.at
    yield ClaimOrders(after=event.end, holder=state.owner.host)


@handles(ClaimAnswered)
def claim_answered(state: State, event: ClaimAnswered) -> typing.Iterator[Step]:
    """Give the order at once where the claim was taken."""
    mine = state["stages"]
    found = _next(state, event.at)
    if event.offset < 0 or event.at - mine.claimed_at > CLAIM_TERM or found is None:
        yield LogLine(event="claim_unused", fields={"offset": event.offset})
        return
    mine.ordered_at = event.at
    service = routes.service(state, found.service)
    until = event.at + service.engine.switch_time + SLACK_TIME
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
    yield from neighbours.tell_now(state, event.at)


@handles(StageAnswered)
def stage_answered(state: State, event: StageAnswered) -> typing.Iterator[Step]:
    """Log how an order ended; one that was not answered may still be carried out."""
    why = event.failure.detail if event.failure else "-"
    yield LogLine(
        event="stage_answered",
        fields={"endpoint": event.endpoint, "taken": event.failure is None, "why": why},
    )
    if event.failure is not None and event.failure.reason.code == "endpoint_refused":
        directory.set_busy(state, event.endpoint, event.at)
