"""Handlers of the reducer, one module per concern, in the order in which they see an event."""

from . import (  # noqa: I001 - the order of import is the order of registration
    host,
    members,
    members_watch,
    lists,
    lists_keeping,
    calls,
    keys,
    admission,
    slots,
    generation,
    cancels,
    services,
    once_shard,
    once,
    closing,
)

__all__ = [
    "admission",
    "calls",
    "cancels",
    "closing",
    "generation",
    "host",
    "keys",
    "lists",
    "lists_keeping",
    "members",
    "members_watch",
    "once",
    "once_shard",
    "services",
    "slots",
]
