"""Permits: one host for each endpoint lets requests through, so that all keep to its limit.

A limit holds for all hosts together. In a large fleet an equal share of it is less than one
request, and callers come unevenly. So each endpoint has an owner among the hosts, which all others
ask before they send it a request. The owner counts with a token bucket. A host that gets no answer
asks the next host in rank.

Hosts that can't hear each other may have several owners for one endpoint. So an owner grants no
more than the share of the limit that belongs to the hosts which it serves: all that it hears, or,
if it hears a host of higher rank, only those that ask it. Hosts that were heard lately and are
silent keep their share.

Load pattern handled: an endpoint in need names a limit far below what callers send, at hundreds of
hosts with a few requests each. A host that was told to wait asks no more until then.
"""

import enum
import typing

from .._effects import Count, LogLine, StartTimer, StopTimer
from .._effects_forwarding import AnswerPermit, AskPermit
from .._events import (
    LimitNamed,
    LoadTold,
    PermitAnswered,
    PermitAsked,
    PermitSettled,
    StepFailed,
    TimerFired,
)
from .._forwarding import Endpoint, EndpointLimit
from .._reducer import Step, handles, on_timer
from .._rendezvous import ranked
from .._settings import Settings
from .._state import State, state_slice
from . import endpoint_limits, forwarding, neighbours
from .forwarding import ForwardedCall

# Seconds after which a question that was not answered is sent again; a round trip takes 10 ms.
ASK_TIMEOUT_S = 0.05
# Times that a question is sent, as datagrams get lost, until its owner is passed over. Two owners
# at a time may grant more than the limit.
MAX_ASKS = 2
UNANSWERED_PAUSE_S = 0.1  # Time until another host is asked after the owner did not answer.
SILENT_OWNER_TIME_S = 2.0  # Time for which an owner that did not answer is passed over.
ASKER_TIME_S = 2.0  # Time for which a host that asked counts as served by this one.
# Share of what belongs to the hosts that ask an owner while it hears one of higher rank, which may
# not have noticed yet that it serves fewer.
SECOND_OWNER_SHARE = 0.5
# Least wait. Added to a monotonic time, a shorter one may leave it as it is, so that the same
# endpoint would be chosen and denied again and again.
MIN_WAIT_S = 0.001
# Least limit that is reckoned with, in requests a second. Without any request, no answer could show
# that a limit has ended.
MIN_RATE = 0.2
# Tokens that a bucket holds at most: those of this time, but at least one.
BURST_TIME_S = 0.5
MAX_BUCKETS = 1024  # Most endpoints whose tokens are counted; the last used are kept.


class Answer(enum.Enum):
    """Whether a request may be sent: yes, not now, or not known until the owner answers."""

    GRANTED = "granted"
    DENIED = "denied"
    PENDING = "pending"


class Bucket:
    """Tokens of one endpoint, and when each host last asked for one.

    ``at`` is the monotonic time at which ``tokens`` was reckoned.
    """

    __slots__ = ("tokens", "at", "asked_at")

    def __init__(self, *, at: float) -> None:
        self.tokens = 0.0
        self.at = at
        self.asked_at: dict[str, float] = {}


class Question:
    """A question to an owner that has not been answered, and how often it may still be sent."""

    __slots__ = ("ask", "owner", "asks_left")

    def __init__(self, *, ask: AskPermit, owner: str) -> None:
        self.ask = ask
        self.owner = owner
        self.asks_left = MAX_ASKS


@state_slice("permits")
class PermitsState:
    """Buckets of endpoints that this host owns, and its questions to other owners.

    ``questions`` are by call. ``denied_until`` holds for each endpoint, and ``silent_until`` for
    each owner, the monotonic time until which this host does not ask again.
    """

    __slots__ = ("buckets", "questions", "denied_until", "silent_until", "number")

    def __init__(self, cfg: Settings) -> None:
        self.buckets: dict[str, Bucket] = {}
        self.questions: dict[str, Question] = {}
        self.denied_until: dict[str, float] = {}
        self.silent_until: dict[str, float] = {}
        self.number = 0


def is_denied(state: State, endpoint: str, at: float) -> bool:
    """Return whether an endpoint has a limit and this host was told to wait."""
    if endpoint_limits.limit_of(state, endpoint) is None:
        return False
    return state["permits"].denied_until.get(endpoint, 0.0) > at


def has_limit(state: State, endpoint: str) -> bool:
    """Return whether an endpoint takes a limited number of requests."""
    return endpoint_limits.limit_of(state, endpoint) is not None


def wait_of(state: State, endpoint: str, at: float) -> float:
    """Return the seconds until this host may ask for a permit again; 0 if it may now."""
    if not is_denied(state, endpoint, at):
        return 0.0
    return state["permits"].denied_until[endpoint] - at


def acquire(
    state: State, call_id: str, endpoint: str, at: float
) -> typing.Generator[Step, None, Answer]:
    """Ask whether a call may be sent to an endpoint; `PermitSettled` follows if that is pending."""
    limit = endpoint_limits.limit_of(state, endpoint)
    if limit is None:
        return Answer.GRANTED
    if is_denied(state, endpoint, at):
        return Answer.DENIED
    owner = _owner(state, endpoint, at)
    if owner == state.owner.host:
        wait = _take(state, limit, owner, at)
        _note_wait(state, endpoint, wait, at)
        yield Count(metric="permits", label="denied" if wait else "granted")
        return Answer.DENIED if wait else Answer.GRANTED
    permits_state = state["permits"]
    permits_state.number += 1
    ask = AskPermit(
        address=neighbours.address_of(state, owner),
        call_id=call_id,
        number=permits_state.number,
        limit=limit,
    )
    question = permits_state.questions[call_id] = Question(ask=ask, owner=owner)
    yield from _send(question)
    return Answer.PENDING


def first_permitted(
    state: State,
    req: ForwardedCall,
    choose: typing.Callable[[], Endpoint | None],
    at: float,
) -> typing.Generator[Step, None, Endpoint | None]:
    """Return the first endpoint chosen that a call may be sent to, or None if there is none.

    Returns None as well while that is pending; the call's phase is `forwarding.ASKING` then.

    Args:
        state: The host's state.
        req: The call.
        choose: Chooses an endpoint that takes requests, as far as this host knows.
        at: Monotonic time.
    """
    while endpoint := choose():
        answer = yield from acquire(state, req.ask.call_id, endpoint.name, at)
        if answer is Answer.GRANTED:
            return endpoint
        if answer is Answer.PENDING:
            req.begin_asking(endpoint)
            return None
    return None


def _send(question: Question) -> typing.Iterator[Step]:
    question.asks_left -= 1
    yield question.ask
    yield StartTimer(timer="permit", key=question.ask.call_id, delay=ASK_TIMEOUT_S)


def _owner(state: State, endpoint: str, at: float) -> str:
    """Return the host to ask: the first in rank that is heard and has not failed to answer."""
    silent_until = state["permits"].silent_until
    names = neighbours.live_names(state, at)
    asked = [name for name in names if silent_until.get(name, 0.0) <= at]
    return ranked(endpoint, [*asked, state.owner.host])[0]


def _take(state: State, limit: EndpointLimit, asker: str, at: float) -> float:
    """Take a token for a host; returns the seconds until there is one, 0 if it was taken."""
    buckets = state["permits"].buckets
    bucket = buckets.pop(limit.endpoint, None) or Bucket(at=at)
    buckets[limit.endpoint] = bucket
    if len(buckets) > MAX_BUCKETS:
        del buckets[next(iter(buckets))]
    bucket.asked_at[asker] = at
    rate = max(MIN_RATE, limit.rate) * _share(state, limit.endpoint, bucket, at)
    capacity = max(1.0, BURST_TIME_S * rate)
    bucket.tokens = min(capacity, bucket.tokens + rate * max(0.0, at - bucket.at))
    bucket.at = at
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        return 0.0
    return (1.0 - bucket.tokens) / rate


def _share(state: State, endpoint: str, bucket: Bucket, at: float) -> float:
    """Return the share of a limit that belongs to the hosts which this one serves."""
    names = neighbours.live_names(state, at)
    if ranked(endpoint, [*names, state.owner.host])[0] == state.owner.host:
        served = len(names) + 1
    else:
        for name in [one for one, asked in bucket.asked_at.items() if at - asked > ASKER_TIME_S]:
            del bucket.asked_at[name]
        served = SECOND_OWNER_SHARE * len(bucket.asked_at)
    return min(1.0, served / neighbours.host_count(state, at))


def _note_wait(state: State, endpoint: str, wait: float, at: float) -> None:
    denied_until = state["permits"].denied_until
    if wait:
        denied_until[endpoint] = at + max(MIN_WAIT_S, wait)
    else:
        denied_until.pop(endpoint, None)
    if len(denied_until) > MAX_BUCKETS:
        for name in [name for name, until in denied_until.items() if until <= at]:
            del denied_until[name]


@handles(PermitAsked)
def permit_asked(state: State, event: PermitAsked) -> typing.Iterator[Step]:
    """Answer another host's question; a limit that this host knows to have ended binds nobody."""
    endpoint_limits.learn(state, event.limit)
    limit = endpoint_limits.limit_of(state, event.limit.endpoint)
    wait = _take(state, limit, event.host, event.at) if limit is not None else 0.0
    yield AnswerPermit(address=event.address, call_id=event.call_id, number=event.number, wait=wait)


@handles(PermitAnswered)
def permit_answered(state: State, event: PermitAnswered) -> typing.Iterator[Step]:
    """Let a call go on whose question was answered."""
    question = state["permits"].questions.get(event.call_id)
    if question is None or question.ask.number != event.number:
        return
    del state["permits"].questions[event.call_id]
    endpoint = question.ask.limit.endpoint
    _note_wait(state, endpoint, event.wait, event.at)
    yield StopTimer(timer="permit", key=event.call_id)
    yield Count(metric="permits", label="denied" if event.wait else "granted")
    yield PermitSettled(
        at=event.at,
        call_id=event.call_id,
        endpoint=endpoint,
        is_granted=not event.wait,
    )


@on_timer("permit")
def permit_not_answered(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Repeat a question; after that, pass its owner over, and ask another one after a pause."""
    permits_state = state["permits"]
    question = permits_state.questions.get(event.key)
    if question is None:
        return
    if forwarding.call(state, event.key) is None:
        # The caller has left, so nobody waits for the answer.
        del permits_state.questions[event.key]
        return
    if question.asks_left:
        yield from _send(question)
        return
    del permits_state.questions[event.key]
    endpoint = question.ask.limit.endpoint
    permits_state.silent_until[question.owner] = event.at + SILENT_OWNER_TIME_S
    _note_wait(state, endpoint, UNANSWERED_PAUSE_S, event.at)
    yield Count(metric="permits", label="unanswered")
    fields = {"endpoint": endpoint, "owner": question.owner}
    yield LogLine(event="permit_unanswered", fields=fields)
    yield PermitSettled(at=event.at, call_id=event.key, endpoint=endpoint, is_granted=False)


@handles(LimitNamed)
def limit_named(state: State, event: LimitNamed) -> typing.Iterator[Step]:
    """Remember the limit that an endpoint named, and tell other hosts of a change soon."""
    limit = EndpointLimit(endpoint=event.endpoint, rate=event.rate, named_at=event.at)
    if endpoint_limits.learn_own(state, limit):
        yield _limit_line(state, limit, "-", event.at)
        yield from neighbours.send_soon(state, event.at)


@handles(LoadTold)
def limits_told(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Remember the limits that another host was told."""
    for limit in event.limits:
        if endpoint_limits.learn(state, limit):
            yield _limit_line(state, limit, event.sender.host, event.at)


def _limit_line(state: State, limit: EndpointLimit, told_by: str, at: float) -> LogLine:
    fields = {
        "endpoint": limit.endpoint,
        "rate": limit.rate if limit.rate is not None else "-",
        "told_by": told_by,
        "age": at - limit.named_at,
        "hosts": neighbours.host_count(state, at),
        "hosts_heard": len(neighbours.live_hosts(state, at)),
        "owner": _owner(state, limit.endpoint, at),
    }
    return LogLine(event="endpoint_limited", fields=fields)


@handles(StepFailed)
def forget_questions(state: State, event: StepFailed) -> None:
    """Forget questions for calls that have ended."""
    questions = state["permits"].questions
    for call_id in [one for one in questions if forwarding.call(state, one) is None]:
        del questions[call_id]
