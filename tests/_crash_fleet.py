"""Several hosts on a virtual clock, with engines that end over part of a prompt, or over a request.

Hosts are cut off from each other and from the store, start again, and lose datagrams; engines end
for other reasons too.
"""

import itertools
import math
import random

from wasabiwick import _events
from wasabiwick._effects_forwarding import (
    CheckEnded,
    Forward,
    ReadPrompt,
    SaveFindings,
    TakeHold,
    TellLoad,
)
from wasabiwick._errors import PART_BLOCKED, REQUEST_BLOCKED
from wasabiwick._fingerprints import PREFIX
from wasabiwick._forwarding import Endpoint, Findings

from ._forward import BROKEN, DECODE, MODEL, PREFILL, UNREACHABLE, Host, engine, plain

STEP = 0.05  # Seconds between two moments at which anything happens.
SECONDS = 40.0  # Length of a run.
CONTACT_TIME = 3.0  # The users' bound: hosts that ran and had a path for this long are in touch.
FIRST_PARTS = ("a1", "a2")  # First parts of prompts, of sound requests as of others.
CRASHING_PART = "bad"
SIZES = {"prompt_tokens": 300, "max_tokens": 100, "length_hint": 60}
RESTART_TIME = 2.0  # Seconds until an engine is back after it ended.
DELIST_TIME = 3.6  # Seconds until the entry of an engine that ended is removed.
LOSS = 0.1  # Share of the datagrams that are lost.


class Run:
    """An engine's work on a request: when it begins to answer, and when it is done."""

    def __init__(self, *, host: str, call: str, begins: float, ends: float, crashes: bool) -> None:
        self.host = host
        self.call = call
        self.begins = begins
        self.ends = ends
        self.crashes = crashes
        self.has_begun = False


class Fleet:
    """Hosts and engines, and what the users' rules count.

    Attributes:
        crashes: Times at which an engine ended over the crashing part or request.
        bad_sends: Time and host of each such request that reached an engine.
        sound: Time and host of each sound request, and whether it was refused as blocked.
    """

    durations = (0.5, 3.0)  # Shortest and longest time for which a sound request runs, in seconds.
    kind = "stream"  # Kind of the requests, which is also the path.
    decoding = 8  # Number of engines, or of plain endpoints, that requests are sent to.

    def __init__(self, seed: int, hosts: int = 0) -> None:
        self.rng = random.Random(seed)
        self.request_count = 0
        self.now = 100.0
        self.names = [f"h{number}" for number in range(hosts or self.rng.choice((2, 3, 6)))]
        self.engines: dict[str, Endpoint] = {}
        self.runs: dict[str, list[Run]] = {}
        self.due: list[tuple[float, int, object]] = []
        self.hosts: dict[str, Host] = {}
        self.seen: dict[str, int] = {}
        self.incarnations = dict.fromkeys(self.names, 0)
        self.started_at: dict[str, float] = {}
        self.store: dict[str, Findings] = {}
        self.store_cuts: dict[str, tuple[float, float]] = {}
        self.pair_cuts: dict[frozenset[str], tuple[float, float]] = {}
        self.crashes: list[float] = []
        self.bad_sends: list[tuple[float, str]] = []
        self.sound: list[tuple[float, str, bool]] = []
        self.calls: dict[tuple[str, str], bool] = {}
        self.bad_from = self.now + self.rng.uniform(2.0, 8.0)
        self.bad_rate = math.exp(self.rng.uniform(math.log(0.2), math.log(6.0)))
        self.sound_rate = self.rng.uniform(4.0, 12.0)
        self.has_one_first_part = self.rng.random() < 0.7
        # Whether the first parts are new when the crashing part comes, so that none is known.
        self.has_new_first_parts = self.rng.random() < 0.5
        for _ in range(3):
            self.add_engine(PREFILL)
        for _ in range(self.decoding):
            self.add_engine(self.stage)
        for name in self.names:
            self.start_host(name)
        self.started_at = dict.fromkeys(self.names, self.now - CONTACT_TIME)

    # --- Engines ---------------------------------------------------------------------------------

    @property
    def stage(self) -> str:
        """Stage of the endpoints that requests are sent to; empty for plain ones."""
        return DECODE if self.kind == "stream" else ""

    def add_engine(self, stage: str) -> None:
        """Start an engine or a plain endpoint, and list it."""
        name, born = f"e{len(self.runs)}", int(self.now * 1000)
        self.engines[name] = engine(name, stage, born=born) if stage else plain(name, born=born)
        self.runs[name] = []
        for host in self.hosts.values():
            host.read_list(self.engines[name])

    def end_engine(self, name: str) -> None:
        """End an engine; its streams break off, and another starts later."""
        stage = self.engines.pop(name).stage
        for run in self.runs[name]:
            self.break_off(run)
        self.runs[name] = []
        self.later(RESTART_TIME, lambda: self.add_engine(stage))
        self.later(DELIST_TIME, lambda: [host.drop(name) for host in self.hosts.values()])

    def break_off(self, run: Run) -> None:
        """Let a host see that the connection of a run broke off."""
        host = self.hosts[run.host]
        if host.is_open(run.call):
            host.fail(run.call, BROKEN, events=1 if run.has_begun and not run.crashes else 0)

    def work(self) -> None:
        """Let engines begin and finish their answers."""
        for name in list(self.engines):
            for run in list(self.runs[name]):
                if run not in self.runs[name]:
                    continue
                host = self.hosts[run.host]
                if not host.is_open(run.call):
                    self.runs[name].remove(run)
                elif self.now >= run.ends and run.crashes:
                    self.crashes.append(self.now)
                    self.end_engine(name)
                elif self.now >= run.ends:
                    self.runs[name].remove(run)
                    self.finish(host, name, run.call)
                elif self.now >= run.begins and not run.has_begun:
                    run.has_begun = True
                    if self.stage:
                        host.answer(run.call, streams=True)

    def finish(self, host: Host, endpoint: str, call: str) -> None:
        """Finish an answer."""
        if not self.stage:
            host.answer(call)
            host.feed(_events.ForwardAnswered, call_id=call)
            return
        number = host.last_effect(Forward, call).number
        fields = {"call_id": call, "endpoint": endpoint, "number": number, "events": 6}
        host.feed(_events.StreamDone, **fields)
        host.feed(_events.ForwardAnswered, call_id=call)

    def later(self, delay: float, act: object) -> None:
        """Do something after a delay."""
        self.due.append((self.now + delay, len(self.due), act))

    # --- Hosts -----------------------------------------------------------------------------------

    def start_host(self, name: str) -> None:
        """Start a host, or start it again without what it knew."""
        self.incarnations[name] += 1
        for engine_name, runs in self.runs.items():
            self.runs[engine_name] = [run for run in runs if run.host != name]
        self.hosts[name] = Host(name=name, at=self.now, endpoints=tuple(self.engines.values()))
        self.seen[name] = 0
        self.started_at[name] = self.now
        if self.reaches_store(name):
            self.read_store(name)
        for other in self.names:
            if other != name and other in self.hosts:
                for here, there in ((name, other), (other, name)):
                    found = {"host": there, "address": f"{there}:1", "zone": "z"}
                    self.hosts[here].feed(_events.HostFound, **found)

    def read_store(self, name: str) -> None:
        """Let a host read all that hosts saved."""
        findings = tuple(self.store.values())
        self.hosts[name].feed(_events.FindingsRead, findings=findings, whole=True)

    def reaches_store(self, name: str) -> bool:
        """Return whether a host has a path to the store."""
        start, end = self.store_cuts.get(name, (0.0, 0.0))
        return not start <= self.now < end

    def reaches(self, one: str, other: str) -> bool:
        """Return whether datagrams pass between two hosts."""
        start, end = self.pair_cuts.get(frozenset((one, other)), (0.0, 0.0))
        return not start <= self.now < end

    def is_in_touch(self, name: str) -> bool:
        """Return whether the users' rules bind a host now."""
        _, cut_until = self.store_cuts.get(name, (0.0, 0.0))
        calm_since = max(self.started_at[name], cut_until)
        return self.reaches_store(name) and self.now - calm_since >= CONTACT_TIME

    def carry_out(self) -> None:
        """Carry out the hosts' new effects."""
        for name in self.names:
            host = self.hosts[name]
            while self.seen[name] < len(host.effects):
                effect = host.effects[self.seen[name]]
                self.seen[name] += 1
                self.carry_out_one(name, host, effect)

    def carry_out_one(self, name: str, host: Host, effect: object) -> None:
        """Carry out one effect, by an engine, another host or the store."""
        if isinstance(effect, TellLoad):
            for other in self.names:
                is_lost = self.rng.random() < LOSS or not self.reaches(name, other)
                if other != name and not is_lost:
                    incarnation = str(self.incarnations[name])
                    self.hosts[other].hear(name, effect, incarnation=incarnation)
        elif isinstance(effect, SaveFindings):
            self.save(name, effect.findings)
        elif isinstance(effect, CheckEnded):
            has_ended = effect.endpoint not in self.engines
            host.feed(_events.EndChecked, endpoint=effect.endpoint, has_ended=has_ended)
        elif isinstance(effect, TakeHold):
            failure = None if effect.endpoint in self.engines else UNREACHABLE
            if host.is_open(effect.call_id):
                host.answer_hold(effect.call_id, failure)
        elif isinstance(effect, ReadPrompt):
            self.count_send(name, effect)
            if host.is_open(effect.call_id):
                host.answer_prefill(effect.call_id)
        elif isinstance(effect, Forward):
            self.begin_run(name, host, effect)

    def save(self, name: str, findings: Findings) -> None:
        """Save a host's findings, and let the others read them."""
        if not self.reaches_store(name):
            self.hosts[name].feed(_events.FindingsSaved, failure=BROKEN)
            return
        self.store[name] = findings
        self.hosts[name].feed(_events.FindingsSaved, failure=None)
        for other in self.names:
            if other != name and self.reaches_store(other):
                self.hosts[other].feed(_events.FindingsRead, findings=(findings,))

    def count_send(self, name: str, effect: ReadPrompt | Forward) -> None:
        """Count a request with the crashing part that reaches an engine."""
        if self.calls[name, effect.call_id] and self.is_in_touch(name):
            self.bad_sends.append((self.now, name))

    def begin_run(self, name: str, host: Host, effect: Forward) -> None:
        """Let an engine take a request."""
        if effect.endpoint not in self.engines:
            if host.is_open(effect.call_id):
                host.fail(effect.call_id, UNREACHABLE)
            return
        self.count_send(name, effect)
        crashes = self.calls[name, effect.call_id]
        begins = self.now + self.rng.uniform(0.0, 0.3)
        lasts = STEP if crashes else self.rng.uniform(*self.durations)
        self.runs[effect.endpoint].append(
            Run(
                host=name,
                call=effect.call_id,
                begins=begins,
                ends=begins + lasts,
                crashes=crashes,
            )
        )

    # --- Callers and troubles --------------------------------------------------------------------

    def send(self, *, is_bad: bool) -> None:
        """Let a caller send a request to any host."""
        name = self.rng.choice(self.names)
        host = self.hosts[name]
        first = FIRST_PARTS[0] if self.has_one_first_part else self.rng.choice(FIRST_PARTS)
        if self.has_new_first_parts and self.now < self.bad_from:
            first = f"old-{first}"
        # The call's identifier is known once its effects are carried out.
        call = host.ask(self.kind, **self.describe(first, is_bad=is_bad))
        self.calls[name, call] = is_bad
        refusal = host.refusal(call)
        is_blocked = refusal is not None and refusal.reason in (PART_BLOCKED, REQUEST_BLOCKED)
        if not is_bad and self.is_in_touch(name):
            self.sound.append((self.now, name, is_blocked))

    def describe(self, first: str, *, is_bad: bool) -> dict[str, object]:
        """Return what a request asks for, whose prompt begins with a part."""
        self.request_count += 1
        return {
            "parts": (first, CRASHING_PART) if is_bad else (first,),
            "fingerprints": (f"{PREFIX}{self.request_count}",),
            **SIZES,
        }

    def trouble(self) -> None:
        """Cut hosts off, start one again, or end an engine for no reason of the prompt's."""
        kind = self.rng.choice(("pair", "mesh", "store", "restart", "engine", "engine"))
        until = self.now + self.rng.uniform(1.0, 8.0)
        name = self.rng.choice(self.names)
        if kind == "mesh":
            for one, other in itertools.combinations(self.names, 2):
                self.pair_cuts[frozenset((one, other))] = (self.now, until + 6.0)
        elif kind == "pair":
            others = [one for one in self.names if one != name and self.rng.random() < 0.7]
            for other in others:
                self.pair_cuts[frozenset((name, other))] = (self.now, until)
        elif kind == "store":
            self.store_cuts[name] = (self.now, until)
            self.later(until - self.now + 0.1, lambda: self.read_store(name))
        elif kind == "restart":
            self.start_host(name)
        else:
            decoding = [one.name for one in self.engines.values() if one.stage == self.stage]
            for ending in self.rng.sample(decoding, min(len(decoding), self.rng.choice((1, 1, 2)))):
                self.end_engine(ending)

    def run(self) -> "Fleet":
        """Play the whole run."""
        start = self.now
        while self.now < start + SECONDS:
            self.now = round(self.now + STEP, 6)
            for host in self.hosts.values():
                host.run(self.now - host.now)
            due = [one for one in self.due if one[0] <= self.now]
            self.due = [one for one in self.due if one[0] > self.now]
            for _, _, act in sorted(due, key=lambda one: one[:2]):
                act()
            if self.rng.random() < self.sound_rate * STEP:
                self.send(is_bad=False)
            if self.now >= self.bad_from and self.rng.random() < self.bad_rate * STEP:
                self.send(is_bad=True)
            if self.rng.random() < 0.3 * STEP:
                self.trouble()
            self.work()
            self.carry_out()
        return self

    # --- What the rules count --------------------------------------------------------------------

    free_crashes = 5  # Crashes after which the users' rule counts requests.

    def late_bad_sends(self) -> int:
        """Count requests with the crashing part sent too late after the free crashes."""
        if len(self.crashes) < self.free_crashes:
            return 0
        known_at = self.crashes[self.free_crashes - 1] + CONTACT_TIME
        return sum(at > known_at for at, _ in self.bad_sends)

    def late_sound(self) -> tuple[int, int]:
        """Count late sound requests, and those of them that were refused as blocked."""
        if not self.crashes:
            return 0, 0
        since = self.crashes[:5][-1] + 2 * CONTACT_TIME
        late = [is_blocked for at, _, is_blocked in self.sound if at > since]
        return len(late), sum(late)


class RequestFleet(Fleet):
    """Hosts and engines that end over one request, which comes again and again.

    Sound requests share its first part, and some of them come twice.
    """

    free_crashes = 3

    def __init__(self, seed: int, hosts: int = 0) -> None:
        self.kind = ("stream", "safe")[seed % 2]
        if not self.stage:
            self.decoding, self.durations = 4, (0.05, 0.5)
        super().__init__(seed, hosts)
        self.repeat_share = self.rng.uniform(0.0, 0.5)

    def describe(self, first: str, *, is_bad: bool) -> dict[str, object]:
        """Return what a request asks for; the crashing one is the same each time."""
        if not is_bad and self.rng.random() >= self.repeat_share:
            self.request_count += 1
        name = "bad" if is_bad else self.request_count
        fingerprints = (f"{PREFIX}{name}",)
        if not self.stage:
            return {"fingerprints": fingerprints}
        return {"parts": (first,), "fingerprints": fingerprints, **SIZES}


__all__ = ["CONTACT_TIME", "MODEL", "Fleet", "RequestFleet"]
