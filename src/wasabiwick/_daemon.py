"""Daemon of an entry host: a runner, its adapters, and two listeners."""

import asyncio
import secrets
import ssl

import aiohttp
from aiohttp import web

from . import (
    _adapters,
    _performers,  # noqa: F401 - registers the performers
    _signals,
)
from ._caller_server import CallerRunner
from ._entry import Entry
from ._logging import keep_flushing, log_event
from ._peer_server import PeerServer
from ._runner import Ports, Runner
from ._settings import Settings
from ._tls import TlsFiles
from ._trace import TraceWriter
from ._wire import Owner

INCARNATION_BYTES = 6
SEED_BITS = 32


class Daemon:
    """One entry host in one process.

    Args:
        cfg: The host's settings.
    """

    __slots__ = (
        "_cfg",
        "_sessions",
        "_servers",
        "_tls",
        "_trace",
        "runner",
        "callers_url",
        "peers_url",
    )

    def __init__(self, *, cfg: Settings) -> None:
        self._cfg = cfg
        self._tls = TlsFiles(cfg.tls) if cfg.tls else None
        self._trace: TraceWriter | None = None
        self._sessions: list[aiohttp.ClientSession] = []
        self._servers: list[web.AppRunner] = []
        self.runner: Runner | None = None
        self.callers_url = ""
        self.peers_url = ""

    async def start(self) -> None:
        """Open the listeners and start the reducer."""
        owner = Owner(host=self._cfg.host, incarnation=secrets.token_hex(INCARNATION_BYTES))
        self.runner = Runner(
            cfg=self._cfg, ports=self._ports(), owner=owner, seed=secrets.randbits(SEED_BITS)
        )
        if self._cfg.trace:
            self._start_trace()
        entry = Entry(runner=self.runner).app()
        peers = PeerServer(runner=self.runner).app()
        listen, tls = self._cfg.listen, self._tls
        callers_server = CallerRunner(entry, limits=self._cfg.limits)
        peers_server = web.AppRunner(peers, handler_cancellation=True, access_log=None)
        self.callers_url = await self._serve(callers_server, listen.callers, tls and tls.callers)
        self.peers_url = await self._serve(peers_server, listen.peers, tls and tls.peers)
        if tls:
            self.runner.spawn("tls", tls.watch())
        self.runner.start()
        self.runner.spawn("logs", keep_flushing())

    async def stop(self) -> None:
        """Close the listeners, the runner and the client sessions."""
        for server in self._servers:
            await server.cleanup()
        await self.runner.close()
        for session in self._sessions:
            await session.close()
        if self._trace:
            self._trace.close()

    def _start_trace(self) -> None:
        """Start to write each event with its effects to the trace file."""
        trace = TraceWriter(self._cfg.trace, self._cfg, limit_bytes=self._cfg.trace_bytes)
        self.runner.events.subscribe(on_next=lambda step: trace.record(*step))
        self._trace = trace

    def _ports(self) -> Ports:
        timing = self._cfg.timing
        pooled = self._session(aiohttp.TCPConnector(limit=0, keepalive_timeout=30))
        unpooled = self._session(aiohttp.TCPConnector(limit=0, force_close=True))
        platform = self._cfg.platform
        return Ports(
            clock=_adapters.SystemClock(),
            engine=_adapters.HttpEngine(session=pooled, timing=timing),
            host_list=_adapters.HttpHostList(session=pooled, address=platform.hosts, timing=timing),
            log=_adapters.HttpLogService(session=pooled, address=platform.log, timing=timing),
            peer=_adapters.HttpPeer(session=pooled, timing=timing, tls=self._tls),
            service=_adapters.HttpService(session=unpooled, timing=timing),
        )

    def _session(self, connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._cfg.timing.connect)
        session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._sessions.append(session)
        return session

    async def _serve(self, server: web.AppRunner, address: str, tls: ssl.SSLContext | None) -> str:
        host, _, port = address.rpartition(":")
        await server.setup()
        site = web.TCPSite(server, host.strip("[]"), int(port), ssl_context=tls)
        await site.start()
        self._servers.append(server)
        scheme = "https" if tls else "http"
        return f"{scheme}://{host}:{server.addresses[0][1]}"


async def serve(cfg: Settings) -> None:
    """Run an entry host until it has shut down gracefully.

    Args:
        cfg: The host's settings.
    """
    if _signals.stop_asked():
        log_event("stopped_before_listening", host=cfg.host)
        return
    daemon = Daemon(cfg=cfg)
    try:
        await daemon.start()
        await _until_ended(daemon, cfg)
    finally:
        await daemon.stop()
    log_event("stopped", host=cfg.host, incarnation=daemon.runner.owner.incarnation)


async def _until_ended(daemon: Daemon, cfg: Settings) -> None:
    runner = daemon.runner
    log_event(
        "listening",
        host=cfg.host,
        incarnation=runner.owner.incarnation,
        callers=daemon.callers_url,
        peers=daemon.peers_url,
    )
    _signals.hand_over(
        asyncio.get_running_loop(),
        stop=runner.stop,
        reload=lambda: log_event("reload_ignored", level="WARNING", host=cfg.host),
    )
    await runner.ended.wait()
