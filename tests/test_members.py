"""Tests of membership: which hosts are live, and which endpoints get new work."""

import random
import typing
import unittest

from wasabiwick import (
    _effects,
    _errors,
    _events,
    _handlers,
    _rendezvous,
    _settings,
    _verdict,
    _wire,
)
from wasabiwick._handlers import members
from wasabiwick._reducer import reduce
from wasabiwick._state import State

assert _handlers  # Imported to register the handlers.

ENGINES = ("e1", "e2")


def entry_of(name: str, zone: str = "a", leaving: bool = False) -> _wire.HostEntry:
    return _wire.HostEntry(
        name=name, kind="entry", zone=zone, address=f"http://{name}", leaving=leaving
    )


def engine_of(name: str, leaving: bool = False, address: str = "http://e") -> _wire.HostEntry:
    return _wire.HostEntry(
        name=name, kind="engine", zone="a", address=address, service="lm", leaving=leaving
    )


class Zone:
    """Hosts of one zone in virtual time, with links that can be cut one way.

    Of the effects, only messages between hosts and started timers are carried out, the timer of the
    host list excepted. A message over a cut link, or to a paused or dead host, gives its sender a
    `PeerFailed`.
    """

    STEP = 0.05  # Seconds.

    def __init__(self, names: typing.Sequence[str], seed: int = 1) -> None:
        self.now = 0.0
        self.cut: set[tuple[str, str]] = set()  # Sender and receiver of each cut link.
        self.paused: set[str] = set()
        self.rng = random.Random(seed)
        self.states: dict[str, State] = {}
        self.timers: dict[tuple[str, str, str], float] = {}
        self.entries = [entry_of(name) for name in names]
        self.entries += [engine_of(name) for name in ENGINES]
        self.messages = 0
        for name in names:
            self.start(name)
        self.list_hosts()

    def start(self, name: str, incarnation: str = "1") -> None:
        cfg = _settings.Settings(
            host=name,
            zone="a",
            region="r",
            platform=_settings.Platform(log="http://x", hosts="http://x"),
        )
        self.states[name] = State(cfg)
        owner = _wire.Owner(host=name, incarnation=incarnation)
        seed = self.rng.randrange(1000)
        event = _events.Booted(at=self.now, owner=owner, zone="a", wall=0.0, seed=seed)
        self.deliver(name, event)

    def list_hosts(self, names: typing.Iterable[str] | None = None) -> None:
        for name in names if names is not None else list(self.states):
            self.deliver(name, _events.HostsListed(at=self.now, entries=tuple(self.entries)))

    def deliver(self, name: str, event: _events.Event) -> None:
        state = self.states[name]
        for effect in reduce(state, event):
            if isinstance(effect, _effects.StartTimer) and effect.timer != "host_list":
                self.timers[name, effect.timer, effect.key] = self.now + effect.delay
            elif isinstance(effect, _effects.SendPeer):
                self.send(name, effect)

    def send(self, name: str, effect: _effects.SendPeer) -> None:
        self.messages += 1
        to = effect.host
        if (name, to) in self.cut or to not in self.states or to in self.paused:
            failed = _events.PeerFailed(
                at=self.now,
                host=to,
                message=effect.message,
                verdict=_verdict.Verdict.MAY_HAVE_RUN,
            )
            self.deliver(name, failed)
            return
        sender = self.states[name].owner
        event = _events.PeerMessage(at=self.now, sender=sender, zone="a", message=effect.message)
        self.deliver(to, event)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / self.STEP)):
            self.now += self.STEP
            for key, due in sorted(self.timers.items()):
                name, timer, timer_key = key
                if due <= self.now and name in self.states and name not in self.paused:
                    del self.timers[key]
                    self.deliver(name, _events.TimerFired(at=self.now, timer=timer, key=timer_key))

    def kill(self, name: str) -> None:
        del self.states[name]

    def hosts_seen_by(self, name: str) -> list[str]:
        return members.live_hosts(self.states[name], "a")


def host_names(count: int) -> list[str]:
    return [f"h{number:02d}" for number in range(count)]


class TestHosts(unittest.TestCase):
    """Hosts that died, stopped or do not answer lose their roles everywhere; others keep theirs."""

    def test_healthy_zone_keeps_all_hosts(self) -> None:
        zone = Zone(host_names(8))
        zone.run(20)
        for name in zone.states:
            self.assertEqual(zone.hosts_seen_by(name), host_names(8))

    def test_dead_host_loses_roles_everywhere(self) -> None:
        for count in (2, 3, 8, 24):
            with self.subTest(hosts=count):
                zone = Zone(host_names(count))
                zone.run(3)
                lost = zone.states["h01"].owner
                zone.kill("h01")
                timing = zone.states["h00"].cfg.timing
                zone.run(timing.peer_dead + 1.0)
                for name, state in zone.states.items():
                    self.assertNotIn("h01", zone.hosts_seen_by(name))
                    self.assertFalse(members.is_live(state, lost))

    def test_two_deaths_in_a_zone_of_three(self) -> None:
        zone = Zone(host_names(3))
        zone.run(3)
        owners = [zone.states[name].owner for name in ("h01", "h02")]
        zone.kill("h01")
        zone.kill("h02")
        zone.run(5)
        self.assertEqual(zone.hosts_seen_by("h00"), ["h00"])
        for owner in owners:
            self.assertFalse(members.is_live(zone.states["h00"], owner))

    def test_one_cut_link_makes_no_host_dead(self) -> None:
        zone = Zone(host_names(8))
        zone.run(3)
        watcher = members.watchers_of(zone.states["h00"], "h00")[0]
        zone.cut.add(("h00", watcher))
        zone.run(10)
        for name, state in zone.states.items():
            self.assertTrue(members.is_live(state, zone.states["h00"].owner))
            if name != watcher:
                self.assertIn("h00", zone.hosts_seen_by(name))

    def test_host_that_sends_but_hears_nothing_gets_no_roles(self) -> None:
        zone = Zone(host_names(8))
        zone.run(3)
        zone.cut |= {(name, "h03") for name in zone.states if name != "h03"}
        zone.run(8)
        for name in zone.states:
            if name != "h03":
                self.assertNotIn("h03", zone.hosts_seen_by(name))
        zone.cut.clear()
        zone.run(8)
        for name in zone.states:
            self.assertIn("h03", zone.hosts_seen_by(name))

    def test_paused_host_returns_and_declares_no_other_host_dead(self) -> None:
        zone = Zone(host_names(8))
        zone.run(3)
        zone.paused.add("h02")
        zone.run(6)
        self.assertNotIn("h02", zone.hosts_seen_by("h05"))
        zone.paused.clear()
        zone.run(0.5)
        self.assertEqual(zone.hosts_seen_by("h02"), host_names(8))
        zone.run(6)
        for name in zone.states:
            self.assertEqual(zone.hosts_seen_by(name), host_names(8))

    def test_newer_incarnation_retires_the_older(self) -> None:
        zone = Zone(host_names(24))
        zone.run(3)
        older = zone.states["h04"].owner
        zone.start("h04", incarnation="2")
        zone.run(1.5)
        zone.list_hosts(["h04"])
        for name, state in zone.states.items():
            self.assertFalse(members.is_live(state, older), name)
            self.assertTrue(members.is_live(state, zone.states["h04"].owner), name)

    def test_stopping_host_loses_roles_at_once(self) -> None:
        zone = Zone(host_names(24))
        zone.run(3)
        zone.deliver("h07", _events.StopAsked(at=zone.now))
        for name in zone.states:
            self.assertNotIn("h07", zone.hosts_seen_by(name))
            self.assertTrue(members.is_live(zone.states[name], zone.states["h07"].owner))

    def test_lost_host_moves_only_its_own_keys(self) -> None:
        hosts, keys = host_names(44), [f"key/{number}" for number in range(2000)]
        before = {key: _rendezvous.owner_of(key, hosts) for key in keys}
        after = {key: _rendezvous.owner_of(key, hosts[1:]) for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertEqual(moved, [key for key in keys if before[key] == hosts[0]])

    def test_traffic_of_a_host_does_not_grow_with_the_zone(self) -> None:
        sent = {}
        for count in (8, 24, 44):
            zone = Zone(host_names(count))
            zone.run(3)
            zone.messages = 0
            zone.run(10)
            sent[count] = zone.messages / count / 10
        beats_per_second = members.HOST_WATCHERS / zone.states["h00"].cfg.timing.heartbeat
        for count, rate in sent.items():
            self.assertLessEqual(rate, beats_per_second * 1.2, count)

    def test_hosts_of_other_zones_are_live_if_the_list_names_them(self) -> None:
        zone = Zone(host_names(2))
        zone.entries.append(entry_of("far", zone="b"))
        zone.list_hosts()
        zone.run(30)
        far = _wire.Owner(host="far", incarnation="9")
        self.assertTrue(members.is_live(zone.states["h00"], far))
        self.assertEqual(members.live_hosts(zone.states["h00"], "b"), ["far"])


class TestEndpoints(unittest.TestCase):
    """Within seconds of the first sign that an endpoint leaves, no host gives it new work.

    Signs are a mark in one host's list, and a refusal by the endpoint itself.
    """

    def usable(self, zone: Zone, name: str) -> list[str]:
        return [one.name for one in members.usable_endpoints(zone.states[name], "lm")]

    def test_leaving_sign_in_the_list_of_one_host_reaches_all_hosts(self) -> None:
        zone = Zone(host_names(44))
        zone.run(2)
        zone.entries[-1] = engine_of("e2", leaving=True)
        zone.list_hosts(["h11"])
        zone.run(3)
        for name in zone.states:
            self.assertEqual(self.usable(zone, name), ["e1"], name)

    def test_refusal_by_a_leaving_endpoint_reaches_all_hosts(self) -> None:
        zone = Zone(host_names(8))
        zone.run(2)
        failure = _errors.Failure(reason=_errors.ENDPOINT_LEAVING, verdict=_verdict.Verdict.NOT_RUN)
        event = _events.AttemptFailed(
            at=zone.now,
            request_id="r",
            attempt_id="x",
            endpoint="e1",
            phase="prefill",
            failure=failure,
        )
        zone.deliver("h01", event)
        self.assertEqual(self.usable(zone, "h01"), ["e2"])
        zone.run(3)
        for name in zone.states:
            self.assertEqual(self.usable(zone, name), ["e2"], name)

    def test_lagging_list_does_not_bring_a_leaving_endpoint_back(self) -> None:
        zone = Zone(host_names(3))
        zone.run(1)
        zone.entries[-1] = engine_of("e2", leaving=True)
        zone.list_hosts(["h00"])
        zone.run(2)
        zone.entries[-1] = engine_of("e2")
        zone.list_hosts(["h01", "h02"])
        self.assertEqual(self.usable(zone, "h01"), ["e1"])

    def test_replaced_endpoint_is_used_again(self) -> None:
        zone = Zone(host_names(3))
        zone.entries[-1] = engine_of("e2", leaving=True)
        zone.list_hosts()
        zone.entries[-1] = engine_of("e2", address="http://new")
        zone.list_hosts()
        self.assertEqual(self.usable(zone, "h01"), ["e1", "e2"])

    def test_leaving_sign_expires(self) -> None:
        zone = Zone(host_names(8))
        zone.run(1)
        zone.entries[-1] = engine_of("e2", leaving=True)
        zone.list_hosts(["h00"])
        zone.entries[-1] = engine_of("e2")
        zone.run(members.LEAVING_KEPT_S + 5)
        zone.list_hosts()
        for name in zone.states:
            self.assertEqual(self.usable(zone, name), ["e1", "e2"], name)


class TestEvents(unittest.TestCase):
    """A host list that changes no live host or usable endpoint emits no `MembersChanged`."""

    def test_unchanged_list_emits_no_change(self) -> None:
        zone = Zone(host_names(3))
        zone.run(1)
        state = zone.states["h00"]
        seen: list[object] = []
        event = _events.HostsListed(at=zone.now, entries=tuple(zone.entries))
        for step in members.apply_host_list(state, event):
            seen.append(step)
        self.assertFalse([one for one in seen if isinstance(one, _events.MembersChanged)])
