"""Several hosts on a virtual clock, with endpoints that leave, start again and drop off the list.

The list lags, loses entries, goes back to an older state and is out of reach of some hosts; hosts
start again and lose datagrams. An endpoint that leaves says so in all its answers.
"""

import math
import random

from wasabiwick import _events
from wasabiwick._effects_forwarding import Forward, TellLoad
from wasabiwick._forwarding import Endpoint
from wasabiwick._handlers import directory

from ._forward import EPOCH, UNREACHABLE, Host, plain

STEP = 0.05  # Seconds between two moments at which anything happens.
SECONDS = 40.0  # Length of a run.
DRAIN_TIME = 2.0  # The users' bound: later requests must not reach an endpoint that said it leaves.
NAMES = ("s0", "s1", "s2", "s3")
HEARTBEAT = 1.2  # Seconds between two entries of one endpoint.
LOSS = 0.1  # Share of the datagrams that are lost.


class Server:
    """One start of an endpoint.

    Attributes:
        is_leaving: Whether its answers say that it leaves.
        lists_leaving: Whether its entries will say so too.
        silent_until: Time until which it writes no entries.
    """

    def __init__(self, *, name: str, born: int) -> None:
        self.name = name
        self.born = born
        self.is_leaving = False
        self.lists_leaving = False
        self.silent_until = 0.0

    def entry(self) -> Endpoint:
        """Return its entry of the list."""
        return plain(self.name, born=self.born, leaving=self.lists_leaving)


class LeavingFleet:
    """Hosts and endpoints, and which requests reached endpoints that had said that they leave.

    Attributes:
        late_sends: Host and endpoint of each request that broke the users' rule.
        sends: Number of requests that reached endpoints.
        signs: Number of answers that said that their endpoint leaves.
        returns: Starts that followed one that had said that it leaves, under the same name.
        served_returns: Those of them that got a request.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.due: list[tuple[float, int, object]] = []
        self.servers: dict[str, Server] = {}
        self.listed: dict[str, Endpoint] = {}
        self.copy: dict[str, Endpoint] = {}
        self.era = 0
        self.names = [f"h{number}" for number in range(self.rng.choice((1, 2, 4)))]
        self.hosts: dict[str, Host] = {}
        self.incarnations = dict.fromkeys(self.names, 0)
        self.seen = dict.fromkeys(self.names, 0)
        self.cut_until = dict.fromkeys(self.names, 0.0)
        self.arrived: dict[tuple[str, str], float] = {}
        self.said_at: dict[tuple[str, str, int], float] = {}
        self.late_sends: list[tuple[str, str]] = []
        self.sends = self.signs = 0
        self.trouble_rate = self.rng.choice((0.4, 1.0, 1.5))
        self.returns: set[tuple[str, int]] = set()
        self.served_returns: set[tuple[str, int]] = set()
        for name in self.names:
            self.start_host(name)
        for name in NAMES:
            self.start_server(name)

    def later(self, delay: float, act: object) -> None:
        """Do something after a delay."""
        self.due.append((self.now + delay, len(self.due), act))

    def unix_ms(self) -> int:
        """Return the time now in Unix milliseconds."""
        return int((EPOCH + self.now) * 1000)

    # --- Endpoints and their list ----------------------------------------------------------------

    def start_server(self, name: str) -> None:
        """Start an endpoint, under a name that may have been used before."""
        server = self.servers[name] = Server(name=name, born=self.unix_ms())
        self.beat(server)

    def beat(self, server: Server) -> None:
        """Let an endpoint write its entry, now and at intervals."""
        if self.servers.get(server.name) is not server:
            return
        if self.now >= server.silent_until:
            self.publish(server.name, server.entry())
        self.later(HEARTBEAT, lambda: self.beat(server))

    def publish(self, name: str, entry: Endpoint | None) -> None:
        """Change the list; hosts that reach it read that soon."""
        if entry is None:
            self.listed.pop(name, None)
        else:
            self.listed[name] = entry
        for host_name in self.names:
            if not self.is_cut(host_name):
                self.later(self.rng.uniform(0.0, 0.9), self.reader(host_name, name, entry))

    def reader(self, host_name: str, name: str, entry: Endpoint | None) -> object:
        """Return a function by which a host reads an entry, unless its path is cut by then."""
        run = self.incarnations[host_name], self.era

        def read() -> None:
            if self.is_cut(host_name) or run != (self.incarnations[host_name], self.era):
                return
            host = self.hosts[host_name]
            if entry is None:
                host.drop(name)
            else:
                host.read_list(entry)

        return read

    def drop(self, name: str, seconds: float) -> None:
        """Take an endpoint off the list for a while, as its entry expired or can't be read."""
        self.servers[name].silent_until = self.now + seconds
        self.publish(name, None)

    def leave(self, name: str) -> None:
        """Let an endpoint leave; it may start again under its name, or another one comes."""
        server = self.servers[name]
        if server.is_leaving:
            return
        server.is_leaving = True
        how = self.rng.choice(("listed", "late", "dropped", "never"))
        if how == "listed":
            server.lists_leaving = True
        elif how == "late":
            self.later(self.rng.uniform(1.0, 5.0), lambda: setattr(server, "lists_leaving", True))
        elif how == "dropped":
            self.drop(name, math.inf)
        self.later(DRAIN_TIME + self.rng.uniform(0.5, 6.0), lambda: self.end(server))

    def end(self, server: Server) -> None:
        """End an endpoint; it is back under its name after a while."""
        del self.servers[server.name]
        if self.rng.random() < 0.5:
            self.publish(server.name, None)
        self.later(self.rng.uniform(0.3, 3.0), lambda: self.restart(server))

    def restart(self, server: Server) -> None:
        """Start an endpoint again that has left."""
        self.start_server(server.name)
        self.returns.add((server.name, self.servers[server.name].born))

    # --- Hosts -----------------------------------------------------------------------------------

    def start_host(self, name: str) -> None:
        """Start a host, or start it again without what it knew."""
        self.incarnations[name] += 1
        self.hosts[name] = Host(name=name, at=self.now, endpoints=tuple(self.listed.values()))
        self.seen[name] = 0
        if self.is_cut(name):
            self.feed_changed(name, up=False)
        for key in [key for key in self.said_at if key[0] == name]:
            del self.said_at[key]
        for other in self.names:
            if other != name and other in self.hosts:
                for here, there in ((name, other), (other, name)):
                    found = {"host": there, "address": f"{there}:1", "zone": "z"}
                    self.hosts[here].feed(_events.HostFound, **found)

    def is_cut(self, name: str) -> bool:
        """Return whether a host has no path to the list."""
        return self.now < self.cut_until[name]

    def cut(self, name: str) -> None:
        """Cut a host off from the list for a while."""
        if self.is_cut(name):
            return
        seconds = self.rng.uniform(1.0, 15.0)
        self.cut_until[name] = self.now + seconds
        incarnation, era = self.incarnations[name], self.era
        self.feed_changed(name, up=False)

        def heal() -> None:
            if self.incarnations[name] != incarnation:
                return
            self.feed_changed(name, up=True)
            if self.era == era:
                self.hosts[name].read_list(*self.listed.values(), whole=True)
            else:
                self.hosts[name].restore_list(*self.listed.values())

        self.later(seconds + STEP, heal)

    def restore(self) -> None:
        """Let the list come back from its copy; hosts that reach it read all of it again."""
        self.era += 1
        self.listed = dict(self.copy)
        for name in self.names:
            if not self.is_cut(name):
                self.hosts[name].restore_list(*self.listed.values())

    def feed_changed(self, name: str, *, up: bool) -> None:
        """Let a host notice that it lost or regained the list."""
        self.hosts[name].feed(_events.FeedChanged, feed=directory.ENDPOINTS, up=up, why="")

    def carry_out(self) -> None:
        """Carry out the hosts' new effects."""
        for name in self.names:
            host = self.hosts[name]
            while self.seen[name] < len(host.effects):
                effect = host.effects[self.seen[name]]
                self.seen[name] += 1
                if isinstance(effect, TellLoad):
                    self.tell(name, effect)
                elif isinstance(effect, Forward):
                    self.reach(name, host, effect)

    def tell(self, name: str, effect: TellLoad) -> None:
        """Deliver a datagram, late or not at all."""
        incarnation = str(self.incarnations[name])
        for other in self.names:
            if other != name and self.rng.random() >= LOSS:
                self.later(
                    self.rng.choice((0.0, 0.0, 3.0)),
                    lambda other=other: self.hosts[other].hear(
                        name, effect, incarnation=incarnation
                    ),
                )

    def reach(self, name: str, host: Host, effect: Forward) -> None:
        """Let a request reach an endpoint, and answer it later."""
        server = self.servers.get(effect.endpoint)
        if server is None:
            host.fail(effect.call_id, UNREACHABLE)
            return
        self.sends += 1
        key = (name, server.name, server.born)
        if self.arrived[name, effect.call_id] > self.said_at.get(key, self.now) + DRAIN_TIME:
            self.late_sends.append((name, server.name))
        if key[1:] in self.returns:
            self.served_returns.add(key[1:])
        sent_at = self.now
        self.later(
            self.rng.uniform(0.02, 0.8), lambda: self.answer(key, host, effect.call_id, sent_at)
        )

    def answer(self, key: tuple[str, str, int], host: Host, call: str, sent_at: float) -> None:
        """Let an endpoint answer, unless it has ended."""
        name, endpoint, born = key
        if self.hosts[name] is not host or not host.is_open(call):
            return
        server = self.servers.get(endpoint)
        if server is None or server.born != born:
            host.fail(call, UNREACHABLE)
            return
        if server.is_leaving:
            self.signs += 1
            self.said_at.setdefault(key, self.now)
            host.feed(_events.EndpointLeaving, endpoint=endpoint, sent_at=sent_at)
        host.answer(call)
        host.feed(_events.ForwardAnswered, call_id=call)

    # --- Callers and troubles --------------------------------------------------------------------

    def send(self) -> None:
        """Let a caller send a request to any host."""
        name = self.rng.choice(self.names)
        self.arrived[name, self.hosts[name].ask("safe")] = self.now

    def trouble(self) -> None:
        """Let an endpoint leave, entries drop off or come back, or a host be cut or start again."""
        kind = self.rng.choice(
            ("leave", "leave", "drop", "drop", "stale", "restore", "cut", "restart")
        )
        if kind == "leave":
            self.leave(self.rng.choice(list(self.servers)))
        elif kind == "drop":
            self.drop(self.rng.choice(list(self.servers)), self.rng.uniform(0.0, 5.0))
        elif kind == "restore":
            self.restore()
        elif kind == "stale":
            for name, entry in self.copy.items():
                self.publish(name, entry)
        elif kind == "cut":
            self.cut(self.rng.choice(self.names))
        else:
            self.start_host(self.rng.choice(self.names))

    def run(self) -> "LeavingFleet":
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
            if self.rng.random() < 0.1 * STEP:
                self.copy = dict(self.listed)
            if self.rng.random() < 15.0 * STEP:
                self.send()
            if self.servers and self.rng.random() < self.trouble_rate * STEP:
                self.trouble()
            self.carry_out()
        return self
