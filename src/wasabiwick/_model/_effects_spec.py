"""Specification of the effect protocol: one key, one caller that retries, a log and a service.

Each attempt is on a host of its own. Every step of an attempt can come arbitrarily late, which
covers pauses, slow networks and log outages; a record in flight can land late or never, and is sent
again as long as its attempt lives, which covers lost append answers.
"""

import typing

import minicheck

from .. import _fold
from .._wire import Intent, KeyState, Outcome, Owner, Void

KEY = "k"
RAN = 200
FAR = 1e12  # Horizon in seconds; expiry is not part of this specification.

NEW, ASKING, WON, QUERIED, SENT, RECORDING, VOIDING, DONE, DEAD = range(9)

MUTATIONS = {
    "no_read_back": "a host dispatches before it has read its intent back as the winner",
    "trust_append": "a host takes a lost append answer for a success and dispatches",
    "unfenced_takeover": "a winner of a service that ignores fencing is replaced and run again",
    "query_without_fence": "a service is asked without raising its fencing number",
    "no_epoch": "intents win whatever epoch they name",
    "late_epoch": "an attempt takes the epoch that it reads after its call arrived",
    "void_after_dispatch": "a winner voids after it has sent the call",
    "foreign_void": "a void counts although another attempt has won",
    "not_run_without_void": "NOT_RUN is said when an attempt is given up, without its void",
}


class Attempt(typing.NamedTuple):
    """One attempt: its phase, epoch and fence, what it has in flight, and what it told."""

    phase: int = NEW
    epoch: int = -1
    over: str = ""
    fence: int = -1
    intent: bool = False
    void: bool = False
    call: bool = False
    outcome: int = -1
    told: str = ""


class State(typing.NamedTuple):
    """The log's fold, the service and all attempts."""

    known: KeyState
    offset: int
    effects: tuple[int, ...]
    seen_fence: int
    not_run: int
    attempts: tuple[Attempt, ...]


class Spec:
    """The protocol's transitions.

    Args:
        attempts: Calls that the caller makes at most; the last one's host does not crash.
        fenced: Whether the service honours fencing and can be asked by key.
        mutation: Name of a deliberate fault, or empty.
    """

    def __init__(self, *, attempts: int, fenced: bool = False, mutation: str = "") -> None:
        self.count = attempts
        self.fenced = fenced
        self.mutation = mutation

    def protocol(self) -> minicheck.Protocol:
        """Return the specification for the checker."""
        initial = State(_fold.NEW_KEY, 0, (), -1, -1, (Attempt(),) * self.count)
        return minicheck.Protocol(
            name="effects",
            candidate=False,
            fields=State._fields,
            initial=tuple(initial),
            transitions=self._transitions,
            invariants={
                "runs_at_most_once": lambda s: len(s["effects"]) <= 1,
                "not_run_is_true": lambda s: all(i > s["not_run"] for i in s["effects"]),
            },
            goal=lambda s: bool(s["attempts"][-1].told),
        )

    def _transitions(self, raw: tuple) -> list[tuple[str, tuple]]:
        state = State(*raw)
        steps = []
        for index, attempt in enumerate(state.attempts):
            for label, after in self._steps(state, index, attempt):
                steps.append((f"{label} {index}", tuple(after)))
        return steps

    def _steps(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        if one.phase == NEW:
            yield from self._arrive(state, i, one)
            return
        yield from self._land(state, i, one)
        yield from self._host(state, i, one)
        if one.phase not in (DONE, DEAD) and i < self.count - 1:
            yield "crash", _put(state, i, one._replace(phase=DEAD))

    # --- Callers and hosts -----------------------------------------------------------------------

    def _arrive(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        if i and state.attempts[i - 1].phase == NEW:
            return
        for epoch in {-1, state.known.epoch}:
            asking = one._replace(phase=ASKING, epoch=epoch, intent=True)
            yield f"arrive knowing {epoch}", _put(state, i, asking)

    def _host(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        if one.phase == ASKING:
            yield from self._ask(state, i, one)
        elif one.phase == WON:
            yield "dispatch", _put(state, i, one._replace(phase=SENT, call=True))
            if not state.known.earlier:
                yield "give up", _put(state, i, one._replace(phase=VOIDING, void=True))
        elif one.phase == QUERIED:
            yield from self._query(state, i, one)
        elif one.phase == SENT:
            yield from self._lose_answer(state, i, one)
        elif one.phase == VOIDING:
            yield from self._await_void(state, i, one)
        elif one.phase == RECORDING and one.outcome < 0 and state.known.status < 0:
            again = RAN if one.told == "OK" else _fold.UNKNOWN
            yield "record again", _put(state, i, one._replace(outcome=again))

    def _ask(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        if not one.intent:
            yield "ask again", _put(state, i, one._replace(intent=True))
        yield "give up", _put(state, i, self._give_up(one))
        if self.mutation in ("no_read_back", "trust_append") and not one.over:
            hasty = self.mutation == "no_read_back" or not one.intent
            if hasty:
                yield "dispatch unread", _put(state, i, one._replace(phase=SENT, call=True))
        yield from self._read(state, i, one)

    def _give_up(self, one: Attempt) -> Attempt:
        if one.over:
            return one._replace(phase=DONE, told="MAY")
        return one._replace(phase=VOIDING, void=True)

    def _read(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        known = state.known
        if known.status > _fold.UNKNOWN:
            yield "replay", _put(state, i, one._replace(phase=DONE, told="OK"))
        elif known.winner == _name(i):
            phase = QUERIED if known.earlier and self.fenced else WON
            yield "read back", _put(state, i, one._replace(phase=phase, fence=known.fence))
        elif known.winner:
            yield from self._meet_winner(state, i, one)
        elif known.epoch != one.epoch:
            if self.mutation == "late_epoch":
                yield "take epoch", _put(state, i, one._replace(epoch=known.epoch, intent=True))
            else:
                yield "overtaken", _put(state, i, one._replace(phase=DONE, told="MAY"))

    def _meet_winner(
        self, state: State, i: int, one: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        winner = state.known.winner
        takes_over = self.fenced or self.mutation == "unfenced_takeover"
        if takes_over and one.over == winner:
            return
        if takes_over and not one.over:
            yield "take over", _put(state, i, one._replace(over=winner, intent=True))
        else:
            yield "unknown", _put(state, i, one._replace(phase=DONE, told="MAY"))

    def _query(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        fence = -1 if self.mutation == "query_without_fence" else one.fence
        asked = state._replace(seen_fence=max(state.seen_fence, fence))
        if state.effects:
            ran = one._replace(phase=RECORDING, told="OK", outcome=RAN)
            yield "query: ran", _put(asked, i, ran)
        else:
            yield "query: did not run", _put(asked, i, one._replace(phase=WON))

    def _lose_answer(
        self, state: State, i: int, one: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        if self.mutation == "void_after_dispatch":
            yield "void", _put(state, i, one._replace(phase=VOIDING, void=True))
        unknown = one._replace(phase=RECORDING, told="MAY", outcome=_fold.UNKNOWN)
        yield "lose answer", _put(state, i, unknown)

    def _await_void(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        known = state.known
        if _name(i) in known.voided and not known.winner:
            yield "prove", _say_not_run(state, i, one)
        elif self.mutation == "not_run_without_void":
            yield "claim", _say_not_run(state, i, one)
        elif not one.void:
            yield "void again", _put(state, i, one._replace(void=True))
        yield "deadline", _put(state, i, one._replace(phase=DONE, told="MAY"))

    # --- What is in flight -----------------------------------------------------------------------

    def _land(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        if one.intent:
            gone = _put(state, i, one._replace(intent=False))
            yield "lose intent", gone
            yield "intent lands", self._fold(gone, self._intent(i, one))
        if one.void:
            gone = _put(state, i, one._replace(void=False))
            yield "lose void", gone
            yield "void lands", self._fold(gone, Void(key=KEY, attempt_id=_name(i)))
        if one.outcome >= 0:
            gone = _put(state, i, one._replace(outcome=-1))
            yield "lose outcome", gone
            record = Outcome(key=KEY, attempt_id=_name(i), status=one.outcome, body="")
            yield "outcome lands", self._fold(gone, record)
        if one.call:
            yield from self._land_call(state, i, one)

    def _land_call(self, state: State, i: int, one: Attempt) -> typing.Iterator[tuple[str, State]]:
        gone = _put(state, i, one._replace(call=False))
        yield "lose call", gone
        if self.fenced and one.fence < state.seen_fence:
            return
        ran = gone._replace(
            effects=(*state.effects, i), seen_fence=max(state.seen_fence, one.fence)
        )
        yield "run unheard", ran
        if one.phase == SENT:
            told = one._replace(call=False, phase=RECORDING, told="OK", outcome=RAN)
            yield "run", _put(ran, i, told)

    def _intent(self, i: int, one: Attempt) -> Intent:
        owner = Owner(host=_name(i), incarnation="1")
        return Intent(
            key=KEY, attempt_id=_name(i), owner=owner, after=one.epoch, service="s", over=one.over
        )

    def _fold(self, state: State, record: _fold.EffectRecord) -> State:
        known = state.known
        if self.mutation == "no_epoch" and isinstance(record, Intent) and not known.winner:
            record = Intent(**{**_fields(record), "after": known.epoch})
        if self.mutation == "foreign_void" and isinstance(record, Void):
            known = _fold.NEW_KEY if known.status < 0 else known
        after = _fold.fold(known, record, offset=state.offset, time=0.0, horizon=FAR)
        if after == state.known:
            return state
        return state._replace(known=after, offset=state.offset + 1)


def _fields(record: Intent) -> dict[str, typing.Any]:
    return {name: getattr(record, name) for name in record.__struct_fields__}


def _name(i: int) -> str:
    return f"a{i}"


def _put(state: State, i: int, one: Attempt) -> State:
    attempts = (*state.attempts[:i], one, *state.attempts[i + 1 :])
    return state._replace(attempts=attempts)


def _say_not_run(state: State, i: int, one: Attempt) -> State:
    said = _put(state, i, one._replace(phase=DONE, told="NOT_RUN"))
    return said._replace(not_run=max(state.not_run, i))
