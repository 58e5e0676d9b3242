"""Admission of requests within the limits of the customer's plan, which all hosts share.

Requests of one customer that arrive together share one query to the coordinator of the customer's
budget. While this coordinator can't be reached, the host admits requests from its own share of the
plan.
"""

import collections
import typing

from .._effects import Count, EnsureTimer, SendPeer, StartTimer
from .._errors import LIMIT_REACHED, OVERLOADED, Failure, Reason
from .._events import (
    AdmissionGiven,
    AdmissionWanted,
    Booted,
    Event,
    MembersChanged,
    PeerFailed,
    PeerMessage,
    RequestClosed,
    RequestDenied,
    StepFailed,
    StreamEnded,
    TimerFired,
)
from .._lists import Plan
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import LimitAsk, LimitGiven, LimitReport
from . import limits, requests
from .limits import Bucket

MAX_WAITING = 200  # Most requests of one customer that may wait for admission on one host.
REPORT_INTERVAL = 1.0  # Seconds between reports of the requests in flight.
ANSWER_TIMEOUT = 1.5  # Seconds after which a coordinator that does not answer counts as lost.
PROBE_INTERVAL = 1.0  # Seconds between probes of a lost coordinator.
COOLDOWN = 0.1  # Seconds for which a customer over its limit is refused without a query.


class Admitted:
    """An admitted request: its customer, and the tokens charged and used."""

    __slots__ = ("customer", "tokens", "used")

    def __init__(self, *, customer: str, tokens: int) -> None:
        self.customer = customer
        self.tokens = tokens
        self.used = tokens


class CustomerRecord:
    """Requests and limits of one customer on this host.

    ``waiting`` are the requests not admitted yet, and ``asked`` is the number of them in a query
    that the budget's coordinator has not answered. While the coordinator is ``lost``, this host
    admits requests from its ``share`` of the plan.
    """

    __slots__ = (
        "waiting",
        "asked",
        "in_flight",
        "refund",
        "share",
        "next_probe_at",
        "lost",
        "local_bucket",
        "cooldown_until",
    )

    def __init__(self) -> None:
        self.waiting: collections.deque[str] = collections.deque()
        self.asked = 0
        self.in_flight = 0
        self.refund = 0
        self.share = 0.0
        self.next_probe_at = 0.0
        self.lost = False
        self.local_bucket: Bucket | None = None
        self.cooldown_until = 0.0


@state_slice("admission")
class AdmissionState:
    """Records by customer, and admitted requests by request id."""

    __slots__ = ("customers", "admitted")

    def __init__(self, cfg: Settings) -> None:
        self.customers: dict[str, CustomerRecord] = {}
        self.admitted: dict[str, Admitted] = {}


@handles(Booted)
def start_reports(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the timer of the regular reports of requests in flight."""
    yield StartTimer(timer="limit_report", delay=REPORT_INTERVAL)


@handles(AdmissionWanted)
def admit(state: State, event: AdmissionWanted) -> typing.Iterator[Step]:
    """Queue the request for admission, or refuse it at once if its customer is over the limit."""
    req = requests.request_of(state, event.request_id)
    if req is None:
        return
    record = state["admission"].customers.setdefault(req.customer.name, CustomerRecord())
    if event.at < record.cooldown_until and not req.plan.may_wait:
        wait = record.cooldown_until - event.at + state.rng.random()
        yield from _refuse_request(state, event, event.request_id, LIMIT_REACHED, wait)
        return
    if len(record.waiting) >= MAX_WAITING:
        yield from _refuse_request(
            state, event, event.request_id, OVERLOADED, 1 + state.rng.random()
        )
        return
    record.waiting.append(event.request_id)
    yield from _query_coordinator(state, req.customer.name, record, event)


def _query_coordinator(
    state: State, customer: str, record: CustomerRecord, event: Event
) -> typing.Iterator[Step]:
    if record.asked or not record.waiting:
        return
    if record.lost:
        if event.at >= record.next_probe_at:
            record.next_probe_at = event.at + PROBE_INTERVAL
            yield _probe(state, customer, record)
        yield from _admit_locally(state, customer, record, event)
        return
    queried_requests = [requests.request_of(state, request_id) for request_id in record.waiting]
    record.asked = len(queried_requests)
    message = LimitAsk(
        customer=customer,
        owner=state.owner,
        requests=len(queried_requests),
        tokens=sum(_tokens(req) for req in queried_requests if req),
        in_flight=record.in_flight,
        refund=record.refund,
    )
    record.refund = 0
    yield SendPeer(host=limits.coordinator_of(state, customer), message=message)
    yield StartTimer(timer="limit_answer", key=customer, delay=ANSWER_TIMEOUT)


def _probe(state: State, customer: str, record: CustomerRecord) -> SendPeer:
    """Return a query for zero requests, which tests a lost coordinator; no request waits for it."""
    message = LimitAsk(
        customer=customer,
        owner=state.owner,
        requests=0,
        tokens=0,
        in_flight=record.in_flight,
    )
    return SendPeer(host=limits.coordinator_of(state, customer), message=message)


def _tokens(req: "requests.Request") -> int:
    return req.call.prompt_tokens + req.call.max_tokens


@on_message(LimitGiven)
def limit_answered(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Admit the granted number of requests; refuse the rest of the query unless they may wait."""
    answer = event.message
    record = state["admission"].customers.get(answer.customer)
    if record is None:
        return
    record.lost = False
    if not record.asked:
        return
    asked, record.asked = record.asked, 0
    record.share = answer.share
    yield from _admit_waiting(state, record, answer.requests, event)
    if answer.requests < asked:
        record.cooldown_until = event.at + min(COOLDOWN, answer.wait)
        refused_count = asked - answer.requests
        yield from _refuse_waiting(state, record, refused_count, answer.wait, event)
        yield StartTimer(timer="limit_again", key=answer.customer, delay=min(answer.wait, 1.0))
    else:
        yield from _query_coordinator(state, answer.customer, record, event)


def _admit_waiting(
    state: State, record: CustomerRecord, number: int, event: Event
) -> typing.Iterator[Step]:
    for _ in range(min(number, len(record.waiting))):
        request_id = record.waiting[0]
        try:
            record.waiting.popleft()
            req = requests.request_of(state, request_id)
            if req is None or request_id in state["admission"].admitted:
                continue  # The request has ended, or was queued twice and is already admitted.
            record.in_flight += 1
            state["admission"].admitted[request_id] = Admitted(
                customer=req.customer.name, tokens=_tokens(req)
            )
            yield AdmissionGiven(at=event.at, request_id=request_id)
        except Exception as exc:  # noqa: BLE001 - reported with its traceback
            yield StepFailed(at=event.at, subject=(request_id,), error=exc)


def _refuse_waiting(
    state: State, record: CustomerRecord, number: int, wait: float, event: Event
) -> typing.Iterator[Step]:
    for queue_index in range(min(number, len(record.waiting))):
        request_id = record.waiting[0]
        try:
            record.waiting.popleft()
            req = requests.request_of(state, request_id)
            if req is None or request_id in state["admission"].admitted:
                continue
            if req.plan.may_wait and event.at < req.call.deadline:
                record.waiting.append(request_id)
                continue
            # ``wait`` is that of the last refused request; earlier ones can be admitted sooner.
            retry_after = wait - (number - 1 - queue_index) / req.plan.rate
            yield from _refuse_request(
                state, event, request_id, LIMIT_REACHED, max(retry_after, COOLDOWN)
            )
        except Exception as exc:  # noqa: BLE001 - reported with its traceback
            yield StepFailed(at=event.at, subject=(request_id,), error=exc)


def _refuse_request(
    state: State, event: Event, request_id: str, reason: Reason, wait: float
) -> typing.Iterator[Step]:
    req = requests.request_of(state, request_id)
    failure = Failure(
        reason=reason,
        verdict=requests.verdict_of(state, req.call),
        detail=f'customer "{req.customer.name}" is over the limits of plan "{req.plan.name}"',
        retry_after=round(wait, 2),
    )
    yield RequestDenied(at=event.at, request_id=request_id, failure=failure)


@on_timer("limit_again")
def ask_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Query the coordinator again for requests that may wait."""
    record = state["admission"].customers.get(event.key)
    if record:
        yield from _query_coordinator(state, event.key, record, event)


# --- Without a coordinator -----------------------------------------------------------------------


@handles(PeerFailed)
def coordinator_lost(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Admit from this host's own share while the coordinator can't be reached."""
    if isinstance(event.message, LimitAsk):
        record = state["admission"].customers.get(event.message.customer)
        if record and record.asked:
            yield from _fall_back(state, event.message.customer, record, event)


@on_timer("limit_answer")
def answer_timed_out(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Admit from this host's own share after a query was not answered in time."""
    record = state["admission"].customers.get(event.key)
    if record and record.asked:
        yield from _fall_back(state, event.key, record, event)


def _fall_back(
    state: State, customer: str, record: CustomerRecord, event: Event
) -> typing.Iterator[Step]:
    record.asked = 0
    record.lost = True
    record.next_probe_at = event.at + PROBE_INTERVAL
    yield Count(metric="limit_coordinator_unreachable")
    yield from _query_coordinator(state, customer, record, event)


def _admit_locally(
    state: State, customer: str, record: CustomerRecord, event: Event
) -> typing.Iterator[Step]:
    plan = _plan_of_waiting(state, record)
    if plan is None:
        record.waiting.clear()
        return
    share = record.share or 1.0 / max(1, limits.live_host_count(state))
    if record.local_bucket is None:
        record.local_bucket = Bucket(level=1.0, at=event.at)
    record.local_bucket.fill(rate=plan.rate * share, burst=max(1.0, plan.rate * share), at=event.at)
    free_concurrency = int(plan.concurrency * share) - record.in_flight
    number = max(0, min(len(record.waiting), int(record.local_bucket.level), free_concurrency))
    record.local_bucket.level -= number
    waiting_count = len(record.waiting) - number
    yield from _admit_waiting(state, record, number, event)
    if waiting_count:
        wait = _local_wait(plan, share, record, waiting_count)
        yield from _refuse_waiting(state, record, waiting_count, wait, event)
        yield StartTimer(timer="limit_again", key=customer, delay=min(wait, 1.0))


def _plan_of_waiting(state: State, record: CustomerRecord) -> Plan | None:
    for request_id in record.waiting:
        req = requests.request_of(state, request_id)
        if req:
            return req.plan
    return None


def _local_wait(plan: Plan, share: float, record: CustomerRecord, waiting_count: int) -> float:
    return max(COOLDOWN, (waiting_count - record.local_bucket.level) / max(0.01, plan.rate * share))


# --- End of requests -----------------------------------------------------------------------------


@handles(StreamEnded)
def count_output(state: State, event: StreamEnded) -> None:
    """Record the tokens that a request really used."""
    entry = state["admission"].admitted.get(event.request_id)
    req = requests.request_of(state, event.request_id)
    if entry and req:
        entry.used = req.call.prompt_tokens + event.offset


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Release the request's place in the concurrency limit, and the tokens that it did not use."""
    admission = state["admission"]
    entry = admission.admitted.pop(event.request_id, None)
    if entry is None:
        _drop_waiting(state, event.request_id)
        return
    record = admission.customers[entry.customer]
    record.in_flight -= 1
    record.refund += max(0, entry.tokens - entry.used)


def _drop_waiting(state: State, request_id: str) -> None:
    req = requests.request_of(state, request_id)
    record = state["admission"].customers.get(req.customer.name) if req else None
    # The answer to a query only says how many requests of the queue are admitted. So the requests
    # of an unanswered query stay in the queue, even if they are closed.
    if record and not record.asked and request_id in record.waiting:
        record.waiting.remove(request_id)


@on_timer("limit_report")
def report(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Report the requests in flight on this host to the coordinators of the customers' budgets."""
    yield from _report_all(state, event.at)
    yield StartTimer(timer="limit_report", delay=REPORT_INTERVAL)


@handles(MembersChanged)
def coordinators_changed(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Report the requests in flight to coordinators, which may be new, before they admit more."""
    yield from _report_all(state, event.at)


def _report_all(state: State, at: float) -> typing.Iterator[Step]:
    admission = state["admission"]
    by_coordinator: dict[str, list[tuple[str, int, int]]] = {}
    for customer, record in list(admission.customers.items()):
        if record.asked:
            continue
        if record.in_flight or record.refund:
            line = (customer, record.in_flight, record.refund)
            by_coordinator.setdefault(limits.coordinator_of(state, customer), []).append(line)
            record.refund = 0
        elif not record.waiting and at > max(record.cooldown_until, record.next_probe_at):
            del admission.customers[customer]
    for host, lines in by_coordinator.items():
        message = LimitReport(owner=state.owner, entries=tuple(lines))
        yield SendPeer(host=host, message=message)


@handles(StepFailed)
def ask_later(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Ensure the timers of customers whose requests wait, which may not have been started."""
    for customer, record in state["admission"].customers.items():
        if record.asked:
            yield EnsureTimer(timer="limit_answer", key=customer, delay=ANSWER_TIMEOUT)
        elif record.waiting:
            yield EnsureTimer(timer="limit_again", key=customer, delay=ANSWER_TIMEOUT)
