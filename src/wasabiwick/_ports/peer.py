"""Port to other entry hosts."""

import typing

from .._errors import Failure
from .._wire import Envelope


class Peer(typing.Protocol):
    """Delivery of messages to another entry host."""

    async def send(self, address: str, envelope: Envelope) -> Failure | None:
        """Deliver a batch of messages; None once the other host has accepted it."""
