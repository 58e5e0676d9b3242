"""Totals over the engines of a pool, updated incrementally to keep decisions fast."""

import typing

from .engine_ledger import EngineLedger


class PoolSums:
    """Sums over engines, or the values that one engine adds to them.

    ``prefills``, ``decodes`` and ``prefill_only_engines`` count engines by their roles. ``rate`` is
    the prefill rate, in tokens per second. ``interval``, the time between outputs, and ``granted``,
    the prefill work granted to prefill-only engines, are in seconds.
    """

    __slots__ = (
        "free",
        "slots",
        "rate",
        "prefills",
        "interval",
        "decodes",
        "prefill_only_engines",
        "granted",
    )

    def __init__(self, engine: EngineLedger | None = None, target: float = 0.0) -> None:
        self.free = self.slots = self.prefills = self.decodes = self.prefill_only_engines = 0
        self.rate = self.interval = self.granted = 0.0
        if engine is None:
            return
        if engine.has_role("decode"):
            self.slots = engine.batch_limit(target)
            self.free = max(0, self.slots - engine.occupied_slots())
            if self.slots:
                self.decodes = 1
                self.interval = engine.interval.at(len(engine.held))
        if engine.has_role("prefill"):
            self.prefills = 1
            self.rate = engine.prefill_rate.per_second
        if engine.is_prefill_only():
            self.prefill_only_engines = 1
            self.granted = engine.prefill_rate.seconds(engine.prefill_tokens)


class Totals:
    """Sums of one pool; ``engines_with_slots`` holds its engines that have free slots, by name."""

    __slots__ = ("sums", "engines_with_slots", "_by_engine")

    def __init__(self) -> None:
        self.sums = PoolSums()
        self.engines_with_slots: dict[str, EngineLedger] = {}
        self._by_engine: dict[str, PoolSums] = {}

    def rebuild(self, engines: typing.Iterable[EngineLedger], target: float) -> None:
        """Recompute the sums from all engines."""
        self.sums = PoolSums()
        self.engines_with_slots = {}
        self._by_engine = {}
        for engine in engines:
            self.update(engine, target)

    def update(self, engine: EngineLedger, target: float) -> None:
        """Update the sums after a change of one engine's ledger."""
        old_sums = self._by_engine.get(engine.name) or PoolSums()
        new_sums = PoolSums(engine, target)
        self._by_engine[engine.name] = new_sums
        for name in PoolSums.__slots__:
            setattr(self.sums, name, getattr(self.sums, name) + getattr(new_sums, name))
            setattr(self.sums, name, getattr(self.sums, name) - getattr(old_sums, name))
        if new_sums.free:
            self.engines_with_slots[engine.name] = engine
        else:
            self.engines_with_slots.pop(engine.name, None)
