"""Reads the host list over HTTP."""

import asyncio

import aiohttp
import msgspec

from .._decoding import decode_json
from .._errors import Failure
from .._settings import Timing
from .._wire import HostEntry
from ._http import failure_from_error, failure_from_status
from ._platform import PlatformClient

HTTP_NOT_MODIFIED = 304


class HttpHostList(PlatformClient):
    """Client of the host list; a list with an ETag is sent again only if it has changed."""

    __slots__ = ("_entries", "_etag")

    def __init__(self, *, session: aiohttp.ClientSession, address: str, timing: Timing) -> None:
        super().__init__(session=session, address=address, timing=timing)
        self._entries: tuple[HostEntry, ...] = ()
        self._etag = ""

    async def entries(self) -> tuple[HostEntry, ...] | Failure:
        """Return all entries of the list."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with (
                asyncio.timeout(self._timing.log),
                self._session.get(f"{self._address}/hosts", headers=headers) as resp,
            ):
                if resp.status == HTTP_NOT_MODIFIED:
                    return self._entries
                if resp.status >= 400:
                    return failure_from_status(resp.status, self._address)
                self._entries = decode_json(await resp.read(), tuple[HostEntry, ...])
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as exc:
            return failure_from_error(exc, self._address)
        self._etag = resp.headers.get("ETag", "")
        return self._entries
