"""The outcome of each call, derived from a host's events and effects."""

import typing

from ._effects import (
    AnswerCall,
    AttachCall,
    CallService,
    CloseCall,
    FinishStream,
    RefuseCall,
    ResumeStream,
)
from ._events import CallArrived, CallerGone
from ._record import Record
from ._trace import Stated

OPEN = "open"
Updater = typing.Callable[["Outcomes", typing.Any], None]

_UPDATERS: dict[type[Record], Updater] = {}


def updates_from(kind: type[Record]) -> typing.Callable[[Updater], Updater]:
    """Register the function that updates outcomes from one kind of event or effect."""

    def register(updater: Updater) -> Updater:
        _UPDATERS[kind] = updater
        return updater

    return register


class CallOutcome:
    """The outcome of one call so far."""

    __slots__ = ("call_id", "request_id", "results", "reason", "verdict")

    def __init__(self, *, call_id: str, request_id: str) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.results: list[str] = []
        self.reason = ""
        self.verdict = ""

    @property
    def result(self) -> str:
        """The call's result: "open" if it has none yet, and several joined by "+"."""
        return "+".join(self.results) or OPEN


class Outcomes:
    """The outcomes of all calls in a sequence of events and effects."""

    __slots__ = ("calls", "_resumed", "_dispatched")

    def __init__(self) -> None:
        self.calls: dict[str, CallOutcome] = {}
        self._resumed: dict[str, int] = {}
        self._dispatched: dict[str, int] = {}

    def add(self, record: Record) -> None:
        """Update the outcomes from one event or effect."""
        updater = _UPDATERS.get(type(record))
        if updater:
            updater(self, record)

    def end(self, call_id: str, result: str, reason: str = "", verdict: str = "") -> None:
        """Record a result of a call."""
        call = self.calls.get(call_id)
        if call:
            call.results.append(result)
            call.reason = reason
            call.verdict = verdict

    def stated(self, call_id: str) -> Stated | None:
        """Return the outcome of a call as a line of a trace, or None if the call never arrived."""
        call = self.calls.get(call_id)
        if call is None:
            return None
        return Stated(
            call_id=call_id,
            result=call.result,
            reason=call.reason,
            verdict=call.verdict,
            resumed=self._resumed.get(call.request_id, 0),
            dispatched=self._dispatched.get(call.request_id, 0),
        )

    def difference(self, expected: Stated) -> str:
        """Return how a call's outcome differs from the stated one, or an empty string."""
        actual = self.stated(expected.call_id)
        if actual is None:
            return f'call "{expected.call_id}" never arrived'
        for name in ("result", "reason", "verdict", "resumed", "dispatched"):
            want, have = getattr(expected, name), getattr(actual, name)
            if want is not None and want != have:
                return f'call "{expected.call_id}": {name} is {have!r}, stated is {want!r}'
        return ""

    def count_resume(self, request_id: str) -> None:
        """Count a resumption of a request's stream."""
        self._resumed[request_id] = self._resumed.get(request_id, 0) + 1

    def count_dispatch(self, request_id: str) -> None:
        """Count a dispatch of a request's body to a service."""
        self._dispatched[request_id] = self._dispatched.get(request_id, 0) + 1


@updates_from(CallArrived)
def _call_arrived(outcomes: Outcomes, event: CallArrived) -> None:
    call = event.call
    outcomes.calls[call.call_id] = CallOutcome(call_id=call.call_id, request_id=call.request_id)


@updates_from(CallerGone)
def _caller_gone(outcomes: Outcomes, event: CallerGone) -> None:
    call = outcomes.calls.get(event.call_id)
    if call and not call.results:
        outcomes.end(event.call_id, "cancelled")


@updates_from(RefuseCall)
def _call_refused(outcomes: Outcomes, effect: RefuseCall) -> None:
    failure = effect.failure
    outcomes.end(effect.call_id, "refused", failure.reason.code, failure.verdict.value)


@updates_from(CloseCall)
def _call_closed(outcomes: Outcomes, effect: CloseCall) -> None:
    outcomes.end(effect.call_id, "superseded")


@updates_from(AnswerCall)
def _call_answered(outcomes: Outcomes, effect: AnswerCall) -> None:
    outcomes.end(effect.call_id, "answered")


@updates_from(FinishStream)
def _stream_finished(outcomes: Outcomes, effect: FinishStream) -> None:
    outcomes.end(effect.call_id, "answered")


@updates_from(AttachCall)
def _call_attached(outcomes: Outcomes, effect: AttachCall) -> None:
    call = outcomes.calls.get(effect.call_id)
    if call:
        call.request_id = effect.request_id


@updates_from(ResumeStream)
def _resumed(outcomes: Outcomes, effect: ResumeStream) -> None:
    outcomes.count_resume(effect.request_id)


@updates_from(CallService)
def _dispatched(outcomes: Outcomes, effect: CallService) -> None:
    outcomes.count_dispatch(effect.request_id)
