"""Tests of the check of a configuration before it is sent."""

import copy
import json
import pathlib
import tempfile
import typing
import unittest

import click.testing

from wasabiwick import _cli
from wasabiwick._caller_keys import digest
from wasabiwick._routes_check import check_routes, compare_routes
from wasabiwick._routes_reading import read_configuration
from wasabiwick.platform import ENTRIES

SOUND: dict[str, typing.Any] = {
    "version": 7,
    "routes": [
        {
            "name": "read",
            "host": "x.example",
            "path-prefix": "/read/",
            "type": "stream",
            "timeout-ms": 14000,
            "target-latency-ms": 800,
            "max-attempts": 2,
            "resumable": True,
            "service": "engines",
        },
        {
            "name": "all",
            "host": "x.example",
            "path-prefix": "/",
            "type": "safe",
            "timeout-ms": 3000,
            "target-latency-ms": 300,
            "max-attempts": 2,
            "split": [{"service": "app", "weight": 3}, {"service": "engines", "weight": 1}],
        },
    ],
    "services": [
        {
            "name": "engines",
            "max-connections": 400,
            "engine": {"slots": 12, "kv-capacity-tokens": 30000},
        },
        {"name": "app", "max-connections": 400},
    ],
    "tenants": [
        {
            "name": "one",
            "api-keys": ["k1", "k2"],
            "unit": "token_stream",
            "plain-tokens": 200,
            "rate-per-s": 1000,
            "burst": 1000,
        },
        {"name": "two", "api-keys": ["k3"], "rate-per-s": 2, "burst": 1},
    ],
    "limits": {"max-header-bytes": 16384},
}


def changed(path: str, value: object) -> dict[str, typing.Any]:
    """Return the sound configuration with one value replaced, named as ``routes.0.name``."""
    configuration = copy.deepcopy(SOUND)
    *steps, last = path.split(".")
    entry: typing.Any = configuration
    for step in steps:
        entry = entry[int(step)] if step.isdigit() else entry[step]
    entry[last] = value
    return configuration


def findings(configuration: dict[str, typing.Any]) -> list[str]:
    """Return what is wrong with a configuration, as ``place: text``."""
    table, faults = read_configuration(json.dumps(configuration).encode(), ENTRIES)
    return [f"{one.place}: {one.text}" for one in faults + check_routes(table)]


class TestFaults(unittest.TestCase):
    """Each fault is named with its entry, and the other entries are checked all the same."""

    def check(self, path: str, value: object, expected: str) -> None:
        found = findings(changed(path, value))
        self.assertTrue(any(expected in one for one in found), found)

    def test_sound_configuration_has_none(self) -> None:
        self.assertEqual(findings(SOUND), [])

    def test_entries_that_cannot_be_read(self) -> None:
        self.check("routes.0.type", "wave", "routes[0] read: Invalid enum value 'wave'")
        self.check("services.1.max-connections", "many", "services[1] app: Expected `int`")
        self.check("tenants.0.api-keys", 5, "tenants[0] one: Expected `array`")
        self.check("version", "7", "version: is no whole number")
        self.check("routes", 5, "routes: is no list")

    def test_one_unreadable_entry_hides_no_other_fault(self) -> None:
        configuration = changed("routes.0.type", "wave")
        configuration["routes"][1]["max-attempts"] = 0
        found = findings(configuration)
        self.assertTrue(any(one.startswith("routes[0] read") for one in found), found)
        self.assertIn("route all: 0 attempts let no request be sent", found)

    def test_routes_that_never_match(self) -> None:
        self.check("routes.1.path-prefix", "/read/", "route all: never matches: route read")
        self.check("routes.0.host", "X.example", "route read: never matches")
        self.check("routes.0.host", "x.example:80", "route read: never matches")
        self.check("routes.0.path-prefix", "/read", "has to begin and end with a slash")

    def test_longer_prefix_does_not_hide_a_shorter_one(self) -> None:
        self.assertEqual(findings(changed("routes.1.path-prefix", "/read/more/")), [])

    def test_services(self) -> None:
        self.check("routes.0.service", "gone", "route read: service 'gone' is not listed")
        self.check("routes.1.split", [], "route all: names no service")
        split = [{"service": "engines", "weight": 1}]
        self.check("routes.1.split", split, "service app: never gets a request")

    def test_names_twice(self) -> None:
        self.check("routes.1.name", "read", "route read: is named 2 times")
        self.check("tenants.1.name", "one", "organisation one: is named 2 times")

    def test_limits_that_contradict_each_other(self) -> None:
        self.check("routes.0.target-latency-ms", 15000, "lies beyond its time-out")
        self.check("routes.0.timeout-ms", 0, "lets no request be served")
        self.check("routes.0.max-attempts", 1, "resumable with one attempt only")
        self.check("routes.1.resumable", True, "which a route of kind safe never is")
        self.check("services.0.max-connections", 4, "4 connections can't fill 12 slots")
        self.check("tenants.0.burst", 100, "burst of 100 tokens is less than one request takes")
        self.check("tenants.1.burst", 0, "burst of 0 requests is less than one request takes")
        self.check("tenants.0.priority", -1, "organisation one: its priority -1 is below 0")

    def test_keys(self) -> None:
        self.check("tenants.1.api-keys", [], "organisation two: has no key")
        self.check("tenants.1.api-keys", ["k1"], "shares key")
        for text in findings(changed("tenants.1.api-keys", ["k1"])):
            self.assertNotIn("k1", text.replace(digest(b"k1")[:8], ""))


class TestComparison(unittest.TestCase):
    """What a version changes is listed entry by entry; a version that is not newer is a fault."""

    def compare(self, new: dict[str, typing.Any]) -> list[str]:
        tables = [read_configuration(json.dumps(one).encode(), ENTRIES)[0] for one in (SOUND, new)]
        return [f"{one.place}: {one.text}" for one in compare_routes(*tables)]

    def test_same_version_is_never_put_in_force(self) -> None:
        self.assertEqual(
            self.compare(SOUND), ["version: 7 is never put in force: hosts have version 7"]
        )

    def test_changes(self) -> None:
        new = changed("version", 8)
        new["routes"][0]["timeout-ms"] = 9000
        del new["routes"][1]
        new["services"].append({"name": "more"})
        new["tenants"][0]["rate-per-s"] = 500
        new["tenants"][1]["api-keys"] = ["k4"]
        self.assertEqual(
            self.compare(new),
            [
                "route all: is dropped",
                "route read: timeout: 14.0 -> 9.0",
                "service more: is new",
                "organisation one: limit.rate: 1000.0 -> 500.0",
                f"organisation two: keys taken away: {digest(b'k3')[:8]}",
                f"organisation two: keys added: {digest(b'k4')[:8]}",
            ],
        )

    def test_organisations_named_for_the_first_time(self) -> None:
        old = {key: value for key, value in SOUND.items() if key != "tenants"}
        tables = [read_configuration(json.dumps(one).encode(), ENTRIES)[0] for one in (old, SOUND)]
        found = [one.text for one in compare_routes(*tables)]
        self.assertIn("callers need a key from now on", found)


class TestCommand(unittest.TestCase):
    """``wasabiwick check`` exits with 2 for a fault, and with 0 if there are only changes."""

    def run_check(self, *configurations: object) -> click.testing.Result:
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder, f"{number}.json") for number in range(2)]
            for path, value in zip(paths, configurations, strict=False):
                path.write_text(value if isinstance(value, str) else json.dumps(value))
            args = ["check", str(paths[0])]
            if len(configurations) > 1:
                args += ["--in-force", str(paths[1])]
            return click.testing.CliRunner().invoke(_cli.main, args)

    def test_exit_codes(self) -> None:
        self.assertEqual(self.run_check(SOUND).exit_code, 0)
        self.assertEqual(self.run_check(changed("version", 8), SOUND).exit_code, 0)
        self.assertEqual(self.run_check(SOUND, SOUND).exit_code, 2)
        self.assertEqual(self.run_check(changed("routes.0.max-attempts", 0)).exit_code, 2)

    def test_files_that_hold_no_configuration(self) -> None:
        for text in ("", "[1]", "{", "[" * 5_000):
            done = self.run_check(text)
            self.assertEqual(done.exit_code, 2, text[:20])
            self.assertIn("is no configuration", done.output)

    def test_changes_are_printed(self) -> None:
        new = changed("version", 8)
        new["routes"][0]["priority"] = 3
        self.assertIn("route read: priority: 0 -> 3", self.run_check(new, SOUND).output)
