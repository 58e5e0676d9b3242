"""Other entry hosts over HTTP."""

import aiohttp

from .._errors import Failure
from .._settings import Timing
from .._wire import Envelope
from ._http import ask

MESSAGES_PATH = "/peer/v1/messages"


class HttpPeer:
    """Other entry hosts over HTTP with JSON.

    Args:
        session: Client session.
        timing: Timeouts.
    """

    __slots__ = ("_session", "_timing")

    def __init__(self, *, session: aiohttp.ClientSession, timing: Timing) -> None:
        self._session = session
        self._timing = timing

    async def send(self, address: str, envelope: Envelope) -> Failure | None:
        """Deliver a batch of messages; None once the other host has taken it."""
        return await ask(
            self._session,
            "POST",
            address,
            MESSAGES_PATH,
            body=envelope,
            answer=None,
            timeout=self._timing.peer,
        )
