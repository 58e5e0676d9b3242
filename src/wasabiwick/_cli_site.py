"""``wasabiwick site``: runs a whole site locally, to try it out by hand."""

import asyncio
import pathlib
import tempfile

import click

from . import _demo


@click.command()
@click.option("--zones", default=1, show_default=True, type=click.IntRange(1, 3))
@click.option("--hosts", default=2, show_default=True, type=click.IntRange(1, 4))
@click.option("--engines", default=2, show_default=True, type=click.IntRange(1, 8))
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Folder for settings, logs and traces; a temporary one by default.",
)
def site(zones: int, hosts: int, engines: int, folder: pathlib.Path | None) -> None:
    """Start a site of local processes and serve until Ctrl-C.

    The platform, the engines and the service are stand-ins; the entry hosts are real. --hosts and
    --engines are numbers per availability zone.
    """
    sizes = {"zones": zones, "hosts": hosts, "engines": engines}
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
        asyncio.run(_demo.serve_site(folder.absolute(), **sizes))
        return
    with tempfile.TemporaryDirectory(prefix="wasabiwick-site-") as name:
        asyncio.run(_demo.serve_site(pathlib.Path(name), **sizes))
