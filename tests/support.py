"""Simulated cluster of hosts on a virtual clock, for tests of how hosts work together."""

import hashlib
import heapq
import itertools

import msgspec

from wasabiwick import _effects, _events, _handlers, _reducer, _settings, _state, _wire
from wasabiwick._verdict import Verdict

API_KEY = "secret"
KEY_HASH = hashlib.sha256(API_KEY.encode()).hexdigest()
MODEL = "lectio-lm"
SERVICE = "signup-app"
ZONE = "tx-central-a"
LATENCY = 0.002  # Seconds until a message or an answer arrives.
EPOCH = 1_800_000_000.0  # Unix time at virtual time 0.

assert _handlers  # Imported to register the handlers.


def make_settings(host: str = "a", zone: str = ZONE) -> _settings.Settings:
    """Return settings of a host with the default timing."""
    return _settings.Settings(
        host=host,
        zone=zone,
        region="tx-central",
        platform=_settings.Platform(log="http://127.0.0.1:1", hosts="http://127.0.0.1:1"),
    )


def configuration(version: int = 1) -> _wire.Configuration:
    """Return a configuration record with one customer, one model and one service."""
    plans = {"lonestar": {"plan": "study", "keys": [KEY_HASH]}}
    allowances = {
        "plans": {"study": {"models": [MODEL], "services": [SERVICE], "may_wait": True}},
        "services": {SERVICE: {"idempotent": ["GET /*"]}},
        "models": {MODEL: {}},
    }
    return _wire.Configuration(
        version=version,
        replaces=version - 1,
        author="operator",
        plans=msgspec.json.encode(plans).decode(),
        allowances=msgspec.json.encode(allowances).decode(),
    )


class FakeEngine:
    """Records the calls that it gets; the test feeds the events of its streams."""

    def __init__(self, name: str, *, slots: int = 24) -> None:
        self.name = name
        self.slots = slots
        self.held: dict[str, str] = {}  # Owner of each attempt that has a slot, by attempt id.
        self.prefills: list[str] = []
        self.cancels: list[str] = []
        self.confirms_cancels = True
        self.sequence = 0

    def report(self) -> _wire.EngineReport:
        """Return the engine's next load report."""
        self.sequence += 1
        streams = tuple(
            _wire.StreamReport(
                request_id="", attempt_id=attempt, owner=owner, phase="decode", offset=0
            )
            for attempt, owner in self.held.items()
        )
        return _wire.EngineReport(
            engine=self.name,
            sequence=self.sequence,
            slots=self.slots,
            used=len(self.held),
            prefill_rate=10_000.0,
            link_rate=1e9,
            decode_interval=0.02,
            kv_bytes_per_token=1_000,
            models=(MODEL,),
            streams=streams,
        )


class SimulatedCluster:
    """Simulated hosts and engines on a virtual clock.

    ``effects`` collects the effects of each host. Prefills, reports and cancels are answered after
    `LATENCY`, prefills only while ``answer_prefills`` is true. ``zones`` gives the zones of hosts
    that are not in `ZONE`. For each class in ``lost``, one message of that class is lost.
    """

    def __init__(self, *names: str, engines: int = 2, zones: dict[str, str] | None = None) -> None:
        self.zones = zones or {}
        self.lost: list[type] = []
        self.now = 100.0
        self.answer_prefills = True
        self.engines = {f"e{i}": FakeEngine(f"e{i}") for i in range(engines)}
        self.states: dict[str, _state.State] = {}
        self.effects: dict[str, list[_effects.Effect]] = {}
        self.down: set[str] = set()
        self.frozen: dict[str, list[_events.Event]] = {}  # Events that wait for suspended hosts.
        self.timers: dict[tuple[str, str, str], int] = {}
        self._order = itertools.count()
        self._queue: list[tuple[float, int, str, _events.Event, tuple | None]] = []
        for name in names:
            self.boot(name)
        self.list_hosts()
        self.publish(configuration())
        self.run(2.0)
        for name in names:
            self.effects[name].clear()

    def boot(self, name: str, incarnation: str = "1") -> None:
        """Start a host's process."""
        self.states[name] = _state.State(make_settings(name, self.zone_of(name)))
        self.effects[name] = []
        owner = _wire.Owner(host=name, incarnation=incarnation)
        wall = EPOCH + self.now
        zone = self.zone_of(name)
        self.feed(name, _events.Booted(at=self.now, owner=owner, zone=zone, wall=wall, seed=7))

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a host."""
        return self.zones.get(name, ZONE)

    def kill(self, name: str) -> None:
        """Kill a host's process."""
        self.down.add(name)

    def freeze(self, name: str) -> None:
        """Suspend a host's process; its timers wait, and messages to it fail at their senders."""
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """Resume a suspended process and feed it the events that waited for it."""
        for event in self.frozen.pop(name):
            self.feed(name, event)

    def list_hosts(self) -> None:
        """Feed the host list to every host."""
        entries = [
            _wire.HostEntry(name=n, kind="entry", zone=self.zone_of(n), address=f"http://{n}")
            for n in self.states
        ]
        entries += [
            _wire.HostEntry(name=n, kind="engine", zone=ZONE, address=f"http://{n}", service=MODEL)
            for n in self.engines
        ]
        entries.append(
            _wire.HostEntry(
                name="s0", kind="service", zone=ZONE, address="http://s0", service=SERVICE
            )
        )
        self.entries = tuple(entries)
        for name in self.states:
            self.feed(name, _events.HostsListed(at=self.now, entries=self.entries))

    def publish(self, record: _wire.Configuration) -> None:
        """Feed a configuration record to every host, as read from the log."""
        data = msgspec.json.encode(record).decode()
        offset = record.version - 1
        one = _wire.LogRecord(offset=offset, time=EPOCH + self.now, data=data)
        for name in self.states:
            event = _events.LogRead(
                at=self.now,
                stream="configuration",
                tag="",
                records=(one,),
                next=offset + 1,
                first=0,
                end=offset + 1,
            )
            self.feed(name, event)

    def feed(self, name: str, event: _events.Event) -> list[_effects.Effect]:
        """Reduce an event at a host and carry out the effects that are simulated."""
        if name in self.down:
            return []
        if name in self.frozen:
            self.frozen[name].append(event)
            return []
        event.at = self.now
        effects = _reducer.reduce(self.states[name], event)
        self.effects[name].extend(effects)
        for effect in effects:
            self._perform(name, effect)
        return effects

    def run(self, seconds: float) -> None:
        """Advance the virtual clock and feed the events that are due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, order, name, event, timer = heapq.heappop(self._queue)
            if timer is not None and self.timers.get(timer) != order:
                continue
            self.now = max(self.now, at)
            self.feed(name, event)
        self.now = end

    def later(
        self, delay: float, name: str, event: _events.Event, timer: tuple | None = None
    ) -> None:
        """Feed an event to a host after a delay in seconds."""
        order = next(self._order)
        if timer is not None:
            self.timers[timer] = order
        heapq.heappush(self._queue, (self.now + delay, order, name, event, timer))

    def effects_of(self, name: str, kind: type) -> list:
        """Return a host's effects of one class so far."""
        return [effect for effect in self.effects[name] if isinstance(effect, kind)]

    def _perform(self, name: str, effect: _effects.Effect) -> None:
        match effect:
            case _effects.StartTimer():
                event = _events.TimerFired(at=0, timer=effect.timer, key=effect.key)
                self.later(effect.delay, name, event, (name, effect.timer, effect.key))
            case _effects.StopTimer():
                self.timers.pop((name, effect.timer, effect.key), None)
            case _effects.SendPeer():
                self._send(name, effect)
            case _effects.FetchHostList():
                if hasattr(self, "entries"):
                    event = _events.HostsListed(at=0, entries=self.entries)
                    self.later(LATENCY, name, event)
            case _effects.FetchReport() if effect.endpoint in self.engines:
                report = self.engines[effect.endpoint].report()
                self.later(LATENCY, name, _events.EngineReported(at=0, report=report))
            case _effects.StartPrefill():
                self._prefill(name, effect)
            case _effects.CancelAttempt():
                self._cancel(name, effect)

    def _send(self, name: str, effect: _effects.SendPeer) -> None:
        lost = type(effect.message) in self.lost
        if lost:
            self.lost.remove(type(effect.message))
        if lost or effect.host in self.down or effect.host not in self.states:
            event = _events.PeerFailed(
                at=0, host=effect.host, message=effect.message, verdict=Verdict.NOT_RUN
            )
            self.later(LATENCY, name, event)
            return
        if effect.host in self.frozen:
            event = _events.PeerFailed(
                at=0, host=effect.host, message=effect.message, verdict=Verdict.MAY_HAVE_RUN
            )
            self.later(self.states[name].cfg.timing.peer, name, event)
            return
        event = _events.PeerMessage(
            at=0, sender=self.states[name].owner, zone=self.zone_of(name), message=effect.message
        )
        self.later(LATENCY, effect.host, event)

    def _prefill(self, name: str, effect: _effects.StartPrefill) -> None:
        self.engines[effect.endpoint].prefills.append(effect.request_id)
        if self.answer_prefills:
            self.later(LATENCY, name, prefill_done(effect))

    def _cancel(self, name: str, effect: _effects.CancelAttempt) -> None:
        engine = self.engines[effect.endpoint]
        engine.cancels.append(effect.attempt_id)
        if engine.confirms_cancels:
            engine.held.pop(effect.attempt_id, None)
        event = _events.CancelAnswered.about(
            effect,
            at=0,
            gone=engine.confirms_cancels,
        )
        self.later(LATENCY, name, event)


def prefill_done(effect: _effects.StartPrefill) -> _events.PrefillDone:
    """Return the event that a prefill has ended."""
    return _events.PrefillDone.about(
        effect,
        at=0,
        handle="kv",
        expires_in=0.8,
        prompt_tokens=100,
        cached_tokens=0,
        seconds=0.01,
    )


def make_call(call_id: str, key: str = "k1", **fields: object) -> _events.Call:
    """Return a call, without an Idempotency-Key if ``key`` is empty."""
    defaults = {
        "call_id": call_id,
        "request_id": f"lonestar:{key}" if key else call_id,
        "has_key": bool(key),
        "key_hash": KEY_HASH,
        "kind": "generate",
        "target": MODEL,
        "deadline": 1e9,
        "digest": "d",
        "prompt_tokens": 100,
        "max_tokens": 50,
    }
    return _events.Call(**{**defaults, **fields})
