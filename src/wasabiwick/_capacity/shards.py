"""Measurements of work that may run only once: a shard's records, read and kept."""

import msgspec

from .._handlers.once_shard import STREAM_PREFIX
from .._reducer import reduce
from .._state import State
from .._wire import Intent, KeyAsk, Outcome, Owner
from . import fleet
from .fit import Line, cpu_seconds, kept_bytes
from .probe import probe

KEYS = (250, 500, 1_000, 2_000)
GROUP = 8  # Records that one append holds, and one page of the tail brings.
OWNER = Owner(host=fleet.host(1), incarnation="0123456789ab")


def _records(keys: int) -> list[str]:
    """Return an intent and an outcome for each key, as the log holds them."""
    texts = []
    for number in range(keys):
        key = f"customer-00007:0191d3a0-5b7c-7abc-8def-{number:012d}"
        attempt_id = f"{fleet.host(1)}.0123456789ab.{number}"
        intent = Intent(
            key=key,
            attempt_id=attempt_id,
            owner=OWNER,
            after=-1,
            service="signup-app",
            digest=f"{number:064x}",
            born=fleet.WALL,
        )
        outcome = Outcome(
            key=key, attempt_id=attempt_id, status=201, body='{"seat": 12, "group": "oak"}'
        )
        texts += [msgspec.json.encode(one).decode() for one in (intent, outcome)]
    return texts


def _shard() -> State:
    state = fleet.new_state(fleet.host(0))
    fleet.list_hosts(state, fleet.host_entries(1))
    ask = KeyAsk(shard=0, key="other", owner=OWNER)
    fleet.told(state, OWNER.host, ask, 0.2)
    return state


def _read(state: State, texts: list[str]) -> State:
    for start in range(0, len(texts), GROUP):
        page = texts[start : start + GROUP]
        reduce(state, fleet.log_read(f"{STREAM_PREFIX}0", page, start=start))
    return state


@probe("shard")
def shard() -> list[Line]:
    """Measure the coordinator of a shard against the keys that it has read."""
    sizes, seconds, kept = [], [], []
    for count in KEYS:
        texts = _records(count)
        sizes.append((count, sum(map(len, texts)) / 1e3))

        def prepare(texts: list[str] = texts) -> object:
            state = _shard()
            return lambda: _read(state, texts)

        seconds.append((count, cpu_seconds(prepare) * 1e6))
        state = _shard()
        kept.append((count, kept_bytes(lambda s=state, t=texts: _read(s, t)) / 1e3))
        found = len(state["once_shard"].shards[0].keys)
        if found != count:
            raise RuntimeError(f"shard folded {found} of {count} keys")
    unit = "keys"
    return [
        Line(name="records of a key", x_unit=unit, y_unit="kB", points=sizes),
        Line(name="records read, reducer", x_unit=unit, y_unit="us", points=seconds),
        Line(name="keys of a shard in memory", x_unit=unit, y_unit="kB", points=kept),
    ]
