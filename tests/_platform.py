"""Stand-ins for the platform's store and endpoints, for tests of a whole host.

They answer only the calls that the adapter makes, with the refusals that each may get.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import struct
import time
import typing

import msgspec
from aiohttp import web
from multidict import CIMultiDict

TOPIC_PREFIX = "keyed."
MODEL = "model"
APP = "app"
MAX_BODY_BYTES = (
    8 * 1024 * 1024
)  # Largest body that an endpoint takes, above what callers may send.


ENTRY = {
    "service": "sign-up",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-remaining-ms": 0,
    "stage": "",
    "born": 1_800_000_000_000,
}


def entry(**fields: object) -> bytes:
    """Return an endpoint's entry in the list, with some fields in place of sound ones."""
    return json.dumps({**ENTRY, **fields}).encode()


ODD_ENTRIES = (
    b'{"tags":' + b"[" * 1_200,
    b'{"tags":' + b"[" * 1_200 + b"]" * 1_200 + b"," + entry()[1:],
    entry(address="10.0.0.1:70000"),
    entry(address="10.0.0.1:0"),
    entry(address="10.0.0.1:²"),
    entry(address="10.0.0.1"),
    entry(address="some-name:80"),
    entry(slots=0),
    entry(slots=10**400),
    entry(born=10**400),
    entry(born=-1),
    entry(born=2**64),
    entry()[:-1] + b', "cold-remaining-ms": 1e999}',
    entry(**{"cold-remaining-ms": 1e300}),
    b"\xff\xfe{",
    b"null",
    b"",
)


class Store:
    """The store, with keyed topics of one partition.

    Attributes:
        topics: Key and value of each record, by topic.
        first_kept: Offset of the first record that was not deleted, by topic.
        fault: Fault of all calls: empty for none, ``busy`` (503), ``many`` (429), ``silent``,
            ``lost`` (executed but not answered) or ``reset``.
        calls: Path of each call.
        era: How often it was restored from a copy, as all its answers say.
    """

    def __init__(self) -> None:
        self.era = 0
        self._copy: dict[str, list[tuple[str, bytes]]] = {}
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.first_kept: dict[str, int] = {}
        self.fault = ""
        self.calls: list[str] = []
        self._changed = asyncio.Condition()

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/v1/log-newest", self._newest)
        app.router.add_get("/v1/log-read", self._read)
        app.router.add_post("/v1/log-append", self._append)
        return app

    async def put(self, topic: str, key: str, value: object) -> None:
        """Write a record; None deletes the key, bytes are written raw, other values as JSON."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        await self._add(topic, key, b"" if value is None else data)

    async def _add_era(self, req: web.Request, resp: web.StreamResponse) -> None:
        resp.headers["Store-Era"] = str(self.era)

    def copy(self) -> None:
        """Take a copy of all records."""
        self._copy = {topic: list(records) for topic, records in self.topics.items()}

    async def restore(self) -> None:
        """Go back to the copy; what was written since is gone."""
        self.topics = {topic: list(records) for topic, records in self._copy.items()}
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    def delete_history(self, topic: str) -> None:
        """Delete the topic's records; the newest of each key can still be read."""
        self.first_kept[topic] = len(self.topics.get(topic, ()))

    async def _add(self, topic: str, key: str, value: bytes) -> int:
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        async with self._changed:
            self._changed.notify_all()
        return len(records) - 1

    async def _apply_fault(self, req: web.Request) -> web.Response | None:
        self.calls.append(req.path)
        if self.fault in ("busy", "many"):
            return web.Response(status=503 if self.fault == "busy" else 429)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "reset":
            req.transport.abort()
        return None

    async def _newest(self, req: web.Request) -> web.Response:
        refused = await self._apply_fault(req)
        if refused:
            return refused
        records = self.topics.get(req.query["topic"], [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        names = sorted(name for name, (_, value) in newest.items() if value)
        names = [name for name in names if name > req.query.get("after", "")]
        page = names[:2]  # Small pages, so that clients have to read several.
        items = [
            {
                "key": name,
                "value": base64.b64encode(newest[name][1]).decode(),
                "offset": newest[name][0],
            }
            for name in page
        ]
        more = len(names) > len(page)
        return web.json_response({"items": items, "more": more, "end-offset": len(records)})

    async def _read(self, req: web.Request) -> web.Response:
        refused = await self._apply_fault(req)
        if refused:
            return refused
        topic, start = req.query["topic"], int(req.query["from"])
        first = self.first_kept.get(topic, 0)
        if start < first:
            return web.json_response({"first": first}, status=410)
        wait = int(req.query.get("wait-ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: len(self.topics.get(topic, ())) > start)
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), first)
        for key, value in records[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    async def _append(self, req: web.Request) -> web.Response:
        refused = await self._apply_fault(req)
        if refused:
            return refused
        topic, body = req.query["topic"], await req.read()
        records = self.topics.setdefault(topic, [])
        if "at" in req.query and int(req.query["at"]) != len(records):
            return web.json_response({"end-offset": len(records)}, status=412)
        (length,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + length]
        size = 1 + content[0]
        offset = await self._add(topic, content[1:size].decode(), content[size:])
        if self.fault == "lost":
            req.transport.abort()
        return web.json_response({"offset": offset, "end-offset": offset + 1})


class Endpoint:
    """A model engine, or an endpoint of the plain service if ``stage`` is empty.

    Attributes:
        requests: Path and headers of each request that was not refused.
        open_holds: Holds that were granted and neither used nor dropped.
        kv_handles: Handles of the KV caches that were not freed.
        refusals_left: How many of the next requests it refuses as not executed.
        failures_left: How many of the next requests it runs and answers with its own failure.
        failure_status: Status of these answers.
        cuts_left: How many of the next streams it cuts off in the middle of an event.
        cut_before: Number of that event; 0 to cut off right behind the head of the answer.
        states_length: Whether its streams come in chunks; otherwise they end with the connection,
            which is closed and not reset where a stream is cut off.
        unanswered_left: How many of the next prefills it runs without ever answering.
        unsealed_left: How many of the next requests it runs and answers without the seal, which
            marks an answer as the endpoint's own.
        answer_delay: Time until an answer of the plain service, in seconds.
        padding: Zero bytes behind the echo in answers of the plain service.
        prefill_delay: Time until the answer to a prefill, in seconds.
        refused_at: Monotonic time of each request that it refused.
        events: Number of events in each stream.
        event_interval: Time between events, in seconds.
        drips: Whether its streams bring a byte of a comment at that interval, and never an event.
        running_streams: Number of streams that it is sending.
        orders: Bodies of the orders that it received.
        is_changing_stage: Whether it is changing its stage: it grants holds but refuses requests.
        crashing_part: Part of a prompt that ends the engine once it begins to write an answer.
        crashing_body: Body of a request that ends the endpoint once it begins to run it.
        has_ended: Whether it has ended.
        is_silent: Whether it does not answer questions for its report.
        born: Unix time of its start, in milliseconds.
        retry_after: What it says in refusals: for how long it wants nothing; empty for nothing.
        says_leaving: Whether its answers say that it leaves.
        resumed_answer: Bytes that it answers to a stream that is resumed, before it closes the
            connection; ``ATTEMPT`` stands for the attempt's identifier. Empty for its own answer.
        limit: Requests a second that its answers name as its limit; None for no limit.
        arrivals: Monotonic time of each request.
        end: Closes its listener and its connections.
    """

    def __init__(self, name: str, stage: str = "") -> None:
        self.name = name
        self.stage = stage
        self.address = ""
        self.requests: list[tuple[str, CIMultiDict[str]]] = []
        self.open_holds: set[str] = set()
        self.kv_handles: set[str] = set()
        self.refusals_left = 0
        self.failures_left = 0
        self.failure_status = 500
        self.cuts_left = 0
        self.cut_before = 3
        self.states_length = True
        self.unanswered_left = 0
        self.unsealed_left = 0
        self.answer_delay = 0.0
        self.prefill_delay = 0.0
        self.padding = 0
        self.refused_at: list[float] = []
        self.events = 5
        self.event_interval = 0.0
        self.drips = False
        self.running_streams = 0
        self.orders: list[dict] = []
        self.is_changing_stage = False
        self.crashing_part = ""
        self.crashing_body: bytes | None = None
        self.has_ended = False
        self.is_silent = False
        self.born = 1
        self.retry_after = ""
        self.says_leaving = False
        self.resumed_answer = b""
        self.limit: float | None = None
        self.arrivals: list[float] = []
        self.end: typing.Callable[[], typing.Awaitable[None]] | None = None
        self._counter = itertools.count(1)

    def entry(self, **fields: object) -> dict[str, object]:
        """Return its entry in the store's list of servers."""
        return {
            "service": MODEL if self.stage else APP,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 12,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": self.born,
            **({"stage": self.stage} if self.stage else {}),
            **fields,
        }

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.on_response_prepare.append(self._add_signs)
        app.router.add_post("/v1/hold-take", self._hold)
        app.router.add_delete("/v1/hold-drop/{id}", self._drop_hold)
        app.router.add_delete("/v1/kv-handle/{id}", self._free)
        app.router.add_post("/v1/order", self._order)
        app.router.add_get("/v1/report", self._report)
        app.router.add_route("*", "/{path:.*}", self._request)
        return app

    async def _add_signs(self, req: web.Request, resp: web.StreamResponse) -> None:
        if self.retry_after and resp.status == 503:
            resp.headers["Retry-After"] = self.retry_after
        if self.says_leaving:
            resp.headers["Server-Leaving"] = "1"
        if self.limit is not None:
            resp.headers["Server-Limit"] = str(self.limit)

    def _misdirected(self, req: web.Request) -> web.Response | None:
        if req.headers.get("X-Wasabiwick-Expect-Instance", self.name) == self.name:
            return None
        return web.Response(status=421, headers={"X-Wasabiwick-Instance-Id": self.name})

    async def _hold(self, req: web.Request) -> web.Response:
        misdirected = self._misdirected(req)
        if misdirected:
            return misdirected
        body = await req.json()
        assert body["tokens"] > 0 and body["ttl-ms"] > 0
        hold = f"hold-{next(self._counter)}"
        self.open_holds.add(hold)
        return web.json_response({"hold": hold})

    async def _drop_hold(self, req: web.Request) -> web.Response:
        self.open_holds.discard(req.match_info["id"])
        return web.Response()

    async def _free(self, req: web.Request) -> web.Response:
        self.kv_handles.discard(req.match_info["id"])
        return web.Response()

    async def _order(self, req: web.Request) -> web.Response:
        misdirected = self._misdirected(req)
        if misdirected:
            return misdirected
        self.orders.append(await req.json())
        return web.Response(status=202)

    async def _report(self, req: web.Request) -> web.Response:
        report = {
            "stage": self.stage,
            "busy": self.is_changing_stage,
            "sequence": len(self.orders),
            "born": self.born,
        }
        if self.is_silent:
            await asyncio.Event().wait()
        return self._misdirected(req) or web.json_response(report)

    async def _request(self, req: web.Request) -> web.StreamResponse:
        echo = {"X-Wasabiwick-Attempt-Id": req.headers["X-Wasabiwick-Attempt-Id"]}
        misdirected = self._misdirected(req)
        if misdirected:
            return misdirected
        if self.refusals_left or self.is_changing_stage:
            self.refusals_left = max(0, self.refusals_left - 1)
            self.refused_at.append(time.monotonic())
            return web.Response(status=503, headers={**echo, "X-Wasabiwick-Not-Executed": "1"})
        body = await req.read()
        self.requests.append((req.raw_path, req.headers.copy()))
        self.arrivals.append(time.monotonic())
        if req.headers.get("X-Wasabiwick-Stage") == "prefill":
            await asyncio.sleep(self.prefill_delay)
            handle = f"handle-{self.name}-{next(self._counter)}"
            self.kv_handles.add(handle)
            if self.unanswered_left:
                self.unanswered_left -= 1
                await asyncio.Event().wait()
            answer = {"kv-handle": handle, "tokens": 10, "version": 1}
            return web.json_response(answer, headers=echo)
        if body == self.crashing_body:
            self.has_ended = True
            await self.end()
            return web.Response(status=500, headers=echo)
        if self.resumed_answer and "Last-Event-Id" in req.headers:
            attempt = echo["X-Wasabiwick-Attempt-Id"].encode()
            req.transport.write(self.resumed_answer.replace(b"ATTEMPT", attempt))
            await asyncio.sleep(0.05)
            req.transport.close()
            return web.Response()
        seal = {**echo, "X-Wasabiwick-Response-Seal": f"seal-{self.name}"}
        if self.unsealed_left:
            self.unsealed_left -= 1
            seal = echo
        if self.failures_left:
            self.failures_left -= 1
            return web.Response(status=self.failure_status, headers=seal, text="own failure")
        if not self.stage:
            await asyncio.sleep(self.answer_delay)
            answer = req.raw_path.encode() + b" " + body
            return web.Response(body=answer + bytes(self.padding), headers=seal)
        self.open_holds.discard(req.headers.get("X-Wasabiwick-Kv-Hold", ""))
        return await self._stream(req, seal)

    async def _stream(self, req: web.Request, seal: dict[str, str]) -> web.StreamResponse:
        headers = {**seal, "Content-Type": "text/event-stream"}
        resp = web.StreamResponse(headers=headers)
        if self.states_length:
            await resp.prepare(req)
            write = resp.write
        else:
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            req.transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
            write = _writer_to(req.transport)
        self.running_streams += 1
        parts = req.headers.get("X-Wasabiwick-Prefix-Hash", "")
        if self.crashing_part and f"{self.crashing_part}:" in parts:
            self.has_ended = True
            await self.end()
            return resp
        try:
            if self.cuts_left and not self.cut_before:
                self.cuts_left -= 1
                return resp
            while self.drips:
                await write(b":")
                await asyncio.sleep(self.event_interval)
            for number in range(int(req.headers.get("Last-Event-Id", 0)) + 1, self.events + 1):
                if self.cuts_left and number == self.cut_before:
                    self.cuts_left -= 1
                    await write(b"id: %d\ndata: br" % number)
                    if self.states_length:
                        req.transport.abort()
                    return resp
                await write(b"id: %d\ndata: part %d\n\n" % (number, number))
                await asyncio.sleep(self.event_interval)
        finally:
            self.running_streams -= 1
            if not self.states_length:
                req.transport.close()
        return resp


def _writer_to(
    transport: asyncio.Transport,
) -> typing.Callable[[bytes], typing.Coroutine[None, None, None]]:
    """Return a function that writes raw bytes to a connection."""

    async def write(data: bytes) -> None:
        transport.write(data)

    return write


def config(version: int = 1, **route: object) -> dict[str, object]:
    """Return the operator's configuration, with a route of each kind, and ``route`` if given."""

    def route_entry(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
        is_stream = kind == "stream"
        return {
            "name": name,
            "host": "example",
            "path-prefix": f"/{name}/",
            "type": kind,
            "timeout-ms": 5_000,
            "target-latency-ms": 1_000,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            "sticky": is_stream,
            "resumable": is_stream,
            "target-itl-ms": 300 if is_stream else 0,
            **more,
        }

    engine = {
        "slots": 12,
        "kv-capacity-tokens": 33_860,
        "kv-bytes": 131_072,
        "kv-hold-s": 0.5,
        "hold-ms": 2_000.0,
        "switch-s": 6.0,
        "stride": 12,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [
            route_entry("stream", "stream", MODEL),
            route_entry("safe", "safe", APP),
            route_entry("unsafe", "unsafe", APP, **{"max-attempts": 1}),
            *([route] if route else []),
        ],
        "services": [
            {"name": MODEL, "health-path": "/healthz", "max-connections": 50, "engine": engine},
            {"name": APP, "health-path": "/healthz", "max-connections": 50},
        ],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304},
    }


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, endpoint: Endpoint | None = None
) -> typing.AsyncIterator[str]:
    """Serve an application on a free port, and yield its address; ``endpoint`` may end early."""
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]

    async def end() -> None:
        await site.stop()
        for conn in runner.server.connections:
            conn.transport.abort()

    if endpoint is not None:
        endpoint.end = end
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()
