"""Handlers of the reducer, one module per concern, in the order in which they see an event."""

from . import (  # noqa: I001 - the order of import is the order of registration
    host,
    members,
    lists,
    calls,
    keys,
    health,
    admission,
    coordinator,
    pools,
    slots,
    generation,
    cancels,
    services,
    closing,
)

__all__ = [
    "admission",
    "calls",
    "cancels",
    "closing",
    "coordinator",
    "generation",
    "health",
    "host",
    "keys",
    "lists",
    "members",
    "pools",
    "services",
    "slots",
]
