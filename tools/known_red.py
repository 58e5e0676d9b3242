"""Runs all tests; those that KNOWN-RED.txt lists run apart and have to fail.

An entry lists its tests on lines of the form ``Test: tests.module.Class.test_name``.

Usage: python tools/known_red.py

Exits with 1 if a test fails that is not listed, or if a listed test passes or does not exist.
"""

import io
import pathlib
import re
import sys
import typing
import unittest

ROOT = pathlib.Path(__file__).parents[1]
LISTED_TEST = re.compile(r"^\s*Test:\s+(tests\.\S+)\s*$", re.MULTILINE)


def listed_tests(text: str) -> list[str]:
    """Return the names of the tests that a list of known failures names."""
    return LISTED_TEST.findall(text)


def split(
    suite: unittest.TestSuite, listed: typing.Collection[str]
) -> tuple[unittest.TestSuite, dict[str, unittest.TestCase]]:
    """Return the tests that are not listed, and the listed ones by name."""
    unlisted = unittest.TestSuite()
    found: dict[str, unittest.TestCase] = {}
    for test in _flatten(suite):
        if test.id() in listed:
            found[test.id()] = test
        else:
            unlisted.addTest(test)
    return unlisted, found


def _flatten(suite: unittest.TestSuite) -> typing.Iterator[unittest.TestCase]:
    for one in suite:
        if isinstance(one, unittest.TestSuite):
            yield from _flatten(one)
        else:
            yield one


def errors(listed: typing.Iterable[str], found: dict[str, unittest.TestCase]) -> list[str]:
    """Run the listed tests, and return a line for each that passes or does not exist."""
    lines = []
    for name in listed:
        if name not in found:
            lines.append(f"{name} is listed in KNOWN-RED.txt but does not exist")
            continue
        output = io.StringIO()
        result = unittest.TextTestRunner(stream=output).run(found[name])
        if result.wasSuccessful():
            lines.append(f"{name} is listed in KNOWN-RED.txt but passes")
        else:
            print(f"known red: {name}: {output.getvalue().strip().splitlines()[-3]}")
    return lines


def main() -> int:
    """Run the tests and print how many passed."""
    path = ROOT / "KNOWN-RED.txt"
    listed = listed_tests(path.read_text(encoding="utf-8")) if path.exists() else []
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    unlisted, found = split(suite, listed)
    result = unittest.TextTestRunner().run(unlisted)
    lines = errors(listed, found)
    print(*lines, sep="\n", end="\n" if lines else "")
    failed = len(result.failures) + len(result.errors) + len(lines)
    print(f"{result.testsRun - len(result.failures) - len(result.errors)} passed, {failed} failed")
    return 0 if result.wasSuccessful() and not lines else 1


if __name__ == "__main__":
    sys.exit(main())
