"""Reaping: an engine's memory is freed where the host that asked for it no longer serves it.

Only the coordinator of the engine's pool reaps, from the engine's own report. A dead host is
given up after a short grace, in which a retry on another host may adopt the stream. A live host is
asked, because silence between two hosts proves nothing about what either of them serves.
"""

import typing

from .._effects import Count, SendPeer
from .._events import EngineReported, MembersChanged, PeerMessage
from .._reducer import Step, handles, on_message
from .._settings import Settings
from .._state import State, state_slice
from .._wire import EngineReport, Owner, ServedAsk, StreamReport, Unserved
from . import attempts, cancels, coordinator, members

DENIALS = 2  # Answers of a live owner, a renewal apart, before its attempt is cancelled.


class Suspect:
    """An attempt that holds memory at an engine and that nobody here knows to be served."""

    __slots__ = ("request_id", "owner", "since", "dead_since", "asked_at", "denials")

    def __init__(self, *, request_id: str, owner: Owner, since: float) -> None:
        self.request_id = request_id
        self.owner = owner
        self.since = since
        self.dead_since: float | None = None
        self.asked_at = since
        self.denials = 0


@state_slice("reaping")
class ReapingState:
    """Suspects by engine and attempt id."""

    __slots__ = ("suspects",)

    def __init__(self, cfg: Settings) -> None:
        self.suspects: dict[str, dict[str, Suspect]] = {}


def owner_from(text: str) -> Owner:
    """Return the owner that an engine's report names as ``host/incarnation``."""
    host, _, incarnation = text.partition("/")
    return Owner(host=host, incarnation=incarnation)


@handles(EngineReported)
def reported(state: State, event: EngineReported) -> typing.Iterator[Step]:
    """Look for attempts that nobody serves, and cancel those whose grace is over."""
    report = event.report
    if not coordinator.coordinates(state, report.engine):
        state["reaping"].suspects.pop(report.engine, None)
        return
    suspects = _suspects_of(state, report, event.at)
    state["reaping"].suspects[report.engine] = suspects
    for attempt_id, one in suspects.items():
        yield from _judge(state, report.engine, attempt_id, one, event.at)
    yield from _ask_owners(state, report.engine, suspects, event.at)


def _suspects_of(state: State, report: EngineReport, at: float) -> dict[str, Suspect]:
    before = state["reaping"].suspects.get(report.engine, {})
    suspects = {}
    running = attempts.running_attempts(state)
    for stream in report.streams:
        if _is_served(state, report.engine, stream, running, at):
            continue
        owner = owner_from(stream.owner)
        known = before.get(stream.attempt_id)
        if known is None or known.owner != owner:
            known = Suspect(request_id=stream.request_id, owner=owner, since=at)
        suspects[stream.attempt_id] = known
    return suspects


def _is_served(
    state: State, engine: str, stream: StreamReport, running: frozenset[str], at: float
) -> bool:
    # A reservation that is renewed is served by somebody, also where the engine names the host
    # that the stream was adopted from.
    if coordinator.is_reserved(state, engine, stream.attempt_id, at):
        return True
    mine = owner_from(stream.owner) == state.owner
    return mine and _is_served_here(state, stream.attempt_id, running)


def _is_served_here(state: State, attempt_id: str, running: frozenset[str]) -> bool:
    """Tell whether this host serves an attempt, or is about to cancel it itself."""
    return attempt_id in running or cancels.is_pending(state, attempt_id)


def _judge(
    state: State, engine: str, attempt_id: str, one: Suspect, at: float
) -> typing.Iterator[Step]:
    timing = state.cfg.timing
    if one.owner != state.owner and members.is_live(state, one.owner):
        one.dead_since = None
        reap = one.denials >= DENIALS
    else:
        one.dead_since = at if one.dead_since is None else one.dead_since
        reap = at - one.dead_since >= timing.reap_grace
    if reap and not cancels.is_pending(state, attempt_id):
        yield Count(metric="reaped")
        yield from cancels.cancel(state, one.request_id, attempt_id, engine)


def _ask_owners(
    state: State, engine: str, suspects: dict[str, Suspect], at: float
) -> typing.Iterator[Step]:
    asked: dict[Owner, list[str]] = {}
    for attempt_id, one in suspects.items():
        if one.dead_since is None and at - one.asked_at >= state.cfg.timing.renew:
            one.asked_at = at
            asked.setdefault(one.owner, []).append(attempt_id)
    for owner, names in asked.items():
        message = ServedAsk(engine=engine, owner=owner, attempts=tuple(names))
        yield SendPeer(host=owner.host, message=message)


@on_message(ServedAsk)
def asked(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Name the attempts that this host does not serve; a later run serves none of an earlier."""
    ask = event.message
    running = attempts.running_attempts(state)
    missing = tuple(one for one in ask.attempts if not _is_served_here(state, one, running))
    if missing:
        message = Unserved(engine=ask.engine, owner=ask.owner, attempts=missing)
        yield SendPeer(host=event.sender.host, message=message)


@on_message(Unserved)
def denied(state: State, event: PeerMessage) -> None:
    """Count an owner's word that it does not serve an attempt."""
    told = event.message
    suspects = state["reaping"].suspects.get(told.engine, {})
    for attempt_id in told.attempts:
        one = suspects.get(attempt_id)
        if one and one.owner == told.owner:
            one.denials += 1


@handles(MembersChanged)
def engines_gone(state: State, event: MembersChanged) -> None:
    """Forget suspects at engines that this host does not coordinate any more."""
    mine = state["reaping"]
    for engine in list(mine.suspects):
        if not coordinator.coordinates(state, engine):
            del mine.suspects[engine]
