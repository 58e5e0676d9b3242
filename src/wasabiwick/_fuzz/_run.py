"""Fuzz run: draws random step sequences; hypothesis shortens one that violates an invariant."""

import collections

import hypothesis
from hypothesis import strategies

from . import _steps
from ._world import SERVICES, World

MIN_STEPS = 12  # Least number of steps in one random sequence.
MAX_STEPS = 60
# Fleets to draw from: each tuple lists the availability zones of one fleet's hosts.
LAYOUTS = (("a",), ("a", "a"), ("a", "b"), ("a", "a", "b"))
ARGUMENT_VALUES = 64  # A step's arguments are drawn from 0 up to this, exclusive.


class Report:
    """Counts of a fuzz run.

    Attributes:
        sequences: Sequences run.
        steps: Steps taken, by name.
        told: Answers and refusals that callers got, by kind and verdict.
        effects: Calls that took effect at a service.
    """

    __slots__ = ("sequences", "steps", "told", "effects")

    def __init__(self) -> None:
        self.sequences = 0
        self.steps: collections.Counter[str] = collections.Counter()
        self.told: collections.Counter[str] = collections.Counter()
        self.effects = 0


def _step_strategy() -> strategies.SearchStrategy[_steps.Step]:
    names = [name for name, weight in _steps.WEIGHTS.items() for _ in range(weight)]
    argument = strategies.integers(0, ARGUMENT_VALUES - 1)
    return strategies.tuples(strategies.sampled_from(names), argument, argument)


def run(sequences: int, seed: int, *, shrink: bool = True) -> Report:
    """Run random sequences of steps on fleets of simulated hosts.

    Args:
        sequences: Number of sequences.
        seed: Seed of the random draws.
        shrink: Whether to search for the shortest sequence that violates an invariant.

    Returns:
        Counts of sequences, steps, replies and effects.

    Raises:
        InvariantError: If an invariant is violated; hypothesis prints the shortest sequence.
    """
    report = Report()
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=sequences,
        database=None,
        deadline=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        layout=strategies.sampled_from(LAYOUTS),
        callers=strategies.lists(strategies.sampled_from(sorted(SERVICES)), min_size=1, max_size=3),
        steps=strategies.lists(_step_strategy(), min_size=MIN_STEPS, max_size=MAX_STEPS),
    )
    def play(layout: tuple[str, ...], callers: list[str], steps: list[_steps.Step]) -> None:
        play_sequence(layout, callers, steps, report)

    play()
    return report


def play_sequence(
    layout: tuple[str, ...], callers: list[str], steps: list[_steps.Step], report: Report
) -> None:
    """Run one sequence of steps, then end all faults and let callers retry.

    Args:
        layout: Availability zone of each host.
        callers: Service of each caller.
        steps: The sequence.
        report: Report to which the counts of this sequence are added.

    Raises:
        InvariantError: If an invariant is violated.
    """
    world = World(list(layout), callers)
    for one in steps:
        _steps.run_step(world, one)
        report.steps[one[0]] += 1
    world.heal()
    report.sequences += 1
    report.effects += sum(len(world.effects(caller)) for caller in world.callers)
    for _, effect in world.fleet.caller_effects:
        failure = getattr(effect, "failure", None)
        kind = type(effect).__name__
        report.told[f"{kind} {failure.verdict.value}" if failure else kind] += 1
