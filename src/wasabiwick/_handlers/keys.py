"""Ownership of request keys: a retry on another host finds the stream that runs already.

A key has a home zone, and its owners are two live hosts of that zone, all by rendezvous hash: a
retry may reach a host of any zone, and has to find the same owners. The first keeps which host
serves the key, and at which engine the attempt runs; the second is told too, and answers claims
while the first can't be reached. This is soft state: losing it costs time only. A zone of which two
hosts can't be reached is left out for a while, so that a partition does not hold requests up.
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

SWEEP_INTERVAL = 15.0  # Seconds between looks for records that are over.
OWNERS = 2  # Hosts that know where a key is served.
UNREACHED_PAUSE = 15.0  # Seconds for which an owner that was not reached is left out.
UNREACHED_ZONE = 2  # Hosts of another zone not reached, after which the whole zone is left out.
CANDIDATES = 4  # Hosts that may have become owners of a key while this host was paused.
KEEP = 60.0  # Seconds for which a record outlives its request, or its serving host.


class Served:
    """What an owner of a key knows of its request, as of monotonic time ``at``.

    ``claimed`` tells that the serving host claimed the key here, and did not only report it. A
    record is kept for a while after the request ``ended``, for hosts that were paused meanwhile.
    """

    __slots__ = ("serving", "attempt_id", "engine", "at", "claimed", "ended")

    def __init__(
        self, *, serving: Owner, attempt_id: str, at: float, engine: str = "", claimed: bool = False
    ) -> None:
        self.serving = serving
        self.attempt_id = attempt_id
        self.at = at
        self.engine = engine
        self.claimed = claimed
        self.ended = False


@state_slice("keys")
class KeysState:
    """The keys that this host owns, and the owners that it has told, by request id.

    ``unreached`` holds owners that are left out for a while.
    """

    __slots__ = ("served", "told", "unreached")

    def __init__(self, cfg: Settings) -> None:
        self.served: dict[str, Served] = {}
        self.told: dict[str, list[str]] = {}
        self.unreached: set[str] = set()


def report(
    state: State, request_id: str, attempt_id: str, *, engine: str = "", ended: bool = False
) -> typing.Iterator[Step]:
    """Tell the key's owners where the attempt runs, or that the request has ended."""
    message = KeyServed(
        request_id=request_id,
        attempt_id=attempt_id,
        serving=state.owner,
        engine=engine,
        ended=ended,
    )
    owners = _told_owners(state, request_id)
    state["keys"].told[request_id] = owners
    for owner in owners:
        yield SendPeer(host=owner, message=message)


def _told_owners(state: State, request_id: str) -> list[str]:
    """Return the owners, those included that only this host fails to reach: others ask them."""
    told = owners(state, request_id)
    if state["keys"].unreached:
        told += _ranked_owners(state, request_id, members.live_hosts)
    return list(dict.fromkeys(told))


def owners(state: State, request_id: str) -> list[str]:
    """Return the owners of a key, the first one first; this host if it can reach no other."""
    return _ranked_owners(state, request_id, _reachable) or [state.owner.host]


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
    """Return the hosts that others may take for a key's owners, whether they are alive or not."""
    role = f"key/{request_id}"
    found = (
        host
        for zone in _rendezvous.ranked(role, members.zones(state))
        for host in _rendezvous.ranked(role, members.listed_hosts(state, zone))
        if host != state.owner.host
    )
    return list(itertools.islice(found, CANDIDATES))


def serving(state: State, request_id: str) -> Owner | None:
    """Return the host that serves a key, or served it last, as far as this host knows."""
    known = state["keys"].served.get(request_id)
    return known.serving if known else None


def _reachable(state: State, zone: str) -> list[str]:
    unreached = state["keys"].unreached
    hosts = members.live_hosts(state, zone)
    if not unreached:
        return hosts
    left = [host for host in hosts if host not in unreached]
    cut_off = zone != state.zone and len(hosts) - len(left) >= UNREACHED_ZONE
    return [] if cut_off else left


@on_message(ClaimKey)
def own(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Answer a claim with the earlier serving host, and record the new one."""
    asked = event.message
    if state.stopping and event.sender == asked.claimant:
        # Other zones learn late that this host stops, and its zone tells new owners already.
        yield SendPeer(host=owners(state, asked.request_id)[0], message=asked)
        return
    served = state["keys"].served
    earlier = served.get(asked.request_id)
    if earlier and not earlier.ended and earlier.serving != asked.claimant:
        answer = KeyClaimed(
            request_id=asked.request_id,
            attempt_id=asked.attempt_id,
            serving=earlier.serving,
            running_attempt=earlier.attempt_id,
            engine=earlier.engine,
        )
    else:
        answer = KeyClaimed(request_id=asked.request_id, attempt_id=asked.attempt_id)
    served[asked.request_id] = Served(
        serving=asked.claimant,
        attempt_id=answer.running_attempt,
        at=event.at,
        engine=answer.engine,
        claimed=True,
    )
    yield SendPeer(host=asked.claimant.host, message=answer)


@on_message(KeyServed)
def note(state: State, event: PeerMessage) -> None:
    """Record where the attempt of a key runs; a claim is not undone by an older serving host."""
    told = event.message
    served = state["keys"].served
    known = served.get(told.request_id)
    if told.ended:
        if known and known.serving == told.serving:
            known.ended = True
            known.at = event.at
    elif known is None or known.serving == told.serving or not known.claimed:
        served[told.request_id] = Served(
            serving=told.serving,
            attempt_id=told.attempt_id,
            at=event.at,
            engine=told.engine,
            claimed=known is not None and known.claimed,
        )


@handles(MembersChanged)
def report_again(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Tell new owners of the keys that this host serves."""
    mine = state["keys"]
    for request_id, gen in attempts.keyed(state):
        if mine.told.get(request_id) != _told_owners(state, request_id):
            yield from report(state, request_id, gen.attempt_id, engine=gen.decode_engine)


@handles(Booted)
def begin(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start to sweep records."""
    yield StartTimer(timer="keys_sweep", delay=SWEEP_INTERVAL)


@on_timer("keys_sweep")
def sweep(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Drop records of requests that are over, and those that another host owns by now."""
    served = state["keys"].served
    for request_id, known in list(served.items()):
        over = known.ended or not members.is_live(state, known.serving)
        moved = state.owner.host not in owners(state, request_id)
        if (over or moved) and event.at - known.at > KEEP:
            del served[request_id]
    yield StartTimer(timer="keys_sweep", delay=SWEEP_INTERVAL)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> None:
    """Forget which owners were told of a request that is over."""
    state["keys"].told.pop(event.request_id, None)


@handles(PeerFailed)
def unreachable(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Leave an owner out that can't be reached."""
    if isinstance(event.message, ClaimKey | KeyServed):
        yield from leave_out(state, event.host)


def leave_out(state: State, host: str) -> typing.Iterator[Step]:
    """Leave an owner out for a while."""
    if host != state.owner.host:
        state["keys"].unreached.add(host)
        yield StartTimer(timer="key_owner", key=host, delay=UNREACHED_PAUSE)


@on_timer("key_owner")
def ask_owner_again(state: State, event: TimerFired) -> None:
    """Ask an owner again that was left out."""
    state["keys"].unreached.discard(event.key)
