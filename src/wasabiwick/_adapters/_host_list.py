"""The host list over HTTP."""

from .._errors import Failure
from .._wire import HostEntry
from ._http import ask
from ._platform import PlatformClient


class HttpHostList(PlatformClient):
    """The host list over HTTP."""

    __slots__ = ()

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
