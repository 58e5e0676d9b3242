"""Steps of a random sequence: what callers, the network, the log and processes can do."""

import typing

from .._effects import AppendLog, CallService, QueryService, SendPeer
from ._network import Fate
from ._world import World

Step = tuple[str, int, int]
Action = typing.Callable[[World, int, int], None]

ACTIONS: dict[str, Action] = {}
WEIGHTS: dict[str, int] = {}

DELAYS_S = (0.01, 0.05, 0.05, 0.2, 1.0, 4.0, 10.0, 40.0)
APPROACHED_KINDS = (CallService, CallService, AppendLog, SendPeer)
MAX_APPROACH_ROUNDS = 60  # Most deliveries, reads and short waits in one `approach` step.
FAULTS = (Fate.REFUSED, Fate.LOST, Fate.CUT, Fate.LATE)


def step(weight: int) -> typing.Callable[[Action], Action]:
    """Register a step under its function's name; ``weight`` is its relative frequency."""

    def register(action: Action) -> Action:
        ACTIONS[action.__name__] = action
        WEIGHTS[action.__name__] = weight
        return action

    return register


def run_step(world: World, one: Step) -> None:
    """Run a step, and check the invariants after it.

    Raises:
        InvariantError: If an invariant is violated.
    """
    name, first, second = one
    ACTIONS[name](world, first, second)
    world.check()


def _host(world: World, number: int) -> str:
    names = sorted(world.fleet.hosts)
    return names[number % len(names)]


@step(6)
def call(world: World, first: int, second: int) -> None:
    """A caller abandons its earlier calls, which their hosts may not notice, and calls a host."""
    caller = world.callers[first % len(world.callers)]
    world.call(caller, _host(world, second), tell=bool(second & 8))


@step(1)
def leave(world: World, first: int, second: int) -> None:
    """A caller closes the connections of all its calls."""
    world.leave(world.callers[first % len(world.callers)])


@step(8)
def deliver(world: World, first: int, second: int) -> None:
    """One effect in flight arrives, possibly out of order."""
    if world.fleet.in_flight:
        world.network.complete_effect(first % len(world.fleet.in_flight), Fate.DELIVERED)


@step(6)
def deliver_all(world: World, first: int, second: int) -> None:
    """Up to eight effects in flight arrive in order; if none are left, log tails read."""
    for _ in range(1 + first % 8):
        if world.fleet.in_flight:
            world.network.complete_effect(0, Fate.DELIVERED)
        else:
            world.network.read_tails()


@step(6)
def fail(world: World, first: int, second: int) -> None:
    """One effect in flight gets a fault: it is refused, lost, cut or late (see `Fate`)."""
    if world.fleet.in_flight:
        world.network.complete_effect(
            first % len(world.fleet.in_flight), FAULTS[second % len(FAULTS)]
        )


@step(5)
def fail_service(world: World, first: int, second: int) -> None:
    """A call or a query to a service is refused, lost, cut or late (see `Fate`)."""
    _fail_kind(world, (CallService, QueryService), first, second)


@step(3)
def fail_append(world: World, first: int, second: int) -> None:
    """An append to the log is refused, lost, cut or late (see `Fate`)."""
    _fail_kind(world, (AppendLog,), first, second)


def _fail_kind(world: World, kinds: tuple[type, ...], first: int, second: int) -> None:
    places = [i for i, item in enumerate(world.fleet.in_flight) if isinstance(item.effect, kinds)]
    if places:
        world.network.complete_effect(places[first % len(places)], FAULTS[second % len(FAULTS)])


@step(8)
def approach(world: World, first: int, second: int) -> None:
    """Effects are delivered without faults until one of a chosen kind is in flight.

    A later step can then fail that effect.
    """
    kind = APPROACHED_KINDS[first % len(APPROACHED_KINDS)]
    for _ in range(MAX_APPROACH_ROUNDS):
        if any(isinstance(item.effect, kind) for item in world.fleet.in_flight):
            return
        if world.fleet.in_flight:
            world.network.complete_effect(0, Fate.DELIVERED)
        elif not world.network.read_tails():
            world.fleet.advance(0.05)


@step(4)
def read(world: World, first: int, second: int) -> None:
    """A host's log tails read new records."""
    world.network.read_tails(_host(world, first))


@step(8)
def wait(world: World, first: int, second: int) -> None:
    """Time passes, and timers fire."""
    world.fleet.advance(DELAYS_S[first % len(DELAYS_S)])


@step(2)
def crash(world: World, first: int, second: int) -> None:
    """A host crashes; it may restart at once."""
    name = _host(world, first)
    world.crash(name)
    if second & 1:
        world.fleet.boot(name)


@step(2)
def boot(world: World, first: int, second: int) -> None:
    """A crashed host restarts."""
    name = _host(world, first)
    if not world.fleet.hosts[name].alive:
        world.fleet.boot(name)


@step(2)
def pause(world: World, first: int, second: int) -> None:
    """A host's process is paused."""
    world.fleet.pause(_host(world, first))


@step(3)
def resume(world: World, first: int, second: int) -> None:
    """A paused process resumes."""
    world.fleet.resume(_host(world, first))


@step(2)
def log_outage(world: World, first: int, second: int) -> None:
    """The log service goes down, or comes back."""
    world.fleet.log.up = not world.fleet.log.up


@step(2)
def list_hosts(world: World, first: int, second: int) -> None:
    """Every host reads the host list."""
    world.fleet.list_hosts()
