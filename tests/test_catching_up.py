"""Tests of hosts that others read the store for, and that read newer routes for themselves."""

import unittest

from wasabiwick import _events
from wasabiwick._effects import LogLine
from wasabiwick._effects_forwarding import ReadFeed
from wasabiwick._handlers import catching_up, read_turns, routes

from ._forward import Host, table

NAMES = ("a", "b", "c", "d", "e")


class TestCatchingUp(unittest.TestCase):
    """A host that listened stayed at an old version as long as its readers were behind."""

    def setUp(self) -> None:
        self.version = 1  # What the other hosts have in force.
        self.host = next(
            host for host in map(self.made, NAMES) if not read_turns.has_turn(host.state)
        )

    def made(self, name: str) -> Host:
        """Return a host that has heard the others of its zone, and has its turn by them."""
        host = Host(name=name)
        self.wait(host, 2.0)
        return host

    def wait(self, host: Host, seconds: float) -> None:
        """Let time pass, while the other hosts tell their version twice a second."""
        end = host.now + seconds
        while host.now < end:
            for name in NAMES:
                if name != host.state.owner.host:
                    host.know(name, routes_version=self.version)
            host.run(min(0.5, end - host.now))

    def reads(self) -> int:
        """Return how often the host was to read the routes for itself."""
        asked = [one for one in self.host.effects if isinstance(one, ReadFeed)]
        self.assertTrue(all(one.feed == "routes" for one in asked))
        return len(asked)

    def test_listener_reads_for_itself_while_it_is_behind(self) -> None:
        self.wait(self.host, 5.0)
        self.assertEqual(self.reads(), 0)
        self.version = 2
        self.wait(self.host, 0.25)
        self.assertEqual(self.reads(), 0)
        self.wait(self.host, 0.5)
        self.assertEqual(self.reads(), 1)
        self.wait(self.host, 2.0)
        self.assertEqual(self.reads(), 2)
        lines = [one for one in self.host.effects if isinstance(one, LogLine)]
        line = [one.fields for one in lines if one.event == "routes_read_here"][-1]
        self.assertEqual((line["reads"], line["routes_version"], line["heard_version"]), (2, 1, 2))

    def test_listener_that_is_told_soon_does_not_read(self) -> None:
        self.version = 2
        self.wait(self.host, 0.2)
        self.host.feed(_events.RoutesRead, table=table(2))
        self.wait(self.host, 20.0)
        self.assertEqual(self.reads(), 0)

    def test_reads_end_once_it_has_caught_up_and_begin_anew_soon(self) -> None:
        self.version = 3
        self.wait(self.host, 20.0)
        self.host.feed(_events.RoutesRead, table=table(2))
        before = self.reads()
        self.wait(self.host, 13.0)
        self.assertGreater(self.reads(), before)
        self.host.feed(_events.RoutesRead, table=table(3))
        before = self.reads()
        self.wait(self.host, 20.0)
        self.assertEqual(self.reads(), before)
        self.version = 4
        self.wait(self.host, 0.5)
        self.assertEqual(self.reads(), before + 1)

    def test_reads_become_rare_and_end(self) -> None:
        """A version that the store does not have would be read for again and again."""
        self.version = 10**18
        self.wait(self.host, 30.0)
        self.assertLessEqual(self.reads(), 3 + 30.0 / catching_up.MAX_REPEAT_DELAY_S + 1)
        self.wait(self.host, routes.BEHIND_BOUND_S)
        before = self.reads()
        self.wait(self.host, 3 * routes.BEHIND_BOUND_S)
        self.assertEqual(self.reads(), before)

    def test_host_that_reads_for_others_goes_by_its_own_reads(self) -> None:
        self.host = next(host for host in map(self.made, NAMES) if read_turns.has_turn(host.state))
        self.version = 2
        self.wait(self.host, 20.0)
        self.assertEqual(self.reads(), 0)

    def test_host_that_leaves_its_turn_while_it_is_behind_reads_then(self) -> None:
        self.version = 2
        self.host.state["read_turns"].reads = True
        self.wait(self.host, 0.4)
        self.wait(self.host, 3.0)
        self.assertFalse(read_turns.has_turn(self.host.state))
        self.assertGreater(self.reads(), 0)

    def test_reads_of_hosts_that_hear_at_one_moment_are_spread(self) -> None:
        """All hosts of a zone read a large version at one moment."""
        delays = set()
        for seed in range(20):
            self.host.state.rng.seed(seed)
            delays.add(round(catching_up._delay(self.host.state), 3))
        self.assertGreater(len(delays), 10)
        self.assertGreaterEqual(min(delays), catching_up.FIRST_DELAY_S)

    def test_failed_step_does_not_end_the_wait(self) -> None:
        self.version = 2
        self.host.know("z", routes_version=2)
        self.host._timers.pop(("catch_up", ""))
        self.host.feed(_events.StepFailed, subject=(), error=RuntimeError("test"))
        self.host.run(0.5)
        self.assertEqual(self.reads(), 1)
