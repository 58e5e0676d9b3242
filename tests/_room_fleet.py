"""Several hosts on a virtual clock, before engines with too little memory for all generations."""

import heapq
import itertools
import random
import typing

from wasabiwick import _caller_keys, _events
from wasabiwick._effects_forwarding import (
    DropHold,
    Forward,
    ReadPrompt,
    RefuseForward,
    TakeHold,
    TellLoad,
)
from wasabiwick._forwarding import (
    STREAM,
    EngineTraits,
    Organisation,
    RouteTable,
    ServiceTraits,
)

from ._forward import DECODE, MODEL, PREFILL, REFUSED, Host, engine, route

STEP = 0.01  # Seconds between two moments at which anything happens.
MEMORY = 28_000  # Tokens that a decode engine can store.
SLOTS = 12  # Most streams that an engine runs at the same time.
TOKEN_RATE = 200.0  # Tokens per second of a stream.
PREFILL_RATE = 30_000.0  # Prompt tokens that an engine prefills in a second.
DATAGRAM_TIME = 0.01  # Seconds that a datagram takes.
ANSWER_TIME = 0.03  # Seconds in which an engine answers a reservation.
FIRST_EVENT_TIME = 0.1  # Seconds from sending a stream to its decode engine to its first event.
DEADLINE = 14.0  # Seconds that a caller waits for its whole answer, over all its attempts.


class Kind(typing.NamedTuple):
    """A kind of generation: its route, priority, arrivals a second, prompt and latency target."""

    name: str
    priority: int
    rate: float
    prompt: int
    target: float


class Caller:
    """A caller with its request: when it came first, and what became of it.

    ``begun`` is when its stream began, or None; ``in_aim`` tells whether that was in time.
    """

    def __init__(self, *, kind: Kind, organisation: str, at: float, ask: dict[str, object]) -> None:
        self.kind = kind
        self.organisation = organisation
        self.at = at
        self.ask = ask
        self.begun: float | None = None
        self.ended = False
        self.attempts = 0

    @property
    def in_aim(self) -> bool:
        """Whether the stream began within the latency target since the first attempt."""
        return self.begun is not None and self.begun - self.at <= self.kind.target


class RoomFleet:
    """Hosts, engines and callers.

    Args:
        seed: Seed of all that is random.
        kinds: Kinds of generations.
        hosts: Number of hosts.
        decode: Number of decode engines.
        prefill: Number of prefill engines.
        organisations: Share of the callers by organisation; empty if the operator names none.
        keeps_rooms: Whether the hosts' settings ask for rooms.
    """

    def __init__(
        self,
        seed: int,
        kinds: tuple[Kind, ...],
        *,
        hosts: int = 20,
        decode: int = 8,
        prefill: int = 3,
        organisations: dict[str, float] | None = None,
        keeps_rooms: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.kinds = kinds
        self.organisations = organisations or {}
        self.due: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.order = itertools.count()
        self.callers: list[Caller] = []
        self.by_call: dict[str, Caller] = {}
        self.held: dict[str, dict[str, int]] = {f"d{n}": {} for n in range(decode)}
        self.running: dict[str, dict[str, tuple[int, float]]] = {f"d{n}": {} for n in range(decode)}
        self.prefilled_at = {f"p{n}": 0.0 for n in range(prefill)}
        self.holds_refused = 0
        self.hosts: dict[str, Host] = {}
        self.seen: dict[str, int] = {}
        engines = [engine(name, DECODE) for name in self.held]
        engines += [engine(name, PREFILL) for name in self.prefilled_at]
        for number in range(hosts):
            name = f"h{number}"
            host = self.hosts[name] = Host(name=name, at=self.now, endpoints=tuple(engines))
            host.state.cfg.forwarding.keep_rooms = keeps_rooms
            host.feed(_events.RoutesRead, table=self.table())
            self.seen[name] = 0
        for here, there in itertools.permutations(self.hosts, 2):
            self.hosts[here].feed(_events.HostFound, host=there, address=f"{there}:1", zone="z")

    def table(self) -> RouteTable:
        """Return the routes of the kinds, and the organisations."""
        traits = EngineTraits(
            slots=SLOTS, memory_tokens=MEMORY, hold_time=2.0, handle_time=0.5, stride=12
        )
        named = [
            Organisation(name=one, keys=(_caller_keys.digest(one.encode()),))
            for one in self.organisations
        ]
        return RouteTable(
            version=2,
            routes=tuple(
                route(
                    STREAM, MODEL, name=one.name, priority=one.priority, target_latency=one.target
                )
                for one in self.kinds
            ),
            services=(ServiceTraits(name=MODEL, max_connections=400, engine=traits),),
            organisations=tuple(named) if named else None,
        )

    def later(self, delay: float, act: typing.Callable[[], None]) -> None:
        """Do something after a delay."""
        heapq.heappush(self.due, (self.now + delay, next(self.order), act))

    def run(self, seconds: float, factors: dict[str, float] | None = None) -> "RoomFleet":
        """Play some seconds.

        Args:
            seconds: Virtual time.
            factors: Multiples of the usual arrivals, by name of a kind or organisation.
        """
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP, 6)
            for host in self.hosts.values():
                host.run(self.now - host.now)
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            self.arrive(factors or {})
            self.carry_out()
        return self

    # --- Callers ---------------------------------------------------------------------------------

    def arrive(self, factors: dict[str, float]) -> None:
        """Let new callers come."""
        for kind in self.kinds:
            for name, share in (self.organisations or {"": 1.0}).items():
                rate = kind.rate * share * factors.get(kind.name, 1.0) * factors.get(name, 1.0)
                if self.rng.random() < rate * STEP:
                    self.new_caller(kind, name)

    def new_caller(self, kind: Kind, organisation: str) -> None:
        """Let a caller come with a request of random size."""
        hint = int(500 * self.rng.lognormvariate(0.0, 0.6))
        ask = {
            "prompt_tokens": min(24_000, int(kind.prompt * self.rng.lognormvariate(0.0, 0.4))),
            "length_hint": hint,
            "max_tokens": 2_000,
            "key": _caller_keys.digest(organisation.encode()) if organisation else "",
        }
        caller = Caller(kind=kind, organisation=organisation, at=self.now, ask=ask)
        self.callers.append(caller)
        self.attempt(caller)

    def attempt(self, caller: Caller) -> None:
        """Let a caller send its request to any host."""
        caller.attempts += 1
        name = self.rng.choice(list(self.hosts))
        call_id = f"{name}.{len(self.by_call)}"
        self.by_call[call_id] = caller
        left = caller.at + DEADLINE - self.now
        self.hosts[name].ask(caller.kind.name, call_id=call_id, seconds=left, **caller.ask)

    def refuse(self, call_id: str, retry_after: float | None) -> None:
        """Let a refused caller come back once."""
        caller = self.by_call[call_id]
        if caller.attempts == 1 and retry_after is not None:
            self.later(retry_after, lambda: self.attempt(caller))

    # --- What hosts ask for ----------------------------------------------------------------------

    def carry_out(self) -> None:
        """Carry out the hosts' new effects."""
        for name, host in self.hosts.items():
            while self.seen[name] < len(host.effects):
                effect = host.effects[self.seen[name]]
                self.seen[name] += 1
                self.carry_out_one(name, host, effect)

    def carry_out_one(self, name: str, host: Host, effect: object) -> None:
        """Carry out one effect, by an engine, another host or a caller."""
        if isinstance(effect, TellLoad):
            for other, there in self.hosts.items():
                if other != name:
                    self.later(DATAGRAM_TIME, lambda there=there: there.hear(name, effect))
        elif isinstance(effect, TakeHold):
            fits = self.fits(effect)
            self.holds_refused += not fits
            if fits:
                self.held[effect.endpoint][effect.call_id] = effect.tokens
            self.for_open_call(
                ANSWER_TIME,
                host,
                effect,
                lambda: host.answer_hold(effect.call_id, None if fits else REFUSED),
            )
        elif isinstance(effect, DropHold):
            self.held[effect.endpoint].pop(effect.call_id, None)
        elif isinstance(effect, ReadPrompt):
            tokens = self.by_call[effect.call_id].ask["prompt_tokens"]
            begins = max(self.now, self.prefilled_at[effect.endpoint])
            self.prefilled_at[effect.endpoint] = begins + tokens / PREFILL_RATE
            delay = self.prefilled_at[effect.endpoint] - self.now
            self.for_open_call(delay, host, effect, lambda: host.answer_prefill(effect.call_id))
        elif isinstance(effect, Forward):
            self.begin(host, effect)
        elif isinstance(effect, RefuseForward):
            self.refuse(effect.call_id, effect.failure.retry_after)

    def for_open_call(
        self, delay: float, host: Host, effect: object, act: typing.Callable[[], None]
    ) -> None:
        """Answer a call after a delay if it is still open then."""
        self.later(delay, lambda: act() if host.is_open(effect.call_id) else None)

    def fits(self, effect: TakeHold) -> bool:
        """Return whether an engine can reserve a place."""
        streams, held = self.running[effect.endpoint], self.held[effect.endpoint]
        grown = [prompt + (self.now - since) * TOKEN_RATE for prompt, since in streams.values()]
        used = sum(grown) + sum(held.values()) + effect.tokens
        return used <= MEMORY and len(streams) + len(held) < SLOTS

    def begin(self, host: Host, effect: Forward) -> None:
        """Let a stream begin and end at a decode engine."""
        caller = self.by_call[effect.call_id]
        self.held[effect.endpoint].pop(effect.call_id, None)
        place = (caller.ask["prompt_tokens"], self.now)
        self.running[effect.endpoint][effect.call_id] = place
        length = min(2_000, max(12, caller.ask["length_hint"] * self.rng.lognormvariate(0.0, 0.5)))

        def first_event() -> None:
            caller.begun = self.now
            host.answer(effect.call_id, streams=True)

        def last_event() -> None:
            caller.ended = True
            del self.running[effect.endpoint][effect.call_id]
            host.feed(_events.ForwardAnswered, call_id=effect.call_id)

        self.for_open_call(FIRST_EVENT_TIME, host, effect, first_event)
        self.for_open_call(FIRST_EVENT_TIME + length / TOKEN_RATE, host, effect, last_event)

    # --- What callers got ------------------------------------------------------------------------

    def in_aim(self, kind: str = "", organisation: str = "") -> float:
        """Return the share of the callers of a kind or organisation that were served in time."""
        callers = self.of(kind, organisation)
        return sum(one.in_aim for one in callers) / max(1, len(callers))

    def served(self, kind: str = "", organisation: str = "") -> float:
        """Return the share of the callers of a kind or organisation that were served at all."""
        callers = self.of(kind, organisation)
        return sum(one.ended for one in callers) / max(1, len(callers))

    def of(self, kind: str = "", organisation: str = "") -> list[Caller]:
        """Return the callers of a kind or organisation, or of all."""
        return [
            one
            for one in self.callers
            if kind in ("", one.kind.name) and organisation in ("", one.organisation)
        ]
