"""Crashing parts: finds what in requests makes endpoints end, and blocks it.

A request may make every endpoint end that begins to answer it. All streams of that endpoint break
off then, so one crash leaves many suspects. What tells the cause from the others is kept over the
crashes that all hosts have seen:

- Suspected are the parts of the prompts whose answers an endpoint was beginning to write.
- A part with which an endpoint has written on for a while, at any host, is sound.
- The parts that occur in most crashes explain them. The other parts of these crashes are suspected
  only of what is left.

A whole request may be the cause as well, and come again. Its fingerprint counts as one more part,
which no other request has. It goes before the shared parts of its prompt, unless these were in
several more crashes: other requests may need those parts.

Parts that were in exactly the same crashes can't be told apart. Shared parts are blocked together:
only a request that has all of them is refused. So requests that share some of them still show which
are sound. Fingerprints are blocked each by itself. A part that is blocked alone may be sound too,
if it was new when endpoints were lost for other reasons as well. So one request with it passes as a
trial, once no endpoint has ended over it for a while: it shows that the part is sound, or confirms
the block.

Load pattern handled: requests with one part come at all hosts, no two alike, or one request comes
again and again, among many sound ones with the same first part or of the same caller, while other
endpoints end for other reasons.
"""

import collections
import typing

from .._fingerprints import is_fingerprint, narrowest
from .._forwarding import Crash, Findings, SoundPart
from .._settings import Settings
from .._state import State, state_slice

# Crashes after which a part is blocked. Two may coincide when several endpoints are lost at once;
# the users allow five.
MIN_CRASHES = 3
# Seconds without a crash after which a block is put to a trial: one request passes.
TRIAL_AFTER_S = 2.0
# Seconds for which a crash counts, and so for which a part is blocked after its last crash.
CRASH_KEEP_S = 3600.0
# A part that was sound counts as sound in crashes up to this many seconds later. Endpoints whose
# software changed meanwhile may end with it, so it is not sound forever.
SOUND_TIME_S = 60.0
MAX_CRASHES = 128  # Most crashes that are kept.
# Most parts that are kept for all crashes; they take some 5 MB. A header of 16 KiB names 2,800.
MAX_SUSPECTS = 24_576
# Most parts that are kept for a crash, so that as many crashes are kept as a block needs.
MAX_PARTS = MAX_SUSPECTS // MIN_CRASHES
# A shared part is blocked instead of a whole request if it was in this many more crashes. One more
# may be an endpoint that was lost for another reason.
SHARED_LEAD = 2
MAX_SOUND = 16_384  # Most sound parts that are remembered; the last ones seen are kept.
MAX_SAVED = 32  # Most crashes, and most sound parts, in one save.
MAX_SAVED_CHARS = 49_152  # Most characters of parts in one save, three largest headers.
TELLS = 3  # Datagrams in which a crash or a sound part is told, as datagrams get lost.
MAX_TOLD = 4  # Most crashes, and most sound parts, in one datagram, which has to stay small.
MAX_TOLD_CHARS = 4_096  # Most characters of crashes' parts in one; the rest follows in the next.

CrashKey = tuple[str, int]  # Name of the endpoint, and Unix milliseconds of its start.
PartKey = tuple[str, str]  # Service, and identifier of the part or fingerprint.


class Block:
    """Parts that are blocked together for one service, with the endpoints that ended.

    ``times`` are the monotonic times at which these ended, in order.
    """

    __slots__ = ("service", "parts", "endpoints", "times")

    def __init__(
        self,
        *,
        service: str,
        parts: frozenset[str],
        endpoints: tuple[str, ...],
        times: tuple[float, ...],
    ) -> None:
        self.service = service
        self.parts = parts
        self.endpoints = endpoints
        self.times = times

    @property
    def is_whole_request(self) -> bool:
        """Whether one request is blocked, not parts that requests share."""
        return any(map(is_fingerprint, self.parts))

    @property
    def is_confirmed(self) -> bool:
        """Whether an endpoint ended after the block stood, over a trial or a late request."""
        return self.times[-1] - self.times[MIN_CRASHES - 1] >= TRIAL_AFTER_S / 2


class Seen:
    """Monotonic times at which a part was last seen to be sound, by any host and by this one."""

    __slots__ = ("at", "own_at")

    def __init__(self) -> None:
        self.at = self.own_at = float("-inf")


@state_slice("crashing_parts")
class CrashingPartsState:
    """Crashes and sound parts that hosts have found, and the blocks that follow from them.

    ``crashes`` are in the order in which this host learned of them. ``sound`` holds when each part
    was seen to be sound, the last seen at the end. ``suspected`` holds the parts that no host has
    seen to be sound around their crashes. ``own_crashes`` are those that this host has found, and
    ``own_sound`` the suspected parts that it tells to be sound, with the time that it tells.
    ``untold_crashes`` and ``untold_sound`` say in how many datagrams each of these is still to be
    told, and ``told_parts`` how many parts of a crash were told of those that one datagram can't
    hold. ``version`` rises with each change of what this host has to tell.
    """

    __slots__ = (
        "crashes",
        "sound",
        "suspected",
        "own_crashes",
        "own_sound",
        "untold_crashes",
        "untold_sound",
        "told_parts",
        "blocks",
        "version",
    )

    def __init__(self, cfg: Settings) -> None:
        self.crashes: dict[CrashKey, Crash] = {}
        self.sound: collections.OrderedDict[PartKey, Seen] = collections.OrderedDict()
        self.suspected: set[PartKey] = set()
        # A dict instead of a set keeps its order, so that a recorded run can be replayed.
        self.own_crashes: dict[CrashKey, None] = {}
        self.own_sound: dict[PartKey, float] = {}
        self.untold_crashes: dict[CrashKey, int] = {}
        self.untold_sound: dict[PartKey, int] = {}
        self.told_parts: dict[CrashKey, int] = {}
        self.blocks: list[Block] = []
        self.version = 0


def blocks(state: State) -> list[Block]:
    """Return the blocks in force."""
    return state["crashing_parts"].blocks


def blocks_of(state: State, service: str, parts: typing.Collection[str]) -> list[Block]:
    """Return all blocks that refuse a prompt with these parts."""
    found = [one for one in state["crashing_parts"].blocks if one.service == service]
    if not found:
        return []
    named = set(parts)
    return [one for one in found if one.parts <= named]


def bounded(state: State, service: str, parts: typing.Collection[str]) -> tuple[str, ...]:
    """Return the parts that are kept for a crash: all, unless they are more than `MAX_PARTS`.

    Those that are suspected of other crashes come first, as only these can explain several, and
    whole requests before parts.
    """
    if len(parts) <= MAX_PARTS:
        return tuple(parts)
    suspected = state["crashing_parts"].suspected

    def rank(part: str) -> tuple[bool, bool]:
        return (service, part) not in suspected, not is_fingerprint(part)

    return tuple(sorted(parts, key=rank)[:MAX_PARTS])


def version(state: State) -> int:
    """Return a number that rises with each change of what this host has found."""
    return state["crashing_parts"].version


def add_own_crash(state: State, crash: Crash) -> bool:
    """Add an endpoint that this host has seen to end; returns whether the blocks have changed.

    Without a suspected part the crash tells nothing and is not added.
    """
    parts_state = state["crashing_parts"]
    crash.parts = tuple(part for part in crash.parts if not _is_sound(state, crash, part))
    if not crash.parts:
        return False
    key = (crash.endpoint, crash.born)
    parts_state.own_crashes[key] = None
    parts_state.untold_crashes[key] = TELLS
    parts_state.version += 1
    return _learn(state, (crash,), (), crash.at)


def add_sound(state: State, service: str, parts: typing.Iterable[str], at: float) -> bool:
    """Record that an endpoint wrote on with these parts; returns whether the blocks have changed.

    Only a suspected part is told to other hosts. Fingerprints are remembered only if suspected, as
    each request has another one.
    """
    parts_state = state["crashing_parts"]
    is_news = False
    for part in parts:
        key = (service, part)
        is_suspected = key in parts_state.suspected
        if is_suspected or not is_fingerprint(part):
            _see(state, key, at).own_at = at
        if is_suspected:
            _tell_sound(state, key)
            is_news = True
    return is_news and _update_blocks(state)


def add_sound_suspects(
    state: State, prompts: typing.Iterable[tuple[str, tuple[str, ...]]], at: float
) -> bool:
    """Record which suspected parts endpoints write on with; returns whether blocks have changed.

    Args:
        state: The host's state.
        prompts: Service and parts of each request whose answer is being written.
        at: Monotonic time.
    """
    suspected = state["crashing_parts"].suspected
    names = {part for _, part in suspected}
    has_changed = False
    for service, parts in prompts:
        found = [part for part in parts if part in names and (service, part) in suspected]
        has_changed |= add_sound(state, service, found, at)
    return has_changed


def _see(state: State, key: PartKey, at: float) -> Seen:
    sound = state["crashing_parts"].sound
    seen = sound.setdefault(key, Seen())
    seen.at = max(seen.at, at)
    sound.move_to_end(key)
    if len(sound) > MAX_SOUND:
        sound.popitem(last=False)
    return seen


def learn(state: State, findings: Findings, at: float) -> bool:
    """Add what another host has found; returns whether the blocks have changed."""
    return _learn(state, findings.crashes, findings.sound, at)


def restore(state: State, findings: Findings, at: float) -> bool:
    """Take over what this host saved before it started; returns whether the blocks have changed."""
    parts_state = state["crashing_parts"]
    has_changed = learn(state, findings, at)
    for crash in findings.crashes:
        if (crash.endpoint, crash.born) in parts_state.crashes:
            parts_state.own_crashes[crash.endpoint, crash.born] = None
    for one in findings.sound:
        parts_state.own_sound[one.service, one.part] = one.at
    if parts_state.own_crashes or parts_state.own_sound:
        parts_state.version += 1
    return has_changed


def _learn(
    state: State, crashes: typing.Iterable[Crash], sound: typing.Iterable[SoundPart], at: float
) -> bool:
    parts_state = state["crashing_parts"]
    is_news = False
    for one in sound:
        key = (one.service, one.part)
        is_news |= key in parts_state.suspected
        _see(state, key, one.at)
        # Another host tells it already.
        parts_state.untold_sound.pop(key, None)
    for crash in crashes:
        if at - crash.at < CRASH_KEEP_S:
            is_news |= _merge(state, crash)
    # Most findings are told and read several times.
    return is_news and _update_blocks(state)


def _merge(state: State, crash: Crash) -> bool:
    """Add a crash, or the parts that one more host suspects of it; returns whether any is new."""
    parts_state = state["crashing_parts"]
    key = (crash.endpoint, crash.born)
    known = parts_state.crashes.get(key)
    parts = dict.fromkeys((*(known.parts if known else ()), *crash.parts))
    parts_state.crashes[key] = merged = Crash(
        endpoint=crash.endpoint,
        born=crash.born,
        service=crash.service,
        parts=bounded(state, crash.service, parts),
        at=min(crash.at, known.at) if known else crash.at,
    )
    for part in crash.parts:
        seen = parts_state.sound.get((crash.service, part))
        if seen is not None and crash.at <= seen.own_at + SOUND_TIME_S:
            told_at = parts_state.own_sound.get((crash.service, part), float("-inf"))
            if crash.at > told_at + SOUND_TIME_S:
                _tell_sound(state, (crash.service, part))
    return known is None or merged != known


def _tell_sound(state: State, key: PartKey) -> None:
    parts_state = state["crashing_parts"]
    parts_state.own_sound.pop(key, None)
    parts_state.own_sound[key] = parts_state.sound[key].own_at
    parts_state.untold_sound[key] = TELLS
    parts_state.version += 1


def _is_sound(state: State, crash: Crash, part: str) -> bool:
    seen = state["crashing_parts"].sound.get((crash.service, part))
    return seen is not None and crash.at <= seen.at + SOUND_TIME_S


def forget_old(state: State, at: float) -> bool:
    """Forget crashes that no longer count; returns whether the blocks have changed."""
    parts_state = state["crashing_parts"]
    crashes = parts_state.crashes
    old_keys = [key for key, one in crashes.items() if at - one.at >= CRASH_KEEP_S]
    _forget(state, old_keys)
    return bool(old_keys) and _update_blocks(state)


def _forget(state: State, keys: list[CrashKey]) -> None:
    if not keys:
        return
    parts_state = state["crashing_parts"]
    for key in keys:
        del parts_state.crashes[key]
        parts_state.own_crashes.pop(key, None)
        parts_state.untold_crashes.pop(key, None)
        parts_state.told_parts.pop(key, None)
    named = {(one.service, part) for one in parts_state.crashes.values() for part in one.parts}
    for part_key in [one for one in parts_state.own_sound if one not in named]:
        del parts_state.own_sound[part_key]
        parts_state.untold_sound.pop(part_key, None)


def _update_blocks(state: State) -> bool:
    """Derive the blocks from the crashes; returns whether they have changed."""
    parts_state = state["crashing_parts"]
    before = {(one.service, one.parts) for one in parts_state.blocks}
    suspects = _suspects_by_service(state)
    parts_state.suspected = {
        (service, part)
        for service, by_crash in suspects.items()
        for parts in by_crash.values()
        for part in parts
    }
    parts_state.blocks = [
        block
        for service, by_crash in suspects.items()
        for block in _explain(state, service, by_crash)
    ]
    _limit_crashes(state, suspects)
    return before != {(one.service, one.parts) for one in parts_state.blocks}


def _suspects_by_service(state: State) -> dict[str, dict[CrashKey, set[str]]]:
    """Return the suspected parts of each crash, by service; crashes without any are left out."""
    suspects: dict[str, dict[CrashKey, set[str]]] = {}
    for key, crash in state["crashing_parts"].crashes.items():
        parts = {part for part in crash.parts if not _is_sound(state, crash, part)}
        if parts:
            suspects.setdefault(crash.service, {})[key] = parts
    return suspects


def _explain(
    state: State, service: str, suspects: dict[CrashKey, set[str]]
) -> typing.Iterator[Block]:
    """Find the parts that explain the crashes of a service, those with most crashes first."""
    known_crashes = state["crashing_parts"].crashes
    unexplained = dict(suspects)
    while True:
        crashes_by_part: dict[str, list[CrashKey]] = {}
        for key, parts in unexplained.items():
            for part in parts:
                crashes_by_part.setdefault(part, []).append(key)
        leading = _leading_parts(crashes_by_part)
        if not leading:
            return
        for parts, keys in leading:
            crashes = sorted((known_crashes[key] for key in keys), key=lambda one: one.at)
            yield Block(
                service=service,
                parts=parts,
                endpoints=tuple(one.endpoint for one in crashes),
                times=tuple(one.at for one in crashes),
            )
            for key in keys:
                unexplained.pop(key, None)


def _leading_parts(
    crashes_by_part: dict[str, list[CrashKey]],
) -> list[tuple[frozenset[str], list[CrashKey]]]:
    """Return what explains most crashes, in groups that are blocked together, with their crashes.

    Returns nothing if nothing is in enough crashes.
    """
    by_kind: dict[bool, dict[str, list[CrashKey]]] = {True: {}, False: {}}
    for part, keys in crashes_by_part.items():
        by_kind[is_fingerprint(part)][part] = keys
    requests, shared = _most_frequent(by_kind[True]), _most_frequent(by_kind[False])
    most_by_request = max(map(len, requests.values()), default=0)
    most_by_shared = max(map(len, shared.values()), default=0)
    if most_by_request >= MIN_CRASHES and most_by_shared < most_by_request + SHARED_LEAD:
        return [(frozenset((one,)), requests[one]) for one in narrowest(list(requests))]
    if most_by_shared < MIN_CRASHES:
        return []
    parts_by_crashes: dict[tuple[CrashKey, ...], set[str]] = {}
    for part, keys in shared.items():
        parts_by_crashes.setdefault(tuple(keys), set()).add(part)
    return [(frozenset(parts), list(keys)) for keys, parts in parts_by_crashes.items()]


def _most_frequent(crashes_by_part: dict[str, list[CrashKey]]) -> dict[str, list[CrashKey]]:
    """Return the parts that are in most crashes, with these."""
    most = max(map(len, crashes_by_part.values()), default=0)
    return {part: keys for part, keys in crashes_by_part.items() if len(keys) == most}


def _limit_crashes(state: State, suspects: dict[str, dict[CrashKey, set[str]]]) -> None:
    """Forget crashes beyond `MAX_CRASHES` or `MAX_SUSPECTS` parts.

    Parts that are sound are forgotten first, then crashes that explain nothing, then the oldest.
    """
    parts_state = state["crashing_parts"]
    crashes = parts_state.crashes
    if sum(len(one.parts) for one in crashes.values()) > MAX_SUSPECTS:
        for one in crashes.values():
            one.parts = tuple(part for part in one.parts if not _is_sound(state, one, part))
    excess_parts = sum(len(one.parts) for one in crashes.values()) - MAX_SUSPECTS
    excess = len(crashes) - MAX_CRASHES
    if max(excess, excess_parts) <= 0:
        return
    suspected = {key for keys in suspects.values() for key in keys}
    blamed = {endpoint for block in parts_state.blocks for endpoint in block.endpoints}
    by_use = sorted(
        parts_state.crashes,
        key=lambda key: (key[0] in blamed, key in suspected, parts_state.crashes[key].at),
    )
    dropped = []
    for key in by_use:
        if max(excess, excess_parts) <= 0:
            break
        excess -= 1
        excess_parts -= len(crashes[key].parts)
        dropped.append(key)
    _forget(state, dropped)


def take_untold(state: State) -> tuple[tuple[Crash, ...], tuple[SoundPart, ...]]:
    """Return the findings that the next datagram tells, and count them as told once more."""
    part_keys = _take(state["crashing_parts"].untold_sound)
    return _take_crashes(state), _sound_parts(state, part_keys)


def _take_crashes(state: State) -> tuple[Crash, ...]:
    """Return the crashes that the next datagram tells, one of them with a part of its parts.

    Hosts put together what they are told of a crash.
    """
    parts_state = state["crashing_parts"]
    taken = []
    room = MAX_TOLD_CHARS
    for key in list(parts_state.untold_crashes)[:MAX_TOLD]:
        if room <= 0:
            break
        crash = parts_state.crashes[key]
        begin = parts_state.told_parts.pop(key, 0)
        parts, room = _fitting(crash.parts[begin:], room)
        taken.append(_with_parts(crash, parts))
        if begin + len(parts) < len(crash.parts):
            parts_state.told_parts[key] = begin + len(parts)
        elif left := parts_state.untold_crashes.pop(key) - 1:
            parts_state.untold_crashes[key] = left  # At the end, as `_take` does.
    return tuple(taken)


def _fitting(parts: tuple[str, ...], room: int) -> tuple[tuple[str, ...], int]:
    """Return the first parts that fit, at least one, and how many characters are left then."""
    for number, part in enumerate(parts):
        room -= len(part)
        if room < 0:
            return parts[: max(1, number)], 0
    return parts, room


def _with_parts(crash: Crash, parts: tuple[str, ...]) -> Crash:
    fields = {name: getattr(crash, name) for name in crash._fields}
    return Crash(**{**fields, "parts": parts})


def _take(untold: dict[typing.Any, int]) -> list[typing.Any]:
    keys = list(untold)[:MAX_TOLD]
    for key in keys:
        left = untold.pop(key) - 1
        if left:
            untold[key] = left  # At the end, so that all are told once before any is told again.
    return keys


def has_untold(state: State) -> bool:
    """Return whether findings wait to be told."""
    parts_state = state["crashing_parts"]
    return bool(parts_state.untold_crashes or parts_state.untold_sound)


def tell_all(state: State) -> None:
    """Tell all findings of this host once more, to a host that may know none of them."""
    parts_state = state["crashing_parts"]
    for key in parts_state.own_crashes:
        parts_state.untold_crashes.setdefault(key, 1)
    for key in parts_state.own_sound:
        parts_state.untold_sound.setdefault(key, 1)


def forget_unknown(state: State) -> None:
    """Forget what names a finding that is not known, as an exception kept it from being added."""
    parts_state = state["crashing_parts"]
    for named, known in (
        (parts_state.own_crashes, parts_state.crashes),
        (parts_state.untold_crashes, parts_state.crashes),
        (parts_state.told_parts, parts_state.untold_crashes),
        (parts_state.untold_sound, parts_state.own_sound),
    ):
        for key in [one for one in named if one not in known]:
            del named[key]


def own_findings(state: State) -> Findings:
    """Return what this host has found, the newest if there is too much for one save.

    If that has too many parts, those are kept that are in most of all known crashes.
    """
    parts_state = state["crashing_parts"]
    crash_keys = list(parts_state.own_crashes)[-MAX_SAVED:]
    crashes = [parts_state.crashes[key] for key in crash_keys]
    if sum(len(part) for one in crashes for part in one.parts) > MAX_SAVED_CHARS:
        crashes = _with_frequent_parts(state, crashes)
    return Findings(
        host=state.owner.host,
        crashes=tuple(crashes),
        sound=_sound_parts(state, list(parts_state.own_sound)[-MAX_SAVED:]),
    )


def _with_frequent_parts(state: State, crashes: list[Crash]) -> list[Crash]:
    """Return crashes with those parts that are in most crashes, as many as fit into a save."""
    counts = collections.Counter(
        part for one in state["crashing_parts"].crashes.values() for part in one.parts
    )
    kept: list[list[str]] = [[] for _ in crashes]
    room = MAX_SAVED_CHARS
    # The newest crashes come first where parts are in equally many.
    entries = [
        (number, part) for number, one in reversed([*enumerate(crashes)]) for part in one.parts
    ]
    for number, part in sorted(entries, key=lambda one: -counts[one[1]]):
        room -= len(part)
        if room < 0:
            break
        kept[number].append(part)
    return [_with_parts(one, tuple(parts)) for one, parts in zip(crashes, kept, strict=True)]


def _sound_parts(state: State, keys: list[PartKey]) -> tuple[SoundPart, ...]:
    told = state["crashing_parts"].own_sound
    return tuple(
        SoundPart(service=service, part=part, at=told[service, part]) for service, part in keys
    )
