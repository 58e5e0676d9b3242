"""Callers: programs that call again until they have their answer, and what they measure."""

import random
import typing

from .. import _events
from .._errors import Failure
from .._settings import Targets
from .workload import Ask
from .world import WALL, Host, World

NO_HOST = 0.2  # Seconds until a caller whose host is gone calls again.
IMPATIENT = 0.3  # Seconds between calls of callers that ignore Retry-After.
DEADLINE = 60.0  # Seconds that a caller waits for one answer.
BALANCER = (3, 1, 2, 1, 2, 3, 1, 2)  # Weights of the hosts behind the uneven balancer.


class Outcome:
    """What one request's callers saw.

    ``at``, ``first`` and ``done`` are the times of the first call, output and whole answer.
    """

    __slots__ = ("ask", "first", "done", "calls", "refusals", "call_id", "host", "at")

    def __init__(self, ask: Ask) -> None:
        self.ask = ask
        self.at = 0.0
        self.first = 0.0
        self.done = 0.0
        self.calls = 0
        self.refusals = 0
        self.call_id = ""
        self.host: Host | None = None

    def first_output(self) -> float:
        """Return the time from the first call to the first output, in seconds."""
        return self.first - self.at

    def between_outputs(self) -> float:
        """Return the mean time between outputs, in seconds."""
        return (self.done - self.first) / max(1, self.ask.output - 1)

    def on_time(self, targets: Targets) -> bool:
        """Tell whether the answer met both targets."""
        limit = targets.may_wait if self.ask.may_wait else targets.first_output
        return (
            self.done > 0
            and self.first_output() <= limit
            and self.between_outputs() <= targets.between_outputs
        )


class Callers:
    """All callers of one run.

    Args:
        asks: The requests, by time.
        seed: Seed of the balancer and of retries.
        impatient: Whether callers ignore Retry-After.
    """

    def __init__(self, *, asks: list[Ask], seed: int, impatient: bool) -> None:
        self.rng = random.Random(f"callers {seed}")
        self.outcomes = {one.request_id: Outcome(one) for one in asks}
        self.impatient = impatient
        self.attached: dict[str, Host] = {}
        self.engine_lost_hooks: dict[str, dict[str, typing.Callable[[], None]]] = {}
        self.refusals = 0
        self._unused: dict[str, int] = {}
        self.prefilled_tokens = 0
        self._by_call: dict[str, Outcome] = {}
        self.world: World | None = None

    def begin(self, world: World) -> None:
        """Schedule the first calls."""
        self.world = world
        for outcome in self.outcomes.values():
            world.asks[outcome.ask.request_id] = outcome.ask
            outcome.at = world.now + outcome.ask.at
            world.after(outcome.ask.at, lambda one=outcome: self.call(one))

    def call(self, outcome: Outcome) -> None:
        """Call a host that the balancer picks."""
        if outcome.done:
            return
        hosts = list(self.world.hosts.values())
        weights = [BALANCER[number % len(BALANCER)] for number in range(len(hosts))]
        host = self.rng.choices(hosts, weights)[0]
        if not host.alive:
            self.world.after(NO_HOST, lambda: self.call(outcome))
            return
        outcome.calls += 1
        outcome.call_id = f"{outcome.ask.request_id}.{outcome.calls}"
        outcome.host = host
        self._by_call[outcome.call_id] = outcome
        ask = outcome.ask
        call = _events.Call(
            call_id=outcome.call_id,
            request_id=ask.request_id,
            has_key=True,
            key_hash=ask.customer,
            kind="generate",
            target=self.world.deployment.model,
            prompt_tokens=ask.tokens,
            max_tokens=ask.output,
            pieces=ask.pieces(),
            born=WALL + outcome.at,
            deadline=self.world.now + DEADLINE,
        )
        self.world.deliver(host, _events.CallArrived(at=0.0, call=call))

    def host_lost(self, name: str) -> None:
        """Call again for all whose connection broke with a host's process."""
        for outcome in self.outcomes.values():
            waiting = outcome.call_id and not outcome.done
            if waiting and outcome.host.name == name and outcome.call_id in self._by_call:
                self.world.after(NO_HOST, lambda one=outcome: self.call(one))

    def refused(self, call_id: str, failure: Failure, at: float) -> None:
        """Call again after the time that the refusal named."""
        outcome = self._by_call.pop(call_id, None)
        if outcome is None or outcome.call_id != call_id:
            return
        outcome.refusals += 1
        self.refusals += 1
        wait = failure.retry_after or 1.0
        if self.impatient:
            wait = IMPATIENT * (0.5 + self.rng.random())
        self.world.after(wait, lambda: self.call(outcome))

    def prefilled(self, ask: Ask, attempt_id: str, tokens: int, at: float) -> None:
        """Count prefilled tokens as wasted until their attempt gives output."""
        self.prefilled_tokens += tokens
        self._unused[attempt_id] = tokens

    def wasted_tokens(self) -> int:
        """Return the prefilled tokens whose attempts gave no output."""
        return sum(self._unused.values())

    def output(self, request_id: str, attempt_id: str, at: float) -> None:
        """Note an attempt's output."""
        self._unused.pop(attempt_id, None)
        outcome = self.outcomes[request_id]
        if not outcome.first:
            outcome.first = at

    def finished(self, call_id: str, at: float) -> None:
        """Note a whole answer."""
        outcome = self._by_call.pop(call_id, None)
        if outcome and outcome.call_id == call_id and not outcome.done:
            outcome.done = at
