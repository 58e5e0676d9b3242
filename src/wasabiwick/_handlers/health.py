"""Endpoint health: ejects failing endpoints, within a limit, and probes them when half-open."""

import enum
import typing

from .._effects import Count, EnsureTimer, LogLine, StartTimer
from .._events import (
    AttemptFailed,
    EngineReported,
    EngineSilent,
    MembersChanged,
    ServiceAnswered,
    StepFailed,
    TimerFired,
)
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._verdict import Verdict
from . import members

# Consecutive failures, or missing reports of an engine, after which an endpoint is ejected.
EJECT_AFTER = 3
FIRST_EJECTION_S = 1.0  # Duration of the first ejection; doubled after each failed probe.
MAX_EJECTION_S = 30.0  # Longest ejection of an endpoint, except of an unreachable one.
EJECTION_JITTER = 0.2  # Largest share of an ejection's duration that is added at random.
# Longest ejection of an unreachable endpoint. It is short, as all endpoints are needed once a
# network partition has ended.
MAX_UNREACHABLE_S = 3.0
# Failures may eject at most this share of a service's endpoints at the same time.
MAX_EJECTED_SHARE = 0.5
PROBE_TIMEOUT_S = 5.0  # Time after which a probe without a result may be followed by another.
SERVER_ERROR = 500  # Lowest HTTP status of an endpoint's own failures.


class Phase(enum.Enum):
    """State of an endpoint that failed recently.

    A half-open endpoint is due for a probe: the next request that is sent to it. A probed endpoint
    has been sent that request, and the result is awaited.
    """

    USABLE = "usable"
    EJECTED = "ejected"
    HALF_OPEN = "half_open"
    PROBED = "probed"


class Endpoint:
    """Recent failures of one endpoint.

    ``failures`` counts consecutive failures, and ``silences`` an engine's consecutive missing
    reports. ``ejection`` is the duration of the last ejection in seconds, and ``is_unreachable``
    whether it was for accepting no connection.
    """

    __slots__ = ("failures", "silences", "phase", "ejection", "is_unreachable")

    def __init__(self) -> None:
        self.failures = 0
        self.silences = 0
        self.phase = Phase.USABLE
        self.ejection = 0.0
        self.is_unreachable = False


@state_slice("health")
class HealthState:
    """Endpoints that failed recently, by name."""

    __slots__ = ("endpoints",)

    def __init__(self, cfg: Settings) -> None:
        self.endpoints: dict[str, Endpoint] = {}


def is_usable(state: State, name: str) -> bool:
    """Return whether an endpoint may get work: it is not ejected, or is due for a probe."""
    endpoint = state["health"].endpoints.get(name)
    return endpoint is None or endpoint.phase in (Phase.USABLE, Phase.HALF_OPEN)


def has_failures(state: State) -> bool:
    """Return whether any endpoint failed recently."""
    return bool(state["health"].endpoints)


def record_chosen(state: State, name: str) -> None:
    """Record that an endpoint was chosen for a request, which is the probe if it is half-open."""
    endpoint = state["health"].endpoints.get(name)
    if endpoint and endpoint.phase is Phase.HALF_OPEN:
        endpoint.phase = Phase.PROBED


def record_answer(state: State, name: str) -> None:
    """Record that an endpoint answered, whatever the result; this ends a probe successfully."""
    endpoint = state["health"].endpoints.get(name)
    if endpoint and endpoint.phase is Phase.PROBED:
        del state["health"].endpoints[name]


def record_success(state: State, name: str) -> None:
    """Record that an endpoint served a request; this clears its failures unless it is ejected."""
    endpoint = state["health"].endpoints.get(name)
    if endpoint and endpoint.phase is not Phase.EJECTED:
        del state["health"].endpoints[name]


def record_failure(
    state: State, name: str, *, peers: typing.Sequence[str] | None = None
) -> typing.Iterator[Step]:
    """Record a failure; eject the endpoint after `EJECT_AFTER`, within `MAX_EJECTED_SHARE`.

    Args:
        state: The host's state.
        name: Name of the endpoint.
        peers: Names of all endpoints of its service; None for those known from the list of members.
    """
    endpoint = state["health"].endpoints.setdefault(name, Endpoint())
    endpoint.failures += 1
    if endpoint.failures < EJECT_AFTER or endpoint.phase is Phase.EJECTED:
        return
    if endpoint.phase is Phase.USABLE and _at_ejection_limit(
        state, _peer_names(state, name, peers)
    ):
        return
    endpoint.phase = Phase.EJECTED
    endpoint.is_unreachable = False
    endpoint.ejection = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * endpoint.ejection))
    delay = endpoint.ejection * (1.0 + EJECTION_JITTER * state.rng.random())
    yield Count(metric="ejected", label=name)
    yield StartTimer(timer="probe", key=name, delay=delay)


def record_unreachable(state: State, name: str) -> typing.Iterator[Step]:
    """Eject an endpoint that accepts no connection.

    `MAX_EJECTED_SHARE` does not apply, since an unreachable endpoint could not serve anything.
    """
    endpoint = state["health"].endpoints.setdefault(name, Endpoint())
    if endpoint.phase is Phase.EJECTED:
        return
    endpoint.failures = max(EJECT_AFTER, endpoint.failures + 1)
    endpoint.phase = Phase.EJECTED
    endpoint.is_unreachable = True
    endpoint.ejection = min(MAX_UNREACHABLE_S, max(FIRST_EJECTION_S, 2 * endpoint.ejection))
    yield Count(metric="ejected", label=name)
    yield LogLine(event="endpoint_unreachable", fields={"endpoint": name, "for": endpoint.ejection})
    yield StartTimer(timer="probe", key=name, delay=endpoint.ejection)


def forget_unreachable(state: State, name: str) -> None:
    """Forget that an endpoint accepted no connection, once its service is reached again."""
    endpoint = state["health"].endpoints.get(name)
    if endpoint is not None and endpoint.is_unreachable:
        del state["health"].endpoints[name]


@on_timer("probe")
def allow_probe(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Allow one probe, and another one after `PROBE_TIMEOUT_S` if the first gives no result."""
    endpoint = state["health"].endpoints.get(event.key)
    if endpoint and endpoint.phase is not Phase.USABLE:
        endpoint.phase = Phase.HALF_OPEN
        yield StartTimer(timer="probe", key=event.key, delay=PROBE_TIMEOUT_S)


def _peer_names(state: State, name: str, peers: typing.Sequence[str] | None) -> list[str]:
    if peers is not None:
        return list(peers)
    entry = members.entry_of(state, name)
    service = entry.service if entry else ""
    return [one.name for one in members.usable_endpoints(state, service)]


def _at_ejection_limit(state: State, peers: list[str]) -> bool:
    endpoints = state["health"].endpoints
    ejected_count = sum(
        1 for one in peers if one in endpoints and endpoints[one].phase is not Phase.USABLE
    )
    return ejected_count + 1 > MAX_EJECTED_SHARE * len(peers)


def pick_endpoint(state: State, names: list[str]) -> str:
    """Choose a usable endpoint at random, or any endpoint if none is usable."""
    usable_names = [name for name in names if is_usable(state, name)] or names
    if not usable_names:
        return ""
    name = state.rng.choice(sorted(usable_names))
    record_chosen(state, name)
    return name


@handles(ServiceAnswered)
def service_answered(state: State, event: ServiceAnswered) -> typing.Iterator[Step]:
    """Record a plain service's answer as a success or, for a server error, as a failure."""
    if event.status >= SERVER_ERROR:
        yield from record_failure(state, event.endpoint)
    else:
        record_success(state, event.endpoint)


@handles(AttemptFailed)
def service_failed(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Record a failed call of a plain service, unless the endpoint refused it with status 503."""
    was_refused = event.failure.verdict is Verdict.NOT_RUN and event.failure.reason.status == 503
    if event.phase == "service" and not was_refused:
        yield from record_failure(state, event.endpoint)


@handles(EngineSilent)
def engine_silent(state: State, event: EngineSilent) -> typing.Iterator[Step]:
    """Eject an engine whose reports are missing several times in a row."""
    endpoint = state["health"].endpoints.setdefault(event.endpoint, Endpoint())
    endpoint.silences += 1
    if endpoint.silences >= EJECT_AFTER:
        endpoint.failures = max(endpoint.failures, EJECT_AFTER)
        yield from record_failure(state, event.endpoint)


@handles(EngineReported)
def engine_reported(state: State, event: EngineReported) -> None:
    """Make an engine half-open that was ejected for missing reports and now reports again."""
    endpoint = state["health"].endpoints.get(event.report.engine)
    if endpoint is None or not endpoint.silences:
        return
    if endpoint.phase is Phase.EJECTED and endpoint.silences >= EJECT_AFTER:
        endpoint.phase = Phase.HALF_OPEN
    endpoint.silences = 0
    if endpoint.phase is Phase.USABLE and not endpoint.failures:
        del state["health"].endpoints[event.report.engine]


@handles(MembersChanged)
def remove_unlisted(state: State, event: MembersChanged) -> None:
    """Remove endpoints that are no longer listed."""
    endpoints = state["health"].endpoints
    for name in [name for name in endpoints if not members.address_of(state, name)]:
        del endpoints[name]


@handles(StepFailed)
def start_probes_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Start the timers of ejected endpoints again, one of which may not have been started."""
    for name, endpoint in state["health"].endpoints.items():
        if endpoint.phase is not Phase.USABLE:
            delay = max(FIRST_EJECTION_S, endpoint.ejection)
            yield EnsureTimer(timer="probe", key=name, delay=delay)
