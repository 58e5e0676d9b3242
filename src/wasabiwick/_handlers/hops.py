"""Hops: requests go through another host while this one reaches no endpoint of their service.

The other host sends a request to one endpoint at most, and never passes it on. Whether it is sent
again is decided here, so attempts, the retry budget and a stream's events are counted in one place.
What no host reaches is passed to none. A host that turns a request down has not run it; one that
is lost on the way may have run it.

Load pattern handled: all hosts of a zone are cut off, so the others serve their callers too. Calls
are spread over the hosts that reach the service, in the own zone first, and each host is passed a
bounded number at a time.
"""

import collections
import typing

from .._effects import Count, EnsureTimer, LogLine, StartTimer
from .._effects_forwarding import Relay
from .._effects_hops import PassOn, ReadHosts
from .._errors import (
    HOST_FULL,
    HOST_REFUSED,
    HOST_UNREACHABLE,
    NOT_REACHED,
    OTHER_VERSION,
    STOPPING,
)
from .._events import (
    AnswerCame,
    HostFound,
    LoadTold,
    PlaceWanted,
    ReachChanged,
    StepFailed,
    TimerFired,
    TryFailed,
)
from .._hops import Hop, HopTarget
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._verdict import Verdict
from . import (
    caller_keys,
    forwarding,
    neighbours,
    organisation_limits,
    reach,
    retry_budget,
    routes,
)
from .forwarding import ForwardedCall

MAX_HOSTS = 3  # Hosts that one call is passed to while they turn it down.
# Endpoints that accept no connection for a call until it goes through another host.
MAX_UNREACHABLE = 2
MAX_IN_FLIGHT = 48  # Calls that this host has passed to another one at a time.
MAX_PASSED = 192  # Calls that this host serves for others at a time.
# Calls at a host after which one of another zone is as good; within a zone they take less time.
CALLS_PER_STEP = 4
RECENT_S = 1.5  # Hosts that were heard within this time come before others.
AVOID_TIME_S = 1.0  # Time for which a host that failed a call comes after others.
READ_DELAY_S = 1.0  # Seconds after which the entry of a host that has started can be read.
READ_INTERVAL_S = 1.0  # Least time between two reads of the list of hosts.
REREAD_INTERVAL_S = 5.0  # Time between reads of it while a service is unreached.
RETRY_AFTER_S = 1.0  # When callers are told to retry what no host reaches.
OTHER_HOST_RETRY_AFTER_S = 0.1  # When they are told to retry what another host reaches.
# Reasons for which a host turns a request down before anything is sent to an endpoint.
TURNED_DOWN = (HOST_FULL, HOST_REFUSED, HOST_UNREACHABLE, NOT_REACHED, OTHER_VERSION, STOPPING)


@state_slice("hops")
class HopsState:
    """Where other hosts take requests, by host, and until when each comes after others.

    ``heard`` holds the run of each host's process that was heard last, and ``read_at`` the
    monotonic time at which the list of hosts was last asked for. ``is_read_due`` is true while the
    timer of the next read is running.
    """

    __slots__ = ("targets", "avoid_until", "heard", "read_at", "is_read_due")

    def __init__(self, cfg: Settings) -> None:
        self.targets: dict[str, HopTarget] = {}
        self.avoid_until: dict[str, float] = {}
        self.heard: dict[str, str] = {}
        self.read_at = float("-inf")
        self.is_read_due = False


@handles(HostFound)
def host_found(state: State, event: HostFound) -> typing.Iterator[Step]:
    """Record where another host takes requests."""
    targets = state["hops"].targets
    is_own = event.host == state.owner.host
    if event.hops is None or is_own or targets.get(event.host) == event.hops:
        return
    targets[event.host] = event.hops
    fields = {"host": event.host, "incarnation": event.hops.incarnation}
    yield LogLine(event="host_takes_requests", fields=fields)


@handles(LoadTold)
def host_heard(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Read the list of hosts once another host has started, as its entry is a new one."""
    hops_state, sender = state["hops"], event.sender
    if hops_state.heard.get(sender.host) == sender.incarnation:
        return
    hops_state.heard[sender.host] = sender.incarnation
    target = hops_state.targets.get(sender.host)
    is_known = target is not None and target.incarnation == sender.incarnation
    if not is_known and not hops_state.is_read_due:
        hops_state.is_read_due = True
        spread = neighbours.host_count(state, event.at) / neighbours.MAX_ANNOUNCEMENTS_PER_S
        delay = READ_DELAY_S + spread * state.rng.random()
        yield StartTimer(timer="host_started", delay=delay)


@on_timer("host_started")
def read_started(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the list of hosts, and forget hosts that are not heard any more."""
    hops_state, known = state["hops"], neighbours.known_names(state)
    hops_state.is_read_due = False
    for found in (hops_state.heard, hops_state.targets, hops_state.avoid_until):
        for name in [name for name in found if name not in known]:
            del found[name]
    yield from _read_hosts(state, event.at)


def is_needed(state: State, req: ForwardedCall, at: float) -> bool:
    """Return whether a call has to go through another host.

    While it is in doubt whether the service is reached, its endpoints are tried if no host is left.
    """
    if req.passed_by:
        return False
    if reach.is_unreached(state, req.service):
        return True
    is_in_doubt = reach.is_in_doubt(state, req.service)
    if not is_in_doubt and len(req.unreachable) < MAX_UNREACHABLE:
        return False
    return _choose_host(state, req, at) is not None


def passed_calls(state: State) -> int:
    """Count the calls that this host serves for others."""
    return sum(bool(one.passed_by) for one in state["forwarding"].calls.values())


def start(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Pass a call to another host, or refuse it if no host reaches its service."""
    host = _choose_host(state, req, at)
    if host is None:
        yield from _refuse(state, req, at)
        return
    organisation_limits.note_try(state, req, at)
    req.begin_hop(host, at)
    yield Count(metric="passed_on", label=req.service)
    yield forwarding.log(
        "passed_on",
        req,
        state,
        at,
        host=host,
        tries=req.number,
        unreached=reach.is_unreached(state, req.service),
        unreachable=",".join(sorted(req.unreachable)) or "-",
        heard_ago=at - state["neighbours"].hosts[host].heard,
        events=req.events,
    )
    # A generation may wait for a place at the other host, which bounds that wait itself.
    is_generation = routes.is_generation(state, req.route, req.service)
    may_retry = req.has_attempt_left and not is_generation
    organisation = caller_keys.told_name(state, req)
    has_key_taken_out = organisation is not None
    yield PassOn(
        call_id=req.ask.call_id,
        endpoint=host,
        address=state["hops"].targets[host].address,
        number=req.number,
        deadline=req.ends_at,
        quiet=req.route.target_latency if may_retry else 0.0,
        hop=Hop(
            sender=state.owner.host,
            service=req.service,
            routes_version=routes.version(state),
            build=req.build,
            events=req.events,
            avoid=tuple(req.avoid),
            key=req.ask.key if has_key_taken_out else "",
            organisation=organisation,
            fingerprints=req.ask.fingerprints if has_key_taken_out else (),
        ),
    )


def _refuse(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    reaching = [
        name
        for name in neighbours.live_names(state, at)
        if neighbours.reaches(state, name, req.service)
    ]
    yield from forwarding.refuse_call(
        state,
        req,
        at,
        NOT_REACHED,
        retry_after=OTHER_HOST_RETRY_AFTER_S if reaching else RETRY_AFTER_S,
        service=req.service,
        hosts_tried=len(req.hosts_tried),
        hosts_reaching=len(reaching),
        hosts_known=len(state["hops"].targets),
    )


def _choose_host(state: State, req: ForwardedCall, at: float) -> str | None:
    """Return the host that a call is passed to, or None."""
    if len(req.hosts_tried) >= MAX_HOSTS:
        return None
    hops_state, hosts = state["hops"], state["neighbours"].hosts
    in_flight = collections.Counter(one.host for one in state["forwarding"].calls.values())
    version = routes.version(state)

    def may_take(name: str) -> bool:
        target = hops_state.targets.get(name)
        return (
            target is not None
            and bool(target.address)
            and target.incarnation == hosts[name].incarnation
            and neighbours.reaches(state, name, req.service)
            and name not in req.hosts_tried
            and in_flight[name] < MAX_IN_FLIGHT
        )

    def cost(name: str) -> tuple[bool, bool, bool, int, bool, float]:
        one = hosts[name]
        return (
            hops_state.avoid_until.get(name, 0.0) > at,
            at - one.heard > RECENT_S,
            one.routes_version != version,
            in_flight[name] // CALLS_PER_STEP,
            one.zone != state.zone,
            state.rng.random(),
        )

    candidates = [name for name in neighbours.live_names(state, at) if may_take(name)]
    return min(candidates, key=cost, default=None)


def on_answer(state: State, req: ForwardedCall, event: AnswerCame) -> typing.Iterator[Step]:
    """Relay an answer that came through another host, or send the request again."""
    at = event.at
    if event.streams and event.status == 200:
        req.build = req.build or event.build
        yield forwarding.begin_relay(state, req, at, event.build)
        yield Relay(call_id=req.ask.call_id, number=req.number)
        return
    if (
        forwarding.is_failure(event.status)
        and req.has_attempt_left
        and retry_budget.try_spend_retry(state, req.service, at)
    ):
        yield from _try_again(state, req, at, f"status {event.status}")
        return
    yield from forwarding.relay_answer(state, req, event, host=req.host)


def on_failure(state: State, req: ForwardedCall, event: TryFailed) -> typing.Iterator[Step]:
    """Try another host, or send the request again, where that is allowed; otherwise refuse it."""
    at, failure = event.at, event.failure
    req.note_broken_off(event.events)
    if failure.verdict is Verdict.NOT_RUN:
        req.mark_not_run()
        if failure.reason in TURNED_DOWN:
            yield from _note_turned_down(state, req, event)
            yield from _try_again(state, req, at, failure.detail)
            return
    else:
        # What breaks off midway is more likely an endpoint's fault, and shows the host alive.
        if req.phase == forwarding.SENT:
            state["hops"].avoid_until[event.endpoint] = at + AVOID_TIME_S
        req.hosts_tried.clear()
        may_continue = not req.events or req.route.resumable
        if req.has_attempt_left and may_continue and at < req.ends_at:
            if retry_budget.try_spend_retry(state, req.service, at):
                yield from _try_again(state, req, at, failure.detail)
                return
            yield Count(metric="budget_empty", label=req.service)
    yield from forwarding.refuse_call(
        state,
        req,
        at,
        failure.reason,
        retry_after=failure.retry_after,
        detail=failure.detail,
        host=req.host,
        cause=failure.detail,
    )


def _note_turned_down(state: State, req: ForwardedCall, event: TryFailed) -> typing.Iterator[Step]:
    """Avoid a host that is out of reach; read the list again if it does not know this one."""
    if event.failure.reason in (HOST_UNREACHABLE, HOST_REFUSED):
        state["hops"].avoid_until[event.endpoint] = event.at + AVOID_TIME_S
        yield from _read_hosts(state, event.at)


def _try_again(state: State, req: ForwardedCall, at: float, cause: str) -> typing.Iterator[Step]:
    yield forwarding.failed_try_line(state, req, req.host, cause, at)
    yield Count(metric="forward_repeats", label=req.service)
    req.host = ""
    req.phase = forwarding.WAITING
    yield PlaceWanted(at=at, call_id=req.ask.call_id)


@handles(ReachChanged)
def reach_changed(state: State, event: ReachChanged) -> typing.Iterator[Step]:
    """Tell other hosts, which pass this one no more requests or do so again."""
    yield from neighbours.send_soon(state, event.at)
    if event.is_reached:
        return
    yield from _read_hosts(state, event.at)
    yield StartTimer(timer="hosts", delay=REREAD_INTERVAL_S)


@on_timer("hosts")
def read_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Read the list of hosts again while a service is unreached, as hosts may have restarted."""
    if reach.unreached_services(state):
        yield from _read_hosts(state, event.at)
        yield StartTimer(timer="hosts", delay=REREAD_INTERVAL_S)


def _read_hosts(state: State, at: float) -> typing.Iterator[Step]:
    if at - state["hops"].read_at >= READ_INTERVAL_S:
        state["hops"].read_at = at
        yield ReadHosts()


@handles(StepFailed)
def read_hosts_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start the timers of reads that are due, which may not have been started."""
    if state["hops"].is_read_due:
        yield EnsureTimer(timer="host_started", delay=READ_DELAY_S)
    if reach.unreached_services(state):
        yield EnsureTimer(timer="hosts", delay=REREAD_INTERVAL_S)
