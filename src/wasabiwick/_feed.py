"""Follows a topic of the platform's store, and posts what changes as events."""

import asyncio
import random
import typing

from ._events import Event, FeedBehind, FeedChanged
from ._feed_lag import SPREAD_S, FeedLag
from ._feed_log import FeedLog
from ._logging import log_event, log_exception
from ._read_turns import ToldPage
from ._runner import Runner
from ._topics import HistoryLostError, KeyedRecord, Page, StoreError, Topics

FIRST_RETRY_S = 0.1  # Delay after the first failed read; doubled at each failure, and jittered.
# Longest delay after a failed read, short compared to the time within which a configuration has to
# apply.
MAX_RETRY_S = 1.0
# Time from the start of an answer to its end within which its records are told without saying
# before that there are some.
SHORT_ANSWER_S = 0.05
# Fewest missing records for which the newest one of each key is read instead. Its form is a third
# larger.
MIN_SKIPPED = 2

PageDecoder = typing.Callable[[float, Page, bool], Event | None]


class Feed:
    """Follows one topic, a log of keyed records: reads each key's newest record, then later ones.

    Where other hosts read for this one (`ReadTurns`), what they tell is applied like what it reads.
    A host that was told that more exists than it has read reads for itself until it has got there.
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
        content: Function that returns what of a record is told to other hosts once it changes.
        is_short: Whether its reads are kept short where other hosts rely on this one, so that they
            show whether the store is reached; one feed has to do so for all.
        newest_only: Whether only a key's newest record counts, so that superseded ones need not be
            read.
    """

    __slots__ = (
        "_store",
        "_name",
        "_topic",
        "_decode",
        "_wait",
        "_pause",
        "_content",
        "_is_short",
        "_newest_only",
        "_can_skip",
        "_contents",
        "_lag",
        "_log",
        "_missing",
        "_up",
    )

    def __init__(
        self,
        *,
        store: Topics,
        name: str,
        topic: str,
        decode: PageDecoder,
        wait: float,
        pause: float = 0.0,
        content: typing.Callable[[KeyedRecord], object] = lambda record: record.offset,
        is_short: bool = False,
        newest_only: bool = False,
    ) -> None:
        self._store = store
        self._name = name
        self._topic = topic
        self._decode = decode
        self._wait = wait
        self._pause = pause
        self._content = content
        self._is_short = is_short
        self._newest_only = newest_only
        self._can_skip = newest_only
        self._contents: dict[str, object] = {}
        self._lag = FeedLag()
        self._log = FeedLog(name)
        self._missing = 0
        self._up = True

    async def run(self, runner: Runner) -> None:
        """Follow the topic until cancelled; after an error in the program it is followed anew."""
        while True:
            try:
                await self._follow(runner)
            except Exception as exc:  # noqa: BLE001 - logged with its traceback
                # A host whose feeds have ended would stay at what it knows for good.
                log_exception("feed_failed", exc, feed=self._name)
            await asyncio.sleep(MAX_RETRY_S)

    async def _follow(self, runner: Runner) -> None:
        """Follow the topic; failed reads are retried."""
        position: int | None = None
        era = 0
        retry = FIRST_RETRY_S
        turns = runner.ports.turns
        lag = self._lag
        lag.forget()
        while True:
            told = None
            if position is not None:
                pause = self._pause if self._up else 0.0
                told = await turns.next_page(self._name, pause, lag.due)
            if told is not None and told.era == era:
                position = self._apply_told(runner, told, position)
                continue
            try:
                # The first read after a failure does not wait, so missed changes apply at once.
                is_poll = self._up and told is None and turns.reads
                wait = self._wait
                if self._is_short:
                    wait = turns.short_wait(wait, self._pause)
                lag.ask()
                wait = wait if is_poll else 0.0
                page, has_all_keys = await self._read_telling(runner, position, era, wait)
            except HistoryLostError as exc:
                log_event("history_lost", feed=self._name, error=str(exc))
                # What was deleted before it was read is superseded or gone, which is news as well.
                deleted = 0 if position is None else (exc.first or 0) - position
                position = None
                lag.forget()
                self._report_missing(runner, max(deleted, self._missing))
                await asyncio.sleep(FIRST_RETRY_S)
                continue
            except StoreError as exc:
                self._set_connected(runner, False, str(exc))
                self._log.failed(runner.now(), str(exc))
                if self._missing:
                    self._log.behind(runner.now(), lag.position, self._missing)
                await asyncio.sleep(retry * random.uniform(0.5, 1.0))
                retry = min(MAX_RETRY_S, 2 * retry)
                continue
            retry = FIRST_RETRY_S
            self._log.succeeded()
            is_current = page.era == (self._store.era or 0)
            if not is_current or (position is not None and page.era != era):
                log_event("feed_begins_again", feed=self._name, era=page.era)
                position = None
                lag.forget()
                continue
            self._apply_page(runner, page, position, has_all_keys)
            has_progress = page.next != position
            position, era = page.next, page.era
            if lag.missing and not has_progress:
                await asyncio.sleep(FIRST_RETRY_S)

    def _apply_told(self, runner: Runner, told: ToldPage, position: int) -> int:
        """Apply what another host told of this era, and return where the next read starts."""
        if told.follows(position, told.era) and told.upto > position:
            position = told.upto
            self._lag.reach(position)
            self._post(runner, Page(records=told.records, next=position, era=told.era), False)
        self._lag.hear(told.upto, SPREAD_S)
        self._report_missing(runner, self._lag.missing)
        if not self._lag.missing:
            self._set_connected(runner, True)
        return position

    def _apply_page(
        self, runner: Runner, page: Page, position: int | None, has_all_keys: bool
    ) -> None:
        """Apply a page that was read from a position on, and tell other hosts what is new."""
        news = self._news(page, position, has_all_keys)
        self._lag.read(page.next, page.end)
        missing = self._lag.missing
        self._report_missing(runner, missing)
        self._can_skip = self._newest_only and (self._can_skip or not missing)
        self._set_connected(runner, True)
        self._post(runner, page, has_all_keys)
        # An answer that brought nothing of what exists does not say that nothing is new.
        is_told = news is not None and (news.upto > news.after or not missing)
        addresses = runner.ports.turns.addresses
        if is_told and addresses:
            runner.ports.datagrams.send_page(addresses, news)

    async def _read_telling(
        self, runner: Runner, position: int | None, era: int, wait: float
    ) -> tuple[Page, bool]:
        """Read a page; meanwhile, tell the hosts that rely on this one what is known of its end.

        That nothing is new is told only while this host knows so: while the read waits for news,
        the last one did not fail, and the store answers this host's other calls. That more exists
        is told as soon as it is known, if the read then goes on.

        Returns:
            The page, and whether it has the newest record of every key.
        """
        turns = runner.ports.turns
        grown: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def on_end(end: int) -> None:
            if not grown.done() and end > position and era == (self._store.era or 0):
                grown.set_result(end)

        has_all_keys = position is None
        wait_ends = runner.now() + wait
        reading = asyncio.ensure_future(self._read_page(position, wait, on_end))
        try:
            while position is not None:
                done, _ = await asyncio.wait(
                    {reading, grown},
                    timeout=turns.tell_interval,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    break
                is_answered = runner.now() - self._store.answered_at <= turns.answered_within
                is_current = era == (self._store.era or 0) and not self._lag.missing
                if self._up and is_answered and is_current and runner.now() <= wait_ends:
                    self._tell(runner, era, position, position, ())
            if grown.done() and not reading.done() and self._skips(grown.result() - position):
                reading.cancel()
                has_all_keys = True
                reading = asyncio.ensure_future(self._store.newest(self._topic))
            if grown.done():
                await asyncio.wait({reading}, timeout=SHORT_ANSWER_S)
                if not reading.done() or reading.exception() is not None:
                    self._lag.hear(grown.result())
                    self._report_missing(runner, self._lag.missing)
                    self._tell(runner, era, position, grown.result(), None)
            page = await reading
            self._can_skip = self._newest_only if has_all_keys else self._can_skip
            return page, has_all_keys
        finally:
            reading.cancel()

    def _skips(self, missing: int) -> bool:
        """Return whether to read the newest record of each key instead of all that are missing.

        It is not tried again after a failure, until the feed has read all there is.
        """
        if missing < MIN_SKIPPED or not self._can_skip:
            return False
        self._can_skip = False
        return True

    def _tell(
        self,
        runner: Runner,
        era: int,
        after: int,
        upto: int,
        records: tuple[KeyedRecord, ...] | None,
    ) -> None:
        addresses = runner.ports.turns.addresses
        if addresses:
            page = ToldPage(feed=self._name, era=era, after=after, upto=upto, records=records)
            runner.ports.datagrams.send_page(addresses, page)

    def _news(self, page: Page, after: int | None, has_all_keys: bool) -> ToldPage | None:
        """Return what a page says that is new, to be told to other hosts; None for a first page.

        A first page has every key. One that is missing there is new once it is back, also with the
        content that it had, as hosts that read the page without it have dropped it. A key that is
        missing in a later page of every key can't be told, so that the others read for themselves.
        """
        new = []
        keys = {record.key for record in page.records}
        has_lost_keys = has_all_keys and not self._contents.keys() <= keys
        if after is None or has_lost_keys:
            self._contents.clear()
        for record in page.records:
            content = self._content_of(record)
            if record.key not in self._contents or self._contents[record.key] != content:
                self._contents[record.key] = content
                new.append(record)
        if after is None:
            return None
        records = None if has_lost_keys else tuple(new)
        return ToldPage(
            feed=self._name, era=page.era, after=after, upto=page.next, records=records
        ).fitting()

    def _content_of(self, record: KeyedRecord) -> object:
        try:
            return self._content(record)
        except Exception as exc:  # noqa: BLE001 - logged with its traceback
            # The record counts as changed. Other hosts decode it themselves, and must not miss it.
            log_exception("record_unreadable", exc, feed=self._name, key=record.key)
            return record.offset

    def _post(self, runner: Runner, page: Page, has_all_keys: bool) -> None:
        try:
            event = self._decode(runner.now(), page, has_all_keys)
        except Exception as exc:  # noqa: BLE001 - logged with its traceback
            # A page that can't be decoded must not end the feed, which the host can't do without.
            log_exception("page_unreadable", exc, feed=self._name)
            return
        if event is not None:
            runner.post(event)

    async def _read_page(
        self, position: int | None, wait: float, on_end: typing.Callable[[int], None]
    ) -> Page:
        if position is None:
            return await self._store.newest(self._topic)
        return await self._store.read(self._topic, position, wait, on_end=on_end)

    def _report_missing(self, runner: Runner, missing: int) -> None:
        if missing != self._missing:
            self._missing = missing
            runner.post(FeedBehind(at=runner.now(), feed=self._name, missing=self._missing))
            self._log.behind(runner.now(), self._lag.position, self._missing)

    def _set_connected(self, runner: Runner, up: bool, why: str = "") -> None:
        if up != self._up:
            self._up = up
            runner.post(FeedChanged(at=runner.now(), feed=self._name, up=up, why=why))
