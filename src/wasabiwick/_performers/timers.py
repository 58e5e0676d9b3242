"""Performs the effects that start and stop timers, and the one that ends the process."""

import asyncio

from .._effects import EndProcess, EnsureTimer, StartTimer, StopTimer
from .._events import TimerFired
from .._runner import Runner, performs


@performs(StartTimer)
def start(runner: Runner, effect: StartTimer) -> None:
    """Start a timer; replaces a running one of the same name and key."""
    name = (effect.timer, effect.key)
    running = runner.timers.get(name)
    if running:
        running.cancel()
    loop = asyncio.get_running_loop()
    runner.timers[name] = loop.call_later(effect.delay, _fire, runner, name)


@performs(EnsureTimer)
def ensure(runner: Runner, effect: EnsureTimer) -> None:
    """Start a timer unless it is running."""
    if (effect.timer, effect.key) not in runner.timers:
        start(runner, effect)


def _fire(runner: Runner, name: tuple[str, str]) -> None:
    runner.timers.pop(name, None)
    runner.post(TimerFired(at=runner.now(), timer=name[0], key=name[1]))


@performs(StopTimer)
def stop(runner: Runner, effect: StopTimer) -> None:
    """Cancel a timer."""
    running = runner.timers.pop((effect.timer, effect.key), None)
    if running:
        running.cancel()


@performs(EndProcess)
def end(runner: Runner, effect: EndProcess) -> None:
    """Signal that the process may end."""
    runner.ended.set()
