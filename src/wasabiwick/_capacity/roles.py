"""What one host spends on each role at the size of the letter, from the measured lines."""

import typing

from .._handlers import leases, members
from .._handlers.coordinator import POLLS_PER_CACHE_FETCH, SWEEP_INTERVAL_S
from .._performers.engines import PROGRESS_INTERVAL_S
from .._settings import Once, Orders, Timing
from . import letter
from .fit import Line

Lines = dict[str, Line]

CLAIM_MESSAGES = 4  # ClaimKey, KeyClaimed, KeyServed at the start and at the end.
SLOT_MESSAGES = 5  # Reserve, Granted, Advanced twice, Release.
KEYED_WORK = 10.0  # Requests per second of all hosts that may run only once; the letter names none.
TIMING = Timing()
MICRO = 1e-6


class Load:
    """What a role costs one host that holds it.

    Args:
        role: Name of the role.
        mechanism: What carries it.
        state: Bytes of memory.
        messages: Exchanges per second, sent and received.
        traffic: Bytes per second in both directions.
        core: Share of one core.
        change: What has to change where the load exceeds the budget.
    """

    __slots__ = ("role", "mechanism", "state", "messages", "traffic", "core", "change")

    def __init__(
        self,
        *,
        role: str,
        mechanism: str,
        state: float,
        messages: float,
        traffic: float,
        core: float,
        change: str = "",
    ) -> None:
        self.role = role
        self.mechanism = mechanism
        self.state = state
        self.messages = messages
        self.traffic = traffic
        self.core = core
        self.change = change


RoleOf = typing.Callable[[Lines], Load]

ROLES: dict[str, RoleOf] = {}


def role(name: str) -> typing.Callable[[RoleOf], RoleOf]:
    """Register the function that works out one role's load."""

    def register(work_out: RoleOf) -> RoleOf:
        ROLES[name] = work_out
        return work_out

    return register


def _end(lines: Lines) -> float:
    """Return the processor time of one end of an exchange, in seconds."""
    return lines["exchange, both ends"].at(1) / 2 * MICRO


def _message_bytes(lines: Lines) -> float:
    """Return the bytes of one message about a request, with its HTTP exchange."""
    payload = lines["messages, payload"].slope * 1e3 / lines["messages between hosts"].slope
    return payload + lines["HTTP beside the payload"].at(1)


def _polls(lines: Lines, records: float) -> tuple[float, float]:
    """Return bytes and processor time per second of following a stream of the log.

    Args:
        lines: The measured lines.
        records: Records per second, each of which ends one long poll.
    """
    polls = records + 1 / TIMING.log_poll
    traffic = polls * lines["page of the log"].base
    return traffic, polls * lines["long poll, both ends"].at(1) / 2 * MICRO


@role("entry relay")
def entry_relay(lines: Lines) -> Load:
    """Every host: claims, reservations and renewals for its callers' requests, and progress."""
    per_request = CLAIM_MESSAGES + SLOT_MESSAGES
    messages = letter.HOST_REQUESTS * per_request
    renewals = letter.MODELS / TIMING.renew
    attempts = letter.HOST_IN_FLIGHT / letter.MODELS
    renewal = lines["renewal"].at(attempts) + lines["HTTP beside the payload"].at(1)
    others = lines["reservations, reducer"].slope + lines["keys, reducer"].slope
    reducer = lines["requests, reducers of all roles"].slope - others
    progress = letter.HOST_IN_FLIGHT / PROGRESS_INTERVAL_S * lines["output, reducer"].slope
    return Load(
        role="entry relay",
        mechanism="one reducer event per call and quarter second of output; batched peer messages",
        state=letter.HOST_IN_FLIGHT * lines["requests in memory"].slope * 1e3,
        messages=messages + renewals,
        traffic=messages * _message_bytes(lines) + renewals * renewal,
        core=(letter.HOST_REQUESTS * reducer + progress) * MICRO
        + (messages + renewals) * _end(lines),
        change=(
            "one long-lived stream between two hosts in place of an HTTP exchange per message; "
            "renewals that name a digest of the attempts, or none while the engine's report shows "
            "them"
        ),
    )


@role("key owner")
def key_owner(lines: Lines) -> Load:
    """Every host: an equal share of the zone's request keys."""
    messages = letter.HOST_REQUESTS * CLAIM_MESSAGES
    return Load(
        role="key owner",
        mechanism="rendezvous hash over the zone's hosts; soft state while a request runs",
        state=letter.HOST_IN_FLIGHT * lines["keys in memory"].slope * 1e3,
        messages=messages,
        traffic=messages * _message_bytes(lines),
        core=letter.HOST_REQUESTS * lines["keys, reducer"].slope * MICRO + messages * _end(lines),
        change="the same stream between hosts; claims only for calls that are retries",
    )


@role("coordinator")
def coordinator(lines: Lines) -> Load:
    """A host with one pool: its engines' reports, reservations and renewals."""
    requests = letter.POOL_REQUESTS * SLOT_MESSAGES
    reports = letter.POOL_ENGINES / TIMING.report
    polls = reports * (1 + 1 / POLLS_PER_CACHE_FETCH)
    held = letter.POOL_REQUESTS * letter.SECONDS
    renewals = letter.ZONE_HOSTS / TIMING.renew
    share = held / letter.ZONE_HOSTS
    http = lines["HTTP beside the payload"].at(1)
    report = lines["engine's report"].at(letter.ENGINE_STREAMS)
    traffic = requests * _message_bytes(lines)
    traffic += reports * report + polls * http
    traffic += renewals * (lines["renewal"].at(share) + http)
    spent = letter.POOL_REQUESTS * lines["reservations, reducer"].slope
    spent += reports * lines["engine's report taken in"].at(letter.ENGINE_STREAMS)
    spent += renewals * lines["renewal taken in"].at(share)
    spent += lines["sweep of a pool"].at(held) / SWEEP_INTERVAL_S
    state = lines["engines in memory"].at(letter.POOL_ENGINES)
    state += held * lines["reservations in memory"].slope
    return Load(
        role="coordinator",
        mechanism="one host per pool (model and zone); engines polled by it alone",
        state=state * 1e3,
        messages=requests + polls + renewals,
        traffic=traffic,
        core=spent * MICRO + (requests + polls + renewals) * _end(lines),
        change=(
            "reports that list only streams changed since a sequence number; one report a second "
            "at large pools; pools split so that each host coordinates some 3 engines"
        ),
    )


@role("effect shard")
def effect_shard(lines: Lines) -> Load:
    """A host with its share of a zone's shards of work that may run only once."""
    once = Once()
    shards = max(1.0, once.shards / letter.ZONE_HOSTS)
    keys = KEYED_WORK / once.shards * shards
    records = 2 * keys
    traffic, polling = _polls(lines, records)
    traffic += keys * lines["records of a key"].slope * 1e3 * 2
    return Load(
        role="effect shard",
        mechanism=f"{once.shards} log streams; one reader per zone and stream",
        state=keys * once.horizon * lines["keys of a shard in memory"].slope * 1e3,
        messages=records * 2 + 1 / TIMING.log_poll,
        traffic=traffic,
        core=keys * lines["records read, reducer"].slope * MICRO + polling + records * _end(lines),
        change=(
            "more shards than hosts of a zone, a horizon of hours, and settled keys kept as a "
            "digest with the log's offset"
        ),
    )


@role("configuration tail")
def configuration_tail(lines: Lines) -> Load:
    """Every host: the changes of both lists."""
    changes = letter.CHANGES / letter.DAY
    traffic, polling = _polls(lines, changes)
    change = lines["change of one customer"].at(letter.CUSTOMERS)
    full = lines["full record"].at(letter.CUSTOMERS) * 1e3
    copies = 2 * full / (Once().keep * 0.5)
    # A full record follows as soon as the partial ones add up to its size.
    traffic += changes * change * 2 + copies
    state = lines["lists in memory"].at(letter.CUSTOMERS) * 1e3 + 2 * full
    taken = lines["change taken in"].at(letter.CUSTOMERS)
    return Load(
        role="configuration tail",
        mechanism="one stream; records of changed entries, signed; copies before they expire",
        state=state,
        messages=changes + 1 / TIMING.log_poll,
        traffic=traffic,
        core=changes * taken * 2 * MICRO + polling,
    )


@role("membership")
def membership(lines: Lines) -> Load:
    """Every host: heartbeats to and from its watchers, and the host list."""
    hosts = letter.ZONE_HOSTS
    beats = lines["heartbeats sent"].at(hosts)
    http = lines["HTTP beside the payload"].at(1)
    readings = 1 / members.MAX_LIST_DELAY_S
    # A reading of an unchanged list has no body; each host that ends and starts changes it twice.
    changed = min(readings, 2 * (letter.FAILURES + letter.RESTARTS) / letter.DAY)
    traffic = 2 * (lines["heartbeats, payload"].at(hosts) + beats * http)
    traffic += readings * http + changed * lines["host list"].at(letter.ENTRIES)
    spent = lines["heartbeats, reducer"].at(hosts)
    spent += readings * lines["host list taken in"].at(letter.ENTRIES)
    state = lines["members in memory"].at(hosts) + lines["host list in memory"].at(letter.ENTRIES)
    return Load(
        role="membership",
        mechanism=f"ring of {members.HOST_WATCHERS} watchers; hosts read the list in turn, by ETag",
        state=state * 1e3,
        messages=2 * beats + readings,
        traffic=traffic,
        core=spent * MICRO + (2 * beats + readings) * _end(lines),
        change=(
            "a heartbeat rides on any message that goes to a watcher anyway; a host list that "
            "answers with changes only"
        ),
    )


@role("lease holder")
def lease_holder(lines: Lines) -> Load:
    """Every host of a zone reads the claims; a holder adds one append in ten seconds."""
    interval = Orders().lease * leases.RENEW_SHARE + leases.TICK_INTERVAL
    claims = letter.MODELS / interval
    traffic, polling = _polls(lines, claims)
    traffic += claims * lines["lease claims"].slope * 1e3
    return Load(
        role="lease holder",
        mechanism="one stream per zone; claims of one holder share an append",
        state=lines["leases in memory"].at(letter.MODELS) * 1e3,
        messages=claims + 1 / TIMING.log_poll + 1 / interval,
        traffic=traffic + _message_bytes(lines) / interval,
        core=claims * lines["lease claims read"].slope * MICRO + polling + _end(lines) / interval,
    )


SHARED = ("entry relay", "key owner", "configuration tail", "membership", "lease holder")


def loads(lines: Lines) -> dict[str, Load]:
    """Return the load of each role."""
    return {name: work_out(lines) for name, work_out in ROLES.items()}


def total(lines: Lines, name: str, roles: typing.Iterable[str]) -> Load:
    """Add up the roles that one host holds at the same time, and the process itself."""
    found = loads(lines)
    held = [found[one] for one in roles]
    return Load(
        role=name,
        mechanism="",
        state=sum(one.state for one in held) + lines["idle process"].points[-1][1] * 1e6,
        messages=sum(one.messages for one in held),
        traffic=sum(one.traffic for one in held),
        core=sum(one.core for one in held),
    )
