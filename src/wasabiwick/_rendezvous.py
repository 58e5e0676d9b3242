"""Rendezvous hashing: the loss of a member moves only the keys that it owned."""

import math
import typing

import xxhash

HASHES = 2**64  # Number of different hash values.


def ranked(key: str, members: typing.Iterable[str]) -> list[str]:
    """Return the members by their weight for a key, highest first."""
    return sorted(members, key=lambda name: (_weight(key, name), name), reverse=True)


def owner_of(key: str, members: typing.Iterable[str]) -> str | None:
    """Return the member with the highest weight for a key, or None if there are none."""
    return max(members, key=lambda name: (_weight(key, name), name), default=None)


def weighted_owner_of(key: str, members: dict[str, int]) -> str | None:
    """Return a key's owner, or None; a member's share of all keys is proportional to its number."""
    return max(members, key=lambda name: (_share(key, name, members[name]), name), default=None)


def _share(key: str, name: str, number: int) -> float:
    return -number / math.log((_weight(key, name) + 1) / (HASHES + 1))


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
