"""Tests of what may be known where: the platform's names, and what a daemon imports."""

import ast
import pathlib
import re
import subprocess
import sys
import unittest

import wasabiwick
from wasabiwick import _events, _handlers, _reducer

assert _handlers  # Imported for its registrations.

SOURCES = pathlib.Path(wasabiwick.__file__).parent
FOLDER = SOURCES / "platform"
MOST_LINES = 1_500  # Of the folder, as the users' letter asks for a small one.
FOREIGN = re.compile(
    r"x-wasabiwick|\bkeyed\.|log-append|log-newest|log-read|hold-take|hold-drop|kv-handle|kv-source"
    r"|kv-hold|v1/readyz|expect.instance|fencing-token|tenant|back end|boot\.toml"
    r"|WASABIWICK_CONFIG",
    re.IGNORECASE,
)
UNWANTED = ("matplotlib", "numpy", "cryptography", "uvloop", "hdrh")
UNWANTED_OWN = ("_bench", "_capacity", "_demo", "_fuzz", "_load", "_model", "_standins", "_slo")


class TestNames(unittest.TestCase):
    """Outside its folder nothing knows the platform's names."""

    def test_no_name_stands_outside(self) -> None:
        found = []
        for path in sorted(SOURCES.rglob("*.py")):
            place = path.relative_to(SOURCES).as_posix()
            if FOLDER in path.parents:
                continue
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                if FOREIGN.search(line):
                    found.append(f"{place}:{number}: {line.strip()}")
        self.assertEqual(found, [])

    def test_the_folder_is_small(self) -> None:
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in FOLDER.glob("*.py")
        )
        self.assertLess(lines, MOST_LINES)

    def test_the_folder_decides_nothing(self) -> None:
        """It imports no handler, no state and no reducer, so it can't take part in a decision."""
        for path in FOLDER.glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom) and node.level == 2:
                    top = (node.module or "").partition(".")[0]
                    self.assertNotIn(top, ("_handlers", "_state", "_reducer"), path.name)

    def test_it_does_not_hide_the_library_of_its_name(self) -> None:
        import platform

        self.assertFalse(str(platform.__file__).startswith(str(SOURCES)))


class TestImports(unittest.TestCase):
    """A daemon imports what it needs: starting and memory are paid for."""

    def test_a_host_on_the_platform(self) -> None:
        code = "import sys, wasabiwick._cli, wasabiwick._cli_run, wasabiwick.platform"
        code += "; print(*sys.modules)"
        run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(run.returncode, 0, run.stderr)
        names = run.stdout.split()
        tops = {name.partition(".")[0] for name in names}
        self.assertEqual(tops & set(UNWANTED), set())
        own = {name.split(".")[1] for name in names if name.startswith("wasabiwick.")}
        self.assertEqual({name for name in own if name.startswith(UNWANTED_OWN)}, set())


def imports() -> dict[str, set[str]]:
    """Return, for each module of the package, the modules of it that it imports."""
    names = {}
    for path in SOURCES.rglob("*.py"):
        parts = path.relative_to(SOURCES).with_suffix("").parts
        names[parts[:-1] if parts[-1] == "__init__" else parts] = path
    found: dict[str, set[str]] = {}
    for name, path in names.items():
        package = name if path.name == "__init__.py" else name[:-1]
        targets = set()
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.ImportFrom) or not node.level:
                continue
            base = package[: len(package) - node.level + 1]
            base += tuple(node.module.split(".")) if node.module else ()
            for one in node.names:
                targets.add((*base, one.name) if (*base, one.name) in names else base)
        found[".".join(name)] = {".".join(one) for one in targets if one in names and one != name}
    return found


class TestCircles(unittest.TestCase):
    """No modules import one another in a circle, for types neither."""

    def test_none(self) -> None:
        left = imports()
        self.assertGreater(len(left), 100)
        while free := [name for name, needed in left.items() if not needed & left.keys()]:
            for name in free:
                del left[name]
        self.assertEqual(sorted(left), [])


class TestOrderOfHandlers(unittest.TestCase):
    """A generation sees an event before the ledgers and measures do, which read what it changed.

    Found by the bench: when generations came after the ledgers, 1.6% of the goodput was lost.
    """

    def order(self, event: type) -> list[str]:
        """Return the modules whose handlers see an event, in their order."""
        return [one.__module__.rpartition(".")[2] for one in _reducer.handlers_of(event)]

    def test_generations_come_first(self) -> None:
        self.assertEqual(
            self.order(_events.StreamProgress), ["generation", "slots_progress", "measures"]
        )
        self.assertEqual(self.order(_events.StreamEnded), ["generation", "admission", "measures"])
        self.assertEqual(
            self.order(_events.PrefillDone), ["generation", "slots_progress", "measures"]
        )
        self.assertEqual(self.order(_events.CallerGone)[:2], ["generation", "calls"])
        self.assertEqual(self.order(_events.AttemptFailed)[1:3], ["cancels", "generation"])


class TestHandlers(unittest.TestCase):
    """Handlers take from each other only what exists; the linter does not see that."""

    def test_attributes_of_modules(self) -> None:
        import importlib

        for path in sorted((SOURCES / "_handlers").glob("*.py")):
            module = importlib.import_module(f"wasabiwick._handlers.{path.stem}")
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                    used = getattr(module, node.value.id, None)
                    if type(used) is type(unittest):
                        self.assertTrue(
                            hasattr(used, node.attr),
                            f"{path.name}:{node.lineno}: {node.value.id}.{node.attr}",
                        )
