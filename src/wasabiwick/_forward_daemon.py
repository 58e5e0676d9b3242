"""Daemon of a forwarding host: a runner, its adapters, and the listeners."""

import asyncio
import secrets
import typing

from aiohttp import web

from . import (
    _performers,  # noqa: F401 - registers the performers
    _signals,
)
from ._adapters._clock import SystemClock
from ._adapters._datagrams import UdpDatagrams
from ._adapters._hops import HostHops
from ._body_memory import BodyMemory
from ._events import AnswersUnread, ForwarderBooted, SettingsRead
from ._forward_entry import ForwardEntry
from ._forwarding import UnreadAnswer
from ._handlers.host import in_flight, stop_by
from ._hop_entry import HopEntry
from ._idle_connections import close_idle
from ._logging import keep_flushing, log_event
from ._ports import Dialect, Endpoints, HostRegister
from ._read_turns import ReadTurns
from ._runner import Ports, Runner
from ._settings import Settings
from ._unread import UnreadAnswers
from ._wire import Owner

if typing.TYPE_CHECKING:
    from ._trace import TraceWriter

INCARNATION_BYTES = 6
SEED_BITS = 32
SETTINGS_POLL_INTERVAL = 1.0  # Seconds between checks whether the settings file has changed.
LAST_CHECK_INTERVAL = 0.02  # Seconds between checks whether the last requests are answered.
CLOSE_TIMEOUT = 0.1  # Seconds that a shutdown gives connections to close after the last answer.


class Deployment(typing.Protocol):
    """What a kind of deployment provides: adapters to its outside systems, and settings."""

    dialect: Dialect
    endpoints: Endpoints
    register: HostRegister

    def follow(self, runner: Runner) -> typing.Coroutine:
        """Return the coroutine that posts each change of routes and endpoints as an event."""

    def changed(self) -> bool:
        """Return whether the settings may have changed since they were last read."""

    def settings(self) -> Settings:
        """Read the settings again; if they are not valid, raises a one-line `ValueError`."""

    async def close(self) -> None:
        """Close all connections."""


class ForwardDaemon:
    """One forwarding host in one process.

    Args:
        cfg: The host's settings.
        deployment: Adapters to outside systems.
        metrics: Address for metrics as ``host:port``, or empty.

    Attributes:
        runner: The host's runner, once started.
        callers: Address of the listener for callers.
        ready: Address that reports whether the host accepts callers.
    """

    __slots__ = (
        "_cfg",
        "_deployment",
        "_metrics",
        "_servers",
        "_entry",
        "_datagrams",
        "_hops",
        "_trace",
        "runner",
        "callers",
        "ready",
    )

    def __init__(self, *, cfg: Settings, deployment: Deployment, metrics: str = "") -> None:
        self._cfg = cfg
        self._deployment = deployment
        self._metrics = metrics
        self._servers: list[web.ServerRunner] = []
        self._entry: ForwardEntry | None = None
        self._datagrams: UdpDatagrams | None = None
        self._hops: HostHops | None = None
        self._trace: TraceWriter | None = None
        self.runner: Runner | None = None
        self.callers = ""
        self.ready = ""

    async def start(self) -> None:
        """Open the listeners and start the reducer."""
        cfg, deployment = self._cfg, self._deployment
        self._datagrams = UdpDatagrams(cfg.forwarding.datagrams)
        clock = SystemClock()
        self._hops = HostHops(clock.monotonic, dialect=deployment.dialect)
        ports = Ports(
            clock=clock,
            endpoints=deployment.endpoints,
            datagrams=self._datagrams,
            register=deployment.register,
            hops=self._hops,
            turns=ReadTurns(cfg.forwarding.read_silence),
        )
        owner = Owner(host=cfg.host, incarnation=secrets.token_hex(INCARNATION_BYTES))
        self.runner = Runner(cfg=cfg, ports=ports, owner=owner, seed=secrets.randbits(SEED_BITS))
        if cfg.trace:
            # Imported only if used: it imports the checks of settings files, and many modules more.
            from ._trace import TraceWriter

            self._trace = TraceWriter(cfg.trace, cfg, limit_bytes=cfg.trace_bytes)
            self.runner.events.subscribe(on_next=lambda step: self._trace.record(*step))
        requests = BodyMemory(cfg.limits.request_bodies_bytes)
        answers = BodyMemory(cfg.limits.answer_bodies_bytes)
        unread = UnreadAnswers(
            limit_bytes=cfg.limits.unread_answers_bytes,
            clock=self.runner.now,
            report=self._report_unread,
        )
        entry, passed = (
            kind(
                runner=self.runner,
                dialect=deployment.dialect,
                max_body_bytes=cfg.limits.max_body_bytes,
                requests=requests,
                answers=answers,
                unread=unread,
            )
            for kind in (ForwardEntry, HopEntry)
        )
        self._entry = entry
        await self._datagrams.open(self.runner)
        self._hops.address = await self._serve(passed.app(), cfg.forwarding.hops)
        self.callers = await self._serve(entry.server(), cfg.listen.callers)
        self.ready = await self._serve(entry.ready_server(), cfg.forwarding.ready)
        if self._metrics:
            await self._serve(entry.metrics_server(), self._metrics)
        self.runner.start(ForwarderBooted)
        self.runner.spawn("follow", deployment.follow(self.runner))
        self.runner.spawn("settings", self._watch_settings())
        self.runner.spawn("logs", keep_flushing())

    def reload(self) -> None:
        """Reload the settings; if they are not valid, log that and keep the old ones."""
        try:
            cfg = self._deployment.settings()
        except ValueError as exc:
            log_event("settings_unusable", level="ERROR", error=str(exc))
            return
        self.runner.post(
            SettingsRead(
                at=self.runner.now(),
                drain=cfg.timing.drain,
                stop_notice=cfg.timing.stop_notice,
                retry_ratio=cfg.forwarding.retry_ratio,
                retry_slack=cfg.forwarding.retry_slack,
                retry_window=cfg.forwarding.retry_window,
                limit_window=cfg.forwarding.limit_window,
                limit_overshoot=cfg.forwarding.limit_overshoot,
                limit_slack=cfg.forwarding.limit_slack,
            )
        )

    def _report_unread(self, answers: tuple[UnreadAnswer, ...]) -> None:
        limit_bytes = self._cfg.limits.unread_answers_bytes
        event = AnswersUnread(at=self.runner.now(), answers=answers, limit_bytes=limit_bytes)
        self.runner.post(event)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL)
            if self._deployment.changed():
                self.reload()

    async def finish_requests(self) -> None:
        """Accept no connection any more, and wait for the answers to requests that were begun.

        Some may have come since the reducer found no work in flight, and some callers still send
        theirs. The wait ends with the time that the platform allows for a graceful shutdown; a
        request that was not read to its end by then is refused.
        """
        for server in self._servers:
            for site in server.sites:
                await site.stop()
        # A connection that was accepted just before is known to its server a little later.
        await asyncio.sleep(LAST_CHECK_INTERVAL)
        runner = self.runner
        while runner.now() < stop_by(runner.state):
            in_use = sum(close_idle(server.server) for server in self._servers)
            if not (in_use or in_flight(runner.state)):
                return
            await asyncio.sleep(LAST_CHECK_INTERVAL)
        uploads = self._entry.refuse_uploads()
        await asyncio.sleep(LAST_CHECK_INTERVAL)
        for server in self._servers:
            close_idle(server.server)
        log_event(
            "requests_cut_off",
            level="WARNING",
            requests=self._entry.open_requests,
            uploads_refused=uploads,
        )

    async def stop(self) -> None:
        """Close the listeners, the runner and the adapters."""
        # Side by side, as each may wait twice for `CLOSE_TIMEOUT`.
        await asyncio.gather(*(server.cleanup() for server in self._servers))
        if self.runner:
            await self.runner.close()
        if self._datagrams:
            self._datagrams.close()
        if self._hops:
            self._hops.close()
        await self._deployment.close()
        if self._trace:
            self._trace.close()

    async def _serve(self, server: web.Server | web.Application, address: str) -> str:
        host, _, port = address.rpartition(":")
        if isinstance(server, web.Application):
            server_runner = web.AppRunner(
                server,
                handler_cancellation=True,
                access_log=None,
                shutdown_timeout=CLOSE_TIMEOUT,
            )
        else:
            server_runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT)
        await server_runner.setup()
        await web.TCPSite(server_runner, host, int(port), backlog=512).start()
        self._servers.append(server_runner)
        return "{}:{}".format(*server_runner.addresses[0][:2])


async def serve(cfg: Settings, deployment: Deployment, *, metrics: str = "") -> None:
    """Run a forwarding host until it has shut down gracefully.

    Args:
        cfg: The host's settings.
        deployment: Adapters to outside systems.
        metrics: Address for metrics as ``host:port``, or empty.
    """
    daemon = ForwardDaemon(cfg=cfg, deployment=deployment, metrics=metrics)
    try:
        if _signals.stop_asked():
            log_event("stopped_before_listening", host=cfg.host)
            return
        await daemon.start()
        runner = daemon.runner
        log_event(
            "listening",
            host=cfg.host,
            incarnation=runner.owner.incarnation,
            callers=daemon.callers,
            hops=runner.ports.hops.address,
            zone=cfg.zone,
        )
        _signals.hand_over(
            asyncio.get_running_loop(),
            stop=runner.stop,
            reload=daemon.reload,
        )
        await runner.ended.wait()
        await daemon.finish_requests()
    finally:
        await daemon.stop()
    log_event("stopped", host=cfg.host)
