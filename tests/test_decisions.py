"""Tests of coordinators, their queues, prefix indexes and predictors, and endpoint health."""

import unittest

from wasabiwick import _effects, _events, _handlers, _reducer, _state, _wire
from wasabiwick._handlers import coordinator, health, predict, prefixes, queueing, totals

from . import support

ZONE = "tx-central-a"
OWNER = _wire.Owner(host="other", incarnation="1")
OTHER_OWNER = _wire.Owner(host="third", incarnation="1")


def coordinating_host(*, engines: int = 1, at: float = 0.0) -> _state.State:
    """Return the state of a host that coordinates a pool of engines that have not reported yet."""
    assert _handlers.coordinator
    state = _state.State(support.make_settings("host", ZONE))
    owner = _wire.Owner(host="host", incarnation="1")
    booted = _events.Booted(at=at, owner=owner, zone=ZONE, wall=1e9, seed=1)
    _reducer.reduce(state, booted)
    entries = [_wire.HostEntry(name="host", kind="entry", zone=ZONE, address="http://host")]
    entries += [
        _wire.HostEntry(
            name=f"engine-{number}",
            kind="engine",
            zone=ZONE,
            address=f"http://engine-{number}",
            service=support.MODEL,
        )
        for number in range(engines)
    ]
    _reducer.reduce(state, _events.HostsListed(at=at, entries=tuple(entries)))
    return state


def deliver_report(
    state: _state.State, at: float, *, slots: int, streams: tuple = (), engine: int = 0
):
    """Deliver an engine's report to the host, and return the effects."""
    engine_report = _wire.EngineReport(
        engine=f"engine-{engine}",
        sequence=int(at * 1000) + 1,
        slots=slots,
        used=len(streams),
        prefill_rate=10_000.0,
        decode_interval=0.03,
        streams=tuple(
            _wire.StreamReport(request_id=one, attempt_id=one, owner="other", phase="decode")
            for one in streams
        ),
    )
    return _reducer.reduce(state, _events.EngineReported(at=at, report=engine_report))


def deliver(state: _state.State, at: float, message: _wire.Message, sender=OWNER) -> list:
    """Deliver a peer's message to the host, and return the messages that it sends."""
    event = _events.PeerMessage(at=at, sender=sender, zone=ZONE, message=message)
    effects = _reducer.reduce(state, event)
    return [one.message for one in effects if isinstance(one, _effects.SendPeer)]


def reserve_message(state: _state.State, name: str, at: float, **fields: object) -> _wire.Reserve:
    """Return a request for a slot for an attempt of this name."""
    due = fields.pop("due", at + 2.0)
    return _wire.Reserve(
        **{
            "request_id": name,
            "attempt_id": name,
            "owner": OWNER,
            "engine": "",
            "config_version": 1,
            "deadline": state.wall(at + 60),
            "prompt_tokens": 100,
            "max_tokens": 50,
            "model": support.MODEL,
            "zone": ZONE,
            "target": state.wall(due),
            "customer": "lonestar",
            **fields,
        }
    )


def type_names(messages: list) -> list[str]:
    """Return the names of the messages' types."""
    return [type(one).__name__ for one in messages]


class TestSlots(unittest.TestCase):
    """A slot must not be granted twice, and a freed or expired one must go to a queued request."""

    def setUp(self) -> None:
        self.state = coordinating_host()
        deliver_report(self.state, 4.0, slots=1)

    def test_second_request_waits_for_release(self) -> None:
        first = deliver(self.state, 4.1, reserve_message(self.state, "a", 4.1))
        self.assertEqual(type_names(first), ["Granted"])
        self.assertEqual(
            deliver(self.state, 4.2, reserve_message(self.state, "b", 4.2, due=30.0)), []
        )
        done = _wire.Release(
            request_id="a",
            attempt_id="a",
            owner=OWNER,
            engine="engine-0",
            model=support.MODEL,
            zone=ZONE,
        )
        granted = deliver(self.state, 4.5, done)
        self.assertEqual([one.attempt_id for one in granted], ["b"])

    def test_request_past_its_target_is_denied_or_queued_as_late(self) -> None:
        deliver(self.state, 4.1, reserve_message(self.state, "a", 4.1))
        for name in "bcdefg":
            deliver(self.state, 4.2, reserve_message(self.state, name, 4.2, due=4.3))
        denied = deliver(
            self.state, 4.2, reserve_message(self.state, "late", 4.2, due=4.1, may_wait=False)
        )
        queue = self.state["coordinator"].pools[(support.MODEL, ZONE)].queue
        self.assertLess(len(queue), 7 + len(denied))
        self.assertTrue(denied or queue.bands[queueing.LATE].size)

    def test_reservation_without_renewal_expires(self) -> None:
        deliver(self.state, 4.1, reserve_message(self.state, "a", 4.1))
        deliver(
            self.state,
            4.2,
            reserve_message(self.state, "b", 4.2, due=30.0, owner=OTHER_OWNER),
            OTHER_OWNER,
        )
        for at in (5.0, 6.0, 7.0):
            renewed = _wire.Renew(
                owner=OTHER_OWNER,
                attempts=(("", "b", "b", False),),
                model=support.MODEL,
                zone=ZONE,
            )
            self.assertEqual(deliver(self.state, at, renewed, OTHER_OWNER), [])
        effects = _reducer.reduce(self.state, _events.TimerFired(at=7.5, timer="sweep"))
        sent = [one.message for one in effects if isinstance(one, _effects.SendPeer)]
        self.assertEqual([one.attempt_id for one in sent], ["b"])

    def test_unknown_attempt_takes_slot(self) -> None:
        deliver_report(self.state, 4.5, slots=2, streams=("unknown",))
        deliver(self.state, 4.6, reserve_message(self.state, "a", 4.6))
        self.assertEqual(
            deliver(self.state, 4.7, reserve_message(self.state, "b", 4.7, due=30.0)), []
        )


class TestRestart(unittest.TestCase):
    """A new coordinator must not grant slots again that its predecessor granted.

    It does not know the earlier grants, so it keeps a margin of slots back, takes over reservations
    that hosts renew, and denies waiting attempts that it does not know.
    """

    def test_margin_is_kept_and_reservations_are_taken_over(self) -> None:
        state = coordinating_host(at=10.0)
        deliver_report(state, 10.1, slots=4, streams=("old",))
        pool = state["coordinator"].pools[(support.MODEL, ZONE)]
        self.assertEqual(pool.free(), 1)
        renewed = _wire.Renew(
            owner=OWNER,
            attempts=(("engine-0", "old", "old", True), ("", "lost", "lost", False)),
            model=support.MODEL,
            zone=ZONE,
        )
        answers = deliver(state, 10.2, renewed)
        self.assertEqual([(one.attempt_id, one.unknown) for one in answers], [("lost", True)])
        self.assertEqual(pool.free(), 1)
        deliver_report(state, 14.0, slots=4, streams=("old",))
        self.assertEqual(pool.free(), 3)


class TestQueue(unittest.TestCase):
    """A busy customer must not starve another, nor late requests starve those on time."""

    def queued_request(self, name: str, customer: str, band: int) -> queueing.QueuedRequest:
        asked = _wire.Reserve(
            request_id=name,
            attempt_id=name,
            owner=OWNER,
            engine="",
            config_version=1,
            deadline=0.0,
            customer=customer,
            max_tokens=100,
        )
        return queueing.QueuedRequest(asked=asked, since=0.0, due=1.0, deadline=9.0, band=band)

    def test_customers_take_turns(self) -> None:
        queue = queueing.WaitQueue()
        for number in range(4):
            queue.add(self.queued_request(f"busy-{number}", "busy", queueing.URGENT))
        queue.add(self.queued_request("quiet", "quiet", queueing.URGENT))
        served = []
        for _ in range(3):
            one = queue.first()
            queue.mark_granted(one)
            served.append(one.asked.customer)
        self.assertIn("quiet", served[:2])

    def test_late_requests_get_their_fixed_share(self) -> None:
        queue = queueing.WaitQueue()
        for number in range(150):
            queue.add(self.queued_request(f"u{number}", "a", queueing.URGENT))
            queue.add(self.queued_request(f"l{number}", "b", queueing.LATE))
        bands = []
        for _ in range(100):
            one = queue.first()
            queue.mark_granted(one)
            bands.append(one.band)
        self.assertEqual(bands.count(queueing.LATE), 100 // queueing.GRANTS_PER_LATE_TURN)


class TestPrefixes(unittest.TestCase):
    """Lost or late cache events must not leave wrong entries trusted; the index stays bounded."""

    def test_gap_lowers_trust(self) -> None:
        index = prefixes.PrefixIndex()
        index.apply(_wire.CacheEvent(sequence=1, stored=(11, 12)))
        self.assertEqual(index.longest_match((11, 12)), (32, 1.0))
        index.apply(_wire.CacheEvent(sequence=4, evicted=(12,), stored=(13,)))
        self.assertEqual(index.longest_match((11, 12)), (16, prefixes.TRUST_PER_GAP))
        self.assertEqual(index.trust(13), 1.0)

    def test_old_event_changes_nothing(self) -> None:
        index = prefixes.PrefixIndex()
        index.apply(_wire.CacheEvent(sequence=2, stored=(11,)))
        index.apply(_wire.CacheEvent(sequence=1, evicted=(11,)))
        self.assertEqual(index.trust(11), 1.0)

    def test_memory_is_bounded(self) -> None:
        index = prefixes.PrefixIndex()
        index.apply(_wire.CacheEvent(sequence=1, stored=tuple(range(2 * prefixes.MAX_ENTRIES))))
        self.assertEqual(len(index), prefixes.MAX_ENTRIES)


class TestPredictors(unittest.TestCase):
    """Predictors must follow observations, or engines would be chosen by initial assumptions."""

    def test_rate_follows_observations(self) -> None:
        rate = predict.Rate(8_000.0)
        for _ in range(40):
            rate.observe(1_000, 0.5)
        self.assertAlmostEqual(rate.per_second, 2_000.0, delta=100.0)

    def test_largest_batch_stays_within_the_interval(self) -> None:
        model = predict.IntervalModel()
        for _ in range(30):
            for batch in (4, 12, 20):
                model.observe(batch, 0.03 + 0.002 * batch)
        self.assertEqual(model.largest_batch(0.0505, 24), 10)


class TestHealth(unittest.TestCase):
    """A failed endpoint must get no work until a probe succeeds, but half of all stay usable."""

    def fail(self, state: _state.State, name: str) -> None:
        for _ in range(health.EJECT_AFTER):
            tuple(health.record_failure(state, name))

    def test_ejection_and_probe(self) -> None:
        state = coordinating_host(engines=4)
        self.fail(state, "engine-0")
        self.assertFalse(health.is_usable(state, "engine-0"))
        _reducer.reduce(state, _events.TimerFired(at=2.0, timer="probe", key="engine-0"))
        self.assertTrue(health.is_usable(state, "engine-0"))
        health.record_chosen(state, "engine-0")
        self.assertFalse(health.is_usable(state, "engine-0"))
        health.record_success(state, "engine-0")
        self.assertTrue(health.is_usable(state, "engine-0"))

    def test_half_of_endpoints_stay_usable(self) -> None:
        state = coordinating_host(engines=4)
        for number in range(4):
            self.fail(state, f"engine-{number}")
        usable = [n for n in range(4) if health.is_usable(state, f"engine-{n}")]
        self.assertEqual(len(usable), 2)

    def test_engine_without_reports_gets_no_requests(self) -> None:
        state = coordinating_host(engines=2)
        for number in range(2):
            deliver_report(state, 4.0, slots=4, engine=number)
        for at in (4.1, 4.2, 4.3):
            _reducer.reduce(state, _events.EngineSilent(at=at, endpoint="engine-0"))
        granted = [
            deliver(state, 4.4, reserve_message(state, name, 4.4))[0].engine for name in "abc"
        ]
        self.assertEqual(set(granted), {"engine-1"})


class TestReportPolling(unittest.TestCase):
    """A coordinator must poll every engine, or it would place requests without their reports."""

    def test_coordinator_polls_all_engines(self) -> None:
        state = coordinating_host(engines=3)
        self.assertTrue(coordinator.coordinates(state, "engine-1"))
        effects = _reducer.reduce(state, _events.TimerFired(at=1.0, timer="coordinate"))
        fetched = [one.endpoint for one in effects if isinstance(one, _effects.FetchReport)]
        self.assertEqual(fetched, ["engine-0", "engine-1", "engine-2"])


class TestTotals(unittest.TestCase):
    """Incremental sums over a pool's engines must not drift from the recomputed sums."""

    def test_incremental_sums_equal_recomputed(self) -> None:
        state = coordinating_host(engines=20)
        for number in range(20):
            deliver_report(state, 4.0, slots=4, engine=number)
        for number in range(60):
            at = 4.0 + number / 50
            deliver(state, at, reserve_message(state, f"a{number}", at))
            if number % 3 == 0:
                done = _wire.Release(
                    request_id=f"a{number // 2}",
                    attempt_id=f"a{number // 2}",
                    owner=OWNER,
                    engine="",
                    model=support.MODEL,
                    zone=ZONE,
                )
                deliver(state, at, done)
        pool = state["coordinator"].pools[(support.MODEL, ZONE)]
        incremental = pool.totals.sums
        pool.totals.rebuild(pool.engine_list, pool.target)
        recomputed = pool.totals.sums
        for name in totals.PoolSums.__slots__:
            self.assertAlmostEqual(getattr(incremental, name), getattr(recomputed, name), places=6)
        self.assertEqual(pool.free(), 80 - len(pool.reservations))
