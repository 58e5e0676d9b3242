"""Probe of the cost of relaying output from an engine to a caller at an entry host."""

import asyncio
import hashlib
import time

import aiohttp
import msgspec
from aiohttp import web

from .. import _adapters, _configuration, _performers  # noqa: F401 - registers the performers
from .._entry import Entry
from .._errors import LOG_UNAVAILABLE, Failure
from .._runner import Ports, Runner
from .._settings import Platform, Settings, Timing
from .._verdict import Verdict
from .._wire import EngineReport, Frame, HostEntry, LogPage, LogRecord, Owner, PrefillAnswer
from . import fleet
from .fit import REPEATS, Line
from .probe import probe
from .transport import LoopbackServer

STREAM_TOKEN_COUNTS = (64, 128, 256, 512)
CONCURRENT_STREAMS = 4
SETTLE_S = 1.0  # Time for the host to read its configuration, host list and engine report.
# Time between two tokens, long enough for the host to relay each token separately.
TOKEN_INTERVAL_S = 0.002
API_KEY = "secret"
ENGINE = "engine-0000"


class _Engine:
    """Engine that streams one token per frame."""

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/v1/prefill", self._prefill)
        app.router.add_post("/v1/decode", self._decode)
        app.router.add_get("/v1/report", self._report)
        app.router.add_get("/v1/cache_events", self._cache_events)
        return app

    async def _prefill(self, request: web.Request) -> web.Response:
        answer = PrefillAnswer(
            handle="h", expires_in=5.0, prompt_tokens=16, cached_tokens=0, seconds=0.01
        )
        return web.Response(body=msgspec.json.encode(answer))

    async def _report(self, request: web.Request) -> web.Response:
        report = EngineReport(
            engine=ENGINE,
            sequence=time.monotonic_ns(),
            slots=24,
            used=0,
            prefill_rate=1e5,
            link_rate=1e9,
            decode_interval=0.001,
            kv_bytes_per_token=1_000,
            models=(fleet.model_name(0),),
        )
        return web.Response(body=msgspec.json.encode(report))

    async def _cache_events(self, request: web.Request) -> web.Response:
        return web.Response(body=b"[]")

    async def _decode(self, request: web.Request) -> web.StreamResponse:
        decode_body = msgspec.json.decode(await request.read())
        resp = web.StreamResponse()
        await resp.prepare(request)
        attempt_ids = {
            "request_id": decode_body["request_id"],
            "attempt_id": decode_body["attempt_id"],
        }
        for offset in range(decode_body["max_tokens"]):
            await asyncio.sleep(TOKEN_INTERVAL_S)
            frame = Frame(**attempt_ids, offset=offset, count=1, text="word ")
            await resp.write(msgspec.json.encode(frame) + b"\n")
        end = Frame(**attempt_ids, offset=decode_body["max_tokens"], done=True, finish="length")
        await resp.write(msgspec.json.encode(end) + b"\n")
        return resp


class _Log:
    """Log service that holds one configuration record."""

    def __init__(self) -> None:
        key = hashlib.sha256(API_KEY.encode()).hexdigest()
        entries = fleet.configuration_entries(1, 1)
        entries["customers"] = {"customer": {"plan": "plan-0", "keys": [key]}}
        record = _configuration.make_record(
            version=1,
            replaces=0,
            author="operator",
            old=_configuration.Content(),
            new=_configuration.content_of(entries),
            partial=False,
        )
        text = msgspec.json.encode(record).decode()
        self._record = LogRecord(offset=0, time=time.time(), data=text)

    async def append(self, stream: str, records: tuple[str, ...]) -> int | Failure:
        return Failure(reason=LOG_UNAVAILABLE, verdict=Verdict.NOT_RUN)

    async def read(self, stream: str, offset: int, wait: float) -> LogPage:
        records = (self._record,) if stream == "configuration" else ()
        if offset >= len(records):
            await asyncio.sleep(wait)
        return LogPage(first=0, end=len(records), records=records[offset:])


class _HostList:
    """Host list that holds only the engine."""

    def __init__(self, address: str) -> None:
        self.entry = HostEntry(
            name=ENGINE,
            kind="engine",
            zone=fleet.ZONE,
            address=address,
            service=fleet.model_name(0),
        )

    async def entries(self) -> tuple[HostEntry, ...]:
        return (self.entry,)


def _runner(session: aiohttp.ClientSession, engine: str) -> Runner:
    cfg = Settings(
        host=fleet.host_name(0),
        zone=fleet.ZONE,
        region="region-1",
        platform=Platform(log="http://l", hosts="http://h"),
    )
    ports = Ports(
        clock=_adapters.SystemClock(),
        engine=_adapters.HttpEngine(session=session, timing=cfg.timing),
        host_list=_HostList(engine),
        log=_Log(),
        peer=_adapters.HttpPeer(session=session, timing=Timing()),
        service=_adapters.HttpService(session=session, timing=cfg.timing),
    )
    owner = Owner(host=fleet.host_name(0), incarnation="0123456789ab")
    return Runner(cfg=cfg, ports=ports, owner=owner, seed=1)


async def _measure_relay() -> list[tuple[float, float]]:
    points = []
    async with LoopbackServer(_Engine().app()) as engine, aiohttp.ClientSession() as session:
        address = f"http://127.0.0.1:{engine.port}"
        runner = _runner(session, address)
        async with LoopbackServer(Entry(runner=runner).app()) as entry:
            runner.start()
            await asyncio.sleep(SETTLE_S)
            relayed_url = f"http://127.0.0.1:{entry.port}/v1/completions"
            direct_url = f"{address}/v1/decode"
            for count in STREAM_TOKEN_COUNTS:
                relayed_seconds = await _least_cpu_seconds(session, relayed_url, count)
                direct_seconds = await _least_cpu_seconds(session, direct_url, count)
                points.append(
                    (count, (relayed_seconds - direct_seconds) / CONCURRENT_STREAMS * 1e6)
                )
        await runner.close()
    return points


async def _least_cpu_seconds(session: aiohttp.ClientSession, url: str, tokens: int) -> float:
    least_seconds = float("inf")
    for _ in range(REPEATS):
        start_time = time.process_time()
        await asyncio.gather(
            *(_read_stream(session, url, tokens) for _ in range(CONCURRENT_STREAMS))
        )
        least_seconds = min(least_seconds, time.process_time() - start_time)
    return least_seconds


async def _read_stream(session: aiohttp.ClientSession, url: str, tokens: int) -> None:
    body = {
        "model": fleet.model_name(0),
        "prompt": "word " * 16,
        "max_tokens": tokens,
        "stream": True,
        "request_id": "r",
        "attempt_id": "a",
    }
    headers = {"Authorization": f"Bearer {API_KEY}"}
    async with session.post(url, json=body, headers=headers) as resp:
        content = await resp.read()
    if resp.status != 200 or content.count(b"word") < tokens:
        raise RuntimeError(f"{url} answered {resp.status} with {content[:200]!r}")


@probe("relay")
def relay() -> list[Line]:
    """Measure the processor time that relaying a stream adds to that of engine and caller."""
    points = asyncio.run(_measure_relay())
    return [Line(name="relayed stream", x_unit="tokens", y_unit="us", points=points)]
