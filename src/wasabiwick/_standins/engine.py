"""Stand-in for a model engine: prefill, KV transfer, batched decode, resume and cancel."""

import asyncio
import typing

import aiohttp
import msgspec
from aiohttp import web

from .._wire import (
    CancelAnswer,
    CancelAsk,
    DecodeAsk,
    EngineReport,
    OrderAsk,
    PrefillAnswer,
    PrefillAsk,
    ResumeAsk,
    StreamReport,
)
from ._cache import PrefixCache
from ._decode import Batch, relay
from ._prefill import AttemptCancelledError, KvEntry, Prefill
from ._serve import Knobs, StandIn, decode_body, error_response, json_response, knob, stand_in

IMPORT_TIMEOUT = aiohttp.ClientTimeout(total=10)


class EngineKnobs(Knobs):
    """Sizes, rates and faults of an engine."""

    slots: knob(int, "Requests that fit in decode memory.") = 24
    models: knob(str, "Loaded models, comma-separated.") = "lectio-lm"
    roles: knob(str, "Roles, comma-separated.") = "prefill,decode"
    prefill_rate: knob(float, "Prefilled tokens per second.") = 20_000.0
    link_rate: knob(float, "Bytes per second of KV export.") = 1_000_000_000.0
    kv_bytes_per_token: knob(int, "Bytes of KV cache per token.") = 8_192
    kv_life: knob(float, "Seconds until the KV cache of a prefill expires.") = 0.8
    step: knob(float, "Seconds between outputs of a batch of one.") = 0.01
    step_per_stream: knob(float, "Seconds that each further request adds to a step.") = 0.0002
    step_tokens: knob(int, "Tokens that each request produces in one step.") = 1
    cache_pieces: knob(int, "Pieces that fit in the prefix cache.") = 4_096
    cache_lag: knob(float, "Seconds until a cache event is visible.") = 0.3
    cache_loss: knob(float, "Share of cache events that are lost.") = 0.02
    report_lag: knob(float, "Seconds between reports.") = 0.1
    heartbeat: knob(float, "Seconds between heartbeats on an idle stream.") = 0.5
    keep: knob(float, "Seconds that the output of an ended stream is kept.") = 5.0
    honour_fence: knob(bool, "Refuse orders with an old fencing number.") = True
    load_seconds: knob(float, "Seconds that loading a model takes without a weight store.") = 0.5
    weights: knob(str, "Base URL of the weight store, or empty.") = ""
    stall: knob(bool, "Make no progress in decode.") = False
    fail_prefill: knob(int, "How many of the next prefills fail with 500.") = 0
    cut_streams: knob(bool, "Abort the connections of all streams once.") = False


class Order(msgspec.Struct):
    """An order to load or unload a model or change roles, and whether the engine accepted it."""

    ask: OrderAsk
    accepted: bool


@stand_in("engine")
class Engine(StandIn):
    """One model engine."""

    knobs_type = EngineKnobs

    def __init__(self, *, name: str, knobs: EngineKnobs) -> None:
        super().__init__(name=name, knobs=knobs)
        self.models = {one: "1" for one in knobs.models.split(",") if one}
        self.roles = tuple(knobs.roles.split(","))
        self.fence = -1
        self.orders: list[Order] = []
        self.refused = 0
        self.cache = PrefixCache(self)
        self.prefills = Prefill(self, self.cache)
        self.batch = Batch(self)
        self._report: EngineReport | None = None
        self._sequence = 0
        self._tasks: list[asyncio.Task] = []
        self._session: aiohttp.ClientSession | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of an engine."""
        return [
            web.post("/v1/prefill", self._prefill),
            web.get("/v1/kv/{handle}", self._export),
            web.post("/v1/decode", self._decode),
            web.post("/v1/resume", self._resume),
            web.post("/v1/cancel", self._cancel),
            web.get("/v1/report", self._show_report),
            web.get("/v1/cache_events", self._cache_events),
            web.post("/v1/orders", self._order),
        ]

    async def start(self) -> None:
        """Start the prefill worker, the decode batch and the periodic reports."""
        self._session = aiohttp.ClientSession(timeout=IMPORT_TIMEOUT)
        workers = (self.prefills.run(), self.batch.run(), self._publish_reports())
        self._tasks = [asyncio.create_task(one) for one in workers]

    async def close(self) -> None:
        """Stop all background work."""
        for task in self._tasks:
            task.cancel()
        await self._session.close()

    def on_knobs_changed(self, before: Knobs) -> None:
        """Abort the streams' connections if ``cut_streams`` was set."""
        if self.knobs.cut_streams:
            self.knobs.cut_streams = False
            self.batch.abort_readers()

    def state(self) -> dict[str, typing.Any]:
        """Return the slots in use, counts, streams, orders and loaded models."""
        return {
            "used": self.batch.used,
            "peak_used": self.batch.peak,
            "refused": self.refused,
            "prefill_tokens": self.prefills.tokens,
            "cached_tokens": self.prefills.cached,
            "prefill_wasted": self.prefills.wasted,
            "outputs": self.batch.outputs,
            "streams": msgspec.to_builtins(self._streams()),
            "orders": msgspec.to_builtins(self.orders),
            "loaded": self.models,
        }

    # --- Serving ---------------------------------------------------------------------------------

    async def _prefill(self, request: web.Request) -> web.Response:
        body = await decode_body(request, PrefillAsk)
        if body.model not in self.models:
            return error_response(404, f'model "{body.model}" is not loaded')
        if self.knobs.fail_prefill:
            self.knobs.fail_prefill -= 1
            return error_response(500, "prefill failed")
        try:
            entry = await self.prefills.submit(body)
        except AttemptCancelledError:
            return error_response(409, f'attempt "{body.attempt_id}" was cancelled')
        return json_response(
            PrefillAnswer(
                handle=entry.handle,
                expires_in=self.knobs.kv_life,
                prompt_tokens=entry.tokens,
                cached_tokens=entry.cached,
                seconds=entry.seconds,
            )
        )

    async def _export(self, request: web.Request) -> web.Response:
        entry = await self.prefills.export(request.match_info["handle"])
        if entry is None:
            return error_response(404, "the KV cache is no longer held")
        return json_response(entry)

    async def _decode(self, request: web.Request) -> web.StreamResponse:
        body = await decode_body(request, DecodeAsk)
        if body.model not in self.models:
            return error_response(404, f'model "{body.model}" is not loaded')
        if body.attempt_id in self.batch.streams:
            return error_response(409, f'attempt "{body.attempt_id}" is already running')
        if self.batch.used >= self.knobs.slots:
            self.refused += 1
            return error_response(503, "no free slot")
        stream = self.batch.add(body)
        entry = await self._import(body)
        if entry is None:
            self.batch.drop(stream)
            return error_response(410, "the KV cache is no longer held")
        self.batch.begin(stream, entry)
        return await relay(self, request, stream, body.offset)

    async def _import(self, body: DecodeAsk) -> KvEntry | None:
        if body.source == self.address:
            return self.prefills.pop_result(body.handle)
        try:
            async with self._session.get(f"{body.source}/v1/kv/{body.handle}") as resp:
                if resp.status != 200:
                    return None
                return msgspec.json.decode(await resp.read(), type=KvEntry)
        except (TimeoutError, aiohttp.ClientError):
            return None

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        body = await decode_body(request, ResumeAsk)
        stream = self.batch.streams.get(body.attempt_id)
        if stream is None or stream.ask.request_id != body.request_id:
            return error_response(404, f'attempt "{body.attempt_id}" is unknown')
        if body.takeover:
            stream.owner = body.owner
        elif body.owner != stream.owner:
            return error_response(409, f'attempt "{body.attempt_id}" belongs to "{stream.owner}"')
        return await relay(self, request, stream, body.offset)

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await decode_body(request, CancelAsk)
        self.prefills.cancel(body.attempt_id)
        self.batch.cancel(body.attempt_id)
        return json_response(CancelAnswer(gone=True))

    # --- Reports ---------------------------------------------------------------------------------

    def _streams(self) -> tuple[StreamReport, ...]:
        return (*self.prefills.stream_reports(), *self.batch.stream_reports())

    async def _publish_reports(self) -> None:
        while True:
            self._sequence += 1
            self._report = EngineReport(
                engine=self.name,
                sequence=self._sequence,
                slots=self.knobs.slots,
                used=self.batch.used,
                queued_prefill_tokens=self.prefills.queued_tokens(),
                prefill_rate=self.knobs.prefill_rate,
                link_rate=self.knobs.link_rate,
                decode_interval=self.batch.interval(),
                kv_bytes_per_token=self.knobs.kv_bytes_per_token,
                models=tuple(self.models),
                versions=tuple(self.models.values()),
                roles=self.roles,
                fence=self.fence,
                streams=self._streams(),
            )
            await asyncio.sleep(self.knobs.report_lag)

    async def _show_report(self, request: web.Request) -> web.Response:
        return json_response(self._report)

    async def _cache_events(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError as exc:
            return error_response(400, str(exc))
        return json_response(self.cache.events_after(after))

    # --- Orders ----------------------------------------------------------------------------------

    async def _order(self, request: web.Request) -> web.Response:
        body = await decode_body(request, OrderAsk)
        accepted = not (self.knobs.honour_fence and body.fence < self.fence)
        self.orders.append(Order(ask=body, accepted=accepted))
        if not accepted:
            return error_response(409, f"fencing number {body.fence} is older than {self.fence}")
        self.fence = max(self.fence, body.fence)
        if body.action == "load":
            await self._load_weights(body)
            self.models[body.model] = body.version
        elif body.action == "unload":
            self.models.pop(body.model, None)
        elif body.action == "role":
            self.roles = body.roles
        else:
            return error_response(400, f'action "{body.action}" is unknown')
        return json_response({"done": True})

    async def _load_weights(self, body: OrderAsk) -> None:
        if self.models.get(body.model) == body.version:
            return
        if not self.knobs.weights:
            await asyncio.sleep(self.knobs.load_seconds)
            return
        url = f"{self.knobs.weights}/weights/{body.model}/{body.version}/data"
        async with self._session.get(url, timeout=aiohttp.ClientTimeout(total=None)) as resp:
            resp.raise_for_status()
