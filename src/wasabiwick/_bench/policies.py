"""Baseline policies for comparison: each host chooses engines without a coordinator.

A baseline replaces only the choice of engines. Admission, retries, resumes and cancels are those of
the real handlers. An engine without a free slot refuses the decode, which wastes the prefill.
"""

import typing

from .._events import EngineReported, SlotWanted
from .._handlers import members, requests, slots
from .._reducer import Step, handles
from .._settings import Settings
from .._state import State, state_slice
from .._wire import EngineReport, HostEntry

OURS = "ours"  # The real policy: a coordinator grants slots.
BASELINES = ("round_robin", "least_load", "affinity")
POLICIES = (OURS, *BASELINES)


@state_slice("bench_baselines")
class BaselineState:
    """State of the baselines.

    ``turns`` counts the choices of `round_robin`, ``reports`` has each engine's newest report, and
    ``engine_by_piece`` the engine that last prefilled each piece.
    """

    __slots__ = ("turns", "reports", "engine_by_piece")

    def __init__(self, cfg: Settings) -> None:
        self.turns = 0
        self.reports: dict[str, EngineReport] = {}
        self.engine_by_piece: dict[int, str] = {}


@handles(EngineReported)
def keep_report(state: State, event: EngineReported) -> None:
    """Keep the newest report of each engine."""
    state["bench_baselines"].reports[event.report.engine] = event.report


def _untried_engines(state: State, event: SlotWanted) -> tuple[list[HostEntry], list[HostEntry]]:
    """Return the engines for prefill, and those for decode that the request has not tried yet."""
    req = requests.request_of(state, event.request_id)
    usable_engines = sorted(
        members.usable_endpoints(state, req.call.target), key=lambda one: one.name
    )
    reports = state["bench_baselines"].reports
    decode_engines = [
        one for one in usable_engines if one.name not in reports or reports[one.name].slots
    ]
    prefill_engines = [one for one in usable_engines if one not in decode_engines] or usable_engines
    untried_engines = [
        one for one in decode_engines if one.name not in event.avoid
    ] or decode_engines
    return prefill_engines, untried_engines


@slots.policy("round_robin")
def round_robin(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Choose the engines in turn."""
    prefill_engines, decode_engines = _untried_engines(state, event)
    baselines = state["bench_baselines"]
    baselines.turns += 1
    yield from slots.hold_without_coordinator(
        state,
        event,
        prefill=prefill_engines[baselines.turns % len(prefill_engines)].name,
        decode=decode_engines[baselines.turns % len(decode_engines)].name,
    )


@slots.policy("least_load")
def least_load(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Choose the engines with the least load according to their last reports."""
    prefill_engines, decode_engines = _untried_engines(state, event)
    yield from slots.hold_without_coordinator(
        state,
        event,
        prefill=min(prefill_engines, key=lambda one: _prefill_load(state, one.name)).name,
        decode=min(decode_engines, key=lambda one: _decode_load(state, one.name)).name,
    )


def _prefill_load(state: State, name: str) -> tuple[float, float]:
    report = state["bench_baselines"].reports.get(name)
    return (report.queued_prefill_tokens if report else 0, state.rng.random())


def _decode_load(state: State, name: str) -> tuple[float, float]:
    report = state["bench_baselines"].reports.get(name)
    return (report.used if report else 0, state.rng.random())


@slots.policy("affinity")
def affinity(state: State, event: SlotWanted) -> typing.Iterator[Step]:
    """Choose the engine that last prefilled the longest known prefix, regardless of load."""
    prefill_engines, decode_engines = _untried_engines(state, event)
    baselines = state["bench_baselines"]
    req = requests.request_of(state, event.request_id)
    names = [one.name for one in prefill_engines]
    pieces = [piece for piece in req.call.pieces if piece]
    known_engines = (baselines.engine_by_piece.get(piece) for piece in reversed(pieces))
    chosen_engine = next((name for name in known_engines if name in names), state.rng.choice(names))
    for piece in pieces:
        baselines.engine_by_piece[piece] = chosen_engine
    yield from slots.hold_without_coordinator(
        state, event, prefill=chosen_engine, decode=state.rng.choice(decode_engines).name
    )
