"""Read turns: decides which hosts read the platform's store for the others of their zone.

Load pattern handled: a large fleet that follows the same few topics. If every host read them,
calls would grow with the hosts, and most would return nothing new. So two hosts of a zone read,
found by rendezvous hashing over the hosts heard, and tell the others. Hosts need not agree: at
times one more reads, and where none does, each host reads once all was silent for a while.
"""

import typing

from .. import _rendezvous
from .._effects import LogLine, StartTimer
from .._effects_forwarding import SetReadTurn
from .._events import (
    ForwarderBooted,
    StepFailed,
    TimerFired,
)
from .._reducer import Step, handles, on_timer
from .._settings import Settings
from .._state import State, state_slice
from . import neighbours

REVIEW_INTERVAL_S = 0.5  # Time between two reviews of whose turn it is.
READERS = 2  # Hosts of a zone that read; the other goes on while one is lost.
# With fewer hosts in a zone all of them read, which costs little there.
MIN_ZONE_HOSTS = 4


@state_slice("read_turns")
class ReadTurnsState:
    """Whether this host reads, and the addresses of the hosts that it tells."""

    __slots__ = ("reads", "addresses")

    def __init__(self, cfg: Settings) -> None:
        self.reads = True
        self.addresses: tuple[str, ...] = ()


def has_turn(state: State) -> bool:
    """Return whether this host reads at its own pace; otherwise others of its zone tell it."""
    return state["read_turns"].reads


def is_reader(state: State, zone_hosts: typing.Sequence[str]) -> bool:
    """Return whether this host reads for its zone.

    Args:
        state: The host's state.
        zone_hosts: Names of the other hosts of its zone that are heard.
    """
    own = state.owner.host
    return own in _rendezvous.ranked(state.zone, [*zone_hosts, own])[:READERS]


@handles(ForwarderBooted)
def start_reviews(state: State, event: ForwarderBooted) -> typing.Iterator[Step]:
    """Start the reviews; until the first one this host reads."""
    yield StartTimer(timer="read_turns", delay=REVIEW_INTERVAL_S)


@on_timer("read_turns")
def review(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Take or leave a turn as hosts come and go."""
    yield StartTimer(timer="read_turns", delay=REVIEW_INTERVAL_S)
    turns_state = state["read_turns"]
    in_zone = neighbours.live_in_zone(state, event.at)
    zone_hosts = [name for name, one in in_zone.items() if not one.stopping]
    is_shared = len(zone_hosts) + 1 >= MIN_ZONE_HOSTS and not state.stopping
    reads = not is_shared or is_reader(state, zone_hosts)
    tells = is_shared and reads
    addresses = tuple(sorted(one.address for one in in_zone.values())) if tells else ()
    if (reads, addresses) == (turns_state.reads, turns_state.addresses):
        return
    if reads != turns_state.reads:
        yield LogLine(event="read_turn", fields={"reads": reads, "zone_hosts": len(zone_hosts)})
    turns_state.reads, turns_state.addresses = reads, addresses
    yield SetReadTurn(reads=reads, addresses=addresses)


@handles(StepFailed)
def set_turn_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Set this host's turn again, which may not have been set."""
    turns_state = state["read_turns"]
    if not turns_state.reads or turns_state.addresses:
        yield SetReadTurn(reads=turns_state.reads, addresses=turns_state.addresses)
