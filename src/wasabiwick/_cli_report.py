"""``wasabiwick report``: reports on service-level objectives."""

import pathlib
import re
import ssl
import time
import typing

import click
import msgspec

from ._operator_http import fetch_all
from ._operator_options import tls_option
from ._slo import (
    BETWEEN_OUTPUTS,
    BETWEEN_OUTPUTS_TARGET,
    DEFAULT_GOAL,
    FIRST_OUTPUT,
    FIRST_OUTPUT_TARGET,
    Objective,
    Observations,
    alerts,
    burns,
    default_windows,
)
from ._slo_page import as_html, as_text, report_of
from ._slo_sources import from_snapshots, from_traces, is_trace, snapshots_of
from ._telemetry import Snapshot

SECONDS_PER_UNIT = {"s": 1.0, "m": 60.0, "h": 3_600.0, "d": 86_400.0}
SNAPSHOT_PATH = "/metrics/customers"
SCRAPE_TIMEOUT_S = 5.0


class Duration(click.ParamType):
    """A length of time such as ``30s``, ``5m`` or ``6h``."""

    name = "duration"

    def convert(self, value: object, param: object, ctx: object) -> float:
        """Return the length in seconds."""
        if isinstance(value, float):
            return value
        match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", str(value))
        if not match or not float(match[1]):
            self.fail(f"{value!r} is not a length of time such as 30s, 5m or 6h")
        return float(match[1]) * SECONDS_PER_UNIT[match[2]]


@click.group()
def report() -> None:
    """Report on the quality of service that customers get."""


@report.command()
@click.argument("inputs", nargs=-1, type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--scrape", "urls", multiple=True, help="Base URL of a host to scrape; repeatable.")
@tls_option
@click.option("--for", "span", type=Duration(), default="60s", show_default=True)
@click.option("--every", type=Duration(), default="5s", show_default=True)
@click.option("--save", type=click.File("ab"), help="File to append the scraped snapshots to.")
@click.option(
    "--first-output",
    default=FIRST_OUTPUT_TARGET,
    show_default=True,
    help="Target in seconds for the time to first output.",
)
@click.option(
    "--between",
    default=BETWEEN_OUTPUTS_TARGET,
    show_default=True,
    help="Target in seconds for the time between two output tokens.",
)
@click.option(
    "--goal",
    type=click.FloatRange(0.0, 1.0, max_open=True),
    default=DEFAULT_GOAL,
    show_default=True,
    help="Share of observations that must be within the target.",
)
@click.option(
    "--window",
    "windows",
    type=Duration(),
    multiple=True,
    help="Length of a window for burn rates; repeatable.",
)
@click.option(
    "--most", default=40, show_default=True, help="Maximum number of rows in the text table."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--html", "page", type=click.Path(dir_okay=False, path_type=pathlib.Path))
def slo(
    inputs: tuple[pathlib.Path, ...],
    urls: tuple[str, ...],
    tls: ssl.SSLContext | None,
    span: float,
    every: float,
    save: typing.BinaryIO | None,
    first_output: float,
    between: float,
    goal: float,
    windows: tuple[float, ...],
    most: int,
    as_json: bool,
    page: pathlib.Path | None,
) -> None:
    """Show how fast each customer's error budget burns, for both latency targets.

    INPUTS are recorded traces, or files of snapshots that --save wrote. With --scrape, the
    snapshots are read from running hosts instead, at the interval set by --every.
    """
    objectives = (
        Objective(metric=FIRST_OUTPUT, target=first_output, goal=goal),
        Objective(metric=BETWEEN_OUTPUTS, target=between, goal=goal),
    )
    if bool(inputs) == bool(urls):
        raise click.UsageError("give either input files or --scrape")
    if urls:
        observations = from_snapshots(_scrape(urls, tls, span, every, save), objectives)
    else:
        observations = _read(inputs, objectives)
    customer_burns = burns(observations, objectives, windows or default_windows(observations))
    slo_report = report_of(observations, customer_burns, alerts(observations, objectives))
    if page:
        page.write_text(as_html(slo_report, observations, objectives), encoding="utf-8")
    click.echo(msgspec.json.encode(slo_report) if as_json else as_text(slo_report, most))


def _read(inputs: tuple[pathlib.Path, ...], objectives: tuple[Objective, ...]) -> Observations:
    try:
        kinds = {is_trace(path) for path in inputs}
        if len(kinds) > 1:
            raise click.UsageError("traces and snapshots can't be mixed")
        if kinds.pop():
            return from_traces(inputs, objectives)
        snapshots = [snapshot for path in inputs for snapshot in snapshots_of(path)]
        return from_snapshots(snapshots, objectives)
    except ValueError as exc:
        # TraceError and msgspec's errors are subclasses of ValueError.
        raise click.ClickException(str(exc)) from None


def _scrape(
    urls: tuple[str, ...],
    tls: ssl.SSLContext | None,
    span: float,
    every: float,
    save: typing.BinaryIO | None,
) -> list[Snapshot]:
    snapshots = []
    rounds = max(2, round(span / every) + 1)
    with click.progressbar(
        range(rounds), label="Reading snapshots", file=click.get_text_stream("stderr")
    ) as bar:
        for number in bar:
            if number:
                time.sleep(every)
            snapshots.extend(_scrape_once(urls, tls, save))
    return snapshots


def _scrape_once(
    urls: tuple[str, ...], tls: ssl.SSLContext | None, save: typing.BinaryIO | None
) -> list[Snapshot]:
    snapshots = []
    pages = [url.rstrip("/") + SNAPSHOT_PATH for url in urls]
    for text in fetch_all(pages, timeout=SCRAPE_TIMEOUT_S, tls=tls):
        if not isinstance(text, str):
            # A host that did not answer is asked again in the next round.
            continue
        snapshots.append(msgspec.json.decode(text, type=Snapshot))
        if save:
            save.write(text.encode() + b"\n")
    return snapshots
