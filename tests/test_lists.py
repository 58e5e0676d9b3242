"""Tests of the lists of plans and allowances: schema, order of versions, and use by hosts."""

import copy
import random
import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat

from wasabiwick import _configuration, _effects, _events, _handlers, _lists_file, _settings, _wire
from wasabiwick._handlers import lists, lists_keeping
from wasabiwick._reducer import reduce
from wasabiwick._state import State

KEY = ed25519.Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
PUBLIC = KEY.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw).hex()
PUBLISHERS = {"k1": PUBLIC}
HASH_A = "a" * 64
HASH_B = "b" * 64
PLANS = f"lectio: {{plan: gold, keys: [{HASH_A}]}}\nporto:\n  plan: gold\n  keys: [{HASH_B}]\n"
ALLOWANCES = "plans:\n  gold:\n    models: [lectio-lm]\nmodels:\n  lectio-lm: {minimum: 2}\n"
ENTRIES = _lists_file.read_lists(PLANS, ALLOWANCES)

assert _handlers  # Imported to register the handlers.


def content(rate: float = 100.0, customers: int = 2) -> _configuration.Content:
    entries = copy.deepcopy(ENTRIES)
    entries["plans"]["gold"]["rate"] = rate
    for number in range(customers):
        entries["customers"][f"c{number}"] = {"plan": "gold", "keys": []}
    return _configuration.content_of(entries)


class Publisher:
    """Makes signed configuration records, and keeps a log of those that are appended."""

    def __init__(self) -> None:
        self.log: list[_wire.LogRecord] = []

    def record(
        self,
        old: _configuration.Content,
        new: _configuration.Content,
        replaces: int,
        partial: bool = True,
        author: str = "op",
    ) -> str:
        made = _configuration.make_record(
            version=replaces + 1,
            replaces=replaces,
            author=author,
            old=old,
            new=new,
            partial=partial,
        )
        return msgspec.json.encode(_configuration.sign(made, "k1", KEY)).decode()

    def append(self, data: str) -> _wire.LogRecord:
        offset = len(self.log)
        record = _wire.LogRecord(offset=offset, time=1000.0 + offset, data=data)
        self.log.append(record)
        return record


def racing_log(seed: int, count: int) -> list[_wire.LogRecord]:
    """Return a log of racing, replayed, forged and truncated records, and of hosts' copies."""
    rng = random.Random(seed)
    publisher = Publisher()
    reader = _configuration.History(PUBLISHERS)
    past: list[str] = []
    for _ in range(count):
        old, version = reader.content, reader.version
        choice = rng.random()
        new = content(rate=rng.randrange(1, 1000))
        if choice < 0.1 and reader.version:
            data = msgspec.json.encode(reader.copy()).decode()
        elif choice < 0.3 and past:
            data = rng.choice(past)  # A replayed record, or one that lost a race and arrives late.
        elif choice < 0.4:
            data = publisher.record(old, new, version, bool(version)).replace("op", "no")
        elif choice < 0.5:
            data = publisher.record(old, new, version, bool(version))[: rng.randrange(1, 60)]
        elif choice < 0.65:
            # Claims to replace a version that does not exist yet.
            data = publisher.record(old, new, version + 1, False)
        else:
            data = publisher.record(old, new, version, rng.random() < 0.6 and version > 0)
            past.append(publisher.record(old, content(rate=1), version, False, "loser"))
            past.append(data)
        reader.read([publisher.append(data)], first=0)
    return publisher.log


def versions_seen(log: list[_wire.LogRecord], start: int, step: int = 1) -> list[tuple[int, str]]:
    """Read a log that has lost the records before ``start``, ``step`` records at a time.

    Returns:
        Version and digest of each version that came into force, in order.
    """
    history = _configuration.History(PUBLISHERS)
    seen = []
    for at in range(start, len(log), step):
        history.read(log[at : at + step], first=start)
        if history.version and (not seen or seen[-1][0] != history.version):
            seen.append((history.version, history.content.digest))
    return seen


class TestOrder(unittest.TestCase):
    """All readers see versions in one order, never backwards, wherever in the log they start."""

    @hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
    @hypothesis.given(st.integers(0, 10_000), st.integers(0, 79), st.integers(1, 9))
    def test_any_start_follows_the_same_order(self, seed: int, start: int, step: int) -> None:
        log = racing_log(seed, 80)
        whole = versions_seen(log, 0)
        self.assertEqual(whole, sorted(whole))
        part = versions_seen(log, start, step)
        places = [whole.index(one) for one in part]
        self.assertEqual(places, sorted(set(places)))

    def test_digest_depends_on_the_entries_alone(self) -> None:
        direct = content(rate=7)
        changes, removed = _configuration.difference(content(rate=3, customers=5), direct)
        self.assertEqual(len(removed), 3)
        stepwise = content(rate=3, customers=5).with_changes(changes, removed)
        self.assertEqual(stepwise.digest, direct.digest)

    def test_change_of_one_customer_publishes_only_that_customer(self) -> None:
        old = content(customers=2700)
        entries = {**old.entries, "customers": dict(old.entries["customers"])}
        entries["customers"]["c7"] = {"plan": "gold", "keys": [HASH_A[:-1] + "0"]}
        data = Publisher().record(old, _configuration.content_of(entries), 1)
        self.assertNotIn("c8", data)
        self.assertLess(len(data), 700)

    def test_late_losing_record_does_not_win_after_the_log_lost_its_start(self) -> None:
        publisher = Publisher()
        first, winner, loser = content(), content(rate=2), content(rate=3)
        publisher.append(publisher.record(first, first, 0, False))
        publisher.append(publisher.record(first, winner, 1, False))
        publisher.append(publisher.record(first, loser, 1, False))
        live = _configuration.History(PUBLISHERS)
        live.read(publisher.log, first=0)
        publisher.append(msgspec.json.encode(live.copy()).decode())
        joining = _configuration.History(PUBLISHERS)
        joining.read(publisher.log[2:3], first=2)
        self.assertEqual(joining.version, 0)
        joining.read(publisher.log[3:], first=2)
        self.assertEqual(joining.content.digest, winner.digest)

    def test_new_history_starts_if_neither_log_nor_hosts_have_a_copy(self) -> None:
        publisher = Publisher()
        publisher.append("lost")
        publisher.append(publisher.record(content(), content(), 0, False))
        joining = _configuration.History(PUBLISHERS)
        joining.read(publisher.log[1:], first=1)
        self.assertEqual(joining.version, 0)
        joining.apply_held_records()
        self.assertEqual(joining.version, 1)

    def test_unknown_key_and_altered_record_are_skipped(self) -> None:
        data = Publisher().record(content(), content(), 0, False)
        record = _wire.LogRecord(offset=0, time=1.0, data=data)
        reader_without_key = _configuration.History({"other": PUBLIC})
        self.assertIn("not known", reader_without_key.read([record], first=0)[0].cause)
        altered = msgspec.structs.replace(record, data=data.replace("gold", "lead"))
        reader = _configuration.History(PUBLISHERS)
        self.assertIn("does not match", reader.read([altered], first=0)[0].cause)


def new_host(name: str = "h1", publishers: dict | None = None, seed: int = 1) -> State:
    cfg = _settings.Settings(
        host=name,
        zone="a",
        region="r",
        platform=_settings.Platform(log="http://x", hosts="http://x"),
        publishers=PUBLISHERS if publishers is None else publishers,
    )
    state = State(cfg)
    owner = _wire.Owner(host=name, incarnation="i")
    reduce(state, _events.Booted(at=0.0, owner=owner, zone="a", wall=1000.0, seed=seed))
    return state


def log_read(
    records: list[_wire.LogRecord], at: float = 1.0, first: int = 0, end: int | None = None
) -> _events.LogRead:
    following = records[-1].offset + 1 if records else first
    return _events.LogRead(
        at=at,
        stream=lists.STREAM,
        tag="",
        records=tuple(records),
        next=following,
        first=first,
        end=following if end is None else end,
    )


def heartbeat(version: int, at: float = 2.0, sender: str = "h2") -> _events.PeerMessage:
    owner = _wire.Owner(host=sender, incarnation="j")
    beat = _wire.Heartbeat(owner=owner, zone="a", sequence=1, version=version)
    return _events.PeerMessage(at=at, sender=owner, zone="a", message=beat)


def of_kind(effects: list, kind: type) -> list:
    return [one for one in effects if isinstance(one, kind)]


class TestHosts(unittest.TestCase):
    """A host applies later versions from the log or a peer.

    A host that can't get a version of which a peer has told refuses new work after a while.
    """

    def setUp(self) -> None:
        publisher = Publisher()
        publisher.append(publisher.record(content(), content(), 0, False))
        publisher.append(publisher.record(content(), content(rate=5), 1))
        self.log = publisher.log

    def test_new_host_gets_the_version_from_a_peer(self) -> None:
        informed, joining = new_host("h2"), new_host("h1")
        reduce(informed, log_read(self.log))
        asked = of_kind(reduce(joining, heartbeat(2)), _effects.SendPeer)
        ask = next(one.message for one in asked if isinstance(one.message, _wire.AskConfiguration))
        self.assertIsNone(lists.current(joining))
        asking = _events.PeerMessage(at=3.0, sender=joining.owner, zone="a", message=ask)
        answer = of_kind(reduce(informed, asking), _effects.SendPeer)[0].message
        told = _events.PeerMessage(at=3.0, sender=informed.owner, zone="a", message=answer)
        effects = reduce(joining, told)
        self.assertEqual(lists.current(joining).plans["gold"].rate, 5)
        self.assertEqual(lists.version(joining), 2)
        self.assertTrue(any(one.event == "configuration_in_force" for one in log_lines(effects)))
        reduce(joining, log_read(self.log, at=4.0))
        self.assertEqual(lists.version(joining), 2)

    def test_lag_is_measured_only_for_versions_published_while_running(self) -> None:
        host = new_host()
        first = reduce(host, log_read(self.log[:1], at=3.0))
        self.assertEqual(of_kind(first, _effects.Observe), [])
        later = msgspec.structs.replace(self.log[1], time=1_004.0)
        effects = reduce(host, log_read([later], at=6.5))
        self.assertEqual(
            of_kind(effects, _effects.Observe),
            [_effects.Observe(metric="configuration_lag", value=2.5)],
        )

    def test_host_that_stays_behind_refuses_new_work(self) -> None:
        host = new_host()
        reduce(host, log_read(self.log[:1]))
        reduce(host, heartbeat(2))
        self.assertIsNotNone(lists.current(host))
        reduce(host, _events.TimerFired(at=8.0, timer="lists_behind"))
        self.assertIsNone(lists.current(host))
        reduce(host, log_read(self.log[1:], at=9.0))
        self.assertEqual(lists.current(host).version, 2)

    def test_forged_version_of_a_peer_does_not_stop_the_host(self) -> None:
        host = new_host()
        reduce(host, log_read(self.log))
        reduce(host, heartbeat(9))
        forged = _wire.ConfigurationCopy(upto=9, version=9, records=(self.log[0].data,))
        sender = _wire.Owner(host="h2", incarnation="j")
        message = _events.PeerMessage(at=3.0, sender=sender, zone="a", message=forged)
        reduce(host, message)
        reduce(host, heartbeat(9, at=5.0))
        reduce(host, _events.TimerFired(at=9.0, timer="lists_behind"))
        self.assertEqual(lists.current(host).version, 2)

    def test_withdrawn_plan_stops_new_work_at_once(self) -> None:
        host = new_host()
        reduce(host, log_read(self.log))
        entries = {**content(rate=5).entries, "plans": {}}
        gone = Publisher().record(content(rate=5), _configuration.content_of(entries), 2)
        reduce(host, log_read([_wire.LogRecord(offset=2, time=1.0, data=gone)]))
        customer = lists.current(host).customer_of(HASH_A)
        self.assertIsNone(lists.current(host).plan_of(customer))


def log_lines(effects: list) -> list[_effects.LogLine]:
    return of_kind(effects, _effects.LogLine)


class TestKeeping(unittest.TestCase):
    """Before the configuration expires from the log, one host, not all, appends a copy of it."""

    def test_one_of_many_hosts_appends_a_copy(self) -> None:
        publisher = Publisher()
        publisher.append(publisher.record(content(), content(), 0, False))
        hosts = [new_host(f"h{number}", seed=number) for number in range(40)]
        delays = []
        for host in hosts:
            timers = of_kind(reduce(host, log_read(publisher.log)), _effects.StartTimer)
            delays.append(next(one.delay for one in timers if one.timer == "lists_keep"))
        keep = hosts[0].cfg.once.keep
        self.assertLess(max(delays), keep * lists_keeping.LATEST_SHARE)
        self.assertGreater(min(delays), keep * lists_keeping.EARLIEST_SHARE * 0.99)
        first = hosts[delays.index(min(delays))]
        effects = reduce(first, _events.TimerFired(at=min(delays), timer="lists_keep"))
        append = of_kind(effects, _effects.AppendLog)[0]
        data = msgspec.json.encode(append.records[0]).decode()
        kept = _wire.LogRecord(offset=1, time=1000.0 + min(delays), data=data)
        for host in hosts:
            timers = of_kind(reduce(host, log_read([kept], at=min(delays))), _effects.StartTimer)
            next_delay = next(one.delay for one in timers if one.timer == "lists_keep")
            self.assertGreater(next_delay, keep * lists_keeping.EARLIEST_SHARE * 0.9)

    def test_failed_append_is_repeated(self) -> None:
        host = new_host()
        event = _events.LogAppendFailed(at=1.0, stream=lists.STREAM, tag="keep", failure=None)
        timers = of_kind(reduce(host, event), _effects.StartTimer)
        self.assertEqual([one.timer for one in timers], ["lists_keep"])


class TestSchema(unittest.TestCase):
    """Every fault of the lists is reported with its path and line."""

    def test_valid_lists_have_no_faults(self) -> None:
        self.assertEqual(_lists_file.check_lists(PLANS, ALLOWANCES), [])

    def test_all_faults_are_found(self) -> None:
        plans = (
            f"lectio: {{plan: silver, keys: [{HASH_A}]}}\nporto: {{plan: gold, keys: [{HASH_A}]}}\n"
        )
        faults = _lists_file.check_lists(
            plans, ALLOWANCES.replace("models: [lectio-lm]", "models: [x]")
        )
        self.assertEqual(
            sorted((one.path, one.line) for one in faults),
            [
                ("allowances.plans.gold.models", 3),
                ("plans.lectio.plan", 1),
                ("plans.porto.keys", 2),
            ],
        )

    def test_wrong_types_are_reported(self) -> None:
        faults = _lists_file.check_lists(
            "lectio: {plan: gold, keys: [short]}", "plans: {gold: {rate: x}}"
        )
        self.assertEqual(
            sorted(one.path for one in faults),
            ["allowances.plans.gold.rate", "plans.lectio.keys[0]"],
        )
