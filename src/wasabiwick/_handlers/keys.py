"""Directory of running requests with a key, by which a retry on another host finds the stream.

A key has a home zone, and its owners are two live hosts of that zone. The zone and the hosts are
found by rendezvous hashing, because a retry may reach a host of any zone and has to find the same
owners. The first owner records which host serves the key, and at which engine the attempt runs; the
second has the same record, and answers claims while the first can't be reached. The records are
soft state: losing them costs only time. A zone with two unreachable hosts is skipped for a while,
so that a partition does not delay requests.
"""

import itertools
import typing

from .. import _rendezvous
from .._effects import SendPeer, StartTimer
from .._events import (
    Booted,
    MembersChanged,
    PeerFailed,
    PeerMessage,
    RequestClosed,
    TimerFired,
)
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import ClaimKey, KeyClaimed, KeyServed, Owner
from . import attempts, members

SWEEP_INTERVAL = 15.0  # Seconds between sweeps of expired records.
OWNERS = 2  # Number of hosts that record where a key is served.
UNREACHABLE_PAUSE = 15.0  # Seconds for which an unreachable owner of keys is skipped.
# A zone other than this host's is skipped if it has at least this many unreachable hosts.
UNREACHABLE_HOSTS_IN_ZONE = 2
CANDIDATES = 4  # Possible owners of a key that are asked after a pause, as owners may have changed.
RETENTION = 60.0  # Seconds that a record that is no longer needed is kept after its last change.


class KeyRecord:
    """An owner's record of the host that serves a key, as of monotonic time ``at``.

    ``has_claim`` is set if the serving host sent this owner a claim, and not only a report. A
    record is kept for a while after the request ``ended``, because a host that was paused may ask
    for it.
    """

    __slots__ = ("serving", "attempt_id", "engine", "at", "has_claim", "ended")

    def __init__(
        self,
        *,
        serving: Owner,
        attempt_id: str,
        at: float,
        engine: str = "",
        has_claim: bool = False,
    ) -> None:
        self.serving = serving
        self.attempt_id = attempt_id
        self.at = at
        self.engine = engine
        self.has_claim = has_claim
        self.ended = False


@state_slice("keys")
class KeysState:
    """Records of the keys that this host owns, by request id.

    ``notified_owners`` are the owners to which this host reported a request that it serves, by
    request id. ``unreachable`` are the owners that are skipped for a while.
    """

    __slots__ = ("served", "notified_owners", "unreachable")

    def __init__(self, cfg: Settings) -> None:
        self.served: dict[str, KeyRecord] = {}
        self.notified_owners: dict[str, list[str]] = {}
        self.unreachable: set[str] = set()


def report(
    state: State, request_id: str, attempt_id: str, *, engine: str = "", ended: bool = False
) -> typing.Iterator[Step]:
    """Report to the key's owners where the attempt runs, or that the request has ended."""
    message = KeyServed(
        request_id=request_id,
        attempt_id=attempt_id,
        serving=state.owner,
        engine=engine,
        ended=ended,
    )
    owners = _owners_to_notify(state, request_id)
    state["keys"].notified_owners[request_id] = owners
    for owner in owners:
        yield SendPeer(host=owner, message=message)


def _owners_to_notify(state: State, request_id: str) -> list[str]:
    """Return the owners, and the hosts that would be owners if this host could reach them.

    Other hosts may reach the latter, and ask them about the key.
    """
    hosts = owners(state, request_id)
    if state["keys"].unreachable:
        hosts += _ranked_owners(state, request_id, members.live_hosts)
    return list(dict.fromkeys(hosts))


def owners(state: State, request_id: str) -> list[str]:
    """Return the owners of a key in order of rank, or only this host if it can reach none."""
    return _ranked_owners(state, request_id, _reachable_hosts) or [state.owner.host]


def _ranked_owners(
    state: State, request_id: str, hosts_of: typing.Callable[[State, str], list[str]]
) -> list[str]:
    role = f"key/{request_id}"
    found = (
        host
        for zone in _rendezvous.ranked(role, members.zones(state))
        for host in _rendezvous.ranked(role, hosts_of(state, zone))
    )
    return list(itertools.islice(found, OWNERS))


def candidates(state: State, request_id: str) -> list[str]:
    """Return the other hosts, alive or not, that some host may regard as owners of a key."""
    role = f"key/{request_id}"
    found = (
        host
        for zone in _rendezvous.ranked(role, members.zones(state))
        for host in _rendezvous.ranked(role, members.listed_hosts(state, zone))
        if host != state.owner.host
    )
    return list(itertools.islice(found, CANDIDATES))


def serving(state: State, request_id: str) -> Owner | None:
    """Return the host that serves a key, or served it last, if this host has a record of it."""
    record = state["keys"].served.get(request_id)
    return record.serving if record else None


def _reachable_hosts(state: State, zone: str) -> list[str]:
    unreachable = state["keys"].unreachable
    hosts = members.live_hosts(state, zone)
    if not unreachable:
        return hosts
    reachable_hosts = [host for host in hosts if host not in unreachable]
    is_zone_cut_off = (
        zone != state.zone and len(hosts) - len(reachable_hosts) >= UNREACHABLE_HOSTS_IN_ZONE
    )
    return [] if is_zone_cut_off else reachable_hosts


@on_message(ClaimKey)
def answer_claim(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Answer a claim with the previous serving host, and record the claimant as the new one."""
    claim = event.message
    if state.stopping and event.sender == claim.claimant:
        # Hosts of other zones learn late that this host is stopping, so their claims are passed on
        # to the new first owner. The hosts of its own zone already report to the new owners.
        yield SendPeer(host=owners(state, claim.request_id)[0], message=claim)
        return
    served = state["keys"].served
    previous_record = served.get(claim.request_id)
    if previous_record and not previous_record.ended and previous_record.serving != claim.claimant:
        answer = KeyClaimed(
            request_id=claim.request_id,
            attempt_id=claim.attempt_id,
            serving=previous_record.serving,
            running_attempt=previous_record.attempt_id,
            engine=previous_record.engine,
        )
    else:
        answer = KeyClaimed(request_id=claim.request_id, attempt_id=claim.attempt_id)
    served[claim.request_id] = KeyRecord(
        serving=claim.claimant,
        attempt_id=answer.running_attempt,
        at=event.at,
        engine=answer.engine,
        has_claim=True,
    )
    yield SendPeer(host=claim.claimant.host, message=answer)


@on_message(KeyServed)
def record_served(state: State, event: PeerMessage) -> None:
    """Record where a key's attempt runs or that it ended, unless another host claimed the key."""
    message = event.message
    served = state["keys"].served
    record = served.get(message.request_id)
    if message.ended:
        if record and record.serving == message.serving:
            record.ended = True
            record.at = event.at
    elif record is None or record.serving == message.serving or not record.has_claim:
        served[message.request_id] = KeyRecord(
            serving=message.serving,
            attempt_id=message.attempt_id,
            at=event.at,
            engine=message.engine,
            has_claim=record is not None and record.has_claim,
        )


@handles(MembersChanged)
def report_again(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Repeat the report of each key that this host serves if the owners to notify have changed."""
    keys_state = state["keys"]
    for request_id, gen in attempts.keyed_generations(state):
        if keys_state.notified_owners.get(request_id) != _owners_to_notify(state, request_id):
            yield from report(state, request_id, gen.attempt_id, engine=gen.decode_engine)


@handles(Booted)
def start_sweep(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the timer of the regular sweep of old records."""
    yield StartTimer(timer="keys_sweep", delay=SWEEP_INTERVAL)


@on_timer("keys_sweep")
def sweep(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Drop old records of ended requests, of dead hosts, and of keys owned by other hosts."""
    served = state["keys"].served
    for request_id, record in list(served.items()):
        is_ended = record.ended or not members.is_live(state, record.serving)
        has_other_owners = state.owner.host not in owners(state, request_id)
        if (is_ended or has_other_owners) and event.at - record.at > RETENTION:
            del served[request_id]
    yield StartTimer(timer="keys_sweep", delay=SWEEP_INTERVAL)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Forget which owners were notified of a closed request."""
    state["keys"].notified_owners.pop(event.request_id, None)


@handles(PeerFailed)
def peer_failed(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Skip an owner that can't be reached."""
    if isinstance(event.message, ClaimKey | KeyServed):
        yield from skip_owner(state, event.host)


def skip_owner(state: State, host: str) -> typing.Iterator[Step]:
    """Skip an owner for a while."""
    if host != state.owner.host:
        state["keys"].unreachable.add(host)
        yield StartTimer(timer="key_owner", key=host, delay=UNREACHABLE_PAUSE)


@on_timer("key_owner")
def resume_owner(state: State, event: TimerFired) -> None:
    """Stop skipping an owner after the pause."""
    state["keys"].unreachable.discard(event.key)
