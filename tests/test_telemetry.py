"""Tests of counters and latency histograms, and of how they are exported."""

import re
import unittest

import msgspec

from tests.support import make_settings
from wasabiwick import State, _telemetry, _wire

OWNER = _wire.Owner(host="a", incarnation="1")


class TestTelemetry(unittest.TestCase):
    """Metrics hold sums over customers; the snapshot holds each customer's values."""

    def setUp(self) -> None:
        self.telemetry = _telemetry.Telemetry()
        self.state = State(make_settings())

    def text(self) -> str:
        return self.telemetry.text((), self.state)[0].decode()

    def value(self, sample: str) -> float:
        found = re.findall(rf"(?m)^{re.escape(sample)} (\S+)$", self.text())
        self.assertEqual(len(found), 1, sample)
        return float(found[0])

    def test_histogram_counts_each_value_once(self) -> None:
        for customer, value in (("x", 0.054), ("y", 0.0541), ("y", 99.0)):
            self.telemetry.observe("between_outputs", customer, value)
        name = "wasabiwick_between_outputs_seconds"
        self.assertEqual(self.value(f'{name}_bucket{{label="",le="0.054"}}'), 1)
        self.assertEqual(self.value(f'{name}_bucket{{label="",le="0.07"}}'), 2)
        self.assertEqual(self.value(f'{name}_bucket{{label="",le="12.0"}}'), 2)
        self.assertEqual(self.value(f'{name}_bucket{{label="",le="+Inf"}}'), 3)
        self.assertEqual(self.value(f'{name}_count{{label=""}}'), 3)
        self.assertAlmostEqual(self.value(f'{name}_sum{{label=""}}'), 99.1081)

    def test_counters_by_customer_are_summed_and_others_are_not(self) -> None:
        for label in ("x", "y", "y"):
            self.telemetry.count("output_tokens", label, 5)
            self.telemetry.count("refused", label, 1)
        self.assertEqual(self.value('wasabiwick_output_tokens_total{label=""}'), 15)
        self.assertEqual(self.value('wasabiwick_refused_total{label="y"}'), 2)

    def test_gauge_is_read_from_the_state(self) -> None:
        self.state.stopping = True
        self.assertEqual(self.value('wasabiwick_stopping{label=""}'), 1)

    def test_snapshot_is_unchanged_after_json(self) -> None:
        self.telemetry.observe("first_output", "x", 0.55)
        self.telemetry.count("goodput_tokens", "x", 7)
        self.telemetry.count("refused", "overloaded", 1)
        made = self.telemetry.snapshot(OWNER, 5.0)
        found = msgspec.json.decode(msgspec.json.encode(made), type=_telemetry.Snapshot)
        self.assertEqual(found, made)
        buckets = found.latencies["first_output"]["x"]
        self.assertEqual(buckets[found.limits.index(0.55)], 1)
        self.assertEqual(sum(buckets), 1)
        self.assertEqual(found.counts["goodput_tokens"], {"x": 7})
        self.assertEqual(found.refused, {"overloaded": 1})

    def test_text_does_not_grow_with_customers(self) -> None:
        self.telemetry.observe("first_output", "0", 0.1)
        before = self.text().count("\n")
        for number in range(100):
            self.telemetry.observe("first_output", str(number), 0.1)
        self.assertEqual(self.text().count("\n"), before)
