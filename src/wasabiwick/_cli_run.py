"""``wasabiwick run``: the entry host daemon."""

import sys

import click
import uvloop

from ._cli_check import EXIT_FAULTS
from ._daemon import serve
from ._logging import configure, log_event, log_exception
from ._settings_file import load_settings

EXIT_FAILED = 1


@click.command()
@click.option("--settings", "path", required=True, type=click.Path(exists=True, dir_okay=False))
@click.option("--log-level", default="INFO", show_default=True)
def run(path: str, log_level: str) -> None:
    """Run an entry host until SIGTERM, then shut down gracefully."""
    configure(log_level)
    cfg = load_settings(path)
    if isinstance(cfg, list):
        for fault in cfg:
            click.echo(fault.located(path), err=True)
        sys.exit(EXIT_FAULTS)
    try:
        uvloop.run(serve(cfg))
    except OSError as exc:
        # An address in use, or a file that can't be opened; nothing was served.
        log_event("start_failed", level="ERROR", error=str(exc))
        sys.exit(EXIT_FAILED)
    except Exception as exc:
        log_exception("crashed", exc)
        sys.exit(EXIT_FAILED)
