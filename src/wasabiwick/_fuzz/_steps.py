"""Steps of a random sequence: what callers, the network, the log and processes can do."""

import typing

from .._effects import AppendLog, CallService, QueryService, SendPeer
from ._network import Fate
from ._world import World

Step = tuple[str, int, int]
Action = typing.Callable[[World, int, int], None]

ACTIONS: dict[str, Action] = {}
WEIGHTS: dict[str, int] = {}

DELAYS = (0.01, 0.05, 0.05, 0.2, 1.0, 4.0, 10.0, 40.0)  # Seconds.
KINDS = (CallService, CallService, AppendLog, SendPeer)
APPROACH = 60  # Deliveries of one approach.
FAULTS = (Fate.REFUSED, Fate.LOST, Fate.CUT, Fate.LATE)


def step(weight: int) -> typing.Callable[[Action], Action]:
    """Register a step that is drawn with a weight."""

    def register(action: Action) -> Action:
        ACTIONS[action.__name__] = action
        WEIGHTS[action.__name__] = weight
        return action

    return register


def take(world: World, one: Step) -> None:
    """Take a step, and check the promises after it.

    Raises:
        BrokenPromiseError: If a promise does not hold.
    """
    name, first, second = one
    ACTIONS[name](world, first, second)
    world.check()


def _host(world: World, number: int) -> str:
    names = sorted(world.fleet.hosts)
    return names[number % len(names)]


@step(6)
def call(world: World, first: int, second: int) -> None:
    """A caller calls a host; the hosts of its earlier calls may not hear that it left."""
    caller = world.callers[first % len(world.callers)]
    world.call(caller, _host(world, second), tell=bool(second & 8))


@step(1)
def leave(world: World, first: int, second: int) -> None:
    """A caller's connections end."""
    world.leave(world.callers[first % len(world.callers)])


@step(8)
def deliver(world: World, first: int, second: int) -> None:
    """Something on its way arrives, whatever its order."""
    if world.fleet.in_flight:
        world.network.apply_fate(first % len(world.fleet.in_flight), Fate.DELIVERED)


@step(6)
def deliver_all(world: World, first: int, second: int) -> None:
    """Much of what is on its way arrives in order."""
    for _ in range(1 + first % 8):
        if world.fleet.in_flight:
            world.network.apply_fate(0, Fate.DELIVERED)
        else:
            world.network.read_tails()


@step(6)
def fail(world: World, first: int, second: int) -> None:
    """Something on its way is refused, lost, cut or late."""
    if world.fleet.in_flight:
        world.network.apply_fate(first % len(world.fleet.in_flight), FAULTS[second % len(FAULTS)])


@step(5)
def fail_service(world: World, first: int, second: int) -> None:
    """A call to a service, or a question to it, is refused, lost, cut or late."""
    _fail_kind(world, (CallService, QueryService), first, second)


@step(3)
def fail_append(world: World, first: int, second: int) -> None:
    """An append to the log is refused, lost, cut or late."""
    _fail_kind(world, (AppendLog,), first, second)


def _fail_kind(world: World, kinds: tuple[type, ...], first: int, second: int) -> None:
    places = [i for i, item in enumerate(world.fleet.in_flight) if isinstance(item.effect, kinds)]
    if places:
        world.network.apply_fate(places[first % len(places)], FAULTS[second % len(FAULTS)])


@step(8)
def approach(world: World, first: int, second: int) -> None:
    """All goes well until something of a chosen kind is on its way."""
    kind = KINDS[first % len(KINDS)]
    for _ in range(APPROACH):
        if any(isinstance(item.effect, kind) for item in world.fleet.in_flight):
            return
        if world.fleet.in_flight:
            world.network.apply_fate(0, Fate.DELIVERED)
        elif not world.network.read_tails():
            world.fleet.advance(0.05)


@step(4)
def read(world: World, first: int, second: int) -> None:
    """A host's tails read what is new."""
    world.network.read_tails(_host(world, first))


@step(8)
def wait(world: World, first: int, second: int) -> None:
    """Time passes."""
    world.fleet.advance(DELAYS[first % len(DELAYS)])


@step(2)
def crash(world: World, first: int, second: int) -> None:
    """A host dies; it starts again later, or at once."""
    name = _host(world, first)
    world.crash(name)
    if second & 1:
        world.fleet.boot(name)


@step(2)
def boot(world: World, first: int, second: int) -> None:
    """A dead host starts again."""
    name = _host(world, first)
    if not world.fleet.hosts[name].alive:
        world.fleet.boot(name)


@step(2)
def pause(world: World, first: int, second: int) -> None:
    """A host's process stops for a while."""
    world.fleet.pause(_host(world, first))


@step(3)
def resume(world: World, first: int, second: int) -> None:
    """A paused process goes on."""
    world.fleet.resume(_host(world, first))


@step(2)
def log_outage(world: World, first: int, second: int) -> None:
    """The log service goes down, or comes back."""
    world.fleet.log.up = not world.fleet.log.up


@step(2)
def list_hosts(world: World, first: int, second: int) -> None:
    """Every host reads the host list."""
    world.fleet.list_hosts()
