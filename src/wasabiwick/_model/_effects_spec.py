"""Specification of at-most-once effects: one key, one caller that retries, a log and a service.

Each attempt is on a host of its own. It writes an intent to the log, and may call the service only
once it has read back that it is the key's winner. A void is the log record that gives an attempt
up. Every step of an attempt can happen arbitrarily late, which covers pauses, slow networks and log
outages. A record in flight can arrive late or never, and is sent again while its attempt is active,
which covers lost replies to appends.
"""

import typing

import minicheck

from .. import _fold
from .._wire import Intent, KeyState, Outcome, Owner, Void

KEY = "k"
RAN_STATUS = 200  # Status that is recorded in the log for a call that ran.
EXPIRY_HORIZON_S = 1e12  # So long that no key expires: this specification has no expiry.

# Phases of an attempt.
NEW, ASKING, WON, QUERIED, SENT, RECORDING, VOIDING, DONE, DEAD = range(9)

MUTATIONS = {
    "no_read_back": "a host calls the service before it has read back that its attempt won",
    "trust_append": "a host takes a lost reply to an append for success and calls the service",
    "unfenced_takeover": "an attempt takes over from a winner though the service ignores fencing",
    "query_without_fence": "a service is queried without raising the key's fencing number there",
    "no_epoch": "an intent wins even if it names an old epoch",
    "late_epoch": "an attempt uses an epoch that it read only after its call arrived",
    "void_after_dispatch": "the winner writes a void after it has sent the call",
    "foreign_void": "a void counts although another attempt has won",
    "not_run_without_void": "NOT_RUN is reported although the attempt's void may not be in the log",
}


class Attempt(typing.NamedTuple):
    """One attempt: its phase, epoch and fence, what it has in flight, and its verdict.

    ``over`` names the winner that the attempt takes over from, if any. ``intent``, ``void`` and
    ``call`` are true while the attempt has one in flight; ``outcome`` is the status of an outcome
    record in flight, or negative for none. ``told`` is the verdict that the caller got.
    """

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
    """State of the key in the log, of the service and of all attempts.

    ``known`` is computed from the log's records, and ``offset`` is that of the next record.
    ``effects`` lists the attempts that ran; ``seen_fence`` is the highest fencing number that the
    service has seen; ``not_run`` is the latest attempt that reported NOT_RUN.
    """

    known: KeyState
    offset: int
    effects: tuple[int, ...]
    seen_fence: int
    not_run: int
    attempts: tuple[Attempt, ...]


class Spec:
    """Transitions of the protocol that makes a call take effect at most once.

    Args:
        attempts: Most calls that the caller makes; the host of the last one does not crash.
        fenced: Whether the service honours fencing and can be queried by key.
        mutation: Name of a deliberate fault, or empty.
    """

    def __init__(self, *, attempts: int, fenced: bool = False, mutation: str = "") -> None:
        self.attempt_count = attempts
        self.fenced = fenced
        self.mutation = mutation

    def protocol(self) -> minicheck.Protocol:
        """Return the specification for the checker."""
        initial = State(_fold.NEW_KEY, 0, (), -1, -1, (Attempt(),) * self.attempt_count)
        return minicheck.Protocol(
            name="effects",
            candidate=False,
            fields=State._fields,
            initial=tuple(initial),
            transitions=self._transitions,
            invariants={
                "runs_at_most_once": lambda s: len(s["effects"]) <= 1,
                "not_run_is_true": lambda s: all(index > s["not_run"] for index in s["effects"]),
            },
            goal=lambda s: bool(s["attempts"][-1].told),
        )

    def _transitions(self, raw: tuple) -> list[tuple[str, tuple]]:
        state = State(*raw)
        steps = []
        for index, attempt in enumerate(state.attempts):
            for label, after in self._attempt_steps(state, index, attempt):
                steps.append((f"{label} {index}", tuple(after)))
        return steps

    def _attempt_steps(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        if attempt.phase == NEW:
            yield from self._arrive(state, index, attempt)
            return
        yield from self._deliver(state, index, attempt)
        yield from self._host(state, index, attempt)
        if attempt.phase not in (DONE, DEAD) and index < self.attempt_count - 1:
            yield "crash", _with_attempt(state, index, attempt._replace(phase=DEAD))

    # --- Callers and hosts -----------------------------------------------------------------------

    def _arrive(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        if index and state.attempts[index - 1].phase == NEW:
            return
        for epoch in {-1, state.known.epoch}:
            asking = attempt._replace(phase=ASKING, epoch=epoch, intent=True)
            yield f"call arrives, host knows epoch {epoch}", _with_attempt(state, index, asking)

    def _host(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        if attempt.phase == ASKING:
            yield from self._ask(state, index, attempt)
        elif attempt.phase == WON:
            yield "dispatch", _with_attempt(state, index, attempt._replace(phase=SENT, call=True))
            if not state.known.earlier:
                yield "give up", _with_attempt(
                    state, index, attempt._replace(phase=VOIDING, void=True)
                )
        elif attempt.phase == QUERIED:
            yield from self._query(state, index, attempt)
        elif attempt.phase == SENT:
            yield from self._lose_answer(state, index, attempt)
        elif attempt.phase == VOIDING:
            yield from self._await_void(state, index, attempt)
        elif attempt.phase == RECORDING and attempt.outcome < 0 and state.known.status < 0:
            again = RAN_STATUS if attempt.told == "OK" else _fold.UNKNOWN
            yield "record again", _with_attempt(state, index, attempt._replace(outcome=again))

    def _ask(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        if not attempt.intent:
            yield "ask again", _with_attempt(state, index, attempt._replace(intent=True))
        yield "give up", _with_attempt(state, index, self._give_up(attempt))
        if self.mutation in ("no_read_back", "trust_append") and not attempt.over:
            unread = self.mutation == "no_read_back" or not attempt.intent
            if unread:
                yield "dispatch before reading back", _with_attempt(
                    state, index, attempt._replace(phase=SENT, call=True)
                )
        yield from self._read(state, index, attempt)

    def _give_up(self, attempt: Attempt) -> Attempt:
        if attempt.over:
            return attempt._replace(phase=DONE, told="MAY")
        return attempt._replace(phase=VOIDING, void=True)

    def _read(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        known = state.known
        if known.status > _fold.UNKNOWN:
            yield "replay", _with_attempt(state, index, attempt._replace(phase=DONE, told="OK"))
        elif known.winner == _attempt_id(index):
            phase = QUERIED if known.earlier and self.fenced else WON
            yield "read back", _with_attempt(
                state, index, attempt._replace(phase=phase, fence=known.fence)
            )
        elif known.winner:
            yield from self._read_other_winner(state, index, attempt)
        elif known.epoch != attempt.epoch:
            if self.mutation == "late_epoch":
                yield "take epoch", _with_attempt(
                    state, index, attempt._replace(epoch=known.epoch, intent=True)
                )
            else:
                yield "overtaken", _with_attempt(
                    state, index, attempt._replace(phase=DONE, told="MAY")
                )

    def _read_other_winner(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        winner = state.known.winner
        takes_over = self.fenced or self.mutation == "unfenced_takeover"
        if takes_over and attempt.over == winner:
            return
        if takes_over and not attempt.over:
            yield "take over", _with_attempt(
                state, index, attempt._replace(over=winner, intent=True)
            )
        else:
            yield "unknown", _with_attempt(state, index, attempt._replace(phase=DONE, told="MAY"))

    def _query(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        fence = -1 if self.mutation == "query_without_fence" else attempt.fence
        asked = state._replace(seen_fence=max(state.seen_fence, fence))
        if state.effects:
            ran = attempt._replace(phase=RECORDING, told="OK", outcome=RAN_STATUS)
            yield "query: ran", _with_attempt(asked, index, ran)
        else:
            yield "query: did not run", _with_attempt(asked, index, attempt._replace(phase=WON))

    def _lose_answer(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        if self.mutation == "void_after_dispatch":
            yield "void", _with_attempt(state, index, attempt._replace(phase=VOIDING, void=True))
        unknown = attempt._replace(phase=RECORDING, told="MAY", outcome=_fold.UNKNOWN)
        yield "lose answer", _with_attempt(state, index, unknown)

    def _await_void(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        known = state.known
        if _attempt_id(index) in known.voided and not known.winner:
            yield "report NOT_RUN", _report_not_run(state, index, attempt)
        elif self.mutation == "not_run_without_void":
            yield "report NOT_RUN without void", _report_not_run(state, index, attempt)
        elif not attempt.void:
            yield "void again", _with_attempt(state, index, attempt._replace(void=True))
        yield "deadline", _with_attempt(state, index, attempt._replace(phase=DONE, told="MAY"))

    # --- Records and calls in flight -------------------------------------------------------------

    def _deliver(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        if attempt.intent:
            removed = _with_attempt(state, index, attempt._replace(intent=False))
            yield "lose intent", removed
            yield "intent arrives", self._fold(removed, self._intent(index, attempt))
        if attempt.void:
            removed = _with_attempt(state, index, attempt._replace(void=False))
            yield "lose void", removed
            yield "void arrives", self._fold(removed, Void(key=KEY, attempt_id=_attempt_id(index)))
        if attempt.outcome >= 0:
            removed = _with_attempt(state, index, attempt._replace(outcome=-1))
            yield "lose outcome", removed
            record = Outcome(
                key=KEY, attempt_id=_attempt_id(index), status=attempt.outcome, body=""
            )
            yield "outcome arrives", self._fold(removed, record)
        if attempt.call:
            yield from self._deliver_call(state, index, attempt)

    def _deliver_call(
        self, state: State, index: int, attempt: Attempt
    ) -> typing.Iterator[tuple[str, State]]:
        removed = _with_attempt(state, index, attempt._replace(call=False))
        yield "lose call", removed
        if self.fenced and attempt.fence < state.seen_fence:
            return
        ran = removed._replace(
            effects=(*state.effects, index), seen_fence=max(state.seen_fence, attempt.fence)
        )
        yield "run, answer lost", ran
        if attempt.phase == SENT:
            told = attempt._replace(call=False, phase=RECORDING, told="OK", outcome=RAN_STATUS)
            yield "run", _with_attempt(ran, index, told)

    def _intent(self, index: int, attempt: Attempt) -> Intent:
        owner = Owner(host=_attempt_id(index), incarnation="1")
        return Intent(
            key=KEY,
            attempt_id=_attempt_id(index),
            owner=owner,
            after=attempt.epoch,
            service="s",
            over=attempt.over,
        )

    def _fold(self, state: State, record: _fold.EffectRecord) -> State:
        known = state.known
        if self.mutation == "no_epoch" and isinstance(record, Intent) and not known.winner:
            record = Intent(**{**_fields(record), "after": known.epoch})
        if self.mutation == "foreign_void" and isinstance(record, Void):
            known = _fold.NEW_KEY if known.status < 0 else known
        after = _fold.fold(known, record, offset=state.offset, time=0.0, horizon=EXPIRY_HORIZON_S)
        if after == state.known:
            return state
        return state._replace(known=after, offset=state.offset + 1)


def _fields(record: Intent) -> dict[str, typing.Any]:
    return {name: getattr(record, name) for name in record.__struct_fields__}


def _attempt_id(index: int) -> str:
    return f"a{index}"


def _with_attempt(state: State, index: int, attempt: Attempt) -> State:
    attempts = (*state.attempts[:index], attempt, *state.attempts[index + 1 :])
    return state._replace(attempts=attempts)


def _report_not_run(state: State, index: int, attempt: Attempt) -> State:
    reported = _with_attempt(state, index, attempt._replace(phase=DONE, told="NOT_RUN"))
    return reported._replace(not_run=max(state.not_run, index))
