"""Several hosts on a virtual clock, some of which are cut off from all endpoints for a while.

Cuts hang, reset or refuse; hosts restart, datagrams get lost, and endpoints fall silent for a
second. What endpoints run and what callers are told is kept, and compared at the end.
"""

import collections
import heapq
import itertools
import random
import typing

from wasabiwick import _events
from wasabiwick._effects_forwarding import (
    AnnounceHost,
    DropTry,
    Forward,
    RefuseForward,
    Relay,
    TellLoad,
)
from wasabiwick._effects_hops import CheckReach, PassOn, ReadHosts
from wasabiwick._errors import HOST_LOST, HOST_REFUSED, Failure
from wasabiwick._handlers import reach
from wasabiwick._hops import HopTarget
from wasabiwick._verdict import Verdict

from ._forward import APP, BROKEN, UNREACHABLE, Host, plain

STEP = 0.01  # Seconds between two moments at which anything happens.
SECONDS = 16.0  # Length of a run.
CONTACT_TIME = 3.0  # The users' bound: from then on callers of cut off hosts have to be served.
DELAY = 0.005  # Seconds that a message between hosts or to an endpoint takes.
CONNECT_TIMEOUT = 0.4  # Seconds after which a host gives a connection up.
DEAD_AFTER = 2.5  # Seconds after which a connection on which nothing comes is given up.
LOSS = 0.02  # Share of the datagrams that are lost.
KEPT_SHARE = 0.5  # Share of requests that go out on connections that are open already.
FAILED_SHARE = 0.02  # Share of requests that run and whose answer is lost.
SILENCE = 1.0  # Seconds for which a sound endpoint may be silent.
HANGS, RESETS, REFUSES = "hangs", "resets", "refuses"
MAX_ATTEMPTS = {"safe": 2, "unsafe": 1}


class Caller:
    """A caller's request, and what became of it.

    ``runs`` holds the time of each run, ``refusal`` the failure that it was answered with, and
    ``is_in_touch`` whether its host counts by the users' rule.
    """

    def __init__(self, *, path: str, host: str, at: float, is_cut: bool, is_in_touch: bool) -> None:
        self.path = path
        self.host = host
        self.at = at
        self.is_cut = is_cut
        self.is_in_touch = is_in_touch
        self.is_served = False
        self.refusal: Failure | None = None
        self.runs: list[float] = []


class HopFleet:
    """Hosts and endpoints, and what callers got.

    Args:
        seed: Seed of all that is random.
        hosts: Number of hosts; a few at random if 0.
        zones: Number of zones.
        cut_zone: Whether all hosts of the first zone are cut off, and not some at random.
        is_calm: Whether no host restarts.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 0,
        *,
        zones: int = 3,
        cut_zone: bool = False,
        is_calm: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.is_calm = is_calm
        count = hosts or self.rng.choice((3, 6, 8))
        self.names = [f"h{number}" for number in range(count)]
        self.zone_of = {name: f"z{number % zones}" for number, name in enumerate(self.names)}
        self.endpoints = [plain(f"s{number}") for number in range(4)]
        self.silent_until = dict.fromkeys((one.name for one in self.endpoints), 0.0)
        self.cuts: dict[str, tuple[str, float, float]] = {}
        self.incarnations = dict.fromkeys(self.names, 0)
        self.restarted_at = dict.fromkeys(self.names, float("-inf"))
        self.hosts: dict[str, Host] = {}
        self.seen: dict[str, int] = {}
        self.callers: dict[str, Caller] = {}
        self.traces: dict[tuple[str, int, str], str] = {}
        self.passed: dict[tuple[str, int, str], tuple[str, Host, PassOn]] = {}
        self.answers: dict[tuple[str, int, str], int] = {}
        self.due: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.order = itertools.count()
        self.numbers = itertools.count()
        self.hops = self.passed_further = self.false_cuts = 0
        self.most_passed = 0
        for name in self.names:
            self.start_host(name)
        if cut_zone:
            self.cut_names = [name for name in self.names if self.zone_of[name] == "z0"]
        else:
            self.cut_names = self.rng.sample(self.names, max(1, count // self.rng.choice((2, 3))))
        form = self.rng.choice((HANGS, RESETS, REFUSES))
        self.cut_at = self.now + 4.0
        self.cut_until = self.cut_at + 8.0
        self.later(4.0, lambda: self.cut(form))

    def later(self, delay: float, act: typing.Callable[[], None]) -> None:
        """Do something after a delay."""
        heapq.heappush(self.due, (self.now + delay, next(self.order), act))

    def cut(self, form: str) -> None:
        """Cut hosts off from all endpoints."""
        for name in self.cut_names:
            self.cuts[name] = (form, self.cut_at, self.cut_until)

    def form_of(self, name: str) -> str:
        """Return how a host is cut off now, or an empty string."""
        form, begin, end = self.cuts.get(name, ("", 0.0, 0.0))
        return form if begin <= self.now < end else ""

    # --- Hosts -----------------------------------------------------------------------------------

    def start_host(self, name: str) -> None:
        """Start a host, or start it again without what it knew."""
        self.incarnations[name] += 1
        for key, (sender, host, effect) in list(self.passed.items()):
            if key[0] == name:
                del self.passed[key]
                self.later(DELAY, lambda args=(sender, host, effect): self.lose(*args))
        self.hosts[name] = Host(name=name, at=self.now, endpoints=tuple(self.endpoints))
        self.hosts[name].state.zone = self.zone_of[name]
        self.seen[name] = 0

    def lose(self, sender: str, host: Host, effect: PassOn) -> None:
        """Let a host notice that the one which it passed a call to is gone."""
        lost = Failure(reason=HOST_LOST, verdict=Verdict.MAY_HAVE_RUN)
        self.fail(sender, host, effect, lost)

    def key_of(self, name: str, call_id: str) -> tuple[str, int, str]:
        """Return the key of a call of a host's newest start."""
        return name, self.incarnations[name], call_id

    def carry_out(self) -> None:
        """Carry out the hosts' new effects."""
        for name in self.names:
            host = self.hosts[name]
            while self.hosts[name] is host and self.seen[name] < len(host.effects):
                effect = host.effects[self.seen[name]]
                self.seen[name] += 1
                self.carry_out_one(name, host, effect)

    def carry_out_one(self, name: str, host: Host, effect: object) -> None:
        """Carry out one effect."""
        if isinstance(effect, TellLoad):
            incarnation, zone = str(self.incarnations[name]), self.zone_of[name]
            for other in self.names:
                if other != name and self.rng.random() >= LOSS:
                    args = (other, name, effect, incarnation, zone)
                    self.later(DELAY, lambda args=args: self.hear(*args))
        elif isinstance(effect, AnnounceHost | ReadHosts):
            self.later(DELAY, lambda: self.list_hosts(name, host))
        elif isinstance(effect, CheckReach):
            self.check(name, host, effect)
        elif isinstance(effect, Forward):
            self.send(name, host, effect)
        elif isinstance(effect, PassOn):
            self.pass_on(name, host, effect)
        elif isinstance(effect, DropTry):
            self.drop(name, effect.call_id)
        elif isinstance(effect, Relay):
            self.relay(name, host, effect)
        elif isinstance(effect, RefuseForward):
            self.refuse(name, effect)

    def hear(self, name: str, sender: str, told: TellLoad, incarnation: str, zone: str) -> None:
        """Deliver a datagram."""
        self.hosts[name].hear(sender, told, incarnation=incarnation, zone=zone)

    def list_hosts(self, name: str, host: Host) -> None:
        """Let a host read the list of hosts."""
        for other in self.names:
            if self.hosts[name] is host and other != name:
                incarnation = str(self.incarnations[other])
                hops = HopTarget(address=f"{other}:{incarnation}", incarnation=incarnation)
                fields = {"host": other, "address": f"{other}:1", "zone": self.zone_of[other]}
                host.feed(_events.HostFound, hops=hops, **fields)

    def check(self, name: str, host: Host, effect: CheckReach) -> None:
        """Answer a check of reach."""
        form = self.form_of(name)
        open_names = [] if form else [one for one, _ in effect.endpoints if not self.is_silent(one)]
        delay = CONNECT_TIMEOUT if form == HANGS or not (form or open_names) else DELAY
        fields = {"service": effect.service, "accepted": tuple(open_names)}
        self.later(delay, lambda: self.feed(name, host, _events.ReachChecked, **fields))

    def is_silent(self, endpoint: str) -> bool:
        """Return whether an endpoint is silent."""
        return self.silent_until[endpoint] > self.now

    def feed(self, name: str, host: Host, kind: type, **fields: object) -> None:
        """Let a host get an event, unless it has restarted."""
        if self.hosts[name] is host:
            host.feed(kind, **fields)

    def fail(self, name: str, host: Host, effect: Forward | PassOn, failure: Failure) -> None:
        """Let a host's try fail."""
        fields = {"call_id": effect.call_id, "endpoint": effect.endpoint, "number": effect.number}
        self.feed(name, host, _events.TryFailed, failure=failure, **fields)

    def answer(self, name: str, host: Host, effect: Forward | PassOn, build: str = "") -> None:
        """Let the answer to a host's try come."""
        self.answers[self.key_of(name, effect.call_id)] = effect.number
        fields = {"call_id": effect.call_id, "endpoint": effect.endpoint, "number": effect.number}
        fields |= {"status": 200, "not_run": False, "streams": False, "build": build}
        self.feed(name, host, _events.AnswerCame, **fields)

    # --- Endpoints -------------------------------------------------------------------------------

    def send(self, name: str, host: Host, effect: Forward) -> None:
        """Let a request go to its endpoint, on a new connection or on an open one."""
        form, is_kept = self.form_of(name), self.rng.random() < KEPT_SHARE
        if form == HANGS and is_kept:
            self.later(DEAD_AFTER, lambda: self.fail(name, host, effect, BROKEN))
        elif form and not (form == REFUSES and is_kept):
            delay = CONNECT_TIMEOUT if form == HANGS else DELAY
            self.later(delay, lambda: self.fail(name, host, effect, UNREACHABLE))
        elif self.is_silent(effect.endpoint) and not is_kept:
            self.later(CONNECT_TIMEOUT, lambda: self.fail(name, host, effect, UNREACHABLE))
        else:
            self.run_request(name, host, effect)

    def run_request(self, name: str, host: Host, effect: Forward) -> None:
        """Run a request at its endpoint, and answer it later."""
        caller = self.callers[self.traces[self.key_of(name, effect.call_id)]]
        caller.runs.append(self.now)
        wait = max(0.0, self.silent_until[effect.endpoint] - self.now)
        delay = wait + self.rng.uniform(0.03, 0.12)
        if self.rng.random() < FAILED_SHARE:
            self.later(delay, lambda: self.fail(name, host, effect, BROKEN))
        else:
            self.later(delay, lambda: self.answer_unless_cut(name, host, effect))

    def answer_unless_cut(self, name: str, host: Host, effect: Forward) -> None:
        """Answer a request unless its host has been cut off meanwhile."""
        form = self.form_of(name)
        if form == RESETS:
            self.fail(name, host, effect, BROKEN)
        elif form == HANGS:
            self.later(DEAD_AFTER, lambda: self.fail(name, host, effect, BROKEN))
        else:
            self.answer(name, host, effect, build="v1")

    # --- Hops ------------------------------------------------------------------------------------

    def pass_on(self, name: str, host: Host, effect: PassOn) -> None:
        """Let a request reach another host, unless it has restarted since it was listed."""
        self.hops += 1
        if (name, self.incarnations[name], effect.call_id) in self.passed:
            self.passed_further += 1
        trace = self.traces[self.key_of(name, effect.call_id)]
        other, _, incarnation = effect.address.partition(":")
        if incarnation != str(self.incarnations[other]):
            refused = Failure(reason=HOST_REFUSED, verdict=Verdict.NOT_RUN)
            self.later(DELAY, lambda: self.fail(name, host, effect, refused))
            return
        there = self.hosts[other]
        call_id = there.new_call_id()
        key = self.key_of(other, call_id)
        self.passed[key] = (name, host, effect)
        self.traces[key] = trace
        path = self.callers[trace].path
        seconds = effect.deadline - self.now

        def arrive() -> None:
            if self.hosts[other] is there and key in self.passed:
                there.pass_in(path, call_id=call_id, hop=effect.hop, seconds=seconds)
                count = sum(1 for one in self.passed if one[0] == other)
                self.most_passed = max(self.most_passed, count)

        self.later(DELAY, arrive)

    def drop(self, name: str, call_id: str) -> None:
        """Let the host that a call was passed to notice that it is dropped."""
        for key, (sender, _, effect) in list(self.passed.items()):
            if sender == name and effect.call_id == call_id:
                del self.passed[key]
                there = self.hosts[key[0]]
                args = (key[0], there, _events.ForwardLeft)
                self.later(DELAY, lambda args=args, lost=key[2]: self.feed(*args, call_id=lost))

    def relay(self, name: str, host: Host, effect: Relay) -> None:
        """Pass an answer on to the caller, or to the host that passed the call here."""
        key = self.key_of(name, effect.call_id)
        sent = self.passed.pop(key, None)
        if sent is None and effect.call_id.startswith("c"):
            self.callers[self.traces[key]].is_served = True
        elif sent is not None:
            self.later(DELAY, lambda: self.answer(*sent, build="v1"))
        self.feed(name, host, _events.ForwardAnswered, call_id=effect.call_id)

    def refuse(self, name: str, effect: RefuseForward) -> None:
        """Refuse a caller, or tell the host that passed the call here."""
        key = self.key_of(name, effect.call_id)
        sent = self.passed.pop(key, None)
        if sent is not None:
            self.later(DELAY, lambda: self.fail(*sent, effect.failure))
        elif effect.call_id.startswith("c"):
            self.callers[self.traces[key]].refusal = effect.failure

    # --- The run ---------------------------------------------------------------------------------

    def trouble(self) -> None:
        """Let an endpoint fall silent for a second, or restart a host."""
        if self.is_calm or self.rng.random() < 0.6:
            endpoint = self.rng.choice(self.endpoints).name
            self.silent_until[endpoint] = self.now + SILENCE
            return
        name = self.rng.choice(self.names)
        for trace, caller in self.callers.items():
            if caller.host == name and not caller.is_served and caller.refusal is None:
                self.callers[trace].refusal = Failure(
                    reason=HOST_LOST, verdict=Verdict.MAY_HAVE_RUN
                )
        self.start_host(name)
        self.restarted_at[name] = self.now

    def run(self, rate: float = 6.0) -> "HopFleet":
        """Play the whole run, with so many requests a second at each host."""
        end = self.now + SECONDS
        while self.now < end:
            self.now = round(self.now + STEP, 6)
            for host in self.hosts.values():
                host.run(self.now - host.now)
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            for name in self.names:
                if self.now < end - 2.0 and self.rng.random() < rate * STEP:
                    self.ask(name)
            if self.rng.random() < 0.4 * STEP:
                self.trouble()
            self.carry_out()
            self.count_false_cuts()
        return self

    def ask(self, name: str) -> None:
        """Let a caller send a request to a host."""
        path = self.rng.choice(("safe", "unsafe"))
        trace = f"t{next(self.numbers)}"
        host = self.hosts[name]
        call_id = host.new_call_id("c")
        self.traces[self.key_of(name, call_id)] = trace
        self.callers[trace] = Caller(
            path=path,
            host=name,
            at=self.now,
            is_cut=bool(self.form_of(name)),
            is_in_touch=self.now - self.restarted_at[name] >= CONTACT_TIME,
        )
        host.ask(path, trace_id=trace, call_id=call_id)

    def count_false_cuts(self) -> None:
        """Count moments at which a host takes itself for cut off and isn't."""
        for name, host in self.hosts.items():
            form, begin, end = self.cuts.get(name, ("", 0.0, 0.0))
            near_cut = form and begin <= self.now < end + 2 * CONNECT_TIMEOUT + 0.5
            if not near_cut and reach.is_unreached(host.state, APP):
                self.false_cuts += 1

    # --- What has to hold ------------------------------------------------------------------------

    def run_too_often(self) -> list[str]:
        """Return the requests that ran more often than their kind allows."""
        return [
            trace for trace, one in self.callers.items() if len(one.runs) > MAX_ATTEMPTS[one.path]
        ]

    def falsely_not_run(self) -> list[str]:
        """Return the requests of which a caller was told that they had not run, and had."""
        return [
            trace
            for trace, one in self.callers.items()
            if one.refusal is not None and one.refusal.verdict is Verdict.NOT_RUN and one.runs
        ]

    def open_calls(self) -> int:
        """Count the calls that hosts still have, once all deadlines have passed."""
        return sum(len(host.state["forwarding"].calls) for host in self.hosts.values())

    def shares_served(self) -> tuple[float, float, int]:
        """Return the shares served at cut off hosts and at the others, and how many were asked.

        Counted are requests from the users' bound after the cut began until its end, at hosts
        that are in touch in the users' sense: not within that time after a restart.
        """
        counts: collections.Counter[tuple[bool, bool]] = collections.Counter()
        for one in self.callers.values():
            if one.is_in_touch and self.cut_at + CONTACT_TIME <= one.at < self.cut_until:
                counts[one.is_cut, one.is_served] += 1
        cut, other = (
            counts[is_cut, True] / max(1, counts[is_cut, True] + counts[is_cut, False])
            for is_cut in (True, False)
        )
        return cut, other, counts[True, True] + counts[True, False]

    def repeats(self) -> int:
        """Return how many runs there were beyond the first of each request."""
        return sum(max(0, len(one.runs) - 1) for one in self.callers.values())
