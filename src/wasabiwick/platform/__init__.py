"""Adapter to the users' platform: its settings, headers, records and calls.

This package only translates between the platform and this product; the event handlers make all
decisions.
"""

import asyncio
import time

from .._endpoint_signs import EndpointSigns
from .._events import StoreRestored
from .._feed import Feed
from .._forward_daemon import serve
from .._runner import Runner
from .._settings import Settings
from . import _names
from ._endpoints import PlatformDialect, PlatformEndpoints
from ._feeds import (
    ENDPOINTS_POLL_WAIT_S,
    FINDINGS_PAUSE_S,
    FINDINGS_POLL_WAIT_S,
    ROUTES_POLL_WAIT_S,
    StoreHostRegister,
    decode_endpoints,
    decode_findings,
    decode_routes,
    listed_content,
)
from ._records import ENTRIES
from ._settings import SettingsError, file_stamp, load, metrics_address
from ._store import Store

SETTINGS_VARIABLE = "WASABIWICK_CONFIG"  # Environment variable with the path of the settings file.


class PlatformDeployment:
    """Adapters of one host to the platform: to its store, its endpoints and its callers.

    Args:
        path: The settings file.
        cfg: The settings read from that file.
    """

    __slots__ = ("dialect", "endpoints", "register", "_store", "_path", "_stamp")

    def __init__(self, path: str, cfg: Settings) -> None:
        self._path = path
        self._stamp = file_stamp(path)
        self._store = Store(cfg.platform.log)
        self.dialect = PlatformDialect()
        self.endpoints = PlatformEndpoints(time.monotonic)
        self.register = StoreHostRegister(self._store)

    async def follow(self, runner: Runner) -> None:
        """Follow routes, endpoints and findings in the store, and post each change as an event."""
        self.endpoints.listen(EndpointSigns(runner))
        self._store.on_restored(lambda era: runner.post(StoreRestored(at=runner.now(), era=era)))
        routes = Feed(
            store=self._store,
            name="routes",
            topic=_names.OPERATOR_TOPIC,
            decode=decode_routes,
            wait=ROUTES_POLL_WAIT_S,
            newest_only=True,
        )
        endpoints = Feed(
            store=self._store,
            name="endpoints",
            topic=_names.SERVERS_TOPIC,
            decode=decode_endpoints,
            wait=ENDPOINTS_POLL_WAIT_S,
            pause=runner.cfg.forwarding.list_pause,
            content=listed_content,
            is_short=True,
        )
        findings = Feed(
            store=self._store,
            name="findings",
            topic=_names.FINDINGS_TOPIC,
            decode=decode_findings,
            wait=FINDINGS_POLL_WAIT_S,
            pause=FINDINGS_PAUSE_S,
        )
        await asyncio.gather(routes.run(runner), endpoints.run(runner), findings.run(runner))

    def changed(self) -> bool:
        """Return whether the settings file has changed since it was last read."""
        return file_stamp(self._path) != self._stamp

    def settings(self) -> Settings:
        """Read the settings file again."""
        self._stamp = file_stamp(self._path)
        return load(self._path)

    async def close(self) -> None:
        """Close all connections."""
        self.endpoints.close()
        await self._store.close()


async def run(path: str, cfg: Settings) -> None:
    """Run a host on the platform until it has shut down gracefully.

    Args:
        path: The settings file.
        cfg: Settings that `load` has read from that file.
    """
    await serve(cfg, PlatformDeployment(path, cfg), metrics=metrics_address(cfg))


__all__ = ["ENTRIES", "SETTINGS_VARIABLE", "PlatformDeployment", "SettingsError", "load", "run"]
