"""Feeds of facts from the store: routes and endpoints as events, and the list of hosts."""

import asyncio
import random
import typing

import msgspec

from .._errors import Failure
from .._events import EndpointsRead, Event, FeedChanged, RoutesRead
from .._forwarding import Listing
from .._logging import log_event, log_exception
from .._runner import Runner
from . import _names, _records
from ._store import HistoryLostError, Page, Record, Store, StoreError, failure

ROUTES_WAIT = 2.0  # Seconds of one long poll: an outage that swallowed it is noticed soon after.
ENDPOINTS_WAIT = 2.0
ENDPOINTS_PAUSE = 0.7  # Seconds between reads, as endpoints write more often than they change.
RETRY_FIRST = 0.1  # Seconds; doubled at each failure, and jittered.
RETRY_LONGEST = 1.0  # Seconds; short against the time in which a configuration has to apply.

Decode = typing.Callable[[float, Page, bool], Event | None]


class Feed:
    """Follows one topic: the newest records first, then each change.

    Args:
        store: Client of the store.
        name: Name of the feed in events and logs.
        topic: Name of the topic.
        decode: Turns a page into an event.
        wait: Seconds of one long poll.
        pause: Seconds between two reads.
    """

    __slots__ = ("_store", "_name", "_topic", "_decode", "_wait", "_pause", "_up")

    def __init__(
        self,
        *,
        store: Store,
        name: str,
        topic: str,
        decode: Decode,
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
        """Follow the topic for as long as the process lives."""
        position: int | None = None
        retry = RETRY_FIRST
        while True:
            try:
                whole = position is None
                # The first read after a failure does not wait, so as to tell at once what changed.
                page = await self._next(position, self._wait if self._up else 0.0)
            except HistoryLostError as exc:
                log_event("history_lost", feed=self._name, error=str(exc))
                position = None
                await asyncio.sleep(RETRY_FIRST)
                continue
            except StoreError as exc:
                self._note(runner, False, str(exc))
                await asyncio.sleep(retry * random.uniform(0.5, 1.0))
                retry = min(RETRY_LONGEST, 2 * retry)
                continue
            retry = RETRY_FIRST
            position = page.next
            self._note(runner, True)
            self._tell(runner, page, whole)
            await asyncio.sleep(self._pause)

    def _tell(self, runner: Runner, page: Page, whole: bool) -> None:
        try:
            event = self._decode(runner.now(), page, whole)
        except Exception as exc:  # noqa: BLE001 - logged with its traceback
            # A fault in reading one page must not end the feed, which the host can't do without.
            log_exception("page_unreadable", exc, feed=self._name)
            return
        if event is not None:
            runner.post(event)

    async def _next(self, position: int | None, wait: float) -> Page:
        if position is None:
            return await self._store.newest(self._topic)
        return await self._store.read(self._topic, position, wait)

    def _note(self, runner: Runner, up: bool, why: str = "") -> None:
        if up != self._up:
            self._up = up
            runner.post(FeedChanged(at=runner.now(), feed=self._name, up=up, why=why))


def routes_read(at: float, page: Page, whole: bool) -> RoutesRead | None:
    """Return the newest configuration of a page, or None where it has none."""
    tables = []
    for record in page.records:
        if record.key != _names.CONFIG_KEY or record.value is None:
            continue
        try:
            tables.append(_records.route_table(record.value))
        except msgspec.MsgspecError as exc:
            log_event("routes_unreadable", level="WARNING", offset=record.offset, error=str(exc))
    if not tables:
        return None
    return RoutesRead(at=at, table=max(tables, key=lambda table: table.version))


def endpoints_read(at: float, page: Page, whole: bool) -> EndpointsRead:
    """Return the entries of a page."""
    listings = tuple(map(_listing, page.records))
    return EndpointsRead(at=at, listings=listings, upto=page.next, whole=whole)


def _listing(record: Record) -> Listing:
    found = None
    if record.value is not None:
        try:
            found = _records.endpoint(record.key, record.value)
        except msgspec.MsgspecError as exc:
            log_event("entry_unreadable", level="WARNING", entry=record.key, error=str(exc))
    return Listing(name=record.key, offset=record.offset, endpoint=found)


class Register:
    """What entry hosts keep in the store: the list in which they find each other, and claims.

    Args:
        store: Client of the store.
    """

    __slots__ = ("_store",)

    def __init__(self, store: Store) -> None:
        self._store = store

    async def announce(self, host: str, address: str, zone: str) -> Failure | None:
        """Enter a host."""
        value = msgspec.json.encode(_records.HostRecord(address=address, zone=zone))
        offset = await self._store.append(_names.HOSTS_TOPIC, host, value)
        return offset if isinstance(offset, Failure) else None

    async def last_claim(self) -> tuple[int, str] | Failure:
        """Return where the log of claims ends, and the holder of the last one."""
        try:
            page = await self._store.newest(_names.CLAIMS_TOPIC)
            values = [one.value for one in page.records if one.key == _names.CLAIM_KEY]
            holder = _records.claim(values[-1] or b"").holder if values else ""
        except (StoreError, HistoryLostError, msgspec.MsgspecError) as exc:
            return failure(exc)
        return page.next, holder

    async def claim(self, holder: str, after: int) -> int | Failure:
        """Claim the right to give orders, if no claim came since; returns its offset."""
        value = msgspec.json.encode(_records.ClaimRecord(holder=holder))
        return await self._store.append(_names.CLAIMS_TOPIC, _names.CLAIM_KEY, value, after=after)

    async def hosts(self) -> list[tuple[str, str, str]] | Failure:
        """Return name, address and zone of all hosts that ever entered."""
        try:
            page = await self._store.newest(_names.HOSTS_TOPIC)
        except (StoreError, HistoryLostError) as exc:
            return failure(exc)
        found = []
        for record in page.records:
            try:
                host = _records.host(record.value or b"")
            except msgspec.MsgspecError as exc:
                log_event("host_unreadable", level="WARNING", host=record.key, error=str(exc))
                continue
            found.append((record.key, host.address, host.zone))
        return found
