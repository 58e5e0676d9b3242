"""Reserves: keeps room at decode engines for generations that are more urgent, or larger.

Load patterns handled:

- A burst of less urgent generations that fills the memory of all engines. In a large fleet each
  host's queue holds about one request, so the order of a queue decides nothing; what decides is
  which host's request finds room. So some room is left free that only more urgent ones may take.
- Large prompts beside small ones. Where every engine gets small ones as long as they fit, none ever
  has the room for a large one, although the memory left would do for several.

All hosts keep the same rooms without asking each other: how many is computed from the arrivals that
the hosts observe together (`observations`), and at which engines from the engines' names. Rooms are
free memory, not a share set aside: once one is taken, another is kept at the same engine as soon
as there is memory for it. They are given back when the requests that they are kept for stop coming.

Rooms are kept only where the settings ask for it: on the deployments measured so far all callers,
urgent ones too, were served less often with them.
"""

import hashlib
import math

from .._events import RoutesRead
from .._forwarding import DECODE, Endpoint, RouteTable, ServiceTraits
from .._observed import Observed
from .._reducer import handles
from .._settings import Settings
from .._state import State, state_slice
from . import directory, estimates, observations, rejecting, routes
from .forwarding import ForwardedCall

# A generation is large if its prompt needs more than this share of an engine's memory: such a room
# is rarely left by others.
LARGE_SHARE = 0.25
# Seconds of arrivals for which room is kept; what is placed then is known to all hosts afterwards.
ROOM_TIME_S = 0.5
AGED_SHARE = 0.5  # A large call takes any room after this share of the time that it may wait.
MAX_ENGINE_SHARE = 0.5  # Rooms are kept at this share of the engines at most.
MIN_ARRIVALS = 0.5  # With fewer arrivals in `observations.HALF_TIME_S` no room is kept.


@state_slice("reserves")
class ReservesState:
    """Priorities that requests to each service may have, the most urgent first."""

    __slots__ = ("priorities",)

    def __init__(self, cfg: Settings) -> None:
        self.priorities: dict[str, list[int]] = {}


@handles(RoutesRead)
def apply_priorities(state: State, event: RoutesRead) -> None:
    """Learn which priorities requests may have by the version in force."""
    if state["routes"].table is event.table:
        state["reserves"].priorities = _priorities(event.table)


def _priorities(table: RouteTable) -> dict[str, list[int]]:
    own = {one.priority for one in table.organisations or () if one.priority is not None}
    found: dict[str, set[int]] = {}
    for route in table.routes:
        for name, _ in route.services:
            found.setdefault(name, set(own)).add(route.priority)
    return {name: sorted(priorities) for name, priorities in found.items()}


def observe_arrival(state: State, service: ServiceTraits, req: ForwardedCall, at: float) -> None:
    """Count the arrival of a generation for which others keep room."""
    if not state.cfg.forwarding.keep_rooms:
        return
    priorities = state["reserves"].priorities.get(service.name, [])
    large = is_large(service, req)
    if not large and (not priorities or req.priority >= priorities[-1]):
        return
    if rejecting.has_returned(req) or req.ask.resumed:
        return
    measured = Observed(
        service=_source(service.name, req.priority, large=large),
        requests=1.0,
        prompt_tokens=req.ask.prompt_tokens,
        output_tokens=estimates.expected_output(state, req.route.name, req.ask),
    )
    observations.observe(state, measured, at)


def is_large(service: ServiceTraits, req: ForwardedCall) -> bool:
    """Return whether a generation needs a room that small ones rarely leave."""
    return req.ask.prompt_tokens > LARGE_SHARE * service.engine.memory_tokens


def goes_before(state: State, req: ForwardedCall) -> bool:
    """Return whether less urgent requests may come to the same engines."""
    priorities = state["reserves"].priorities.get(req.service)
    return bool(priorities) and req.priority < priorities[-1]


def goes_behind(state: State, req: ForwardedCall) -> bool:
    """Return whether generations that are more urgent have come lately, and room is kept."""
    return state.cfg.forwarding.keep_rooms and any(
        sums.requests >= MIN_ARRIVALS
        for priority in state["reserves"].priorities.get(req.service, ())
        if priority < req.priority
        for large in (True, False)
        for sums in observations.pooled(state, _source(req.service, priority, large=large))
    )


def _source(service: str, priority: int, *, large: bool) -> str:
    """Return the name under which the arrivals of a kind are observed; no service has it."""
    return f"{service}\n{priority}{'+' if large else ''}"


def rooms(state: State, req: ForwardedCall, at: float) -> dict[str, float]:
    """Return the engines that a call takes last, with the tokens of memory to leave free there.

    Room is left free for more urgent calls. Engines are merely taken last by small calls for the
    large ones of their priority, which are worth no more: they fill other engines first, and
    nothing stays empty. A call that is late leaves room for those of its own kind too, as they may
    still be in time. A large call that has waited for long leaves none, as only a room will do for
    it and it is refused soon; nor does a stream that broke off.
    """
    service = routes.service(state, req.service)
    is_off = not state.cfg.forwarding.keep_rooms
    if is_off or req.broke_off or service is None or service.engine is None:
        return {}
    large = is_large(service, req)
    if large and at - req.arrived_at >= AGED_SHARE * rejecting.max_wait(req):
        return {}
    is_late = at > rejecting.latest_on_time_start(req)
    kept: list[float] = []
    for priority in state["reserves"].priorities.get(req.service, ()):
        for other_large in (True, False):
            is_same = priority == req.priority and other_large == large
            if (priority, not other_large) < (req.priority, not large) or (is_late and is_same):
                arrivals = Observed(service="")
                name = _source(req.service, priority, large=other_large)
                for sums in observations.pooled(state, name):
                    arrivals.add(sums)
                room = _room(service, arrivals) if priority < req.priority else 0.0
                kept += [room] * _count(arrivals)
    kept.sort(reverse=True)
    engines = directory.usable_endpoints(state, req.service, DECODE)
    return dict(zip(_first(engines, int(MAX_ENGINE_SHARE * len(engines))), kept, strict=False))


def _count(arrivals: Observed) -> int:
    """Return how many rooms are kept for a kind of generations, by what came of it lately."""
    if arrivals.requests < MIN_ARRIVALS:
        return 0
    rate = arrivals.requests * math.log(2.0) / observations.HALF_TIME_S
    return math.ceil(rate * ROOM_TIME_S)


def _room(service: ServiceTraits, arrivals: Observed) -> float:
    """Return the memory that a mean generation of a kind needs, in tokens."""
    tokens = arrivals.prompt_tokens + arrivals.output_tokens / 2
    return min(tokens / max(MIN_ARRIVALS, arrivals.requests), service.engine.memory_tokens)


def _first(engines: list[Endpoint], count: int) -> list[str]:
    """Return the engines that keep rooms: the same ones at all hosts, few of which ever change."""
    names = sorted((one.name for one in engines), key=_place_in_order)
    return names[:count]


def _place_in_order(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
