"""Tests of the decision whether a caller's key allows its request, without a network."""

import random
import unittest

from wasabiwick import _events
from wasabiwick._caller_keys import digest
from wasabiwick._effects import LogLine
from wasabiwick._effects_forwarding import CutForward
from wasabiwick._errors import (
    BAD_KEY,
    HOST_FULL,
    KEY_UNDECIDED,
    NO_CONFIGURATION,
    NO_ROUTE,
    OTHER_VERSION,
    Failure,
)
from wasabiwick._forwarding import SAFE, STREAM, Organisation, RouteTable
from wasabiwick._handlers import forwarding, rejecting, routes
from wasabiwick._verdict import Verdict

from ._forward import (
    APP,
    BROKEN,
    DECODE,
    MODEL,
    REFUSED,
    Forward,
    Host,
    PassOn,
    ReadPrompt,
    RefuseForward,
    TakeHold,
    engine,
    route,
    table,
)

FIRST, SECOND, OTHER = (digest(key) for key in (b"first", b"second", b"other"))
SEEDS = range(6)


def organisation(name: str, *keys: str, priority: int | None = None) -> Organisation:
    """Return an organisation that holds some keys."""
    return Organisation(name=name, keys=keys, priority=priority)


ACME = organisation("acme", FIRST)


def named(version: int, *organisations: Organisation, **fields: object) -> RouteTable:
    """Return a version of the routes with organisations, and a public route."""
    known = table(version)
    return RouteTable(
        version=version,
        routes=(*known.routes, route(SAFE, APP, name="open", public=True)),
        services=known.services,
        organisations=organisations,
        **fields,
    )


class KeyTest(unittest.TestCase):
    """Base of tests with a host whose routes name one organisation."""

    def setUp(self) -> None:
        self.host = Host()
        self.read(2, ACME)

    def read(self, version: int, *organisations: Organisation, **fields: object) -> None:
        """Let the host read a version of the routes."""
        self.host.feed(_events.RoutesRead, table=named(version, *organisations, **fields))

    def ask(self, path: str, key: str = FIRST, **fields: object) -> str:
        """Let a caller send a request, and return the call's id."""
        return self.host.ask(path, key=key, **fields)

    def reason(self, call_id: str) -> object:
        """Return the reason for which a call was refused, or None."""
        failure = self.host.refusal(call_id)
        return failure.reason if failure is not None else None

    def names_told(self, call_id: str, kind: type = Forward) -> list[str | None]:
        """Return the organisation's name in each request that was sent for a call."""
        return [one.organisation for one in self.host.effects_of(kind, call_id)]


class TestArrivals(KeyTest):
    """Only callers with a key of an organisation are served, and endpoints are told its name."""

    def test_known_key_is_served_under_its_organisations_name(self) -> None:
        call_id = self.ask("safe")
        self.assertEqual(self.names_told(call_id), ["acme"])

    def test_unknown_or_missing_key_is_refused_for_good(self) -> None:
        for key in (OTHER, ""):
            with self.subTest(key=key):
                failure = self.host.refusal(self.ask("safe", key))
                self.assertIs(failure.reason, BAD_KEY)
                self.assertIs(failure.verdict, Verdict.NOT_RUN)
                self.assertIsNone(failure.retry_after)
        self.assertEqual([one for one in self.host.effects if isinstance(one, Forward)], [])

    def test_public_route_needs_no_key_and_names_the_holder_of_one(self) -> None:
        self.assertEqual(self.names_told(self.ask("open", "")), [""])
        self.assertEqual(self.names_told(self.ask("open", OTHER)), [""])
        self.assertEqual(self.names_told(self.ask("open")), ["acme"])

    def test_missing_route_goes_before_a_missing_key(self) -> None:
        self.assertIs(self.reason(self.ask("nowhere", "")), NO_ROUTE)

    def test_generation_is_prefilled_and_sent_under_the_name(self) -> None:
        call_id = self.host.start_stream(key=FIRST)
        self.assertEqual(self.names_told(call_id, ReadPrompt), ["acme"])
        self.assertEqual(self.names_told(call_id), ["acme"])

    def test_priority_of_the_organisation_goes_before_that_of_the_route(self) -> None:
        self.read(3, organisation("acme", FIRST, priority=2))
        first = self.host.start_stream(key=FIRST)
        self.read(4, ACME)
        second = self.host.start_stream(key=FIRST)
        priorities = [self.host.last_effect(Forward, one).priority for one in (first, second)]
        self.assertEqual(priorities[0], priorities[1] + 2)

    def test_priority_of_the_route_decides_between_calls_of_one_organisation(self) -> None:
        """Only the organisation's priority counted, so urgent calls waited behind others."""
        known = table(3)
        self.host.feed(
            _events.RoutesRead,
            table=RouteTable(
                version=3,
                routes=(known.routes[0], route(STREAM, MODEL, name="draft", priority=2)),
                services=known.services,
                organisations=(organisation("acme", FIRST, priority=1),),
            ),
        )
        later, urgent = self.ask("draft"), self.ask("stream")
        calls = [forwarding.call(self.host.state, one) for one in (later, urgent)]
        ranks = [rejecting.rank(self.host.state, one, self.host.now) for one in calls]
        self.assertGreater(*ranks)

    def test_without_organisations_nothing_changes(self) -> None:
        """A key decides nothing where the operator names no organisations."""
        host = Host()
        plain, keyed = host.ask("safe"), host.ask("safe", key=OTHER)
        self.assertEqual(
            [one.organisation for one in host.effects if isinstance(one, Forward)], [None, None]
        )
        self.assertTrue(host.is_open(plain) and host.is_open(keyed))

    def test_no_key_is_accepted_where_no_organisation_is_left(self) -> None:
        self.read(3)
        self.assertIs(self.reason(self.ask("safe")), BAD_KEY)

    def test_refusal_names_the_version_that_decided(self) -> None:
        self.ask("safe", OTHER)
        lines = [one for one in self.host.effects if isinstance(one, LogLine)]
        refused = [one.fields for one in lines if one.event == "refused"]
        self.assertEqual(refused[-1]["routes_version"], 2)
        self.assertNotIn(OTHER, str(refused))


class TestNotKnowing(KeyTest):
    """A key that this host may not have read yet is refused for now only, never for good."""

    def test_host_without_routes_refuses_for_now(self) -> None:
        host = Host()
        host.state["routes"].table = None
        call_id = host.ask("safe", key=FIRST)
        self.assertIs(host.refusal(call_id).reason, NO_CONFIGURATION)

    def test_unknown_key_is_undecided_while_another_host_has_a_newer_version(self) -> None:
        """A new key got a 401 at hosts that had not read its version, and was not tried again."""
        self.host.know("b", routes_version=3)
        failure = self.host.refusal(self.ask("safe", OTHER))
        self.assertIs(failure.reason, KEY_UNDECIDED)
        self.assertGreater(failure.retry_after, 0.0)
        self.read(3, ACME, organisation("other", OTHER))
        self.assertEqual(self.names_told(self.ask("safe", OTHER)), ["other"])

    def test_unknown_key_is_undecided_after_the_host_that_told_is_gone(self) -> None:
        """A new key got a 401 at hosts that had not read its version once its teller had ended."""
        self.host.know("b", routes_version=3)
        self.host.run(10.0)
        self.assertIs(self.reason(self.ask("safe", OTHER)), KEY_UNDECIDED)

    def test_unknown_key_is_decided_once_the_store_has_long_shown_nothing_newer(self) -> None:
        """A host that told a wrong version kept all others from deciding on a key, for good."""
        for _ in range(int(routes.BEHIND_BOUND_S) + 2):
            self.host.run(1.0)
            self.host.know("b", routes_version=10**18)
        self.assertIs(self.reason(self.ask("safe", OTHER)), BAD_KEY)

    def test_unknown_key_is_undecided_while_no_version_can_be_read(self) -> None:
        self.host.feed(_events.FeedChanged, feed="routes", up=False)
        self.assertIs(self.reason(self.ask("safe", OTHER)), KEY_UNDECIDED)
        self.assertEqual(self.names_told(self.ask("safe")), ["acme"])
        self.host.feed(_events.FeedChanged, feed="routes", up=True)
        self.assertIs(self.reason(self.ask("safe", OTHER)), BAD_KEY)

    def test_unknown_key_is_known_to_be_so_while_nothing_changes(self) -> None:
        """A host that others read the store for hears nothing for long; that is not silence."""
        self.host.run(60.0)
        self.assertIs(self.reason(self.ask("safe", OTHER)), BAD_KEY)

    def test_keys_of_an_unreadable_organisation_are_undecided(self) -> None:
        self.read(3, ACME, unread_keys=(SECOND,))
        self.assertIs(self.reason(self.ask("safe", SECOND)), KEY_UNDECIDED)
        self.assertIs(self.reason(self.ask("safe", OTHER)), BAD_KEY)
        self.assertIsNone(self.reason(self.ask("safe")))

    def test_any_unknown_key_is_undecided_if_an_organisations_keys_are_unreadable(self) -> None:
        self.read(3, ACME, unread_keys=None)
        self.assertIs(self.reason(self.ask("safe", OTHER)), KEY_UNDECIDED)
        self.assertIs(self.reason(self.ask("safe", "")), BAD_KEY)
        self.assertIsNone(self.reason(self.ask("safe")))


class TestKeyTakenAway(KeyTest):
    """A request that waits is judged by the newest version; one that runs goes on."""

    def wait_for_room(self) -> str:
        """Let callers send generations until one has to wait, and return its call's id."""
        while True:
            call_id = self.ask("stream")
            if not self.host.effects_of(TakeHold, call_id):
                return call_id
            self.host.answer_hold(call_id)
            self.host.answer_prefill(call_id)
            self.host.answer(call_id, streams=True)

    def test_waiting_generation_is_refused_at_once(self) -> None:
        call_id = self.wait_for_room()
        self.assertTrue(self.host.is_open(call_id))
        self.read(3)
        self.assertIs(self.reason(call_id), BAD_KEY)
        self.assertFalse(self.host.is_open(call_id))

    def test_generation_is_refused_between_its_hold_and_its_prefill(self) -> None:
        call_id = self.ask("stream")
        self.read(3)
        self.assertIs(self.reason(call_id), BAD_KEY)
        self.host.answer_hold(call_id)
        self.assertEqual(self.host.effects_of(ReadPrompt, call_id), [])

    def test_generation_is_refused_between_its_prefill_and_its_run(self) -> None:
        call_id = self.ask("stream")
        self.host.answer_hold(call_id)
        self.read(3)
        self.assertIs(self.reason(call_id), BAD_KEY)
        self.host.answer_prefill(call_id)
        self.assertEqual(self.names_told(call_id), [])

    def test_refused_request_is_not_sent_again(self) -> None:
        call_id = self.ask("unsafe")
        self.read(3)
        self.assertIsNone(self.reason(call_id))
        self.host.answer(call_id, 503, not_run=True)
        self.assertEqual(len(self.names_told(call_id)), 1)
        self.assertIs(self.reason(call_id), BAD_KEY)

    def test_request_that_may_have_run_is_not_said_to_be_refused_for_its_key(self) -> None:
        call_id = self.ask("safe")
        self.read(3)
        self.host.fail(call_id, BROKEN)
        self.assertEqual(len(self.names_told(call_id)), 1)
        self.assertEqual(self.host.refusal(call_id).verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.reason(call_id).status, 502)

    def test_running_stream_goes_on_and_is_resumed_under_the_same_name(self) -> None:
        """A planned change cuts nothing: the caller has a part of the stream already."""
        call_id = self.host.start_stream(key=FIRST)
        self.read(3)
        self.assertTrue(self.host.is_open(call_id))
        self.host.fail(call_id, BROKEN, events=3)
        self.host.answer_hold(call_id)
        if self.host.effects_of(ReadPrompt, call_id)[1:]:
            self.host.answer_prefill(call_id)
        self.assertEqual(self.names_told(call_id), ["acme", "acme"])
        self.assertTrue(self.host.last_effect(Forward, call_id).resume)
        self.assertEqual(self.host.effects_of(CutForward, call_id), [])

    def test_callers_own_take_up_is_judged_anew(self) -> None:
        self.host.start_stream(key=FIRST, trace_id="t-1")
        self.read(3)
        call_id = self.ask("stream", resumed=True, resumes="t-1", events_before=2)
        self.assertIs(self.reason(call_id), BAD_KEY)

    def test_key_that_moves_names_its_newest_holder(self) -> None:
        call_id = self.wait_for_room()
        self.read(3, organisation("acme", SECOND), organisation("heir", FIRST))
        self.host.read_list(engine("d2", DECODE))
        self.host.run(0.1)
        self.host.answer_hold(call_id)
        self.host.answer_prefill(call_id)
        self.assertEqual(self.names_told(call_id, ReadPrompt), ["heir"])
        self.assertEqual(self.names_told(call_id), ["heir"])

    def test_route_that_is_no_longer_public_needs_a_key_before_a_retry(self) -> None:
        call_id = self.ask("open", "")
        known = named(3, ACME)
        closed = (*known.routes[:-1], route(SAFE, APP, name="open"))
        self.host.feed(
            _events.RoutesRead,
            table=RouteTable(
                version=3,
                routes=closed,
                services=known.services,
                organisations=known.organisations,
            ),
        )
        self.host.fail(call_id, REFUSED)
        self.assertIs(self.reason(call_id), BAD_KEY)

    def test_public_request_is_sent_again_without_the_name_of_a_former_holder(self) -> None:
        call_id = self.ask("open")
        self.read(3)
        self.host.fail(call_id, REFUSED)
        self.assertEqual(self.names_told(call_id), ["acme", ""])

    def test_older_version_brings_no_key_back(self) -> None:
        """A configuration in force never reverts."""
        self.read(4, organisation("heir", SECOND))
        self.read(3, ACME)
        self.assertIs(self.reason(self.ask("safe")), BAD_KEY)
        self.assertEqual(self.names_told(self.ask("safe", SECOND)), ["heir"])

    def test_versions_in_quick_succession(self) -> None:
        """Large configurations, each with another key for the same organisations."""
        keys: list[str] = []
        for version in range(3, 9):
            keys = [digest(b"%d of %d" % (number, version)) for number in range(3_000)]
            holders = [organisation(f"o{number}", key) for number, key in enumerate(keys)]
            self.read(version, *holders)
        self.assertIs(self.reason(self.ask("safe")), BAD_KEY)
        self.assertEqual(self.names_told(self.ask("safe", keys[2_999])), ["o2999"])


class TestHops(KeyTest):
    """The host that a request is passed to judges it too, and gets no key."""

    def reach_nothing(self) -> None:
        """Let the host reach no endpoint, and know another host."""
        self.host.know("b", routes_version=2)
        self.ask("unsafe")
        self.host.cut_off(APP)
        self.host.know("b", routes_version=2)

    def test_digest_and_name_are_passed_on(self) -> None:
        self.reach_nothing()
        hop = self.host.last_effect(PassOn, self.ask("safe", fingerprints=("request:1",))).hop
        self.assertEqual((hop.key, hop.organisation), (FIRST, "acme"))
        self.assertEqual(hop.fingerprints, ("request:1",))

    def test_nothing_new_is_passed_on_without_organisations(self) -> None:
        self.host = Host()
        self.host.know("b")
        self.host.ask("unsafe")
        self.host.cut_off(APP)
        self.host.know("b")
        hop = self.host.last_effect(PassOn, self.ask("safe", fingerprints=("request:1",))).hop
        self.assertEqual((hop.key, hop.organisation, hop.fingerprints), ("", None, ()))

    def test_request_whose_key_went_is_passed_to_no_further_host(self) -> None:
        self.reach_nothing()
        self.host.know("c", routes_version=2)
        call_id = self.ask("safe")
        self.read(3)
        self.host.fail_hop(call_id, Failure(reason=HOST_FULL, verdict=Verdict.NOT_RUN))
        self.assertEqual(len(self.host.effects_of(PassOn, call_id)), 1)
        self.assertIs(self.reason(call_id), BAD_KEY)

    def test_host_that_it_is_passed_to_judges_it(self) -> None:
        known = self.pass_in(FIRST)
        self.assertEqual(self.names_told(known), ["acme"])
        self.assertIs(self.reason(self.pass_in(OTHER)), BAD_KEY)
        self.assertIs(self.reason(self.pass_in("")), BAD_KEY)

    def test_what_is_undecided_is_turned_down_as_the_build_before_understands(self) -> None:
        self.host.know("b", routes_version=3)
        self.assertIs(self.reason(self.pass_in(OTHER)), OTHER_VERSION)

    def test_stream_that_began_elsewhere_goes_on_under_the_name_told(self) -> None:
        call_id = self.pass_in(OTHER, "stream", service=MODEL, events=3, organisation="gone")
        self.host.answer_hold(call_id)
        self.host.answer_prefill(call_id)
        self.assertEqual(self.names_told(call_id), ["gone"])

    def pass_in(self, key: str, path: str = "safe", **told: object) -> str:
        """Let another host pass a request on, and return the call's id."""
        return self.host.pass_in(path, key=key, routes_version=2, **told)


class TestFleet(unittest.TestCase):
    """Keys come and go while the store turns a third of the hosts away, and hosts start without it.

    No host serves a key that its newest version lacks, and no caller whose key is in force
    somewhere is refused for good.
    """

    HOSTS = 9
    STEPS = 60

    def test_store_turns_a_third_away(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_fleet(random.Random(seed))

    def run_fleet(self, rng: random.Random) -> None:
        """Change keys at random, and let callers ask hosts of all ages of news."""
        hosts = [Host(name=f"h{number}") for number in range(self.HOSTS)]
        versions = [frozenset({FIRST})]
        for host in hosts:
            host.feed(_events.RoutesRead, table=self.version(2, versions[0]))
        started = Host(name="late")
        started.state["routes"].table = None  # It starts while the store is down.
        away = rng.sample(hosts, self.HOSTS // 3)
        for _ in range(self.STEPS):
            if rng.random() < 0.2:
                versions.append(frozenset(rng.sample((FIRST, SECOND, OTHER), rng.randrange(3))))
            newest = len(versions) + 1
            for host in hosts:
                if host not in away and rng.random() < 0.7:
                    host.feed(_events.RoutesRead, table=self.version(newest, versions[-1]))
                    host.read_list()
            if rng.random() < 0.1:
                away = rng.sample(hosts, self.HOSTS // 3)
            for host in hosts:
                host.feed(_events.FeedChanged, feed="routes", up=host not in away)
            for host in hosts:
                others = [one for one in hosts if one is not host]
                for other in others:
                    in_force = routes.version(other.state)
                    host.know(other.state.owner.host, routes_version=in_force)
            for host in hosts:
                self.check(host, rng.choice((FIRST, SECOND, OTHER)), versions, newest)
            call_id = started.ask("safe", key=FIRST)
            self.assertIs(started.refusal(call_id).reason, NO_CONFIGURATION)
            for host in hosts:
                host.run(0.2)

    def version(self, number: int, keys: frozenset[str]) -> RouteTable:
        """Return a version in which each key has its own organisation."""
        return named(number, *(organisation(f"holder of {key}", key) for key in sorted(keys)))

    def check(self, host: Host, key: str, versions: list[frozenset[str]], newest: int) -> None:
        """Let a caller ask a host, and compare what it gets with the version in force there."""
        held = routes.version(host.state)
        call_id = host.ask("safe", key=key)
        sent = host.effects_of(Forward, call_id)
        if key in versions[held - 2]:
            self.assertEqual([one.organisation for one in sent], [f"holder of {key}"])
            host.answer(call_id)
            host.feed(_events.ForwardAnswered, call_id=call_id)
            return
        self.assertEqual(sent, [])
        failure = host.last_effect(RefuseForward, call_id).failure
        is_known_elsewhere = held < newest and any(
            key in keys for keys in versions[held - 1 : newest - 1]
        )
        is_away = not host.state["organisations"].is_up
        if is_away or (is_known_elsewhere and self.has_heard(host, held)):
            self.assertIs(failure.reason, KEY_UNDECIDED)
        self.assertIs(failure.verdict, Verdict.NOT_RUN)

    def has_heard(self, host: Host, held: int) -> bool:
        """Return whether a host has heard of a newer version than the one that it holds."""
        return any(one.routes_version > held for one in host.state["neighbours"].hosts.values())
