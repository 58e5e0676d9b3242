"""Admission: whether a customer's plan lets a request in, on all hosts together.

Requests of one customer that arrive together are asked for together, at the coordinator of the
customer's budget. While no coordinator can be reached, this host goes by its own share of the plan.
"""

import collections
import typing

from .._effects import Count, SendPeer, StartTimer
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

MAX_WAITING = 200  # Requests of one customer that wait for admission on one host.
REPORT = 1.0  # Seconds between reports of what is in flight.
ANSWER_TIME = 1.5  # Seconds after which an unanswered question is asked again.
ALONE = 1.0  # Seconds for which this host goes by its own share of a plan.
COOLDOWN = 0.1  # Seconds for which a customer over its limit is refused without asking.


class Admitted:
    """A request that was let in: whose it is and what was charged for it."""

    __slots__ = ("customer", "tokens", "used")

    def __init__(self, *, customer: str, tokens: int) -> None:
        self.customer = customer
        self.tokens = tokens
        self.used = tokens


class Account:
    """One customer on this host.

    ``waiting`` requests have not been let in. ``asked`` of them are in a question whose answer is
    due. ``share`` is the part of the plan that this host goes by on its own, while the budget's
    coordinator is ``lost``.
    """

    __slots__ = (
        "waiting",
        "asked",
        "in_flight",
        "refund",
        "share",
        "alone_until",
        "lost",
        "own",
        "cooldown_until",
    )

    def __init__(self) -> None:
        self.waiting: collections.deque[str] = collections.deque()
        self.asked = 0
        self.in_flight = 0
        self.refund = 0
        self.share = 0.0
        self.alone_until = 0.0
        self.lost = False
        self.own: Bucket | None = None
        self.cooldown_until = 0.0


@state_slice("admission")
class AdmissionState:
    """Accounts by customer, and requests let in."""

    __slots__ = ("customers", "admitted")

    def __init__(self, cfg: Settings) -> None:
        self.customers: dict[str, Account] = {}
        self.admitted: dict[str, Admitted] = {}


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the timer of reports."""
    yield StartTimer(timer="limit_report", delay=REPORT)


@handles(AdmissionWanted)
def admit(state: State, event: AdmissionWanted) -> typing.Iterator[Step]:
    """Ask for the request, or refuse it at once where the customer is over its limit."""
    req = requests.request_of(state, event.request_id)
    if req is None:
        return
    account = state["admission"].customers.setdefault(req.customer.name, Account())
    if event.at < account.cooldown_until and not req.plan.may_wait:
        wait = account.cooldown_until - event.at + state.rng.random()
        yield from _refuse(state, event, event.request_id, LIMIT_REACHED, wait)
        return
    if len(account.waiting) >= MAX_WAITING:
        yield from _refuse(state, event, event.request_id, OVERLOADED, 1 + state.rng.random())
        return
    account.waiting.append(event.request_id)
    yield from _ask(state, req.customer.name, account, event)


def _ask(state: State, customer: str, account: Account, event: Event) -> typing.Iterator[Step]:
    if account.asked or not account.waiting:
        return
    if account.lost:
        if event.at >= account.alone_until:
            account.alone_until = event.at + ALONE
            yield _probe(state, customer, account)
        yield from _go_alone(state, customer, account, event)
        return
    asking = [requests.request_of(state, request_id) for request_id in account.waiting]
    account.asked = len(asking)
    message = LimitAsk(
        customer=customer,
        owner=state.owner,
        requests=len(asking),
        tokens=sum(_tokens(req) for req in asking if req),
        in_flight=account.in_flight,
        refund=account.refund,
    )
    account.refund = 0
    yield SendPeer(host=limits.coordinator_of(state, customer), message=message)
    yield StartTimer(timer="limit_answer", key=customer, delay=ANSWER_TIME)


def _probe(state: State, customer: str, account: Account) -> SendPeer:
    """Return a question for nothing: no request waits for a coordinator that may be lost."""
    message = LimitAsk(
        customer=customer,
        owner=state.owner,
        requests=0,
        tokens=0,
        in_flight=account.in_flight,
    )
    return SendPeer(host=limits.coordinator_of(state, customer), message=message)


def _tokens(req: "requests.Request") -> int:
    return req.call.prompt_tokens + req.call.max_tokens


@on_message(LimitGiven)
def given(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Let requests in, and refuse the others of this question unless they may wait."""
    told = event.message
    account = state["admission"].customers.get(told.customer)
    if account is None:
        return
    account.lost = False
    if not account.asked:
        return
    asked, account.asked = account.asked, 0
    account.share = told.share
    yield from _let_in(state, account, told.requests, event)
    if told.requests < asked:
        account.cooldown_until = event.at + min(COOLDOWN, told.wait)
        left = asked - told.requests
        yield from _refuse_waiting(state, account, left, told.wait, event)
        yield StartTimer(timer="limit_again", key=told.customer, delay=min(told.wait, 1.0))
    else:
        yield from _ask(state, told.customer, account, event)


def _let_in(state: State, account: Account, number: int, event: Event) -> typing.Iterator[Step]:
    for _ in range(min(number, len(account.waiting))):
        request_id = account.waiting.popleft()
        req = requests.request_of(state, request_id)
        if req is None or request_id in state["admission"].admitted:
            continue  # A closed request, or its place beside that of a newer one.
        account.in_flight += 1
        state["admission"].admitted[request_id] = Admitted(
            customer=req.customer.name, tokens=_tokens(req)
        )
        yield AdmissionGiven(at=event.at, request_id=request_id)


def _refuse_waiting(
    state: State, account: Account, number: int, wait: float, event: Event
) -> typing.Iterator[Step]:
    refused = [account.waiting.popleft() for _ in range(min(number, len(account.waiting)))]
    for place, request_id in enumerate(refused):
        req = requests.request_of(state, request_id)
        if req is None or request_id in state["admission"].admitted:
            continue
        if req.plan.may_wait and event.at < req.call.deadline:
            account.waiting.append(request_id)
            continue
        # The wait is the turn of the last of them; the others have earlier turns.
        turn = wait - (number - 1 - place) / req.plan.rate
        yield from _refuse(state, event, request_id, LIMIT_REACHED, max(turn, COOLDOWN))


def _refuse(
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
    """Ask for requests that may wait."""
    account = state["admission"].customers.get(event.key)
    if account:
        yield from _ask(state, event.key, account, event)


# --- Without a coordinator -----------------------------------------------------------------------


@handles(PeerFailed)
def coordinator_lost(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Go by this host's own share while the coordinator can't be reached."""
    if isinstance(event.message, LimitAsk):
        account = state["admission"].customers.get(event.message.customer)
        if account and account.asked:
            yield from _alone(state, event.message.customer, account, event)


@on_timer("limit_answer")
def unanswered(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Go by this host's own share where an answer was lost."""
    account = state["admission"].customers.get(event.key)
    if account and account.asked:
        yield from _alone(state, event.key, account, event)


def _alone(state: State, customer: str, account: Account, event: Event) -> typing.Iterator[Step]:
    account.asked = 0
    account.lost = True
    account.alone_until = event.at + ALONE
    yield Count(metric="limit_coordinator_unreachable")
    yield from _ask(state, customer, account, event)


def _go_alone(state: State, customer: str, account: Account, event: Event) -> typing.Iterator[Step]:
    plan = _plan_of_waiting(state, account)
    if plan is None:
        account.waiting.clear()
        return
    share = account.share or 1.0 / max(1, limits.live_host_count(state))
    if account.own is None:
        account.own = Bucket(level=1.0, at=event.at)
    account.own.fill(rate=plan.rate * share, burst=max(1.0, plan.rate * share), at=event.at)
    room = int(plan.concurrency * share) - account.in_flight
    number = max(0, min(len(account.waiting), int(account.own.level), room))
    account.own.level -= number
    left = len(account.waiting) - number
    yield from _let_in(state, account, number, event)
    if left:
        wait = _own_wait(plan, share, account, left)
        yield from _refuse_waiting(state, account, left, wait, event)
        yield StartTimer(timer="limit_again", key=customer, delay=min(wait, 1.0))


def _plan_of_waiting(state: State, account: Account) -> Plan | None:
    for request_id in account.waiting:
        req = requests.request_of(state, request_id)
        if req:
            return req.plan
    return None


def _own_wait(plan: Plan, share: float, account: Account, left: int) -> float:
    return max(COOLDOWN, (left - account.own.level) / max(0.01, plan.rate * share))


# --- End of requests -----------------------------------------------------------------------------


@handles(StreamEnded)
def count_output(state: State, event: StreamEnded) -> None:
    """Note the tokens that a request really used."""
    one = state["admission"].admitted.get(event.request_id)
    req = requests.request_of(state, event.request_id)
    if one and req:
        one.used = req.call.prompt_tokens + event.offset


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Give back the request's share of the concurrency, and the tokens that it did not use."""
    mine = state["admission"]
    one = mine.admitted.pop(event.request_id, None)
    if one is None:
        _drop_waiting(state, event.request_id)
        return
    account = mine.customers[one.customer]
    account.in_flight -= 1
    account.refund += max(0, one.tokens - one.used)


def _drop_waiting(state: State, request_id: str) -> None:
    req = requests.request_of(state, request_id)
    account = state["admission"].customers.get(req.customer.name) if req else None
    # A request in a question keeps its place, so that the answer finds as many as were asked for.
    if account and not account.asked and request_id in account.waiting:
        account.waiting.remove(request_id)


@on_timer("limit_report")
def report(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Tell the coordinators of budgets what this host has in flight."""
    yield from _report_all(state, event.at)
    yield StartTimer(timer="limit_report", delay=REPORT)


@handles(MembersChanged)
def coordinators_changed(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Tell coordinators, which may be new, before they let more in."""
    yield from _report_all(state, event.at)


def _report_all(state: State, at: float) -> typing.Iterator[Step]:
    mine = state["admission"]
    by_coordinator: dict[str, list[tuple[str, int, int]]] = {}
    for customer, account in list(mine.customers.items()):
        if account.asked:
            continue
        if account.in_flight or account.refund:
            line = (customer, account.in_flight, account.refund)
            by_coordinator.setdefault(limits.coordinator_of(state, customer), []).append(line)
            account.refund = 0
        elif not account.waiting and at > max(account.cooldown_until, account.alone_until):
            del mine.customers[customer]
    for host, lines in by_coordinator.items():
        message = LimitReport(owner=state.owner, entries=tuple(lines))
        yield SendPeer(host=host, message=message)
