"""The host list over HTTP."""

import asyncio

import aiohttp
import msgspec

from .._errors import Failure
from .._settings import Timing
from .._wire import HostEntry
from ._http import failure_of, failure_of_status
from ._platform import PlatformClient

HTTP_NOT_MODIFIED = 304


class HttpHostList(PlatformClient):
    """The host list over HTTP; an unchanged list is not sent again where it has an ETag."""

    __slots__ = ("_entries", "_tag")

    def __init__(self, *, session: aiohttp.ClientSession, address: str, timing: Timing) -> None:
        super().__init__(session=session, address=address, timing=timing)
        self._entries: tuple[HostEntry, ...] = ()
        self._tag = ""

    async def entries(self) -> tuple[HostEntry, ...] | Failure:
        """Return the list."""
        headers = {"If-None-Match": self._tag} if self._tag else {}
        try:
            async with (
                asyncio.timeout(self._timing.log),
                self._session.get(f"{self._address}/hosts", headers=headers) as resp,
            ):
                if resp.status == HTTP_NOT_MODIFIED:
                    return self._entries
                if resp.status >= 400:
                    return failure_of_status(resp.status, self._address)
                self._entries = msgspec.json.decode(await resp.read(), type=tuple[HostEntry, ...])
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as exc:
            return failure_of(exc, self._address)
        self._tag = resp.headers.get("ETag", "")
        return self._entries
