"""Attempts: the progress of each generation on this host, and the identifiers of attempts.

The state that generations, take-overs, keys and confirmations share; it depends on none of them.
"""

from .._settings import Settings
from .._state import State, state_slice
from .._wire import Supersede
from . import requests


class Generation:
    """The progress of one generation request on this host.

    ``phase`` is ``slot``, ``prefill``, ``decode`` or ``ended``. ``offset`` counts the output tokens
    that this host has. ``doubtful`` is set where another host may serve the request by now.
    """

    __slots__ = (
        "phase",
        "attempt_id",
        "attempts",
        "prefill_engine",
        "decode_engine",
        "offset",
        "last_output",
        "resumes",
        "avoid",
        "successor",
        "finish",
        "doubtful",
    )

    def __init__(self, *, phase: str, attempt_id: str) -> None:
        self.phase = phase
        self.attempt_id = attempt_id
        self.attempts = 1
        self.prefill_engine = ""
        self.decode_engine = ""
        self.offset = 0
        self.last_output = 0.0
        self.resumes = 0
        self.avoid: tuple[str, ...] = ()
        self.successor: Supersede | None = None
        self.finish = ""
        self.doubtful = False


@state_slice("generation")
class GenerationState:
    """Generations by request id, and the counter that makes attempt ids unique."""

    __slots__ = ("running", "attempts")

    def __init__(self, cfg: Settings) -> None:
        self.running: dict[str, Generation] = {}
        self.attempts = 0


def new_attempt_id(state: State) -> str:
    """Return an attempt id that no other attempt of any host has."""
    mine = state["generation"]
    mine.attempts += 1
    return f"{state.owner.host}.{state.owner.incarnation}.{mine.attempts}"


def running_attempts(state: State) -> frozenset[str]:
    """Return the attempts that this host knows to be its own."""
    return frozenset(one.attempt_id for one in state["generation"].running.values())


def generation_of(state: State, request_id: str) -> Generation | None:
    """Return the generation that runs for a request, or None."""
    return state["generation"].running.get(request_id)


def go_on(state: State, request_id: str, attempt_id: str, engine: str, at: float) -> None:
    """Enter a running attempt that another host started."""
    gen = Generation(phase="decode", attempt_id=attempt_id)
    gen.decode_engine = engine
    gen.last_output = at
    state["generation"].running[request_id] = gen


def keyed(state: State) -> list[tuple[str, Generation]]:
    """Return the running generations that a retry elsewhere may look for."""
    return [
        (request_id, gen)
        for request_id, gen in state["generation"].running.items()
        if gen.phase != "ended" and requests.request_of(state, request_id).call.has_key
    ]


def runs(state: State, request_id: str, attempt_id: str) -> bool:
    """Tell whether an attempt is the one that this host runs for a request."""
    return current(state, request_id, attempt_id) is not None


def current(state: State, request_id: str, attempt_id: str) -> Generation | None:
    """Return a request's generation while an attempt is its newest one, or None."""
    gen = state["generation"].running.get(request_id)
    return gen if gen and gen.attempt_id == attempt_id else None
