"""Traffic of a soak: a stream of requests, and connections that wait for a host to stop."""

import asyncio
import itertools
import random
import typing

from ._soak_answers import SLOW_WORK_MS, StreamPlan
from ._soak_callers import Connection, Plan, make_plan
from ._soak_hosts import Host, pick
from ._soak_kinds import PLAIN, STREAMS, Kind
from ._soak_organisations import Organisations
from ._soak_record import Attempt, Record, now

# Requests a second that the endpoints of a site can serve; see `_soak_site`.
PLAIN_CAPACITY = 36.0
STREAM_CAPACITY = 3.2
CONNECTIONS_PER_HOST = 10  # Idle connections that the stream of requests keeps to each host.
NEW_SHARE = 0.1  # Requests that are sent on a new connection though there is an idle one.
WAITERS_PER_HOST = 40
REFRESH_S = 8.0  # Waiting connections are used so often; hosts keep idle ones longer.
CHECK_S = 0.02
# When waiting connections send after SIGTERM: share, seconds, and the share of streams.
MOMENTS = (
    (0.25, (0.0, 8.0), 0.4),
    (0.25, (2.85, 3.35), 0.8),
    (0.20, (3.35, 6.6), 0.4),
    (0.30, (6.6, 7.7), 0.2),
)
LONG_STREAMS = 2  # Waiting connections of a host that begin a long stream before it stops.
LONG_STREAM = StreamPlan(170, 46, 0, 0)
FLOOD_RATE = 20.0  # Requests a second of the limited organisation while it floods.
FLOOD_S = (4.0, 9.0)
FLOOD_PAUSE_S = (2.0, 6.0)
UPLOADS = 2  # Waiting connections of a host that begin an upload before it stops.
UPLOAD_S = (0.5, 7.0)


class Traffic:
    """Callers of a site.

    Args:
        record: Gets what they see.
        hosts: All hosts.
        seed: Seed of all choices.
        load: Load as a multiple of the endpoints' capacity.
        organisations: Organisations whose keys callers name, or None.
    """

    def __init__(
        self,
        *,
        record: Record,
        hosts: typing.Sequence[Host],
        seed: int,
        load: float,
        organisations: Organisations | None = None,
    ) -> None:
        self._record, self._hosts, self._load = record, hosts, load
        self._organisations = organisations
        self._rng = random.Random(f"traffic {seed}")
        self._zones = sorted({host.zone for host in hosts})
        self._numbers = itertools.count(1)
        self._salt = f"{self._rng.randrange(2**32):08x}"
        self._idle: list[Connection] = []
        self._tasks: set[asyncio.Task] = set()
        self._is_over = False
        self.will_stop: dict[str, float] = {}

    def start(self) -> None:
        """Start to send."""
        self._spawn(self._arrivals(PLAIN, self._load * PLAIN_CAPACITY))
        self._spawn(self._arrivals(STREAMS, self._load * STREAM_CAPACITY))
        if self._organisations is not None:
            self._spawn(self._floods(self._organisations))
        for host in self._hosts:
            for number in range(WAITERS_PER_HOST):
                self._spawn(self._wait_for_stop(host, number))

    async def end(self) -> None:
        """Send nothing any more, and wait for the answers."""
        self._is_over = True
        while self._tasks:
            await asyncio.wait(list(self._tasks), timeout=1.0)
        for conn in self._idle:
            conn.close()

    async def send(self, conn: Connection, plan: Plan) -> Attempt:
        """Send a request on a connection."""
        if self._organisations is not None:
            plan = self._organisations.sign(plan)
        name = f"{self._salt}{next(self._numbers):08x}"
        return await conn.send(self._record, name, plan, self._rng)

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda done: done.cancelled() or done.result())

    async def _arrivals(self, kinds: typing.Sequence[Kind], rate: float) -> None:
        at = now()
        while not self._is_over:
            at += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, at - now()))
            self._spawn(self._arrive(self._rng.choice(kinds)))

    async def _floods(self, organisations: Organisations) -> None:
        """Send far more than the limit of an organisation for some seconds, time and again."""
        while not self._is_over:
            await asyncio.sleep(self._rng.uniform(*FLOOD_PAUSE_S))
            ends = now() + self._rng.uniform(*FLOOD_S)
            while now() < ends and not self._is_over:
                await asyncio.sleep(self._rng.expovariate(FLOOD_RATE))
                self._spawn(self._arrive(self._rng.choice(PLAIN), organisations.limited_key()))

    async def _arrive(self, kind: Kind, key: str | None = None) -> None:
        conn = await self._take()
        if conn is None:
            return
        await self.send(conn, make_plan(self._rng, kind)._replace(key=key))
        self._idle.append(conn)

    async def _take(self) -> Connection | None:
        """Return an idle connection, or a new one."""
        for conn in [one for one in self._idle if not one.is_open]:
            conn.close()
            self._idle.remove(conn)
        wanted = CONNECTIONS_PER_HOST * len(self._hosts)
        if len(self._idle) < wanted / 2 or self._rng.random() < NEW_SHARE:
            host = pick(self._hosts, self._rng.choice(self._zones), self._rng.randrange(2**16))
            return await Connection.open(host)
        return self._idle.pop(self._rng.randrange(len(self._idle)))

    async def _wait_for_stop(self, host: Host, number: int) -> None:
        """Keep a connection to a host, and use it once it has got SIGTERM, until it is closed."""
        while not self._is_over:
            await asyncio.sleep(self._rng.uniform(0.05, 0.5))
            if not host.in_rotation or host.life.term is not None:
                continue
            conn = await Connection.open(host)
            if conn is None:
                continue
            await self._use(host, conn, number)
            conn.close()

    async def _use(self, host: Host, conn: Connection, number: int) -> None:
        life = conn.life
        quick = Plan(PLAIN[1], 15)
        await self.send(conn, quick)
        refresh = now() + self._rng.uniform(0.5, 1.0) * REFRESH_S
        early = self._early_plan(number)
        while conn.is_open and life.term is None and not self._is_over:
            await asyncio.sleep(CHECK_S)
            stops = self.will_stop.get(host.name)
            if stops is not None and early is not None and now() > stops - 0.2 * (number + 1):
                await self.send(conn, early)
                early = None
            elif now() > refresh:
                await self.send(conn, quick)
                refresh = now() + REFRESH_S
        while conn.is_open and life.term is not None and not self._is_over:
            after, stream_share = self._moment()
            at = life.term + after
            if at < now():
                await asyncio.sleep(CHECK_S)
                continue
            await self._until(at, conn)
            if conn.is_open and life.ended is None:
                await self.send(conn, self._late_plan(stream_share))

    async def _until(self, at: float, conn: Connection) -> None:
        """Wait until a time, or until the connection ends."""
        while conn.is_open and conn.life.ended is None:
            left = at - now()
            if left <= 0:
                return
            await asyncio.sleep(min(CHECK_S, left))

    def _early_plan(self, number: int) -> Plan | None:
        """Return what a waiting connection sends just before SIGTERM, or None."""
        stream = Plan(self._rng.choice(STREAMS), LONG_STREAM, 1020)
        if number < LONG_STREAMS:
            return stream
        if number < LONG_STREAMS + UPLOADS:
            short = stream._replace(answer=StreamPlan(3, 40, 0, 0), hint=36)
            return short._replace(upload_s=self._rng.uniform(*UPLOAD_S))
        return None

    def _moment(self) -> tuple[float, float]:
        """Return seconds after SIGTERM, and the share of streams among what is sent then."""
        (moment,) = self._rng.choices(MOMENTS, [share for share, _, _ in MOMENTS])
        _, bounds, stream_share = moment
        return self._rng.uniform(*bounds), stream_share

    def _late_plan(self, stream_share: float) -> Plan:
        is_stream = self._rng.random() < stream_share
        plan = make_plan(self._rng, self._rng.choice(STREAMS if is_stream else PLAIN))
        if not is_stream and self._rng.random() < 0.5:
            plan = plan._replace(answer=self._rng.randint(*SLOW_WORK_MS))
        return plan
