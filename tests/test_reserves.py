"""Load tests, on a virtual clock, of room that hosts keep for urgent and large generations."""

import unittest

from wasabiwick._effects_forwarding import TakeHold
from wasabiwick._handlers import rejecting, reserves

from ._room_fleet import Kind, RoomFleet

SEEDS = (1, 2, 3, 4, 5, 6)
REVIEW = Kind("review", priority=0, rate=1.0, prompt=10_500, target=0.8)
DIGEST = Kind("digest", priority=2, rate=8.0, prompt=3_000, target=2.0)
READ = Kind("read", priority=0, rate=1.3, prompt=11_500, target=0.9)
COVERAGE = Kind("coverage", priority=0, rate=7.0, prompt=3_000, target=0.9)


def played(
    kinds: tuple[Kind, ...], factors: dict[str, float], *, decode: int, prefill: int
) -> list[RoomFleet]:
    """Play a usual load, a heavier one, and the time until all is over, once for each seed."""
    fleets = []
    for seed in SEEDS:
        fleet = RoomFleet(seed, kinds, hosts=8, decode=decode, prefill=prefill, keeps_rooms=True)
        fleet.run(5.0).run(8.0, factors).run(12.0, {one.name: 0.0 for one in kinds})
        fleets.append(fleet)
    return fleets


def share(fleets: list[RoomFleet], kind: Kind, outcome: str) -> float:
    """Return the share of all callers of a kind with an outcome, such as ``in_aim``."""
    callers = [one for fleet in fleets for one in fleet.of(kind.name)]
    return sum(bool(getattr(one, outcome)) for one in callers) / len(callers)


class TestBurstOfLessUrgent(unittest.TestCase):
    """A burst of small, less urgent generations, beside a few that are urgent and large."""

    def test_the_urgent_are_served_and_the_less_urgent_get_what_is_left(self) -> None:
        """The less urgent filled all engines as long as they fit, whichever host they came to."""
        fleets = played((REVIEW, DIGEST), {"digest": 1.8}, decode=5, prefill=2)
        self.assertGreater(share(fleets, REVIEW, "in_aim"), 0.3)
        self.assertGreater(share(fleets, REVIEW, "ended"), 0.7)
        self.assertGreater(share(fleets, DIGEST, "in_aim"), 0.7)
        self.assertGreater(share(fleets, DIGEST, "ended"), 0.93)

    def test_room_is_given_back_once_the_urgent_stop_coming(self) -> None:
        fleet = RoomFleet(1, (REVIEW, DIGEST), hosts=3, decode=4, keeps_rooms=True)
        fleet.run(6.0)
        fleet.new_caller(DIGEST, "")
        host = fleet.hosts[list(fleet.by_call)[-1].partition(".")[0]]
        req = host.state["forwarding"].calls[list(fleet.by_call)[-1]]
        self.assertTrue(any(reserves.rooms(host.state, req, fleet.now).values()))
        fleet.run(60.0, {"review": 0.0, "digest": 0.2})
        self.assertEqual(reserves.rooms(host.state, req, req.arrived_at), {})

    def test_a_large_one_that_has_waited_for_long_takes_a_room_kept_for_others(self) -> None:
        """A room stood empty while less urgent large ones waited beside it and were refused."""
        fleet = RoomFleet(1, (REVIEW, DIGEST), hosts=3, decode=4, keeps_rooms=True)
        fleet.run(6.0)
        fleet.new_caller(DIGEST._replace(prompt=20_000), "")
        name = list(fleet.by_call)[-1]
        state = fleet.hosts[name.partition(".")[0]].state
        req = state["forwarding"].calls[name]
        self.assertTrue(any(reserves.rooms(state, req, req.arrived_at).values()))
        waited = reserves.AGED_SHARE * rejecting.max_wait(req) + 0.01
        self.assertEqual(reserves.rooms(state, req, req.arrived_at + waited), {})

    def test_no_room_is_kept_for_prompts_that_fit_no_engine(self) -> None:
        """Such prompts made rooms as large as an engine, which then stood empty."""
        host = RoomFleet(1, (REVIEW, DIGEST), hosts=1, decode=4, keeps_rooms=True).hosts["h0"]
        for _ in range(20):
            host.ask("review", prompt_tokens=90_000)
        req = host.state["forwarding"].calls[host.ask("digest")]
        self.assertEqual(reserves.rooms(host.state, req, host.now), {})

    def test_hosts_keep_room_at_the_same_engines(self) -> None:
        fleet = RoomFleet(1, (REVIEW, DIGEST), hosts=4, decode=6, keeps_rooms=True)
        fleet.run(6.0)
        kept = set()
        for host in fleet.hosts.values():
            req = host.state["forwarding"].calls[host.ask("digest")]
            kept.add(frozenset(reserves.rooms(host.state, req, host.now)))
        self.assertEqual(len(kept), 1)


class TestLargeBesideSmall(unittest.TestCase):
    """Generations with large prompts beside many small ones of the same priority."""

    def test_large_ones_find_room_and_small_ones_lose_none(self) -> None:
        """Small ones were spread evenly, so that no engine ever had the room for a large one."""
        fleets = played((READ, COVERAGE), {"coverage": 1.7}, decode=6, prefill=2)
        self.assertGreater(share(fleets, READ, "in_aim"), 0.36)
        self.assertGreater(share(fleets, READ, "ended"), 0.8)
        self.assertGreater(share(fleets, COVERAGE, "in_aim"), 0.88)

    def test_small_ones_take_the_engines_of_large_ones_rather_than_wait(self) -> None:
        fleet = RoomFleet(1, (READ, COVERAGE), hosts=2, decode=2, keeps_rooms=True)
        fleet.run(5.0)
        fleet.run(20.0, {"read": 0.0, "coverage": 0.0})
        host = fleet.hosts["h0"]
        calls = [host.ask("coverage", prompt_tokens=3_000, length_hint=300) for _ in range(12)]
        engines = {host.last_effect(TakeHold, call).endpoint for call in calls}
        self.assertEqual(engines, {"d0", "d1"})


class TestOneKind(unittest.TestCase):
    """Where all generations are alike, nothing is kept and decisions are as before."""

    def test_no_room_is_kept_and_nothing_more_is_told(self) -> None:
        fleet = RoomFleet(1, (COVERAGE,), hosts=3, decode=4, keeps_rooms=True)
        fleet.run(6.0)
        host = fleet.hosts["h0"]
        req = host.state["forwarding"].calls[host.ask("coverage")]
        self.assertEqual(reserves.rooms(host.state, req, host.now), {})
        self.assertEqual(set(host.state["observations"].own), {req.service})


class TestOffByDefault(unittest.TestCase):
    """Without the setting nothing is kept, observed or held back for others."""

    def test_hosts_keep_no_rooms_unless_the_settings_ask_for_it(self) -> None:
        fleet = RoomFleet(1, (REVIEW, DIGEST), hosts=2, decode=4)
        fleet.run(5.0)
        for host in fleet.hosts.values():
            sources = set(host.state["observations"].own)
            self.assertFalse([name for name in sources if "\n" in name])
