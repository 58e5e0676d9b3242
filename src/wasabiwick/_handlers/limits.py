"""Customer budgets: one host keeps each budget, so that a plan's limits hold across all hosts.

A budget's coordinator is the host that keeps it: a live host of the customer's home zone, chosen by
rendezvous hashing. A new coordinator starts with one second's worth of the plan, and learns from
the hosts' reports what is in flight.
"""

import typing

from .. import _rendezvous
from .._effects import Count, SendPeer
from .._events import Booted, MembersChanged, PeerMessage
from .._lists import Plan
from .._reducer import Step, handles, on_message
from .._settings import Settings
from .._state import State, state_slice
from .._wire import LimitAsk, LimitGiven, LimitReport, Owner
from . import lists, members
from .predict import MovingAverage

TOKEN_BURST_S = 10.0  # The tokens that a plan gains in this time may be used at once.
INITIAL_BUDGET_S = 1.0  # A new coordinator's budget starts with what a plan gains in this time.
# A host that has not reported for longer than this counts as having no requests in flight.
REPORT_LIFETIME_S = 3.0
CONCURRENCY_WAIT_S = 0.25  # A customer at its concurrency limit may ask again after this time.
MAX_WAIT_S = 30.0  # A refused request is told to wait for at most this long.
# For this long, a new coordinator reserves capacity for hosts that have not reported to it yet.
LEARNING_S = 4.0
MAX_BUDGETS = 20_000  # A host keeps at most this many budgets: the most recently used ones.


class Bucket:
    """A token bucket that fills at a rate and may be overdrawn by one request."""

    __slots__ = ("level", "at")

    def __init__(self, *, level: float, at: float) -> None:
        self.level = level
        self.at = at

    def fill(self, *, rate: float, burst: float, at: float) -> None:
        """Add what has accrued since the last fill; ``rate`` is per second."""
        self.level = min(burst, self.level + rate * max(0.0, at - self.at))
        self.at = at


class Usage:
    """A customer's requests in flight on one host: those last reported and those admitted since.

    ``told_at`` is the time of the last report; ``share`` averages the host's share of the admitted
    requests.
    """

    __slots__ = ("in_flight", "told_at", "share")

    def __init__(self) -> None:
        self.in_flight = 0
        self.told_at = 0.0
        self.share = MovingAverage(0.0, share=0.02)


class Budget:
    """What is left of a customer's plan.

    Args:
        plan: The plan in force.
        since: Monotonic time from which the buckets fill.
        at: Monotonic time.

    ``next_at`` is the time at which the last refused request may ask again, ``used_at`` the time of
    the last use.
    """

    __slots__ = ("requests", "tokens", "usage", "next_at", "used_at")

    def __init__(self, *, plan: Plan, since: float, at: float) -> None:
        first = max(1.0, min(plan.burst, plan.rate * INITIAL_BUDGET_S))
        self.requests = Bucket(level=first, at=since)
        self.tokens = Bucket(level=plan.tokens_per_minute / 60.0 * INITIAL_BUDGET_S, at=since)
        self.usage: dict[Owner, Usage] = {}
        self.next_at = at
        self.used_at = at

    def take(self, plan: Plan, ask: LimitAsk, at: float, *, unreported: float) -> int:
        """Admit as many of the requests as the plan allows, charge for them and return how many.

        Args:
            plan: The plan in force.
            ask: A host's message that asks to admit requests.
            at: Monotonic time.
            unreported: Share of the concurrency that hosts without a report may be using.
        """
        self._fill(plan, at)
        self.tokens.level += ask.refund
        asker_usage = self._record_usage(ask.owner, ask.in_flight, at)
        by_rate = int(self.requests.level)
        by_concurrency = int(plan.concurrency * (1.0 - unreported)) - self._in_flight(at)
        if unreported and not ask.in_flight:
            by_concurrency = max(1, by_concurrency)
        admitted = max(0, min(ask.requests, by_rate, by_concurrency))
        if self.tokens.level <= 0:
            admitted = 0
        if admitted:
            self.requests.level -= admitted
            self.tokens.level -= ask.tokens * admitted / ask.requests
            asker_usage.in_flight += admitted
            for usage in self.usage.values():
                usage.share.observe(1.0 if usage is asker_usage else 0.0)
        return admitted

    def wait(self, plan: Plan, refused: int, at: float) -> float:
        """Return the seconds after which a refused request may ask again.

        Each refused request gets its own turn at the plan's rate.
        """
        by_tokens = -self.tokens.level / (plan.tokens_per_minute / 60.0)
        by_rate = (1.0 - self.requests.level) / plan.rate
        full = CONCURRENCY_WAIT_S if self._in_flight(at) >= plan.concurrency else 0.0
        self.next_at = max(self.next_at, at + max(by_tokens, by_rate, full, 0.0))
        self.next_at = min(self.next_at + refused / plan.rate, at + MAX_WAIT_S)
        return self.next_at - at

    def _fill(self, plan: Plan, at: float) -> None:
        self.used_at = at
        self.requests.fill(rate=plan.rate, burst=max(1.0, plan.burst), at=at)
        per_second = plan.tokens_per_minute / 60.0
        self.tokens.fill(rate=per_second, burst=per_second * TOKEN_BURST_S, at=at)

    def _record_usage(self, owner: Owner, in_flight: int, at: float) -> Usage:
        usage = self.usage.setdefault(owner, Usage())
        usage.in_flight = in_flight
        usage.told_at = at
        return usage

    def report(self, owner: Owner, in_flight: int, refund: int, at: float) -> None:
        """Record what a host has in flight, and refund the tokens that it did not use."""
        self._record_usage(owner, in_flight, at)
        self.tokens.level += refund

    def _in_flight(self, at: float) -> int:
        for owner, usage in list(self.usage.items()):
            if at - usage.told_at > REPORT_LIFETIME_S:
                del self.usage[owner]
        return sum(usage.in_flight for usage in self.usage.values())


@state_slice("limits")
class LimitsState:
    """Budgets that this host keeps, by customer; the live hosts, and when they last changed."""

    __slots__ = ("budgets", "since", "hosts")

    def __init__(self, cfg: Settings) -> None:
        self.budgets: dict[str, Budget] = {}
        self.since = 0.0
        self.hosts: list[str] = []


def coordinator_of(state: State, customer: str) -> str:
    """Return the host that keeps a customer's budget."""
    role = f"limits/{customer}"
    zone = _rendezvous.owner_of(role, members.zones(state))
    return members.role_owner(state, role, zone)


def live_host_count(state: State) -> int:
    """Return the number of live hosts that share the customers' requests."""
    return len(state["limits"].hosts)


@handles(Booted)
def record_start(state: State, event: Booted) -> None:
    """Record the time from which this host may keep budgets."""
    state["limits"].since = event.at


@handles(MembersChanged)
def drop_moved_budgets(state: State, event: MembersChanged) -> None:
    """Drop budgets that another host keeps now."""
    limits_state = state["limits"]
    live = [name for zone in members.zones(state) for name in members.live_hosts(state, zone)]
    if live != limits_state.hosts:
        limits_state.hosts = live
        limits_state.since = event.at
    for customer in list(limits_state.budgets):
        if coordinator_of(state, customer) != state.owner.host:
            del limits_state.budgets[customer]


@on_message(LimitAsk)
def asked(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Admit as many requests as the customer's plan has left."""
    ask = event.message
    plan = _plan_of(state, ask.customer)
    if plan is None:
        yield _answer(ask, admitted=0, wait=1.0, share=0.0)
        return
    budget = _budget_of(state, ask.customer, plan, event.at)
    unreported = _unreported_share(state, budget, ask.owner, event.at)
    admitted = budget.take(plan, ask, event.at, unreported=unreported)
    refused = ask.requests - admitted
    wait = budget.wait(plan, refused, event.at) if refused else 0.0
    if refused:
        yield Count(metric="limit_reached", amount=refused)
    yield _answer(ask, admitted=admitted, wait=wait, share=budget.usage[ask.owner].share.value)


def _unreported_share(state: State, budget: Budget, asking_owner: Owner, at: float) -> float:
    """Return the share of hosts that have not reported to a new coordinator; 0 if it is not new."""
    limits_state = state["limits"]
    if at - limits_state.since > LEARNING_S:
        return 0.0
    heard = {owner.host for owner in budget.usage} | {asking_owner.host}
    return 1.0 - min(1.0, len(heard) / max(1, len(limits_state.hosts)))


def _answer(ask: LimitAsk, *, admitted: int, wait: float, share: float) -> SendPeer:
    message = LimitGiven(
        customer=ask.customer, requests=admitted, wait=round(wait, 3), share=round(share, 3)
    )
    return SendPeer(host=ask.owner.host, message=message)


def _plan_of(state: State, customer: str) -> Plan | None:
    known = lists.current(state)
    holder = known.customers.get(customer) if known else None
    return known.plan_of(holder) if holder else None


def _budget_of(state: State, customer: str, plan: Plan, at: float) -> Budget:
    limits_state = state["limits"]
    budget = limits_state.budgets.get(customer)
    if budget is None:
        if len(limits_state.budgets) >= MAX_BUDGETS:
            oldest = min(limits_state.budgets, key=lambda name: limits_state.budgets[name].used_at)
            del limits_state.budgets[oldest]
        budget = Budget(plan=plan, since=limits_state.since, at=at)
        limits_state.budgets[customer] = budget
    return budget


@on_message(LimitReport)
def record_reports(state: State, event: PeerMessage) -> None:
    """Record what a host has in flight for each customer."""
    report = event.message
    for customer, in_flight, refund in report.entries:
        plan = _plan_of(state, customer)
        if plan:
            budget = _budget_of(state, customer, plan, event.at)
            budget.report(report.owner, in_flight, refund, event.at)
