"""Base of the stand-in servers: process start, JSON responses, and faults over ``/control``."""

import asyncio
import signal
import typing

import msgspec
import uvloop
from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 0.2
SILENCE_POLL_S = 0.1  # Interval between checks whether the peer closed a silent connection.


def knob(kind: type, text: str) -> typing.Any:
    """Annotate a field of `Knobs` with the help text that the command line shows."""
    return typing.Annotated[kind, msgspec.Meta(description=text)]


class Knobs(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Sizes, rates and faults of a stand-in; set on the command line and by ``POST /control``."""

    delay: knob(float, "Seconds before each answer.") = 0.0
    refuse: knob(bool, "Answer everything with 503.") = False
    silent: knob(bool, "Accept calls and never answer.") = False
    silence_open: knob(bool, "Silence the connections that are open now, permanently.") = False


class StandIn:
    """Base class of all stand-ins.

    Args:
        name: Name of the process, as in the host list.
        knobs: Sizes, rates and faults.
    """

    knobs_type: type[Knobs] = Knobs

    def __init__(self, *, name: str, knobs: Knobs) -> None:
        self.name = name
        self.knobs = knobs
        self.address = ""
        self._connections: set[web.RequestHandler] = set()
        self._silenced: set[web.RequestHandler] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes other than ``/control``."""
        raise NotImplementedError

    def state(self) -> dict[str, typing.Any]:
        """Return what ``GET /control`` shows in addition to the knobs."""
        return {}

    def on_knobs_changed(self, before: Knobs) -> None:
        """Apply new knobs; ``before`` holds the previous ones."""

    async def start(self) -> None:
        """Start background work, once the address is known."""

    async def close(self) -> None:
        """Stop background work."""

    def is_silenced(self, request: web.Request) -> bool:
        """Return whether the request's connection has gone silent."""
        return self.knobs.silent or request.protocol in self._silenced

    async def wait_while_silenced(self, request: web.Request) -> None:
        """Wait while the request's connection is silent, until the peer closes it."""
        while request.transport is not None and self.is_silenced(request):
            await _pause()

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [web.get("/control", self._show_control), web.post("/control", self._set_control)]
        )
        app.add_routes(self.routes())
        return app

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: typing.Any) -> web.StreamResponse:
        if request.path == "/control":
            return await handler(request)
        self._connections.add(request.protocol)
        if self.knobs.delay:
            await asyncio.sleep(self.knobs.delay)
        await self.wait_while_silenced(request)
        if self.knobs.refuse:
            return error_response(503, f'"{self.name}" refuses all calls')
        response = await handler(request)
        await self.wait_while_silenced(request)
        return response

    async def _show_control(self, request: web.Request) -> web.Response:
        return json_response({"name": self.name, **msgspec.to_builtins(self.knobs), **self.state()})

    async def _set_control(self, request: web.Request) -> web.Response:
        before = self.knobs
        try:
            fields = msgspec.json.decode(await request.read(), type=dict[str, typing.Any])
            fields = {**msgspec.to_builtins(before), **fields}
            self.knobs = msgspec.convert(fields, type(before))
        except msgspec.MsgspecError as exc:
            return error_response(400, str(exc))
        self._connections = {one for one in self._connections if one.transport is not None}
        self._silenced &= self._connections
        if self.knobs.silence_open:
            self._silenced |= self._connections
            self.knobs.silence_open = False
        self.on_knobs_changed(before)
        return await self._show_control(request)


registry: dict[str, type[StandIn]] = {}


def stand_in(name: str) -> typing.Callable[[type[StandIn]], type[StandIn]]:
    """Register a stand-in under its name on the command line."""

    def register(cls: type[StandIn]) -> type[StandIn]:
        registry[name] = cls
        return cls

    return register


def json_response(value: typing.Any, status: int = 200) -> web.Response:
    """Build a JSON response."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )


def error_response(status: int, text: str) -> web.Response:
    """Build a JSON error response."""
    return json_response({"error": text}, status)


async def _pause() -> None:
    await asyncio.sleep(SILENCE_POLL_S)


async def decode_body(request: web.Request, kind: type) -> typing.Any:
    """Decode a request's JSON body.

    Raises:
        web.HTTPBadRequest: If the body does not decode to ``kind``.
    """
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as exc:
        raise web.HTTPBadRequest(text=str(exc)) from None


async def serve(server: StandIn, port: int) -> None:
    """Serve a stand-in on a loopback port until SIGTERM or SIGINT."""
    runner = web.AppRunner(server.app(), access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    server.address = f"http://127.0.0.1:{runner.addresses[0][1]}"
    await server.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    print(f"event=listening name={server.name} address={server.address}", flush=True)
    await stop.wait()
    await server.close()
    await runner.cleanup()


def run(server: StandIn, port: int) -> None:
    """Run a stand-in in this process until SIGTERM or SIGINT."""
    uvloop.run(serve(server, port))
