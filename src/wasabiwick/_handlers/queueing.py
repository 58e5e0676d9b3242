"""Bounded queue of a pool: ordered by band, by priority, and by fair turns of the customers.

``urgent`` holds requests that can still meet their target, ``relaxed`` those with time to spare,
and ``late`` those that missed it. A band is served when those before it are empty. While they are
not, the relaxed and the late band still get a small fixed share of the grants, so that they are
never starved.
"""

import collections
import itertools

from .._wire import Reserve

URGENT, RELAXED, LATE = range(3)
GRANTS_PER_RELAXED_TURN = 12  # One grant in this many goes to the relaxed band, unless it is empty.
GRANTS_PER_LATE_TURN = 50  # One grant in this many goes to the late band, unless it is empty.
MAX_RELAXED_REQUESTS = 2_000
URGENT_SLACK_S = 5.0  # Time left to its target at which a relaxed request becomes urgent.


class QueuedRequest:
    """A queued request; its times are monotonic, and its first output should come by ``due``."""

    __slots__ = ("asked", "since", "due", "deadline", "band")

    def __init__(
        self, *, asked: Reserve, since: float, due: float, deadline: float, band: int
    ) -> None:
        self.asked = asked
        self.since = since
        self.due = due
        self.deadline = deadline
        self.band = band


class Band:
    """Requests of one band, in a queue for each priority and customer."""

    __slots__ = ("_queues", "size")

    def __init__(self) -> None:
        self._queues: dict[tuple[int, str], collections.OrderedDict[str, QueuedRequest]] = {}
        self.size = 0

    def add(self, request: QueuedRequest) -> None:
        """Append a request to its customer's queue of the same priority."""
        queue = self._queues.setdefault(_queue_key(request), collections.OrderedDict())
        queue[request.asked.attempt_id] = request
        self.size += 1

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request."""
        key = _queue_key(request)
        del self._queues[key][request.asked.attempt_id]
        if not self._queues[key]:
            del self._queues[key]
        self.size -= 1

    def first(self, served_tokens: dict[str, float]) -> QueuedRequest | None:
        """Return the oldest request of the customer whose turn it is, or None."""
        if not self._queues:
            return None
        chosen_key = min(
            self._queues, key=lambda key: (-key[0], served_tokens.get(key[1], 0.0), key[1])
        )
        return next(iter(self._queues[chosen_key].values()))

    def heads(self, limit: int) -> list[QueuedRequest]:
        """Return the oldest requests of up to ``limit`` customers."""
        queues = itertools.islice(self._queues.values(), limit)
        return [next(iter(queue.values())) for queue in queues]

    def newest_of_longest_queue(self) -> QueuedRequest:
        """Return the newest request of the lowest priority's longest queue."""
        chosen_key = min(self._queues, key=lambda key: (key[0], -len(self._queues[key]), key[1]))
        return next(reversed(self._queues[chosen_key].values()))

    def count(self, request: QueuedRequest) -> int:
        """Return the length of the queue that a request is or would be in."""
        return len(self._queues.get(_queue_key(request), ()))


def _queue_key(request: QueuedRequest) -> tuple[int, str]:
    return request.asked.priority, request.asked.customer


class WaitQueue:
    """All queued requests of one pool.

    The next turn goes to the customer whose granted requests have the smallest sum of
    ``max_tokens``. ``_virtual_time`` is the largest such sum, in tokens, that any customer had when
    it was granted a slot.
    """

    __slots__ = ("waiting", "bands", "_served_tokens", "_virtual_time", "_grants")

    def __init__(self) -> None:
        self.waiting: dict[str, QueuedRequest] = {}
        self.bands = (Band(), Band(), Band())
        self._served_tokens: dict[str, float] = {}
        self._virtual_time = 0.0
        self._grants = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, request: QueuedRequest) -> None:
        """Queue a request."""
        customer = request.asked.customer
        # A customer that returns after a pause can't claim the turns that it did not use.
        self._served_tokens[customer] = max(
            self._served_tokens.get(customer, 0.0), self._virtual_time
        )
        self.waiting[request.asked.attempt_id] = request
        self.bands[request.band].add(request)

    def remove(self, attempt_id: str) -> QueuedRequest | None:
        """Remove a request, if it is queued, and return it."""
        request = self.waiting.pop(attempt_id, None)
        if request:
            self.bands[request.band].remove(request)
        return request

    def move(self, request: QueuedRequest, band: int) -> None:
        """Move a request to another band."""
        self.bands[request.band].remove(request)
        request.band = band
        self.bands[band].add(request)

    def first(self) -> QueuedRequest | None:
        """Return the request that gets the next slot, or None."""
        for band in self._band_order():
            request = self.bands[band].first(self._served_tokens)
            if request:
                return request
        return None

    def heads(self, band: int, limit: int) -> list[QueuedRequest]:
        """Return the oldest requests of up to ``limit`` customers in a band."""
        return self.bands[band].heads(limit)

    def is_late_turn(self) -> bool:
        """Return whether the next grant goes to the late band by its fixed share."""
        return self._grants % GRANTS_PER_LATE_TURN == GRANTS_PER_LATE_TURN - 1

    def _band_order(self) -> tuple[int, ...]:
        if self.is_late_turn():
            return LATE, URGENT, RELAXED
        if self._grants % GRANTS_PER_RELAXED_TURN == GRANTS_PER_RELAXED_TURN - 1:
            return RELAXED, URGENT, LATE
        return URGENT, RELAXED, LATE

    def mark_granted(self, request: QueuedRequest) -> None:
        """Remove a request that got a slot, and charge its tokens to its customer."""
        self.remove(request.asked.attempt_id)
        self._grants += 1
        customer = request.asked.customer
        self._virtual_time = max(self._virtual_time, self._served_tokens.get(customer, 0.0))
        self._served_tokens[customer] = self._served_tokens.get(customer, 0.0) + max(
            1, request.asked.max_tokens
        )
        if len(self._served_tokens) > 4 * len(self.waiting) + 256:
            self._drop_idle_customers()

    def _drop_idle_customers(self) -> None:
        active_customers = {request.asked.customer for request in self.waiting.values()}
        self._served_tokens = {
            name: tokens
            for name, tokens in self._served_tokens.items()
            if name in active_customers or tokens > self._virtual_time
        }
