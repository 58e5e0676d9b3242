"""Tests of the model check: the protocols are proved, and deliberate faults are found."""

import unittest

from wasabiwick._model import _effects_spec, _run, _slots_spec


class TestProtocols(unittest.TestCase):
    """Every property of the protocols holds in a complete search.

    The search must refute one false property, that a key never runs after `NOT_RUN`.
    """

    def test_effects_without_fencing_are_proved(self) -> None:
        result = _run.check("effects", _effects_spec.Spec(attempts=2).protocol())
        self.assertTrue(result.proved, result.properties)

    def test_effects_with_fencing_are_proved(self) -> None:
        spec = _effects_spec.Spec(attempts=2, fenced=True)
        self.assertTrue(_run.check("effects", spec.protocol()).proved)

    def test_slots_are_proved(self) -> None:
        self.assertTrue(_run.check("slots", _slots_spec.Spec().protocol()).proved)

    def test_voided_key_can_run_again(self) -> None:
        self.assertTrue(_run.check_rerun_after_not_run().refuted)

    def test_partial_search_proves_nothing(self) -> None:
        result = _run.check("effects", _effects_spec.Spec(attempts=2).protocol(), max_states=100)
        self.assertFalse(result.proved)


class TestMutations(unittest.TestCase):
    """A deliberate fault leads to a counterexample; otherwise the proofs would say nothing."""

    def test_each_fault_is_refuted(self) -> None:
        for result in _run.mutations():
            with self.subTest(result.name):
                self.assertTrue(result.refuted, result.properties)
