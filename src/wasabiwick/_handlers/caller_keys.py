"""Caller keys: whether a caller may use a route, by the newest version of the routes read here.

A request is judged when its head has come, when its body has, at each host that it is passed to,
when a newer version comes into force while it waits, and before it is sent again. One whose stream
has begun goes on without its key: a planned change cuts nothing off.

Not knowing is apart from knowing that a key is unknown: callers don't come back after the latter.
So a key that may be one of a version or an organisation that this host has not read is refused for
now only.
"""

import typing

from .._errors import BAD_KEY, ENDPOINT_FAILED, KEY_UNDECIDED, Failure
from .._events import RoutesRead
from .._forwarding import Ask, Route
from .._reducer import Step, handles
from .._state import State
from .._verdict import Verdict
from . import forwarding, organisations, routes
from .forwarding import ForwardedCall

# Seconds after which callers are told to retry whose key may be known by then, or at another host.
UNDECIDED_RETRY_AFTER = 0.5


def refusal(state: State, route: Route, key: str, at: float) -> Failure | None:
    """Return why a caller may not use a route, or None if it may.

    Args:
        state: The host's state.
        route: The route that the request matches.
        key: Digest of the key that the caller named, or empty.
        at: Monotonic time.
    """
    if organisations.is_allowed_anywhere(state, key) or route.public:
        return None
    if organisations.may_be_unread(state, key) or _is_behind(state, at):
        return Failure(
            reason=KEY_UNDECIDED, verdict=Verdict.NOT_RUN, retry_after=UNDECIDED_RETRY_AFTER
        )
    return Failure(reason=BAD_KEY, verdict=Verdict.NOT_RUN)


def refusal_of_head(state: State, ask: Ask, at: float) -> Failure | None:
    """Return why a request is refused before its body has come, or None if it is not."""
    route = routes.match_route(state, ask.host, ask.path)
    return refusal(state, route, ask.key, at) if route is not None else None


def _is_behind(state: State, at: float) -> bool:
    """Return whether there may be a newer version than the one in force here."""
    return organisations.may_be_old(state) or routes.may_be_behind(state, at)


def told_name(state: State, req: ForwardedCall) -> str | None:
    """Return the name that endpoints are told as a call's organisation, or an empty string.

    It is None where the operator names no organisations, so that headers stay as they are.
    """
    if not organisations.are_named(state):
        return None
    return req.organisation.name if req.organisation is not None else ""


def refuse_barred(
    state: State, req: ForwardedCall, at: float
) -> typing.Generator[Step, None, bool]:
    """Refuse a call that no organisation's key allows any more; returns whether it was refused."""
    has_begun = req.relay_begun or bool(req.passed_by and req.events)
    failure = None if has_begun else _refusal_of_call(state, req, at)
    if failure is None:
        return False
    # After a run, the caller must not take it that nothing was done.
    yield from forwarding.refuse_call(
        state,
        req,
        at,
        ENDPOINT_FAILED if req.may_have_run else failure.reason,
        retry_after=failure.retry_after,
        cause=failure.reason.code,
        organisation=req.organisation.name if req.organisation is not None else "-",
        phase=req.phase,
    )
    return True


def _refusal_of_call(state: State, req: ForwardedCall, at: float) -> Failure | None:
    if organisations.is_allowed_anywhere(state, req.ask.key):
        return None
    route = routes.match_route(state, req.ask.host, req.ask.path) or req.route
    return refusal(state, route, req.ask.key, at)


@handles(RoutesRead)
def judge_again(state: State, event: RoutesRead) -> typing.Iterator[Step]:
    """Judge the calls in progress by the organisations of a newer version."""
    if state["routes"].table is not event.table:
        return
    for req in list(state["forwarding"].calls.values()):
        yield from forwarding.guarded(req, event.at, _judge_call(state, req, event.at))


def _judge_call(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    if _refusal_of_call(state, req, at) is None:
        req.organisation = organisations.of_key(state, req.ask.key)
        return
    if req.phase not in (forwarding.SENT, forwarding.RELAYING):
        yield from refuse_barred(state, req, at)
