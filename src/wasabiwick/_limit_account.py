"""What one host knows of how much an organisation may still send to all hosts together.

The account is a bucket of tokens, or of requests, from which the use of all hosts is taken: this
host's own at once, that of others when they tell it. While there is plenty, any host takes what its
callers ask for. Near the limit each host keeps to a purse of its own, into which its share of the
rate flows. All purses together get no more than the limit, and less while the bucket is overdrawn.

Load pattern handled: callers of one organisation send several times what its limit allows, to all
hosts at once, each of which sees a few of these requests and hears of the others' a second later.
"""

import math
import random

from ._forwarding import OrganisationLimit
from ._settings import Forwarding

# The bucket is near its end under the first share of what it can hold, until it is over the second.
NEAR_SHARE = 0.25
PLENTY_SHARE = 0.6
CALM_TIME_S = 2.0  # Seconds without a refusal after which there may be plenty again.
SPARE_SHARE = 0.1  # Share of the tolerated excess that the bucket holds beyond the burst.
DEBT_SHARE = 0.5  # Share of the tolerated excess by which the bucket may be overdrawn.
# Share of the tolerated excess that is let in in every window: what is refused below it is lost to
# callers, and the rest of it covers what hosts don't know of each other.
STANDING_SHARE = 0.33
CORRECTION_TIME_S = 2.0  # Seconds within which hosts make up for a debt, or use what is left over.
USE_TIME_S = 6.0  # Seconds over which use is averaged.
# Part of the rate that is shared evenly among hosts; the rest follows their use.
EVEN_SHARE = 0.3
# Share of the tolerated excess by which the bucket is overdrawn near the limit, as hosts that kept
# to its very end would refuse requests while there are tokens that other hosts have not used.
AIM_SHARE = 0.05
# Share of the tolerated excess that hosts may let in before they hear of each other.
BLIND_SHARE = 0.65
# Mean age of news, in seconds, over which hosts may just have been cut off from each other. Among
# few hosts a lost datagram raises the mean by as much as the second, over the root of their number.
LATE_NEWS_S = 0.8
LATE_NEWS_SPREAD_S = 1.0
NEWS_TIME_S = 1.0  # Seconds until the other hosts hear of a use, if no datagram gets lost.
RECENT_TIME_S = 3.0  # Seconds over which a host's own use is averaged for its growth.
GROWTH = 2.0  # Multiple of its recent use that a host may add before others hear of it.
MAX_WAIT_SPREAD = 0.5  # Largest random addition to a wait, as a share of it.


class Fleet:
    """The hosts among which limits are shared, at one moment.

    Args:
        hosts: Hosts that may be running, including this one.
        heard: Hosts that are heard, including this one.
        age: Mean age of the news of the other hosts that are heard, in seconds.
        clock: Seconds of the rate that belong to the hosts that are heard, since this one started.
            While all are heard it runs like time; it stands still for the share of silent hosts.
    """

    __slots__ = ("hosts", "heard", "age", "clock")

    def __init__(self, *, hosts: int, heard: int, age: float, clock: float) -> None:
        self.hosts = hosts
        self.heard = heard
        self.age = age
        self.clock = clock

    @property
    def part(self) -> float:
        """Share of each limit that belongs to the hosts that are heard."""
        return self.heard / self.hosts

    @property
    def may_be_cut(self) -> bool:
        """Whether the news are so old that others may not be heard any more."""
        others = max(1, self.heard - 1)
        return self.age >= LATE_NEWS_S + LATE_NEWS_SPREAD_S / math.sqrt(others)


class Account:
    """The limit of one organisation, as this host knows it.

    Args:
        limit: The limit in force.
        cfg: Settings with the window in which use is counted, and the excess tolerated in it.
        at: Monotonic time.

    Attributes:
        level: Tokens left in the bucket, as far as is known; negative if it is overdrawn.
        own: What this host has counted since its process started.
        untold: What it has counted since it last told the others.
        is_near: Whether the bucket is near its end, so that the purse decides.
        purse: Tokens that this host may still use near the limit; negative after a request that
            was larger than what was left.
        booked_until: Monotonic time until which refused callers were told to stay away.
    """

    __slots__ = (
        "limit",
        "cfg",
        "level",
        "own",
        "untold",
        "is_near",
        "purse",
        "booked_until",
        "refused_at",
        "_refilled",
        "_part",
        "_own_use",
        "_recent",
        "_other_use",
        "_used_at",
        "_purse_at",
    )

    def __init__(self, limit: OrganisationLimit, *, cfg: Forwarding, at: float) -> None:
        self.limit = limit
        self.cfg = cfg
        self.level = 0.0
        self.own = 0
        self.untold = 0
        self.is_near = False
        self.purse = 0.0
        self.booked_until = at
        self.refused_at = float("-inf")
        self._refilled = 0.0
        self._part = 1.0
        self._own_use = 0.0
        self._recent = 0.0
        self._other_use = 0.0
        self._used_at = at
        self._purse_at = at

    @property
    def margin(self) -> float:
        """Tokens by which a window's use may exceed the limit at most."""
        allowed = self.limit.rate * self.cfg.limit_window + self.limit.burst
        return self.cfg.limit_overshoot * allowed + self.cfg.limit_slack

    @property
    def rate(self) -> float:
        """Tokens a second that are let in, with what is tolerated in every window."""
        return self.limit.rate + STANDING_SHARE * self.margin / self.cfg.limit_window

    def capacity(self, fleet: Fleet) -> float:
        """Return the tokens that the bucket can hold for the hosts that are heard."""
        return (self.limit.burst + SPARE_SHARE * self.margin) * fleet.part

    def refill(self, fleet: Fleet, at: float) -> None:
        """Bring the account up to a moment."""
        level = self.level + self.rate * (fleet.clock - self._refilled)
        self._refilled = fleet.clock
        if fleet.part < self._part:
            # Hosts that have fallen silent keep their share of what was left.
            level = min(level, level * fleet.part / self._part)
        self._part = fleet.part
        # What was used more than a window ago binds nobody any more.
        self.level = max(-self.rate * self.cfg.limit_window, min(self.capacity(fleet), level))
        passed = max(0.0, at - self._used_at)
        fade = math.exp(-passed / USE_TIME_S)
        self._recent *= math.exp(-passed / RECENT_TIME_S)
        self._own_use *= fade
        self._other_use *= fade
        self._used_at = at

    def left(self, fleet: Fleet) -> float:
        """Return the tokens left, less what others have probably used since they were heard.

        If the news are late, others may have used all.
        """
        left = self.level - fleet.age * self._other_use / USE_TIME_S
        return min(0.0, left) if fleet.may_be_cut else left

    def share(self, fleet: Fleet) -> float:
        """Return this host's share of what the hosts that are heard may use."""
        even = EVEN_SHARE * self.rate * USE_TIME_S
        total = self._own_use + self._other_use + even
        return (self._own_use + even / fleet.heard) / total

    def count(self, cost: int) -> None:
        """Count what this host lets in, or gives back if negative."""
        self.level -= cost
        self.purse -= cost
        self.own += cost
        self.untold += cost
        self._own_use = max(0.0, self._own_use + cost)
        self._recent = max(0.0, self._recent + cost)

    def note_told(self) -> int:
        """Return the sum that the others are told now."""
        self.untold = 0
        return self.own

    def count_others(self, cost: int) -> None:
        """Count what another host let in, or gave back if negative."""
        self.level -= cost
        self._other_use = max(0.0, self._other_use + cost)

    def wait_for(self, cost: int, fleet: Fleet, rng: random.Random, at: float) -> float:
        """Return the seconds until a request may be let in; 0 if it may be now.

        A request may be larger than what is left, which is overdrawn then; otherwise small requests
        would always use up what a large one needs.

        Args:
            cost: Tokens of the request.
            fleet: The hosts among which the limit is shared.
            rng: Random numbers.
            at: Monotonic time.
        """
        self.refill(fleet, at)
        left = self.left(fleet)
        self._note_mode(left, cost, fleet, rng, at)
        if not self.is_near:
            most = max(cost, (left + BLIND_SHARE * self.margin) / fleet.hosts)
            most += GROWTH * max(0.0, self._recent - self.untold)
            if self.untold < most or fleet.hosts == 1:
                return 0.0
            return self._refuse(NEWS_TIME_S, 0.0, rng, at)
        pace = self._fill_purse(left, fleet, at)
        debt = -left - DEBT_SHARE * min(self.margin, self.rate * self.cfg.limit_window)
        if self.purse > 0.0 and debt <= 0.0:
            return 0.0
        wait = max(-self.purse / pace, debt / (self.rate * fleet.part))
        return self._refuse(wait, cost / pace, rng, at)

    def _refuse(self, wait: float, turn: float, rng: random.Random, at: float) -> float:
        """Return after how many seconds a caller may come back; the next one gets a later turn."""
        self.refused_at = at
        since = max(at + wait, self.booked_until)
        self.booked_until = min(since + turn, at + self.cfg.limit_window)
        wait = min(since - at, self.cfg.limit_window)
        return max(wait, 0.01) * (1.0 + MAX_WAIT_SPREAD * rng.random())

    def _note_mode(
        self, left: float, cost: int, fleet: Fleet, rng: random.Random, at: float
    ) -> None:
        capacity = self.capacity(fleet)
        if self.is_near:
            is_calm = at - self.refused_at >= CALM_TIME_S and not fleet.may_be_cut
            self.is_near = left < PLENTY_SHARE * capacity or not is_calm
        elif left <= NEAR_SHARE * capacity:
            self.is_near = True
            # Hosts notice it together, and shall not all let in their next request at once.
            share = self.share(fleet)
            self.purse = share * max(0.0, left) - (1.0 - share) * cost * rng.random()
            self._purse_at = at

    def _fill_purse(self, left: float, fleet: Fleet, at: float) -> float:
        """Fill the purse up to now; returns the tokens that flow into it in a second."""
        share, rate = self.share(fleet), self.rate * fleet.part
        surplus = left + AIM_SHARE * self.margin * fleet.part
        flow = max(0.0, rate + surplus / CORRECTION_TIME_S)
        filled = self.purse + share * flow * max(0.0, at - self._purse_at)
        self.purse = min(filled, share * self.capacity(fleet))
        self._purse_at = at
        return share * max(flow, rate / 2)
