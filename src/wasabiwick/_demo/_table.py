"""Result table of a demo: counts, and checks that have to pass."""

import asyncio
import time
import typing

import aiohttp

from .._load import Tally
from .._load._measure import Quantiles
from ._replayed import Replayed
from ._site import Site
from ._traffic import Traffic

POLL_INTERVAL_S = 0.1
MAX_NOTES = 10


class Row:
    """One line of the table: a name, a value, and whether it equals the wanted value, if any."""

    __slots__ = ("name", "value", "wanted", "holds")

    def __init__(self, name: str, value: object, wanted: object = None) -> None:
        self.name = name
        self.value = value
        self.wanted = wanted
        self.holds = wanted is None or value == wanted

    def text(self) -> str:
        """Return the line."""
        verdict = "" if self.wanted is None else "ok" if self.holds else f"WANTED {self.wanted}"
        return f"  {self.name:<34} {self.value!s:>12}  {verdict}".rstrip()


class Table:
    """Counts and checks at the end of a demo.

    Args:
        traffic: The calls that were sent, and their results.
        tally: Counts of attempts, and latencies.
        seconds: Seconds that all calls together took.
        drain_status: Exit status of the drained host, or None if it did not exit in time.
    """

    __slots__ = ("_traffic", "_tally", "_seconds", "_drain_status", "_rows")

    def __init__(
        self, *, traffic: Traffic, tally: Tally, seconds: float, drain_status: int | None
    ) -> None:
        self._traffic = traffic
        self._tally = tally
        self._seconds = seconds
        self._drain_status = drain_status
        self._rows: list[Row] = []

    async def gather(
        self, site: Site, session: aiohttp.ClientSession, settle_timeout: float
    ) -> None:
        """Read the stand-ins' counts, replay the traces, and fill the table.

        Args:
            site: The site.
            session: Client session.
            settle_timeout: Seconds that engines have to free their slots.
        """
        held = await _wait_for_free_slots(site, session, settle_timeout)
        engines = await asyncio.gather(*(site.control(session, one) for one in site.engines))
        service = await site.control(session, site.service)
        results, tally = self._traffic.results, self._tally
        effects = service["effects"]
        # The key that the router sends to a service starts with the customer's name.
        known = {key.rpartition(":")[2] for key in effects}
        replayed = Replayed(site.folder)
        results.notes += replayed.notes
        missing = sum(key not in known for key in results.signups)
        calls, answered = sum(results.calls.values()), sum(results.answered.values())
        self._rows = [
            *(
                Row(f"{kind}s answered", f"{results.answered[kind]}/{count}")
                for kind, count in results.calls.items()
            ),
            Row("answered", answered, calls),
            Row("answered twice", results.twice, 0),
            Row("lost", calls - answered, 0),
            Row("wrong or mixed answers", results.foreign, 0),
            Row("effects doubled", len(service["doubled"]), 0),
            Row("answered without an effect", missing, 0),
            Row("engine slots held at the end", held, 0),
            Row("answers cut by the drained host", results.cut, 0),
            Row("exit status of the drained host", self._drain_status, 0),
            Row("attempts", tally.attempts),
            Row("callers that left and came back", tally.dropped),
            Row("events replayed", replayed.events),
            Row("differences in replay", len(replayed.notes), 0),
            *self._latencies(),
            Row("wasted prefill", _format_wasted(engines)),
            Row("calls per second", round(calls / self._seconds, 1)),
        ]

    def _latencies(self) -> typing.Iterator[Row]:
        yield Row("time to first output, ms", _format_quantiles(self._tally.first.quantiles()))
        yield Row("time between outputs, ms", _format_quantiles(self._tally.between.quantiles()))

    def holds(self) -> bool:
        """Return whether all checks pass."""
        return all(row.holds for row in self._rows)

    def text(self) -> str:
        """Return the table."""
        lines = [row.text() for row in self._rows]
        refusals = sorted(self._tally.refusals.items())
        if refusals:
            lines.append("  retried after: " + ", ".join(f"{k} {n}" for k, n in refusals))
        lines += [f"  {note}" for note in self._traffic.results.notes[:MAX_NOTES]]
        return "\n".join(lines)


async def _wait_for_free_slots(
    site: Site, session: aiohttp.ClientSession, settle_timeout: float
) -> int:
    deadline = time.monotonic() + settle_timeout
    held = await site.used_slots(session)
    while held and time.monotonic() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
        held = await site.used_slots(session)
    return held


def _format_wasted(engines: list[dict[str, typing.Any]]) -> str:
    wasted = sum(one["prefill_wasted"] for one in engines)
    done = sum(one["prefill_tokens"] for one in engines)
    return f"{wasted} of {done} tokens"


def _format_quantiles(one: Quantiles) -> str:
    return f"p50 {one.p50:.1f} p95 {one.p95:.1f} p99 {one.p99:.1f}"
