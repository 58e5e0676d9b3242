"""Tests of the fold of a key's log records."""

import unittest

from wasabiwick import _fold
from wasabiwick._wire import Intent, KeyState, Outcome, Owner, Void

HORIZON = 100.0
BORN = 1_000.0


def intent(attempt: str, *, after: int = -1, over: str = "") -> Intent:
    owner = Owner(host=attempt, incarnation="1")
    return Intent(
        key="k", attempt_id=attempt, owner=owner, after=after, service="s", born=BORN, over=over
    )


def void(attempt: str) -> Void:
    return Void(key="k", attempt_id=attempt, born=BORN)


def outcome(attempt: str, status: int = 200) -> Outcome:
    return Outcome(key="k", attempt_id=attempt, status=status, body=attempt)


def fold(*records: _fold.EffectRecord, time: float = BORN) -> KeyState:
    known = _fold.NEW_KEY
    for offset, record in enumerate(records):
        known = _fold.fold(known, record, offset=offset, time=time, horizon=HORIZON)
    return known


class TestIntents(unittest.TestCase):
    """The first intent of the epoch wins, however late others land."""

    def test_first_wins(self) -> None:
        self.assertEqual(fold(intent("a"), intent("b")).winner, "a")

    def test_intent_of_an_older_epoch_never_counts(self) -> None:
        self.assertEqual(fold(void("x"), intent("a")).winner, "")

    def test_intent_after_the_void_wins(self) -> None:
        self.assertEqual(fold(void("x"), intent("a", after=0)).winner, "a")

    def test_intent_past_the_horizon_never_counts(self) -> None:
        late = BORN + HORIZON + _fold.BORN_SLACK + 1.0
        self.assertEqual(fold(intent("a"), time=late).winner, "")

    def test_takeover_needs_the_present_winner(self) -> None:
        state = fold(intent("a"), intent("b", over="a"), intent("c", over="a"))
        self.assertEqual((state.winner, state.earlier, state.fence), ("b", ("a",), 1))


class TestVoids(unittest.TestCase):
    """A void counts with no winner, or by the winner itself before any outcome."""

    def test_foreign_void_is_ignored(self) -> None:
        self.assertEqual(fold(intent("a"), void("b")).winner, "a")

    def test_own_void_starts_an_epoch(self) -> None:
        state = fold(intent("a"), void("a"))
        self.assertEqual((state.winner, state.epoch, state.voided), ("", 1, ("a",)))

    def test_void_after_an_outcome_is_ignored(self) -> None:
        self.assertEqual(fold(intent("a"), outcome("a"), void("a")).status, 200)

    def test_void_after_a_takeover_is_ignored(self) -> None:
        self.assertEqual(fold(intent("a"), intent("b", over="a"), void("b")).winner, "b")


class TestOutcomes(unittest.TestCase):
    """An outcome counts once, from an attempt that has won."""

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
                known = fold(first, second)
                for record in records:
                    after = _fold.fold(known, record, offset=9, time=BORN, horizon=HORIZON)
                    self.assertEqual(after != known, _fold.can_change_state(known, record))
