"""Membership: live hosts and usable endpoints, from the host list."""

import typing

from .. import _rendezvous
from .._effects import FetchHostList, StartTimer
from .._events import Booted, HostListFailed, HostsListed, MembersChanged, TimerFired
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import HostEntry, Owner


@state_slice("members")
class MembersState:
    """Entries of the host list by name."""

    __slots__ = ("entries",)

    def __init__(self, cfg: Settings) -> None:
        self.entries: dict[str, HostEntry] = {}


def address_of(state: State, name: str) -> str:
    """Return the base URL of a host or endpoint, or an empty string if it is not known."""
    entry = state["members"].entries.get(name)
    return entry.address if entry else ""


def zone_of(state: State, name: str) -> str:
    """Return the availability zone of a host or endpoint, or an empty string."""
    entry = state["members"].entries.get(name)
    return entry.zone if entry else ""


def zones(state: State) -> list[str]:
    """Return the availability zones that have entry hosts, this host's own included."""
    entries = state["members"].entries.values()
    return sorted({entry.zone for entry in entries if entry.kind == "entry"} | {state.zone})


def live_hosts(state: State, zone: str) -> list[str]:
    """Return the names of a zone's live entry hosts that take roles, this one included."""
    names = {
        entry.name
        for entry in state["members"].entries.values()
        if entry.kind == "entry" and entry.zone == zone and not entry.leaving
    }
    if zone == state.zone and not state.stopping:
        names.add(state.owner.host)
    return sorted(names)


def is_live(state: State, owner: Owner) -> bool:
    """Tell whether this run of a host may still be alive."""
    entry = state["members"].entries.get(owner.host)
    return entry is not None or owner == state.owner


def usable_endpoints(state: State, service: str) -> list[HostEntry]:
    """Return the endpoints of a service or model that may get new work."""
    return [
        entry
        for entry in state["members"].entries.values()
        if entry.service == service and entry.kind != "entry" and not entry.leaving
    ]


def role_owner(state: State, role: str, zone: str) -> str:
    """Return the live host of a zone that holds a soft role, such as the owner of a key."""
    hosts = live_hosts(state, zone) or [state.owner.host]
    return _rendezvous.owner_of(role, hosts)


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Read the host list at once."""
    yield FetchHostList()


@handles(HostsListed)
def update(state: State, event: HostsListed) -> typing.Iterator[Step]:
    """Take over a newly read host list."""
    entries = {entry.name: entry for entry in event.entries}
    changed = entries != state["members"].entries
    state["members"].entries = entries
    yield StartTimer(timer="host_list", delay=state.cfg.timing.host_list)
    if changed:
        yield MembersChanged(at=event.at)


@handles(HostListFailed)
def retry(state: State, event: HostListFailed) -> typing.Iterator[Step]:
    """Go on with the entries known, and read again later."""
    yield StartTimer(timer="host_list", delay=state.cfg.timing.host_list)


@on_timer("host_list")
def fetch(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the host list again."""
    yield FetchHostList()
