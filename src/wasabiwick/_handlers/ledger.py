"""Ledger of a pool: decode slots, prefill work and transfer links of its engines."""

import typing

from .._wire import Owner
from . import predict
from .engine_ledger import EngineLedger, Reservation
from .prefixes import Directory
from .queueing import WaitQueue
from .totals import Totals

PRIOR_HOLD_S = 5.0  # Time that a slot is assumed to be held, before any measurement.
PRIOR_UNCACHED_TOKENS = 1_000.0  # Uncached tokens assumed per prompt, before any measurement.
RESTART_MARGIN_SLOTS = 2  # Slots kept free per engine while a new coordinator rebuilds its ledger.
MAX_PREFILL_AHEAD_S = 0.15  # An engine with more prefill work than this gets no further prefill.
FIRST_OUTPUTS = 20  # Number of first outputs whose time counts towards the cost of an engine.
MAX_TRANSFERS_PER_LINK = 2


class OtherPool:
    """Last load message from the same model's pool in another zone; ``wait`` is in seconds."""

    __slots__ = ("free", "wait", "told_at")

    def __init__(self, *, free: int, wait: float, told_at: float) -> None:
        self.free = free
        self.wait = wait
        self.told_at = told_at


class Pool:
    """The engines of one model in one availability zone, under one coordinator.

    Args:
        model: Model that the engines serve.
        zone: Availability zone of the engines.
        at: Monotonic time at which this host took the pool over.
        target: Target interval between outputs, in seconds.

    Attributes:
        owners: Monotonic time of the last message from each host that owns reservations.
        hold: Time that a slot is held, in seconds.
        uncached: Tokens of a prompt that were not cached.
        cached_beyond: Share of a prompt's tokens after its hashed prefix that were cached.
        directory: Zones that requests were redirected to, by prefix.
        last_idle_at: Monotonic time at which the pool last had slots to spare.
    """

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
        "cached_beyond",
        "target",
        "others",
        "directory",
        "last_idle_at",
        "totals",
        "engine_list",
    )

    def __init__(self, *, model: str, zone: str, at: float, target: float) -> None:
        self.model = model
        self.zone = zone
        self.engines: dict[str, EngineLedger] = {}
        self.queue = WaitQueue()
        self.reservations: dict[str, Reservation] = {}
        self.owners: dict[Owner, float] = {}
        self.since = at
        self.hold = predict.MovingAverage(PRIOR_HOLD_S)
        self.uncached = predict.MovingAverage(PRIOR_UNCACHED_TOKENS)
        self.cached_beyond = predict.MovingAverage(0.5)
        self.target = target
        self.others: dict[str, OtherPool] = {}
        self.directory = Directory()
        self.last_idle_at = at
        self.totals = Totals()
        self.engine_list: list[EngineLedger] = []

    def set_engines(self, names: typing.Iterable[str], *, margin: int) -> None:
        """Set the pool's engines; those already known keep their ledgers.

        At each new engine, ``margin`` slots are kept free at first.
        """
        ordered_names = sorted(names)
        self.engines = {
            name: self.engines.get(name) or EngineLedger(name, margin=margin)
            for name in ordered_names
        }
        self.engine_list = list(self.engines.values())
        self.totals.rebuild(self.engine_list, self.target)

    def update_totals(self, engine: EngineLedger | None) -> None:
        """Update the totals after a change of an engine's ledger; None changes nothing."""
        if engine:
            self.totals.update(engine, self.target)

    def slots(self) -> int:
        """Return the number of slots of all engines that the target output interval allows."""
        return self.totals.sums.slots

    def free(self) -> int:
        """Return the number of slots that may be granted now."""
        return self.totals.sums.free

    def grants_per_second(self) -> float:
        """Return how many requests per second the pool can serve by its slots and prefill rate."""
        sums = self.totals.sums
        by_prefill = sums.rate / max(1.0, self.uncached.value)
        return max(0.01, min(sums.slots / self.hold.value, by_prefill))

    def service_seconds(self, tokens: int) -> float:
        """Return a typical time from grant to first output, in seconds."""
        sums = self.totals.sums
        if not sums.prefills:
            return 0.0
        share = min(1.0, self.uncached.value / max(1.0, tokens))
        return tokens * share * sums.prefills / sums.rate + MAX_PREFILL_AHEAD_S

    def wait(self, at: float) -> float:
        """Return the predicted wait of a request that arrives now, in seconds."""
        requests_ahead = 1 + len(self.queue) - self.free()
        by_slots = max(0.0, requests_ahead * self.hold.value / max(1, self.slots()))
        return max(by_slots, self._prefill_backlog()) + self._batch_seconds()

    def _batch_seconds(self) -> float:
        """Return the time of the first outputs in an average batch of the pool, in seconds."""
        sums = self.totals.sums
        return FIRST_OUTPUTS * sums.interval / sums.decodes if sums.decodes else 0.0

    def _prefill_backlog(self) -> float:
        sums = self.totals.sums
        if not sums.prefill_only_engines:
            return 0.0
        queued_seconds = len(self.queue) * self.uncached.value * sums.prefills / sums.rate
        return (sums.granted + queued_seconds) / sums.prefill_only_engines

    def hold_slot(self, reservation: Reservation, hashes: tuple[int, ...]) -> None:
        """Enter a reservation into the ledgers."""
        attempt_id = reservation.asked.attempt_id
        self.reservations[attempt_id] = reservation
        self.owners.setdefault(reservation.asked.owner, reservation.granted_at)
        self.directory.remove(hashes)
        self.engines[reservation.engine].held.add(attempt_id)
        prefill = self.engines.get(reservation.prefill_engine)
        if prefill and reservation.phase == "prefill":
            if not prefill.prefill_count:
                prefill.prefill_since = reservation.granted_at
            prefill.prefill_tokens += reservation.prefill_tokens
            prefill.prefill_count += 1
            prefill.prefixes.expect_stored(hashes)
            if prefill.held:
                seconds = prefill.prefill_rate.seconds(reservation.prefill_tokens)
                prefill.record_interleaved_prefill(reservation.granted_at, seconds)
        if reservation.prefill_engine != reservation.engine and reservation.phase == "prefill":
            self.engines[reservation.engine].transfers += 1
        self.update_totals(self.engines[reservation.engine])
        self.update_totals(prefill)

    def advance(self, reservation: Reservation, phase: str, at: float) -> None:
        """Move a reservation to a phase, and release the work and link share of ended phases."""
        if reservation.phase == "prefill":
            prefill = self.engines.get(reservation.prefill_engine)
            if prefill:
                prefill.prefill_tokens -= reservation.prefill_tokens
                prefill.prefill_count -= 1
                prefill.prefill_since = at
                self.update_totals(prefill)
        if reservation.phase != "decode" and phase == "decode":
            engine = self.engines.get(reservation.engine)
            if engine and reservation.prefill_engine != reservation.engine:
                engine.transfers -= 1
        reservation.phase = phase

    def release(self, attempt_id: str, at: float, *, freed: bool = True) -> Reservation | None:
        """Release all that an attempt holds.

        Args:
            attempt_id: The attempt.
            at: Monotonic time.
            freed: Whether the engine frees the memory too. If not, the memory counts as that of an
                unknown attempt until a report shows that it is free.

        Returns:
            The reservation, or None if there is none.
        """
        reservation = self.reservations.pop(attempt_id, None)
        if reservation is None:
            return None
        phase = reservation.phase
        self.advance(reservation, "decode", at)
        reservation.phase = phase
        engine = self.engines.get(reservation.engine)
        if engine:
            engine.held.discard(attempt_id)
            if freed:
                engine.release_times[attempt_id] = at
            elif phase == "decode":
                engine.unknown_attempts += 1
            self.update_totals(engine)
        return reservation
