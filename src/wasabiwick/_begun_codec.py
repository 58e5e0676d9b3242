"""Encodes begun streams and builds for other hosts.

Hosts' monotonic clocks differ, so times are sent as ages in milliseconds.
"""

import typing

from ._decoding import Whole
from ._forwarding import BegunStream

MS_PER_S = 1000

# Name, service, build, and milliseconds since it began.
StreamRow = tuple[str, str, str, Whole]
BuildAges = dict[str, dict[str, float]]  # Seconds since a build was listed, by service and build.


def encode_streams(streams: typing.Iterable[BegunStream], now: float) -> list[StreamRow]:
    """Return streams as rows."""
    return [
        (one.name, one.service, one.build, int((now - one.began) * MS_PER_S)) for one in streams
    ]


def decode_streams(rows: typing.Iterable[StreamRow], now: float) -> tuple[BegunStream, ...]:
    """Return the streams of rows that were encoded at ``now``."""
    return tuple(
        BegunStream(name=name, service=service, build=build, began=now - since / MS_PER_S)
        for name, service, build, since in rows
    )


def encode_ages(builds: BuildAges) -> dict[str, dict[str, int]]:
    """Return the ages of builds in milliseconds."""
    return {
        service: {build: int(age * MS_PER_S) for build, age in ages.items()}
        for service, ages in builds.items()
    }


def decode_ages(builds: dict[str, dict[str, int]], passed: float = 0.0) -> BuildAges:
    """Return the ages of builds in seconds, after ``passed`` more seconds."""
    return {
        service: {build: age / MS_PER_S + passed for build, age in ages.items()}
        for service, ages in builds.items()
    }
