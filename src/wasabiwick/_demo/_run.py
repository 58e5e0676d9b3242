"""Demo run: starts a site, sends calls, kills one host, drains another, and prints the checks."""

import asyncio
import pathlib
import random
import signal
import tempfile
import time

import aiohttp
import click

from .._load import Caller, Tally
from .._load._caller import open_session
from ._processes import Process, Processes
from ._site import API_KEY, Site
from ._table import Table
from ._traffic import Traffic

SEED = 11
CALLS_TIMEOUT_S = 35.0  # Time in which all calls together have to be answered.
READY_TIMEOUT_S = 15.0
LIST_DELAY_S = 1.2  # Time in which ready hosts learn of each other from the host list.
BALANCER_INTERVAL_S = 0.2  # Interval between the load balancer's readiness checks.
SETTLE_TIMEOUT_S = 6.0  # Time that engines have to free all slots after the last call.
DRAIN_TIMEOUT_S = 20.0
KILL_AT_SHARE = 0.3  # One host is killed when this share of all calls has started.
DRAIN_AT_SHARE = 0.55  # Another host is drained when this share of all calls has started.


class Balancer:
    """Load balancer; ``offered`` lists the addresses of the hosts that report being ready.

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
        """Check all hosts periodically."""
        while True:
            await self._check_all()
            await asyncio.sleep(BALANCER_INTERVAL_S)

    async def _check_all(self) -> None:
        """Check the readiness of all hosts once."""
        ready = await asyncio.gather(
            *(self._is_ready(one.fields["callers"]) for one in self._hosts)
        )
        self.offered[:] = [
            one.fields["callers"]
            for one, is_ready in zip(self._hosts, ready, strict=True)
            if is_ready
        ]

    async def wait_until_all_ready(self) -> None:
        """Wait until every host is ready.

        Raises:
            RuntimeError: If that takes longer than `READY_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._check_all()
                while len(self.offered) < len(self._hosts):
                    await asyncio.sleep(BALANCER_INTERVAL_S)
                    await self._check_all()
        except TimeoutError:
            raise RuntimeError(f"only {len(self.offered)} hosts became ready in time") from None

    async def _is_ready(self, url: str) -> bool:
        try:
            async with asyncio.timeout(1.0), self._session.get(f"{url}/readyz") as resp:
                return resp.ok
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


async def run(calls: int) -> bool:
    """Run the demo, and print its counts and checks.

    Args:
        calls: Number of calls to send.

    Returns:
        Whether all checks passed.
    """
    with tempfile.TemporaryDirectory(prefix="wasabiwick-demo-") as name:
        folder = pathlib.Path(name)
        processes = Processes(folder=folder)
        try:
            async with open_session() as session:
                return await _run(calls, Site(processes=processes, folder=folder), session)
        finally:
            await processes.close()


async def _run(calls: int, site: Site, session: aiohttp.ClientSession) -> bool:
    began = time.monotonic()
    await site.start(session)
    balancer = Balancer(session=session, hosts=site.hosts)
    await balancer.wait_until_all_ready()
    await asyncio.sleep(LIST_DELAY_S)
    click.echo(
        f"started {len(site.hosts)} entry hosts in 3 availability zones, "
        f"{len(site.engines)} engines, 1 plain service and the platform's stand-ins "
        f"in {time.monotonic() - began:.1f} s"
    )
    balancing = asyncio.create_task(balancer.run())
    rng = random.Random(SEED)
    caller = Caller(
        session=session,
        addresses=balancer.offered,
        key=API_KEY,
        tally=Tally(),
        rng=rng,
        deadline=time.monotonic() + CALLS_TIMEOUT_S,
    )
    traffic = Traffic(caller=caller, rng=rng, total=calls)
    traffic.names = {one.fields["callers"]: one.name for one in site.hosts}
    sent = time.monotonic()
    sending = asyncio.create_task(traffic.run())
    await _wait_for_started(traffic, sending, int(calls * KILL_AT_SHARE))
    await _kill(site, session)
    await _wait_for_started(traffic, sending, int(calls * DRAIN_AT_SHARE))
    drained = await _drain(site, traffic)
    await sending
    seconds = time.monotonic() - sent
    balancing.cancel()
    table = Table(traffic=traffic, tally=caller.tally, seconds=seconds, drain_status=drained)
    await table.gather(site, session, SETTLE_TIMEOUT_S)
    click.echo(table.text())
    click.echo(f"took {time.monotonic() - began:.1f} s in all")
    return table.holds()


async def _wait_for_started(traffic: Traffic, sending: asyncio.Task, started: int) -> None:
    reached = asyncio.create_task(traffic.wait_until_started(started))
    await asyncio.wait([reached, sending], return_when=asyncio.FIRST_COMPLETED)
    reached.cancel()


async def _kill(site: Site, session: aiohttp.ClientSession) -> None:
    killed_host = site.hosts[1]
    killed_host.send(signal.SIGKILL)
    await site.control(session, site.host_list, gone=[killed_host.name])
    click.echo(f"killed {killed_host.name}")


async def _drain(site: Site, traffic: Traffic) -> int | None:
    """Drain a host, and return its exit status, or None if it does not exit in time."""
    drained_host = site.hosts[2]
    traffic.draining = drained_host.fields["callers"]
    drained_host.send(signal.SIGTERM)
    click.echo(f"draining {drained_host.name}")
    try:
        return await asyncio.wait_for(drained_host.proc.wait(), DRAIN_TIMEOUT_S)
    except TimeoutError:
        return None
