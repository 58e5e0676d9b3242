"""Port to the platform's host list."""

import typing

from .._errors import Failure
from .._wire import HostEntry


class HostList(typing.Protocol):
    """The platform's list of live and leaving hosts, which may be out of date."""

    async def entries(self) -> tuple[HostEntry, ...] | Failure:
        """Return the list."""
