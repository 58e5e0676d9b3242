"""Port to other hosts by datagrams, and to the list in which hosts find each other."""

import typing

from .._effects_forwarding import TellLoad
from .._errors import Failure
from .._wire import Owner


class Datagrams(typing.Protocol):
    """Datagrams between hosts."""

    address: str

    def tell(self, owner: Owner, zone: str, effect: TellLoad) -> None:
        """Send this host's load to others; a datagram may be lost."""


class HostRegister(typing.Protocol):
    """The list in which hosts find each other."""

    async def announce(self, host: str, address: str, zone: str) -> Failure | None:
        """Enter a host."""

    async def hosts(self) -> list[tuple[str, str, str]] | Failure:
        """Return name, address and zone of all hosts that ever entered."""
