"""Endpoint directory: keeps the list of endpoints and which of them may get new work.

Entries are ordered by their offset in the list's history, so an entry that is read late never
replaces a newer one. While the source of the list is unreachable, a host keeps using the entries
that it last read.
"""

import collections
import typing

from .._effects import Count, EnsureTimer, LogLine, StartTimer
from .._events import (
    EndpointLeaving,
    EndpointsRead,
    FeedChanged,
    LoadTold,
    PlacesChanged,
    StepFailed,
    StoreRestored,
    TimerFired,
)
from .._forwarding import DECODE, Endpoint
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import departures

ENDPOINTS = "endpoints"  # Name of the feed that brings the list of endpoints.
# If at least this share of a service's entries is missing after an outage of the list's source, the
# outage is taken as the cause.
MIN_LAPSED_SHARE = 0.6
# Time after an outage of the list's source in which running endpoints list themselves again.
RELIST_TIME_S = 2.0


@state_slice("directory")
class DirectoryState:
    """Endpoints by name, the offset of each name's entry, and when the list was last read.

    ``lapsed`` holds endpoints that dropped out of the list around an outage of its source, with
    the monotonic time until which they are still used. ``busy`` holds endpoints that may be
    carrying out an order, with the monotonic time by which they will have finished. ``is_up``
    says whether the list's source answers, and ``up_since`` when it last recovered. ``removed``
    holds the endpoints that were removed before the list's source was restored from a copy, while
    the copy has not been read.
    """

    __slots__ = (
        "endpoints",
        "offsets",
        "lapsed",
        "busy",
        "read_at",
        "up_since",
        "is_up",
        "removed",
    )

    def __init__(self, cfg: Settings) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.offsets: dict[str, int] = {}
        self.lapsed: dict[str, float] = {}
        self.busy: dict[str, float] = {}
        self.read_at = 0.0
        self.up_since = float("-inf")
        self.is_up = True
        self.removed: frozenset[str] | None = None


def endpoint(state: State, name: str) -> Endpoint | None:
    """Return the endpoint listed under a name, or None."""
    return state["directory"].endpoints.get(name)


def is_usable(state: State, name: str) -> bool:
    """Return whether an endpoint is listed and takes new work."""
    one = state["directory"].endpoints.get(name)
    return one is not None and not one.leaving


def decodes_build(state: State, service: str, build: str) -> bool:
    """Return whether an engine of a build takes new streams; an empty build stands for any."""
    return any(build in ("", one.build) for one in usable_endpoints(state, service, DECODE))


def all_endpoints(state: State) -> list[Endpoint]:
    """Return all listed endpoints, also those that are leaving."""
    return list(state["directory"].endpoints.values())


def is_source_up(state: State) -> bool:
    """Return whether the list's source answers."""
    return state["directory"].is_up


def is_busy(state: State, name: str, at: float) -> bool:
    """Return whether an endpoint may be carrying out an order, so that it would refuse work."""
    return state["directory"].busy.get(name, 0.0) > at


def set_busy(state: State, name: str, until: float) -> None:
    """Record until when an endpoint may be carrying out an order, as monotonic time."""
    state["directory"].busy[name] = until


def busy_endpoints(state: State, at: float) -> dict[str, float]:
    """Return the endpoints that may be carrying out an order, with the seconds left for it."""
    busy_until_by_name = state["directory"].busy
    for name in [name for name, until in busy_until_by_name.items() if until <= at]:
        del busy_until_by_name[name]
    return {name: until - at for name, until in busy_until_by_name.items()}


def usable_endpoints(state: State, service: str, stage: str = "") -> list[Endpoint]:
    """Return the endpoints of a service that take new work, of one stage if ``stage`` is given.

    An engine without a stage does both prefill and decode, and is returned for the decode stage.
    """
    stages = (stage, "") if stage == DECODE else (stage,)
    return [
        one
        for one in state["directory"].endpoints.values()
        if one.service == service and not one.leaving and (not stage or one.stage in stages)
    ]


def list_age(state: State, at: float) -> float:
    """Return the seconds since the list was last read."""
    return at - state["directory"].read_at


@handles(EndpointLeaving)
def endpoint_said_leaving(state: State, event: EndpointLeaving) -> typing.Iterator[Step]:
    """Give no new work to an endpoint that says that it leaves, whatever the list says of it."""
    is_list_old = _is_list_old(state, event.sent_at)
    born = departures.start_at(state, event.endpoint, event.sent_at, is_list_old=is_list_old)
    if born is not None and departures.record_own(state, event.endpoint, born, event.at):
        yield from _stop_using(state, event.endpoint, born, "-", event.at)


def _is_list_old(state: State, at: float) -> bool:
    """Return whether endpoints may have started again that had not yet listed themselves anew."""
    directory_state = state["directory"]
    return not directory_state.is_up or at < directory_state.up_since + RELIST_TIME_S


@handles(LoadTold)
def leaving_told(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Give no new work to endpoints that said to another host that they leave."""
    for name, born in event.leaving:
        if departures.record(state, name, born):
            yield from _stop_using(state, name, born, event.sender.host, event.at)


def _stop_using(
    state: State, name: str, born: int, told_by: str, at: float
) -> typing.Iterator[Step]:
    one = endpoint(state, name)
    fields = {
        "endpoint": name,
        "born": born,
        "told_by": told_by,
        "listed": one.born if one is not None else "-",
        "list_age": list_age(state, at),
    }
    yield LogLine(event="endpoint_said_leaving", fields=fields)
    if one is not None and departures.has_said(state, one) and not one.leaving:
        yield from _replace_endpoint(state, one.as_leaving())
        yield PlacesChanged(at=at)


@handles(EndpointsRead)
def apply_endpoints(state: State, event: EndpointsRead) -> typing.Iterator[Step]:
    """Apply newer entries; a full list also removes the endpoints that have no entry in it."""
    directory_state = state["directory"]
    directory_state.read_at = event.at
    has_changed = False
    dropped_names: dict[str, None] = {}  # In order of their removal.
    is_copy = event.whole and directory_state.removed is not None
    removed = directory_state.removed if is_copy else frozenset()
    if is_copy:
        directory_state.removed = None
    for one in event.listings:
        if one.offset <= directory_state.offsets.get(one.name, -1):
            continue
        directory_state.offsets[one.name] = one.offset
        if one.endpoint is None:
            dropped_names[one.name] = None
        elif one.name not in removed:
            # One that was removed writes its entry again if it is alive. One page may hold that an
            # entry lapsed, and the same entry again.
            dropped_names.pop(one.name, None)
            try:
                added = yield from _add_endpoint(state, one.endpoint, event.at)
            except Exception as exc:  # noqa: BLE001 - reported; the other entries count
                yield StepFailed(at=event.at, subject=(one.name,), error=exc)
                added = True
            has_changed = added or has_changed
    if event.whole:
        listed_names = {one.name for one in event.listings}
        dropped_names |= {
            name: None
            for name in directory_state.endpoints
            if name not in listed_names and directory_state.offsets.get(name, -1) < event.upto
        }
    lapsed_names = _lapsed_names(state, dropped_names, event.at)
    if is_copy:
        # Those that are missing started after the copy, and write their entries again.
        lapsed_names = {name for name in dropped_names if is_usable(state, name)}
        directory_state.up_since = event.at
    for name in dropped_names:
        if name in lapsed_names:
            yield from _keep_lapsed(state, name, event.at)
        else:
            has_changed = (yield from _remove_endpoint(state, name)) or has_changed
    if has_changed:
        yield PlacesChanged(at=event.at)


def _lapsed_names(state: State, dropped_names: typing.Iterable[str], at: float) -> set[str]:
    """Return those of the dropped names whose entries lapsed in an outage of the list's source.

    A long outage removes the entries of most endpoints of a service. If only this host was cut off
    from the source, the entries stayed, and a missing one belongs to an endpoint that has left.
    """
    directory_state = state["directory"]
    if at >= directory_state.up_since + RELIST_TIME_S:
        return set()
    listed_counts = collections.Counter(one.service for one in directory_state.endpoints.values())
    dropped_endpoints = {
        name: directory_state.endpoints[name]
        for name in dropped_names
        if name in directory_state.endpoints
    }
    dropped_counts = collections.Counter(one.service for one in dropped_endpoints.values())
    return {
        name
        for name, one in dropped_endpoints.items()
        if not one.leaving
        and dropped_counts[one.service] >= MIN_LAPSED_SHARE * listed_counts[one.service]
    }


def _keep_lapsed(state: State, name: str, at: float) -> typing.Iterator[Step]:
    directory_state = state["directory"]
    until = directory_state.up_since + RELIST_TIME_S
    if name not in directory_state.lapsed:
        directory_state.lapsed[name] = until
        yield LogLine(event="endpoint_lapsed", fields={"endpoint": name, "for": until - at})
        yield StartTimer(timer="lapsed", delay=until - at)


def _add_endpoint(
    state: State, endpoint: Endpoint, at: float
) -> typing.Generator[Step, None, bool]:
    """Add an endpoint that is listed; returns whether it was not or differs."""
    state["directory"].lapsed.pop(endpoint.name, None)
    departures.note_start(state, endpoint, at)
    if departures.has_said(state, endpoint):
        # What an endpoint says itself holds until it starts again; its entry may be older.
        endpoint = endpoint.as_leaving()
    return (yield from _replace_endpoint(state, endpoint))


def _replace_endpoint(state: State, endpoint: Endpoint) -> typing.Generator[Step, None, bool]:
    """Put an endpoint in the place of what was known of it; returns whether that was different."""
    directory_state = state["directory"]
    previous_endpoint = directory_state.endpoints.get(endpoint.name)
    directory_state.endpoints[endpoint.name] = endpoint
    if previous_endpoint == endpoint:
        return False
    if previous_endpoint is None or (
        previous_endpoint.leaving,
        previous_endpoint.stage,
        previous_endpoint.born,
        previous_endpoint.build,
    ) != (
        endpoint.leaving,
        endpoint.stage,
        endpoint.born,
        endpoint.build,
    ):
        if previous_endpoint is not None and (
            (previous_endpoint.stage, previous_endpoint.born) != (endpoint.stage, endpoint.born)
        ):
            # The order was carried out, or forgotten by an endpoint that started again.
            directory_state.busy.pop(endpoint.name, None)
        fields = {
            "endpoint": endpoint.name,
            "service": endpoint.service,
            "zone": endpoint.zone,
            "stage": endpoint.stage or "-",
            "build": endpoint.build or "-",
            "leaving": endpoint.leaving,
            "offset": directory_state.offsets.get(endpoint.name, "-"),
        }
        yield Count(metric="endpoint_changes", label="leaving" if endpoint.leaving else "listed")
        yield LogLine(event="endpoint_listed", fields=fields)
    return True


def _remove_endpoint(state: State, name: str) -> typing.Generator[Step, None, bool]:
    """Remove an endpoint; returns whether it was listed."""
    directory_state = state["directory"]
    directory_state.lapsed.pop(name, None)
    if directory_state.endpoints.pop(name, None) is None:
        return False
    yield Count(metric="endpoint_changes", label="gone")
    fields = {"endpoint": name, "offset": directory_state.offsets.get(name, "-")}
    yield LogLine(event="endpoint_gone", fields=fields)
    return True


@handles(StoreRestored)
def list_restored(state: State, event: StoreRestored) -> None:
    """Take the next whole list for a copy that is some seconds old, whose offsets begin anew."""
    directory_state = state["directory"]
    # An earlier copy may not have been read yet.
    known_names = directory_state.offsets.keys() | (directory_state.removed or frozenset())
    directory_state.removed = frozenset(known_names - directory_state.endpoints.keys())
    directory_state.offsets.clear()
    for one in directory_state.endpoints.values():
        if one.leaving and one.born:
            # The copy may be from before the endpoint's entry said so.
            departures.record(state, one.name, one.born)


@on_timer("lapsed")
def end_lapsed(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Remove the endpoints whose entries did not come back after an outage."""
    directory_state = state["directory"]
    has_changed = False
    for name in [name for name, until in directory_state.lapsed.items() if until <= event.at]:
        has_changed = (yield from _remove_endpoint(state, name)) or has_changed
    if directory_state.lapsed:
        yield StartTimer(
            timer="lapsed", delay=max(0.0, min(directory_state.lapsed.values()) - event.at)
        )
    if has_changed:
        yield PlacesChanged(at=event.at)


@handles(FeedChanged)
def feed_changed(state: State, event: FeedChanged) -> typing.Iterator[Step]:
    """Record that the connection to a source of data was lost or restored."""
    directory_state = state["directory"]
    if event.feed == ENDPOINTS and event.up and not directory_state.is_up:
        directory_state.up_since = event.at
    if event.feed == ENDPOINTS:
        directory_state.is_up = event.up
    fields = {"feed": event.feed, "why": event.why or "-", "list_age": list_age(state, event.at)}
    yield Count(metric="feed_changes", label="up" if event.up else "down")
    yield LogLine(event="feed_regained" if event.up else "feed_lost", fields=fields)


@handles(StepFailed)
def start_timer_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start the timer of lapsed endpoints again, which may not have been started."""
    lapsed = state["directory"].lapsed
    if lapsed:
        yield EnsureTimer(timer="lapsed", delay=max(0.0, min(lapsed.values()) - event.at))
