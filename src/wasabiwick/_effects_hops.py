"""Effects of hops: passing requests to other hosts, and checking which endpoints are reached."""

from ._effects import Effect
from ._effects_forwarding import EndpointEffect
from ._hops import Hop


class PassOn(EndpointEffect):
    """Pass a request to another host, which sends it to an endpoint.

    Args:
        call_id: The call.
        endpoint: Name of the other host.
        address: Where that host takes requests of other hosts.
        number: Number of this try, from 1.
        deadline: Monotonic time until which an endpoint may work.
        quiet: Time-out of the response head, in seconds; 0 for none.
        hop: What the other host has to know.
    """

    __slots__ = ("number", "deadline", "quiet", "hop")

    def __init__(
        self,
        *,
        call_id: str,
        endpoint: str,
        address: str,
        number: int,
        deadline: float,
        quiet: float,
        hop: Hop,
    ) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.number = number
        self.deadline = deadline
        self.quiet = quiet
        self.hop = hop


class CheckReach(Effect):
    """Check whether any of some endpoints of a service accepts a new connection.

    ``endpoints`` holds their names and addresses.
    """

    __slots__ = ("service", "endpoints")

    def __init__(self, *, service: str, endpoints: tuple[tuple[str, str], ...]) -> None:
        self.service = service
        self.endpoints = tuple((name, address) for name, address in endpoints)


class ReadHosts(Effect):
    """Read the list of hosts again."""

    __slots__ = ()
