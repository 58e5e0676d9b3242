"""Saves what this host has found, and learns what hosts saved that it can't hear.

Hosts tell each other their findings by datagram. The store reaches hosts that are cut off from each
other, and hosts that start after those that knew have ended. A host that starts reads what it saved
before, so that its first save does not replace that.

Load pattern handled: many hosts see an endpoint end at once. Each saves only what it found itself,
the first time at once; and the larger the fleet, the less often each one saves again.
"""

import typing

from .._effects import EnsureTimer, StartTimer
from .._effects_forwarding import SaveFindings
from .._events import (
    FindingsRead,
    FindingsSaved,
    ForwarderBooted,
    StepFailed,
    TimerFired,
)
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import crash_watch, crashing_parts, neighbours

SAVE_LOST_S = 3.0  # Time after an exception in which a save under way has a result.
SAVE_INTERVAL_S = 0.25  # Least time between two saves of a host while its findings change.
MAX_SAVES_PER_S = 100.0  # Most saves of all hosts together, a quarter of a small store's writes.


@state_slice("findings_saving")
class FindingsSavingState:
    """The version of the findings that was saved last, when, and whether an answer is due.

    ``is_restored`` says whether this host has read what it saved before it started.
    """

    __slots__ = ("saved_version", "saved_at", "is_saving", "is_restored")

    def __init__(self, cfg: Settings) -> None:
        self.saved_version = 0
        self.saved_at = float("-inf")
        self.is_saving = False
        self.is_restored = False


@handles(ForwarderBooted)
def start_saving(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Start to save findings at intervals."""
    yield StartTimer(timer="save_findings", delay=SAVE_INTERVAL_S)


@handles(FindingsRead)
def findings_read(state: State, event: FindingsRead) -> typing.Iterator[Step]:
    """Learn what hosts saved; once all is read, this host's own findings can be saved again."""
    saving_state = state["findings_saving"]
    has_changed = False
    for findings in event.findings:
        if findings.host != state.owner.host:
            has_changed |= crashing_parts.learn(state, findings, event.at)
        elif not saving_state.is_restored:
            has_changed |= crashing_parts.restore(state, findings, event.at)
    if event.whole:
        saving_state.is_restored = True
        # What is read in whole may come from a store that has lost this host's newest save.
        saving_state.saved_version = 0
    if has_changed:
        yield from crash_watch.apply_blocks(state, event.at)
    yield from crash_watch.tell_sound_streams(state, event.at)


@on_timer("save_findings")
def save_findings(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Save this host's findings if they have changed, and forget old ones."""
    yield StartTimer(timer="save_findings", delay=SAVE_INTERVAL_S)
    if crashing_parts.forget_old(state, event.at):
        yield from crash_watch.apply_blocks(state, event.at)
    saving_state = state["findings_saving"]
    version = crashing_parts.version(state)
    if saving_state.is_saving or not saving_state.is_restored:
        return
    pause = neighbours.host_count(state, event.at) / MAX_SAVES_PER_S
    if version == saving_state.saved_version or event.at - saving_state.saved_at < pause:
        return
    saving_state.saved_version, saving_state.saved_at = version, event.at
    saving_state.is_saving = True
    yield SaveFindings(findings=crashing_parts.own_findings(state))


@handles(FindingsSaved)
def findings_saved(state: State, event: FindingsSaved) -> None:
    """Let the next save begin; one that failed is repeated."""
    saving_state = state["findings_saving"]
    saving_state.is_saving = False
    if event.failure is not None:
        saving_state.saved_version = 0


@handles(StepFailed)
def watch_save(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """See later whether a save has ended, which may not have begun."""
    if state["findings_saving"].is_saving:
        yield EnsureTimer(timer="findings_lost", delay=SAVE_LOST_S)


@on_timer("findings_lost")
def repeat_save(state: State, event: TimerFired) -> None:
    """Let the next save begin if one has had no result."""
    saving_state = state["findings_saving"]
    if saving_state.is_saving and event.at - saving_state.saved_at >= SAVE_LOST_S:
        saving_state.is_saving = False
        saving_state.saved_version = 0
