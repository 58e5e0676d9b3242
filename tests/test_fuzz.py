"""Tests of the fuzz run: unchanged code passes, and faults put into the protocol are found."""

import typing
import unittest
from unittest import mock

from wasabiwick import _fold
from wasabiwick._errors import OUTCOME_UNKNOWN
from wasabiwick._fuzz import _run
from wasabiwick._fuzz._world import InvariantError
from wasabiwick._handlers import once, once_calls, once_ends, once_resolution
from wasabiwick._verdict import Verdict

SEED = 1
SEQUENCES = 120  # Run on unchanged code.
MAX_SEQUENCES = 1_500  # Within which a deliberate fault must be found.


class TestInvariants(unittest.TestCase):
    """Random sequences of faults violate no invariant."""

    def test_unchanged_code_passes(self) -> None:
        report = _run.run(SEQUENCES, SEED)
        self.assertGreaterEqual(report.sequences, SEQUENCES)
        self.assertGreater(report.told["RefuseCall NOT_RUN"], 0)
        self.assertGreater(report.effects, 0)


class TestMutations(unittest.TestCase):
    """A protocol that lacks one rule is found to violate an invariant.

    Each test is named after a fault and puts it in by replacing one function. A fuzz run that
    missed the fault would prove nothing about the unchanged code.
    """

    def assert_found(self, target: object, name: str, broken: object) -> None:
        """Replace a function by a faulty one, and check that a run violates an invariant."""
        with mock.patch.object(target, name, broken), self.assertRaises(InvariantError):
            _run.run(MAX_SEQUENCES, SEED, shrink=False)

    def test_intent_wins_whatever_epoch_it_names(self) -> None:
        self.assert_found(_fold, "_wins", lambda known, intent: not known.winner)

    def test_void_counts_after_another_attempt_has_won(self) -> None:
        self.assert_found(_fold, "_voids", lambda known, void: known.status == _fold.NO_OUTCOME)

    def test_call_is_voided_after_its_dispatch(self) -> None:
        def void_instead(
            state: typing.Any, work: typing.Any, at: float, detail: str = ""
        ) -> typing.Any:
            return once_ends.give_up(state, work, OUTCOME_UNKNOWN, at, detail)

        self.assert_found(once_calls, "unknown", void_instead)

    def test_not_run_is_reported_without_a_void(self) -> None:
        def claim_not_run(
            state: typing.Any, work: typing.Any, reason: typing.Any, at: float, *_: str
        ):
            return once_ends.refuse(state, work, reason, at, verdict=Verdict.NOT_RUN)

        self.assert_found(once_ends, "give_up", claim_not_run)

    def test_takeover_sends_again_to_any_service(self) -> None:
        self.assert_found(once, "resolution_of", lambda traits: once_resolution.SEND_AGAIN)

    def test_attempt_takes_an_epoch_read_after_the_call_arrived(self) -> None:
        original = once._decide

        def decide_with_later_epoch(
            state: typing.Any, work: typing.Any, *rest: typing.Any
        ) -> typing.Any:
            work.base = 10**9
            return original(state, work, *rest)

        self.assert_found(once, "_decide", decide_with_later_epoch)
