"""Ledgers of a pool: decode slots, prefill work and transfer links of its engines."""

import typing

from .._wire import Owner
from . import predict
from .engine_ledger import EngineLedger, Reservation
from .prefixes import Directory
from .queueing import WaitQueue
from .totals import Totals

PRIOR_HOLD = 5.0  # Seconds that a slot is held.
PRIOR_UNCACHED = 1_000.0  # Tokens of a prefill.
RESTART_MARGIN = 2  # Slots of each engine kept back while a new coordinator learns its ledger.
PREFILL_AHEAD = 0.15  # Seconds of prefill work queued at an engine beyond the running one.
FIRST_OUTPUTS = 20  # Outputs over which a slower batch counts against an engine.
LINK_SHARE = 2  # Transfers that may share one engine's link.


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
        self.hold = predict.MovingAverage(PRIOR_HOLD)
        self.uncached = predict.MovingAverage(PRIOR_UNCACHED)
        self.beyond = predict.MovingAverage(0.5)
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
                prefill.record_interleaved_prefill(one.granted_at, seconds)
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
                engine.unknown_attempts += 1
            self.changed(engine)
        return one
