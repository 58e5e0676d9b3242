"""The reducer's state: the host's identity and one state slice per concern."""

import random
import typing

from ._settings import Settings
from ._wire import Owner

T = typing.TypeVar("T", bound=type)

_SLICE_CLASSES: dict[str, type] = {}


def state_slice(name: str) -> typing.Callable[[T], T]:
    """Register a class as the state slice of one concern.

    The class is instantiated with the settings as its only argument. A handler module writes only
    to its own slice, and reads others through the functions of their modules.

    Args:
        name: Unique name of the slice.

    Returns:
        The class decorator.
    """

    def register(cls: T) -> T:
        if name in _SLICE_CLASSES:
            raise ValueError(f"state slice {name!r} is defined twice")
        _SLICE_CLASSES[name] = cls
        return cls

    return register


class State:
    """The state of one host.

    Args:
        cfg: The host's settings.
    """

    __slots__ = ("cfg", "owner", "zone", "rng", "stopping", "_booted_at", "_booted_wall", "_slices")

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.owner = Owner(host=cfg.host, incarnation="")
        self.zone = cfg.zone
        self.rng = random.Random(0)
        self.stopping = False
        self._booted_at = 0.0
        self._booted_wall = 0.0
        self._slices = {name: cls(cfg) for name, cls in _SLICE_CLASSES.items()}

    def boot(self, *, at: float, owner: Owner, zone: str, wall: float, seed: int) -> None:
        """Set the identity and the clocks of a newly started process.

        Args:
            at: Monotonic time, seconds.
            owner: Host and incarnation.
            zone: Availability zone.
            wall: Unix time at ``at``, seconds.
            seed: Seed of the host's random jitter.
        """
        self.owner = owner
        self.zone = zone
        self.rng = random.Random(seed)
        self._booted_at = at
        self._booted_wall = wall

    def wall(self, at: float) -> float:
        """Return Unix time in seconds for a monotonic time of this host."""
        return self._booted_wall + (at - self._booted_at)

    def monotonic(self, wall: float) -> float:
        """Return this host's monotonic time in seconds for a Unix time."""
        return self._booted_at + (wall - self._booted_wall)

    def __getitem__(self, name: str) -> typing.Any:
        return self._slices[name]
