"""Tests of module boundaries: platform names, imports, and the order of handlers."""

import ast
import pathlib
import re
import subprocess
import sys
import unittest

import wasabiwick
from wasabiwick import _events, _handlers, _reducer

assert _handlers  # Imported to register the handlers.

SOURCES = pathlib.Path(wasabiwick.__file__).parent
PLATFORM_DIR = SOURCES / "platform"
MAX_PLATFORM_LINES = 1_500  # The users ask that the ``platform`` folder be small.
# Names of the platform's interfaces, and its words for things that the project calls otherwise.
PLATFORM_NAMES = re.compile(
    r"x-wasabiwick|\bkeyed\.|log-append|log-newest|log-read|hold-take|hold-drop|kv-handle|kv-source"
    r"|kv-hold|v1/readyz|expect.instance|fencing-token|tenant|back end|boot\.toml"
    r"|WASABIWICK_CONFIG",
    re.IGNORECASE,
)
# Packages, and modules of the project, that a daemon must not import.
UNWANTED_PACKAGES = ("matplotlib", "numpy", "cryptography", "uvloop", "hdrh")
UNWANTED_MODULE_PREFIXES = (
    "_bench",
    "_capacity",
    "_demo",
    "_fuzz",
    "_load",
    "_model",
    "_standins",
    "_slo",
)


class TestPlatformFolder(unittest.TestCase):
    """Names that the platform defines occur only in the ``platform`` folder."""

    def test_no_platform_name_outside_the_folder(self) -> None:
        found = []
        for path in sorted(SOURCES.rglob("*.py")):
            relative = path.relative_to(SOURCES).as_posix()
            if PLATFORM_DIR in path.parents:
                continue
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                if PLATFORM_NAMES.search(line):
                    found.append(f"{relative}:{number}: {line.strip()}")
        self.assertEqual(found, [])

    def test_the_folder_stays_small(self) -> None:
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in PLATFORM_DIR.glob("*.py")
        )
        self.assertLess(lines, MAX_PLATFORM_LINES)

    def test_the_folder_takes_no_decisions(self) -> None:
        """The folder imports no handler, state or reducer, so it can't take part in a decision."""
        for path in PLATFORM_DIR.glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom) and node.level == 2:
                    top = (node.module or "").partition(".")[0]
                    self.assertNotIn(top, ("_handlers", "_state", "_reducer"), path.name)

    def test_the_folder_does_not_shadow_the_standard_library(self) -> None:
        import platform

        self.assertFalse(str(platform.__file__).startswith(str(SOURCES)))


class TestImports(unittest.TestCase):
    """A daemon imports only what it needs; other modules cost start-up time and memory."""

    def test_daemon_imports_no_unwanted_module(self) -> None:
        code = "import sys, wasabiwick._cli, wasabiwick._cli_run, wasabiwick.platform"
        code += "; print(*sys.modules)"
        run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(run.returncode, 0, run.stderr)
        names = run.stdout.split()
        tops = {name.partition(".")[0] for name in names}
        self.assertEqual(tops & set(UNWANTED_PACKAGES), set())
        own = {name.split(".")[1] for name in names if name.startswith("wasabiwick.")}
        self.assertEqual({name for name in own if name.startswith(UNWANTED_MODULE_PREFIXES)}, set())


def imports_by_module() -> dict[str, set[str]]:
    """Return, for each module of the package, the package's modules that it imports."""
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


class TestImportCycles(unittest.TestCase):
    """No modules import each other in a cycle, not even for type annotations."""

    def test_no_cycle(self) -> None:
        remaining = imports_by_module()
        self.assertGreater(len(remaining), 100)
        while leaves := [
            name for name, needed in remaining.items() if not needed & remaining.keys()
        ]:
            for name in leaves:
                del remaining[name]
        self.assertEqual(sorted(remaining), [])


class TestHandlerOrder(unittest.TestCase):
    """The ``generation`` handlers get an event before the ledgers' and measures' handlers.

    The latter read state that the former change. When generations came after the ledgers, the
    benchmark lost 1.6% of its goodput.
    """

    def handler_modules(self, event: type) -> list[str]:
        """Return the modules whose handlers get an event, in order."""
        return [one.__module__.rpartition(".")[2] for one in _reducer.handlers_of(event)]

    def test_generations_run_before_ledgers_and_measures(self) -> None:
        self.assertEqual(
            self.handler_modules(_events.StreamProgress),
            ["generation", "slots_progress", "measures"],
        )
        self.assertEqual(
            self.handler_modules(_events.StreamEnded), ["generation", "admission", "measures"]
        )
        self.assertEqual(
            self.handler_modules(_events.PrefillDone), ["generation", "slots_progress", "measures"]
        )
        self.assertEqual(self.handler_modules(_events.CallerGone)[:2], ["generation", "calls"])
        self.assertEqual(
            self.handler_modules(_events.AttemptFailed)[1:3], ["cancels", "generation"]
        )


class TestModuleAttributes(unittest.TestCase):
    """Attributes of other modules that handlers use exist, which the linter does not check."""

    def test_attributes_used_by_handlers_exist(self) -> None:
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
