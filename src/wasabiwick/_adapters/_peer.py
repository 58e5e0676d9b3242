"""Sends messages to other entry hosts over HTTP."""

import typing

import aiohttp

from .._errors import Failure
from .._settings import Timing
from .._wire import Envelope
from ._http import request_json

if typing.TYPE_CHECKING:
    # This module imports a large library for certificates, which hosts without TLS don't load.
    from .._tls import TlsFiles

MESSAGES_PATH = "/peer/v1/messages"


class HttpPeer:
    """Client of other entry hosts, over HTTP with JSON.

    Args:
        session: Client session.
        timing: Timeouts.
        tls: The host's certificates, or None if hosts speak plain HTTP.
    """

    __slots__ = ("_session", "_timing", "_tls")

    def __init__(
        self, *, session: aiohttp.ClientSession, timing: Timing, tls: "TlsFiles | None" = None
    ) -> None:
        self._session = session
        self._timing = timing
        self._tls = tls

    async def send(self, address: str, envelope: Envelope) -> Failure | None:
        """Deliver a batch of messages; returns None once the other host has accepted it."""
        return await request_json(
            self._session,
            "POST",
            address,
            MESSAGES_PATH,
            body=envelope,
            answer=None,
            timeout=self._timing.peer,
            # Looked up for each request, since a changed certificate replaces the context.
            tls=self._tls.client if self._tls else True,
        )
