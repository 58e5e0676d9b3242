"""Computes each role's load on one host at the required fleet size, from the measured lines."""

import typing

from .._handlers import leases, members
from .._handlers.coordinator import POLLS_PER_CACHE_FETCH, SWEEP_INTERVAL_S
from .._performers.engines import PROGRESS_INTERVAL_S
from .._settings import Once, Orders, Timing
from . import letter
from .fit import Line

Lines = dict[str, Line]

CLAIM_MESSAGES = 4  # Per request: ClaimKey, KeyClaimed, and KeyServed when it starts and ends.
SLOT_MESSAGES = 5  # Per request: Reserve, Granted, Advanced twice, Release.
KEYED_REQUEST_RATE = 10.0  # Assumed run-once requests/s of all hosts; the letter names no rate.
TIMING = Timing()
S_PER_US = 1e-6


class Load:
    """The load of a role on one host that holds it.

    Args:
        role: Name of the role.
        mechanism: How the role works, in a few words.
        state: Bytes of memory.
        messages: HTTP exchanges per second, sent and received.
        traffic: Bytes per second in both directions.
        core: Share of one core.
        change: What would have to change if the load exceeds the budget.
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


RoleFunction = typing.Callable[[Lines], Load]

ROLES: dict[str, RoleFunction] = {}


def role(name: str) -> typing.Callable[[RoleFunction], RoleFunction]:
    """Register the function that computes the load of a role."""

    def register(compute: RoleFunction) -> RoleFunction:
        ROLES[name] = compute
        return compute

    return register


def _cpu_seconds_per_end(lines: Lines) -> float:
    """Return the processor time that one HTTP exchange costs each of its hosts, in seconds."""
    return lines["exchange, both ends"].at(1) / 2 * S_PER_US


def _message_bytes(lines: Lines) -> float:
    """Return the bytes of one peer message about a request, including those of HTTP."""
    payload = lines["messages, payload"].slope * 1e3 / lines["messages between hosts"].slope
    return payload + lines["HTTP beside the payload"].at(1)


def _tail_cost(lines: Lines, records: float) -> tuple[float, float]:
    """Return the bytes and processor seconds, both per second, of tailing a stream of the log.

    Args:
        lines: The measured lines.
        records: Records per second, each of which ends one long poll.
    """
    polls = records + 1 / TIMING.log_poll
    traffic = polls * lines["page of the log"].intercept
    return traffic, polls * lines["long poll, both ends"].at(1) / 2 * S_PER_US


@role("entry relay")
def entry_relay(lines: Lines) -> Load:
    """Return the load of claims, reservations, renewals and output for a host's own callers."""
    per_request = CLAIM_MESSAGES + SLOT_MESSAGES
    messages = letter.HOST_REQUEST_RATE * per_request
    renewals = letter.MODELS / TIMING.renew
    attempts = letter.IN_FLIGHT_PER_HOST / letter.MODELS
    renewal = lines["renewal"].at(attempts) + lines["HTTP beside the payload"].at(1)
    others = lines["reservations, reducer"].slope + lines["keys, reducer"].slope
    reducer = lines["requests, reducers of all roles"].slope - others
    progress = letter.IN_FLIGHT_PER_HOST / PROGRESS_INTERVAL_S * lines["output, reducer"].slope
    return Load(
        role="entry relay",
        mechanism=(
            "one reducer event per call and per quarter second of output; peer messages in batches"
        ),
        state=letter.IN_FLIGHT_PER_HOST * lines["requests in memory"].slope * 1e3,
        messages=messages + renewals,
        traffic=messages * _message_bytes(lines) + renewals * renewal,
        core=(letter.HOST_REQUEST_RATE * reducer + progress) * S_PER_US
        + (messages + renewals) * _cpu_seconds_per_end(lines),
        change=(
            "one long-lived stream between two hosts in place of an HTTP exchange per message; "
            "renewals that name only a digest of the attempts, or that leave out attempts shown by "
            "the engine's report"
        ),
    )


@role("key owner")
def key_owner(lines: Lines) -> Load:
    """Return the load of owning an equal share of the zone's request keys."""
    messages = letter.HOST_REQUEST_RATE * CLAIM_MESSAGES
    return Load(
        role="key owner",
        mechanism="rendezvous hash over the zone's hosts; soft state while a request runs",
        state=letter.IN_FLIGHT_PER_HOST * lines["keys in memory"].slope * 1e3,
        messages=messages,
        traffic=messages * _message_bytes(lines),
        core=letter.HOST_REQUEST_RATE * lines["keys, reducer"].slope * S_PER_US
        + messages * _cpu_seconds_per_end(lines),
        change="the same long-lived stream between hosts; claims only for calls that are retries",
    )


@role("coordinator")
def coordinator(lines: Lines) -> Load:
    """Return the load of coordinating one pool: engines' reports, reservations and renewals."""
    requests = letter.POOL_REQUEST_RATE * SLOT_MESSAGES
    reports = letter.ENGINES_PER_POOL / TIMING.report
    polls = reports * (1 + 1 / POLLS_PER_CACHE_FETCH)
    held = letter.POOL_REQUEST_RATE * letter.REQUEST_DURATION_S
    renewals = letter.HOSTS_PER_ZONE / TIMING.renew
    share = held / letter.HOSTS_PER_ZONE
    http = lines["HTTP beside the payload"].at(1)
    report = lines["engine's report"].at(letter.STREAMS_PER_ENGINE)
    traffic = requests * _message_bytes(lines)
    traffic += reports * report + polls * http
    traffic += renewals * (lines["renewal"].at(share) + http)
    spent = letter.POOL_REQUEST_RATE * lines["reservations, reducer"].slope
    spent += reports * lines["engine's report taken in"].at(letter.STREAMS_PER_ENGINE)
    spent += renewals * lines["renewal taken in"].at(share)
    spent += lines["sweep of a pool"].at(held) / SWEEP_INTERVAL_S
    state = lines["engines in memory"].at(letter.ENGINES_PER_POOL)
    state += held * lines["reservations in memory"].slope
    return Load(
        role="coordinator",
        mechanism="one host per pool (model and zone); the pool's engines are polled by it alone",
        state=state * 1e3,
        messages=requests + polls + renewals,
        traffic=traffic,
        core=spent * S_PER_US + (requests + polls + renewals) * _cpu_seconds_per_end(lines),
        change=(
            "reports that list only streams changed since a sequence number; one report a second "
            "at large pools; pools split so that each host coordinates about 3 engines"
        ),
    )


@role("effect shard")
def effect_shard(lines: Lines) -> Load:
    """Return the load of a host's share of the shards, for requests that may run only once."""
    once = Once()
    shards = max(1.0, once.shards / letter.HOSTS_PER_ZONE)
    keys = KEYED_REQUEST_RATE / once.shards * shards
    records = 2 * keys
    traffic, polling = _tail_cost(lines, records)
    traffic += keys * lines["records of a key"].slope * 1e3 * 2
    return Load(
        role="effect shard",
        mechanism=f"{once.shards} log streams; one reader per zone and stream",
        state=keys * once.horizon * lines["keys of a shard in memory"].slope * 1e3,
        messages=records * 2 + 1 / TIMING.log_poll,
        traffic=traffic,
        core=keys * lines["records read, reducer"].slope * S_PER_US
        + polling
        + records * _cpu_seconds_per_end(lines),
        change=(
            "more shards than a zone has hosts, a horizon of hours, and finished keys kept only as "
            "a digest with their offset in the log"
        ),
    )


@role("configuration tail")
def configuration_tail(lines: Lines) -> Load:
    """Return the load of reading the configuration's changes at every host."""
    changes = letter.CHANGES / letter.DAY_S
    traffic, polling = _tail_cost(lines, changes)
    change = lines["change of one customer"].at(letter.CUSTOMERS)
    full = lines["full record"].at(letter.CUSTOMERS) * 1e3
    copies = 2 * full / (Once().keep * 0.5)
    # Each change counts twice: a full record follows once the partial ones add up to its size.
    traffic += changes * change * 2 + copies
    state = lines["lists in memory"].at(letter.CUSTOMERS) * 1e3 + 2 * full
    taken = lines["change taken in"].at(letter.CUSTOMERS)
    return Load(
        role="configuration tail",
        mechanism=(
            "one log stream of signed records, which hold changed entries only; a copy of the "
            "configuration is appended before they expire"
        ),
        state=state,
        messages=changes + 1 / TIMING.log_poll,
        traffic=traffic,
        core=changes * taken * 2 * S_PER_US + polling,
    )


@role("membership")
def membership(lines: Lines) -> Load:
    """Return the load of a host's heartbeats, sent and received, and of reading the host list."""
    hosts = letter.HOSTS_PER_ZONE
    beats = lines["heartbeats sent"].at(hosts)
    http = lines["HTTP beside the payload"].at(1)
    readings = 1 / members.MAX_LIST_DELAY_S
    # An unchanged list is not sent again. A host that ends and starts again changes it twice.
    changed = min(
        readings, 2 * (letter.HOST_FAILURES_PER_DAY + letter.HOST_RESTARTS_PER_DAY) / letter.DAY_S
    )
    traffic = 2 * (lines["heartbeats, payload"].at(hosts) + beats * http)
    traffic += readings * http + changed * lines["host list"].at(letter.HOST_LIST_ENTRIES)
    spent = lines["heartbeats, reducer"].at(hosts)
    spent += readings * lines["host list taken in"].at(letter.HOST_LIST_ENTRIES)
    state = lines["members in memory"].at(hosts) + lines["host list in memory"].at(
        letter.HOST_LIST_ENTRIES
    )
    return Load(
        role="membership",
        mechanism=(
            f"heartbeats to the next {members.HOST_WATCHERS} hosts of a ring; hosts take turns to "
            "read the host list, which is sent only if its ETag has changed"
        ),
        state=state * 1e3,
        messages=2 * beats + readings,
        traffic=traffic,
        core=spent * S_PER_US + (2 * beats + readings) * _cpu_seconds_per_end(lines),
        change=(
            "a heartbeat sent along with any other message to the same host; a host list that "
            "answers with changes only"
        ),
    )


@role("lease holder")
def lease_holder(lines: Lines) -> Load:
    """Return the load of lease claims: every host reads its zone's, and a holder appends some.

    A holder appends about every ten seconds.
    """
    interval = Orders().lease * leases.RENEW_SHARE + leases.TICK_INTERVAL
    claims = letter.MODELS / interval
    traffic, polling = _tail_cost(lines, claims)
    traffic += claims * lines["lease claims"].slope * 1e3
    return Load(
        role="lease holder",
        mechanism="one log stream per zone; the claims of one holder share an append to it",
        state=lines["leases in memory"].at(letter.MODELS) * 1e3,
        messages=claims + 1 / TIMING.log_poll + 1 / interval,
        traffic=traffic + _message_bytes(lines) / interval,
        core=claims * lines["lease claims read"].slope * S_PER_US
        + polling
        + _cpu_seconds_per_end(lines) / interval,
    )


EVERY_HOST = ("entry relay", "key owner", "configuration tail", "membership", "lease holder")


def loads(lines: Lines) -> dict[str, Load]:
    """Return the load of every role by its name."""
    return {name: compute(lines) for name, compute in ROLES.items()}


def total(lines: Lines, name: str, roles: typing.Iterable[str]) -> Load:
    """Return the load of a host that holds some roles, including its idle process's memory."""
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
