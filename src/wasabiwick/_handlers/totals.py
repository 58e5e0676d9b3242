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
        if engine.can("decode"):
            self.slots = engine.batch_limit(target)
            self.free = max(0, self.slots - engine.occupied_slots())
            if self.slots:
                self.decodes = 1
                self.interval = engine.interval.at(len(engine.held))
        if engine.can("prefill"):
            self.prefills = 1
            self.rate = engine.prefill_rate.per_second
        if engine.is_prefill_only():
            self.prefill_only_engines = 1
            self.granted = engine.prefill_rate.seconds(engine.prefill_tokens)


class Totals:
    """Sums of one pool; ``open`` holds its engines that have free slots, by name."""

    __slots__ = ("sums", "open", "_by_engine")

    def __init__(self) -> None:
        self.sums = PoolSums()
        self.open: dict[str, EngineLedger] = {}
        self._by_engine: dict[str, PoolSums] = {}

    def rebuild(self, engines: typing.Iterable[EngineLedger], target: float) -> None:
        """Recompute the sums from all engines."""
        self.sums = PoolSums()
        self.open = {}
        self._by_engine = {}
        for engine in engines:
            self.update(engine, target)

    def update(self, engine: EngineLedger, target: float) -> None:
        """Update the sums after a change of one engine's ledger."""
        old = self._by_engine.get(engine.name) or PoolSums()
        new = PoolSums(engine, target)
        self._by_engine[engine.name] = new
        for name in PoolSums.__slots__:
            setattr(self.sums, name, getattr(self.sums, name) + getattr(new, name))
            setattr(self.sums, name, getattr(self.sums, name) - getattr(old, name))
        if new.free:
            self.open[engine.name] = engine
        else:
            self.open.pop(engine.name, None)
