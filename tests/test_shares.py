"""Load tests, on a virtual clock, of how organisations share engines with too little room."""

import unittest
import unittest.mock

from wasabiwick._effects_forwarding import TellLoad
from wasabiwick._handlers import organisations, shares

from ._forward import MODEL
from ._room_fleet import Caller, Kind, RoomFleet

SEEDS = (1, 2, 3, 4, 5, 6)
DRAFT = Kind("draft", priority=0, rate=9.0, prompt=3_000, target=1.5)
LARGE = {f"large{number}": 0.15 for number in range(3)}
SMALL = {f"small{number}": 0.55 / 13 for number in range(13)}
FLOODING = "large0"


class TestFloodingOrganisation(unittest.TestCase):
    """One of 16 organisations sends 7.5 times its usual, more than engines have room for."""

    def test_others_are_served_as_before_and_it_gets_what_they_leave(self) -> None:
        """A host saw each organisation now and then, so the flood took its part of every engine."""
        fleets = []
        for seed in SEEDS:
            fleet = RoomFleet(seed, (DRAFT,), hosts=8, decode=5, organisations=LARGE | SMALL)
            fleet.run(5.0).run(10.0, {FLOODING: 7.5}).run(12.0, {"draft": 0.0})
            fleets.append(fleet)
        flood = [one for fleet in fleets for one in fleet.of("", FLOODING)]
        others = [one for fleet in fleets for one in fleet.callers if one.organisation != FLOODING]
        self.assertGreater(served_in_aim(others), 0.83)
        self.assertGreater(served_in_aim(flood), 0.4)
        served = sum(one.ended for one in flood) / len(flood)
        of_all = sum(one.ended for one in flood + others) / len(flood + others)
        self.assertGreater(served, of_all / 2)

    def test_all_are_served_while_there_is_room(self) -> None:
        """Without a shortage it makes no difference who sends how much."""
        fleet = RoomFleet(1, (DRAFT,), hosts=4, decode=16, prefill=6, organisations=LARGE | SMALL)
        fleet.run(5.0).run(5.0, {FLOODING: 7.5}).run(12.0, {"draft": 0.0})
        self.assertTrue(any(one.organisation == FLOODING for one in fleet.callers))
        self.assertEqual(fleet.served(), 1.0)
        self.assertGreater(fleet.in_aim(), 0.95)


def served_in_aim(callers: list[Caller]) -> float:
    """Return the share of some callers that were served in time."""
    return sum(one.in_aim for one in callers) / len(callers)


class TestUse(unittest.TestCase):
    """What organisations use is known across hosts, and not known is not nothing."""

    def setUp(self) -> None:
        self.host = RoomFleet(1, (DRAFT,), hosts=1, organisations=LARGE | SMALL).hosts["h0"]
        self.sequence = 0

    def hear(self, used: dict[str, int], *, incarnation: str = "1", sequence: int = 0) -> None:
        self.sequence += 1
        told = TellLoad(
            addresses=(),
            sequence=sequence or self.sequence,
            loads={},
            stopping=False,
            busy={},
            used=used,
        )
        self.host.hear("z", told, incarnation=incarnation)

    def standing(self, name: str) -> float:
        service = self.host.state["routes"].services[MODEL]
        return shares.standing(self.host.state, service, name, self.host.now)

    def test_the_first_sums_of_a_process_only_tell_from_where_they_rise(self) -> None:
        """A host that has just started took the use of a whole day for that of the moment."""
        self.hear({"large0": 90_000_000, "small1": 1_000_000})
        self.assertEqual(self.standing("large0"), 0.0)

    def test_a_rise_that_a_lost_datagram_told_is_in_the_next(self) -> None:
        self.hear({"large0": 0, "small1": 0, "small2": 0})
        self.hear({"large0": 900_000, "small1": 200_000, "small2": 100_000})
        self.assertGreater(self.standing("large0"), shares.YIELD_FACTOR)
        self.assertLess(self.standing("small1"), 1.0)

    def test_older_datagrams_and_a_restarted_process_count_nothing_twice(self) -> None:
        self.hear({"large0": 100_000})
        self.hear({"large0": 200_000})
        before = self.host.state["shares"].recent.now(self.host.now)["large0"]
        self.hear({"large0": 100_000}, sequence=1)
        self.hear({"large0": 150_000}, incarnation="2", sequence=1)
        self.hear({"large0": 150_000}, incarnation="2", sequence=2)
        self.assertEqual(self.host.state["shares"].recent.now(self.host.now)["large0"], before)

    def test_use_is_forgotten_with_time(self) -> None:
        self.hear({"large0": 0})
        self.hear({"large0": 900_000})
        self.host.run(10 * shares.HALF_TIME_S)
        self.assertEqual(self.standing("large0"), 0.0)

    def test_use_weighs_by_its_age_however_long_ago_it_was_weighed(self) -> None:
        """Use is summed with weights that grow with time, which must not show."""
        recent = shares.Decayed()
        for number in range(400):
            recent.add("one", 1_000.0, number * shares.HALF_TIME_S)
        found = recent.now(399 * shares.HALF_TIME_S)["one"]
        self.assertAlmostEqual(found, 2_000.0, places=3)

    def test_a_datagram_tells_the_sums_that_rose_last(self) -> None:
        """With thousands of organisations, all sums would not fit a datagram."""
        names = [one.name for one in organisations.known(self.host.state)]
        own = self.host.state["shares"].own
        own |= dict.fromkeys(names, 5)
        with unittest.mock.patch.object(shares, "MAX_TOLD", 2):
            self.assertEqual(shares.told(self.host.state), dict.fromkeys(names[-2:], 5))

    def test_a_sum_that_had_no_room_before_counts_from_when_it_is_told(self) -> None:
        with unittest.mock.patch.object(shares, "MAX_TOLD", 2):
            self.hear({"large0": 0, "small1": 0})
            self.hear({"large0": 900_000, "small2": 50_000_000})
            self.hear({"small1": 100_000, "small2": 50_100_000})
        recent = self.host.state["shares"].recent.now(self.host.now)
        self.assertEqual(
            {name: round(used) for name, used in recent.items()},
            {"large0": 900_000, "small1": 100_000, "small2": 100_000},
        )

    def test_without_organisations_nothing_is_charged_told_or_decided(self) -> None:
        fleet = RoomFleet(1, (DRAFT,), hosts=2, decode=2)
        fleet.run(5.0)
        for host in fleet.hosts.values():
            told = [one for one in host.effects if isinstance(one, TellLoad)]
            self.assertTrue(told)
            self.assertFalse(any(one.used for one in told))
            self.assertEqual(host.state["shares"].own, {})
