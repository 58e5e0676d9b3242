"""Budgets of the customers: one host keeps each, so that a plan's limits hold on all together.

A budget's coordinator is a live host of the customer's home zone, by rendezvous hash. A new one
starts with one second's worth of the plan, and learns what is in flight from hosts' reports.
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

TOKEN_BURST = 10.0  # Seconds' worth of tokens that may be used at once.
START_SECONDS = 1.0  # Seconds' worth of a plan that a new coordinator's budget starts with.
REPORT_LIFE = 3.0  # Seconds after which a host that does not report counts for nothing.
FULL_WAIT = 0.25  # Seconds until a customer at its concurrency limit may ask again.
LONGEST_WAIT = 30.0  # Seconds.
LEARNING = 4.0  # Seconds in which a new coordinator waits to hear of every host.
MAX_BUDGETS = 20_000


class Bucket:
    """A token bucket that fills at a rate and may be overdrawn by one request."""

    __slots__ = ("level", "at")

    def __init__(self, *, level: float, at: float) -> None:
        self.level = level
        self.at = at

    def fill(self, *, rate: float, burst: float, at: float) -> None:
        """Add what has come in since the last time."""
        self.level = min(burst, self.level + rate * max(0.0, at - self.at))
        self.at = at


class Usage:
    """What one host has in flight for a customer: as reported, and let in since."""

    __slots__ = ("in_flight", "told_at", "share")

    def __init__(self) -> None:
        self.in_flight = 0
        self.told_at = 0.0
        self.share = MovingAverage(0.0, share=0.02)


class Budget:
    """What a customer's plan has left.

    Args:
        plan: The plan in force.
        since: Monotonic time from which the buckets fill.
        at: Monotonic time.
    """

    __slots__ = ("requests", "tokens", "usage", "next_at", "used_at")

    def __init__(self, *, plan: Plan, since: float, at: float) -> None:
        first = max(1.0, min(plan.burst, plan.rate * START_SECONDS))
        self.requests = Bucket(level=first, at=since)
        self.tokens = Bucket(level=plan.tokens_per_minute / 60.0 * START_SECONDS, at=since)
        self.usage: dict[Owner, Usage] = {}
        self.next_at = at
        self.used_at = at

    def take(self, plan: Plan, asked: LimitAsk, at: float, *, unheard: float) -> int:
        """Return how many of the requests may go on now, and charge for them.

        Args:
            plan: The plan in force.
            asked: The question.
            at: Monotonic time.
            unheard: Share of the concurrency that hosts not heard yet may be using.
        """
        self._fill(plan, at)
        self.tokens.level += asked.refund
        mine = self._note(asked.owner, asked.in_flight, at)
        by_rate = int(self.requests.level)
        by_concurrency = int(plan.concurrency * (1.0 - unheard)) - self._in_flight(at)
        if unheard and not asked.in_flight:
            by_concurrency = max(1, by_concurrency)
        given = max(0, min(asked.requests, by_rate, by_concurrency))
        if self.tokens.level <= 0:
            given = 0
        if given:
            self.requests.level -= given
            self.tokens.level -= asked.tokens * given / asked.requests
            mine.in_flight += given
            for usage in self.usage.values():
                usage.share.observe(1.0 if usage is mine else 0.0)
        return given

    def wait(self, plan: Plan, refused: int, at: float) -> float:
        """Return after how many seconds a refused request may ask again.

        Each refused request is given its own turn at the plan's rate.
        """
        by_tokens = -self.tokens.level / (plan.tokens_per_minute / 60.0)
        by_rate = (1.0 - self.requests.level) / plan.rate
        full = FULL_WAIT if self._in_flight(at) >= plan.concurrency else 0.0
        self.next_at = max(self.next_at, at + max(by_tokens, by_rate, full, 0.0))
        self.next_at = min(self.next_at + refused / plan.rate, at + LONGEST_WAIT)
        return self.next_at - at

    def _fill(self, plan: Plan, at: float) -> None:
        self.used_at = at
        self.requests.fill(rate=plan.rate, burst=max(1.0, plan.burst), at=at)
        per_second = plan.tokens_per_minute / 60.0
        self.tokens.fill(rate=per_second, burst=per_second * TOKEN_BURST, at=at)

    def _note(self, owner: Owner, in_flight: int, at: float) -> Usage:
        usage = self.usage.setdefault(owner, Usage())
        usage.in_flight = in_flight
        usage.told_at = at
        return usage

    def report(self, owner: Owner, in_flight: int, refund: int, at: float) -> None:
        """Take in what a host has in flight, and the tokens that it did not use."""
        self._note(owner, in_flight, at)
        self.tokens.level += refund

    def _in_flight(self, at: float) -> int:
        for owner, usage in list(self.usage.items()):
            if at - usage.told_at > REPORT_LIFE:
                del self.usage[owner]
        return sum(usage.in_flight for usage in self.usage.values())


@state_slice("limits")
class LimitsState:
    """Budgets that this host keeps, by customer; live hosts, and since when they are these."""

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
def begin(state: State, event: Booted) -> None:
    """Note when this host could first keep budgets."""
    state["limits"].since = event.at


@handles(MembersChanged)
def change(state: State, event: MembersChanged) -> None:
    """Forget budgets that another host keeps now."""
    mine = state["limits"]
    live = [name for zone in members.zones(state) for name in members.live_hosts(state, zone)]
    if live != mine.hosts:
        mine.hosts = live
        mine.since = event.at
    for customer in list(mine.budgets):
        if coordinator_of(state, customer) != state.owner.host:
            del mine.budgets[customer]


@on_message(LimitAsk)
def asked(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Let as many requests in as the customer's plan has left."""
    told = event.message
    plan = _plan_of(state, told.customer)
    if plan is None:
        yield _answer(told, given=0, wait=1.0, share=0.0)
        return
    budget = _budget_of(state, told.customer, plan, event.at)
    unheard = _unheard(state, budget, told.owner, event.at)
    given = budget.take(plan, told, event.at, unheard=unheard)
    refused = told.requests - given
    wait = budget.wait(plan, refused, event.at) if refused else 0.0
    if refused:
        yield Count(metric="limit_reached", amount=refused)
    yield _answer(told, given=given, wait=wait, share=budget.usage[told.owner].share.value)


def _unheard(state: State, budget: Budget, asking: Owner, at: float) -> float:
    """Return the share of hosts that a coordinator has not heard of while it is new."""
    mine = state["limits"]
    if at - mine.since > LEARNING:
        return 0.0
    heard = {owner.host for owner in budget.usage} | {asking.host}
    return 1.0 - min(1.0, len(heard) / max(1, len(mine.hosts)))


def _answer(told: LimitAsk, *, given: int, wait: float, share: float) -> SendPeer:
    message = LimitGiven(
        customer=told.customer, requests=given, wait=round(wait, 3), share=round(share, 3)
    )
    return SendPeer(host=told.owner.host, message=message)


def _plan_of(state: State, customer: str) -> Plan | None:
    known = lists.current(state)
    holder = known.customers.get(customer) if known else None
    return known.plan_of(holder) if holder else None


def _budget_of(state: State, customer: str, plan: Plan, at: float) -> Budget:
    mine = state["limits"]
    budget = mine.budgets.get(customer)
    if budget is None:
        if len(mine.budgets) >= MAX_BUDGETS:
            oldest = min(mine.budgets, key=lambda name: mine.budgets[name].used_at)
            del mine.budgets[oldest]
        budget = Budget(plan=plan, since=mine.since, at=at)
        mine.budgets[customer] = budget
    return budget


@on_message(LimitReport)
def reported(state: State, event: PeerMessage) -> None:
    """Take in what a host has in flight."""
    told = event.message
    for customer, in_flight, refund in told.entries:
        plan = _plan_of(state, customer)
        if plan:
            budget = _budget_of(state, customer, plan, event.at)
            budget.report(told.owner, in_flight, refund, event.at)
