"""Progress of each generation on this host, and the identifiers of attempts.

The modules for generations, takeovers, keys and confirmations share this state; this module
imports none of them.
"""

from .._settings import Settings
from .._state import State, state_slice
from .._wire import Supersede
from . import requests


class Generation:
    """The progress of one generation request on this host.

    ``phase`` is ``slot``, ``prefill``, ``decode`` or ``ended``. ``offset`` is the number of output
    tokens received by this host. ``doubtful`` is set if another host may have taken the request
    over. ``successor`` is the takeover message of a host that waits for the stream, if any.
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
    """Generations by request id, and the counter from which attempt ids are made."""

    __slots__ = ("running", "attempts")

    def __init__(self, cfg: Settings) -> None:
        self.running: dict[str, Generation] = {}
        self.attempts = 0


def new_attempt_id(state: State) -> str:
    """Return an attempt id that is unique among all hosts."""
    generations = state["generation"]
    generations.attempts += 1
    return f"{state.owner.host}.{state.owner.incarnation}.{generations.attempts}"


def running_attempt_ids(state: State) -> frozenset[str]:
    """Return the ids of the attempts that this host runs."""
    return frozenset(gen.attempt_id for gen in state["generation"].running.values())


def generation_of(state: State, request_id: str) -> Generation | None:
    """Return the generation of a request, or None."""
    return state["generation"].running.get(request_id)


def add_adopted(state: State, request_id: str, attempt_id: str, engine: str, at: float) -> None:
    """Record that this host now serves a running attempt that another host started."""
    gen = Generation(phase="decode", attempt_id=attempt_id)
    gen.decode_engine = engine
    gen.last_output = at
    state["generation"].running[request_id] = gen


def keyed_generations(state: State) -> list[tuple[str, Generation]]:
    """Return the unfinished generations that a retry may take over: their requests have a key."""
    return [
        (request_id, gen)
        for request_id, gen in state["generation"].running.items()
        if gen.phase != "ended" and requests.request_of(state, request_id).call.has_key
    ]


def is_current(state: State, request_id: str, attempt_id: str) -> bool:
    """Return whether an attempt is the current one of a request that this host serves."""
    return current_generation(state, request_id, attempt_id) is not None


def current_generation(state: State, request_id: str, attempt_id: str) -> Generation | None:
    """Return the request's generation if the attempt is its current one, or None."""
    gen = state["generation"].running.get(request_id)
    return gen if gen and gen.attempt_id == attempt_id else None
