"""Membership: live hosts and usable endpoints.

The platform's host list lags behind the true state. So it is combined with the heartbeats between
the hosts of the zone (`members_watch`, which updates the peers of this slice), with failed calls,
and with signs that an endpoint is leaving.
"""

import collections
import typing

from .. import _rendezvous
from .._effects import Count, FetchHostList, StartTimer
from .._errors import ENDPOINT_LEAVING
from .._events import (
    AttemptFailed,
    Booted,
    Event,
    HostListFailed,
    HostsListed,
    MembersChanged,
    TimerFired,
)
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import HostEntry, Owner

LEAVING_REPORTED_S = 10.0  # Heartbeats report a new sign that an endpoint leaves for this long.
# A new sign that an endpoint is leaving waits this long to be reported together with others.
LEAVING_BATCH_DELAY_S = 0.05
# A sign that an endpoint is leaving is kept for this long; after that, only the host list decides.
LEAVING_KEPT_S = 60.0
# In a large zone, about this many hosts read the host list within ``timing.host_list`` seconds.
LIST_READERS = 4
MAX_LIST_DELAY_S = 10.0  # Longest time between two reads of the host list by one host.
HOST_WATCHERS = 4  # Number of hosts that receive the heartbeats of one host.

LIVE = "live"
SILENT = "silent"
DEAD = "dead"
STOPPING = "stopping"


class Peer:
    """What this host knows of another host of the zone.

    Args:
        at: Monotonic time at which the other host was first known.

    ``incarnation`` identifies its present run and ``ended_runs`` its earlier runs. Its silence is
    measured from ``heard``: the monotonic time of its last heartbeat, or of a later reset.
    """

    __slots__ = ("incarnation", "ended_runs", "heard", "state", "reports", "failures", "failed_at")

    def __init__(self, *, at: float) -> None:
        self.incarnation = ""
        self.ended_runs: set[str] = set()
        self.heard = at
        self.state = LIVE  # State in which this host sees the peer.
        self.reports: dict[str, str] = {}  # By reporting host, the state that it saw.
        self.failures = 0  # Consecutive failed calls to the peer.
        self.failed_at = 0.0


@state_slice("members")
class MembersState:
    """Entries of the host list by name, peers of the zone, and endpoints known to be leaving."""

    __slots__ = ("entries", "peers", "leaving", "hosts", "endpoints", "order")

    def __init__(self, cfg: Settings) -> None:
        self.entries: dict[str, HostEntry] = {}
        self.peers: dict[str, Peer] = {}
        self.leaving: dict[str, float] = {}  # By endpoint, monotonic time of the first sign.
        self.hosts: dict[str, list[str]] = {}  # Live hosts by zone.
        self.endpoints: dict[str, list[HostEntry]] = {}  # Usable endpoints by service.
        self.order: list[str] = []  # Cache of the zone's ring; empty after a change.


# --- Queries -------------------------------------------------------------------------------------


def address_of(state: State, name: str) -> str:
    """Return the base URL of a host or endpoint, or an empty string if it is not known."""
    entry = state["members"].entries.get(name)
    return entry.address if entry else ""


def entry_of(state: State, name: str) -> HostEntry | None:
    """Return the host list's entry of a host or endpoint, or None."""
    return state["members"].entries.get(name)


def zone_of(state: State, name: str) -> str:
    """Return the availability zone of a host or endpoint, or an empty string."""
    entry = state["members"].entries.get(name)
    return entry.zone if entry else ""


def zones(state: State) -> list[str]:
    """Return the availability zones that have entry hosts, this host's own included."""
    entries = state["members"].entries.values()
    return sorted({entry.zone for entry in entries if entry.kind == "entry"} | {state.zone})


def live_hosts(state: State, zone: str) -> list[str]:
    """Return the sorted names of a zone's live entry hosts that can hold roles.

    This host is included unless it is stopping. Hosts of other zones are judged by the host list
    only.
    """
    names = state["members"].hosts.get(zone, ())
    own = state.owner.host
    if zone == state.zone and not state.stopping:
        return list(names) if own in names else sorted([*names, own])
    return [name for name in names if name != own or not state.stopping]


def listed_hosts(state: State, zone: str) -> list[str]:
    """Return the names of all of a zone's entry hosts that are known, alive or not."""
    names = {
        entry.name
        for entry in state["members"].entries.values()
        if entry.kind == "entry" and entry.zone == zone
    }
    return sorted(names | set(ring(state)) if zone == state.zone else names)


def is_live(state: State, owner: Owner) -> bool:
    """Return whether this run of a host may still be alive.

    A run has ended once a newer incarnation was seen, or counts as ended once the hosts that watch
    it agree that it was silent for too long.
    """
    members_state = state["members"]
    if owner.host == state.owner.host:
        return owner == state.owner
    peer = members_state.peers.get(owner.host)
    if peer is None:
        return owner.host in members_state.entries
    return owner.incarnation not in peer.ended_runs and not watchers_agree(state, owner.host, DEAD)


def usable_endpoints(state: State, service: str) -> list[HostEntry]:
    """Return the endpoints of a service or model that may get new work."""
    return list(state["members"].endpoints.get(service, ()))


def zones_of_service(state: State, service: str) -> list[str]:
    """Return the availability zones that have usable endpoints of a service or model."""
    return sorted(endpoint_counts_by_zone(state, service))


def endpoint_counts_by_zone(state: State, service: str) -> dict[str, int]:
    """Return the number of usable endpoints of a service or model in each zone."""
    return collections.Counter(entry.zone for entry in state["members"].endpoints.get(service, ()))


def is_usable(state: State, name: str) -> bool:
    """Return whether an endpoint is in the host list and not known to be leaving."""
    entry = state["members"].entries.get(name)
    return entry is not None and not entry.leaving and name not in state["members"].leaving


def engines_of_zone(state: State, zone: str) -> list[HostEntry]:
    """Return the engines of an availability zone that may get new work."""
    return [
        entry
        for entry in state["members"].entries.values()
        if entry.kind == "engine" and entry.zone == zone and is_usable(state, entry.name)
    ]


def role_owner(state: State, role: str, zone: str) -> str:
    """Return the live host of a zone that a role falls to by hashing, such as a key's owner."""
    hosts = live_hosts(state, zone) or [state.owner.host]
    return _rendezvous.owner_of(role, hosts)


def leaving_signs(state: State, at: float) -> tuple[tuple[str, float], ...]:
    """Return the leaving endpoints to report, each with the seconds since its first sign."""
    signs = state["members"].leaving.items()
    return tuple(
        (name, round(at - since, 1)) for name, since in signs if at - since < LEAVING_REPORTED_S
    )


# --- The ring of watchers ------------------------------------------------------------------------


def ring(state: State) -> list[str]:
    """Return the zone's hosts, listed or heard from, in the order that all hosts agree on."""
    members_state = state["members"]
    if not members_state.order:
        members_state.order = _rendezvous.ranked(
            state.zone, members_state.peers.keys() | {state.owner.host}
        )
    return members_state.order


def add_peer(state: State, host: str, at: float) -> Peer:
    """Return what is known of a host of the zone, adding the host if it is new."""
    members_state = state["members"]
    if host not in members_state.peers:
        members_state.peers[host] = Peer(at=at)
        members_state.order = []
    return members_state.peers[host]


def watchers_of(state: State, host: str) -> list[str]:
    """Return the hosts that receive a host's heartbeats: those that follow it in the ring."""
    names = ring(state)
    if host not in names:
        return []
    at = names.index(host)
    next_hosts = names[at + 1 :] + names[:at]
    return next_hosts[:HOST_WATCHERS]


def watchers_agree(state: State, host: str, at_least: str) -> bool:
    """Return whether enough watchers of a host report a state as bad as ``at_least``, or worse.

    Two reports are enough, or one if only one of the watchers is alive: a broken link between two
    hosts affects one watcher, not two.
    """
    peer = state["members"].peers[host]
    if peer.state == LIVE and not peer.reports:
        return False
    watchers = watchers_of(state, host)
    reports = dict(peer.reports)
    if state.owner.host in watchers:
        reports[state.owner.host] = peer.state
    matching_states = (DEAD,) if at_least == DEAD else (SILENT, DEAD)
    able_count = sum(1 for name in watchers if _can_report(state, name))
    matching_count = sum(1 for seen_state in reports.values() if seen_state in matching_states)
    return 0 < min(2, able_count) <= matching_count


def _can_report(state: State, name: str) -> bool:
    peer = state["members"].peers.get(name)
    return name == state.owner.host or (peer is not None and peer.state == LIVE)


# --- Changes -------------------------------------------------------------------------------------


def refresh(state: State, at: float) -> typing.Iterator[Step]:
    """Recompute live hosts and usable endpoints; emits `MembersChanged` only if they changed."""
    members_state = state["members"]
    _expire_signs(state, at)
    hosts = _hosts_by_zone(state)
    endpoints: dict[str, list[HostEntry]] = {}
    for entry in members_state.entries.values():
        if entry.kind != "entry" and is_usable(state, entry.name):
            endpoints.setdefault(entry.service, []).append(entry)
    if hosts != members_state.hosts or endpoints != members_state.endpoints:
        members_state.hosts = hosts
        members_state.endpoints = endpoints
        yield MembersChanged(at=at)


def _hosts_by_zone(state: State) -> dict[str, list[str]]:
    members_state = state["members"]
    hosts: dict[str, list[str]] = {}
    for entry in members_state.entries.values():
        if entry.kind == "entry" and not entry.leaving and _takes_roles(state, entry.name):
            hosts.setdefault(entry.zone, []).append(entry.name)
    for names in hosts.values():
        names.sort()
    return hosts


def _takes_roles(state: State, name: str) -> bool:
    peer = state["members"].peers.get(name)
    if peer is None:
        return True
    if peer.state != LIVE or STOPPING in peer.reports.values():
        return False
    return not watchers_agree(state, name, SILENT)


def _expire_signs(state: State, at: float) -> None:
    signs = state["members"].leaving
    for name in [name for name, since in signs.items() if at - since > LEAVING_KEPT_S]:
        del signs[name]


def note_leaving(
    state: State, signs: typing.Iterable[tuple[str, float]], at: float
) -> typing.Iterator[Step]:
    """Stop using endpoints at the first sign that they are leaving, and report it to peers soon.

    Args:
        state: The host's state.
        signs: Endpoints, each with the seconds since its first sign of leaving.
        at: Monotonic time, seconds.
    """
    if _record_signs(state, signs, at):
        yield Count(metric="endpoint_leaving")
        yield StartTimer(timer="heartbeat", delay=LEAVING_BATCH_DELAY_S)
        yield from refresh(state, at)


def _record_signs(state: State, signs: typing.Iterable[tuple[str, float]], at: float) -> bool:
    """Record signs of leaving; returns whether any endpoint was not yet known to be leaving."""
    leaving = state["members"].leaving
    any_new = False
    for name, age in signs:
        since = at - age
        if age < LEAVING_KEPT_S and since < leaving.get(name, float("inf")):
            any_new = any_new or name not in leaving
            leaving[name] = since
    return any_new


# --- The host list -------------------------------------------------------------------------------


@handles(Booted)
def read_host_list(state: State, event: Booted) -> typing.Iterator[Step]:
    """Read the host list at once."""
    yield FetchHostList()


@handles(HostsListed)
def apply_host_list(state: State, event: HostsListed) -> typing.Iterator[Step]:
    """Apply a newly read host list."""
    members_state = state["members"]
    entries = {entry.name: entry for entry in event.entries}
    for name in [
        name for name in members_state.leaving if _is_replaced(members_state.entries, entries, name)
    ]:
        del members_state.leaving[name]
    listed_signs = [
        (entry.name, 0.0)
        for entry in entries.values()
        if entry.kind != "entry" and entry.leaving and entry.name not in members_state.leaving
    ]
    if _record_signs(state, listed_signs, event.at):
        yield StartTimer(timer="heartbeat", delay=LEAVING_BATCH_DELAY_S)
    members_state.entries = entries
    _update_peers(state, event)
    yield StartTimer(timer="host_list", delay=_list_delay(state))
    yield from refresh(state, event.at)


def _list_delay(state: State) -> float:
    """Return the seconds until the next read; the hosts of a large zone take turns.

    Between its own reads, a host learns from heartbeats which endpoints are leaving.
    """
    turn_count = max(1.0, len(ring(state)) / LIST_READERS)
    delay = min(MAX_LIST_DELAY_S, state.cfg.timing.host_list * turn_count)
    return max(delay, state.cfg.timing.host_list)


def _is_replaced(
    old_entries: dict[str, HostEntry], new_entries: dict[str, HostEntry], name: str
) -> bool:
    """Return whether a new endpoint has taken over a name.

    That is so if the old endpoint was not listed, was leaving or had another address.
    """
    new_entry, old_entry = new_entries.get(name), old_entries.get(name)
    if new_entry is None or new_entry.leaving:
        return False
    return old_entry is None or old_entry.address != new_entry.address or old_entry.leaving


def _update_peers(state: State, event: Event) -> None:
    """Add the zone's listed hosts as peers, and drop silent peers that are no longer listed."""
    members_state = state["members"]
    for entry in members_state.entries.values():
        if entry.kind == "entry" and entry.zone == state.zone and entry.name != state.owner.host:
            add_peer(state, entry.name, event.at)
    for name, peer in list(members_state.peers.items()):
        if name not in members_state.entries and event.at - peer.heard > LEAVING_KEPT_S:
            del members_state.peers[name]
            members_state.order = []


@handles(HostListFailed)
def read_again_later(state: State, event: HostListFailed) -> typing.Iterator[Step]:
    """Keep the known entries, and read the list again later."""
    yield StartTimer(timer="host_list", delay=state.cfg.timing.host_list)


@on_timer("host_list")
def read_host_list_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the host list again."""
    yield FetchHostList()


@handles(AttemptFailed)
def refused(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Stop using an endpoint that refuses work because it is leaving."""
    if event.failure.reason is ENDPOINT_LEAVING:
        yield from note_leaving(state, ((event.endpoint, 0.0),), event.at)
