"""Reference pages for operators, made from the code: settings and metrics.

``make docs`` writes them; a test checks that they are up to date.
"""

import inspect
import pathlib
import sys
import typing

from ._metrics import SECTIONS, Metric
from ._schema import Param, params_of
from ._settings import Settings

_SETTINGS_HEAD = """\
# Settings of a host

<!-- Made by `make docs` from src/wasabiwick/_settings.py. -->

`wasabiwick run --settings host.yaml` reads one YAML file. `wasabiwick check host.yaml` only checks
it, and lists every fault with its line and path. Nothing else configures a host: what customers may
do is published in the [two lists](lists.md). A smallest file:

```yaml
host: entry-1
zone: tx-central-a
region: tx-central
platform:
  log: http://127.0.0.1:7001
  hosts: http://127.0.0.1:7002
```

Times are in seconds. What is left out takes its default.
"""

_METRICS_HEAD = """\
# Metrics

<!-- Made by `make docs` from src/wasabiwick/_metrics.py. -->

Every host serves its metrics at `GET /metrics` of the callers' address, in the Prometheus text
format. Counters begin at zero with each process. Latencies are histograms; their buckets include
both latency targets, 0.054 s and 0.55 s, so that shares within the targets are exact. Each metric
has one label, `label`, which holds what the table says, or nothing.

What is kept per customer is summed over customers here, so that the text does not grow with them.
`GET /metrics/customers` shows it per customer, as one JSON object of counts since the process
started. `wasabiwick report slo --scrape http://HOST:PORT` turns it into burn rates; see
[slo.md](slo.md).
"""

_METRICS_COLUMNS = "| metric | kind | label | meaning |\n| --- | --- | --- | --- |"
_SETTINGS_COLUMNS = "| key | value | default | meaning |\n| --- | --- | --- | --- |"
_KINDS = {str: "text", int: "whole number", float: "number", bool: "true or false"}


def settings_page() -> str:
    """Return the settings reference."""
    parts = [_SETTINGS_HEAD, _settings_table(Settings, "Top level")]
    for name, param in params_of(Settings).items():
        if _is_section(param):
            parts.append(_settings_table(param.kind, f"`{name}`"))
    return "\n".join(parts)


def metrics_page() -> str:
    """Return the metrics reference."""
    parts = [_METRICS_HEAD]
    for title, metrics in SECTIONS.items():
        rows = "\n".join(_metric_row(metric) for metric in metrics)
        parts.append(f"## {title}\n\n{_METRICS_COLUMNS}\n{rows}\n")
    return "\n".join(parts)


PAGES: dict[str, typing.Callable[[], str]] = {
    "settings.md": settings_page,
    "metrics.md": metrics_page,
}


def _metric_row(metric: Metric) -> str:
    return f"| `{metric.exported}` | {metric.kind} | {metric.label or '-'} | {metric.text} |"


def _is_section(param: Param) -> bool:
    return inspect.isclass(param.kind) and param.kind not in _KINDS


def _settings_table(cls: type, title: str) -> str:
    texts = documented_args(cls)
    rows = "\n".join(
        f"| `{name}` | {_kind(param)} | {_default(name, param)} | {texts.get(name, '')} |"
        for name, param in params_of(cls).items()
    )
    head = inspect.getdoc(cls).partition("\n")[0]
    return f"## {title}\n\n{head}\n\n{_SETTINGS_COLUMNS}\n{rows}\n".replace("``", "`")


def _kind(param: Param) -> str:
    if _is_section(param):
        return "section"
    if typing.get_origin(param.kind) is dict:
        return "mapping"
    rules = ", ".join(rule.text for rule in param.rules)
    return rules or _KINDS.get(param.kind, "list")


def _default(name: str, param: Param) -> str:
    if param.required:
        return "required"
    if param.default is None:
        return "none" if name == "tls" else "see below" if _is_section(param) else "empty"
    return f"`{param.default}`" if param.default != "" else "empty"


def documented_args(cls: type) -> dict[str, str]:
    """Return the texts of the ``Args`` section of a class's docstring by argument."""
    lines = inspect.getdoc(cls).partition("Args:\n")[2].splitlines()
    texts: dict[str, str] = {}
    name = ""
    for line in lines:
        if line.strip() and not line.startswith(" "):
            break
        if line.startswith("    ") and not line.startswith("     "):
            name, _, text = line.strip().partition(": ")
            texts[name] = text
        elif line.strip() and name:
            texts[name] += f" {line.strip()}"
    return texts


def write_pages(folder: pathlib.Path) -> None:
    """Write all reference pages into a folder."""
    for name, page in PAGES.items():
        (folder / name).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    write_pages(pathlib.Path(sys.argv[1]))
