"""Stand-in for the platform's host list, which shows changes late."""

import time
import typing

import msgspec
from aiohttp import web

from .._wire import HostEntry
from ._serve import Knobs, StandIn, json_response, knob, stand_in


class HostKnobs(Knobs):
    """Entries and lag of the host list.

    ``hosts`` replaces the whole list; ``leaving`` names entries to mark as leaving, ``gone`` those
    to remove.
    """

    lag: knob(float, "Seconds until a change is visible.") = 0.5
    hosts: tuple[HostEntry, ...] = ()
    leaving: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()


@stand_in("host_list")
class HostList(StandIn):
    """Serves the list as it was ``lag`` seconds ago."""

    knobs_type = HostKnobs

    def __init__(self, *, name: str, knobs: HostKnobs) -> None:
        super().__init__(name=name, knobs=knobs)
        self._versions: list[tuple[float, tuple[HostEntry, ...]]] = []
        self._visible: tuple[HostEntry, ...] = ()

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the list."""
        return [web.get("/hosts", self._list_hosts)]

    def state(self) -> dict[str, typing.Any]:
        """Return the list that ``GET /hosts`` returns now."""
        return {"shown": msgspec.to_builtins(self._current())}

    def on_knobs_changed(self, before: Knobs) -> None:
        """Queue the new list; the first list is visible at once."""
        knobs = self.knobs
        entries = tuple(
            msgspec.structs.replace(one, leaving=one.leaving or one.name in knobs.leaving)
            for one in knobs.hosts
            if one.name not in knobs.gone
        )
        due = time.monotonic() + (knobs.lag if self._visible else 0.0)
        self._versions.append((due, entries))

    def _current(self) -> tuple[HostEntry, ...]:
        while self._versions and self._versions[0][0] <= time.monotonic():
            self._visible = self._versions.pop(0)[1]
        return self._visible

    async def _list_hosts(self, request: web.Request) -> web.Response:
        return json_response(self._current())
