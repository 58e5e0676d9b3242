"""Posts routes and endpoints from the store as events, and keeps the register of hosts there."""

import asyncio
import random
import time
import typing

import msgspec

from .._begun_codec import decode_ages, decode_streams, encode_ages, encode_streams
from .._effects_forwarding import SaveStreams
from .._errors import Failure
from .._events import EndpointsRead, Event, FeedChanged, FindingsRead, RoutesRead
from .._findings_codec import encode_crashes, encode_sound
from .._forwarding import Findings, Listing
from .._hosts_codec import HostRecord, decode_host
from .._logging import log_event, log_exception
from .._ports import SavedStreams
from .._runner import Runner
from . import _names, _records
from ._store import HistoryLostError, Page, Record, Store, StoreError, store_failure

# Longest long poll for routes. It is short, so that a poll lost in an outage is noticed soon.
ROUTES_POLL_WAIT_S = 2.0
ENDPOINTS_POLL_WAIT_S = 2.0  # Longest long poll for endpoints.
# Pause between two reads of endpoints, since entries are rewritten more often than they change.
ENDPOINTS_PAUSE_S = 0.7
FINDINGS_POLL_WAIT_S = 5.0  # Longest long poll for findings, which seldom change.
# Pause between two reads of findings. It bounds the reads of a large fleet whose hosts all find
# something at once.
FINDINGS_PAUSE_S = 0.5
FIRST_RETRY_S = 0.1  # Delay after the first failed read; doubled at each failure, and jittered.
# Longest delay after a failed read, short compared to the time within which a configuration has to
# apply.
MAX_RETRY_S = 1.0

PageDecoder = typing.Callable[[float, Page, bool], Event | None]


class Feed:
    """Follows one topic, a log of keyed records: reads each key's newest record, then later ones.

    Once the store was restored from a copy, offsets begin anew, so all is read again.

    Args:
        store: Client of the store.
        name: Name of the feed in events and log lines.
        topic: Name of the topic.
        decode: Function that converts a page of records to an event, or to None if there is none.
            Its arguments are the monotonic time in seconds, the page, and whether the page has the
            newest record of every key.
        wait: Longest duration of a long poll, in seconds.
        pause: Delay between two reads, in seconds.
    """

    __slots__ = ("_store", "_name", "_topic", "_decode", "_wait", "_pause", "_up")

    def __init__(
        self,
        *,
        store: Store,
        name: str,
        topic: str,
        decode: PageDecoder,
        wait: float,
        pause: float = 0.0,
    ) -> None:
        self._store = store
        self._name = name
        self._topic = topic
        self._decode = decode
        self._wait = wait
        self._pause = pause
        self._up = True

    async def run(self, runner: Runner) -> None:
        """Follow the topic until cancelled; failed reads are retried."""
        position: int | None = None
        era = 0
        retry = FIRST_RETRY_S
        while True:
            try:
                has_all_keys = position is None
                # The first read after a failure does not wait, so missed changes apply at once.
                page = await self._read_page(position, self._wait if self._up else 0.0)
            except HistoryLostError as exc:
                log_event("history_lost", feed=self._name, error=str(exc))
                position = None
                await asyncio.sleep(FIRST_RETRY_S)
                continue
            except StoreError as exc:
                self._set_connected(runner, False, str(exc))
                await asyncio.sleep(retry * random.uniform(0.5, 1.0))
                retry = min(MAX_RETRY_S, 2 * retry)
                continue
            retry = FIRST_RETRY_S
            is_current = page.era == (self._store.era or 0)
            if not is_current or (position is not None and page.era != era):
                log_event("feed_begins_again", feed=self._name, era=page.era)
                position = None
                continue
            position, era = page.next, page.era
            self._set_connected(runner, True)
            self._post(runner, page, has_all_keys)
            await asyncio.sleep(self._pause)

    def _post(self, runner: Runner, page: Page, has_all_keys: bool) -> None:
        try:
            event = self._decode(runner.now(), page, has_all_keys)
        except Exception as exc:  # noqa: BLE001 - logged with its traceback
            # A page that can't be decoded must not end the feed, which the host can't do without.
            log_exception("page_unreadable", exc, feed=self._name)
            return
        if event is not None:
            runner.post(event)

    async def _read_page(self, position: int | None, wait: float) -> Page:
        if position is None:
            return await self._store.newest(self._topic)
        return await self._store.read(self._topic, position, wait)

    def _set_connected(self, runner: Runner, up: bool, why: str = "") -> None:
        if up != self._up:
            self._up = up
            runner.post(FeedChanged(at=runner.now(), feed=self._name, up=up, why=why))


def decode_routes(at: float, page: Page, has_all_keys: bool) -> RoutesRead | None:
    """Return the configuration of the highest version in a page, or None if there is none."""
    tables = []
    for record in page.records:
        if record.key != _names.CONFIG_KEY or record.value is None:
            continue
        try:
            tables.append(_records.decode_route_table(record.value))
        except msgspec.MsgspecError as exc:
            log_event("routes_unreadable", level="WARNING", offset=record.offset, error=str(exc))
    if not tables:
        return None
    return RoutesRead(at=at, table=max(tables, key=lambda table: table.version))


def decode_endpoints(at: float, page: Page, has_all_keys: bool) -> EndpointsRead:
    """Return a page's entries; one that can't be decoded is listed without an endpoint."""
    listings = tuple(map(_decode_listing, page.records))
    return EndpointsRead(at=at, listings=listings, upto=page.next, whole=has_all_keys)


def _decode_listing(record: Record) -> Listing:
    found = None
    if record.value is not None:
        try:
            found = _records.decode_endpoint(record.key, record.value)
        except msgspec.MsgspecError as exc:
            log_event("entry_unreadable", level="WARNING", entry=record.key, error=str(exc))
    return Listing(name=record.key, offset=record.offset, endpoint=found)


def decode_findings(at: float, page: Page, has_all_keys: bool) -> FindingsRead | None:
    """Return what hosts saved of their findings, or None if a page has nothing new."""
    if not page.records and not has_all_keys:
        return None
    found = []
    for record in page.records:
        try:
            found.append(_records.decode_findings(record.key, record.value or b"", at))
        except msgspec.MsgspecError as exc:
            log_event("findings_unreadable", level="WARNING", host=record.key, error=str(exc))
    return FindingsRead(at=at, findings=tuple(found), whole=has_all_keys)


class StoreHostRegister:
    """What entry hosts keep in the store: addresses, findings, and claims to order stage changes.

    A claim gives one host the right to order engines to change their stage (prefill or decode).

    Args:
        store: Client of the store.
    """

    __slots__ = ("_store",)

    def __init__(self, store: Store) -> None:
        self._store = store

    async def announce(self, host: str, record: HostRecord) -> Failure | None:
        """Register a host."""
        offset = await self._store.append(_names.HOSTS_TOPIC, host, msgspec.json.encode(record))
        return offset if isinstance(offset, Failure) else None

    async def last_claim(self) -> tuple[int, str] | Failure:
        """Return the end offset of the log of claims, and the last holder or an empty string."""
        try:
            page = await self._store.newest(_names.CLAIMS_TOPIC)
            values = [one.value for one in page.records if one.key == _names.CLAIM_KEY]
            holder = _records.decode_claim(values[-1] or b"").holder if values else ""
        except (StoreError, HistoryLostError, msgspec.MsgspecError) as exc:
            return store_failure(exc)
        return page.next, holder

    async def claim(self, holder: str, after: int) -> int | Failure:
        """Claim the right to order stage changes; fails if the log has grown past ``after``.

        Returns:
            The claim's offset, or the failure.
        """
        value = msgspec.json.encode(_records.ClaimRecord(holder=holder))
        return await self._store.append(_names.CLAIMS_TOPIC, _names.CLAIM_KEY, value, after=after)

    async def hosts(self) -> dict[str, HostRecord] | Failure:
        """Return the record of every host that ever registered, by name."""
        try:
            page = await self._store.newest(_names.HOSTS_TOPIC)
        except (StoreError, HistoryLostError) as exc:
            return store_failure(exc)
        found = {}
        for record in page.records:
            try:
                found[record.key] = decode_host(record.value or b"")
            except msgspec.MsgspecError as exc:
                log_event("host_unreadable", level="WARNING", host=record.key, error=str(exc))
        return found

    async def save_streams(self, host: str, effect: SaveStreams, now: float) -> Failure | None:
        """Save a host's streams in place of those that it saved before."""
        record = _records.StreamsRecord(
            saved_ms=int(time.time() * 1000),
            streams=encode_streams(effect.begun, now),
            builds=encode_ages(effect.builds),
        )
        offset = await self._store.append(_names.STREAMS_TOPIC, host, msgspec.json.encode(record))
        return offset if isinstance(offset, Failure) else None

    async def saved_streams(self, now: float) -> SavedStreams | Failure:
        """Return the streams that each host saved last."""
        try:
            page = await self._store.newest(_names.STREAMS_TOPIC)
        except (StoreError, HistoryLostError) as exc:
            return store_failure(exc)
        saved = SavedStreams(streams={}, builds=[])
        for one in page.records:
            try:
                record = _records.decode_streams_record(one.value or b"")
            except msgspec.MsgspecError as exc:
                log_event("streams_unreadable", level="WARNING", host=one.key, error=str(exc))
                continue
            passed = max(0.0, time.time() - record.saved_ms / 1000)
            saved.streams[one.key] = decode_streams(record.streams, now - passed)
            saved.builds.append(decode_ages(record.builds, passed))
        return saved

    async def save_findings(self, findings: Findings, now: float) -> Failure | None:
        """Save what a host has found in place of what it saved before."""
        record = _records.FindingsRecord(
            saved_ms=int(time.time() * 1000),
            crashes=encode_crashes(findings.crashes, now),
            sound=encode_sound(findings.sound, now),
        )
        value = msgspec.json.encode(record)
        offset = await self._store.append(_names.FINDINGS_TOPIC, findings.host, value)
        return offset if isinstance(offset, Failure) else None
