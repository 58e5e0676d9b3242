"""Probes of the state that every host keeps: configuration, membership, host list and leases."""

import msgspec
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat

from .. import _configuration
from .._configuration import History
from .._effects import SendPeer, StartTimer
from .._events import HostsListed, PeerMessage, TimerFired
from .._handlers import leases
from .._reducer import reduce
from .._wire import HostEntry, LeaseClaim, LogPage, LogRecord, Owner
from . import fleet, letter
from .fit import REPEATS, Line, cpu_seconds, kept_bytes
from .probe import probe

SIGNING_KEY = ed25519.Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
KEY_ID = "operator-1"
PUBLIC_KEY_HEX = SIGNING_KEY.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw).hex()
CUSTOMER_COUNTS = (300, 900, 1_800, 2_700, 3_600)
ZONE_HOST_COUNTS = (8, 16, 24, 44)
HOST_LIST_LENGTHS = (200, 500, 900, 1_350)
CHANGE_COUNT = 50
HEARTBEAT_RUN_S = 20.0
# Time simulated after a host's death; longer than other hosts take to detect a death by the missing
# heartbeats.
AFTER_DEATH_S = 4.5
MODEL_COUNTS = (16, 32, 64, 128)
CLAIM_COUNTS = (200, 400, 800, 1_600)


def _signed_records(customers: int) -> tuple[str, list[str]]:
    """Return a signed full record, and signed partial records that change one customer each."""
    content = _configuration.content_of(fleet.configuration_entries(customers))
    full_record = _configuration.make_record(
        version=1,
        replaces=0,
        author="operator",
        old=_configuration.Content(),
        new=content,
        partial=False,
    )
    partial_records = []
    for number in range(CHANGE_COUNT):
        name = f"customer-{number:05d}"
        fields = {"plan": f"plan-{(number + 1) % 10}", "keys": [f"{number + 10**9:064x}"]}
        changed_content = content.with_changes({"customers": {name: fields}}, ())
        record = _configuration.make_record(
            version=number + 2,
            replaces=number + 1,
            author="operator",
            old=content,
            new=changed_content,
            partial=True,
        )
        partial_records.append(_json_text(_configuration.sign(record, KEY_ID, SIGNING_KEY)))
        content = changed_content
    return _json_text(_configuration.sign(full_record, KEY_ID, SIGNING_KEY)), partial_records


def _json_text(record: msgspec.Struct) -> str:
    return msgspec.json.encode(record).decode()


def _log_records(texts: list[str], start: int) -> list[LogRecord]:
    return [
        LogRecord(offset=start + number, time=fleet.START_UNIX_S, data=text)
        for number, text in enumerate(texts)
    ]


@probe("configuration")
def configuration() -> list[Line]:
    """Measure the cost of a change of one customer and of a full record, by customer count."""
    change_bytes, full_bytes, seconds, memory_points = [], [], [], []
    for count in CUSTOMER_COUNTS:
        full_record, partial_records = _signed_records(count)
        page = msgspec.json.encode(
            LogPage(first=0, end=1, records=tuple(_log_records(partial_records[:1], 0)))
        )
        change_bytes.append((count, float(len(page))))
        full_bytes.append((count, len(full_record) / 1e3))
        seconds.append(
            (count, _seconds_to_read_changes(full_record, partial_records) / CHANGE_COUNT * 1e6)
        )
        memory_points.append(
            (count, kept_bytes(lambda full_record=full_record: _history_of(full_record)) / 1e3)
        )
    unit = "customers"
    return [
        Line(name="change of one customer", x_unit=unit, y_unit="B", points=change_bytes),
        Line(name="full configuration record", x_unit=unit, y_unit="kB", points=full_bytes),
        Line(name="change of one customer applied", x_unit=unit, y_unit="us", points=seconds),
        Line(name="configuration in memory", x_unit=unit, y_unit="kB", points=memory_points),
    ]


def _history_of(full_record: str) -> History:
    history = History({KEY_ID: PUBLIC_KEY_HEX})
    history.read(_log_records([full_record], 0), first=0)
    return history


def _seconds_to_read_changes(full_record: str, partial_records: list[str]) -> float:
    def prepare() -> object:
        history = _history_of(full_record)
        return lambda: [history.read([one], first=0) for one in _log_records(partial_records, 1)]

    return cpu_seconds(prepare)


class SimulatedZone:
    """All hosts of a zone on a virtual clock, which exchange only membership messages."""

    def __init__(self, count: int) -> None:
        self.now = 0.2
        self.messages = 0
        self.bytes = 0
        self.states = {
            fleet.host_name(number): fleet.booted_state(fleet.host_name(number))
            for number in range(count)
        }
        self.next_heartbeat = dict.fromkeys(self.states, 0.3)
        self.last_sent: dict[str, int] = {}
        entries = fleet.host_entries(count) + fleet.engine_entries(letter.ENGINES_PER_ZONE)
        for state in self.states.values():
            fleet.deliver_host_list(state, entries)

    def run(self, seconds: float) -> None:
        """Simulate the heartbeats of all hosts for some seconds."""
        end = self.now + seconds
        while min(self.next_heartbeat.values()) <= end:
            name = min(self.next_heartbeat, key=self.next_heartbeat.get)
            self.now = self.next_heartbeat[name]
            self._send_heartbeats(name)
        self.now = end

    def _send_heartbeats(self, name: str) -> None:
        state = self.states[name]
        for effect in reduce(state, TimerFired(at=self.now, timer="heartbeat")):
            if isinstance(effect, StartTimer) and effect.timer == "heartbeat":
                self.next_heartbeat[name] += effect.delay
            elif isinstance(effect, SendPeer):
                self._send(name, effect)

    def _send(self, name: str, effect: SendPeer) -> None:
        self.messages += 1
        self.bytes += fleet.envelope_bytes(effect.message)
        target = self.states.get(effect.host)
        if target is None:
            return
        event = PeerMessage(
            at=self.now,
            sender=self.states[name].owner,
            zone=fleet.ZONE,
            message=effect.message,
        )
        for answer in reduce(target, event):
            if isinstance(answer, SendPeer):
                self._send(effect.host, answer)


@probe("membership")
def membership() -> list[Line]:
    """Measure the cost of heartbeats by the number of hosts of the zone."""
    heartbeat_points, sizes, seconds, memory_points = [], [], [], []
    for count in ZONE_HOST_COUNTS:
        zone = SimulatedZone(count)
        zone.run(2.0)
        zone.messages = zone.bytes = 0

        def prepare(zone: SimulatedZone = zone) -> object:
            return lambda: zone.run(HEARTBEAT_RUN_S)

        run_seconds = cpu_seconds(prepare)
        host_seconds = count * HEARTBEAT_RUN_S * REPEATS
        heartbeat_points.append((count, zone.messages / host_seconds))
        sizes.append((count, zone.bytes / host_seconds))
        seconds.append((count, run_seconds / (count * HEARTBEAT_RUN_S) * 1e6))
        memory_points.append((count, _membership_bytes(count) / 1e3))
    unit = "hosts of the zone"
    return [
        Line(name="heartbeats sent", x_unit=unit, y_unit="1/s", points=heartbeat_points),
        Line(name="heartbeat payload", x_unit=unit, y_unit="B/s", points=sizes),
        Line(name="heartbeats, reducer time", x_unit=unit, y_unit="us/s", points=seconds),
        Line(name="membership in memory", x_unit=unit, y_unit="kB", points=memory_points),
    ]


def _membership_bytes(count: int) -> int:
    state = fleet.booted_state(fleet.host_name(0))
    entries = fleet.host_entries(count) + fleet.engine_entries(letter.ENGINES_PER_ZONE)
    return kept_bytes(lambda: fleet.deliver_host_list(state, entries))


@probe("host list")
def host_list() -> list[Line]:
    """Measure the cost of reading the host list by its number of entries."""
    sizes, seconds, memory_points = [], [], []
    for count in HOST_LIST_LENGTHS:
        hosts = count * letter.HOSTS // letter.HOST_LIST_ENTRIES
        entries = fleet.host_entries(hosts) + fleet.engine_entries(count - hosts, letter.MODELS)
        data = msgspec.json.encode(entries)
        sizes.append((count, float(len(data))))
        state = fleet.booted_state(fleet.host_name(0))
        memory_points.append(
            (count, kept_bytes(lambda state=state, data=data: _read_host_list(state, data)) / 1e3)
        )
        run_seconds = cpu_seconds(
            lambda state=state, data=data: lambda: _read_host_list(state, data)
        )
        seconds.append((count, run_seconds * 1e6))
    unit = "entries"
    return [
        Line(name="host list", x_unit=unit, y_unit="B", points=sizes),
        Line(name="host list applied", x_unit=unit, y_unit="us", points=seconds),
        Line(name="host list in memory", x_unit=unit, y_unit="kB", points=memory_points),
    ]


def _read_host_list(state: object, data: bytes) -> None:
    entries = msgspec.json.decode(data, type=tuple[HostEntry, ...])
    reduce(state, HostsListed(at=1.0, entries=entries))


@probe("leases")
def lease_claims() -> list[Line]:
    """Measure the cost of lease claims by their number, and leases' memory by number of models."""
    sizes, seconds = [], []
    for count in CLAIM_COUNTS:
        texts = [_lease_claim(number) for number in range(count)]
        sizes.append((count, sum(map(len, texts)) / 1e3))

        def prepare(texts: list[str] = texts) -> object:
            state = fleet.booted_state(fleet.host_name(0))
            stream = leases.stream_of(fleet.ZONE)
            events = [
                fleet.log_read_event(stream, [text], start=number)
                for number, text in enumerate(texts)
            ]
            return lambda: [reduce(state, event) for event in events]

        seconds.append((count, cpu_seconds(prepare) * 1e6))
    unit = "claims"
    memory = [(count, _lease_bytes(count) / 1e3) for count in MODEL_COUNTS]
    return [
        Line(name="leases in memory", x_unit="models", y_unit="kB", points=memory),
        Line(name="lease claim records", x_unit=unit, y_unit="kB", points=sizes),
        Line(name="lease claims applied", x_unit=unit, y_unit="us", points=seconds),
    ]


def _lease_bytes(models: int) -> int:
    state = fleet.booted_state(fleet.host_name(0))
    texts = [_lease_claim(number, models) for number in range(models)]
    event = fleet.log_read_event(leases.stream_of(fleet.ZONE), texts)
    return kept_bytes(lambda: reduce(state, event))


def _lease_claim(number: int, models: int = letter.MODELS) -> str:
    owner = Owner(host=fleet.host_name(number % 16), incarnation="0123456789ab")
    claim = LeaseClaim(
        zone=fleet.ZONE,
        model=fleet.model_name(number % models),
        owner=owner,
        term=30.0,
        after=number - models,
    )
    return msgspec.json.encode(claim).decode()


@probe("death")
def death() -> list[Line]:
    """Count the messages caused by a host's death until all hosts of its zone have detected it."""
    death_messages = []
    for count in ZONE_HOST_COUNTS:
        intact_zone, zone_with_death = SimulatedZone(count), SimulatedZone(count)
        for zone in (intact_zone, zone_with_death):
            zone.run(2.0)
            zone.messages = 0
        dead_host = fleet.host_name(count - 1)
        del zone_with_death.states[dead_host]
        del zone_with_death.next_heartbeat[dead_host]
        for zone in (intact_zone, zone_with_death):
            zone.run(AFTER_DEATH_S)
        expected_messages = intact_zone.messages * (count - 1) / count
        death_messages.append((count, zone_with_death.messages - expected_messages))
    return [
        Line(
            name="messages caused by a host's death",
            x_unit="hosts of the zone",
            y_unit="messages",
            points=death_messages,
        )
    ]
