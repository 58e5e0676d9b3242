"""Sends many large bodies at once to a host that is a process of its own, and measures its memory.

Usage: python -m tests._body_load BODIES [chunked | answers | unread]

Bodies are those of requests, and come back in the answers; with ``answers`` only those are large.
With ``unread`` they are streams whose callers read nothing.
"""

import asyncio
import collections
import contextlib
import pathlib
import sys
import tempfile
import typing

import aiohttp
from aiohttp import web

from ._partition import HostProcess
from ._platform import TOPIC_PREFIX, Endpoint, Store, config, serving
from ._processes import until

# As large as bodies may be, but for the path that an endpoint adds in its answer.
LARGE = 4 * 1024 * 1024 - 1_000
MEMORY_MB = 150
DEADLINE_MS = 30_000  # Ends no request, however slow the machine.
PIECE = 64 * 1024


UNREAD_S = 10.0  # Seconds for which streams are left unread.
EVENT = b"data: %b\n\n" % bytes(4_000).replace(b"\0", b"x")


class StreamingEndpoint(Endpoint):
    """An endpoint that answers requests of safe routes with a stream that does not end."""

    async def _request(self, req: web.Request) -> web.StreamResponse:
        if not req.path.startswith("/safe/"):
            return await super()._request(req)
        headers = {
            "X-Wasabiwick-Attempt-Id": req.headers["X-Wasabiwick-Attempt-Id"],
            "X-Wasabiwick-Response-Seal": f"seal-{self.name}",
            "Content-Type": "text/event-stream",
        }
        resp = web.StreamResponse(headers=headers)
        await resp.prepare(req)
        while True:
            await resp.write(EVENT)


class BodyLoad:
    """A store, two endpoints that answer with the body they got, and one host.

    Attributes:
        host: The host.
        endpoints: The endpoints.
    """

    def __init__(self) -> None:
        self.host: HostProcess | None = None
        self.endpoints = [StreamingEndpoint(name) for name in ("s0", "s1")]
        self._session: aiohttp.ClientSession | None = None
        self._requests = 0

    @contextlib.asynccontextmanager
    async def running(self) -> typing.AsyncIterator["BodyLoad"]:
        """Start all, wait until the host serves, and stop all at the end."""
        store = Store()
        async with contextlib.AsyncExitStack() as stack:
            for endpoint in self.endpoints:
                app = endpoint.app()
                endpoint.address = await stack.enter_async_context(serving(app, endpoint))
                await store.put(TOPIC_PREFIX + "servers", endpoint.name, endpoint.entry())
            routes = config()
            for route in routes["routes"]:
                route["timeout-ms"] = DEADLINE_MS
            await store.put(TOPIC_PREFIX + "op", "config", routes)
            address = await stack.enter_async_context(serving(store.app()))
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.host = HostProcess("host-a", "zone-a", self.endpoints)
            await self.host.prepare(address, folder)
            path = pathlib.Path(folder) / "host-a.toml"
            path.write_text(f"{path.read_text()}\n[limits]\nmemory-mb = {MEMORY_MB}\n")
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = await stack.enter_async_context(
                aiohttp.ClientSession(connector=connector)
            )
            await self.host.start()
            stack.push_async_callback(self.host.kill)
            await until(self._serves)
            yield self

    async def _serves(self) -> bool:
        return await self.send(b"") == 200

    async def send(self, body: bytes, *, chunked: bool = False) -> int:
        """Send a request; return its status, or 0 unless a success brings the whole body back."""
        self._requests += 1
        headers = {
            "Host": "example",
            "X-Wasabiwick-Attempt-Id": f"id{self._requests}",
            "X-Wasabiwick-Deadline-Ms": str(DEADLINE_MS),
        }
        data = _pieces(body) if chunked else body
        url = f"http://{self.host.callers}/unsafe/x"
        async with self._session.post(url, data=data, headers=headers) as resp:
            answer = await resp.read()
            if resp.status == 503 and not float(resp.headers["Retry-After"]) > 0:
                return 0
            padding = bytes(self.endpoints[0].padding)
            if resp.status == 200 and answer != b"/unsafe/x " + body + padding:
                return 0
            return resp.status

    async def leave_unread(self, path: str, *, seconds: float) -> asyncio.StreamWriter:
        """Send a request whose caller reads nothing, and return the open connection.

        Args:
            path: The request's path.
            seconds: The caller's deadline.
        """
        self._requests += 1
        host, _, port = self.host.callers.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.transport.pause_reading()
        writer.write(
            b"POST %b HTTP/1.1\r\nHost: example\r\nContent-Length: 0\r\n"
            b"X-Wasabiwick-Deadline-Ms: %d\r\nX-Wasabiwick-Attempt-Id: id%d\r\n\r\n"
            % (path.encode(), 1000 * seconds, self._requests)
        )
        return writer

    def memory_mb(self, name: str = "VmHWM") -> float:
        """Return the host's resident memory in MB: the most it had, or now (``VmRSS``)."""
        status = pathlib.Path(f"/proc/{self.host.proc.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith(name))
        return int(line.split()[1]) * 1024 / 1e6


async def _pieces(body: bytes) -> typing.AsyncIterator[bytes]:
    for start in range(0, len(body), PIECE):
        yield body[start : start + PIECE]


async def main(bodies: int, kind: str) -> None:
    """Print the memory at rest and at its peak, and how often each status came."""
    load = BodyLoad()
    async with load.running():
        for endpoint in load.endpoints:
            endpoint.answer_delay = 1.0
        rest = load.memory_mb()
        if kind == "unread":
            writers = [await load.leave_unread("/safe/x", seconds=60.0) for _ in range(bodies)]
            await asyncio.sleep(UNREAD_S)
            peak, now = load.memory_mb(), load.memory_mb("VmRSS")
            print(f"{bodies} unread streams: rest {rest:.0f} MB, peak {peak:.0f}, then {now:.0f}")
            for writer in writers:
                writer.close()
            return
        body = b"" if kind == "answers" else bytes(LARGE)
        if kind == "answers":
            for endpoint in load.endpoints:
                endpoint.padding = LARGE
        sent = [load.send(body, chunked=kind == "chunked") for _ in range(bodies)]
        large = await asyncio.gather(*sent, return_exceptions=True)
        statuses = collections.Counter(
            one if isinstance(one, int) else type(one).__name__ for one in large
        )
        peak = load.memory_mb()
        print(f"{bodies} {kind} bodies: rest {rest:.0f} MB, peak {peak:.0f} MB, {dict(statuses)}")


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), (*sys.argv[2:], "sized")[0]))
