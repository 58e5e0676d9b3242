"""Tests of the model checker's run: protocols are proved, deliberate faults are found."""

import unittest

from wasabiwick._model import _effects_spec, _run, _slots_spec


class TestProtocols(unittest.TestCase):
    """Every property holds in a complete search."""

    def test_effects(self) -> None:
        result = _run.check("effects", _effects_spec.Spec(attempts=2).protocol())
        self.assertTrue(result.proved, result.properties)

    def test_effects_with_fencing(self) -> None:
        spec = _effects_spec.Spec(attempts=2, fenced=True)
        self.assertTrue(_run.check("effects", spec.protocol()).proved)

    def test_slots(self) -> None:
        self.assertTrue(_run.check("slots", _slots_spec.Spec().protocol()).proved)

    def test_voided_key_can_run_again(self) -> None:
        self.assertTrue(_run.check_rerun_after_not_run().refuted)

    def test_partial_search_proves_nothing(self) -> None:
        result = _run.check("effects", _effects_spec.Spec(attempts=2).protocol(), limit=100)
        self.assertFalse(result.proved)


class TestMutations(unittest.TestCase):
    """Each deliberate fault has a counterexample."""

    def test_each_is_found(self) -> None:
        for result in _run.mutations():
            with self.subTest(result.name):
                self.assertTrue(result.refuted, result.properties)
