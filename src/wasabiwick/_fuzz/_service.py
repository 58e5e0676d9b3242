"""Fake plain service: counts the effects of each key, with the traits that it is declared with."""

from .._effects import CallService, QueryService
from .._lists import ServiceTraits

OK = 200
NOT_FOUND = 404
FENCED = 409


class Answer:
    """Status and body of an answer."""

    __slots__ = ("status", "body")

    def __init__(self, *, status: int, body: str) -> None:
        self.status = status
        self.body = body


class FakeService:
    """A service whose effects are counted by key.

    Args:
        traits: What operators declare of it; it behaves exactly so.
    """

    def __init__(self, traits: ServiceTraits) -> None:
        self.traits = traits
        self.effects: dict[str, list[str]] = {}
        self._fences: dict[str, int] = {}

    def call(self, asked: CallService) -> Answer:
        """Run a call, unless the service's traits forbid it."""
        key = asked.request_id
        if self._is_fenced(key, asked.fence):
            return Answer(status=FENCED, body="newer fencing number")
        done = self.effects.setdefault(key, [])
        if not (done and self.traits.accepts_key):
            done.append(asked.attempt_id)
        return self._answer(key)

    def query(self, asked: QueryService) -> Answer:
        """Say by key what became of a call."""
        key = asked.request_id
        self._is_fenced(key, asked.fence)
        if not self.effects.get(key):
            return Answer(status=NOT_FOUND, body="did not run")
        return self._answer(key)

    def _answer(self, key: str) -> Answer:
        return Answer(status=OK, body=f"{key} by {self.effects[key][0]}")

    def _is_fenced(self, key: str, fence: int) -> bool:
        if self.traits.fencing != "honoured":
            return False
        newest = self._fences.get(key, -1)
        self._fences[key] = max(newest, fence)
        return fence < newest
