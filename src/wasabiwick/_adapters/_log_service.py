"""Appends to and reads from the log service over HTTP."""

from .._errors import Failure
from .._wire import LogAppend, LogAppendAnswer, LogPage
from ._http import request_json
from ._platform import PlatformClient


class HttpLogService(PlatformClient):
    """Client of the log service."""

    __slots__ = ()

    async def append(self, stream: str, records: tuple[str, ...]) -> int | Failure:
        """Append records in one call, and return the first record's offset."""
        answer = await request_json(
            self._session,
            "POST",
            self._address,
            f"/streams/{stream}/append",
            body=LogAppend(records=records),
            answer=LogAppendAnswer,
            timeout=self._timing.log,
        )
        return answer if isinstance(answer, Failure) else answer.offset

    async def read(self, stream: str, offset: int, wait: float) -> LogPage | Failure:
        """Read from an offset; waits up to ``wait`` seconds if there are no records yet."""
        return await request_json(
            self._session,
            "GET",
            self._address,
            f"/streams/{stream}?from={offset}&wait={wait}",
            answer=LogPage,
            timeout=self._timing.log + wait,
        )
