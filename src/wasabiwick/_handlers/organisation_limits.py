"""Organisation limits: how much an organisation sends to all hosts together is kept to its limit.

Every host counts what it lets in and tells the others in its load datagrams, so each knows what all
together have used, about a second late. Away from the limit that is all. `_limit_account` decides
near it. No host is asked anything, and no request waits.

A host that is silent may be running and let in its share, so the share of silent hosts is used by
nobody else. When such a host is heard again, what it has not used comes back. A host that has just
started takes the limit to be used up, as it does not know what has been used.
"""

import array
import collections
import typing

from .._events import ForwarderBooted, HostFound, LoadTold, RoutesRead
from .._forwarding import Ask, Organisation
from .._limit_account import Account, Fleet
from .._reducer import handles
from .._settings import Settings
from .._state import State, state_slice
from . import organisations

# Seconds without a datagram after which a host is silent; two of them in a row seldom get lost.
SILENT_AFTER_S = 2.2
# Seconds of silence after which a host no longer has a share: it has been removed.
GONE_AFTER_S = 120.0
SCAN_INTERVAL_S = 0.25  # Seconds between two checks of which hosts are silent.
TELL_TIME_S = 3.5  # Seconds for which a sum is told after it changed, so that it gets through.
# Most sums in one datagram, which has to stay small; those that changed last are told.
MAX_TOLD = 64
FIRST_SEQUENCES = (
    5  # A host whose datagrams are heard from one of these on is heard from its start.
)
MAX_SUM = 1 << 62  # A sum that no host can reach; larger ones are passed over.
UNKNOWN = -MAX_SUM  # Marks a sum of which nothing was heard.


class Charge:
    """What a call was counted as; ``runs`` is the number of times."""

    __slots__ = ("organisation", "cost", "runs")

    def __init__(self, organisation: str, cost: int) -> None:
        self.organisation = organisation
        self.cost = cost
        self.runs = 1


class CountedCall(typing.Protocol):
    """What is read and kept of a call, which `forwarding` describes."""

    ask: Ask
    organisation: Organisation | None
    passed_by: str
    may_have_run_at: list[str]
    prefills: int
    charge: Charge | None


class OtherHost:
    """What was heard of another host.

    Attributes:
        heard: Monotonic time of its last datagram, or at which this host learned of it.
        silent_since: Monotonic time since which its share is held back; None while it is heard.
        gone: Whether it has no share: it has said that it stops, or was silent for very long.
        sums: What it has counted, by index of organisation.
    """

    __slots__ = (
        "incarnation",
        "sequence",
        "heard",
        "silent_since",
        "stopping",
        "gone",
        "from_start",
        "sums",
    )

    def __init__(self, at: float) -> None:
        self.incarnation = ""
        self.sequence = 0
        self.heard = at
        self.silent_since: float | None = at
        self.stopping = False
        self.gone = False
        self.from_start = False
        self.sums = array.array("q")

    def take_sum(self, index: int, total: int) -> int:
        """Remember a sum, and return by how much it has grown as far as is known."""
        missing = index + 1 - len(self.sums)
        if missing > 0:
            self.sums.extend([0 if self.from_start else UNKNOWN] * missing)
        before = self.sums[index]
        self.sums[index] = total
        return 0 if before == UNKNOWN else total - before


@state_slice("organisation_limits")
class OrganisationLimitsState:
    """Accounts by organisation, and the other hosts.

    ``limited`` holds the organisations that have a limit, with the index of their sums.
    ``changed`` holds when a sum of this host changed, the last one at the end. ``clock`` is that of
    `Fleet`, as of ``scanned_at``.
    """

    __slots__ = (
        "limited",
        "accounts",
        "changed",
        "hosts",
        "clock",
        "heard",
        "known",
        "age",
        "scanned_at",
    )

    def __init__(self, cfg: Settings) -> None:
        self.limited: dict[str, int] = {}
        self.accounts: dict[str, Account] = {}
        self.changed: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.hosts: dict[str, OtherHost] = {}
        self.clock = 0.0
        self.heard = 1
        self.known = 1
        self.age = 0.0
        self.scanned_at = 0.0


# --- Hosts ---------------------------------------------------------------------------------------


@handles(ForwarderBooted)
def start_clock(state: State, event: ForwarderBooted) -> None:
    """Let the shares of this host flow from now on."""
    state["organisation_limits"].scanned_at = event.at


@handles(HostFound)
def host_listed(state: State, event: HostFound) -> None:
    """Give a listed host a share, although it has not been heard yet."""
    hosts = state["organisation_limits"].hosts
    if event.host != state.owner.host and event.host not in hosts:
        hosts[event.host] = OtherHost(event.at)
        _scan(state, event.at)


@handles(LoadTold)
def sums_told(state: State, event: LoadTold) -> None:
    """Count what another host has let in."""
    limits_state, at = state["organisation_limits"], event.at
    name = event.sender.host
    host = limits_state.hosts.get(name)
    is_new = host is None
    if is_new:
        host = limits_state.hosts[name] = OtherHost(at)
    if host.incarnation != event.sender.incarnation:
        host.incarnation = event.sender.incarnation
        host.from_start = event.sequence <= FIRST_SEQUENCES
        host.sums = array.array("q")
    elif event.sequence <= host.sequence:
        return
    host.sequence = event.sequence
    host.stopping = event.stopping
    was_silent = host.silent_since
    host.heard, host.silent_since = at, None
    if host.gone or is_new or was_silent is not None:
        _scan(state, at)
        if was_silent is not None and not host.gone:
            limits_state.clock += (at - was_silent) / limits_state.known
        host.gone = False
        _scan(state, at)
    for organisation, total in event.counted.items():
        index = limits_state.limited.get(organisation)
        if index is not None and abs(total) < MAX_SUM:
            grown = host.take_sum(index, total)
            if grown:
                account = _account(state, organisation, at)
                account.refill(_fleet(state, at), at)
                account.count_others(grown)


def _scan(state: State, at: float) -> None:
    """Bring the clock up to a moment, and find out which hosts are silent."""
    limits_state = state["organisation_limits"]
    passed = max(0.0, at - limits_state.scanned_at)
    limits_state.clock += passed * limits_state.heard / limits_state.known
    limits_state.scanned_at = at
    known = heard = 1
    ages = 0.0
    newly_silent: list[OtherHost] = []
    for host in limits_state.hosts.values():
        if host.gone:
            continue
        age = at - host.heard
        if age >= SILENT_AFTER_S and (host.stopping or age >= GONE_AFTER_S):
            host.gone = True
            continue
        known += 1
        if host.silent_since is None and age >= SILENT_AFTER_S:
            host.silent_since = host.heard
            newly_silent.append(host)
        if host.silent_since is None:
            heard += 1
            ages += age
    limits_state.known, limits_state.heard = known, heard
    limits_state.age = ages / max(1, heard - 1)
    for host in newly_silent:
        limits_state.clock -= (at - host.heard) / known


def _fleet(state: State, at: float) -> Fleet:
    limits_state = state["organisation_limits"]
    if at - limits_state.scanned_at >= SCAN_INTERVAL_S:
        _scan(state, at)
    since = max(0.0, at - limits_state.scanned_at)
    part = limits_state.heard / limits_state.known
    return Fleet(
        hosts=limits_state.known,
        heard=limits_state.heard,
        age=limits_state.age + since * (limits_state.heard > 1),
        clock=limits_state.clock + since * part,
    )


# --- Limits --------------------------------------------------------------------------------------


@handles(RoutesRead)
def apply_limits(state: State, event: RoutesRead) -> None:
    """Put the limits of a newer version in force; what was used counts on."""
    limits_state, table = state["organisation_limits"], event.table
    if table.version != state["organisations"].version:
        return
    limited = {one.name: one.limit for one in table.organisations or () if one.limit is not None}
    if set(limited) != set(limits_state.limited):
        limits_state.limited = _indexes(limits_state, limited)
    for name in [name for name in limits_state.accounts if name not in limited]:
        del limits_state.accounts[name]
        limits_state.changed.pop(name, None)
    fleet = _fleet(state, event.at)
    for name, account in limits_state.accounts.items():
        account.refill(fleet, event.at)
        account.limit = limited[name]


def _indexes(
    limits_state: OrganisationLimitsState, limited: typing.Iterable[str]
) -> dict[str, int]:
    """Return the index of each organisation's sums; an organisation that stays keeps its own."""
    kept = {name: index for name, index in limits_state.limited.items() if name in limited}
    used = set(kept.values())
    free = (index for index in range(len(used) + len(list(limited))) if index not in used)
    for name in limited:
        if name not in kept:
            kept[name] = index = next(free)
            for host in limits_state.hosts.values():
                if index < len(host.sums):
                    host.sums[index] = 0 if host.from_start else UNKNOWN
    return kept


def _account(state: State, organisation: str, at: float) -> Account:
    accounts, cfg = state["organisation_limits"].accounts, state.cfg.forwarding
    account = accounts.get(organisation)
    if account is None:
        limit = organisations.named(state, organisation).limit
        account = accounts[organisation] = Account(limit, cfg=cfg, at=at)
    return account


def wait_for(state: State, req: CountedCall, at: float) -> float:
    """Return 0 if a call may be let in, and count it; otherwise when its caller may come back.

    A call that another host passed on was counted there.
    """
    organisation = req.organisation
    if organisation is None or organisation.limit is None or req.passed_by:
        return 0.0
    if organisation.name not in state["organisation_limits"].limited:
        return 0.0
    account = _account(state, organisation.name, at)
    cost = account.limit.cost(req.ask)
    wait = account.wait_for(cost, _fleet(state, at), state.rng, at)
    if not wait:
        req.charge = Charge(organisation.name, cost)
        _count(state, req.charge, cost, at)
    return wait


def note_try(state: State, req: CountedCall, at: float) -> None:
    """Count a call once more that is sent to another endpoint after it may have run at one."""
    if req.charge is not None and len(req.may_have_run_at) >= req.charge.runs:
        req.charge.runs += 1
        _count(state, req.charge, req.charge.cost, at)


def settle(state: State, req: CountedCall, at: float) -> None:
    """Give back at a call's end what has not run, or been prefilled, at any endpoint."""
    charge, req.charge = req.charge, None
    if charge is None:
        return
    unused = charge.runs - max(len(req.may_have_run_at), min(1, req.prefills))
    if unused > 0:
        _count(state, charge, -unused * charge.cost, at)


def _count(state: State, charge: Charge, cost: int, at: float) -> None:
    limits_state = state["organisation_limits"]
    account = limits_state.accounts.get(charge.organisation)
    if account is None:
        return
    account.refill(_fleet(state, at), at)
    account.count(cost)
    limits_state.changed[charge.organisation] = at
    limits_state.changed.move_to_end(charge.organisation)


def take_told(state: State, at: float) -> dict[str, int]:
    """Return the sums that the other hosts are told now."""
    limits_state = state["organisation_limits"]
    changed = limits_state.changed
    while changed and at - next(iter(changed.values())) >= TELL_TIME_S:
        changed.popitem(last=False)
    told = {}
    for name in list(reversed(changed))[:MAX_TOLD]:
        account = limits_state.accounts[name]
        told[name] = account.note_told()
    return told


def near_limit(state: State) -> int:
    """Count the organisations that are near their limit."""
    return sum(one.is_near for one in state["organisation_limits"].accounts.values())


def log_fields(state: State, organisation: Organisation, at: float) -> dict[str, object]:
    """Return what a decision about an organisation's limit was made by."""
    limits_state = state["organisation_limits"]
    account = _account(state, organisation.name, at)
    fleet = _fleet(state, at)
    return {
        "organisation": organisation.name,
        "limit_rate": account.limit.rate,
        "counted_here": account.own,
        "left": round(account.left(fleet)),
        "share": account.share(fleet),
        "purse": round(account.purse),
        "hosts": limits_state.known,
        "hosts_heard": limits_state.heard,
        "news_age": fleet.age,
    }
