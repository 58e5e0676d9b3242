"""Status that a host reports to operators."""

import msgspec

from ._handlers import lists, members
from ._handlers.host import in_flight, roles_held
from ._state import State
from ._version import VERSION
from ._wire import HostEntry

ENTRY = "entry"


class EndpointCount(msgspec.Struct):
    """Number of endpoints of one service or model, as a host sees them."""

    service: str
    known: int
    usable: int


class Status(msgspec.Struct):
    """Answer of ``GET /status``.

    ``release`` is the software's version; ``version`` and ``offset`` are those of the configuration
    in force. ``roles`` are the soft roles that the host holds: duties, such as coordinator, that
    another live host takes over if this one fails. ``hosts`` are the live hosts of its zone, as it
    sees them.
    """

    host: str
    incarnation: str
    zone: str
    version: int
    offset: int
    in_flight: int
    stopping: bool
    release: str = ""
    roles: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    endpoints: tuple[EndpointCount, ...] = ()


def status_of(state: State) -> Status:
    """Return the status of the host whose state this is."""
    return Status(
        host=state.owner.host,
        incarnation=state.owner.incarnation,
        zone=state.zone,
        version=lists.version(state),
        offset=lists.offset(state),
        in_flight=in_flight(state),
        stopping=state.stopping,
        release=VERSION,
        roles=tuple(roles_held(state)),
        hosts=tuple(members.live_hosts(state, state.zone)),
        endpoints=tuple(_endpoint_counts(state)),
    )


def _endpoint_counts(state: State) -> list[EndpointCount]:
    by_service: dict[str, list[HostEntry]] = {}
    for entry in state["members"].entries.values():
        if entry.kind != ENTRY:
            by_service.setdefault(entry.service, []).append(entry)
    return [
        EndpointCount(
            service=service,
            known=len(entries),
            usable=sum(members.is_usable(state, entry.name) for entry in entries),
        )
        for service, entries in sorted(by_service.items())
    ]
