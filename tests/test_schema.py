"""Tests of the validation of YAML, of settings files and of the check command."""

import json
import pathlib
import tempfile
import unittest

import click.testing

from wasabiwick import _cli, _fields, _lists, _schema, _settings, _settings_file

GOOD = """\
host: entry-1
zone: zone-a
region: region-1
platform:
  log: http://127.0.0.1:7000
  hosts: http://127.0.0.1:7001
"""


def faults_of(text: str, kind: type = _settings.Settings) -> list[str]:
    found = _schema.read_yaml(text, kind)
    return [str(fault) for fault in found] if isinstance(found, list) else []


class TestReadYaml(unittest.TestCase):
    """A document becomes an object, or each of its faults is reported with line and path."""

    def test_good_file_gives_settings_with_defaults(self) -> None:
        cfg = _schema.read_yaml(GOOD + "timing:\n  prefill: 7\n", _settings.Settings)
        self.assertEqual(cfg.timing.prefill, 7.0)
        self.assertEqual(cfg.timing.heartbeat, _settings.Timing().heartbeat)
        self.assertEqual(cfg.platform.hosts, "http://127.0.0.1:7001")

    def test_every_fault_has_its_line_and_path(self) -> None:
        text = (
            "host: entry-1\n"
            "zoen: a\n"
            "region: 7\n"
            "platform:\n"
            "  log: ftp://x\n"
            "listen:\n"
            "  callers: 127.0.0.1:99999\n"
            "timing:\n"
            "  heartbeat: -1\n"
            "  prefill: soon\n"
            "tls:\n"
            "  certificate: /nowhere/a.pem\n"
            "  key: /nowhere/b.pem\n"
            "  authority: /nowhere/c.pem\n"
            "limits: [1]\n"
            "host: again\n"
        )
        locations = [line.rpartition(": ")[0] for line in faults_of(text)]
        joined = "\n".join(faults_of(text))
        for line, path in (
            (1, "zone: is missing"),
            (2, "zoen: is not known"),
            (3, "region: must be text"),
            (5, "platform.log: must be a URL"),
            (5, "platform.hosts: is missing"),
            (7, "listen.callers: must be an address"),
            (9, "timing.heartbeat: must be a number of seconds above 0"),
            (10, "timing.prefill: must be a number, not 'soon'"),
            (12, "tls.certificate: must be a file that exists"),
            (13, "tls.key"),
            (14, "tls.authority"),
            (15, "limits: must be a mapping, not a list"),
            (16, "host: is given twice"),
        ):
            self.assertIn(f"line {line}: {path}", joined)
        self.assertEqual(len(locations), 13, joined)

    def test_contradicting_fields_are_reported(self) -> None:
        found = faults_of(GOOD + "timing:\n  renew: 3\n  reservation: 2\nonce: {keep: 5}\n")
        self.assertEqual(len(found), 2)
        self.assertIn("line 9: timing.reservation: must be longer than timing.renew", found[0])
        self.assertIn("line 10: once.keep: must be longer than once.horizon", found[1])

    def test_invalid_yaml_wrong_values_and_deep_nesting_are_reported(self) -> None:
        self.assertIn("line 2: not YAML", faults_of("a: 1\nb: ]\n")[0])
        self.assertIn("empty", faults_of("")[0])
        self.assertIn("mapping", faults_of("- 1\n")[0])
        for value in (".nan", ".inf", "true", "null", "[1]"):
            self.assertEqual(len(faults_of(GOOD + f"timing: {{prefill: {value}}}\n")), 1, value)
        self.assertTrue(faults_of("a: " * 2 + "[" * 5_000))

    def test_names_of_models_are_taken_from_the_mapping_keys(self) -> None:
        text = "v1.2-lm:\n  minimum: 2\nother: {fencing: honoured}\n"
        models = _schema.read_yaml(text, dict[str, _lists.ModelTraits])
        self.assertEqual(models["v1.2-lm"].name, "v1.2-lm")
        self.assertEqual(models["v1.2-lm"].minimum, 2)


class TestTextFormats(unittest.TestCase):
    """Malformed addresses and URLs are rejected."""

    def test_addresses(self) -> None:
        for good in ("127.0.0.1:0", "[::1]:80", "host:65535"):
            self.assertTrue(_fields.is_address(good), good)
        for bad in ("127.0.0.1", ":80", "::1:80", "h:-1", "h:65536", "h:٣", ""):
            self.assertFalse(_fields.is_address(bad), bad)

    def test_urls(self) -> None:
        for good in ("http://h", "https://[::1]:8/x"):
            self.assertTrue(_fields.is_url(good), good)
        for bad in ("", "h:80", "http://", "http://h:99999", "http://h?x", "http://[::1"):
            self.assertFalse(_fields.is_url(bad), bad)


class TestCheckCommand(unittest.TestCase):
    """The check command exits with 2 if any file has a fault."""

    def run_check(self, text: str, *args: str) -> click.testing.Result:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "host.yaml")
            path.write_text(text)
            return click.testing.CliRunner().invoke(_cli.main, ["check", str(path), *args])

    def test_exit_code_and_fault_with_file_and_line(self) -> None:
        self.assertEqual(self.run_check(GOOD).exit_code, 0)
        bad = self.run_check(GOOD + "extra: 1\n")
        self.assertEqual(bad.exit_code, 2)
        self.assertIn("host.yaml:7: extra: is not known", bad.output)

    def test_json_output_has_the_line(self) -> None:
        bad = self.run_check(GOOD + "extra: 1\n", "--json")
        self.assertEqual(json.loads(bad.output)[0]["faults"][0]["line"], 7)
        self.assertEqual(bad.exit_code, 2)

    def test_missing_file_is_a_fault(self) -> None:
        found = _settings_file.load_settings("no-such-file.yaml")
        self.assertIn("cannot be read", str(found[0]))

    def test_kinds_of_files_are_recognised_and_both_lists_checked_together(self) -> None:
        plans = "church: {plan: gold, keys: []}\n"
        allowances = "plans: {basic: {models: [lm]}}\nmodels: {}\n"
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder, name) for name in ("one.yaml", "two.yaml", "three.yaml")]
            for path, text in zip(paths, (GOOD, plans, allowances), strict=True):
                path.write_text(text)
            args = ["check", "--json", *map(str, paths)]
            done = click.testing.CliRunner().invoke(_cli.main, args)
        rows = json.loads(done.output)
        self.assertEqual([row["kind"] for row in rows], ["settings", "plans", "allowances"])
        self.assertEqual(rows[1]["faults"][0]["path"], "church.plan")
        self.assertEqual(rows[2]["faults"][0]["path"], "plans.basic.models")
        self.assertEqual(done.exit_code, 2)
