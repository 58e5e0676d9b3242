"""Checks of a soak with organisations, from what callers and endpoints saw."""

import collections
import typing

from ._soak_organisations import LIMITED, PUBLIC, WINDOW_S, Organisations, Version
from ._soak_record import COMPLETE, GIVEN_UP, LEFT, REFUSED, Attempt, Life, Record, Run

FEWEST = 20  # Requests of an organisation from which on its share is judged.
STARVED = 0.25
BAD_KEY = 401

Found = typing.Iterator[tuple[str, str]]


class KeyChecks:
    """UNASKED, ROUTE, CONFIG, QUOTA and starvation.

    Args:
        record: What was seen.
        organisations: What each version said.
        apply_s: Seconds from the acknowledgement of a version after which it is in force.
        contact_s: Seconds that a process has to run before it is in touch.
        is_disturbed: Whether a host was slowed down around a request.
    """

    def __init__(
        self,
        record: Record,
        organisations: Organisations,
        *,
        apply_s: float,
        contact_s: float,
        is_disturbed: typing.Callable[[Life, float, float], bool],
    ) -> None:
        self._record, self._organisations = record, organisations
        self._apply_s, self._contact_s = apply_s, contact_s
        self._is_disturbed = is_disturbed

    def _may_hold(self, attempt: Attempt, until: float) -> list[Version]:
        """Return the versions that may be in force from a request's first byte to a moment.

        A host that is not in touch may have any.
        """
        known = [one for one in self._organisations.versions if one.change.sent <= until]
        life, since = attempt.life, attempt.first_sent
        in_touch = life.began + self._contact_s < since
        if not in_touch or self._is_disturbed(life, since, until):
            return known
        acks = [one.change.acked for one in known]
        due = [n for n, at in enumerate(acks) if at is not None and at + self._apply_s < since]
        return known[max(due, default=0) :]

    def _runs(self, attempt: Attempt) -> list[Run]:
        """Return the runs of a request, prefills too."""
        return [one for one in self._record.runs.get(attempt.name, ()) if one.how != REFUSED]

    def check(self, attempt: Attempt) -> Found:
        """Check a request that has ended."""
        key, is_public = attempt.key, attempt.kind == PUBLIC
        for run in self._runs(attempt):
            if run.shows_key:
                yield "UNASKED", f"{run.engine} got the key"
            if not any(
                key in one.holders and one.change.sent <= run.begun
                for one in self._organisations.versions
            ):
                holders = {""}
                if not is_public:
                    yield "ROUTE", f"ran with {key!r}, which no version ever held"
            else:
                holders = {one.holders.get(key, "") for one in self._may_hold(attempt, run.begun)}
                if holders == {""} and not is_public:
                    yield "CONFIG", f"ran with {key!r}, which was taken away"
                    continue
            if run.organisation not in holders:
                text = f"{run.engine} got the name {run.organisation!r} instead of {holders}"
                yield "UNASKED", text
        if attempt.status == BAD_KEY:
            versions = self._may_hold(attempt, attempt.ended)
            if is_public or all(key in one.holders for one in versions):
                yield "CONFIG", f"{key!r} was refused though it is there"

    def check_all(self) -> Found:
        """Check what shows only over many requests."""
        yield from self._limit()
        yield from self._starved()

    def _binds(self, version: Version) -> float:
        """Return when all hosts have been in touch since a version had to be in force."""
        change, firsts = version.change, {}
        for life in self._record.lives:
            if change.acked is not None:
                at = max(change.acked + self._apply_s, life.began + self._contact_s)
                if life.ended is None or at < life.ended:
                    firsts[life.host] = min(at, firsts.get(life.host, at))
        hosts = {life.host for life in self._record.lives}
        return max(firsts.values()) if firsts and firsts.keys() == hosts else float("inf")

    def _limit(self) -> Found:
        versions = self._organisations.versions
        ran = []
        for one in self._record.attempts:
            runs = [run for run in self._runs(one) if run.organisation == LIMITED]
            if runs:
                began = min(run.begun for run in runs)
                ran.append((one.first_sent, began, self._organisations.cost(one)))
        binds = [self._binds(one) + WINDOW_S for one in versions]
        for since, _, _ in ran:
            until = since + WINDOW_S
            due = [number for number, at in enumerate(binds) if at <= since]
            rates = [
                one.rate for one in versions[max(due, default=0) :] if one.change.sent <= until
            ]
            most = self._organisations.most(max(rates))
            used = sum(cost for sent, began, cost in ran if sent >= since and began <= until)
            if used > most:
                at = since - self._record.began
                yield "QUOTA", f"{used} ran in {WINDOW_S} s from {at:.2f} s, {most:.0f} may"
                return

    def _starved(self) -> Found:
        asked: collections.Counter[str] = collections.Counter()
        served: collections.Counter[str] = collections.Counter()
        for one in self._record.attempts:
            holders = {v.holders.get(one.key, "") for v in self._may_hold(one, one.ended)}
            if len(holders) > 1 or holders & {"", LIMITED} or one.how in (LEFT, GIVEN_UP):
                continue
            asked.update(holders)
            if one.how == COMPLETE and one.status == 200:
                served.update(holders)
        for name, count in sorted(asked.items()):
            share = served[name] / count
            if count >= FEWEST and share < STARVED * served.total() / asked.total():
                yield "STARVED", f"{name} got {served[name]} of {count} requests served"
