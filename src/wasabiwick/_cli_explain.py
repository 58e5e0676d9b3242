"""``wasabiwick explain``: from a request's identifier to what became of it, out of log lines."""

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
    """The story of a request; ``cause`` is the sentence that settled it."""

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
    """Tell what became of REQUEST, from log files or standard input."""
    log = _explain.Log(_lines(logs or (sys.stdin,)))
    found = log.story(request)
    if log.broken:
        click.echo(f"{log.broken} log lines are cut short or can't be read", err=True)
    if not found.lines:
        click.echo(f'no line of the logs names request "{request}"', err=True)
        sys.exit(EXIT_FAILED)
    click.echo(msgspec.json.encode(_explained(found, log.broken)) if as_json else _as_text(found))


def _lines(files: typing.Iterable[typing.TextIO]) -> typing.Iterator[str]:
    for file in files:
        yield from file


def _explained(found: _explain.Story, broken: int) -> Explained:
    cause = found.cause
    return Explained(
        request=found.request,
        cause=_explain.sentence(cause) if cause else "",
        basis=_explain.basis(cause) if cause else "",
        unreadable_lines=broken,
        steps=[
            Told(
                at=line.at,
                host=line.host,
                event=line.event,
                sentence=_explain.sentence(line),
                fields=line.fields,
            )
            for line in found.lines
        ],
    )


def _as_text(found: _explain.Story) -> str:
    first = found.lines[0].at
    rows = [f"request {found.request}"]
    for line in found.lines:
        rows.append(f"  +{line.at - first:.3f} s  {line.host}  {_explain.sentence(line)}")
    cause = found.cause
    if cause is None:
        rows.append("Nothing in these logs settled it: the host ended, or its lines are missing.")
    else:
        basis = _explain.basis(cause)
        rows.append(f"What settled it: {_explain.sentence(cause)}")
        if basis:
            rows.append(f"Decided on {basis}.")
    return "\n".join(rows)
