"""Router's view of the pools: which availability zone's coordinator to ask for a slot.

The view holds a few numbers per pool, learned from the coordinators' answers, so its size grows
with zones and not with engines.
"""

import typing

from .. import _rendezvous
from .._settings import Settings
from .._state import State, state_slice
from . import members, predict

STALE = 1.0  # Seconds after which a coordinator's answer says nothing about its load.
CROSSING = 0.004  # Seconds assumed one way between availability zones.
SPILL_MARGIN = 0.05  # Seconds by which another zone must be better; keeps choices from flapping.
CUT_OFF = 2.0  # Seconds for which a coordinator that did not answer is not asked.
PRIOR_PREFILL = 8_000.0  # Tokens/s.


class View:
    """What this host knows of one pool: the answers of its coordinator."""

    __slots__ = ("wait", "free", "told_at", "late_denied_at", "cut_until", "crossing")

    def __init__(self) -> None:
        self.wait = 0.0
        self.free = 0
        self.told_at = -STALE
        self.late_denied_at = -STALE
        self.cut_until = 0.0
        self.crossing = predict.Mean(CROSSING, share=0.1)

    def predicted_wait(self, at: float) -> float:
        """Return the wait that the pool's last answers promise, in seconds."""
        age = at - self.told_at
        if age >= STALE or self.free > 0:
            return 0.0
        return self.wait * (1.0 - age / STALE)


class Affinity:
    """How much a model's prompts gain from the zone that served the same prefix before."""

    __slots__ = ("home", "away", "prefill_rate")

    def __init__(self) -> None:
        self.home = predict.Mean(0.2)
        self.away = predict.Mean(0.2)
        self.prefill_rate = predict.Rate(PRIOR_PREFILL)

    def gain(self, tokens: int) -> float:
        """Return the prefill time saved by the home zone, in seconds."""
        return self.prefill_rate.seconds(max(0.0, self.home.value - self.away.value) * tokens)


@state_slice("pools")
class PoolsState:
    """Views by model and zone, and affinities by model; ``by_affinity`` turns the latter on."""

    __slots__ = ("views", "affinities", "by_affinity")

    def __init__(self, cfg: Settings) -> None:
        self.views: dict[tuple[str, str], View] = {}
        self.affinities: dict[str, Affinity] = {}
        self.by_affinity = True


def view_of(state: State, model: str, zone: str) -> View:
    """Return the view of a pool."""
    return state["pools"].views.setdefault((model, zone), View())


def affinity_of(state: State, model: str) -> Affinity:
    """Return the affinity learned for a model."""
    return state["pools"].affinities.setdefault(model, Affinity())


def zones_of(state: State, model: str) -> list[str]:
    """Return the availability zones that have engines of a model, sorted."""
    return sorted({entry.zone for entry in members.usable_endpoints(state, model)})


def home_zone(zones: typing.Sequence[str], pieces: tuple[int, ...]) -> str:
    """Return the zone that a prompt's prefix is assigned to, or an empty string."""
    if not pieces or not zones:
        return ""
    return _rendezvous.owner_of(str(pieces[-1]), zones)


def ranked(
    state: State, model: str, pieces: tuple[int, ...], tokens: int, at: float
) -> list[tuple[float, str]]:
    """Order the zones of a model by the predicted delay of asking each.

    Args:
        state: The host's state.
        model: Model of the request.
        pieces: Hash chain of the prompt.
        tokens: Length of the prompt.
        at: Monotonic time.

    Returns:
        Pairs of predicted delay in seconds and zone, best first.
    """
    zones = zones_of(state, model)
    home = home_zone(zones, pieces) if state["pools"].by_affinity else ""
    gain = affinity_of(state, model).gain(tokens)
    return sorted((_delay(state, model, zone, home, gain, at), zone) for zone in zones)


def _delay(state: State, model: str, zone: str, home: str, gain: float, at: float) -> float:
    view = view_of(state, model, zone)
    seconds = view.predicted_wait(at)
    if zone != state.zone:
        seconds += 2 * view.crossing.value + SPILL_MARGIN
    if home and zone != home:
        seconds += gain
    if at < view.cut_until:
        seconds += CUT_OFF
    return seconds
