"""Base of the adapters to the platform's services."""

import aiohttp

from .._settings import Timing


class PlatformClient:
    """A client of one of the platform's services.

    Args:
        session: Client session.
        address: Base URL of the service.
        timing: Timeouts.
    """

    __slots__ = ("_session", "_address", "_timing")

    def __init__(self, *, session: aiohttp.ClientSession, address: str, timing: Timing) -> None:
        self._session = session
        self._address = address
        self._timing = timing
