"""Leases on the log: one per model of this availability zone, for the host that orders its engines.

Every host of the zone reads the claims and decides alike which are valid, by the log's own clock. A
claim's offset is the fencing number of the orders sent under it.
"""

import typing

import msgspec

from .._effects import AppendLog, Count, LogLine, ReadLog, StartTimer, TailLog
from .._events import Booted, LogRead, LogReadFailed, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import LeaseClaim, LogRecord, Owner
from . import coordinator, lists
from .host import role_report

TICK_INTERVAL = 1.0  # Seconds between looks at the leases.
RENEW_SHARE = 1 / 3  # Share of the term after which a holder renews.
MARGIN_SHARE = 0.1  # Share of the term by which a holder stops early.
WINDOW = 1_024  # Claims before the stream's end that a new host reads.
LISTEN_TERMS = 2  # Terms that a host listens for where it has not read all claims.
PAST_END = 2**53 - 1  # Offset after every record; a read from it tells the stream's end.
START = "start"


class Lease:
    """The last valid claim of one model, as every reader knows it.

    Args:
        claim: The claim.
        offset: Its offset, which is the fencing number.
        time: When the log took it, Unix seconds of the log.
        read_at: When this host read it, monotonic seconds.
        taken_at: When this host read the first claim of this owner in a row, monotonic seconds.
        first_offset: The offset of that claim.
    """

    __slots__ = ("claim", "offset", "time", "read_at", "taken_at", "first_offset")

    def __init__(
        self,
        *,
        claim: LeaseClaim,
        offset: int,
        time: float,
        read_at: float,
        taken_at: float,
        first_offset: int,
    ) -> None:
        self.claim = claim
        self.offset = offset
        self.time = time
        self.read_at = read_at
        self.taken_at = taken_at
        self.first_offset = first_offset


class Sent:
    """A claim of this host that it has not read back yet."""

    __slots__ = ("after", "at")

    def __init__(self, *, after: int, at: float) -> None:
        self.after = after
        self.at = at


@state_slice("leases")
class LeasesState:
    """Leases of the zone by model, and this host's claims that are under way."""

    __slots__ = ("leases", "sent", "until", "ready_at", "appends")

    def __init__(self, cfg: Settings) -> None:
        self.leases: dict[str, Lease] = {}
        self.sent: dict[str, Sent] = {}
        self.until: dict[str, float] = {}  # Monotonic time at which this host's leases end.
        self.ready_at = float("inf")
        self.appends = 0


def stream_of(zone: str) -> str:
    """Return the log stream of an availability zone's claims."""
    return f"leases-{zone}"


def fence_of(state: State, model: str, at: float) -> int:
    """Return the fencing number under which this host may order a model's engines now, or -1.

    The lease is counted from before the claim was sent, and given up a margin before it ends.
    """
    lease = state["leases"].leases.get(model)
    if lease is None or lease.claim.owner != state.owner:
        return -1
    margin = MARGIN_SHARE * lease.claim.term
    return lease.offset if at < state["leases"].until.get(model, 0.0) - margin else -1


def taken_at(state: State, model: str) -> float:
    """Return when the holder of a model's lease took it over, monotonic seconds."""
    return state["leases"].leases[model].taken_at


def first_fence_of(state: State, model: str) -> int:
    """Return the fencing number with which the holder of a model's lease took it over."""
    return state["leases"].leases[model].first_offset


def give_up(state: State, model: str) -> None:
    """Stop ordering under a lease that someone else is known to have taken over."""
    state["leases"].until.pop(model, None)


@role_report
def roles(state: State) -> typing.Iterator[str]:
    """Name the leases that this host holds."""
    for model, lease in state["leases"].leases.items():
        if lease.claim.owner == state.owner:
            yield f"lease/{model}/{state.zone}"


# --- Reading claims ------------------------------------------------------------------------------


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Look for the end of the zone's claims; the older ones have long expired."""
    yield _find_end(state)
    yield StartTimer(timer="leases", delay=TICK_INTERVAL)


def _find_end(state: State) -> ReadLog:
    return ReadLog(stream=stream_of(state.zone), tag=START, offset=PAST_END)


@handles(LogReadFailed)
def find_again(state: State, event: LogReadFailed) -> typing.Iterator[Step]:
    """Look again later where the log did not answer."""
    if event.stream == stream_of(state.zone) and event.tag == START:
        yield StartTimer(
            timer="leases_start", delay=state.rng.uniform(TICK_INTERVAL, 2 * TICK_INTERVAL)
        )


@on_timer("leases_start")
def start_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Look for the end of the claims again."""
    yield _find_end(state)


@handles(LogRead)
def read(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Take over each valid claim."""
    if event.stream != stream_of(state.zone):
        return
    if event.tag == START:
        first = max(event.first, event.end - WINDOW)
        listens = 0.0 if first == 0 else LISTEN_TERMS * state.cfg.orders.lease
        state["leases"].ready_at = event.at + listens
        yield TailLog(stream=event.stream, offset=first)
        return
    for record in event.records:
        yield from _take(state, record, event.at)


def _take(state: State, record: LogRecord, at: float) -> typing.Iterator[Step]:
    try:
        claim = msgspec.json.decode(record.data, type=LeaseClaim)
    except msgspec.MsgspecError:
        yield Count(metric="lease_claim_malformed")
        return
    mine = state["leases"]
    before = mine.leases.get(claim.model)
    own = claim.owner == state.owner
    sent = mine.sent.get(claim.model)
    if own and sent and sent.after == claim.after:
        del mine.sent[claim.model]
    if claim.zone != state.zone or not _is_valid(before, claim, record):
        yield Count(metric="lease_claim_lost")
        return
    same = before is not None and before.claim.owner == claim.owner
    mine.leases[claim.model] = Lease(
        claim=claim,
        offset=record.offset,
        time=record.time,
        read_at=at,
        taken_at=before.taken_at if same else at,
        first_offset=before.first_offset if same else record.offset,
    )
    if own and sent and sent.after == claim.after:
        mine.until[claim.model] = sent.at + claim.term
    if not same:
        yield _line(claim.model, claim.owner, record.offset)


def _is_valid(before: Lease | None, claim: LeaseClaim, record: LogRecord) -> bool:
    """A claim counts if it follows the last valid one, by its holder or after its end."""
    if before is None:
        return True
    if claim.after < before.offset:
        return False
    expired = record.time >= before.time + before.claim.term
    return expired or claim.owner == before.claim.owner


def _line(model: str, owner: Owner, fence: int) -> LogLine:
    fields = {"model": model, "holder": owner.host, "fence": fence}
    return LogLine(event="lease_taken", fields=fields)


# --- Claiming ------------------------------------------------------------------------------------


@on_timer("leases")
def tick(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Claim or renew the leases of the pools that this host coordinates, together."""
    yield StartTimer(timer="leases", delay=TICK_INTERVAL)
    if event.at < state["leases"].ready_at or state.stopping:
        return
    claims = [
        _claim(state, model, event.at) for model in _wanted(state) if _due(state, model, event)
    ]
    if claims:
        state["leases"].appends += 1
        tag = f"claim-{state['leases'].appends}"
        yield AppendLog(stream=stream_of(state.zone), tag=tag, records=tuple(claims))


def _wanted(state: State) -> list[str]:
    known = lists.current(state)
    if known is None:
        return []
    own = state.owner.host
    return [
        model
        for model in sorted(known.models)
        if coordinator.coordinator_of(state, model, state.zone) == own
    ]


def _due(state: State, model: str, event: TimerFired) -> bool:
    mine = state["leases"]
    sent = mine.sent.get(model)
    if sent and event.at - sent.at < state.cfg.timing.log:
        return False
    lease = mine.leases.get(model)
    if lease is None:
        return True
    if lease.claim.owner == state.owner:
        return event.at >= lease.read_at + RENEW_SHARE * lease.claim.term
    return event.at >= lease.read_at + (1 + MARGIN_SHARE) * lease.claim.term


def _claim(state: State, model: str, at: float) -> LeaseClaim:
    mine = state["leases"]
    lease = mine.leases.get(model)
    after = lease.offset if lease else -1
    sent = mine.sent.get(model)
    if sent is None or sent.after != after:
        # A repeated claim may be read back by its first copy: its time counts.
        mine.sent[model] = Sent(after=after, at=at)
    return LeaseClaim(
        zone=state.zone,
        model=model,
        owner=state.owner,
        term=state.cfg.orders.lease,
        after=after,
    )
