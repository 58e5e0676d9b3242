"""``wasabiwick load``: puts a bounded load on entry hosts of this machine."""

import sys

import click
import msgspec
import uvloop

from ._load import Plan, Totals
from ._load import run as run_load
from ._load._measure import Quantiles
from ._load._run import check_loopback

EXIT_FAILED = 1


def _loopbacks(ctx: click.Context, param: click.Parameter, urls: tuple[str, ...]) -> tuple:
    return tuple(check_loopback(url) for url in urls)


class Comparison(msgspec.Struct):
    """What ``wasabiwick load --json`` prints; ``added_ms`` is the median time that routing adds."""

    routed: Totals | None = None
    direct: Totals | None = None
    added_ms: float | None = None


@click.command()
@click.option("--address", "addresses", multiple=True, callback=_loopbacks, help="Entry host.")
@click.option(
    "--engine", "engines", multiple=True, callback=_loopbacks, help="Engine to ask directly too."
)
@click.option("--key", default="", help="API key.")
@click.option("--model", default="lectio-lm", show_default=True)
@click.option("--callers", default=10, show_default=True, help="Concurrent callers.")
@click.option("--calls", default=100, show_default=True, help="Calls in all.")
@click.option("--seconds", default=60.0, show_default=True, help="Longest run.")
@click.option("--prompt-tokens", default=100, show_default=True)
@click.option("--max-tokens", default=50, show_default=True)
@click.option("--stream/--whole", default=True, help="Streamed or whole answers.")
@click.option("--keyed", is_flag=True, help="Send an Idempotency-Key with each call.")
@click.option("--leave", default=0.0, help="Share of callers that leave once and ask again.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def load(as_json: bool, **fields: object) -> None:
    """Ask entry hosts on this machine, check every answer and print latencies.

    Callers ask again until they are answered. With --engine each call is also made to an engine
    directly, so that one run shows what routing adds. The status is 1 if any answer is lost or
    wrong.
    """
    plan = Plan(**fields)
    if not plan.addresses and not plan.engines:
        raise click.UsageError("give --address, --engine or both")
    routed, direct = uvloop.run(run_load(plan))
    found = Comparison(
        routed=routed if plan.addresses else None, direct=direct if plan.engines else None
    )
    if found.routed and found.direct:
        found.added_ms = round(routed.first_output.p50 - direct.first_output.p50, 3)
    click.echo(msgspec.json.encode(found) if as_json else "\n".join(_lines(found)))
    if any(one.lost or one.wrong for one in (routed, direct)):
        sys.exit(EXIT_FAILED)


def _lines(found: Comparison) -> list[str]:
    lines = []
    for name, one in (("routed", found.routed), ("direct", found.direct)):
        if one is None:
            continue
        lines += [
            f"{name}: {one.calls} calls, {one.answered} answered, {one.lost} lost, "
            f"{one.wrong} wrong, {one.attempts} attempts, {one.dropped} left by their callers",
            f"  {one.tokens} tokens in {one.seconds} s = {one.tokens_per_second} tokens/s",
            f"  time to first output  {_quantiles(one.first_output)}",
            f"  time between outputs  {_quantiles(one.between_outputs)}",
        ]
        if one.refusals:
            counts = ", ".join(f"{key} {count}" for key, count in sorted(one.refusals.items()))
            lines.append(f"  asked again after: {counts}")
    if found.added_ms is not None:
        lines.append(f"routing adds {found.added_ms} ms to the first output at the median")
    return lines


def _quantiles(one: Quantiles) -> str:
    return f"p50 {one.p50:.2f} ms, p95 {one.p95:.2f} ms, p99 {one.p99:.2f} ms, max {one.max:.2f} ms"
