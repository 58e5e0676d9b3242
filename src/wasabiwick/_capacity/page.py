"""Writes the measured tables into docs/CAPACITY.md, between markers."""

import platform
import re
import typing

from . import letter, roles
from .fit import Line
from .roles import Lines, Load

Section = typing.Callable[[dict[str, list[Line]]], list[str]]

SECTIONS: dict[str, Section] = {}


def section(name: str) -> typing.Callable[[Section], Section]:
    """Register the function that renders the table between the markers of this name."""

    def register(render: Section) -> Section:
        SECTIONS[name] = render
        return render

    return register


def rewrite(text: str, measured: dict[str, list[Line]]) -> str:
    """Return the page with every table made anew.

    Args:
        text: The page.
        measured: Lines by probe.

    Raises:
        ValueError: If a marker of a section is missing.
    """
    for name, render in SECTIONS.items():
        begin, end = f"<!-- capacity:{name} -->", "<!-- capacity:end -->"
        pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        if not pattern.search(text):
            raise ValueError(f'the page has no markers "{name}"')
        table = "\n".join([begin, "", *render(measured), "", end])
        text = pattern.sub(lambda found, table=table: table, text, count=1)
    return text


def by_name(measured: dict[str, list[Line]]) -> Lines:
    """Return all lines by their names."""
    return {line.name: line for lines in measured.values() for line in lines}


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _table(head: typing.Sequence[str], rows: typing.Iterable[str]) -> list[str]:
    return [_row(*head), _row(*("---" for _ in head)), *rows]


def _number(value: float) -> str:
    if value == 0:
        return "0"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _size(value: float) -> str:
    for unit, factor in (("GB", 1e9), ("MB", 1e6), ("kB", 1e3)):
        if value >= factor:
            return f"{value / factor:.3g} {unit}"
    return f"{value:.3g} B"


@section("machine")
def machine(measured: dict[str, list[Line]]) -> list[str]:
    """Say with what the page was measured."""
    found = f"{platform.python_implementation()} {platform.python_version()}"
    return [
        f"Measured with {found} on {platform.system()} {platform.machine()}, one core at a time."
    ]


@section("lines")
def lines(measured: dict[str, list[Line]]) -> list[str]:
    """Render every line with its points and its fit."""
    rows = []
    for name, found in measured.items():
        for line in found:
            points = ", ".join(f"{_number(x)}: {_number(y)}" for x, y in line.points)
            rows.append(
                _row(
                    name,
                    f"{line.name}, {line.y_unit}",
                    f"{points} ({line.x_unit})",
                    _number(line.slope),
                    _number(line.base),
                    f"{line.fit:.3f}",
                )
            )
    return _table(("probe", "measured", "points", "slope", "at 0", "R²"), rows)


@section("roles")
def role_table(measured: dict[str, list[Line]]) -> list[str]:
    """Render what each role costs a host that holds it."""
    rows = [
        _row(
            one.role,
            one.mechanism,
            _size(one.state),
            _number(one.messages),
            _size(one.traffic),
            f"{one.core:.2%}",
        )
        for one in roles.loads(by_name(measured)).values()
    ]
    head = ("role", "mechanism", "state", "exchanges/s", "traffic/s", "core")
    return _table(head, rows)


@section("hosts")
def host_table(measured: dict[str, list[Line]]) -> list[str]:
    """Render whole hosts against the budget."""
    found = by_name(measured)
    plain = roles.total(found, "a host without a pool", roles.SHARED)
    shard = roles.total(found, "with a shard", (*roles.SHARED, "effect shard"))
    whole = roles.total(found, "with a shard and a pool", roles.ROLES)
    rows = [
        _row("budget", _size(letter.MEMORY), _size(letter.TRAFFIC), f"{letter.CORE_SHARE:.2%}", "")
    ]
    rows += [_host_row(one) for one in (plain, shard, whole)]
    return _table(("host", "memory", "traffic/s", "core", "margin"), rows)


def _host_row(one: Load) -> str:
    return _row(one.role, _size(one.state), _size(one.traffic), f"{one.core:.2%}", _margins(one))


def _margins(one: Load) -> str:
    shares = (
        ("memory", one.state / letter.MEMORY),
        ("traffic", one.traffic / letter.TRAFFIC),
        ("core", one.core / letter.CORE_SHARE),
    )
    return ", ".join(f"{name} {1 / share:.2g}x" for name, share in shares)


@section("changes")
def changes(measured: dict[str, list[Line]]) -> list[str]:
    """Name what has to change for each role that alone exceeds half of a budget."""
    rows = []
    for one in roles.loads(by_name(measured)).values():
        over = [
            f"{name} {share:.0%}"
            for name, share in (
                ("memory", one.state / letter.MEMORY),
                ("traffic", one.traffic / letter.TRAFFIC),
                ("core", one.core / letter.CORE_SHARE),
            )
            if share > 0.5
        ]
        if over:
            rows.append(_row(one.role, ", ".join(over), one.change or "nothing named yet"))
    return _table(("role", "of the budget", "what changes"), rows)


@section("numbers")
def numbers(measured: dict[str, list[Line]]) -> list[str]:
    """Render each number of the letter with what it comes to."""
    found = by_name(measured)
    relay = found["stream relayed"].slope * letter.HOST_TOKENS / 1e6
    change = found["change of one customer"].at(letter.CUSTOMERS)
    rows = [
        _row(f"{letter.HOSTS} hosts", f"{letter.ZONE_HOSTS} in a zone; heartbeats to 4 of them"),
        _row(
            f"{letter.ENGINES:,} engines, {letter.ACCELERATORS:,} accelerators",
            f"{letter.ENGINES / letter.HOSTS:.2g} engines a host, "
            f"{letter.POOL_ENGINES:.2g} a pool, "
            f"{letter.ACCELERATORS / letter.ENGINES:.2g} accelerators an engine; accelerators cost "
            "nothing, as only engines report",
        ),
        _row(
            f"{letter.REQUESTS:,.0f} requests/s",
            f"{letter.HOST_REQUESTS:.2f}/s a host, {letter.POOL_REQUESTS:.3g}/s a pool",
        ),
        _row(
            f"{letter.TOKENS / 1e6:.1f} million tokens/s",
            f"{letter.HOST_TOKENS:,.0f}/s a host, {letter.OUTPUT_TOKENS:.0f} a request; relaying "
            f"them takes {relay:.1%} of a core a host, which is not control",
        ),
        _row(
            f"{letter.FIRST_OUTPUT} s and {letter.BETWEEN_OUTPUTS * 1e3:.0f} ms",
            f"a request lives {letter.SECONDS:.3g} s; {letter.IN_FLIGHT:,.0f} at once, "
            f"{letter.HOST_IN_FLIGHT:.0f} a host, {letter.ENGINE_STREAMS:.0f} an engine",
        ),
        _row(
            "prompts of tens to tens of thousands of tokens",
            "a reservation carries at most 64 hashes and their ladder, whatever the length",
        ),
        _row(
            f"{letter.KV_BYTES / 1e9:,.0f} GB/s of KV cache",
            f"{letter.KV_BYTES / letter.ENGINES / 1e9:.2g} GB/s an engine, "
            f"{letter.KV_BYTES / letter.REQUESTS / 1e6:.0f} MB a request, between engines only; a "
            "coordinator keeps one number a link",
        ),
        _row(
            f"{letter.CUSTOMERS:,} organisations, {letter.MODELS} models",
            f"{_size(found['full record'].at(letter.CUSTOMERS) * 1e3)} as a full record, "
            f"{_size(found['lists in memory'].at(letter.CUSTOMERS) * 1e3)} in memory; "
            f"{letter.POOLS} pools",
        ),
        _row(
            f"{letter.REGIONS} regions with {letter.ZONES_PER_REGION} zones",
            "membership, pools and leases stay in a zone; a key's owners are in one zone of all, "
            "also of the other region, since the host list names no regions: that crossing has "
            "to go before there are two; the configuration crosses",
        ),
        _row(
            f"{letter.CHANGES:,} changes a day, in force within {letter.IN_FORCE:.0f} s",
            f"one in {letter.DAY / letter.CHANGES:.0f} s, {change:.0f} B each: "
            f"{_size(change * letter.CHANGES)} a day a host",
        ),
        *_failure_rows(found),
    ]
    return _table(("number of the letter", "what it comes to"), rows)


def _failure_rows(found: Lines) -> list[str]:
    death = found["death of a host"].at(letter.ZONE_HOSTS)
    prefills = letter.HOST_REQUESTS * letter.FIRST_OUTPUT
    full = 2 * found["full record"].at(letter.CUSTOMERS) * 1e3
    first = full + found["host list"].at(letter.ENTRIES)
    restarts = letter.RESTARTS + letter.FAILURES
    zone_share = letter.ZONES_PER_REGION / (letter.ZONES_PER_REGION - 1)
    return [
        _row(
            f"{letter.FAILURES} hosts fail a day",
            f"{death:.0f} messages in the zone each; {letter.HOST_IN_FLIGHT:.0f} streams each are "
            f"resumed at their engines by the callers' retries and some {prefills:.1f} prefills "
            f"repeated: {letter.FAILURES * prefills:.0f} of "
            f"{letter.REQUESTS * letter.DAY / 1e6:.0f} million a day",
        ),
        _row(
            f"{letter.RESTARTS} hosts are restarted or replaced a day",
            f"no request is cut off; each new host reads at most {_size(first)}, "
            f"{_size(first * restarts)} a day over all",
        ),
        _row(
            "a rack or switch every month or two",
            "a few hosts and engines of one zone at once: as that many failures; watchers stand "
            "next to each other in a hashed order, not in a rack",
        ),
        _row(
            "an availability zone every other month",
            f"{letter.ZONE_HOSTS} hosts and {letter.ZONE_ENGINES} engines; the region's other "
            f"hosts take {zone_share:.2f} times their requests, and nothing else moves",
        ),
        _row(
            "regions without each other for an hour",
            "each serves on; the one without the log keeps its version, is told of none, and "
            "takes up to an hour's changes on return: "
            f"{_size(letter.CHANGES / 24 * found['change of one customer'].at(letter.CUSTOMERS))}",
        ),
    ]
