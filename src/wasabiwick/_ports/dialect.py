"""Port to the HTTP conventions of the callers of forwarded requests."""

import typing

from .._errors import Failure
from .._forwarding import Ask
from .._http1 import Header
from .endpoints import Exchange


class Dialect(typing.Protocol):
    """HTTP conventions by which callers describe a request and are told of a failure.

    Attributes:
        ready_path: Path of the readiness check.
    """

    ready_path: str

    def ask(self, call_id: str, host: str, exchange: Exchange, now: float) -> Ask:
        """Parse a request into what its caller asks for."""

    def key(self, headers: list[Header]) -> str:
        """Return the digest of the key that a caller names, or an empty string."""

    def passed_headers(self, headers: list[Header], organisation: str | None) -> list[Header]:
        """Return a caller's headers as they are passed to another host, without its key.

        They have the organisation's name, unless that is empty. They stay as they are where the
        operator names no organisations (None).
        """

    def failure_headers(self, ask: Ask, failure: Failure) -> dict[str, str]:
        """Return the headers that describe a failure that this host reports itself."""
