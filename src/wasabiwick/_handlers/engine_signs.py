"""Engine signs: what endpoints say of their load and slowness, and how fast each of them is.

An endpoint may say in an answer how many requests it has and how long work takes there. What it
says is true for less than a second, so hosts tell each other what they heard themselves, in the
datagrams that they send anyway. All times are in seconds; a slowness is a multiple of the usual
time that work takes.

Load pattern handled: engines of one service that differ in speed, where each is now and then much
slower for a moment. By the service's mean, slow engines are given too much work and fast ones idle.
An endpoint's word is checked against the time that work took there, so that one which says that
it is fast and is slow is found out; it keeps getting some work, by which a change is noticed.
"""

import typing

from .._events import EndpointsRead, LoadNamed, LoadTold
from .._forwarding import Endpoint, EngineSign
from .._reducer import handles
from .._settings import Settings
from .._state import State, state_slice
from . import directory

MAX_TOLD = 24  # Most signs in one datagram, which has to stay small; the newest are told.
TELL_TIME_S = 1.0  # Age from which on a sign is not told, as others hear it later still.
USE_TIME_S = 2.0  # Age from which on a sign says nothing of the present.
# Time in which the difference between an endpoint's newest slowness and its mean halves.
MOMENT_HALF_TIME_S = 0.5
SAMPLE_INTERVAL_S = 0.25  # Shortest time between two signs that count in a mean.
SPEED_HALF_TIME_S = 15.0  # Time in which the weight of a sign in an endpoint's mean halves.
# The same while an endpoint says nothing, as engines do that prefill.
SILENT_HALF_TIME_S = 60.0
# Time without any sign after which a service's endpoints count as not saying how slow they are.
SERVICE_SILENT_S = 120.0
MEASURED_HALF_TIME_S = 30.0  # The same for measured times, of which there are fewer.
PRIOR_SIGNS = 2.0  # Signs that weigh as much as the mean of the other endpoints.
PRIOR_MEASURED_S = 1.0  # Seconds of work that weigh as much as the endpoint's word.
# Bounds of how much longer work is taken to last than an endpoint says. An endpoint at the upper
# one still gets work.
MIN_CORRECTION = 0.4
MAX_CORRECTION = 4.0
MAX_TOLD_TIME_S = 120.0  # Most seconds of work that one datagram is believed to tell of.
# Values of slowness that are believed; all others are left out as unreadable.
MIN_SLOWNESS = 0.05
MAX_SLOWNESS = 20.0
MAX_REQUESTS = 1_000  # Most requests that an endpoint is believed to have.


class Speed:
    """What is known of an endpoint's speed: sums in which older signs and times weigh less.

    ``signs`` and ``slowness`` sum the signs and what they said, and ``slowest`` is the most that
    one said lately. ``taken`` sums the seconds that work took, and ``expected`` those that it
    should have taken by the endpoint's word, or by that of the others if it says nothing.
    """

    __slots__ = (
        "signs",
        "slowness",
        "slowest",
        "sampled_at",
        "taken",
        "expected",
        "measured_at",
    )

    def __init__(self, at: float) -> None:
        self.signs = 0.0
        self.slowness = 0.0
        self.slowest = 0.0
        self.sampled_at = float("-inf")
        self.taken = 0.0
        self.expected = 0.0
        self.measured_at = at

    def add_sign(self, sign: EngineSign) -> None:
        """Count a sign, unless one just before it counted."""
        since = sign.at - self.sampled_at
        if since < SAMPLE_INTERVAL_S:
            return
        if not self.signs:
            # Times were compared with the other endpoints' word.
            self.taken = self.expected = 0.0
        factor = 0.5 ** (since / SPEED_HALF_TIME_S)
        self.signs = factor * self.signs + 1.0
        self.slowness = factor * self.slowness + sign.slowness
        self.slowest = max(factor * self.slowest, sign.slowness)
        self.sampled_at = sign.at

    def add_times(self, taken: float, expected: float, at: float) -> None:
        """Count seconds of work."""
        factor = 0.5 ** (max(0.0, at - self.measured_at) / MEASURED_HALF_TIME_S)
        self.taken = factor * self.taken + taken
        self.expected = factor * self.expected + expected
        self.measured_at = max(at, self.measured_at)

    def mean(self, others: float, at: float) -> float:
        """Return the mean of the signs, nearer to that of others the fewer and older they are."""
        weight = 0.5 ** (max(0.0, at - self.sampled_at) / SILENT_HALF_TIME_S)
        return (weight * self.slowness + PRIOR_SIGNS * others) / (weight * self.signs + PRIOR_SIGNS)

    @property
    def correction(self) -> float:
        """How much longer work lasts than the endpoint says."""
        ratio = (self.taken + PRIOR_MEASURED_S) / (self.expected + PRIOR_MEASURED_S)
        return min(MAX_CORRECTION, max(MIN_CORRECTION, ratio))

    @property
    def confidence(self) -> float:
        """Share of the endpoint's own signs and times in what is used for it, from 0 to 1."""
        known = self.signs + self.expected
        return known / (known + PRIOR_SIGNS)


@state_slice("engine_signs")
class EngineSignsState:
    """By endpoint: the newest sign, what is known of its speed, and what other hosts aren't told.

    ``services`` holds by service when an endpoint last said how slow it is. ``untold`` holds
    signs that this host saw itself, the newest at the end, and ``untold_times`` the seconds of work
    that it measured, taken and expected.
    """

    __slots__ = ("newest", "speeds", "services", "untold", "untold_times")

    def __init__(self, cfg: Settings) -> None:
        self.newest: dict[str, EngineSign] = {}
        self.speeds: dict[str, Speed] = {}
        self.services: dict[str, float] = {}
        self.untold: dict[str, EngineSign] = {}
        self.untold_times: dict[str, tuple[float, float]] = {}


def tells(state: State, service: str, at: float) -> bool:
    """Return whether endpoints of a service say how slow they are."""
    said_at = state["engine_signs"].services.get(service)
    return said_at is not None and at - said_at < SERVICE_SILENT_S


@handles(LoadNamed)
def load_named(state: State, event: LoadNamed) -> None:
    """Remember what an endpoint said to this host."""
    sign = event.sign
    if _learn(state, sign, event.at):
        untold = state["engine_signs"].untold
        untold.pop(sign.endpoint, None)
        untold[sign.endpoint] = sign


@handles(LoadTold)
def signs_told(state: State, event: LoadTold) -> None:
    """Remember what endpoints said to another host, and the times that it measured."""
    for sign in event.signs:
        _learn(state, sign, event.at)
        is_listed = directory.endpoint(state, sign.endpoint) is not None
        if is_listed and 0.0 < sign.expected <= MAX_TOLD_TIME_S:
            least, most = MIN_CORRECTION * sign.expected, MAX_CORRECTION * sign.expected
            taken = min(most, max(least, sign.taken))
            _add_times(state, sign.endpoint, taken, sign.expected, event.at)


def _learn(state: State, sign: EngineSign, at: float) -> bool:
    """Take in a sign of a listed endpoint; returns whether it is readable and the newest."""
    signs_state = state["engine_signs"]
    listed = directory.endpoint(state, sign.endpoint)
    if listed is None or not _is_readable(sign):
        return False
    known = signs_state.newest.get(sign.endpoint)
    if sign.at > at or at - sign.at > USE_TIME_S or (known and known.at >= sign.at):
        return False
    signs_state.newest[sign.endpoint] = sign
    signs_state.services[listed.service] = at
    signs_state.speeds.setdefault(sign.endpoint, Speed(at)).add_sign(sign)
    return True


def _is_readable(sign: EngineSign) -> bool:
    return (
        sign.slowness is not None
        and MIN_SLOWNESS <= sign.slowness <= MAX_SLOWNESS
        and 0 <= sign.running <= MAX_REQUESTS
        and 0 <= sign.waiting <= MAX_REQUESTS
    )


def observe(state: State, endpoint: str, taken: float, usual: float, at: float) -> None:
    """Learn from work that ended at an endpoint, if those of its service say how slow they are.

    Args:
        state: The host's state.
        endpoint: Name of the endpoint.
        taken: Seconds that the work took.
        usual: Seconds that such work takes on average at the service's endpoints of this stage.
        at: Monotonic time.
    """
    signs_state = state["engine_signs"]
    listed = directory.endpoint(state, endpoint)
    if listed is None or not tells(state, listed.service, at) or taken <= 0.0 or usual <= 0.0:
        return
    peers = directory.usable_endpoints(state, listed.service, listed.stage)
    said = _said(state, listed.service, {endpoint, *(one.name for one in peers)}, at)
    expected = usual * said[endpoint] / _harmonic_mean(said.values())
    taken = min(MAX_CORRECTION * expected, max(MIN_CORRECTION * expected, taken))
    _add_times(state, endpoint, taken, expected, at)
    before = signs_state.untold_times.pop(endpoint, (0.0, 0.0))
    signs_state.untold_times[endpoint] = (before[0] + taken, before[1] + expected)


def _add_times(state: State, endpoint: str, taken: float, expected: float, at: float) -> None:
    state["engine_signs"].speeds.setdefault(endpoint, Speed(at)).add_times(taken, expected, at)


def take_told(state: State, at: float) -> tuple[EngineSign, ...]:
    """Return what the next datagram tells: signs and times of this host since the last one."""
    signs_state = state["engine_signs"]
    signs, times = signs_state.untold, signs_state.untold_times
    signs_state.untold, signs_state.untold_times = {}, {}
    told = [one for one in signs.values() if at - one.at < TELL_TIME_S]
    said = {one.endpoint for one in told}
    told = [one.with_times(*times.get(one.endpoint, (0.0, 0.0))) for one in told]
    # An endpoint of which only times are known is told without a slowness.
    told += [
        EngineSign(
            endpoint=name,
            running=0,
            waiting=0,
            slots=0,
            slowness=None,
            at=at,
            taken=taken,
            expected=expected,
        )
        for name, (taken, expected) in times.items()
        if name not in said
    ]
    return tuple(told[-MAX_TOLD:])


def newest(state: State, endpoint: str, at: float) -> EngineSign | None:
    """Return the newest sign of an endpoint, or None if it is too old to say anything."""
    sign = state["engine_signs"].newest.get(endpoint)
    return sign if sign is not None and at - sign.at < USE_TIME_S else None


def unseen_requests(state: State, endpoint: str, known: int, at: float) -> int:
    """Return how many requests an endpoint has that no host has told, by its newest sign.

    What an endpoint says adds to what is known and never takes off: it may say that it is idle
    although it is not. The older the sign, the more of the requests have ended or are told by now.

    Args:
        state: The host's state.
        endpoint: Name of the endpoint.
        known: Requests that this host and others have there, as far as this host knows.
        at: Monotonic time.
    """
    sign = newest(state, endpoint, at)
    if sign is None:
        return 0
    unseen = sign.running + sign.waiting - known
    return max(0, round(unseen * 0.5 ** ((at - sign.at) / MOMENT_HALF_TIME_S)))


def factors(state: State, endpoints: list[Endpoint], at: float) -> dict[str, float]:
    """Return how long work takes at each of a service's endpoints now, as a multiple of their mean.

    The result is empty if no endpoint of the service says how slow it is.
    """
    if not endpoints or not tells(state, endpoints[0].service, at):
        return {}
    speeds = state["engine_signs"].speeds
    found = _said(state, endpoints[0].service, {one.name for one in endpoints}, at)
    for name in found.keys() & speeds.keys():
        found[name] *= speeds[name].correction
    mean = _harmonic_mean(found.values())
    for name in found:
        sign = newest(state, name, at)
        if sign is not None:
            share = 0.5 ** ((at - sign.at) / MOMENT_HALF_TIME_S)
            found[name] += share * (sign.slowness * speeds[name].correction - found[name])
        found[name] /= mean
    return found


def slowest_moment(state: State, service: str, at: float) -> float:
    """Return how much longer than its mean work may take at an endpoint in a slow moment."""
    if not tells(state, service, at):
        return 1.0
    speeds = state["engine_signs"].speeds
    ratios = (
        one.slowest * one.signs / one.slowness
        for name, one in speeds.items()
        if one.signs and _service(state, name) == service
    )
    return min(MAX_CORRECTION, max(ratios, default=1.0))


def _said(state: State, service: str, names: set[str], at: float) -> dict[str, float]:
    """Return the mean slowness that each of some endpoints said.

    For those that said little it is near the mean of all endpoints of the service.
    """
    speeds = state["engine_signs"].speeds
    told = [one for name, one in speeds.items() if one.signs and _service(state, name) == service]
    overall = _harmonic_mean([one.slowness / one.signs for one in told]) if told else 1.0
    return {name: speeds[name].mean(overall, at) if name in speeds else overall for name in names}


def _service(state: State, endpoint: str) -> str:
    listed = directory.endpoint(state, endpoint)
    return listed.service if listed is not None else ""


def _harmonic_mean(values: typing.Collection[float]) -> float:
    """Return the mean by work, as endpoints do work in proportion to their speed."""
    return len(values) / sum(1.0 / one for one in values)


def basis(state: State, endpoint: str, at: float) -> dict[str, object]:
    """Return what is known of an endpoint's speed, and how surely, for logging a decision."""
    sign = state["engine_signs"].newest.get(endpoint)
    speed = state["engine_signs"].speeds.get(endpoint)
    if speed is None:
        return {}
    return {
        "sign_age": at - sign.at if sign is not None else "-",
        "slowness": sign.slowness if sign is not None else "-",
        "correction": speed.correction,
        "confidence": speed.confidence,
    }


def spread(state: State) -> dict[str, float]:
    """Return how long the busiest endpoint worked lately, as a multiple of the mean.

    The keys are services, those of model engines with their stage. Only endpoints count of which
    hosts measured work.
    """
    seconds: dict[str, list[float]] = {}
    for name, speed in state["engine_signs"].speeds.items():
        listed = directory.endpoint(state, name)
        if listed is not None and speed.taken:
            key = f"{listed.service}/{listed.stage}" if listed.stage else listed.service
            seconds.setdefault(key, []).append(speed.taken)
    return {key: max(values) * len(values) / sum(values) for key, values in seconds.items()}


@handles(EndpointsRead)
def forget_gone(state: State, event: EndpointsRead) -> None:
    """Forget endpoints that are no longer listed."""
    signs_state = state["engine_signs"]
    for known in (
        signs_state.newest,
        signs_state.speeds,
        signs_state.untold,
        signs_state.untold_times,
    ):
        for name in [one for one in known if directory.endpoint(state, one) is None]:
            del known[name]
