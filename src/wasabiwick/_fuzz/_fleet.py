"""Fleet of simulated hosts: runs their reducers, and collects the effects that they send."""

import typing

from .. import _handlers  # noqa: F401 - registers the handlers
from .._effects import (
    AnswerCall,
    AppendLog,
    AttachCall,
    CallService,
    CloseCall,
    Effect,
    FetchHostList,
    FinishStream,
    QueryService,
    ReadLog,
    RefuseCall,
    SendPeer,
    StartTimer,
    StopTail,
    StopTimer,
    TailLog,
)
from .._events import Booted, Event, HostsListed, TimerFired
from .._reducer import reduce
from .._settings import Platform, Settings
from .._state import State
from .._wire import HostEntry, Owner
from ._log import FakeLog

INITIAL_UNIX_TIME_S = 1_000_000.0  # Unix time at which the simulated clock reads 0.

CallerEffect = RefuseCall | AnswerCall | CloseCall | FinishStream | AttachCall


class Host:
    """One simulated host: its reducer state, its timers and the log streams that it follows.

    Args:
        name: Name of the host.
        zone: Availability zone.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.runs = 0
        self.alive = False
        self.paused = False
        self.state: State | None = None
        self.timers: dict[tuple[str, str], float] = {}
        self.tails: dict[str, int] = {}
        self.inbox: list[Event] = []

    @property
    def owner(self) -> Owner:
        """Return the identity of the host's current run."""
        return Owner(host=self.name, incarnation=str(self.runs))


class InFlightItem:
    """An effect in flight, and the run of the host that sent it.

    ``reply`` is false if the sender has already been told that the effect failed, and so gets no
    reply when it is delivered.
    """

    __slots__ = ("host", "run", "effect", "reply")

    def __init__(self, *, host: Host, effect: Effect, reply: bool = True) -> None:
        self.host = host
        self.run = host.runs
        self.effect = effect
        self.reply = reply


NETWORK_EFFECTS = (SendPeer, AppendLog, ReadLog, CallService, QueryService)


class Fleet:
    """Simulated hosts, their clock and log, and the effects that are not carried out yet.

    Args:
        hosts: Names of the hosts, each with its availability zone.
        entries: Endpoints of the host list.
        settings: Settings that differ from the defaults.
    """

    def __init__(
        self,
        hosts: dict[str, str],
        entries: typing.Iterable[HostEntry],
        **settings: typing.Any,
    ) -> None:
        self.now = 10.0
        self.log = FakeLog()
        self.in_flight: list[InFlightItem] = []
        self.hosts = {name: Host(name, zone) for name, zone in hosts.items()}
        self.endpoints = tuple(entries)
        self.settings = settings
        self.caller_effects: list[tuple[Host, CallerEffect]] = []
        self.network_effects = NETWORK_EFFECTS
        self.on_sent: typing.Callable[[Host, Effect], None] | None = None

    # --- Host lifecycle --------------------------------------------------------------------------

    def boot(self, name: str) -> None:
        """Start a host, or restart it, without any state of its earlier runs."""
        host = self.hosts[name]
        host.runs += 1
        host.alive = True
        host.paused = False
        host.timers = {}
        host.tails = {}
        host.inbox = []
        host.state = State(self._settings_of(host))
        self.post(
            host,
            Booted(at=self.now, owner=host.owner, zone=host.zone, wall=self.wall, seed=host.runs),
        )

    def _settings_of(self, host: Host) -> Settings:
        platform = Platform(log="log", hosts="hosts")
        return Settings(
            host=host.name, zone=host.zone, region="r", platform=platform, **self.settings
        )

    @property
    def wall(self) -> float:
        """Return the simulated Unix time in seconds."""
        return INITIAL_UNIX_TIME_S + self.now

    def crash(self, name: str) -> None:
        """End a host's run; the effects that it sent stay in flight."""
        host = self.hosts[name]
        host.alive = False
        host.state = None
        host.inbox = []

    def pause(self, name: str) -> None:
        """Pause a host's process; its events queue until it resumes."""
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused host and deliver its queued events."""
        host = self.hosts[name]
        if not host.alive:
            return
        host.paused = False
        waiting, host.inbox = host.inbox, []
        for event in waiting:
            event.at = self.now
            self.post(host, event)
        self._fire_due_timers(host)

    def list_hosts(self) -> None:
        """Deliver the current host list to every running host."""
        for host in self.running():
            self.post(host, HostsListed(at=self.now, entries=self.entries()))

    def entries(self) -> tuple[HostEntry, ...]:
        """Return the host list: the hosts that are alive, and all endpoints."""
        alive = [
            HostEntry(name=one.name, kind="entry", zone=one.zone, address=f"http://{one.name}")
            for one in self.hosts.values()
            if one.alive
        ]
        return (*alive, *self.endpoints)

    def running(self) -> list[Host]:
        """Return the hosts that are alive, paused ones included."""
        return [host for host in self.hosts.values() if host.alive]

    # --- Events and effects ----------------------------------------------------------------------

    def post(self, host: Host, event: Event, *, run: int | None = None) -> None:
        """Deliver an event to a host's current run; drop it if ``run`` is an earlier run."""
        if not host.alive or (run is not None and run != host.runs):
            return
        if host.paused:
            host.inbox.append(event)
            return
        for effect in reduce(host.state, event):
            self._apply_effect(host, effect)

    def _apply_effect(self, host: Host, effect: Effect) -> None:
        if isinstance(effect, StartTimer):
            host.timers[(effect.timer, effect.key)] = self.now + effect.delay
        elif isinstance(effect, StopTimer):
            host.timers.pop((effect.timer, effect.key), None)
        elif isinstance(effect, TailLog):
            host.tails[effect.stream] = effect.offset
        elif isinstance(effect, StopTail):
            host.tails.pop(effect.stream, None)
        elif isinstance(effect, FetchHostList):
            self.post(host, HostsListed(at=self.now, entries=self.entries()))
        elif isinstance(effect, CallerEffect):
            self.caller_effects.append((host, effect))
        elif isinstance(effect, self.network_effects):
            if self.on_sent:
                self.on_sent(host, effect)
            self.in_flight.append(InFlightItem(host=host, effect=effect))

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` and fire the timers that expire, in order of time."""
        until = self.now + seconds
        while True:
            due = [
                when
                for host in self.running()
                if not host.paused
                for when in host.timers.values()
                if when <= until
            ]
            if not due:
                break
            self.now = max(self.now, min(due))
            for host in self.running():
                self._fire_due_timers(host)
        self.now = until

    def tick(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` and fire each timer that has expired, at most once."""
        self.now += seconds
        for host in self.running():
            self._fire_due_timers(host)

    def _fire_due_timers(self, host: Host) -> None:
        due = sorted(key for key, when in host.timers.items() if when <= self.now)
        for timer, key in due:
            if not host.paused and host.timers.pop((timer, key), None) is not None:
                self.post(host, TimerFired(at=self.now, timer=timer, key=key))
