"""Hosts for measurements: the real state and reducer, fed with made-up events."""

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

WALL = 1_800_000_000.0
ZONE = "zone-a"
ADDRESS = "https://10.20.30.40:8443"


def model(number: int) -> str:
    """Return a model's name."""
    return f"model-{number:02d}"


def host(number: int) -> str:
    """Return a host's name."""
    return f"entry-{number:03d}"


def new_state(name: str, zone: str = ZONE) -> State:
    """Return the state of a host that has just started."""
    cfg = Settings(
        host=name, zone=zone, region="region-1", platform=Platform(log="http://l", hosts="http://h")
    )
    state = State(cfg)
    owner = Owner(host=name, incarnation="0123456789ab")
    reduce(state, Booted(at=0.0, owner=owner, zone=zone, wall=WALL, seed=1))
    return state


def host_entries(count: int, zone: str = ZONE) -> list[HostEntry]:
    """Return entries of entry hosts."""
    return [
        HostEntry(name=host(number), kind="entry", zone=zone, address=ADDRESS)
        for number in range(count)
    ]


def engine_entries(count: int, models: int = 1, zone: str = ZONE) -> list[HostEntry]:
    """Return entries of engines, spread over models."""
    return [
        HostEntry(
            name=f"engine-{number:04d}",
            kind="engine",
            zone=zone,
            address=ADDRESS,
            service=model(number % models),
        )
        for number in range(count)
    ]


def list_hosts(state: State, entries: list[HostEntry], at: float = 0.1) -> list[Effect]:
    """Give a host the host list."""
    return reduce(state, HostsListed(at=at, entries=tuple(entries)))


def entries_of(customers: int, models: int = letter.MODELS) -> _configuration.Entries:
    """Return lists with as many customers; ten plans."""
    names = [model(number) for number in range(models)]
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
    """Give a host a full configuration record as its first one."""
    record = _configuration.make_record(
        version=1,
        replaces=0,
        author="operator",
        old=_configuration.Content(),
        new=_configuration.content_of(entries),
        partial=False,
    )
    reduce(state, log_read(lists.STREAM, [msgspec.json.encode(record).decode()]))


def log_read(stream: str, texts: list[str], at: float = 0.2, start: int = 0) -> LogRead:
    """Return the event that records were read up to the stream's end."""
    records = tuple(
        LogRecord(offset=start + number, time=WALL + at, data=text)
        for number, text in enumerate(texts)
    )
    end = start + len(records)
    return LogRead(at=at, stream=stream, tag="", records=records, next=end, first=0, end=end)


def told(state: State, sender: str, message: Message, at: float) -> list[Effect]:
    """Give a host a message of another host."""
    owner = Owner(host=sender, incarnation="0123456789ab")
    return reduce(state, PeerMessage(at=at, sender=owner, zone=ZONE, message=message))


def feed(state: State, event: Event) -> list[Effect]:
    """Reduce one event."""
    return reduce(state, event)


def messages(effects: list[Effect]) -> list[SendPeer]:
    """Return the messages to other hosts among effects."""
    return [one for one in effects if isinstance(one, SendPeer)]


def envelope_bytes(*sent: Message) -> int:
    """Return the length of an envelope with these messages, without the transport's part."""
    owner = Owner(host=host(0), incarnation="0123456789ab")
    return len(msgspec.json.encode(Envelope(sender=owner, zone=ZONE, messages=sent)))
