"""Calls plain services, which are not model engines, over HTTP."""

import asyncio

import aiohttp

from .._errors import Failure
from .._ports import ServiceAnswer
from .._settings import Timing
from ._http import failure_from_error, read_body


class HttpService:
    """Client of plain services, with a new connection for each call.

    The service may close a reused connection while a request is in flight, and client libraries
    then send the request again. On a new connection they never do.

    Args:
        session: Client session whose connections are closed after each call.
        timing: Timeouts.
    """

    __slots__ = ("_session", "_timing")

    def __init__(self, *, session: aiohttp.ClientSession, timing: Timing) -> None:
        self._session = session
        self._timing = timing

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
        headers = {"Content-Type": content_type, **_fence_header(fence)}
        if key:
            headers["Idempotency-Key"] = key
        return await self._exchange(address, method, path, body, headers, timeout)

    async def query(self, address: str, *, key: str, fence: int) -> ServiceAnswer | Failure:
        """Ask for the outcome of the call with this idempotency key; status 404 if it never ran."""
        headers = _fence_header(fence)
        timeout = self._timing.service
        return await self._exchange(address, "GET", f"/outcomes/{key}", b"", headers, timeout)

    async def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout: float,
    ) -> ServiceAnswer | Failure:
        url = f"{address}/{path.lstrip('/')}"
        try:
            async with (
                asyncio.timeout(timeout),
                self._session.request(
                    method, url, data=body or None, headers=headers, allow_redirects=False
                ) as resp,
            ):
                text = (await read_body(resp)).decode(resp.charset or "utf-8")
                return ServiceAnswer(status=resp.status, body=text, content_type=resp.content_type)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, LookupError) as exc:
            return failure_from_error(exc, address)


def _fence_header(fence: int) -> dict[str, str]:
    return {"X-Fence": str(fence)} if fence >= 0 else {}
