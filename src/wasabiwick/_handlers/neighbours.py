"""Neighbours: other hosts, and what each has under way at endpoints.

Every host tells the others its whole load, in one datagram, soon after it changed and otherwise
once in a while. A lost datagram is made good by the next one, and nothing has to be agreed on: an
engine's own refusal settles where two hosts chose the same place.

Load pattern answered: in a large fleet each host serves few requests, but hears of those of all
others. There only changes of generations, which hold memory for seconds, are told soon; short
requests have mostly ended before they are heard of. Each host's pace keeps what all receive within
a rate, however many they are.
"""

import typing

from .._effects import LogLine, StartTimer
from .._effects_forwarding import AnnounceHost, TellLoad
from .._events import (
    ForwarderBooted,
    HostFound,
    LoadChanged,
    LoadTold,
    PlacesChanged,
    StopAsked,
    TimerFired,
)
from .._forwarding import EndpointLoad, StreamLoad
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import directory

TELL_INTERVAL = 1.0  # Seconds between datagrams of a host whose load does not change.
TELL_DELAY = 0.01  # Seconds in which changes are gathered into one datagram.
LARGE_FLEET = 12  # Hosts beyond which changes of short requests wait for the next datagram.
HEARD_RATE = 600.0  # Datagrams per second that a host receives at most: some 4% of a core.
SILENT_AFTER = 3.5  # Seconds without a datagram after which a load no longer counts.
FORGET_AFTER = 30.0  # Seconds without a datagram after which a host is not told any more.


class Neighbour:
    """What another host told last."""

    __slots__ = (
        "address",
        "zone",
        "incarnation",
        "sequence",
        "heard",
        "known",
        "loads",
        "stopping",
    )

    def __init__(self, *, address: str, zone: str, at: float) -> None:
        self.address = address
        self.zone = zone
        self.incarnation = ""
        self.sequence = 0
        self.heard = float("-inf")
        self.known = at
        self.loads: dict[str, EndpointLoad] = {}
        self.stopping = False


@state_slice("neighbours")
class NeighboursState:
    """Other hosts by name, and what this host tells them."""

    __slots__ = ("hosts", "sequence", "armed", "told_at")

    def __init__(self, cfg: Settings) -> None:
        self.hosts: dict[str, Neighbour] = {}
        self.sequence = 0
        self.armed = False
        self.told_at = 0.0


LoadSource = typing.Callable[[State], dict[str, EndpointLoad]]
_LOAD_SOURCES: list[LoadSource] = []


def load_source(source: LoadSource) -> LoadSource:
    """Register a function that returns this host's loads at some endpoints."""
    _LOAD_SOURCES.append(source)
    return source


def live(state: State, at: float) -> list[Neighbour]:
    """Return the hosts that were heard lately."""
    return [one for one in state["neighbours"].hosts.values() if at - one.heard < SILENT_AFTER]


def age(state: State, at: float) -> float | None:
    """Return the age of the oldest load that still counts, in seconds; None where none does."""
    return max((at - one.heard for one in live(state, at)), default=None)


def host_count(state: State, at: float) -> int:
    """Return how many hosts may be at work, this one included; silent ones count for a while."""
    hosts = state["neighbours"].hosts.values()
    return 1 + sum(1 for one in hosts if at - max(one.heard, one.known) < FORGET_AFTER)


def load_at(state: State, endpoint: str, at: float) -> EndpointLoad:
    """Return what all other hosts together have under way at an endpoint."""
    running = reading = 0
    streams: list[StreamLoad] = []
    for one in live(state, at):
        load = one.loads.get(endpoint)
        if load:
            running += load.running
            reading += load.reading
            streams.extend(load.streams)
    return EndpointLoad(running=running, reading=reading, streams=tuple(streams))


@handles(ForwarderBooted)
def begin(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Make this host known, and begin to tell its load."""
    yield AnnounceHost()
    yield StartTimer(timer="tell", delay=TELL_INTERVAL)


@handles(HostFound)
def found(state: State, event: HostFound) -> typing.Iterator[Step]:
    """Note a host that is listed, and greet it."""
    hosts = state["neighbours"].hosts
    if event.host == state.owner.host:
        return
    known = hosts.get(event.host)
    if known is None or (known.address != event.address and event.at - known.heard > SILENT_AFTER):
        hosts[event.host] = Neighbour(address=event.address, zone=event.zone, at=event.at)
        yield from _tell_soon(state, event.at)


@handles(LoadTold)
def told(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Take over another host's load."""
    hosts = state["neighbours"].hosts
    name = event.sender.host
    one = hosts.get(name)
    if one is None:
        one = hosts[name] = Neighbour(address=event.address, zone=event.zone, at=event.at)
        yield LogLine(event="host_found", fields={"host": name, "zone": event.zone})
        yield from _tell_soon(state, event.at)
    if one.incarnation == event.sender.incarnation and event.sequence <= one.sequence:
        return
    one.address = event.address
    one.incarnation = event.sender.incarnation
    one.sequence = event.sequence
    one.heard = event.at
    one.stopping = event.stopping
    for endpoint, seconds in event.busy.items():
        if not directory.is_busy(state, endpoint, event.at):
            directory.set_busy(state, endpoint, event.at + seconds)
    if one.loads != event.loads:
        one.loads = event.loads
        if len(hosts) < LARGE_FLEET:
            yield PlacesChanged(at=event.at)  # Otherwise calls that wait look at their next tick.


@handles(LoadChanged)
def changed(state: State, event: LoadChanged) -> typing.Iterator[Step]:
    """Tell the others soon, unless the change is over before it helps them."""
    if event.of_stream or len(state["neighbours"].hosts) < LARGE_FLEET:
        yield from _tell_soon(state, event.at)


@handles(StopAsked)
def stopping(state: State, event: StopAsked) -> typing.Iterator[Step]:
    """Tell the others that this host is stopping."""
    yield from _tell_soon(state, event.at)


def _tell_soon(state: State, at: float) -> typing.Iterator[Step]:
    mine = state["neighbours"]
    if not mine.armed:
        mine.armed = True
        paced = mine.told_at + len(mine.hosts) / HEARD_RATE - at
        yield StartTimer(timer="tell_soon", delay=max(TELL_DELAY, paced))


@on_timer("tell_soon")
def tell_soon(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Tell the others what has changed."""
    state["neighbours"].armed = False
    yield from _tell(state, event.at)


@on_timer("tell")
def tell(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Tell the others, changed or not, and forget hosts that are gone."""
    mine = state["neighbours"]
    for name, one in list(mine.hosts.items()):
        if event.at - max(one.heard, one.known) > FORGET_AFTER:
            del mine.hosts[name]
            yield LogLine(event="host_forgotten", fields={"host": name})
    if event.at - mine.told_at >= TELL_INTERVAL / 2:
        yield from _tell(state, event.at)
    yield StartTimer(timer="tell", delay=TELL_INTERVAL)


def tell_now(state: State, at: float) -> typing.Iterator[Step]:
    """Tell the others at once what they have to know before they choose an endpoint."""
    yield from _tell(state, at)


def _tell(state: State, at: float) -> typing.Iterator[Step]:
    mine = state["neighbours"]
    mine.told_at = at
    mine.sequence += 1
    loads: dict[str, EndpointLoad] = {}
    for source in _LOAD_SOURCES:
        loads.update(source(state))
    addresses = tuple(one.address for one in mine.hosts.values())
    if addresses:
        yield TellLoad(
            addresses=addresses,
            sequence=mine.sequence,
            loads=loads,
            stopping=state.stopping,
            busy=directory.busy(state, at),
        )
