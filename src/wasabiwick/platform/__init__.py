"""The users' platform: its names, formats and calls, and nothing that decides."""

import asyncio
import time

from .._forward_daemon import serve
from .._runner import Runner
from .._settings import Settings
from . import _names
from ._endpoints import Callers, PlatformEndpoints
from ._feeds import (
    ENDPOINTS_PAUSE,
    ENDPOINTS_WAIT,
    ROUTES_WAIT,
    Feed,
    Register,
    endpoints_read,
    routes_read,
)
from ._settings import SettingsError, load, metrics_address, stamp
from ._store import Store

SETTINGS_VARIABLE = "WASABIWICK_CONFIG"  # Environment variable that holds the settings' path.


class PlatformDeployment:
    """The platform's store, endpoints and callers, as a host meets them.

    Args:
        path: The settings file.
        cfg: The settings that were read from it.
    """

    __slots__ = ("dialect", "endpoints", "register", "_store", "_path", "_stamp")

    def __init__(self, path: str, cfg: Settings) -> None:
        self._path = path
        self._stamp = stamp(path)
        self._store = Store(cfg.platform.log)
        self.dialect = Callers()
        self.endpoints = PlatformEndpoints(time.monotonic)
        self.register = Register(self._store)

    async def follow(self, runner: Runner) -> None:
        """Keep routes and endpoints coming as events."""
        routes = Feed(
            store=self._store,
            name="routes",
            topic=_names.OPERATOR_TOPIC,
            decode=routes_read,
            wait=ROUTES_WAIT,
        )
        endpoints = Feed(
            store=self._store,
            name="endpoints",
            topic=_names.SERVERS_TOPIC,
            decode=endpoints_read,
            wait=ENDPOINTS_WAIT,
            pause=ENDPOINTS_PAUSE,
        )
        await asyncio.gather(routes.run(runner), endpoints.run(runner))

    def changed(self) -> bool:
        """Tell whether the settings file has changed since it was read last."""
        return stamp(self._path) != self._stamp

    def settings(self) -> Settings:
        """Read the settings file again."""
        self._stamp = stamp(self._path)
        return load(self._path)

    async def close(self) -> None:
        """Close all connections."""
        self.endpoints.close()
        await self._store.close()


async def run(path: str, cfg: Settings) -> None:
    """Run a host on the platform until it has shut down gracefully.

    Args:
        path: The settings file.
        cfg: Settings that `load` has read from it.
    """
    await serve(cfg, PlatformDeployment(path, cfg), metrics=metrics_address(cfg))


__all__ = ["SETTINGS_VARIABLE", "PlatformDeployment", "SettingsError", "load", "run"]
