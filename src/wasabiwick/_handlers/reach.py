"""Reach: whether this host reaches any endpoint of a service at all.

A host may be cut off from all endpoints while callers and other hosts still reach it. Its
connections then hang, are reset, or live on while new ones are refused. A service counts as
unreached if for `UNREACHED_AFTER_S` no endpoint answered anything and none accepted a new
connection, although several were asked again and again. One endpoint that is silent for a second
does not bring that about, nor do all of them together. A service that never answered since this
host started is unreached after one check.

Load pattern handled: a cut leaves requests without an answer, and each that is sent meanwhile is
lost. So the first check follows soon after an answer is overdue, and services are checked together.
While a service is unreached, a few connections a second are tried, whatever callers send.
"""

import typing

from .._effects import Count, EnsureTimer, LogLine, StartTimer
from .._effects_hops import CheckReach
from .._errors import ENDPOINT_REFUSED
from .._events import (
    AnswerCame,
    EndpointsRead,
    Event,
    ForwarderBooted,
    HoldAnswered,
    PlacesChanged,
    PromptAnswered,
    ReachChanged,
    ReachChecked,
    StepFailed,
    StreamDone,
    StreamMoved,
    TimerFired,
    TryFailed,
)
from .._forwarding import DECODE
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import directory, health

REVIEW_INTERVAL_S = 0.25  # Time between reviews of which services owe an answer.
OVERDUE_AFTER_S = 0.5  # Time without any answer of a service after which it is checked.
CHECK_PAUSE_S = 0.1  # Time between two checks that failed.
# Sound endpoints may fall silent for a second; within three, callers have to be served elsewhere.
UNREACHED_AFTER_S = 1.2
CHECK_LOST_S = 10.0  # A check without a result takes less, unless an exception ended it.
RECHECK_INTERVAL_S = 0.5  # Time between two checks of an unreached service.
MAX_CHECKED = 3  # Most endpoints that one check asks for a connection.


class Reach:
    """What is known of one service.

    Attributes:
        answered_at: Monotonic time of the last answer or accepted connection.
        owed_since: Monotonic time of the first request since then; None if there was none.
        failing_since: Monotonic time at which the first failed check since then began, or None.
        check_began: Monotonic time at which the check under way began; None if there is none.
        is_unreached: Whether no endpoint is reached.
    """

    __slots__ = ("answered_at", "owed_since", "failing_since", "check_began", "is_unreached")

    def __init__(self) -> None:
        self.answered_at = float("-inf")
        self.owed_since: float | None = None
        self.failing_since: float | None = None
        self.check_began: float | None = None
        self.is_unreached = False


@state_slice("reach")
class ReachState:
    """What is known of each service that requests were sent to."""

    __slots__ = ("services",)

    def __init__(self, cfg: Settings) -> None:
        self.services: dict[str, Reach] = {}


def is_unreached(state: State, service: str) -> bool:
    """Return whether this host reaches no endpoint of a service."""
    reach = state["reach"].services.get(service)
    return reach is not None and reach.is_unreached


def unreached_services(state: State) -> tuple[str, ...]:
    """Return the services of which this host reaches no endpoint."""
    return tuple(name for name, one in state["reach"].services.items() if one.is_unreached)


def services_in_doubt(state: State) -> tuple[str, ...]:
    """Return the services that other hosts should pass no request for to this one."""
    return tuple(name for name in state["reach"].services if is_in_doubt(state, name))


def is_in_doubt(state: State, service: str) -> bool:
    """Return whether a service is unreached, or may turn out to be.

    That is so once no endpoint that serves callers accepted a connection when it was last tried.
    """
    if is_unreached(state, service):
        return True
    if not health.has_failures(state):
        return False
    endpoints = directory.usable_endpoints(state, service, DECODE)
    return bool(endpoints) and not any(health.is_usable(state, one.name) for one in endpoints)


def note_sent(state: State, service: str, at: float) -> None:
    """Record that a request is sent to a service, which owes an answer from now on."""
    reach = state["reach"].services.setdefault(service, Reach())
    if reach.owed_since is None:
        reach.owed_since = at


@handles(ForwarderBooted)
def start_reviews(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Start the periodic review."""
    yield StartTimer(timer="reach", delay=REVIEW_INTERVAL_S)


@on_timer("reach")
def review(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Check the services whose answer is overdue."""
    yield StartTimer(timer="reach", delay=REVIEW_INTERVAL_S)
    for service, reach in state["reach"].services.items():
        is_owed = reach.owed_since is not None and reach.failing_since is None
        if is_owed and event.at - reach.owed_since >= OVERDUE_AFTER_S:
            yield from _check(state, service, event.at)


@handles(AnswerCame, StreamMoved, StreamDone)
def answered(state: State, event: Event) -> typing.Iterator[Step]:
    """Record that an endpoint answered a request."""
    yield from _note_endpoint(state, event.endpoint, event.at)


@handles(HoldAnswered, PromptAnswered)
def call_answered(state: State, event: Event) -> typing.Iterator[Step]:
    """Record that an endpoint answered a call, or check its service."""
    if event.failure is None or event.failure.reason is ENDPOINT_REFUSED:
        yield from _note_endpoint(state, event.endpoint, event.at)
    else:
        yield from _suspect(state, event.endpoint, event.at)


@handles(TryFailed)
def try_failed(state: State, event: TryFailed) -> typing.Iterator[Step]:
    """Check the service of an endpoint that did not answer."""
    yield from _suspect(state, event.endpoint, event.at)


def _note_endpoint(state: State, endpoint: str, at: float) -> typing.Iterator[Step]:
    listed = directory.endpoint(state, endpoint)
    if listed is not None:
        yield from _note_answer(state, listed.service, at)


def _suspect(state: State, endpoint: str, at: float) -> typing.Iterator[Step]:
    listed = directory.endpoint(state, endpoint)
    if listed is None:
        return
    reach = state["reach"].services.setdefault(listed.service, Reach())
    if at - reach.answered_at >= REVIEW_INTERVAL_S:
        yield from _check(state, listed.service, at)


def _check(state: State, service: str, at: float) -> typing.Iterator[Step]:
    """Ask some endpoints of a service for a connection, unless a check is under way."""
    reach = state["reach"].services[service]
    endpoints = directory.usable_endpoints(state, service)
    if not endpoints:
        return
    if reach.check_began is not None and at - reach.check_began < CHECK_LOST_S:
        return
    reach.check_began = at
    chosen = state.rng.sample(endpoints, min(MAX_CHECKED, len(endpoints)))
    yield CheckReach(service=service, endpoints=tuple((one.name, one.address) for one in chosen))


@handles(ReachChecked)
def reach_checked(state: State, event: ReachChecked) -> typing.Iterator[Step]:
    """Record a check; the service is unreached once checks have failed for long enough."""
    reach = state["reach"].services.get(event.service)
    if reach is None or reach.check_began is None:
        return
    began, reach.check_began = reach.check_began, None
    for name in event.accepted:
        health.forget_unreachable(state, name)
    if event.accepted:
        yield from _note_answer(state, event.service, event.at)
        return
    if reach.answered_at > began:
        return
    if reach.failing_since is None:
        reach.failing_since = began
    failing = event.at - reach.failing_since
    # A host that has just started may be cut off already.
    has_answered = reach.answered_at > float("-inf")
    if not reach.is_unreached and failing >= (UNREACHED_AFTER_S if has_answered else 0.0):
        reach.is_unreached = True
        yield from _report(state, event.service, False, failing, event.at)
    pause = RECHECK_INTERVAL_S if reach.is_unreached else CHECK_PAUSE_S
    yield StartTimer(timer="reach_check", key=event.service, delay=pause)
    for other, one in list(state["reach"].services.items()):
        is_quiet = event.at - one.answered_at >= OVERDUE_AFTER_S
        if other != event.service and is_quiet and one.failing_since is None:
            yield from _check(state, other, event.at)


@on_timer("reach_check")
def check_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Check a service again unless it has answered meanwhile."""
    reach = state["reach"].services.get(event.key)
    if reach is not None and reach.failing_since is not None:
        yield from _check(state, event.key, event.at)


def _note_answer(state: State, service: str, at: float) -> typing.Iterator[Step]:
    """Record that an endpoint of a service answered or accepted a connection."""
    reach = state["reach"].services.setdefault(service, Reach())
    reach.answered_at = at
    reach.owed_since = reach.failing_since = None
    if reach.is_unreached:
        reach.is_unreached = False
        for one in directory.usable_endpoints(state, service):
            health.forget_unreachable(state, one.name)
        yield from _report(state, service, True, 0.0, at)
        yield PlacesChanged(at=at)


def _report(
    state: State, service: str, is_reached: bool, failing: float, at: float
) -> typing.Iterator[Step]:
    fields = {
        "service": service,
        "reached": is_reached,
        "failing": failing,
        "endpoints": len(directory.usable_endpoints(state, service)),
        "list_age": directory.list_age(state, at),
    }
    yield Count(metric="reach_changes", label="reached" if is_reached else "unreached")
    yield LogLine(event="reach_changed", fields=fields)
    yield ReachChanged(at=at, service=service, is_reached=is_reached)


@handles(EndpointsRead)
def forget_unlisted(state: State, event: EndpointsRead) -> typing.Iterator[Step]:
    """Forget services without a listed endpoint, which can be neither reached nor checked."""
    services = state["reach"].services
    for name in [name for name in services if not directory.usable_endpoints(state, name)]:
        was_unreached = services.pop(name).is_unreached
        if was_unreached:
            yield ReachChanged(at=event.at, service=name, is_reached=True)


@handles(StepFailed)
def check_anew(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Check failing services again later, as a check that seems under way may not have begun."""
    for name, reach in state["reach"].services.items():
        if reach.failing_since is not None:
            yield EnsureTimer(timer="reach_check", key=name, delay=CHECK_LOST_S)
