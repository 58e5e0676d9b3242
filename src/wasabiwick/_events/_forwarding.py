"""Events of forwarding: changes of routes, endpoints and hosts; callers; and endpoints' answers."""

import typing

from .._errors import Failure
from .._forwarding import (
    Ask,
    BegunStream,
    Crash,
    EndpointLimit,
    EndpointLoad,
    EngineSign,
    Listing,
    RouteTable,
    SavedBuilds,
    SoundPart,
    UnreadAnswer,
)
from .._hops import HopTarget
from .._observed import Observed
from .._wire import Owner
from ._base import Event
from ._host import Booted


class ForwarderBooted(Booted):
    """The process started on a host that forwards by routes."""

    __slots__ = ()


class RoutesRead(Event):
    """A version of the routes was read."""

    __slots__ = ("table",)

    def __init__(self, *, at: float, table: RouteTable) -> None:
        super().__init__(at=at)
        self.table = table


class EndpointsRead(Event):
    """Entries of the list of endpoints were read.

    ``upto`` is the position up to which the list's history was read. ``whole`` means that the
    entries are the full list, so that endpoints without an entry are gone.
    """

    __slots__ = ("listings", "upto", "whole")

    def __init__(
        self, *, at: float, listings: tuple[Listing, ...], upto: int, whole: bool = False
    ) -> None:
        super().__init__(at=at)
        self.listings = tuple(listings)
        self.upto = upto
        self.whole = whole


class FeedChanged(Event):
    """The connection to a source of data, such as the list of endpoints, was lost or regained."""

    __slots__ = ("feed", "up", "why")

    def __init__(self, *, at: float, feed: str, up: bool, why: str = "") -> None:
        super().__init__(at=at)
        self.feed = feed
        self.up = up
        self.why = why


class FeedBehind(Event):
    """The number of records that a feed's topic is known to have, and this host has not read.

    ``missing`` is 0 once the host has caught up. Records that are read as soon as they are known do
    not count.
    """

    __slots__ = ("feed", "missing")

    def __init__(self, *, at: float, feed: str, missing: int) -> None:
        super().__init__(at=at)
        self.feed = feed
        self.missing = missing


class StoreRestored(Event):
    """The store came back from a copy: what was written since the copy is gone.

    ``era`` counts how often that has happened. The next read of each feed brings all of it.
    """

    __slots__ = ("era",)

    def __init__(self, *, at: float, era: int) -> None:
        super().__init__(at=at)
        self.era = era


class SettingsRead(Event):
    """The settings that may change while the host runs were read again.

    ``drain`` and ``stop_notice`` bound a graceful shutdown, in seconds; those of retries define the
    retry budget, and those of limits how organisations' use is counted.
    """

    __slots__ = (
        "drain",
        "stop_notice",
        "retry_ratio",
        "retry_slack",
        "retry_window",
        "limit_window",
        "limit_overshoot",
        "limit_slack",
    )

    def __init__(
        self,
        *,
        at: float,
        drain: float,
        stop_notice: float,
        retry_ratio: float,
        retry_slack: float,
        retry_window: float,
        limit_window: float = 8.0,
        limit_overshoot: float = 0.1,
        limit_slack: float = 0.0,
    ) -> None:
        super().__init__(at=at)
        self.drain = drain
        self.stop_notice = stop_notice
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window = retry_window
        self.limit_window = limit_window
        self.limit_overshoot = limit_overshoot
        self.limit_slack = limit_slack


class HostFound(Event):
    """Another host was found; ``address`` is where it receives datagrams.

    ``hops`` is where it takes requests of other hosts, None if it takes none.
    """

    __slots__ = ("host", "address", "zone", "hops")

    def __init__(
        self, *, at: float, host: str, address: str, zone: str, hops: HopTarget | None = None
    ) -> None:
        super().__init__(at=at)
        self.host = host
        self.address = address
        self.zone = zone
        self.hops = hops


class LoadTold(Event):
    """Another host reported its load at endpoints.

    ``address`` is where the sender receives datagrams. ``busy`` holds the engines that are changing
    between prefill and decode, with the seconds that the change may still take. ``begun`` holds
    streams that began there, and ``builds`` the services with several builds: each build, with the
    seconds since it was listed. ``crashes`` holds endpoints that ended by themselves, and ``sound``
    the suspected parts of prompts that the sender has seen to be sound. ``limits`` holds what
    endpoints named as their limits, and ``leaving`` the endpoints that said that they leave, with
    the Unix milliseconds of their start. ``unreached`` holds the services of which the sender
    reaches no endpoint, and ``routes_version`` is the version of the routes in force there.
    ``observed`` holds what the sender measured of generations; empty if it told that just before.
    ``counted`` and ``used`` hold by organisation, in sums since the process started, what
    counted against its limit and the engine time that it used. ``signs`` holds what endpoints
    said of their load.
    """

    __slots__ = (
        "sender",
        "zone",
        "address",
        "sequence",
        "loads",
        "stopping",
        "busy",
        "begun",
        "builds",
        "crashes",
        "sound",
        "limits",
        "leaving",
        "unreached",
        "routes_version",
        "observed",
        "counted",
        "used",
        "signs",
    )

    def __init__(
        self,
        *,
        at: float,
        sender: Owner,
        zone: str,
        address: str,
        sequence: int,
        loads: dict[str, EndpointLoad],
        stopping: bool = False,
        busy: dict[str, float] | None = None,
        begun: tuple[BegunStream, ...] = (),
        builds: dict[str, dict[str, float]] | None = None,
        crashes: tuple[Crash, ...] = (),
        sound: tuple[SoundPart, ...] = (),
        limits: tuple[EndpointLimit, ...] = (),
        leaving: tuple[tuple[str, int], ...] = (),
        unreached: tuple[str, ...] = (),
        routes_version: int = 0,
        observed: tuple[Observed, ...] = (),
        counted: dict[str, int] | None = None,
        used: dict[str, int] | None = None,
        signs: tuple[EngineSign, ...] = (),
    ) -> None:
        super().__init__(at=at)
        self.sender = sender
        self.zone = zone
        self.address = address
        self.sequence = sequence
        self.loads = loads
        self.stopping = stopping
        self.busy = busy or {}
        self.begun = tuple(begun)
        self.builds = builds or {}
        self.crashes = tuple(crashes)
        self.sound = tuple(sound)
        self.limits = tuple(limits)
        self.leaving = tuple(leaving)
        self.unreached = tuple(unreached)
        self.routes_version = routes_version
        self.observed = tuple(observed)
        self.counted = counted or {}
        self.used = used or {}
        self.signs = tuple(signs)


class ForwardArrived(Event):
    """A caller's request to be forwarded was received in full."""

    __slots__ = ("ask",)

    def __init__(self, *, at: float, ask: Ask) -> None:
        super().__init__(at=at)
        self.ask = ask


class HeadRefused(Event):
    """A caller's request was refused once its head had come, before its body was read."""

    __slots__ = ("ask", "failure")

    def __init__(self, *, at: float, ask: Ask, failure: Failure) -> None:
        super().__init__(at=at)
        self.ask = ask
        self.failure = failure


class ForwardEvent(Event):
    """Base of events that belong to one forwarded call."""

    __slots__ = ("call_id",)

    def __init__(self, *, at: float, call_id: str) -> None:
        super().__init__(at=at)
        self.call_id = call_id


class ForwardLeft(ForwardEvent):
    """The caller's connection ended before its whole answer was written."""

    __slots__ = ()


class ForwardAnswered(ForwardEvent):
    """The whole answer was written to the caller."""

    __slots__ = ()


class AnswersUnread(Event):
    """Callers leave more bytes of answers unread than the host may hold."""

    __slots__ = ("answers", "limit_bytes")

    def __init__(self, *, at: float, answers: tuple[UnreadAnswer, ...], limit_bytes: int) -> None:
        super().__init__(at=at)
        self.answers = tuple(answers)
        self.limit_bytes = limit_bytes


class HoldAnswered(ForwardEvent):
    """An engine reserved a place, identified by ``hold``, or did not; ``failure`` says why not."""

    __slots__ = ("endpoint", "hold", "failure")

    def __init__(
        self, *, at: float, call_id: str, endpoint: str, hold: str, failure: Failure | None
    ) -> None:
        super().__init__(at=at, call_id=call_id)
        self.endpoint = endpoint
        self.hold = hold
        self.failure = failure


class PromptAnswered(ForwardEvent):
    """A prefill ended; ``handle`` identifies the KV cache, ``failure`` says why there is none."""

    __slots__ = ("endpoint", "handle", "failure")

    def __init__(
        self, *, at: float, call_id: str, endpoint: str, handle: str, failure: Failure | None
    ) -> None:
        super().__init__(at=at, call_id=call_id)
        self.endpoint = endpoint
        self.handle = handle
        self.failure = failure


class TryEvent(ForwardEvent):
    """Base of events of one try; ``number`` is the try's number within the call, from 1."""

    __slots__ = ("endpoint", "number")

    def __init__(self, *, at: float, call_id: str, endpoint: str, number: int) -> None:
        super().__init__(at=at, call_id=call_id)
        self.endpoint = endpoint
        self.number = number


class AnswerCame(TryEvent):
    """An endpoint answered a try, with the head of a stream or a whole answer.

    ``not_run`` is true if the endpoint said that it has not run the request. ``has_length`` is
    false if the answer ends with its connection. ``build`` is the endpoint's build if another host
    sent the request there.
    """

    __slots__ = ("status", "not_run", "streams", "has_length", "build")

    def __init__(
        self,
        *,
        status: int,
        not_run: bool,
        streams: bool,
        has_length: bool = True,
        build: str = "",
        **fields: typing.Any,
    ) -> None:
        super().__init__(**fields)
        self.status = status
        self.not_run = not_run
        self.streams = streams
        self.has_length = has_length
        self.build = build


class TryFailed(TryEvent):
    """A try ended without a full answer; ``events`` is how many stream events the caller got."""

    __slots__ = ("failure", "events")

    def __init__(self, *, failure: Failure, events: int = 0, **fields: typing.Any) -> None:
        super().__init__(**fields)
        self.failure = failure
        self.events = events


class StreamMoved(TryEvent):
    """A stream made progress; ``events`` is how many events the caller has got so far."""

    __slots__ = ("events",)

    def __init__(self, *, events: int, **fields: typing.Any) -> None:
        super().__init__(**fields)
        self.events = events


class StreamDone(StreamMoved):
    """A stream was completed; ``events`` is how many events the caller got in all."""

    __slots__ = ()


class SavedStreamsRead(Event):
    """The streams were read that all hosts had saved.

    ``own`` holds the names of those that this host had saved before it started. An entry of
    ``builds`` holds the services with several builds: each build, with the seconds since it was
    listed. ``saved`` holds for each host the builds at which its streams may have begun, ``era`` is
    the store's, and ``asked_at`` is the monotonic time at which it was asked. ``history`` holds the
    entries of the list of endpoints since those saves, as far as they are kept, if asked for.
    """

    __slots__ = ("begun", "builds", "own", "saved", "era", "asked_at", "history")

    def __init__(
        self,
        *,
        at: float,
        begun: tuple[BegunStream, ...],
        builds: tuple[dict[str, dict[str, float]], ...],
        own: frozenset[str],
        saved: dict[str, SavedBuilds] | None = None,
        era: int = 0,
        asked_at: float | None = None,
        history: tuple[Listing, ...] = (),
    ) -> None:
        super().__init__(at=at)
        self.history = tuple(history)
        self.begun = tuple(begun)
        self.builds = tuple(builds)
        self.own = frozenset(own)
        self.saved = saved or {}
        self.era = era
        self.asked_at = at if asked_at is None else asked_at


class BuildRead(Event):
    """The store tells at which build a stream may go on that this host was not told of.

    ``build`` is None if that can't be known, and empty if endpoints state no build. ``possible``
    holds all builds at which the stream may have begun, as far as they are known.
    """

    __slots__ = ("call_id", "build", "possible")

    def __init__(
        self, *, at: float, call_id: str, build: str | None, possible: tuple[str, ...] = ()
    ) -> None:
        super().__init__(at=at)
        self.call_id = call_id
        self.build = build
        self.possible = tuple(possible)


class StreamsSaved(Event):
    """This host's streams were saved, unless there was a failure."""

    __slots__ = ("failure",)

    def __init__(self, *, at: float, failure: Failure | None) -> None:
        super().__init__(at=at)
        self.failure = failure


class ClaimsRead(Event):
    """The last claim to the right to order stage changes was read.

    ``end`` is the end of the log of claims. ``holder`` is empty if there was no claim.
    """

    __slots__ = ("end", "holder")

    def __init__(self, *, at: float, end: int, holder: str) -> None:
        super().__init__(at=at)
        self.end = end
        self.holder = holder


class ClaimAnswered(Event):
    """A claim to order stage changes was written to the log at ``offset``; -1 if it was not."""

    __slots__ = ("offset",)

    def __init__(self, *, at: float, offset: int) -> None:
        super().__init__(at=at)
        self.offset = offset


class StageAnswered(Event):
    """An order to change an engine's stage ended; ``failure`` is None if the engine accepted it."""

    __slots__ = ("endpoint", "failure")

    def __init__(self, *, at: float, endpoint: str, failure: Failure | None) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.failure = failure


class EngineSaidBusy(Event):
    """An engine said whether it is changing its stage; ``failure`` says why if it did not."""

    __slots__ = ("endpoint", "is_busy", "failure")

    def __init__(
        self, *, at: float, endpoint: str, is_busy: bool, failure: Failure | None = None
    ) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.is_busy = is_busy
        self.failure = failure


class LoadChanged(Event):
    """Internal: this host's load at endpoints has changed.

    Args:
        at: Monotonic time.
        of_stream: Whether a generation changed the load, and not a short request.
    """

    __slots__ = ("of_stream",)

    def __init__(self, *, at: float, of_stream: bool) -> None:
        super().__init__(at=at)
        self.of_stream = of_stream


class PlacesChanged(Event):
    """Internal: places at engines may have become free, or endpoints were added or removed."""

    __slots__ = ()
