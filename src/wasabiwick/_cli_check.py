"""The command that checks operators' files without running anything."""

import pathlib
import typing

import click
import msgspec

from ._lists_file import check_allowances, check_plans
from ._schema import Fault
from ._settings_file import load_settings

EXIT_FAULTS = 2
Checker = typing.Callable[[pathlib.Path], object]

_CHECKERS: dict[str, Checker] = {}


def checker(kind: str) -> typing.Callable[[Checker], Checker]:
    """Register the function that reads one kind of file; it returns a list of faults or a value."""

    def register(check: Checker) -> Checker:
        _CHECKERS[kind] = check
        return check

    return register


checker("settings")(load_settings)
checker("plans")(check_plans)
checker("allowances")(check_allowances)


class FileReport(msgspec.Struct):
    """What the check of one file found, as printed by ``--json``."""

    file: str
    kind: str
    faults: list[dict[str, str | int]]


def kind_of(path: pathlib.Path) -> str:
    """Return the kind of a file by its name: the settings of a host unless it names a list."""
    return next((kind for kind in _CHECKERS if kind in path.stem), "settings")


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option("--kind", type=str, default="", help="Kind of the files: settings or a list's name.")
@click.option("--json", "as_json", is_flag=True, help="Print the faults as JSON.")
def check(files: tuple[pathlib.Path, ...], kind: str, as_json: bool) -> None:
    """Check settings files and the operators' lists.

    Every fault is printed with its file, line and path. The status is 2 if there is one.
    """
    if kind and kind not in _CHECKERS:
        raise click.BadParameter(f"{kind!r} is not one of {', '.join(sorted(_CHECKERS))}")
    reports = [_check(path, kind or kind_of(path)) for path in files]
    if as_json:
        click.echo(msgspec.json.encode(reports))
    else:
        _print(reports)
    if any(report.faults for report in reports):
        raise SystemExit(EXIT_FAULTS)


def _check(path: pathlib.Path, kind: str) -> FileReport:
    found = _CHECKERS[kind](path)
    faults = found if isinstance(found, list) else []
    return FileReport(file=str(path), kind=kind, faults=[_as_fields(fault) for fault in faults])


def _as_fields(fault: Fault) -> dict[str, str | int]:
    return {"path": fault.path, "line": fault.line, "text": fault.text}


def _print(reports: list[FileReport]) -> None:
    for report in reports:
        if not report.faults:
            click.echo(f"{report.file}: {report.kind} are valid")
        for fault in report.faults:
            place = f"{report.file}:{fault['line']}"
            where = f"{fault['path']}: " if fault["path"] else ""
            click.echo(f"{place}: {where}{fault['text']}")
