"""The line that reports a run over narrow paths to the store."""

import typing

from ._narrow_site import NO_ANSWER, Member, Plan

BYTES_PER_KB = 1_000
BYTES_PER_MIB = 2**20
KILLED = "killed"
GIVEN_STATUSES = (404, 503)


def line(plan: Plan, members: typing.Sequence[Member], *, size: int, build: str) -> str:
    """Return the line on a run.

    Args:
        plan: What the run did.
        members: The hosts, and what was seen of each.
        size: Bytes of the last configuration.
        build: Commit of this checkout.
    """
    never = sum(one.served_after is None for one in members)
    parts = [
        f"build={build}",
        *_inputs(plan),
        f"config={size / BYTES_PER_KB:.0f}kB",
        f"never={never}/{len(members)}",
        *_groups(members),
        *(f"answers_{status}={_count(members, status)}" for status in GIVEN_STATUSES),
        f"no_answer={_count(members, NO_ANSWER)}",
        f"other={_others(members)}",
        "read_kB=" + _span([one.path.bytes_read / BYTES_PER_KB for one in members]),
        "peak_MiB=" + _span([one.peak_bytes / BYTES_PER_MIB for one in members]),
    ]
    return " ".join(parts)


def _inputs(plan: Plan) -> list[str]:
    """Return the options that differ from those of a plain run, and the ones every line has."""
    usual = Plan()._asdict()
    shown = {"hosts", "zones", "rate", "versions", "gap", "seed"}
    return [
        f"{name}={_number(value)}"
        for name, value in plan._asdict().items()
        if name in shown or value != usual[name]
    ]


def _number(value: object) -> str:
    is_whole = isinstance(value, float) and value.is_integer()
    return f"{value:.0f}" if is_whole else str(value)


def _groups(members: typing.Sequence[Member]) -> list[str]:
    """Return when the hosts of each kind served the route, in seconds."""
    groups: dict[str, list[Member]] = {}
    for one in members:
        groups.setdefault(_group(one), []).append(one)
    return [f"{name}_s={_times(found)}" for name, found in sorted(groups.items())]


def _group(member: Member) -> str:
    turn = "readers" if member.reads else "listeners"
    parts = [turn, member.build, KILLED if member.was_killed else ""]
    return "_".join(part for part in parts if part)


def _times(members: typing.Sequence[Member]) -> str:
    served = sorted(one.served_after for one in members if one.served_after is not None)
    never = ["never"] * (len(members) - len(served))
    return ",".join([*(f"{after:.1f}" for after in served), *never])


def _count(members: typing.Sequence[Member], status: int) -> int:
    return sum(one.statuses[status] for one in members)


def _others(members: typing.Sequence[Member]) -> int:
    known = {*GIVEN_STATUSES, NO_ANSWER}
    return sum(
        count for one in members for status, count in one.statuses.items() if status not in known
    )


def _span(values: typing.Sequence[float]) -> str:
    """Return the smallest and the largest of some values."""
    return f"{min(values):.0f}..{max(values):.0f}"
