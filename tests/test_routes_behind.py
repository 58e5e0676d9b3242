"""Tests of hosts that hear of newer routes than those in force there, without a network."""

import unittest

from wasabiwick import _events, _metrics
from wasabiwick._effects import LogLine
from wasabiwick._errors import NO_ROUTE

from ._forward import Host, table


class BehindTest(unittest.TestCase):
    """Base of tests with a host that has read version 2 of the routes, and its log lines."""

    def setUp(self) -> None:
        self.host = Host()
        self.read(2)

    def read(self, version: int) -> None:
        """Let the host read a version of the routes."""
        self.host.feed(_events.RoutesRead, table=table(version))

    def reason(self, path: str = "nowhere") -> object:
        """Return the reason for which a request is refused now, or None."""
        failure = self.host.refusal(self.host.ask(path))
        return failure.reason if failure is not None else None

    def lines(self, event: str) -> list[dict[str, object]]:
        """Return the fields of the log lines of an event."""
        lines = [one for one in self.host.effects if isinstance(one, LogLine)]
        return [one.fields for one in lines if one.event == event]

    def gauge(self, name: str) -> float:
        """Return the value of a gauge without a label."""
        return _metrics.METRICS[name].read(self.host.state)[""]


class TestSigns(BehindTest):
    """Logs and metrics of a host tell which version it has heard of, and which is in force."""

    def test_refusal_tells_the_version_in_force_its_age_and_what_was_heard(self) -> None:
        """Lines did not tell whether a host that refused a request knew of a newer version."""
        self.host.run(4.0)
        self.host.know("b", routes_version=7)
        self.reason()
        line = self.lines("refused")[-1]
        names = ("routes_version", "routes_age", "heard_version", "heard_from")
        self.assertEqual([line[name] for name in names], [2, 4.0, 7, "b"])

    def test_refusal_without_any_version_or_neighbour_tells_so(self) -> None:
        self.host.state["routes"].table = None
        self.reason()
        line = self.lines("refused")[-1]
        names = ("routes_version", "routes_age", "heard_version", "heard_from")
        self.assertEqual([line[name] for name in names], [0, "-", "-", "-"])

    def test_one_line_tells_when_a_host_falls_behind_and_one_when_it_catches_up(self) -> None:
        for name in ("b", "c", "b", "c"):
            self.host.know(name, routes_version=3)
        self.host.run(2.0)
        self.host.know("d", routes_version=4)
        behind = self.lines("routes_behind")
        self.assertEqual(
            [(one["routes_version"], one["heard_version"], one["heard_from"]) for one in behind],
            [(2, 3, "b")],
        )
        self.read(3)
        self.read(4)
        self.host.run(1.0)
        self.read(5)
        in_force = self.lines("routes_in_force")[-3:]
        self.assertEqual([one["behind_for"] for one in in_force], [2.0, 2.0, 0.0])
        self.assertEqual([one["heard_version"] for one in in_force], [4, 4, 4])

    def test_versions_that_are_not_newer_are_no_sign(self) -> None:
        for version in (-1, 0, 1, 2):
            self.host.know("b", routes_version=version)
        self.assertEqual(self.lines("routes_behind"), [])

    def test_gauges_show_the_version_heard_and_the_time_behind(self) -> None:
        self.assertEqual(self.gauge("routes_version_heard"), 0)
        self.host.know("b", routes_version=3)
        self.host.run(5.0)
        self.host.know("c", routes_version=2)
        self.assertEqual(self.gauge("routes_version_heard"), 3)
        self.assertEqual(self.gauge("routes_behind_seconds"), 5.0)
        self.read(3)
        self.assertEqual(self.gauge("routes_behind_seconds"), 0.0)

    def test_version_heard_is_kept_when_the_host_that_told_it_goes(self) -> None:
        self.host.know("b", routes_version=3)
        self.host.run(60.0)
        self.assertEqual(self.host.state["neighbours"].hosts, {})
        self.assertEqual(self.gauge("routes_version_heard"), 3)
        self.assertIs(self.reason(), NO_ROUTE)
