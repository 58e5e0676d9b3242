"""Checks that the log explains each refused or failed request.

A request is explained if a log line gives the cause and the versions and ages of its inputs.

Usage: python tools/explained.py LOG [REPORT]

LOG holds the log lines of all hosts of one day. REPORT is the JSON report of the same day; the
requests that it lists as unserved are checked too. Prints the share of explained requests, and
exits with 1 if the share is below 100%.
"""

import json
import pathlib
import re
import sys

from wasabiwick import _explain

REQUEST = re.compile(r"request ([0-9a-f]{16}) ")
# Reasons for which a request is refused before any endpoint is chosen.
EARLY_REASONS = ("no_route", "routes_behind", "no_configuration", "stopping")


def main() -> int:
    """Check a log and, if named, a report."""
    text = pathlib.Path(sys.argv[1]).read_text(encoding="utf-8", errors="replace")
    log = _explain.Log(text.splitlines())
    histories = {name: log.history(name) for name in log.requests}
    if not histories:
        print("the log holds no line that names a request")
        return 1
    to_explain = {name for name, history in histories.items() if _failed(history)}
    reported = _reported(sys.argv[2]) if len(sys.argv) > 2 else set()
    unlogged = {name for name in reported if name not in histories}
    to_explain |= reported - unlogged
    explained = {name for name in to_explain if _is_explained(histories[name])}
    for name in sorted(to_explain - explained):
        print(f"not explained: {name}: {[line.event for line in histories[name].lines]}")
    for name in sorted(unlogged):
        print(f"reached no host: {name}")
    share = len(explained) / len(to_explain) if to_explain else 1.0
    print(
        f"{len(explained)} of {len(to_explain)} refused or failed requests explained: {share:.1%}"
    )
    return 0 if explained == to_explain else 1


def _failed(history: _explain.History) -> bool:
    events = {line.event for line in history.lines}
    return bool(events & {"refused", "cut", "caller_left", "relayed_failure", "host_ended"})


def _is_explained(history: _explain.History) -> bool:
    cause = history.cause
    if cause is None:
        return False
    if cause.event in ("refused", "cut") and cause.get("reason") == "?":
        return False
    if cause.get("reason") in EARLY_REASONS:
        return "routes_version" in cause.fields
    return all(name in cause.fields for name in _explain.AGE_FIELDS)


def _reported(path: str) -> set[str]:
    report = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    return set(REQUEST.findall(json.dumps(report.get("unserved_by", []))))


if __name__ == "__main__":
    sys.exit(main())
