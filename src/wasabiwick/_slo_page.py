"""The service-level report as text, JSON and a self-contained HTML page."""

import html
import io
import typing

import msgspec

from ._slo import Alert, Burn, Objective, Observations, burn_at, customers_of
from ._text_table import text_table

MAX_CURVES = 8  # Maximum number of customers in one plot.
PLOT_POINTS = 200
PLOT_SIZE_INCHES = (9.0, 3.2)

_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; color: #1d2733 }
table { border-collapse: collapse; width: 100%; margin: 1rem 0 }
th, td { text-align: right; padding: .25rem .6rem; border-bottom: 1px solid #dde3ea }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left }
.page { background: #fbdedb } .ticket { background: #fdf1d0 }
svg { width: 100%; height: auto }
"""


class BurnRow(msgspec.Struct):
    """One row of the report: the burn of one customer within one window."""

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


def report_of(observations: Observations, burns: list[Burn], alerts: list[Alert]) -> Report:
    """Return the report, with the fastest burns first."""
    rows = [_row(burn, alerts) for burn in burns]
    rows.sort(key=lambda row: (-row.burn, row.metric, row.customer, row.window))
    return Report(
        start=observations.start,
        end=observations.end,
        burns=rows,
        alerts=[_alert(one) for one in alerts],
        refused=dict(sorted(observations.refused.items())),
        notes=observations.notes,
    )


def _row(burn: Burn, alerts: list[Alert]) -> BurnRow:
    severities = [
        one.rule.severity
        for one in alerts
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
    """Return a length of time in its largest whole unit, such as ``5m``."""
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


def as_text(report: Report, max_rows: int) -> str:
    """Return the report as a table of the ``max_rows`` fastest burns."""
    rows = [_COLUMNS, *(_cells(row) for row in report.burns[:max_rows])]
    lines = text_table(rows, right=2)
    return "\n".join([*lines, *_remarks(report, max_rows)])


def _remarks(report: Report, max_rows: int) -> list[str]:
    remarks = []
    if any(row.partial for row in report.burns):
        remarks.append("* the observations began within this window, so they cover only part of it")
    if len(report.burns) > max_rows:
        remarks.append(f"{len(report.burns) - max_rows} more rows; see --most and --json")
    for reason, count in report.refused.items():
        if count:
            remarks.append(f"refused, not counted above: {reason} {count:g}")
    return [*remarks, *report.notes]


def as_html(
    report: Report, observations: Observations, objectives: typing.Sequence[Objective]
) -> str:
    """Return the report as an HTML page that loads no other files."""
    head = "".join(f"<th>{column}</th>" for column in _COLUMNS)
    rows = "".join(_html_row(row) for row in report.burns)
    plots = "".join(_plot(report, observations, objective) for objective in objectives)
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


def _plot(report: Report, observations: Observations, objective: Objective) -> str:
    """Return the burn rate over time of the customers that burn fastest, as inline SVG."""
    # Imported here because the import takes most of a second and only the HTML page needs it.
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "wasabiwick"
    from matplotlib.figure import Figure

    window = min((row.window for row in report.burns), default=0.0)
    fig = Figure(figsize=PLOT_SIZE_INCHES, layout="constrained")
    axes = fig.subplots()
    for customer in _fastest_burning_customers(report, observations, objective):
        axes.step(
            *_curve(observations, objective, customer, window), where="post", label=customer or "-"
        )
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


def _fastest_burning_customers(
    report: Report, observations: Observations, objective: Objective
) -> list[str]:
    observed = set(customers_of(observations, objective))
    ordered = (row.customer for row in report.burns if row.metric == objective.metric)
    return [customer for customer in dict.fromkeys(ordered) if customer in observed][:MAX_CURVES]


def _curve(
    observations: Observations, objective: Objective, customer: str, window: float
) -> tuple[list[float], list[float]]:
    step = (observations.end - observations.start) / PLOT_POINTS or 1.0
    times = [observations.start + step * index for index in range(PLOT_POINTS + 1)]
    rates = [burn_at(observations, objective, customer, window, time).rate for time in times]
    return [time - observations.start for time in times], rates
