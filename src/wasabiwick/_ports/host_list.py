"""Port to the platform's host list."""

import typing

from .._errors import Failure
from .._wire import HostEntry


class HostList(typing.Protocol):
    """The lagging list of live and leaving hosts."""

    async def entries(self) -> tuple[HostEntry, ...] | Failure:
        """Return the list."""
