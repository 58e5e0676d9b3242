"""Runs all tests; those that KNOWN-RED.txt lists run apart and have to fail.

An entry lists its tests on lines of the form ``Test: tests.module.Class.test_name``. Modules run in
groups side by side, each in a process of its own; a module's tests stay together and in order.

Usage: python tools/known_red.py [--group NUMBER]

Exits with 1 if a test fails that is not listed, or if a listed test passes or does not exist.
"""

import contextlib
import io
import pathlib
import re
import subprocess
import sys
import tempfile
import typing
import unittest

GROUPS = 3  # Side by side; tests on real processes need processors of their own.
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


def modules(suite: unittest.TestSuite) -> list[str]:
    """Return the names of the modules of some tests, in order."""
    return sorted({type(test).__module__ for test in _flatten(suite)})


def group_of(suite: unittest.TestSuite, number: int, groups: int = GROUPS) -> unittest.TestSuite:
    """Return the tests of every ``groups``-th module, from that of a number on."""
    own = set(modules(suite)[number::groups])
    return unittest.TestSuite(test for test in _flatten(suite) if type(test).__module__ in own)


def unlisted_tests() -> tuple[unittest.TestSuite, list[str], dict[str, unittest.TestCase]]:
    """Return the tests that are not listed, the names of the listed ones, and these by name."""
    path = ROOT / "KNOWN-RED.txt"
    listed = listed_tests(path.read_text(encoding="utf-8")) if path.exists() else []
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    unlisted, found = split(suite, listed)
    return unlisted, listed, found


def run_group(number: int) -> int:
    """Run one group of the tests that are not listed, and print its counts as the last line."""
    unlisted, _, _ = unlisted_tests()
    result = unittest.TextTestRunner().run(group_of(unlisted, number))
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    print(f"{result.testsRun} {failed}")
    return 0 if result.wasSuccessful() else 1


def run_groups() -> tuple[int, int, bool]:
    """Run all groups side by side; returns how many tests ran and failed, and whether all did."""
    options = [f"-W{option}" for option in sys.warnoptions]
    command = [sys.executable, *options, str(pathlib.Path(__file__).resolve()), "--group"]
    total = total_failed = 0
    is_whole = True
    with contextlib.ExitStack() as stack:
        files = [stack.enter_context(tempfile.TemporaryFile(mode="w+")) for _ in range(GROUPS)]
        running = [
            subprocess.Popen(
                [*command, str(number)], stdout=file, stderr=subprocess.STDOUT, cwd=ROOT
            )
            for number, file in enumerate(files)
        ]
        for process, file in zip(running, files, strict=True):
            code = process.wait()
            file.seek(0)
            text = file.read()
            print(text, end="")
            counts = re.search(r"^(\d+) (\d+)\s*\Z", text, re.MULTILINE)
            ran, failed = map(int, counts.groups()) if counts else (0, 0)
            total, total_failed = total + ran, total_failed + failed
            is_whole = is_whole and counts is not None and code == (1 if failed else 0)
    return total, total_failed, is_whole


def main() -> int:
    """Run the tests and print how many passed."""
    if sys.argv[1:2] == ["--group"]:
        return run_group(int(sys.argv[2]))
    ran, failed, is_whole = run_groups()
    unlisted, listed, found = unlisted_tests()
    lines = errors(listed, found)
    if not is_whole or ran != unlisted.countTestCases():
        lines.append(f"{unlisted.countTestCases()} tests had to run, but {ran} were counted")
    print(*lines, sep="\n", end="\n" if lines else "")
    print(f"{ran - failed} passed, {failed + len(lines)} failed")
    return 1 if failed or lines else 0


if __name__ == "__main__":
    sys.exit(main())
