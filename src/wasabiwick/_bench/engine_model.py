"""Model of an engine: continuous batching, prefill queue, prefix cache, KV export and import.

All streams of a batch advance together, one output each interval, and the interval grows with the
batch. So the model keeps one counter of outputs since its start; a stream ends when the counter has
grown by the stream's length. Events are needed only when the batch changes.
"""

import collections
import heapq
import typing

from .._pieces import PIECE_TOKENS, PREFIX_LENGTHS
from .._wire import CacheEvent, EngineReport, StreamReport


class EngineTraits:
    """What one engine can do.

    Args:
        slots: Requests that its decode memory holds.
        prefill_rate: Tokens/s.
        base: Interval between outputs of an empty batch, in seconds.
        slope: Growth of the interval per request, in seconds.
        link_rate: Bytes/s into the engine.
        kv_bytes: Size of the KV cache of one token.
        cache_tokens: Tokens that the prefix cache holds.
        expiry: Seconds for which a prefill's result can be fetched.
        roles: ``prefill``, ``decode`` or both.
    """

    __slots__ = (
        "slots",
        "prefill_rate",
        "base",
        "slope",
        "link_rate",
        "kv_bytes",
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
        base: float = 0.024,
        slope: float = 0.001,
        link_rate: float = 5e9,
        kv_bytes: int = 100_000,
        cache_tokens: int = 300_000,
        expiry: float = 0.8,
    ) -> None:
        self.roles = roles
        self.slots = slots
        self.prefill_rate = prefill_rate
        self.base = base
        self.slope = slope
        self.link_rate = link_rate
        self.kv_bytes = kv_bytes
        self.cache_tokens = cache_tokens
        self.expiry = expiry

    def interval(self, batch: int) -> float:
        """Return the time between outputs at a batch size, in seconds."""
        return self.base + self.slope * batch

    def best_rate(self, target: float) -> float:
        """Return the most outputs per second at a batch whose interval keeps to a target."""
        batches = range(1, self.slots + 1)
        return max((b / self.interval(b) for b in batches if self.interval(b) <= target), default=0)


class Segment:
    """One part of a prompt; ``prefix`` names it together with all parts before it."""

    __slots__ = ("prefix", "tokens", "start")

    def __init__(self, *, prefix: int, tokens: int, start: int) -> None:
        self.prefix = prefix
        self.tokens = tokens
        self.start = start

    def pieces(self) -> tuple[int, ...]:
        """Return the hashes of the pieces that end in this part, at `PREFIX_LENGTHS`."""
        first = self.start // PIECE_TOKENS
        last = (self.start + self.tokens) // PIECE_TOKENS
        return tuple(
            self.prefix * 128 + length for length in PREFIX_LENGTHS if first < length <= last
        )


class Job:
    """One attempt at an engine."""

    __slots__ = ("request_id", "attempt_id", "owner", "segments", "tokens", "priority", "then")

    def __init__(
        self,
        *,
        request_id: str,
        attempt_id: str,
        owner: str,
        segments: tuple[Segment, ...],
        priority: int,
        then: typing.Callable[[int, float], None],
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.owner = owner
        self.segments = segments
        self.tokens = sum(one.tokens for one in segments)
        self.priority = priority
        self.then = then


class Stream:
    """One running output of ``length`` tokens that began at counter ``begin``."""

    __slots__ = ("request_id", "attempt_id", "owner", "length", "begin", "first", "done", "started")

    def __init__(
        self,
        *,
        request_id: str,
        attempt_id: str,
        owner: str,
        length: int,
        begin: float,
        first: typing.Callable[[], None],
        done: typing.Callable[[], None],
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.owner = owner
        self.length = length
        self.begin = begin
        self.first = first
        self.done = done
        self.started = False


class Clock(typing.Protocol):
    """What the model needs of the virtual clock."""

    now: float

    def after(self, delay: float, action: typing.Callable[[], None]) -> None:
        """Run an action after some seconds."""


class Engine:
    """One engine on the virtual clock."""

    def __init__(self, *, name: str, zone: str, traits: EngineTraits, clock: Clock) -> None:
        self.name = name
        self.zone = zone
        self.traits = traits
        self.clock = clock
        self.alive = True
        self.slow = 1.0
        self.link_stalled = False
        self.prefilled_tokens = 0
        self.transfers = 0
        self.importing: dict[str, str] = {}
        self.streams: dict[str, Stream] = {}
        self._queue: list[tuple[int, int, Job]] = []
        self._prefilling: Job | None = None
        self._order = 0
        self._counter = 0.0
        self._counted_at = 0.0
        self._version = 0
        self._due: list[tuple[float, int, Stream]] = []
        self._cache: collections.OrderedDict[int, Segment] = collections.OrderedDict()
        self._cached_tokens = 0
        self._events: collections.deque[CacheEvent] = collections.deque(maxlen=512)
        self._sequence = 0
        self._reports = 0

    # --- Prefill ---------------------------------------------------------------------------------

    def prefill(self, job: Job) -> None:
        """Queue a prefill; ``job.then`` gets the cached tokens and the seconds it took."""
        self._order += 1
        heapq.heappush(self._queue, (-job.priority, self._order, job))
        self._next_prefill()

    def _next_prefill(self) -> None:
        if self._prefilling or not self._queue or not self.alive:
            return
        job = heapq.heappop(self._queue)[2]
        self._advance()
        self._prefilling = job
        self._reschedule()
        cached = self._lookup(job.segments)
        seconds = max(1, job.tokens - cached) / self.traits.prefill_rate * self.slow
        self.clock.after(seconds, lambda: self._prefilled(job, cached, seconds))

    def _prefilled(self, job: Job, cached: int, seconds: float) -> None:
        if self._prefilling is not job or not self.alive:
            return
        self._advance()
        self._prefilling = None
        self._reschedule()
        self.prefilled_tokens += job.tokens - cached
        self.store(job.segments)
        job.then(cached, seconds)
        self._next_prefill()

    def queued_tokens(self) -> int:
        """Return the prompt tokens whose prefill has not ended."""
        waiting = sum(job.tokens for _, _, job in self._queue)
        return waiting + (self._prefilling.tokens if self._prefilling else 0)

    # --- Prefix cache ----------------------------------------------------------------------------

    def _lookup(self, segments: tuple[Segment, ...]) -> int:
        cached = 0
        for one in segments:
            if one.prefix not in self._cache:
                break
            self._cache.move_to_end(one.prefix)
            cached += one.tokens
        return cached

    def store(self, segments: tuple[Segment, ...]) -> None:
        """Keep a prompt in the prefix cache, and publish what changed."""
        stored: list[int] = []
        evicted: list[int] = []
        for one in segments:
            if one.prefix not in self._cache:
                self._cache[one.prefix] = one
                self._cached_tokens += one.tokens
                stored.extend(one.pieces())
            self._cache.move_to_end(one.prefix)
        while self._cached_tokens > self.traits.cache_tokens:
            _, old = self._cache.popitem(last=False)
            self._cached_tokens -= old.tokens
            evicted.extend(old.pieces())
        if stored or evicted:
            self._sequence += 1
            self._events.append(
                CacheEvent(sequence=self._sequence, stored=tuple(stored), evicted=tuple(evicted))
            )

    def events_after(self, sequence: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""
        return tuple(one for one in self._events if one.sequence > sequence)

    # --- Decode ----------------------------------------------------------------------------------

    def used(self) -> int:
        """Return the slots in use."""
        return len(self.streams) + len(self.importing)

    def begin_import(self, attempt_id: str, owner: str) -> bool:
        """Take a slot for an import; False if none is free."""
        if self.used() >= self.traits.slots:
            return False
        self.importing[attempt_id] = owner
        return True

    def transfer_seconds(self, tokens: int) -> float:
        """Return how long an import that begins now will take."""
        if self.link_stalled:
            return float("inf")
        return tokens * self.traits.kv_bytes * (self.transfers + 1) / self.traits.link_rate

    def start_stream(self, stream: Stream) -> None:
        """Add a stream to the batch; its import has ended."""
        self.importing.pop(stream.attempt_id, None)
        self._advance()
        stream.begin = self._counter
        self.streams[stream.attempt_id] = stream
        self._order += 1
        heapq.heappush(self._due, (stream.begin + 1, self._order, stream))
        self._reschedule()

    def cancel(self, attempt_id: str) -> None:
        """Forget an attempt, wherever it is."""
        self._queue = [item for item in self._queue if item[2].attempt_id != attempt_id]
        heapq.heapify(self._queue)
        self._advance()
        if self._prefilling and self._prefilling.attempt_id == attempt_id:
            self._prefilling = None
        self.importing.pop(attempt_id, None)
        self.streams.pop(attempt_id, None)
        self._reschedule()
        self._next_prefill()

    def stop(self) -> None:
        """Lose everything, as when the engine's process dies."""
        self._advance()
        self.alive = False
        self.streams.clear()
        self.importing.clear()
        self._queue.clear()
        self._prefilling = None
        self._version += 1

    def set_slow(self, factor: float) -> None:
        """Make every step of the engine take longer by a factor."""
        self._advance()
        self.slow = factor
        self._reschedule()

    def offset(self, attempt_id: str) -> int:
        """Return how many outputs a running stream has made."""
        self._advance()
        return max(1, int(self._counter - self.streams[attempt_id].begin))

    def interval(self) -> float:
        """Return the present time between outputs, in seconds; a prefill doubles it."""
        seconds = self.traits.interval(len(self.streams)) * self.slow
        return 2 * seconds if self._prefilling else seconds

    def _advance(self) -> None:
        if self.streams:
            self._counter += (self.clock.now - self._counted_at) / self.interval()
        self._counted_at = self.clock.now

    def _reschedule(self) -> None:
        self._version += 1
        while self._due and self._due[0][2].attempt_id not in self.streams:
            heapq.heappop(self._due)
        if self._due and self.alive:
            version = self._version
            delay = max(0.0, (self._due[0][0] - self._counter) * self.interval())
            self.clock.after(delay, lambda: self._tick(version))

    def _tick(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        while self._due and self._due[0][0] <= self._counter + 1e-6:
            stream = heapq.heappop(self._due)[2]
            if self.streams.get(stream.attempt_id) is not stream:
                continue
            if not stream.started:
                stream.started = True
                stream.first()
                heapq.heappush(self._due, (stream.begin + stream.length, self._order, stream))
                self._order += 1
                continue
            del self.streams[stream.attempt_id]
            stream.done()
        self._reschedule()

    # --- Reports ---------------------------------------------------------------------------------

    def report(self) -> EngineReport:
        """Return the engine's account of its load."""
        self._reports += 1
        running = tuple(
            StreamReport(
                request_id=one.request_id,
                attempt_id=one.attempt_id,
                owner=one.owner,
                phase="decode",
            )
            for one in self.streams.values()
        )
        importing = tuple(
            StreamReport(request_id="", attempt_id=attempt_id, owner=owner, phase="import")
            for attempt_id, owner in self.importing.items()
        )
        return EngineReport(
            engine=self.name,
            sequence=self._reports,
            slots=self.traits.slots if "decode" in self.traits.roles else 0,
            used=self.used(),
            queued_prefill_tokens=self.queued_tokens(),
            prefill_rate=self.traits.prefill_rate,
            link_rate=self.traits.link_rate,
            decode_interval=self.traits.interval(len(self.streams)) * self.slow,
            piece_tokens=PIECE_TOKENS,
            kv_bytes_per_token=self.traits.kv_bytes,
            roles=self.traits.roles,
            streams=running + importing,
        )
