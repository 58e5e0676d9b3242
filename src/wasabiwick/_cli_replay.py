"""``wasabiwick replay``: replays recorded traces and reports the first difference."""

import pathlib

import click
import msgspec

from ._record import to_builtins
from ._replay import Difference, Replay, replay
from ._trace import Stated, TraceError

EXIT_DIFFERENT = 1
EXIT_UNREADABLE = 2


class ReplayReport(msgspec.Struct):
    """The result of one replay, as printed by ``--json``.

    ``confirmed`` counts the outcomes stated in the trace that the replay confirmed. ``cut`` is
    true if the trace ends early, at its size limit or within a line.
    """

    trace: str
    events: int
    effects: int
    confirmed: int
    cut: bool
    outcomes: list[Stated]
    difference: dict[str, object] | None = None


@click.command("replay")
@click.argument("traces", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option(
    "--json", "as_json", is_flag=True, help="Print the results as JSON, one line per trace."
)
@click.option(
    "--metrics/--no-metrics",
    default=True,
    help="Whether to compare counters, latencies and log lines too.",
)
def replay_command(traces: tuple[pathlib.Path, ...], as_json: bool, metrics: bool) -> None:
    """Drive the reducer with recorded events and compare effects and outcomes.

    Prints the first difference from each trace. The exit code is 1 if there is a difference, 2 if a
    trace can't be read.
    """
    status = 0
    for path in traces:
        try:
            result = replay(path, metrics=metrics)
        except TraceError as exc:
            click.echo(f"wasabiwick replay: {exc}", err=True)
            raise SystemExit(EXIT_UNREADABLE) from None
        _print(path, result, as_json)
        if result.difference:
            status = EXIT_DIFFERENT
    raise SystemExit(status)


def _print(path: pathlib.Path, result: Replay, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(_report(path, result)))
        return
    cut = ", the trace was cut off" if result.cut else ""
    click.echo(
        f"{path}: {result.events} events, {result.effects} effects, "
        f"{result.confirmed} outcomes confirmed{cut}"
    )
    if result.difference:
        click.echo(str(result.difference))


def _report(path: pathlib.Path, result: Replay) -> ReplayReport:
    return ReplayReport(
        trace=str(path),
        events=result.events,
        effects=result.effects,
        confirmed=result.confirmed,
        cut=result.cut,
        outcomes=[result.outcomes.stated(call_id) for call_id in result.outcomes.calls],
        difference=_fields(result.difference) if result.difference else None,
    )


def _fields(difference: Difference) -> dict[str, object]:
    return {
        "line": difference.line,
        "text": difference.text,
        "event": to_builtins(difference.event),
        "recorded": to_builtins(difference.recorded),
        "replayed": to_builtins(difference.replayed),
    }
