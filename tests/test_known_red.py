"""Tests of the run that keeps known failures apart from the other tests."""

import contextlib
import importlib.util
import io
import pathlib
import unittest

PATH = pathlib.Path(__file__).parents[1] / "tools" / "known_red.py"
_spec = importlib.util.spec_from_file_location("known_red", PATH)
known_red = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(known_red)

LIST = """Faults that are known.

1. Something fails.
   Test:  tests.test_a.TestA.test_b
   Test:  tests.test_a.TestA.test_c
   Issue: 2
"""


class _Sample(unittest.TestCase):
    def passing(self) -> None:
        pass

    def failing(self) -> None:
        self.fail("known")


class TestKnownRed(unittest.TestCase):
    """Exactly the listed tests may fail, and each of them has to."""

    def setUp(self) -> None:
        self.passing, self.failing = _Sample("passing"), _Sample("failing")
        self.suite = unittest.TestSuite([unittest.TestSuite([self.passing]), self.failing])

    def errors(self, *listed: str) -> list[str]:
        _, found = known_red.split(self.suite, listed)
        with contextlib.redirect_stdout(io.StringIO()):
            return known_red.errors(listed, found)

    def test_names_are_read_from_the_list(self) -> None:
        names = ["tests.test_a.TestA.test_b", "tests.test_a.TestA.test_c"]
        self.assertEqual(known_red.listed_tests(LIST), names)

    def test_listed_tests_are_taken_out_of_the_run(self) -> None:
        unlisted, found = known_red.split(self.suite, [self.failing.id()])
        self.assertEqual(list(unlisted), [self.passing])
        self.assertEqual(found, {self.failing.id(): self.failing})

    def test_listed_test_that_fails_is_no_error(self) -> None:
        self.assertEqual(self.errors(self.failing.id()), [])

    def test_listed_test_that_passes_is_an_error(self) -> None:
        (line,) = self.errors(self.passing.id())
        self.assertIn("but passes", line)

    def test_listed_test_that_does_not_exist_is_an_error(self) -> None:
        (line,) = self.errors("tests.test_a.TestA.test_gone")
        self.assertIn("does not exist", line)


class TestGroups(unittest.TestCase):
    """Each test is in exactly one group, so that none is dropped where groups run side by side."""

    def test_every_test_is_in_one_group(self) -> None:
        cases = [
            type(f"Test{number}", (_Sample,), {"__module__": f"tests.test_{number}"})("passing")
            for number in (5, 1, 1, 3, 2, 0)
        ]
        suite = unittest.TestSuite(cases)
        groups = [known_red.group_of(suite, number, 3) for number in range(3)]
        found = [test for group in groups for test in group]
        self.assertCountEqual(map(id, found), map(id, cases))
        self.assertEqual(len(known_red.modules(suite)), 5)
        for group in groups:
            self.assertTrue(group.countTestCases())

    def test_tests_of_a_module_stay_together(self) -> None:
        cases = [
            type(f"Test{number}", (_Sample,), {"__module__": "tests.test_one"})("passing")
            for number in range(4)
        ]
        sizes = [
            known_red.group_of(unittest.TestSuite(cases), number, 3).countTestCases()
            for number in range(3)
        ]
        self.assertEqual(sorted(sizes), [0, 0, 4])
