"""Port to other hosts by datagrams, and to the list in which hosts find each other."""

import typing

from .._effects_forwarding import TellLoad
from .._errors import Failure
from .._wire import Owner


class Datagrams(typing.Protocol):
    """Datagrams between hosts."""

    address: str

    def send_load(self, owner: Owner, zone: str, effect: TellLoad) -> None:
        """Send this host's load to others; a datagram may be lost."""


class HostRegister(typing.Protocol):
    """What hosts keep for each other: the list of hosts, and claims to give orders."""

    async def announce(self, host: str, address: str, zone: str) -> Failure | None:
        """Enter a host."""

    async def last_claim(self) -> tuple[int, str] | Failure:
        """Return where the log of claims ends, and the holder of the last one."""

    async def claim(self, holder: str, after: int) -> int | Failure:
        """Claim the right to give orders, if no claim came since; returns its offset."""

    async def hosts(self) -> list[tuple[str, str, str]] | Failure:
        """Return name, address and zone of all hosts that ever entered."""
