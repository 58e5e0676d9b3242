"""Measures the log traffic and latency of at-most-once service calls, on simulated hosts."""

import json
import time

from .._effects import AnswerCall
from .._events import Call, CallArrived, HostsListed, LogRead, PeerMessage
from .._handlers.once_shard import STREAM_PREFIX
from .._lists import ServiceTraits
from .._wire import Configuration, HostEntry, Intent, KeyAsk, Outcome, Owner
from ._fleet import INITIAL_UNIX_TIME_S, Fleet
from ._network import Fate, Network
from ._service import FakeService

SERVICE = "plain"
KEY_HASH = "hash"
TICK_S = 0.005  # Simulated one-way delay of a message between two hosts.
WARM_UP_S = 2.0  # Calls are sent for this long before the measurement starts.
MEASUREMENT_S = 5.0
DRAIN_S = 3.0  # Time after the measurement in which its last calls may still be answered.
REBUILD_RECORDS = 20_000  # Log records that a new coordinator reads to rebuild a shard's state.


class LogCost:
    """Log traffic and call latency measured in one run.

    ``effects``, ``appends``, ``records`` and ``bytes_read`` are rates per second. ``effects`` is
    the rate of calls; ``bytes_read`` is that of the host that reads most from the log. ``median``
    and ``p95`` are latencies in seconds. ``unanswered`` is the number of calls without an answer.
    """

    __slots__ = (
        "hosts",
        "effects",
        "appends",
        "records",
        "bytes_read",
        "median",
        "p95",
        "unanswered",
    )

    def __init__(self, *, hosts: int, effects: float) -> None:
        self.hosts = hosts
        self.effects = effects
        self.appends = 0.0
        self.records = 0.0
        self.bytes_read = 0.0
        self.median = 0.0
        self.p95 = 0.0
        self.unanswered = 0


class Run:
    """Sends calls at a steady rate to a fleet of simulated hosts.

    Args:
        hosts: Number of entry hosts.
        zones: Number of availability zones.
        effects: Calls per second, each with its own idempotency key.
    """

    def __init__(self, *, hosts: int, zones: int, effects: float) -> None:
        names = {f"host-{i}": f"zone-{i % zones}" for i in range(hosts)}
        endpoint = HostEntry(
            name="plain-1", kind="service", zone="zone-0", address="x", service=SERVICE
        )
        self.fleet = Fleet(names, [endpoint])
        service = FakeService(ServiceTraits(name=SERVICE))
        self.network = Network(self.fleet, {SERVICE: service})
        self.effects = effects
        self.names = sorted(names)
        self.called: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.fleet.log.append("configuration", (_configuration(),), INITIAL_UNIX_TIME_S)
        for name in names:
            self.fleet.boot(name)
        entries = self.fleet.entries()
        for host in self.fleet.running():
            self.fleet.post(host, HostsListed(at=self.fleet.now, entries=entries))

    def measure(self) -> LogCost:
        """Send calls, and return the log traffic and latency of the measured period."""
        self._run_for(WARM_UP_S)
        appends, records, read = self._appends(), self._records(), dict(self.network.bytes_read)
        first = len(self.called)
        self._run_for(MEASUREMENT_S)
        cost = LogCost(hosts=len(self.names), effects=self.effects)
        cost.appends = (self._appends() - appends) / MEASUREMENT_S
        cost.records = (self._records() - records) / MEASUREMENT_S
        cost.bytes_read = self._max_bytes_read(read) / MEASUREMENT_S
        measured = list(self.called)[first:]
        self._run_for(DRAIN_S, calls=False)
        self._latencies(cost, measured)
        return cost

    def _run_for(self, seconds: float, *, calls: bool = True) -> None:
        calls_due = 0.0
        for _ in range(int(seconds / TICK_S)):
            calls_due += self.effects * TICK_S if calls else 0.0
            while calls_due >= 1.0:
                calls_due -= 1.0
                self._call()
            self._deliver_hop()

    def _deliver_hop(self) -> None:
        """Deliver all messages in flight; the messages that they cause wait for the next hop."""
        self.fleet.tick(TICK_S)
        for _ in range(len(self.fleet.in_flight)):
            self.network.complete_effect(0, Fate.DELIVERED)
        self.network.read_tails()
        for _, effect in self.fleet.caller_effects:
            if isinstance(effect, AnswerCall):
                self.answered[effect.call_id] = self.fleet.now
        self.fleet.caller_effects.clear()

    def _call(self) -> None:
        index = len(self.called)
        key = f"018f0000-0000-7000-8000-{index:012d}"
        call = Call(
            call_id=key,
            request_id=key,
            has_key=True,
            key_hash=KEY_HASH,
            kind="service",
            target=SERVICE,
            path="/sign-up",
            digest=f"{index:032x}",
            born=INITIAL_UNIX_TIME_S,
            deadline=self.fleet.now + 30.0,
        )
        self.called[key] = self.fleet.now
        host = self.fleet.hosts[self.names[index % len(self.names)]]
        self.fleet.post(host, CallArrived(at=self.fleet.now, call=call))

    def _appends(self) -> int:
        counts = self.fleet.log.appends.items()
        return sum(count for stream, count in counts if stream.startswith(STREAM_PREFIX))

    def _records(self) -> int:
        streams = self.fleet.log.streams.items()
        return sum(len(one) for stream, one in streams if stream.startswith(STREAM_PREFIX))

    def _max_bytes_read(self, before: dict[tuple[str, str], int]) -> int:
        by_host: dict[str, int] = {}
        for (host, stream), size in self.network.bytes_read.items():
            if stream.startswith(STREAM_PREFIX):
                by_host[host] = by_host.get(host, 0) + size - before.get((host, stream), 0)
        return max(by_host.values(), default=0)

    def _latencies(self, cost: LogCost, measured: list[str]) -> None:
        waits = sorted(
            self.answered[key] - self.called[key] for key in measured if key in self.answered
        )
        cost.unanswered = len(measured) - len(waits)
        if waits:
            cost.median = waits[len(waits) // 2]
            cost.p95 = waits[int(len(waits) * 0.95)]


def rebuild_seconds(records: int = REBUILD_RECORDS) -> float:
    """Return the CPU time, in seconds, in which a new coordinator rebuilds a shard's state.

    Args:
        records: Number of log records that the coordinator reads.
    """
    fleet = Fleet({"host-0": "zone-0"}, [])
    fleet.boot("host-0")
    host = fleet.hosts["host-0"]
    owner = Owner(host="host-1", incarnation="1")
    for index in range(records // 2):
        key = f"customer/018f0000-0000-7000-8000-{index:012d}"
        intent = Intent(
            key=key, attempt_id=key, owner=owner, after=-1, service=SERVICE, born=fleet.wall
        )
        outcome = Outcome(key=key, attempt_id=key, status=200, body='{"done":true}')
        fleet.log.append(f"{STREAM_PREFIX}0", (intent, outcome), fleet.wall)
    _make_coordinator(fleet)
    read = LogRead(
        at=fleet.now,
        stream=f"{STREAM_PREFIX}0",
        tag="",
        records=fleet.log.read(f"{STREAM_PREFIX}0", 0),
        next=records,
        first=0,
        end=records,
    )
    start = time.process_time()
    fleet.post(host, read)
    return time.process_time() - start


def _make_coordinator(fleet: Fleet) -> None:
    host = fleet.hosts["host-0"]
    asked = KeyAsk(shard=0, key="x", owner=host.owner)
    fleet.post(host, PeerMessage(at=fleet.now, sender=host.owner, zone=host.zone, message=asked))


def _configuration() -> Configuration:
    plan = {"services": [SERVICE], "rate": 1e6, "burst": 1e6, "concurrency": 1_000_000}
    allowances = {"plans": {"basic": plan}, "services": {SERVICE: {}}}
    return Configuration(
        version=1,
        replaces=0,
        author="test",
        plans=json.dumps({"customer": {"plan": "basic", "keys": [KEY_HASH]}}),
        allowances=json.dumps(allowances),
    )
