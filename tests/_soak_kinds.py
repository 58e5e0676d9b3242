"""Kinds of request of a soak, and the operator's configuration that routes them."""

import random
import typing

from ._platform import APP, MODEL

HOST_NAME = "ficu95.example"
KEY_MARK = "soakkey"  # Part of every key, known or not.


class Kind(typing.NamedTuple):
    """A kind of request.

    Attributes:
        name: Name of its route.
        type: ``stream``, ``safe`` or ``unsafe``.
        target_ms: The route's latency target.
        timeout_ms: The route's timeout.
        deadline_ms: What its callers wait.
        is_resumable: Whether its streams may be resumed.
    """

    name: str
    type: str
    target_ms: int
    timeout_ms: int
    deadline_ms: int
    is_resumable: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether its answers are streams."""
        return self.type == "stream"

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self.type == "safe" or self.is_resumable

    @property
    def max_attempts(self) -> int:
        """How many endpoints it may be sent to."""
        return 2 if self.may_repeat else 1

    def route(self) -> dict[str, object]:
        """Return its route."""
        return {
            "name": self.name,
            "host": HOST_NAME,
            "path-prefix": f"/{self.name}/",
            "type": self.type,
            "timeout-ms": self.timeout_ms,
            "target-latency-ms": self.target_ms,
            "priority": 1 if self.is_stream else 2,
            "service": MODEL if self.is_stream else APP,
            "max-attempts": self.max_attempts,
            "sticky": self.is_stream,
            "resumable": self.is_resumable,
            "target-itl-ms": 300 if self.is_stream else 0,
        }


STREAMS = (
    Kind("guide-draft", "stream", 1000, 14000, 14000),
    Kind("passage-summary", "stream", 1000, 14000, 14000, is_resumable=True),
)
PLAIN = (
    Kind("group-join", "unsafe", 300, 800, 1500),
    Kind("roster-read", "safe", 300, 800, 1500),
    Kind("send-commit", "unsafe", 145, 800, 1500),
    Kind("quote-lookup", "safe", 145, 800, 1500),
)
KINDS = {kind.name: kind for kind in (*STREAMS, *PLAIN)}
PROBE = Kind("probe", "safe", 300, 800, 1500)


def configuration(version: int, probe: str, rng: random.Random) -> dict[str, object]:
    """Return a configuration.

    Args:
        version: Its version.
        probe: Name of a route that no other version has; empty for none.
        rng: Chooses the order of the routes, which means nothing.
    """
    routes = [kind.route() for kind in KINDS.values()]
    if probe:
        routes.append(PROBE._replace(name=probe).route())
    rng.shuffle(routes)
    engine = {
        "slots": 12,
        "kv-capacity-tokens": 33_860,
        "kv-bytes": 131_072,
        "link-mbps": 840_000.0,
        "stride": 12,
        "kv-hold-s": 0.5,
        "switch-s": 6.0,
        "hold-ms": 2_000.0,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": MODEL, "health-path": "/healthz", "max-connections": 150, "engine": engine},
            {"name": APP, "health-path": "/healthz", "max-connections": 96},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }
