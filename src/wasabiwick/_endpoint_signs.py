"""Posts what endpoints say of themselves in their answers as events."""

from ._events import EndpointLeaving, EndpointPaused, LimitNamed, LoadNamed
from ._forwarding import EngineSign
from ._header_numbers import ToldLoad
from ._runner import Runner


class EndpointSigns:
    """Listener that posts what endpoints say of themselves.

    Args:
        runner: The runner that the events are posted to.
    """

    __slots__ = ("_runner",)

    def __init__(self, runner: Runner) -> None:
        self._runner = runner

    def leaving(self, endpoint: str, sent_at: float) -> None:
        """Post that an endpoint takes no new work."""
        event = EndpointLeaving(at=self._runner.now(), endpoint=endpoint, sent_at=sent_at)
        self._runner.post(event)

    def paused(self, endpoint: str, seconds: float) -> None:
        """Post for how long an endpoint wants nothing."""
        event = EndpointPaused(at=self._runner.now(), endpoint=endpoint, seconds=seconds)
        self._runner.post(event)

    def limit_named(self, endpoint: str, rate: float | None) -> None:
        """Post the limit that an endpoint named."""
        self._runner.post(LimitNamed(at=self._runner.now(), endpoint=endpoint, rate=rate))

    def load_named(self, endpoint: str, load: ToldLoad | None) -> None:
        """Post what an endpoint said of its load, if it said it."""
        if load is None:
            return
        at = self._runner.now()
        sign = EngineSign(endpoint=endpoint, at=at, **load._asdict())
        self._runner.post(LoadNamed(at=at, sign=sign))
