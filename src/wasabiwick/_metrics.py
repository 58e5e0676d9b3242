"""Names and meanings of all metrics.

Counters and latencies are written by the reducer's effects. Gauges are read from the state when the
metrics are asked for. The page for operators is made from these descriptions.
"""

import typing

from ._handlers import cancels, lists, members, neighbours, requests, routes
from ._handlers.host import in_flight, roles_held
from ._logging import dropped_lines
from ._state import State

PREFIX = "wasabiwick"
CUSTOMER = "customer"  # Label of what is kept per customer.
REFUSED = "refused"

_SUFFIXES = {"counter": "_total", "latency": "_seconds", "gauge": ""}

GaugeValues = dict[str, float]
GaugeReader = typing.Callable[[State], GaugeValues]


class Metric:
    """One metric.

    Args:
        name: Its name in effects.
        kind: ``counter``, ``latency`` or ``gauge``.
        text: What it counts or measures.
        label: What its label holds, or empty.
        read: Reads a gauge's values by label from the state.
    """

    __slots__ = ("name", "kind", "text", "label", "read")

    def __init__(
        self,
        *,
        name: str,
        kind: str,
        text: str,
        label: str = "",
        read: GaugeReader | None = None,
    ) -> None:
        self.name = name
        self.kind = kind
        self.text = text
        self.label = label
        self.read = read

    @property
    def exported(self) -> str:
        """The name under which the metric is exported."""
        return exported_name(self.name, self.kind)


def exported_name(name: str, kind: str) -> str:
    """Return the name under which a metric is exported."""
    return f"{PREFIX}_{name}{_SUFFIXES[kind]}"


METRICS: dict[str, Metric] = {}
SECTIONS: dict[str, list[Metric]] = {}


def _section(title: str, *metrics: Metric) -> None:
    SECTIONS[title] = list(metrics)
    METRICS.update((metric.name, metric) for metric in metrics)


def _counter(name: str, text: str, label: str = "") -> Metric:
    return Metric(name=name, kind="counter", text=text, label=label)


def _latency(name: str, text: str, label: str = "") -> Metric:
    return Metric(name=name, kind="latency", text=text, label=label)


def gauge(name: str, text: str, label: str = "") -> typing.Callable[[GaugeReader], GaugeReader]:
    """Register the function that reads a gauge's values by label from the state."""

    def register(read: GaugeReader) -> GaugeReader:
        metric = Metric(name=name, kind="gauge", text=text, label=label, read=read)
        METRICS[name] = metric
        SECTIONS.setdefault("State of the host", []).append(metric)
        return read

    return register


def help_of(name: str) -> str:
    """Return the description of a metric; its name where there is none."""
    metric = METRICS.get(name)
    return metric.text if metric else name.replace("_", " ")


_section(
    "Goodput and latency targets",
    _latency("first_output", "From a request's first call to its first output.", CUSTOMER),
    _latency("between_outputs", "Between two outputs of one stream.", CUSTOMER),
    _counter("output_tokens", "Output tokens of whole answers.", CUSTOMER),
    _counter("goodput_tokens", "Output tokens of answers within both targets.", CUSTOMER),
    _latency("slot_wait", "From a request's first call until its slot was held.", CUSTOMER),
)
_section(
    "Wasted prefill",
    _counter("prefill_tokens", "Prompt tokens prefilled, without cached ones."),
    _counter("prefill_wasted", "Of these, tokens whose prefill gave no output."),
)
_section(
    "Completion, retries and take-over",
    _counter("calls", "Well-formed calls that arrived.", "kind of call"),
    _counter("answered", "Answers written whole to the caller.", "kind of call"),
    _counter("superseded", "Calls closed unanswered for a newer call of their request here."),
    _counter("handed_over", "Requests let go to another host that a newer call reached."),
    _counter("adopted", "Running streams that this host took over from another."),
    _counter("taken_over", "Streams that another host took over while this one was cut off."),
    _counter("resumed", "Streams opened again at the offset that was missing."),
    _counter("pauses", "Times that this process stood still so long that it may be replaced."),
    _counter("unconfirmed", "Answers left to another host after a pause."),
    _counter("stalled", "Streams left because they made no progress.", "engine"),
    _counter("attempt_failed", "Attempts that failed at an engine.", "phase"),
    _counter("frames_dropped", "Output that fitted no present attempt, in tokens."),
    _counter("service_retries", "Idempotent service calls sent again."),
)
_section(
    "Refusals",
    _counter(REFUSED, "Refusals.", "reason"),
    _counter("refused_verdict", "Refusals by what they say of execution.", "verdict"),
)
_section(
    "Cancellation",
    _counter("abandoned", "Requests given up because their caller did not come back."),
    _counter("cancels", "Attempts that an engine was asked to forget."),
    _counter("reaped", "Attempts cancelled because nobody serves them."),
    _counter("cancel_failed", "Cancels that did not reach their engine; they are repeated."),
)
_section(
    "Calls executed at most once",
    _counter("once_dispatched", "Calls sent to a service, each once."),
    _counter("once_joined", "Calls that joined running work of their key."),
    _counter("once_replayed", "Calls answered from the recorded outcome of their key."),
    _counter("once_unknown", "Calls told that the outcome is unknown."),
    _counter("once_given_up", "Attempts given up before they were sent.", "reason"),
    _counter("once_resolutions", "Unknown outcomes resolved with the service.", "way"),
    _counter("once_appends", "Group commits to the log."),
    _counter("once_records", "Records in these."),
    _counter("once_append_failed", "Group commits that the log did not confirm."),
)
_section(
    "Choice of engines",
    _counter("reserve_denied", "Reservations that a coordinator refused."),
    _counter("reserve_redirected", "Reservations that a coordinator sent to another pool."),
    _counter("coordinator_unreachable", "Coordinators that did not answer.", "zone"),
    _counter("coordinator_bypassed", "Requests placed without a coordinator's word."),
    _counter("ejected", "Times an endpoint was taken out after failures.", "endpoint"),
    _counter(
        "limit_reached", "Requests beyond the limits of their plan, at the budget's coordinator."
    ),
    _counter("limit_coordinator_unreachable", "Questions about limits that got no answer."),
)
_section(
    "Configuration and membership",
    _latency("configuration_lag", "From a version's time in the log until it is in force here."),
    _counter("configuration_skipped", "Configuration records that were not valid."),
    _counter("configuration_copy_invalid", "Copies of the configuration that were not valid."),
    _counter("configuration_kept", "Times the configuration was appended again for retention."),
    _counter("endpoint_leaving", "Signs that an endpoint is leaving."),
    _counter("peer_failed", "Messages to other hosts that were not confirmed."),
    _counter("heartbeat_stale", "Heartbeats of an earlier run, or out of order."),
)

_section(
    "Orders to engines",
    _counter("orders", "Orders sent to engines.", label="load, unload or role"),
    _counter("order_refused", "Orders that an engine refused for their fencing number."),
    _counter("order_failed", "Orders that an engine did not confirm."),
    _counter("lease_claim_lost", "Claims read that did not take a lease."),
    _counter("lease_claim_malformed", "Records among the claims that are none."),
    _counter("lease_overtaken", "Leases given up as an engine had obeyed a later holder."),
)
_section(
    "Forwarding by routes",
    _counter("forwarded", "Calls that matched a route.", "kind of route"),
    _counter("forward_answered", "Answers of endpoints written whole.", "kind of route"),
    _latency("forward_time", "From a call's arrival to its whole answer.", "kind of route"),
    _latency("stream_started", "From a call's arrival to its stream's head.", "kind of route"),
    _latency("prefill_time", "From a prefill's send to its answer."),
    _counter("forward_refused", "Calls that this host refused or broke off.", "reason"),
    _counter("forward_left", "Calls whose caller went away.", "phase"),
    _counter("forward_repeats", "Requests sent to a further endpoint.", "service"),
    _counter("budget_empty", "Repeats that the budget did not allow.", "service"),
    _counter("endpoint_refusals", "Requests that an endpoint states not to have run.", "service"),
    _counter("holds", "Places asked of engines.", "outcome"),
    _counter("prefills", "Prefills asked of engines.", "outcome"),
    _counter("prefills_in_vain", "KV caches freed because nobody fetched them."),
    _counter("routes_changed", "Versions of the routes put in force."),
    _counter("endpoint_changes", "Changes of the directory of endpoints.", "change"),
    _counter("stage_orders", "Orders to engines to change their stage.", "stage"),
    _counter("feed_changes", "Losses and returns of sources of facts.", "up or down"),
)
_section(
    "The program itself",
    _counter("faults", "Events and effects that raised an exception.", "event or effect"),
)


@gauge("in_flight", "Work that a graceful shutdown would wait for.")
def _in_flight(state: State) -> GaugeValues:
    return {"": in_flight(state)}


@gauge("open_requests", "Requests that this host serves.")
def _open_requests(state: State) -> GaugeValues:
    return {"": requests.open_requests(state)}


@gauge("cancels_unconfirmed", "Attempts whose engine has not confirmed that it forgot them.")
def _cancels(state: State) -> GaugeValues:
    return {"": cancels.pending_count(state)}


@gauge("configuration_version", "Version of the configuration in force; 0 before the first.")
def _version(state: State) -> GaugeValues:
    return {"": lists.version(state)}


@gauge("endpoints_usable", "Endpoints that may get new work.", "service or model")
def _usable(state: State) -> GaugeValues:
    found: GaugeValues = {}
    for entry in state["members"].entries.values():
        if entry.kind != "entry":
            usable = members.is_usable(state, entry.name)
            found[entry.service] = found.get(entry.service, 0) + usable
    return found


@gauge("roles_held", "Soft roles that this host holds.", "kind of role")
def _roles(state: State) -> GaugeValues:
    found: GaugeValues = {}
    for role in roles_held(state):
        kind = role.partition("/")[0]
        found[kind] = found.get(kind, 0) + 1
    return found


@gauge("log_lines_dropped", "Log lines dropped to stay within their bounds.", "class of line")
def _dropped(state: State) -> GaugeValues:
    return dropped_lines()


@gauge("forwarded_open", "Forwarded calls in progress, by what is under way for them.", "phase")
def _forwarded_open(state: State) -> GaugeValues:
    found: GaugeValues = {}
    for req in state["forwarding"].calls.values():
        found[req.phase] = found.get(req.phase, 0) + 1
    return found


@gauge("routes_version", "Version of the routes in force; 0 before the first.")
def _routes_version(state: State) -> GaugeValues:
    return {"": routes.version(state)}


@gauge("endpoints_known", "Endpoints of the directory that may get new work.", "stage")
def _endpoints_known(state: State) -> GaugeValues:
    found: GaugeValues = {}
    for one in state["directory"].endpoints.values():
        stage = one.stage or "plain"
        found[stage] = found.get(stage, 0) + (not one.leaving)
    return found


@gauge("hosts_heard", "Other hosts that told their load lately.")
def _hosts_heard(state: State) -> GaugeValues:
    hosts = state["neighbours"].hosts.values()
    newest = max((one.heard for one in hosts), default=0.0)
    return {"": sum(1 for one in hosts if newest - one.heard < neighbours.SILENT_AFTER)}


@gauge("stopping", "1 while the host shuts down gracefully.")
def _stopping(state: State) -> GaugeValues:
    return {"": int(state.stopping)}
