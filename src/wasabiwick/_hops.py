"""Data types of hops: requests that a host passes to another one, which reaches their service."""

from ._record import Record


class Hop(Record):
    """What a host tells of a request that it passes to another one.

    Args:
        sender: Name of the host that the caller sent the request to.
        service: Name of the service that has to serve it.
        routes_version: Version of the routes under which the sender accepted it.
        build: Build at which alone the request's stream may go on, or empty.
        events: Number of stream events that the caller got.
        avoid: Names of endpoints that refused the request or failed.
        key: Digest of the key that the caller named, or empty.
        organisation: Name that endpoints are told as the caller's organisation, or empty; None
            where the operator names no organisations.
        fingerprints: Identifiers of the whole request as its caller sent it; none where its
            headers are passed on as they came.
    """

    __slots__ = (
        "sender",
        "service",
        "routes_version",
        "build",
        "events",
        "avoid",
        "key",
        "organisation",
        "fingerprints",
    )

    def __init__(
        self,
        *,
        sender: str,
        service: str,
        routes_version: int,
        build: str = "",
        events: int = 0,
        avoid: tuple[str, ...] = (),
        key: str = "",
        organisation: str | None = None,
        fingerprints: tuple[str, ...] = (),
    ) -> None:
        self.sender = sender
        self.service = service
        self.routes_version = routes_version
        self.build = build
        self.events = events
        self.avoid = tuple(avoid)
        self.key = key
        self.organisation = organisation
        self.fingerprints = tuple(fingerprints)


class HopTarget(Record):
    """Where a host takes requests that others pass to it.

    Args:
        address: ``host:port``, or empty if it takes none.
        incarnation: Run of the host's process that this holds for.
    """

    __slots__ = ("address", "incarnation")

    def __init__(self, *, address: str, incarnation: str) -> None:
        self.address = address
        self.incarnation = incarnation
