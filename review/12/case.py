"""Sign-ups that have run at a failing server, whose own 503 reaches their callers."""

import asyncio
import random
import time

import aiohttp
from aiohttp import web

from review import lab3
from tests._platform import Endpoint

SIGN_UPS_PER_S = 20.0
TRAFFIC_S = 10.0
GREY_FROM_S, GREY_FOR_S = 2.0, 6.0
GREY_SHARE = 0.45  # Share of its requests that the failing server fails.
DEADLINE_S = 1.5
PROMISES = (408, 421, 429, 503)


class SignUpServer(Endpoint):
    """A server of the plain service: it enters members, and tells so or fails."""

    def __init__(self, name: str, record: lab3.Record, seats: list[tuple[str, str]]) -> None:
        super().__init__(name)
        self.born = int(time.time() * 1000)
        self.is_grey = False
        self._record, self._seats, self._rng = record, seats, random.Random(name)

    async def _request(self, req: web.Request) -> web.StreamResponse:
        misdirected = self._misdirected(req)
        if misdirected:
            return misdirected
        request = req.headers["X-Wasabiwick-Attempt-Id"]
        member = (await req.read()).decode()
        await asyncio.sleep(0.06)
        headers = {
            "X-Wasabiwick-Attempt-Id": request,
            "X-Wasabiwick-Response-Seal": f"seal-{self.name}-{request}",
        }
        self._seats.append((request, member))
        self._record.line(f"run {request} at {self.name}: seat for {member}")
        if self.is_grey and self._rng.random() < GREY_SHARE:
            # It has run, so the answer doesn't bear `X-Wasabiwick-Not-Executed`.
            return web.Response(status=503, headers=headers, text="failed behind the entry")
        return web.Response(headers=headers, text="joined")


async def main() -> int:
    """Play the case, and return the exit code."""
    record = lab3.Record(__file__)
    seats: list[tuple[str, str]] = []
    servers = [SignUpServer(f"s{number}", record, seats) for number in range(3)]
    async with lab3.site(record, servers) as (_, _, hosts), aiohttp.ClientSession() as session:
        for host in hosts:
            await lab3.until(lambda host=host: _is_served(session, host, record), 20.0)
        await asyncio.sleep(2.0)
        seats.clear()
        record.line("traffic begins")
        grey = asyncio.create_task(_turn_grey(servers[0], record)) if lab3.TROUBLE else None
        calls = []
        for number in range(int(SIGN_UPS_PER_S * TRAFFIC_S)):
            call = _sign_up(session, hosts, number, record)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(1 / SIGN_UPS_PER_S)
        answers = [one for found in await asyncio.gather(*calls) for one in found]
        if grey is not None:
            await grey
    run = {request for request, _ in seats}
    members = [member for _, member in seats]
    refused = [request for request, status in answers if status in PROMISES and request in run]
    doubled = {one for one in members if members.count(one) > 1}
    joined = sum(status == 200 for _, status in answers)
    record.verdict(
        f"REFUSED: {len(refused)} of {len(answers)} requests were answered {PROMISES} and have run "
        f"(one breaks the rule); {len(doubled)} members hold two seats; {joined} joined"
    )
    if not joined:
        return lab3.NOT_RUN
    return lab3.BROKEN if refused else lab3.HELD


async def _turn_grey(server: SignUpServer, record: lab3.Record) -> None:
    await asyncio.sleep(GREY_FROM_S)
    record.line(f"{server.name} fails a part of its requests")
    server.is_grey = True
    await asyncio.sleep(GREY_FOR_S)
    record.line(f"{server.name} is sound")
    server.is_grey = False


async def _is_served(session: aiohttp.ClientSession, host: lab3.Host, record: lab3.Record) -> bool:
    return (await _send(session, host, "nobody", record))[1] == 200


async def _sign_up(
    session: aiohttp.ClientSession, hosts: list[lab3.Host], number: int, record: lab3.Record
) -> list[tuple[str, int]]:
    """Sign a member up; after a promise that nothing has run, try once more at the other host."""
    answers = []
    for attempt in range(2):
        host = hosts[(number + attempt) % len(hosts)]
        answers.append(await _send(session, host, f"member-{number}", record))
        if answers[-1][1] not in PROMISES:
            break
        await asyncio.sleep(0.1)
    return answers


async def _send(
    session: aiohttp.ClientSession, host: lab3.Host, member: str, record: lab3.Record
) -> tuple[str, int]:
    """Send a sign-up on a new connection; return its id and the status, 0 for no answer."""
    request = lab3.new_id()
    headers = {
        "Host": "example",
        "X-Wasabiwick-Attempt-Id": request,
        "X-Wasabiwick-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Connection": "close",
    }
    status = 0
    record.line(f"send {request} to {host.name}: {member}")
    try:
        async with asyncio.timeout(DEADLINE_S):
            url = f"http://{host.callers}/unsafe/x"
            async with session.post(url, data=member.encode(), headers=headers) as resp:
                await resp.read()
                status = resp.status
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        record.line(f"end {request} {exc!r}")
    record.line(f"answer {request} status {status}")
    return request, status


lab3.run(main)
