"""Saves which build began each stream, so that it is known after all hosts were lost at once.

A host that starts reads what all hosts saved. Until then it resumes no stream that it was not told.

Load pattern handled: a release, during which every host saves its streams at intervals. At all
other times, when one build serves, nothing is saved.
"""

import typing

from .._effects import StartTimer
from .._effects_forwarding import ReadSavedStreams, SaveStreams
from .._events import (
    ForwarderBooted,
    SavedStreamsRead,
    StoreRestored,
    StreamsSaved,
    TimerFired,
)
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import builds, neighbours

SAVE_INTERVAL_S = 0.5  # Time between two saves of a host while its streams change.
REFRESH_INTERVAL_S = 7.0  # Time between two saves of a host whose streams do not change.
MAX_SAVES_PER_S = 100.0  # Most saves of all hosts together, a quarter of a small store's writes.
MAX_SAVED = 500  # Most streams in one save; the newest are kept.


@state_slice("builds_saving")
class SavingState:
    """What this host saved last, when, and whether an answer of the store is due."""

    __slots__ = ("saved", "saved_at", "is_saving")

    def __init__(self, cfg: Settings) -> None:
        self.saved: frozenset[tuple[str, float]] = frozenset()
        self.saved_at = float("-inf")
        self.is_saving = False


@handles(ForwarderBooted)
def start_saving(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Read what was saved, and start to save."""
    yield ReadSavedStreams()
    yield StartTimer(timer="save_streams", delay=SAVE_INTERVAL_S)


@handles(SavedStreamsRead)
def saved_streams_read(state: State, event: SavedStreamsRead) -> None:
    """Remember the streams that were saved; those of this host are its own again."""
    for ages in event.builds:
        builds.learn(state, (), ages, event.at)
    builds.learn(state, event.begun, {}, event.at)
    builds.restore(state, event.own)


@on_timer("save_streams")
def save_streams(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Save this host's streams if several builds serve and the streams have changed."""
    builds.note_listed(state, event.at)
    builds.forget_old(state, event.at)
    interval = max(SAVE_INTERVAL_S, neighbours.host_count(state, event.at) / MAX_SAVES_PER_S)
    yield StartTimer(timer="save_streams", delay=interval)
    saving_state = state["builds_saving"]
    mixed_services = builds.mixed_services(state, event.at)
    if saving_state.is_saving or not mixed_services or not builds.is_restored(state):
        return
    streams = builds.own_streams(state)[-MAX_SAVED:]
    saved = frozenset((one.name, one.began) for one in streams)
    is_fresh = event.at - saving_state.saved_at < REFRESH_INTERVAL_S
    if saved == saving_state.saved and is_fresh:
        return
    saving_state.saved, saving_state.saved_at = saved, event.at
    saving_state.is_saving = True
    yield SaveStreams(begun=streams, builds=mixed_services)


@handles(StoreRestored)
def save_again(state: State, event: StoreRestored) -> None:
    """Save the streams again, as the copy may lack the last save."""
    state["builds_saving"].saved_at = float("-inf")


@handles(StreamsSaved)
def streams_saved(state: State, event: StreamsSaved) -> None:
    """Let the next save begin; one that failed is repeated with what has changed since."""
    saving_state = state["builds_saving"]
    saving_state.is_saving = False
    if event.failure is not None:
        saving_state.saved_at = float("-inf")
