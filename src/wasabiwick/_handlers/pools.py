"""Router's view of the pools: selects the availability zone whose coordinator is asked for a slot.

The view holds a few numbers per pool, taken from the coordinators' answers, so its size grows with
the number of zones and not with that of engines.
"""

from .. import _rendezvous
from .._pieces import prefix_hashes
from .._settings import Settings
from .._state import State, state_slice
from . import members, predict

CROSSING_S = 0.004  # Assumed one-way delay between availability zones.
CUT_OFF_S = 2.0  # A coordinator that did not answer is not asked for this long.
PRIOR_HOME_CACHED = 0.5  # Share of a prompt assumed cached in its home zone until measured.
# Share of a prompt assumed cached in any other zone until measured.
PRIOR_ELSEWHERE_CACHED = 0.2
PREFILL_WEIGHT = 6.0  # Factor of prefill time: a repeated prefill delays other requests too.
PRIOR_PREFILL_RATE = 8_000.0  # Tokens per second, assumed before the first measured prefill.


class PoolView:
    """State of one pool as its coordinator's answers describe it.

    If ``is_suspect``, the coordinator did not answer the last request, so it is sent one request at
    a time. ``crossing`` is the one-way delay to its zone, in seconds.
    """

    __slots__ = ("wait", "late_denied_at", "cut_until", "is_suspect", "crossing")

    def __init__(self) -> None:
        self.wait = 0.0
        self.late_denied_at = -CUT_OFF_S
        self.cut_until = 0.0
        self.is_suspect = False
        self.crossing = predict.MovingAverage(CROSSING_S, share=0.1)


class Affinity:
    """Shares of a model's prompts found cached, in their home zones and elsewhere."""

    __slots__ = ("home", "elsewhere", "prefill_rate")

    def __init__(self) -> None:
        self.home = predict.MovingAverage(PRIOR_HOME_CACHED)
        self.elsewhere = predict.MovingAverage(PRIOR_ELSEWHERE_CACHED)
        self.prefill_rate = predict.Rate(PRIOR_PREFILL_RATE)

    def saved_seconds(self, tokens: int) -> float:
        """Return the prefill time that a prompt saves in its home zone, in seconds."""
        return self.prefill_rate.seconds(max(0.0, self.home.value - self.elsewhere.value) * tokens)


@state_slice("pools")
class PoolsState:
    """Views by model and zone, affinities by model, and whether home zones are preferred."""

    __slots__ = ("views", "affinities", "by_affinity")

    def __init__(self, cfg: Settings) -> None:
        self.views: dict[tuple[str, str], PoolView] = {}
        self.affinities: dict[str, Affinity] = {}
        self.by_affinity = True


def view_of(state: State, model: str, zone: str) -> PoolView:
    """Return the view of a pool."""
    return state["pools"].views.setdefault((model, zone), PoolView())


def affinity_of(state: State, model: str) -> Affinity:
    """Return the affinity learned for a model."""
    return state["pools"].affinities.setdefault(model, Affinity())


def home_zone(state: State, model: str, pieces: tuple[int, ...]) -> str:
    """Return the zone that a prompt's prefix is assigned to, or an empty string.

    Zones are assigned prefixes in proportion to their numbers of engines.
    """
    hashes = prefix_hashes(pieces)
    engines = members.endpoint_counts_by_zone(state, model)
    if not hashes or not engines:
        return ""
    return _rendezvous.weighted_owner_of(str(hashes[-1]), engines)


def zones_by_cost(
    state: State, model: str, pieces: tuple[int, ...], tokens: int, at: float
) -> list[str]:
    """Return the zones of a model in the order in which their coordinators are asked.

    The home zone of the prompt's prefix comes first if its caches save more time than the network
    delay to it costs; else this host's own zone. Load is left out: the coordinators compare it.

    Args:
        state: The host's state.
        model: Model of the request.
        pieces: Hash chain of the prompt.
        tokens: Length of the prompt, in tokens.
        at: Monotonic time.

    Returns:
        Names of the zones that are not cut off. This host's own zone is always included, but comes
        last if it is cut off.
    """
    saved_seconds = affinity_of(state, model).saved_seconds(tokens)
    home = (
        home_zone(state, model, pieces) if state["pools"].by_affinity and saved_seconds > 0 else ""
    )

    def cost(zone: str) -> tuple[float, float, str]:
        view = view_of(state, model, zone)
        crossing = 0.0 if zone == state.zone else 2 * view.crossing.value
        extra_prefill = saved_seconds if home and zone != home else 0.0
        return (at < view.cut_until, crossing + extra_prefill, zone)

    zones = members.zones_of_service(state, model)
    reachable_zones = [
        zone for zone in zones if zone == state.zone or at >= view_of(state, model, zone).cut_until
    ]
    return sorted(reachable_zones, key=cost)
