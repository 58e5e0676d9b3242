"""Tests of the capacity page: the fits, the tables and what they are worked out from."""

import pathlib
import unittest

from wasabiwick._capacity import facts, fit, letter, page, probe, roles

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
NAMES = (
    "change of one customer",
    "full record",
    "change taken in",
    "lists in memory",
    "heartbeats sent",
    "heartbeats, payload",
    "heartbeats, reducer",
    "members in memory",
    "host list",
    "host list taken in",
    "host list in memory",
    "leases in memory",
    "lease claims",
    "lease claims read",
    "death of a host",
    "idle process",
    "HTTP beside the payload",
    "exchange, both ends",
    "page of the log",
    "long poll, both ends",
    "stream relayed",
    "records of a key",
    "records read, reducer",
    "keys of a shard in memory",
    "messages between hosts",
    "messages, payload",
    "requests, reducers of all roles",
    "output, reducer",
    "requests in memory",
    "reservations, reducer",
    "reservations in memory",
    "engine's report",
    "engine's report taken in",
    "sweep of a pool",
    "renewal",
    "renewal taken in",
    "engines in memory",
    "keys, reducer",
    "keys in memory",
)


def line(name: str, slope: float = 1.0) -> fit.Line:
    points = [(float(x), 10.0 + slope * x) for x in (1, 2, 4, 8)]
    return fit.Line(name=name, x_unit="x", y_unit="y", points=points)


def measured(slope: float = 1.0) -> dict[str, list[fit.Line]]:
    return {"all": [line(name, slope) for name in NAMES]}


class TestFit(unittest.TestCase):
    """A line goes through its points, and says how well."""

    def test_exact(self) -> None:
        one = line("x", slope=3.0)
        self.assertAlmostEqual(one.slope, 3.0)
        self.assertAlmostEqual(one.base, 10.0)
        self.assertAlmostEqual(one.fit, 1.0)
        self.assertAlmostEqual(one.at(100), 310.0)

    def test_bad_fit_shows(self) -> None:
        points = [(1.0, 1.0), (2.0, 9.0), (3.0, 1.0), (4.0, 9.0), (5.0, 1.0)]
        one = fit.Line(name="x", x_unit="x", y_unit="y", points=points)
        self.assertLess(one.fit, 0.3)

    def test_three_points_are_too_few(self) -> None:
        with self.assertRaisesRegex(ValueError, "3 points"):
            fit.Line(name="x", x_unit="x", y_unit="y", points=[(1, 1), (2, 2), (3, 3)])


class TestRoles(unittest.TestCase):
    """Loads follow from the lines, and grow with them."""

    def test_all_roles_grow_with_their_slopes(self) -> None:
        low, high = (roles.loads(page.by_name(measured(slope))) for slope in (1.0, 2.0))
        for name, load in low.items():
            for part in ("state", "traffic", "core"):
                self.assertGreater(getattr(high[name], part), getattr(load, part), (name, part))

    def test_roles_of_the_issue_are_there(self) -> None:
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

    def test_host_is_the_sum_of_its_roles(self) -> None:
        found = page.by_name(measured())
        loads = roles.loads(found)
        whole = roles.total(found, "host", roles.SHARED)
        self.assertAlmostEqual(whole.traffic, sum(loads[one].traffic for one in roles.SHARED))


class TestPage(unittest.TestCase):
    """The page holds every table and every number of the letter."""

    def test_tables_are_replaced_and_text_is_kept(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        once = page.rewrite(text, measured())
        self.assertEqual(page.rewrite(once, measured()), once)
        self.assertIn("What this page cannot show", once)
        self.assertNotEqual(once, text)

    def test_missing_marker_is_named(self) -> None:
        with self.assertRaisesRegex(ValueError, "machine"):
            page.rewrite("no markers", measured())

    def test_committed_page_has_the_letter(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        numbers = (
            *("350 hosts", "1,000 engines", "8,100 accelerators", "2,900 requests/s"),
            *("1.3 million tokens/s", "0.55 s", "54 ms", "2,000 GB/s", "2,700 organisations"),
            *("16 models", "2 regions", "4 zones", "4,400 changes", "12 s", "1.9%", "256 MB"),
            *("23 KB/s", "11 hosts fail", "460 hosts", "rack or switch", "availability zone"),
        )
        for number in numbers:
            self.assertIn(number, text)
        for name in NAMES:
            self.assertIn(f"| {name}, ", text)


class TestProbes(unittest.TestCase):
    """What must not grow with the size of the fleet does not."""

    def test_change_of_one_customer_costs_the_same_bytes(self) -> None:
        found = {one.name: one for one in facts.configuration()}
        change = found["change of one customer"]
        self.assertEqual(change.slope, 0.0)
        self.assertGreater(found["full record"].at(letter.CUSTOMERS) * 1e3, 100 * change.base)

    def test_heartbeats_do_not_grow_with_the_zone(self) -> None:
        found = {one.name: one for one in facts.membership()}
        self.assertLess(abs(found["heartbeats sent"].slope), 1e-9)

    def test_probes_have_names_of_their_own(self) -> None:
        self.assertIn("membership", probe.PROBES)
