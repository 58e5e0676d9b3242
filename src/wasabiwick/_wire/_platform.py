"""Entries of the platform's host list, and request and response bodies of its log service."""

import msgspec


class HostEntry(msgspec.Struct, frozen=True):
    """One line of the host list.

    ``kind`` is ``entry``, ``engine`` or ``service``. ``service`` names the service or model that an
    endpoint serves.
    """

    name: str
    kind: str
    zone: str
    address: str
    service: str = ""
    leaving: bool = False


class LogAppend(msgspec.Struct, frozen=True):
    """Body of ``POST /streams/{stream}/append`` at the log service."""

    records: tuple[str, ...]


class LogAppendAnswer(msgspec.Struct, frozen=True):
    """Answer of an append: the offset of its first record."""

    offset: int


class LogRecord(msgspec.Struct, frozen=True):
    """One record read from the log; ``time`` is its append time in Unix seconds."""

    offset: int
    time: float
    data: str


class LogPage(msgspec.Struct, frozen=True):
    """Answer of ``GET /streams/{stream}?from=N&wait=S``.

    ``first`` is the oldest offset still kept, ``end`` the offset that the next append will get.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...] = ()
