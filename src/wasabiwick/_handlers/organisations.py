"""Organisations: whose key a caller names, by the newest version of the routes that was read."""

from .._events import RoutesRead
from .._forwarding import Organisation, Route
from .._reducer import handles
from .._settings import Settings
from .._state import State, state_slice


@state_slice("organisations")
class OrganisationsState:
    """Organisations of the version in force, by the digest of each key and by name.

    ``by_key`` and ``by_name`` are None if the operator names no organisations.
    """

    __slots__ = ("version", "by_key", "by_name")

    def __init__(self, cfg: Settings) -> None:
        self.version = 0
        self.by_key: dict[str, Organisation] | None = None
        self.by_name: dict[str, Organisation] | None = None


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


def needs_key(state: State, route: Route) -> bool:
    """Return whether the callers of a route need a key of an organisation."""
    return are_named(state) and not route.public


@handles(RoutesRead)
def apply_organisations(state: State, event: RoutesRead) -> None:
    """Put the organisations of a newer version of the routes in force."""
    organisations_state, table = state["organisations"], event.table
    if table.version <= organisations_state.version:
        return
    organisations_state.version = table.version
    if table.organisations is None:
        organisations_state.by_key = organisations_state.by_name = None
        return
    organisations_state.by_name = {one.name: one for one in table.organisations}
    organisations_state.by_key = {key: one for one in table.organisations for key in one.keys}
