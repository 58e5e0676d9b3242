"""The bounded queue of a pool: by band, priority, and turn of the customer.

``urgent`` holds requests that can still meet their target, ``relaxed`` those with time to spare,
and ``late`` those that missed it. A later band is served when the earlier ones are empty, and at
a small fixed share otherwise, so that what may wait arrives.
"""

import collections
import itertools

from .._wire import Reserve

URGENT, RELAXED, LATE = range(3)
RELAXED_TURN = 12  # Every so many grants go to the relaxed band, if it has any.
LATE_TURN = 50
MAX_RELAXED = 2_000
URGENT_SLACK = 5.0  # Seconds to its target at which relaxed work becomes urgent.


class Waiting:
    """One queued request."""

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
    """Requests of one band: a queue for each customer, whose turns are counted by tokens."""

    __slots__ = ("_queues", "size")

    def __init__(self) -> None:
        self._queues: dict[tuple[int, str], collections.OrderedDict[str, Waiting]] = {}
        self.size = 0

    def add(self, one: Waiting) -> None:
        """Queue a request behind its customer's others of the same priority."""
        queue = self._queues.setdefault(_lane(one), collections.OrderedDict())
        queue[one.asked.attempt_id] = one
        self.size += 1

    def remove(self, one: Waiting) -> None:
        """Drop a request."""
        lane = _lane(one)
        del self._queues[lane][one.asked.attempt_id]
        if not self._queues[lane]:
            del self._queues[lane]
        self.size -= 1

    def first(self, served: dict[str, float]) -> Waiting | None:
        """Return the oldest request of the customer whose turn it is, or None."""
        if not self._queues:
            return None
        lane = min(self._queues, key=lambda key: (-key[0], served.get(key[1], 0.0), key[1]))
        return next(iter(self._queues[lane].values()))

    def heads(self, most: int) -> list[Waiting]:
        """Return the oldest requests of up to ``most`` customers."""
        lanes = itertools.islice(self._queues.values(), most)
        return [next(iter(lane.values())) for lane in lanes]

    def longest(self) -> Waiting:
        """Return the newest request of the lowest priority's longest queue."""
        lane = min(self._queues, key=lambda key: (key[0], -len(self._queues[key]), key[1]))
        return next(reversed(self._queues[lane].values()))

    def count(self, one: Waiting) -> int:
        """Return the length of the queue that a request is or would be in."""
        return len(self._queues.get(_lane(one), ()))


def _lane(one: Waiting) -> tuple[int, str]:
    return one.asked.priority, one.asked.customer


class WaitQueue:
    """All queued requests of one pool."""

    __slots__ = ("waiting", "bands", "_served", "_floor", "_grants")

    def __init__(self) -> None:
        self.waiting: dict[str, Waiting] = {}
        self.bands = (Band(), Band(), Band())
        self._served: dict[str, float] = {}
        self._floor = 0.0
        self._grants = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, one: Waiting) -> None:
        """Queue a request."""
        customer = one.asked.customer
        # A customer that comes back after a pause has no claim on the turns it did not use.
        self._served[customer] = max(self._served.get(customer, 0.0), self._floor)
        self.waiting[one.asked.attempt_id] = one
        self.bands[one.band].add(one)

    def remove(self, attempt_id: str) -> Waiting | None:
        """Drop a request, if it is queued."""
        one = self.waiting.pop(attempt_id, None)
        if one:
            self.bands[one.band].remove(one)
        return one

    def move(self, one: Waiting, band: int) -> None:
        """Move a request to another band."""
        self.bands[one.band].remove(one)
        one.band = band
        self.bands[band].add(one)

    def first(self) -> Waiting | None:
        """Return the request that gets the next slot, or None."""
        for band in self._order():
            one = self.bands[band].first(self._served)
            if one:
                return one
        return None

    def heads(self, band: int, most: int) -> list[Waiting]:
        """Return the oldest requests of some customers in a band."""
        return self.bands[band].heads(most)

    def is_late_turn(self) -> bool:
        """Tell whether the next grant is the late band's by its fixed share."""
        return self._grants % LATE_TURN == LATE_TURN - 1

    def _order(self) -> tuple[int, ...]:
        if self.is_late_turn():
            return LATE, URGENT, RELAXED
        if self._grants % RELAXED_TURN == RELAXED_TURN - 1:
            return RELAXED, URGENT, LATE
        return URGENT, RELAXED, LATE

    def granted(self, one: Waiting) -> None:
        """Drop a request that got its slot, and count its customer's turn."""
        self.remove(one.asked.attempt_id)
        self._grants += 1
        customer = one.asked.customer
        self._floor = max(self._floor, self._served.get(customer, 0.0))
        self._served[customer] = self._served.get(customer, 0.0) + max(1, one.asked.max_tokens)
        if len(self._served) > 4 * len(self.waiting) + 256:
            self._forget_idle()

    def _forget_idle(self) -> None:
        active = {one.asked.customer for one in self.waiting.values()}
        self._served = {
            name: turns
            for name, turns in self._served.items()
            if name in active or turns > self._floor
        }
