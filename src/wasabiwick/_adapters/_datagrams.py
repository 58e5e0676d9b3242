"""Sends and receives UDP datagrams between hosts: all of the sender's load, and new streams."""

import asyncio
import socket
import typing

import msgspec

from .._begun_codec import StreamRow, decode_ages, decode_streams, encode_ages, encode_streams
from .._decoding import check_address, decode
from .._effects_forwarding import AnswerPermit, AskPermit, TellLoad
from .._events import LoadTold, PermitAnswered, PermitAsked
from .._findings_codec import (
    CrashRow,
    SoundRow,
    decode_crashes,
    decode_sound,
    encode_crashes,
    encode_sound,
)
from .._forwarding import EndpointLoad, StreamLoad
from .._limits_codec import (
    LimitRow,
    decode_limit,
    decode_limits,
    encode_limit,
    encode_limits,
)
from .._logging import log_event
from .._observed import ObservedRow, decode_observed, encode_observed
from .._read_turns import ToldPage
from .._runner import Runner
from .._signs_codec import SignRow, decode_signs, encode_signs
from .._topics import KeyedRecord
from .._wire import Owner


class LoadDatagram(msgspec.Struct, array_like=True):
    """A host's load at endpoints, and streams that began at it.

    ``busy`` maps each engine that is changing its stage to the milliseconds that this may take.
    ``loads`` maps each endpoint to its number of running requests, its prompt tokens still to
    prefill, and its streams. A stream is given by its prompt and its expected output, in tokens,
    and the milliseconds since its first token; these are negative while that is still expected.
    ``begun`` holds streams that began at the host: name, service, build and the milliseconds since.
    ``builds`` maps each service with several builds to the milliseconds since each was listed.
    ``crashes`` holds endpoints that ended by themselves, ``sound`` parts of prompts that are sound.
    ``limits`` holds what endpoints named as their limits, ``leaving`` the endpoints that said that
    they leave, with the Unix milliseconds of their start. ``unreached`` holds the services of which
    the host reaches no endpoint, ``routes_version`` the version of the routes in force there.
    ``observed`` holds sums of what the host measured of generations, by service. ``counted`` and
    ``used`` hold sums of what organisations sent and used, ``signs`` what endpoints said of their
    load.
    """

    host: str
    incarnation: str
    zone: str
    address: str
    sequence: int
    stopping: bool
    busy: dict[str, int]
    loads: dict[str, tuple[int, int, list[tuple[int, int, int]]]]
    begun: list[StreamRow] = []
    builds: dict[str, dict[str, int]] = {}
    crashes: list[CrashRow] = []
    sound: list[SoundRow] = []
    limits: list[LimitRow] = []
    leaving: list[tuple[str, int]] = []
    unreached: list[str] = []
    routes_version: int = 0
    observed: list[ObservedRow] = []
    counted: dict[str, int] = {}
    used: dict[str, int] = {}
    signs: list[SignRow] = []


class PermitQuestion(msgspec.Struct, tag="ask"):
    """A host's question whether it may send a request to an endpoint that has a limit."""

    host: str
    address: str
    call: str
    number: int
    limit: LimitRow


class PermitReply(msgspec.Struct, tag="reply"):
    """The answer to a question: seconds to wait, or 0 if the request may be sent."""

    call: str
    number: int
    wait: float


class FeedNews(msgspec.Struct, tag="feed"):
    """What a host read of a topic (`ToldPage`); a record is its key, value and offset."""

    feed: str
    era: int
    after: int
    upto: int
    records: list[tuple[str, bytes | None, int]] | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LoadDatagram)
_TAGGED_DECODER = msgspec.msgpack.Decoder(PermitQuestion | PermitReply | FeedNews)
# A load is sent as an array, and all else as a small map, which its first byte shows.
MAP_MASK, SMALL_MAP = 0xF0, 0x80
# Datagrams are read at intervals while the average time between two of them is under `BUSY_GAP_S`.
READ_INTERVAL_S = 0.02  # At most as much is added to the age of news, which hosts tell in seconds.
BUSY_GAP_S = 0.01  # Reading at intervals then saves half of the wake-ups at least.
MAX_GAP_S = 0.1  # Longest time that enters the average, so that a pause does not hide a burst.
GAP_WEIGHT = 0.9  # Weight of the average before, for each datagram read.
MAX_READ = 256  # Most datagrams of one read, so that a flood of them does not stop all else.
MAX_BYTES = 65_536  # Size of the largest datagram.


class UdpDatagrams:
    """Datagrams over UDP.

    Load pattern handled: a large fleet, in which hundreds of datagrams a second arrive one by one.
    Waking up for each costs more than reading it. So a host that hears many reads what has come
    every `READ_INTERVAL_S` instead, and before each other event, so that no decision rests on less
    than what has come. One that hears few reads each at once.

    Args:
        address: Address of this host, as ``host:port``.
    """

    __slots__ = (
        "address",
        "_runner",
        "_loop",
        "_socket",
        "_timer",
        "_gap",
        "_read_at",
        "_is_reading",
        "_event_at",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self._runner: Runner | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = (
            None  # Runs while datagrams are read at intervals.
        )
        self._gap = MAX_GAP_S
        self._read_at = 0.0
        self._is_reading = False
        self._event_at: float | None = None

    async def open(self, runner: Runner) -> None:
        """Start to receive datagrams, and to post each as an event."""
        self._runner = runner
        self._loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        # Not over the event loop, which would start a thread to look up an IP address.
        (family, kind, protocol, _, where), *_ = socket.getaddrinfo(
            host, int(port), type=socket.SOCK_DGRAM
        )
        self._socket = socket.socket(family, kind, protocol)
        try:
            self._socket.setblocking(False)
            self._socket.bind(where)
        except OSError:
            self._socket.close()
            raise
        self.address = "{}:{}".format(*self._socket.getsockname()[:2])
        self._read_at = self._loop.time()
        self._loop.add_reader(self._socket, self._read_first)

    def _read_first(self) -> None:
        """Read what has come, and go on at intervals if that is much."""
        self._read()
        if self._gap < BUSY_GAP_S:
            self._loop.remove_reader(self._socket)
            self._timer = self._loop.call_later(READ_INTERVAL_S, self._read_again)

    def _read_again(self) -> None:
        """Read what has come in an interval, and wait for the next one or for datagrams."""
        self._timer = self._loop.call_later(READ_INTERVAL_S, self._read_again)
        self._read()
        if self._gap >= BUSY_GAP_S:
            self._timer.cancel()
            self._timer = None
            self._loop.add_reader(self._socket, self._read_first)

    def catch_up(self, at: float) -> None:
        """Read what has come since the last interval, before an event that was at a time."""
        if self._timer is None or self._is_reading:
            return
        self._event_at = at
        try:
            self._read()
        finally:
            self._event_at = None

    def _now(self) -> float:
        # What is read before an event may not be later than it.
        return self._runner.now() if self._event_at is None else self._event_at

    def _read(self) -> None:
        """Read the datagrams that have come, and average the time between two of them."""
        count = 0
        now = self._loop.time()
        passed = now - self._read_at
        self._is_reading = True
        try:
            while count < MAX_READ:
                data, sender = self._socket.recvfrom(MAX_BYTES)
                count += 1
                self.datagram_received(data, sender)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as exc:
            self.error_received(exc)
        finally:
            self._is_reading = False
            if count:
                self._read_at = now
                weight = GAP_WEIGHT**count
                self._gap = weight * self._gap + (1.0 - weight) * min(MAX_GAP_S, passed / count)
            elif passed >= MAX_GAP_S:
                self._gap = MAX_GAP_S

    def send_load(self, owner: Owner, zone: str, effect: TellLoad) -> None:
        """Send this host's load to other hosts."""
        if self._socket is None:
            return
        now = self._runner.now()
        data = _ENCODER.encode(
            LoadDatagram(
                host=owner.host,
                incarnation=owner.incarnation,
                zone=zone,
                address=self.address,
                sequence=effect.sequence,
                stopping=effect.stopping,
                busy={name: int(left * 1000) for name, left in effect.busy.items()},
                loads={
                    name: (
                        load.running,
                        load.reading,
                        [
                            (stream.prompt, stream.expected, int((now - stream.begins) * 1000))
                            for stream in load.streams
                        ],
                    )
                    for name, load in effect.loads.items()
                },
                begun=encode_streams(effect.begun, now),
                builds=encode_ages(effect.builds),
                crashes=encode_crashes(effect.crashes, now),
                sound=encode_sound(effect.sound, now),
                limits=encode_limits(effect.limits, now),
                leaving=list(effect.leaving),
                unreached=list(effect.unreached),
                routes_version=effect.routes_version,
                observed=encode_observed(effect.observed),
                counted=effect.counted,
                used=effect.used,
                signs=encode_signs(effect.signs, now),
            )
        )
        for address in effect.addresses:
            self._send(address, data)

    def ask_permit(self, owner: Owner, effect: AskPermit) -> None:
        """Ask another host whether an endpoint's limit has room."""
        question = PermitQuestion(
            host=owner.host,
            address=self.address,
            call=effect.call_id,
            number=effect.number,
            limit=encode_limit(effect.limit, self._runner.now()),
        )
        self._send(effect.address, _ENCODER.encode(question))

    def answer_permit(self, effect: AnswerPermit) -> None:
        """Answer another host's question."""
        reply = PermitReply(call=effect.call_id, number=effect.number, wait=effect.wait)
        self._send(effect.address, _ENCODER.encode(reply))

    def send_page(self, addresses: tuple[str, ...], page: ToldPage) -> None:
        """Tell other hosts what this one read of the store."""
        records = page.records
        news = FeedNews(
            feed=page.feed,
            era=page.era,
            after=page.after,
            upto=page.upto,
            records=(
                None if records is None else [(one.key, one.value, one.offset) for one in records]
            ),
        )
        data = _ENCODER.encode(news)
        for address in addresses:
            self._send(address, data)

    def _send(self, address: str, data: bytes) -> None:
        if self._socket is None:
            return
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as exc:
            # Also if the socket's buffer is full: a datagram may be lost like any other.
            self.error_received(exc)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Post a datagram as an event; one that can't be decoded is logged and dropped."""
        try:
            if data and data[0] & MAP_MASK == SMALL_MAP:
                datagram = decode(_TAGGED_DECODER, data)
                if isinstance(datagram, FeedNews):
                    self._runner.ports.turns.deliver(_told_page(datagram))
                else:
                    self._post_permit(datagram)
            else:
                self._post_load(decode(_DECODER, data))
        except msgspec.MsgspecError as exc:
            log_event("datagram_unreadable", level="WARNING", sender=addr[0], error=str(exc))

    def _post_permit(self, datagram: PermitQuestion | PermitReply) -> None:
        now = self._now()
        if isinstance(datagram, PermitReply):
            event = PermitAnswered(
                at=now, call_id=datagram.call, number=datagram.number, wait=datagram.wait
            )
        else:
            check_address(datagram.address)
            event = PermitAsked(
                at=now,
                host=datagram.host,
                address=datagram.address,
                call_id=datagram.call,
                number=datagram.number,
                limit=decode_limit(datagram.limit, now),
            )
        self._runner.post(event)

    def _post_load(self, datagram: LoadDatagram) -> None:
        check_address(datagram.address)
        now = self._now()
        loads = {
            name: EndpointLoad(
                running=running,
                reading=reading,
                streams=tuple(
                    [
                        StreamLoad(prompt=prompt, expected=expected, begins=now - since / 1000)
                        for prompt, expected, since in streams
                    ]
                ),
            )
            for name, (running, reading, streams) in datagram.loads.items()
        }
        self._runner.post(
            LoadTold(
                at=now,
                sender=Owner(host=datagram.host, incarnation=datagram.incarnation),
                zone=datagram.zone,
                address=datagram.address,
                sequence=datagram.sequence,
                loads=loads,
                stopping=datagram.stopping,
                unreached=tuple(datagram.unreached),
                routes_version=datagram.routes_version,
                **_rare_news(datagram, now),
            )
        )

    def error_received(self, exc: OSError) -> None:
        """Log a network error; no retry, as the next datagram carries the whole load again."""
        log_event("datagram_error", level="DEBUG", error=str(exc))

    def close(self) -> None:
        """Stop receiving datagrams."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            if not self._loop.is_closed():
                self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None


def _rare_news(datagram: LoadDatagram, now: float) -> dict[str, typing.Any]:
    """Return the fields of the event that most datagrams leave empty, as far as they are not.

    A host hears hundreds of datagrams a second in a large fleet, which would decode nothing.
    """
    news: dict[str, typing.Any] = {}
    if datagram.busy:
        news["busy"] = {name: left / 1000 for name, left in datagram.busy.items()}
    if datagram.begun:
        news["begun"] = decode_streams(datagram.begun, now)
    if datagram.builds:
        news["builds"] = decode_ages(datagram.builds)
    if datagram.crashes:
        news["crashes"] = decode_crashes(datagram.crashes, now)
    if datagram.sound:
        news["sound"] = decode_sound(datagram.sound, now)
    if datagram.limits:
        news["limits"] = decode_limits(datagram.limits, now)
    if datagram.leaving:
        news["leaving"] = tuple(datagram.leaving)
    if datagram.observed:
        news["observed"] = decode_observed(datagram.observed)
    if datagram.counted:
        news["counted"] = datagram.counted
    if datagram.used:
        news["used"] = datagram.used
    if datagram.signs:
        news["signs"] = decode_signs(datagram.signs, now)
    return news


def _told_page(news: FeedNews) -> ToldPage:
    records = news.records
    return ToldPage(
        feed=news.feed,
        era=news.era,
        after=news.after,
        upto=news.upto,
        records=(
            None
            if records is None
            else tuple(
                KeyedRecord(key=key, value=value, offset=offset) for key, value, offset in records
            )
        ),
    )
