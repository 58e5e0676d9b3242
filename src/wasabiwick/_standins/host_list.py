"""Stand-in for the platform's host list, which lags behind."""

import time
import typing

import msgspec
from aiohttp import web

from .._wire import HostEntry
from ._serve import Knobs, StandIn, answer, knob, stand_in


class HostKnobs(Knobs):
    """The published entries, and the lag of the list.

    ``hosts`` replaces the whole list when it is set; ``leaving`` and ``gone`` name entries to mark
    and to drop.
    """

    lag: knob(float, "Seconds until a change shows.") = 0.5
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
        self._shown: tuple[HostEntry, ...] = ()

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the list."""
        return [web.get("/hosts", self._hosts)]

    def state(self) -> dict[str, typing.Any]:
        """Return the list as callers see it."""
        return {"shown": msgspec.to_builtins(self._current())}

    def changed(self, before: Knobs) -> None:
        """Queue the new list; the first one shows at once."""
        knobs = self.knobs
        entries = tuple(
            msgspec.structs.replace(one, leaving=one.leaving or one.name in knobs.leaving)
            for one in knobs.hosts
            if one.name not in knobs.gone
        )
        due = time.monotonic() + (knobs.lag if self._shown else 0.0)
        self._versions.append((due, entries))

    def _current(self) -> tuple[HostEntry, ...]:
        while self._versions and self._versions[0][0] <= time.monotonic():
            self._shown = self._versions.pop(0)[1]
        return self._shown

    async def _hosts(self, request: web.Request) -> web.Response:
        return answer(self._current())
