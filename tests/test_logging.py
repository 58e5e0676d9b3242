"""Tests of the structured logs."""

import ast
import json
import logging
import pathlib
import re
import unittest
import warnings

from loguru import logger

import wasabiwick
from wasabiwick import _logging

PAIR = r'[A-Za-z0-9_]+=(?:[^\s"\'=\\]+|"(?:[^"\\]|\\.)*")'
LINE = re.compile(rf"ts=\S+(?: {PAIR})+\n")
SOURCES = pathlib.Path(wasabiwick.__file__).parent


class TestLines(unittest.TestCase):
    """Whatever is logged, each event is one line of key=value pairs."""

    def setUp(self) -> None:
        self.lines: list[str] = []
        _logging.configure("DEBUG", self.lines.append)
        self.addCleanup(logger.remove)
        self.addCleanup(logging.basicConfig, force=True)

    def only_line(self) -> str:
        self.assertEqual(len(self.lines), 1)
        line = str(self.lines[0])
        self.assertRegex(line, LINE)
        self.assertEqual(line.count("\n"), 1)
        return line

    def test_plain_values(self) -> None:
        _logging.log_event("listening", host="a", port=80, wait=0.5, none=None)
        line = self.only_line()
        self.assertIn("level=INFO event=listening host=a port=80 wait=0.5 none=None\n", line)

    def test_values_with_special_characters_are_json_strings(self) -> None:
        for value in ("", "two words", "a=b", 'say "x"', "a\nevent=forged", "\u2028", "{x}", "\\"):
            with self.subTest(value):
                self.lines.clear()
                _logging.log_event("odd", value=value, **{"bad key": 1})
                line = self.only_line()
                self.assertIn("bad_key=1", line)
                text = re.search(r"value=(.*) bad_key", line)[1]
                self.assertEqual(json.loads(text) if text.startswith('"') else text, value)

    def test_long_value_is_cut(self) -> None:
        _logging.log_event("long", value="x" * 100_000)
        self.assertLess(len(self.only_line()), 3_000)

    def test_exception_with_traceback_is_one_line(self) -> None:
        try:
            raise ValueError("first\nsecond")
        except ValueError as exc:
            _logging.log_exception("task_failed", exc, task="t")
        self.assertIn("ValueError", self.only_line())

    def test_library_record_is_one_line(self) -> None:
        logging.getLogger("some.library").warning("lost %s\nof it", "all")
        self.assertIn('logger=some.library text="lost all\\nof it"', self.only_line())

    def test_library_warning_is_one_line(self) -> None:
        self.addCleanup(logging.captureWarnings, False)
        warnings.warn("old\nway", UserWarning, stacklevel=1)
        self.assertIn("logger=py.warnings", self.only_line())


class TestLoguruImports(unittest.TestCase):
    """The whole package logs through `_logging`, so that all lines have one format."""

    def test_no_other_module_imports_loguru(self) -> None:
        importers = []
        for path in SOURCES.rglob("*.py"):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            imports = (node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom))
            if any(node.module == "loguru" for node in imports):
                importers.append(path.name)
        self.assertEqual(importers, ["_logging.py"])
