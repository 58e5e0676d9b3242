"""Runs hosts over narrow paths to the store, and prints a line on who served a new route when.

``python -m tests.narrow_store --hosts 24 --zones 3 --rate 400000 --versions 2 --gap 1.5``

Exits with 1 if a host did not serve the last added route.
"""

import argparse
import asyncio
import contextlib
import pathlib
import subprocess
import sys
import typing

from . import _narrow_report
from ._narrow_site import ROOT, NarrowSite, Plan

MAX_HOSTS = 24  # Their processes and paths share one machine.


def main() -> int:
    """Run as the command line says."""
    plan = Plan(**vars(_parser().parse_args()))
    with _sources(plan.builds) as sources:
        site = NarrowSite(plan, sources)
        asyncio.run(site.run())
    build = _git("describe", "--always", "--dirty", "--exclude=*").strip()
    print(_narrow_report.line(plan, site.members, size=site.size, build=build), flush=True)
    return int(any(one.served_after is None for one in site.members))


def _parser() -> argparse.ArgumentParser:
    usual = Plan()
    parser = argparse.ArgumentParser(
        prog="python -m tests.narrow_store",
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    add = parser.add_argument
    add("--hosts", type=int, choices=range(1, MAX_HOSTS + 1), metavar="N", help="hosts")
    add("--zones", type=int, metavar="N", help="zones, which hosts are in by turns")
    add("--routes", type=int, metavar="N", help="routes that the first version adds")
    add("--rate", type=float, metavar="BYTES", help="a second from the store to each host; 0: all")
    add("--readers-rate", type=float, metavar="BYTES", help="to hosts that read for their zone")
    add("--listeners-rate", type=float, metavar="BYTES", help="to the other hosts")
    add("--versions", type=int, metavar="N", help="versions; later ones add a route each")
    add("--gap", type=float, metavar="SECONDS", help="between two versions")
    add("--kill", type=int, metavar="N", help="hosts killed right after the acknowledgement")
    add("--silent", type=float, metavar="SECONDS", help="until open connections fall silent")
    add("--break-after", type=int, metavar="BYTES", help="of each answer, then it is closed")
    add("--restore", action="store_true", help="restore the store before the last version")
    add("--builds", metavar="COMMIT", help="which half of the hosts run")
    add("--seconds", type=float, metavar="SECONDS", help="until hosts are given up")
    add("--seed", type=int, metavar="N", help="seed of all choices")
    parser.set_defaults(**usual._asdict())
    return parser


@contextlib.contextmanager
def _sources(commit: str) -> typing.Iterator[dict[str, pathlib.Path]]:
    """Yield the source trees by commit; that of another commit is checked out beside this one."""
    if not commit:
        yield {"": ROOT}
        return
    folder = ROOT.parent / f"{ROOT.name}-{commit}"
    _git("worktree", "add", "--quiet", "--detach", str(folder), commit)
    try:
        yield {"": ROOT, commit: folder}
    finally:
        _git("worktree", "remove", "--force", str(folder))


def _git(*args: str) -> str:
    return subprocess.run(
        ("git", *args), cwd=ROOT, check=True, stdout=subprocess.PIPE, text=True
    ).stdout


if __name__ == "__main__":
    sys.exit(main())
