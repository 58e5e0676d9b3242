"""Prints the share of refused and failed requests whose log lines name cause, inputs and their age.

Usage: python tools/explained.py LOG [REPORT]

LOG holds the lines of all hosts of a day; REPORT is the day's report, whose list of unserved
requests is checked too. Exits with 1 where the share is below 100%.
"""

import json
import pathlib
import re
import sys

from wasabiwick import _explain

REQUEST = re.compile(r"request ([0-9a-f]{16}) ")
EARLY = ("no_route", "no_configuration", "stopping")  # Refused before an endpoint was looked for.


def main() -> int:
    """Check a log, and a report if one is named."""
    text = pathlib.Path(sys.argv[1]).read_text(encoding="utf-8", errors="replace")
    log = _explain.Log(text.splitlines())
    stories = {name: log.story(name) for name in log.requests}
    if not stories:
        print("the log holds no line that names a request")
        return 1
    wanted = {name for name, story in stories.items() if _failed(story)}
    reported = _reported(sys.argv[2]) if len(sys.argv) > 2 else set()
    unseen = {name for name in reported if name not in stories}
    wanted |= reported - unseen
    explained = {name for name in wanted if _is_explained(stories[name])}
    for name in sorted(wanted - explained):
        print(f"not explained: {name}: {[line.event for line in stories[name].lines]}")
    for name in sorted(unseen):
        print(f"reached no host: {name}")
    share = len(explained) / len(wanted) if wanted else 1.0
    print(f"{len(explained)} of {len(wanted)} refused or failed requests explained: {share:.1%}")
    return 0 if explained == wanted else 1


def _failed(story: _explain.Story) -> bool:
    events = {line.event for line in story.lines}
    return bool(events & {"refused", "cut", "caller_left", "relayed_failure", "host_ended"})


def _is_explained(story: _explain.Story) -> bool:
    cause = story.cause
    if cause is None:
        return False
    if cause.event in ("refused", "cut") and cause.get("reason") == "?":
        return False
    if cause.get("reason") in EARLY:
        return "routes_version" in cause.fields
    return all(name in cause.fields for name in _explain.AGES)


def _reported(path: str) -> set[str]:
    report = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    return set(REQUEST.findall(json.dumps(report.get("unserved_by", []))))


if __name__ == "__main__":
    sys.exit(main())
