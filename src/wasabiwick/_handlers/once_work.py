"""State of at-most-once calls on the host that serves the caller."""

from .._errors import Failure
from .._lists import ServiceTraits
from .._settings import Settings
from .._state import State, state_slice
from .._wire import Intent, KeyState, Outcome, Void
from . import lists, requests
from .host import busy_check
from .once_resolution import UNRESOLVED, Resolution


class Work:
    """An idempotency key that this host is processing, with the one attempt it makes.

    Args:
        key: The key in the log: customer and request id.
        shard: Number of the key's shard.
        attempt_id: The only attempt that this work makes.
        req: The request that waits for the answer.
        base: Position in the shard's log that this host knew when the call arrived.
        epoch: Offset of the key's last effective void that the attempt's intent names, or -1.
        digest: Digest of service, method, path and body.

    ``sends`` counts sends of the call, ``unanswered`` counts questions to the coordinator without
    an answer. ``position`` and ``found`` are the shard's position and the key's state as last
    reported. ``fence`` is the offset of the attempt's intent once it won.

    ``phase`` is ``asking`` until the log shows the attempt as the winner, then ``running`` or
    ``querying`` while the service handles it, then ``recording``; or ``voiding`` once given up.
    """

    __slots__ = (
        "key",
        "shard",
        "attempt_id",
        "req",
        "call",
        "base",
        "epoch",
        "digest",
        "phase",
        "record",
        "resolution",
        "found",
        "sends",
        "avoid",
        "unanswered",
        "failure",
        "may_have_run",
        "position",
        "fence",
    )

    def __init__(
        self,
        *,
        key: str,
        shard: int,
        attempt_id: str,
        req: "requests.Request",
        base: int,
        epoch: int,
        digest: str,
    ) -> None:
        self.key = key
        self.shard = shard
        self.attempt_id = attempt_id
        self.req: requests.Request | None = req
        self.call = req.call
        self.base = base
        self.epoch = epoch
        self.digest = digest
        self.phase = "asking"
        self.record: Intent | Void | Outcome | None = None
        self.resolution: Resolution = UNRESOLVED
        self.found: KeyState | None = None
        self.sends = 0
        self.avoid: tuple[str, ...] = ()
        self.unanswered = 0
        self.failure: Failure | None = None
        self.may_have_run = False
        self.position = 0
        self.fence = -1

    @property
    def waiting(self) -> bool:
        """Return whether a caller waits for an answer."""
        return self.req is not None and self.req.caller_present

    @property
    def deadline(self) -> float:
        """Return the monotonic time until which the newest caller waits."""
        return self.req.call.deadline if self.req else self.call.deadline


@state_slice("once")
class OnceState:
    """Work by key, keys by attempt id, and what this host knows of the log.

    ``known_positions`` holds, by shard, the highest position that was reported;
    ``base_positions`` holds, by request id, the position known when the request arrived;
    ``admitted`` holds, by request id, the id of the call that was admitted last.
    """

    __slots__ = ("works", "keys", "known_positions", "base_positions", "admitted")

    def __init__(self, cfg: Settings) -> None:
        self.works: dict[str, Work] = {}
        self.keys: dict[str, str] = {}
        self.known_positions: dict[int, int] = {}
        self.base_positions: dict[str, int] = {}
        self.admitted: dict[str, str] = {}


def work_of_attempt(state: State, attempt_id: str) -> Work | None:
    """Return the work that an attempt belongs to, or None."""
    once_state = state["once"]
    work = once_state.works.get(once_state.keys.get(attempt_id, ""))
    return work if work and work.attempt_id == attempt_id else None


@busy_check
def unsettled_key_count(state: State) -> int:
    """Count the keys that this host is still working on."""
    return len(state["once"].works)


def traits_of(state: State, work: Work) -> ServiceTraits | None:
    """Return what operators declare about the service that the work calls, or None."""
    known = lists.current(state)
    return known.services.get(work.call.target) if known else None
