"""Hosts on a virtual clock that place streams at uneven engines, by news of each other's load."""

import heapq
import itertools
import random

from wasabiwick import _events
from wasabiwick._effects_forwarding import TellLoad
from wasabiwick._forwarding import EngineSign, StreamLoad
from wasabiwick._handlers import engine_signs, places, placing

from ._forward import DECODE, MODEL, Host, engine, table

MEMORY = 25_906  # KV cache of an engine, in tokens.
SLOTS = 12  # Most streams that an engine runs at once.
TOKEN_RATE = 208.0  # Tokens per second of a stream at an engine of slowness 1.
SLOWNESS = (0.55, 1.2, 1.2, 1.2)  # Engines in turn have these.
FIRST_TOKEN_TIME = 0.35  # Seconds from a stream's placement to its first token.
TOKENS_OUT = 700  # Mean output of a stream.
LOSS = 0.02  # Share of the datagrams that are lost.


class EvenFleet:
    """Hosts and engines, and what was placed where.

    Args:
        seed: Seed of all that is random.
        hosts: Number of hosts.
        engines: Number of decode engines.
        says: Whether engines say how slow they are.
        news_time: Longest time until a host hears of another's placement, in seconds.
        lies: By number of the engine, the slowness that it says instead of its own; None for an
            engine that says nothing.
        cut: Number of hosts that hear no other one and are heard by none.
    """

    def __init__(
        self,
        seed: int,
        *,
        hosts: int = 62,
        engines: int = 20,
        says: bool = True,
        news_time: float = 0.3,
        lies: dict[int, float | None] | None = None,
        cut: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.says, self.news_time, self.lies, self.cut = says, news_time, lies or {}, cut
        self.names = [f"d{number}" for number in range(engines)]
        listed = [engine(name, DECODE, zone=f"z{n // 4 % 3}") for n, name in enumerate(self.names)]
        self.slowness = {name: SLOWNESS[n % 4] for n, name in enumerate(self.names)}
        self.said = {
            name: self.lies.get(n, self.slowness[name]) for n, name in enumerate(self.names)
        }
        self.hosts = [Host(name=f"h{n}", endpoints=tuple(listed)) for n in range(hosts)]
        for number, host in enumerate(self.hosts):
            host.state.zone = f"z{number % 3}"
            host.state.rng.seed(seed * 1000 + number)
            host.feed(_events.RoutesRead, table=table(2, memory=MEMORY, slots=SLOTS))
            for other in self.hosts:
                if other is not host:
                    found = {"host": other.state.owner.host, "address": "x:1", "zone": "z0"}
                    host.feed(_events.HostFound, **found)
        self.running: dict[str, dict[str, StreamLoad]] = {name: {} for name in self.names}
        self.busy = dict.fromkeys(self.names, 0.0)
        self.placed = dict.fromkeys(self.names, 0)
        self.asked = self.refused = 0
        self.sequence = itertools.count(1)
        self.due: list[tuple[float, int, object]] = []

    def later(self, delay: float, act: object) -> None:
        """Do something after a delay."""
        heapq.heappush(self.due, (self.now + delay, next(self.sequence), act))

    def run_until(self, at: float) -> None:
        """Let time pass."""
        while self.due and self.due[0][0] <= at:
            self.now, _, act = heapq.heappop(self.due)
            act()
        self.now = at
        for host in self.hosts:
            host.now = at

    def tell(self, number: int) -> None:
        """Let a host tell the others its load; all hear it at one time or not at all."""
        host = self.hosts[number]
        host.now = self.now
        told = TellLoad(
            addresses=(),
            sequence=next(self.sequence),
            loads=places.loads(host.state),
            stopping=False,
            busy={},
            signs=engine_signs.take_told(host.state, self.now),
        )
        for other in self.hosts[self.cut :] if number >= self.cut else ():
            if other is not host and self.rng.random() >= LOSS:
                other.now = self.now
                other.hear(host.state.owner.host, told)

    def place(self, number: int) -> None:
        """Let a host place a stream, at another engine if one refuses it."""
        state = self.hosts[number].state
        expected = min(1_700, max(60, int(TOKENS_OUT * self.rng.lognormvariate(-0.18, 0.6))))
        tokens = max(20, int(expected * self.rng.lognormvariate(0.0, 0.3)))
        prompt = int(self.rng.lognormvariate(8.0, 0.4))
        stream = StreamLoad(prompt=prompt, expected=expected, begins=self.now + FIRST_TOKEN_TIME)
        avoid: list[str] = []
        for _ in range(3):
            candidates = placing.decode_candidates(state, MODEL, self.now)
            chosen = placing.choose_decode(state, candidates, stream, self.now, avoid, [])
            if chosen is None:
                return
            name = chosen.endpoint.name
            self.asked += 1
            if self.has_room(name, prompt):
                self.begin(number, name, stream, tokens)
                return
            self.refused += 1
            avoid.append(name)
            places.mark_full(state, name, self.now)

    def has_room(self, name: str, prompt: int) -> bool:
        """Tell whether an engine takes a stream."""
        streams = self.running[name].values()
        rate = TOKEN_RATE / self.slowness[name]
        used = sum(one.prompt + max(0.0, self.now - one.begins) * rate for one in streams)
        return len(streams) < SLOTS and used + prompt <= MEMORY

    def begin(self, number: int, name: str, stream: StreamLoad, tokens: int) -> None:
        """Run a stream at an engine, which says its load with the first token and at its end."""
        state, call = self.hosts[number].state, f"c{next(self.sequence)}"
        seconds = tokens / TOKEN_RATE * self.slowness[name]
        self.busy[name] += seconds
        self.placed[name] += 1
        self.running[name][call] = stream
        places.add_request(state, name, call, stream)
        self.later(self.rng.uniform(0.3, 1.0) * self.news_time, lambda: self.tell(number))
        self.later(FIRST_TOKEN_TIME, lambda: self.say(number, name))
        self.later(FIRST_TOKEN_TIME + seconds, lambda: self.end(number, name, call, seconds))

    def say(self, number: int, name: str) -> None:
        """Let an engine say its load to a host."""
        if not self.says or self.said[name] is None:
            return
        sign = EngineSign(
            endpoint=name,
            running=len(self.running[name]),
            waiting=0,
            slots=SLOTS,
            slowness=self.said[name],
            at=self.now,
        )
        self.hosts[number].now = self.now
        self.hosts[number].feed(_events.LoadNamed, sign=sign)

    def end(self, number: int, name: str, call: str, seconds: float) -> None:
        """End a stream, by which its host learns how fast the engine is."""
        state = self.hosts[number].state
        del self.running[name][call]
        places.remove_request(state, name, call)
        mean = len(self.names) / sum(1.0 / one for one in self.slowness.values())
        usual = seconds / self.slowness[name] * mean
        engine_signs.observe(state, name, seconds, usual, self.now)
        self.later(self.rng.uniform(0.3, 1.0) * self.news_time, lambda: self.tell(number))

    def run(self, seconds: float, rate: float) -> "EvenFleet":
        """Let callers ask for streams at random hosts, at a rate a second."""
        end = self.now + seconds
        while True:
            at = self.now + self.rng.expovariate(rate)
            if at >= end:
                return self
            self.run_until(at)
            self.place(self.rng.randrange(len(self.hosts)))

    def choose_together(self, count: int) -> int:
        """Let hosts place a stream each at one moment; returns the most placed at one engine."""
        before = dict(self.placed)
        for number in self.rng.sample(range(len(self.hosts)), count):
            self.place(number)
        return max(self.placed[name] - before[name] for name in self.names)

    def spread(self) -> float:
        """Return the work of the busiest engine for its speed, as a multiple of the mean."""
        return max(self.busy.values()) * len(self.busy) / sum(self.busy.values())

    def refused_share(self) -> float:
        """Return the share of places asked for that engines refused."""
        return self.refused / self.asked
