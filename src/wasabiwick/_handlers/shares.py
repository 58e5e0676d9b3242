"""Shares: divides the engines' room between organisations while there is too little of it.

Load pattern handled: one organisation sends many times its usual, and the engines' memory runs out.
Each host sees a request of it now and then, so nothing that one host queues shares anything. What
each organisation uses is therefore known across hosts: each host sums what it charges by
organisation, tells the sums with its load, and adds up by how much those of the others rise.

An organisation whose recent use is far above its fair share yields: its generations are placed only
where room for another one is left, and go behind others in queues and at prefill engines. The fair
share is the use above which organisations would have to be cut if `CUT_SHARE` of all use had to
end (max-min). A part of its generations doesn't yield, so that it is always served, too. Where
there is room for all, those that yield are served like others.
"""

import itertools
import typing

from .._effects import Count
from .._events import LoadTold
from .._forwarding import ServiceTraits
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from . import estimates, forwarding, neighbours, organisations, reserves, routes
from .forwarding import ForwardedCall

HALF_TIME_S = 5.0  # Time in which the weight of use halves; a flood shows within seconds.
# An organisation yields once it uses this multiple of its fair share, as use varies by chance.
YIELD_FACTOR = 1.5
# Share of an organisation's generations that never yield: so it is served at least that often as
# those that keep within their share.
UNYIELDING_SHARE = 0.35
CUT_SHARE = 0.3  # Part of all use that has to end in a shortage for which fair shares are computed.
# Generations of usual size that an organisation must have had lately for its standing to be known;
# with fewer, use is above the mean by chance.
MIN_GENERATIONS = 10.0
MAX_WEIGHT_HALVINGS = 20  # Use is weighed anew after so many half times; far from overflowing.
# Most sums in one datagram, which has to stay small; those that rose last are told.
MAX_TOLD = 64
MAX_ROOM_SHARE = 0.5  # Share of an engine's memory that a call leaves free at most.
PREFILL_TOKEN_S = 0.3  # Token-seconds that prefilling a token counts as.


class Decayed:
    """Use by organisation, in token-seconds, in which older use weighs less.

    ``amounts`` holds it as of ``weighed_at``; use since then enters with the larger weight that it
    has by comparison, so that adding costs the same however many organisations there are.
    """

    __slots__ = ("amounts", "weighed_at")

    def __init__(self) -> None:
        self.amounts: dict[str, float] = {}
        self.weighed_at = 0.0

    def add(self, name: str, amount: float, at: float) -> None:
        """Add an organisation's use."""
        if at - self.weighed_at > MAX_WEIGHT_HALVINGS * HALF_TIME_S:
            self.amounts = {one: used for one, used in self.now(at).items() if used >= 1.0}
            self.weighed_at = at
        self.amounts[name] = self.amounts.get(name, 0.0) + amount / self._factor(at)

    def now(self, at: float) -> dict[str, float]:
        """Return the use by organisation at a time."""
        factor = self._factor(at)
        return {one: factor * used for one, used in self.amounts.items()}

    def _factor(self, at: float) -> float:
        return 0.5 ** ((at - self.weighed_at) / HALF_TIME_S)


class Heard:
    """The sums that a host told last, by which process, and in which of its datagrams."""

    __slots__ = ("incarnation", "sequence", "used")

    def __init__(self, *, incarnation: str, sequence: int, used: dict[str, int]) -> None:
        self.incarnation = incarnation
        self.sequence = sequence
        self.used = used


@state_slice("shares")
class SharesState:
    """Sums of this host's own use since it started, what others told, and the use of all lately.

    ``own`` has the sum that rose last at its end.
    """

    __slots__ = ("own", "heard", "recent")

    def __init__(self, cfg: Settings) -> None:
        self.own: dict[str, int] = {}
        self.heard: dict[str, Heard] = {}
        self.recent = Decayed()


def charge(state: State, service: ServiceTraits, req: ForwardedCall, at: float) -> None:
    """Charge a generation that got its place to its organisation, by its expected use."""
    if req.organisation is None or not organisations.are_named(state):
        return
    output = estimates.remaining_output(state, service, req.route.name, req.ask, req.events)
    used = int(_use(state, service, req.ask.prompt_tokens, output))
    name, shares_state = req.organisation.name, state["shares"]
    shares_state.own[name] = shares_state.own.pop(name, 0) + used
    shares_state.recent.add(name, used, at)


def _use(state: State, service: ServiceTraits, prompt: float, output: float) -> float:
    """Return the token-seconds of engines that a generation uses."""
    seconds = output / estimates.token_rate(state, service.name)
    return (prompt + output / 2) * seconds + PREFILL_TOKEN_S * prompt


@neighbours.use_source
def told(state: State) -> dict[str, int]:
    """Return the sums of this host's use that rose last, for the next datagram."""
    own = state["shares"].own
    newest = itertools.islice(reversed(own), MAX_TOLD)
    return {name: own[name] for name in newest if organisations.named(state, name) is not None}


@handles(LoadTold)
def use_told(state: State, event: LoadTold) -> None:
    """Add by how much another host's sums have risen.

    The first datagram heard of a process only tells from where its sums rise. So does a sum that is
    told for the first time in a datagram that has no room for all.
    """
    if not event.used:
        return
    shares_state, name = state["shares"], event.sender.host
    before = shares_state.heard.get(name)
    is_same = before is not None and before.incarnation == event.sender.incarnation
    if is_same and event.sequence <= before.sequence:
        return
    known = before.used if is_same else {}
    shares_state.heard[name] = Heard(
        incarnation=event.sender.incarnation, sequence=event.sequence, used=known | event.used
    )
    has_all = len(event.used) < MAX_TOLD
    for organisation, used in event.used.items() if is_same else ():
        rise = used - known.get(organisation, 0 if has_all else used)
        if rise > 0:
            shares_state.recent.add(organisation, rise, event.at)


def standing(state: State, service: ServiceTraits, name: str, at: float) -> float:
    """Return an organisation's recent use as a multiple of its fair share; 0 if not known.

    It is at most the multiple of the mean use: with few organisations, or such as use the same,
    fair shares are below what each uses.
    """
    amounts = state["shares"].recent.now(at)
    used = amounts.get(name, 0.0)
    if used < MIN_GENERATIONS * _use(state, service, *estimates.mean_sizes(state, service)):
        return 0.0
    total = sum(amounts.values())
    fair = _fair_share(sorted(amounts.values()), (1.0 - CUT_SHARE) * total)
    return used / max(fair, total / len(amounts))


def _fair_share(amounts: list[float], room: float) -> float:
    """Return the largest share of some room that is fair: what some don't use goes to the others.

    Args:
        amounts: Use of each organisation, the smallest first; more than the room altogether.
        room: Use that there is room for.
    """
    for number, amount in enumerate(amounts):
        equal = room / (len(amounts) - number)
        if amount >= equal:
            return equal
        room -= amount
    return amounts[-1]


def decide(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Decide whether a new generation goes behind those of organisations below their share."""
    if req.organisation is None or req.broke_off or not organisations.are_named(state):
        return
    name, service = req.organisation.name, routes.service(state, req.service)
    above = standing(state, service, name, at)
    if above < YIELD_FACTOR or state.rng.random() < UNYIELDING_SHARE:
        return
    req.yields = True
    yield Count(metric="generations_yielding")
    yield forwarding.log("yields", req, state, at, organisation=name, standing=above)


def leaves_room(state: State, req: ForwardedCall) -> bool:
    """Return whether a call leaves room at engines to other organisations; rank goes before it."""
    return req.yields and not reserves.goes_before(state, req)


def room_for_others(state: State, req: ForwardedCall) -> float:
    """Return the tokens of memory that a call leaves free at an engine for other organisations.

    One that is urgent leaves none: most that come are less urgent.
    """
    service = routes.service(state, req.service)
    if not leaves_room(state, req) or service is None or service.engine is None:
        return 0.0
    prompt, output = estimates.mean_sizes(state, service)
    return min(prompt + output / 2, MAX_ROOM_SHARE * service.engine.memory_tokens)
