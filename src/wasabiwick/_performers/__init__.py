"""Performers, which carry out effects: one function for each type, by outside system."""

from . import callers, engines, forwarding, peers, platform, services, telemetry, timers

__all__ = [
    "callers",
    "engines",
    "forwarding",
    "peers",
    "platform",
    "services",
    "telemetry",
    "timers",
]
