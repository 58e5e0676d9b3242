"""Ledgers of a pool: decode slots, prefill work and transfer links of its engines."""

import math
import typing

from .._wire import EngineReport, Owner, Reserve
from . import predict
from .prefixes import Directory, PrefixIndex
from .queueing import WaitQueue
from .totals import Totals

PRIOR_PREFILL = 8_000.0  # Tokens/s assumed of an engine that has not reported.
PRIOR_LINK = 2e9  # Bytes/s.
PRIOR_HOLD = 5.0  # Seconds that a slot is held.
PRIOR_UNCACHED = 1_000.0  # Tokens of a prefill.
PRIOR_SLOTS = 8  # Slots assumed of an engine that has not reported.
INTERVAL_MARGIN = 0.97  # Share of the target that a predicted interval may use.
RESTART_MARGIN = 2  # Slots of each engine kept back while a new coordinator learns its ledger.
FREED_MEMORY = 1.0  # Seconds for which a lagging report may still show a released attempt.
PREFILL_AHEAD = 0.15  # Seconds of prefill work queued at an engine beyond the running one.
STALL_WINDOW = 3.0  # Seconds over which prefills at a decode engine are averaged.
MOST_OF_PREFILL = 0.9  # Share of a running prefill that is taken for done at most.
FIRST_OUTPUTS = 20  # Outputs over which a slower batch counts against an engine.
LINK_SHARE = 2  # Transfers that may share one engine's link.


class Reservation:
    """A decode slot, a link share and prefill work, held for one attempt.

    ``matched`` tokens of the prompt were in the prefill engine's index when the slot was granted.
    """

    __slots__ = (
        "asked",
        "engine",
        "prefill_engine",
        "granted_at",
        "prefill_tokens",
        "matched",
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
        matched: int = 0,
    ) -> None:
        self.asked = asked
        self.engine = engine
        self.prefill_engine = prefill_engine
        self.granted_at = at
        self.renewed_at = at
        self.prefill_tokens = prefill_tokens
        self.matched = matched
        self.phase = "prefill"


class EngineLedger:
    """What the coordinator knows of one engine."""

    __slots__ = (
        "name",
        "report",
        "reported_at",
        "held",
        "released",
        "foreign",
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
        "_stalled",
        "_stalled_at",
    )

    def __init__(self, name: str, *, margin: int) -> None:
        self.name = name
        self.report: EngineReport | None = None
        self.reported_at = 0.0
        self.held: set[str] = set()
        self.released: dict[str, float] = {}
        self.foreign = 0
        self.margin = margin
        self.prefill_tokens = 0
        self.prefill_count = 0
        self.prefill_since = 0.0
        self.transfers = 0
        self.prefill_rate = predict.Rate(PRIOR_PREFILL)
        self.link_rate = predict.Rate(PRIOR_LINK)
        self.interval = predict.IntervalLine()
        self.prefixes = PrefixIndex()
        self.silent = 0
        self._stalled = 0.0
        self._stalled_at = 0.0

    def can(self, role: str) -> bool:
        """Tell whether the engine has a role; one that has not reported may have any."""
        return self.report is None or role in self.report.roles

    def is_prefill_only(self) -> bool:
        """Tell whether the engine takes prefills and no decodes."""
        return self.report is not None and self.can("prefill") and not self.can("decode")

    def batch_limit(self, target: float) -> int:
        """Return how many requests the engine may decode at once within a target interval."""
        slots = self.report.slots if self.report else PRIOR_SLOTS
        return min(slots, self.interval.largest_batch(target * INTERVAL_MARGIN, slots))

    def free(self, target: float) -> int:
        """Return the slots that may be granted now."""
        if not self.can("decode"):
            return 0
        return self.batch_limit(target) - self.occupied()

    def occupied(self) -> int:
        """Return the slots that are held, used by unknown attempts, or kept back."""
        return len(self.held) + self.foreign + self.margin

    def stalled_share(self, at: float, more: float = 0.0) -> float:
        """Return the share of recent time that the engine's batch shared with prefills.

        Args:
            at: Monotonic time.
            more: Seconds of a further prefill.
        """
        left = self._stalled * math.exp((self._stalled_at - at) / STALL_WINDOW)
        return (left + more) / STALL_WINDOW

    def may_stall(self, at: float, seconds: float, target: float) -> bool:
        """Tell whether a prefill here leaves the batch's interval within the target."""
        if not self.held:
            return True
        interval = self.interval.at(len(self.held) + 1)
        return interval * (1.0 + self.stalled_share(at, seconds)) <= target * INTERVAL_MARGIN

    def note_stall(self, at: float, seconds: float) -> None:
        """Count a prefill that was granted to the engine while it decodes."""
        self._stalled = self.stalled_share(at, seconds) * STALL_WINDOW
        self._stalled_at = at

    def prefill_wait(self, at: float) -> float:
        """Return the predicted time until granted prefill work is done, in seconds."""
        return self.prefill_rate.seconds(self.prefill_tokens) - self._prefilled_for(at)

    def _prefilled_for(self, at: float) -> float:
        """Return how long the oldest granted prefill has run, but never all of its time."""
        if not self.prefill_count:
            return 0.0
        mean = self.prefill_rate.seconds(self.prefill_tokens / self.prefill_count)
        return min(MOST_OF_PREFILL * mean, at - self.prefill_since)

    def kv_bytes(self, tokens: int) -> int:
        """Return the size of a prompt's KV cache."""
        return tokens * (self.report.kv_bytes_per_token if self.report else 0)

    def take_report(self, report: EngineReport, at: float) -> None:
        """Take in a report: roles, rates, and memory held by attempts not in the ledger."""
        if self.report and report.sequence < self.report.sequence:
            return
        first = self.report is None
        self.report = report
        self.reported_at = at
        self.silent = 0
        self.interval.observe(report.used, report.decode_interval)
        if first and report.prefill_rate > 0:
            self.prefill_rate = predict.Rate(report.prefill_rate)
        if first and report.link_rate > 0:
            self.link_rate = predict.Rate(report.link_rate)
        self._count_foreign(report, at)

    def _count_foreign(self, report: EngineReport, at: float) -> None:
        for attempt_id, when in list(self.released.items()):
            if at - when > FREED_MEMORY:
                del self.released[attempt_id]
        known = self.held
        if report.streams:
            self.foreign = sum(
                1
                for one in report.streams
                if one.phase != "prefill"
                and one.attempt_id not in known
                and one.attempt_id not in self.released
            )
        else:
            self.foreign = max(0, report.used - len(known) - len(self.released))


class OtherPool:
    """What a coordinator was last told of the same model's pool in another zone."""

    __slots__ = ("free", "wait", "told_at")

    def __init__(self, *, free: int, wait: float, told_at: float) -> None:
        self.free = free
        self.wait = wait
        self.told_at = told_at


class Pool:
    """The engines of one model in one availability zone, under one coordinator."""

    __slots__ = (
        "model",
        "zone",
        "engines",
        "queue",
        "reservations",
        "owners",
        "since",
        "hold",
        "uncached",
        "beyond",
        "target",
        "others",
        "directory",
        "idle_at",
        "totals",
        "listed",
    )

    def __init__(self, *, model: str, zone: str, at: float, target: float) -> None:
        self.model = model
        self.zone = zone
        self.engines: dict[str, EngineLedger] = {}
        self.queue = WaitQueue()
        self.reservations: dict[str, Reservation] = {}
        self.owners: dict[Owner, float] = {}
        self.since = at
        self.hold = predict.Mean(PRIOR_HOLD)
        self.uncached = predict.Mean(PRIOR_UNCACHED)
        self.beyond = predict.Mean(0.5)
        self.target = target
        self.others: dict[str, OtherPool] = {}
        self.directory = Directory()
        self.idle_at = at
        self.totals = Totals()
        self.listed: list[EngineLedger] = []

    def set_engines(self, names: typing.Iterable[str], *, margin: int) -> None:
        """Take over the pool's engines; a known one keeps its ledger."""
        wanted = sorted(names)
        self.engines = {
            name: self.engines.get(name) or EngineLedger(name, margin=margin) for name in wanted
        }
        self.listed = list(self.engines.values())
        self.totals.rebuild(self.listed, self.target)

    def changed(self, engine: EngineLedger | None) -> None:
        """Take an engine's change over into the sums; None changes nothing."""
        if engine:
            self.totals.change(engine, self.target)

    def slots(self) -> int:
        """Return the slots of all engines, as limited by the target interval."""
        return self.totals.sums.slots

    def free(self) -> int:
        """Return the slots that may be granted now."""
        return self.totals.sums.free

    def grants_per_second(self) -> float:
        """Return how many requests the pool can serve, by slots and by prefill rate."""
        sums = self.totals.sums
        by_prefill = sums.rate / max(1.0, self.uncached.value)
        return max(0.01, min(sums.slots / self.hold.value, by_prefill))

    def service_seconds(self, tokens: int) -> float:
        """Return a typical time from grant to first output, in seconds."""
        sums = self.totals.sums
        if not sums.prefills:
            return 0.0
        share = min(1.0, self.uncached.value / max(1.0, tokens))
        return tokens * share * sums.prefills / sums.rate + PREFILL_AHEAD

    def wait(self, at: float) -> float:
        """Return the predicted wait of a request that came now, in seconds."""
        ahead = 1 + len(self.queue) - self.free()
        by_slots = max(0.0, ahead * self.hold.value / max(1, self.slots()))
        return max(by_slots, self._prefill_backlog()) + self._batch_seconds()

    def _batch_seconds(self) -> float:
        """Return how long the first outputs take in the pool's mean batch."""
        sums = self.totals.sums
        return FIRST_OUTPUTS * sums.interval / sums.decodes if sums.decodes else 0.0

    def _prefill_backlog(self) -> float:
        sums = self.totals.sums
        if not sums.only:
            return 0.0
        queued = len(self.queue) * self.uncached.value * sums.prefills / sums.rate
        return (sums.granted + queued) / sums.only

    def hold_slot(self, one: Reservation, ladder: tuple[int, ...]) -> None:
        """Enter a reservation into the ledgers."""
        attempt_id = one.asked.attempt_id
        self.reservations[attempt_id] = one
        self.owners.setdefault(one.asked.owner, one.granted_at)
        self.directory.forget(ladder)
        self.engines[one.engine].held.add(attempt_id)
        prefill = self.engines.get(one.prefill_engine)
        if prefill and one.phase == "prefill":
            if not prefill.prefill_count:
                prefill.prefill_since = one.granted_at
            prefill.prefill_tokens += one.prefill_tokens
            prefill.prefill_count += 1
            prefill.prefixes.expect(ladder)
            if prefill.held:
                seconds = prefill.prefill_rate.seconds(one.prefill_tokens)
                prefill.note_stall(one.granted_at, seconds)
        if one.prefill_engine != one.engine and one.phase == "prefill":
            self.engines[one.engine].transfers += 1
        self.changed(self.engines[one.engine])
        self.changed(prefill)

    def advance(self, one: Reservation, phase: str, at: float) -> None:
        """Give back the prefill work, and then the link share, of an attempt that goes on."""
        if one.phase == "prefill":
            prefill = self.engines.get(one.prefill_engine)
            if prefill:
                prefill.prefill_tokens -= one.prefill_tokens
                prefill.prefill_count -= 1
                prefill.prefill_since = at
                self.changed(prefill)
        if one.phase != "decode" and phase == "decode":
            engine = self.engines.get(one.engine)
            if engine and one.prefill_engine != one.engine:
                engine.transfers -= 1
        one.phase = phase

    def release(self, attempt_id: str, at: float, *, freed: bool = True) -> Reservation | None:
        """Give back all that an attempt holds.

        Args:
            attempt_id: The attempt.
            at: Monotonic time.
            freed: Whether the engine frees its memory too. If not, the memory counts as that of an
                unknown attempt until a report shows it gone.

        Returns:
            The reservation, or None if there is none.
        """
        one = self.reservations.pop(attempt_id, None)
        if one is None:
            return None
        phase = one.phase
        self.advance(one, "decode", at)
        one.phase = phase
        engine = self.engines.get(one.engine)
        if engine:
            engine.held.discard(attempt_id)
            if freed:
                engine.released[attempt_id] = at
            elif phase == "decode":
                engine.foreign += 1
            self.changed(engine)
        return one
