"""Checks a version of the routes before it is sent: what is wrong, never matches, or has changed.

Nothing here is used by a host: a host puts into force what the operator's store accepts.
"""

import collections
import typing

from ._forwarding import STREAM, Organisation, Route, RouteTable, ServiceTraits
from ._record import Record

KEY_CHARS = (
    8  # Characters of a key's digest that are shown, enough to tell an organisation's apart.
)
Check = typing.Callable[[RouteTable], typing.Iterator["Finding"]]
_CHECKS: list[Check] = []


class Finding(Record):
    """Something about a configuration that an operator should know.

    Args:
        place: The entry, such as ``routes[2] NAME`` or ``route NAME``.
        text: What is found.
        is_fault: Whether the configuration should not be sent; otherwise it only differs.
    """

    __slots__ = ("place", "text", "is_fault")

    def __init__(self, *, place: str, text: str, is_fault: bool = True) -> None:
        self.place = place
        self.text = text
        self.is_fault = is_fault


def _check(check: Check) -> Check:
    _CHECKS.append(check)
    return check


def check_routes(table: RouteTable) -> list[Finding]:
    """Return all that is wrong with a version of the routes, by itself."""
    return [found for check in _CHECKS for found in check(table)]


@_check
def _names_twice(table: RouteTable) -> typing.Iterator[Finding]:
    """Two entries of one name: which of them holds depends on their order."""
    kinds = (
        ("route", table.routes),
        ("service", table.services),
        ("organisation", table.organisations or ()),
    )
    for kind, entries in kinds:
        for name, count in collections.Counter(one.name for one in entries).items():
            if count > 1:
                yield Finding(place=f"{kind} {name}", text=f"is named {count} times")


@_check
def _routes_that_never_match(table: RouteTable) -> typing.Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for route in table.routes:
        place = f"route {route.name}"
        if route.host != route.host.lower() or ":" in route.host:
            yield Finding(
                place=place,
                text=f"never matches: host {route.host!r} has capitals or a port, unlike callers",
            )
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")) or "?" in prefix:
            yield Finding(
                place=place,
                text=f"prefix {prefix!r} has to begin and end with a slash, and holds no query",
            )
        first = seen.setdefault((route.host, prefix), route.name)
        if first != route.name:
            text = f"never matches: route {first} has the same host and prefix and comes first"
            yield Finding(place=place, text=text)


@_check
def _services_that_are_not_there(table: RouteTable) -> typing.Iterator[Finding]:
    listed = {one.name for one in table.services}
    used = set()
    for route in table.routes:
        for name, _ in route.services:
            used.add(name)
            if name not in listed:
                text = f"service {name!r} is not listed" if name else "names no service"
                yield Finding(place=f"route {route.name}", text=text)
    for name in sorted(listed - used):
        yield Finding(place=f"service {name}", text="never gets a request: no route names it")


@_check
def _limits_of_routes(table: RouteTable) -> typing.Iterator[Finding]:
    for route in table.routes:
        for text in _route_faults(route):
            yield Finding(place=f"route {route.name}", text=text)
    for service in table.services:
        for text in _service_faults(service):
            yield Finding(place=f"service {service.name}", text=text)


def _route_faults(route: Route) -> typing.Iterator[str]:
    if route.timeout <= 0.0:
        yield f"its time-out of {route.timeout:g} s lets no request be served"
    elif route.target_latency > route.timeout:
        yield (
            f"its target of {route.target_latency:g} s lies beyond"
            f" its time-out of {route.timeout:g} s"
        )
    if route.max_attempts < 1:
        yield f"{route.max_attempts} attempts let no request be sent"
    if route.resumable and route.kind != STREAM:
        yield f"is resumable, which a route of kind {route.kind} never is"
    elif route.resumable and route.max_attempts == 1:
        yield "is resumable with one attempt only: a stream that breaks off goes on nowhere"
    if route.target_gap and route.kind != STREAM:
        yield f"has a target for pauses, which a route of kind {route.kind} doesn't have"
    if route.priority < 0:
        yield f"its priority {route.priority} is below 0, the most urgent"


def _service_faults(service: ServiceTraits) -> typing.Iterator[str]:
    if service.max_connections < 1:
        yield f"{service.max_connections} connections let no request be sent"
    engine = service.engine
    if engine is None:
        return
    if engine.slots < 1 or engine.memory_tokens < 1:
        yield f"{engine.slots} slots and {engine.memory_tokens} tokens of memory hold no request"
    elif service.max_connections < engine.slots:
        yield f"{service.max_connections} connections can't fill {engine.slots} slots"


@_check
def _limits_of_organisations(table: RouteTable) -> typing.Iterator[Finding]:
    holders: dict[str, str] = {}
    for one in table.organisations or ():
        place = f"organisation {one.name}"
        if not one.keys:
            yield Finding(place=place, text="has no key, so none of its requests is let in")
        for key in one.keys:
            holder = holders.setdefault(key, one.name)
            if holder != one.name:
                text = f"shares key {key[:KEY_CHARS]} with organisation {holder}"
                yield Finding(place=place, text=text)
        for text in _organisation_faults(one):
            yield Finding(place=place, text=text)


def _organisation_faults(one: Organisation) -> typing.Iterator[str]:
    if one.priority is not None and one.priority < 0:
        yield f"its priority {one.priority} is below 0, the most urgent"
    limit = one.limit
    if limit is None:
        return
    least = limit.plain_tokens if limit.counts_tokens else 1
    unit = "tokens" if limit.counts_tokens else "requests"
    if limit.rate < 0 or limit.burst < 0:
        yield f"its limit of {limit.rate:g} {unit} a second and {limit.burst:g} more is below 0"
    elif limit.burst < least:
        yield (
            f"its burst of {limit.burst:g} {unit} is less than one request takes, which is {least}"
        )
    if limit.counts_tokens and limit.plain_tokens < 1:
        yield "requests without a stated length count nothing against its limit"


def compare_routes(old: RouteTable, new: RouteTable) -> list[Finding]:
    """Return what a version of the routes changes, and faults that only the comparison shows."""
    found = []
    if new.version <= old.version:
        text = f"{new.version} is never put in force: hosts have version {old.version}"
        found.append(Finding(place="version", text=text))
    kinds = (
        ("route", old.routes, new.routes),
        ("service", old.services, new.services),
        ("organisation", old.organisations or (), new.organisations or ()),
    )
    for kind, before, after in kinds:
        found += _changes(kind, before, after)
    if (old.organisations is None) != (new.organisations is None):
        needed = new.organisations is not None
        text = "callers need a key from now on" if needed else "callers need no key any more"
        found.append(Finding(place="organisations", text=text, is_fault=False))
    return found


def _changes(
    kind: str, before: typing.Sequence[typing.Any], after: typing.Sequence[typing.Any]
) -> typing.Iterator[Finding]:
    old = {one.name: one for one in before}
    new = {one.name: one for one in after}
    for name in sorted(old.keys() - new.keys()):
        yield Finding(place=f"{kind} {name}", text="is dropped", is_fault=False)
    for name in sorted(new.keys() - old.keys()):
        yield Finding(place=f"{kind} {name}", text="is new", is_fault=False)
    for name in sorted(old.keys() & new.keys()):
        for text in _field_changes(old[name], new[name]):
            yield Finding(place=f"{kind} {name}", text=text, is_fault=False)


def _field_changes(old: Record, new: Record, prefix: str = "") -> typing.Iterator[str]:
    for field in old._fields:
        one, other = getattr(old, field), getattr(new, field)
        if one == other:
            continue
        if field == "keys":
            yield from _key_changes(one, other)
        elif isinstance(one, Record) and isinstance(other, Record):
            yield from _field_changes(one, other, f"{prefix}{field}.")
        else:
            yield f"{prefix}{field}: {_shown(one)} -> {_shown(other)}"


def _key_changes(old: tuple[str, ...], new: tuple[str, ...]) -> typing.Iterator[str]:
    for text, keys in (("taken away", set(old) - set(new)), ("added", set(new) - set(old))):
        if keys:
            yield f"keys {text}: {', '.join(sorted(key[:KEY_CHARS] for key in keys))}"


def _shown(value: object) -> str:
    if isinstance(value, Record):
        fields = (f"{name} {_shown(getattr(value, name))}" for name in value._fields)
        return "(" + ", ".join(fields) + ")"
    return "none" if value is None else str(value)
