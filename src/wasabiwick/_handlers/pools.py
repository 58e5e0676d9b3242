"""Router's view of the pools: which availability zone's coordinator to ask for a slot.

The view holds a few numbers per pool, learned from the coordinators' answers, so its size grows
with zones and not with engines.
"""

from .. import _rendezvous
from .._pieces import prefix_hashes
from .._settings import Settings
from .._state import State, state_slice
from . import members, predict

CROSSING = 0.004  # Seconds assumed one way between availability zones.
CUT_OFF = 2.0  # Seconds for which a coordinator that did not answer is not asked.
PRIOR_HOME = 0.5  # Share of a prompt found cached in its home zone.
PRIOR_AWAY = 0.2
PREFILL_WEIGHT = 6.0  # A prefill paid twice delays others too, not only its own request.
PRIOR_PREFILL = 8_000.0  # Tokens/s.


class View:
    """What this host knows of one pool: the answers of its coordinator.

    A ``suspect`` coordinator left the last question unanswered; it gets one question at a time.
    """

    __slots__ = ("wait", "late_denied_at", "cut_until", "suspect", "crossing")

    def __init__(self) -> None:
        self.wait = 0.0
        self.late_denied_at = -CUT_OFF
        self.cut_until = 0.0
        self.suspect = False
        self.crossing = predict.MovingAverage(CROSSING, share=0.1)


class Affinity:
    """How much a model's prompts gain from the zone that served the same prefix before."""

    __slots__ = ("home", "away", "prefill_rate")

    def __init__(self) -> None:
        self.home = predict.MovingAverage(PRIOR_HOME)
        self.away = predict.MovingAverage(PRIOR_AWAY)
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


def home_zone(state: State, model: str, pieces: tuple[int, ...]) -> str:
    """Return the zone that a prompt's prefix is assigned to, or an empty string.

    Zones get prefixes by the number of their engines.
    """
    ladder = prefix_hashes(pieces)
    engines = members.endpoint_counts_by_zone(state, model)
    if not ladder or not engines:
        return ""
    return _rendezvous.weighted_owner_of(str(ladder[-1]), engines)


def ranked(state: State, model: str, pieces: tuple[int, ...], tokens: int, at: float) -> list[str]:
    """Order the zones of a model in which their coordinators are asked.

    The home zone of the prompt's prefix is first where its caches save more than the crossing
    costs; else this host's own zone. How loaded the zones are is for the coordinators to weigh.

    Args:
        state: The host's state.
        model: Model of the request.
        pieces: Hash chain of the prompt.
        tokens: Length of the prompt.
        at: Monotonic time.

    Returns:
        Names of zones; those that are cut off come last, or not at all if not this host's own.
    """
    gain = affinity_of(state, model).gain(tokens)
    home = home_zone(state, model, pieces) if state["pools"].by_affinity and gain > 0 else ""

    def cost(zone: str) -> tuple[float, float, str]:
        view = view_of(state, model, zone)
        crossing = 0.0 if zone == state.zone else 2 * view.crossing.value
        away = gain if home and zone != home else 0.0
        return (at < view.cut_until, crossing + away, zone)

    zones = members.zones_of_service(state, model)
    reachable = [
        zone for zone in zones if zone == state.zone or at >= view_of(state, model, zone).cut_until
    ]
    return sorted(reachable, key=cost)
