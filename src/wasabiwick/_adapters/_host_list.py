"""The host list over HTTP."""

import aiohttp

from .._errors import Failure
from .._settings import Timing
from .._wire import HostEntry
from ._http import ask


class HttpHostList:
    """The host list over HTTP.

    Args:
        session: Client session.
        address: Base URL of the host list.
        timing: Timeouts.
    """

    __slots__ = ("_session", "_address", "_timing")

    def __init__(self, *, session: aiohttp.ClientSession, address: str, timing: Timing) -> None:
        self._session = session
        self._address = address
        self._timing = timing

    async def entries(self) -> tuple[HostEntry, ...] | Failure:
        """Return the list."""
        return await ask(
            self._session,
            "GET",
            self._address,
            "/hosts",
            answer=tuple[HostEntry, ...],
            timeout=self._timing.log,
        )
