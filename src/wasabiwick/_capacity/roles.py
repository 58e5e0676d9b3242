"""Computes each role's load on one host at the required fleet size, from the fitted lines."""

import typing

from .._handlers import leases, members
from .._handlers.coordinator import POLLS_PER_CACHE_FETCH, SWEEP_INTERVAL_S
from .._performers.engines import PROGRESS_INTERVAL_S
from .._settings import Once, Orders, Timing
from . import letter
from .fit import Line

LinesByName = dict[str, Line]

# Messages per request between entry host and key owner: ClaimKey, KeyClaimed, and KeyServed twice,
# when serving starts and when it ends.
CLAIM_MESSAGES = 4
# Messages per request between entry host and coordinator: Reserve, Granted, Advanced twice, and
# Release.
SLOT_MESSAGES = 5
# Run-once requests/s of all hosts together; assumed, because the users' requirements name no rate.
KEYED_REQUEST_RATE = 10.0
TIMING = Timing()
S_PER_US = 1e-6


class Load:
    """The load of a role on one host that has the role.

    Args:
        role: Name of the role.
        mechanism: Short description of how the role works.
        state: Bytes of memory.
        messages: HTTP exchanges per second, sent and received.
        traffic: Bytes per second in both directions.
        core: Share of one core.
        change: Proposed change for a load that exceeds the budget.
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


RoleFunction = typing.Callable[[LinesByName], Load]

ROLES: dict[str, RoleFunction] = {}


def role(name: str) -> typing.Callable[[RoleFunction], RoleFunction]:
    """Register the function that computes the load of a role."""

    def register(compute: RoleFunction) -> RoleFunction:
        ROLES[name] = compute
        return compute

    return register


def _cpu_seconds_per_end(lines: LinesByName) -> float:
    """Return the processor time that one HTTP exchange costs each of its hosts, in seconds."""
    return lines["HTTP exchange, both hosts"].at(1) / 2 * S_PER_US


def _message_bytes(lines: LinesByName) -> float:
    """Return the bytes of one peer message about a request, including the HTTP overhead."""
    payload = (
        lines["payload of messages between hosts"].slope
        * 1e3
        / lines["messages between hosts"].slope
    )
    return payload + lines["HTTP overhead"].at(1)


def _tail_cost(lines: LinesByName, records: float) -> tuple[float, float]:
    """Return the bytes and processor seconds, both per second, of reading new log records.

    Args:
        lines: The fitted lines by their names.
        records: New records per second of the stream; each ends one long poll.
    """
    polls = records + 1 / TIMING.log_poll
    traffic = polls * lines["log page with HTTP overhead"].intercept
    return traffic, polls * lines["long poll of the log, client and server"].at(1) / 2 * S_PER_US


@role("entry relay")
def entry_relay(lines: LinesByName) -> Load:
    """Return the load of claims, reservations, renewals and output of calls to one host."""
    messages_per_request = CLAIM_MESSAGES + SLOT_MESSAGES
    messages = letter.HOST_REQUEST_RATE * messages_per_request
    renewals = letter.MODELS / TIMING.renew
    attempts = letter.IN_FLIGHT_PER_HOST / letter.MODELS
    renewal_bytes = lines["renewal message"].at(attempts) + lines["HTTP overhead"].at(1)
    slot_and_key_us = (
        lines["reservations, reducer time"].slope + lines["request keys, reducer time"].slope
    )
    request_us = lines["requests, reducer time on all hosts"].slope - slot_and_key_us
    progress_us = (
        letter.IN_FLIGHT_PER_HOST / PROGRESS_INTERVAL_S * lines["output, reducer time"].slope
    )
    return Load(
        role="entry relay",
        mechanism=(
            "one reducer event per call and per quarter second of output; peer messages in batches"
        ),
        state=letter.IN_FLIGHT_PER_HOST * lines["requests in flight in memory"].slope * 1e3,
        messages=messages + renewals,
        traffic=messages * _message_bytes(lines) + renewals * renewal_bytes,
        core=(letter.HOST_REQUEST_RATE * request_us + progress_us) * S_PER_US
        + (messages + renewals) * _cpu_seconds_per_end(lines),
        change=(
            "one long-lived stream between two hosts in place of an HTTP exchange per message; "
            "renewals that name only a digest of the attempts, or that leave out attempts shown by "
            "the engine's report"
        ),
    )


@role("key owner")
def key_owner(lines: LinesByName) -> Load:
    """Return the load of owning an equal share of the zone's request keys."""
    messages = letter.HOST_REQUEST_RATE * CLAIM_MESSAGES
    return Load(
        role="key owner",
        mechanism=(
            "a rendezvous hash over the zone's hosts selects a key's owner, which keeps the key in "
            "memory while the request runs"
        ),
        state=letter.IN_FLIGHT_PER_HOST * lines["request keys in memory"].slope * 1e3,
        messages=messages,
        traffic=messages * _message_bytes(lines),
        core=letter.HOST_REQUEST_RATE * lines["request keys, reducer time"].slope * S_PER_US
        + messages * _cpu_seconds_per_end(lines),
        change=(
            "one long-lived stream between two hosts, as for the entry relay; claims only for "
            "calls that are retries"
        ),
    )


@role("coordinator")
def coordinator(lines: LinesByName) -> Load:
    """Return the load of coordinating one pool: engines' reports, reservations and renewals."""
    requests = letter.POOL_REQUEST_RATE * SLOT_MESSAGES
    reports = letter.ENGINES_PER_POOL / TIMING.report
    polls = reports * (1 + 1 / POLLS_PER_CACHE_FETCH)
    held_reservations = letter.POOL_REQUEST_RATE * letter.REQUEST_DURATION_S
    renewals = letter.HOSTS_PER_ZONE / TIMING.renew
    host_reservations = held_reservations / letter.HOSTS_PER_ZONE
    http_bytes = lines["HTTP overhead"].at(1)
    report_bytes = lines["engine report"].at(letter.STREAMS_PER_ENGINE)
    traffic = requests * _message_bytes(lines)
    traffic += reports * report_bytes + polls * http_bytes
    traffic += renewals * (lines["renewal message"].at(host_reservations) + http_bytes)
    reducer_us = letter.POOL_REQUEST_RATE * lines["reservations, reducer time"].slope
    reducer_us += reports * lines["engine report applied"].at(letter.STREAMS_PER_ENGINE)
    reducer_us += renewals * lines["renewal message applied"].at(host_reservations)
    reducer_us += lines["periodic check of a pool"].at(held_reservations) / SWEEP_INTERVAL_S
    state = lines["engines of a pool in memory"].at(letter.ENGINES_PER_POOL)
    state += held_reservations * lines["reservations in memory"].slope
    return Load(
        role="coordinator",
        mechanism="one host per pool (model and zone); only that host polls the pool's engines",
        state=state * 1e3,
        messages=requests + polls + renewals,
        traffic=traffic,
        core=reducer_us * S_PER_US + (requests + polls + renewals) * _cpu_seconds_per_end(lines),
        change=(
            "engine reports that list only streams changed since a sequence number; one report a "
            "second from each engine of a large pool; pools split so that each host coordinates "
            "about 3 engines"
        ),
    )


@role("effect shard")
def effect_shard(lines: LinesByName) -> Load:
    """Return the load of coordinating a host's share of the run-once requests' log shards."""
    once_settings = Once()
    shards = max(1.0, once_settings.shards / letter.HOSTS_PER_ZONE)
    keys = KEYED_REQUEST_RATE / once_settings.shards * shards
    records = 2 * keys
    traffic, polling_core = _tail_cost(lines, records)
    traffic += keys * lines["log records of run-once keys"].slope * 1e3 * 2
    return Load(
        role="effect shard",
        mechanism=f"{once_settings.shards} log streams; one reader per zone and stream",
        state=keys * once_settings.horizon * lines["run-once keys in memory"].slope * 1e3,
        messages=records * 2 + 1 / TIMING.log_poll,
        traffic=traffic,
        core=keys * lines["log records of run-once keys, reducer time"].slope * S_PER_US
        + polling_core
        + records * _cpu_seconds_per_end(lines),
        change=(
            "more shards than a zone has hosts, a maximum key age (setting `horizon`) of hours, "
            "and only a digest and the log offset kept of each finished key"
        ),
    )


@role("configuration tail")
def configuration_tail(lines: LinesByName) -> Load:
    """Return the load of reading the configuration's changes at every host."""
    changes = letter.CHANGES / letter.DAY_S
    traffic, polling_core = _tail_cost(lines, changes)
    change_bytes = lines["change of one customer"].at(letter.CUSTOMERS)
    full_record_bytes = lines["full configuration record"].at(letter.CUSTOMERS) * 1e3
    copy_traffic = 2 * full_record_bytes / (Once().keep * 0.5)
    # Each change's bytes count twice, because a full record is appended once the partial records
    # add up to the size of a full one.
    traffic += changes * change_bytes * 2 + copy_traffic
    state = lines["configuration in memory"].at(letter.CUSTOMERS) * 1e3 + 2 * full_record_bytes
    apply_us = lines["change of one customer applied"].at(letter.CUSTOMERS)
    return Load(
        role="configuration tail",
        mechanism=(
            "one log stream of signed records, which hold changed entries only; a copy of the "
            "configuration is appended before the records expire"
        ),
        state=state,
        messages=changes + 1 / TIMING.log_poll,
        traffic=traffic,
        core=changes * apply_us * 2 * S_PER_US + polling_core,
    )


@role("membership")
def membership(lines: LinesByName) -> Load:
    """Return the load of sending and receiving heartbeats, and of reading the host list."""
    hosts = letter.HOSTS_PER_ZONE
    heartbeats = lines["heartbeats sent"].at(hosts)
    http_bytes = lines["HTTP overhead"].at(1)
    readings = 1 / members.MAX_LIST_DELAY_S
    # An unchanged host list is not sent again. A host that stops and restarts changes the list
    # twice.
    list_changes = min(
        readings, 2 * (letter.HOST_FAILURES_PER_DAY + letter.HOST_RESTARTS_PER_DAY) / letter.DAY_S
    )
    traffic = 2 * (lines["heartbeat payload"].at(hosts) + heartbeats * http_bytes)
    traffic += readings * http_bytes + list_changes * lines["host list"].at(
        letter.HOST_LIST_ENTRIES
    )
    reducer_us = lines["heartbeats, reducer time"].at(hosts)
    reducer_us += readings * lines["host list applied"].at(letter.HOST_LIST_ENTRIES)
    state = lines["membership in memory"].at(hosts) + lines["host list in memory"].at(
        letter.HOST_LIST_ENTRIES
    )
    return Load(
        role="membership",
        mechanism=(
            f"heartbeats to the next {members.HOST_WATCHERS} hosts of a ring; hosts take turns to "
            "read the host list, which is sent only if its ETag has changed"
        ),
        state=state * 1e3,
        messages=2 * heartbeats + readings,
        traffic=traffic,
        core=reducer_us * S_PER_US + (2 * heartbeats + readings) * _cpu_seconds_per_end(lines),
        change=(
            "heartbeats sent together with other messages to the same host; a host list service "
            "that answers with changes only"
        ),
    )


@role("lease holder")
def lease_holder(lines: LinesByName) -> Load:
    """Return the load of a zone's lease claims, which every host reads.

    A lease holder also appends claims to the log, about every ten seconds.
    """
    interval = Orders().lease * leases.RENEW_SHARE + leases.TICK_INTERVAL
    claims = letter.MODELS / interval
    traffic, polling_core = _tail_cost(lines, claims)
    traffic += claims * lines["lease claim records"].slope * 1e3
    return Load(
        role="lease holder",
        mechanism="one log stream per zone; the claims of one holder share an append to it",
        state=lines["leases in memory"].at(letter.MODELS) * 1e3,
        messages=claims + 1 / TIMING.log_poll + 1 / interval,
        traffic=traffic + _message_bytes(lines) / interval,
        core=claims * lines["lease claims applied"].slope * S_PER_US
        + polling_core
        + _cpu_seconds_per_end(lines) / interval,
    )


EVERY_HOST = ("entry relay", "key owner", "configuration tail", "membership", "lease holder")


def loads(lines: LinesByName) -> dict[str, Load]:
    """Return the load of every role by its name."""
    return {name: compute(lines) for name, compute in ROLES.items()}


def total(lines: LinesByName, name: str, roles: typing.Iterable[str]) -> Load:
    """Return the load of a host with these roles, including the memory of an idle process."""
    loads_by_role = loads(lines)
    role_loads = [loads_by_role[one] for one in roles]
    return Load(
        role=name,
        mechanism="",
        state=sum(one.state for one in role_loads)
        + lines["memory of an idle process"].points[-1][1] * 1e6,
        messages=sum(one.messages for one in role_loads),
        traffic=sum(one.traffic for one in role_loads),
        core=sum(one.core for one in role_loads),
    )
