"""Fake plain service for the fuzzer: behaves as its traits say and records each key's runs."""

from .._effects import CallService, QueryService
from .._lists import ServiceTraits

# HTTP statuses.
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
        traits: Properties of the service, as an operator sets them; the fake follows them exactly.
    """

    def __init__(self, traits: ServiceTraits) -> None:
        self.traits = traits
        self.effects: dict[str, list[str]] = {}
        self._fences: dict[str, int] = {}

    def call(self, effect: CallService) -> Answer:
        """Run a call, unless its fencing number is too old.

        A service that accepts keys runs each key only once.
        """
        key = effect.request_id
        if self._record_fence(key, effect.fence):
            return Answer(status=FENCED, body="newer fencing number")
        attempts = self.effects.setdefault(key, [])
        if not (attempts and self.traits.accepts_key):
            attempts.append(effect.attempt_id)
        return self._answer(key)

    def query(self, effect: QueryService) -> Answer:
        """Return whether the call with a key ran.

        A service that honours fencing afterwards refuses calls with an older fencing number.
        """
        key = effect.request_id
        self._record_fence(key, effect.fence)
        if not self.effects.get(key):
            return Answer(status=NOT_FOUND, body="did not run")
        return self._answer(key)

    def _answer(self, key: str) -> Answer:
        return Answer(status=OK, body=f"{key} by {self.effects[key][0]}")

    def _record_fence(self, key: str, fence: int) -> bool:
        """Record a fencing number; return whether its key was used with a newer one."""
        if self.traits.fencing != "honoured":
            return False
        newest = self._fences.get(key, -1)
        self._fences[key] = max(newest, fence)
        return fence < newest
