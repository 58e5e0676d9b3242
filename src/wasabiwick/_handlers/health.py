"""Health of endpoints: ejection of those that fail, with a floor and half-open probes."""

import enum
import typing

from .._effects import Count, LogLine, StartTimer
from .._events import (
    AttemptFailed,
    EngineReported,
    EngineSilent,
    MembersChanged,
    ServiceAnswered,
    TimerFired,
)
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._verdict import Verdict
from . import members

EJECT_AFTER = 3  # Consecutive failures.
FIRST_EJECTION = 1.0  # Seconds; doubled at each failed probe.
LONGEST_EJECTION = 30.0  # Seconds.
JITTER = 0.2  # Share of an ejection that is added at random.
LONGEST_UNREACHABLE = 3.0  # Seconds; partitions end, and then every endpoint is wanted.
MAX_EJECTED = 0.5  # Share of a service's endpoints that may be ejected at once.
PROBE_TIME = 5.0  # Seconds after which a probe without any result is given up.
SERVER_ERROR = 500


class Phase(enum.Enum):
    """Whether an endpoint that failed lately gets work."""

    USABLE = "usable"
    EJECTED = "ejected"
    HALF_OPEN = "half_open"
    PROBED = "probed"


class Endpoint:
    """What is known of one endpoint's recent failures; ``ejection`` is in seconds."""

    __slots__ = ("failures", "silences", "phase", "ejection")

    def __init__(self) -> None:
        self.failures = 0
        self.silences = 0
        self.phase = Phase.USABLE
        self.ejection = 0.0


@state_slice("health")
class HealthState:
    """Endpoints that failed lately, by name."""

    __slots__ = ("endpoints",)

    def __init__(self, cfg: Settings) -> None:
        self.endpoints: dict[str, Endpoint] = {}


def is_usable(state: State, name: str) -> bool:
    """Tell whether an endpoint may get work: it is not ejected, or is due for a probe."""
    known = state["health"].endpoints.get(name)
    return known is None or known.phase in (Phase.USABLE, Phase.HALF_OPEN)


def record_chosen(state: State, name: str) -> None:
    """Note that an endpoint gets work; for one that is half open this is the probe."""
    known = state["health"].endpoints.get(name)
    if known and known.phase is Phase.HALF_OPEN:
        known.phase = Phase.PROBED


def record_answer(state: State, name: str) -> None:
    """Note that an endpoint answered at all, which ends a probe of one that took no connection."""
    known = state["health"].endpoints.get(name)
    if known and known.phase is Phase.PROBED:
        del state["health"].endpoints[name]


def record_success(state: State, name: str) -> None:
    """Note that an endpoint did its work."""
    known = state["health"].endpoints.get(name)
    if known and known.phase is not Phase.EJECTED:
        del state["health"].endpoints[name]


def record_failure(
    state: State, name: str, *, peers: typing.Sequence[str] | None = None
) -> typing.Iterator[Step]:
    """Note a failure, and eject the endpoint after too many unless the floor forbids it.

    Args:
        state: The host's state.
        name: Name of the endpoint.
        peers: All endpoints of its service; those of the host list if None.
    """
    known = state["health"].endpoints.setdefault(name, Endpoint())
    known.failures += 1
    if known.failures < EJECT_AFTER or known.phase is Phase.EJECTED:
        return
    if known.phase is Phase.USABLE and _at_floor(state, _listed(state, name, peers)):
        return
    known.phase = Phase.EJECTED
    known.ejection = min(LONGEST_EJECTION, max(FIRST_EJECTION, 2 * known.ejection))
    delay = known.ejection * (1.0 + JITTER * state.rng.random())
    yield Count(metric="ejected", label=name)
    yield StartTimer(timer="probe", key=name, delay=delay)


def record_unreachable(state: State, name: str) -> typing.Iterator[Step]:
    """Eject an endpoint that takes no connection; no floor applies, as nothing could be served."""
    known = state["health"].endpoints.setdefault(name, Endpoint())
    if known.phase is Phase.EJECTED:
        return
    known.failures = max(EJECT_AFTER, known.failures + 1)
    known.phase = Phase.EJECTED
    known.ejection = min(LONGEST_UNREACHABLE, max(FIRST_EJECTION, 2 * known.ejection))
    yield Count(metric="ejected", label=name)
    yield LogLine(event="endpoint_unreachable", fields={"endpoint": name, "for": known.ejection})
    yield StartTimer(timer="probe", key=name, delay=known.ejection)


@on_timer("probe")
def half_open(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Let one probe through, and another one later if the first gives no result."""
    known = state["health"].endpoints.get(event.key)
    if known and known.phase is not Phase.USABLE:
        known.phase = Phase.HALF_OPEN
        yield StartTimer(timer="probe", key=event.key, delay=PROBE_TIME)


def _listed(state: State, name: str, peers: typing.Sequence[str] | None) -> list[str]:
    if peers is not None:
        return list(peers)
    entry = members.entry_of(state, name)
    service = entry.service if entry else ""
    return [one.name for one in members.usable_endpoints(state, service)]


def _at_floor(state: State, peers: list[str]) -> bool:
    endpoints = state["health"].endpoints
    out = sum(1 for one in peers if one in endpoints and endpoints[one].phase is not Phase.USABLE)
    return out + 1 > MAX_EJECTED * len(peers)


def pick(state: State, names: list[str]) -> str:
    """Return a usable endpoint out of some, at random, or any if none is usable."""
    good = [name for name in names if is_usable(state, name)] or names
    if not good:
        return ""
    name = state.rng.choice(sorted(good))
    record_chosen(state, name)
    return name


@handles(ServiceAnswered)
def service_answered(state: State, event: ServiceAnswered) -> typing.Iterator[Step]:
    """Judge a plain service's endpoint by its answer."""
    if event.status >= SERVER_ERROR:
        yield from record_failure(state, event.endpoint)
    else:
        record_success(state, event.endpoint)


@handles(AttemptFailed)
def service_failed(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Count a failed call of a plain service, unless the endpoint only refused it."""
    refused = event.failure.verdict is Verdict.NOT_RUN and event.failure.reason.status == 503
    if event.phase == "service" and not refused:
        yield from record_failure(state, event.endpoint)


@handles(EngineSilent)
def engine_silent(state: State, event: EngineSilent) -> typing.Iterator[Step]:
    """Eject an engine that owes several reports in a row."""
    known = state["health"].endpoints.setdefault(event.endpoint, Endpoint())
    known.silences += 1
    if known.silences >= EJECT_AFTER:
        known.failures = max(known.failures, EJECT_AFTER)
        yield from record_failure(state, event.endpoint)


@handles(EngineReported)
def engine_reported(state: State, event: EngineReported) -> None:
    """Let an engine that was ejected for its silence come back for a probe."""
    known = state["health"].endpoints.get(event.report.engine)
    if known is None or not known.silences:
        return
    if known.phase is Phase.EJECTED and known.silences >= EJECT_AFTER:
        known.phase = Phase.HALF_OPEN
    known.silences = 0
    if known.phase is Phase.USABLE and not known.failures:
        del state["health"].endpoints[event.report.engine]


@handles(MembersChanged)
def forget(state: State, event: MembersChanged) -> None:
    """Forget endpoints that are gone."""
    endpoints = state["health"].endpoints
    for name in [name for name in endpoints if not members.address_of(state, name)]:
        del endpoints[name]
