"""Simulated entry host."""

from .._state import State


class Host:
    """One incarnation of an entry host, from boot to crash, with the state of its reducer.

    ``timers`` has a number for each running timer, by the timer's name and key. The number is
    replaced when the timer is started again, so that the earlier start does not fire.
    """

    __slots__ = ("name", "zone", "state", "alive", "timers", "incarnation")

    def __init__(self, *, name: str, zone: str, state: State, incarnation: int) -> None:
        self.name = name
        self.zone = zone
        self.state = state
        self.alive = True
        self.timers: dict[tuple[str, str], int] = {}
        self.incarnation = incarnation

    def owner_name(self) -> str:
        """Return the name that engines' reports give as the owner of this host's attempts."""
        return f"{self.name}/{self.incarnation}"
