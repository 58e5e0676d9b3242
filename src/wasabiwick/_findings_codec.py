"""Encodes findings of hosts, crashes of endpoints and sound parts of prompts, for other hosts.

Hosts' monotonic clocks differ, so times are sent as ages in milliseconds.
"""

import typing

from ._decoding import Whole
from ._forwarding import Crash, SoundPart

MS_PER_S = 1000

# Endpoint, Unix milliseconds of its start, service, parts, and milliseconds since it ended.
CrashRow = tuple[str, Whole, str, list[str], Whole]
SoundRow = tuple[str, str, Whole]  # Service, part, and milliseconds since it was seen to be sound.


def encode_crashes(crashes: typing.Iterable[Crash], now: float) -> list[CrashRow]:
    """Return crashes as rows."""
    return [
        (one.endpoint, one.born, one.service, list(one.parts), int((now - one.at) * MS_PER_S))
        for one in crashes
    ]


def decode_crashes(rows: typing.Iterable[CrashRow], now: float) -> tuple[Crash, ...]:
    """Return the crashes of rows that were encoded at ``now``."""
    return tuple(
        Crash(
            endpoint=endpoint,
            born=born,
            service=service,
            parts=tuple(parts),
            at=now - since / MS_PER_S,
        )
        for endpoint, born, service, parts, since in rows
    )


def encode_sound(parts: typing.Iterable[SoundPart], now: float) -> list[SoundRow]:
    """Return sound parts as rows."""
    return [(one.service, one.part, int((now - one.at) * MS_PER_S)) for one in parts]


def decode_sound(rows: typing.Iterable[SoundRow], now: float) -> tuple[SoundPart, ...]:
    """Return the sound parts of rows that were encoded at ``now``."""
    return tuple(
        SoundPart(service=service, part=part, at=now - since / MS_PER_S)
        for service, part, since in rows
    )
