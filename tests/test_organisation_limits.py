"""Limits of organisations over all hosts, under load and in failures, on a virtual clock."""

import random
import unittest
import unittest.mock

from wasabiwick import _events, _settings
from wasabiwick._effects_forwarding import TellLoad
from wasabiwick._errors import ORGANISATION_LIMIT
from wasabiwick._forwarding import SAFE, Organisation, OrganisationLimit, RouteTable
from wasabiwick._handlers import organisation_limits

from ._forward import APP, BROKEN, REFUSED, Forward, Host, route, table
from ._organisation_fleet import (
    APPLY_TIME,
    LARGE,
    TELL_INTERVAL,
    WINDOW,
    OrganisationFleet,
)

RATE = 173_245.0  # Tokens a second that the organisation may send.
USUAL = RATE / 1.8  # What its callers usually send.
FLOOD = 7.5 * USUAL
SMALL = 200  # Tokens of a request without a stated length.


def cut_zone(fleet: OrganisationFleet) -> None:
    """Cut a quarter of the hosts off from all others."""
    fleet.side = [number % 4 == 0 for number in range(fleet.size)]


def heal(fleet: OrganisationFleet) -> None:
    """Let all hosts hear each other again."""
    fleet.side = [False] * fleet.size


class TestLoad(unittest.TestCase):
    """One organisation sends 7.5 times its usual to 62 hosts, each of which sees a few requests."""

    def setUp(self) -> None:
        self.fleet = OrganisationFleet(62).run(8.0, demand=USUAL)

    def test_usual_load_is_let_in(self) -> None:
        """Guards against hosts that keep to shares although the limit is far."""
        self.assertEqual(self.fleet.let_in(), self.fleet.asked())

    def test_flood_keeps_to_the_limit_and_uses_it(self) -> None:
        """Guards against a limit counted a host, and against shares that nobody uses."""
        since = self.fleet.now
        self.fleet.run(16.0, demand=FLOOD)
        self.assertLess(self.fleet.worst_window(), 1.0)
        self.assertGreater(self.fleet.let_in(since), 0.97 * (16.0 * RATE + RATE))
        self.assertLess(self.fleet.refused_below(), 0.03)

    def test_after_a_flood_usual_load_is_let_in(self) -> None:
        """Guards against hosts that go on refusing once the flood is over."""
        self.fleet.run(10.0, demand=FLOOD).run(3.0, demand=USUAL)
        since = self.fleet.now
        self.fleet.run(8.0, demand=USUAL)
        self.assertEqual(self.fleet.let_in(since), self.fleet.asked(since))

    def test_sudden_flood_of_twenty_times_the_limit(self) -> None:
        """Guards against all hosts letting in what they like until they hear of each other."""
        self.fleet.run(12.0, demand=20.0 * RATE)
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_callers_at_one_host_use_the_whole_limit(self) -> None:
        """Guards against shares that stay where no callers are."""
        self.fleet.run(6.0, demand=3.0 * RATE, pick=lambda rng: 0)
        since = self.fleet.now
        self.fleet.run(10.0, demand=3.0 * RATE, pick=lambda rng: 0)
        self.assertGreater(self.fleet.let_in(since), 0.9 * 10.0 * RATE)
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_large_requests_are_let_in_among_small_ones(self) -> None:
        """Guards against small requests that always use up what a large one needs."""
        fleet, since = self.fleet, self.fleet.now
        fleet.run(16.0, demand=4.0 * RATE, cost=lambda rng: rng.choice((LARGE, *[SMALL] * 9)))
        asked = [one for one in fleet.sent if one.at > since and one.cost == LARGE]
        let_in = sum(not one.wait for one in asked) / len(asked)
        self.assertGreater(let_in, 0.5 * fleet.let_in(since) / fleet.asked(since))

    def test_refused_callers_are_told_different_times_within_a_window(self) -> None:
        """Guards against callers that return together, or never."""
        self.fleet.run(10.0, demand=FLOOD)
        waits = [one.wait for one in self.fleet.sent[-400:] if one.wait]
        self.assertGreater(len(waits), 200)
        self.assertGreater(len({round(wait, 1) for wait in waits}), 20)
        self.assertLess(max(waits), 1.5 * WINDOW)

    def test_what_is_refused_later_comes_back(self) -> None:
        """Guards against requests that count although no endpoint ran them."""
        fleet = OrganisationFleet(6, refused_later=0.5)
        fleet.run(6.0, demand=2.0 * RATE)
        since = fleet.now
        fleet.run(16.0, demand=6.0 * RATE)
        self.assertGreater(fleet.let_in(since), 0.97 * 16.0 * RATE)
        self.assertLess(fleet.worst_window(), 1.0)


class TestFailures(unittest.TestCase):
    """One failure each, in a flood at 24 hosts."""

    def setUp(self) -> None:
        self.fleet = OrganisationFleet(24).run(6.0, demand=USUAL)

    def flood(self, seconds: float) -> None:
        """Let callers send far more than the limit."""
        self.fleet.run(seconds, demand=FLOOD)

    def test_zone_cut_off(self) -> None:
        """Guards against both sides using the whole limit."""
        self.flood(6.0)
        cut_zone(self.fleet)
        since = self.fleet.now
        self.flood(12.0)
        self.assertGreater(self.fleet.let_in(since), 0.8 * 12.0 * RATE)
        heal(self.fleet)
        self.flood(10.0)
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_flood_begins_while_a_zone_is_cut_off(self) -> None:
        """Guards against each side taking the other's silence for an unused share."""
        cut_zone(self.fleet)
        self.fleet.run(4.0, demand=USUAL)
        self.flood(12.0)
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_every_host_alone(self) -> None:
        """Guards against hosts that hear nobody and believe to be the only one."""
        self.fleet.side = list(range(self.fleet.size))
        self.flood(20.0)
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_usual_load_while_a_zone_is_cut_off(self) -> None:
        """Guards against sides that refuse what their share of the limit allows."""
        cut_zone(self.fleet)
        since = self.fleet.now
        self.fleet.run(10.0, demand=USUAL)
        heal(self.fleet)
        self.fleet.run(10.0, demand=USUAL)
        self.assertGreater(self.fleet.let_in(since), 0.97 * self.fleet.asked(since))

    def test_frozen_host_wakes(self) -> None:
        """Guards against a host that lets in at once all that has come meanwhile."""
        self.flood(4.0)
        for number in range(6):
            self.fleet.freeze(number, 5.0)
        self.flood(12.0)
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_hosts_start_again(self) -> None:
        """Guards against hosts that forget with their memory that the limit is used up."""
        self.flood(5.0)
        for host in self.fleet.hosts:
            host.start()
        self.flood(10.0)
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_one_host_starts_again_and_again(self) -> None:
        """Guards against a start that is worth a new burst."""
        for _ in range(8):
            self.flood(1.0)
            self.fleet.hosts[0].start()
        self.assertLess(self.fleet.worst_window(), 1.0)

    def test_host_starts_and_hears_nobody(self) -> None:
        """Guards against a new host that takes more than its share while it knows nothing."""
        fleet, host = self.fleet, self.fleet.hosts[0]
        fleet.side[0] = True
        host.start()
        since = fleet.now
        fleet.run(8.0, demand=FLOOD, pick=lambda rng: 0)
        alone = fleet.let_in(since)
        self.assertGreater(alone, 0)
        self.assertLess(alone, 2.0 * 8.0 * RATE / fleet.size + 2 * LARGE)

    def test_lowered_limit(self) -> None:
        """Guards against hosts that go on by the old limit, or stand still after it."""
        self.flood(5.0)
        self.fleet.set_limit(RATE / 10)
        self.flood(APPLY_TIME + WINDOW)
        since = self.fleet.now
        self.flood(16.0)
        self.assertLess(self.fleet.worst_window(), 1.0)
        self.assertGreater(self.fleet.let_in(since), 0.9 * 16.0 * RATE / 10)

    def test_limit_far_below_what_is_sent(self) -> None:
        """Guards against hosts that each let in one more request than there is room for."""
        self.flood(5.0)
        self.fleet.set_limit(1_000.0)
        self.flood(30.0)
        self.assertLess(self.fleet.worst_window(), 1.0)


class TestAnyWindow(unittest.TestCase):
    """Random demands, sizes and failures: no window holds more than the rule allows."""

    def test_no_window_goes_beyond(self) -> None:
        """Guards against a sequence of failures that lets in more than the limit."""
        for seed in range(120):
            with self.subTest(seed=seed):
                self.assertLess(self.play(seed).worst_window(), 1.0)

    def play(self, seed: int) -> OrganisationFleet:
        """Play some seconds with two or three troubles."""
        rng = random.Random(seed)
        fleet = OrganisationFleet(rng.choice((2, 3, 6, 9)), seed=seed, rate=rng.choice((4e4, RATE)))
        rate = fleet.limit.rate
        for _ in range(4):
            trouble = rng.choice(("cut", "alone", "restart", "freeze", "lower", "heal", "calm"))
            number = rng.randrange(fleet.size)
            if trouble == "cut":
                fleet.side = [rng.random() < 0.4 for _ in range(fleet.size)]
            elif trouble == "alone":
                fleet.side = list(range(fleet.size))
            elif trouble == "restart":
                fleet.hosts[number].start()
            elif trouble == "freeze":
                fleet.freeze(number, rng.uniform(0.5, 6.0))
            elif trouble == "lower":
                fleet.set_limit(rate * rng.uniform(0.05, 1.0))
            elif trouble == "heal":
                heal(fleet)
            sizes = rng.choice(((LARGE,), (LARGE, SMALL), (SMALL,) * 5 + (LARGE,)))
            fleet.run(
                rng.uniform(1.0, 6.0),
                demand=rate * rng.choice((0.5, 1.0, 2.0, 6.0)),
                cost=lambda draw, sizes=sizes: draw.choice(sizes),
            )
        return fleet


class LimitedHost:
    """A whole host whose callers belong to an organisation with a limit."""

    def __init__(self, rate: float, burst: float, *, in_tokens: bool = True) -> None:
        with unittest.mock.patch.object(
            _settings.Forwarding.__init__, "__kwdefaults__", {**_defaults(), "limit_overshoot": 0.0}
        ):
            self.host = Host()
        self.set_limit(2, rate, burst, in_tokens=in_tokens)
        self.host.run(20.0)

    def set_limit(self, version: int, rate: float, burst: float, *, in_tokens: bool = True) -> None:
        """Let the host read a version of the limits."""
        limit = OrganisationLimit(
            rate=rate, burst=burst, counts_tokens=in_tokens, plain_tokens=SMALL
        )
        one = Organisation(name="one", keys=("k",), limit=limit)
        free = Organisation(name="free", keys=("f",))
        base = table()
        whole = RouteTable(
            version=version,
            routes=(*base.routes, route(SAFE, APP, name="open", public=True)),
            services=base.services,
            organisations=(one, free),
        )
        self.host.feed(_events.RoutesRead, table=whole)

    def left(self) -> float:
        """Return what is left of the limit."""
        return self.host.state["organisation_limits"].accounts["one"].level

    def told(self) -> dict[str, int]:
        """Return the sums that other hosts would be told now."""
        return organisation_limits.take_told(self.host.state, self.host.now)


def _defaults() -> dict[str, object]:
    return dict(_settings.Forwarding.__init__.__kwdefaults__)


class TestOneHost(unittest.TestCase):
    """What counts, what comes back, and what a refused caller is told."""

    def test_beyond_the_limit_is_429_not_run(self) -> None:
        """Guards against requests that wait, or reach an endpoint, beyond the limit."""
        limited = LimitedHost(1.0, 2.0, in_tokens=False)
        calls = [limited.host.ask("safe", key="k") for _ in range(4)]
        refusals = [limited.host.refusal(call) for call in calls]
        self.assertEqual(refusals[:2], [None, None])
        for failure in refusals[2:]:
            self.assertIs(failure.reason, ORGANISATION_LIMIT)
            self.assertEqual(failure.reason.status, 429)
            self.assertGreater(failure.retry_after, 0.0)
        self.assertEqual(limited.host.effects_of(Forward, calls[3]), [])

    def test_tokens_are_there_when_the_caller_was_told(self) -> None:
        """Guards against callers that come back in vain."""
        limited = LimitedHost(1.0, 1.0, in_tokens=False)
        while (failure := limited.host.refusal(limited.host.ask("safe", key="k"))) is None:
            continue
        limited.host.run(failure.retry_after)
        self.assertIsNone(limited.host.refusal(limited.host.ask("safe", key="k")))

    def test_others_are_not_limited(self) -> None:
        """Guards against a limit that binds callers without one."""
        limited = LimitedHost(1.0, 1.0, in_tokens=False)
        for path, key in (("safe", "f"), ("open", "")):
            for _ in range(5):
                self.assertIsNone(limited.host.refusal(limited.host.ask(path, key=key)))
        self.assertEqual(limited.told(), {})

    def test_counts_tokens_of_prompt_and_output(self) -> None:
        """Guards against sizes that count as something else than the operator's page says."""
        limited = LimitedHost(10_000.0, 10_000.0)
        limited.host.ask("stream", key="k", prompt_tokens=3_000, max_tokens=80)
        limited.host.ask("safe", key="k")
        self.assertEqual(limited.told(), {"one": 3_080 + SMALL})

    def test_refused_later_gives_its_tokens_back(self) -> None:
        """Guards against requests that count although they have not run."""
        limited = LimitedHost(10_000.0, 10_000.0)
        call = limited.host.ask("stream", key="k")
        self.assertGreater(limited.told()["one"], 0)
        limited.host.feed(_events.ForwardLeft, call_id=call)
        self.assertEqual(limited.told(), {"one": 0})

    def test_request_that_ran_counts_after_its_end(self) -> None:
        """Guards against answered requests that give their tokens back."""
        limited = LimitedHost(10_000.0, 10_000.0)
        call = limited.host.ask("safe", key="k")
        limited.host.answer(call)
        limited.host.feed(_events.ForwardAnswered, call_id=call)
        self.assertEqual(limited.told(), {"one": SMALL})

    def test_second_run_counts_again(self) -> None:
        """Guards against resends that reach engines beyond the limit."""
        limited = LimitedHost(10_000.0, 10_000.0)
        call = limited.host.ask("safe", key="k")
        limited.host.fail(call, BROKEN)
        self.assertEqual(len(limited.host.effects_of(Forward, call)), 2)
        self.assertEqual(limited.told(), {"one": 2 * SMALL})

    def test_try_that_did_not_run_counts_once(self) -> None:
        """Guards against refusals by endpoints that use the caller's limit up."""
        limited = LimitedHost(10_000.0, 10_000.0)
        call = limited.host.ask("safe", key="k")
        limited.host.answer(call, 503, not_run=True)
        self.assertEqual(len(limited.host.effects_of(Forward, call)), 2)
        self.assertEqual(limited.told(), {"one": SMALL})

    def test_passed_on_request_counts_at_the_first_host_only(self) -> None:
        """Guards against requests that count twice as they take two hosts."""
        limited = LimitedHost(10_000.0, 10_000.0)
        limited.host.know("z", routes_version=2)
        limited.host.pass_in("safe", routes_version=2)
        self.assertEqual(limited.told(), {})

    def test_lost_and_late_datagrams_do_no_harm(self) -> None:
        """Guards against sums that are added up twice."""
        limited = LimitedHost(10_000.0, 10_000.0)
        limited.host.know("b", counted={"one": 0})
        limited.host.run(0.1)
        limited.host.know("b", counted={"one": 500})
        before = limited.left()
        limited.host._told += 3
        limited.host.know("b", counted={"one": 900})
        limited.host._told -= 3
        limited.host.know("b", counted={"one": 700})
        self.assertEqual(before - limited.left(), 400)

    def test_known_sum_of_an_organisation_that_is_not_known(self) -> None:
        """Guards against a datagram that costs more than its own content."""
        limited = LimitedHost(10_000.0, 10_000.0)
        limited.host.know("b", counted={"unknown": 500, "free": 3})
        self.assertIsNone(limited.host.refusal(limited.host.ask("safe", key="k")))

    def test_sum_beyond_all_bounds_is_passed_over(self) -> None:
        """Guards against a datagram that can't be counted and costs the others in it."""
        limited = LimitedHost(10_000.0, 10_000.0)
        limited.host.know("b", counted={"one": 2**63})
        limited.host.know("b", counted={"one": -(2**63) - 1})
        limited.host.know("b", counted={"one": 400})
        self.assertIsNone(limited.host.refusal(limited.host.ask("safe", key="k")))

    def test_sums_ride_in_the_datagrams_of_loads(self) -> None:
        """Guards against sums that no other host hears, and against datagrams of their own."""
        limited = LimitedHost(10_000.0, 10_000.0)
        limited.host.know("b")
        limited.host.run(1.0)
        before = len([one for one in limited.host.effects if isinstance(one, TellLoad)])
        limited.host.ask("safe", key="k")
        told = []
        while not told:
            limited.host.run(0.1)
            told = [one for one in limited.host.effects if isinstance(one, TellLoad)][before:]
        self.assertEqual([one.counted for one in told], [{"one": SMALL}])

    def test_nothing_is_told_after_a_while(self) -> None:
        """Guards against datagrams that grow with all organisations ever seen."""
        limited = LimitedHost(10_000.0, 10_000.0)
        limited.host.ask("safe", key="k")
        limited.host.run(organisation_limits.TELL_TIME_S + TELL_INTERVAL)
        self.assertEqual(limited.told(), {})

    def test_endpoint_that_refuses_a_hold_costs_nothing(self) -> None:
        """Guards against a hold that counts as a run."""
        limited = LimitedHost(10_000.0, 10_000.0)
        call = limited.host.ask("stream", key="k")
        limited.host.answer_hold(call, REFUSED)
        limited.host.feed(_events.ForwardLeft, call_id=call)
        self.assertEqual(limited.told(), {"one": 0})


if __name__ == "__main__":
    unittest.main()
