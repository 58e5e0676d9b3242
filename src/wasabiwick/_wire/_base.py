"""Base class of wire messages, and the identity of a host's process."""

import msgspec


class Owner(msgspec.Struct, frozen=True, order=True):
    """One process of an entry host: the host's name and the incarnation of the process."""

    host: str
    incarnation: str


class Base(msgspec.Struct, frozen=True, tag_field="type", tag=True, omit_defaults=True):
    """Base of all tagged messages and log records."""
