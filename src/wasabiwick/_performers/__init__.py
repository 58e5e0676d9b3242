"""Performers: one function for each type of effect, by outside system."""

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
