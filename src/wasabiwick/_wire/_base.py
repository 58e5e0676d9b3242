"""What all wire messages share."""

import msgspec


class Owner(msgspec.Struct, frozen=True, order=True):
    """One run of one entry host: the host's name and the incarnation of its process."""

    host: str
    incarnation: str


class Base(msgspec.Struct, frozen=True, tag_field="type", tag=True, omit_defaults=True):
    """Base of all tagged messages."""
