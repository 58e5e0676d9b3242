"""Prefill of a stand-in engine: a queue, one worker, and KV caches that expire unless fetched."""

import asyncio
import contextlib
import heapq
import itertools
import time
import typing

import msgspec

from .._pieces import piece_chain, tokens_of
from .._wire import PrefillAsk, StreamReport
from ._cache import PrefixCache
from ._serve import StandIn


class AttemptCancelledError(Exception):
    """The attempt was cancelled before its prefill was done."""


class KvEntry(msgspec.Struct):
    """KV cache that a prefill produced; sent as JSON to an engine that imports it."""

    handle: str
    request_id: str
    attempt_id: str
    owner: str
    prompt: str
    prefix: str
    tokens: int
    cached: int
    seconds: float
    expires: float


class Job:
    """A prefill that is queued or running."""

    __slots__ = ("ask", "tokens", "chain", "done", "cancelled")

    def __init__(self, ask: PrefillAsk) -> None:
        self.ask = ask
        self.tokens = len(tokens_of(ask.prompt)) + len(tokens_of(ask.prefix))
        self.chain = piece_chain(ask.prompt)
        self.done: asyncio.Future[KvEntry] = asyncio.get_running_loop().create_future()
        self.cancelled = asyncio.Event()


class Prefill:
    """Queue of prefills; runs one at a time, the highest priority first."""

    __slots__ = (
        "tokens",
        "cached",
        "wasted",
        "_engine",
        "_queue",
        "_order",
        "_arrived",
        "_jobs",
        "_results",
        "_handles",
        "_link",
        "_cache",
    )

    def __init__(self, engine: StandIn, cache: PrefixCache) -> None:
        self.tokens = 0
        self.cached = 0
        self.wasted = 0
        self._engine = engine
        self._cache = cache
        self._queue: list[tuple[int, int, Job]] = []
        self._order = itertools.count()
        self._handles = itertools.count(1)
        self._arrived = asyncio.Event()
        self._jobs: dict[str, Job] = {}
        self._results: dict[str, KvEntry] = {}
        self._link = asyncio.Lock()

    async def submit(self, ask: PrefillAsk) -> KvEntry:
        """Queue a prefill, and wait for its result.

        Raises:
            AttemptCancelledError: If the attempt is cancelled meanwhile.
        """
        job = Job(ask)
        self._jobs[ask.attempt_id] = job
        heapq.heappush(self._queue, (-ask.priority, next(self._order), job))
        self._arrived.set()
        return await job.done

    async def run(self) -> None:
        """Run the queued prefills."""
        while True:
            while not self._queue:
                self._arrived.clear()
                await self._arrived.wait()
            job = heapq.heappop(self._queue)[2]
            if not job.cancelled.is_set():
                await self._run_job(job)

    async def _run_job(self, job: Job) -> None:
        cached = min(self._cache.match(job.chain), job.tokens)
        began = time.monotonic()
        cost = (job.tokens - cached) / self._engine.knobs.prefill_rate
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(job.cancelled.wait(), cost)
        seconds = time.monotonic() - began
        computed = job.tokens - cached
        if job.cancelled.is_set():
            self.wasted += min(computed, int(seconds * self._engine.knobs.prefill_rate))
            return
        self.tokens += computed
        self.cached += cached
        self._cache.store(job.chain)
        self._jobs.pop(job.ask.attempt_id, None)
        job.done.set_result(self._store_result(job.ask, job.tokens, cached, seconds))

    def _store_result(self, ask: PrefillAsk, tokens: int, cached: int, seconds: float) -> KvEntry:
        lifetime = self._engine.knobs.kv_life
        entry = KvEntry(
            handle=f"{self._engine.name}-{next(self._handles)}",
            request_id=ask.request_id,
            attempt_id=ask.attempt_id,
            owner=ask.owner,
            prompt=ask.prompt,
            prefix=ask.prefix,
            tokens=tokens,
            cached=cached,
            seconds=seconds,
            expires=time.monotonic() + lifetime,
        )
        self._results[entry.handle] = entry
        asyncio.get_running_loop().call_later(lifetime, self._expire, entry.handle)
        return entry

    def _expire(self, handle: str) -> None:
        entry = self._results.pop(handle, None)
        if entry:
            self.wasted += entry.tokens - entry.cached

    def pop_result(self, handle: str) -> KvEntry | None:
        """Remove and return a result, for the engine's own decode; None if it has expired."""
        return self._results.pop(handle, None)

    async def export(self, handle: str) -> KvEntry | None:
        """Return a result after the time that sending it over the link takes.

        Results are sent one at a time. Returns None if the result expired before its turn.
        """
        async with self._link:
            entry = self.pop_result(handle)
            if entry:
                knobs = self._engine.knobs
                await asyncio.sleep(entry.tokens * knobs.kv_bytes_per_token / knobs.link_rate)
            return entry

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt's queued or running prefill, and drop its result."""
        job = self._jobs.pop(attempt_id, None)
        if job:
            job.cancelled.set()
            job.done.set_exception(AttemptCancelledError())
        for handle in [
            one.handle for one in self._results.values() if one.attempt_id == attempt_id
        ]:
            self._expire(handle)

    def queued_tokens(self) -> int:
        """Return the number of tokens of all queued and running prefills."""
        return sum(job.tokens for job in self._jobs.values())

    def stream_reports(self) -> typing.Iterator[StreamReport]:
        """Return reports of the attempts that are queued, run or hold a KV cache."""
        for job in self._jobs.values():
            yield _report(job.ask, "prefill")
        for entry in self._results.values():
            yield _report(entry, "kv")


def _report(one: PrefillAsk | KvEntry, phase: str) -> StreamReport:
    return StreamReport(
        request_id=one.request_id, attempt_id=one.attempt_id, owner=one.owner, phase=phase
    )
