"""Tests that the reference pages and the descriptions of metrics agree with the code."""

import ast
import inspect
import pathlib
import re
import unittest

import click

import wasabiwick
from wasabiwick import _cli, _metrics, _reference, _schema, _settings

SOURCES = pathlib.Path(wasabiwick.__file__).parent
ROOT = pathlib.Path(__file__).parent.parent
# Kind of the metric that an effect, or a method, records.
EFFECT_KINDS = {"Count": "counter", "Observe": "latency"}
METHOD_KINDS = {"self.telemetry.count": "counter", "self.telemetry.observe": "latency"}


def metric_effects() -> list[tuple[str, str, bool, str]]:
    """Return name, kind, whether it is labelled, and file, of each metric that the code records."""
    found = []
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call):
                continue
            kind = EFFECT_KINDS.get(getattr(node.func, "id", ""))
            if kind:
                fields = {one.arg: one.value for one in node.keywords}
                name = ast.literal_eval(fields["metric"])
                found.append((name, kind, "label" in fields, path.name))
            elif ast.unparse(node.func) in METHOD_KINDS and isinstance(node.args[0], ast.Constant):
                found.append(
                    (node.args[0].value, METHOD_KINDS[ast.unparse(node.func)], True, path.name)
                )
    return found


class TestMetrics(unittest.TestCase):
    """The described counters and latencies are exactly those that the code records."""

    def test_names_kinds_and_labels(self) -> None:
        described = {
            (one.name, one.kind, bool(one.label))
            for one in _metrics.METRICS.values()
            if one.kind != "gauge"
        }
        recorded = {(name, kind, labelled) for name, kind, labelled, _ in metric_effects()}
        self.assertEqual(recorded - described, set(), "describe these in _metrics.py, `make docs`")
        self.assertEqual(described - recorded, set(), "these are described but never recorded")

    def test_names_are_unique_and_well_formed(self) -> None:
        names = [one.name for section in _metrics.SECTIONS.values() for one in section]
        self.assertEqual(len(names), len(set(names)))
        for name in names:
            self.assertRegex(name, r"\A[a-z]+(_[a-z]+)*\Z")


class TestPages(unittest.TestCase):
    """The committed reference pages match the code's settings and metrics."""

    def test_pages_are_up_to_date(self) -> None:
        for name, page in _reference.PAGES.items():
            shown = (ROOT / "docs" / name).read_text(encoding="utf-8")
            self.assertEqual(shown, page(), f"docs/{name} is out of date: run `make docs`")

    def test_every_setting_is_described(self) -> None:
        classes = [
            value
            for value in vars(_settings).values()
            if inspect.isclass(value) and value.__module__ == _settings.__name__
        ]
        self.assertIn(_settings.Timing, classes)
        for cls in classes:
            texts = _reference.documented_args(cls)
            self.assertEqual(list(texts), list(_schema.params_of(cls)), cls.__name__)


class TestExamples(unittest.TestCase):
    """Settings shown in the pages are valid, and commands and options that they show exist."""

    def test_yaml_blocks_with_a_host_are_settings(self) -> None:
        seen = 0
        for path in pages():
            for text in re.findall(r"```yaml\n(.*?)```", path.read_text("utf-8"), re.DOTALL):
                if text.startswith("host:"):
                    seen += 1
                    found = _schema.read_yaml(text, _settings.Settings)
                    self.assertIsInstance(found, _settings.Settings, f"{path.name}: {found}")
        self.assertGreater(seen, 0)

    def test_commands_and_options_exist(self) -> None:
        for path in pages():
            text = path.read_text("utf-8")
            for line in re.findall(r"(?m)(?:`|^ {4,}|bin/)wasabiwick ([a-z][^\n`#|)]*)", text):
                with self.subTest(page=path.name, line=line):
                    self.check_command(line.split())

    def check_command(self, words: list[str]) -> None:
        command = _cli.main.get_command(click.Context(_cli.main), words[0])
        self.assertIsNotNone(command)
        if hasattr(command, "commands") and len(words) > 1 and words[1] in command.commands:
            command = command.commands[words[1]]
        known = {name for param in command.params for name in (*param.opts, *param.secondary_opts)}
        for word in words:
            if word.startswith("--") and word != "--help":
                self.assertIn(word.rstrip(".,;:)").partition("=")[0], known)


class TestLinks(unittest.TestCase):
    """Relative links in the pages have an existing target."""

    def test_relative_links(self) -> None:
        for path in pages():
            for link in re.findall(r"\]\(([^)\s]+)\)", path.read_text("utf-8")):
                if "://" in link:
                    continue
                with self.subTest(page=path.name, link=link):
                    target, _, anchor = link.partition("#")
                    found = (path.parent / target).resolve() if target else path
                    self.assertTrue(found.exists())
                    if anchor:
                        self.assertIn(anchor, anchors(found))


def anchors(path: pathlib.Path) -> list[str]:
    """Return the anchors of a page's headings."""
    titles = re.findall(r"(?m)^#+ (.*)$", path.read_text("utf-8"))
    return [re.sub(r"[^\w -]", "", title).strip().lower().replace(" ", "-") for title in titles]


def pages() -> list[pathlib.Path]:
    """Return the paths of all documentation pages."""
    return [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *(ROOT / "docs").rglob("*.md")]
