"""Model check: proves the protocols' properties, and refutes them if a fault is built in."""

import time
import typing

import minicheck

from . import _effects_spec, _slots_spec

MAX_STATES = 2_000_000
# Maximum number of states to explore if the protocol has a deliberate fault. A partial search is
# enough then, since any counterexample that it finds is valid.
MAX_MUTANT_STATES = 100_000
ATTEMPTS = 3


class Result:
    """Result of checking one specification.

    Args:
        name: Name of the specification or mutation.
        states: States explored.
        exhaustive: Whether these are all reachable states.
        properties: Whether each property holds; None if the search did not determine it.
        counterexamples: Shortest trace to a violation, by property.
        seconds: Duration of the search.
    """

    __slots__ = ("name", "states", "exhaustive", "properties", "counterexamples", "seconds")

    def __init__(
        self,
        *,
        name: str,
        states: int,
        exhaustive: bool,
        properties: dict[str, bool | None],
        counterexamples: dict[str, list[str]],
        seconds: float,
    ) -> None:
        self.name = name
        self.states = states
        self.exhaustive = exhaustive
        self.properties = properties
        self.counterexamples = counterexamples
        self.seconds = seconds

    @property
    def proved(self) -> bool:
        """Return whether every property holds in a complete search."""
        return self.exhaustive and all(self.properties.values())

    @property
    def refuted(self) -> bool:
        """Return whether a property has a counterexample."""
        return any(holds is False for holds in self.properties.values())


def check(
    name: str,
    protocol: minicheck.Protocol,
    *,
    check_goal: bool = True,
    max_states: int = MAX_STATES,
) -> Result:
    """Check a specification.

    Args:
        name: Name to report.
        protocol: The specification.
        check_goal: Whether to check that the goal is reachable from every state.
        max_states: Most states to explore; no property is proved if there are more.

    Returns:
        The properties, each proved, refuted or not determined.
    """
    start = time.perf_counter()
    found = minicheck.check_safety(protocol, max_states=max_states)
    properties = {key: one["holds"] for key, one in found["properties"].items()}
    traces = {
        key: _labels(one["counterexample"])
        for key, one in found["properties"].items()
        if one["holds"] is False
    }
    if check_goal and found["exhaustive"]:
        live = minicheck.check_liveness(protocol)
        properties["goal_stays_reachable"] = live["holds"]
        if live["holds"] is False:
            traces["goal_stays_reachable"] = _labels(live.get("counterexample") or ())
    return Result(
        name=name,
        states=found["reachable_states"],
        exhaustive=found["exhaustive"],
        properties=properties,
        counterexamples=traces,
        seconds=time.perf_counter() - start,
    )


def _labels(trace: typing.Iterable[dict]) -> list[str]:
    return [one["label"] for one in trace if one["label"]]


def protocols() -> typing.Iterator[Result]:
    """Check the protocols as they are implemented."""
    plain = _effects_spec.Spec(attempts=2).protocol()
    yield check("effects, fencing ignored, 2 attempts", plain)
    more = _effects_spec.Spec(attempts=ATTEMPTS).protocol()
    yield check("effects, fencing ignored, 3 attempts", more, check_goal=False)
    yield check(
        "effects, fencing honoured, 2 attempts",
        _effects_spec.Spec(attempts=2, fenced=True).protocol(),
    )
    yield check("slots", _slots_spec.Spec().protocol())


def check_rerun_after_not_run() -> Result:
    """Check the false property that a key never runs after `NOT_RUN`; it must be refuted."""
    protocol = _effects_spec.Spec(attempts=2).protocol()
    protocol.invariants = {
        "voided_key_never_runs": lambda s: not (s["not_run"] >= 0 and s["effects"])
    }
    return check("a voided key can run again", protocol, check_goal=False)


def mutations() -> typing.Iterator[Result]:
    """Check each specification with a deliberate fault."""
    for name in _effects_spec.MUTATIONS:
        spec = _effects_spec.Spec(attempts=2, fenced=name == "query_without_fence", mutation=name)
        yield check(name, spec.protocol(), check_goal=False, max_states=MAX_MUTANT_STATES)
    for name in _slots_spec.MUTATIONS:
        yield check(name, _slots_spec.Spec(mutation=name).protocol())
