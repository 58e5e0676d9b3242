"""Saves which build began each stream, so that it is known after all hosts were lost at once.

A host that starts reads what all hosts saved. It saves each build before a stream may begin there.
A caller that resumes a stream of which this host was not told waits until the store was read after
the caller had come: only that tells a host that was out of step of builds that others use.

Load patterns handled: a release, during which every host saves its streams at intervals. While one
build serves, only that build is saved, once and then seldom. After a loss of hosts many callers
come at once; they share a read.
"""

import typing

from .._effects import EnsureTimer, LogLine, StartTimer
from .._effects_forwarding import ReadSavedStreams, SaveStreams
from .._events import (
    BuildRead,
    EndpointsRead,
    ForwarderBooted,
    PlacesChanged,
    RoutesRead,
    SavedStreamsRead,
    StepFailed,
    StoreRestored,
    StreamsSaved,
    TimerFired,
)
from .._forwarding import SavedBuilds
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import builds, neighbours

SAVE_INTERVAL_S = 0.5  # Time between two saves of a host while its streams change.
REFRESH_INTERVAL_S = 7.0  # Time between two saves of a host whose streams do not change.
# The same while one build serves; well below `builds.MAX_SAVED_AGE_S`.
SOLE_REFRESH_INTERVAL_S = 60.0
MAX_SAVES_PER_S = 100.0  # Most saves of all hosts together, a quarter of a small store's writes.
MAX_SAVED = 500  # Most streams in one save; the newest are kept.
# Callers that come within this time after the store was asked share the answer. It is shorter than
# a stream takes to begin, to break off and to be resumed.
SHARED_READ_S = 0.25
# Longest wait of a caller for the store, which answers in some ms; another host may be told.
READ_TIMEOUT_S = 0.8
# Time for which saves go to the spare part of the store, after one to the usual part has failed.
SPARE_TIME_S = 5.0
# Time after an exception in which a save or a read that is under way has a result.
STORE_CALL_LOST_S = 3.0


@state_slice("builds_saving")
class SavingState:
    """What this host saved last, when, and whether an answer of the store is due.

    ``waiting`` holds the calls that wait for a read of the store: id, service, name of the stream
    and monotonic time of arrival. ``read`` has what hosts had saved when the store was asked at
    ``asked_at``. Until ``spare_until``, saves go to the spare part of the store.
    """

    __slots__ = (
        "saved",
        "saved_at",
        "is_saving",
        "saving_builds",
        "is_spare_save",
        "save_scheduled",
        "spare_until",
        "is_reading",
        "asked_at",
        "read",
        "waiting",
    )

    def __init__(self, cfg: Settings) -> None:
        self.saved: frozenset[tuple[str, float]] = frozenset()
        self.saved_at = float("-inf")
        self.is_saving = False
        self.saving_builds: dict[str, tuple[str, ...]] = {}
        self.is_spare_save = False
        self.save_scheduled = False
        self.spare_until = float("-inf")
        self.is_reading = False
        self.asked_at = float("-inf")
        self.read: dict[str, SavedBuilds] = {}
        self.waiting: dict[str, tuple[str, str, float]] = {}


@handles(ForwarderBooted)
def start_saving(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Read what was saved, and start to save."""
    yield from _ask(state)
    yield StartTimer(timer="save_streams", delay=SAVE_INTERVAL_S)


def _ask(state: State) -> typing.Iterator[Step]:
    saving_state = state["builds_saving"]
    if not saving_state.is_reading:
        saving_state.is_reading = True
        yield ReadSavedStreams(history=not builds.is_restored(state))


@handles(SavedStreamsRead)
def saved_streams_read(state: State, event: SavedStreamsRead) -> typing.Iterator[Step]:
    """Remember the streams that were saved; the first time, those of this host are its own again.

    Callers that waited for this are told at which build their streams go on.
    """
    saving_state = state["builds_saving"]
    saving_state.asked_at, saving_state.read = event.asked_at, event.saved
    saving_state.is_reading = False
    for ages in event.builds:
        builds.learn(state, (), ages, event.at)
    builds.learn(state, event.begun, {}, event.at)
    builds.note_era(state, event.era, event.saved, event.at)
    if not builds.is_restored(state):
        own = event.saved.get(state.owner.host)
        yield from builds.restore(state, event.own, event.saved, event.history, event.at)
        yield _restored_line(state, own, event)
        yield from _save_new_builds(state, event.at)
    for call_id, (service, name, arrived_at) in list(saving_state.waiting.items()):
        if arrived_at <= event.asked_at + SHARED_READ_S:
            yield _answer(state, call_id, service, name, event.at)
    if saving_state.waiting:
        yield from _ask(state)


def _restored_line(state: State, own: SavedBuilds | None, event: SavedStreamsRead) -> LogLine:
    fields = {
        "era": event.era,
        "saved_era": "-" if own is None or own.era is None else own.era,
        "saved_age": "-" if own is None else own.age,
        "complete": not builds.may_lack_saves(state, own, event.at),
        "history": len(event.history),
    }
    return LogLine(event="builds_restored", fields=fields)


def look_up(
    state: State, call_id: str, service: str, name: str, at: float
) -> typing.Iterator[Step]:
    """Ask the store at which build a stream may go on; the answer is a `BuildRead`.

    Args:
        state: The host's state.
        call_id: The call that resumes the stream.
        service: Name of the call's service.
        name: Name of the stream.
        at: Monotonic time.
    """
    saving_state = state["builds_saving"]
    if builds.states_no_build(state, service):
        yield BuildRead(at=at, call_id=call_id, build="")
    elif at <= saving_state.asked_at + SHARED_READ_S:
        yield _answer(state, call_id, service, name, at)
    else:
        saving_state.waiting[call_id] = (service, name, at)
        yield StartTimer(timer="build_unread", key=call_id, delay=READ_TIMEOUT_S)
        yield from _ask(state)


def read_age(state: State, at: float) -> float:
    """Return the seconds since the store was asked what hosts had saved."""
    return at - state["builds_saving"].asked_at


def _answer(state: State, call_id: str, service: str, name: str, at: float) -> BuildRead:
    saving_state = state["builds_saving"]
    saving_state.waiting.pop(call_id, None)
    telling = neighbours.hosts_telling_streams(state, at)
    found = builds.possible_builds(
        state, service, saving_state.read, at, name=name, telling=telling
    )
    return BuildRead(
        at=at, call_id=call_id, build=builds.only_build(found), possible=tuple(sorted(found))
    )


@on_timer("build_unread")
def build_unread(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Let a caller wait no longer for the store."""
    if state["builds_saving"].waiting.pop(event.key, None) is not None:
        yield BuildRead(at=event.at, call_id=event.key, build=None)


@handles(EndpointsRead)
def endpoints_read(state: State, event: EndpointsRead) -> typing.Iterator[Step]:
    """Save builds that were just listed, so that streams may begin there."""
    yield from _save_new_builds(state, event.at)


@handles(RoutesRead)
def routes_read(state: State, event: RoutesRead) -> typing.Iterator[Step]:
    """Save the builds of services to which streams go from now on."""
    builds.note_listed(state, event.at)
    yield from builds.note_used_unsaved(state)
    yield from _save_new_builds(state, event.at)


def _save_new_builds(state: State, at: float) -> typing.Iterator[Step]:
    """Save new builds; at a random moment, as all hosts learn of a build at once."""
    saving_state = state["builds_saving"]
    if not builds.has_unsaved(state) or saving_state.save_scheduled:
        return
    others = neighbours.host_count(state, at) - 1
    if not others:
        yield from _save(state, at)
        return
    saving_state.save_scheduled = True
    yield StartTimer(timer="save_builds", delay=state.rng.random() * others / MAX_SAVES_PER_S)


@on_timer("save_builds")
def save_new_builds(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Save new builds; while another save is under way, the next one has them."""
    state["builds_saving"].save_scheduled = False
    if builds.has_unsaved(state):
        yield from _save(state, event.at)


@on_timer("save_streams")
def save_streams(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Save this host's streams if several builds serve and the streams have changed.

    While one build serves, that build is saved at long intervals.
    """
    builds.note_listed(state, event.at)
    builds.forget_old(state, event.at)
    interval = max(SAVE_INTERVAL_S, neighbours.host_count(state, event.at) / MAX_SAVES_PER_S)
    yield StartTimer(timer="save_streams", delay=interval)
    saving_state = state["builds_saving"]
    is_mixed = bool(builds.mixed_services(state, event.at))
    begun = builds.builds_to_save(state, event.at).begun
    if not begun and not is_mixed:
        return
    refresh_interval = REFRESH_INTERVAL_S if is_mixed else SOLE_REFRESH_INTERVAL_S
    is_fresh = event.at - saving_state.saved_at < refresh_interval
    has_changed = is_mixed and saving_state.saved != _names(_own_streams(state))
    if has_changed or not is_fresh or begun != saving_state.saving_builds:
        yield from _save(state, event.at)


def _own_streams(state: State) -> tuple[builds.BegunStream, ...]:
    return builds.own_streams(state)[-MAX_SAVED:]


def _names(streams: tuple[builds.BegunStream, ...]) -> frozenset[tuple[str, float]]:
    return frozenset((one.name, one.began) for one in streams)


def _save(state: State, at: float) -> typing.Iterator[Step]:
    saving_state = state["builds_saving"]
    if saving_state.is_saving or not builds.is_restored(state):
        return
    mixed_services = builds.mixed_services(state, at)
    streams = _own_streams(state) if mixed_services else ()
    saved = builds.builds_to_save(state, at)
    if saved.begun != saving_state.saving_builds:
        fields = {
            "builds": " ".join(f"{name}:{','.join(each)}" for name, each in saved.begun.items()),
            "lost": " ".join(f"{name}:{','.join(each)}" for name, each in saved.lost.items())
            or "-",
        }
        yield LogLine(event="builds_saving", fields=fields)
    saving_state.saved, saving_state.saved_at = _names(streams), at
    saving_state.saving_builds = saved.begun
    saving_state.is_saving = True
    saving_state.is_spare_save = at < saving_state.spare_until
    yield SaveStreams(
        begun=streams, builds=mixed_services, saved=saved, spare=saving_state.is_spare_save
    )


@handles(StoreRestored)
def save_again(state: State, event: StoreRestored) -> None:
    """Save the streams again, as the copy may lack the last save."""
    builds.note_era(state, event.era, {}, event.at)
    state["builds_saving"].saved_at = float("-inf")


@handles(StreamsSaved)
def streams_saved(state: State, event: StreamsSaved) -> typing.Iterator[Step]:
    """Let the next save begin; one that failed is repeated with what has changed since.

    Parts of the store may be down while the list of endpoints is served. So a save of a new build
    or of streams is repeated at once in the spare part, and if that fails, in the usual one again.
    """
    saving_state = state["builds_saving"]
    saving_state.is_saving = False
    if event.failure is not None:
        saving_state.saved_at = float("-inf")
        saving_state.spare_until = float("-inf")
        is_needed = builds.has_unsaved(state) or bool(saving_state.saved)
        if is_needed and not saving_state.is_spare_save:
            saving_state.spare_until = event.at + SPARE_TIME_S
            yield from _save(state, event.at)
        return
    had_unsaved = builds.has_unsaved(state)
    builds.note_saved(state, saving_state.saving_builds)
    if had_unsaved:
        yield PlacesChanged(at=event.at)
        yield from _save_new_builds(state, event.at)


@handles(StepFailed)
def watch_store_calls(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """See later whether saves and reads have gone on; one that is due may not have begun."""
    saving_state = state["builds_saving"]
    if saving_state.save_scheduled:
        yield EnsureTimer(timer="save_builds", delay=SAVE_INTERVAL_S)
    if saving_state.is_saving or _may_need_read(state):
        yield EnsureTimer(timer="store_calls", delay=STORE_CALL_LOST_S)


def _may_need_read(state: State) -> bool:
    """Return whether the store has to be read if no read is under way."""
    saving_state = state["builds_saving"]
    has_read = saving_state.asked_at > float("-inf")
    is_unapplied = has_read and not builds.is_restored(state)
    return saving_state.is_reading or bool(saving_state.waiting) or is_unapplied


@on_timer("store_calls")
def repeat_store_calls(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Repeat a read without a result, and let the next save begin."""
    saving_state = state["builds_saving"]
    if saving_state.is_saving and event.at - saving_state.saved_at >= STORE_CALL_LOST_S:
        saving_state.is_saving = False
        saving_state.saved_at = float("-inf")
    if _may_need_read(state):
        saving_state.is_reading = True
        yield ReadSavedStreams(history=not builds.is_restored(state))
