"""Sums over the engines of a pool, kept up by single changes, so that no decision adds them up."""

import typing

from .engine_ledger import EngineLedger


class Part:
    """One engine's part of the sums; ``interval`` is in seconds, ``granted`` in seconds of work."""

    __slots__ = ("free", "slots", "rate", "prefills", "interval", "decodes", "only", "granted")

    def __init__(self, engine: EngineLedger | None = None, target: float = 0.0) -> None:
        self.free = self.slots = self.prefills = self.decodes = self.only = 0
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
            self.only = 1
            self.granted = engine.prefill_rate.seconds(engine.prefill_tokens)


class Totals:
    """The sums of one pool, and its engines with free slots in ``open``."""

    __slots__ = ("sums", "open", "_parts")

    def __init__(self) -> None:
        self.sums = Part()
        self.open: dict[str, EngineLedger] = {}
        self._parts: dict[str, Part] = {}

    def rebuild(self, engines: typing.Iterable[EngineLedger], target: float) -> None:
        """Add up all engines anew."""
        self.sums = Part()
        self.open = {}
        self._parts = {}
        for engine in engines:
            self.change(engine, target)

    def change(self, engine: EngineLedger, target: float) -> None:
        """Take over what one engine's ledger says now."""
        old = self._parts.get(engine.name) or Part()
        new = Part(engine, target)
        self._parts[engine.name] = new
        for name in Part.__slots__:
            setattr(self.sums, name, getattr(self.sums, name) + getattr(new, name))
            setattr(self.sums, name, getattr(self.sums, name) - getattr(old, name))
        if new.free:
            self.open[engine.name] = engine
        else:
            self.open.pop(engine.name, None)
