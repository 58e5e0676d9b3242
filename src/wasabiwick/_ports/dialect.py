"""Port to the HTTP conventions of the callers of forwarded requests."""

import typing

from .._errors import Failure
from .._forwarding import Ask
from .endpoints import Exchange


class Dialect(typing.Protocol):
    """HTTP conventions by which callers describe a request and are told of a failure.

    Attributes:
        ready_path: Path of the readiness check.
    """

    ready_path: str

    def ask(self, call_id: str, host: str, exchange: Exchange, now: float) -> Ask:
        """Parse a request into what its caller asks for."""

    def failure_headers(self, ask: Ask, failure: Failure) -> dict[str, str]:
        """Return the headers that describe a failure that this host reports itself."""
