"""Events of forwarding: facts about routes and endpoints, callers, and what endpoints answered."""

import typing

from .._errors import Failure
from .._forwarding import Ask, EndpointLoad, Listing, RouteTable
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
    """Entries of the list of endpoints were read; ``whole`` if names not among them are gone.

    ``upto`` is the position up to which the list's history was read.
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
    """The source of a kind of facts was lost or regained."""

    __slots__ = ("feed", "up", "why")

    def __init__(self, *, at: float, feed: str, up: bool, why: str = "") -> None:
        super().__init__(at=at)
        self.feed = feed
        self.up = up
        self.why = why


class SettingsRead(Event):
    """The settings were read again; these of them may change while the host runs.

    ``drain`` and ``stop_notice`` bound a graceful shutdown, in seconds; the others are the budget
    of repeats.
    """

    __slots__ = ("drain", "stop_notice", "retry_ratio", "retry_slack", "retry_window")

    def __init__(
        self,
        *,
        at: float,
        drain: float,
        stop_notice: float,
        retry_ratio: float,
        retry_slack: float,
        retry_window: float,
    ) -> None:
        super().__init__(at=at)
        self.drain = drain
        self.stop_notice = stop_notice
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window = retry_window


class HostFound(Event):
    """Another host was found; ``address`` is where it takes datagrams."""

    __slots__ = ("host", "address", "zone")

    def __init__(self, *, at: float, host: str, address: str, zone: str) -> None:
        super().__init__(at=at)
        self.host = host
        self.address = address
        self.zone = zone


class LoadTold(Event):
    """Another host told what it has under way at endpoints.

    ``address`` is where the sender takes datagrams. ``busy`` holds the endpoints that carry an
    order out, with the seconds that this may take.
    """

    __slots__ = ("sender", "zone", "address", "sequence", "loads", "stopping", "busy")

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
    ) -> None:
        super().__init__(at=at)
        self.sender = sender
        self.zone = zone
        self.address = address
        self.sequence = sequence
        self.loads = loads
        self.stopping = stopping
        self.busy = busy or {}


class ForwardArrived(Event):
    """A caller sent a whole request to be forwarded."""

    __slots__ = ("ask",)

    def __init__(self, *, at: float, ask: Ask) -> None:
        super().__init__(at=at)
        self.ask = ask


class ForwardEvent(Event):
    """Base of events that belong to one forwarded call."""

    __slots__ = ("call_id",)

    def __init__(self, *, at: float, call_id: str) -> None:
        super().__init__(at=at)
        self.call_id = call_id


class ForwardLeft(ForwardEvent):
    """The caller's connection ended before its answer did."""

    __slots__ = ()


class ForwardAnswered(ForwardEvent):
    """The caller's whole answer was written."""

    __slots__ = ()


class HoldAnswered(ForwardEvent):
    """An engine answered whether it holds a place; ``hold`` names it, ``failure`` says why not."""

    __slots__ = ("endpoint", "hold", "failure")

    def __init__(
        self, *, at: float, call_id: str, endpoint: str, hold: str, failure: Failure | None
    ) -> None:
        super().__init__(at=at, call_id=call_id)
        self.endpoint = endpoint
        self.hold = hold
        self.failure = failure


class PromptAnswered(ForwardEvent):
    """An engine answered a prefill; ``handle`` names the KV cache, ``failure`` says why not."""

    __slots__ = ("endpoint", "handle", "failure")

    def __init__(
        self, *, at: float, call_id: str, endpoint: str, handle: str, failure: Failure | None
    ) -> None:
        super().__init__(at=at, call_id=call_id)
        self.endpoint = endpoint
        self.handle = handle
        self.failure = failure


class TryEvent(ForwardEvent):
    """Base of events of one try; ``number`` counts the call's tries from 1."""

    __slots__ = ("endpoint", "number")

    def __init__(self, *, at: float, call_id: str, endpoint: str, number: int) -> None:
        super().__init__(at=at, call_id=call_id)
        self.endpoint = endpoint
        self.number = number


class AnswerCame(TryEvent):
    """An endpoint answered one try: with a stream's head, or else with a whole answer.

    ``not_run`` tells that the endpoint stated not to have run the request.
    """

    __slots__ = ("status", "not_run", "streams")

    def __init__(self, *, status: int, not_run: bool, streams: bool, **fields: typing.Any) -> None:
        super().__init__(**fields)
        self.status = status
        self.not_run = not_run
        self.streams = streams


class TryFailed(TryEvent):
    """A try brought no whole answer; ``events`` counts what the caller got of a stream."""

    __slots__ = ("failure", "events")

    def __init__(self, *, failure: Failure, events: int = 0, **fields: typing.Any) -> None:
        super().__init__(**fields)
        self.failure = failure
        self.events = events


class StreamMoved(TryEvent):
    """A stream has brought this many events so far."""

    __slots__ = ("events",)

    def __init__(self, *, events: int, **fields: typing.Any) -> None:
        super().__init__(**fields)
        self.events = events


class StreamDone(StreamMoved):
    """A stream came to its end, with this many events in all."""

    __slots__ = ()


class ClaimsRead(Event):
    """The last claim to give orders was read; ``holder`` is empty where there was none."""

    __slots__ = ("end", "holder")

    def __init__(self, *, at: float, end: int, holder: str) -> None:
        super().__init__(at=at)
        self.end = end
        self.holder = holder


class ClaimAnswered(Event):
    """A claim to give orders was taken at an offset, or not: then ``offset`` is -1."""

    __slots__ = ("offset",)

    def __init__(self, *, at: float, offset: int) -> None:
        super().__init__(at=at)
        self.offset = offset


class StageAnswered(Event):
    """An engine answered an order to change its stage, or did not; ``failure`` says why."""

    __slots__ = ("endpoint", "failure")

    def __init__(self, *, at: float, endpoint: str, failure: Failure | None) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.failure = failure


class EngineSaidBusy(Event):
    """An engine told whether it carries an order out; ``failure`` says why it did not tell."""

    __slots__ = ("endpoint", "is_busy", "failure")

    def __init__(
        self, *, at: float, endpoint: str, is_busy: bool, failure: Failure | None = None
    ) -> None:
        super().__init__(at=at)
        self.endpoint = endpoint
        self.is_busy = is_busy
        self.failure = failure


class LoadChanged(Event):
    """Internal: what this host has under way at endpoints has changed.

    Args:
        at: Monotonic time.
        of_stream: Whether a generation's place or prefill changed, and no short request's.
    """

    __slots__ = ("of_stream",)

    def __init__(self, *, at: float, of_stream: bool) -> None:
        super().__init__(at=at)
        self.of_stream = of_stream


class PlacesChanged(Event):
    """Internal: places at engines may have become free, or endpoints came or went."""

    __slots__ = ()
