"""Names and descriptions of all metrics.

Counters and latencies are recorded by effects that the reducer returns. Gauges are read from the
state when the metrics are scraped. docs/metrics.md is generated from these descriptions.
"""

import typing

from ._handlers import (
    cancels,
    engine_signs,
    lists,
    members,
    neighbours,
    organisation_limits,
    organisations,
    requests,
    routes,
)
from ._handlers.host import in_flight, roles_held
from ._logging import dropped_lines
from ._state import State

PREFIX = "wasabiwick"
CUSTOMER = "customer"  # Label of metrics that are kept per customer.
REFUSED = "refused"

_SUFFIXES = {"counter": "_total", "latency": "_seconds", "gauge": ""}

GaugeValues = dict[str, float]
GaugeReader = typing.Callable[[State], GaugeValues]


class Metric:
    """One metric.

    Args:
        name: Name of the metric in effects, without the exported prefix and suffix.
        kind: ``counter``, ``latency`` or ``gauge``.
        text: What the metric counts or measures.
        label: What the metric's label holds, or empty if the metric has no label.
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
    """Return the description of a metric, or its name if it has none."""
    metric = METRICS.get(name)
    return metric.text if metric else name.replace("_", " ")


_section(
    "Goodput and latency targets",
    _latency("first_output", "Time from a request's first call to its first output.", CUSTOMER),
    _latency(
        "between_outputs", "Time between two consecutive output tokens of one stream.", CUSTOMER
    ),
    _counter("output_tokens", "Output tokens of complete answers.", CUSTOMER),
    _counter(
        "goodput_tokens",
        "Output tokens of complete answers that met both latency targets.",
        CUSTOMER,
    ),
    _latency(
        "slot_wait",
        "Time from a request's first call until a slot of an engine was reserved for it.",
        CUSTOMER,
    ),
)
_section(
    "Wasted prefill",
    _counter("prefill_tokens", "Prompt tokens prefilled, not counting cached ones."),
    _counter("prefill_wasted", "Prompt tokens that were prefilled without any output following."),
)
_section(
    "Completion, retries and take-over",
    _counter("calls", "Well-formed calls received.", "kind of call"),
    _counter("answered", "Answers written completely to the caller.", "kind of call"),
    _counter(
        "superseded",
        "Calls closed without an answer because a newer call of the request arrived at this host.",
    ),
    _counter(
        "handed_over",
        "Requests handed over to another host because a newer call of the request arrived there.",
    ),
    _counter("adopted", "Running streams that this host took over from another host."),
    _counter(
        "taken_over",
        "Streams of this host that another host took over while this host was cut off.",
    ),
    _counter(
        "resumed",
        "Streams reopened at the offset of the first token that was not received.",
    ),
    _counter("pauses", "Pauses of this process long enough for other hosts to take over its work."),
    _counter(
        "unconfirmed",
        "Answers given up after a pause of this process because another host may now serve the"
        " request.",
    ),
    _counter("stalled", "Streams given up because they made no progress.", "engine"),
    _counter("attempt_failed", "Attempts that failed at an engine.", "phase"),
    _counter("frames_dropped", "Output tokens dropped because they belong to no current attempt."),
    _counter("service_retries", "Retries of idempotent service calls."),
)
_section(
    "Refusals",
    _counter(REFUSED, "Refusals of calls.", "reason"),
    _counter(
        "refused_verdict",
        "Refusals of calls, by what they state about the call's execution.",
        "verdict",
    ),
)
_section(
    "Cancellation",
    _counter(
        "abandoned",
        "Requests given up because their caller disconnected and did not return in time.",
    ),
    _counter("cancels", "Attempts that an engine was asked to cancel."),
    _counter("reaped", "Attempts cancelled because no host serves them any more."),
    _counter("cancel_failed", "Cancel requests that did not reach their engine; each is repeated."),
)
_section(
    "Calls executed at most once",
    _counter(
        "once_dispatched",
        "Times that a call was sent to a service; it is sent again only if it can't run twice.",
    ),
    _counter("once_joined", "Calls that joined a call in progress with the same idempotency key."),
    _counter("once_replayed", "Calls answered with the recorded outcome of their idempotency key."),
    _counter("once_unknown", "Calls whose callers were told that the outcome is unknown."),
    _counter("once_given_up", "Attempts given up and recorded in the log as not run.", "reason"),
    _counter(
        "once_resolutions",
        "Unknown outcomes of calls, by the way in which the host resolves them.",
        "way",
    ),
    _counter("once_appends", "Group commits to the log, each an append of one or more records."),
    _counter("once_records", "Records appended by group commits to the log."),
    _counter("once_append_failed", "Group commits that the log did not confirm."),
)
_section(
    "Choice of engines",
    _counter("reserve_denied", "Reservations that a coordinator refused."),
    _counter("reserve_redirected", "Reservations that a coordinator redirected to another pool."),
    _counter(
        "coordinator_unreachable", "Reservation messages that a coordinator did not answer.", "zone"
    ),
    _counter(
        "coordinator_bypassed", "Requests placed on an engine without a coordinator's reservation."
    ),
    _counter("ejected", "Times an endpoint was taken out of use after failures.", "endpoint"),
    _counter(
        "limit_reached",
        "Requests beyond their plan's limits, counted by the coordinator of the customer's budget.",
    ),
    _counter(
        "limit_coordinator_unreachable",
        "Checks of a plan's limits that the coordinator of the customer's budget did not answer.",
    ),
)
_section(
    "Configuration and membership",
    _latency(
        "configuration_lag",
        "Time from a version's append to the log until it is in force on this host.",
    ),
    _counter("configuration_skipped", "Configuration records that did not take effect."),
    _counter(
        "configuration_copy_invalid",
        "Copies of the configuration from other hosts that were not valid.",
    ),
    _counter(
        "configuration_kept",
        "Times that this host appended a copy of the configuration to the log before the original"
        " records expire.",
    ),
    _counter(
        "endpoint_leaving", "Times that this host learned that one or more endpoints are leaving."
    ),
    _counter("peer_failed", "Messages to other hosts that were not confirmed."),
    _counter(
        "heartbeat_stale",
        "Heartbeats ignored because they are from an earlier run or out of order.",
    ),
)

_section(
    "Orders to engines",
    _counter("orders", "Orders sent to engines.", label="load, unload or role"),
    _counter("order_refused", "Orders that an engine refused because of their fencing number."),
    _counter("order_failed", "Orders that an engine did not confirm."),
    _counter(
        "lease_claim_lost",
        "Claims to a lease that were appended to the log but did not obtain the lease.",
    ),
    _counter(
        "lease_claim_malformed",
        "Records in the log's stream of lease claims that can't be decoded.",
    ),
    _counter(
        "lease_overtaken",
        "Leases given up because an engine had accepted an order of a later holder of the lease.",
    ),
)
_section(
    "Forwarding by routes",
    _counter("forwarded", "Calls that matched a route.", "kind of route"),
    _counter(
        "forward_answered",
        "Answers of endpoints written completely to the caller.",
        "kind of route",
    ),
    _latency(
        "forward_time",
        "Time from a call's arrival until its answer is written completely.",
        "kind of route",
    ),
    _latency(
        "stream_started",
        "Time from a call's arrival until its stream's response headers arrive.",
        "kind of route",
    ),
    _latency("prefill_time", "Time from sending a prefill request until its answer arrives."),
    _counter("forward_refused", "Calls that this host refused or cut off.", "reason"),
    _counter("forward_left", "Calls whose caller disconnected.", "phase"),
    _counter("forward_repeats", "Retries sent to another endpoint.", "service"),
    _counter("endpoints_ended", "Endpoints that ended while they began to answer.", "service"),
    _counter("endpoint_pauses", "Times that endpoints wanted nothing from this host for a while."),
    _counter("permits", "Questions whether an endpoint's limit has room, by answer.", "answer"),
    _counter("part_trials", "Requests that passed to show whether a part is sound.", "service"),
    _counter("parts_blocked", "Blocks of prompts' parts, counted at each change.", "service"),
    _counter("passed_on", "Tries of calls through another host.", "service"),
    _counter("passed_in", "Calls that another host passed to this one.", "service"),
    _counter("reach_changes", "Services lost from reach or reached again.", "reached or not"),
    _counter("budget_empty", "Retries that the retry budget did not allow.", "service"),
    _counter(
        "endpoint_refusals",
        "Requests that an endpoint refused, stating that it did not run them.",
        "service",
    ),
    _counter("holds", "Requests to an engine to reserve a place for a stream.", "outcome"),
    _counter("prefills", "Prefill requests to engines.", "outcome"),
    _counter(
        "generations_yielding", "Generations of organisations that have used more than their share."
    ),
    _counter("prefills_in_vain", "KV caches freed because no decode engine fetched them."),
    _counter("routes_changed", "Times a new version of the routes came into force."),
    _counter("endpoint_changes", "Changes to the directory of endpoints.", "change"),
    _counter("stage_orders", "Orders to engines to change their stage.", "stage"),
    _counter(
        "feed_changes",
        "Times that a data source, such as the list of endpoints, was lost or restored.",
        "up or down",
    ),
)
_section(
    "Limits of organisations",
    _counter(
        "beyond_limit",
        "Calls refused because their organisation's limit over all hosts was reached.",
        "organisation",
    ),
)
_section(
    "The program itself",
    _counter("faults", "Events and effects whose handling raised an exception.", "event or effect"),
)


@gauge("near_limit", "Organisations that are near their limit, as far as this host knows.")
def _near_limit(state: State) -> GaugeValues:
    return {"": organisation_limits.near_limit(state)}


@gauge(
    "in_flight", "Pieces of work, such as open requests, that a graceful shutdown would wait for."
)
def _in_flight(state: State) -> GaugeValues:
    return {"": in_flight(state)}


@gauge("open_requests", "Requests that this host serves.")
def _open_requests(state: State) -> GaugeValues:
    return {"": requests.open_requests(state)}


@gauge("cancels_unconfirmed", "Cancelled attempts that their engine has not confirmed yet.")
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


@gauge("roles_held", "Coordinator roles and leases that this host holds.", "kind of role")
def _roles(state: State) -> GaugeValues:
    found: GaugeValues = {}
    for role in roles_held(state):
        kind = role.partition("/")[0]
        found[kind] = found.get(kind, 0) + 1
    return found


@gauge(
    "log_lines_dropped",
    "Log lines dropped to stay within the limits on rate and buffer size.",
    "class of line",
)
def _dropped(state: State) -> GaugeValues:
    return dropped_lines()


@gauge("forwarded_open", "Forwarded calls in progress, by their current phase.", "phase")
def _forwarded_open(state: State) -> GaugeValues:
    found: GaugeValues = {}
    for req in state["forwarding"].calls.values():
        found[req.phase] = found.get(req.phase, 0) + 1
    return found


@gauge("routes_version", "Version of the routes in force; 0 before the first.")
def _routes_version(state: State) -> GaugeValues:
    return {"": routes.version(state)}


@gauge("routes_version_heard", "Highest version of the routes that another host told; 0 if none.")
def _routes_version_heard(state: State) -> GaugeValues:
    return {"": routes.heard_version(state)}


@gauge(
    "routes_behind_seconds",
    "Time for which other hosts had told newer routes when the last told any; 0 if none had.",
)
def _routes_behind(state: State) -> GaugeValues:
    return {"": routes.behind_at_last_telling(state)}


@gauge("organisations", "Organisations of the version of the routes in force; 0 if none are named.")
def _organisations(state: State) -> GaugeValues:
    return {"": len(organisations.known(state))}


@gauge("endpoints_known", "Endpoints of the directory that may get new work.", "stage")
def _endpoints_known(state: State) -> GaugeValues:
    found: GaugeValues = {}
    for one in state["directory"].endpoints.values():
        stage = one.stage or "plain"
        found[stage] = found.get(stage, 0) + (not one.leaving)
    return found


@gauge("hosts_heard", "Other hosts that reported their load recently.")
def _hosts_heard(state: State) -> GaugeValues:
    hosts = state["neighbours"].hosts.values()
    last_heard = max((one.heard for one in hosts), default=0.0)
    return {"": sum(1 for one in hosts if last_heard - one.heard < neighbours.SILENT_AFTER)}


@gauge("stopping", "1 while the host shuts down gracefully.")
def _stopping(state: State) -> GaugeValues:
    return {"": int(state.stopping)}


@gauge(
    "engine_spread",
    "Time for which the busiest engine worked lately, as a multiple of the mean, as far as hosts"
    " told it.",
    "service/stage",
)
def _engine_spread(state: State) -> GaugeValues:
    return engine_signs.spread(state)
