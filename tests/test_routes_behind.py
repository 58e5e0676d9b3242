"""Tests of hosts that hear of newer routes than those in force there, without a network."""

import random
import unittest

from wasabiwick import _events, _metrics
from wasabiwick._effects import LogLine
from wasabiwick._errors import NO_CONFIGURATION, NO_ROUTE, ROUTES_BEHIND
from wasabiwick._forwarding import SAFE, RouteTable
from wasabiwick._handlers import routes
from wasabiwick._verdict import Verdict

from ._forward import APP, Host, route, table


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


class TestRefusals(BehindTest):
    """A request without a route is refused for good only by a host that knows of no newer routes.

    Such a host answered 404 for routes that a version had added that it had not read.
    """

    def wait_for_datagrams(self, seconds: float, version: int) -> None:
        """Let time pass, while another host tells a version every second."""
        end = self.host.now + seconds
        while self.host.now < end:
            self.host.run(1.0)
            self.host.know("b", routes_version=version)

    def test_missing_route_is_refused_for_now_while_another_host_has_newer_routes(self) -> None:
        self.assertIs(self.reason(), NO_ROUTE)
        self.host.know("b", routes_version=3)
        failure = self.host.refusal(self.host.ask("nowhere"))
        self.assertIs(failure.reason, ROUTES_BEHIND)
        self.assertEqual((failure.reason.status, failure.verdict), (503, Verdict.NOT_RUN))
        self.assertGreater(failure.retry_after, 0.0)
        self.read(3)
        self.assertIs(self.reason(), NO_ROUTE)

    def test_routes_in_force_are_served_meanwhile(self) -> None:
        self.host.know("b", routes_version=3)
        self.assertIsNone(self.reason("safe"))

    def test_missing_route_is_refused_for_now_until_the_newest_version_heard_is_read(self) -> None:
        for name, version in (("b", 3), ("c", 5), ("d", 4)):
            self.host.know(name, routes_version=version)
        for version in (3, 4):
            self.read(version)
            self.assertIs(self.reason(), ROUTES_BEHIND)
        self.read(5)
        self.assertIs(self.reason(), NO_ROUTE)

    def test_missing_route_is_refused_for_now_while_the_host_that_told_is_gone(self) -> None:
        self.host.know("b", routes_version=3)
        self.host.run(40.0)
        self.assertIs(self.reason(), ROUTES_BEHIND)

    def test_missing_route_is_refused_for_now_while_records_are_unread(self) -> None:
        """No other host need have put the newest version in force yet."""
        self.host.feed(_events.FeedBehind, feed="endpoints", missing=4)
        self.assertIs(self.reason(), NO_ROUTE)
        self.host.feed(_events.FeedBehind, feed="routes", missing=1)
        self.assertIs(self.reason(), ROUTES_BEHIND)
        self.assertEqual(self.lines("refused")[-1]["unread"], 1)
        self.host.feed(_events.FeedBehind, feed="routes", missing=0)
        self.assertIs(self.reason(), NO_ROUTE)

    def test_absurd_version_ends_no_final_answers_for_good(self) -> None:
        """One host with a wrong version would keep all others from any 404."""
        self.wait_for_datagrams(1.0, 10**18)
        self.assertIs(self.reason(), ROUTES_BEHIND)
        self.wait_for_datagrams(routes.BEHIND_BOUND_S + 1.0, 10**18)
        self.assertIs(self.reason(), NO_ROUTE)
        self.wait_for_datagrams(3 * routes.BEHIND_BOUND_S, 10**18)
        self.assertIs(self.reason(), NO_ROUTE)
        self.assertEqual(len(self.lines("routes_behind")), 1)
        (line,) = self.lines("routes_not_believed")
        self.assertEqual((line["heard_version"], line["heard_from"]), (10**18, "b"))

    def test_absurd_version_hides_no_newer_version_of_other_hosts(self) -> None:
        self.wait_for_datagrams(routes.BEHIND_BOUND_S + 2.0, 10**18)
        self.host.know("c", routes_version=3)
        self.assertIs(self.reason(), ROUTES_BEHIND)
        self.read(3)
        self.assertIs(self.reason(), NO_ROUTE)

    def test_absurd_version_ends_without_further_datagrams(self) -> None:
        self.host.know("b", routes_version=10**18)
        self.host.run(routes.BEHIND_BOUND_S + 1.0)
        self.assertIs(self.reason(), NO_ROUTE)

    def test_versions_that_come_meanwhile_do_not_prolong_belief_in_an_absurd_one(self) -> None:
        for version in range(3, 20):
            self.wait_for_datagrams(routes.BEHIND_BOUND_S / 8, 10**18)
            self.host.feed(_events.FeedBehind, feed="routes", missing=1)
            self.read(version)
            self.host.feed(_events.FeedBehind, feed="routes", missing=0)
        self.assertIs(self.reason(), NO_ROUTE)

    def test_version_is_believed_for_as_long_as_the_store_shows_nothing(self) -> None:
        """A host that could not read the newer version said 404 as if there were none."""
        self.host.feed(_events.FeedChanged, feed="routes", up=False)
        self.wait_for_datagrams(5 * routes.BEHIND_BOUND_S, 3)
        self.assertIs(self.reason(), ROUTES_BEHIND)
        self.host.feed(_events.FeedChanged, feed="routes", up=True)
        self.assertIs(self.reason(), ROUTES_BEHIND)
        self.host.feed(_events.FeedBehind, feed="routes", missing=1)
        self.wait_for_datagrams(5 * routes.BEHIND_BOUND_S, 3)
        self.assertIs(self.reason(), ROUTES_BEHIND)
        self.host.feed(_events.FeedBehind, feed="routes", missing=0)
        self.assertIs(self.reason(), ROUTES_BEHIND)
        self.wait_for_datagrams(routes.BEHIND_BOUND_S + 1.0, 3)
        self.assertIs(self.reason(), NO_ROUTE)

    def test_first_version_that_a_host_reads_does_not_end_the_belief_in_newer_ones(self) -> None:
        self.host.state["routes"].table = None
        self.host.know("b", routes_version=3)
        self.wait_for_datagrams(2 * routes.BEHIND_BOUND_S, 3)
        self.assertIs(self.reason(), NO_CONFIGURATION)
        self.read(2)
        self.assertIs(self.reason(), ROUTES_BEHIND)

    def test_version_that_was_not_believed_hides_later_ones_for_a_bounded_time_only(self) -> None:
        """A host that missed a later version answered 404 for good, though all others told it."""
        self.wait_for_datagrams(routes.BEHIND_BOUND_S + 2.0, 3)
        self.assertIs(self.reason(), NO_ROUTE)
        self.wait_for_datagrams(routes.DISBELIEF_S, 4)
        self.assertIs(self.reason(), ROUTES_BEHIND)

    def test_version_that_was_not_believed_can_be_told_again_once_it_is_read(self) -> None:
        self.wait_for_datagrams(routes.BEHIND_BOUND_S + 2.0, 4)
        self.assertIs(self.reason(), NO_ROUTE)
        self.read(4)
        self.wait_for_datagrams(1.0, 5)
        self.assertIs(self.reason(), ROUTES_BEHIND)


class TestFleet(unittest.TestCase):
    """Versions add routes while hosts read them late, and one host tells wrong versions at times.

    No request for a route that a host has heard of the version of is refused for good there.
    """

    HOSTS = 6
    STEPS = 80

    def test_hosts_read_late(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                self.run_fleet(random.Random(seed))

    def run_fleet(self, rng: random.Random) -> None:
        """Add routes at random, and ask hosts of all ages of news for the newest."""
        hosts = [Host(name=f"h{number}") for number in range(self.HOSTS)]
        newest = 1
        told: dict[str, int] = {}
        for _ in range(self.STEPS):
            newest += rng.random() < 0.3
            for host in hosts:
                if rng.random() < 0.3:
                    version = rng.randint(routes.version(host.state), newest)
                    host.feed(_events.RoutesRead, table=self.version(version))
                for other in hosts:
                    name, version = other.state.owner.host, routes.version(other.state)
                    if other is not host and rng.random() < 0.5:
                        host.know(name, routes_version=version)
                        told[host.state.owner.host] = max(
                            version, told.get(host.state.owner.host, 0)
                        )
                if rng.random() < 0.1:
                    host.know("wrong", routes_version=rng.choice((-5, 0, 1)))
            for host in hosts:
                held = routes.version(host.state)
                wanted = rng.randint(2, max(2, newest))
                call_id = host.ask(f"added-{wanted}")
                failure = host.refusal(call_id)
                if wanted <= held:
                    self.assertIsNone(failure)
                    host.answer(call_id)
                    host.feed(_events.ForwardAnswered, call_id=call_id)
                    continue
                is_behind = told.get(host.state.owner.host, 0) > held
                self.assertIs(failure.reason, ROUTES_BEHIND if is_behind else NO_ROUTE)
                host.run(0.3)

    def version(self, number: int) -> RouteTable:
        """Return a version that has a route for itself and for each one before it."""
        known = table(number)
        added = tuple(route(SAFE, APP, name=f"added-{one}") for one in range(2, number + 1))
        return RouteTable(version=number, routes=(*known.routes, *added), services=known.services)
