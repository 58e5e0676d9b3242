"""Forwarding to plain services: one endpoint, and a second one where the route's kind allows it.

Load pattern answered: endpoints of which some fail part of their requests. A safe request that
failed goes to another endpoint within the route's attempts and the budget of repeats. An unsafe
one is sent again only after a refusal that states it has not run.
"""

import typing

from .._effects import Count
from .._effects_forwarding import Forward, Relay
from .._errors import (
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    ENDPOINT_SILENT,
    NO_ENDPOINT,
    OVERLOADED,
    Failure,
    Reason,
)
from .._events import AnswerCame, TryFailed
from .._reducer import Step
from .._state import State
from .._verdict import Verdict
from . import directory, forwarding, health, placing, retry_budget
from .forwarding import Forwarded

SERVER_ERROR = 500
RETRY = 0.5  # Seconds told to callers; other endpoints or hosts may answer by then.
QUIET_SHARE = 1.0  # Share of the latency target without an answer after which a try is given up.
LEAST_TIME = 0.02  # Seconds that must be left for another try.


def start(state: State, req: Forwarded, at: float) -> typing.Iterator[Step]:
    """Send a request to the endpoint with the least work."""
    endpoint = placing.choose_plain(state, req.service, at, req.rejected)
    if endpoint is None:
        known = [one.name for one in directory.usable(state, req.service)]
        yield from forwarding.refuse(
            state,
            req,
            at,
            _why_none(known, req.rejected),
            retry_after=RETRY,
            service=req.service,
            endpoints=len(known),
            connections=placing.connection_limit(state, req.service, at),
        )
        return
    health.record_chosen(state, endpoint.name)
    yield forwarding.occupy(state, req, endpoint, None, at)
    req.begin_try(at)
    yield forwarding.log(
        "sent", req, state, at, endpoint=endpoint.name, zone=endpoint.zone, tries=req.number
    )
    again = req.route.repeatable and req.runs < req.route.max_attempts
    yield Forward(
        call_id=req.ask.call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        number=req.number,
        deadline=req.ends,
        connections=placing.connection_limit(state, req.service, at),
        quiet=QUIET_SHARE * req.route.target_latency if again else 0.0,
    )


def _why_none(known: list[str], rejected: list[str]) -> Reason:
    """Return why no endpoint can be chosen: none, all asked already, or no connection left."""
    if not known:
        return NO_ENDPOINT
    return ENDPOINT_REFUSED if set(known) <= set(rejected) else OVERLOADED


def came(state: State, req: Forwarded, event: AnswerCame) -> typing.Iterator[Step]:
    """Pass an answer on, or try another endpoint."""
    if event.not_run:
        req.take_back_try()
        yield Count(metric="endpoint_refusals", label=req.service)
        yield from _again(state, req, event.at, ENDPOINT_REFUSED, status=event.status)
        return
    if event.status < SERVER_ERROR:
        health.record_success(state, event.endpoint)
        yield Relay(call_id=req.ask.call_id, number=req.number)
        return
    yield from forwarding.note_failure(state, req, event.endpoint, None, event.at)
    if _may_repeat(state, req, event.at):
        yield from _again(state, req, event.at, ENDPOINT_FAILED, status=event.status)
        return
    # The endpoint's own failure is the caller's answer.
    yield forwarding.log(
        "relayed_failure", req, state, event.at, endpoint=event.endpoint, status=event.status
    )
    yield Relay(call_id=req.ask.call_id, number=req.number)


def failed(state: State, req: Forwarded, event: TryFailed) -> typing.Iterator[Step]:
    """Try another endpoint after a try without an answer, where that is allowed."""
    not_run = event.failure.verdict is Verdict.NOT_RUN
    if not_run:
        req.take_back_try()
    yield from forwarding.note_failure(state, req, event.endpoint, event.failure, event.at)
    if not_run or _may_repeat(state, req, event.at):
        yield from _again(state, req, event.at, ENDPOINT_FAILED, failure=event.failure)
        return
    yield from forwarding.refuse(
        state,
        req,
        event.at,
        ENDPOINT_SILENT if event.failure.reason is ENDPOINT_SILENT else ENDPOINT_FAILED,
        endpoint=event.endpoint,
        cause=event.failure.detail,
    )


def _may_repeat(state: State, req: Forwarded, at: float) -> bool:
    allowed = req.route.repeatable and req.runs < req.route.max_attempts
    return allowed and at + LEAST_TIME < req.ends


def _again(
    state: State,
    req: Forwarded,
    at: float,
    reason: object,
    *,
    status: int = 0,
    failure: Failure | None = None,
) -> typing.Iterator[Step]:
    """Send the request to another endpoint, if the budget of repeats has room."""
    endpoint = req.place.name if req.place else "-"
    req.rejected.append(endpoint)
    yield from forwarding.vacate(state, req, at)
    # Nothing reached the endpoint where no connection came about, so nothing is repeated.
    unsent = failure is not None and failure.verdict is Verdict.NOT_RUN
    if unsent or retry_budget.try_spend(state, req.service, at):
        yield Count(metric="forward_repeats", label=req.service)
        yield from start(state, req, at)
        return
    if status and not req.ran:
        reason = ENDPOINT_REFUSED
    yield Count(metric="budget_empty", label=req.service)
    if status and req.ran:
        yield Relay(call_id=req.ask.call_id, number=req.number)
        return
    yield from forwarding.refuse(
        state, req, at, reason, retry_after=RETRY, endpoint=endpoint, budget=0, status=status or "-"
    )
