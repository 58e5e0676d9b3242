"""Simulated engine: continuous batching, a prefill queue, a prefix cache, KV export and import.

All streams of a batch advance together by one output per interval, and the interval grows with the
batch. The model therefore has one counter per engine, of the outputs since the engine's start. A
stream ends when the counter has grown by the stream's output tokens. Only a stream's first and last
output need a timer, which is set again when the batch or its speed changes.
"""

import collections
import heapq
import typing

from .._pieces import PIECE_TOKENS, PREFIX_LENGTHS
from .._wire import CacheEvent, EngineReport, StreamReport


class EngineTraits:
    """Capacity and speed of one engine.

    Args:
        slots: Number of requests that fit into the engine's decode memory.
        prefill_rate: Prompt tokens prefilled per second.
        base_interval: Seconds between outputs, without the part that grows with the batch.
        interval_per_request: Seconds by which each request of the batch lengthens the interval.
        link_rate: Rate of KV transfers into the engine, bytes/s.
        kv_bytes_per_token: Size of the KV cache of one token, in bytes.
        cache_tokens: Number of tokens that fit into the prefix cache.
        expiry: Seconds after a prefill in which its KV cache can be fetched.
        roles: ``prefill``, ``decode`` or both.
    """

    __slots__ = (
        "slots",
        "prefill_rate",
        "base_interval",
        "interval_per_request",
        "link_rate",
        "kv_bytes_per_token",
        "cache_tokens",
        "expiry",
        "roles",
    )

    def __init__(
        self,
        *,
        roles: tuple[str, ...],
        slots: int = 24,
        prefill_rate: float = 12_000.0,
        base_interval: float = 0.024,
        interval_per_request: float = 0.001,
        link_rate: float = 5e9,
        kv_bytes_per_token: int = 100_000,
        cache_tokens: int = 300_000,
        expiry: float = 0.8,
    ) -> None:
        self.roles = roles
        self.slots = slots
        self.prefill_rate = prefill_rate
        self.base_interval = base_interval
        self.interval_per_request = interval_per_request
        self.link_rate = link_rate
        self.kv_bytes_per_token = kv_bytes_per_token
        self.cache_tokens = cache_tokens
        self.expiry = expiry

    def output_interval(self, batch: int) -> float:
        """Return the time between outputs at a batch size, in seconds."""
        return self.base_interval + self.interval_per_request * batch

    def max_output_rate(self, target: float) -> float:
        """Return the most outputs/s of any batch size whose interval meets a target in seconds."""
        batches = range(1, self.slots + 1)
        return max(
            (
                batch / self.output_interval(batch)
                for batch in batches
                if self.output_interval(batch) <= target
            ),
            default=0,
        )


class Segment:
    """One part of a prompt.

    ``prefix`` identifies this part together with all parts before it. The parts before it have
    ``start`` tokens in total.
    """

    __slots__ = ("prefix", "tokens", "start")

    def __init__(self, *, prefix: int, tokens: int, start: int) -> None:
        self.prefix = prefix
        self.tokens = tokens
        self.start = start

    def pieces(self) -> tuple[int, ...]:
        """Return the hashes of the prompt's prefixes of `PREFIX_LENGTHS` that end in this part."""
        start_length = self.start // PIECE_TOKENS
        end_length = (self.start + self.tokens) // PIECE_TOKENS
        return tuple(
            self.prefix * 128 + length
            for length in PREFIX_LENGTHS
            if start_length < length <= end_length
        )


class PrefillJob:
    """The queued or running prefill of one attempt.

    ``on_done`` is called with the number of cached tokens and the duration in seconds.
    """

    __slots__ = ("request_id", "attempt_id", "owner", "segments", "tokens", "priority", "on_done")

    def __init__(
        self,
        *,
        request_id: str,
        attempt_id: str,
        owner: str,
        segments: tuple[Segment, ...],
        priority: int,
        on_done: typing.Callable[[int, float], None],
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.owner = owner
        self.segments = segments
        self.tokens = sum(one.tokens for one in segments)
        self.priority = priority
        self.on_done = on_done


class Stream:
    """One decode in the batch.

    The engine's output counter was ``begin_count`` when the stream joined the batch. The stream
    ends after ``output_tokens`` outputs. ``first`` and ``done`` are called at its first output and
    at its end.
    """

    __slots__ = (
        "request_id",
        "attempt_id",
        "owner",
        "output_tokens",
        "begin_count",
        "first",
        "done",
        "started",
    )

    def __init__(
        self,
        *,
        request_id: str,
        attempt_id: str,
        owner: str,
        output_tokens: int,
        begin_count: float,
        first: typing.Callable[[], None],
        done: typing.Callable[[], None],
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.owner = owner
        self.output_tokens = output_tokens
        self.begin_count = begin_count
        self.first = first
        self.done = done
        self.started = False


class Clock(typing.Protocol):
    """The part of the virtual clock that the model uses."""

    now: float

    def after(self, delay: float, action: typing.Callable[[], None]) -> None:
        """Run an action after some seconds."""


class Engine:
    """One simulated engine, which runs on the virtual clock."""

    def __init__(self, *, name: str, zone: str, traits: EngineTraits, clock: Clock) -> None:
        self.name = name
        self.zone = zone
        self.traits = traits
        self.clock = clock
        self.alive = True
        self.slowdown = 1.0
        self.link_stalled = False
        self.prefilled_tokens = 0
        self.active_transfers = 0
        self.importing: dict[str, str] = {}
        self.streams: dict[str, Stream] = {}
        self._queue: list[tuple[int, int, PrefillJob]] = []
        self._running_prefill: PrefillJob | None = None
        self._heap_order = 0
        self._output_counter = 0.0
        self._counter_time = 0.0
        self._schedule_version = 0
        self._due_streams: list[tuple[float, int, Stream]] = []
        self._cache: collections.OrderedDict[int, Segment] = collections.OrderedDict()
        self._cached_tokens = 0
        self._cache_events: collections.deque[CacheEvent] = collections.deque(maxlen=512)
        self._cache_sequence = 0
        self._report_sequence = 0

    # --- Prefill ---------------------------------------------------------------------------------

    def prefill(self, job: PrefillJob) -> None:
        """Queue a prefill; ``job.on_done`` gets the cached tokens and the seconds that it took."""
        self._heap_order += 1
        heapq.heappush(self._queue, (-job.priority, self._heap_order, job))
        self._start_next_prefill()

    def _start_next_prefill(self) -> None:
        if self._running_prefill or not self._queue or not self.alive:
            return
        job = heapq.heappop(self._queue)[2]
        self._advance_counter()
        self._running_prefill = job
        self._schedule_next_output()
        cached_tokens = self._count_cached_tokens(job.segments)
        seconds = max(1, job.tokens - cached_tokens) / self.traits.prefill_rate * self.slowdown
        self.clock.after(seconds, lambda: self._finish_prefill(job, cached_tokens, seconds))

    def _finish_prefill(self, job: PrefillJob, cached_tokens: int, seconds: float) -> None:
        if self._running_prefill is not job or not self.alive:
            return
        self._advance_counter()
        self._running_prefill = None
        self._schedule_next_output()
        self.prefilled_tokens += job.tokens - cached_tokens
        self.store_prompt(job.segments)
        job.on_done(cached_tokens, seconds)
        self._start_next_prefill()

    def queued_prefill_tokens(self) -> int:
        """Return the number of prompt tokens of all queued and running prefills."""
        queued_tokens = sum(job.tokens for _, _, job in self._queue)
        return queued_tokens + (self._running_prefill.tokens if self._running_prefill else 0)

    # --- Prefix cache ----------------------------------------------------------------------------

    def _count_cached_tokens(self, segments: tuple[Segment, ...]) -> int:
        cached_tokens = 0
        for one in segments:
            if one.prefix not in self._cache:
                break
            self._cache.move_to_end(one.prefix)
            cached_tokens += one.tokens
        return cached_tokens

    def store_prompt(self, segments: tuple[Segment, ...]) -> None:
        """Cache a prompt's prefixes, evict the least recently used, and publish a cache event."""
        stored_pieces: list[int] = []
        evicted_pieces: list[int] = []
        for one in segments:
            if one.prefix not in self._cache:
                self._cache[one.prefix] = one
                self._cached_tokens += one.tokens
                stored_pieces.extend(one.pieces())
            self._cache.move_to_end(one.prefix)
        while self._cached_tokens > self.traits.cache_tokens:
            _, evicted_segment = self._cache.popitem(last=False)
            self._cached_tokens -= evicted_segment.tokens
            evicted_pieces.extend(evicted_segment.pieces())
        if stored_pieces or evicted_pieces:
            self._cache_sequence += 1
            self._cache_events.append(
                CacheEvent(
                    sequence=self._cache_sequence,
                    stored=tuple(stored_pieces),
                    evicted=tuple(evicted_pieces),
                )
            )

    def cache_events_after(self, sequence: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""
        return tuple(one for one in self._cache_events if one.sequence > sequence)

    # --- Decode ----------------------------------------------------------------------------------

    def used_slots(self) -> int:
        """Return the number of slots that streams and imports use."""
        return len(self.streams) + len(self.importing)

    def begin_import(self, attempt_id: str, owner: str) -> bool:
        """Reserve a slot for an import; returns False if none is free."""
        if self.used_slots() >= self.traits.slots:
            return False
        self.importing[attempt_id] = owner
        return True

    def transfer_seconds(self, tokens: int) -> float:
        """Return the duration of an import that starts now and shares the link, in seconds.

        The duration is infinite while the link is stalled.
        """
        if self.link_stalled:
            return float("inf")
        return (
            tokens
            * self.traits.kv_bytes_per_token
            * (self.active_transfers + 1)
            / self.traits.link_rate
        )

    def start_stream(self, stream: Stream) -> None:
        """Add a stream to the batch once its import is complete."""
        self.importing.pop(stream.attempt_id, None)
        self._advance_counter()
        stream.begin_count = self._output_counter
        self.streams[stream.attempt_id] = stream
        self._heap_order += 1
        heapq.heappush(self._due_streams, (stream.begin_count + 1, self._heap_order, stream))
        self._schedule_next_output()

    def cancel(self, attempt_id: str) -> None:
        """Remove an attempt from the prefill queue, the imports and the batch."""
        self._queue = [item for item in self._queue if item[2].attempt_id != attempt_id]
        heapq.heapify(self._queue)
        self._advance_counter()
        if self._running_prefill and self._running_prefill.attempt_id == attempt_id:
            self._running_prefill = None
        self.importing.pop(attempt_id, None)
        self.streams.pop(attempt_id, None)
        self._schedule_next_output()
        self._start_next_prefill()

    def crash(self) -> None:
        """Lose all attempts, as when the engine's process dies."""
        self._advance_counter()
        self.alive = False
        self.streams.clear()
        self.importing.clear()
        self._queue.clear()
        self._running_prefill = None
        self._schedule_version += 1

    def set_slowdown(self, factor: float) -> None:
        """Multiply the duration of every later prefill and output interval by a factor."""
        self._advance_counter()
        self.slowdown = factor
        self._schedule_next_output()

    def output_count(self, attempt_id: str) -> int:
        """Return the number of outputs of a running stream so far."""
        self._advance_counter()
        return max(1, int(self._output_counter - self.streams[attempt_id].begin_count))

    def output_interval(self) -> float:
        """Return the present time between outputs, in seconds; a running prefill doubles it."""
        seconds = self.traits.output_interval(len(self.streams)) * self.slowdown
        return 2 * seconds if self._running_prefill else seconds

    def _advance_counter(self) -> None:
        if self.streams:
            self._output_counter += (self.clock.now - self._counter_time) / self.output_interval()
        self._counter_time = self.clock.now

    def _schedule_next_output(self) -> None:
        self._schedule_version += 1
        while self._due_streams and self._due_streams[0][2].attempt_id not in self.streams:
            heapq.heappop(self._due_streams)
        if self._due_streams and self.alive:
            version = self._schedule_version
            delay = max(
                0.0, (self._due_streams[0][0] - self._output_counter) * self.output_interval()
            )
            self.clock.after(delay, lambda: self._run_due_streams(version))

    def _run_due_streams(self, version: int) -> None:
        if version != self._schedule_version:
            return
        self._advance_counter()
        while self._due_streams and self._due_streams[0][0] <= self._output_counter + 1e-6:
            stream = heapq.heappop(self._due_streams)[2]
            if self.streams.get(stream.attempt_id) is not stream:
                continue
            if not stream.started:
                stream.started = True
                stream.first()
                heapq.heappush(
                    self._due_streams,
                    (stream.begin_count + stream.output_tokens, self._heap_order, stream),
                )
                self._heap_order += 1
                continue
            del self.streams[stream.attempt_id]
            stream.done()
        self._schedule_next_output()

    # --- Reports ---------------------------------------------------------------------------------

    def report(self) -> EngineReport:
        """Return a report of the engine's load and streams."""
        self._report_sequence += 1
        stream_reports = tuple(
            StreamReport(
                request_id=one.request_id,
                attempt_id=one.attempt_id,
                owner=one.owner,
                phase="decode",
            )
            for one in self.streams.values()
        )
        import_reports = tuple(
            StreamReport(request_id="", attempt_id=attempt_id, owner=owner, phase="import")
            for attempt_id, owner in self.importing.items()
        )
        return EngineReport(
            engine=self.name,
            sequence=self._report_sequence,
            slots=self.traits.slots if "decode" in self.traits.roles else 0,
            used=self.used_slots(),
            queued_prefill_tokens=self.queued_prefill_tokens(),
            prefill_rate=self.traits.prefill_rate,
            link_rate=self.traits.link_rate,
            decode_interval=self.traits.output_interval(len(self.streams)) * self.slowdown,
            piece_tokens=PIECE_TOKENS,
            kv_bytes_per_token=self.traits.kv_bytes_per_token,
            roles=self.traits.roles,
            streams=stream_reports + import_reports,
        )
