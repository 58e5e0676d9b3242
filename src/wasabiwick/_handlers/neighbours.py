"""Neighbours: exchanges with the other hosts what load each has placed on endpoints.

Every host sends its whole load to the others in one datagram, soon after a change and otherwise
periodically. The next datagram makes up for a lost one. Hosts need not agree on who uses an engine:
if two choose one that has room for one request, it refuses the other. All times are in seconds.

Load pattern handled: in a large fleet each host serves few requests but is sent the load of all
others. There, a host sends its load soon only after a change by a generation, which uses memory for
seconds. Most short requests have ended before another host could use the news. Each host limits its
own sending rate so that the rate at which any host receives stays bounded, whatever the size of the
fleet.
"""

import typing

from .._effects import EnsureTimer, LogLine, StartTimer
from .._effects_forwarding import AnnounceHost, TellLoad
from .._events import (
    EndpointLeaving,
    ForwarderBooted,
    HostFound,
    LoadChanged,
    LoadTold,
    PlacesChanged,
    StepFailed,
    StopAsked,
    StoreRestored,
    TimerFired,
)
from .._forwarding import EndpointLoad, StreamLoad
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import (
    builds,
    crashing_parts,
    departures,
    directory,
    endpoint_limits,
    engine_signs,
    observations,
    organisation_limits,
    reach,
    routes,
)

SEND_INTERVAL = 1.0  # Seconds between datagrams of a host whose load does not change.
BATCH_DELAY = 0.01  # Seconds for which changes are collected into one datagram.
# With at least this many other hosts, changes by short requests wait for the next periodic
# datagram.
LARGE_FLEET_HOSTS = 12
# Most datagrams per second that a host should receive; receiving these takes some 4% of a core.
MAX_RECEIVE_RATE = 600.0
SILENT_AFTER = 3.5  # Seconds without a datagram after which a host's load no longer counts.
# Most hosts that enter the list of hosts in a second, a quarter of a small store's writes.
MAX_ANNOUNCEMENTS_PER_S = 100.0
FORGET_AFTER = 30.0  # Seconds without a datagram after which a host is removed.
# Seconds without a datagram after which streams may have begun at a host that it could not tell.
# While several builds serve, hosts send one at least every `SEND_INTERVAL`.
TELLS_STREAMS_WITHIN = 1.25
# Seconds and datagrams within which a host tells all its streams to one that has just started.
CATCH_UP_TIME = 1.0
CATCH_UP_DATAGRAMS = 12


class Neighbour:
    """Another host and its last datagram.

    ``heard`` is the monotonic time of that datagram, and ``known`` that at which this host first
    learned of the other. ``told_from`` is the time from which it has told all its streams, if it
    is heard until then. ``unreached`` holds the services of which it reaches no endpoint.
    """

    __slots__ = (
        "address",
        "zone",
        "incarnation",
        "sequence",
        "heard",
        "known",
        "told_from",
        "loads",
        "stopping",
        "unreached",
        "routes_version",
    )

    def __init__(self, *, address: str, zone: str, at: float) -> None:
        self.address = address
        self.zone = zone
        self.incarnation = ""
        self.sequence = 0
        self.heard = float("-inf")
        self.known = at
        self.told_from = float("inf")
        self.loads: dict[str, EndpointLoad] = {}
        self.stopping = False
        self.unreached: tuple[str, ...] = ()
        self.routes_version = 0


@state_slice("neighbours")
class NeighboursState:
    """Other hosts by name, and the state of this host's own datagrams."""

    __slots__ = ("hosts", "sequence", "send_scheduled", "told_at")

    def __init__(self, cfg: Settings) -> None:
        self.hosts: dict[str, Neighbour] = {}
        self.sequence = 0
        self.send_scheduled = False
        self.told_at = 0.0


LoadSource = typing.Callable[[State], dict[str, EndpointLoad]]
_LOAD_SOURCES: list[LoadSource] = []


def load_source(source: LoadSource) -> LoadSource:
    """Register a function that returns this host's load by endpoint."""
    _LOAD_SOURCES.append(source)
    return source


UseSource = typing.Callable[[State], dict[str, int]]
_USE_SOURCES: list[UseSource] = []


def use_source(source: UseSource) -> UseSource:
    """Register a function that returns sums of engine time that this host used, by organisation."""
    _USE_SOURCES.append(source)
    return source


def live_hosts(state: State, at: float) -> list[Neighbour]:
    """Return the other hosts that sent a datagram recently, so that their load counts."""
    return [one for one in state["neighbours"].hosts.values() if at - one.heard < SILENT_AFTER]


def is_large_fleet(state: State) -> bool:
    """Return whether there are so many hosts that news of their load come late."""
    return len(state["neighbours"].hosts) >= LARGE_FLEET_HOSTS


def live_in_zone(state: State, at: float) -> dict[str, Neighbour]:
    """Return the other hosts of this host's zone that are heard, by name."""
    return {
        name: one
        for name, one in state["neighbours"].hosts.items()
        if one.zone == state.zone and at - one.heard < SILENT_AFTER
    }


def live_names(state: State, at: float) -> list[str]:
    """Return the names of the other hosts that are heard and are not stopping."""
    hosts = state["neighbours"].hosts
    return [
        name for name, one in hosts.items() if at - one.heard < SILENT_AFTER and not one.stopping
    ]


def hosts_telling_streams(state: State, at: float) -> frozenset[str]:
    """Return the other hosts that have told this one of all streams that began there."""
    return frozenset(
        name
        for name, one in state["neighbours"].hosts.items()
        if at - one.heard < TELLS_STREAMS_WITHIN and at >= one.told_from
    )


def known_names(state: State) -> list[str]:
    """Return the names of the other hosts that may be running, heard or not."""
    return list(state["neighbours"].hosts)


def reaches(state: State, name: str, service: str) -> bool:
    """Return whether another host reaches an endpoint of a service, as far as it has told."""
    return service not in state["neighbours"].hosts[name].unreached


def address_of(state: State, name: str) -> str:
    """Return the address at which another host receives datagrams."""
    return state["neighbours"].hosts[name].address


def load_age(state: State, at: float) -> float | None:
    """Return the age of the oldest load that still counts, in seconds; None if no load does."""
    return max((at - one.heard for one in live_hosts(state, at)), default=None)


def host_count(state: State, at: float) -> int:
    """Return how many hosts may be running, including this one.

    A silent host counts until `FORGET_AFTER`, as this host may merely be cut off from it.
    """
    hosts = state["neighbours"].hosts.values()
    return 1 + sum(1 for one in hosts if at - max(one.heard, one.known) < FORGET_AFTER)


def load_at(state: State, endpoint: str, at: float) -> EndpointLoad:
    """Return the load of all other hosts together at an endpoint."""
    running = reading = 0
    streams: list[StreamLoad] = []
    for one in live_hosts(state, at):
        load = one.loads.get(endpoint)
        if load:
            running += load.running
            reading += load.reading
            streams.extend(load.streams)
    return EndpointLoad(running=running, reading=reading, streams=tuple(streams))


@handles(ForwarderBooted)
def start_sending(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Enter this host in the list of hosts, and start sending its load."""
    yield AnnounceHost()
    yield StartTimer(timer="tell", delay=SEND_INTERVAL)


@handles(StoreRestored)
def announce_again(state: State, event: StoreRestored) -> typing.Iterator[Step]:
    """Enter this host in the list of hosts again; hosts do so one after the other."""
    spread = host_count(state, event.at) / MAX_ANNOUNCEMENTS_PER_S
    yield StartTimer(timer="announce", delay=spread * state.rng.random())


@on_timer("announce")
def announce(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Enter this host in the list of hosts."""
    yield AnnounceHost()


@handles(HostFound)
def host_found(state: State, event: HostFound) -> typing.Iterator[Step]:
    """Add a listed host, and send it this host's load soon."""
    hosts = state["neighbours"].hosts
    if event.host == state.owner.host:
        return
    neighbour = hosts.get(event.host)
    if neighbour is None or (
        neighbour.address != event.address and event.at - neighbour.heard > SILENT_AFTER
    ):
        hosts[event.host] = Neighbour(address=event.address, zone=event.zone, at=event.at)
        yield from send_soon(state, event.at)


@handles(LoadTold)
def load_received(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Apply another host's load, unless a newer datagram of its process has arrived."""
    hosts = state["neighbours"].hosts
    name = event.sender.host
    neighbour = hosts.get(name)
    if neighbour is None:
        neighbour = hosts[name] = Neighbour(address=event.address, zone=event.zone, at=event.at)
        yield LogLine(event="host_found", fields={"host": name, "zone": event.zone})
    if neighbour.incarnation == event.sender.incarnation and event.sequence <= neighbour.sequence:
        return
    was_silent = event.at - neighbour.heard > SILENT_AFTER
    _note_telling(state, neighbour, event)
    if neighbour.incarnation != event.sender.incarnation:
        builds.tell_all(state)
    if was_silent or neighbour.incarnation != event.sender.incarnation:
        crashing_parts.tell_all(state)
        yield from send_soon(state, event.at)
    neighbour.address = event.address
    neighbour.incarnation = event.sender.incarnation
    neighbour.sequence = event.sequence
    neighbour.heard = event.at
    neighbour.stopping = event.stopping
    neighbour.unreached = event.unreached
    neighbour.routes_version = event.routes_version
    for endpoint, seconds in event.busy.items():
        if not directory.is_busy(state, endpoint, event.at):
            directory.set_busy(state, endpoint, event.at + seconds)
    if neighbour.loads != event.loads:
        neighbour.loads = event.loads
        if not is_large_fleet(state):
            # In a large fleet, waiting calls get places at the next check of their queue.
            yield PlacesChanged(at=event.at)


def _note_telling(state: State, neighbour: Neighbour, event: LoadTold) -> None:
    """Record from when on a host has told all its streams; a datagram of it has arrived."""
    if neighbour.incarnation != event.sender.incarnation:
        paced_time = CATCH_UP_DATAGRAMS * len(state["neighbours"].hosts) / MAX_RECEIVE_RATE
        neighbour.told_from = event.at + max(CATCH_UP_TIME, paced_time)
    elif event.sequence - neighbour.sequence > builds.TELLS:
        # So many datagrams in a row were lost that each time a stream was told may be among them.
        neighbour.told_from = event.at + builds.keep_time(state)


@handles(LoadChanged)
def load_changed(state: State, event: LoadChanged) -> typing.Iterator[Step]:
    """Send the load soon; in a large fleet, only if a generation changed it."""
    if event.of_stream or not is_large_fleet(state):
        yield from send_soon(state, event.at)


@handles(EndpointLeaving)
def endpoint_leaving(state: State, event: EndpointLeaving) -> typing.Iterator[Step]:
    """Tell the other hosts soon which endpoint leaves; `directory` has recorded it."""
    if departures.is_news(state, event.endpoint, event.at):
        yield from send_soon(state, event.at)


@handles(StopAsked)
def announce_stop(state: State, event: StopAsked) -> typing.Iterator[Step]:
    """Notify the other hosts soon that this host is stopping."""
    yield from send_soon(state, event.at)


def send_soon(state: State, at: float) -> typing.Iterator[Step]:
    """Send the load and what else is to be told, after `BATCH_DELAY` or more in a large fleet."""
    neighbours_state = state["neighbours"]
    if not neighbours_state.send_scheduled:
        neighbours_state.send_scheduled = True
        paced_delay = neighbours_state.told_at + len(neighbours_state.hosts) / MAX_RECEIVE_RATE - at
        yield StartTimer(timer="tell_soon", delay=max(BATCH_DELAY, paced_delay))


@on_timer("tell_soon")
def send_changes(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Send the load after a change."""
    state["neighbours"].send_scheduled = False
    yield from _send_load(state, event.at)


@on_timer("tell")
def send_periodically(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Send the load, changed or not, and remove hosts that have been silent for long."""
    neighbours_state = state["neighbours"]
    for name, one in list(neighbours_state.hosts.items()):
        if event.at - max(one.heard, one.known) > FORGET_AFTER:
            del neighbours_state.hosts[name]
            yield LogLine(event="host_forgotten", fields={"host": name})
    was_sent_lately = event.at - neighbours_state.told_at < SEND_INTERVAL / 2
    if not was_sent_lately or builds.mixed_services(state, event.at):
        yield from _send_load(state, event.at)
    yield StartTimer(timer="tell", delay=SEND_INTERVAL)


def send_now(state: State, at: float) -> typing.Iterator[Step]:
    """Send the load at once, after a change that others need before they choose an endpoint."""
    yield from _send_load(state, at)


def _send_load(state: State, at: float) -> typing.Iterator[Step]:
    neighbours_state = state["neighbours"]
    neighbours_state.told_at = at
    neighbours_state.sequence += 1
    loads: dict[str, EndpointLoad] = {}
    for source in _LOAD_SOURCES:
        loads.update(source(state))
    used: dict[str, int] = {}
    for source in _USE_SOURCES:
        used.update(source(state))
    addresses = tuple(one.address for one in neighbours_state.hosts.values())
    if addresses:
        crashes, sound = crashing_parts.take_untold(state)
        yield TellLoad(
            addresses=addresses,
            sequence=neighbours_state.sequence,
            loads=loads,
            stopping=state.stopping,
            busy=directory.busy_endpoints(state, at),
            begun=builds.take_untold(state),
            builds=builds.mixed_services(state, at),
            crashes=crashes,
            sound=sound,
            limits=endpoint_limits.told_limits(state, at),
            leaving=departures.told(state, at),
            unreached=reach.services_in_doubt(state),
            routes_version=routes.version(state),
            observed=observations.take_told(state, at),
            counted=organisation_limits.take_told(state, at),
            signs=engine_signs.take_told(state, at),
            used=used,
        )
        if builds.has_untold(state) or crashing_parts.has_untold(state):
            yield from send_soon(state, at)


@handles(StepFailed)
def send_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start the timer of a send that is due, which may not have been started."""
    if state["neighbours"].send_scheduled:
        yield EnsureTimer(timer="tell_soon", delay=BATCH_DELAY)
