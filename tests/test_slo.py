"""Tests of the service-level report."""

import html.parser
import json
import pathlib
import random
import tempfile
import unittest

import click.testing
import msgspec

from tests import _scripts
from wasabiwick import _cli, _slo, _slo_page, _slo_sources, _telemetry, _wire

FIRST = _slo.Objective(metric=_slo.FIRST_OUTPUT, target=0.55)
BETWEEN = _slo.Objective(metric=_slo.BETWEEN_OUTPUTS, target=0.054)


def observed(*points: tuple[float, float, float]) -> _slo.Observations:
    seen = _slo.Observations()
    for time, good, bad in points:
        seen.add(FIRST.metric, "church", time, good, bad)
    seen.start = points[0][0]
    seen.end = points[-1][0]
    return seen


def snapshot(
    time: float, values: dict[str, list[float]], incarnation: str = "1"
) -> _telemetry.Snapshot:
    telemetry = _telemetry.Telemetry()
    for customer, latencies in values.items():
        for latency in latencies:
            telemetry.observe(_slo.FIRST_OUTPUT, customer, latency)
    telemetry.count("refused", "overloaded", 3)
    return telemetry.snapshot(_wire.Owner(host="a", incarnation=incarnation), time)


class TestBurn(unittest.TestCase):
    """The burn rate is the share of bad observations over the error budget."""

    def test_rate(self) -> None:
        burn = _slo.burn_at(observed((10.0, 80, 20)), FIRST, "church", 60.0, 10.0)
        self.assertAlmostEqual(burn.rate, 4.0)
        self.assertTrue(burn.partial)

    def test_window_leaves_out_what_is_older(self) -> None:
        seen = observed((0.0, 0, 50), (100.0, 10, 0), (200.0, 10, 10))
        short, long = _slo.burns(seen, [FIRST], [60.0, 150.0])
        self.assertEqual((short.good, short.bad), (10, 10))
        self.assertEqual((long.good, long.bad), (20, 10))
        self.assertFalse(short.partial)

    def test_nothing_observed(self) -> None:
        burn = _slo.burn_at(observed((0.0, 1, 0)), FIRST, "nobody", 60.0, 0.0)
        self.assertEqual(burn.rate, 0.0)

    def test_alert_needs_both_windows(self) -> None:
        rule = _slo.AlertRule(severity="page", burn=10.0, long=100.0, short=10.0)
        over = observed((0.0, 1, 0), (50.0, 0, 90), (95.0, 10, 0), (100.0, 10, 0))
        lasting = observed((0.0, 1, 0), (50.0, 0, 90), (95.0, 0, 10), (100.0, 0, 10))
        self.assertEqual(_slo.alerts(over, [FIRST], [rule]), [])
        self.assertEqual(len(_slo.alerts(lasting, [FIRST], [rule])), 1)


class TestSources(unittest.TestCase):
    """Snapshots and traces give the counts of what was observed."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def totals(self, *snapshots: _telemetry.Snapshot) -> tuple[float, float]:
        seen = _slo_sources.from_snapshots(snapshots, [FIRST])
        return seen.series[FIRST.metric, "church"].between(0.0, 1e9)

    def test_buckets_agree_with_single_values(self) -> None:
        rng = random.Random(4)
        values = [rng.expovariate(3.0) for _ in range(500)]
        good = sum(value <= 0.55 for value in values)
        self.assertEqual(self.totals(snapshot(9.0, {"church": values})), (good, 500 - good))

    def test_only_the_increase_between_snapshots_counts(self) -> None:
        before = snapshot(1.0, {"church": [0.1, 0.9]})
        after = snapshot(2.0, {"church": [0.1, 0.9, 0.1, 0.1, 0.9]})
        self.assertEqual(self.totals(before, after), (2, 1))

    def test_restarted_host_counts_from_zero(self) -> None:
        before = snapshot(1.0, {"church": [0.9] * 10})
        after = snapshot(2.0, {"church": [0.1] * 40}, incarnation="2")
        self.assertEqual(self.totals(before, after), (40, 0))

    def test_target_between_buckets_is_judged_strictly(self) -> None:
        objective = _slo.Objective(metric=_slo.FIRST_OUTPUT, target=0.6)
        one = snapshot(1.0, {"church": [0.5, 0.58]})
        seen = _slo_sources.from_snapshots([one], [objective])
        self.assertEqual(seen.series[FIRST.metric, "church"].between(0.0, 9.0), (1, 1))
        self.assertIn("judged by the bucket of 0.55 s", " ".join(seen.notes))

    def test_trace(self) -> None:
        path = self.folder / "trace.jsonl"
        _scripts.record("answered", path)
        seen = _slo_sources.from_traces([path], [FIRST, BETWEEN])
        self.assertEqual(seen.series[FIRST.metric, "church"].between(0.0, 1e12), (1, 0))
        self.assertEqual(seen.series[BETWEEN.metric, "church"].between(0.0, 1e12), (7, 0))
        self.assertGreater(seen.start, 1e9)

    def test_command_prints_json_and_a_page_that_loads_nothing(self) -> None:
        kept = self.folder / "kept.jsonl"
        with kept.open("wb") as file:
            for time, values in ((100.0, [0.1]), (200.0, [0.1, 0.1, 0.9])):
                line = snapshot(time, {"church": values, "<b>": [0.1]})
                file.write(msgspec.json.encode(line) + b"\n")
        page = self.folder / "page.html"
        args = ["report", "slo", str(kept), "--window", "5m", "--json", "--html", str(page)]
        done = click.testing.CliRunner().invoke(_cli.main, args)
        self.assertEqual(done.exit_code, 0, done.output)
        report = json.loads(done.output)
        first = report["burns"][0]
        self.assertEqual((first["customer"], first["bad"], first["burn"]), ("church", 1, 10.0))
        tags = Tags()
        tags.feed(page.read_text())
        self.assertEqual(tags.names.count("svg"), 2)
        self.assertFalse({"script", "link", "img", "b"} & set(tags.names))

    def test_text_names_what_is_left_out(self) -> None:
        seen = _slo_sources.from_snapshots([snapshot(1.0, {"church": [0.9]})], [FIRST])
        report = _slo_page.report_of(seen, _slo.burns(seen, [FIRST], [60.0, 300.0]), [])
        text = _slo_page.as_text(report, most=1)
        cells = ["first_output", "church", "1m*", "1", "1", "100.00%", "20.00", "-"]
        self.assertEqual(text.splitlines()[1].split(), cells)
        self.assertIn("1 more lines", text)
        self.assertIn("overloaded 3", text)


class Tags(html.parser.HTMLParser):
    """Names of a page's tags."""

    def __init__(self) -> None:
        super().__init__()
        self.names: list[str] = []

    def handle_starttag(self, tag: str, attrs: object) -> None:
        self.names.append(tag)
