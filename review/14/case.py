"""Requests with bodies that the newest configuration allows, refused by an older bound."""

import asyncio
import time

import aiohttp
from aiohttp import web

from review import lab3
from tests import _platform
from tests._platform import TOPIC_PREFIX, Endpoint

OLD_LIMIT, NEW_LIMIT = 4 * 1024 * 1024, 6 * 1024 * 1024
CONFIG_APPLY_S = 2.0
REQUESTS = 60
EVERY_S = 0.3
DEADLINE_S = 1.5
LATER = (408, 421, 429, 503)


class Server(Endpoint):
    """A server of the plain service that answers with the size of what it got."""

    def __init__(self, name: str, record: lab3.Record) -> None:
        super().__init__(name)
        self.born = int(time.time() * 1000)
        self._record = record

    async def _request(self, req: web.Request) -> web.StreamResponse:
        misdirected = self._misdirected(req)
        if misdirected:
            return misdirected
        request = req.headers["X-Wasabiwick-Attempt-Id"]
        size = len(await req.read())
        self._record.line(f"run {request} at {self.name}: {size} bytes")
        headers = {"X-Wasabiwick-Attempt-Id": request, "X-Wasabiwick-Response-Seal": "seal"}
        return web.Response(headers=headers, text=str(size))


async def main() -> int:
    """Play the case, and return the exit code."""
    record = lab3.Record(__file__)
    servers = [Server(f"s{number}", record) for number in range(3)]
    config = _platform.config()
    async with lab3.site(record, servers, config=config) as (store, _, hosts):
        async with aiohttp.ClientSession() as session:
            for host in hosts:
                await lab3.until(lambda host=host: _is_served(session, host, record), 20.0)
            await asyncio.sleep(3.0)
            limit = OLD_LIMIT
            if lab3.TROUBLE:
                limit = NEW_LIMIT
                limits = {**config["limits"], "max-body-bytes": limit}
                newer = {**config, "version": config["version"] + 3, "limits": limits}
                await store.put(TOPIC_PREFIX + "op", "config", newer)
            record.line(f"max-body-bytes is {limit}, acknowledged")
            await asyncio.sleep(CONFIG_APPLY_S + 1.0)
            calls = []
            for number in range(REQUESTS):
                host = hosts[number % len(hosts)]
                call = _send(session, host, limit - 1024 * 1024, record)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(EVERY_S)
            statuses = await asyncio.gather(*calls)
    denied = [one for one in statuses if 300 <= one < 500 and one not in LATER]
    served = sum(one == 200 for one in statuses)
    most = 5 + len(statuses) / 500
    record.verdict(
        f"DENIED: {len(denied)} of {len(statuses)} requests ended with {sorted(set(denied))} "
        f"(more than {most:.1f} break the rule); {served} were served"
    )
    if not served and not denied:
        return lab3.NOT_RUN
    return lab3.BROKEN if len(denied) > most else lab3.HELD


async def _is_served(session: aiohttp.ClientSession, host: lab3.Host, record: lab3.Record) -> bool:
    return await _send(session, host, 100, record) == 200


async def _send(
    session: aiohttp.ClientSession, host: lab3.Host, size: int, record: lab3.Record
) -> int:
    """Send a request with a body of some bytes; return the status, 0 for no answer."""
    request = lab3.new_id()
    headers = {
        "Host": "example",
        "X-Wasabiwick-Attempt-Id": request,
        "X-Wasabiwick-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Connection": "close",
    }
    status = 0
    record.line(f"send {request} to {host.name}: {size} bytes")
    try:
        async with asyncio.timeout(DEADLINE_S):
            url = f"http://{host.callers}/unsafe/x"
            async with session.post(url, data=bytes(size), headers=headers) as resp:
                status = resp.status
                await resp.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        record.line(f"end {request} {exc!r}")
    record.line(f"answer {request} status {status}")
    return status


lab3.run(main)
