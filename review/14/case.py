"""Streams of a release that was taken back while the store could not be told of it."""

import asyncio
import contextlib
import os

import aiohttp

from review import lab3
from tests import _platform
from tests._platform import TOPIC_PREFIX

PARTS = os.environ.get("PARTS", "store kill").split() if lab3.TROUBLE else []
# Topics of the system's own, each in its one partition.
DOWN = frozenset(TOPIC_PREFIX + name for name in ("streams", "streams-spare"))
HOSTS = 3
OUTAGE_S = 7.5
RELEASE_AT_S, STREAMS_AT_S, TAKEN_BACK_AT_S, KILL_AT_S = 0.5, 4.2, 5.0, 6.5
LINGER_S = 2.5  # `drain-ms` and a little longer, for which an engine that leaves serves on.
DOWN_S = 0.8
STREAMS = 36
EVENTS, INTERVAL_S = 80, 0.1
RETRIES = 3  # As on the users' day `rejoined`.
MOST_JOINED = 2  # The rule: more than two streams.


async def main() -> int:
    """Play the case, and return the exit code."""
    record = lab3.Record(__file__)
    engines = [
        lab3.VersionedEngine(name, stage, record)
        for name, stage in (("p0", "prefill"), ("d0", "decode"), ("d1", "decode"))
    ]
    new = [lab3.VersionedEngine(name, "decode", record) for name in ("d2", "d3")]
    for one in (*engines, *new):
        one.events, one.event_interval = EVENTS, INTERVAL_S
    for one in new:
        one.version = "v2"
    store = lab3.PartlyDownStore()
    async with contextlib.AsyncExitStack() as stack:
        site = lab3.site(record, engines, hosts=HOSTS, config=_config(), store=store)
        _, servers, hosts = await stack.enter_async_context(site)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fronts = [lab3.Front(host) for host in hosts]
        for front in fronts:
            await front.open()
            stack.push_async_callback(front.close)
            await lab3.until(lambda front=front: _is_served(session, front, record), 25.0)
        await asyncio.sleep(3.0)
        disruption = asyncio.create_task(_disrupt(record, store, servers, new, fronts))
        await asyncio.sleep(STREAMS_AT_S)
        callers = [lab3.Caller(session, record) for _ in range(STREAMS)]
        calls = []
        for number, caller in enumerate(callers):
            calls.append(asyncio.create_task(_call(caller, fronts, number)))
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)
        await disruption
        for one in new:
            await servers[one.name].close()
    began = [one.versions[0] for one in callers if one.versions]
    joined = [one for one in callers if len(one.versions) > 1]
    taken_up = [one for one in callers if one.taken_up_at is not None]
    record.verdict(
        f"{began.count('v1')} streams began at v1, {began.count('v2')} at v2; {len(taken_up)} were "
        f"taken up, {sum(one.goes_on for one in taken_up)} went on"
    )
    record.verdict(
        f"ORDER: {len(joined)} of {len(callers)} streams hold events of two versions "
        f"(more than {MOST_JOINED} break the rule)"
    )
    if not began:
        return lab3.NOT_RUN
    return lab3.BROKEN if len(joined) > MOST_JOINED else lab3.HELD


def _config() -> dict[str, object]:
    config = _platform.config()
    for route in config["routes"]:
        route["timeout-ms"] = 14_000 if route["type"] == "stream" else 800
    return config


async def _is_served(
    session: aiohttp.ClientSession, front: lab3.Front, record: lab3.Record
) -> bool:
    found = await lab3.call_stream(session, front.host, record, deadline_s=1.0)
    return found.status == 200 and bool(found.events)


async def _call(caller: lab3.Caller, fronts: list[lab3.Front], number: int) -> None:
    await caller.ask(fronts[number % HOSTS])
    for retry in range(1, RETRIES + 1):
        if caller.is_whole or not caller.events:
            return
        await caller.take_up(fronts[(number + retry) % HOSTS])
        await asyncio.sleep(caller.retry_after)


async def _disrupt(
    record: lab3.Record,
    store: lab3.PartlyDownStore,
    servers: dict[str, lab3.Server],
    new: list[lab3.VersionedEngine],
    fronts: list[lab3.Front],
) -> None:
    """Play the outage, the release that is taken back, and the loss of power."""
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def until(at: float) -> None:
        await asyncio.sleep(max(0.0, began + at - loop.time()))

    if "store" in PARTS:
        record.line("a part of the store is down")
        store.down = DOWN
    back = asyncio.create_task(_come_back(record, store))
    await until(RELEASE_AT_S)
    for one in new:
        server = servers[one.name] = lab3.Server(one, store, record)
        await server.start()
    record.line("engines of v2 have come")
    await until(TAKEN_BACK_AT_S)
    record.line("the release is taken back")
    for one in new:
        await servers[one.name].leave(LINGER_S)
    await until(KILL_AT_S)
    if "kill" in PARTS:
        record.line("all hosts lose power")
        await asyncio.gather(*(front.power_off() for front in fronts))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(front.power_on() for front in fronts))
        record.line("all hosts are back")
    await back


async def _come_back(record: lab3.Record, store: lab3.PartlyDownStore) -> None:
    await asyncio.sleep(OUTAGE_S)
    store.down = frozenset()
    record.line("the store is whole")


lab3.run(main)
