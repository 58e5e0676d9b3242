"""Probe of a log shard of run-once requests: cost of reading its records, memory of its keys."""

import msgspec

from .._handlers.once_shard import STREAM_PREFIX
from .._reducer import reduce
from .._state import State
from .._wire import Intent, KeyAsk, Outcome, Owner
from . import fleet
from .fit import Line, cpu_seconds, kept_bytes
from .probe import probe

KEY_COUNTS = (250, 500, 1_000, 2_000)
RECORDS_PER_PAGE = 8  # Records per append to the log, and per page read from it.
OWNER = Owner(host=fleet.host_name(1), incarnation="0123456789ab")


def _key_records(keys: int) -> list[str]:
    """Return the log records of some keys: an intent and an outcome for each key."""
    texts = []
    for number in range(keys):
        key = f"customer-00007:0191d3a0-5b7c-7abc-8def-{number:012d}"
        attempt_id = f"{fleet.host_name(1)}.0123456789ab.{number}"
        intent = Intent(
            key=key,
            attempt_id=attempt_id,
            owner=OWNER,
            after=-1,
            service="signup-app",
            digest=f"{number:064x}",
            born=fleet.START_UNIX_S,
        )
        outcome = Outcome(
            key=key, attempt_id=attempt_id, status=201, body='{"seat": 12, "group": "oak"}'
        )
        texts += [msgspec.json.encode(one).decode() for one in (intent, outcome)]
    return texts


def _shard_coordinator() -> State:
    state = fleet.booted_state(fleet.host_name(0))
    fleet.deliver_host_list(state, fleet.host_entries(1))
    key_ask = KeyAsk(shard=0, key="other", owner=OWNER)
    fleet.deliver_message(state, OWNER.host, key_ask, 0.2)
    return state


def _read_records(state: State, texts: list[str]) -> State:
    for start in range(0, len(texts), RECORDS_PER_PAGE):
        page = texts[start : start + RECORDS_PER_PAGE]
        reduce(state, fleet.log_read_event(f"{STREAM_PREFIX}0", page, start=start))
    return state


@probe("shard")
def shard() -> list[Line]:
    """Measure the cost of reading a shard's records at its coordinator, by number of keys."""
    sizes, seconds, memory_points = [], [], []
    for count in KEY_COUNTS:
        texts = _key_records(count)
        sizes.append((count, sum(map(len, texts)) / 1e3))

        def prepare(texts: list[str] = texts) -> object:
            state = _shard_coordinator()
            return lambda: _read_records(state, texts)

        seconds.append((count, cpu_seconds(prepare) * 1e6))
        state = _shard_coordinator()
        memory_points.append(
            (count, kept_bytes(lambda s=state, t=texts: _read_records(s, t)) / 1e3)
        )
        stored_keys = len(state["once_shard"].shards[0].keys)
        if stored_keys != count:
            raise RuntimeError(
                f"shard holds {stored_keys} of {count} keys after reading their records"
            )
    unit = "keys"
    return [
        Line(name="log records of run-once keys", x_unit=unit, y_unit="kB", points=sizes),
        Line(
            name="log records of run-once keys, reducer time",
            x_unit=unit,
            y_unit="us",
            points=seconds,
        ),
        Line(name="run-once keys in memory", x_unit=unit, y_unit="kB", points=memory_points),
    ]
