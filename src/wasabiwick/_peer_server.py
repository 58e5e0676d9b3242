"""HTTP server for other entry hosts and operators: messages of peers, status and drain."""

import msgspec
from aiohttp import web

from ._adapters._peer import MESSAGES_PATH
from ._decoding import decode
from ._events import PeerMessage
from ._runner import Runner
from ._status import status_of
from ._wire import Envelope

MAX_ENVELOPE_BYTES = 8 * 1024 * 1024


class PeerServer:
    """HTTP handlers for other entry hosts and operators.

    Args:
        runner: The host's runner.
    """

    __slots__ = ("_runner", "_decoder")

    def __init__(self, *, runner: Runner) -> None:
        self._runner = runner
        self._decoder = msgspec.json.Decoder(Envelope)

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=MAX_ENVELOPE_BYTES)
        app.router.add_post(MESSAGES_PATH, self._messages)
        app.router.add_get("/status", self._status)
        app.router.add_post("/drain", self._drain)
        return app

    async def _messages(self, req: web.Request) -> web.Response:
        try:
            envelope = decode(self._decoder, await req.read())
        except msgspec.MsgspecError as exc:
            return web.Response(status=400, text=f"envelope is not valid: {exc}\n")
        for message in envelope.messages:
            self._runner.post(
                PeerMessage(
                    at=self._runner.now(),
                    sender=envelope.sender,
                    zone=envelope.zone,
                    message=message,
                )
            )
        return web.Response(status=204)

    async def _status(self, req: web.Request) -> web.Response:
        status = status_of(self._runner.state)
        return web.Response(body=msgspec.json.encode(status), content_type="application/json")

    async def _drain(self, req: web.Request) -> web.Response:
        self._runner.stop()
        return web.Response(status=202)
