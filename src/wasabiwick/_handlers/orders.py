"""Orders to engines: the holder of a pool's lease brings the engines to what the lists say.

Orders are declarative: what is wanted is worked out from the engines' latest reports each time. So
a late order of an earlier holder that an engine obeyed is put right by the next report.
"""

import typing

from .. import _placement
from .._effects import Count, LogLine, OrderEngine
from .._events import AttemptFailed, EngineReported, MembersChanged, OrderAnswered
from .._lists import ModelTraits
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from .._wire import EngineReport, OrderAsk
from . import attempts, coordinator, leases, lists, members

FAILED_PAUSE = 30.0  # Seconds after a failed order in which its engine gets none.
REPORT_LAG = 1.0  # Seconds after an order in which an engine's report may still be from before it.
SETTLING = 10.0  # Seconds in which a new holder waits for the reports of all engines.
STALE_REPORT = 3.0  # Seconds after which a report says nothing about an engine.
ROLE_HOLD = 10.0  # Seconds for which a lack of a role has to last.
HONOURED = "honoured"


class Pending:
    """An order under way: until when the engine counts as busy, unless it answers earlier."""

    __slots__ = ("attempt_id", "model", "until", "ended")

    def __init__(self, *, attempt_id: str, model: str, until: float) -> None:
        self.attempt_id = attempt_id
        self.model = model
        self.until = until
        self.ended = False


class Told:
    """The latest report of an engine."""

    __slots__ = ("report", "at")

    def __init__(self, *, report: EngineReport, at: float) -> None:
        self.report = report
        self.at = at


@state_slice("orders")
class OrdersState:
    """Reports and pending orders by engine, and when weights were last ordered by model."""

    __slots__ = ("told", "pending", "loaded_at", "lacking_since")

    def __init__(self, cfg: Settings) -> None:
        self.told: dict[str, Told] = {}
        self.pending: dict[str, Pending] = {}
        self.loaded_at: dict[str, float] = {}
        self.lacking_since: dict[str, float] = {}


@handles(EngineReported)
def reported(state: State, event: EngineReported) -> typing.Iterator[Step]:
    """Order what the engine's pool needs next, if this host holds its lease."""
    report = event.report
    if not coordinator.coordinates(state, report.engine):
        return
    model = members.entry_of(state, report.engine).service
    mine = state["orders"]
    mine.told[report.engine] = Told(report=report, at=event.at)
    known = lists.current(state)
    traits = known.models.get(model) if known else None
    fence = leases.fence_of(state, model, event.at)
    if traits is None or fence < 0:
        return
    if report.fence > fence:
        # Another holder has ordered it since: this one's lease is over, whatever its clock says.
        leases.give_up(state, model)
        yield Count(metric="lease_overtaken")
        return
    if traits.fencing == HONOURED and report.fence < leases.first_fence_of(state, model):
        yield from _raise_fence(state, traits, report, fence, event.at)
    elif _may_act(state, traits, event.at):
        yield from _order_next(state, traits, fence, event.at)


def _raise_fence(
    state: State, traits: ModelTraits, report: EngineReport, fence: int, at: float
) -> typing.Iterator[Step]:
    """Show a newly taken fencing number to an engine, by an order that changes nothing.

    From then on the engine refuses whatever an earlier holder sends.
    """
    if report.engine not in _busy(state, at):
        same = _placement.EngineOrder(
            engine=report.engine,
            action=_placement.ROLE,
            model=traits.name,
            version=traits.version,
            roles=report.roles,
        )
        yield from _send(state, traits, same, fence, at)


def _may_act(state: State, traits: ModelTraits, at: float) -> bool:
    """Where engines ignore fencing numbers, wait until the last holder's orders have ended."""
    if traits.fencing == HONOURED:
        return True
    return at >= leases.taken_at(state, traits.name) + state.cfg.orders.longest


def _order_next(state: State, traits: ModelTraits, fence: int, at: float) -> typing.Iterator[Step]:
    reports = _reports(state, traits.name, at)
    if reports is None:
        return
    busy = _busy(state, at)
    wanted = _wanted(state, traits, reports, busy, at)
    if wanted:
        yield from _send(state, traits, wanted, fence, at)


def _wanted(
    state: State,
    traits: ModelTraits,
    reports: list[EngineReport],
    busy: set[str],
    at: float,
) -> _placement.EngineOrder | None:
    under_way = [one for one in state["orders"].pending.values() if not one.ended]
    if not under_way and _weights_allow(state, traits.name, at):
        load = _placement.next_load(traits, reports, busy)
        if load:
            return load
    unload = _placement.next_unload(traits.name, lists.current(state).models, reports, busy)
    return unload or _lasting_role(state, traits.name, reports, busy, at)


def _lasting_role(
    state: State, model: str, reports: list[EngineReport], busy: set[str], at: float
) -> _placement.EngineOrder | None:
    since = state["orders"].lacking_since
    role = _placement.next_role(model, reports, busy)
    if role is None:
        since.pop(model, None)
        return None
    return role if at - since.setdefault(model, at) >= ROLE_HOLD else None


def _reports(state: State, model: str, at: float) -> list[EngineReport] | None:
    """Return fresh reports of a pool's usable engines; None while some have yet to report first."""
    told = state["orders"].told
    names = [
        entry.name for entry in members.engines_of_zone(state, state.zone) if entry.service == model
    ]
    settling = at < leases.taken_at(state, model) + SETTLING
    if settling and not all(name in told for name in names):
        return None
    names = [name for name in names if name in told]
    return [told[name].report for name in names if at - told[name].at < STALE_REPORT]


def _busy(state: State, at: float) -> set[str]:
    pending = state["orders"].pending
    for engine in [name for name, one in pending.items() if at >= one.until]:
        del pending[engine]
    return set(pending)


def _weights_allow(state: State, model: str, at: float) -> bool:
    """Each pool has an equal share of the weight store's rate, so that no host need ask another."""
    cfg = state.cfg.orders
    pools = len(lists.current(state).models) * len(members.zones(state))
    pause = cfg.weight_bytes / cfg.weight_rate * pools
    last = state["orders"].loaded_at.get(model, leases.taken_at(state, model))
    return at >= last + pause


def _send(
    state: State, traits: ModelTraits, wanted: _placement.EngineOrder, fence: int, at: float
) -> typing.Iterator[Step]:
    attempt_id = attempts.new_attempt_id(state)
    mine = state["orders"]
    mine.pending[wanted.engine] = Pending(
        attempt_id=attempt_id, model=traits.name, until=at + state.cfg.orders.longest
    )
    if wanted.action == _placement.LOAD:
        mine.loaded_at[traits.name] = at
    order = OrderAsk(
        action=wanted.action,
        model=wanted.model,
        version=wanted.version,
        fence=fence,
        roles=wanted.roles,
    )
    fields = {"engine": wanted.engine, "action": wanted.action, "model": wanted.model}
    yield Count(metric="orders", label=wanted.action)
    yield LogLine(event="order", fields={**fields, "version": wanted.version, "fence": fence})
    yield OrderEngine(
        request_id=f"order-{state.zone}-{traits.name}",
        attempt_id=attempt_id,
        endpoint=wanted.engine,
        order=order,
    )


@handles(OrderAnswered)
def answered(state: State, event: OrderAnswered) -> typing.Iterator[Step]:
    """Note that the order has ended; a refusal says that the lease was taken over."""
    mine = state["orders"]
    pending = mine.pending.get(event.endpoint)
    if pending is None or pending.attempt_id != event.attempt_id:
        return
    pending.ended = True
    pending.until = event.at + REPORT_LAG
    if not event.accepted:
        leases.give_up(state, pending.model)
        yield Count(metric="order_refused")


@handles(AttemptFailed)
def failed(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Leave the engine alone for a while; the order may still take effect there."""
    pending = state["orders"].pending.get(event.endpoint)
    if event.phase != "order" or pending is None or pending.attempt_id != event.attempt_id:
        return
    pending.ended = True
    pending.until = event.at + FAILED_PAUSE
    yield Count(metric="order_failed")


@handles(MembersChanged)
def forget(state: State, event: MembersChanged) -> None:
    """Forget engines that are gone."""
    mine = state["orders"]
    for name in [name for name in mine.told if not members.address_of(state, name)]:
        del mine.told[name]
