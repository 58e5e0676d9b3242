"""Port to plain services, which are not model engines."""

import typing

from .._errors import Failure


class ServiceAnswer:
    """The whole answer of a plain service."""

    __slots__ = ("status", "body", "content_type")

    def __init__(self, *, status: int, body: str, content_type: str) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type


class Service(typing.Protocol):
    """Calls to a plain service; ``address`` is its base URL."""

    async def call(
        self,
        address: str,
        *,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
        key: str,
        fence: int,
        timeout: float,
    ) -> ServiceAnswer | Failure:
        """Send one call on a new connection, without any retry."""

    async def query(self, address: str, *, key: str, fence: int) -> ServiceAnswer | Failure:
        """Ask for the outcome of the call with this idempotency key; status 404 if it never ran.

        From then on, a service that checks fencing tokens refuses calls with one below ``fence``.
        """
