"""Tests of an availability zone that is cut off from the platform's log for an hour."""

import unittest

from wasabiwick import Verdict, _configuration, _effects
from wasabiwick._handlers import leases, lists

from . import _world

HOUR = 3_600.0  # Seconds.
HOSTS = ("a", "b", "c")


class RecordingWorld(_world.World):
    """A world that records, by host, the configuration versions that came into force."""

    def __init__(self) -> None:
        super().__init__(HOSTS)
        self.versions: dict[str, list[int]] = {name: [] for name in HOSTS}
        for host in self.hosts.values():
            self._record_versions(host)

    def _record_versions(self, host: _world.Host) -> None:
        post = host.post

        def post_and_record(event: object) -> None:
            before = lists.version(host.state)
            post(event)
            after = lists.version(host.state)
            if after != before:
                self.versions.setdefault(host.name, []).append(after)

        host.post = post_and_record

    def publish(self, rate: float) -> None:
        """Append a version that changes a plan's rate, as an operator outside the zone would."""
        history = _configuration.History({})
        history.read(self.log[lists.STREAM], first=0)
        plan = {**history.content.entries["plans"]["basic"], "rate": rate}
        new = history.content.with_changes({"plans": {"basic": plan}}, ())
        record = _configuration.make_record(
            version=history.version + 1,
            replaces=history.version,
            author="operator",
            old=history.content,
            new=new,
            partial=True,
        )
        self.append(lists.STREAM, (record,))


class TestCutOff(unittest.TestCase):
    """Without the log, hosts serve models and refuse calls that may run only once.

    Once the log is back, all hosts reach the last version published meanwhile, and none goes back.
    """

    def setUp(self) -> None:
        self.world = RecordingWorld()
        self.answers: dict[str, str] = {}
        self.refusals: dict[str, Verdict] = {}

    def call(self, host: str, call_id: str, seconds: float, **fields: object) -> None:
        """Make a call, let time pass and record how the call ended."""
        one = self.world.hosts[host]
        seen: list[object] = []
        fakes = dict(_world._FAKES)

        def spy(kind: type) -> None:
            before = fakes.get(kind)

            def fake(target: _world.Host, effect: object) -> None:
                seen.append(effect)
                if before:
                    before(target, effect)

            _world._FAKES[kind] = fake

        for kind in (_effects.RefuseCall, _effects.FinishStream):
            spy(kind)
        try:
            one.call(call_id, f"customer:{call_id}", **fields)
            self.world.run(seconds)
        finally:
            _world._FAKES.clear()
            _world._FAKES.update(fakes)
        for effect in seen:
            if isinstance(effect, _effects.RefuseCall):
                self.refusals[effect.call_id] = effect.failure.verdict
            else:
                self.answers[effect.call_id] = effect.finish

    def test_hour_without_the_log(self) -> None:
        world = self.world
        world.run(5.0)
        world.log_down = True
        for number in range(3):
            self.call("abc"[number], f"during-{number}", HOUR / 3, has_key=True)
        self.assertEqual(set(self.answers), {"during-0", "during-1", "during-2"})
        self.call(
            "a", "sign-up", 40.0, has_key=True, kind="service", target=_world.SERVICE, path="/join"
        )
        self.assertIn("sign-up", self.refusals)
        self.assertEqual(world.service_runs["customer:sign-up"], 0)
        self.assertEqual([lists.version(one.state) for one in world.hosts.values()], [1, 1, 1])
        for one in world.hosts.values():
            self.assertEqual(leases.fence_of(one.state, _world.MODEL, world.now), -1)
        for rate in (5.0, 6.0, 7.0):
            world.publish(rate)
        world.log_down = False
        for one in world.hosts.values():
            world.feed(one, lists.STREAM)
        world.run(2.0)
        for one in world.hosts.values():
            self.assertEqual(lists.version(one.state), 4)
            self.assertEqual(lists.current(one.state).plans["basic"].rate, 7.0)
        for seen in world.versions.values():
            self.assertEqual(seen, sorted(set(seen)))
        self.call("b", "after", 10.0, has_key=True)
        self.assertIn("after", self.answers)
