"""Reaping of orphaned attempts: frees engine memory that no host uses any more.

Only the coordinator of the engine's pool reaps, based on the engine's own reports. The attempts of
a dead host are cancelled after a grace period, in which a retry on another host may adopt the
stream. A live host is asked first, because failed communication between two hosts says nothing
about what either of them serves.
"""

import typing

from .._effects import Count, SendPeer
from .._events import EngineReported, MembersChanged, PeerMessage
from .._reducer import Step, handles, on_message
from .._settings import Settings
from .._state import State, state_slice
from .._wire import EngineReport, Owner, ServedAsk, StreamReport, Unserved
from . import attempts, cancels, coordinator, members

# An attempt is cancelled after its live owner has answered this many times, at least one renewal
# interval apart, that it does not serve the attempt.
MAX_DENIALS = 2


class Suspect:
    """An attempt that holds memory at an engine, and that may be orphaned."""

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
    """Possibly orphaned attempts by engine and attempt id."""

    __slots__ = ("suspects",)

    def __init__(self, cfg: Settings) -> None:
        self.suspects: dict[str, dict[str, Suspect]] = {}


def parse_owner(text: str) -> Owner:
    """Parse an owner from its form in engine reports, ``host/incarnation``."""
    host, _, incarnation = text.partition("/")
    return Owner(host=host, incarnation=incarnation)


@handles(EngineReported)
def cancel_orphans(state: State, event: EngineReported) -> typing.Iterator[Step]:
    """Find orphaned attempts in an engine's report, and cancel those whose grace period is over."""
    report = event.report
    if not coordinator.coordinates(state, report.engine):
        state["reaping"].suspects.pop(report.engine, None)
        return
    suspects = _suspects_of(state, report, event.at)
    state["reaping"].suspects[report.engine] = suspects
    for attempt_id, suspect in suspects.items():
        yield from _check_suspect(state, report.engine, attempt_id, suspect, event.at)
    yield from _ask_owners(state, report.engine, suspects, event.at)


def _suspects_of(state: State, report: EngineReport, at: float) -> dict[str, Suspect]:
    earlier_suspects = state["reaping"].suspects.get(report.engine, {})
    suspects = {}
    running = attempts.running_attempt_ids(state)
    for stream in report.streams:
        if _is_served(state, report.engine, stream, running, at):
            continue
        owner = parse_owner(stream.owner)
        suspect = earlier_suspects.get(stream.attempt_id)
        if suspect is None or suspect.owner != owner:
            suspect = Suspect(request_id=stream.request_id, owner=owner, since=at)
        suspects[stream.attempt_id] = suspect
    return suspects


def _is_served(
    state: State, engine: str, stream: StreamReport, running: frozenset[str], at: float
) -> bool:
    # A renewed reservation proves that some host serves the attempt, even if the engine still names
    # the host from which the stream was adopted.
    if coordinator.is_reserved(state, engine, stream.attempt_id, at):
        return True
    is_own = parse_owner(stream.owner) == state.owner
    return is_own and _is_served_here(state, stream.attempt_id, running)


def _is_served_here(state: State, attempt_id: str, running: frozenset[str]) -> bool:
    """Return whether this host serves an attempt, or is about to cancel it itself."""
    return attempt_id in running or cancels.is_pending(state, attempt_id)


def _check_suspect(
    state: State, engine: str, attempt_id: str, suspect: Suspect, at: float
) -> typing.Iterator[Step]:
    timing = state.cfg.timing
    if suspect.owner != state.owner and members.is_live(state, suspect.owner):
        suspect.dead_since = None
        should_cancel = suspect.denials >= MAX_DENIALS
    else:
        suspect.dead_since = at if suspect.dead_since is None else suspect.dead_since
        should_cancel = at - suspect.dead_since >= timing.reap_grace
    if should_cancel and not cancels.is_pending(state, attempt_id):
        yield Count(metric="reaped")
        yield from cancels.cancel(state, suspect.request_id, attempt_id, engine)


def _ask_owners(
    state: State, engine: str, suspects: dict[str, Suspect], at: float
) -> typing.Iterator[Step]:
    asked: dict[Owner, list[str]] = {}
    for attempt_id, suspect in suspects.items():
        if suspect.dead_since is None and at - suspect.asked_at >= state.cfg.timing.renew:
            suspect.asked_at = at
            asked.setdefault(suspect.owner, []).append(attempt_id)
    for owner, attempt_ids in asked.items():
        message = ServedAsk(engine=engine, owner=owner, attempts=tuple(attempt_ids))
        yield SendPeer(host=owner.host, message=message)


@on_message(ServedAsk)
def asked(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Answer with the attempts that this host does not serve, for example after a restart."""
    ask = event.message
    running = attempts.running_attempt_ids(state)
    unserved_ids = tuple(
        attempt_id for attempt_id in ask.attempts if not _is_served_here(state, attempt_id, running)
    )
    if unserved_ids:
        message = Unserved(engine=ask.engine, owner=ask.owner, attempts=unserved_ids)
        yield SendPeer(host=event.sender.host, message=message)


@on_message(Unserved)
def count_denials(state: State, event: PeerMessage) -> None:
    """Count how often an owner answered that it does not serve an attempt."""
    message = event.message
    suspects = state["reaping"].suspects.get(message.engine, {})
    for attempt_id in message.attempts:
        suspect = suspects.get(attempt_id)
        if suspect and suspect.owner == message.owner:
            suspect.denials += 1


@handles(MembersChanged)
def drop_engines(state: State, event: MembersChanged) -> None:
    """Drop suspects at engines that this host no longer coordinates."""
    reaping_state = state["reaping"]
    for engine in list(reaping_state.suspects):
        if not coordinator.coordinates(state, engine):
            del reaping_state.suspects[engine]
