"""Port to the platform's append-only log service."""

import typing

from .._errors import Failure
from .._wire import LogPage


class LogService(typing.Protocol):
    """Appends and reads of named streams."""

    async def append(self, stream: str, records: tuple[str, ...]) -> int | Failure:
        """Append records in one request, and return the first record's offset."""

    async def read(self, stream: str, offset: int, wait: float) -> LogPage | Failure:
        """Read from an offset; waits up to ``wait`` seconds for a record if there is none."""
