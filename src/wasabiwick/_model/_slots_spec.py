"""Specification of slot reaping: frees engine memory of attempts that no host serves any more.

There are one attempt, its host, the engine, a coordinator and a retry. The first host runs the
attempt and can crash, restart or forget it. A retry on a second host can adopt the attempt. The
engine's coordinator cancels attempts without a host, by the same rules as the handlers.
"""

import typing

import minicheck

MUTATIONS = {
    "cancel_once": "a cancel is sent only once, even if the engine has not confirmed it",
    "incarnation_reused": "a restarted host reuses the incarnation of its earlier run",
    "no_reaping": "no coordinator frees the memory of attempts that no host serves",
    "reap_on_silence": "a live host's attempt is cancelled because the host did not report it",
}

SERVES, FORGOT, CRASHED, RESTARTED, HANDED_OVER = "serves", "forgot", "crashed", "restarted", "away"


class State(typing.NamedTuple):
    """Which host serves the attempt, whom the engine takes for its owner, and what is in flight.

    ``first`` and ``second`` state what each host does with the attempt; ``second`` is empty until
    that host adopts it. ``engine`` is the owner that the engine knows, or empty once the memory is
    free. ``pending`` means that a cancel has to be repeated until it is confirmed; ``cancel`` and
    ``resume`` are true while one is in flight; ``wrong`` means that memory was freed while its host
    served the attempt.
    """

    first: str = SERVES
    second: str = ""
    engine: str = "first"
    pending: bool = False
    cancel: bool = False
    resume: bool = False
    wrong: bool = False


class Spec:
    """Transitions of a slot from its use until it is free.

    Args:
        mutation: Name of a deliberate fault, or empty.
    """

    def __init__(self, *, mutation: str = "") -> None:
        self.mutation = mutation

    def protocol(self) -> minicheck.Protocol:
        """Return the specification for the checker."""
        return minicheck.Protocol(
            name="slots",
            candidate=False,
            fields=State._fields,
            initial=tuple(State()),
            transitions=lambda raw: [(label, tuple(s)) for label, s in self._steps(State(*raw))],
            invariants={"served_memory_is_kept": lambda s: not s["wrong"]},
            goal=lambda s: s["engine"] == "",
        )

    def _steps(self, state: State) -> typing.Iterator[tuple[str, State]]:
        yield from self._hosts(state)
        yield from self._coordinator(state)
        yield from self._engine(state)

    def _hosts(self, state: State) -> typing.Iterator[tuple[str, State]]:
        if state.first == SERVES:
            yield "host forgets", state._replace(first=FORGOT)
            yield "host cancels", state._replace(first=FORGOT, pending=True)
            yield "host hands over", state._replace(first=HANDED_OVER, second="adopts", resume=True)
        if state.first not in (CRASHED, RESTARTED):
            yield "host crashes", state._replace(first=CRASHED)
        elif state.first == CRASHED:
            yield "host restarts", state._replace(first=RESTARTED)
            if not state.second:
                yield "retry adopts", state._replace(second="adopts", resume=True)
        if state.second == "adopts" and state.engine == "":
            yield "adopter finds memory free", state._replace(second="gone", resume=False)
        if state.second == "adopts" and not state.resume and state.engine == "first":
            yield "adopter resumes again", state._replace(resume=True)
        if state.second == "serves":
            yield "adopter crashes", state._replace(second="gone")

    def _coordinator(self, state: State) -> typing.Iterator[tuple[str, State]]:
        if state.pending and not state.cancel and self.mutation != "cancel_once":
            yield "cancel again", state._replace(cancel=True)
        if self.mutation == "no_reaping" or not state.engine or state.pending:
            return
        if self._is_orphan(state):
            cancelled = state._replace(pending=True, cancel=True)
            yield "reap", cancelled

    def _is_orphan(self, state: State) -> bool:
        if self.mutation == "reap_on_silence":
            return True
        if state.engine == "second":
            return state.second == "gone"
        if state.first == RESTARTED and self.mutation == "incarnation_reused":
            return False
        # Reaped if the owner crashed, restarted, or is alive and denied twice that it serves the
        # attempt, and no retry is about to adopt it.
        return state.first != SERVES and state.second != "adopts"

    def _engine(self, state: State) -> typing.Iterator[tuple[str, State]]:
        if state.cancel:
            yield "cancel lost", state._replace(cancel=False)
            yield "cancel arrives", self._cancelled(state)
        if state.resume:
            yield "resume lost", state._replace(resume=False)
            if state.engine == "first":
                yield "resume arrives", state._replace(
                    resume=False, engine="second", second="serves"
                )
            else:
                yield "resume refused", state._replace(resume=False, second="gone")

    def _cancelled(self, state: State) -> State:
        served = state.engine == "first" and state.first == SERVES
        return state._replace(cancel=False, pending=False, engine="", wrong=state.wrong or served)
