"""HTTP client of the platform's store, which keeps topics: logs of records with a key each."""

import base64
import binascii
import time
import typing

import msgspec

from .._decoding import decode_json
from .._errors import LOG_UNAVAILABLE, Failure
from .._keyed_log import LogAnswer, encode_keyed
from .._progress_http import BrokenCallError, CallLimits, ProgressClient
from .._topics import BrokenOffError, HistoryLostError, KeyedRecord, Page, StoreError
from .._verdict import Verdict
from . import _names

PAGE_RETRIES = 2  # Most repetitions of a call for one page, so that those before stay of use.
ERA_SHIFT = 40  # Bits of an offset; an era counts above them.


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str | None = None  # Base64.


class _Newest(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    end_offset: int
    more: bool = False


class _Appended(msgspec.Struct):
    offset: int


class _Deleted(msgspec.Struct):
    first: int


class Store:
    """Client of the store.

    Args:
        url: Its base URL.
        limits: What bounds a call.

    Attributes:
        era: Highest era that an answer named; None before the first answer with one. Offsets are
            comparable within one era only.
        answered_at: Monotonic time when bytes of a usable answer came last.
    """

    __slots__ = ("era", "answered_at", "_client", "_report_restored")

    def __init__(self, url: str, limits: CallLimits | None = None) -> None:
        self.era: int | None = None
        self.answered_at = float("-inf")
        self._client = ProgressClient(url, limits or CallLimits())
        self._report_restored: typing.Callable[[int], None] | None = None

    def on_restored(self, report: typing.Callable[[int], None]) -> None:
        """Call a function with the new era once the store has been restored from a copy."""
        self._report_restored = report

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key of a topic.

        Raises:
            StoreError: If the store refused the call or gave no usable answer.
        """
        records: list[KeyedRecord] = []
        first_end = -1
        first_era = 0
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            body, era = await self._newest_page(query, PAGE_RETRIES if after else 0)
            try:
                page = decode_json(body, _Newest)
                records.extend(map(_decode_item, page.items))
            except (msgspec.MsgspecError, binascii.Error) as exc:
                raise StoreError(f"unreadable answer: {exc}") from exc
            if first_end >= 0 and era != first_era:
                raise HistoryLostError("the store was restored between two pages")
            first_era = era
            # The topic may change between two pages. So the next read starts where the topic ended
            # at the first page, and returns all changes since then, some for the second time.
            first_end = page.end_offset if first_end < 0 else first_end
            if not page.more or not page.items:
                return Page(records=records, next=first_end, era=era)
            after = page.items[-1].key

    async def _newest_page(self, query: dict[str, str], retries: int) -> tuple[bytearray, int]:
        """Return one page's body and era; repeat a call that broke off within the same era."""
        known = self.era
        while True:
            body = bytearray()
            try:
                return body, await self._call("GET", _names.LOG_NEWEST, query, receive=body.extend)
            except BrokenOffError:
                if not retries or self.era != known:
                    raise
                retries -= 1

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        *,
        on_end: typing.Callable[[int], None] | None = None,
    ) -> Page:
        """Return the records from an offset on, as `Topics.read` does."""
        query = {"topic": topic, "part": "0", "from": str(start), "wait-ms": str(int(wait * 1000))}
        log = LogAnswer(topic, start, on_end)
        try:
            era = await self._call("GET", _names.LOG_READ, query, wait=wait, receive=log.receive)
        except BrokenOffError as exc:
            if log.end is not None:
                self._refuse_older(exc.era)
            return log.page(exc.era or 0, str(exc))
        return log.page(era)

    async def append(
        self, topic: str, key: str, value: bytes, *, after: int | None = None
    ) -> int | Failure:
        """Append one keyed record and return its offset once the store has acknowledged it.

        Args:
            topic: Name of the topic.
            key: The record's key.
            value: The record's value.
            after: Offset at which the topic must end for the record to be accepted; None for any.

        Returns:
            The offset, which rises over all eras, or the failure.
        """
        body = encode_keyed(key, value)
        answer = bytearray()
        query = {"topic": topic, "part": "0"}
        if after is not None:
            query["at"] = str(after)
        try:
            era = await self._call(
                "POST", _names.LOG_APPEND, query, body=body, receive=answer.extend
            )
            return (era << ERA_SHIFT) + decode_json(answer, _Appended).offset
        except (StoreError, HistoryLostError, msgspec.MsgspecError) as exc:
            return store_failure(exc)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        body: bytes | None = None,
        wait: float = 0.0,
        receive: typing.Callable[[bytes], object],
    ) -> int:
        """Call the store, and pass on the parts of its answer; return the answer's era.

        Raises:
            HistoryLostError: If the store has deleted what was asked for.
            StoreError: If the store refused the call, or its answer is older than the last restore
                or not whole.
        """
        era: int | None = None
        refusal = bytearray()
        try:
            async with self._client.open(method, path, query, body=body, wait=wait) as answer:
                if answer.status != 200:
                    while part := await answer.read_part():
                        refusal += part
                era = self._check_era(answer.header(_names.STORE_ERA))
                if answer.status == 410:
                    raise HistoryLostError("the store answered status 410", _first_kept(refusal))
                if answer.status != 200:
                    raise StoreError(f"the store answered status {answer.status}")
                while part := await answer.read_part():
                    # Another answer may have named a later era since this one began.
                    self._refuse_older(era)
                    receive(part)
                    self.answered_at = time.monotonic()
        except BrokenCallError as exc:
            raise BrokenOffError(f"no answer from the store: {exc}", era) from exc
        self._refuse_older(era)
        self.answered_at = time.monotonic()
        return era or 0

    def _check_era(self, text: str) -> int | None:
        """Note and return the era that an answer names.

        Raises:
            StoreError: If the answer is older than the last restore.
        """
        era = int(text) if text.isdecimal() else None
        self._refuse_older(era)
        was_restored = self.era is not None and era > self.era
        self.era = era
        if was_restored and self._report_restored is not None:
            self._report_restored(era)
        return era

    def _refuse_older(self, era: int | None) -> None:
        if self.era is not None and (era is None or era < self.era):
            raise StoreError("the answer is older than the restored store")


def store_failure(exc: Exception) -> Failure:
    """Return the failure for a call to the store that may have been executed."""
    return Failure(reason=LOG_UNAVAILABLE, verdict=Verdict.MAY_HAVE_RUN, detail=str(exc))


def _first_kept(answer: bytearray) -> int | None:
    """Return the first offset that is kept, if an answer about deleted records names it."""
    try:
        return decode_json(answer, _Deleted).first
    except msgspec.MsgspecError:
        return None


def _decode_item(item: _Item) -> KeyedRecord:
    value = base64.b64decode(item.value) if item.value is not None else None
    return KeyedRecord(key=item.key, value=value, offset=item.offset)
