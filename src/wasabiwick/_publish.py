"""Publishes the two lists, plans and allowances.

A publication appends a record to the log, checks whether the record took effect, and waits until
all live hosts have the new version in force.
"""

import asyncio
import random
import time
import typing

import aiohttp
import msgspec
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import _configuration
from ._adapters._http import request_json
from ._configuration import Content, History
from ._errors import Failure
from ._ports import HostList, LogService
from ._status import Status
from ._wire import Configuration, HostEntry

STREAM = "configuration"
FIRST_RETRY_DELAY_S = 0.2  # Wait after the first failed append; doubled after each further one.
MAX_RETRY_DELAY_S = 2.0
POLL_INTERVAL_S = 0.2  # Wait between two rounds of asking hosts for their versions.
STATUS_TIMEOUT_S = 1.0
MAX_STATUS_CALLS = 32  # Maximum number of concurrent status requests to hosts.

IN_FORCE = "in_force"
LOST = "lost"
UNCHANGED = "unchanged"
UNKNOWN = "unknown"
NOT_PUBLISHED = "not_published"


class Signer:
    """A publisher's private key, and the id of its public key in the hosts' settings."""

    __slots__ = ("key_id", "key")

    def __init__(self, *, key_id: str, key: ed25519.Ed25519PrivateKey) -> None:
        self.key_id = key_id
        self.key = key


class HostVersion(msgspec.Struct):
    """The configuration version that one host has in force, or -1 if the host did not answer."""

    host: str
    zone: str
    version: int


class Result(msgspec.Struct, kw_only=True):
    """Result of a publication.

    ``outcome`` is ``in_force``, ``lost`` (another version took effect instead), ``unchanged``,
    ``not_published`` (nothing was appended) or ``unknown`` (the log did not confirm whether the
    record was appended). ``winner`` is the author of the version that took effect instead.
    ``behind`` lists the live hosts that do not have the published version in force yet, and
    ``seconds`` is the time from the log's acceptance of the record until all hosts had the version.
    """

    outcome: str
    version: int
    replaces: int
    author: str = ""
    winner: str = ""
    behind: list[HostVersion] = []
    hosts: int = 0
    seconds: float = 0.0
    appends: int = 0
    record_bytes: int = 0


class LogUnavailableError(Exception):
    """The log service did not answer within the time given."""


class Publication:
    """One attempt to replace the lists in force.

    Args:
        log: The log service.
        history: The configuration stream, read up to its end by `read_history`.
        content: The lists to publish.
        author: Name of the operator.
        signer: Signs the record, or None if hosts accept unsigned ones.
        replaces: Version that the record replaces; the one in force if None.
        timeout: Seconds after which appending is given up.
        rng: Random source of the retries' jitter.
    """

    __slots__ = (
        "log",
        "history",
        "content",
        "record",
        "data",
        "appends",
        "accepted_at",
        "_timeout",
        "_rng",
    )

    def __init__(
        self,
        *,
        log: LogService,
        history: History,
        content: Content,
        author: str,
        signer: Signer | None = None,
        replaces: int | None = None,
        timeout: float = 30.0,
        rng: random.Random | None = None,
    ) -> None:
        self.log = log
        self.history = history
        self.content = content
        self.record = make_record(history, content, author, signer, replaces)
        self.data = msgspec.json.encode(self.record).decode()
        history.watch(self.data)
        self.appends = 0
        self.accepted_at = 0.0
        self._timeout = timeout
        self._rng = rng or random.Random()

    async def run(self) -> Result:
        """Append the record until the log shows whether it took effect.

        If the log's answer is lost, the same bytes are appended again; only the first copy can take
        effect.

        Returns:
            The result, without the fields on hosts.
        """
        if self.content.digest == self.history.content.digest:
            return self.result(UNCHANGED)
        loop = asyncio.get_running_loop()
        end = loop.time() + self._timeout
        delay = FIRST_RETRY_DELAY_S
        may_be_appended = False
        while loop.time() < end:
            outcome = await self._read_outcome()
            if outcome:
                return self.result(outcome)
            self.appends += 1
            answer = await self.log.append(STREAM, (self.data,))
            if not isinstance(answer, Failure):
                self.accepted_at = self.accepted_at or time.time()
                may_be_appended = True
                continue
            may_be_appended = may_be_appended or answer.verdict.value != "NOT_RUN"
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)
        outcome = await self._read_outcome()
        return self.result(outcome or (UNKNOWN if may_be_appended else NOT_PUBLISHED))

    async def _read_outcome(self) -> str:
        """Return `IN_FORCE` or `LOST` once the log shows which record took effect, else empty."""
        try:
            await read_new_records(self.log, self.history)
        except LogUnavailableError:
            return ""
        if self.history.version < self.record.version:
            return LOST if self.record.replaces != self.history.version else ""
        return IN_FORCE if self.history.took_effect(self.data) else LOST

    def result(self, outcome: str) -> Result:
        """Return the publication's result with an outcome."""
        winner = _author_of(self.history) if outcome == LOST else ""
        return Result(
            outcome=outcome,
            version=self.history.version if outcome == UNCHANGED else self.record.version,
            replaces=self.record.replaces,
            author=self.record.author,
            winner=winner,
            appends=self.appends,
            record_bytes=len(self.data),
        )


def make_record(
    history: History,
    content: Content,
    author: str,
    signer: Signer | None,
    replaces: int | None = None,
) -> Configuration:
    """Build the record that replaces a version.

    The record is partial, with only the changes, unless the partial records since the last full
    record would together become larger than the full one. The limit is needed because a host that
    starts has to read all these records.
    """
    in_force = history.version if replaces is None else replaces
    partial = in_force == history.version > 0
    record = _configuration.make_record(
        version=in_force + 1,
        replaces=in_force,
        author=author,
        old=history.content,
        new=content,
        partial=partial,
    )
    full_bytes = len(history.chain[0]) if history.chain else 0
    partial_bytes = sum(map(len, history.chain[1:])) + len(record.plans) + len(record.allowances)
    if partial and partial_bytes > full_bytes:
        record = _configuration.make_record(
            version=in_force + 1,
            replaces=in_force,
            author=author,
            old=history.content,
            new=content,
            partial=False,
        )
    return _configuration.sign(record, signer.key_id, signer.key) if signer else record


async def read_history(log: LogService, publishers: dict[str, str]) -> History:
    """Read the configuration stream from its oldest record to its end.

    Args:
        log: The log service.
        publishers: Ed25519 public keys in hexadecimal, by key id.

    Returns:
        The state of the stream.

    Raises:
        LogUnavailableError: If the log service does not answer.
    """
    history = History(publishers)
    await read_new_records(log, history)
    history.apply_held_records()
    return history


async def read_new_records(log: LogService, history: History) -> None:
    """Read the records that were appended since the last read.

    Raises:
        LogUnavailableError: If the log service does not answer.
    """
    while True:
        page = await log.read(STREAM, history.next_offset, 0)
        if isinstance(page, Failure):
            raise LogUnavailableError(page.detail)
        history.read(page.records, first=page.first)
        if not page.records or page.records[-1].offset + 1 >= page.end:
            return


def _author_of(history: History) -> str:
    return _configuration.decode(history.chain[-1]).author if history.chain else ""


class HostWatcher:
    """Polls which version the live hosts have in force.

    Args:
        session: Client session for requests of the hosts' status.
        hosts: The host list.
    """

    __slots__ = ("_session", "_hosts", "_limit")

    def __init__(self, *, session: aiohttp.ClientSession, hosts: HostList) -> None:
        self._session = session
        self._hosts = hosts
        self._limit = asyncio.Semaphore(MAX_STATUS_CALLS)

    async def versions(self) -> list[HostVersion] | Failure:
        """Return the version in force on each listed host that is not leaving or stopping."""
        entries = await self._hosts.entries()
        if isinstance(entries, Failure):
            return entries
        live = [entry for entry in entries if entry.kind == "entry" and not entry.leaving]
        answers = await asyncio.gather(*(self._version_of(entry) for entry in live))
        return [one for one in answers if one is not None]

    async def _version_of(self, entry: HostEntry) -> HostVersion | None:
        async with self._limit:
            status = await request_json(
                self._session,
                "GET",
                entry.address,
                "/status",
                answer=Status,
                timeout=STATUS_TIMEOUT_S,
            )
        if isinstance(status, Failure):
            return HostVersion(host=entry.name, zone=entry.zone, version=-1)
        if status.stopping:
            return None
        return HostVersion(host=entry.name, zone=entry.zone, version=status.version)

    async def wait(
        self,
        version: int,
        timeout: float,
        on_change: typing.Callable[[list[HostVersion]], None] = lambda behind: None,
    ) -> tuple[int, list[HostVersion]]:
        """Wait until every live host has a version, or a later one, in force.

        Args:
            version: The configuration version to wait for.
            timeout: Longest wait in seconds.
            on_change: Called with the hosts that do not have the version yet, whenever they change.

        Returns:
            The number of live hosts, and the hosts that do not have the version yet.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        before: list[HostVersion] | None = None
        while True:
            found = await self.versions()
            hosts = [] if isinstance(found, Failure) else found
            behind = [one for one in hosts if one.version < version]
            if behind != before:
                on_change(behind)
                before = behind
            done = bool(hosts) and not behind
            if done or loop.time() >= end:
                return len(hosts), behind
            await asyncio.sleep(POLL_INTERVAL_S)
