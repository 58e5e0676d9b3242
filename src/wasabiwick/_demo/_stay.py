"""Local site for manual use, which serves until it is stopped."""

import asyncio
import pathlib
import signal

import aiohttp
import click

from .._status import ENTRY
from ._processes import POLL_INTERVAL_S, Processes
from ._run import Balancer
from ._site import API_KEY, MODEL, SERVICE, Site

LISTED_TIMEOUT_S = 10.0

_HINTS = """\
{hosts} entry hosts and {engines} engines serve model {model} and service {service}.
Logs and traces are in {folder}.

  export WASABIWICK={url}
  export WASABIWICK_HOSTS={host_list}
  export WASABIWICK_KEY={key}

Stop with Ctrl-C."""


async def serve_site(folder: pathlib.Path, *, zones: int, hosts: int, engines: int) -> None:
    """Start a site, print how to call it, and serve until SIGINT or SIGTERM.

    Args:
        folder: Folder for settings, logs and traces.
        zones: Number of availability zones.
        hosts: Entry hosts in each availability zone.
        engines: Engines in each availability zone.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    processes = Processes(folder=folder)
    site = Site(processes=processes, folder=folder, zones=zones, hosts=hosts, engines=engines)
    try:
        async with aiohttp.ClientSession() as session:
            await site.start(session)
            await Balancer(session=session, hosts=site.hosts).wait_until_all_ready()
            await _wait_until_listed(site, session)
        click.echo(_hints(site, folder))
        await stopped.wait()
    finally:
        await processes.close()


async def _wait_until_listed(site: Site, session: aiohttp.ClientSession) -> None:
    """Wait until the host list, which lags, shows all entry hosts."""
    async with asyncio.timeout(LISTED_TIMEOUT_S):
        while True:
            async with session.get(f"{site.host_list.address}/hosts") as resp:
                entries = await resp.json()
            if sum(entry["kind"] == ENTRY for entry in entries) == len(site.hosts):
                return
            await asyncio.sleep(POLL_INTERVAL_S)


def _hints(site: Site, folder: pathlib.Path) -> str:
    return _HINTS.format(
        hosts=len(site.hosts),
        engines=len(site.engines),
        model=MODEL,
        service=SERVICE,
        folder=folder,
        url=site.hosts[0].fields["callers"],
        host_list=site.host_list.address,
        key=API_KEY,
    )
