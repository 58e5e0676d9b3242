"""Simulated world: a virtual clock, entry hosts, engines and the network between them."""

import heapq
import random
import typing

import msgspec

from .. import _effects, _events, _handlers  # noqa: F401 - registers the handlers
from .._effects import Effect
from .._errors import Failure
from .._events import Event
from .._reducer import reduce
from .._settings import Platform, Settings
from .._state import State
from .._verdict import Verdict
from .._wire import Configuration, HostEntry, LogRecord, Owner
from .engine_calls import EngineCalls
from .engine_model import Engine
from .host import Host
from .workload import Ask, Deployment

SAME_ZONE_DELAY_S = 0.0003  # Network delay within a zone, one way.
CROSS_ZONE_DELAY_S = 0.003  # Mean network delay between zones, one way.
CROSS_ZONE_LOSS = 0.005  # Share of messages between zones that are lost and sent again, 0 to 1.
RESEND_DELAY_S = 0.2  # Additional delay of a message that is lost and sent again.
REPORT_DELAY_S = 0.15  # Age of an engine's report on arrival.
HOST_LIST_DELAY_S = 1.0  # Age of the host list on arrival.
START_UNIX_S = 1_700_000_000.0  # Wall-clock time when the virtual clock is 0.
REFUSAL_DELAY_S = 0.001  # Time after which a call to a dead process fails.


class World(EngineCalls):
    """Hosts, engines and network on one virtual clock.

    Args:
        deployment: Zones, engines and customers.
        hosts: Number of entry hosts.
        seed: Seed of all randomness.
        configure: Called with the state of each host before it boots.
        callers: Notified of prefills, refusals, outputs and complete answers.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        hosts: int,
        seed: int,
        configure: typing.Callable[[State], None],
        callers: "CallerCallbacks",
    ) -> None:
        self.deployment = deployment
        self.rng = random.Random(f"world {seed}")
        self.configure = configure
        self.callers = callers
        self.now = 0.0
        self.report_lag = REPORT_DELAY_S
        self.cut_zone = ""
        self.asks: dict[str, Ask] = {}
        self.engines: dict[str, Engine] = {}
        self.hosts: dict[str, Host] = {}
        self.events = 0
        self.messages = 0
        self._actions: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._action_order = 0
        self._dropped_streams: set[tuple[str, str]] = set()
        self._handle_expiry: dict[str, float] = {}
        self._configuration = self._encode_configuration()
        for name, zone, traits in deployment.engines():
            self.engines[name] = Engine(name=name, zone=zone, traits=traits, clock=self)
        for number in range(hosts):
            zone = deployment.zones[number % len(deployment.zones)]
            self.boot(f"entry-{number + 1}", zone, 1)

    # --- Clock -----------------------------------------------------------------------------------

    def after(self, delay: float, action: typing.Callable[[], None]) -> None:
        """Run an action after some seconds, or never if the delay is infinite."""
        if delay == float("inf"):
            return
        self._action_order += 1
        heapq.heappush(self._actions, (self.now + delay, self._action_order, action))

    def run(self, until: float) -> None:
        """Run all actions that are due up to a time of the virtual clock."""
        while self._actions and self._actions[0][0] <= until:
            self.now, _, action = heapq.heappop(self._actions)
            action()
        self.now = until

    # --- Hosts -----------------------------------------------------------------------------------

    def boot(self, name: str, zone: str, incarnation: int) -> None:
        """Start a host with empty state, also after a crash."""
        cfg = Settings(host=name, zone=zone, region="bench", platform=Platform(log="", hosts=""))
        state = State(cfg)
        self.configure(state)
        host = Host(name=name, zone=zone, state=state, incarnation=incarnation)
        self.hosts[name] = host
        boot_event = _events.Booted(
            at=self.now,
            owner=Owner(host=name, incarnation=str(incarnation)),
            zone=zone,
            wall=START_UNIX_S + self.now,
            seed=self.rng.getrandbits(32),
        )
        self.deliver(host, boot_event)

    def deliver(self, host: Host, event: Event) -> None:
        """Pass an event to a host's reducer and perform the effects, unless the host is dead."""
        if not host.alive:
            return
        event.at = self.now
        self.events += 1
        for effect in reduce(host.state, event):
            performer = _PERFORMERS.get(type(effect))
            if performer:
                performer(self, host, effect)

    def send(self, host: Host, delay: float, event: Event) -> None:
        """Deliver an event to a host after some seconds."""
        self.after(delay, lambda: self.deliver(host, event))

    def _send_host_list(self, host: Host) -> None:
        entries = [
            HostEntry(name=one.name, kind="entry", zone=one.zone, address=f"http://{one.name}")
            for one in self.hosts.values()
            if one.alive
        ]
        entries += [
            HostEntry(
                name=one.name,
                kind="engine",
                zone=one.zone,
                address=f"http://{one.name}",
                service=self.deployment.model,
            )
            for one in self.engines.values()
            if one.alive
        ]
        self.send(host, HOST_LIST_DELAY_S, _events.HostsListed(at=0.0, entries=tuple(entries)))

    # --- Network ---------------------------------------------------------------------------------

    def network_delay(self, source: str, target: str) -> float:
        """Return the delay of one message between two zones, in seconds."""
        if source == target:
            return SAME_ZONE_DELAY_S
        seconds = CROSS_ZONE_DELAY_S * (0.7 + 0.6 * self.rng.random())
        return seconds + RESEND_DELAY_S if self.rng.random() < CROSS_ZONE_LOSS else seconds

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether two zones can't reach each other."""
        return source != target and self.cut_zone in (source, target)

    def send_peer(self, host: Host, effect: _effects.SendPeer) -> None:
        """Send a message to another host."""
        self.messages += 1
        peer = self.hosts.get(effect.host)
        if peer is None or self.is_cut(host.zone, peer.zone) or not peer.alive:
            is_dead = peer is not None and not peer.alive
            failure_event = _events.PeerFailed(
                at=0.0,
                host=effect.host,
                message=effect.message,
                verdict=Verdict.NOT_RUN if is_dead else Verdict.MAY_HAVE_RUN,
            )
            failure_delay = REFUSAL_DELAY_S if is_dead else host.state.cfg.timing.peer
            self.send(host, failure_delay, failure_event)
            return
        message = _events.PeerMessage(
            at=0.0, sender=host.state.owner, zone=host.zone, message=effect.message
        )
        self.send(peer, self.network_delay(host.zone, peer.zone), message)

    # --- Timers and platform ---------------------------------------------------------------------

    def start_timer(self, host: Host, effect: _effects.StartTimer) -> None:
        """Start a timer of a host, in place of a running timer with the same name and key."""
        key = (effect.timer, effect.key)
        version = self._action_order
        host.timers[key] = version

        def fire() -> None:
            if host.timers.get(key) == version:
                del host.timers[key]
                timer_event = _events.TimerFired(at=0.0, timer=effect.timer, key=effect.key)
                self.deliver(host, timer_event)

        self.after(effect.delay, fire)

    def stop_timer(self, host: Host, effect: _effects.StopTimer) -> None:
        """Stop a timer of a host."""
        host.timers.pop((effect.timer, effect.key), None)

    def _encode_configuration(self) -> str:
        plans, allowances = self.deployment.configuration_texts()
        record = Configuration(
            version=1, replaces=0, author="bench", plans=plans, allowances=allowances
        )
        return msgspec.json.encode(record).decode()

    def tail_log(self, host: Host, effect: _effects.TailLog) -> None:
        """Answer a read of the log: one configuration record, and none in other streams."""
        record = LogRecord(offset=0, time=START_UNIX_S, data=self._configuration)
        records = (record,) if effect.stream == "configuration" else ()
        event = _events.LogRead(
            at=0.0,
            stream=effect.stream,
            tag="",
            records=records,
            next=len(records),
            first=0,
            end=len(records),
        )
        self.send(host, SAME_ZONE_DELAY_S, event)

    def fetch_host_list(self, host: Host, effect: Effect) -> None:
        """Read the host list, which reaches the host after `HOST_LIST_DELAY_S`."""
        self.after(0.0, lambda: self._send_host_list(host))

    # --- Callers ---------------------------------------------------------------------------------

    def refuse_call(self, host: Host, effect: _effects.RefuseCall) -> None:
        """Tell a caller that its call was refused."""
        self.callers.refused(effect.call_id, effect.failure, self.now)

    def finish_stream(self, host: Host, effect: _effects.FinishStream) -> None:
        """Tell a caller that its answer is complete."""
        self.callers.finished(effect.call_id, self.now)
        event = _events.CallAnswered(at=0.0, call_id=effect.call_id, request_id=effect.request_id)
        self.send(host, SAME_ZONE_DELAY_S, event)

    # --- Faults ----------------------------------------------------------------------------------

    def crash_engine(self, name: str) -> None:
        """End an engine's process, which fails all its attempts."""
        engine = self.engines[name]
        hooks = self.callers.engine_crash_hooks.pop(name, {})
        engine.crash()
        for hook in hooks.values():
            hook()

    def crash_host(self, name: str) -> None:
        """End a host's process without notice."""
        self.hosts[name].alive = False


class CallerCallbacks(typing.Protocol):
    """Callbacks of the callers, and the state that engine calls keep for each attempt.

    ``stream_hosts`` maps each attempt to the host that relays its stream. ``engine_crash_hooks``
    has, for each engine and attempt, the function to call if the engine crashes.
    """

    stream_hosts: dict[str, Host]
    engine_crash_hooks: dict[str, dict[str, typing.Callable[[], None]]]

    def prefilled(self, ask: Ask, attempt_id: str, tokens: int, at: float) -> None:
        """Record tokens that an attempt has prefilled."""

    def output(self, request_id: str, attempt_id: str, at: float) -> None:
        """Record that an attempt's output reached its host."""

    def refused(self, call_id: str, failure: Failure, at: float) -> None:
        """Handle a refused call."""

    def finished(self, call_id: str, at: float) -> None:
        """Record that a call has its complete answer."""


_PERFORMERS: dict[type[Effect], typing.Callable[[World, Host, typing.Any], None]] = {
    _effects.StartTimer: World.start_timer,
    _effects.StopTimer: World.stop_timer,
    _effects.TailLog: World.tail_log,
    _effects.FetchHostList: World.fetch_host_list,
    _effects.SendPeer: World.send_peer,
    _effects.StartPrefill: World.start_prefill,
    _effects.StartDecode: World.start_decode,
    _effects.ResumeStream: World.resume_stream,
    _effects.DropStream: World.drop_stream,
    _effects.CancelAttempt: World.cancel_attempt,
    _effects.FetchReport: World.fetch_report,
    _effects.FetchCacheEvents: World.fetch_cache_events,
    _effects.RefuseCall: World.refuse_call,
    _effects.FinishStream: World.finish_stream,
}
