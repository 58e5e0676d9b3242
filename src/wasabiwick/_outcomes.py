"""What became of each call, derived from a host's events and effects."""

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
Note = typing.Callable[["Outcomes", typing.Any], None]

_NOTES: dict[type[Record], Note] = {}


def notes(kind: type[Record]) -> typing.Callable[[Note], Note]:
    """Register what one kind of event or effect says about a call."""

    def register(note: Note) -> Note:
        _NOTES[kind] = note
        return note

    return register


class CallOutcome:
    """What became of one call so far."""

    __slots__ = ("call_id", "request_id", "results", "reason", "verdict")

    def __init__(self, *, call_id: str, request_id: str) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.results: list[str] = []
        self.reason = ""
        self.verdict = ""

    @property
    def result(self) -> str:
        """The result, or all of them joined by "+" where a call got several."""
        return "+".join(self.results) or OPEN


class Outcomes:
    """The outcomes of all calls that a sequence of events and effects tells of."""

    __slots__ = ("calls", "_resumed", "_dispatched")

    def __init__(self) -> None:
        self.calls: dict[str, CallOutcome] = {}
        self._resumed: dict[str, int] = {}
        self._dispatched: dict[str, int] = {}

    def add(self, record: Record) -> None:
        """Take one event or effect into account."""
        note = _NOTES.get(type(record))
        if note:
            note(self, record)

    def end(self, call_id: str, result: str, reason: str = "", verdict: str = "") -> None:
        """Note one result of a call."""
        call = self.calls.get(call_id)
        if call:
            call.results.append(result)
            call.reason = reason
            call.verdict = verdict

    def stated(self, call_id: str) -> Stated | None:
        """Return the outcome of a call in the form in which traces state it."""
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

    def difference(self, wanted: Stated) -> str:
        """Return how a call's outcome differs from a stated one, or an empty string."""
        found = self.stated(wanted.call_id)
        if found is None:
            return f'call "{wanted.call_id}" never arrived'
        for name in ("result", "reason", "verdict", "resumed", "dispatched"):
            want, have = getattr(wanted, name), getattr(found, name)
            if want is not None and want != have:
                return f'call "{wanted.call_id}": {name} is {have!r}, stated is {want!r}'
        return ""

    def count_resume(self, request_id: str) -> None:
        """Count one more opening of a request's stream."""
        self._resumed[request_id] = self._resumed.get(request_id, 0) + 1

    def count_dispatch(self, request_id: str) -> None:
        """Count one more sending of a request's body to a service."""
        self._dispatched[request_id] = self._dispatched.get(request_id, 0) + 1


@notes(CallArrived)
def _arrived(outcomes: Outcomes, event: CallArrived) -> None:
    call = event.call
    outcomes.calls[call.call_id] = CallOutcome(call_id=call.call_id, request_id=call.request_id)


@notes(CallerGone)
def _gone(outcomes: Outcomes, event: CallerGone) -> None:
    call = outcomes.calls.get(event.call_id)
    if call and not call.results:
        outcomes.end(event.call_id, "cancelled")


@notes(RefuseCall)
def _refused(outcomes: Outcomes, effect: RefuseCall) -> None:
    failure = effect.failure
    outcomes.end(effect.call_id, "refused", failure.reason.code, failure.verdict.value)


@notes(CloseCall)
def _closed(outcomes: Outcomes, effect: CloseCall) -> None:
    outcomes.end(effect.call_id, "superseded")


@notes(AnswerCall)
def _answered(outcomes: Outcomes, effect: AnswerCall) -> None:
    outcomes.end(effect.call_id, "answered")


@notes(FinishStream)
def _finished(outcomes: Outcomes, effect: FinishStream) -> None:
    outcomes.end(effect.call_id, "answered")


@notes(AttachCall)
def _attached(outcomes: Outcomes, effect: AttachCall) -> None:
    call = outcomes.calls.get(effect.call_id)
    if call:
        call.request_id = effect.request_id


@notes(ResumeStream)
def _resumed(outcomes: Outcomes, effect: ResumeStream) -> None:
    outcomes.count_resume(effect.request_id)


@notes(CallService)
def _dispatched(outcomes: Outcomes, effect: CallService) -> None:
    outcomes.count_dispatch(effect.request_id)
