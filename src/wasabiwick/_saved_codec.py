"""Records that entry hosts keep in the store for each other and for their next start."""

import math
import time

import msgspec

from ._begun_codec import StreamRow, decode_ages, decode_streams, encode_ages, encode_streams
from ._decoding import Whole, decode
from ._effects_forwarding import SaveStreams
from ._findings_codec import (
    CrashRow,
    SoundRow,
    decode_crashes,
    decode_sound,
    encode_crashes,
    encode_sound,
)
from ._forwarding import BegunStream, Findings, SavedBuilds
from ._ports import SavedStreams

MS_PER_S = 1000.0
SHARE_UNITS = 1000  # A share is written in thousandths, rounded up.


class ClaimRecord(msgspec.Struct):
    """A host's claim to the right to order stage changes."""

    holder: str


class StreamsRecord(msgspec.Struct):
    """The streams that began at an entry host; ``saved_ms`` is Unix time.

    ``begun`` and ``lost`` hold the builds at which streams may have begun, by service: since the
    host started, and before it, with the milliseconds since then. ``era`` is that of the store as
    far as the host knew, and ``era_ms`` for how many milliseconds it is known to be in force.
    ``shares`` holds those builds of ``lost`` at which only some streams may have begun, in
    thousandths. ``listed_upto`` is the position up to which the list of endpoints was read.
    """

    saved_ms: Whole
    streams: list[StreamRow]
    builds: dict[str, dict[str, Whole]]
    begun: dict[str, list[str]] = {}
    lost: dict[str, dict[str, Whole]] = {}
    era: Whole | None = None
    era_ms: Whole = 0
    shares: dict[str, dict[str, Whole]] = {}
    listed_upto: Whole | None = None


class FindingsRecord(msgspec.Struct):
    """What an entry host has found out; ``saved_ms`` is Unix time."""

    saved_ms: Whole
    crashes: list[CrashRow] = []
    sound: list[SoundRow] = []


_CLAIM = msgspec.json.Decoder(ClaimRecord)
_STREAMS = msgspec.json.Decoder(StreamsRecord)
_FINDINGS = msgspec.json.Decoder(FindingsRecord)


def encode_streams_record(effect: SaveStreams, now: float) -> bytes:
    """Encode the streams of an entry host; ``now`` is monotonic time."""
    record = StreamsRecord(
        saved_ms=int(time.time() * MS_PER_S),
        streams=encode_streams(effect.begun, now),
        builds=encode_ages(effect.builds),
        begun={service: list(names) for service, names in effect.saved.begun.items()},
        lost=encode_ages(effect.saved.lost),
        era=effect.saved.era,
        era_ms=int(effect.saved.era_age * MS_PER_S),
        shares={
            service: {build: math.ceil(share * SHARE_UNITS) for build, share in shares.items()}
            for service, shares in effect.saved.shares.items()
        },
        listed_upto=effect.saved.listed_upto,
    )
    return msgspec.json.encode(record)


class HostStreams:
    """What a host saved: its record without rows of streams, and these streams."""

    __slots__ = ("record", "streams")

    def __init__(self, *, record: StreamsRecord, streams: tuple[BegunStream, ...]) -> None:
        self.record = record
        self.streams = streams


def decode_streams_record(value: bytes, now: float) -> HostStreams:
    """Decode the streams that an entry host saved; ``now`` is monotonic time.

    Raises:
        msgspec.MsgspecError: If the value is not a valid record.
    """
    record = decode(_STREAMS, value)
    streams = decode_streams(record.streams, now - _passed(record))
    record.streams = []  # They take more memory as rows.
    return HostStreams(record=record, streams=streams)


def _passed(record: StreamsRecord) -> float:
    """Return the seconds since a record was saved."""
    return max(0.0, time.time() - record.saved_ms / MS_PER_S)


def add_streams(saved: SavedStreams, host: str, found: HostStreams) -> None:
    """Add the streams that a host saved to those of other hosts.

    Of two records of a host, the builds of the younger one count.
    """
    record, passed = found.record, _passed(found.record)
    saved.streams[host] = saved.streams.get(host, ()) + found.streams
    saved.builds.append(decode_ages(record.builds, passed))
    if host in saved.saved and saved.saved[host].age <= passed:
        return
    saved.saved[host] = SavedBuilds(
        age=passed,
        begun={service: tuple(names) for service, names in record.begun.items()},
        lost=decode_ages(record.lost, passed),
        era=record.era,
        era_age=record.era_ms / MS_PER_S + passed,
        shares={
            service: {build: share / SHARE_UNITS for build, share in shares.items()}
            for service, shares in record.shares.items()
        },
        listed_upto=record.listed_upto,
    )


def encode_findings(findings: Findings, now: float) -> bytes:
    """Encode what an entry host has found out; ``now`` is monotonic time."""
    record = FindingsRecord(
        saved_ms=int(time.time() * MS_PER_S),
        crashes=encode_crashes(findings.crashes, now),
        sound=encode_sound(findings.sound, now),
    )
    return msgspec.json.encode(record)


def decode_findings(host: str, value: bytes, now: float) -> Findings:
    """Decode what an entry host saved of its findings; ``now`` is monotonic time.

    Raises:
        msgspec.MsgspecError: If the value is not a valid record.
    """
    record = decode(_FINDINGS, value)
    saved_at = now - max(0.0, time.time() - record.saved_ms / MS_PER_S)
    return Findings(
        host=host,
        crashes=decode_crashes(record.crashes, saved_at),
        sound=decode_sound(record.sound, saved_at),
    )


def decode_claim(value: bytes) -> ClaimRecord:
    """Decode a claim to the right to order stage changes.

    Raises:
        msgspec.MsgspecError: If the value is not a valid record.
    """
    return decode(_CLAIM, value)
