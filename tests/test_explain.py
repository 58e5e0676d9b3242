"""Tests of log lines: their bounds, and the story of a request told from them."""

import json
import os
import sys
import unittest

import click.testing

from wasabiwick import _explain, _logging
from wasabiwick._cli_explain import explain
from wasabiwick._log_sink import BUFFER_BYTES, IMPORTANT, LINES_PER_SECOND, ROUTINE, LogSink
from wasabiwick._logging import format_fields

TIME = "2026-12-04T10:00:0{}.000+0000"


def line(second: int, event: str, **fields: object) -> str:
    """Return a log line."""
    return f"ts={TIME.format(second)} level=INFO event={event} {format_fields(fields)}\n"


LOG = "".join(
    (
        line(0, "listening", host="a"),
        line(3, "refused", request="r1", call="b.1.f1", reason="overloaded", verdict="not_run",
             retry_after=2.5, engines=5, waiting=9, waited=2.8, routes_version=4, list_age=0.3),
        line(1, "place_chosen", request="r1", call="b.1.f1", endpoint="e", zone="z", waited=0.1,
             prompt=10, expected=5),
        line(2, "hold_refused", request="r1", call="b.1.f1", endpoint="e", cause="status 503"),
        line(2, "relayed_failure", request="r2", call="c.1.f1", endpoint="s", status=500),
        line(3, "served", request="r2", call="c.1.f1", waited=0.1, tries=1),
    )
)  # fmt: skip


class TestExplain(unittest.TestCase):
    """From a request's identifier to its cause."""

    def run_on(self, request: str, text: str, *options: str) -> click.testing.Result:
        """Run the command on lines from standard input."""
        return click.testing.CliRunner().invoke(explain, [request, *options], input=text)

    def test_the_story_is_in_order_and_names_the_cause(self) -> None:
        result = self.run_on("r1", LOG)
        self.assertEqual(result.exit_code, 0)
        steps = result.output.splitlines()
        self.assertIn("place was sought", steps[1])
        self.assertIn("gave no place (status 503)", steps[2])
        self.assertIn("What settled it: The request was refused: overloaded", result.output)
        self.assertIn("come back in 2.5 s", result.output)
        self.assertIn("routes of version 4 and endpoints as read 0.3 s before", result.output)

    def test_a_failure_that_was_passed_on_is_the_cause(self) -> None:
        result = self.run_on("r2", LOG, "--json")
        told = json.loads(result.output)
        self.assertIn("itself answered 500", told["cause"])
        self.assertEqual([step["host"] for step in told["steps"]], ["c", "c"])

    def test_a_call_names_its_request_too(self) -> None:
        self.assertEqual(self.run_on("b.1.f1", LOG).exit_code, 0)

    def test_lines_may_stand_behind_something_else(self) -> None:
        text = "".join(f"  12.5 host-a {one}\n" for one in LOG.splitlines())
        self.assertEqual(self.run_on("r1", text).exit_code, 0)

    def test_the_end_of_the_process_is_a_cause(self) -> None:
        """Found on a day that ended with a loss of power: nothing else told what became of it."""
        text = line(1, "sent", request="r3", call="a.1.f1", endpoint="e", routes_version=1)
        text += line(4, "listening", host="b") + line(5, "listening", host="a")
        result = self.run_on("r3", text)
        self.assertIn("The process on a ended without a stop", result.output)
        self.assertIn("another began 4 s after", result.output)

    def test_an_unknown_request_is_an_error(self) -> None:
        result = self.run_on("r9", LOG)
        self.assertEqual(result.exit_code, 1)
        self.assertIn('names request "r9"', result.stderr)

    def test_a_line_cut_short_is_told(self) -> None:
        cut = line(4, "refused", request="r1", call="b.1.f1", cause="it was said to be")
        result = self.run_on("r1", LOG + cut[:-8])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("1 log lines are cut short", result.stderr)

    def test_values_of_any_kind_are_read_back(self) -> None:
        fields = {"a": 'say "x=1 y"', "b": "", "c": "plain", "d": "ü\n", "e": 0.25}
        found = _explain.parse(line(0, "event", **fields))
        self.assertEqual(found.fields, {name: str(value) for name, value in fields.items()})


class TestBounds(unittest.TestCase):
    """Lines never block the process, and are bounded in rate and memory."""

    def setUp(self) -> None:
        self.now = 0.0
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.sink = LogSink(writer, clock=lambda: self.now)

    def test_a_reader_that_has_stopped_stalls_nothing(self) -> None:
        """Ten times the load for a minute, and nobody reads."""
        for second in range(60):
            self.now = float(second)
            for _ in range(4_000):
                self.sink.put(b"x" * 399 + b"\n", ROUTINE)
        self.assertLessEqual(self.sink._size, BUFFER_BYTES)
        self.assertGreater(self.sink.dropped[ROUTINE], 0)

    def test_routine_steps_are_dropped_before_what_matters(self) -> None:
        for _ in range(int(LINES_PER_SECOND * 3)):
            self.sink.put(b"routine\n", ROUTINE)
        dropped = self.sink.dropped[ROUTINE]
        self.assertGreater(dropped, 0)
        for _ in range(int(LINES_PER_SECOND * 0.9)):
            self.sink.put(b"refused\n", IMPORTANT)
        self.assertEqual(self.sink.dropped[IMPORTANT], 0)

    def test_lines_of_the_logging_library_arrive(self) -> None:
        """Found on a bench day: the library took the sink for a stream, and lost every line."""
        _logging.configure("INFO", self.sink)
        self.addCleanup(_logging.configure, "INFO", sys.stdout)
        _logging.log_event("refused", request="r1")
        found = _explain.parse(os.read(self.reader, 65_536).decode())
        self.assertEqual((found.event, found.get("request")), ("refused", "r1"))

    def test_a_rate_within_the_bound_drops_nothing(self) -> None:
        for step in range(1_000):
            self.now = step / 100
            self.sink.put(b"line\n", ROUTINE)
        self.assertEqual(sum(self.sink.dropped.values()), 0)

    def test_lines_come_whole_and_in_order_once_the_reader_reads(self) -> None:
        lines = [f"{number:05d} {'x' * 300}\n".encode() for number in range(700)]
        got = b""
        for number, text in enumerate(lines):
            self.now = number / 100
            self.sink.put(text, IMPORTANT)
        while len(got) < sum(map(len, lines)):
            got += os.read(self.reader, 65_536)
            self.sink.flush()
        self.assertEqual(got, b"".join(lines))

    def test_what_was_dropped_is_told_once(self) -> None:
        for _ in range(2_000):
            self.sink.put(b"routine\n", ROUTINE)
        self.assertEqual(self.sink.take_unreported_count(), self.sink.dropped[ROUTINE])
        self.assertEqual(self.sink.take_unreported_count(), 0)

    def test_a_reader_that_is_gone_ends_nothing(self) -> None:
        reader, writer = os.pipe()
        sink = LogSink(writer, clock=lambda: self.now)
        os.close(reader)
        sink.put(b"line\n", IMPORTANT)
        self.assertEqual(sink.dropped[IMPORTANT], 1)
        os.close(writer)
