"""Renders the measured tables of docs/CAPACITY.md, each between two markers."""

import platform
import re
import typing

from . import letter, roles
from .fit import Line
from .roles import LinesByName, Load

SectionRenderer = typing.Callable[[dict[str, list[Line]]], list[str]]

SECTIONS: dict[str, SectionRenderer] = {}


def section(name: str) -> typing.Callable[[SectionRenderer], SectionRenderer]:
    """Register the function that renders the table between the markers of this name."""

    def register(render: SectionRenderer) -> SectionRenderer:
        SECTIONS[name] = render
        return render

    return register


def replace_tables(text: str, lines_by_probe: dict[str, list[Line]]) -> str:
    """Return the page with every table rendered again.

    Args:
        text: The page's Markdown text.
        lines_by_probe: Fitted lines by the name of the probe that measured them.

    Raises:
        ValueError: If a marker of a section is missing.
    """
    for name, render in SECTIONS.items():
        begin_marker, end_marker = f"<!-- capacity:{name} -->", "<!-- capacity:end -->"
        pattern = re.compile(f"{re.escape(begin_marker)}.*?{re.escape(end_marker)}", re.DOTALL)
        if not pattern.search(text):
            raise ValueError(f'the page has no markers for the table "{name}"')
        table = "\n".join([begin_marker, "", *render(lines_by_probe), "", end_marker])
        text = pattern.sub(lambda match, table=table: table, text, count=1)
    return text


def lines_by_name(lines_by_probe: dict[str, list[Line]]) -> LinesByName:
    """Return the fitted lines of all probes by their names."""
    return {line.name: line for lines in lines_by_probe.values() for line in lines}


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
def environment(lines_by_probe: dict[str, list[Line]]) -> list[str]:
    """Render the interpreter and platform of the measurement."""
    interpreter = f"{platform.python_implementation()} {platform.python_version()}"
    return [
        f"Measured with {interpreter} on {platform.system()} {platform.machine()}, "
        "one core at a time."
    ]


@section("lines")
def line_table(lines_by_probe: dict[str, list[Line]]) -> list[str]:
    """Render every fitted line with its measured points, slope, intercept and R²."""
    rows = []
    for name, probe_lines in lines_by_probe.items():
        for line in probe_lines:
            points = ", ".join(f"{_number(x)}: {_number(y)}" for x, y in line.points)
            rows.append(
                _row(
                    name,
                    f"{line.name}, {line.y_unit}",
                    f"{points} ({line.x_unit})",
                    _number(line.slope),
                    _number(line.intercept),
                    f"{line.r_squared:.3f}",
                )
            )
    return _table(("probe", "measured", "points", "slope", "at 0", "R²"), rows)


@section("roles")
def role_table(lines_by_probe: dict[str, list[Line]]) -> list[str]:
    """Render the load of each role on a host that has the role."""
    rows = [
        _row(
            one.role,
            one.mechanism,
            _size(one.state),
            _number(one.messages),
            _size(one.traffic),
            f"{one.core:.2%}",
        )
        for one in roles.loads(lines_by_name(lines_by_probe)).values()
    ]
    head = ("role", "mechanism", "memory", "HTTP exchanges/s", "traffic/s", "share of a core")
    return _table(head, rows)


@section("hosts")
def host_table(lines_by_probe: dict[str, list[Line]]) -> list[str]:
    """Render the load of hosts with different sets of roles, compared with the budget."""
    lines = lines_by_name(lines_by_probe)
    plain_host = roles.total(lines, "a host without a shard or a pool", roles.EVERY_HOST)
    shard_host = roles.total(lines, "a host with a shard", (*roles.EVERY_HOST, "effect shard"))
    shard_and_pool_host = roles.total(lines, "a host with a shard and a pool", roles.ROLES)
    rows = [
        _row(
            "budget",
            _size(letter.MAX_MEMORY_BYTES),
            _size(letter.MAX_TRAFFIC_RATE),
            f"{letter.MAX_CORE_SHARE:.2%}",
            "",
        )
    ]
    rows += [_host_row(one) for one in (plain_host, shard_host, shard_and_pool_host)]
    return _table(("host", "memory", "traffic/s", "share of a core", "margin"), rows)


def _host_row(one: Load) -> str:
    return _row(
        one.role,
        _size(one.state),
        _size(one.traffic),
        f"{one.core:.2%}",
        _margins(one),
    )


def _margins(one: Load) -> str:
    shares = (
        ("memory", one.state / letter.MAX_MEMORY_BYTES),
        ("traffic", one.traffic / letter.MAX_TRAFFIC_RATE),
        ("core", one.core / letter.MAX_CORE_SHARE),
    )
    return ", ".join(f"{name} {1 / share:.2g}x" for name, share in shares)


@section("changes")
def change_table(lines_by_probe: dict[str, list[Line]]) -> list[str]:
    """Render the proposed change for each role that alone takes over half of a budget."""
    rows = []
    for one in roles.loads(lines_by_name(lines_by_probe)).values():
        large_shares = [
            f"{name} {share:.0%}"
            for name, share in (
                ("memory", one.state / letter.MAX_MEMORY_BYTES),
                ("traffic", one.traffic / letter.MAX_TRAFFIC_RATE),
                ("core", one.core / letter.MAX_CORE_SHARE),
            )
            if share > 0.5
        ]
        if large_shares:
            rows.append(
                _row(one.role, ", ".join(large_shares), one.change or "no change proposed yet")
            )
    return _table(("role", "share of the budget", "proposed change"), rows)


@section("numbers")
def requirement_table(lines_by_probe: dict[str, list[Line]]) -> list[str]:
    """Render the users' requirements with the load that each causes on hosts and pools."""
    lines = lines_by_name(lines_by_probe)
    relay_core_share = lines["relayed stream"].slope * letter.HOST_TOKEN_RATE / 1e6
    change_bytes = lines["change of one customer"].at(letter.CUSTOMERS)
    rows = [
        _row(
            f"{letter.HOSTS} hosts",
            f"{letter.HOSTS_PER_ZONE} in a zone; each sends heartbeats to 4 others",
        ),
        _row(
            f"{letter.ENGINES:,} engines, {letter.ACCELERATORS:,} accelerators",
            f"{letter.ENGINES / letter.HOSTS:.2g} engines a host, "
            f"{letter.ENGINES_PER_POOL:.2g} a pool, "
            f"{letter.ACCELERATORS / letter.ENGINES:.2g} accelerators an engine; accelerators add "
            "no load, because only engines send a report",
        ),
        _row(
            f"{letter.REQUEST_RATE:,.0f} requests/s",
            f"{letter.HOST_REQUEST_RATE:.2f}/s a host, {letter.POOL_REQUEST_RATE:.3g}/s a pool",
        ),
        _row(
            f"{letter.TOKEN_RATE / 1e6:.1f} million tokens/s",
            f"{letter.HOST_TOKEN_RATE:,.0f}/s a host, {letter.TOKENS_PER_REQUEST:.0f} a request; "
            f"relaying them takes {relay_core_share:.1%} of a core a host, which does not count as "
            "control-plane work",
        ),
        _row(
            f"{letter.FIRST_OUTPUT_S} s and {letter.OUTPUT_INTERVAL_S * 1e3:.0f} ms",
            f"a request takes {letter.REQUEST_DURATION_S:.3g} s; {letter.IN_FLIGHT:,.0f} in "
            f"flight, {letter.IN_FLIGHT_PER_HOST:.0f} a host, {letter.STREAMS_PER_ENGINE:.0f} an "
            "engine",
        ),
        _row(
            "prompts of tens to tens of thousands of tokens",
            "a reservation carries one hash for each of a few fixed prefix lengths, the longest of "
            "64 pieces (blocks of a fixed number of tokens), however long the prompt is",
        ),
        _row(
            f"{letter.KV_BYTE_RATE / 1e9:,.0f} GB/s of KV cache transfers",
            f"{letter.KV_BYTE_RATE / letter.ENGINES / 1e9:.2g} GB/s an engine, "
            f"{letter.KV_BYTE_RATE / letter.REQUEST_RATE / 1e6:.0f} MB a request, between engines "
            "only; a coordinator keeps one number per link",
        ),
        _row(
            f"{letter.CUSTOMERS:,} organisations, {letter.MODELS} models",
            f"{_size(lines['full configuration record'].at(letter.CUSTOMERS) * 1e3)} as a full "
            "configuration record, "
            f"{_size(lines['configuration in memory'].at(letter.CUSTOMERS) * 1e3)} in memory; "
            f"{letter.POOLS} pools",
        ),
        _row(
            f"{letter.REGIONS} regions with {letter.ZONES_PER_REGION} zones",
            "membership, pools and leases stay in a zone; a key's owners are in one zone, possibly "
            "of the other region, since the host list names no regions: this must change before "
            "there are two regions; the configuration reaches both regions",
        ),
        _row(
            f"{letter.CHANGES:,} changes a day, in force within {letter.MAX_CHANGE_DELAY_S:.0f} s",
            f"one every {letter.DAY_S / letter.CHANGES:.0f} s, {change_bytes:.0f} B each: "
            f"{_size(change_bytes * letter.CHANGES)} a day a host",
        ),
        *_failure_rows(lines),
    ]
    return _table(("required number", "consequences for hosts"), rows)


def _failure_rows(lines: LinesByName) -> list[str]:
    messages_per_death = lines["messages caused by a host's death"].at(letter.HOSTS_PER_ZONE)
    prefills = letter.HOST_REQUEST_RATE * letter.FIRST_OUTPUT_S
    full_record_bytes = 2 * lines["full configuration record"].at(letter.CUSTOMERS) * 1e3
    first_read_bytes = full_record_bytes + lines["host list"].at(letter.HOST_LIST_ENTRIES)
    restarts = letter.HOST_RESTARTS_PER_DAY + letter.HOST_FAILURES_PER_DAY
    zone_share = letter.ZONES_PER_REGION / (letter.ZONES_PER_REGION - 1)
    return [
        _row(
            f"{letter.HOST_FAILURES_PER_DAY} hosts fail a day",
            f"each failure causes {messages_per_death:.0f} messages in the zone; the host's "
            f"{letter.IN_FLIGHT_PER_HOST:.0f} streams are resumed at their engines by the callers' "
            f"retries, and about {prefills:.1f} prefills are repeated: "
            f"{letter.HOST_FAILURES_PER_DAY * prefills:.0f} of "
            f"{letter.REQUEST_RATE * letter.DAY_S / 1e6:.0f} million a day",
        ),
        _row(
            f"{letter.HOST_RESTARTS_PER_DAY} hosts are restarted or replaced a day",
            f"no request is interrupted; each new host reads at most {_size(first_read_bytes)}, "
            f"{_size(first_read_bytes * restarts)} a day over all hosts",
        ),
        _row(
            "a rack or switch fails every month or two",
            "a few hosts and engines of one zone fail at once, which costs as much as that many "
            "single failures; the hosts that watch a host's heartbeats are its neighbours in a "
            "hashed order, whatever their racks",
        ),
        _row(
            "an availability zone fails every other month",
            f"{letter.HOSTS_PER_ZONE} hosts and {letter.ENGINES_PER_ZONE} engines; the region's "
            f"other hosts take {zone_share:.2f} times as many requests, and no other work moves "
            "to them",
        ),
        _row(
            "regions are cut off from each other for an hour",
            "each region continues to serve; the region that can't reach the log keeps its "
            "configuration version, receives no newer one, and afterwards reads up to an hour's "
            "changes: "
            f"{_size(letter.CHANGES / 24 * lines['change of one customer'].at(letter.CUSTOMERS))}",
        ),
    ]
