"""``wasabiwick load``: puts a bounded load on local entry hosts."""

import sys

import click
import msgspec
import uvloop

from ._load import Plan, Totals
from ._load import run as run_load
from ._load._measure import Quantiles
from ._load._run import check_loopback

EXIT_FAILED = 1


def _check_loopbacks(ctx: click.Context, param: click.Parameter, urls: tuple[str, ...]) -> tuple:
    return tuple(check_loopback(url) for url in urls)


class Comparison(msgspec.Struct):
    """Output of ``wasabiwick load --json``.

    ``added_ms`` is the time in milliseconds that routing adds to the median time to first output.
    """

    routed: Totals | None = None
    direct: Totals | None = None
    added_ms: float | None = None


@click.command()
@click.option(
    "--address",
    "addresses",
    multiple=True,
    callback=_check_loopbacks,
    help="Base URL of an entry host.",
)
@click.option(
    "--engine",
    "engines",
    multiple=True,
    callback=_check_loopbacks,
    help="Base URL of an engine that is also called directly, for comparison.",
)
@click.option("--key", default="", help="API key.")
@click.option("--model", default="lectio-lm", show_default=True)
@click.option("--callers", default=10, show_default=True, help="Concurrent callers.")
@click.option("--calls", default=100, show_default=True, help="Number of calls.")
@click.option(
    "--seconds", default=60.0, show_default=True, help="Maximum duration of the run in seconds."
)
@click.option("--prompt-tokens", default=100, show_default=True)
@click.option("--max-tokens", default=50, show_default=True)
@click.option(
    "--stream/--whole", default=True, help="Whether answers are streamed or sent in one piece."
)
@click.option("--keyed", is_flag=True, help="Send an Idempotency-Key with each call.")
@click.option("--leave", default=0.0, help="Share of callers that disconnect once and then retry.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def load(as_json: bool, **fields: object) -> None:
    """Call local entry hosts, check every answer and print latencies.

    Callers retry until they are answered. With --engine each call is also made to an engine
    directly, so that one run shows the latency that routing adds. The exit code is 1 if any answer
    is lost or wrong.
    """
    plan = Plan(**fields)
    if not plan.addresses and not plan.engines:
        raise click.UsageError("give --address, --engine or both")
    routed, direct = uvloop.run(run_load(plan))
    comparison = Comparison(
        routed=routed if plan.addresses else None, direct=direct if plan.engines else None
    )
    if comparison.routed and comparison.direct:
        comparison.added_ms = round(routed.first_output.p50 - direct.first_output.p50, 3)
    click.echo(msgspec.json.encode(comparison) if as_json else "\n".join(_lines(comparison)))
    if any(totals.lost or totals.wrong for totals in (routed, direct)):
        sys.exit(EXIT_FAILED)


def _lines(comparison: Comparison) -> list[str]:
    lines = []
    for name, totals in (("routed", comparison.routed), ("direct", comparison.direct)):
        if totals is None:
            continue
        lines += [
            f"{name}: {totals.calls} calls, {totals.answered} answered, {totals.lost} lost, "
            f"{totals.wrong} wrong, {totals.attempts} attempts, "
            f"{totals.dropped} abandoned by their callers",
            f"  {totals.tokens} tokens in {totals.seconds} s = {totals.tokens_per_second} tokens/s",
            f"  time to first output  {_quantiles(totals.first_output)}",
            f"  time between outputs  {_quantiles(totals.between_outputs)}",
        ]
        if totals.refusals:
            counts = ", ".join(f"{key} {count}" for key, count in sorted(totals.refusals.items()))
            lines.append(f"  retried after: {counts}")
    if comparison.added_ms is not None:
        lines.append(f"routing adds {comparison.added_ms} ms to the median time to first output")
    return lines


def _quantiles(latency: Quantiles) -> str:
    return (
        f"p50 {latency.p50:.2f} ms, p95 {latency.p95:.2f} ms, p99 {latency.p99:.2f} ms, "
        f"max {latency.max:.2f} ms"
    )
