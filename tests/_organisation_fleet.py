"""Hosts on a virtual clock that let in the requests of organisations with limits.

Only the decision runs: no routes are matched and no endpoints chosen. Hosts tell each other once a
second what they counted; datagrams get lost, hosts are cut off, freeze and start again.
"""

import bisect
import heapq
import itertools
import random
import typing

from wasabiwick import _events, _settings, _state, _wire
from wasabiwick._forwarding import (
    UNSAFE,
    Ask,
    Organisation,
    OrganisationLimit,
    Route,
    RouteTable,
)
from wasabiwick._handlers import organisation_limits, organisations
from wasabiwick._handlers.forwarding import ForwardedCall

WINDOW = 8.0  # Seconds in which the users' rule counts.
OVERSHOOT = 0.1  # The users' rule: share of what a window allows that may be added.
SLACK = 190_000  # The users' rule: tokens that may be added besides.
APPLY_TIME = 3.0  # Seconds until all hosts in touch have a new version.
STEP = 0.02  # Seconds between two moments at which anything happens.
TELL_INTERVAL = 1.0  # Seconds between two datagrams of a host.
LOSS = 0.02  # Share of the datagrams that are lost.
ORGANISATION = "org"
LARGE = 3_300  # Tokens of a usual request.

ROUTE = Route(
    name="r",
    host="example",
    path_prefix="/",
    kind=UNSAFE,
    timeout=14.0,
    target_latency=1.0,
    max_attempts=1,
    services=(("s", 1.0),),
)


class Sent(typing.NamedTuple):
    """A request that a host decided about; ``wait`` is 0 if it was let in."""

    at: float
    cost: int
    host: int
    wait: float


class LimitHost:
    """One host's state, and what reaches it."""

    def __init__(self, fleet: "OrganisationFleet", number: int) -> None:
        self.fleet, self.number = fleet, number
        self.incarnation = 0
        self.frozen_until = 0.0
        self.inbox: list[typing.Callable[[], None]] = []
        self.start()

    def start(self) -> None:
        """Start the process, which knows the listed hosts and the newest limits."""
        self.incarnation += 1
        self.sequence = 0
        self.limit: OrganisationLimit | None = None
        forwarding = _settings.Forwarding(
            limit_window=WINDOW, limit_overshoot=OVERSHOOT, limit_slack=self.fleet.slack
        )
        cfg = _settings.Settings(
            host=f"h{self.number}",
            zone="z",
            region="r",
            platform=_settings.Platform(log="http://127.0.0.1:1", hosts="http://127.0.0.1:1"),
            forwarding=forwarding,
        )
        self.state = _state.State(cfg)
        self.owner = _wire.Owner(host=cfg.host, incarnation=str(self.incarnation))
        at, seed = self.fleet.now, self.fleet.rng.randrange(1 << 30)
        self.state.boot(at=at, owner=self.owner, zone="z", wall=at, seed=seed)
        fields = {"owner": self.owner, "zone": "z", "wall": at, "seed": seed}
        organisation_limits.start_clock(self.state, _events.ForwarderBooted(at=at, **fields))
        for number in range(self.fleet.size):
            found = _events.HostFound(at=at, host=f"h{number}", address="h:1", zone="z")
            organisation_limits.host_listed(self.state, found)
        self.read_limit()

    def read_limit(self) -> None:
        """Read the newest version of the limits."""
        self.limit = self.fleet.limit
        self.fleet.versions += 1
        one = Organisation(name=ORGANISATION, keys=("k",), limit=self.limit)
        table = RouteTable(
            version=self.fleet.versions, routes=(), services=(), organisations=(one,)
        )
        event = _events.RoutesRead(at=self.fleet.now, table=table)
        list(organisations.apply_organisations(self.state, event))
        organisation_limits.apply_limits(self.state, event)

    def tell(self) -> None:
        """Tell all other hosts what was counted here."""
        if self.frozen_until > self.fleet.now:
            return
        self.sequence += 1
        told = {
            "sender": self.owner,
            "sequence": self.sequence,
            "counted": organisation_limits.take_told(self.state, self.fleet.now),
        }
        for other in self.fleet.hosts:
            if other is not self:
                self.fleet.deliver(self, other, told)

    def hear(self, told: dict) -> None:
        """Get another host's datagram."""
        fields = {"zone": "z", "address": "h:1", "loads": {}, "stopping": False, "busy": {}}
        event = _events.LoadTold(at=self.fleet.now, **fields, **told)
        organisation_limits.sums_told(self.state, event)

    def ask(self, cost: int, key: str = "k") -> float:
        """Let a caller send a request; returns when it may come back, or 0 if it is let in."""
        fleet = self.fleet
        ask = Ask(
            call_id="c",
            trace_id="t",
            host="example",
            path="/",
            deadline=fleet.now + 14.0,
            prompt_tokens=cost,
            key=key,
        )
        req = ForwardedCall(ask=ask, route=ROUTE, service="s", arrived_at=fleet.now)
        req.organisation = organisations.of_key(self.state, key)
        wait = organisation_limits.wait_for(self.state, req, fleet.now)
        fleet.sent.append(Sent(fleet.now, cost, self.number, wait))
        if not wait and fleet.rng.random() < fleet.refused_later:
            organisation_limits.settle(self.state, req, fleet.now)
            fleet.sent[-1] = fleet.sent[-1]._replace(wait=1.0)
        return wait


class OrganisationFleet:
    """Hosts that share one organisation's limit.

    Args:
        size: Number of hosts.
        rate: Limit in tokens a second; the burst is as much.
        slack: Tokens that the users' rule adds.
        seed: Seed of all that is random.
        refused_later: Share of the requests that are refused after they were let in.
    """

    def __init__(
        self,
        size: int,
        *,
        rate: float = 173_245.0,
        slack: float = SLACK,
        seed: int = 1,
        refused_later: float = 0.0,
    ) -> None:
        self.size, self.slack, self.refused_later = size, slack, refused_later
        self.rng = random.Random(seed)
        self.now = 100.0
        self.versions = 0
        self.limit = OrganisationLimit(rate=rate, burst=rate, counts_tokens=True, plain_tokens=200)
        self.lowered: list[tuple[float, float]] = [(0.0, rate)]
        self.sent: list[Sent] = []
        self.side = [0] * size
        self.due: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.order = itertools.count()
        self.hosts: list[LimitHost] = []
        self.hosts.extend(LimitHost(self, number) for number in range(size))
        self.next_tell = [self.now + self.rng.random() * TELL_INTERVAL for _ in range(size)]
        self.run(4.0)

    def later(self, delay: float, act: typing.Callable[[], None]) -> None:
        """Do something after a delay."""
        heapq.heappush(self.due, (self.now + delay, next(self.order), act))

    def deliver(self, sender: LimitHost, receiver: LimitHost, told: dict) -> None:
        """Deliver a datagram, unless it is lost or its way is cut."""
        if self.side[sender.number] != self.side[receiver.number] or self.rng.random() < LOSS:
            return
        self.later(self.rng.uniform(0.002, 0.02), lambda: self.reach(receiver, told))

    def reach(self, host: LimitHost, told: dict) -> None:
        """Let a host get a datagram; one that is frozen gets it when it wakes."""
        if host.frozen_until > self.now:
            host.inbox.append(lambda: host.hear(told))
        else:
            host.hear(told)

    def request(self, number: int, cost: int) -> None:
        """Let a caller send a request to a host."""
        host = self.hosts[number]
        if host.frozen_until > self.now:
            host.inbox.append(lambda: host.ask(cost))
        else:
            host.ask(cost)

    def freeze(self, number: int, seconds: float) -> None:
        """Let a host do nothing for some seconds; then it does what has come meanwhile."""
        host = self.hosts[number]
        host.frozen_until = self.now + seconds

        def wake() -> None:
            inbox, host.inbox = host.inbox, []
            self.rng.shuffle(inbox)
            for act in inbox:
                act()

        self.later(seconds + STEP / 2, wake)

    def set_limit(self, rate: float) -> None:
        """Change the limit; hosts read it one after the other."""
        self.limit = OrganisationLimit(rate=rate, burst=rate, counts_tokens=True, plain_tokens=200)
        self.lowered.append((self.now, rate))
        for host in self.hosts:
            self.later(self.rng.uniform(0.0, APPLY_TIME), host.read_limit)

    def run(
        self,
        seconds: float,
        *,
        demand: float = 0.0,
        cost: typing.Callable[[random.Random], int] = lambda rng: LARGE,
        pick: typing.Callable[[random.Random], int] | None = None,
    ) -> "OrganisationFleet":
        """Let time pass.

        Args:
            seconds: How long.
            demand: Tokens a second that callers ask for.
            cost: Draws the tokens of a request.
            pick: Draws the number of the host that a request goes to; evenly if None.
        """
        end = self.now + seconds
        credit = 0.0
        while self.now < end - STEP / 2:
            self.now = round(self.now + STEP, 6)
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            for number, at in enumerate(self.next_tell):
                if at <= self.now:
                    self.next_tell[number] = self.now + TELL_INTERVAL
                    self.hosts[number].tell()
            credit += demand * STEP * self.rng.expovariate(1.0)
            while credit > 0.0:
                tokens = cost(self.rng)
                credit -= tokens
                number = pick(self.rng) if pick else self.rng.randrange(self.size)
                self.request(number, tokens)
        return self

    # --- What the users' rule counts -------------------------------------------------------------

    def allowed(self, rate: float) -> float:
        """Return the tokens that a window may have."""
        return (rate * WINDOW + rate) * (1 + OVERSHOOT) + self.slack

    def worst_window(self) -> float:
        """Return the fullest window, as a share of what the rule allows in it."""
        let_in = [one for one in self.sent if not one.wait]
        times = [one.at for one in let_in]
        sums = [0, *itertools.accumulate(one.cost for one in let_in)]
        worst = 0.0
        for first, at in enumerate(times):
            last = bisect.bisect_left(times, at + WINDOW)
            rates = [rate for since, rate in self.lowered if since + APPLY_TIME + WINDOW <= at]
            later = [rate for since, rate in self.lowered if since <= at + WINDOW]
            rate = max(rates[-1:] + later[len(rates) :])
            worst = max(worst, (sums[last] - sums[first]) / self.allowed(rate))
        return worst

    def let_in(self, since: float = 0.0, until: float = float("inf"), cost: int = 0) -> int:
        """Return the tokens let in between two times; only those of requests of a size if given."""
        return sum(
            one.cost
            for one in self.sent
            if not one.wait and since <= one.at < until and cost in (0, one.cost)
        )

    def asked(self, since: float = 0.0, until: float = float("inf")) -> int:
        """Return the tokens asked for between two times."""
        return sum(one.cost for one in self.sent if since <= one.at < until)

    def refused_below(self) -> float:
        """Return the share of the tokens asked for that were refused though the limit had them."""
        rate = self.lowered[0][1]
        level, then, needless = rate, 0.0, 0
        for one in self.sent:
            level = min(rate, level + rate * (one.at - then))
            then = one.at
            if not one.wait:
                level -= one.cost
            elif level >= one.cost:
                needless += one.cost
        return needless / max(1, self.asked())
