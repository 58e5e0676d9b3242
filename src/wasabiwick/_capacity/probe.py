"""Registry of the probes: functions that measure costs at several sizes and fit lines to them."""

import typing

from .fit import Line

Probe = typing.Callable[[], typing.Iterable[Line]]

PROBES: dict[str, Probe] = {}


def probe(name: str) -> typing.Callable[[Probe], Probe]:
    """Register a probe under a name."""

    def register(measure: Probe) -> Probe:
        PROBES[name] = measure
        return measure

    return register
