"""What all stand-ins share: process start, JSON answers and faults over ``/control``."""

import asyncio
import signal
import typing

import msgspec
import uvloop
from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_TIMEOUT = 0.2  # Seconds.
SILENCE_CHECK = 0.1  # Seconds between looks at whether a silent connection was closed.


def knob(kind: type, text: str) -> typing.Any:
    """Annotate a field of `Knobs` with the help text that the command line shows."""
    return typing.Annotated[kind, msgspec.Meta(description=text)]


class Knobs(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Sizes, rates and faults of a stand-in; set on the command line and by ``POST /control``."""

    delay: knob(float, "Seconds before each answer.") = 0.0
    refuse: knob(bool, "Answer everything with 503.") = False
    silent: knob(bool, "Take calls and never answer.") = False
    silence_open: knob(bool, "Silence the connections that are open now, for good.") = False


class StandIn:
    """Base of all stand-ins.

    Args:
        name: Name of the process, as in the host list.
        knobs: Sizes, rates and faults.
    """

    knobs_type: type[Knobs] = Knobs

    def __init__(self, *, name: str, knobs: Knobs) -> None:
        self.name = name
        self.knobs = knobs
        self.address = ""
        self._open: set[web.RequestHandler] = set()
        self._muted: set[web.RequestHandler] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes beside ``/control``."""
        raise NotImplementedError

    def state(self) -> dict[str, typing.Any]:
        """Return what ``GET /control`` shows beside the knobs."""
        return {}

    def changed(self, before: Knobs) -> None:
        """Act on new knobs; ``before`` holds the former ones."""

    async def start(self) -> None:
        """Start background work, once the address is known."""

    async def close(self) -> None:
        """Stop background work."""

    def muted(self, request: web.Request) -> bool:
        """Return whether the request's connection has gone silent."""
        return self.knobs.silent or request.protocol in self._muted

    async def hold(self, request: web.Request) -> None:
        """Say nothing on a silent connection until the other side closes it."""
        while request.transport is not None and self.muted(request):
            await _pause()

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(middlewares=[self._faults], client_max_size=MAX_BODY_BYTES)
        app.add_routes([web.get("/control", self._show), web.post("/control", self._set)])
        app.add_routes(self.routes())
        return app

    @web.middleware
    async def _faults(self, request: web.Request, handler: typing.Any) -> web.StreamResponse:
        if request.path == "/control":
            return await handler(request)
        self._open.add(request.protocol)
        if self.knobs.delay:
            await asyncio.sleep(self.knobs.delay)
        await self.hold(request)
        if self.knobs.refuse:
            return problem(503, f'"{self.name}" refuses work')
        response = await handler(request)
        await self.hold(request)
        return response

    async def _show(self, request: web.Request) -> web.Response:
        return answer({"name": self.name, **msgspec.to_builtins(self.knobs), **self.state()})

    async def _set(self, request: web.Request) -> web.Response:
        before = self.knobs
        try:
            fields = msgspec.json.decode(await request.read(), type=dict[str, typing.Any])
            fields = {**msgspec.to_builtins(before), **fields}
            self.knobs = msgspec.convert(fields, type(before))
        except msgspec.MsgspecError as exc:
            return problem(400, str(exc))
        self._open = {one for one in self._open if one.transport is not None}
        self._muted &= self._open
        if self.knobs.silence_open:
            self._muted |= self._open
            self.knobs.silence_open = False
        self.changed(before)
        return await self._show(request)


registry: dict[str, type[StandIn]] = {}


def stand_in(name: str) -> typing.Callable[[type[StandIn]], type[StandIn]]:
    """Register a stand-in under the name that the command line knows."""

    def register(cls: type[StandIn]) -> type[StandIn]:
        registry[name] = cls
        return cls

    return register


def answer(value: typing.Any, status: int = 200) -> web.Response:
    """Build a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )


def problem(status: int, text: str) -> web.Response:
    """Build a JSON error."""
    return answer({"error": text}, status)


async def _pause() -> None:
    await asyncio.sleep(SILENCE_CHECK)


async def body_of(request: web.Request, kind: type) -> typing.Any:
    """Decode a request's JSON body.

    Raises:
        web.HTTPBadRequest: If the body is not of the kind.
    """
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as exc:
        raise web.HTTPBadRequest(text=str(exc)) from None


async def serve(one: StandIn, port: int) -> None:
    """Serve a stand-in on a loopback port until SIGTERM or SIGINT."""
    runner = web.AppRunner(one.app(), access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    one.address = f"http://127.0.0.1:{runner.addresses[0][1]}"
    await one.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    print(f"event=listening name={one.name} address={one.address}", flush=True)
    await stop.wait()
    await one.close()
    await runner.cleanup()


def run(one: StandIn, port: int) -> None:
    """Run a stand-in in this process until it is told to stop."""
    uvloop.run(serve(one, port))
