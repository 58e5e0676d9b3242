"""Organisations: whose key a caller names, by the newest version of the routes that was read."""

import typing

from .._effects import LogLine
from .._events import FeedChanged, RoutesRead
from .._forwarding import Organisation
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice

ROUTES = "routes"  # Name of the feed that reads versions of the routes.


@state_slice("organisations")
class OrganisationsState:
    """Organisations of the version in force, by the digest of each key and by name.

    ``by_key`` and ``by_name`` are None if the operator names no organisations. ``unread_keys``
    holds the digests of keys whose organisation can't be read; None if these aren't known either.
    ``is_up`` is false while no new version can be read.
    """

    __slots__ = ("version", "by_key", "by_name", "unread_keys", "is_up")

    def __init__(self, cfg: Settings) -> None:
        self.version = 0
        self.by_key: dict[str, Organisation] | None = None
        self.by_name: dict[str, Organisation] | None = None
        self.unread_keys: frozenset[str] | None = frozenset()
        self.is_up = True


def are_named(state: State) -> bool:
    """Return whether the operator names organisations, so that callers need a key."""
    return state["organisations"].by_key is not None


def of_key(state: State, key: str) -> Organisation | None:
    """Return the organisation that holds the key of a digest, or None."""
    return (state["organisations"].by_key or {}).get(key)


def named(state: State, name: str) -> Organisation | None:
    """Return the organisation of a name, or None if the version in force has none."""
    return (state["organisations"].by_name or {}).get(name)


def known(state: State) -> list[Organisation]:
    """Return all organisations of the version in force."""
    return list((state["organisations"].by_name or {}).values())


def is_allowed_anywhere(state: State, key: str) -> bool:
    """Return whether the key of a digest allows all routes, or none of them needs a key."""
    return not are_named(state) or of_key(state, key) is not None


def may_be_unread(state: State, key: str) -> bool:
    """Return whether the key of a digest may be one of an organisation that can't be read."""
    unread_keys = state["organisations"].unread_keys
    return bool(key) and (unread_keys is None or key in unread_keys)


def may_be_old(state: State) -> bool:
    """Return whether there may be newer versions, none of which can be read."""
    return not state["organisations"].is_up


@handles(FeedChanged)
def feed_changed(state: State, event: FeedChanged) -> None:
    """Record whether new versions of the routes can be read."""
    if event.feed == ROUTES:
        state["organisations"].is_up = event.up


@handles(RoutesRead)
def apply_organisations(state: State, event: RoutesRead) -> typing.Iterator[Step]:
    """Put the organisations of a newer version of the routes in force."""
    organisations_state, table = state["organisations"], event.table
    if table.version <= organisations_state.version:
        return
    organisations_state.version = table.version
    organisations_state.unread_keys = (
        None if table.unread_keys is None else frozenset(table.unread_keys)
    )
    if table.organisations is None:
        organisations_state.by_key = organisations_state.by_name = None
        return
    organisations_state.by_name = {one.name: one for one in table.organisations}
    organisations_state.by_key = {key: one for one in table.organisations for key in one.keys}
    fields = {
        "version": table.version,
        "organisations": len(table.organisations),
        "keys": len(organisations_state.by_key),
        "unread_keys": "-" if table.unread_keys is None else len(table.unread_keys),
    }
    yield LogLine(event="organisations_in_force", fields=fields)
