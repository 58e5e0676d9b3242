"""Encodes what hosts send each other of a hop: a head of its own before the body.

The head is apart from the request's and the answer's own headers, so that nothing that a caller or
an endpoint writes into those is taken for a host's word.
"""

import struct

import msgspec

from ._decoding import decode
from ._errors import Failure, Reason
from ._hops import Hop
from ._verdict import Verdict

_LENGTH = struct.Struct(">I")  # Length of the head that follows, in bytes.
MAX_HEAD_BYTES = 256 * 1024  # Most bytes of a head; callers' headers take 16 KiB.

Header = tuple[bytes, bytes]


class RequestHead(msgspec.Struct, array_like=True):
    """A request that one host passes to another; its body follows.

    ``left_ms`` is the time that an answer may take. ``last_event_id`` is that of the last of the
    ``events`` that the caller got of a stream. Hosts of an earlier build neither send nor read the
    fields from ``key`` on; they pass on callers' own headers.
    """

    method: str
    target: str
    headers: list[Header]
    left_ms: float
    sender: str
    service: str
    routes_version: int
    build: str
    events: int
    last_event_id: bytes
    avoid: list[str]
    key: str = ""
    organisation: str | None = None
    fingerprints: list[str] = []

    def hop(self) -> Hop:
        """Return what the sender tells of the request."""
        return Hop(
            sender=self.sender,
            service=self.service,
            routes_version=self.routes_version,
            build=self.build,
            events=self.events,
            avoid=tuple(self.avoid),
            key=self.key,
            organisation=self.organisation,
            fingerprints=tuple(self.fingerprints),
        )


class FailureRow(msgspec.Struct, array_like=True):
    """Why the other host gives no answer of an endpoint."""

    reason: str
    verdict: str
    detail: str
    retry_after: float | None

    def failure(self) -> Failure:
        """Return the failure; raises `ValueError` if the reason or the verdict is not known."""
        return Failure(
            reason=Reason.by_code(self.reason),
            verdict=Verdict(self.verdict),
            detail=self.detail,
            retry_after=self.retry_after,
        )


class AnswerHead(msgspec.Struct, array_like=True):
    """An endpoint's status and headers, whose body follows, or a failure of the other host."""

    status: int = 0
    headers: list[Header] = []
    streams: bool = False
    build: str = ""
    failure: FailureRow | None = None


_ENCODER = msgspec.msgpack.Encoder()
_REQUEST = msgspec.msgpack.Decoder(RequestHead)
_ANSWER = msgspec.msgpack.Decoder(AnswerHead)


def encode_head(head: RequestHead | AnswerHead) -> bytes:
    """Return a head with its length before it."""
    data = _ENCODER.encode(head)
    return _LENGTH.pack(len(data)) + data


def failure_head(failure: Failure) -> AnswerHead:
    """Return the head of an answer that tells of a failure."""
    row = FailureRow(
        reason=failure.reason.code,
        verdict=failure.verdict.value,
        detail=failure.detail,
        retry_after=failure.retry_after,
    )
    return AnswerHead(failure=row)


def head_end(data: bytes) -> int | None:
    """Return where the head ends at the beginning of some data, or None if that is not known yet.

    Raises:
        msgspec.DecodeError: If the head is longer than any that a host sends.
    """
    if len(data) < _LENGTH.size:
        return None
    (length,) = _LENGTH.unpack_from(data)
    if length > MAX_HEAD_BYTES:
        raise msgspec.DecodeError(f"a head of {length} bytes is too long")
    end = _LENGTH.size + length
    return end if len(data) >= end else None


def decode_request(data: bytes) -> tuple[RequestHead, bytes]:
    """Return the head of a request and its body.

    Raises:
        msgspec.MsgspecError: If the data is no request of a host.
    """
    end = head_end(data)
    if end is None:
        raise msgspec.DecodeError("the head is not complete")
    return decode(_REQUEST, data[_LENGTH.size : end]), data[end:]


def decode_answer_head(data: bytes) -> AnswerHead:
    """Return the head of an answer from its encoded bytes, as `head_end` delimits them.

    Raises:
        msgspec.MsgspecError: If the data is no head of a host's answer.
    """
    return decode(_ANSWER, data[_LENGTH.size :])
