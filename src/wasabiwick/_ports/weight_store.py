"""Port to the platform's weight store."""

import typing

from .._errors import Failure


class WeightStore(typing.Protocol):
    """The store that engines load model weights from."""

    async def size(self, model: str, version: str) -> int | Failure:
        """Return the number of bytes that loading a version of a model reads."""
