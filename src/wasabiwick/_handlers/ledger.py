"""Ledgers of a pool: decode slots, prefill work and transfer links of its engines."""

import typing

from .._wire import EngineReport, Owner, Reserve
from . import predict
from .prefixes import PrefixIndex
from .queueing import WaitQueue

PRIOR_PREFILL = 8_000.0  # Tokens/s assumed of an engine that has not reported.
PRIOR_LINK = 2e9  # Bytes/s.
PRIOR_HOLD = 5.0  # Seconds that a slot is held.
PRIOR_UNCACHED = 1_000.0  # Tokens of a prefill.
PRIOR_SLOTS = 8  # Slots assumed of an engine that has not reported.
INTERVAL_MARGIN = 0.97  # Share of the target that a predicted interval may use.
RESTART_MARGIN = 2  # Slots of each engine kept back while a new coordinator learns its ledger.
FREED_MEMORY = 1.0  # Seconds for which a lagging report may still show a released attempt.
PREFILL_AHEAD = 0.15  # Seconds of prefill work queued at an engine beyond the running one.
LINK_SHARE = 2  # Transfers that may share one engine's link.


class Reservation:
    """A decode slot, a link share and prefill work, held for one attempt."""

    __slots__ = (
        "asked",
        "engine",
        "prefill_engine",
        "granted_at",
        "prefill_tokens",
        "phase",
        "renewed_at",
    )

    def __init__(
        self, *, asked: Reserve, engine: str, prefill_engine: str, at: float, prefill_tokens: int
    ) -> None:
        self.asked = asked
        self.engine = engine
        self.prefill_engine = prefill_engine
        self.granted_at = at
        self.renewed_at = at
        self.prefill_tokens = prefill_tokens
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
        "transfers",
        "prefill_rate",
        "link_rate",
        "interval",
        "prefixes",
        "silent",
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
        self.transfers = 0
        self.prefill_rate = predict.Rate(PRIOR_PREFILL)
        self.link_rate = predict.Rate(PRIOR_LINK)
        self.interval = predict.IntervalLine()
        self.prefixes = PrefixIndex()
        self.silent = 0

    def can(self, role: str) -> bool:
        """Tell whether the engine has a role; one that has not reported may have any."""
        return self.report is None or role in self.report.roles

    def batch_limit(self, target: float) -> int:
        """Return how many requests the engine may decode at once within a target interval."""
        slots = self.report.slots if self.report else PRIOR_SLOTS
        return min(slots, self.interval.largest_batch(target * INTERVAL_MARGIN, slots))

    def free(self, target: float) -> int:
        """Return the slots that may be granted now."""
        if not self.can("decode"):
            return 0
        return self.batch_limit(target) - len(self.held) - self.foreign - self.margin

    def prefill_wait(self) -> float:
        """Return the predicted time of all prefill work granted to the engine, in seconds."""
        return self.prefill_rate.seconds(self.prefill_tokens)

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

    def set_engines(self, names: typing.Iterable[str], *, margin: int) -> None:
        """Take over the pool's engines; a known one keeps its ledger."""
        wanted = sorted(names)
        self.engines = {
            name: self.engines.get(name) or EngineLedger(name, margin=margin) for name in wanted
        }

    def slots(self) -> int:
        """Return the slots of all engines, as limited by the target interval."""
        return sum(
            one.batch_limit(self.target) for one in self.engines.values() if one.can("decode")
        )

    def free(self) -> int:
        """Return the slots that may be granted now."""
        return sum(max(0, one.free(self.target)) for one in self.engines.values())

    def grants_per_second(self) -> float:
        """Return how many requests the pool can serve, by slots and by prefill rate."""
        by_slots = self.slots() / self.hold.value
        rate = sum(
            one.prefill_rate.per_second for one in self.engines.values() if one.can("prefill")
        )
        return max(0.01, min(by_slots, rate / max(1.0, self.uncached.value)))

    def service_seconds(self, tokens: int) -> float:
        """Return a typical time from grant to first output, in seconds."""
        rates = [one.prefill_rate for one in self.engines.values() if one.can("prefill")]
        if not rates:
            return 0.0
        share = min(1.0, self.uncached.value / max(1.0, tokens))
        return min(rate.seconds(tokens * share) for rate in rates) + PREFILL_AHEAD

    def hold_slot(self, one: Reservation, ladder: tuple[int, ...]) -> None:
        """Enter a reservation into the ledgers."""
        attempt_id = one.asked.attempt_id
        self.reservations[attempt_id] = one
        self.owners.setdefault(one.asked.owner, one.granted_at)
        self.engines[one.engine].held.add(attempt_id)
        prefill = self.engines.get(one.prefill_engine)
        if prefill and one.phase == "prefill":
            prefill.prefill_tokens += one.prefill_tokens
            prefill.prefill_count += 1
            prefill.prefixes.expect(ladder)
        if one.prefill_engine != one.engine and one.phase == "prefill":
            self.engines[one.engine].transfers += 1

    def advance(self, one: Reservation, phase: str) -> None:
        """Give back the prefill work, and then the link share, of an attempt that goes on."""
        if one.phase == "prefill":
            prefill = self.engines.get(one.prefill_engine)
            if prefill:
                prefill.prefill_tokens -= one.prefill_tokens
                prefill.prefill_count -= 1
        if one.phase != "decode" and phase == "decode":
            engine = self.engines.get(one.engine)
            if engine and one.prefill_engine != one.engine:
                engine.transfers -= 1
        one.phase = phase

    def release(self, attempt_id: str, at: float) -> Reservation | None:
        """Give back all that an attempt holds."""
        one = self.reservations.pop(attempt_id, None)
        if one is None:
            return None
        self.advance(one, "decode")
        engine = self.engines.get(one.engine)
        if engine:
            engine.held.discard(attempt_id)
            engine.released[attempt_id] = at
        return one
