"""Tests of log lines: limits on their rate and memory, and a request's history read from them."""

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
    """Return a log line of an event in the second ``second`` of a minute."""
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


# The clock of the host that the call was passed to is ahead.
PASSED = "".join(
    (
        line(1, "passed_on", request="r3", call="a.1.f7", host="b", tries=1, heard_ago=0.2),
        line(5, "refused", request="r3", call="b.1.h2", reason="stopping", verdict="not_run",
             retry_after=0.1, waited=0.0),
        line(2, "passed_on", request="r3", call="a.1.f7", host="c", tries=2, heard_ago=0.1),
        line(3, "served", request="r3", call="a.1.f7", waited=0.2, tries=2),
    )
)  # fmt: skip


class TestExplain(unittest.TestCase):
    """An operator finds a request's outcome and its cause by the request's identifier."""

    def test_answer_of_another_host_is_not_taken_for_the_callers(self) -> None:
        result = self.run_on("r3", PASSED)
        self.assertIn("went through host c", result.output)
        self.assertIn("The whole answer was written", result.output.splitlines()[-1])

    def run_on(self, request: str, text: str, *options: str) -> click.testing.Result:
        """Run the command on lines from standard input."""
        return click.testing.CliRunner().invoke(explain, [request, *options], input=text)

    def test_steps_are_in_order_of_time_and_the_cause_is_named(self) -> None:
        result = self.run_on("r1", LOG)
        self.assertEqual(result.exit_code, 0)
        steps = result.output.splitlines()
        self.assertIn("Engine e (zone z) was chosen", steps[1])
        self.assertIn("refused the reservation (status 503)", steps[2])
        self.assertIn("Cause: The request was refused: overloaded", result.output)
        self.assertIn("retry after 2.5 s", result.output)
        self.assertIn("routes version 4 and an endpoint list read 0.3 s before", result.output)

    def test_a_failure_passed_on_to_the_caller_is_the_cause(self) -> None:
        result = self.run_on("r2", LOG, "--json")
        explained = json.loads(result.output)
        self.assertIn("itself answered 500", explained["cause"])
        self.assertEqual([step["host"] for step in explained["steps"]], ["c", "c"])

    def test_a_request_is_found_by_its_call(self) -> None:
        self.assertEqual(self.run_on("b.1.f1", LOG).exit_code, 0)

    def test_text_before_the_timestamp_is_ignored(self) -> None:
        text = "".join(f"  12.5 host-a {one}\n" for one in LOG.splitlines())
        self.assertEqual(self.run_on("r1", text).exit_code, 0)

    def test_end_of_the_process_without_a_shutdown_is_the_cause(self) -> None:
        """A host that loses power logs no outcome; only the next start shows what happened."""
        text = line(1, "sent", request="r3", call="a.1.f1", endpoint="e", routes_version=1)
        text += line(4, "listening", host="b") + line(5, "listening", host="a")
        result = self.run_on("r3", text)
        self.assertIn("The process on a ended without a shutdown", result.output)
        self.assertIn("another started 4 s after", result.output)

    def test_an_unknown_request_is_an_error(self) -> None:
        result = self.run_on("r9", LOG)
        self.assertEqual(result.exit_code, 1)
        self.assertIn('names request "r9"', result.stderr)

    def test_a_line_cut_short_is_reported(self) -> None:
        cut = line(4, "refused", request="r1", call="b.1.f1", cause="it was said to be")
        result = self.run_on("r1", LOG + cut[:-8])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("1 log lines are cut short", result.stderr)

    def test_values_of_any_kind_are_parsed_back(self) -> None:
        fields = {"a": 'say "x=1 y"', "b": "", "c": "plain", "d": "ü\n", "e": 0.25}
        found = _explain.parse(line(0, "event", **fields))
        self.assertEqual(found.fields, {name: str(value) for name, value in fields.items()})


class TestBounds(unittest.TestCase):
    """Writing log lines never blocks the process; their rate and buffer are limited."""

    def setUp(self) -> None:
        self.now = 0.0
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.sink = LogSink(writer, clock=lambda: self.now)

    def test_a_stopped_reader_does_not_block_or_fill_the_memory(self) -> None:
        """Ten times the usual rate for a minute while nothing reads the pipe."""
        for second in range(60):
            self.now = float(second)
            for _ in range(4_000):
                self.sink.put(b"x" * 399 + b"\n", ROUTINE)
        self.assertLessEqual(self.sink._size, BUFFER_BYTES)
        self.assertGreater(self.sink.dropped[ROUTINE], 0)

    def test_routine_lines_are_dropped_before_important_ones(self) -> None:
        for _ in range(int(LINES_PER_SECOND * 3)):
            self.sink.put(b"routine\n", ROUTINE)
        dropped = self.sink.dropped[ROUTINE]
        self.assertGreater(dropped, 0)
        for _ in range(int(LINES_PER_SECOND * 0.9)):
            self.sink.put(b"refused\n", IMPORTANT)
        self.assertEqual(self.sink.dropped[IMPORTANT], 0)

    def test_lines_of_the_logging_library_arrive(self) -> None:
        """If the logging library took the sink for a stream, every line would be lost."""
        _logging.configure("INFO", self.sink)
        self.addCleanup(_logging.configure, "INFO", sys.stdout)
        _logging.log_event("refused", request="r1")
        found = _explain.parse(os.read(self.reader, 65_536).decode())
        self.assertEqual((found.event, found.get("request")), ("refused", "r1"))

    def test_a_rate_within_the_limit_drops_nothing(self) -> None:
        for step in range(1_000):
            self.now = step / 100
            self.sink.put(b"line\n", ROUTINE)
        self.assertEqual(sum(self.sink.dropped.values()), 0)

    def test_lines_arrive_whole_and_in_order_once_the_reader_reads(self) -> None:
        lines = [f"{number:05d} {'x' * 300}\n".encode() for number in range(700)]
        got = b""
        for number, text in enumerate(lines):
            self.now = number / 100
            self.sink.put(text, IMPORTANT)
        while len(got) < sum(map(len, lines)):
            got += os.read(self.reader, 65_536)
            self.sink.flush()
        self.assertEqual(got, b"".join(lines))

    def test_dropped_lines_are_reported_once(self) -> None:
        for _ in range(2_000):
            self.sink.put(b"routine\n", ROUTINE)
        self.assertEqual(self.sink.take_unreported_count(), self.sink.dropped[ROUTINE])
        self.assertEqual(self.sink.take_unreported_count(), 0)

    def test_line_is_dropped_without_an_error_if_the_reader_has_closed(self) -> None:
        reader, writer = os.pipe()
        sink = LogSink(writer, clock=lambda: self.now)
        os.close(reader)
        sink.put(b"line\n", IMPORTANT)
        self.assertEqual(sink.dropped[IMPORTANT], 1)
        os.close(writer)
