"""Stand-in for a plain service; counts how often each idempotency key took effect."""

import os
import typing

from aiohttp import web

from ._serve import Knobs, StandIn, error_response, json_response, knob, stand_in

SAFE_METHODS = ("GET", "HEAD")


class ServiceKnobs(Knobs):
    """Traits and faults of a plain service."""

    accepts_key: knob(bool, "Run each key at most once.") = False
    can_query: knob(bool, "Answer GET /outcomes/KEY.") = False
    honour_fence: knob(bool, "Refuse a call if its key was used with a newer X-Fence.") = False
    die_before: knob(bool, "End the process at the next call, before its effect.") = False
    die_after: knob(bool, "End the process at the next call, after its effect.") = False
    lose_replies: knob(int, "How many of the next calls take effect but lose their reply.") = 0


@stand_in("service")
class Service(StandIn):
    """Answers calls on any path; each, except GET and HEAD, counts as an effect of its key."""

    knobs_type = ServiceKnobs

    def __init__(self, *, name: str, knobs: ServiceKnobs) -> None:
        super().__init__(name=name, knobs=knobs)
        self.effects: dict[str, int] = {}
        self.reads = 0
        self.load = 0
        self._fences: dict[str, int] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of outcome queries, load and all other calls."""
        return [
            web.get("/outcomes/{key}", self._query),
            web.get("/load", self._load),
            web.route("*", "/{path:.*}", self._call),
        ]

    def state(self) -> dict[str, typing.Any]:
        """Return the effects of each key, and the number of GET and HEAD calls."""
        doubled = [key for key, count in self.effects.items() if count > 1]
        return {"effects": self.effects, "doubled": doubled, "reads": self.reads}

    async def _load(self, request: web.Request) -> web.Response:
        return json_response({"load": self.load})

    async def _query(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if not self.knobs.can_query:
            return error_response(501, "the service does not answer queries by key")
        self._advance_fence(request, key)  # Lets later calls with an older number be refused.
        if key not in self.effects:
            return error_response(404, f'key "{key}" did not run')
        return json_response(self._outcome(key))

    async def _call(self, request: web.Request) -> web.Response:
        self.load += 1
        try:
            body = await request.text()
            if request.method in SAFE_METHODS:
                self.reads += 1
                return json_response({"service": self.name, "path": request.path})
            return self._run_effect(request, body)
        finally:
            self.load -= 1

    def _run_effect(self, request: web.Request, body: str) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        if not self._advance_fence(request, key) and self.knobs.honour_fence:
            return error_response(409, f'key "{key}" was used with a newer fencing number')
        if self.knobs.die_before:
            os._exit(1)
        if not (self.knobs.accepts_key and key in self.effects):
            self.effects[key] = self.effects.get(key, 0) + 1
        if self.knobs.die_after:
            os._exit(1)
        if self.knobs.lose_replies:
            self.knobs.lose_replies -= 1
            request.transport.abort()
        return json_response({**self._outcome(key), "echo": body})

    def _advance_fence(self, request: web.Request, key: str) -> bool:
        """Record a request's fencing number; False if the key has been used with a newer one."""
        fence = int(request.headers.get("X-Fence", "-1"))
        newest = self._fences.get(key, -1)
        self._fences[key] = max(fence, newest)
        return fence >= newest

    def _outcome(self, key: str) -> dict[str, typing.Any]:
        return {"service": self.name, "key": key, "done": True}
