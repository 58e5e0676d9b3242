"""Observations: what all hosts measured of generations, pooled, so that each can estimate from it.

Each host sums what it measures, with weights that halve every `HALF_TIME_S`, and tells the sums to
the other hosts. Sums of several hosts simply add up.

Load pattern handled: a large fleet, in which a host serves a stream only every few seconds. From
its own streams it would learn sizes and rates after a minute. Until then it would reserve too
little memory, refuse what could be served, and order engines to the wrong stage.
"""

from .._events import LoadTold
from .._observed import Observed
from .._reducer import handles
from .._settings import Settings
from .._state import State, state_slice

HALF_TIME_S = 10.0  # Time in which the weight of a measurement halves; loads shift in seconds.
TELL_INTERVAL_S = 1.0  # Shortest time between two tellings of the sums.
# Most tellings that a host gets in a second. In a larger fleet each host tells its sums more
# seldom, as taking them in is work that grows with the hosts.
MAX_TELLINGS_PER_S = 40.0
FORGET_AFTER_S = 30.0  # Time after which the sums of a silent host are dropped.


NOTHING = Observed(service="")  # The sums of a service of which nothing was measured.


class TakenSums:
    """The sums that another host told last, and when, as monotonic time."""

    __slots__ = ("told_at", "sums")

    def __init__(self, *, told_at: float, sums: tuple[Observed, ...]) -> None:
        self.told_at = told_at
        self.sums = sums


@state_slice("observations")
class ObservationsState:
    """This host's sums by service, those of other hosts, and the totals of the other hosts.

    ``weighed_at`` is the monotonic time for which the weights of this host's sums hold.
    """

    __slots__ = ("own", "weighed_at", "told_at", "others", "totals")

    def __init__(self, cfg: Settings) -> None:
        self.own: dict[str, Observed] = {}
        self.weighed_at = 0.0
        self.told_at = float("-inf")
        self.others: dict[str, TakenSums] = {}
        self.totals: dict[str, Observed] = {}


def observe(state: State, measured: Observed, at: float) -> None:
    """Add a measurement of this host."""
    _weigh(state, at)
    _sums_of(state["observations"].own, measured.service).add(measured)


def pooled(state: State, service: str) -> tuple[Observed, Observed]:
    """Return this host's sums and those of all others, which the caller adds up as it needs them.

    Rates are asked for at each look at a queue, so that adding up all sums would cost too much.
    """
    observations_state = state["observations"]
    return (
        observations_state.own.get(service, NOTHING),
        observations_state.totals.get(service, NOTHING),
    )


def take_told(state: State, at: float) -> tuple[Observed, ...]:
    """Return the sums that the next datagram tells, or nothing if one told them just before."""
    observations_state = state["observations"]
    interval = max(TELL_INTERVAL_S, len(observations_state.others) / MAX_TELLINGS_PER_S)
    if at - observations_state.told_at < interval:
        return ()
    observations_state.told_at = at
    _weigh(state, at)
    _forget_silent(state, at)
    return tuple(observations_state.own.values())


@handles(LoadTold)
def sums_told(state: State, event: LoadTold) -> None:
    """Put what another host tells in the place of what it told before."""
    if not event.observed:
        return
    observations_state = state["observations"]
    name = event.sender.host
    before = observations_state.others.get(name)
    if before is not None:
        _add_to_totals(state, before.sums, -1.0)
    observations_state.others[name] = TakenSums(told_at=event.at, sums=event.observed)
    _add_to_totals(state, event.observed, 1.0)


def _forget_silent(state: State, at: float) -> None:
    others = state["observations"].others
    silent = [name for name, one in others.items() if at - one.told_at > FORGET_AFTER_S]
    for name in silent:
        del others[name]
    if silent:
        # Totals are summed up anew at times, as differences leave rounding errors.
        state["observations"].totals.clear()
        for one in others.values():
            _add_to_totals(state, one.sums, 1.0)


def _add_to_totals(state: State, all_sums: tuple[Observed, ...], factor: float) -> None:
    for sums in all_sums:
        _sums_of(state["observations"].totals, sums.service).add(sums, factor)


def _weigh(state: State, at: float) -> None:
    """Reduce the weights of this host's sums by the time that has passed."""
    observations_state = state["observations"]
    factor = 0.5 ** (max(0.0, at - observations_state.weighed_at) / HALF_TIME_S)
    observations_state.weighed_at = at
    for sums in observations_state.own.values():
        sums.scale(factor)


def _sums_of(source: dict[str, Observed], service: str) -> Observed:
    if service not in source:
        source[service] = Observed(service=service)
    return source[service]
