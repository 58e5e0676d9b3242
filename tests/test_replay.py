"""Tests of recorded traces and their replay."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

import aiohttp
import click.testing
import msgspec
from loguru import logger

from tests import _scripts
from wasabiwick import _cli, _daemon, _effects, _events, _replay, _settings, _trace


class TraceTest(unittest.TestCase):
    """Base class with the path of a trace in a temporary folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "trace.jsonl")

    def rewrite(self, change: object) -> None:
        """Let a function change the decoded lines of the trace, and write them back."""
        lines = [json.loads(line) for line in self.path.read_text().splitlines()]
        change(lines)
        self.path.write_text("".join(json.dumps(line) + "\n" for line in lines))

    def run_replay(self, *args: str) -> click.testing.Result:
        return click.testing.CliRunner().invoke(_cli.main, ["replay", str(self.path), *args])


class TestRecordedScripts(TraceTest):
    """Each kind of outcome is recorded, and its replay gives the same effects and outcomes."""

    def test_each_script_replays_without_a_difference(self) -> None:
        for name in _scripts.SCRIPTS:
            with self.subTest(name):
                stated = _scripts.record(name, self.path)
                result = _replay.replay(self.path)
                self.assertIsNone(result.difference)
                self.assertEqual(result.confirmed, len(stated))

    def test_other_hash_seed_gives_the_same_effects(self) -> None:
        for seed in ("1", "2"):
            _scripts.record("adopted", self.path)
            env = {**os.environ, "PYTHONHASHSEED": seed}
            command = [sys.executable, "-m", "wasabiwick", "replay", str(self.path)]
            done = subprocess.run(command, env=env, capture_output=True, text=True, timeout=60)
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)


class TestShippedTraces(unittest.TestCase):
    """The reducer still gives the effects in the committed traces, metrics and log lines aside."""

    def test_each_trace(self) -> None:
        paths = sorted(_scripts.TRACES_DIR.glob("*.jsonl"))
        self.assertEqual({path.stem for path in paths}, set(_scripts.SCRIPTS))
        for path in paths:
            with self.subTest(path.name):
                result = _replay.replay(path, metrics=False)
                self.assertIsNone(result.difference, "if this is meant: `make traces`")
                self.assertGreater(result.confirmed, 0)
                self.assertFalse(result.cut)


class TestDifferences(TraceTest):
    """The command names the first difference with its line and exits with 1.

    A file that is no trace gives exit code 2.
    """

    def setUp(self) -> None:
        super().setUp()
        _scripts.record("resumed", self.path)

    def test_changed_effect_is_named_with_its_line(self) -> None:
        def change(lines: list) -> None:
            at, entry = next(
                (number, one)
                for number, one in enumerate(lines, start=1)
                if any(e["record"] == "StartDecode" for e in one.get("effects", ()))
            )
            self.line = at
            decode = next(e for e in entry["effects"] if e["record"] == "StartDecode")
            decode["max_tokens"] = 9

        self.rewrite(change)
        done = self.run_replay()
        self.assertEqual(done.exit_code, 1)
        self.assertIn(f"line {self.line}: effect", done.output)
        self.assertIn("max_tokens=9", done.output)

    def test_changed_metric_is_a_difference_unless_metrics_are_left_out(self) -> None:
        def change(lines: list) -> None:
            for one in lines:
                for effect in one.get("effects", ()):
                    if effect["record"] == "Count":
                        effect["amount"] = 77

        self.rewrite(change)
        self.assertEqual(self.run_replay().exit_code, 1)
        self.assertEqual(self.run_replay("--no-metrics").exit_code, 0)

    def test_outcome_that_is_not_as_stated_is_a_difference(self) -> None:
        def change(lines: list) -> None:
            lines[-1]["result"] = "refused"

        self.rewrite(change)
        done = self.run_replay("--json")
        self.assertEqual(done.exit_code, 1)
        self.assertIn("stated is 'refused'", json.loads(done.output)["difference"]["text"])

    def test_stated_call_that_never_arrived_is_a_difference(self) -> None:
        def change(lines: list) -> None:
            lines[-1]["call_id"] = "c9"

        self.rewrite(change)
        self.assertIn('call "c9" never arrived', self.run_replay().output)

    def test_file_without_a_header_is_unreadable(self) -> None:
        self.path.write_text("{}\n")
        self.assertEqual(self.run_replay().exit_code, 2)

    def test_event_with_unknown_fields_is_a_difference(self) -> None:
        def change(lines: list) -> None:
            lines[1]["event"]["extra"] = 1

        self.rewrite(change)
        self.assertIn("other fields in this version", self.run_replay().output)


class TestTraceWriter(TraceTest):
    """Recording stops at the size limit, and a trace that was cut off replays up to the cut."""

    def write(self, limit: int, events: int) -> None:
        platform = _settings.Platform(log="http://127.0.0.1:1", hosts="http://127.0.0.1:2")
        cfg = _settings.Settings(host="a", zone="z", region="r", platform=platform)
        writer = _trace.TraceWriter(self.path, cfg, limit_bytes=limit)
        effects = [_effects.FetchHostList()]
        for number in range(events):
            event = _events.TimerFired(at=float(number), timer="host_list")
            writer.record(event, effects)
        writer.close()

    def test_recording_stops_at_the_size_limit(self) -> None:
        self.write(limit=3_000, events=1_000)
        self.assertLess(self.path.stat().st_size, 3_100)
        result = _replay.replay(self.path)
        self.assertTrue(result.cut)
        self.assertIsNone(result.difference)
        self.assertGreater(result.events, 5)

    def test_incomplete_last_line_is_left_out(self) -> None:
        self.write(limit=0, events=3)
        self.path.write_bytes(self.path.read_bytes()[:-10])
        result = _replay.replay(self.path)
        self.assertTrue(result.cut)
        self.assertEqual(result.events, 2)

    def test_settings_are_read_back_from_the_header(self) -> None:
        platform = _settings.Platform(log="http://127.0.0.1:1", hosts="http://127.0.0.1:2")
        cfg = _settings.Settings(
            host="a",
            zone="z",
            region="r",
            platform=platform,
            timing=_settings.Timing(prefill=7.0),
            publishers={"k": "00"},
        )
        _trace.TraceWriter(self.path, cfg).close()
        found = _trace.Trace(self.path).settings
        self.assertEqual(found.timing.prefill, 7.0)
        self.assertEqual(found.publishers, {"k": "00"})
        self.assertEqual(found.platform.log, "http://127.0.0.1:1")
        self.assertIsNone(found.tls)

    def test_first_line_is_the_header(self) -> None:
        self.write(limit=0, events=0)
        self.assertEqual(msgspec.json.decode(self.path.read_bytes())["line"], "header")


class TestRecordedDaemon(TraceTest, unittest.IsolatedAsyncioTestCase):
    """The trace of a running daemon replays without a difference."""

    async def test_refused_call_of_a_daemon_without_configuration(self) -> None:
        logger.remove()
        platform = _settings.Platform(log="http://127.0.0.1:9", hosts="http://127.0.0.1:9")
        cfg = _settings.Settings(
            host="a", zone="z", region="r", platform=platform, trace=str(self.path)
        )
        daemon = _daemon.Daemon(cfg=cfg)
        await daemon.start()
        async with aiohttp.ClientSession() as session:
            url = daemon.callers_url + "/v1/completions"
            headers = {"Authorization": "Bearer k"}
            body = {"model": "lm", "prompt": "Hello"}
            async with session.post(url, json=body, headers=headers) as resp:
                self.assertEqual(resp.status, 503)
        await daemon.stop()
        result = _replay.replay(self.path)
        self.assertIsNone(result.difference)
        refused = [one for one in result.outcomes.calls.values() if one.result == "refused"]
        self.assertEqual([one.reason for one in refused], ["no_configuration"])
