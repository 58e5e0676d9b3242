"""The service-level report as text, JSON and a self-contained HTML page."""

import html
import io
import typing

import msgspec

from ._slo import Alert, Burn, Objective, Observations, burn_at, customers_of
from ._text_table import text_table

MAX_LINES = 8  # Customers in one plot.
PLOT_POINTS = 200
PLOT_SIZE = (9.0, 3.2)  # Inches.

_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; color: #1d2733 }
table { border-collapse: collapse; width: 100%; margin: 1rem 0 }
th, td { text-align: right; padding: .25rem .6rem; border-bottom: 1px solid #dde3ea }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left }
.page { background: #fbdedb } .ticket { background: #fdf1d0 }
svg { width: 100%; height: auto }
"""


class BurnRow(msgspec.Struct):
    """One line of the report."""

    metric: str
    target: float
    goal: float
    customer: str
    window: float
    observations: float
    bad: float
    share_bad: float
    burn: float
    partial: bool
    severity: str


class AlertRow(msgspec.Struct):
    """One alert of the report."""

    severity: str
    metric: str
    customer: str
    burn: float
    long: float
    short: float


class Report(msgspec.Struct):
    """The whole report, as printed by ``--json``. Times are in Unix seconds."""

    start: float
    end: float
    burns: list[BurnRow]
    alerts: list[AlertRow]
    refused: dict[str, float]
    notes: list[str]


def report_of(seen: Observations, found: list[Burn], raised: list[Alert]) -> Report:
    """Put the parts of a report together, the fastest burns first."""
    rows = [_row(burn, raised) for burn in found]
    rows.sort(key=lambda row: (-row.burn, row.metric, row.customer, row.window))
    return Report(
        start=seen.start,
        end=seen.end,
        burns=rows,
        alerts=[_alert(one) for one in raised],
        refused=dict(sorted(seen.refused.items())),
        notes=seen.notes,
    )


def _row(burn: Burn, raised: list[Alert]) -> BurnRow:
    severities = [
        one.rule.severity
        for one in raised
        if one.objective is burn.objective
        and one.customer == burn.customer
        and burn.window in (one.rule.long, one.rule.short)
    ]
    return BurnRow(
        metric=burn.objective.metric,
        target=burn.objective.target,
        goal=burn.objective.goal,
        customer=burn.customer,
        window=burn.window,
        observations=burn.good + burn.bad,
        bad=burn.bad,
        share_bad=round(burn.share_bad, 6),
        burn=round(burn.rate, 4),
        partial=burn.partial,
        severity=severities[0] if severities else "",
    )


def _alert(one: Alert) -> AlertRow:
    return AlertRow(
        severity=one.rule.severity,
        metric=one.objective.metric,
        customer=one.customer,
        burn=one.rule.burn,
        long=one.rule.long,
        short=one.rule.short,
    )


def duration(seconds: float) -> str:
    """Return a length of time as operators write it."""
    for unit, length in (("h", 3_600), ("m", 60)):
        if seconds >= length and seconds % length == 0:
            return f"{seconds / length:g}{unit}"
    return f"{seconds:g}s"


_COLUMNS = ("metric", "customer", "window", "observed", "bad", "bad share", "burn", "alert")


def _cells(row: BurnRow) -> tuple[str, ...]:
    return (
        row.metric,
        row.customer or "-",
        duration(row.window) + ("*" if row.partial else ""),
        f"{row.observations:g}",
        f"{row.bad:g}",
        f"{row.share_bad:.2%}",
        f"{row.burn:.2f}",
        row.severity or "-",
    )


def as_text(report: Report, most: int) -> str:
    """Return the report as a table of the ``most`` fastest burns."""
    rows = [_COLUMNS, *(_cells(row) for row in report.burns[:most])]
    lines = text_table(rows, right=2)
    return "\n".join([*lines, *_remarks(report, most)])


def _remarks(report: Report, most: int) -> list[str]:
    remarks = []
    if any(row.partial for row in report.burns):
        remarks.append("* the observations began within this window")
    if len(report.burns) > most:
        remarks.append(f"{len(report.burns) - most} more lines; see --most and --json")
    for reason, count in report.refused.items():
        if count:
            remarks.append(f"refused, not counted above: {reason} {count:g}")
    return [*remarks, *report.notes]


def as_html(report: Report, seen: Observations, objectives: typing.Sequence[Objective]) -> str:
    """Return the report as one HTML page that loads nothing."""
    head = "".join(f"<th>{column}</th>" for column in _COLUMNS)
    rows = "".join(_html_row(row) for row in report.burns)
    plots = "".join(_plot(report, seen, objective) for objective in objectives)
    remarks = "".join(f"<li>{html.escape(one)}</li>" for one in _remarks(report, len(report.burns)))
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level report</title><style>{_STYLE}</style></head><body>"
        f"<h1>Service-level report</h1>{plots}"
        f"<table><thead><tr>{head}</tr></thead><tbody>{rows}</tbody></table>"
        f"<ul>{remarks}</ul></body></html>\n"
    )


def _html_row(row: BurnRow) -> str:
    cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in _cells(row))
    return f'<tr class="{row.severity}">{cells}</tr>'


def _plot(report: Report, seen: Observations, objective: Objective) -> str:
    """Return the burn rate over time of the customers that burn fastest, as inline SVG."""
    # Matplotlib takes most of a second to import, which the other formats need not pay.
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "wasabiwick"
    from matplotlib.figure import Figure

    window = min((row.window for row in report.burns), default=0.0)
    fig = Figure(figsize=PLOT_SIZE, layout="constrained")
    axes = fig.subplots()
    for customer in _fastest(report, seen, objective):
        axes.step(*_curve(seen, objective, customer, window), where="post", label=customer or "-")
    axes.axhline(1.0, color="#888888", linewidth=0.8)
    axes.set_title(
        f"{objective.metric}: burn rate over {duration(window)} "
        f"({objective.goal:.0%} within {objective.target:g} s)"
    )
    axes.set_xlabel("seconds since the first observation")
    axes.set_ylim(bottom=0)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="upper left", fontsize="small")
    out = io.StringIO()
    fig.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _fastest(report: Report, seen: Observations, objective: Objective) -> list[str]:
    known = set(customers_of(seen, objective))
    ordered = (row.customer for row in report.burns if row.metric == objective.metric)
    return [customer for customer in dict.fromkeys(ordered) if customer in known][:MAX_LINES]


def _curve(
    seen: Observations, objective: Objective, customer: str, window: float
) -> tuple[list[float], list[float]]:
    step = (seen.end - seen.start) / PLOT_POINTS or 1.0
    times = [seen.start + step * index for index in range(PLOT_POINTS + 1)]
    rates = [burn_at(seen, objective, customer, window, time).rate for time in times]
    return [time - seen.start for time in times], rates
