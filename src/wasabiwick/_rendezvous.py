"""Rendezvous hashing: a lost member moves only its own share of the keys."""

import typing

import xxhash


def ranked(key: str, members: typing.Iterable[str]) -> list[str]:
    """Order members by their weight for a key, heaviest first."""
    return sorted(members, key=lambda name: (_weight(key, name), name), reverse=True)


def owner_of(key: str, members: typing.Iterable[str]) -> str | None:
    """Return the member with the highest weight for a key, or None if there are none."""
    return max(members, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
