"""Builds host states, events and messages for the probes with the real state and reducer."""

import msgspec

from .. import _configuration, _handlers  # noqa: F401 - registers the handlers
from .._effects import Effect, SendPeer
from .._events import Booted, Event, HostsListed, LogRead, PeerMessage
from .._handlers import lists
from .._reducer import reduce
from .._settings import Platform, Settings
from .._state import State
from .._wire import Envelope, HostEntry, LogRecord, Message, Owner
from . import letter

START_UNIX_S = 1_800_000_000.0
ZONE = "zone-a"
ADDRESS = "https://10.20.30.40:8443"


def model_name(number: int) -> str:
    """Return the name of a model."""
    return f"model-{number:02d}"


def host_name(number: int) -> str:
    """Return the name of an entry host."""
    return f"entry-{number:03d}"


def booted_state(name: str, zone: str = ZONE) -> State:
    """Return the state of a host that has just booted."""
    cfg = Settings(
        host=name, zone=zone, region="region-1", platform=Platform(log="http://l", hosts="http://h")
    )
    state = State(cfg)
    owner = Owner(host=name, incarnation="0123456789ab")
    reduce(state, Booted(at=0.0, owner=owner, zone=zone, wall=START_UNIX_S, seed=1))
    return state


def host_entries(count: int, zone: str = ZONE) -> list[HostEntry]:
    """Return host list entries of entry hosts."""
    return [
        HostEntry(name=host_name(number), kind="entry", zone=zone, address=ADDRESS)
        for number in range(count)
    ]


def engine_entries(count: int, models: int = 1, zone: str = ZONE) -> list[HostEntry]:
    """Return host list entries of engines, spread evenly over models."""
    return [
        HostEntry(
            name=f"engine-{number:04d}",
            kind="engine",
            zone=zone,
            address=ADDRESS,
            service=model_name(number % models),
        )
        for number in range(count)
    ]


def deliver_host_list(state: State, entries: list[HostEntry], at: float = 0.1) -> list[Effect]:
    """Deliver a newly read host list to a host's reducer and return the effects."""
    return reduce(state, HostsListed(at=at, entries=tuple(entries)))


def configuration_entries(customers: int, models: int = letter.MODELS) -> _configuration.Entries:
    """Return configuration entries with a number of customers, on ten plans."""
    names = [model_name(number) for number in range(models)]
    return {
        "customers": {
            f"customer-{number:05d}": {
                "plan": f"plan-{number % 10}",
                "keys": [f"{number:064x}"],
            }
            for number in range(customers)
        },
        "plans": {f"plan-{number}": {"models": names, "rate": 100.0} for number in range(10)},
        "services": {},
        "models": {name: {"version": "1", "minimum": 1} for name in names},
    }


def put_in_force(state: State, entries: _configuration.Entries) -> None:
    """Deliver a full configuration record to a host, as the stream's first record."""
    record = _configuration.make_record(
        version=1,
        replaces=0,
        author="operator",
        old=_configuration.Content(),
        new=_configuration.content_of(entries),
        partial=False,
    )
    reduce(state, log_read_event(lists.STREAM, [msgspec.json.encode(record).decode()]))


def log_read_event(stream: str, texts: list[str], at: float = 0.2, start: int = 0) -> LogRead:
    """Return the event of a read that returns these records and reaches the stream's end."""
    records = tuple(
        LogRecord(offset=start + number, time=START_UNIX_S + at, data=text)
        for number, text in enumerate(texts)
    )
    end = start + len(records)
    return LogRead(at=at, stream=stream, tag="", records=records, next=end, first=0, end=end)


def deliver_message(state: State, sender: str, message: Message, at: float) -> list[Effect]:
    """Deliver a message of another host to a host's reducer and return the effects."""
    owner = Owner(host=sender, incarnation="0123456789ab")
    return reduce(state, PeerMessage(at=at, sender=owner, zone=ZONE, message=message))


def feed(state: State, event: Event) -> list[Effect]:
    """Pass one event to a host's reducer and return the effects."""
    return reduce(state, event)


def messages(effects: list[Effect]) -> list[SendPeer]:
    """Return those of the effects that send messages to other hosts."""
    return [one for one in effects if isinstance(one, SendPeer)]


def envelope_bytes(*peer_messages: Message) -> int:
    """Return the bytes of an encoded envelope of messages, without the HTTP overhead."""
    owner = Owner(host=host_name(0), incarnation="0123456789ab")
    return len(msgspec.json.encode(Envelope(sender=owner, zone=ZONE, messages=peer_messages)))
