"""``wasabiwick run``: the entry host daemon."""

import sys

import click
import uvloop
from loguru import logger

from ._daemon import serve
from ._settings_file import load_settings

LOG_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"

EXIT_FAULTS = 2


@click.command()
@click.option("--settings", "path", required=True, type=click.Path(exists=True, dir_okay=False))
@click.option("--log-level", default="INFO", show_default=True)
def run(path: str, log_level: str) -> None:
    """Run an entry host until SIGTERM, then shut down gracefully."""
    logger.remove()
    logger.add(sys.stdout, format=LOG_FORMAT, level=log_level.upper())
    cfg = load_settings(path)
    if isinstance(cfg, list):
        for fault in cfg:
            click.echo(f"{path}:{fault.line}: {fault.path}: {fault.text}", err=True)
        sys.exit(EXIT_FAULTS)
    uvloop.run(serve(cfg))
