"""Tests of the capacity page: line fits, loads of roles, tables, and probes of host state."""

import pathlib
import unittest

from wasabiwick._capacity import facts, fit, letter, page, probe, roles

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
LINE_NAMES = (
    "change of one customer",
    "full configuration record",
    "change of one customer applied",
    "configuration in memory",
    "heartbeats sent",
    "heartbeat payload",
    "heartbeats, reducer time",
    "membership in memory",
    "host list",
    "host list applied",
    "host list in memory",
    "leases in memory",
    "lease claim records",
    "lease claims applied",
    "messages caused by a host's death",
    "memory of an idle process",
    "HTTP overhead",
    "HTTP exchange, both hosts",
    "log page with HTTP overhead",
    "long poll of the log, client and server",
    "relayed stream",
    "log records of run-once keys",
    "log records of run-once keys, reducer time",
    "run-once keys in memory",
    "messages between hosts",
    "payload of messages between hosts",
    "requests, reducer time on all hosts",
    "output, reducer time",
    "requests in flight in memory",
    "reservations, reducer time",
    "reservations in memory",
    "engine report",
    "engine report applied",
    "periodic check of a pool",
    "renewal message",
    "renewal message applied",
    "engines of a pool in memory",
    "request keys, reducer time",
    "request keys in memory",
)


def made_up_line(name: str, slope: float = 1.0) -> fit.Line:
    points = [(float(x), 10.0 + slope * x) for x in (1, 2, 4, 8)]
    return fit.Line(name=name, x_unit="x", y_unit="y", points=points)


def made_up_lines(slope: float = 1.0) -> dict[str, list[fit.Line]]:
    return {"all": [made_up_line(name, slope) for name in LINE_NAMES]}


class TestFit(unittest.TestCase):
    """A line must fit its points, and a bad fit must have a low R²."""

    def test_line_through_exact_points(self) -> None:
        one = made_up_line("x", slope=3.0)
        self.assertAlmostEqual(one.slope, 3.0)
        self.assertAlmostEqual(one.intercept, 10.0)
        self.assertAlmostEqual(one.r_squared, 1.0)
        self.assertAlmostEqual(one.at(100), 310.0)

    def test_scattered_points_have_low_r_squared(self) -> None:
        points = [(1.0, 1.0), (2.0, 9.0), (3.0, 1.0), (4.0, 9.0), (5.0, 1.0)]
        one = fit.Line(name="x", x_unit="x", y_unit="y", points=points)
        self.assertLess(one.r_squared, 0.3)

    def test_three_points_raise(self) -> None:
        with self.assertRaisesRegex(ValueError, "3 points"):
            fit.Line(name="x", x_unit="x", y_unit="y", points=[(1, 1), (2, 2), (3, 3)])


class TestRoles(unittest.TestCase):
    """Loads must follow from the fitted lines; a load that ignores them hides a role's cost."""

    def test_every_load_grows_with_measured_slopes(self) -> None:
        low, high = (roles.loads(page.lines_by_name(made_up_lines(slope))) for slope in (1.0, 2.0))
        for name, load in low.items():
            for part in ("state", "traffic", "core"):
                self.assertGreater(getattr(high[name], part), getattr(load, part), (name, part))

    def test_every_role_has_a_load(self) -> None:
        wanted = {
            "entry relay",
            "key owner",
            "coordinator",
            "effect shard",
            "configuration tail",
            "membership",
            "lease holder",
        }
        self.assertEqual(set(roles.ROLES), wanted)

    def test_traffic_of_a_host_is_the_sum_of_its_roles(self) -> None:
        found = page.lines_by_name(made_up_lines())
        loads = roles.loads(found)
        whole = roles.total(found, "host", roles.EVERY_HOST)
        self.assertAlmostEqual(whole.traffic, sum(loads[one].traffic for one in roles.EVERY_HOST))


class TestPage(unittest.TestCase):
    """Rewriting the page must keep its prose and show each required number and fitted line."""

    def test_only_tables_are_replaced(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        once = page.replace_tables(text, made_up_lines())
        self.assertEqual(page.replace_tables(once, made_up_lines()), once)
        self.assertIn("What this page cannot show", once)
        self.assertNotEqual(once, text)

    def test_missing_marker_raises(self) -> None:
        with self.assertRaisesRegex(ValueError, "machine"):
            page.replace_tables("no markers", made_up_lines())

    def test_committed_page_has_required_numbers_and_lines(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        numbers = (
            *("350 hosts", "1,000 engines", "8,100 accelerators", "2,900 requests/s"),
            *("1.3 million tokens/s", "0.55 s", "54 ms", "2,000 GB/s", "2,700 organisations"),
            *("16 models", "2 regions", "4 zones", "4,400 changes", "12 s", "1.9%", "256 MB"),
            *("23 KB/s", "11 hosts fail", "460 hosts", "rack or switch", "availability zone"),
        )
        for number in numbers:
            self.assertIn(number, text)
        for name in LINE_NAMES:
            self.assertIn(f"| {name}, ", text)


class TestProbes(unittest.TestCase):
    """Costs that must not grow with the fleet: bytes of a change, heartbeats of a host."""

    def test_change_of_one_customer_has_constant_size(self) -> None:
        found = {one.name: one for one in facts.configuration()}
        change = found["change of one customer"]
        self.assertEqual(change.slope, 0.0)
        self.assertGreater(
            found["full configuration record"].at(letter.CUSTOMERS) * 1e3, 100 * change.intercept
        )

    def test_heartbeats_per_host_do_not_grow_with_the_zone(self) -> None:
        found = {one.name: one for one in facts.membership()}
        self.assertLess(abs(found["heartbeats sent"].slope), 1e-9)

    def test_importing_facts_registers_its_probes(self) -> None:
        self.assertIn("membership", probe.PROBES)
