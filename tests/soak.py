"""Runs a soak: ``python -m tests.soak --seed N --seconds S --hosts H [--load X] [--build SRC]``.

With ``--organisations`` the operator names organisations.

Exits with 1 if a rule was broken.
"""

import argparse
import asyncio
import pathlib
import sys

from ._soak import ROOT, Soak


def main() -> int:
    """Run a soak as the command line says."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument(
        "--load", type=float, default=0.4, help="as a multiple of the endpoints' capacity"
    )
    parser.add_argument("--build", type=pathlib.Path, default=ROOT, help="source tree of the hosts")
    parser.add_argument("--organisations", action="store_true", help="callers need keys")
    args = parser.parse_args()
    soak = Soak(
        seed=args.seed,
        hosts=args.hosts,
        load=args.load,
        source=args.build.resolve(),
        show=_show,
        has_organisations=args.organisations,
    )
    held = asyncio.run(soak.run(args.seconds))
    for line in soak.summary():
        _show(line)
    return 0 if held else 1


def _show(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
