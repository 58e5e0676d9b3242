"""``wasabiwick explain``: what happened to one request, according to log lines."""

import sys
import typing

import click
import msgspec

from . import _explain
from ._exit_codes import EXIT_FAILED


class Told(msgspec.Struct):
    """One step of a request, as printed by ``--json``."""

    at: float
    host: str
    event: str
    sentence: str
    fields: dict[str, str]


class Explained(msgspec.Struct):
    """What happened to a request, as printed by ``--json``.

    ``cause`` is the sentence that explains the request's outcome. ``basis`` names the versions and
    ages of the data behind the decision.
    """

    request: str
    cause: str
    basis: str
    unreadable_lines: int
    steps: list[Told]


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(request: str, logs: tuple[typing.TextIO, ...], as_json: bool) -> None:
    """Explain what happened to REQUEST, from log files or standard input."""
    log = _explain.Log(_lines(logs or (sys.stdin,)))
    history = log.history(request)
    if log.unreadable:
        click.echo(f"{log.unreadable} log lines are cut short or can't be read", err=True)
    if not history.lines:
        click.echo(f'no line of the logs names request "{request}"', err=True)
        sys.exit(EXIT_FAILED)
    click.echo(
        msgspec.json.encode(_explained(history, log.unreadable)) if as_json else _as_text(history)
    )


def _lines(files: typing.Iterable[typing.TextIO]) -> typing.Iterator[str]:
    for file in files:
        yield from file


def _explained(history: _explain.History, unreadable: int) -> Explained:
    cause = history.cause
    return Explained(
        request=history.request,
        cause=_explain.sentence(cause) if cause else "",
        basis=_explain.basis(cause) if cause else "",
        unreadable_lines=unreadable,
        steps=[
            Told(
                at=line.at,
                host=line.host,
                event=line.event,
                sentence=_explain.sentence(line),
                fields=line.fields,
            )
            for line in history.lines
        ],
    )


def _as_text(history: _explain.History) -> str:
    start = history.lines[0].at
    rows = [f"request {history.request}"]
    for line in history.lines:
        rows.append(f"  +{line.at - start:.3f} s  {line.host}  {_explain.sentence(line)}")
    cause = history.cause
    if cause is None:
        rows.append(
            "These logs show no outcome: the host's process ended, or log lines are missing."
        )
    else:
        basis = _explain.basis(cause)
        rows.append(f"Cause: {_explain.sentence(cause)}")
        if basis:
            rows.append(f"Based on {basis}.")
    return "\n".join(rows)
