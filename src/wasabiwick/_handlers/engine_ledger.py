"""A coordinator's ledger of one engine: reservations, prefill work, transfers, learned rates."""

import math

from .._wire import EngineReport, Reserve
from . import predict
from .prefixes import PrefixIndex

PRIOR_PREFILL_RATE = 8_000.0  # Tokens per second, assumed until the engine reports its rate.
PRIOR_LINK_RATE = 2e9  # Bytes per second, assumed until the engine reports its rate.
PRIOR_SLOTS = 8  # Decode slots that an engine is assumed to have until it reports.

USABLE_INTERVAL_SHARE = 0.97  # A predicted output interval may take this share of its target.
RELEASE_LAG = 1.0  # Seconds for which a lagging report may still show a released attempt.
INTERLEAVE_WINDOW = 3.0  # Seconds over which the prefill time at a decoding engine is averaged.
MAX_PREFILL_PROGRESS = 0.9  # Largest share of a running prefill that is assumed to be done.


class Reservation:
    """A decode slot, a link share and prefill work, held for one attempt.

    ``asked`` is the message that requested it. ``matched_tokens`` is the number of prompt tokens
    that the prefill engine's prefix index held when the slot was granted.
    """

    __slots__ = (
        "asked",
        "engine",
        "prefill_engine",
        "granted_at",
        "prefill_tokens",
        "matched_tokens",
        "phase",
        "renewed_at",
    )

    def __init__(
        self,
        *,
        asked: Reserve,
        engine: str,
        prefill_engine: str,
        at: float,
        prefill_tokens: int,
        matched_tokens: int = 0,
    ) -> None:
        self.asked = asked
        self.engine = engine
        self.prefill_engine = prefill_engine
        self.granted_at = at
        self.renewed_at = at
        self.prefill_tokens = prefill_tokens
        self.matched_tokens = matched_tokens
        self.phase = "prefill"


class EngineLedger:
    """The coordinator's view of one engine.

    ``held`` are the attempts with a reservation for a slot. ``unknown_attempts`` is the number of
    attempts that hold memory without a reservation, ``margin`` the number of slots that are kept
    free, and ``silent`` the number of reports missed since the last one received.
    """

    __slots__ = (
        "name",
        "report",
        "reported_at",
        "held",
        "release_times",
        "unknown_attempts",
        "margin",
        "prefill_tokens",
        "prefill_count",
        "prefill_since",
        "transfers",
        "prefill_rate",
        "link_rate",
        "interval",
        "prefixes",
        "silent",
        "_interleaved",
        "_interleaved_at",
    )

    def __init__(self, name: str, *, margin: int) -> None:
        self.name = name
        self.report: EngineReport | None = None
        self.reported_at = 0.0
        self.held: set[str] = set()
        self.release_times: dict[str, float] = {}
        self.unknown_attempts = 0
        self.margin = margin
        self.prefill_tokens = 0
        self.prefill_count = 0
        self.prefill_since = 0.0
        self.transfers = 0
        self.prefill_rate = predict.Rate(PRIOR_PREFILL_RATE)
        self.link_rate = predict.Rate(PRIOR_LINK_RATE)
        self.interval = predict.IntervalModel()
        self.prefixes = PrefixIndex()
        self.silent = 0
        self._interleaved = 0.0
        self._interleaved_at = 0.0

    def has_role(self, role: str) -> bool:
        """Return whether the engine has a role; without a report, all roles are assumed."""
        return self.report is None or role in self.report.roles

    def is_prefill_only(self) -> bool:
        """Return whether the engine takes prefills and no decodes."""
        return self.report is not None and self.has_role("prefill") and not self.has_role("decode")

    def batch_limit(self, target: float) -> int:
        """Return how many requests the engine may decode at once at a target output interval."""
        slots = self.report.slots if self.report else PRIOR_SLOTS
        return min(slots, self.interval.largest_batch(target * USABLE_INTERVAL_SHARE, slots))

    def free(self, target: float) -> int:
        """Return the number of slots that may be granted now."""
        if not self.has_role("decode"):
            return 0
        return self.batch_limit(target) - self.occupied_slots()

    def occupied_slots(self) -> int:
        """Return the number of slots that are reserved, used by unknown attempts, or kept free."""
        return len(self.held) + self.unknown_attempts + self.margin

    def interleaved_share(self, at: float, extra_seconds: float = 0.0) -> float:
        """Return the share of recent time that prefills took from the engine's decode batch.

        Args:
            at: Monotonic time.
            extra_seconds: Duration of a further prefill, in seconds.
        """
        remaining = self._interleaved * math.exp((self._interleaved_at - at) / INTERLEAVE_WINDOW)
        return (remaining + extra_seconds) / INTERLEAVE_WINDOW

    def can_interleave_prefill(self, at: float, seconds: float, target: float) -> bool:
        """Return whether the batch keeps its target interval despite a prefill of ``seconds``."""
        if not self.held:
            return True
        interval = self.interval.at(len(self.held) + 1)
        return (
            interval * (1.0 + self.interleaved_share(at, seconds)) <= target * USABLE_INTERVAL_SHARE
        )

    def record_interleaved_prefill(self, at: float, seconds: float) -> None:
        """Record a prefill that was granted to the engine while it decodes."""
        self._interleaved = self.interleaved_share(at, seconds) * INTERLEAVE_WINDOW
        self._interleaved_at = at

    def prefill_wait(self, at: float) -> float:
        """Return the predicted time until granted prefill work is done, in seconds."""
        return self.prefill_rate.seconds(self.prefill_tokens) - self._prefilled_for(at)

    def _prefilled_for(self, at: float) -> float:
        """Return how long the oldest granted prefill has run, capped below the mean duration."""
        if not self.prefill_count:
            return 0.0
        mean = self.prefill_rate.seconds(self.prefill_tokens / self.prefill_count)
        return min(MAX_PREFILL_PROGRESS * mean, at - self.prefill_since)

    def kv_bytes(self, tokens: int) -> int:
        """Return the size of a prompt's KV cache, in bytes."""
        return tokens * (self.report.kv_bytes_per_token if self.report else 0)

    def apply_report(self, report: EngineReport, at: float) -> None:
        """Update roles, rates, and the number of attempts not in the ledger from a report."""
        if self.report and report.sequence < self.report.sequence:
            return
        is_first = self.report is None
        self.report = report
        self.reported_at = at
        self.silent = 0
        self.interval.observe(report.used, report.decode_interval)
        if is_first and report.prefill_rate > 0:
            self.prefill_rate = predict.Rate(report.prefill_rate)
        if is_first and report.link_rate > 0:
            self.link_rate = predict.Rate(report.link_rate)
        self._count_unknown_attempts(report, at)

    def _count_unknown_attempts(self, report: EngineReport, at: float) -> None:
        for attempt_id, released_at in list(self.release_times.items()):
            if at - released_at > RELEASE_LAG:
                del self.release_times[attempt_id]
        held = self.held
        if report.streams:
            self.unknown_attempts = sum(
                1
                for stream in report.streams
                if stream.phase != "prefill"
                and stream.attempt_id not in held
                and stream.attempt_id not in self.release_times
            )
        else:
            self.unknown_attempts = max(0, report.used - len(held) - len(self.release_times))
