"""Endpoints of a soak: engines for prefill and decode, and servers of the plain service."""

import asyncio
import contextlib
import itertools
import json
import random
import time
import typing

from ._platform import APP, MODEL, Store
from ._soak_answers import event, plain_body, read_stream_plan, read_work
from ._soak_http import BrokenError, Headers, Wire, chunk, message
from ._soak_kinds import KEY_MARK
from ._soak_record import BROKE_OFF, CLOSED_ON, DONE, REFUSED, Record, Run, now

SERVERS = "keyed.servers"
FIRST_EVENT_S = 0.06  # Until the first event, of a prompt whose KV cache is there.
PREFILL_S = 0.09
SELF_PREFILL_S = 0.25
UNFRAMED_SHARE = 0.05  # Answers with neither length nor chunks, which end with their connection.
BREAK_SHARE = 0.01  # Runs that the endpoint breaks off.
LEAVE_S = 2.0  # `drain-ms`, for which an engine that leaves still takes requests.
LEAVE_LIMIT_S = 15.0


class Message(typing.NamedTuple):
    """A request as an endpoint got it."""

    target: str
    headers: Headers
    name: str


class Engine:
    """An engine, or a server of the plain service if ``stage`` is empty.

    Args:
        name: Its identifier.
        stage: ``prefill``, ``decode`` or empty.
        store: The store, which lists it.
        record: Gets what it does.
        slots: How many requests it works on at once.
        queue: How many more wait.
        zone: Its zone.
    """

    def __init__(
        self,
        *,
        name: str,
        stage: str,
        store: Store,
        record: Record,
        slots: int,
        queue: int,
        zone: str,
    ) -> None:
        self.name = name
        self.stage = stage
        self.address = ""
        self._store, self._record = store, record
        self._slots, self._queue, self._zone = slots, queue, zone
        self._running = 0
        self._holds: dict[str, float] = {}
        self._waiting: list[asyncio.Future] = []
        self._numbers = itertools.count(1)
        self._beats = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._rng = random.Random(name)
        self._flows = asyncio.Event()
        self._flows.set()
        self._is_free = asyncio.Event()
        self._is_free.set()
        self._rests_until = 0.0
        self._says_leaving = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen, and enter the list of servers."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        await self._enter("ready")

    async def _enter(self, state: str) -> None:
        entry = {
            "service": MODEL if self.stage else APP,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": next(self._beats),
            "born": self._born,
        }
        if self.stage:
            entry |= {"stage": self.stage, "models": [{"name": "m", "version": 1}]}
        await self._store.put(SERVERS, self.name, entry)

    async def fall_silent(self, seconds: float) -> None:
        """Send nothing for some time, and then go on."""
        self._record.note(f"engine {self.name} is silent for {seconds:.2f} s")
        self._flows.clear()
        await asyncio.sleep(seconds)
        self._flows.set()

    def rest(self, seconds: float) -> None:
        """Refuse all requests for some time, and say for how long."""
        self._record.note(f"engine {self.name} wants nothing for {seconds:.2f} s")
        self._rests_until = now() + seconds

    async def leave(self, linger: float) -> None:
        """Leave as planned: say so, take requests for `LEAVE_S` and longer, finish them, end."""
        self._record.note(f"engine {self.name} leaves")
        self._says_leaving = True
        await self._enter("draining")
        await asyncio.sleep(LEAVE_S + linger)
        await self._store.put(SERVERS, self.name, None)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_LIMIT_S):
                await self._is_free.wait()
        await self.end()
        self._record.note(f"engine {self.name} has left")

    async def end(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        wire = Wire(reader)
        try:
            while await self._serve_one(wire, writer):
                pass
        except (EOFError, ConnectionError, BrokenError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(self, wire: Wire, writer: asyncio.StreamWriter) -> bool:
        """Serve a request; returns whether the connection lives on."""
        first, headers = await wire.head()
        await wire.body(headers, lambda data: None)
        _, target, _ = first.split(" ")
        msg = Message(target, headers, headers.get("x-wasabiwick-attempt-id", ""))
        await self._flows.wait()
        if headers.get("x-wasabiwick-expect-instance", self.name) != self.name:
            return await self._write(writer, msg, 421)
        if target == "/v1/hold-take":
            return await self._take_hold(writer, msg)
        if target == "/v1/report":
            report = {"stage": self.stage, "busy": False, "sequence": 0, "born": self._born}
            return await self._write(writer, msg, 200, json.dumps(report).encode())
        if target.startswith("/v1/hold-drop/"):
            self._holds.pop(target.rpartition("/")[2], None)
            self._let_in()
        if target.startswith("/v1/"):
            return await self._write(writer, msg, 200)
        return await self._watch(wire, self._work(writer, msg))

    async def _watch(self, wire: Wire, work: typing.Coroutine) -> bool:
        """Work on a request as long as its connection lasts."""
        working = asyncio.create_task(work)
        watching = asyncio.create_task(_until_closed(wire))
        try:
            await asyncio.wait({working, watching}, return_when=asyncio.FIRST_COMPLETED)
            return working.done() and working.result()
        finally:
            for task in (working, watching):
                task.cancel()
            await asyncio.gather(working, watching, return_exceptions=True)

    async def _take_hold(self, writer: asyncio.StreamWriter, msg: Message) -> bool:
        at = now()
        self._holds = {name: ends for name, ends in self._holds.items() if ends > at}
        if at < self._rests_until or self._running + len(self._holds) >= self._slots:
            return await self._refuse(writer, msg)
        name = f"h{next(self._numbers)}"
        self._holds[name] = at + 2.0
        return await self._write(writer, msg, 200, json.dumps({"hold": name}).encode())

    async def _refuse(self, writer: asyncio.StreamWriter, msg: Message) -> bool:
        headers = {"X-Wasabiwick-Not-Executed": "1"}
        left = self._rests_until - now()
        if left > 0:
            headers["Retry-After"] = f"{left:.2f}"
        return await self._write(writer, msg, 503, headers=headers)

    async def _work(self, writer: asyncio.StreamWriter, msg: Message) -> bool:
        is_prefill = msg.headers.get("x-wasabiwick-stage") == "prefill"
        if self.stage and is_prefill != (self.stage == "prefill"):
            return await self._write(writer, msg, 421)
        if now() < self._rests_until or not await self._get_slot(msg):
            run = self._run(msg)
            run.end(REFUSED)
            self._record.add_run(run)
            return await self._refuse(writer, msg)
        run = self._run(msg)
        run.seal = f"seal.{self.name}.{next(self._numbers)}"
        self._record.add_run(run)
        serve = self._prefill if is_prefill else self._stream if self.stage else self._plain
        try:
            is_open = await serve(writer, msg, run)
            run.end(DONE)
            return is_open
        except (asyncio.CancelledError, ConnectionError):
            run.end(CLOSED_ON)
            raise
        finally:
            self._free_slot()

    def _run(self, msg: Message) -> Run:
        run = Run(name=msg.name, engine=self.name, stage=self.stage or "plain")
        run.organisation = msg.headers.get("x-wasabiwick-tenant", "")
        run.shows_key = any(KEY_MARK in value for value in msg.headers.values())
        return run

    async def _get_slot(self, msg: Message) -> bool:
        held = self._holds.pop(msg.headers.get("x-wasabiwick-kv-hold", ""), None)
        if held is None and self._running >= self._slots:
            if len(self._waiting) >= self._queue:
                return False
            place = asyncio.get_running_loop().create_future()
            self._waiting.append(place)
            try:
                await place
            except asyncio.CancelledError:
                if place.done() and not place.cancelled():
                    self._free_slot()
                raise
            finally:
                if place in self._waiting:
                    self._waiting.remove(place)
            return True
        self._use_slot()
        return True

    def _use_slot(self) -> None:
        self._running += 1
        self._is_free.clear()

    def _free_slot(self) -> None:
        self._running -= 1
        if not self._running:
            self._is_free.set()
        self._let_in()

    def _let_in(self) -> None:
        while self._waiting and self._running < self._slots:
            place = self._waiting.pop(0)
            if not place.done():
                self._use_slot()
                place.set_result(None)

    async def _prefill(self, writer: asyncio.StreamWriter, msg: Message, run: Run) -> bool:
        run.would_end = run.begun + PREFILL_S
        await asyncio.sleep(PREFILL_S)
        await self._flows.wait()
        handle = {"kv-handle": f"{self.name}-{next(self._numbers)}", "tokens": 10, "version": 1}
        return await self._write(writer, msg, 200, json.dumps(handle).encode())

    async def _plain(self, writer: asyncio.StreamWriter, msg: Message, run: Run) -> bool:
        work, allowed = read_work(msg.target), _deadline(msg)
        run.would_end = run.begun + min(work, allowed)
        run.status = 200 if work < allowed else 504
        await asyncio.sleep(min(work, allowed))
        await self._flows.wait()
        if self._rng.random() < BREAK_SHARE:
            return _break_off(run)
        body = plain_body(msg.name) if run.status == 200 else b"too late"
        headers = {"X-Wasabiwick-Response-Seal": run.seal}
        if self._rng.random() < UNFRAMED_SHARE:
            headers = {**self._signs(msg), **headers, "Connection": "close"}
            writer.write(message(f"HTTP/1.1 {run.status} X", headers, body))
            await writer.drain()
            return await _close(writer)
        return await self._write(writer, msg, run.status, body, headers=headers)

    async def _stream(self, writer: asyncio.StreamWriter, msg: Message, run: Run) -> bool:
        plan, ends = read_stream_plan(msg.target), now() + _deadline(msg)
        begun = int(msg.headers.get("last-event-id", 0))
        is_framed = self._rng.random() >= UNFRAMED_SHARE
        breaks = self._rng.random() < BREAK_SHARE
        broken = self._rng.randint(begun + 1, plan.events) if breaks else 0
        run.status = 200
        run.would_end = run.begun + plan.seconds * (1 - begun / plan.events)
        headers = {
            **self._signs(msg),
            "X-Wasabiwick-Response-Seal": run.seal,
            "Content-Type": "text/event-stream",
            **({"Transfer-Encoding": "chunked"} if is_framed else {"Connection": "close"}),
        }
        writer.write(message("HTTP/1.1 200 OK", headers))
        has_cache = "x-wasabiwick-kv-source" in msg.headers
        await asyncio.sleep(FIRST_EVENT_S if has_cache else SELF_PREFILL_S)
        for number in range(begun + 1, plan.events + 1):
            if number == plan.pause_before:
                await asyncio.sleep(plan.pause_ms / 1000)
            await self._flows.wait()
            data = event(msg.name, number)
            if number == broken:
                half = data[: len(data) // 2]
                writer.write(chunk(half) if is_framed else half)
                return _break_off(run)
            if now() > ends:
                return _break_off(run)
            writer.write(chunk(data) if is_framed else data)
            await writer.drain()
            await asyncio.sleep(plan.interval_ms / 1000)
        if not is_framed:
            return await _close(writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _signs(self, msg: Message) -> Headers:
        """Return what it says of itself and of the request in all answers."""
        headers = {"X-Wasabiwick-Instance-Id": self.name}
        if msg.name:
            headers["X-Wasabiwick-Attempt-Id"] = msg.name
        load = f"{self._running},{len(self._waiting)},{self._slots}"
        headers["X-Wasabiwick-Instance-Load"] = load
        if self._says_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        msg: Message,
        status: int,
        body: bytes = b"",
        *,
        headers: Headers | None = None,
    ) -> bool:
        fields = {**self._signs(msg), **(headers or {}), "Content-Length": str(len(body))}
        writer.write(message(f"HTTP/1.1 {status} X", fields, body))
        await writer.drain()
        return True


def _deadline(msg: Message) -> float:
    return float(msg.headers.get("x-wasabiwick-deadline-ms", 30_000)) / 1000


def _break_off(run: Run) -> bool:
    """Note that the endpoint ends a run; returns that its connection does not live on."""
    run.end(BROKE_OFF)
    return False


async def _until_closed(wire: Wire) -> None:
    with contextlib.suppress(EOFError, ConnectionError):
        while True:
            await wire.more()


async def _close(writer: asyncio.StreamWriter) -> bool:
    """Close a connection behind all that was written; returns that it does not live on."""
    writer.close()
    await writer.wait_closed()
    return False
