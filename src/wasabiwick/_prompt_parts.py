"""Identifiers of the parts of prompts, as they are kept and logged."""

import itertools
import typing

import xxhash

MAX_LOGGED = 64  # Most parts of prompts in a log line; a prompt may have thousands.
MAX_CHARS = 32  # Longest identifier that is kept as it is; of longer ones, a digest is kept.
DIGEST = "part:"  # Begins such digests; no identifier has a colon.


def joined(names: list[str]) -> str:
    """Return the parts of a prompt in order, each once and bounded in length, joined by commas."""
    if any(len(name) > MAX_CHARS for name in names):
        names = list(map(_bounded, names))
    return ",".join(filter(None, dict.fromkeys(names)))


def _bounded(name: str) -> str:
    """Return a part's identifier, or a digest of a long one."""
    return name if len(name) <= MAX_CHARS else DIGEST + xxhash.xxh3_128_hexdigest(name.encode())


def listed(parts: typing.Collection[str]) -> str:
    """Return parts for a log line: the first ones, and how many more there are."""
    text = ",".join(itertools.islice(parts, MAX_LOGGED))
    more = len(parts) - MAX_LOGGED
    return f"{text},and {more} more" if more > 0 else text or "-"
