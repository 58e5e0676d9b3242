"""Tests of the report on service-level objectives."""

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

# Targets are in seconds.
FIRST = _slo.Objective(metric=_slo.FIRST_OUTPUT, target=0.55)
BETWEEN = _slo.Objective(metric=_slo.BETWEEN_OUTPUTS, target=0.054)


def observed(*points: tuple[float, float, float]) -> _slo.Observations:
    """Return one customer's observations from (time, good, bad) tuples."""
    observations = _slo.Observations()
    for time, good, bad in points:
        observations.add(FIRST.metric, "church", time, good, bad)
    observations.start = points[0][0]
    observations.end = points[-1][0]
    return observations


def snapshot(
    time: float, values: dict[str, list[float]], incarnation: str = "1"
) -> _telemetry.Snapshot:
    """Return a host's snapshot with each customer's times to the first output in seconds."""
    telemetry = _telemetry.Telemetry()
    for customer, latencies in values.items():
        for latency in latencies:
            telemetry.observe(_slo.FIRST_OUTPUT, customer, latency)
    telemetry.count("refused", "overloaded", 3)
    return telemetry.snapshot(_wire.Owner(host="a", incarnation=incarnation), time)


class TestBurn(unittest.TestCase):
    """The burn rate is the share of bad observations divided by the error budget."""

    def test_rate_is_the_share_of_bad_observations_over_the_budget(self) -> None:
        burn = _slo.burn_at(observed((10.0, 80, 20)), FIRST, "church", 60.0, 10.0)
        self.assertAlmostEqual(burn.rate, 4.0)
        self.assertTrue(burn.partial)

    def test_older_observations_are_not_in_the_window(self) -> None:
        observations = observed((0.0, 0, 50), (100.0, 10, 0), (200.0, 10, 10))
        short, long = _slo.burns(observations, [FIRST], [60.0, 150.0])
        self.assertEqual((short.good, short.bad), (10, 10))
        self.assertEqual((long.good, long.bad), (20, 10))
        self.assertFalse(short.partial)

    def test_rate_is_zero_without_observations(self) -> None:
        burn = _slo.burn_at(observed((0.0, 1, 0)), FIRST, "nobody", 60.0, 0.0)
        self.assertEqual(burn.rate, 0.0)

    def test_alert_needs_a_fast_burn_in_both_windows(self) -> None:
        rule = _slo.AlertRule(severity="page", burn=10.0, long=100.0, short=10.0)
        ended = observed((0.0, 1, 0), (50.0, 0, 90), (95.0, 10, 0), (100.0, 10, 0))
        lasting = observed((0.0, 1, 0), (50.0, 0, 90), (95.0, 0, 10), (100.0, 0, 10))
        self.assertEqual(_slo.alerts(ended, [FIRST], [rule]), [])
        self.assertEqual(len(_slo.alerts(lasting, [FIRST], [rule])), 1)


class TestSources(unittest.TestCase):
    """Snapshots and traces give the right numbers of good and bad observations."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def totals(self, *snapshots: _telemetry.Snapshot) -> tuple[float, float]:
        observations = _slo_sources.from_snapshots(snapshots, [FIRST])
        return observations.series[FIRST.metric, "church"].between(0.0, 1e9)

    def test_buckets_give_the_same_counts_as_single_values(self) -> None:
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

    def test_target_between_bucket_limits_takes_the_lower_limit(self) -> None:
        objective = _slo.Objective(metric=_slo.FIRST_OUTPUT, target=0.6)
        one = snapshot(1.0, {"church": [0.5, 0.58]})
        observations = _slo_sources.from_snapshots([one], [objective])
        self.assertEqual(observations.series[FIRST.metric, "church"].between(0.0, 9.0), (1, 1))
        self.assertIn("judged by the bucket limit of 0.55 s", " ".join(observations.notes))

    def test_trace_gives_the_latencies_at_unix_times(self) -> None:
        path = self.folder / "trace.jsonl"
        _scripts.record("answered", path)
        observations = _slo_sources.from_traces([path], [FIRST, BETWEEN])
        self.assertEqual(observations.series[FIRST.metric, "church"].between(0.0, 1e12), (1, 0))
        self.assertEqual(observations.series[BETWEEN.metric, "church"].between(0.0, 1e12), (7, 0))
        self.assertGreater(observations.start, 1e9)

    def test_command_prints_json_and_writes_a_page_that_loads_no_files(self) -> None:
        snapshot_file = self.folder / "kept.jsonl"
        with snapshot_file.open("wb") as file:
            for time, values in ((100.0, [0.1]), (200.0, [0.1, 0.1, 0.9])):
                line = snapshot(time, {"church": values, "<b>": [0.1]})
                file.write(msgspec.json.encode(line) + b"\n")
        page = self.folder / "page.html"
        args = [
            "report",
            "slo",
            str(snapshot_file),
            "--window",
            "5m",
            "--json",
            "--html",
            str(page),
        ]
        done = click.testing.CliRunner().invoke(_cli.main, args)
        self.assertEqual(done.exit_code, 0, done.output)
        report = json.loads(done.output)
        first = report["burns"][0]
        self.assertEqual((first["customer"], first["bad"], first["burn"]), ("church", 1, 10.0))
        tags = Tags()
        tags.feed(page.read_text())
        self.assertEqual(tags.names.count("svg"), 2)
        self.assertFalse({"script", "link", "img", "b"} & set(tags.names))

    def test_text_states_the_number_of_rows_left_out(self) -> None:
        observations = _slo_sources.from_snapshots([snapshot(1.0, {"church": [0.9]})], [FIRST])
        report = _slo_page.report_of(
            observations, _slo.burns(observations, [FIRST], [60.0, 300.0]), []
        )
        text = _slo_page.as_text(report, max_rows=1)
        cells = ["first_output", "church", "1m*", "1", "1", "100.00%", "20.00", "-"]
        self.assertEqual(text.splitlines()[1].split(), cells)
        self.assertIn("1 more rows", text)
        self.assertIn("overloaded 3", text)


class Tags(html.parser.HTMLParser):
    """Collects the names of a page's tags."""

    def __init__(self) -> None:
        super().__init__()
        self.names: list[str] = []

    def handle_starttag(self, tag: str, attrs: object) -> None:
        self.names.append(tag)
