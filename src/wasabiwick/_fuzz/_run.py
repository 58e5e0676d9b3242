"""The fuzz run: draws sequences with hypothesis and shows the shortest that breaks a promise."""

import collections

import hypothesis
from hypothesis import strategies

from . import _steps
from ._world import SERVICES, World

SHORTEST = 12  # Steps of one sequence.
LONGEST = 60
LAYOUTS = (("a",), ("a", "a"), ("a", "b"), ("a", "a", "b"))
SMALL = 64


class Report:
    """What a fuzz run did.

    Args:
        sequences: Sequences run.
        steps: Steps taken, by name.
        told: Answers and refusals of callers, by kind and verdict.
        effects: Effects that services counted.
    """

    __slots__ = ("sequences", "steps", "told", "effects")

    def __init__(self) -> None:
        self.sequences = 0
        self.steps: collections.Counter[str] = collections.Counter()
        self.told: collections.Counter[str] = collections.Counter()
        self.effects = 0


def _step_strategy() -> strategies.SearchStrategy[_steps.Step]:
    names = [name for name, weight in _steps.WEIGHTS.items() for _ in range(weight)]
    small = strategies.integers(0, SMALL - 1)
    return strategies.tuples(strategies.sampled_from(names), small, small)


def run(sequences: int, seed: int, *, shrink: bool = True) -> Report:
    """Run random sequences on the reducer.

    Args:
        sequences: How many.
        seed: Seed of the draw.
        shrink: Whether to look for the shortest sequence that breaks a promise.

    Returns:
        What was run.

    Raises:
        BrokenPromiseError: If a promise did not hold; hypothesis prints the shortest sequence.
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
        steps=strategies.lists(_step_strategy(), min_size=SHORTEST, max_size=LONGEST),
    )
    def play(layout: tuple[str, ...], callers: list[str], steps: list[_steps.Step]) -> None:
        play_sequence(layout, callers, steps, report)

    play()
    return report


def play_sequence(
    layout: tuple[str, ...], callers: list[str], steps: list[_steps.Step], report: Report
) -> None:
    """Play one sequence to its end, then end all faults and let callers retry.

    Args:
        layout: Availability zone of each host.
        callers: Service of each caller.
        steps: The sequence.
        report: Counts what is played.

    Raises:
        BrokenPromiseError: If a promise did not hold.
    """
    world = World(list(layout), callers)
    for one in steps:
        _steps.take(world, one)
        report.steps[one[0]] += 1
    world.heal()
    report.sequences += 1
    report.effects += sum(len(world.effects(caller)) for caller in world.callers)
    for _, effect in world.fleet.told:
        failure = getattr(effect, "failure", None)
        kind = type(effect).__name__
        report.told[f"{kind} {failure.verdict.value}" if failure else kind] += 1
