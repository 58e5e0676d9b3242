"""Log shards of at-most-once calls: one host per zone and shard reads and appends for the zone.

The idempotency keys are spread over log streams, the shards. In each availability zone one live
host coordinates a shard: it follows the stream, folds the records into key states, appends the
records of other hosts in groups, and reports to those hosts the state of their keys. Two hosts may
act as coordinator at the same time: a stale or second one reports an older prefix of the same
stream, which is safe because only the log decides which attempt wins.
"""

import typing

import msgspec
import xxhash

from .. import _fold
from .._decoding import decode_json
from .._effects import AppendLog, Count, ReadLog, SendPeer, StartTimer, TailLog
from .._events import (
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    PeerMessage,
    TimerFired,
)
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import Checkpoint, KeyAsk, KeyState, KeyTold, LogRecord
from . import members
from .host import busy_check, role_report

STREAM_PREFIX = "effects-"
WATCH_S = 10.0  # After a host asks about a key, it is told of the key's changes for this long.
# Limit on the appends of all hosts together, which leaves capacity for other streams of the log.
APPENDS_PER_SECOND = 160.0
APPEND_BURST = 4.0  # Appends that one host may make at once.
MIN_RETRY_DELAY_S = 0.1  # Delay after a failed append or read; doubles with each further failure.
MAX_RETRY_DELAY_S = 2.0  # Longest delay after repeated failures of an append or read.


class Shard:
    """A shard as the host that reads it knows it.

    ``position`` is the offset of the next record to read; ``ready`` is set once the stream has been
    read to its end. ``watchers`` holds, by key, the hosts to notify of the key's changes, each with
    the monotonic time at which that ends. ``queue`` holds the records to append, ``in_flight``
    those of the append in progress. ``unresolved`` is set while it is unknown whether the last
    append was written; ``failures`` counts failed appends and reads since the last confirmed one.
    """

    __slots__ = (
        "number",
        "keys",
        "position",
        "ready",
        "watchers",
        "queue",
        "in_flight",
        "unresolved",
        "failures",
    )

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.keys: dict[str, KeyState] = {}
        self.position = 0
        self.ready = False
        self.watchers: dict[str, dict[str, float]] = {}
        self.queue: list[_fold.EffectRecord] = []
        self.in_flight: list[_fold.EffectRecord] = []
        self.unresolved = False
        self.failures = 0

    @property
    def stream(self) -> str:
        """Return the name of the shard's stream."""
        return f"{STREAM_PREFIX}{self.number}"


@state_slice("once_shard")
class ShardState:
    """Shards that this host reads, and the token bucket that limits its appends.

    ``commit_armed`` is true while the timer of the next group commit runs; ``appends`` numbers the
    appends, for their tags.
    """

    __slots__ = ("shards", "tokens", "refilled_at", "commit_armed", "appends")

    def __init__(self, cfg: Settings) -> None:
        self.shards: dict[int, Shard] = {}
        self.tokens = APPEND_BURST
        self.refilled_at = 0.0
        self.commit_armed = False
        self.appends = 0


def shard_of(state: State, key: str) -> int:
    """Return the number of the shard that keeps a key's records."""
    return xxhash.xxh3_64_intdigest(key.encode()) % state.cfg.once.shards


def coordinator_of(state: State, shard: int) -> str:
    """Return the host of this zone that reads and appends for a shard."""
    return members.role_owner(state, f"effects/{shard}", state.zone)


@role_report
def roles(state: State) -> typing.Iterator[str]:
    """Name the shards that this host coordinates."""
    own_host = state.owner.host
    shards = state["once_shard"].shards
    return (f"effects/{shard}" for shard in shards if coordinator_of(state, shard) == own_host)


def append_rate(state: State) -> float:
    """Return the appends per second that this host may make within the limit of all hosts."""
    zones = max(1, len(members.zones(state)))
    hosts = max(1, len(members.live_hosts(state, state.zone)))
    return APPENDS_PER_SECOND / zones / min(hosts, state.cfg.once.shards)


def known_key(state: State, key: str) -> KeyState | None:
    """Return a key's state as far as this host has read the shard, or None."""
    shard = state["once_shard"].shards.get(shard_of(state, key))
    return shard.keys.get(key) if shard else None


@busy_check
def unconfirmed_record_count(state: State) -> int:
    """Count records that hosts asked to append and that the log has not confirmed."""
    shards = state["once_shard"].shards.values()
    return sum(len(shard.queue) + len(shard.in_flight) for shard in shards)


# --- Questions -----------------------------------------------------------------------------------


@on_message(KeyAsk)
def asked(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Queue the record, and report the key's state once the shard has been read."""
    ask = event.message
    shard = state["once_shard"].shards.get(ask.shard)
    if shard is None:
        shard = Shard(number=ask.shard)
        state["once_shard"].shards[ask.shard] = shard
        yield TailLog(stream=shard.stream, offset=0)
    watchers = shard.watchers.setdefault(ask.key, {})
    watchers[ask.owner.host] = event.at + WATCH_S
    if ask.record:
        _enqueue(shard, ask.record)
        yield from _schedule_commit(state, shard, event.at)
    if shard.ready:
        yield _key_state_message(shard, ask.key, ask.owner.host)


def _enqueue(shard: Shard, record: _fold.EffectRecord) -> None:
    if isinstance(record, _fold.Void):
        # An attempt that is given up needs no intent in the log; one still queued is dropped.
        shard.queue = [one for one in shard.queue if not _is_intent_of(one, record.attempt_id)]
    if record not in shard.queue and record not in shard.in_flight:
        shard.queue.append(record)


def _is_intent_of(record: _fold.EffectRecord, attempt_id: str) -> bool:
    return isinstance(record, _fold.Intent) and record.attempt_id == attempt_id


def _key_state_message(shard: Shard, key: str, host: str) -> SendPeer:
    message = KeyTold(
        shard=shard.number,
        key=key,
        position=shard.position,
        found=shard.keys.get(key, _fold.NEW_KEY),
    )
    return SendPeer(host=host, message=message)


# --- Appends -------------------------------------------------------------------------------------


def _schedule_commit(state: State, shard: Shard, at: float) -> typing.Iterator[Step]:
    """Start the timer of the next group commit, unless it runs already."""
    shard_state = state["once_shard"]
    if shard_state.commit_armed or not _may_append(shard):
        return
    shard_state.commit_armed = True
    _refill_tokens(state, at)
    wait = max(0.0, 1.0 - shard_state.tokens) / append_rate(state)
    yield StartTimer(timer="once_commit", delay=max(state.cfg.once.commit_interval, wait))


def _refill_tokens(state: State, at: float) -> None:
    shard_state = state["once_shard"]
    new_tokens = (at - shard_state.refilled_at) * append_rate(state)
    shard_state.tokens = min(APPEND_BURST, shard_state.tokens + new_tokens)
    shard_state.refilled_at = at


def _may_append(shard: Shard) -> bool:
    # Appends wait until the shard has been read: only then can records without effect be dropped.
    return bool(shard.queue) and shard.ready and not shard.in_flight and not shard.unresolved


@on_timer("once_commit")
def append_queues(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Append each shard's queue, the longest first, within the append rate."""
    shard_state = state["once_shard"]
    shard_state.commit_armed = False
    _refill_tokens(state, event.at)
    waiting = sorted(
        (shard for shard in shard_state.shards.values() if _may_append(shard)),
        key=lambda shard: (-len(shard.queue), shard.number),
    )
    for shard in waiting:
        shard.queue = [one for one in shard.queue if _is_useful(shard, one)]
        if shard.queue and shard_state.tokens >= 1.0:
            yield from _append(state, shard)
    for shard in waiting:
        yield from _schedule_commit(state, shard, event.at)


def _is_useful(shard: Shard, record: _fold.EffectRecord) -> bool:
    known = shard.keys.get(record.key, _fold.NEW_KEY)
    queued = any(_is_intent_of(one, record.attempt_id) for one in shard.queue)
    return queued or _fold.can_change_state(known, record)


def _append(state: State, shard: Shard) -> typing.Iterator[Step]:
    shard_state = state["once_shard"]
    shard_state.tokens -= 1.0
    shard_state.appends += 1
    shard.in_flight = shard.queue
    shard.queue = []
    tag = f"{shard.number}.{shard_state.appends}"
    yield AppendLog(stream=shard.stream, tag=tag, records=tuple(shard.in_flight))
    yield Count(metric="once_appends")
    yield Count(metric="once_records", amount=len(shard.in_flight))


def _shard_of_stream(state: State, stream: str) -> Shard | None:
    if not stream.startswith(STREAM_PREFIX):
        return None
    number = stream.removeprefix(STREAM_PREFIX)
    return state["once_shard"].shards.get(int(number)) if number.isdigit() else None


@handles(LogAppended)
def appended(state: State, event: LogAppended) -> typing.Iterator[Step]:
    """Schedule the next append; the records take effect once they are read back."""
    shard = _shard_of_stream(state, event.stream)
    if shard is None:
        return
    shard.in_flight = []
    shard.failures = 0
    yield from _schedule_commit(state, shard, event.at)


@handles(LogAppendFailed)
def append_failed(state: State, event: LogAppendFailed) -> typing.Iterator[Step]:
    """Read the stream before the next append: the log may have taken the records."""
    shard = _shard_of_stream(state, event.stream)
    if shard is None:
        return
    yield Count(metric="once_append_failed")
    shard.queue = [*shard.in_flight, *shard.queue]
    shard.in_flight = []
    shard.unresolved = True
    yield from _back_off(shard)


def _back_off(shard: Shard) -> typing.Iterator[Step]:
    delay = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**shard.failures)
    shard.failures = min(shard.failures + 1, 10)
    yield StartTimer(timer="once_resolve", key=str(shard.number), delay=delay)


@on_timer("once_resolve")
def check_failed_append(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the rest of the stream, to see whether the failed append was written."""
    shard = state["once_shard"].shards.get(int(event.key))
    if shard:
        yield ReadLog(stream=shard.stream, tag="resolve", offset=shard.position)


@handles(LogReadFailed)
def read_failed(state: State, event: LogReadFailed) -> typing.Iterator[Step]:
    """Retry later to find out whether the failed append was written."""
    shard = _shard_of_stream(state, event.stream)
    if shard and event.tag == "resolve":
        yield from _back_off(shard)


# --- Records -------------------------------------------------------------------------------------


@handles(LogRead)
def update_key_states(state: State, event: LogRead) -> typing.Iterator[Step]:
    """Update key states from the records, and report changed ones to the hosts that asked."""
    shard = _shard_of_stream(state, event.stream)
    if shard is None:
        return
    changed_keys = _fold_records(state, shard, event)
    reached_end = shard.position >= event.end
    if reached_end and event.tag == "resolve":
        shard.unresolved = False
    if reached_end and not shard.ready:
        shard.ready = True
        changed_keys = list(shard.watchers)
    for key in changed_keys:
        yield from _notify_watchers(shard, key, event.at)
    yield from _schedule_commit(state, shard, event.at)


def _fold_records(state: State, shard: Shard, event: LogRead) -> list[str]:
    if event.first > shard.position:
        # The log keeps all records of a key while an attempt can still win it, so the state of
        # keys with dropped records is not needed any more.
        shard.keys.clear()
        shard.position = event.first
    changed_keys = {}
    for record in event.records:
        if record.offset == shard.position:
            changed_keys[_fold_record(state, shard, record)] = True
            shard.position += 1
    changed_keys.pop("", None)
    return list(changed_keys)


def _fold_record(state: State, shard: Shard, record: LogRecord) -> str:
    """Update a key's state from one record; returns the key, or an empty string without one."""
    try:
        message = decode_json(record.data, _fold.Intent | _fold.Void | _fold.Outcome | Checkpoint)
    except msgspec.MsgspecError:
        return ""
    if isinstance(message, Checkpoint):
        return ""
    shard.keys[message.key] = _fold.fold(
        shard.keys.get(message.key, _fold.NEW_KEY),
        message,
        offset=record.offset,
        time=record.time,
        horizon=state.cfg.once.horizon,
    )
    return message.key


def _notify_watchers(shard: Shard, key: str, at: float) -> typing.Iterator[Step]:
    watchers = shard.watchers.get(key)
    if watchers is None:
        return
    for host, watched_until in list(watchers.items()):
        if watched_until < at:
            del watchers[host]
        else:
            yield _key_state_message(shard, key, host)
    if not watchers:
        del shard.watchers[key]
