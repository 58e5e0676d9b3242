"""Reads the streams that hosts saved in the store."""

import asyncio
import time

import msgspec

from . import _saved_codec
from ._logging import log_event
from ._ports import SavedStreams
from ._topic_copy import TopicCopy
from ._topics import KeyedRecord, Topics


class SavedStreamsReader:
    """Reads what each host saved last, and keeps it for a while to read only what has changed.

    Args:
        store: The store.
        topics: Names of the topics that hosts save to.
    """

    __slots__ = ("_copies", "_clock_offset")

    def __init__(self, store: Topics, topics: tuple[str, ...]) -> None:
        self._clock_offset = 0.0
        self._copies = [
            TopicCopy(store=store, topic=topic, decode=self._decode) for topic in topics
        ]

    async def read(self, now: float) -> SavedStreams:
        """Return the streams that each host saved last, in any of the topics.

        Args:
            now: Monotonic time. What was saved before it is returned.

        Raises:
            HistoryLostError: If the store was restored meanwhile.
            StoreError: If the store refused a call or gave no usable answer.
        """
        self._clock_offset = now - time.monotonic()
        reads = await asyncio.gather(*(copy.read() for copy in self._copies))
        # Records read before a restore name an earlier era, too.
        saved = SavedStreams(streams={}, builds=[], saved={}, era=max(era for _, era in reads))
        for host, found in (one for values, _ in reads for one in values.items()):
            _saved_codec.add_streams(saved, host, found)
        return saved

    def _decode(self, record: KeyedRecord) -> _saved_codec.HostStreams | None:
        now = time.monotonic() + self._clock_offset
        try:
            return _saved_codec.decode_streams_record(record.value or b"", now)
        except msgspec.MsgspecError as exc:
            log_event("streams_unreadable", level="WARNING", host=record.key, error=str(exc))
            return None
