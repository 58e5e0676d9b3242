"""The course of a demo: start, calls, one host killed, one drained, and the table."""

import asyncio
import pathlib
import random
import signal
import tempfile
import time

import aiohttp
import click

from .._load import Caller, Tally
from .._load._caller import session_of
from ._processes import Process, Processes
from ._site import API_KEY, Site
from ._table import Table
from ._traffic import Traffic

SEED = 11
CALLS_TIMEOUT = 35.0  # Seconds for all calls.
READY_TIMEOUT = 15.0  # Seconds.
LIST_DELAY = 1.2  # Seconds until hosts that are ready know all others from the host list.
BALANCER_INTERVAL = 0.2  # Seconds between looks at the hosts' readiness.
SETTLE_TIMEOUT = 6.0  # Seconds until engines have to have freed all slots.
DRAIN_TIMEOUT = 20.0  # Seconds.
KILL_AT = 0.3  # Share of calls started before a host is killed.
DRAIN_AT = 0.55


class Balancer:
    """Offers the hosts that say they are ready.

    Args:
        session: Client session.
        hosts: All entry hosts.
    """

    __slots__ = ("offered", "_session", "_hosts")

    def __init__(self, *, session: aiohttp.ClientSession, hosts: list[Process]) -> None:
        self.offered: list[str] = []
        self._session = session
        self._hosts = hosts

    async def run(self) -> None:
        """Look at all hosts again and again."""
        while True:
            await self.look()
            await asyncio.sleep(BALANCER_INTERVAL)

    async def look(self) -> None:
        """Look at all hosts once."""
        ready = await asyncio.gather(*(self._ready(one.fields["callers"]) for one in self._hosts))
        self.offered[:] = [
            one.fields["callers"]
            for one, is_ready in zip(self._hosts, ready, strict=True)
            if is_ready
        ]

    async def all_ready(self) -> None:
        """Wait until every host is ready.

        Raises:
            RuntimeError: If that takes too long.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                await self.look()
                while len(self.offered) < len(self._hosts):
                    await asyncio.sleep(BALANCER_INTERVAL)
                    await self.look()
        except TimeoutError:
            raise RuntimeError(f"only {len(self.offered)} hosts are ready") from None

    async def _ready(self, url: str) -> bool:
        try:
            async with asyncio.timeout(1.0), self._session.get(f"{url}/readyz") as resp:
                return resp.ok
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


async def run(calls: int) -> bool:
    """Run the demo and print what happened.

    Args:
        calls: Calls to send.

    Returns:
        Whether everything held that has to hold.
    """
    with tempfile.TemporaryDirectory(prefix="wasabiwick-demo-") as name:
        folder = pathlib.Path(name)
        processes = Processes(folder=folder)
        try:
            async with session_of() as session:
                return await _run(calls, Site(processes=processes, folder=folder), session)
        finally:
            await processes.close()


async def _run(calls: int, site: Site, session: aiohttp.ClientSession) -> bool:
    began = time.monotonic()
    await site.start(session)
    balancer = Balancer(session=session, hosts=site.hosts)
    await balancer.all_ready()
    await asyncio.sleep(LIST_DELAY)
    click.echo(
        f"started {len(site.hosts)} entry hosts in 3 availability zones, "
        f"{len(site.engines)} engines, 1 plain service and the platform's stand-ins "
        f"in {time.monotonic() - began:.1f} s"
    )
    looking = asyncio.create_task(balancer.run())
    rng = random.Random(SEED)
    caller = Caller(
        session=session,
        addresses=balancer.offered,
        key=API_KEY,
        tally=Tally(),
        rng=rng,
        deadline=time.monotonic() + CALLS_TIMEOUT,
    )
    traffic = Traffic(caller=caller, rng=rng, total=calls)
    traffic.names = {one.fields["callers"]: one.name for one in site.hosts}
    sent = time.monotonic()
    sending = asyncio.create_task(traffic.run())
    await _reach(traffic, sending, int(calls * KILL_AT))
    await _kill(site, session)
    await _reach(traffic, sending, int(calls * DRAIN_AT))
    drained = await _drain(site, traffic)
    await sending
    seconds = time.monotonic() - sent
    looking.cancel()
    table = Table(traffic=traffic, tally=caller.tally, seconds=seconds, drain_status=drained)
    await table.gather(site, session, SETTLE_TIMEOUT)
    click.echo(table.text())
    click.echo(f"took {time.monotonic() - began:.1f} s in all")
    return table.holds()


async def _reach(traffic: Traffic, sending: asyncio.Task, started: int) -> None:
    reached = asyncio.create_task(traffic.reached(started))
    await asyncio.wait([reached, sending], return_when=asyncio.FIRST_COMPLETED)
    reached.cancel()


async def _kill(site: Site, session: aiohttp.ClientSession) -> None:
    victim = site.hosts[1]
    victim.send(signal.SIGKILL)
    await site.control(session, site.host_list, gone=[victim.name])
    click.echo(f"killed {victim.name}")


async def _drain(site: Site, traffic: Traffic) -> int | None:
    """Ask a host to stop, and return its exit status, or None if it does not end."""
    leaver = site.hosts[2]
    traffic.draining = leaver.fields["callers"]
    leaver.send(signal.SIGTERM)
    click.echo(f"draining {leaver.name}")
    try:
        return await asyncio.wait_for(leaver.proc.wait(), DRAIN_TIMEOUT)
    except TimeoutError:
        return None
