"""Effects of forwarding: calls to endpoints, answers to callers, and messages to other hosts."""

from ._effects import Effect
from ._errors import Failure
from ._forwarding import (
    BegunStream,
    Crash,
    EndpointLimit,
    EndpointLoad,
    EngineSign,
    Findings,
    SavedBuilds,
    SoundPart,
)
from ._observed import Observed


class ForwardEffect(Effect):
    """Base of effects on one forwarded call."""

    __slots__ = ("call_id",)

    def __init__(self, *, call_id: str) -> None:
        self.call_id = call_id


class EndpointEffect(ForwardEffect):
    """Base of effects on one forwarded call at one endpoint."""

    __slots__ = ("endpoint", "address")

    def __init__(self, *, call_id: str, endpoint: str, address: str) -> None:
        super().__init__(call_id=call_id)
        self.endpoint = endpoint
        self.address = address


class TakeHold(EndpointEffect):
    """Reserve a slot and memory for ``tokens`` at an engine, for ``seconds``."""

    __slots__ = ("tokens", "seconds")

    def __init__(
        self, *, call_id: str, endpoint: str, address: str, tokens: int, seconds: float
    ) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.tokens = tokens
        self.seconds = seconds


class DropHold(EndpointEffect):
    """Cancel the reservation of a place."""

    __slots__ = ("hold",)

    def __init__(self, *, call_id: str, endpoint: str, address: str, hold: str) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.hold = hold


class ReadPrompt(EndpointEffect):
    """Prefill the prompt at an engine, which keeps the KV cache for another engine to fetch.

    Args:
        call_id: The call.
        endpoint: Name of the engine.
        address: Its address.
        deadline: Monotonic time until which the engine may work.
        priority: Priority at the engine; lower is more urgent.
        quiet: Time-out of the answer, in seconds.
        organisation: Name that the endpoint is told as the caller's organisation, or empty; None
            where the operator names no organisations.
    """

    __slots__ = ("deadline", "priority", "quiet", "organisation")

    def __init__(
        self,
        *,
        call_id: str,
        endpoint: str,
        address: str,
        deadline: float,
        priority: int,
        quiet: float,
        organisation: str | None = None,
    ) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.deadline = deadline
        self.priority = priority
        self.quiet = quiet
        self.organisation = organisation


class FreeHandle(EndpointEffect):
    """Let an engine free a KV cache that no other engine will fetch."""

    __slots__ = ("handle",)

    def __init__(self, *, call_id: str, endpoint: str, address: str, handle: str) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.handle = handle


class Forward(EndpointEffect):
    """Send the request to an endpoint.

    Args:
        call_id: The call.
        endpoint: Name of the endpoint, which refuses requests that name another endpoint.
        address: Its address.
        number: Number of this try, from 1.
        deadline: Monotonic time until which the endpoint may work.
        hold: Identifier of the place reserved at the endpoint, or empty.
        source: Address of the engine that keeps the prompt's KV cache, or empty.
        handle: Identifier of the KV cache at ``source``, or empty.
        priority: Priority at an engine, lower is more urgent; None for plain services.
        connections: Largest number of connections that this host may have to the endpoint.
        resume: Whether the stream continues after the last event that the caller got.
        quiet: Time-out of the response head, in seconds; 0 for none.
        born: Start of the endpoint that alone may get the request, in Unix milliseconds; 0 for any.
        organisation: Name that the endpoint is told as the caller's organisation, or empty; None
            where the operator names no organisations.
    """

    __slots__ = (
        "number",
        "deadline",
        "hold",
        "source",
        "handle",
        "priority",
        "connections",
        "resume",
        "quiet",
        "born",
        "organisation",
    )

    def __init__(
        self,
        *,
        call_id: str,
        endpoint: str,
        address: str,
        number: int,
        deadline: float,
        hold: str = "",
        source: str = "",
        handle: str = "",
        priority: int | None = None,
        connections: int = 0,
        resume: bool = False,
        quiet: float = 0.0,
        born: int = 0,
        organisation: str | None = None,
    ) -> None:
        super().__init__(call_id=call_id, endpoint=endpoint, address=address)
        self.number = number
        self.deadline = deadline
        self.hold = hold
        self.source = source
        self.handle = handle
        self.priority = priority
        self.connections = connections
        self.resume = resume
        self.quiet = quiet
        self.born = born
        self.organisation = organisation


class Relay(ForwardEffect):
    """Pass the answer to a try on to the caller."""

    __slots__ = ("number",)

    def __init__(self, *, call_id: str, number: int) -> None:
        super().__init__(call_id=call_id)
        self.number = number


class DropTry(ForwardEffect):
    """Abort a call's requests to endpoints, and close their connections."""

    __slots__ = ("number",)

    def __init__(self, *, call_id: str, number: int) -> None:
        super().__init__(call_id=call_id)
        self.number = number


class RefuseForward(ForwardEffect):
    """Answer a forwarded call with an error from this host."""

    __slots__ = ("failure",)

    def __init__(self, *, call_id: str, failure: Failure) -> None:
        super().__init__(call_id=call_id)
        self.failure = failure


class CutForward(ForwardEffect):
    """Cut off an answer that can't be finished, so that the caller sees that it is incomplete."""

    __slots__ = ()


class TellLoad(Effect):
    """Report this host's load at endpoints, and streams that began here, to other hosts.

    ``busy`` holds the engines that are changing between prefill and decode, with the seconds that
    the change may still take. ``builds`` holds the services with several builds: each build, with
    the seconds since it was listed. ``crashes`` holds endpoints that ended by themselves, and
    ``sound`` the suspected parts of prompts that this host has seen to be sound. ``limits`` holds
    what endpoints named as their limits, and ``leaving`` the endpoints that said that they leave,
    with the Unix milliseconds of their start. ``unreached`` holds the services of which this host
    reaches no endpoint, and ``routes_version`` is the version of the routes in force here.
    ``observed`` holds what this host measured of generations.
    ``counted`` and ``used`` hold by organisation, in sums since the process started, what
    counted against its limit and the engine time that it used. ``signs`` holds what endpoints
    said of their load.
    """

    __slots__ = (
        "addresses",
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
        addresses: tuple[str, ...],
        sequence: int,
        loads: dict[str, EndpointLoad],
        stopping: bool,
        busy: dict[str, float],
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
        self.addresses = tuple(addresses)
        self.sequence = sequence
        self.loads = loads
        self.stopping = stopping
        self.busy = busy
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


class SetReadTurn(Effect):
    """Read the platform's store at this host's own pace, or listen to hosts that do.

    ``addresses`` are those of the hosts that it tells what it reads.
    """

    __slots__ = ("reads", "addresses")

    def __init__(self, *, reads: bool, addresses: tuple[str, ...]) -> None:
        self.reads = reads
        self.addresses = tuple(addresses)


class ReadFeed(Effect):
    """Read a feed of the platform's store once at this host, also if it listens to others."""

    __slots__ = ("feed",)

    def __init__(self, *, feed: str) -> None:
        self.feed = feed


class AskPermit(ForwardEffect):
    """Ask another host whether a call may be sent to an endpoint that has a limit.

    ``address`` is where that host receives datagrams, and ``number`` tells this question from
    others of the call.
    """

    __slots__ = ("address", "number", "limit")

    def __init__(self, *, address: str, call_id: str, number: int, limit: EndpointLimit) -> None:
        super().__init__(call_id=call_id)
        self.address = address
        self.number = number
        self.limit = limit


class AnswerPermit(ForwardEffect):
    """Answer another host's question: its call may be sent, or only after ``wait`` seconds."""

    __slots__ = ("address", "number", "wait")

    def __init__(self, *, address: str, call_id: str, number: int, wait: float) -> None:
        super().__init__(call_id=call_id)
        self.address = address
        self.number = number
        self.wait = wait


class SaveStreams(Effect):
    """Save the streams that began at this host, in place of those saved before.

    ``builds`` holds the services with several builds: each build, with the seconds since it was
    listed. ``saved`` holds the builds at which any stream of this host may have begun. A ``spare``
    save goes to another part of the store, as the usual one may be down.
    """

    __slots__ = ("begun", "builds", "saved", "spare")

    def __init__(
        self,
        *,
        begun: tuple[BegunStream, ...],
        builds: dict[str, dict[str, float]],
        saved: SavedBuilds,
        spare: bool = False,
    ) -> None:
        self.begun = tuple(begun)
        self.builds = builds
        self.saved = saved
        self.spare = spare


class ReadSavedStreams(Effect):
    """Read the streams that all hosts saved; retried until it succeeds.

    With ``history``, the entries of the list of endpoints are read that came since the saves.
    """

    __slots__ = ("history",)

    def __init__(self, *, history: bool = False) -> None:
        self.history = history


class SaveFindings(Effect):
    """Save what this host has found, in place of what it saved before."""

    __slots__ = ("findings",)

    def __init__(self, *, findings: Findings) -> None:
        self.findings = findings


class CheckEnded(Effect):
    """Check whether an endpoint has ended, after connections to it broke off.

    ``born`` is the Unix time at which it had started, in milliseconds; 0 if unknown. ``others``
    holds names and addresses of other endpoints: if none of them accepts a connection either, this
    host is cut off.
    """

    __slots__ = ("endpoint", "address", "born", "others")

    def __init__(
        self,
        *,
        endpoint: str,
        address: str,
        born: int,
        others: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self.born = born
        self.others = tuple((name, address) for name, address in others)


class AskWhetherBusy(Effect):
    """Ask an engine whether it is changing its stage."""

    __slots__ = ("endpoint", "address")

    def __init__(self, *, endpoint: str, address: str) -> None:
        self.endpoint = endpoint
        self.address = address


class ReadClaims(Effect):
    """Read the last claim to the right to order engines to change their stage."""

    __slots__ = ()


class ClaimOrders(Effect):
    """Claim the right to order stage changes, unless the log of claims has grown past ``after``."""

    __slots__ = ("after", "holder")

    def __init__(self, *, after: int, holder: str) -> None:
        self.after = after
        self.holder = holder


class OrderStage(Effect):
    """Order an engine to change its stage.

    ``fence`` is the fencing token, which is higher than that of any earlier holder of the right.
    """

    __slots__ = ("endpoint", "address", "stage", "holder", "fence")

    def __init__(self, *, endpoint: str, address: str, stage: str, holder: str, fence: int) -> None:
        self.endpoint = endpoint
        self.address = address
        self.stage = stage
        self.holder = holder
        self.fence = fence


class AnnounceHost(Effect):
    """Register this host in the list of hosts, and read the other entries."""

    __slots__ = ()
