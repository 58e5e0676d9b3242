"""Leases: elects the host of an availability zone that sends orders to a model's engines.

Hosts append claims to a log. Every host of the zone reads all claims and applies the same rule to
decide which are valid, by the log's own clock. A claim's offset is the fencing number of the orders
sent under it.
"""

import typing

import msgspec

from .._decoding import decode_json
from .._effects import AppendLog, Count, LogLine, ReadLog, StartTimer, TailLog
from .._events import Booted, LogRead, LogReadFailed, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import LeaseClaim, LogRecord, Owner
from . import coordinator, lists
from .host import role_report

TICK_INTERVAL = 1.0  # Seconds between checks for leases to claim or renew.
RENEW_SHARE = 1 / 3  # Share of a lease's term after which its holder renews it.
# Share of a lease's term. Its holder stops using it this long before the term ends, and other hosts
# wait this long after the end before they claim it.
MARGIN_SHARE = 0.1
HISTORY_CLAIMS = 1_024  # A host that starts reads this many claims before the stream's end.
# A host that started without reading all claims sends none itself for this many lease terms.
LISTEN_TERMS = 2
PAST_END = 2**53 - 1  # Offset after every record; a read from there returns the stream's end.
START = "start"  # Tag of the read that finds the end of the stream.


class Lease:
    """The last valid claim for one model; all hosts agree on it.

    Args:
        claim: The claim.
        offset: Its offset, which is the fencing number.
        time: When the log accepted it, Unix seconds by the log's clock.
        read_at: When this host read it, monotonic seconds.
        taken_at: When this host read the first of the owner's consecutive claims, in monotonic
            seconds.
        first_offset: The offset of the first of those claims.
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


class SentClaim:
    """A claim that this host sent and has not read back yet.

    ``after`` is the offset of the valid claim that it follows, and ``at`` the monotonic time at
    which it was first sent.
    """

    __slots__ = ("after", "at")

    def __init__(self, *, after: int, at: float) -> None:
        self.after = after
        self.at = at


@state_slice("leases")
class LeasesState:
    """Leases of the zone and this host's claims by model.

    ``ready_at`` is the monotonic time from which this host may claim.
    """

    __slots__ = ("leases", "sent", "held_until", "ready_at", "appends")

    def __init__(self, cfg: Settings) -> None:
        self.leases: dict[str, Lease] = {}
        self.sent: dict[str, SentClaim] = {}
        self.held_until: dict[str, float] = {}  # Monotonic time at which this host's leases end.
        self.ready_at = float("inf")
        self.appends = 0


def stream_of(zone: str) -> str:
    """Return the log stream of an availability zone's claims."""
    return f"leases-{zone}"


def fence_of(state: State, model: str, at: float) -> int:
    """Return the fencing number for this host's orders to a model's engines, or -1 without a lease.

    The term begins when the claim was sent, and the host stops using the lease a margin before the
    term ends, so that no two hosts hold it at once.
    """
    lease = state["leases"].leases.get(model)
    if lease is None or lease.claim.owner != state.owner:
        return -1
    margin = MARGIN_SHARE * lease.claim.term
    return lease.offset if at < state["leases"].held_until.get(model, 0.0) - margin else -1


def taken_at(state: State, model: str) -> float:
    """Return when this host saw the present holder take over a model's lease, monotonic seconds."""
    return state["leases"].leases[model].taken_at


def first_fence_of(state: State, model: str) -> int:
    """Return the fencing number with which the present holder took over a model's lease."""
    return state["leases"].leases[model].first_offset


def give_up_lease(state: State, model: str) -> None:
    """Stop sending orders under a lease that another host is known to have taken over."""
    state["leases"].held_until.pop(model, None)


@role_report
def roles(state: State) -> typing.Iterator[str]:
    """Yield a name for each lease that this host holds."""
    for model, lease in state["leases"].leases.items():
        if lease.claim.owner == state.owner:
            yield f"lease/{model}/{state.zone}"


# --- Reading claims ------------------------------------------------------------------------------


@handles(Booted)
def find_claims(state: State, event: Booted) -> typing.Iterator[Step]:
    """Find the end of the zone's stream of claims, so that long expired claims need not be read."""
    yield _find_stream_end(state)
    yield StartTimer(timer="leases", delay=TICK_INTERVAL)


def _find_stream_end(state: State) -> ReadLog:
    return ReadLog(stream=stream_of(state.zone), tag=START, offset=PAST_END)


@handles(LogReadFailed)
def schedule_find_stream_end(state: State, event: LogReadFailed) -> typing.Iterator[Step]:
    """Schedule a retry if the log did not answer the read of the stream's end."""
    if event.stream == stream_of(state.zone) and event.tag == START:
        yield StartTimer(
            timer="leases_start", delay=state.rng.uniform(TICK_INTERVAL, 2 * TICK_INTERVAL)
        )


@on_timer("leases_start")
def retry_find_stream_end(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Try again to find the end of the stream of claims."""
    yield _find_stream_end(state)


@handles(LogRead)
def apply_claims(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Follow the log from `HISTORY_CLAIMS` claims before its end, and apply each valid claim."""
    if event.stream != stream_of(state.zone):
        return
    if event.tag == START:
        first_offset = max(event.first, event.end - HISTORY_CLAIMS)
        listen_time = 0.0 if first_offset == 0 else LISTEN_TERMS * state.cfg.orders.lease
        state["leases"].ready_at = event.at + listen_time
        yield TailLog(stream=event.stream, offset=first_offset)
        return
    for record in event.records:
        yield from _apply_claim(state, record, event.at)


def _apply_claim(state: State, record: LogRecord, at: float) -> typing.Iterator[Step]:
    try:
        claim = decode_json(record.data, LeaseClaim)
    except msgspec.MsgspecError:
        yield Count(metric="lease_claim_malformed")
        return
    leases_state = state["leases"]
    previous_lease = leases_state.leases.get(claim.model)
    is_own = claim.owner == state.owner
    sent_claim = leases_state.sent.get(claim.model)
    if is_own and sent_claim and sent_claim.after == claim.after:
        del leases_state.sent[claim.model]
    if claim.zone != state.zone or not _is_valid(previous_lease, claim, record):
        yield Count(metric="lease_claim_lost")
        return
    same_owner = previous_lease is not None and previous_lease.claim.owner == claim.owner
    leases_state.leases[claim.model] = Lease(
        claim=claim,
        offset=record.offset,
        time=record.time,
        read_at=at,
        taken_at=previous_lease.taken_at if same_owner else at,
        first_offset=previous_lease.first_offset if same_owner else record.offset,
    )
    if is_own and sent_claim and sent_claim.after == claim.after:
        leases_state.held_until[claim.model] = sent_claim.at + claim.term
    if not same_owner:
        yield _lease_taken_line(claim.model, claim.owner, record.offset)


def _is_valid(previous_lease: Lease | None, claim: LeaseClaim, record: LogRecord) -> bool:
    """Return whether a claim is valid, given the last valid claim for its model.

    Its sender must have read that claim, and must be the same owner or claim after its term.
    """
    if previous_lease is None:
        return True
    if claim.after < previous_lease.offset:
        return False
    has_expired = record.time >= previous_lease.time + previous_lease.claim.term
    return has_expired or claim.owner == previous_lease.claim.owner


def _lease_taken_line(model: str, owner: Owner, fence: int) -> LogLine:
    fields = {"model": model, "holder": owner.host, "fence": fence}
    return LogLine(event="lease_taken", fields=fields)


# --- Claiming ------------------------------------------------------------------------------------


@on_timer("leases")
def claim_due_leases(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Claim or renew, in one append, the leases of the pools that this host coordinates."""
    yield StartTimer(timer="leases", delay=TICK_INTERVAL)
    if event.at < state["leases"].ready_at or state.stopping:
        return
    claims = [
        _next_claim(state, model, event.at)
        for model in _own_models(state)
        if _is_due(state, model, event)
    ]
    if claims:
        state["leases"].appends += 1
        tag = f"claim-{state['leases'].appends}"
        yield AppendLog(stream=stream_of(state.zone), tag=tag, records=tuple(claims))


def _own_models(state: State) -> list[str]:
    current_lists = lists.current(state)
    if current_lists is None:
        return []
    own_host = state.owner.host
    return [
        model
        for model in sorted(current_lists.models)
        if coordinator.coordinator_of(state, model, state.zone) == own_host
    ]


def _is_due(state: State, model: str, event: TimerFired) -> bool:
    leases_state = state["leases"]
    sent_claim = leases_state.sent.get(model)
    if sent_claim and event.at - sent_claim.at < state.cfg.timing.log:
        return False
    lease = leases_state.leases.get(model)
    if lease is None:
        return True
    if lease.claim.owner == state.owner:
        return event.at >= lease.read_at + RENEW_SHARE * lease.claim.term
    return event.at >= lease.read_at + (1 + MARGIN_SHARE) * lease.claim.term


def _next_claim(state: State, model: str, at: float) -> LeaseClaim:
    leases_state = state["leases"]
    lease = leases_state.leases.get(model)
    after = lease.offset if lease else -1
    sent_claim = leases_state.sent.get(model)
    if sent_claim is None or sent_claim.after != after:
        # If a claim is sent again, its first copy may be the valid one, so the term is counted
        # from when the first copy was sent.
        leases_state.sent[model] = SentClaim(after=after, at=at)
    return LeaseClaim(
        zone=state.zone,
        model=model,
        owner=state.owner,
        term=state.cfg.orders.lease,
        after=after,
    )
