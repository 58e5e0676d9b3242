"""Scripts of the traces in ``tests/traces``: what happens, and the outcome stated for each call.

``make traces`` records the traces again. The stated outcomes are written by hand and checked while
recording, so that recording again can't hide a change of outcome.
"""

import pathlib
import sys
import typing

from tests._world import SERVICE, World
from wasabiwick._replay import replay
from wasabiwick._trace import Stated

TRACES_DIR = pathlib.Path(__file__).parent / "traces"
Script = typing.Callable[[World], list[Stated]]

SCRIPTS: dict[str, Script] = {}


def script(function: Script) -> Script:
    """Register a script under its function's name; its trace holds the events of host ``a``."""
    SCRIPTS[function.__name__.strip("_")] = function
    return function


def record(name: str, path: pathlib.Path) -> list[Stated]:
    """Run a script, record the events of host ``a`` and state the outcomes.

    Args:
        name: Name of the script.
        path: File to record to.

    Returns:
        The stated outcomes.
    """
    world = World(("a", "b"), {"a": path})
    stated = SCRIPTS[name](world)
    writer = world.hosts["a"].trace
    for outcome in stated:
        writer.record_outcome(outcome)
    writer.close()
    return stated


@script
def _answered(world: World) -> list[Stated]:
    host = world.hosts["a"]
    host.call("c1", "r1", has_key=False)
    host.call("c2", "r2", has_key=False, kind="service", target=SERVICE, method="GET", path="/x")
    world.run(2.0)
    return [
        Stated(call_id="c1", result="answered", resumed=0),
        Stated(call_id="c2", result="answered", dispatched=1),
    ]


@script
def _refused(world: World) -> list[Stated]:
    host = world.hosts["a"]
    host.call("c1", "r1", has_key=False, key_hash="00" * 32)
    host.call("c2", "r2", has_key=False, target="other")
    host.call("c3", "r3", has_key=False, kind="service", target=SERVICE, path="/signup")
    world.run(1.0)
    return [
        Stated(call_id="c1", result="refused", reason="bad_key", verdict="NOT_RUN"),
        Stated(call_id="c2", result="refused", reason="unknown_model", verdict="NOT_RUN"),
        Stated(
            call_id="c3",
            result="refused",
            reason="key_required",
            verdict="NOT_RUN",
            dispatched=0,
        ),
    ]


@script
def _cancelled(world: World) -> list[Stated]:
    host = world.hosts["a"]
    host.call("c1", "r1", has_key=False)
    world.run(0.25)
    host.disconnect("c1")
    world.run(2.0)
    if world.attempts:
        raise AssertionError("an engine still holds the cancelled request")
    return [Stated(call_id="c1", result="cancelled")]


@script
def _resumed(world: World) -> list[Stated]:
    """The stream from the engine is cut, and the host resumes it."""
    host = world.hosts["a"]
    host.call("c1", "r1", has_key=False)
    world.run(0.25)
    world.cut("r1")
    world.run(2.0)
    return [Stated(call_id="c1", result="answered", resumed=1)]


@script
def _superseded(world: World) -> list[Stated]:
    """The caller retries with the same key while its first call is still being answered."""
    host = world.hosts["a"]
    host.call("c1", "r1", has_key=True)
    world.run(0.2)
    host.call("c2", "r1", has_key=True)
    world.run(2.0)
    return [
        Stated(call_id="c1", result="superseded"),
        Stated(call_id="c2", result="answered"),
    ]


@script
def _adopted(world: World) -> list[Stated]:
    """The caller retries at host ``a`` while host ``b`` still runs its request."""
    world.hosts["b"].call("c1", "r1", has_key=True)
    world.run(0.25)
    world.hosts["a"].call("c2", "r1", has_key=True)
    world.run(2.0)
    return [Stated(call_id="c2", result="answered", resumed=1)]


@script
def _once_answered(world: World) -> list[Stated]:
    """A retry after the answer gets the recorded answer, and the service runs nothing again."""
    host = world.hosts["a"]
    call_fields = {"has_key": True, "kind": "service", "target": SERVICE, "path": "/signup"}
    host.call("c1", "r1", **call_fields)
    world.run(2.0)
    host.call("c2", "r1", **call_fields)
    world.run(2.0)
    if world.service_runs["r1"] != 1:
        raise AssertionError(f"the service ran the call {world.service_runs['r1']} times")
    return [
        Stated(call_id="c1", result="answered", dispatched=1),
        Stated(call_id="c2", result="answered", dispatched=1),
    ]


@script
def _once_unknown(world: World) -> list[Stated]:
    """The service does not answer a call, so that a retry can't learn the outcome either."""
    host = world.hosts["a"]
    call_fields = {"has_key": True, "kind": "service", "target": SERVICE, "path": "/signup"}
    world.service_silent = True
    host.call("c1", "r1", **call_fields)
    world.run(2.0)
    world.service_silent = False
    host.call("c2", "r1", **call_fields)
    world.run(2.0)
    unknown = {"result": "refused", "reason": "outcome_unknown", "verdict": "MAY_HAVE_RUN"}
    return [
        Stated(call_id="c1", dispatched=1, **unknown),
        Stated(call_id="c2", dispatched=1, **unknown),
    ]


@script
def _once_log_down(world: World) -> list[Stated]:
    """The log is down until the call's deadline has passed."""
    host = world.hosts["a"]
    world.log_down = True
    call_fields = {"has_key": True, "kind": "service", "target": SERVICE, "path": "/signup"}
    host.call("c1", "r1", timeout=1.0, **call_fields)
    world.run(2.0)
    # While the log can't be read, it may hold the record of an earlier attempt with this key.
    refused = {"result": "refused", "reason": "deadline_passed", "verdict": "MAY_HAVE_RUN"}
    return [Stated(call_id="c1", dispatched=0, **refused)]


def main() -> None:
    """Record all traces again, and replay each."""
    TRACES_DIR.mkdir(exist_ok=True)
    for name in SCRIPTS:
        path = TRACES_DIR / f"{name}.jsonl"
        record(name, path)
        result = replay(path)
        print(f"{path.name}: {result.events} events, {result.confirmed} outcomes")
        if result.difference:
            sys.exit(f"{path.name}: {result.difference}")


if __name__ == "__main__":
    main()
