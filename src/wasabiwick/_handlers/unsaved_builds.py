"""Unsaved builds: bounds which streams may begin at a build that no record in the store names.

While a host can't save that it uses a new build, a loss of power would leave no trace of it. So two
things are kept that a host can derive again after it has started. Which streams may begin at an
unsaved build follows from their names: those that `position` maps below a share. The share is at
most that of the unsaved builds among the decode engines listed, so that a release is served at the
rate at which it replaces engines. And every build that could be used was listed, so the history of
the list names it, with a bound for the share.

Load pattern handled: a release that is taken back while hosts can't save, then a loss of all hosts.
Streams above the share go on at the saved build; the others are refused.
"""

import hashlib
import typing

from .._forwarding import DECODE, Endpoint, Listing

POSITION_BYTES = 4  # Bytes of a name's digest that make its position.
WHOLE_SHARE = 1.0  # Share of a build at which any stream may have begun.


def position(name: str) -> float:
    """Return a number from 0.0 up to 1.0 that is the same for a stream's name at every host.

    Nothing is known of a stream without a name, so it counts as the first.
    """
    if not name:
        return 0.0
    digest = hashlib.blake2b(name.encode(), digest_size=POSITION_BYTES).digest()
    return int.from_bytes(digest) / 256**POSITION_BYTES


def oldest_build(engines: typing.Sequence[Endpoint]) -> frozenset[str]:
    """Return the empty build and that of the engine that started first.

    It stands for the saved builds at a host that has saved none, as every host finds the same one.
    """
    oldest = _oldest(engines)
    return frozenset(("", oldest.build if oldest is not None else ""))


def share(engines: typing.Sequence[Endpoint], safe: frozenset[str]) -> float:
    """Return the share of streams that may begin at builds that are not safe."""
    unsafe = sum(one.build not in safe for one in engines)
    return unsafe / len(engines) if engines else WHOLE_SHARE


def largest_share(
    listings: typing.Iterable[Listing],
    current: typing.Sequence[Endpoint],
    saved: typing.Collection[str],
    saved_ms: float,
) -> float:
    """Return a bound for `share` at any host since a record was saved.

    Args:
        listings: Entries of a service's endpoints since then, in order.
        current: The service's endpoints that are listed now.
        saved: Builds that the record names.
        saved_ms: Unix time of the record, in milliseconds.
    """
    seen = [one.endpoint for one in listings if one.endpoint is not None] + list(current)
    decoding = [one for one in seen if one.stage in (DECODE, "")]
    oldest = _oldest(decoding)
    if oldest is None or oldest.build not in saved:
        return WHOLE_SHARE
    removed = {one.name for one in listings if one.endpoint is None}
    starts = {one.name: _start(one) for one in current}
    changed = {one.name for one in seen if _start(one) != starts.get(one.name)}
    names = {one.name for one in decoding}
    lasting = {
        one.name
        for one in current
        if one.name in names - removed - changed
        and one.build == oldest.build
        and not one.leaving
        and one.born <= saved_ms
    }
    if oldest.name not in lasting:
        return WHOLE_SHARE
    return 1.0 - len(lasting) / len(names)


def _oldest(engines: typing.Iterable[Endpoint]) -> Endpoint | None:
    return min(engines, key=lambda one: (one.born, one.name), default=None)


def _start(one: Endpoint) -> tuple[object, ...]:
    """Return what has to stay the same for an engine to take streams of one build throughout."""
    return one.build, one.born, one.stage, one.leaving
