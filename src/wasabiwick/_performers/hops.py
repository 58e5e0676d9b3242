"""Performs effects of hops: requests through other hosts, their list, and checks of reach."""

import asyncio

from .._effects_forwarding import AnnounceHost
from .._effects_hops import CheckReach, PassOn, ReadHosts
from .._errors import Failure
from .._events import HostFound, ReachChecked
from .._hops import HopTarget
from .._hosts_codec import HostRecord
from .._logging import log_event
from .._runner import Runner, performs
from ._tries import Try, task_name

REGISTER_RETRY_S = 2.0  # Delay before this host tries again to register, or to list other hosts.


@performs(PassOn)
def pass_on(runner: Runner, effect: PassOn) -> None:
    """Pass a request to another host."""
    if effect.call_id in runner.forwarded_calls:
        runner.spawn(task_name("send", effect.call_id), Try(runner, effect).run())


@performs(CheckReach)
def check_reach(runner: Runner, effect: CheckReach) -> None:
    """Check whether any of some endpoints accepts a connection."""
    runner.spawn(f"reach/{effect.service}", _check_reach(runner, effect))


async def _check_reach(runner: Runner, effect: CheckReach) -> None:
    accepted = await accepting(runner, effect.endpoints)
    runner.post(ReachChecked(at=runner.now(), service=effect.service, accepted=accepted))


async def accepting(runner: Runner, endpoints: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    """Return the names of those endpoints, given by name and address, that accept connections."""
    accepts = runner.ports.endpoints.accepts
    found = await asyncio.gather(*(accepts(*one) for one in endpoints))
    return tuple(name for (name, _), accepted in zip(endpoints, found, strict=True) if accepted)


@performs(AnnounceHost)
def announce(runner: Runner, effect: AnnounceHost) -> None:
    """Register this host, then read the list of hosts; each step is retried until it succeeds."""
    runner.spawn("announce", _announce(runner))


async def _announce(runner: Runner) -> None:
    ports = runner.ports
    record = HostRecord(
        address=ports.datagrams.address,
        zone=runner.state.zone,
        hops=ports.hops.address,
        incarnation=runner.owner.incarnation,
        key=ports.hops.key,
    )
    while failure := await ports.register.announce(runner.owner.host, record):
        log_event("host_not_announced", level="WARNING", reason=failure.detail)
        await asyncio.sleep(REGISTER_RETRY_S)
    await _read_hosts(runner)


@performs(ReadHosts)
def read_hosts(runner: Runner, effect: ReadHosts) -> None:
    """Read the list of hosts; retried until it succeeds."""
    runner.spawn("read_hosts", _read_hosts(runner))


async def _read_hosts(runner: Runner) -> None:
    while isinstance(found := await runner.ports.register.hosts(), Failure):
        log_event("hosts_not_read", level="WARNING", reason=found.detail)
        await asyncio.sleep(REGISTER_RETRY_S)
    for host, record in found.items():
        runner.ports.hops.learn(host, record.key)
        hops = HopTarget(address=record.hops, incarnation=record.incarnation)
        runner.post(
            HostFound(
                at=runner.now(),
                host=host,
                address=record.address,
                zone=record.zone,
                hops=hops if record.hops else None,
            )
        )
