"""Simulated callers: they retry each request until it is answered, and record latencies."""

import random
import typing

from .. import _events
from .._errors import Failure
from .._settings import Targets
from .workload import Ask
from .world import START_UNIX_S, Host, World

DEAD_HOST_RETRY_S = 0.2  # Time after which a caller retries if its host is dead.
FAST_RETRY_S = 0.3  # Mean retry delay of callers that ignore Retry-After.
ANSWER_DEADLINE_S = 60.0  # Time within which each call must be answered.
BALANCER_WEIGHTS = (3, 1, 2, 1, 2, 3, 1, 2)  # Relative load of hosts, repeated every eight hosts.


class Outcome:
    """Times and counts that the caller of one request recorded.

    ``at``, ``first`` and ``done`` are the times of the first call, the first output and the
    complete answer, in seconds of the virtual clock. Each is 0 until that happens.
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

    def time_to_first_output(self) -> float:
        """Return the time from the first call to the first output, in seconds."""
        return self.first - self.at

    def mean_output_interval(self) -> float:
        """Return the mean time between outputs, in seconds."""
        return (self.done - self.first) / max(1, self.ask.output - 1)

    def met_targets(self, targets: Targets) -> bool:
        """Tell whether the answer is complete and met both latency targets."""
        limit = targets.may_wait if self.ask.may_wait else targets.first_output
        return (
            self.done > 0
            and self.time_to_first_output() <= limit
            and self.mean_output_interval() <= targets.between_outputs
        )


class Callers:
    """All callers of one simulation.

    Args:
        asks: The requests, in order of arrival.
        seed: Seed of the balancer's choices and of retry delays.
        ignore_retry_after: Whether callers ignore Retry-After and retry soon.
    """

    def __init__(self, *, asks: list[Ask], seed: int, ignore_retry_after: bool) -> None:
        self.rng = random.Random(f"callers {seed}")
        self.outcomes = {one.request_id: Outcome(one) for one in asks}
        self.ignore_retry_after = ignore_retry_after
        self.stream_hosts: dict[str, Host] = {}
        self.engine_crash_hooks: dict[str, dict[str, typing.Callable[[], None]]] = {}
        self.refusals = 0
        self._tokens_without_output: dict[str, int] = {}
        self.prefilled_tokens = 0
        self._outcomes_by_call: dict[str, Outcome] = {}
        self.world: World | None = None

    def start(self, world: World) -> None:
        """Schedule the first call of every request."""
        self.world = world
        for outcome in self.outcomes.values():
            world.asks[outcome.ask.request_id] = outcome.ask
            outcome.at = world.now + outcome.ask.at
            world.after(outcome.ask.at, lambda one=outcome: self.call(one))

    def call(self, outcome: Outcome) -> None:
        """Call a host that the balancer picks; if that host is dead, retry shortly."""
        if outcome.done:
            return
        hosts = list(self.world.hosts.values())
        weights = [BALANCER_WEIGHTS[number % len(BALANCER_WEIGHTS)] for number in range(len(hosts))]
        host = self.rng.choices(hosts, weights)[0]
        if not host.alive:
            self.world.after(DEAD_HOST_RETRY_S, lambda: self.call(outcome))
            return
        outcome.calls += 1
        outcome.call_id = f"{outcome.ask.request_id}.{outcome.calls}"
        outcome.host = host
        self._outcomes_by_call[outcome.call_id] = outcome
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
            born=START_UNIX_S + outcome.at,
            deadline=self.world.now + ANSWER_DEADLINE_S,
        )
        self.world.deliver(host, _events.CallArrived(at=0.0, call=call))

    def host_lost(self, name: str) -> None:
        """Retry all requests whose connection broke when a host's process ended."""
        for outcome in self.outcomes.values():
            is_waiting = outcome.call_id and not outcome.done
            if (
                is_waiting
                and outcome.host.name == name
                and outcome.call_id in self._outcomes_by_call
            ):
                self.world.after(DEAD_HOST_RETRY_S, lambda one=outcome: self.call(one))

    def refused(self, call_id: str, failure: Failure, at: float) -> None:
        """Retry after the refusal's Retry-After, or sooner if callers ignore that header."""
        outcome = self._outcomes_by_call.pop(call_id, None)
        if outcome is None or outcome.call_id != call_id:
            return
        outcome.refusals += 1
        self.refusals += 1
        delay = failure.retry_after or 1.0
        if self.ignore_retry_after:
            delay = FAST_RETRY_S * (0.5 + self.rng.random())
        self.world.after(delay, lambda: self.call(outcome))

    def prefilled(self, ask: Ask, attempt_id: str, tokens: int, at: float) -> None:
        """Count an attempt's prefilled tokens, as wasted until the attempt has output."""
        self.prefilled_tokens += tokens
        self._tokens_without_output[attempt_id] = tokens

    def wasted_tokens(self) -> int:
        """Return the number of tokens prefilled for attempts that have no output."""
        return sum(self._tokens_without_output.values())

    def output(self, request_id: str, attempt_id: str, at: float) -> None:
        """Record that an attempt's output reached its host."""
        self._tokens_without_output.pop(attempt_id, None)
        outcome = self.outcomes[request_id]
        if not outcome.first:
            outcome.first = at

    def finished(self, call_id: str, at: float) -> None:
        """Record that the answer to a call is complete."""
        outcome = self._outcomes_by_call.pop(call_id, None)
        if outcome and outcome.call_id == call_id and not outcome.done:
            outcome.done = at
