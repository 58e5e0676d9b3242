"""Tests of the runner: events one at a time, and faults that stay where they are."""

import unittest
import unittest.mock

from loguru import logger

from tests.support import make_settings
from wasabiwick import _effects, _events, _performers, _runner, _wire


class FakeClock:
    """A clock that stands still."""

    def monotonic(self) -> float:
        return 1.0

    def wall(self) -> float:
        return 1_800_000_000.0


class TestFaults(unittest.IsolatedAsyncioTestCase):
    """A fault at one event or effect does not keep others from being carried out."""

    async def asyncSetUp(self) -> None:
        self.assertTrue(_performers)
        logger.remove()
        ports = _runner.Ports(
            clock=FakeClock(),
            **dict.fromkeys(("engine", "host_list", "log", "peer", "service")),
        )
        owner = _wire.Owner(host="a", incarnation="1")
        self.runner = _runner.Runner(cfg=make_settings(), ports=ports, owner=owner, seed=1)
        self.performed: list[str] = []

    def reduce(self, state: object, event: _events.TimerFired) -> list[_effects.Effect]:
        if event.key == "bad event":
            raise KeyError("lost")
        return [_effects.LogLine(event=key, fields={}) for key in event.key.split("+")]

    def perform(self, runner: _runner.Runner, effect: _effects.LogLine) -> None:
        if effect.event == "bad":
            raise ValueError("broken")
        self.performed.append(effect.event)
        if effect.event == "nested":
            self.post("after")
            self.performed.append("still nested")

    def post(self, key: str) -> None:
        self.runner.post(_events.TimerFired(at=1.0, timer="t", key=key))

    def run_steps(self, *keys: str) -> str:
        performers = {**_runner._PERFORMERS, _effects.LogLine: self.perform}
        with (
            unittest.mock.patch.object(_runner, "reduce", self.reduce),
            unittest.mock.patch.object(_runner, "_PERFORMERS", performers),
        ):
            for key in keys:
                self.post(key)
        return self.runner.telemetry.text((), self.runner.state)[0].decode()

    async def test_other_effects_and_events_go_on(self) -> None:
        text = self.run_steps("one+bad+two", "bad event", "three")
        self.assertEqual(self.performed, ["one", "two", "three"])
        self.assertIn('wasabiwick_faults_total{label="LogLine"} 1', text)
        self.assertIn('wasabiwick_faults_total{label="TimerFired"} 1', text)

    async def test_event_raised_while_effects_are_carried_out_waits(self) -> None:
        self.run_steps("nested+last")
        self.assertEqual(self.performed, ["nested", "still nested", "last", "after"])
