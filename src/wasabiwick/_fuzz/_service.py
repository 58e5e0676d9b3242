"""Fake plain service for the fuzzer: behaves as its traits say and records each key's runs."""

from .._effects import CallService, QueryService
from .._lists import ServiceTraits

OK = 200
NOT_FOUND = 404
FENCED = 409


class Answer:
    """Status and body of a service's answer."""

    __slots__ = ("status", "body")

    def __init__(self, *, status: int, body: str) -> None:
        self.status = status
        self.body = body


class FakeService:
    """A service that records which attempts took effect, by key.

    Args:
        traits: What operators declare of the service; the fake behaves exactly so.
    """

    def __init__(self, traits: ServiceTraits) -> None:
        self.traits = traits
        self.effects: dict[str, list[str]] = {}
        self._fences: dict[str, int] = {}

    def call(self, effect: CallService) -> Answer:
        """Run a call, unless the service's traits forbid it."""
        key = effect.request_id
        if self._is_fenced(key, effect.fence):
            return Answer(status=FENCED, body="newer fencing number")
        attempts = self.effects.setdefault(key, [])
        if not (attempts and self.traits.accepts_key):
            attempts.append(effect.attempt_id)
        return self._answer(key)

    def query(self, effect: QueryService) -> Answer:
        """Answer by key whether a call ran; if fencing is honoured, raise the key's number."""
        key = effect.request_id
        self._is_fenced(key, effect.fence)
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
