"""Engine orders: the holder of a pool's lease makes its engines match the published lists.

Each order is derived anew from the engines' latest reports. So if an engine carries out a delayed
order of an earlier holder, its next report leads to an order that corrects this.
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

FAILED_PAUSE_S = 30.0  # Time after a failed order in which its engine gets no other order.
REPORT_LAG_S = 1.0  # Time after an order in which a report of its engine may still predate it.
# Longest time for which the new holder of a lease waits for reports of all engines.
SETTLE_TIME_S = 10.0
REPORT_EXPIRY_S = 3.0  # Age from which an engine's report no longer counts.
# An engine is given a role that its pool lacks only after the pool has lacked it this long.
ROLE_DELAY_S = 10.0
HONOURED = "honoured"  # Value of ``fencing`` for models whose engines obey fencing numbers.


class PendingOrder:
    """An order sent to an engine, which counts as busy until the monotonic time ``busy_until``."""

    __slots__ = ("attempt_id", "model", "busy_until", "ended")

    def __init__(self, *, attempt_id: str, model: str, busy_until: float) -> None:
        self.attempt_id = attempt_id
        self.model = model
        self.busy_until = busy_until
        self.ended = False


class Told:
    """The latest report of an engine, and the monotonic time at which it arrived."""

    __slots__ = ("report", "at")

    def __init__(self, *, report: EngineReport, at: float) -> None:
        self.report = report
        self.at = at


@state_slice("orders")
class OrdersState:
    """Reports and pending orders by engine.

    ``loaded_at`` holds, by model, the monotonic time of the last order to load weights, and
    ``lacking_since`` the time since which the pool has lacked a role.
    """

    __slots__ = ("latest_reports", "pending", "loaded_at", "lacking_since")

    def __init__(self, cfg: Settings) -> None:
        self.latest_reports: dict[str, Told] = {}
        self.pending: dict[str, PendingOrder] = {}
        self.loaded_at: dict[str, float] = {}
        self.lacking_since: dict[str, float] = {}


@handles(EngineReported)
def engine_reported(state: State, event: EngineReported) -> typing.Iterator[Step]:
    """Send the next order that the engine's pool needs, if this host holds the pool's lease."""
    report = event.report
    if not coordinator.coordinates(state, report.engine):
        return
    model = members.entry_of(state, report.engine).service
    orders_state = state["orders"]
    orders_state.latest_reports[report.engine] = Told(report=report, at=event.at)
    current_lists = lists.current(state)
    traits = current_lists.models.get(model) if current_lists else None
    fence = leases.fence_of(state, model, event.at)
    if traits is None or fence < 0:
        return
    if report.fence > fence:
        # A later holder has sent an order: this host's lease is over, whatever its clock says.
        leases.give_up_lease(state, model)
        yield Count(metric="lease_overtaken")
        return
    if traits.fencing == HONOURED and report.fence < leases.first_fence_of(state, model):
        yield from _raise_fence(state, traits, report, fence, event.at)
    elif _may_send_orders(state, traits, event.at):
        yield from _send_next_order(state, traits, fence, event.at)


def _raise_fence(
    state: State, traits: ModelTraits, report: EngineReport, fence: int, at: float
) -> typing.Iterator[Step]:
    """Make a new lease's fencing number known to an engine, by an order that changes nothing.

    From then on the engine refuses any order of an earlier holder.
    """
    if report.engine not in _busy_engines(state, at):
        same_role_order = _placement.EngineOrder(
            engine=report.engine,
            action=_placement.ROLE,
            model=traits.name,
            version=traits.version,
            roles=report.roles,
        )
        yield from _send_order(state, traits, same_role_order, fence, at)


def _may_send_orders(state: State, traits: ModelTraits, at: float) -> bool:
    """Return whether orders of an earlier holder can do no harm.

    Engines that ignore fencing numbers may still carry out such orders for ``orders.longest``
    seconds after the lease changed hands.
    """
    if traits.fencing == HONOURED:
        return True
    return at >= leases.taken_at(state, traits.name) + state.cfg.orders.longest


def _send_next_order(
    state: State, traits: ModelTraits, fence: int, at: float
) -> typing.Iterator[Step]:
    reports = _recent_reports(state, traits.name, at)
    if reports is None:
        return
    busy = _busy_engines(state, at)
    next_order = _next_order(state, traits, reports, busy, at)
    if next_order:
        yield from _send_order(state, traits, next_order, fence, at)


def _next_order(
    state: State,
    traits: ModelTraits,
    reports: list[EngineReport],
    busy: set[str],
    at: float,
) -> _placement.EngineOrder | None:
    unfinished_orders = [one for one in state["orders"].pending.values() if not one.ended]
    if not unfinished_orders and _may_load_weights(state, traits.name, at):
        load_order = _placement.next_load(traits, reports, busy)
        if load_order:
            return load_order
    unload_order = _placement.next_unload(traits.name, lists.current(state).models, reports, busy)
    return unload_order or _due_role_change(state, traits.name, reports, busy, at)


def _due_role_change(
    state: State, model: str, reports: list[EngineReport], busy: set[str], at: float
) -> _placement.EngineOrder | None:
    lacking_since = state["orders"].lacking_since
    role = _placement.next_role(model, reports, busy)
    if role is None:
        lacking_since.pop(model, None)
        return None
    return role if at - lacking_since.setdefault(model, at) >= ROLE_DELAY_S else None


def _recent_reports(state: State, model: str, at: float) -> list[EngineReport] | None:
    """Return recent reports of a pool's usable engines; None while a new holder waits for them."""
    latest_reports = state["orders"].latest_reports
    names = [
        entry.name for entry in members.engines_of_zone(state, state.zone) if entry.service == model
    ]
    is_settling = at < leases.taken_at(state, model) + SETTLE_TIME_S
    if is_settling and not all(name in latest_reports for name in names):
        return None
    names = [name for name in names if name in latest_reports]
    return [
        latest_reports[name].report
        for name in names
        if at - latest_reports[name].at < REPORT_EXPIRY_S
    ]


def _busy_engines(state: State, at: float) -> set[str]:
    pending = state["orders"].pending
    for engine in [name for name, one in pending.items() if at >= one.busy_until]:
        del pending[engine]
    return set(pending)


def _may_load_weights(state: State, model: str, at: float) -> bool:
    """Return whether the weight store's bandwidth allows another load of a model's weights.

    Each pool gets an equal share of the bandwidth, which needs no coordination between hosts.
    """
    cfg = state.cfg.orders
    pool_count = len(lists.current(state).models) * len(members.zones(state))
    pause = cfg.weight_bytes / cfg.weight_rate * pool_count
    last_load_at = state["orders"].loaded_at.get(model, leases.taken_at(state, model))
    return at >= last_load_at + pause


def _send_order(
    state: State, traits: ModelTraits, engine_order: _placement.EngineOrder, fence: int, at: float
) -> typing.Iterator[Step]:
    attempt_id = attempts.new_attempt_id(state)
    orders_state = state["orders"]
    orders_state.pending[engine_order.engine] = PendingOrder(
        attempt_id=attempt_id, model=traits.name, busy_until=at + state.cfg.orders.longest
    )
    if engine_order.action == _placement.LOAD:
        orders_state.loaded_at[traits.name] = at
    order = OrderAsk(
        action=engine_order.action,
        model=engine_order.model,
        version=engine_order.version,
        fence=fence,
        roles=engine_order.roles,
    )
    fields = {
        "engine": engine_order.engine,
        "action": engine_order.action,
        "model": engine_order.model,
    }
    yield Count(metric="orders", label=engine_order.action)
    yield LogLine(event="order", fields={**fields, "version": engine_order.version, "fence": fence})
    yield OrderEngine(
        request_id=f"order-{state.zone}-{traits.name}",
        attempt_id=attempt_id,
        endpoint=engine_order.engine,
        order=order,
    )


@handles(OrderAnswered)
def order_answered(state: State, event: OrderAnswered) -> typing.Iterator[Step]:
    """End a pending order; a refusal means that another host has taken over the lease."""
    orders_state = state["orders"]
    pending = orders_state.pending.get(event.endpoint)
    if pending is None or pending.attempt_id != event.attempt_id:
        return
    pending.ended = True
    pending.busy_until = event.at + REPORT_LAG_S
    if not event.accepted:
        leases.give_up_lease(state, pending.model)
        yield Count(metric="order_refused")


@handles(AttemptFailed)
def order_failed(state: State, event: AttemptFailed) -> typing.Iterator[Step]:
    """Send the engine no orders for `FAILED_PAUSE_S`, as the failed one may still take effect."""
    pending = state["orders"].pending.get(event.endpoint)
    if event.phase != "order" or pending is None or pending.attempt_id != event.attempt_id:
        return
    pending.ended = True
    pending.busy_until = event.at + FAILED_PAUSE_S
    yield Count(metric="order_failed")


@handles(MembersChanged)
def remove_unlisted(state: State, event: MembersChanged) -> None:
    """Remove the reports of engines that are no longer listed."""
    orders_state = state["orders"]
    for name in [
        name for name in orders_state.latest_reports if not members.address_of(state, name)
    ]:
        del orders_state.latest_reports[name]
