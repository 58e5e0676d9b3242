"""Port to the way in which callers of forwarded requests speak."""

import typing

from .._errors import Failure
from .._forwarding import Ask

Header = tuple[bytes, bytes]


class Dialect(typing.Protocol):
    """Names and forms in which callers state a request and learn of a failure.

    Attributes:
        ready_path: Path that tells whether the host takes callers.
    """

    ready_path: str

    def ask(self, call_id: str, host: str, path: str, headers: list[Header], now: float) -> Ask:
        """Read what a caller asks for."""

    def failure_headers(self, ask: Ask, failure: Failure) -> dict[str, str]:
        """Return the headers that go with a failure of this host."""
