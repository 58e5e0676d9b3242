"""Posts routes and endpoints from the store as events, and keeps the register of hosts there."""

import msgspec

from .. import _saved_codec
from .._effects_forwarding import SaveStreams
from .._errors import Failure
from .._events import EndpointsRead, FindingsRead, RoutesRead
from .._forwarding import Findings, Listing
from .._hosts_codec import HostRecord, decode_host
from .._logging import log_event
from .._ports import SavedStreams
from .._saved_streams import SavedStreamsReader
from .._topic_copy import TopicCopy
from .._topics import HistoryLostError, KeyedRecord, Page, StoreError, kept_records
from . import _names, _records
from ._store import Store, store_failure

# Longest long poll for routes. It is short, so that a poll lost in an outage is noticed soon.
ROUTES_POLL_WAIT_S = 2.0
ENDPOINTS_POLL_WAIT_S = 2.0  # Longest long poll for endpoints.
FINDINGS_POLL_WAIT_S = 5.0  # Longest long poll for findings, which seldom change.
# Pause between two reads of findings. It bounds the reads of a large fleet whose hosts all find
# something at once.
FINDINGS_PAUSE_S = 0.5


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


def listed_content(record: KeyedRecord) -> object:
    """Return what an entry says of its endpoint, without what changes each time it is renewed."""
    return _decode_listing(record).endpoint


def _decode_listing(record: KeyedRecord) -> Listing:
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
            found.append(_saved_codec.decode_findings(record.key, record.value or b"", at))
        except msgspec.MsgspecError as exc:
            log_event("findings_unreadable", level="WARNING", host=record.key, error=str(exc))
    return FindingsRead(at=at, findings=tuple(found), whole=has_all_keys)


def _decode_host(record: KeyedRecord) -> HostRecord | None:
    try:
        return decode_host(record.value or b"")
    except msgspec.MsgspecError as exc:
        log_event("host_unreadable", level="WARNING", host=record.key, error=str(exc))
        return None


class StoreHostRegister:
    """What entry hosts keep in the store: addresses, findings, and claims to order stage changes.

    A claim gives one host the right to order engines to change their stage (prefill or decode).

    Args:
        store: Client of the store.
    """

    __slots__ = ("_store", "_streams", "_hosts")

    def __init__(self, store: Store) -> None:
        self._store = store
        topics = (_names.STREAMS_TOPIC, _names.SPARE_STREAMS_TOPIC)
        self._streams = SavedStreamsReader(store, topics)
        self._hosts = TopicCopy(store=store, topic=_names.HOSTS_TOPIC, decode=_decode_host)

    async def announce(self, host: str, record: HostRecord) -> Failure | None:
        """Register a host."""
        offset = await self._store.append(_names.HOSTS_TOPIC, host, msgspec.json.encode(record))
        return offset if isinstance(offset, Failure) else None

    async def last_claim(self) -> tuple[int, str] | Failure:
        """Return the end offset of the log of claims, and the last holder or an empty string."""
        try:
            page = await self._store.newest(_names.CLAIMS_TOPIC)
            values = [one.value for one in page.records if one.key == _names.CLAIM_KEY]
            holder = _saved_codec.decode_claim(values[-1] or b"").holder if values else ""
        except (StoreError, HistoryLostError, msgspec.MsgspecError) as exc:
            return store_failure(exc)
        return page.next, holder

    async def claim(self, holder: str, after: int) -> int | Failure:
        """Claim the right to order stage changes; fails if the log has grown past ``after``.

        Returns:
            The claim's offset, or the failure.
        """
        value = msgspec.json.encode(_saved_codec.ClaimRecord(holder=holder))
        return await self._store.append(_names.CLAIMS_TOPIC, _names.CLAIM_KEY, value, after=after)

    async def hosts(self) -> dict[str, HostRecord] | Failure:
        """Return the record of every host that ever registered, by name."""
        try:
            found, _ = await self._hosts.read()
        except (StoreError, HistoryLostError) as exc:
            return store_failure(exc)
        return found

    async def save_streams(self, host: str, effect: SaveStreams, now: float) -> Failure | None:
        """Save a host's streams in place of those that it saved before."""
        value = _saved_codec.encode_streams_record(effect, now)
        topic = _names.SPARE_STREAMS_TOPIC if effect.spare else _names.STREAMS_TOPIC
        offset = await self._store.append(topic, host, value)
        return offset if isinstance(offset, Failure) else None

    async def saved_streams(self, now: float, *, history: bool = False) -> SavedStreams | Failure:
        """Return the streams that each host saved last, in either topic.

        With ``history``, the entries of the list of endpoints are added that were written since the
        earliest save that is still believed.
        """
        try:
            saved = await self._streams.read(now)
        except (StoreError, HistoryLostError) as exc:
            return store_failure(exc)
        start = saved.listed_upto
        if history and start is not None:
            try:
                kept = await kept_records(self._store, _names.SERVERS_TOPIC, start)
            except (StoreError, HistoryLostError) as exc:
                return store_failure(exc)
            saved.history = tuple(map(_decode_listing, kept))
        return saved

    async def save_findings(self, findings: Findings, now: float) -> Failure | None:
        """Save what a host has found in place of what it saved before."""
        value = _saved_codec.encode_findings(findings, now)
        offset = await self._store.append(_names.FINDINGS_TOPIC, findings.host, value)
        return offset if isinstance(offset, Failure) else None
