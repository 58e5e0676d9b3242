"""Events from other hosts and from the platform's services."""

from .._errors import Failure
from .._wire import HostEntry, LogRecord, Message, Owner
from ._base import Event


class PeerMessage(Event):
    """A message from another host, or from this one to itself, arrived."""

    __slots__ = ("sender", "zone", "message")

    def __init__(self, *, at: float, sender: Owner, zone: str, message: Message) -> None:
        super().__init__(at=at)
        self.sender = sender
        self.zone = zone
        self.message = message


class PeerFailed(Event):
    """A message to a host was not acknowledged; ``verdict`` says whether it may have arrived."""

    __slots__ = ("host", "message", "verdict")

    def __init__(self, *, at: float, host: str, message: Message, verdict: object) -> None:
        super().__init__(at=at)
        self.host = host
        self.message = message
        self.verdict = verdict


class LogAppended(Event):
    """The log service confirmed an append; ``offset`` is the offset of its first record."""

    __slots__ = ("stream", "tag", "offset")

    def __init__(self, *, at: float, stream: str, tag: str, offset: int) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag
        self.offset = offset


class LogAppendFailed(Event):
    """An append was not confirmed; the failure's verdict says whether it may have happened."""

    __slots__ = ("stream", "tag", "failure")

    def __init__(self, *, at: float, stream: str, tag: str, failure: Failure) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag
        self.failure = failure


class LogRead(Event):
    """Records of a log stream arrived in order, from a tail (``tag`` is empty) or a single read.

    ``first`` is the oldest offset that the log keeps, ``next`` the offset after the last of
    ``records``, and ``end`` the offset after the last record that existed when the log answered; a
    read reached the end if ``next`` equals ``end``.
    """

    __slots__ = ("stream", "tag", "records", "next", "first", "end")

    def __init__(
        self,
        *,
        at: float,
        stream: str,
        tag: str,
        records: tuple[LogRecord, ...],
        next: int,
        first: int,
        end: int,
    ) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag
        self.records = tuple(records)
        self.next = next
        self.first = first
        self.end = end


class LogReadFailed(Event):
    """The log service did not answer a read."""

    __slots__ = ("stream", "tag")

    def __init__(self, *, at: float, stream: str, tag: str) -> None:
        super().__init__(at=at)
        self.stream = stream
        self.tag = tag


class HostsListed(Event):
    """The host list was read."""

    __slots__ = ("entries",)

    def __init__(self, *, at: float, entries: tuple[HostEntry, ...]) -> None:
        super().__init__(at=at)
        self.entries = tuple(entries)


class HostListFailed(Event):
    """The host list could not be read."""

    __slots__ = ()
