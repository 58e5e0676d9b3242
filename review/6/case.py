"""Streams are joined from two versions after hosts restarted in turn and one was cut off."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys
import time

import msgspec

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lab2 import (  # noqa: E402
    OPERATOR,
    SERVERS,
    TOPIC_PREFIX,
    Engine,
    Host,
    Lab,
    PartStore,
    StreamCall,
    config,
    run,
)

from tests._partition import HANGS, Link  # noqa: E402
from tests._platform import serving  # noqa: E402

HOSTS = TOPIC_PREFIX + "hosts"
CALLS = 40
PARTS = os.environ.get("PARTS", "roll cut").split()  # One of them alone is a control.
CUT_S = 7.0
DRAIN_S = 3.2  # `drain-ms` is 3,000; an engine serves a little longer.
ADDRESS = 3  # Place of the sender's address in a datagram that tells a load.


class Path(asyncio.DatagramProtocol):
    """The path of datagrams from one host to another; the receiver answers over the way back."""

    def __init__(self, net: "Net", sender: Host, receiver: Host) -> None:
        self.net, self.sender, self.receiver = net, sender, receiver
        self.hops: Link | None = None
        self.port = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a load on, unless one of the two hosts is cut off."""
        if self.net.is_cut(self.sender, self.receiver):
            return
        rows = msgspec.msgpack.decode(data)
        if isinstance(rows, list):
            rows[ADDRESS] = f"127.0.0.1:{self.net.paths[self.receiver, self.sender].port}"
            target = (self.receiver.ip, self.receiver.internal)
            self.transport.sendto(msgspec.msgpack.encode(rows), target)


class View(dict):
    """Topics of the store as one host reads them, with paths to the other hosts."""

    def __init__(self, net: "Net", reader: Host) -> None:
        super().__init__()
        self.net, self.reader = net, reader

    def get(self, topic: str, default: object = None) -> object:
        """Return a topic's records."""
        records = self.net.lab.store.topics.get(topic, default)
        if topic != HOSTS or not records:
            return records
        return [(key, self._rewritten(key, value)) for key, value in records]

    def setdefault(self, topic: str, default: object = None) -> object:
        """Return a topic's records as they are, for writing."""
        return self.net.lab.store.topics.setdefault(topic, default)

    def _rewritten(self, key: str, value: bytes) -> bytes:
        path = self.net.paths.get((self.reader, self.net.named(key)))
        if not value or path is None:
            return value
        found = msgspec.json.decode(value)
        found["address"] = f"127.0.0.1:{path.port}"
        found["hops"] = f"127.0.0.1:{path.hops.port}"
        return msgspec.json.encode(found)


class Net:
    """Paths between hosts, and from each host to the store, which can be cut for one host."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.cut: Host | None = None
        self.paths: dict[tuple[Host, Host], Path] = {}
        self.views: dict[Host, PartStore] = {}

    def named(self, name: str) -> Host | None:
        """Return the host of a name."""
        return next((one for one in self.lab.hosts if one.name == name), None)

    def is_cut(self, *hosts: Host) -> bool:
        """Return whether any of some hosts is cut off."""
        return self.cut in hosts

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Open all paths, before the hosts start."""
        loop = asyncio.get_running_loop()
        for sender in self.lab.hosts:
            view = self.views[sender] = PartStore()
            view.topics = View(self, sender)
            view._changed = self.lab.store._changed
            sender.store = await stack.enter_async_context(serving(view.app()))
            for receiver in self.lab.hosts:
                if receiver is sender:
                    continue
                path = self.paths[sender, receiver] = Path(self, sender, receiver)
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind(("127.0.0.1", 0))
                transport, _ = await loop.create_datagram_endpoint(
                    lambda path=path: path, sock=sock
                )
                stack.callback(transport.close)
                path.hops = Link(f"{receiver.ip}:{receiver.internal}")
                await path.hops.open()
                stack.push_async_callback(path.hops.close)

    async def cut_off(self, host: Host) -> None:
        """Cut a host off from the store and from all other hosts."""
        self.cut = host
        self.views[host].fault = "silent"
        for pair, path in self.paths.items():
            if host in pair:
                await path.hops.cut(HANGS)
        self.lab.note(f"{host.name} is cut off from the store and the other hosts")

    async def heal(self) -> None:
        """Let all paths work again."""
        host, self.cut = self.cut, None
        self.views[host].fault = ""
        for pair, path in self.paths.items():
            if host in pair:
                await path.hops.heal()
        self.lab.note(f"{host.name} reaches all again")


async def roll(lab: Lab) -> None:
    """Stop the hosts and start them again, one after the other."""
    for host in lab.hosts:
        host.signal(signal.SIGTERM)
        await host.proc.wait()
        await host.start()
        await host.ready()
        lab.note(f"{host.name} has been stopped and started as planned")


async def drain(lab: Lab, engine: Engine) -> None:
    """Let an engine leave as planned."""
    engine.says_leaving = engine.holds_beat = True
    await lab.store.put(SERVERS, engine.name, engine.record(state="draining"))
    await asyncio.sleep(DRAIN_S)
    engine.is_gone = True
    await engine.end()
    await lab.store.put(SERVERS, engine.name, None)
    lab.note(f"engine {engine.name} has left as planned")


async def main() -> int:
    """Play the case; returns 1 if ORDER is broken."""
    async with Lab(pathlib.Path(__file__).parent) as lab, contextlib.AsyncExitStack() as stack:
        await lab.store.put(OPERATOR, "config", config())
        for name, stage in (
            ("p1", "prefill"),
            ("p2", "prefill"),
            ("d1", "decode"),
            ("d2", "decode"),
        ):
            await lab.add_engine(Engine(name, stage))
        for name in ("s1", "s2"):
            await lab.add_engine(Engine(name, ""))
        net = Net(lab)
        lab.hosts = [Host(lab, f"edge-{one}", f"zone-{'abc'[one]}") for one in range(3)]
        await net.open(stack)
        for host in lab.hosts:
            await host.start()
        await lab.all_ready()
        await asyncio.sleep(2.0)
        if "roll" in PARTS:
            await roll(lab)
        rolled_at = time.monotonic()
        # A release begins: its first engines come. It is taken back soon.
        new = [await lab.add_engine(Engine(f"n{one}", "decode", version="2")) for one in (1, 2)]
        for engine in lab.engines.values():
            engine.events, engine.pace = 60, 0.1
        await asyncio.sleep(1.8)
        alone, *others = lab.hosts
        is_cut = lab.trouble and "cut" in PARTS
        if is_cut:
            await net.cut_off(alone)
        cut_at = time.monotonic()
        await asyncio.sleep(0.3)
        calls = [StreamCall(number) for number in range(CALLS)]
        tasks = []
        leaving: list[asyncio.Task] = []
        for call in calls:
            # Its clients still reach the host. They take up a stream at other ones.
            hosts = [alone, others[call.number % 2], others[1 - call.number % 2]]
            tasks.append(asyncio.create_task(lab.stream(call, hosts, tries=3)))
            await asyncio.sleep(0.04)
            if call.number == CALLS - 6:
                leaving = [asyncio.create_task(drain(lab, engine)) for engine in new]
        await asyncio.gather(*leaving)
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        if is_cut:
            await net.heal()
        await asyncio.gather(*tasks)
        lab.note(f"{time.monotonic() - rolled_at:.1f} s since the last planned start")
        lab.note_calls(calls)
        joined = [call for call in calls if len(call.versions) > 1]
        resumed = [call for call in calls if len(call.trail) > 1 and call.ended]
        lab.note(f"{len(resumed)} streams went on at another attempt, {len(joined)} are joined")
        lab.note("ORDER is broken" if len(joined) > 2 else "ORDER holds")
        return int(len(joined) > 2)


run(main)
