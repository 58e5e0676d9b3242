"""Encodes what endpoints said of their load for other hosts.

Hosts' monotonic clocks differ, so times are sent as ages in milliseconds.
"""

import typing

from ._forwarding import EngineSign

MS_PER_S = 1000
PER_CENT = 100

# Endpoint, running, waiting, slots, slowness in per cent or None, milliseconds since the answer,
# milliseconds of work that were taken, and that were expected.
SignRow = tuple[str, int, int, int, int | None, int, int, int]


def encode_signs(signs: typing.Iterable[EngineSign], now: float) -> list[SignRow]:
    """Return what endpoints said as rows."""
    return [
        (
            one.endpoint,
            one.running,
            one.waiting,
            one.slots,
            None if one.slowness is None else round(one.slowness * PER_CENT),
            int((now - one.at) * MS_PER_S),
            round(one.taken * MS_PER_S),
            round(one.expected * MS_PER_S),
        )
        for one in signs
    ]


def decode_signs(rows: typing.Iterable[SignRow], now: float) -> tuple[EngineSign, ...]:
    """Return what the endpoints of rows said, which were encoded at ``now``."""
    return tuple(
        EngineSign(
            endpoint=endpoint,
            running=running,
            waiting=waiting,
            slots=slots,
            slowness=None if slowness is None else slowness / PER_CENT,
            at=now - since / MS_PER_S,
            taken=taken / MS_PER_S,
            expected=expected / MS_PER_S,
        )
        for endpoint, running, waiting, slots, slowness, since, taken, expected in rows
    )
