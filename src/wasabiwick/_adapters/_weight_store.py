"""The weight store over HTTP."""

import aiohttp
import msgspec

from .._errors import Failure
from .._settings import Timing
from ._http import ask


class WeightSize(msgspec.Struct, frozen=True):
    """Answer of ``GET /weights/{model}/{version}``."""

    size: int


class HttpWeightStore:
    """The weight store over HTTP.

    Args:
        session: Client session.
        address: Base URL of the weight store.
        timing: Timeouts.
    """

    __slots__ = ("_session", "_address", "_timing")

    def __init__(self, *, session: aiohttp.ClientSession, address: str, timing: Timing) -> None:
        self._session = session
        self._address = address
        self._timing = timing

    async def size(self, model: str, version: str) -> int | Failure:
        """Return the bytes that loading a version of a model reads."""
        answer = await ask(
            self._session,
            "GET",
            self._address,
            f"/weights/{model}/{version}",
            answer=WeightSize,
            timeout=self._timing.log,
        )
        return answer if isinstance(answer, Failure) else answer.size
