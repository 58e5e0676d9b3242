"""Tests of how an idempotency key's log records are folded into the key's state."""

import unittest

from wasabiwick import _fold
from wasabiwick._wire import Intent, KeyState, Outcome, Owner, Void

HORIZON = 100.0  # Age of a key in seconds after which no intent wins.
BORN = 1_000.0  # Unix time at which the key was made.


def intent(attempt: str, *, after: int = -1, over: str = "") -> Intent:
    """Return an attempt's intent for epoch ``after``, or to take over from attempt ``over``."""
    owner = Owner(host=attempt, incarnation="1")
    return Intent(
        key="k", attempt_id=attempt, owner=owner, after=after, service="s", born=BORN, over=over
    )


def void(attempt: str) -> Void:
    return Void(key="k", attempt_id=attempt, born=BORN)


def outcome(attempt: str, status: int = 200) -> Outcome:
    return Outcome(key="k", attempt_id=attempt, status=status, body=attempt)


def fold(*records: _fold.EffectRecord, time: float = BORN) -> KeyState:
    state = _fold.NEW_KEY
    for offset, record in enumerate(records):
        state = _fold.fold(state, record, offset=offset, time=time, horizon=HORIZON)
    return state


class TestIntents(unittest.TestCase):
    """The first intent of an epoch wins, so that no late intent runs a request a second time.

    A key's epoch ends with a `Void`, the record that gives an attempt up.
    """

    def test_first_intent_wins(self) -> None:
        self.assertEqual(fold(intent("a"), intent("b")).winner, "a")

    def test_intent_of_an_older_epoch_is_ignored(self) -> None:
        self.assertEqual(fold(void("x"), intent("a")).winner, "")

    def test_intent_that_names_the_epoch_after_a_void_wins(self) -> None:
        self.assertEqual(fold(void("x"), intent("a", after=0)).winner, "a")

    def test_intent_past_the_horizon_is_ignored(self) -> None:
        late = BORN + HORIZON + _fold.EXPIRY_GRACE_S + 1.0
        self.assertEqual(fold(intent("a"), time=late).winner, "")

    def test_takeover_must_name_the_current_winner(self) -> None:
        state = fold(intent("a"), intent("b", over="a"), intent("c", over="a"))
        self.assertEqual((state.winner, state.earlier, state.fence), ("b", ("a",), 1))


class TestVoids(unittest.TestCase):
    """A `Void` takes effect only without a winner, or from the winner itself before any outcome.

    If one took effect later, a retry could run a request that has run already.
    """

    def test_void_by_another_attempt_is_ignored(self) -> None:
        self.assertEqual(fold(intent("a"), void("b")).winner, "a")

    def test_void_by_the_winner_starts_an_epoch(self) -> None:
        state = fold(intent("a"), void("a"))
        self.assertEqual((state.winner, state.epoch, state.voided), ("", 1, ("a",)))

    def test_void_after_an_outcome_is_ignored(self) -> None:
        self.assertEqual(fold(intent("a"), outcome("a"), void("a")).status, 200)

    def test_void_after_a_takeover_is_ignored(self) -> None:
        self.assertEqual(fold(intent("a"), intent("b", over="a"), void("b")).winner, "b")


class TestOutcomes(unittest.TestCase):
    """The first answer of an attempt that has won is final, so all retries get the same answer."""

    def test_first_answer_stays(self) -> None:
        self.assertEqual(fold(intent("a"), outcome("a"), outcome("a", 500)).status, 200)

    def test_outcome_of_another_attempt_is_ignored(self) -> None:
        self.assertEqual(fold(intent("a"), outcome("b")).status, _fold.NO_OUTCOME)

    def test_answer_replaces_an_unknown_outcome(self) -> None:
        state = fold(intent("a"), outcome("a", _fold.UNKNOWN), outcome("a"))
        self.assertEqual(state.status, 200)

    def test_can_change_state_agrees_with_fold(self) -> None:
        records = [intent("a"), intent("b"), void("a"), void("b"), outcome("a"), outcome("b", 0)]
        for first in records:
            for second in records:
                state = fold(first, second)
                for record in records:
                    after = _fold.fold(state, record, offset=9, time=BORN, horizon=HORIZON)
                    self.assertEqual(after != state, _fold.can_change_state(state, record))
