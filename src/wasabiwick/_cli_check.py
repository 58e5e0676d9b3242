"""Command ``check``, which validates operators' files without starting a host."""

import pathlib
import typing

import click
import msgspec

from ._exit_codes import EXIT_INVALID_INPUT
from ._forwarding import RouteTable
from ._lists_file import Allowances, check_allowances, check_lists, check_plans
from ._routes_check import Finding, check_routes, compare_routes
from ._routes_reading import read_configuration
from ._schema import Fault, params_of, top_level_keys
from ._settings import Settings
from ._settings_file import load_settings, read_text

Checker = typing.Callable[[pathlib.Path], object]

SETTINGS = "settings"
PLANS = "plans"
ALLOWANCES = "allowances"
CONFIGURATION = "configuration"

_CHECKERS: dict[str, Checker] = {
    SETTINGS: load_settings,
    PLANS: check_plans,
    ALLOWANCES: check_allowances,
}


class FileReport:
    """The kind and the faults of one file that was checked, and what it changes."""

    __slots__ = ("path", "kind", "faults", "changes")

    def __init__(self, *, path: pathlib.Path, kind: str, faults: list[Fault]) -> None:
        self.path = path
        self.kind = kind
        self.faults = faults
        self.changes: list[Fault] = []


class FaultRow(msgspec.Struct):
    """One fault, as printed by ``--json``."""

    path: str
    line: int
    text: str


class FileRow(msgspec.Struct, omit_defaults=True):
    """One file, as printed by ``--json``."""

    file: str
    kind: str
    faults: list[FaultRow]
    changes: list[FaultRow] = []


def kind_of(path: pathlib.Path) -> str:
    """Return the kind of a file, recognised by its top-level keys.

    Settings and allowances have known keys; the keys of plans are names of customers. Only
    configurations are JSON.
    """
    if path.suffix == ".json":
        return CONFIGURATION
    text = read_text(path)
    keys = top_level_keys(text) if isinstance(text, str) else []
    for kind, cls in ((SETTINGS, Settings), (ALLOWANCES, Allowances)):
        if 2 * len(params_of(cls).keys() & keys) > len(keys):
            return kind
    return PLANS if keys else SETTINGS


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option(
    "--kind",
    type=click.Choice([*_CHECKERS, CONFIGURATION]),
    help="Kind of the files; recognised by their keys if left out.",
)
@click.option(
    "--in-force",
    type=click.Path(path_type=pathlib.Path),
    help="The configuration in force, with which one that is checked is compared.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the faults as JSON.")
def check(
    files: tuple[pathlib.Path, ...],
    kind: str | None,
    in_force: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Check settings files, the operators' lists, and configurations of the platform.

    Every fault is printed with its file, its line and the path of its key. Plans and allowances
    that are given together are checked against each other. Of a configuration, entries that can't
    be read or never match are faults, and limits that contradict each other; with ``--in-force``,
    what it changes is printed too. The exit code is 2 if there is a fault.
    """
    reports = [_check_file(path, kind or kind_of(path), in_force) for path in files]
    _check_together(reports)
    if as_json:
        click.echo(msgspec.json.encode([_row(report) for report in reports]))
    else:
        _print(reports)
    if any(report.faults for report in reports):
        raise SystemExit(EXIT_INVALID_INPUT)


def _check_file(path: pathlib.Path, kind: str, in_force: pathlib.Path | None) -> FileReport:
    if kind == CONFIGURATION:
        return _check_configuration(path, in_force)
    found = _CHECKERS[kind](path)
    faults = found if isinstance(found, list) else []
    return FileReport(path=path, kind=kind, faults=faults)


def _check_configuration(path: pathlib.Path, in_force: pathlib.Path | None) -> FileReport:
    table, findings = _read_routes(path)
    if table is not None:
        findings += check_routes(table)
        if in_force is not None:
            old, faults = _read_routes(in_force)
            findings += faults if old is None else compare_routes(old, table)
    report = FileReport(path=path, kind=CONFIGURATION, faults=[])
    for one in findings:
        found = Fault(path=one.place, line=1, text=one.text)
        (report.faults if one.is_fault else report.changes).append(found)
    return report


def _read_routes(path: pathlib.Path) -> tuple[RouteTable | None, list[Finding]]:
    """Return what can be read of a configuration, or None, and what is wrong with the rest."""
    from .platform import ENTRIES  # Not needed to check the other kinds of files.

    try:
        return read_configuration(path.read_bytes(), ENTRIES)
    except OSError as exc:
        return None, [Finding(place=str(path), text=exc.strerror or str(exc))]
    except msgspec.MsgspecError as exc:
        return None, [Finding(place=str(path), text=f"is no configuration: {exc}")]


def _check_together(reports: list[FileReport]) -> None:
    """Also check plans and allowances against each other, if one file of each kind is given."""
    pair = [[one for one in reports if one.kind == kind] for kind in (PLANS, ALLOWANCES)]
    if any(len(found) != 1 for found in pair):
        return
    plans, allowances = (found[0] for found in pair)
    texts = [read_text(one.path) for one in (plans, allowances)]
    if any(isinstance(text, Fault) for text in texts):
        return
    plans.faults, allowances.faults = [], []
    for fault in check_lists(*texts):
        kind, _, path = fault.path.partition(".")
        report = plans if kind == PLANS else allowances
        report.faults.append(Fault(path=path, line=fault.line, text=fault.text))


def _row(report: FileReport) -> FileRow:
    faults, changes = (
        [FaultRow(path=one.path, line=one.line, text=one.text) for one in found]
        for found in (report.faults, report.changes)
    )
    return FileRow(file=str(report.path), kind=report.kind, faults=faults, changes=changes)


def _print(reports: list[FileReport]) -> None:
    for report in reports:
        if not report.faults:
            click.echo(f"{report.path}: {report.kind} are valid")
        for fault in report.faults:
            click.echo(fault.located(report.path))
        for change in report.changes:
            click.echo(f"{report.path}: {change.path}: {change.text}")
