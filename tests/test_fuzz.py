"""Tests of the fuzz run: it passes as the code stands, and finds deliberate faults."""

import typing
import unittest
from unittest import mock

from wasabiwick import _fold
from wasabiwick._errors import OUTCOME_UNKNOWN
from wasabiwick._fuzz import _run
from wasabiwick._fuzz._world import BrokenPromiseError
from wasabiwick._handlers import once, once_calls, once_ends, once_resolution
from wasabiwick._verdict import Verdict

SEED = 1
SEQUENCES = 120
SEQUENCES_TO_FIND = 1_500


class TestPromises(unittest.TestCase):
    """Random faults break no promise."""

    def test_fixed_seed(self) -> None:
        report = _run.run(SEQUENCES, SEED)
        self.assertGreaterEqual(report.sequences, SEQUENCES)
        self.assertGreater(report.told["RefuseCall NOT_RUN"], 0)
        self.assertGreater(report.effects, 0)


class TestMutations(unittest.TestCase):
    """A protocol that lacks one rule is found to break a promise."""

    def assert_found(self, target: object, name: str, broken: object) -> None:
        with mock.patch.object(target, name, broken), self.assertRaises(BrokenPromiseError):
            _run.run(SEQUENCES_TO_FIND, SEED, shrink=False)

    def test_epoch_ignored(self) -> None:
        self.assert_found(_fold, "_wins", lambda known, intent: not known.winner)

    def test_foreign_void_counts(self) -> None:
        self.assert_found(_fold, "_voids", lambda known, void: known.status == _fold.NO_OUTCOME)

    def test_void_after_dispatch(self) -> None:
        def void(state: typing.Any, work: typing.Any, at: float, detail: str = "") -> typing.Any:
            return once_ends.give_up(state, work, OUTCOME_UNKNOWN, at, detail)

        self.assert_found(once_calls, "unknown", void)

    def test_not_run_without_a_void(self) -> None:
        def claim(state: typing.Any, work: typing.Any, reason: typing.Any, at: float, *_: str):
            return once_ends.refuse(state, work, reason, at, verdict=Verdict.NOT_RUN)

        self.assert_found(once_ends, "give_up", claim)

    def test_takeover_of_any_service(self) -> None:
        self.assert_found(once, "resolution_of", lambda traits: once_resolution.SEND_AGAIN)

    def test_epoch_read_after_the_call_arrived(self) -> None:
        decide = once._decide

        def later(state: typing.Any, work: typing.Any, *rest: typing.Any) -> typing.Any:
            work.base = 10**9
            return decide(state, work, *rest)

        self.assert_found(once, "_decide", later)
