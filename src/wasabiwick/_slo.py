"""Service-level objectives on the two latencies, and how fast their error budgets burn.

The error budget is the share of observations that may miss the target. The burn rate of a window is
the share that did miss it, divided by the budget: at 1 the budget lasts exactly as long as it was
meant to. All lengths of time are in seconds.
"""

import bisect
import math
import typing

FIRST_OUTPUT = "first_output"
BETWEEN_OUTPUTS = "between_outputs"
FIRST_OUTPUT_TARGET = 0.55  # Seconds.
BETWEEN_OUTPUTS_TARGET = 0.054  # Seconds.
DEFAULT_GOAL = 0.95  # Share of the observations that must be within the target.

MINUTE = 60.0  # Seconds.
HOUR = 3_600.0  # Seconds.


class Objective:
    """A latency target that a share of the observations has to meet.

    Args:
        metric: Name of the latency metric.
        target: Longest latency that counts as good, in seconds.
        goal: Share of observations that must be good, between 0 and 1.
    """

    __slots__ = ("metric", "target", "goal")

    def __init__(self, *, metric: str, target: float, goal: float = DEFAULT_GOAL) -> None:
        self.metric = metric
        self.target = target
        self.goal = goal

    @property
    def budget(self) -> float:
        """Share of observations that may miss the target."""
        return 1.0 - self.goal


class AlertRule:
    """A burn rate that raises an alert if a long and a short window both reach it.

    The short window ends the alert soon after the cause is gone.

    Args:
        severity: ``page`` or ``ticket``.
        burn: Lowest burn rate that raises the alert.
        long: Length of the long window in seconds.
        short: Length of the short window in seconds.
    """

    __slots__ = ("severity", "burn", "long", "short")

    def __init__(self, *, severity: str, burn: float, long: float, short: float) -> None:
        self.severity = severity
        self.burn = burn
        self.long = long
        self.short = short


# At these burn rates, 2% (page) and 5% (ticket) of a 30-day error budget are spent within the long
# window.
ALERT_RULES = (
    AlertRule(severity="page", burn=14.4, long=HOUR, short=5 * MINUTE),
    AlertRule(severity="ticket", burn=6.0, long=6 * HOUR, short=30 * MINUTE),
)
DEFAULT_WINDOWS = tuple(
    sorted({window for rule in ALERT_RULES for window in (rule.short, rule.long)})
)


class Series:
    """Good and bad observations of one customer over time, as running totals."""

    __slots__ = ("times", "_good", "_bad")

    def __init__(self) -> None:
        self.times: list[float] = []
        self._good: list[float] = []
        self._bad: list[float] = []

    def add(self, time: float, good: float, bad: float) -> None:
        """Add observations; ``time`` must not decrease from call to call."""
        before = (self._good[-1], self._bad[-1]) if self.times else (0.0, 0.0)
        self.times.append(time)
        self._good.append(before[0] + good)
        self._bad.append(before[1] + bad)

    def between(self, start: float, end: float) -> tuple[float, float]:
        """Return the good and bad observations after ``start`` and up to ``end``."""
        first = bisect.bisect_right(self.times, start) - 1
        last = bisect.bisect_right(self.times, end) - 1
        return (_total_between(self._good, first, last), _total_between(self._bad, first, last))


def _total_between(totals: list[float], first: int, last: int) -> float:
    if last < 0:
        return 0.0
    return totals[last] - (totals[first] if first >= 0 else 0.0)


class Observations:
    """Observations of all hosts: latencies by metric and customer, and refusals by reason.

    Attributes:
        series: Series by metric and customer.
        refused: Refusals by reason.
        start: Time of the first observation, in Unix seconds; in seconds of the recording host's
            monotonic clock if a trace does not hold the host's start.
        end: Time of the last observation, likewise.
        notes: Remarks on the source for the reader of the report.
    """

    __slots__ = ("series", "refused", "start", "end", "notes")

    def __init__(self) -> None:
        self.series: dict[tuple[str, str], Series] = {}
        self.refused: dict[str, float] = {}
        self.start = 0.0
        self.end = 0.0
        self.notes: list[str] = []

    def add(self, metric: str, customer: str, time: float, good: float, bad: float) -> None:
        """Add observations of one customer; ``time`` must not decrease from call to call."""
        self.series.setdefault((metric, customer), Series()).add(time, good, bad)

    def add_refusals(self, reason: str, count: float) -> None:
        """Add refusals for one reason."""
        self.refused[reason] = self.refused.get(reason, 0.0) + count


class Burn:
    """The burn of one objective for one customer within one window.

    Args:
        objective: The objective.
        customer: Name of the customer.
        window: Length of the window in seconds.
        good: Number of good observations.
        bad: Number of bad observations.
        partial: Whether the observations began within the window and so cover only part of it.
    """

    __slots__ = ("objective", "customer", "window", "good", "bad", "partial")

    def __init__(
        self,
        *,
        objective: Objective,
        customer: str,
        window: float,
        good: float,
        bad: float,
        partial: bool,
    ) -> None:
        self.objective = objective
        self.customer = customer
        self.window = window
        self.good = good
        self.bad = bad
        self.partial = partial

    @property
    def share_bad(self) -> float:
        """Share of observations that missed the target; 0 without observations."""
        total = self.good + self.bad
        return self.bad / total if total else 0.0

    @property
    def rate(self) -> float:
        """Burn rate: how many times faster than planned the error budget is spent."""
        return self.share_bad / self.objective.budget


class Alert:
    """An alert rule whose condition holds for a customer's objective."""

    __slots__ = ("rule", "objective", "customer")

    def __init__(self, *, rule: AlertRule, objective: Objective, customer: str) -> None:
        self.rule = rule
        self.objective = objective
        self.customer = customer


def burns(
    observations: Observations,
    objectives: typing.Iterable[Objective],
    windows: typing.Iterable[float],
) -> list[Burn]:
    """Return the burn of each objective, customer and window, as of the last observation."""
    return [
        burn_at(observations, objective, customer, window, observations.end)
        for objective in objectives
        for customer in customers_of(observations, objective)
        for window in sorted(windows)
    ]


def default_windows(observations: Observations) -> set[float]:
    """Return the windows of the alert rules, and one over all observations."""
    span = math.ceil(observations.end - observations.start)
    return {*DEFAULT_WINDOWS, float(span)} if span else set(DEFAULT_WINDOWS)


def customers_of(observations: Observations, objective: Objective) -> list[str]:
    """Return the customers with observations of an objective's metric."""
    return sorted(
        customer for metric, customer in observations.series if metric == objective.metric
    )


def burn_at(
    observations: Observations, objective: Objective, customer: str, window: float, end: float
) -> Burn:
    """Return the burn within the window that ends at ``end``."""
    series = observations.series.get((objective.metric, customer)) or Series()
    good, bad = series.between(end - window, end)
    return Burn(
        objective=objective,
        customer=customer,
        window=window,
        good=good,
        bad=bad,
        partial=end - window < observations.start,
    )


def alerts(
    observations: Observations,
    objectives: typing.Iterable[Objective],
    rules: typing.Iterable[AlertRule] = ALERT_RULES,
) -> list[Alert]:
    """Return the alerts as of the last observation."""
    return [
        Alert(rule=rule, objective=objective, customer=customer)
        for rule in rules
        for objective in objectives
        for customer in customers_of(observations, objective)
        if _holds(observations, objective, customer, rule)
    ]


def _holds(
    observations: Observations, objective: Objective, customer: str, rule: AlertRule
) -> bool:
    rates = (
        burn_at(observations, objective, customer, window, observations.end).rate
        for window in (rule.long, rule.short)
    )
    return all(rate >= rule.burn for rate in rates)
