"""Encodes endpoints' limits for other hosts.

Hosts' monotonic clocks differ, so times are sent as ages in milliseconds.
"""

import typing

from ._forwarding import EndpointLimit

MS_PER_S = 1000

# Endpoint, requests a second or None for no limit, and milliseconds since that was named.
LimitRow = tuple[str, float | None, int]


def encode_limit(limit: EndpointLimit, now: float) -> LimitRow:
    """Return a limit as a row."""
    return limit.endpoint, limit.rate, int((now - limit.named_at) * MS_PER_S)


def decode_limit(row: LimitRow, now: float) -> EndpointLimit:
    """Return the limit of a row that was encoded at ``now``."""
    endpoint, rate, since = row
    return EndpointLimit(endpoint=endpoint, rate=rate, named_at=now - since / MS_PER_S)


def encode_limits(limits: typing.Iterable[EndpointLimit], now: float) -> list[LimitRow]:
    """Return limits as rows."""
    return [encode_limit(one, now) for one in limits]


def decode_limits(rows: typing.Iterable[LimitRow], now: float) -> tuple[EndpointLimit, ...]:
    """Return the limits of rows that were encoded at ``now``."""
    return tuple(decode_limit(row, now) for row in rows)
