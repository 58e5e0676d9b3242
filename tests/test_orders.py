"""Tests of leases, claimed in the log, and of the orders that their holders send to engines."""

import itertools
import unittest

import msgspec

from wasabiwick import _effects, _events, _handlers, _lists, _placement, _settings, _wire
from wasabiwick._handlers import leases, members, orders
from wasabiwick._reducer import reduce
from wasabiwick._state import State

assert _handlers  # Imported to register the handlers.

ZONE = "a"
MODEL = "lm"
STREAM = leases.stream_of(ZONE)
WALL = 1_800_000_000.0  # Unix time in seconds at virtual time 0.
ORDER_SECONDS = 0.5  # Seconds until an engine answers an order.
STEP = 0.25  # Seconds by which the virtual clock advances; engines report at every step.


class FakeEngine:
    """Carries out orders at once, and records when each arrived and whether it was accepted.

    An engine that honours fencing numbers refuses an order whose number is lower than that of an
    earlier order.
    """

    def __init__(self, name: str, honours_fences: bool, version: str = "1") -> None:
        self.name = name
        self.honours_fences = honours_fences
        self.version = version
        self.fence = -1
        self.used = 0
        self.orders: list[tuple[float, _wire.OrderAsk, bool]] = []

    def order(self, at: float, ask: _wire.OrderAsk) -> bool:
        accepted = not self.honours_fences or ask.fence >= self.fence
        self.orders.append((at, ask, accepted))
        if accepted:
            self.fence = max(self.fence, ask.fence) if self.honours_fences else -1
            if ask.action == "load":
                self.version = ask.version
        return accepted

    def report(self) -> _wire.EngineReport:
        return _wire.EngineReport(
            engine=self.name,
            sequence=1,
            slots=24,
            used=self.used,
            models=(MODEL,),
            versions=(self.version,),
            fence=self.fence,
        )


class Zone:
    """Hosts, engines and the log of one zone, on virtual time.

    A paused host gets no timers, claims or reports, and its orders are kept back.

    Attributes:
        paused: Orders kept back, by paused host.
        tails: Offset from which each host reads the log next.
        max_orders_under_way: Most orders that were unanswered at the same time.
        answers: Due time, host and event of each answer to an order.
    """

    def __init__(self, hosts: int = 3, engines: int = 3, fencing: str = "honoured") -> None:
        self.now = 0.0
        self.fencing = fencing
        self.log: list[_wire.LogRecord] = []
        self.log_down = False
        self.paused: dict[str, list[_effects.OrderEngine]] = {}
        self.cut_off: set[str] = set()  # Hosts cut off from the log.
        self.engines = {f"e{n}": FakeEngine(f"e{n}", fencing == "honoured") for n in range(engines)}
        self.states: dict[str, State] = {}
        self.tails: dict[str, int] = {}
        self.timers: dict[tuple[str, str, str], float] = {}
        self.version = 0
        self.orders_under_way = 0
        self.max_orders_under_way = 0
        self.answers: list[tuple[float, str, _events.OrderAnswered]] = []
        names = [f"h{n}" for n in range(hosts)]
        for name in names:
            self.boot(name)
        self.list_hosts(names)
        self.publish("1")

    def boot(self, name: str, incarnation: str = "1") -> None:
        cfg = _settings.Settings(
            host=name,
            zone=ZONE,
            region="r",
            platform=_settings.Platform(log="http://x", hosts="http://x"),
        )
        self.states[name] = State(cfg)
        owner = _wire.Owner(host=name, incarnation=incarnation)
        wall = WALL + self.now
        event = _events.Booted(at=self.now, owner=owner, zone=ZONE, wall=wall, seed=len(name))
        self.feed(name, event)

    def list_hosts(self, names: list[str]) -> None:
        entries = [
            _wire.HostEntry(name=name, kind="entry", zone=ZONE, address=f"http://{name}")
            for name in names
        ]
        entries += [
            _wire.HostEntry(name=name, kind="engine", zone=ZONE, address="http://e", service=MODEL)
            for name in self.engines
        ]
        for name in self.states:
            if name not in self.paused:
                self.feed(name, _events.HostsListed(at=self.now, entries=tuple(entries)))

    def publish(self, model_version: str, minimum: int = 1) -> None:
        self.version += 1
        traits = {"version": model_version, "minimum": minimum, "fencing": self.fencing}
        record = _wire.Configuration(
            version=self.version,
            replaces=self.version - 1,
            author="op",
            plans="{}",
            allowances=msgspec.json.encode({"models": {MODEL: traits}}).decode(),
        )
        data = msgspec.json.encode(record).decode()
        offset = self.version - 1
        records = (_wire.LogRecord(offset=offset, time=WALL + self.now, data=data),)
        for name in self.states:
            self.deliver_records(name, "configuration", "", records, offset + 1)

    def deliver_records(self, name: str, stream: str, tag: str, records: tuple, end: int) -> None:
        event = _events.LogRead(
            at=self.now, stream=stream, tag=tag, records=records, next=end, first=0, end=end
        )
        self.feed(name, event)

    def feed(self, name: str, event: _events.Event) -> None:
        for effect in reduce(self.states[name], event):
            match effect:
                case _effects.StartTimer() if effect.timer != "host_list":
                    self.timers[name, effect.timer, effect.key] = self.now + effect.delay
                case _effects.ReadLog() if effect.stream == STREAM and name not in self.cut_off:
                    self.deliver_records(name, STREAM, effect.tag, (), len(self.log))
                case _effects.TailLog() if effect.stream == STREAM:
                    self.tails[name] = effect.offset
                case _effects.AppendLog() if effect.stream == STREAM:
                    self.append(name, effect)
                case _effects.OrderEngine():
                    self.send(name, effect)

    def append(self, name: str, effect: _effects.AppendLog) -> None:
        if self.log_down or name in self.cut_off:
            return
        for record in effect.records:
            data = msgspec.json.encode(record).decode()
            offset, time = len(self.log), WALL + self.now
            self.log.append(_wire.LogRecord(offset=offset, time=time, data=data))

    def send(self, name: str, effect: _effects.OrderEngine) -> None:
        if name in self.paused:
            self.paused[name].append(effect)
            return
        accepted = self.engines[effect.endpoint].order(self.now, effect.order)
        self.orders_under_way += 1
        self.max_orders_under_way = max(self.max_orders_under_way, self.orders_under_way)
        answer = _events.OrderAnswered.about(
            effect,
            at=self.now,
            accepted=accepted,
        )
        self.answers.append((self.now + ORDER_SECONDS, name, answer))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.deliver_answers()
            for name in self.states:
                if name not in self.paused:
                    self.step_host(name)

    def deliver_answers(self) -> None:
        due = [one for one in self.answers if one[0] <= self.now]
        self.answers = [one for one in self.answers if one[0] > self.now]
        for _, name, event in due:
            self.orders_under_way -= 1
            if name in self.states and name not in self.paused:
                event.at = self.now
                self.feed(name, event)

    def step_host(self, name: str) -> None:
        for key, due in sorted(self.timers.items()):
            if key[0] == name and due <= self.now and key[1] != "heartbeat":
                del self.timers[key]
                self.feed(name, _events.TimerFired(at=self.now, timer=key[1], key=key[2]))
        start, end = self.tails.get(name), len(self.log)
        if start is not None and start < end and name not in self.cut_off and not self.log_down:
            self.tails[name] = end
            self.deliver_records(name, STREAM, "", tuple(self.log[start:]), end)
        for engine in self.engines.values():
            self.feed(name, _events.EngineReported(at=self.now, report=engine.report()))

    def holders(self) -> list[str]:
        return [
            name
            for name, state in self.states.items()
            if leases.fence_of(state, MODEL, self.now) >= 0
        ]

    def versions(self) -> list[str]:
        return [one.version for one in self.engines.values()]


class TestLeases(unittest.TestCase):
    """At most one host at a time holds the lease to send orders to a pool's engines.

    Two holders would send contradictory orders. Without one, engines would never get a new version,
    so a lost holder is replaced.
    """

    def test_one_host_holds_the_lease_and_renews_it(self) -> None:
        zone = Zone()
        zone.run(10)
        holder = zone.holders()
        self.assertEqual(len(holder), 1)
        zone.run(120)
        self.assertEqual(zone.holders(), holder)

    def test_a_lost_holder_is_replaced_after_its_term(self) -> None:
        zone = Zone()
        zone.run(10)
        first = zone.holders()[0]
        del zone.states[first]
        zone.list_hosts(sorted(zone.states))
        term = 30.0
        zone.run(term * 0.5)
        self.assertEqual(zone.holders(), [])
        zone.run(term)
        self.assertEqual(len(zone.holders()), 1)

    def test_a_holder_cut_off_from_the_log_stops_before_the_next_begins(self) -> None:
        zone = Zone()
        zone.run(10)
        first = zone.holders()[0]
        zone.cut_off.add(first)
        others = sorted(set(zone.states) - {first})
        for name in others:
            zone.states[name]["members"].entries.pop(first)
        zone.list_hosts(others)
        for _ in range(400):
            zone.run(STEP)
            self.assertLessEqual(len(zone.holders()), 1)
        self.assertNotEqual(zone.holders(), [first])
        self.assertEqual(len(zone.holders()), 1)

    def test_simultaneous_claims_leave_one_holder(self) -> None:
        zone = Zone(hosts=2)
        both = [zone.states["h0"], zone.states["h1"]]
        # Each host sees only itself, so both claim the pool.
        for name in zone.states:
            zone.states[name]["members"].entries = {
                key: entry
                for key, entry in zone.states[name]["members"].entries.items()
                if entry.kind != "entry" or key == name
            }
            for event in members.refresh(zone.states[name], zone.now):
                zone.feed(name, event)
        zone.run(60)
        self.assertEqual(len(zone.holders()), 1)
        self.assertEqual(len({one["leases"].leases[MODEL].claim.owner for one in both}), 1)

    def test_a_claim_that_does_not_follow_the_last_valid_claim_is_ignored(self) -> None:
        zone = Zone()
        zone.run(10)
        lease = zone.states["h0"]["leases"].leases[MODEL]
        stale = _wire.LeaseClaim(
            zone=ZONE,
            model=MODEL,
            owner=_wire.Owner(host="old", incarnation="0"),
            term=30.0,
            after=-1,
        )
        data = msgspec.json.encode(stale).decode()
        late = _wire.LogRecord(offset=99, time=lease.time + 1000, data=data)
        zone.deliver_records("h0", STREAM, "", (late,), 100)
        self.assertEqual(zone.states["h0"]["leases"].leases[MODEL].offset, lease.offset)

    def test_a_new_host_listens_before_it_claims(self) -> None:
        zone = Zone(hosts=1)
        state = zone.states["h0"]
        start = _events.LogRead(
            at=0.0,
            stream=STREAM,
            tag=leases.START,
            records=(),
            next=5_000,
            first=0,
            end=5_000,
        )
        reduce(state, start)
        self.assertEqual(state["leases"].ready_at, leases.LISTEN_TERMS * state.cfg.orders.lease)


class TestOrders(unittest.TestCase):
    """Engines get to run the published version; a stale order has no effect, or is corrected.

    A stale order is one that an earlier holder sent and that arrives after its lease has ended.
    """

    def test_a_new_version_is_loaded_one_engine_at_a_time(self) -> None:
        zone = Zone()
        zone.run(65)
        zone.max_orders_under_way = 0
        zone.publish("2")
        zone.run(20)
        self.assertEqual(zone.versions(), ["2", "2", "2"])
        self.assertEqual(zone.max_orders_under_way, 1)

    def test_the_only_engine_of_a_pool_is_not_reloaded(self) -> None:
        zone = Zone(engines=1)
        zone.run(65)
        zone.publish("2")
        zone.run(60)
        self.assertEqual(zone.versions(), ["1"])

    def test_no_orders_are_sent_while_the_log_is_down(self) -> None:
        zone = Zone()
        zone.run(10)
        zone.log_down = True
        zone.run(60)
        before = [len(one.orders) for one in zone.engines.values()]
        zone.publish("2")
        zone.run(3600)
        self.assertEqual([len(one.orders) for one in zone.engines.values()], before)
        zone.log_down = False
        zone.run(60)
        self.assertEqual(zone.versions(), ["2", "2", "2"])

    def stale_order(self, fencing: str) -> tuple[Zone, FakeEngine]:
        """Deliver an order of a paused holder after another host has taken over its lease."""
        zone = Zone(fencing=fencing)
        zone.run(10)
        first = zone.holders()[0]
        fence = leases.fence_of(zone.states[first], MODEL, zone.now)
        zone.paused[first] = []
        others = sorted(set(zone.states) - {first})
        zone.list_hosts(others)
        zone.run(45)
        zone.publish("2")
        zone.run(120)
        self.assertEqual(zone.versions(), ["2", "2", "2"])
        stale = _wire.OrderAsk(action="load", model=MODEL, version="1", fence=fence)
        engine = zone.engines["e0"]
        engine.order(zone.now, stale)
        return zone, engine

    def test_a_stale_order_is_refused_where_fences_are_honoured(self) -> None:
        zone, engine = self.stale_order("honoured")
        self.assertFalse(engine.orders[-1][2])
        self.assertEqual(engine.version, "2")

    def test_a_stale_order_is_corrected_where_fences_are_ignored(self) -> None:
        zone, engine = self.stale_order("ignored")
        self.assertEqual(engine.version, "1")
        zone.run(orders.REPORT_LAG_S + 3 * STEP + ORDER_SECONDS)
        self.assertEqual(engine.version, "2")

    def test_a_new_holder_waits_where_fences_are_ignored(self) -> None:
        """Such engines may still carry out an order of the earlier holder, for `orders.longest`."""
        zone = Zone(fencing="ignored")
        zone.run(2)
        zone.publish("2")
        zone.run(zone.states["h0"].cfg.orders.longest - 5)
        self.assertEqual(zone.versions(), ["1", "1", "1"])
        zone.run(30)
        self.assertEqual(zone.versions(), ["2", "2", "2"])

    def test_a_resumed_holder_sends_no_orders(self) -> None:
        zone = Zone()
        zone.run(10)
        first = zone.holders()[0]
        zone.paused[first] = []
        zone.run(40)
        zone.publish("2")
        resumed = zone.states[first]
        effects = itertools.chain.from_iterable(
            reduce(resumed, _events.EngineReported(at=zone.now, report=engine.report()))
            for engine in zone.engines.values()
        )
        self.assertFalse([one for one in effects if isinstance(one, _effects.OrderEngine)])


def report(name: str, version: str | None = "1", **fields: object) -> _wire.EngineReport:
    """Return a report of an engine that runs a version of the model, or no model if it is None."""
    models = () if version is None else (MODEL,)
    versions = () if version is None else (version,)
    defaults = {"sequence": 1, "slots": 24, "used": 0, "models": models, "versions": versions}
    return _wire.EngineReport(engine=name, **{**defaults, **fields})


class TestPlacement(unittest.TestCase):
    """The next order for a pool never takes too many of its engines out of service."""

    traits = _lists.ModelTraits(name=MODEL, version="2", minimum=2)

    def test_an_empty_engine_is_loaded_first(self) -> None:
        wanted = _placement.next_load(self.traits, [report("a"), report("b", None)], ())
        self.assertEqual((wanted.engine, wanted.version), ("b", "2"))

    def test_the_least_used_engine_is_loaded_next(self) -> None:
        reports = [report("a", used=9), report("b", used=3), report("c", used=5)]
        self.assertEqual(_placement.next_load(self.traits, reports, ()).engine, "b")

    def test_the_minimum_of_engines_stays_in_service(self) -> None:
        reports = [report("a"), report("b"), report("c")]
        self.assertIsNone(_placement.next_load(self.traits, reports, {"c"}))

    def test_a_withdrawn_model_is_unloaded_once_drained(self) -> None:
        old = {"models": (MODEL, "gone"), "versions": ("1", "1")}
        busy = report("a", used=1, **old)
        self.assertIsNone(_placement.next_unload(MODEL, {MODEL}, [busy], ()))
        wanted = _placement.next_unload(MODEL, {MODEL}, [report("a", **old)], ())
        self.assertEqual((wanted.action, wanted.model), ("unload", "gone"))

    def test_only_a_drained_engine_changes_its_role(self) -> None:
        waiting = {"queued_prefill_tokens": 50_000, "prefill_rate": 10_000.0}
        prefill = report("a", roles=("prefill",), **waiting)
        busy = report("b", roles=("decode",), used=1)
        self.assertIsNone(_placement.next_role(MODEL, [prefill, busy], ()))
        drained = report("b", roles=("decode",))
        wanted = _placement.next_role(MODEL, [prefill, drained], ())
        self.assertEqual((wanted.engine, wanted.roles), ("b", _placement.BOTH_ROLES))

    def test_no_role_changes_in_a_balanced_pool(self) -> None:
        reports = [report("a", roles=("prefill",)), report("b", roles=("decode",))]
        self.assertIsNone(_placement.next_role(MODEL, reports, ()))
