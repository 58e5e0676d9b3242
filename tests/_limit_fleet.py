"""Several hosts on a virtual clock, before endpoints that name limits for all hosts together.

Hosts are cut off from each other, start again, and lose datagrams; limits change and end.
"""

import heapq
import itertools
import math
import random
import typing

from wasabiwick import _events
from wasabiwick._effects_forwarding import AnswerPermit, AskPermit, Forward, RefuseForward, TellLoad
from wasabiwick._forwarding import Endpoint

from ._forward import Host, plain

STEP = 0.01  # Seconds between two moments at which anything happens.
SECONDS = 24.0  # Length of a run.
CONTACT_TIME = 3.0  # The users' bound: from then on after it was first named, a limit has to hold.
WINDOW = 4.0  # The users' rule: seconds over which requests are counted.
TOLD_TIME = 0.5  # The users' rule: hosts count from this time after an answer named the limit.
DATAGRAM_TIME = 0.01  # Seconds that a datagram takes.
LOSS = 0.02  # Share of the datagrams that are lost.


class Arrival(typing.NamedTuple):
    """A request that reached an endpoint; ``is_bound`` says whether its host counts."""

    at: float
    host: str
    is_bound: bool


class LimitFleet:
    """Hosts and endpoints, and what the users' rule counts.

    Args:
        seed: Seed of all that is random.
        hosts: Number of hosts; a few at random if 0.
        is_calm: Whether no host is cut off or starts again, and no limit changes.
        demand: Requests a second of all callers; at random if 0.
        rate: Limit of each endpoint, in requests a second; at random if 0.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 0,
        *,
        is_calm: bool = False,
        demand: float = 0.0,
        rate: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.is_calm = is_calm
        self.rate = rate
        self.names = [f"h{number}" for number in range(hosts or self.rng.choice((2, 3, 6)))]
        self.endpoints: dict[str, Endpoint] = {f"s{n}": plain(f"s{n}") for n in range(3)}
        self.demand = demand or math.exp(self.rng.uniform(math.log(4.0), math.log(80.0)))
        self.limits: dict[str, float | None] = dict.fromkeys(self.endpoints)
        self.named_at: dict[str, float] = {}
        self.highest: dict[str, float] = {}
        self.arrivals: dict[str, list[Arrival]] = {name: [] for name in self.endpoints}
        self.told: dict[tuple[str, str], float] = {}
        self.excused_until = dict.fromkeys(self.names, 0.0)
        self.cuts: dict[frozenset[str], float] = {}
        self.hosts: dict[str, Host] = {}
        self.seen: dict[str, int] = {}
        self.incarnations = dict.fromkeys(self.names, 0)
        self.due: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.order = itertools.count()
        self.served = self.refused = self.sent = 0
        for name in self.names:
            self.start_host(name)
        limited = self.rng.sample(
            sorted(self.endpoints), 3 if is_calm else self.rng.choice((1, 2, 3))
        )
        for name in limited:
            self.later(self.rng.uniform(1.0, 3.0), lambda name=name: self.name_limit(name))

    def later(self, delay: float, act: typing.Callable[[], None]) -> None:
        """Do something after a delay."""
        heapq.heappush(self.due, (self.now + delay, next(self.order), act))

    def name_limit(self, name: str) -> None:
        """Let an endpoint name a limit from now on."""
        rate = self.rate or math.exp(self.rng.uniform(math.log(0.5), math.log(10.0)))
        self.limits[name] = rate
        self.named_at.setdefault(name, self.now)
        self.highest[name] = max(rate, self.highest.get(name, 0.0))
        if not self.is_calm and self.rng.random() < 0.3:
            self.later(self.rng.uniform(8.0, 12.0), lambda: self.end_limit(name))

    def end_limit(self, name: str) -> None:
        """Let an endpoint name no limit from now on."""
        self.limits[name] = None

    # --- Hosts -----------------------------------------------------------------------------------

    def start_host(self, name: str) -> None:
        """Start a host, or start it again without what it knew."""
        self.incarnations[name] += 1
        self.hosts[name] = Host(name=name, at=self.now, endpoints=tuple(self.endpoints.values()))
        self.seen[name] = 0
        self.told = {key: at for key, at in self.told.items() if key[0] != name}
        for other in self.names:
            if other != name and other in self.hosts:
                for here, there in ((name, other), (other, name)):
                    found = {"host": there, "address": f"{there}:1", "zone": "z"}
                    self.hosts[here].feed(_events.HostFound, **found)

    def datagram(self, sender: str, receiver: str, act: typing.Callable[[Host], None]) -> None:
        """Deliver a datagram, unless it is lost."""
        is_cut = self.cuts.get(frozenset((sender, receiver)), 0.0) > self.now
        if not is_cut and self.rng.random() >= LOSS:
            self.later(DATAGRAM_TIME, lambda: act(self.hosts[receiver]))

    def carry_out(self) -> None:
        """Carry out the hosts' new effects."""
        for name in self.names:
            host = self.hosts[name]
            while self.seen[name] < len(host.effects):
                effect = host.effects[self.seen[name]]
                self.seen[name] += 1
                self.carry_out_one(name, host, effect)

    def carry_out_one(self, name: str, host: Host, effect: object) -> None:
        """Carry out one effect, by an endpoint, another host or a caller."""
        if isinstance(effect, TellLoad):
            incarnation = str(self.incarnations[name])
            for other in self.names:
                if other != name:
                    self.datagram(
                        name, other, lambda there: there.hear(name, effect, incarnation=incarnation)
                    )
        elif isinstance(effect, AskPermit):
            fields = {"host": name, "address": f"{name}:1", "limit": effect.limit}
            fields |= {"call_id": effect.call_id, "number": effect.number}
            owner = effect.address.partition(":")[0]
            self.datagram(name, owner, lambda there: there.feed(_events.PermitAsked, **fields))
        elif isinstance(effect, AnswerPermit):
            fields = {"call_id": effect.call_id, "number": effect.number, "wait": effect.wait}
            asker = effect.address.partition(":")[0]
            self.datagram(name, asker, lambda there: there.feed(_events.PermitAnswered, **fields))
        elif isinstance(effect, Forward):
            self.arrive(name, host, effect)
        elif isinstance(effect, RefuseForward):
            self.refused += 1

    def arrive(self, name: str, host: Host, effect: Forward) -> None:
        """Let a request reach its endpoint, which answers a little later."""
        told_at = self.told.get((name, effect.endpoint), math.inf)
        is_bound = told_at + TOLD_TIME <= self.now and self.excused_until[name] <= self.now
        self.arrivals[effect.endpoint].append(Arrival(self.now, name, is_bound))
        sent_at = self.now
        self.later(self.rng.uniform(0.03, 0.12), lambda: self.answer(name, host, effect, sent_at))

    def answer(self, name: str, host: Host, effect: Forward, sent_at: float) -> None:
        """Answer a request, with the endpoint's limit if it has one."""
        if self.hosts[name] is not host or not host.is_open(effect.call_id):
            return
        key = (name, effect.endpoint)
        rate = self.limits[effect.endpoint]
        if rate is not None:
            self.told.setdefault(key, self.now)
            host.feed(_events.LimitNamed, endpoint=effect.endpoint, rate=rate)
        elif sent_at > self.told.pop(key, math.inf):
            host.feed(_events.LimitNamed, endpoint=effect.endpoint, rate=None)
        host.answer(effect.call_id)
        host.feed(_events.ForwardAnswered, call_id=effect.call_id)
        self.served += 1

    # --- Callers and troubles --------------------------------------------------------------------

    def trouble(self) -> None:
        """Cut a host off from some others or all from all, start one again, or change a limit."""
        kind = self.rng.choice(("pair", "mesh", "restart", "limit"))
        until = self.now + self.rng.uniform(1.0, 8.0)
        name = self.rng.choice(self.names)
        if kind == "restart":
            self.start_host(name)
            self.excused_until[name] = self.now + CONTACT_TIME
        elif kind == "limit":
            limited = [one for one, rate in self.limits.items() if rate is not None]
            if limited:
                self.name_limit(self.rng.choice(limited))
        else:
            pairs = [
                pair
                for pair in itertools.combinations(self.names, 2)
                if kind == "mesh" or (name in pair and self.rng.random() < 0.7)
            ]
            for pair in pairs:
                self.cuts[frozenset(pair)] = until

    def run(self) -> "LimitFleet":
        """Play the whole run."""
        end = self.now + SECONDS
        while self.now < end:
            self.now = round(self.now + STEP, 6)
            for host in self.hosts.values():
                host.run(self.now - host.now)
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            self.ask()
            if not self.is_calm and self.rng.random() < 0.25 * STEP:
                self.trouble()
            self.carry_out()
        return self

    def ask(self) -> None:
        """Let callers send requests, unevenly over the hosts."""
        expected = self.demand * STEP
        for _ in range(int(expected) + (self.rng.random() < expected % 1.0)):
            number = int(len(self.names) * self.rng.random() ** 1.5)
            self.hosts[self.names[number]].ask("safe")
            self.sent += 1

    # --- What the rule counts --------------------------------------------------------------------

    def excess(self) -> float:
        """Return by how many requests an endpoint got more than the rule allows, at most."""
        worst = -math.inf
        for name, first in self.named_at.items():
            times = [one.at for one in self.arrivals[name] if one.is_bound]
            allowed = 1.5 * self.highest[name] * WINDOW + 5
            for at in times:
                if at >= first + CONTACT_TIME:
                    count = sum(at <= one < at + WINDOW for one in times)
                    worst = max(worst, count - allowed)
        return worst

    def used_share(self) -> float:
        """Return the share of all limits together that was used, once all hosts knew of them."""
        since = max(self.named_at.values()) + CONTACT_TIME
        used = sum(one.at >= since for found in self.arrivals.values() for one in found)
        return used / (sum(self.highest.values()) * (self.now - since))

    def arrivals_in(self, first: float, last: float) -> int:
        """Count requests that reached any endpoint between two times."""
        return sum(first <= one.at < last for found in self.arrivals.values() for one in found)
