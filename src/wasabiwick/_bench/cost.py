"""Measures a coordinator's time per reservation and its memory at several pool sizes."""

import time
import tracemalloc

import msgspec

from .. import _events, _handlers  # noqa: F401 - registers the handlers
from .._pieces import PREFIX_LENGTHS
from .._reducer import reduce
from .._settings import Platform, Settings
from .._state import State
from .._wire import CacheEvent, EngineReport, HostEntry, Owner, Release, Reserve

ZONE = "zone"
MODEL = "model"
OWNER = Owner(host="host", incarnation="1")
ROUTER = Owner(host="router", incarnation="1")
TIMED_DECISIONS = 400


class CostFigures(msgspec.Struct, frozen=True):
    """Cost of reservations at the coordinator of one pool.

    ``microseconds`` is the mean time of one reservation with its release, and ``state_bytes`` the
    memory of the coordinator's state. Before the timing, ``in_flight`` other reservations were
    requested, of which ``granted`` were granted and not released. Each engine's prefix cache has
    ``prefixes`` entries.
    """

    engines: int
    in_flight: int
    prefixes: int
    granted: int
    microseconds: float
    state_bytes: int


def measure(*, engines: int, in_flight: int, prefixes: int) -> CostFigures:
    """Time reservations at a coordinator whose pool has a given size.

    Args:
        engines: Number of engines of the pool.
        in_flight: Number of reservations that are requested before the timed ones and not released.
        prefixes: Number of entries in each engine's prefix cache.

    Returns:
        The figures, which depend on the machine.
    """
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    state = _coordinator_state(engines, in_flight, prefixes)
    size = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    granted = len(state["coordinator"].pools[(MODEL, ZONE)].reservations)
    _reserve_and_release(state, "warm", TIMED_DECISIONS // 4)
    start_time = time.perf_counter()
    _reserve_and_release(state, "timed", TIMED_DECISIONS)
    seconds = time.perf_counter() - start_time
    return CostFigures(
        engines=engines,
        in_flight=in_flight,
        prefixes=prefixes,
        granted=granted,
        microseconds=round(1e6 * seconds / TIMED_DECISIONS, 1),
        state_bytes=size,
    )


def _coordinator_state(engines: int, in_flight: int, prefixes: int) -> State:
    cfg = Settings(host="host", zone=ZONE, region="r", platform=Platform(log="", hosts=""))
    state = State(cfg)
    reduce(state, _events.Booted(at=0.0, owner=OWNER, zone=ZONE, wall=1e9, seed=1))
    entries = [HostEntry(name="host", kind="entry", zone=ZONE, address="http://host")]
    names = [f"engine-{number}" for number in range(engines)]
    entries += [
        HostEntry(name=name, kind="engine", zone=ZONE, address=f"http://{name}", service=MODEL)
        for name in names
    ]
    reduce(state, _events.HostsListed(at=0.0, entries=tuple(entries)))
    slots = 24 + in_flight // engines * 2
    for name in names:
        # Reports with the same output interval at small and large batches. From them the
        # coordinator infers that streams in all of the engine's slots meet the latency target.
        for used_slots in (1, 100) * 20 + (0,):
            report = _report(name, slots, used_slots)
            reduce(state, _events.EngineReported(at=4.3, report=report))
        stored_pieces = tuple(range(prefixes))
        change = CacheEvent(sequence=1, stored=stored_pieces)
        reduce(state, _events.CacheChanged(at=4.3, endpoint=name, changes=(change,)))
    for number in range(in_flight):
        _reserve(state, f"held-{number}", number)
    return state


def _report(name: str, slots: int, used_slots: int) -> EngineReport:
    """Return a report of an engine so fast that no reservation has to wait for it."""
    return EngineReport(
        engine=name,
        sequence=1,
        slots=slots,
        used=used_slots,
        prefill_rate=1e9,
        decode_interval=0.001,
        kv_bytes_per_token=1,
        link_rate=1e12,
    )


def _reserve(state: State, attempt_id: str, number: int) -> None:
    reserve_message = Reserve(
        request_id=attempt_id,
        attempt_id=attempt_id,
        owner=ROUTER,
        engine="",
        config_version=1,
        deadline=state.wall(60.0),
        customer=f"customer-{number % 50}",
        prompt_tokens=1_000,
        max_tokens=100,
        pieces=tuple(number + length for length in PREFIX_LENGTHS),
        model=MODEL,
        zone=ZONE,
        target=state.wall(7.0),
    )
    event = _events.PeerMessage(at=5.0, sender=ROUTER, zone=ZONE, message=reserve_message)
    reduce(state, event)


def _reserve_and_release(state: State, name: str, count: int) -> None:
    for number in range(count):
        attempt_id = f"{name}-{number}"
        _reserve(state, attempt_id, number)
        release_message = Release(
            request_id=attempt_id,
            attempt_id=attempt_id,
            owner=ROUTER,
            engine="",
            model=MODEL,
            zone=ZONE,
        )
        reduce(
            state, _events.PeerMessage(at=5.0, sender=ROUTER, zone=ZONE, message=release_message)
        )


def grid() -> list[tuple[int, int, int]]:
    """Return the sizes in docs/BENCH.md as arguments of `measure`: engines, in_flight, prefixes."""
    return [
        (10, 0, 0),
        (100, 0, 0),
        (1_000, 0, 0),
        (10, 100, 0),
        (10, 1_000, 0),
        (10, 10_000, 0),
        (10, 0, 1_000),
        (10, 0, 8_000),
    ]
