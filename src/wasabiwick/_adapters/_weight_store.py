"""Reads the size of model weights from the weight store over HTTP."""

import msgspec

from .._errors import Failure
from ._http import request_json
from ._platform import PlatformClient


class WeightSize(msgspec.Struct, frozen=True):
    """Answer of ``GET /weights/{model}/{version}``."""

    size: int


class HttpWeightStore(PlatformClient):
    """Client of the weight store."""

    __slots__ = ()

    async def size(self, model: str, version: str) -> int | Failure:
        """Return the number of bytes that loading a version of a model reads."""
        answer = await request_json(
            self._session,
            "GET",
            self._address,
            f"/weights/{model}/{version}",
            answer=WeightSize,
            timeout=self._timing.log,
        )
        return answer if isinstance(answer, Failure) else answer.size
