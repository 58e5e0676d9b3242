"""Route table in force: the newest version read, which maps requests to services."""

import typing

from .._effects import Count, LogLine
from .._events import FeedBehind, FeedChanged, LoadTold, PlacesChanged, RoutesRead
from .._forwarding import DEFAULT_MAX_HEADER_BYTES, STREAM, Route, RouteTable, ServiceTraits
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import organisations

# Time for which a service is known after it was dropped; longer than any caller waits.
RETIRED_TIME_S = 120.0
# Time for which the store has to show nothing newer until a version that was told is not believed.
BEHIND_BOUND_S = 60.0
# Time for which neither such a version nor a higher one is believed. It bounds how often a host
# that tells wrong versions again and again keeps callers of the others from final answers.
DISBELIEF_S = 600.0


@state_slice("routes")
class RoutesState:
    """The table in force, its routes by host with the longest prefix first, and its services.

    ``stream_timeout`` is the longest time-out of its stream routes, in seconds, and
    ``stream_services`` has the services that these routes name. ``retired`` holds services that are
    no longer listed, with the monotonic time since then, as calls may still use them.

    ``heard_version`` is the highest version that another host told to be in force there, and
    ``heard_from`` names the first host that told it. ``behind_since`` is the monotonic time since
    which other hosts have told newer versions than the one in force here; None if none does.
    ``heard_at`` is the monotonic time of the last telling, whatever its version.

    ``unread`` is the number of records that are known to exist and were not read here.
    ``shown_since`` is the monotonic time since which the store has shown all that it has, or None
    while it does not, and ``shown_for`` for how many seconds it did before, while this host was
    behind. ``not_believed`` is the lowest version that was told and that the store did not show;
    ``disbelieved_at`` is the monotonic time at which that was found.
    """

    __slots__ = (
        "table",
        "read_at",
        "by_host",
        "services",
        "stream_timeout",
        "stream_services",
        "retired",
        "heard_version",
        "heard_from",
        "heard_at",
        "behind_since",
        "unread",
        "shown_since",
        "shown_for",
        "not_believed",
        "disbelieved_at",
    )

    def __init__(self, cfg: Settings) -> None:
        self.table: RouteTable | None = None
        self.read_at = 0.0
        self.by_host: dict[str, list[Route]] = {}
        self.services: dict[str, ServiceTraits] = {}
        self.stream_timeout = 0.0
        self.stream_services: frozenset[str] = frozenset()
        self.retired: dict[str, tuple[ServiceTraits, float]] = {}
        self.heard_version = 0
        self.heard_from = ""
        self.heard_at = 0.0
        self.behind_since: float | None = None
        self.unread = 0
        self.shown_since: float | None = None
        self.shown_for = 0.0
        self.not_believed: int | None = None
        self.disbelieved_at = 0.0


def version(state: State) -> int:
    """Return the version in force, or 0 if none was read yet."""
    table = state["routes"].table
    return table.version if table else 0


def is_known(state: State) -> bool:
    """Return whether any version has been read."""
    return state["routes"].table is not None


def heard_version(state: State) -> int:
    """Return the highest version that another host told, or 0 if none told any."""
    return state["routes"].heard_version


def behind_for(state: State, at: float) -> float:
    """Return for how many seconds other hosts have told newer versions; 0 if none does."""
    behind_since = state["routes"].behind_since
    return at - behind_since if behind_since is not None else 0.0


def may_be_behind(state: State, at: float) -> bool:
    """Return whether a newer version than the one in force here may be in force elsewhere.

    It may if records are known to exist that this host has not read, or another host has told a
    newer version. The latter ends once the store has answered and shown nothing newer for
    `BEHIND_BOUND_S` in all: the version told is wrong then, or the store lost it as it came back
    from a copy. Otherwise one wrong telling would keep callers from all final answers for good.
    """
    return state["routes"].unread > 0 or is_behind_others(state, at)


def is_behind_others(state: State, at: float) -> bool:
    """Return whether another host has told a newer version, which is still believed."""
    return state["routes"].behind_since is not None and not _is_refuted(state, at)


def _is_refuted(state: State, at: float) -> bool:
    """Return whether the store has long shown nothing newer, though another host told it."""
    routes_state = state["routes"]
    shown_for = routes_state.shown_for
    if routes_state.shown_since is not None:
        shown_for += at - routes_state.shown_since
    return shown_for >= BEHIND_BOUND_S


def _note_showing(state: State, at: float) -> None:
    """Record from when on the store shows all that it has, or that it does not any more."""
    routes_state = state["routes"]
    if routes_state.shown_since is not None:
        routes_state.shown_for += at - routes_state.shown_since
    shows_all = is_known(state) and not routes_state.unread and not organisations.may_be_old(state)
    routes_state.shown_since = at if shows_all else None


def behind_at_last_telling(state: State) -> float:
    """Return for how many seconds this host was behind when another last told its version."""
    return max(0.0, behind_for(state, state["routes"].heard_at))


def log_fields(state: State, at: float) -> dict[str, object]:
    """Return the fields that tell on which version a decision rests, and which one was heard of."""
    routes_state = state["routes"]
    return {
        "routes_version": version(state),
        "routes_age": at - routes_state.read_at if is_known(state) else "-",
        "heard_version": routes_state.heard_version or "-",
        "heard_from": routes_state.heard_from or "-",
        "unread": routes_state.unread,
    }


def match_route(state: State, host: str, path: str) -> Route | None:
    """Return the route for a host with the longest matching path prefix, or None."""
    for route in state["routes"].by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def max_header_bytes(state: State) -> int:
    """Return the longest request line or header field that a caller may send."""
    table = state["routes"].table
    return table.max_header_bytes if table else DEFAULT_MAX_HEADER_BYTES


def service(state: State, name: str) -> ServiceTraits | None:
    """Return the configuration of a service, or None if it is unknown.

    One that is no longer listed stays known for as long as calls to it may last.
    """
    routes_state = state["routes"]
    listed = routes_state.services.get(name)
    if listed is None and name in routes_state.retired:
        return routes_state.retired[name][0]
    return listed


def is_retired(state: State, name: str) -> bool:
    """Return whether a service was listed, and is no longer."""
    return name in state["routes"].retired


def is_generation(state: State, route: Route, name: str) -> bool:
    """Return whether a route's requests to a service are generations by model engines."""
    traits = service(state, name)
    return route.kind == STREAM and traits is not None and traits.engine is not None


def longest_stream_timeout(state: State) -> float:
    """Return the longest time-out of the stream routes in force, in seconds."""
    return state["routes"].stream_timeout


def stream_services(state: State) -> frozenset[str]:
    """Return the names of the services that the stream routes in force go to."""
    return state["routes"].stream_services


def pick_service(state: State, route: Route) -> str:
    """Return one of a route's services, at random by weight."""
    if len(route.services) == 1:
        return route.services[0][0]
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    return state.rng.choices(names, weights)[0]


@handles(LoadTold)
def note_heard(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Record the version that another host told; versions only rise, so an old telling holds."""
    routes_state = state["routes"]
    routes_state.heard_at = event.at
    if routes_state.behind_since is not None and _is_refuted(state, event.at):
        fields = {**log_fields(state, event.at), "behind_for": behind_for(state, event.at)}
        yield LogLine(event="routes_not_believed", fields=fields)
        routes_state.not_believed = routes_state.heard_version
        routes_state.disbelieved_at = event.at
        routes_state.heard_version, routes_state.heard_from = 0, ""
        routes_state.behind_since = None
    not_believed = routes_state.not_believed
    is_past = event.at - routes_state.disbelieved_at >= DISBELIEF_S
    if not_believed is not None and event.routes_version >= not_believed and not is_past:
        return
    if event.routes_version <= routes_state.heard_version:
        return
    routes_state.heard_version = event.routes_version
    routes_state.heard_from = event.sender.host
    if event.routes_version > version(state) and routes_state.behind_since is None:
        routes_state.behind_since = event.at
        _note_showing(state, event.at)
        routes_state.shown_for = 0.0
        yield LogLine(event="routes_behind", fields=log_fields(state, event.at))


@handles(FeedBehind)
def note_unread(state: State, event: FeedBehind) -> None:
    """Record how many records of the routes are known to exist and were not read."""
    if event.feed == organisations.ROUTES:
        state["routes"].unread = event.missing
        _note_showing(state, event.at)


@handles(FeedChanged)
def note_connection(state: State, event: FeedChanged) -> None:
    """Record for how long the store answers; `organisations` records whether it does."""
    if event.feed == organisations.ROUTES:
        _note_showing(state, event.at)


@handles(RoutesRead)
def apply_routes(state: State, event: RoutesRead) -> list[Step]:
    """Put a newer version of the routes in force; a host never goes back to an older version."""
    routes_state, table = state["routes"], event.table
    if table.version <= version(state):
        return []
    routes_state.table = table
    _note_showing(state, event.at)
    routes_state.read_at = event.at
    by_host: dict[str, list[Route]] = {}
    for route in sorted(table.routes, key=lambda one: -len(one.path_prefix)):
        by_host.setdefault(route.host, []).append(route)
    routes_state.by_host = by_host
    routes_state.stream_timeout = max(
        (one.timeout for one in table.routes if one.kind == STREAM), default=0.0
    )
    routes_state.stream_services = frozenset(
        name for one in table.routes if one.kind == STREAM for name, _ in one.services
    )
    listed = {one.name: one for one in table.services}
    gone = {name: one for name, one in routes_state.services.items() if name not in listed}
    routes_state.retired |= {name: (one, event.at) for name, one in gone.items()}
    routes_state.retired = {
        name: (one, since)
        for name, (one, since) in routes_state.retired.items()
        if name not in listed and event.at - since < RETIRED_TIME_S
    }
    routes_state.services = listed
    fields = {
        "version": table.version,
        "routes": len(table.routes),
        "services_gone": ",".join(sorted(gone)) or "-",
        "behind_for": behind_for(state, event.at),
        "heard_version": routes_state.heard_version or "-",
    }
    if routes_state.heard_version <= table.version:
        routes_state.behind_since = None
    if routes_state.not_believed is not None and routes_state.not_believed <= table.version:
        routes_state.not_believed = None
    return [
        Count(metric="routes_changed"),
        LogLine(event="routes_in_force", fields=fields),
        PlacesChanged(at=event.at),
    ]
