"""An entry host of the bench."""

from .._state import State


class Host:
    """One run of an entry host: the reducer's state and its timers."""

    __slots__ = ("name", "zone", "state", "alive", "timers", "incarnation")

    def __init__(self, *, name: str, zone: str, state: State, incarnation: int) -> None:
        self.name = name
        self.zone = zone
        self.state = state
        self.alive = True
        self.timers: dict[tuple[str, str], int] = {}
        self.incarnation = incarnation

    def owner_name(self) -> str:
        """Return the name by which engines report whose an attempt is."""
        return f"{self.name}/{self.incarnation}"
