"""A part of prompts that ends engines, far behind the first part of long prompts."""

import asyncio
import os
import time

import aiohttp
from aiohttp import web

from review import lab3
from tests._platform import Endpoint

PARTS = int(os.environ.get("PARTS", "20"))  # Parts of each prompt; the last is its own.
DEADLY_AT = PARTS - 2  # Number of the part that may be the deadly one.
CONTACT_S = 3.0
SOUND_PER_S = 8.0
DEADLY_EVERY_S = 0.8
DECODE_ENGINES = 2
CALM_S, TROUBLE_S = 6.0, 34.0
BACK_AFTER_S = 2.5  # "The engine is back after some seconds."
EVENTS, INTERVAL_S = 12, 0.1
MOST_AFTER_FIFTH = 3  # The rule: more than three requests.
FEWEST = 20  # LOST is judged by 20 or more of each.


def prompt(request: str, *, is_deadly: bool) -> str:
    """Return the parts of a prompt; all but the last are those of all prompts."""
    names = [f"5c{number:06x}" for number in range(PARTS - 1)]
    if is_deadly:
        names[DEADLY_AT] = "dead0000"
    return ",".join([*(f"{name}:50" for name in names), f"{request}:50"])


class DeadlyEngine(Endpoint):
    """A model engine that ends once it begins to write an answer on the deadly part."""

    def __init__(self, name: str, stage: str, record: lab3.Record, crashes: list[float]) -> None:
        super().__init__(name, stage)
        self.born = int(time.time() * 1000)
        self.server: lab3.Server | None = None
        self.reached: list[float] = []
        self._record, self._crashes = record, crashes
        self._tasks: set[asyncio.Task] = set()

    async def _request(self, req: web.Request) -> web.StreamResponse:
        if "dead0000:" in req.headers.get("X-Wasabiwick-Prefix-Hash", ""):
            self.reached.append(time.monotonic())
            self._record.line(f"deadly {req.headers['X-Wasabiwick-Attempt-Id']} at {self.name}")
        return await super()._request(req)

    async def _stream(self, req: web.Request, seal: dict[str, str]) -> web.StreamResponse:
        resp = web.StreamResponse(headers={**seal, "Content-Type": "text/event-stream"})
        await resp.prepare(req)
        if "dead0000:" in req.headers.get("X-Wasabiwick-Prefix-Hash", ""):
            if not self.has_ended:
                self.has_ended = True
                self._crashes.append(time.monotonic())
                task = asyncio.create_task(self._restart())
                self._tasks.add(task)
            await asyncio.sleep(60.0)
        for number in range(int(req.headers.get("Last-Event-Id", 0)) + 1, EVENTS + 1):
            await resp.write(b"id: %d\ndata: v1\n\n" % number)
            await asyncio.sleep(INTERVAL_S)
        return resp

    async def _restart(self) -> None:
        await self.server.crash()
        await asyncio.sleep(BACK_AFTER_S)
        self.born = int(time.time() * 1000)
        self.has_ended = False
        await self.server.start()
        self._record.line(f"{self.name} is back")


class Load:
    """Callers, and what their first tries got."""

    def __init__(
        self, session: aiohttp.ClientSession, hosts: list[lab3.Host], record: lab3.Record
    ) -> None:
        self._session, self._hosts, self._record = session, hosts, record
        self.sound: list[tuple[float, bool]] = []
        self._calls: list[asyncio.Task] = []

    async def run(self, seconds: float, *, every: float, is_deadly: bool) -> None:
        """Send requests at an interval."""
        number = 0
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            host = self._hosts[number % len(self._hosts)]
            call = asyncio.create_task(self._call(host, is_deadly=is_deadly))
            self._calls.append(call)
            number += 1
            await asyncio.sleep(every)

    async def _call(self, host: lab3.Host, *, is_deadly: bool) -> None:
        sent = time.monotonic()
        request = lab3.new_id()
        found = await lab3.call_stream(
            self._session,
            host,
            self._record,
            request=request,
            prefix=prompt(request, is_deadly=is_deadly),
        )
        if not is_deadly:
            self.sound.append((sent, found.status == 200 and bool(found.events)))

    async def end(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._calls)


async def main() -> int:
    """Play the case, and return the exit code."""
    record = lab3.Record(__file__)
    crashes: list[float] = []
    stages = [("p0", "prefill"), *((f"d{number}", "decode") for number in range(DECODE_ENGINES))]
    engines = [DeadlyEngine(name, stage, record, crashes) for name, stage in stages]
    async with (
        lab3.site(record, engines) as (_, servers, hosts),
        aiohttp.ClientSession() as session,
    ):
        for one in engines:
            one.server = servers[one.name]
        for host in hosts:
            await lab3.until(lambda host=host: lab3.is_served(session, host, record), 20.0)
        await asyncio.sleep(2.0)
        load = Load(session, hosts, record)
        sound = asyncio.create_task(
            load.run(CALM_S + TROUBLE_S, every=1 / SOUND_PER_S, is_deadly=False)
        )
        await asyncio.sleep(CALM_S)
        trouble_at = time.monotonic()
        if lab3.TROUBLE:
            await load.run(TROUBLE_S, every=DEADLY_EVERY_S, is_deadly=True)
        ended_at = time.monotonic()
        await sound
        await load.end()
    return judge(record, load.sound, crashes, engines, trouble_at, ended_at)


def judge(
    record: lab3.Record,
    sound: list[tuple[float, bool]],
    crashes: list[float],
    engines: list[DeadlyEngine],
    trouble_at: float,
    ended_at: float,
) -> int:
    """Check BUDGET and LOST, and return the exit code."""
    reached = [at for one in engines for at in one.reached]
    calm = [begun for sent, begun in sound if sent < trouble_at]
    if not any(calm):
        record.verdict("no stream was served in the calm")
        return lab3.NOT_RUN
    fifth = crashes[4] if len(crashes) > 4 else None
    late = [at for at in reached if fifth is not None and at > fifth + CONTACT_S]
    last = fifth or (crashes[-1] if crashes else None)
    judged = [begun for sent, begun in sound if last and last + 2 * CONTACT_S <= sent < ended_at]
    calm_share = sum(calm) / len(calm)
    share = sum(judged) / len(judged) if judged else None
    is_lost = share is not None and min(len(calm), len(judged)) >= FEWEST
    is_lost = is_lost and share < calm_share / 2
    record.verdict(
        f"{len(crashes)} crashes; BUDGET: {len(late)} requests with the part reached engines later "
        f"than contact-ms after the fifth (more than {MOST_AFTER_FIFTH} break the rule)"
    )
    record.verdict(
        f"LOST: {sum(judged)} of {len(judged)} sound requests began from 2 x contact-ms after it, "
        f"{sum(calm)} of {len(calm)} in the calm: {'broken' if is_lost else 'held'}"
    )
    return lab3.BROKEN if is_lost or len(late) > MOST_AFTER_FIFTH else lab3.HELD


lab3.run(main)
