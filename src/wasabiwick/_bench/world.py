"""Virtual clock, hosts and the carrying out of their effects against the engine models."""

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

SAME_ZONE = 0.0003  # Seconds one way.
CROSS_ZONE = 0.003
CROSS_LOSS = 0.005  # Share of messages between zones that are sent again.
RESEND = 0.2  # Seconds.
REPORT_LAG = 0.15  # Seconds by which an engine's report is old.
LIST_LAG = 1.0  # Seconds until the host list shows a change.
WALL = 1_700_000_000.0  # Unix time at the start.
REFUSED_CONNECTION = 0.001  # Seconds until a call to a dead process fails.


class World(EngineCalls):
    """Hosts, engines and network on one virtual clock.

    Args:
        deployment: Places, engines and customers.
        hosts: Number of entry hosts.
        seed: Seed of all randomness.
        configure: Called with the state of each host before it boots.
        answers: Receives what callers see.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        hosts: int,
        seed: int,
        configure: typing.Callable[[State], None],
        answers: "Answers",
    ) -> None:
        self.deployment = deployment
        self.rng = random.Random(f"world {seed}")
        self.configure = configure
        self.answers = answers
        self.now = 0.0
        self.report_lag = REPORT_LAG
        self.cut_zone = ""
        self.asks: dict[str, Ask] = {}
        self.engines: dict[str, Engine] = {}
        self.hosts: dict[str, Host] = {}
        self.events = 0
        self.messages = 0
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = 0
        self._dropped: set[tuple[str, str]] = set()
        self._handles: dict[str, float] = {}
        self._configuration = self._encode_lists()
        for name, zone, traits in deployment.engines():
            self.engines[name] = Engine(name=name, zone=zone, traits=traits, clock=self)
        for number in range(hosts):
            zone = deployment.zones[number % len(deployment.zones)]
            self.boot(f"entry-{number + 1}", zone, 1)

    # --- Clock -----------------------------------------------------------------------------------

    def after(self, delay: float, action: typing.Callable[[], None]) -> None:
        """Run an action after some seconds."""
        if delay == float("inf"):
            return
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, action))

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until

    # --- Hosts -----------------------------------------------------------------------------------

    def boot(self, name: str, zone: str, incarnation: int) -> None:
        """Start a host, or start it again with nothing kept."""
        cfg = Settings(host=name, zone=zone, region="bench", platform=Platform(log="", hosts=""))
        state = State(cfg)
        self.configure(state)
        host = Host(name=name, zone=zone, state=state, incarnation=incarnation)
        self.hosts[name] = host
        booted = _events.Booted(
            at=self.now,
            owner=Owner(host=name, incarnation=str(incarnation)),
            zone=zone,
            wall=WALL + self.now,
            seed=self.rng.getrandbits(32),
        )
        self.deliver(host, booted)

    def deliver(self, host: Host, event: Event) -> None:
        """Give an event to a host's reducer and carry out the effects."""
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

    def _list_hosts(self, host: Host) -> None:
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
        self.send(host, LIST_LAG, _events.HostsListed(at=0.0, entries=tuple(entries)))

    # --- Network ---------------------------------------------------------------------------------

    def delay(self, one: str, other: str) -> float:
        """Return the delay of one message between two zones, in seconds."""
        if one == other:
            return SAME_ZONE
        seconds = CROSS_ZONE * (0.7 + 0.6 * self.rng.random())
        return seconds + RESEND if self.rng.random() < CROSS_LOSS else seconds

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two zones can't reach each other."""
        return one != other and self.cut_zone in (one, other)

    def send_peer(self, host: Host, effect: _effects.SendPeer) -> None:
        """Carry a message to another host."""
        self.messages += 1
        peer = self.hosts.get(effect.host)
        if peer is None or self.is_cut(host.zone, peer.zone) or not peer.alive:
            dead = peer is not None and not peer.alive
            failed = _events.PeerFailed(
                at=0.0,
                host=effect.host,
                message=effect.message,
                verdict=Verdict.NOT_RUN if dead else Verdict.MAY_HAVE_RUN,
            )
            wait = REFUSED_CONNECTION if dead else host.state.cfg.timing.peer
            self.send(host, wait, failed)
            return
        message = _events.PeerMessage(
            at=0.0, sender=host.state.owner, zone=host.zone, message=effect.message
        )
        self.send(peer, self.delay(host.zone, peer.zone), message)

    # --- Timers and platform ---------------------------------------------------------------------

    def start_timer(self, host: Host, effect: _effects.StartTimer) -> None:
        """Run a timer of a host."""
        key = (effect.timer, effect.key)
        version = self._order
        host.timers[key] = version

        def fire() -> None:
            if host.timers.get(key) == version:
                del host.timers[key]
                fired = _events.TimerFired(at=0.0, timer=effect.timer, key=effect.key)
                self.deliver(host, fired)

        self.after(effect.delay, fire)

    def stop_timer(self, host: Host, effect: _effects.StopTimer) -> None:
        """Forget a timer of a host."""
        host.timers.pop((effect.timer, effect.key), None)

    def _encode_lists(self) -> str:
        plans, allowances = self.deployment.lists()
        record = Configuration(
            version=1, replaces=0, author="bench", plans=plans, allowances=allowances
        )
        return msgspec.json.encode(record).decode()

    def tail_log(self, host: Host, effect: _effects.TailLog) -> None:
        """Give a host the configuration, which does not change; other streams stay empty."""
        record = LogRecord(offset=0, time=WALL, data=self._configuration)
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
        self.send(host, SAME_ZONE, event)

    def fetch_host_list(self, host: Host, effect: Effect) -> None:
        """Read the lagging host list."""
        self.after(0.0, lambda: self._list_hosts(host))

    # --- Callers ----------------------------------------------------------------------------------

    def refuse_call(self, host: Host, effect: _effects.RefuseCall) -> None:
        """Tell a caller that its call was refused."""
        self.answers.refused(effect.call_id, effect.failure, self.now)

    def finish_stream(self, host: Host, effect: _effects.FinishStream) -> None:
        """Tell a caller that it has its whole answer."""
        self.answers.finished(effect.call_id, self.now)
        event = _events.CallAnswered(at=0.0, call_id=effect.call_id, request_id=effect.request_id)
        self.send(host, SAME_ZONE, event)

    # --- Faults ----------------------------------------------------------------------------------

    def lose_engine(self, name: str) -> None:
        """End an engine's process: its streams break."""
        engine = self.engines[name]
        hooks = self.answers.engine_lost_hooks.pop(name, {})
        engine.stop()
        for hook in hooks.values():
            hook()

    def lose_host(self, name: str) -> None:
        """End a host's process without notice."""
        self.hosts[name].alive = False


class Answers(typing.Protocol):
    """What the world tells its callers."""

    attached: dict[str, Host]
    engine_lost_hooks: dict[str, dict[str, typing.Callable[[], None]]]

    def prefilled(self, ask: Ask, attempt_id: str, tokens: int, at: float) -> None:
        """Note tokens that were prefilled."""

    def output(self, request_id: str, attempt_id: str, at: float) -> None:
        """Note an attempt's output at its host."""

    def refused(self, call_id: str, failure: Failure, at: float) -> None:
        """Note a refused call."""

    def finished(self, call_id: str, at: float) -> None:
        """Note a whole answer."""


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
