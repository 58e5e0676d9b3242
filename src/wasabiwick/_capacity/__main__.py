"""``python -m wasabiwick._capacity PAGE``: runs all probes and rewrites the page's tables."""

import pathlib
import sys
import time

from .._logging import configure
from . import (
    facts,  # noqa: F401 - importing a module of probes registers them
    page,
    process,  # noqa: F401
    relay,  # noqa: F401
    shards,  # noqa: F401
    transport,  # noqa: F401
    work,  # noqa: F401
)
from .fit import Line
from .probe import PROBES


def measure() -> dict[str, list[Line]]:
    """Run every probe and return its fitted lines by the probe's name."""
    lines_by_probe = {}
    for name, probe in PROBES.items():
        start_time = time.monotonic()
        lines_by_probe[name] = list(probe())
        print(f"{name}: {time.monotonic() - start_time:.1f} s", flush=True)
    return lines_by_probe


def main(path: pathlib.Path) -> None:
    """Run every probe, rewrite the tables of a page, and print the table of hosts."""
    configure("ERROR")
    lines_by_probe = measure()
    text = path.read_text(encoding="utf-8")
    path.write_text(page.replace_tables(text, lines_by_probe), encoding="utf-8")
    print("\n".join(page.host_table(lines_by_probe)))


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
