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
from .._effects import Count, SendPeer, StartTimer, StopTimer
from .._events import (
    AdmissionWanted,
    Booted,
    Call,
    MembersChanged,
    PeerFailed,
    PeerMessage,
    RequestClosed,
    TimerFired,
)
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import ClaimKey, KeyClaimed, KeyServed, Owner, Supersede, Superseded
from . import generation, members, takeover

MAX_ASKS = 30  # Supersede messages sent before a request is run anew.
SWEEP_INTERVAL = 15.0  # Seconds between looks for records that are over.
OWNERS = 2  # Hosts that know where a key is served.
MAX_CLAIMS = 3  # Owners asked before a request is run without an answer.
UNREACHED_PAUSE = 15.0  # Seconds for which an owner that was not reached is left out.
UNREACHED_ZONE = 2  # Hosts of another zone not reached, after which the whole zone is left out.
CANDIDATES = 4  # Hosts that may have become owners of a key while this host was paused.
KEEP = 60.0  # Seconds for which a record outlives its request, or its serving host.


class Claim:
    """A claim of this host that has not been settled yet.

    ``message`` went to ``owner``, after ``claims`` others that did not answer.
    """

    __slots__ = ("message", "owner", "claims", "answer", "asks")

    def __init__(self, *, message: ClaimKey) -> None:
        self.message = message
        self.owner = ""
        self.claims = 0
        self.answer: KeyClaimed | None = None
        self.asks = 0


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
    """Claims of this host, the keys it owns, and the owners it has told, by request id.

    ``unreached`` holds owners that are left out for a while.
    """

    __slots__ = ("claims", "served", "told", "unreached")

    def __init__(self, cfg: Settings) -> None:
        self.claims: dict[str, Claim] = {}
        self.served: dict[str, Served] = {}
        self.told: dict[str, list[str]] = {}
        self.unreached: set[str] = set()


def claim(state: State, call: Call, at: float) -> typing.Iterator[Step]:
    """Ask the key's owner whether the request is being served already."""
    message = ClaimKey(
        request_id=call.request_id,
        attempt_id=generation.next_attempt(state),
        claimant=state.owner,
        deadline=state.wall(call.deadline),
    )
    state["keys"].claims[call.request_id] = Claim(message=message)
    yield from _send_claim(state, call.request_id)


def _send_claim(state: State, request_id: str) -> typing.Iterator[Step]:
    waiting = state["keys"].claims[request_id]
    waiting.owner = _owners(state, request_id)[0]
    yield SendPeer(host=waiting.owner, message=waiting.message)
    yield StartTimer(timer="claim", key=request_id, delay=state.cfg.timing.peer)


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
    owners = _owners(state, request_id)
    if state["keys"].unreached:
        owners += _ranked_owners(state, request_id, members.live_hosts)
    return list(dict.fromkeys(owners))


def _owners(state: State, request_id: str) -> list[str]:
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
        yield SendPeer(host=_owners(state, asked.request_id)[0], message=asked)
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


@on_message(KeyClaimed)
def claimed(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Run the request, or take it over from the host that serves it."""
    answer = event.message
    waiting = state["keys"].claims.get(answer.request_id)
    if waiting is None or waiting.message.attempt_id != answer.attempt_id or waiting.answer:
        return
    waiting.answer = answer
    if answer.serving is None:
        yield from _run_anew(state, answer.request_id, event.at)
    elif members.is_live(state, answer.serving):
        yield from _ask(state, answer.request_id, waiting)
    else:
        yield from _settle(state, answer.request_id, event.at)


def _ask(state: State, request_id: str, waiting: Claim) -> typing.Iterator[Step]:
    waiting.asks += 1
    message = Supersede(
        request_id=request_id, attempt_id=waiting.message.attempt_id, by=state.owner
    )
    yield SendPeer(host=waiting.answer.serving.host, message=message)
    yield StartTimer(timer="claim", key=request_id, delay=state.cfg.timing.peer)


def _run_anew(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    state["keys"].claims.pop(request_id, None)
    yield StopTimer(timer="claim", key=request_id)
    yield AdmissionWanted(at=at, request_id=request_id)


def _settle(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    """The serving host is lost: go on with its stream where the engine is known."""
    waiting = state["keys"].claims[request_id]
    answer = waiting.answer
    if answer is None or not answer.engine:
        yield from _run_anew(state, request_id, at)
        return
    state["keys"].claims.pop(request_id)
    yield StopTimer(timer="claim", key=request_id)
    yield from takeover.adopt(state, request_id, answer.running_attempt, answer.engine, at)


@handles(MembersChanged)
def report_again(state: State, event: MembersChanged) -> typing.Iterator[Step]:
    """Tell new owners of the keys that this host serves."""
    mine = state["keys"]
    for request_id, gen in generation.keyed(state):
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
        moved = state.owner.host not in _owners(state, request_id)
        if (over or moved) and event.at - known.at > KEEP:
            del served[request_id]
    yield StartTimer(timer="keys_sweep", delay=SWEEP_INTERVAL)


@handles(RequestClosed)
def close(state: State, event: RequestClosed) -> typing.Iterator[Step]:
    """Drop the claim of a request that is over."""
    state["keys"].told.pop(event.request_id, None)
    if state["keys"].claims.pop(event.request_id, None):
        yield StopTimer(timer="claim", key=event.request_id)


@on_message(Superseded)
def superseded(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """The older host let go: adopt its stream, or run the request anew."""
    told = event.message
    waiting = state["keys"].claims.get(told.request_id)
    if waiting is None or waiting.message.attempt_id != told.attempt_id:
        return
    if not told.engine:
        yield from _run_anew(state, told.request_id, event.at)
        return
    state["keys"].claims.pop(told.request_id)
    yield StopTimer(timer="claim", key=told.request_id)
    yield Count(metric="adopted")
    yield from takeover.adopt(state, told.request_id, told.running_attempt, told.engine, event.at)


@on_message(Supersede)
def yield_up(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Hand a request over to the host that a newer call reached."""
    asked = event.message
    yield from takeover.hand_over(state, asked, event.at)


@on_timer("claim")
def claim_expired(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Ask again while the serving host lives; otherwise go on without an answer."""
    waiting = state["keys"].claims.get(event.key)
    if waiting is None:
        return
    answer = waiting.answer
    alive = answer and answer.serving and members.is_live(state, answer.serving)
    if alive and waiting.asks < MAX_ASKS:
        yield from _ask(state, event.key, waiting)
    elif answer is None:
        yield from _leave_out(state, waiting.owner)
        yield from _claim_again(state, event.key, event.at)
    else:
        yield from _settle(state, event.key, event.at)


@handles(PeerFailed)
def unanswered(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Go on without the owner, or the older host, that can't be reached."""
    message = event.message
    if isinstance(message, ClaimKey | KeyServed):
        yield from _leave_out(state, event.host)
    if not isinstance(message, ClaimKey | Supersede):
        return
    waiting = state["keys"].claims.get(message.request_id)
    if waiting is None or waiting.message.attempt_id != message.attempt_id:
        return
    if isinstance(message, Supersede):
        yield from _settle(state, message.request_id, event.at)
    elif waiting.owner == event.host and waiting.answer is None:
        yield from _claim_again(state, message.request_id, event.at)


def _leave_out(state: State, host: str) -> typing.Iterator[Step]:
    if host != state.owner.host:
        state["keys"].unreached.add(host)
        yield StartTimer(timer="key_owner", key=host, delay=UNREACHED_PAUSE)


@on_timer("key_owner")
def ask_owner_again(state: State, event: TimerFired) -> None:
    """Ask an owner again that was left out."""
    state["keys"].unreached.discard(event.key)


def _claim_again(state: State, request_id: str, at: float) -> typing.Iterator[Step]:
    waiting = state["keys"].claims[request_id]
    waiting.claims += 1
    if waiting.claims < MAX_CLAIMS:
        yield from _send_claim(state, request_id)
    else:
        yield from _settle(state, request_id, at)
