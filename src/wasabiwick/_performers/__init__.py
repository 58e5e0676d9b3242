"""Performers, which carry out effects: a function per effect type, a module per outside system."""

from . import (
    callers,
    engines,
    findings,
    forwarding,
    hops,
    peers,
    platform,
    services,
    telemetry,
    timers,
)

__all__ = [
    "callers",
    "engines",
    "findings",
    "forwarding",
    "hops",
    "peers",
    "platform",
    "services",
    "telemetry",
    "timers",
]
