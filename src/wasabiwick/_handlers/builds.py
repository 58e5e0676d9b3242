"""Builds: remembers which build began each stream, so that its caller can resume it there.

What engines of two builds write does not fit together, and engines don't check it. A caller whose
stream broke off resumes it at any host. So each host tells the others which streams began at it.
No stream begins at a build before the store has it that this host uses that build. So what hosts
have saved names every build at which a stream may have begun that this host was not told of. Such a
stream is resumed if it is one build alone; otherwise its caller is refused. The builds that a host
uses are left out if it tells this one of all its streams, as a host does that is in touch.

A store that was restored from a copy may lack what hosts saved last. So what a host saved in an
earlier era is not all that it used. Builds that can't be known are named `UNKNOWN_BUILD`, until no
stream of before can be resumed.

Load pattern handled: a release during which engines of two or more builds serve, while hosts and
engines are lost and callers return within a second. Streams are told along with the load, soon
after they begin, and each one `TELLS` times, as datagrams get lost. A host that starts is told all.

While no save succeeds, some streams begin at builds that weren't saved (`unsaved_builds`). So a
host that starts looks in the history of the list for builds that were used and are in no record.
"""

import typing

from .._effects import LogLine
from .._events import EndpointsRead, ForwarderBooted, LoadTold
from .._forwarding import DECODE, MAX_SAVED_AGE_S, BegunStream, Listing, SavedBuilds
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import directory, routes, unsaved_builds

TELLS = 2  # Datagrams in which a stream is told to the other hosts.
MAX_TOLD = 40  # Most streams in one datagram, which has to stay small.
# A stream is remembered for this multiple of its route's time-out, since a caller resumes it within
# the time that it waits in all.
KEEP_TIMEOUTS = 2.0
MIN_KEEP_TIME_S = 30.0
# A build that could not be saved for this long is used all the same: the store is slow or down, and
# the engines of other builds may have left.
SAVE_PATIENCE_S = 3.0
# Stands for builds that aren't known, where those are named that were lost. No endpoint states it,
# so a host of an earlier version that knows of no other build refuses the stream, too.
UNKNOWN_BUILD = "?"
FIRST_ERA = 0  # Era of a store that was never restored from a copy, or doesn't name its era.
MS_PER_S = 1000.0
MAX_CLOCK_SKEW_S = 10.0  # Hosts' clocks, by which what they saved is dated, differ by less.


@state_slice("builds")
class BuildsState:
    """Streams that began at any host, by the trace id of the call that brought the first event.

    ``tells_left`` holds for this host's own streams how often they are still to be told. ``seen``
    holds for each service the builds of its listed endpoints, with the monotonic time at which one
    was last listed. ``is_restored`` says whether the streams were read that hosts had saved.
    ``saved`` holds the builds by service that this host has saved since it started, ``unsaved``
    the others at which streams wait to begin, with the monotonic time at which each was first
    listed, and ``lost`` those at which streams may have begun that this host forgot when it
    started, with the monotonic time of that start. ``watched_since`` is when this host started.
    ``lost_unknown_at`` is the same time if what it saved before may be missing from the store.
    ``era`` is the store's, and ``era_since`` the time since when that is known to be in force.
    ``unproven`` holds what hosts saved before this one started, until the list of endpoints has
    shown which builds they may have used besides, and ``history`` the entries listed since;
    ``booted_at`` is the time of its start. ``shares`` holds those builds of ``lost`` at which only
    a share of the streams may have begun, and ``listed_upto`` the position up to which the list's
    history was read.
    """

    __slots__ = (
        "streams",
        "own",
        "tells_left",
        "seen",
        "is_restored",
        "saved",
        "unsaved",
        "lost",
        "lost_unknown_at",
        "watched_since",
        "era",
        "era_since",
        "unproven",
        "history",
        "booted_at",
        "shares",
        "listed_upto",
    )

    def __init__(self, cfg: Settings) -> None:
        self.streams: dict[str, BegunStream] = {}
        self.own: dict[str, None] = {}  # In order, so that a recorded run can be replayed.
        self.tells_left: dict[str, int] = {}
        self.seen: dict[str, dict[str, float]] = {}
        self.is_restored = False
        self.saved: dict[str, tuple[str, ...]] = {}
        self.unsaved: dict[tuple[str, str], float] = {}
        self.lost: dict[str, dict[str, float]] = {}
        self.lost_unknown_at = float("-inf")
        self.watched_since = 0.0
        self.era = FIRST_ERA
        self.era_since = float("inf")
        self.unproven: tuple[SavedBuilds, ...] = ()
        self.history: tuple[Listing, ...] = ()
        self.booted_at = 0.0
        self.shares: dict[str, dict[str, float]] = {}
        self.listed_upto = 0


def keep_time(state: State) -> float:
    """Return for how many seconds a stream is remembered."""
    return max(MIN_KEEP_TIME_S, KEEP_TIMEOUTS * routes.longest_stream_timeout(state))


def begin_stream(state: State, stream: BegunStream) -> None:
    """Remember a stream that began at this host, and tell the other hosts of it."""
    builds_state = state["builds"]
    builds_state.streams.pop(stream.name, None)
    builds_state.streams[stream.name] = stream
    builds_state.own[stream.name] = None
    builds_state.tells_left[stream.name] = TELLS


def begun_stream(state: State, name: str) -> BegunStream | None:
    """Return the stream whose first event a call brought, or None if this host doesn't know it."""
    return state["builds"].streams.get(name)


def is_restored(state: State) -> bool:
    """Return whether this host has read the streams that hosts had saved."""
    return state["builds"].is_restored


def own_streams(state: State) -> tuple[BegunStream, ...]:
    """Return the streams that began at this host, in order of their beginning."""
    builds_state = state["builds"]
    return tuple(one for name, one in builds_state.streams.items() if name in builds_state.own)


def may_begin(state: State, service: str, build: str, at: float) -> bool:
    """Return whether streams may begin at a build: it was saved, or that takes too long.

    In the latter case only those may of which `may_begin_anywhere` says so.
    """
    if not build or build in state["builds"].saved.get(service, ()):
        return True
    return at - state["builds"].unsaved.get((service, build), at) >= SAVE_PATIENCE_S


def safe_builds(state: State, service: str) -> frozenset[str]:
    """Return the builds at which any stream may begin, among them the empty one."""
    saved = state["builds"].saved.get(service)
    if saved:
        return frozenset(("", *saved))
    return unsaved_builds.oldest_build(directory.usable_endpoints(state, service, DECODE))


def may_begin_anywhere(state: State, service: str, name: str) -> bool:
    """Return whether a stream, by its name, may begin also at builds that are not safe."""
    engines = directory.usable_endpoints(state, service, DECODE)
    share = unsaved_builds.share(engines, safe_builds(state, service))
    return unsaved_builds.position(name) < share


def has_unsaved(state: State) -> bool:
    """Return whether streams wait until a build is saved."""
    return bool(state["builds"].unsaved)


def states_no_build(state: State, service: str) -> bool:
    """Return whether endpoints of a service were seen, and none of them states its build."""
    seen = state["builds"].seen.get(service, ())
    return bool(seen) and not any(seen)


def builds_to_save(state: State, at: float) -> SavedBuilds:
    """Return the builds at which any stream of this host may have begun, or may begin from now."""
    builds_state = state["builds"]
    begun = {}
    for service in sorted(routes.stream_services(state)):
        names = tuple(sorted(filter(None, recent_builds(state, service, at))))
        if names:
            begun[service] = names
    services = {*begun, *builds_state.lost, *builds_state.seen}
    lost = {name: _lost_ages(state, name, at) for name in sorted(services)}
    return SavedBuilds(
        age=0.0,
        begun=begun,
        lost={service: ages for service, ages in lost.items() if ages},
        era=builds_state.era,
        era_age=max(0.0, at - builds_state.era_since),
        shares={
            service: {build: shares[build] for build in lost[service] if build in shares}
            for service, shares in builds_state.shares.items()
            if service in lost
        },
        listed_upto=builds_state.listed_upto,
    )


def note_saved(state: State, begun: dict[str, tuple[str, ...]]) -> None:
    """Record that the store has it which builds this host uses."""
    builds_state = state["builds"]
    builds_state.saved = begun
    streaming = routes.stream_services(state)
    for service, build in list(builds_state.unsaved):
        if build in begun.get(service, ()) or service not in streaming:
            del builds_state.unsaved[(service, build)]


def possible_builds(
    state: State,
    service: str,
    saved: dict[str, SavedBuilds],
    at: float,
    *,
    name: str = "",
    telling: frozenset[str] = frozenset(),
) -> frozenset[str]:
    """Return all builds at which a stream may have begun that this host was not told of.

    Args:
        state: The host's state.
        service: Name of the service.
        saved: What each host saved last, as the store has it now.
        at: Monotonic time.
        name: Name of the stream.
        telling: The other hosts that have told this one of all their streams.

    Returns:
        The builds, with `UNKNOWN_BUILD` among them if there may be others; none if this host knows
        of none.
    """
    note_listed(state, at)
    keep = keep_time(state)
    own_lost = set(_lost_ages(state, service, at))
    found = _may_have_begun(name, own_lost, state["builds"].shares.get(service, {}))
    has_lost = bool(own_lost)
    others = {
        host: one
        for host, one in saved.items()
        if host != state.owner.host and one.age <= MAX_SAVED_AGE_S
    }
    for host, one in others.items():
        lost = {build for build, age in one.lost.get(service, {}).items() if age <= keep}
        if may_lack_saves(state, one, at):
            lost.add(UNKNOWN_BUILD)
        found |= _may_have_begun(name, lost, one.shares.get(service, {}))
        has_lost = has_lost or bool(lost)
        if not lost or host not in telling:
            found |= set(one.begun.get(service, ()))
    if not has_lost:
        # A host of an earlier version uses builds that it has not saved.
        found |= set(recent_builds(state, service, at))
        if not others and at - state["builds"].watched_since < keep:
            return frozenset()
    return frozenset(found)


def _may_have_begun(name: str, lost: set[str], shares: dict[str, float]) -> set[str]:
    """Return those of some lost builds at which a stream may have begun."""
    where = unsaved_builds.position(name)
    return {build for build in lost if where < shares.get(build, unsaved_builds.WHOLE_SHARE)}


def only_build(possible: frozenset[str]) -> str | None:
    """Return the build if a stream can have begun only there; None if it can't be known."""
    return next(iter(possible)) if len(possible) == 1 and UNKNOWN_BUILD not in possible else None


def _lost_ages(state: State, service: str, at: float) -> dict[str, float]:
    """Return the builds of streams that this host forgot when it started, and how long ago."""
    builds_state = state["builds"]
    lost = dict(builds_state.lost.get(service, {}))
    lost[UNKNOWN_BUILD] = max(builds_state.lost_unknown_at, lost.get(UNKNOWN_BUILD, float("-inf")))
    keep = keep_time(state)
    return {build: at - when for build, when in lost.items() if at - when <= keep}


def note_era(state: State, era: int, saved: dict[str, SavedBuilds], at: float) -> None:
    """Record the store's era, and since when any host knows that it is in force."""
    builds_state = state["builds"]
    if era > builds_state.era or builds_state.era_since > at:
        if era > builds_state.era:
            builds_state.listed_upto = 0  # Offsets begin anew.
        builds_state.era, builds_state.era_since = era, at
    for one in saved.values():
        if one.era == builds_state.era:
            builds_state.era_since = min(builds_state.era_since, at - one.era_age)


def restored_at(state: State) -> float:
    """Return when the store was last restored, as far as this host knows; -inf if never."""
    builds_state = state["builds"]
    return builds_state.era_since if builds_state.era > FIRST_ERA else float("-inf")


def may_lack_saves(state: State, saved: SavedBuilds | None, at: float) -> bool:
    """Return whether the store may have lost what a host saved last, as it came from a copy.

    A restore matters for as long as streams can be resumed that began before it.

    Args:
        state: The host's state.
        saved: What the host has saved, as the store has it; None if it has nothing.
        at: Monotonic time.
    """
    if at - restored_at(state) > keep_time(state) + MAX_CLOCK_SKEW_S:
        return False
    # What hosts of an earlier version saved names no era.
    return saved is None or (saved.era is not None and saved.era < state["builds"].era)


def recent_builds(state: State, service: str, at: float) -> dict[str, float]:
    """Return the builds seen while a stream can last, with the seconds since then."""
    keep = keep_time(state)
    seen = state["builds"].seen.get(service, {})
    return {build: at - when for build, when in seen.items() if at - when <= keep}


def mixed_services(state: State, at: float) -> dict[str, dict[str, float]]:
    """Return the services with several recent builds: each build, and the seconds since it."""
    by_service = {name: recent_builds(state, name, at) for name in state["builds"].seen}
    return {name: ages for name, ages in by_service.items() if len(ages) > 1}


def take_untold(state: State) -> tuple[BegunStream, ...]:
    """Return the streams that the next datagram tells, and count them as told once more."""
    builds_state = state["builds"]
    names = list(builds_state.tells_left)[-MAX_TOLD:]
    for name in names:
        builds_state.tells_left[name] -= 1
        if not builds_state.tells_left[name]:
            del builds_state.tells_left[name]
    return tuple(builds_state.streams[name] for name in names)


def has_untold(state: State) -> bool:
    """Return whether more streams wait to be told than fit into one datagram."""
    return len(state["builds"].tells_left) > MAX_TOLD


def tell_all(state: State) -> None:
    """Tell all own streams once more, as a host has started that knows none of them."""
    builds_state = state["builds"]
    for name in builds_state.own:
        builds_state.tells_left.setdefault(name, 1)


@handles(ForwarderBooted)
def note_boot(state: State, event: ForwarderBooted) -> None:
    """Record when this host started."""
    state["builds"].booted_at = event.at


@handles(EndpointsRead)
def endpoints_read(state: State, event: EndpointsRead) -> typing.Iterator[Step]:
    """Record which builds are listed."""
    state["builds"].listed_upto = event.upto
    note_listed(state, event.at)
    yield from note_used_unsaved(state)


def note_used_unsaved(state: State) -> typing.Iterator[Step]:
    """Count builds as lost that hosts may have used before this one started, without saving them.

    A build is used unsaved only if it was listed for `SAVE_PATIENCE_S`. So that did not happen if
    a host saved later than that before this one's start, nor at endpoints that are younger.
    """
    builds_state = state["builds"]
    if not (builds_state.unproven and builds_state.is_restored and routes.is_known(state)):
        return
    if not directory.all_endpoints(state):
        return
    for service in sorted(routes.stream_services(state)):
        listed = _listed_builds(state, service)
        for saved in builds_state.unproven:
            if not listed <= {"", *saved.begun.get(service, ())}:
                yield from _note_unnamed_builds(state, service, saved)
    builds_state.unproven, builds_state.history = (), ()


def _listed_builds(state: State, service: str) -> set[str]:
    """Return the builds of a service that are listed, or are in the list's history."""
    builds_state = state["builds"]
    earlier = [one.endpoint for one in builds_state.history if one.endpoint is not None]
    endpoints = earlier + directory.all_endpoints(state)
    return {one.build for one in endpoints if one.service == service}


def _note_unnamed_builds(state: State, service: str, saved: SavedBuilds) -> typing.Iterator[Step]:
    """Count the builds of a service as lost that were listed but are not in a host's record."""
    builds_state = state["builds"]
    is_whole = saved.listed_upto is None or saved.era != builds_state.era
    since = [
        one for one in builds_state.history if is_whole or one.offset >= (saved.listed_upto or 0)
    ]
    current = [one for one in directory.all_endpoints(state) if one.service == service]
    names = {one.name for one in current}
    names |= {one.name for one in since if one.endpoint and one.endpoint.service == service}
    listings = [one for one in since if one.name in names]
    seen = [one.endpoint for one in listings if one.endpoint is not None] + current
    begun = saved.begun.get(service, ())
    latest_used_ms = (state.wall(builds_state.booted_at) - SAVE_PATIENCE_S) * MS_PER_S
    unnamed = {one.build for one in seen if one.born <= latest_used_ms} - {"", *begun}
    if not unnamed:
        return
    share = unsaved_builds.WHOLE_SHARE
    # Hosts of an earlier version begin any stream at a build that they could not save.
    if saved.listed_upto is not None:
        saved_ms = (state.wall(builds_state.watched_since) - saved.age) * MS_PER_S
        share = unsaved_builds.largest_share(listings, current, begun, saved_ms)
    for build in sorted(unnamed):
        _add_lost(state, service, build, share)
        fields = {
            "service": service,
            "build": build,
            "share": share,
            "saved_age": saved.age,
            "listed_upto": "-" if saved.listed_upto is None else saved.listed_upto,
            "entries": len(listings),
        }
        yield LogLine(event="build_used_unsaved", fields=fields)


def _add_lost(state: State, service: str, build: str, share: float) -> None:
    """Count a build as lost at which a share of the streams may have begun."""
    builds_state = state["builds"]
    lost = builds_state.lost.setdefault(service, {})
    shares = builds_state.shares.setdefault(service, {})
    if build not in lost:
        lost[build] = builds_state.booted_at
        shares[build] = share
    elif build in shares:
        shares[build] = max(share, shares[build])


def note_listed(state: State, at: float) -> None:
    """Record which builds are listed; the list is used on while its source is down."""
    builds_state = state["builds"]
    for one in directory.all_endpoints(state):
        _see(state, one.service, one.build, at)
        is_streaming = one.service in routes.stream_services(state)
        if is_streaming and not may_begin(state, one.service, one.build, at):
            builds_state.unsaved.setdefault((one.service, one.build), at)


def forget_old(state: State, at: float) -> None:
    """Forget the streams that can't be resumed any more."""
    builds_state = state["builds"]
    oldest = at - keep_time(state)
    for name in [name for name, one in builds_state.streams.items() if one.began < oldest]:
        del builds_state.streams[name]
        builds_state.own.pop(name, None)
        builds_state.tells_left.pop(name, None)


def _see(state: State, service: str, build: str, at: float) -> None:
    seen = state["builds"].seen.setdefault(service, {})
    seen[build] = max(at, seen.get(build, at))


@handles(LoadTold)
def streams_told(state: State, event: LoadTold) -> None:
    """Remember the streams and builds that another host tells."""
    learn(state, event.begun, event.builds, event.at)


def learn(
    state: State,
    streams: tuple[BegunStream, ...],
    builds: dict[str, dict[str, float]],
    at: float,
) -> None:
    """Remember streams, and builds with the seconds since each was listed, that hosts had seen."""
    for stream in streams:
        known = begun_stream(state, stream.name)
        if known is None or known.began < stream.began:
            state["builds"].streams[stream.name] = stream
    for service, ages in builds.items():
        for build, age in ages.items():
            _see(state, service, build, at - age)


def restore(
    state: State,
    own: frozenset[str],
    saved: dict[str, SavedBuilds],
    history: tuple[Listing, ...],
    at: float,
) -> typing.Iterator[Step]:
    """Record that what hosts had saved is known.

    Args:
        state: The host's state.
        own: Names of the streams that are this host's.
        saved: What each host saved before this one started.
        history: Entries of the list of endpoints since then, as far as they are kept.
        at: Monotonic time.
    """
    builds_state = state["builds"]
    builds_state.watched_since = at
    mine = saved.get(state.owner.host)
    if mine is not None and mine.age <= MAX_SAVED_AGE_S:
        for service, ages in mine.lost.items():
            builds_state.lost[service] = {build: at - age for build, age in ages.items()}
            builds_state.shares[service] = dict(mine.shares.get(service, {}))
        for service, names in mine.begun.items():
            builds_state.lost.setdefault(service, {}).update(dict.fromkeys(names, at))
            for name in names:
                builds_state.shares.get(service, {}).pop(name, None)
    builds_state.unproven = tuple(
        one
        for one in saved.values()
        if SAVE_PATIENCE_S + at - builds_state.booted_at <= one.age <= MAX_SAVED_AGE_S
    )
    builds_state.history = history
    if may_lack_saves(state, mine, at):
        builds_state.lost_unknown_at = at
    builds_state.own |= dict.fromkeys(name for name in builds_state.streams if name in own)
    builds_state.is_restored = True
    yield from note_used_unsaved(state)
